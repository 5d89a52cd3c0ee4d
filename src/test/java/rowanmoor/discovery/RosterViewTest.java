package rowanmoor.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Members;

/** Lists, changes, empty lists, restarted rosters, start times and unreadable entries. */
class RosterViewTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1000 * SECOND;
    private final RosterView view = new RosterView(3 * SECOND);

    private static RosterResponse.Entry entry(int i, Availability availability, long started) {
        return new RosterResponse.Entry(new Backend(i), 0, 0, 0, availability, 1, started, true);
    }

    private static RosterResponse response(RosterResponse.Entry... entries) {
        return new RosterResponse(List.of(entries), List.of());
    }

    private Members eventFor(long now, long index, RosterResponse response) {
        return view.apply(now, 5_000_000, index, response).event();
    }

    @Test
    void firstResponseIsAFullListAndLaterOnesAreChanges() {
        assertEquals(CatalogUpdateKind.FULL, eventFor(NOW, 5,
                response(entry(1, Availability.READY, 0), entry(2, Availability.READY, 0))).kind());
        assertNull(eventFor(NOW, 6, response(entry(1, Availability.READY, 0), entry(2, Availability.READY, 0))));
        Members changed = eventFor(NOW, 7, response(entry(2, Availability.DRAINING, 0), entry(3, Availability.READY, 0)));
        assertEquals(CatalogUpdateKind.DELTA, changed.kind());
        List<String> changes = new ArrayList<>();
        changed.entries().forEach(m -> changes.add(m.backend().id() + " " + m.availability()));
        assertEquals(List.of("1 GONE", "2 DRAINING", "3 READY"), changes);
    }

    @Test
    void oneEmptyListIsReportedAsAFailedQuery() {
        eventFor(NOW, 5, response(entry(1, Availability.READY, 0)));
        RosterView.Result empty = view.apply(NOW + SECOND, 0, 6, response());
        assertFalse(empty.accepted());
        assertEquals(CatalogUpdateKind.FAILED, empty.event().kind());
        view.restart();
        Members back = eventFor(NOW + 2 * SECOND, 7, response(entry(1, Availability.READY, 0)));
        assertEquals(CatalogUpdateKind.DELTA, back.kind());
        assertEquals(List.of(), back.entries());
    }

    @Test
    void emptyListIsAcceptedAfterTheHold() {
        eventFor(NOW, 5, response(entry(1, Availability.READY, 0)));
        view.apply(NOW, 0, 6, response());
        assertFalse(view.apply(NOW + 2 * SECOND, 0, 6, response()).accepted());
        Members gone = eventFor(NOW + 3 * SECOND, 6, response());
        assertEquals(Availability.GONE, gone.entries().get(0).availability());
    }

    @Test
    void indexThatGoesBackwardsMakesTheListStaleAndRestartsFromNoIndex() {
        eventFor(NOW, 50, response(entry(1, Availability.READY, 0)));
        RosterView.Result result = view.apply(NOW, 0, 3, response(entry(1, Availability.READY, 0)));
        assertEquals(0, result.index());
        assertEquals(CatalogUpdateKind.CACHED, result.event().kind());
        assertEquals(3, view.apply(NOW, 0, 3, response(entry(1, Availability.READY, 0))).index());
    }

    @Test
    void startTimeIsConvertedToTheControllersClockAndStaysTheSame() {
        long wall = 10_000_000;
        Members first = view.apply(NOW, wall, 5, response(entry(1, Availability.READY, wall - 4000))).event();
        assertEquals(NOW - 4 * SECOND, first.entries().get(0).startedAt());
        assertNull(view.apply(NOW + 9 * SECOND, wall + 9004, 6,
                response(entry(1, Availability.READY, wall - 4000))).event());
        Members again = view.apply(NOW + 20 * SECOND, wall + 20_000, 7,
                response(entry(1, Availability.READY, wall + 19_000))).event();
        assertEquals(NOW + 19 * SECOND, again.entries().get(0).startedAt());
        Members ahead = view.apply(NOW + 30 * SECOND, wall, 8,
                response(entry(1, Availability.READY, wall + 99_000))).event();
        assertEquals(NOW + 30 * SECOND, ahead.entries().get(0).startedAt(), "the instance's clock is ahead of the controller's");
    }

    @Test
    void unreadableEntryKeepsWhatIsKnownOfItsAddress() throws IOException {
        String good = "{\"Service\":{\"ID\":\"a\",\"Address\":\"10.0.0.1\",\"Port\":80,\"Tags\":[],"
                + "\"Meta\":{\"zone\":\"z\",\"kind\":\"k\"},\"Weights\":{\"Passing\":2}},\"Checks\":[]}";
        RosterResponse first = RosterResponse.parse(("[" + good + "]").getBytes(), List.of("z"), List.of("k"));
        eventFor(NOW, 5, first);
        RosterResponse bad = RosterResponse.parse(("[" + good.replace("\"z\"", "\"nowhere\"") + "]").getBytes(),
                List.of("z"), List.of("k"));
        assertEquals(1, bad.problems().size());
        assertNull(eventFor(NOW, 6, bad));
        assertThrows(IOException.class, () -> RosterResponse.parse("{".getBytes(), List.of(), List.of()));
        assertThrows(IOException.class, () -> RosterResponse.parse("{}".getBytes(), List.of(), List.of()));
        assertTrue(RosterResponse.parse("[{}]".getBytes(), List.of(), List.of()).problems().size() == 1);
        assertEquals(0, RosterResponse.parse(("[" + good.replace("\"Checks\":[]",
                "\"Checks\":[{\"Status\":\"critical\"}]") + "]").getBytes(), List.of("z"), List.of("k"))
                .entries().size());
    }

    @Test
    void replacedInstancesAreForgotten() {
        for (int i = 1; i <= 20_000; i++) {
            view.apply(NOW + i * 5 * SECOND, 5_000_000, 4 + i, response(entry(i, Availability.READY, 7),
                    entry(i + 1, Availability.READY, 7)));
        }
        assertTrue(view.trackedCount() < 300, view.trackedCount() + " tracked of 20000");
    }
}
