package rowanmoor.host;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.MarkAt;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.ControlApi.WithdrawAt;
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

    /** A proxy that was bound while a backend was withdrawn would never get its line again. */
    @Test
    void linesOfWithdrawnBackendsAreLeftOutOfBindsAndComeWithTheReadmission() {
        fanout.join(1);
        Frame.SetLine line = new Frame.SetLine(0, new Frame.Line(BACKEND, 2));
        List<Frame.Order> bound = fanout.ordersByProxy(List.of(new SetLine(0, BACKEND, 1),
                new SetLine(0, new Backend(8), 1), new WithdrawAt(List.of(BACKEND), List.of()), new Bind(1, 0, 0))).get(1);
        assertEquals(List.of(new Frame.Line(new Backend(8), 1)), ((Frame.Bind) bound.get(0)).table().lines());
        assertEquals(List.of(), ((Frame.Bind) bound.get(0)).withdrawn());
        assertEquals(Set.of(), fanout.ordersByProxy(List.of(new SetLine(0, BACKEND, 2))).keySet());
        assertEquals(List.of(new Frame.Withdraw(BACKEND, false), line),
                fanout.ordersByProxy(List.of(new Withdraw(BACKEND, false))).get(1));
        assertEquals(List.of(line), fanout.ordersByProxy(List.of(new SetLine(0, BACKEND, 2))).get(1));
    }

    /** A proxy that is bound to another table than the policy plans still holds, and is told of, its old lines. */
    @Test
    void addressedWithdrawalGoesToThoseOfTheProxiesThatMayHoldTheBackend() {
        for (int proxy = 1; proxy <= 4; proxy++) {
            fanout.join(proxy);
        }
        fanout.ordersByProxy(List.of(new SetLine(0, BACKEND, 1), new SetLine(1, new Backend(8), 1), new Bind(1, 0, 0),
                new Bind(2, 1, 0), new Bind(4, 0, 0)));
        assertEquals(Set.of(1, 3), fanout.ordersByProxy(List.of(
                new WithdrawAt(List.of(BACKEND), List.of(1, 2, 3, 9)))).keySet());
        assertEquals(List.of(new Frame.Withdraw(BACKEND, true), new Frame.Mark(5)), fanout.ordersByProxy(List.of(
                new WithdrawAt(List.of(BACKEND), List.of(4)), new MarkAt(5, List.of(3, 4)))).get(4));
        fanout.ordersByProxy(List.of(new Bind(3, 1, 0)));
        assertEquals(Set.of(1, 3, 4), fanout.ordersByProxy(List.of(new Withdraw(BACKEND, false, true))).keySet());
    }
}
