package rowanmoor.host;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.TestSettings;

/** What the module is told of streams, and when. */
class TurnsTest {

    private static final long SECOND = 1_000_000_000L;

    private final TickRunner turns = new TickRunner(TestSettings.plain(), 1, () -> 0);

    private static Members listed() {
        return new Members(CatalogUpdateKind.FULL, 1, List.of(new Member(new Backend(1), 0, 0, 0, Availability.READY, 1, 0)));
    }

    @Test
    void streamsThatComeAndGoBeforeTheFirstListLeaveNothing() {
        for (int i = 0; i < 1000; i++) {
            turns.onStreamEvent(new ProxyJoined(i % 3, 0, 5, true));
            turns.onStreamEvent(new ProxyLeft(i % 3));
        }
        turns.onStreamEvent(new ProxyJoined(7, 0, 5, true));
        turns.onCatalog(listed());
        List<Event> events = turns.runTick(SECOND).events();
        assertEquals(List.of(listed(), new ProxyJoined(7, 0, 5, true)), events);
    }

    @Test
    void aJoinALeaveAndAJoinInOneTurnAreToldAsTheyCame() {
        turns.onCatalog(listed());
        turns.runTick(SECOND);
        List<Event> came = List.of(new ProxyJoined(1, 0, 5, true), new ProxyLeft(1), new ProxyJoined(1, 0, 6, false),
                new ProxyLeft(2));
        came.forEach(turns::onStreamEvent);
        assertEquals(came, turns.runTick(2 * SECOND).events().subList(0, 4), "a leave of one never seen among them");
    }
}
