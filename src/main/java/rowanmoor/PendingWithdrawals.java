package rowanmoor;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rowanmoor.ControlApi.Backend;
import rowanmoor.FleetState.ProxyState;

/**
 * Which withdrawals each joined proxy has still to be told. Withdrawals are numbered in order, and a proxy
 * has been told all up to a number. Plain state and sums: what is sent, and when, is up to
 * {@link RoutingPolicy}. Times are nanoseconds.
 */
final class PendingWithdrawals {

    /**
     * A withdrawn backend.
     *
     * @param heldCold whether it is only held back while cold; it does not have to be told within the grace
     * @param since since when the reason is known
     */
    private record Withdrawal(Backend backend, long number, boolean heldCold, long since) { }

    /**
     * What one proxy has to be told.
     *
     * @param backends drained and gone ones first, of each kind the latest first
     * @param hasDeadline whether one of them is drained or gone, which has to be told within the grace
     * @param since since when it could have known the first of them
     */
    record Notice(ProxyState proxy, List<Backend> backends, boolean hasDeadline, long since) { }

    private final TreeMap<Backend, Withdrawal> withdrawals = new TreeMap<>();
    private long lastNumber;

    /**
     * Adds a withdrawal that every proxy which may hold the backend has to be told. A backend that is
     * withdrawn already keeps its number: who knows that is not told again.
     */
    void add(Backend backend, boolean heldCold, long since) {
        Withdrawal known = withdrawals.get(backend);
        if (known == null || known.heldCold() && !heldCold) {
            long number = known == null ? ++lastNumber : known.number();
            withdrawals.put(backend, new Withdrawal(backend, number, heldCold, since));
        }
    }

    /** Drops a withdrawal: the backend is readmitted or forgotten. */
    void remove(Backend backend) {
        withdrawals.remove(backend);
    }

    /** Notes that a proxy was told everything, by an order or by a new table. */
    void markInformed(ProxyState proxy) {
        proxy.informedUpTo = lastNumber;
    }

    boolean isInformed(ProxyState proxy) {
        return proxy.informedUpTo == lastNumber;
    }

    /**
     * Returns what joined proxies have to be told, those first that have waited longest.
     *
     * @param rebinding proxies that wait for another table: what they hold until then is unknown
     */
    List<Notice> notices(Map<Integer, ProxyState> proxies, Set<Integer> rebinding) {
        List<Notice> notices = new ArrayList<>();
        Map<Long, List<Withdrawal>> newerThan = new TreeMap<>();
        proxies.forEach((number, proxy) -> {
            if (!proxy.joined || isInformed(proxy)) {
                return;
            }
            List<Withdrawal> due = newerThan.computeIfAbsent(proxy.informedUpTo, this::newerThan);
            if (proxy.bound && !rebinding.contains(number)) {
                due = due.stream().filter(withdrawal -> proxy.mayHold(withdrawal.backend(), true)).toList();
            }
            if (due.isEmpty()) {
                markInformed(proxy);
            } else {
                long first = due.stream().mapToLong(Withdrawal::since).min().getAsLong();
                notices.add(new Notice(proxy, due.stream().map(Withdrawal::backend).toList(),
                        !due.get(0).heldCold(), Math.max(proxy.joinedAt, first)));
            }
        });
        notices.sort(Comparator.comparingLong(Notice::since));
        return notices;
    }

    /** The withdrawals after a number: drained and gone backends first, of each kind the latest first. */
    private List<Withdrawal> newerThan(long number) {
        return withdrawals.values().stream().filter(withdrawal -> withdrawal.number() > number)
                .sorted(Comparator.comparing(Withdrawal::heldCold)
                        .thenComparing(Comparator.comparingLong(Withdrawal::number).reversed()))
                .toList();
    }
}
