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

/** Whom an order concerns. */
class FanoutTest {

    private static final Backend BACKEND = new Backend(7);

    private final Fanout fanout = new Fanout(2);

    @Test
    void aWithdrawalReachesWhoHoldsTheLineAndThoseOfUnknownTablesUnlessItIsForTheBoundOnly() {
        for (int proxy = 1; proxy <= 3; proxy++) {
            fanout.join(proxy);
        }
        fanout.ordersByProxy(List.of(new SetLine(0, BACKEND, 1), new SetLine(1, new Backend(8), 1), new Bind(1, 0, 0),
                new Bind(2, 1, 0)));
        assertEquals(Set.of(1, 3), fanout.ordersByProxy(List.of(new Withdraw(BACKEND, true))).keySet());
        assertEquals(Set.of(1), fanout.ordersByProxy(List.of(new Withdraw(BACKEND, true, true))).keySet());
        fanout.ordersByProxy(List.of(new Bind(3, 1, 1))); // of its other class nothing is known yet
        assertEquals(Set.of(1, 3), fanout.ordersByProxy(List.of(new Withdraw(BACKEND, false))).keySet());
        assertEquals(Set.of(1), fanout.ordersByProxy(List.of(new Withdraw(BACKEND, true, true))).keySet());
    }

    @Test
    void whatABindLetsBackIsToldBehindItsTable() {
        fanout.join(1);
        List<Frame.Order> told = fanout.ordersByProxy(List.of(new SetLine(0, BACKEND, 1),
                new Bind(1, 0, 0, List.of(BACKEND)))).get(1);
        assertEquals(2, told.size());
        assertEquals(new Frame.Withdraw(BACKEND, false), told.get(1));
    }
}
