package rowanmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.platform.TestPlatform.START;
import static rowanmoor.platform.TestPlatform.WALL;
import static rowanmoor.platform.TestPlatform.instance;
import static rowanmoor.platform.TestPlatform.list;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;

/** Lists, changes, versions, starts, names. */
class CatalogViewTest {

    private static final String AT = "127.0.0.1:3000";
    private static final long SECOND = 1_000_000_000L;

    private final Names names = new Names();
    private final CatalogView view = new CatalogView(TestPlatform.told(), names);
    private final List<String> problems = new ArrayList<>();

    private Members take(long generation, boolean reset, Map<?, ?>... entries) throws IOException {
        List<Map<String, Object>> all = new ArrayList<>();
        for (Map<?, ?> entry : entries) {
            @SuppressWarnings("unchecked")
            Map<String, Object> its = (Map<String, Object>) entry;
            all.add(its);
        }
        return view.take(START, WALL, list(generation, reset, all), false, problems);
    }

    private static Map<String, Object> in(String id) {
        return instance(id, "north", "in_service", 0, AT);
    }

    @Test
    void wholeListsChangesAndWhatIsGone() throws IOException {
        assertEquals(CatalogUpdateKind.CACHED, view.take(START, WALL, list(4, true, List.of(in("s-1"), in("s-2"))), true,
                problems).kind());
        assertEquals(4, view.generation());
        Members change = take(5, false, instance("s-1", "north", "terminating", 0, AT));
        assertEquals(CatalogUpdateKind.DELTA, change.kind());
        assertEquals(Availability.DRAINING, change.entries().get(0).availability());
        assertNull(take(6, false, instance("s-1", "north", "terminating", 0, AT)), "nothing has changed");
        assertEquals(Availability.GONE, take(7, false, instance("s-1", "north", "terminated", 0, AT)).entries().get(0)
                .availability());
        Members whole = take(8, true, in("s-3"));
        assertEquals(CatalogUpdateKind.FULL, whole.kind());
        assertEquals(1, whole.entries().size(), "the module takes what a whole list lacks for gone");
        assertNull(take(9, true, in("s-3")), "the same list again");
        assertThrows(IOException.class, () -> take(3, false, in("s-1")), "changes that go back");
        assertEquals(CatalogUpdateKind.FULL, take(2, true, in("s-1")).kind(), "a whole list may go back");
        assertEquals(2, view.generation());
    }

    @Test
    void anEntryThatCannotBeReadRemovesNothing() throws IOException {
        take(1, true, in("s-1"), in("s-2"));
        Map<String, Object> bad = in("s-1");
        bad.put("lifecycle", "resting");
        Members whole = take(2, true, bad, in("s-2"), in("s-3"));
        assertEquals(3, whole.entries().size());
        assertEquals(1, problems.size());
        for (String key : List.of("zone", "machineType", "weight", "cell", "startedAtMs", "instanceId")) {
            Map<String, Object> wrong = in("s-4");
            wrong.put(key, key.equals("weight") || key.equals("cell") || key.equals("startedAtMs")
                    ? (Object) (-1L) : "?,?");
            assertNull(take(3, false, wrong), key);
        }
        assertThrows(IOException.class, () -> view.take(START, WALL, Map.of("generation", "x", "instances",
                List.of()), false, problems));
        assertThrows(IOException.class, () -> view.take(START, WALL, Map.of("generation", 9L), false, problems));
    }

    @Test
    void anEntryThatNamesNobodyLeavesAllThatAreNotMentioned() throws IOException {
        take(1, true, in("s-1"), in("s-2"));
        Map<String, Object> bad = in("s-2");
        bad.remove("instanceId");
        assertNull(take(2, true, in("s-1"), bad), "s-2 may be the one");
        assertEquals(1, problems.size());
        assertEquals(2, take(3, true, in("s-1"), in("s-3"), bad).entries().size() - 1, "all three are listed");
    }

