package rowanmoor.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.ListKind;
import rowanmoor.ControlApi.Listed;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;

/**
 * Decides what a roster's answer means to the module. No I/O; its callers pass both clocks.
 *
 * <ul>
 * <li>The first answer is told whole, later ones as changes; one without changes only if it was asked for.
 * <li>An empty list after one that was not is held to be a fault, and told as a failed question, until the
 * roster has gone on saying so for {@code emptyHold}: a roster that has lost its state says the same.
 * <li>An index that goes back means that the roster has started anew (Consul, Blocking Queries): the list is
 * told whole as one that may be stale, and the next question starts from no index.
 * <li>An entry that cannot be read does not remove what is known of its address.
 * </ul>
 */
public final class RosterView {

    /**
     * What follows from an answer.
     *
     * @param event what to tell the module, or null
     * @param index the index to ask with next, 0 to be answered at once
     * @param usable false ends the watch: the answer counts as failed
     */
    record Result(Members event, long index, boolean accepted) { }

    private static final long NS_PER_MS = 1_000_000L;
    /** An address that has been gone for so long is new when it comes back. */
    private static final long FORGET_AFTER_NS = 600_000 * NS_PER_MS;

    private final long emptyListHoldNs;
    private final TreeMap<Backend, Member> members = new TreeMap<>();
    private final TreeMap<Backend, Long> statedStarts = new TreeMap<>();
    private final TreeMap<Backend, Long> goneAt = new TreeMap<>();
    private long index;
    private long version;
    private long emptySince = -1;
    private boolean answered;

    RosterView(long emptyHold) {
        this.emptyListHoldNs = emptyHold;
    }

    /** What the module starts with: nothing is known. */
    public Members initialMembers() {
        return new Members(ListKind.CACHED, ++version, List.of());
    }

    Members failed() {
        return new Members(ListKind.FAILED, version, List.of());
    }

    /** A new watch starts from no index, and its first answer is told even if it changes nothing. */
    void restart() {
        index = 0;
    }

    /**
     * Takes an answer.
     *
     * @param wall milliseconds since 1970, by which instances state their starts
     */
    Result apply(long now, long wall, long newIndex, RosterResponse answer) {
        boolean asked = index == 0;
        boolean back = newIndex < index;
        boolean none = answer.entries().isEmpty() && members.values().stream()
                .anyMatch(m -> m.listed() != Listed.GONE);
        if (none && emptySince < 0) {
            emptySince = now;
        }
        if (none && now - emptySince < emptyListHoldNs) {
            return new Result(failed(), 0, false);
        }
        emptySince = none ? emptySince : -1;
        index = back ? 0 : Math.max(1, newIndex);
        List<Member> changes = applyEntries(now, wall, answer);
        boolean first = !answered;
        answered = true;
        if (back || first) {
            List<Member> whole = members.values().stream().filter(m -> m.listed() != Listed.GONE).toList();
            return new Result(new Members(back ? ListKind.CACHED : ListKind.FULL, ++version, whole), index,
                    true);
        }
        boolean tell = asked || !changes.isEmpty();
        return new Result(tell ? new Members(ListKind.DELTA, ++version, changes) : null, index, true);
    }

    private List<Member> applyEntries(long now, long wall, RosterResponse answer) {
        TreeMap<Backend, Member> fresh = new TreeMap<>();
        for (RosterResponse.Entry entry : answer.entries()) {
            Member old = members.get(entry.backend());
            if (entry.complete()) {
                fresh.put(entry.backend(), member(now, wall, entry, old));
            } else if (old != null) {
                fresh.put(entry.backend(), old);
            }
        }
        List<Member> changes = new ArrayList<>();
        goneAt.keySet().removeAll(fresh.keySet());
        goneAt.entrySet().removeIf(e -> now - e.getValue() > FORGET_AFTER_NS && forget(e.getKey()));
        members.replaceAll((backend, old) -> {
            if (fresh.containsKey(backend) || old.listed() == Listed.GONE) {
                return old;
            }
            changes.add(old.gone());
            goneAt.put(backend, now);
            return old.gone();
        });
        fresh.forEach((backend, member) -> {
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

    /** How many addresses are remembered, those gone for a while among them. */
    int trackedCount() {
        return Math.max(members.size(), Math.max(statedStarts.size(), goneAt.size()));
    }

    /** A start is told in this side's clock; the same stamp always becomes the same time. */
    private Member member(long now, long wall, RosterResponse.Entry entry, Member old) {
        Long stamp = statedStarts.put(entry.backend(), entry.startedAtMs());
        long startedAt = entry.startedAtMs() == 0 ? 0
                : Math.max(1, now - Math.max(0, wall - entry.startedAtMs()) * NS_PER_MS);
        if (old != null && stamp != null && stamp == entry.startedAtMs()) {
            startedAt = old.startedAt();
        }
        return new Member(entry.backend(), entry.zone(), entry.kind(), entry.cell(), entry.listed(),
                entry.weight(), startedAt);
    }
}
