package rowanmoor.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Availability;
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
    record Step(Members event, long index, boolean usable) { }

    private static final long MILLI = 1_000_000L;
    /** An address that has been gone for so long is new when it comes back. */
    private static final long FORGET = 600_000 * MILLI;

    private final long emptyHold;
    private final TreeMap<Backend, Member> held = new TreeMap<>();
    private final TreeMap<Backend, Long> stamps = new TreeMap<>();
    private final TreeMap<Backend, Long> goneAt = new TreeMap<>();
    private long index;
    private long version;
    private long emptySince = -1;
    private boolean any;

    RosterView(long emptyHold) {
        this.emptyHold = emptyHold;
    }

    /** What the module starts with: nothing is known. */
    public Members initialMembers() {
        return new Members(CatalogUpdateKind.CACHED, ++version, List.of());
    }

    Members failed() {
        return new Members(CatalogUpdateKind.FAILED, version, List.of());
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
    Step answer(long now, long wall, long newIndex, RosterAnswer answer) {
        boolean asked = index == 0;
        boolean back = newIndex < index;
        boolean none = answer.entries().isEmpty() && held.values().stream()
                .anyMatch(m -> m.availability() != Availability.GONE);
        if (none && emptySince < 0) {
            emptySince = now;
        }
        if (none && now - emptySince < emptyHold) {
            return new Step(failed(), 0, false);
        }
        emptySince = none ? emptySince : -1;
        index = back ? 0 : Math.max(1, newIndex);
        List<Member> changes = changes(now, wall, answer);
        boolean first = !any;
        any = true;
        if (back || first) {
            List<Member> whole = held.values().stream().filter(m -> m.availability() != Availability.GONE).toList();
            return new Step(new Members(back ? CatalogUpdateKind.CACHED : CatalogUpdateKind.FULL, ++version, whole), index,
                    true);
        }
        boolean tell = asked || !changes.isEmpty();
        return new Step(tell ? new Members(CatalogUpdateKind.DELTA, ++version, changes) : null, index, true);
    }

    private List<Member> changes(long now, long wall, RosterAnswer answer) {
        TreeMap<Backend, Member> fresh = new TreeMap<>();
        for (RosterAnswer.Entry entry : answer.entries()) {
            Member old = held.get(entry.backend());
            if (entry.whole()) {
                fresh.put(entry.backend(), member(now, wall, entry, old));
            } else if (old != null) {
                fresh.put(entry.backend(), old);
            }
        }
        List<Member> changes = new ArrayList<>();
        goneAt.keySet().removeAll(fresh.keySet());
        goneAt.entrySet().removeIf(e -> now - e.getValue() > FORGET && forget(e.getKey()));
        held.replaceAll((backend, old) -> {
            if (fresh.containsKey(backend) || old.availability() == Availability.GONE) {
                return old;
            }
            changes.add(old.asGone());
            goneAt.put(backend, now);
            return old.asGone();
        });
        fresh.forEach((backend, member) -> {
            if (!member.equals(held.put(backend, member))) {
                changes.add(member);
            }
        });
        return List.copyOf(changes);
    }

    private boolean forget(Backend backend) {
        stamps.remove(backend);
        held.remove(backend);
        return true;
    }

    /** How many addresses are remembered, those gone for a while among them. */
    int remembered() {
        return Math.max(held.size(), Math.max(stamps.size(), goneAt.size()));
    }

    /** A start is told in this side's clock; the same stamp always becomes the same time. */
    private Member member(long now, long wall, RosterAnswer.Entry entry, Member old) {
        Long stamp = stamps.put(entry.backend(), entry.started());
        long startedAt = entry.started() == 0 ? 0
                : Math.max(1, now - Math.max(0, wall - entry.started()) * MILLI);
        if (old != null && stamp != null && stamp == entry.started()) {
            startedAt = old.startedAt();
        }
        return new Member(entry.backend(), entry.zone(), entry.kind(), entry.cell(), entry.listed(),
                entry.weight(), startedAt);
    }
}
