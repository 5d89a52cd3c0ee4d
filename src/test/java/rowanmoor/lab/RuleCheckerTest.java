package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.channel.Codec;
import rowanmoor.channel.Frame;
import rowanmoor.config.ConfigException;
import rowanmoor.config.Section;
import rowanmoor.config.Site;
import rowanmoor.standin.Ledger;
import rowanmoor.standin.RosterServer;

/** Violations that the rule checker once missed, from hand-written evidence: proxy 0, controller 0, backend B. */
class RuleCheckerTest {

    private static final long SECOND = 1_000_000_000L;
    private static final Backend B = new Backend(0x7f000001_2328L);
    private final List<Evidence.TapEvent> taps = new ArrayList<>();
    private final List<RosterServer.SentAnswer> answers = new ArrayList<>();
    private final Ledger ledger = new Ledger();

    private void proxyReads(double at, Frame frame) {
        var bytes = Codec.encode(frame);
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        taps.add(new Evidence.TapEvent(0, 1, (long) (at * SECOND), Evidence.TapEventType.READ, copy));
    }

    private void proxyJoins(double at) {
        taps.add(new Evidence.TapEvent(0, 1, (long) (at * SECOND), Evidence.TapEventType.OPENED, new byte[0]));
        proxyReads(at, new Frame.Snapshot(7, 0, 0, 0, List.of(), List.of(), List.of(), List.of()));
    }

    private void rosterAnswers(double at, Availability listed, double startedAt) {
        answers.add(new RosterServer.SentAnswer("rowanmoor-0", (long) (at * SECOND), List.of(new RosterServer.Instance(B,
                "north", "fast", 1, listed, (long) (startedAt * 1000), (long) (startedAt * SECOND)))));
    }

    private RuleChecker.Verdict verdict(String rule, double end, List<Backend> standing) throws ConfigException {
        Site site = Site.of(Section.read(Path.of("src/test/resources/histories/limited.kdl")));
        Evidence evidence = new Evidence(site, 0, (long) (end * SECOND), Map.of(B, new Evidence.Placement(0, 0)),
                List.of(standing), taps, Map.of(7L, 0), ledger, answers);
        return new RuleChecker(evidence).verdicts().stream().filter(v -> v.rule().equals(rule)).findFirst().orElseThrow();
    }

    @Test
    void timeWithoutBackendCountsOnceABackendIsWarmBetweenTwoAnswers() throws ConfigException {
        rosterAnswers(100, Availability.READY, 100);
        proxyJoins(101);
        RuleChecker.Verdict verdict = verdict("no proxy without a backend", 120, List.of());
        assertTrue(verdict.broken(), verdict.toString()); // warm at 108; without a backend for more than 3 s from then on
        assertEquals(111 * SECOND, verdict.firstAt());
        assertFalse(verdict("no proxy without a backend", 110.9, List.of()).broken());
    }

    @Test
    void drainAppliesToAControllerThatNeverSawTheBackendReady() throws ConfigException {
        rosterAnswers(100, Availability.DRAINING, 0);
        proxyJoins(101);
        ledger.open(B, "r1", "/preview/1", 0, 1, 103 * SECOND);
        assertFalse(verdict("drains kept", 120, List.of(B)).broken(), "2 s after the join");
        ledger.open(B, "r2", "/preview/2", 0, 1, 104 * SECOND);
        RuleChecker.Verdict drain = verdict("drains kept", 120, List.of(B));
        assertTrue(drain.broken(), drain.toString());
        assertEquals(104 * SECOND, drain.firstAt());
    }

    /** A proxy kept its table from an earlier controller, and the judge saw it only if a request went there. */
    @Test
    void drainedBackendInATableOfAnEarlierControllerCountsWithoutARequest() throws ConfigException {
        rosterAnswers(100, Availability.DRAINING, 0);
        proxyJoins(101);
        proxyReads(103, new Frame.Update(7, 1, 0, 0, List.of(new Frame.Withdraw(B, true))));
        RuleChecker.Verdict told = verdict("drained backends shut out in time", 120, List.of(B));
        assertFalse(told.broken(), "2 s after the join");
        assertEquals(1, told.met(), "the line was kept from before the stream");
        taps.remove(taps.size() - 1);
        RuleChecker.Verdict untold = verdict("drained backends shut out in time", 120, List.of(B));
        assertTrue(untold.broken(), untold.toString());
        assertEquals(103_500, untold.firstAt() / 1_000_000, "2.5 s after the join");
    }

    @Test
    void requestedSnapshotsCountInTheQueue() throws ConfigException {
        proxyJoins(100);
        List<Frame.Line> lines = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            lines.add(new Frame.Line(new Backend(i), 1));
        }
        for (int i = 0; i < 12; i++) {
            proxyReads(101, new Frame.Snapshot(7, i, 101 * SECOND, 0, List.of(new Frame.Table(1, lines, List.of())),
                    List.of(new Frame.Binding(1, 3)), List.of(), List.of()));
        }
        RuleChecker.Verdict queue = verdict("a short queue", 120, List.of(B));
        assertTrue(queue.broken() && queue.worst() > 2000, queue.toString());
    }

    @Test
    void messagesPerProxyAreCountedOverTheWindow() throws ConfigException {
        proxyJoins(100);
        for (int i = 0; i < 21; i++) {
            proxyReads(100.1 + i * 0.3, new Frame.Update(7, i + 1, 0, 0, List.of(new Frame.Mark(i))));
        }
        RuleChecker.Verdict budget = verdict("messages within their limit", 120, List.of(B));
        assertTrue(budget.broken(), budget.toString());
        assertEquals(21, budget.worst());
        assertEquals(106.1, budget.firstAt() / 1e9, 1e-6);
    }
}
