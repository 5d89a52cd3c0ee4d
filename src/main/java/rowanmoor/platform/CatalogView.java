package rowanmoor.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.config.Section;
import rowanmoor.settings.SettingsReader.NamedSettings;

/**
 * What the catalog's objects mean to the module: whole lists and changes, versions, starts in this
 * instance's clock. An entry that cannot be read does not remove what is known of its instance. An object of
 * an older version than the newest one seen does not undo a drain, and a whole list that is empty is believed
 * once it has been for a while. No I/O; its callers pass both clocks.
 */
final class CatalogView {

    private static final long MILLI = 1_000_000L;
    private static final Map<String, Availability> LIFECYCLES = Map.of("in_service", Availability.READY,
            "terminating", Availability.DRAINING, "terminated", Availability.GONE);
    private static final int PROBLEMS_TOLD = 3;
    /** How long a list must have been empty to be believed: as long as what is told may take to arrive. */
    private static final long EMPTY_HOLD = 6_000 * MILLI;

    private record Stamp(long startedAtMs, long startedAt) { }

    private final NamedSettings told;
    private final Names names;
    private final TreeMap<Backend, Member> held = new TreeMap<>();
    private final Map<Backend, Stamp> stamps = new HashMap<>();
    private long generation;
    private long newest; // the highest version taken in
    private long emptySince = -1;

    CatalogView(NamedSettings told, Names names) {
        this.told = told;
        this.names = names;
    }

    /** The version to follow from. */
    long generation() {
        return generation;
    }

    /**
     * Takes one object in.
     *
     * @param known whether it is the list as this controller last had it, which may be old
     * @param wall milliseconds since 1970, by which the catalog states starts
     * @param problems gets a line for each entry that cannot be read
     * @return what to tell the module, or null if nothing
     */
    Members take(long now, long wall, Map<String, Object> object, boolean known, List<String> problems)
            throws IOException {
        if (!(object.get("generation") instanceof Long version) || version < 0) {
            throw new IOException("generation is missing or no version");
        }
        if (!(object.get("instances") instanceof List<?> instances)) {
            throw new IOException("instances is missing or no list");
        }
        boolean whole = known || Boolean.TRUE.equals(object.get("reset"));
        if (!whole && version < generation) {
            throw new IOException("changes up to " + version + " after version " + generation);
        }
        boolean empty = whole && !known && instances.isEmpty()
                && held.values().stream().anyMatch(m -> m.availability() != Availability.GONE);
        emptySince = !empty ? -1 : emptySince < 0 ? now : emptySince;
        if (empty && now - emptySince < EMPTY_HOLD) { // one that has just begun may know of none yet
            throw new IOException("an empty list after one of " + held.size() + " instances");
        }
        boolean late = version < newest;
        boolean unnamed = false;
        List<Member> entries = new ArrayList<>();
        Set<Backend> mentioned = new HashSet<>();
        for (Object instance : instances) {
            String id = id(instance);
            if (id == null) {
                problem(problems, "an entry without a usable instanceId");
                unnamed = true;
                continue;
            }
            Member member = member(now, wall, id, (Map<?, ?>) instance, problems);
            if (member != null && mentioned.add(member.backend())) {
                entries.add(late ? notUndone(member) : member);
            }
        }
        generation = version;
        newest = Math.max(newest, version);
        if (whole) {
            return whole(known, entries, mentioned, unnamed);
        }
        entries.removeIf(m -> m.equals(held.put(m.backend(), m)));
        return entries.isEmpty() ? null : new Members(CatalogUpdateKind.DELTA, version, List.copyOf(entries));
    }

    /** What was draining or gone at a newer version is so still, unless it has started anew. */
    private Member notUndone(Member member) {
        Member old = held.get(member.backend());
        boolean undone = old != null && old.availability() != Availability.READY && member.availability() == Availability.READY
                && old.startedAt() == member.startedAt();
        return undone ? old : member;
    }

    /**
     * A whole list that says what is held already is not told again. With an entry that names nobody, nobody
     * is gone for not being mentioned: it may be the one.
     */
    private Members whole(boolean known, List<Member> entries, Set<Backend> mentioned, boolean unnamed) {
        boolean same = !known;
        for (Member member : entries) {
            same &= member.equals(held.put(member.backend(), member));
        }
        for (Member old : List.copyOf(held.values())) {
            if (!mentioned.contains(old.backend()) && old.availability() != Availability.GONE) {
                if (unnamed) {
                    entries.add(old);
                } else {
                    held.put(old.backend(), old.asGone());
                    same = false;
                }
            }
        }
        return same ? null : new Members(known ? CatalogUpdateKind.CACHED : CatalogUpdateKind.FULL, generation,
                List.copyOf(entries));
    }

    private static String id(Object instance) {
        return instance instanceof Map<?, ?> entry && entry.get("instanceId") instanceof String id
                && id.matches("[!-~&&[^,:]]{1,200}") ? id : null;
    }

    private Member member(long now, long wall, String id, Map<?, ?> entry, List<String> problems) {
        Backend backend = names.listed(id);
        Member old = held.get(backend);
        Availability listed = LIFECYCLES.get(entry.get("lifecycle"));
        int zone = told.zones().indexOf(entry.get("zone"));
        int kind = told.kinds().indexOf(entry.get("machineType"));
        double weight = entry.get("weight") instanceof Number n ? n.doubleValue() : 1;
        double cell = entry.get("cell") instanceof Number n ? n.doubleValue() : 0;
        double started = entry.get("startedAtMs") instanceof Number n ? n.doubleValue() : 0;
        if (entry.get("hostPort") instanceof String text && Section.parseAddress(text) != null) {
            names.reach(backend, Section.parseAddress(text));
        }
        if (listed == Availability.GONE && old != null) {
            return old.asGone(); // one that is gone need not say more
        }
        if (listed == null || zone < 0 || kind < 0 || !(weight >= 0 && weight <= 1e9)
                || !(cell >= 0 && cell <= 65535) || !(started >= 0 && started <= 1e15)) {
            problem(problems, "instance " + id + ": lifecycle, zone, machineType, cell, weight or startedAtMs"
                    + " is missing, unknown or out of range");
            return old;
        }
        return new Member(backend, zone, kind, (int) cell, listed, weight,
                startedAt(now, wall, backend, (long) started));
    }

    private static void problem(List<String> problems, String what) {
        if (problems.size() < PROBLEMS_TOLD) {
            problems.add(what);
        }
    }

    /**
     * A start in this instance's clock; the same stamp always becomes the same time, even if the wall clock
     * has been set since. Above 0, since 0 means long ago.
     */
    private long startedAt(long now, long wall, Backend backend, long startedAtMs) {
        if (startedAtMs == 0) {
            stamps.remove(backend);
            return 0;
        }
        Stamp stamp = stamps.get(backend);
        if (stamp == null || stamp.startedAtMs() != startedAtMs) {
            stamp = new Stamp(startedAtMs, Math.max(1, now - Math.max(0, wall - startedAtMs) * MILLI));
            stamps.put(backend, stamp);
        }
        return stamp.startedAt();
    }

    /** Lets go of one that the module has let go. */
    void forget(Backend backend) {
        Member member = held.get(backend);
        if (member == null || member.availability() == Availability.GONE) {
            held.remove(backend);
            stamps.remove(backend);
            names.forget(backend);
        }
    }

    int remembered() {
        return Math.max(held.size(), stamps.size());
    }
}
