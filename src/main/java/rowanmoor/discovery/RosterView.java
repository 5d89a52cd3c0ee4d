package rowanmoor.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;

/**
 * Translates the roster's responses into member lists for the decision module. No I/O; callers pass both
 * clocks.
 *
 * <ul>
 * <li>The first response is reported as a full list, later ones as changes. A response without changes is
 * reported only if it is the first of a watch.
 * <li>An empty list after a non-empty one is treated as a fault and reported as a failed query until it has
 * persisted for the empty-list hold, because a roster that has lost its state also returns an empty list.
 * <li>An index that goes backwards means that the roster was restarted (Consul, Blocking Queries): the list
 * is reported as a full list that may be stale, and the next query is sent without an index.
 * <li>An unreadable entry leaves what is known of its address unchanged.
 * </ul>
 */
public final class RosterView {

    /**
     * The outcome of a response.
     *
     * @param event the event for the decision module, or null
     * @param index the index for the next query, 0 for an immediate response
     * @param accepted false if the response counts as a failed query, which ends the watch
     */
    record Result(Members event, long index, boolean accepted) { }

    private static final long NS_PER_MS = 1_000_000L;
    /** An address that has been gone for longer than this is treated as new when it returns. */
    private static final long FORGET_AFTER_NS = 600_000 * NS_PER_MS;

    private final long emptyListHoldNs;
    private final TreeMap<Backend, Member> members = new TreeMap<>();
    private final TreeMap<Backend, Long> statedStarts = new TreeMap<>();
    private final TreeMap<Backend, Long> goneAt = new TreeMap<>();
    private long index;
    private long version;
    private long emptySince = -1; // -1 while the list is not empty
    private boolean answered;

    RosterView(long emptyListHoldNs) {
        this.emptyListHoldNs = emptyListHoldNs;
    }

    /** Returns the empty list with which the decision module starts. */
    public Members initialMembers() {
        return new Members(CatalogUpdateKind.CACHED, ++version, List.of());
    }

    /** Returns the event for a failed query. */
    Members failed() {
        return new Members(CatalogUpdateKind.FAILED, version, List.of());
    }

    /** Starts a new watch: without an index, and its first response is reported even if nothing changed. */
    void restart() {
        index = 0;
    }

    /**
     * Applies a response.
     *
     * @param now this controller's clock in nanoseconds
     * @param wallMs milliseconds since 1970, the clock in which instances state their start times
     * @param newIndex the response's index
     */
    Result apply(long now, long wallMs, long newIndex, RosterResponse response) {
        boolean firstOfWatch = index == 0;
        boolean indexWentBack = newIndex < index;
        boolean empty = response.entries().isEmpty() && members.values().stream()
                .anyMatch(m -> m.availability() != Availability.GONE);
        if (empty && emptySince < 0) {
            emptySince = now;
        }
        if (empty && now - emptySince < emptyListHoldNs) {
            return new Result(failed(), 0, false);
        }
        emptySince = empty ? emptySince : -1;
        index = indexWentBack ? 0 : Math.max(1, newIndex);
        List<Member> changes = applyEntries(now, wallMs, response);
        boolean first = !answered;
        answered = true;
        if (indexWentBack || first) {
            List<Member> present = members.values().stream()
                    .filter(m -> m.availability() != Availability.GONE).toList();
            return new Result(new Members(indexWentBack ? CatalogUpdateKind.CACHED : CatalogUpdateKind.FULL,
                    ++version, present), index, true);
        }
        boolean report = firstOfWatch || !changes.isEmpty();
        return new Result(report ? new Members(CatalogUpdateKind.DELTA, ++version, changes) : null, index,
                true);
    }

    private List<Member> applyEntries(long now, long wallMs, RosterResponse response) {
        TreeMap<Backend, Member> listed = new TreeMap<>();
        for (RosterResponse.Entry entry : response.entries()) {
            Member old = members.get(entry.backend());
            if (entry.complete()) {
                listed.put(entry.backend(), member(now, wallMs, entry, old));
            } else if (old != null) {
                listed.put(entry.backend(), old);
            }
        }
        List<Member> changes = new ArrayList<>();
        goneAt.keySet().removeAll(listed.keySet());
        goneAt.entrySet().removeIf(e -> now - e.getValue() > FORGET_AFTER_NS && forget(e.getKey()));
        members.replaceAll((backend, old) -> {
            if (listed.containsKey(backend) || old.availability() == Availability.GONE) {
                return old;
            }
            changes.add(old.asGone());
            goneAt.put(backend, now);
            return old.asGone();
        });
        listed.forEach((backend, member) -> {
            if (!member.equals(members.put(backend, member))) {
                changes.add(member);
            }
        });
        return List.copyOf(changes);
    }

    private boolean forget(Backend backend) {
        statedStarts.remove(backend);
        members.remove(backend);
        return true;
    }

    /** Size of the largest internal map, including addresses that are gone. */
    int trackedCount() {
        return Math.max(members.size(), Math.max(statedStarts.size(), goneAt.size()));
    }

    /**
     * Converts the start time to this controller's clock; the same stated time always yields the same result.
     */
    private Member member(long now, long wallMs, RosterResponse.Entry entry, Member old) {
        Long previousStart = statedStarts.put(entry.backend(), entry.startedAtMs());
        long startedAt = entry.startedAtMs() == 0 ? 0
                : Math.max(1, now - Math.max(0, wallMs - entry.startedAtMs()) * NS_PER_MS);
        if (old != null && previousStart != null && previousStart == entry.startedAtMs()) {
            startedAt = old.startedAt();
        }
        return new Member(entry.backend(), entry.zone(), entry.kind(), entry.cell(), entry.availability(),
                entry.weight(), startedAt);
    }
}
