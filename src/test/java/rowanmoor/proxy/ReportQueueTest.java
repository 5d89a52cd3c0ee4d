package rowanmoor.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rowanmoor.channel.ChannelException;
import rowanmoor.channel.ChannelLimits;
import rowanmoor.channel.Codec;
import rowanmoor.channel.Frame;
import rowanmoor.channel.FrameReader;
import rowanmoor.channel.ReportReceiver;
import rowanmoor.config.ConfigError;
import rowanmoor.net.Connection;
import rowanmoor.net.Handler;

/** Reports and their acknowledgement between a proxy and scripted controllers that use the product's receiver. */
class ReportQueueTest extends ProxyFixture {

    /** A controller's end: what it is to do with a hello and a numbered report, the test says. */
    private final class ScriptedController {
        private final List<Connection> streams = new ArrayList<>();
        private final List<Long> heard = new ArrayList<>();
        private final InetSocketAddress address;
        private ReportReceiver receiver = new ReportReceiver();
        private int versionSpoken = Frame.PROTOCOL_VERSION;
        private boolean answers = true;
        private Frame.Goodbye refusal;
        private Frame.Goodbye goodbyeHeard;
        private long requests;

        ScriptedController() throws IOException {
            address = loop.listen(ANY, Connection.Options.usual(), c -> new Stream()).address();
        }

        private final class Stream implements Handler {
            private final FrameReader reader = new FrameReader(ChannelLimits.defaults());
            private int proxy;

            @Override
            public void received(Connection its, ByteBuffer bytes) {
                try {
                    while (bytes.hasRemaining() && its.isOpen()) {
                        Frame frame = reader.next(bytes);
                        if (frame != null) {
                            take(its, frame);
                        }
                    }
                } catch (ChannelException e) {
                    throw new AssertionError(e);
                }
            }

            private void take(Connection its, Frame frame) {
                if (frame instanceof Frame.Hello hello) {
                    join(its, hello);
                } else if (frame instanceof Frame.NumberedReport numbered) {
                    assertEquals(Frame.PROTOCOL_VERSION, versionSpoken, "an old controller must not get what it cannot read");
                    heard.add(numbered.number());
                    if (answers) {
                        requests += receiver.receive(proxy, numbered.number()) == ReportReceiver.Verdict.ACCEPTED
                                ? count(numbered.report()) : 0;
                        acknowledge(its, receiver.lastAccepted(proxy));
                    }
                } else if (frame instanceof Frame.Report report) {
                    requests += count(report);
                } else if (frame instanceof Frame.Goodbye goodbye) {
                    goodbyeHeard = goodbye;
                }
            }

            private void join(Connection its, Frame.Hello hello) {
                if (hello.protocolVersion() > versionSpoken) {
                    its.send(Codec.encode(new Frame.Goodbye(Frame.Reason.VERSION, "too new")));
                    its.end();
                    return;
                }
                proxy = hello.proxy();
                receiver.streamOpened(proxy, hello.incarnation());
                streams.add(its);
                its.send(Codec.encode(new Frame.Snapshot(1, 0, 0, 0, List.of(), List.of(), List.of(), List.of())));
            }
        }

        private void acknowledge(Connection its, long upTo) {
            its.send(Codec.encode(new Frame.ReportsTaken(upTo)));
        }

        private Connection newest() {
            return streams.get(streams.size() - 1);
        }
    }

    private static long count(Frame.Report report) {
        return report.usages().stream().mapToLong(Frame.Use::requests).sum();
    }

    private Proxy proxyOf(ScriptedController... controllers) throws IOException, ConfigError {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (ScriptedController controller : controllers) {
            addresses.add(controller.address);
        }
        Proxy proxy = Proxy.start(new ProxyConfig(site(), 0, "p0", 0, 10, ANY, null, addresses, 0, 300 * MS, 60 * SECOND,
                List.of(), 15 * SECOND, 250 * MS, 5000, ForwardingPolicy.defaults()), loop, new SplittableRandom(4), Tap.NONE);
        net.runFor(SECOND);
        assertTrue(proxy.isJoined());
        return proxy;
    }

    /** Requests that are answered at once, since there is no backend; each counts. */
    private void ask(Proxy proxy, int times) {
        for (int i = 0; i < times; i++) {
            new ClientEnd(proxy).say(get("/r/" + i));
        }
    }

