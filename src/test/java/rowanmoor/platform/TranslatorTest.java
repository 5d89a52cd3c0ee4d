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
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.MarkAt;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probe;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.ControlApi.WithdrawAt;
import rowanmoor.host.Fanout;

/** Each order of the decision module is encoded in pushes with the meaning it has in the simulator's protocol. */
class TranslatorTest {

    private final InstanceRegistry registry = new InstanceRegistry();
    private final Backend one = registry.register("s-1");
    private final Backend two = registry.register("s-2");
    private final Backend three = registry.register("s-3");
    private final Fanout fanout = new Fanout(2);
    private final Translator translator = new Translator(List.of("read", "pay"), registry, fanout);

    @BeforeEach
    void listInstances() {
        fanout.onCatalog(new Members(CatalogUpdateKind.FULL, 1, List.of(one, two, three).stream()
                .map(b -> new Member(b, 0, 0, 0, Availability.READY, 1, 0)).toList()));
        fanout.join(7);
        fanout.join(8);
    }

    /** The pushes that these actions send to proxy 7, one string per part. */
    private List<String> pushesFor(Action... actions) {
        return pushesFor(7, actions);
    }

    private List<String> pushesFor(int proxy, Action... actions) {
        var orders = fanout.ordersByProxy(List.of(actions)).get(proxy);
        return orders == null ? List.of() : translator.pushMessages(proxy, orders).stream()
                .map(m -> String.join(" ", m)).toList();
    }

