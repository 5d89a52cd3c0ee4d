package rowanmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.platform.InMemoryPlatform.START_NS;
import static rowanmoor.platform.InMemoryPlatform.WALL_MS;
import static rowanmoor.platform.InMemoryPlatform.catalogObject;
import static rowanmoor.platform.InMemoryPlatform.instance;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;

/** Catalog lists, changes, versions and start times; mapping of instance IDs to backends. */
class CatalogViewTest {

    private static final String HOST_PORT = "127.0.0.1:3000";
    private static final long SECOND = 1_000_000_000L;

    private final InstanceRegistry registry = new InstanceRegistry();
    private final CatalogView view = new CatalogView(InMemoryPlatform.namedSettings(), registry);
    private final List<String> problems = new ArrayList<>();

    private Members apply(long generation, boolean reset, Map<?, ?>... entries) throws IOException {
        List<Map<String, Object>> all = new ArrayList<>();
        for (Map<?, ?> entry : entries) {
            @SuppressWarnings("unchecked")
            Map<String, Object> typed = (Map<String, Object>) entry;
            all.add(typed);
        }
        return view.apply(START_NS, WALL_MS, catalogObject(generation, reset, all), false, problems);
    }

    private static Map<String, Object> inService(String id) {
        return instance(id, "north", "in_service", 0, HOST_PORT);
    }

    @Test
    void fullListsChangesAndRemovals() throws IOException {
        assertEquals(CatalogUpdateKind.CACHED, view.apply(START_NS, WALL_MS,
                catalogObject(4, true, List.of(inService("s-1"), inService("s-2"))), true, problems).kind());
        assertEquals(4, view.generation());
        Members change = apply(5, false, instance("s-1", "north", "terminating", 0, HOST_PORT));
        assertEquals(CatalogUpdateKind.DELTA, change.kind());
        assertEquals(Availability.DRAINING, change.entries().get(0).availability());
        assertNull(apply(6, false, instance("s-1", "north", "terminating", 0, HOST_PORT)), "nothing changed");
        assertEquals(Availability.GONE, apply(7, false, instance("s-1", "north", "terminated", 0, HOST_PORT)).entries().get(0)
                .availability());
        Members full = apply(8, true, inService("s-3"));
        assertEquals(CatalogUpdateKind.FULL, full.kind());
        assertEquals(1, full.entries().size(), "the decision module treats instances missing from a full list as gone");
        assertNull(apply(9, true, inService("s-3")), "the same list again");
        assertThrows(IOException.class, () -> apply(3, false, inService("s-1")), "changes of an older version");
        assertEquals(CatalogUpdateKind.FULL, apply(2, true, inService("s-1")).kind(), "a full list may have an older version");
        assertEquals(2, view.generation());
    }

    @Test
    void unreadableEntryRemovesNothing() throws IOException {
        apply(1, true, inService("s-1"), inService("s-2"));
        Map<String, Object> bad = inService("s-1");
        bad.put("lifecycle", "resting");
        Members full = apply(2, true, bad, inService("s-2"), inService("s-3"));
        assertEquals(3, full.entries().size());
        assertEquals(1, problems.size());
        for (String key : List.of("zone", "machineType", "weight", "cell", "startedAtMs", "instanceId")) {
            Map<String, Object> wrong = inService("s-4");
            wrong.put(key, key.equals("weight") || key.equals("cell") || key.equals("startedAtMs")
                    ? (Object) (-1L) : "?,?");
            assertNull(apply(3, false, wrong), key);
        }
        assertThrows(IOException.class, () -> view.apply(START_NS, WALL_MS, Map.of("generation", "x", "instances",
                List.of()), false, problems));
        assertThrows(IOException.class, () -> view.apply(START_NS, WALL_MS, Map.of("generation", 9L), false, problems));
    }

    @Test
    void entryWithoutAnIdKeepsAllMissingInstances() throws IOException {
        apply(1, true, inService("s-1"), inService("s-2"));
        Map<String, Object> bad = inService("s-2");
        bad.remove("instanceId");
        assertNull(apply(2, true, inService("s-1"), bad), "the entry may be s-2");
        assertEquals(1, problems.size());
        assertEquals(2, apply(3, true, inService("s-1"), inService("s-3"), bad).entries().size() - 1, "all three are listed");
    }

