package rowanmoor.host;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.channel.Frame;

/** Which proxies receive an order. */
class FanoutTest {

    private static final Backend BACKEND = new Backend(7);

    private final Fanout fanout = new Fanout(2);

    @Test
    void withdrawalGoesToHoldersOfTheBackendAndUnlessBoundOnlyToProxiesWithUnknownTables() {
        for (int proxy = 1; proxy <= 3; proxy++) {
            fanout.join(proxy);
        }
        fanout.ordersByProxy(List.of(new SetLine(0, BACKEND, 1), new SetLine(1, new Backend(8), 1), new Bind(1, 0, 0),
                new Bind(2, 1, 0)));
        assertEquals(Set.of(1, 3), fanout.ordersByProxy(List.of(new Withdraw(BACKEND, true))).keySet());
        assertEquals(Set.of(1), fanout.ordersByProxy(List.of(new Withdraw(BACKEND, true, true))).keySet());
        fanout.ordersByProxy(List.of(new Bind(3, 1, 1))); // the table of its other class is still unknown
        assertEquals(Set.of(1, 3), fanout.ordersByProxy(List.of(new Withdraw(BACKEND, false))).keySet());
        assertEquals(Set.of(1), fanout.ordersByProxy(List.of(new Withdraw(BACKEND, true, true))).keySet());
    }

    @Test
    void readmissionsOfABindFollowItsTable() {
        fanout.join(1);
        List<Frame.Order> orders = fanout.ordersByProxy(List.of(new SetLine(0, BACKEND, 1),
                new Bind(1, 0, 0, List.of(BACKEND)))).get(1);
        assertEquals(2, orders.size());
        assertEquals(new Frame.Withdraw(BACKEND, false), orders.get(1));
    }
}