    private String endpointsField(Object... pairs) {
        java.util.TreeMap<Backend, String> sorted = new java.util.TreeMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            sorted.put((Backend) pairs[i], registry.id((Backend) pairs[i]) + ":" + pairs[i + 1]);
        }
        return String.join(",", sorted.values());
    }

    @Test
    void bindSendsTheFullTableWithLevelsAndWithoutWithdrawnBackends() {
        pushesFor(new SetLine(3, one, 1.5), new SetLine(3, two, 2), new Admit(3, 3, 4.5, RetryPolicy.ONCE_UNRUN),
                new Withdraw(two, true));
        assertEquals(List.of("push full 1 endpoints " + endpointsField(one, "1.5") + " admit 4.5 policy 1"
                + " nonce_out 9"), pushesFor(new Bind(7, 3, 0), new Mark(9)), "no line of a withdrawn backend");
        assertEquals(List.of("push endpoints " + endpointsField(two, "2") + " restore s-2"),
                pushesFor(new Withdraw(two, false)), "its line comes with its readmission");
        assertEquals(List.of("push full 1"), pushesFor(new Bind(7, 99, 0)), "a table without lines is empty");
    }

    @Test
    void changesReachOnlyProxiesBoundToTheTable() {
        pushesFor(new SetLine(3, one, 1), new Bind(7, 3, 0), new Bind(8, 4, 0));
        assertEquals(List.of("push endpoints s-2:0.25"), pushesFor(new SetLine(3, two, 0.25)));
        assertEquals(List.of(), pushesFor(8, new SetLine(3, two, 0.5)));
        assertEquals(List.of("push endpoints s-1:0"), pushesFor(new SetLine(3, one, 0)), "weight 0 removes the backend");
        fanout.leave(7);
        assertEquals(List.of(), pushesFor(new SetLine(3, two, 1)), "nothing for a proxy that has left");
        fanout.join(7);
        assertEquals(List.of(), pushesFor(new SetLine(3, two, 2)), "nothing before the proxy is bound again");
    }

    @Test
    void classesWithDifferentTablesGetSeparateParts() {
        pushesFor(new SetLine(3, one, 1), new SetLine(4, two, 1));
        assertEquals(List.of("push routes read full 1 endpoints s-1:1 continued 1",
                "push routes pay full 1 endpoints s-2:1 nonce_out 5"),
                pushesFor(new Bind(7, 3, 1), new Bind(7, 4, 2), new Mark(5)));
        assertEquals(List.of("push routes pay endpoints s-3:1"), pushesFor(new SetLine(4, three, 1)));
    }

    @Test
    void levelIsSentWithItsRetryPolicy() {
        pushesFor(new SetLine(3, one, 1), new Bind(7, 3, 0));
        assertEquals(List.of("push admit 0.5 policy 3"), pushesFor(new Admit(3, 0, 0.5, RetryPolicy.TWICE)));
        assertEquals(List.of("push routes pay admit 2 policy 0"), pushesFor(new Admit(3, 2, 2, RetryPolicy.NEVER)));
        assertEquals(List.of("push endpoints s-2:1 continued 1", "push routes read admit 1 policy 1 continued 1",
                "push routes pay admit 3 policy 1 nonce_out 6"),
                pushesFor(new SetLine(3, two, 1), new Admit(3, 1, 1, RetryPolicy.ONCE_UNRUN),
                        new Admit(3, 2, 3, RetryPolicy.ONCE_UNRUN), new Mark(6)));
        assertEquals(List.of("push endpoints s-2:2 admit 7 policy 1"), pushesFor(new SetLine(3, two, 2),
                new Admit(3, 1, 7, RetryPolicy.ONCE_UNRUN), new Admit(3, 2, 7, RetryPolicy.ONCE_UNRUN)),
                "equal levels of all classes are combined");
    }

    @Test
    void withdrawalsReachProxiesThatMayUseTheBackend() {
        pushesFor(new SetLine(3, one, 1), new Bind(7, 3, 0));
        assertEquals(List.of(), pushesFor(new Withdraw(two, true)), "the proxy's table has no line for it");
        assertEquals(List.of("push eject s-1"), pushesFor(new Withdraw(one, true)));
        assertEquals(List.of("push restore s-1"), pushesFor(new Withdraw(one, false)));
        assertEquals(List.of("push eject s-3"), pushesFor(8, new Withdraw(three, true)),
                "the table of an unbound proxy is unknown");
    }

    @Test
    void backendsNotListedByDiscoveryAreNeverSent() {
        Backend unknown = new Backend(77);
        for (String push : pushesFor(new SetLine(3, one, 1), new SetLine(3, unknown, 1), new Bind(7, 3, 0),
                new Withdraw(unknown, true))) {
            assertTrue(push.contains("s-1") && !push.contains("null") && !push.contains("eject"), push);
        }
    }

    @Test
    void numbersAreFormattedWithoutExponent() {
        for (double value : List.of(1e-9, 1.0 / 3, 12.3456789, 1e6, 100.0, 1e12, 4.9e-5)) {
            String text = Translator.formatNumber(value);
            assertFalse(text.contains("E") || text.contains("-"), text);
            assertEquals(value, Double.parseDouble(text), value * 1e-4);
        }
        assertEquals("0", Translator.formatNumber(0));
    }

    /** Every kind of action either causes a push or is handled by another part of the controller. */
    @Test
    void everyActionKindIsHandled() {
        List<Action> pushed = List.of(new SetLine(3, one, 1), new Withdraw(one, true),
                new Admit(3, 0, 1, RetryPolicy.ONCE), new Bind(7, 3, 0), new Mark(1),
                new WithdrawAt(List.of(one), List.of(7)), new MarkAt(1, List.of(7)));
        List<Action> handledElsewhere = List.of(new Watch(true), new Probe(one), new TimerAt(1, 1), new Log("x"));
        TreeSet<String> kinds = new TreeSet<>();
        new ArrayList<>(pushed).forEach(a -> kinds.add(a.getClass().getSimpleName()));
        handledElsewhere.forEach(a -> kinds.add(a.getClass().getSimpleName()));
        TreeSet<String> all = new TreeSet<>();
        for (Class<?> kind : Action.class.getPermittedSubclasses()) {
            all.add(kind.getSimpleName());
        }
        assertEquals(all, kinds);
        pushesFor(new Bind(7, 3, 0));
        for (Action action : pushed) {
            boolean mark = action instanceof Mark || action instanceof MarkAt;
            List<String> push = pushesFor(mark ? new Action[] {new SetLine(3, two, 1), action}
                    : new Action[] {action});
            assertEquals(1, push.size(), action + ": " + push);
        }
        handledElsewhere.forEach(a -> assertEquals(List.of(), pushesFor(a)));
    }
}