    @Test
    void whatABrokenStreamLeftUnansweredIsToldOnTheNextAndCountsOnce() throws IOException, ConfigError {
        ScriptedController controller = new ScriptedController();
        Proxy proxy = proxyOf(controller);
        for (int round = 0; round < 10; round++) {
            ask(proxy, 5);
            controller.answers = round % 2 == 0; // every other report is read and its answer never comes
            net.runFor(1100 * MS);
            controller.newest().reset("test");
            controller.answers = true;
            net.runFor(SECOND);
        }
        net.runFor(3 * SECOND);
        assertEquals(50, controller.requests);
        assertTrue(controller.streams.size() >= 10);
    }

    /** The answer is lost, not the report: it is sent again and must not count again. */
    @Test
    void aReportWhoseAnswerIsLostIsSentAgainAndCountsOnce() throws IOException, ConfigError {
        ScriptedController controller = new ScriptedController();
        Proxy proxy = proxyOf(controller);
        ask(proxy, 3);
        net.runUntil(net.now() + 3 * SECOND, () -> controller.requests > 0);
        controller.newest().reset("its answer is dropped with it");
        net.runFor(3 * SECOND);
        assertEquals(3, controller.requests);
        assertEquals(List.of(1L, 1L), controller.heard, "told twice");
    }

    /**
     * Which of two controllers took a report is not known once a stream breaks. It is told to the next one too: a count
     * in two books is taken for a little more load by each for one period, a count in none hides load.
     */
    @Test
    void aProxyThatMovesTellsItsNextControllerWhatTheFirstDidNotAnswer() throws IOException, ConfigError {
        ScriptedController first = new ScriptedController();
        ScriptedController second = new ScriptedController();
        Proxy proxy = proxyOf(first, second);
        ask(proxy, 4);
        net.runFor(2 * SECOND);
        assertEquals(4, first.requests);
        first.answers = false;
        ask(proxy, 6);
        net.runFor(2 * SECOND);
        first.versionSpoken = 0; // it takes nobody in from now on
        first.newest().reset("test");
        net.runFor(5 * SECOND);
        assertEquals(4, first.requests);
        assertEquals(6, second.requests, "what was answered is not told again");
    }

    @Test
    void aRestartedControllerIsToldWhatWasNotAnswered() throws IOException, ConfigError {
        ScriptedController controller = new ScriptedController();
        Proxy proxy = proxyOf(controller);
        ask(proxy, 4);
        net.runFor(2 * SECOND);
        controller.answers = false;
        ask(proxy, 6);
        net.runFor(2 * SECOND);
        controller.receiver = new ReportReceiver(); // it remembers nobody
        controller.answers = true;
        controller.newest().reset("restarted");
        net.runFor(3 * SECOND);
        assertEquals(10, controller.requests);
    }

    @Test
    void aControllerThatAnswersNothingHoldsUpNoMoreThanTheBoundAndLosesNothing() throws IOException, ConfigError {
        ScriptedController controller = new ScriptedController();
        Proxy proxy = proxyOf(controller);
        controller.answers = false;
        for (int i = 0; i < 30; i++) {
            ask(proxy, 1);
            net.runFor(SECOND);
        }
        assertEquals(ReportQueue.UNACKNOWLEDGED_MOST, controller.heard.size());
        controller.answers = true;
        controller.newest().reset("test");
        net.runFor(4 * SECOND);
        assertEquals(30, controller.requests);
    }

    @Test
    void aControllerOfTheOldProtocolGetsReportsAsItKnowsThem() throws IOException, ConfigError {
        ScriptedController old = new ScriptedController();
        old.versionSpoken = Frame.MIN_PROTOCOL_VERSION;
        Proxy proxy = Proxy.start(new ProxyConfig(site(), 0, "p0", 0, 10, ANY, null, List.of(old.address), 0, 300 * MS,
                60 * SECOND, List.of(), 15 * SECOND, 250 * MS, 5000, ForwardingPolicy.defaults()), loop, new SplittableRandom(4), Tap.NONE);
        net.runFor(2 * SECOND);
        assertTrue(proxy.isJoined(), "it calls again in the version that is spoken there");
        ask(proxy, 7);
        net.runFor(2 * SECOND);
        assertEquals(7, old.requests);
        old.versionSpoken = Frame.PROTOCOL_VERSION; // upgraded
        old.newest().reset("restarted");
        net.runFor(2 * SECOND);
        ask(proxy, 2);
        net.runFor(2 * SECOND);
        assertEquals(9, old.requests);
        assertFalse(old.heard.isEmpty(), "the newer version is tried again");
    }

