package rowanmoor.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.config.Section;
import rowanmoor.settings.SettingsReader.NamedSettings;

/**
 * Translates the catalog's objects into member lists for the decision module: full lists and changes,
 * versions, and start times converted to this controller's clock. No I/O; callers pass both clocks.
 *
 * <ul>
 * <li>An unreadable entry leaves the known state of its instance unchanged.
 * <li>An object older than the newest version seen does not undo a drain.
 * <li>An empty full list is accepted only after the catalog has reported it for {@code EMPTY_LIST_HOLD_NS}.
 * </ul>
 */
final class CatalogView {

    private static final long NS_PER_MS = 1_000_000L;
    private static final Map<String, Availability> LIFECYCLES = Map.of("in_service", Availability.READY,
            "terminating", Availability.DRAINING, "terminated", Availability.GONE);
    private static final int MAX_PROBLEMS = 3;
    /** How long an empty list must persist to be accepted: the longest delay of the catalog's updates. */
    private static final long EMPTY_LIST_HOLD_NS = 6_000 * NS_PER_MS;

    /** A start as the catalog states it, and the same start in this controller's clock in ns. */
    private record StartTime(long startedAtMs, long startedAt) { }

    private final NamedSettings namedSettings;
    private final InstanceRegistry instances;
    private final TreeMap<Backend, Member> members = new TreeMap<>();
    private final Map<Backend, StartTime> startTimes = new HashMap<>();
    private long generation;
    private long newestVersion; // the highest version applied
    private long emptySince = -1; // -1 while the list is not empty

    CatalogView(NamedSettings namedSettings, InstanceRegistry instances) {
        this.namedSettings = namedSettings;
        this.instances = instances;
    }

    /** The catalog version from which a new watch continues. */
    long generation() {
        return generation;
    }

    /**
     * Applies one catalog object.
     *
     * @param now this controller's clock in nanoseconds
     * @param wallMs milliseconds since 1970, the clock in which the catalog states start times
     * @param known whether this is the list from the configuration, which may be outdated
     * @param problems receives a line for each unreadable entry, at most {@code MAX_PROBLEMS}
     * @return the event for the decision module, or null if nothing changed
     * @throws IOException if the object is malformed or is not accepted
     */
    Members apply(long now, long wallMs, Map<String, Object> object, boolean known, List<String> problems)
            throws IOException {
        if (!(object.get("generation") instanceof Long version) || version < 0) {
            throw new IOException("generation is missing or not a version number");
        }
        if (!(object.get("instances") instanceof List<?> rawEntries)) {
            throw new IOException("instances is missing or not a list");
        }
        boolean full = known || Boolean.TRUE.equals(object.get("reset"));
        if (!full && version < generation) {
            throw new IOException("changes up to " + version + " after version " + generation);
        }
        boolean empty = full && !known && rawEntries.isEmpty()
                && members.values().stream().anyMatch(m -> m.availability() != Availability.GONE);
        emptySince = !empty ? -1 : emptySince < 0 ? now : emptySince;
        if (empty && now - emptySince < EMPTY_LIST_HOLD_NS) { // a catalog that just started may know none yet
            throw new IOException(
                    "empty list after a list of " + members.size() + " instances, not accepted yet");
        }
        boolean outdated = version < newestVersion;
        boolean hasUnidentified = false;
        List<Member> entries = new ArrayList<>();
        Set<Backend> mentioned = new HashSet<>();
        for (Object rawEntry : rawEntries) {
            String id = validInstanceId(rawEntry);
            if (id == null) {
                addProblem(problems, "an entry has no valid instanceId");
                hasUnidentified = true;
                continue;
            }
            Member member = member(now, wallMs, id, (Map<?, ?>) rawEntry, problems);
            if (member != null && mentioned.add(member.backend())) {
                entries.add(outdated ? keepNewerState(member) : member);
            }
        }
        generation = version;
        newestVersion = Math.max(newestVersion, version);
        if (full) {
            return applyFullList(known, entries, mentioned, hasUnidentified);
        }
        entries.removeIf(m -> m.equals(members.put(m.backend(), m)));
        return entries.isEmpty() ? null : new Members(CatalogUpdateKind.DELTA, version, List.copyOf(entries));
    }

