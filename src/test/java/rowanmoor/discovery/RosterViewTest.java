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
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Members;

class RosterViewTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1000 * SECOND;
    private final RosterView view = new RosterView(3 * SECOND);

    private static RosterAnswer.Entry entry(int i, Availability listed, long started) {
        return new RosterAnswer.Entry(new Backend(i), 0, 0, 0, listed, 1, started, true);
    }

    private static RosterAnswer answer(RosterAnswer.Entry... entries) {
        return new RosterAnswer(List.of(entries), List.of());
    }

    private Members told(long now, long index, RosterAnswer answer) {
        return view.answer(now, 5_000_000, index, answer).event();
    }

    @Test
    void theFirstAnswerIsWholeAndLaterOnesAreChanges() {
        assertEquals(CatalogUpdateKind.FULL, told(NOW, 5, answer(entry(1, Availability.READY, 0), entry(2, Availability.READY, 0)))
                .kind());
        assertNull(told(NOW, 6, answer(entry(1, Availability.READY, 0), entry(2, Availability.READY, 0))));
        Members changed = told(NOW, 7, answer(entry(2, Availability.DRAINING, 0), entry(3, Availability.READY, 0)));
        assertEquals(CatalogUpdateKind.DELTA, changed.kind());
        List<String> changes = new ArrayList<>();
        changed.entries().forEach(m -> changes.add(m.backend().id() + " " + m.availability()));
        assertEquals(List.of("1 GONE", "2 DRAINING", "3 READY"), changes);
    }

    @Test
    void theRosterEmptiesForOneAnswerAndComesBack() {
        told(NOW, 5, answer(entry(1, Availability.READY, 0)));
        RosterView.Step empty = view.answer(NOW + SECOND, 0, 6, answer());
        assertFalse(empty.usable());
        assertEquals(CatalogUpdateKind.FAILED, empty.event().kind());
        view.restart();
        Members back = told(NOW + 2 * SECOND, 7, answer(entry(1, Availability.READY, 0)));
        assertEquals(CatalogUpdateKind.DELTA, back.kind());
        assertEquals(List.of(), back.entries());
    }

    @Test
    void aListThatStaysEmptyIsBelievedInTheEnd() {
        told(NOW, 5, answer(entry(1, Availability.READY, 0)));
        view.answer(NOW, 0, 6, answer());
        assertFalse(view.answer(NOW + 2 * SECOND, 0, 6, answer()).usable());
        Members gone = told(NOW + 3 * SECOND, 6, answer());
        assertEquals(Availability.GONE, gone.entries().get(0).availability());
    }

    @Test
    void anIndexThatGoesBackStartsOverAndTheListMayBeStale() {
        told(NOW, 50, answer(entry(1, Availability.READY, 0)));
        RosterView.Step step = view.answer(NOW, 0, 3, answer(entry(1, Availability.READY, 0)));
        assertEquals(0, step.index());
        assertEquals(CatalogUpdateKind.CACHED, step.event().kind());
        assertEquals(3, view.answer(NOW, 0, 3, answer(entry(1, Availability.READY, 0))).index());
    }

    @Test
    void aStartIsToldInTheModulesClockAndStaysWhatItWas() {
        long wall = 10_000_000;
        Members first = view.answer(NOW, wall, 5, answer(entry(1, Availability.READY, wall - 4000))).event();
        assertEquals(NOW - 4 * SECOND, first.entries().get(0).startedAt());
        assertNull(view.answer(NOW + 9 * SECOND, wall + 9004, 6,
                answer(entry(1, Availability.READY, wall - 4000))).event());
        Members again = view.answer(NOW + 20 * SECOND, wall + 20_000, 7,
                answer(entry(1, Availability.READY, wall + 19_000))).event();
        assertEquals(NOW + 19 * SECOND, again.entries().get(0).startedAt());
        Members ahead = view.answer(NOW + 30 * SECOND, wall, 8,
                answer(entry(1, Availability.READY, wall + 99_000))).event();
        assertEquals(NOW + 30 * SECOND, ahead.entries().get(0).startedAt(), "a clock ahead of ours");
    }

    @Test
    void anEntryThatCannotBeReadKeepsWhatIsKnownOfItsAddress() throws IOException {
        String good = "{\"Service\":{\"ID\":\"a\",\"Address\":\"10.0.0.1\",\"Port\":80,\"Tags\":[],"
                + "\"Meta\":{\"zone\":\"z\",\"kind\":\"k\"},\"Weights\":{\"Passing\":2}},\"Checks\":[]}";
        RosterAnswer first = RosterAnswer.parse(("[" + good + "]").getBytes(), List.of("z"), List.of("k"));
        told(NOW, 5, first);
        RosterAnswer bad = RosterAnswer.parse(("[" + good.replace("\"z\"", "\"nowhere\"") + "]").getBytes(),
                List.of("z"), List.of("k"));
        assertEquals(1, bad.problems().size());
        assertNull(told(NOW, 6, bad));
        assertThrows(IOException.class, () -> RosterAnswer.parse("{".getBytes(), List.of(), List.of()));
        assertThrows(IOException.class, () -> RosterAnswer.parse("{}".getBytes(), List.of(), List.of()));
        assertTrue(RosterAnswer.parse("[{}]".getBytes(), List.of(), List.of()).problems().size() == 1);
        assertEquals(0, RosterAnswer.parse(("[" + good.replace("\"Checks\":[]",
                "\"Checks\":[{\"Status\":\"critical\"}]") + "]").getBytes(), List.of("z"), List.of("k"))
                .entries().size());
    }

    @Test
    void machinesReplacedForYearsAreNotRememberedForGood() {
        for (int i = 1; i <= 20_000; i++) {
            view.answer(NOW + i * 5 * SECOND, 5_000_000, 4 + i, answer(entry(i, Availability.READY, 7),
                    entry(i + 1, Availability.READY, 7)));
        }
        assertTrue(view.remembered() < 300, view.remembered() + " remembered of 20000");
    }
}
