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
import rowanmoor.ControlApi.ListKind;
import rowanmoor.ControlApi.Listed;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.config.Section;
import rowanmoor.settings.SettingsReader.Told;

/**
 * What the catalog's objects mean to the module: whole lists and changes, versions, starts in this
 * instance's clock. An entry that cannot be read does not remove what is known of its instance. No I/O; its
 * callers pass both clocks.
 */
final class CatalogView {

    private static final long MILLI = 1_000_000L;
    private static final Map<String, Listed> LIFECYCLES = Map.of("in_service", Listed.READY,
            "terminating", Listed.DRAINING, "terminated", Listed.GONE);
    private static final int PROBLEMS_TOLD = 3;

    private record Stamp(long startedAtMs, long startedAt) { }

    private final Told told;
    private final Names names;
    private final TreeMap<Backend, Member> held = new TreeMap<>();
    private final Map<Backend, Stamp> stamps = new HashMap<>();
    private long generation;

    CatalogView(Told told, Names names) {
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
        generation = version;
        List<Member> entries = new ArrayList<>();
        Set<Backend> mentioned = new HashSet<>();
        for (Object instance : instances) {
            Member member = member(now, wall, instance, problems);
            if (member != null && mentioned.add(member.backend())) {
                entries.add(member);
            }
        }
        if (whole) {
            return whole(known, entries, mentioned);
        }
        entries.removeIf(m -> m.equals(held.put(m.backend(), m)));
        return entries.isEmpty() ? null : new Members(ListKind.DELTA, version, List.copyOf(entries));
    }

    /** A whole list that says what is held already is not told again. */
    private Members whole(boolean known, List<Member> entries, Set<Backend> mentioned) {
        boolean same = !known;
        for (Member member : entries) {
            same &= member.equals(held.put(member.backend(), member));
        }
        for (Member old : List.copyOf(held.values())) {
            if (!mentioned.contains(old.backend()) && old.listed() != Listed.GONE) {
                held.put(old.backend(), old.gone());
                same = false;
            }
        }
        return same ? null : new Members(known ? ListKind.CACHED : ListKind.FULL, generation,
                List.copyOf(entries));
    }

    private Member member(long now, long wall, Object instance, List<String> problems) {
        if (!(instance instanceof Map<?, ?> entry) || !(entry.get("instanceId") instanceof String id)
                || !id.matches("[!-~&&[^,:]]{1,200}")) {
            problem(problems, "an entry without a usable instanceId");
            return null;
        }
        Backend backend = names.listed(id);
        Member old = held.get(backend);
        Listed listed = LIFECYCLES.get(entry.get("lifecycle"));
        int zone = told.zones().indexOf(entry.get("zone"));
        int kind = told.kinds().indexOf(entry.get("machineType"));
        double weight = entry.get("weight") instanceof Number n ? n.doubleValue() : 1;
        double cell = entry.get("cell") instanceof Number n ? n.doubleValue() : 0;
        double started = entry.get("startedAtMs") instanceof Number n ? n.doubleValue() : 0;
        if (entry.get("hostPort") instanceof String text && Section.parseAddress(text) != null) {
            names.reach(backend, Section.parseAddress(text));
        }
        if (listed == Listed.GONE && old != null) {
            return old.gone(); // one that is gone need not say more
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
        if (member == null || member.listed() == Listed.GONE) {
            held.remove(backend);
            stamps.remove(backend);
            names.forget(backend);
        }
    }

    int remembered() {
        return Math.max(held.size(), stamps.size());
    }
}