    /** Keeps an instance draining or gone as in a newer version, unless it has been restarted since. */
    private Member keepNewerState(Member member) {
        Member old = members.get(member.backend());
        boolean undone = old != null && old.availability() != Availability.READY
                && member.availability() == Availability.READY && old.startedAt() == member.startedAt();
        return undone ? old : member;
    }

    /**
     * Applies a full list; returns null if it equals the current one. If the list has an entry without a
     * valid ID, that entry may stand for any instance, so missing instances are kept.
     */
    private Members applyFullList(boolean known, List<Member> entries, Set<Backend> mentioned,
            boolean hasUnidentified) {
        boolean same = !known;
        for (Member member : entries) {
            same &= member.equals(members.put(member.backend(), member));
        }
        for (Member old : List.copyOf(members.values())) {
            if (!mentioned.contains(old.backend()) && old.availability() != Availability.GONE) {
                if (hasUnidentified) {
                    entries.add(old);
                } else {
                    members.put(old.backend(), old.asGone());
                    same = false;
                }
            }
        }
        return same ? null : new Members(known ? CatalogUpdateKind.CACHED : CatalogUpdateKind.FULL,
                generation, List.copyOf(entries));
    }

    private static String validInstanceId(Object instance) {
        return instance instanceof Map<?, ?> entry && entry.get("instanceId") instanceof String id
                && id.matches("[!-~&&[^,:]]{1,200}") ? id : null;
    }

    private Member member(long now, long wallMs, String id, Map<?, ?> entry, List<String> problems) {
        Backend backend = instances.register(id);
        Member old = members.get(backend);
        Availability availability = LIFECYCLES.get(entry.get("lifecycle"));
        int zone = namedSettings.zones().indexOf(entry.get("zone"));
        int kind = namedSettings.kinds().indexOf(entry.get("machineType"));
        double weight = entry.get("weight") instanceof Number n ? n.doubleValue() : 1;
        double cell = entry.get("cell") instanceof Number n ? n.doubleValue() : 0;
        double started = entry.get("startedAtMs") instanceof Number n ? n.doubleValue() : 0;
        if (entry.get("hostPort") instanceof String text && Section.parseAddress(text) != null) {
            instances.setAddress(backend, Section.parseAddress(text));
        }
        if (availability == Availability.GONE && old != null) {
            return old.asGone(); // the other fields may be missing
        }
        if (availability == null || zone < 0 || kind < 0 || !(weight >= 0 && weight <= 1e9)
                || !(cell >= 0 && cell <= 65535) || !(started >= 0 && started <= 1e15)) {
            addProblem(problems, "instance " + id
                    + ": lifecycle, zone, machineType, cell, weight or startedAtMs"
                    + " is missing, unknown or out of range");
            return old;
        }
        return new Member(backend, zone, kind, (int) cell, availability, weight,
                toControllerClock(now, wallMs, backend, (long) started));
    }

    private static void addProblem(List<String> problems, String problem) {
        if (problems.size() < MAX_PROBLEMS) {
            problems.add(problem);
        }
    }

    /**
     * Converts a start time to this controller's clock. The same stated time always yields the same result,
     * even if the wall clock has been adjusted since. At least 1, since 0 means "long ago".
     */
    private long toControllerClock(long now, long wallMs, Backend backend, long startedAtMs) {
        if (startedAtMs == 0) {
            startTimes.remove(backend);
            return 0;
        }
        StartTime start = startTimes.get(backend);
        if (start == null || start.startedAtMs() != startedAtMs) {
            start = new StartTime(startedAtMs,
                    Math.max(1, now - Math.max(0, wallMs - startedAtMs) * NS_PER_MS));
            startTimes.put(backend, start);
        }
        return start.startedAt();
    }

    /** Removes an instance that the decision module has removed, unless it is listed again. */
    void forget(Backend backend) {
        Member member = members.get(backend);
        if (member == null || member.availability() == Availability.GONE) {
            members.remove(backend);
            startTimes.remove(backend);
            instances.forget(backend);
        }
    }

    /** Size of the larger of the internal maps, including instances that are gone. */
    int trackedCount() {
        return Math.max(members.size(), startTimes.size());
    }
}
