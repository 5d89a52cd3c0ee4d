package rowanmoor.host;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.TestSettings;

/** Delivery of stream events to the policy. */
class TickRunnerTest {

    private static final long SECOND = 1_000_000_000L;

    private final TickRunner runner = new TickRunner(TestSettings.plain(), 1, () -> 0);

    private static Members catalog() {
        return new Members(CatalogUpdateKind.FULL, 1, List.of(new Member(new Backend(1), 0, 0, 0, Availability.READY, 1, 0)));
    }

    @Test
    void proxiesThatJoinAndLeaveBeforeTheFirstCatalogAreForgotten() {
        for (int i = 0; i < 1000; i++) {
            runner.onStreamEvent(new ProxyJoined(i % 3, 0, 5, true));
            runner.onStreamEvent(new ProxyLeft(i % 3));
        }
        runner.onStreamEvent(new ProxyJoined(7, 0, 5, true));
        runner.onCatalog(catalog());
        List<Event> events = runner.runTick(SECOND).events();
        assertEquals(List.of(catalog(), new ProxyJoined(7, 0, 5, true)), events);
    }

    @Test
    void streamEventsOfOneTickAreDeliveredInOrder() {
        runner.onCatalog(catalog());
        runner.runTick(SECOND);
        List<Event> sent = List.of(new ProxyJoined(1, 0, 5, true), new ProxyLeft(1), new ProxyJoined(1, 0, 6, false),
                new ProxyLeft(2));
        sent.forEach(runner::onStreamEvent);
        assertEquals(sent, runner.runTick(2 * SECOND).events().subList(0, 4), "including the leave of an unknown proxy");
    }
}
