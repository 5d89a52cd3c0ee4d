package rowanmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probe;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.host.Fanout;

/** What each order of the module's means on the simulator's wire comes out the same in pushes. */
class TranslatorTest {

    private final Names names = new Names();
    private final Backend one = names.listed("s-1");
    private final Backend two = names.listed("s-2");
    private final Backend three = names.listed("s-3");
    private final Fanout fanout = new Fanout(2);
    private final Translator translator = new Translator(List.of("read", "pay"), names, fanout);

    @BeforeEach
    void listed() {
        fanout.onCatalog(new Members(CatalogUpdateKind.FULL, 1, List.of(one, two, three).stream()
                .map(b -> new Member(b, 0, 0, 0, Availability.READY, 1, 0)).toList()));
        fanout.join(7);
        fanout.join(8);
    }

    /** What these orders write to proxy 7, a string a part. */
    private List<String> written(Action... actions) {
        return written(7, actions);
    }

    private List<String> written(int proxy, Action... actions) {
        var orders = fanout.ordersByProxy(List.of(actions)).get(proxy);
        return orders == null ? List.of() : translator.push(proxy, orders).stream()
                .map(m -> String.join(" ", m)).toList();
    }

    private String lines(Object... pairs) {
        java.util.TreeMap<Backend, String> sorted = new java.util.TreeMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            sorted.put((Backend) pairs[i], names.id((Backend) pairs[i]) + ":" + pairs[i + 1]);
        }
        return String.join(",", sorted.values());
    }

    @Test
    void aBindIsTheWholeTableWithItsLevelsAndWithdrawals() {
        written(new SetLine(3, one, 1.5), new SetLine(3, two, 2), new Admit(3, 3, 4.5, RetryPolicy.ONCE_UNRUN),
                new Withdraw(two, true));
        assertEquals(List.of("push full 1 endpoints " + lines(one, "1.5", two, "2") + " admit 4.5 policy 1"
                + " eject s-2 nonce_out 9"), written(new Bind(7, 3, 0), new Mark(9)));
        assertEquals(List.of("push full 1"), written(new Bind(7, 99, 0)), "a table without lines is empty");
    }

    @Test
    void laterChangesReachOnlyProxiesBoundToThatTable() {
        written(new SetLine(3, one, 1), new Bind(7, 3, 0), new Bind(8, 4, 0));
        assertEquals(List.of("push endpoints s-2:0.25"), written(new SetLine(3, two, 0.25)));
        assertEquals(List.of(), written(8, new SetLine(3, two, 0.5)));
        assertEquals(List.of("push endpoints s-1:0"), written(new SetLine(3, one, 0)), "weight 0 takes it out");
        fanout.leave(7);
        assertEquals(List.of(), written(new SetLine(3, two, 1)), "nothing for one that has gone");
        fanout.join(7);
        assertEquals(List.of(), written(new SetLine(3, two, 2)), "nor for one that has not been bound again");
    }

    @Test
    void classesWithDifferentTablesAreParts() {
        written(new SetLine(3, one, 1), new SetLine(4, two, 1));
        assertEquals(List.of("push routes read full 1 endpoints s-1:1 continued 1",
                "push routes pay full 1 endpoints s-2:1 nonce_out 5"),
                written(new Bind(7, 3, 1), new Bind(7, 4, 2), new Mark(5)));
        assertEquals(List.of("push routes pay endpoints s-3:1"), written(new SetLine(4, three, 1)));
    }

    @Test
    void aLevelGoesWithItsWayOfTryingAgain() {
        written(new SetLine(3, one, 1), new Bind(7, 3, 0));
        assertEquals(List.of("push admit 0.5 policy 3"), written(new Admit(3, 0, 0.5, RetryPolicy.TWICE)));
        assertEquals(List.of("push routes pay admit 2 policy 0"), written(new Admit(3, 2, 2, RetryPolicy.NEVER)));
        assertEquals(List.of("push endpoints s-2:1 continued 1", "push routes read admit 1 policy 1 continued 1",
                "push routes pay admit 3 policy 1 nonce_out 6"),
                written(new SetLine(3, two, 1), new Admit(3, 1, 1, RetryPolicy.ONCE_UNRUN),
                        new Admit(3, 2, 3, RetryPolicy.ONCE_UNRUN), new Mark(6)));
        assertEquals(List.of("push endpoints s-2:2 admit 7 policy 1"), written(new SetLine(3, two, 2),
                new Admit(3, 1, 7, RetryPolicy.ONCE_UNRUN), new Admit(3, 2, 7, RetryPolicy.ONCE_UNRUN)),
                "equal levels of all classes are one");
    }

    @Test
    void withdrawalsReachThoseThatMayHoldTheBackend() {
        written(new SetLine(3, one, 1), new Bind(7, 3, 0));
        assertEquals(List.of(), written(new Withdraw(two, true)), "its table has no such line");
        assertEquals(List.of("push eject s-1"), written(new Withdraw(one, true)));
        assertEquals(List.of("push restore s-1"), written(new Withdraw(one, false)));
        assertEquals(List.of("push eject s-3"), written(8, new Withdraw(three, true)),
                "of one that is not bound nothing is known");
    }

    @Test
    void whatDiscoveryHasNotListedIsNeverNamed() {
        Backend unknown = new Backend(77);
        for (String push : written(new SetLine(3, one, 1), new SetLine(3, unknown, 1), new Bind(7, 3, 0),
                new Withdraw(unknown, true))) {
            assertTrue(push.contains("s-1") && !push.contains("null") && !push.contains("eject"), push);
        }
    }

    @Test
    void figuresHaveNoExponent() {
        for (double value : List.of(1e-9, 1.0 / 3, 12.3456789, 1e6, 100.0, 1e12, 4.9e-5)) {
            String text = Translator.number(value);
            assertFalse(text.contains("E") || text.contains("-"), text);
            assertEquals(value, Double.parseDouble(text), value * 1e-4);
        }
        assertEquals("0", Translator.number(0));
    }

    /** Each kind of action either writes something here or is told to a part of the service. */
    @Test
    void everyActionHasItsOrder() {
        List<Action> writing = List.of(new SetLine(3, one, 1), new Withdraw(one, true),
                new Admit(3, 0, 1, RetryPolicy.ONCE), new Bind(7, 3, 0), new Mark(1));
        List<Action> elsewhere = List.of(new Watch(true), new Probe(one), new TimerAt(1, 1), new Log("x"));
        TreeSet<String> kinds = new TreeSet<>();
        new ArrayList<>(writing).forEach(a -> kinds.add(a.getClass().getSimpleName()));
        elsewhere.forEach(a -> kinds.add(a.getClass().getSimpleName()));
        TreeSet<String> all = new TreeSet<>();
        for (Class<?> kind : Action.class.getPermittedSubclasses()) {
            all.add(kind.getSimpleName());
        }
        assertEquals(all, kinds);
        written(new Bind(7, 3, 0));
        for (Action action : writing) {
            List<String> push = written(action instanceof Mark ? new Action[] {writing.get(0), action}
                    : new Action[] {action});
            assertEquals(1, push.size(), action + ": " + push);
        }
        elsewhere.forEach(a -> assertEquals(List.of(), written(a)));
    }
}