    @Test
    void anOlderListDoesNotUndoADrainUnlessItsProcessIsNew() throws IOException {
        take(5, true, in("s-1"), in("s-2"), in("s-3"));
        take(6, false, instance("s-1", "north", "terminating", 0, AT), instance("s-2", "north", "terminated", 0, AT));
        Members older = take(5, true, in("s-1"), in("s-2"), in("s-3"));
        assertNull(older, "nothing is undone: " + older);
        assertEquals(5, view.generation(), "it is followed from what it has said");
        assertNull(take(6, false, instance("s-1", "north", "terminating", 0, AT)), "and said again");
        assertEquals(Availability.READY, take(7, false, in("s-1")).entries().get(0).availability(), "a newer one may");
        take(8, false, instance("s-1", "north", "terminated", 0, AT));
        assertEquals(Availability.READY, take(4, true, instance("s-1", "north", "in_service", WALL - 500, AT), in("s-2"),
                in("s-3")).entries().get(0).availability(), "started anew");
    }

    @Test
    void anEmptyListIsBelievedOnceItHasStayedSo() throws IOException {
        take(1, true, in("s-1"));
        Map<String, Object> empty = list(2, true, List.of());
        for (long ms : new long[] {0, 3000, 5999}) {
            assertThrows(IOException.class, () -> view.take(START + ms * 1_000_000, WALL, empty, false, problems));
        }
        assertEquals(1, view.generation(), "it is asked from what is held");
        take(2, false, in("s-2"));
        assertThrows(IOException.class, () -> view.take(START + 6 * SECOND, WALL, empty, false, problems),
                "something was said meanwhile");
        Members gone = view.take(START + 12 * SECOND, WALL, empty, false, problems);
        assertEquals(CatalogUpdateKind.FULL, gone.kind());
        assertEquals(List.of(), gone.entries());
    }

    @Test
    void aStartSecondsBeforeThisControllersIsNotLongAgo() throws IOException {
        Member started = take(1, true, instance("s-1", "north", "in_service", WALL - 3000, AT)).entries().get(0);
        assertEquals(START - 3 * SECOND, started.startedAt());
        assertTrue(TestPlatform.told().settings().rules().warmth(started.startedAt(), START) < 0.5, "cold");
        assertEquals(0, take(2, false, in("s-2")).entries().get(0).startedAt(), "0 means long ago");
        assertEquals(START, take(3, false, instance("s-3", "north", "in_service", WALL + 900, AT)).entries()
                .get(0).startedAt(), "never in the future");
    }

    @Test
    void aStartStaysThoughTheWallClockIsSet() throws IOException {
        long first = take(1, true, instance("s-1", "north", "in_service", WALL - 3000, AT)).entries().get(0)
                .startedAt();
        Members again = view.take(START + SECOND, WALL + 500_000, list(2, true, List.of(instance("s-1", "north",
                "in_service", WALL - 3000, AT), in("s-2"))), false, problems);
        assertEquals(first, again.entries().get(0).startedAt());
    }

    @Test
    void placesFollowFromIdsAlone() {
        Names other = new Names();
        for (int i = 999; i >= 0; i--) {
            other.listed("s-" + i);
        }
        for (int i = 0; i < 1000; i++) {
            assertEquals(other.known("s-" + i), names.listed("s-" + i));
        }
        assertNull(names.known("s-1000"));
        assertEquals("withdrawn: s-7 listed GONE, 1.2.3.4:5", names.named("withdrawn: " + names.known("s-7")
                + " listed GONE, 1.2.3.4:5"));
    }

    @Test
    void idsThatMeetAreToldApart() {
        Names met = new Names(id -> id.startsWith("s-") && !id.contains("#") ? 5 : Names.hash(id));
        Backend one = met.listed("s-1");
        Backend two = met.listed("s-2");
        assertNotEquals(one, two);
        assertEquals("s-2", met.id(two));
        assertEquals(one, met.listed("s-1"));
        met.forget(one);
        assertNull(met.id(one));
        assertEquals(two, met.known("s-2"), "letting one go does not misdirect the other");
    }

    @Test
    void replacedForGoodTheyAreLetGo() throws IOException {
        for (int i = 0; i < 5000; i++) {
            take(2 * i + 1, false, instance("s-" + i, "north", "in_service", WALL, AT));
            take(2 * i + 2, false, instance("s-" + i, "north", "terminated", WALL, AT));
            if (i >= 10) {
                view.forget(names.known("s-" + (i - 10)));
            }
        }
        assertEquals(10, view.remembered());
        assertEquals(10, names.count());
    }
}