    @Test
    void olderListDoesNotUndoADrainUnlessTheInstanceRestarted() throws IOException {
        apply(5, true, inService("s-1"), inService("s-2"), inService("s-3"));
        apply(6, false, instance("s-1", "north", "terminating", 0, HOST_PORT),
                instance("s-2", "north", "terminated", 0, HOST_PORT));
        Members older = apply(5, true, inService("s-1"), inService("s-2"), inService("s-3"));
        assertNull(older, "nothing is undone: " + older);
        assertEquals(5, view.generation(), "the next watch continues from the list's version");
        assertNull(apply(6, false, instance("s-1", "north", "terminating", 0, HOST_PORT)), "the same drain again");
        assertEquals(Availability.READY, apply(7, false, inService("s-1")).entries().get(0).availability(),
                "a newer version may undo the drain");
        apply(8, false, instance("s-1", "north", "terminated", 0, HOST_PORT));
        assertEquals(Availability.READY, apply(4, true, instance("s-1", "north", "in_service", WALL_MS - 500, HOST_PORT),
                inService("s-2"), inService("s-3")).entries().get(0).availability(), "restarted since");
    }

    @Test
    void emptyListIsAcceptedAfterTheHold() throws IOException {
        apply(1, true, inService("s-1"));
        Map<String, Object> empty = catalogObject(2, true, List.of());
        for (long ms : new long[] {0, 3000, 5999}) {
            assertThrows(IOException.class, () -> view.apply(START_NS + ms * 1_000_000, WALL_MS, empty, false, problems));
        }
        assertEquals(1, view.generation(), "the next watch continues from the version held");
        apply(2, false, inService("s-2"));
        assertThrows(IOException.class, () -> view.apply(START_NS + 6 * SECOND, WALL_MS, empty, false, problems),
                "a change in between restarts the hold");
        Members gone = view.apply(START_NS + 12 * SECOND, WALL_MS, empty, false, problems);
        assertEquals(CatalogUpdateKind.FULL, gone.kind());
        assertEquals(List.of(), gone.entries());
    }

    @Test
    void startSecondsBeforeTheControllersStartIsRecent() throws IOException {
        Member started = apply(1, true, instance("s-1", "north", "in_service", WALL_MS - 3000, HOST_PORT)).entries().get(0);
        assertEquals(START_NS - 3 * SECOND, started.startedAt());
        assertTrue(InMemoryPlatform.namedSettings().settings().rules().warmth(started.startedAt(), START_NS) < 0.5, "cold");
        assertEquals(0, apply(2, false, inService("s-2")).entries().get(0).startedAt(), "0 means long ago");
        assertEquals(START_NS, apply(3, false, instance("s-3", "north", "in_service", WALL_MS + 900, HOST_PORT)).entries()
                .get(0).startedAt(), "never in the future");
    }

    @Test
    void startTimeSurvivesAnAdjustedWallClock() throws IOException {
        long first = apply(1, true, instance("s-1", "north", "in_service", WALL_MS - 3000, HOST_PORT)).entries().get(0)
                .startedAt();
        Members again = view.apply(START_NS + SECOND, WALL_MS + 500_000, catalogObject(2, true, List.of(instance("s-1", "north",
                "in_service", WALL_MS - 3000, HOST_PORT), inService("s-2"))), false, problems);
        assertEquals(first, again.entries().get(0).startedAt());
    }

    @Test
    void backendsAreDerivedFromIdsAlone() {
        InstanceRegistry other = new InstanceRegistry();
        for (int i = 999; i >= 0; i--) {
            other.register("s-" + i);
        }
        for (int i = 0; i < 1000; i++) {
            assertEquals(other.find("s-" + i), registry.register("s-" + i));
        }
        assertNull(registry.find("s-1000"));
        assertEquals("withdrawn: s-7 listed GONE, 1.2.3.4:5", registry.withInstanceIds("withdrawn: " + registry.find("s-7")
                + " listed GONE, 1.2.3.4:5"));
    }

    @Test
    void collidingIdsGetDifferentBackends() {
        InstanceRegistry colliding = new InstanceRegistry(
                id -> id.startsWith("s-") && !id.contains("#") ? 5 : InstanceRegistry.hash(id));
        Backend one = colliding.register("s-1");
        Backend two = colliding.register("s-2");
        assertNotEquals(one, two);
        assertEquals("s-2", colliding.id(two));
        assertEquals(one, colliding.register("s-1"));
        colliding.forget(one);
        assertNull(colliding.id(one));
        assertEquals(two, colliding.find("s-2"), "removing one does not affect the other");
    }

    @Test
    void replacedInstancesAreForgotten() throws IOException {
        for (int i = 0; i < 5000; i++) {
            apply(2 * i + 1, false, instance("s-" + i, "north", "in_service", WALL_MS, HOST_PORT));
            apply(2 * i + 2, false, instance("s-" + i, "north", "terminated", WALL_MS, HOST_PORT));
            if (i >= 10) {
                view.forget(registry.find("s-" + (i - 10)));
            }
        }
        assertEquals(10, view.trackedCount());
        assertEquals(10, registry.size());
    }
}
