package rowanmoor.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import rowanmoor.ControlApi.Backend;

/**
 * Connections to backends, idle and in use, counted for each backend. The one last used is used first, so
 * that those not needed grow old and are closed. No I/O: what a connection is, its owner knows.
 */
final class Pool<C> {

    /** What the pool must know of a connection, and the one thing it does to it. */
    interface Ways<C> {

        /** Whether it can be used now. */
        boolean usable(C connection);

        /** The same for one that has been idle, going by what has arrived on it unread as well. */
        default boolean stillUsable(C connection) {
            return usable(connection);
        }

        /** When it was last used. */
        long idleSince(C connection);

        void close(C connection);
    }

    private static final class Of<C> {
        private final ArrayDeque<C> idle = new ArrayDeque<>();
        private int open;
    }

    private final Ways<C> ways;
    private final int openMost;
    private final int idleMost;
    private final Map<Backend, Of<C>> all = new TreeMap<>();

    /**
     * @param openMost connections to one backend, idle and in use, 1 or more
     * @param idleMost idle ones to one backend
     */
    Pool(Ways<C> ways, int openMost, int idleMost) {
        this.ways = ways;
        this.openMost = openMost;
        this.idleMost = idleMost;
    }

    /** The last used one that still can be used, or null. Others met on the way are closed. */
    C take(Backend backend) {
        Of<C> of = all.get(backend);
        while (of != null && !of.idle.isEmpty()) {
            C last = of.idle.pollLast();
            if (ways.stillUsable(last)) {
                return last;
            }
            ways.close(last);
        }
        return null;
    }

    /** Whether another may be opened. */
    boolean mayOpen(Backend backend) {
        Of<C> of = all.get(backend);
        return of == null || of.open < openMost;
    }

    /** One has been opened; it counts until {@link #asGone}. */
    void opened(Backend backend) {
        all.computeIfAbsent(backend, b -> new Of<>()).open++;
    }

    /** One is free again: it is kept, or closed if it cannot be used or enough are idle. */
    void keep(Backend backend, C connection) {
        Of<C> of = all.get(backend);
        if (of != null && ways.usable(connection) && of.idle.size() < idleMost) {
            of.idle.addLast(connection);
        } else {
            ways.close(connection);
        }
    }

    /** One is over, in use or idle; told once for each. */
    void gone(Backend backend, C connection) {
        Of<C> of = all.get(backend);
        if (of != null) {
            of.idle.remove(connection);
            if (--of.open == 0) {
                all.remove(backend);
            }
        }
    }

    /** Closes idle ones to backends that fail the test. */
    void closeIdle(Predicate<Backend> kept) {
        for (Backend backend : List.copyOf(all.keySet())) {
            if (!kept.test(backend)) {
                closeAll(backend, Long.MAX_VALUE);
            }
        }
    }

    /** Closes those that were last used before a time. */
    void closeOld(long before) {
        List.copyOf(all.keySet()).forEach(b -> closeAll(b, before));
    }

    private void closeAll(Backend backend, long before) {
        Of<C> of = all.get(backend);
        List<C> old = new ArrayList<>();
        while (!of.idle.isEmpty() && ways.idleSince(of.idle.peekFirst()) < before) {
            old.add(of.idle.pollFirst());
        }
        old.forEach(ways::close);
    }

    int idle(Backend backend) {
        return all.containsKey(backend) ? all.get(backend).idle.size() : 0;
    }

    int open(Backend backend) {
        return all.containsKey(backend) ? all.get(backend).open : 0;
    }

    int open() {
        return all.values().stream().mapToInt(of -> of.open).sum();
    }
}