    @Test
    void anAnswerToAReportThatWasNeverSentEndsTheStream() throws IOException, ConfigError {
        ScriptedController controller = new ScriptedController();
        proxyOf(controller);
        controller.acknowledge(controller.newest(), 5);
        net.runFor(100 * MS);
        assertEquals(Frame.Reason.PROTOCOL, controller.goodbyeHeard.reason());
    }

    @Test
    void aProxyThatStopsWaitsForTheAnswerToItsLastReportWithinABound() throws IOException, ConfigError {
        for (boolean answered : new boolean[] {true, false}) {
            ScriptedController controller = new ScriptedController();
            Proxy proxy = proxyOf(controller);
            controller.answers = answered;
            ask(proxy, 2);
            boolean[] stopped = new boolean[1];
            long from = net.now();
            proxy.stop(() -> stopped[0] = true);
            assertTrue(net.runUntil(from + 2 * SECOND, () -> stopped[0]));
            assertEquals(answered ? 2 : 0, controller.requests);
        }
    }

    /** Chance drives both halves: reports, lost answers, breaks, two controllers. Each book must hold each report once. */
    @Test
    void inAnyOrderOfBreaksEachBookHoldsAReportOnceAndNoneIsInNoBook() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Tallies tallies = new Tallies(0);
            ReportQueue queue = new ReportQueue(tallies);
            List<ReportReceiver> receivers = List.of(new ReportReceiver(), new ReportReceiver());
            List<List<Long>> books = List.of(new ArrayList<>(), new ArrayList<>());
            int at = 0;
            receivers.get(at).streamOpened(0, 1);
            queue.streamBegins();
            long counted = 0;
            for (int step = 0; step < 300; step++) {
                if (random.nextInt(3) > 0) {
                    tallies.onRequest(0);
                    counted++;
                    queue.cut(step);
                }
                boolean lost = random.nextInt(4) == 0;
                int its = at;
                queue.send(frame -> lost || deliver((Frame.NumberedReport) frame, receivers.get(its), books.get(its)));
                if (random.nextInt(2) == 0 && !lost) {
                    assertTrue(queue.acknowledge(receivers.get(at).lastAccepted(0)), "seed " + seed);
                }
                if (lost || random.nextInt(5) == 0) { // what was lost is lost with its stream
                    at = random.nextInt(2);
                    receivers.get(at).streamOpened(0, 1);
                    queue.streamBegins();
                }
                assertTrue(queue.unacknowledged() <= ReportQueue.UNACKNOWLEDGED_MOST);
            }
            int last = at;
            for (int i = 0; i < 300 && !queue.isSettled(); i++) {
                queue.cut(1000 + i);
                queue.send(frame -> deliver((Frame.NumberedReport) frame, receivers.get(last), books.get(last)));
                queue.acknowledge(receivers.get(last).lastAccepted(0));
            }
            assertTrue(queue.isSettled(), "seed " + seed);
            java.util.TreeSet<Long> told = new java.util.TreeSet<>(books.get(0));
            told.addAll(books.get(1));
            assertEquals(told.size(), told.isEmpty() ? 0 : told.last(), "none is in no book, seed " + seed);
            for (List<Long> book : books) {
                assertEquals(book.size(), new java.util.TreeSet<>(book).size(), "once in each book, seed " + seed);
            }
            assertTrue(counted >= told.size());
        }
    }

    private static boolean deliver(Frame.NumberedReport report, ReportReceiver receiver, List<Long> book) {
        ReportReceiver.Verdict verdict = receiver.receive(0, report.number());
        assertTrue(verdict != ReportReceiver.Verdict.GAP, "report " + report.number());
        if (verdict == ReportReceiver.Verdict.ACCEPTED) {
            book.add(report.number());
        }
        return true;
    }
}
