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
import rowanmoor.config.ConfigException;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;

/** Tests report acknowledgement between a proxy and scripted controllers that use the product's report receiver. */
class ReportQueueTest extends ProxyFixture {

    /** A controller whose reaction to hellos and numbered reports is set by the test. */
    private final class ScriptedController {
        private final List<Connection> streams = new ArrayList<>();
        private final List<Long> receivedNumbers = new ArrayList<>();
        private final InetSocketAddress address;
        private ReportReceiver receiver = new ReportReceiver();
        private int supportedProtocol = Frame.PROTOCOL_VERSION;
        private boolean acknowledges = true;
        private Frame.Goodbye refusal;
        private Frame.Goodbye receivedGoodbye;
        private long reportedRequests;

        ScriptedController() throws IOException {
            address = loop.listen(ANY, Connection.Options.defaults(), c -> new ControllerStream()).address();
        }

        private final class ControllerStream implements ConnectionHandler {
            private final FrameReader reader = new FrameReader(ChannelLimits.defaults());
            private int proxy;

            @Override
            public void onData(Connection from, ByteBuffer bytes) {
                try {
                    while (bytes.hasRemaining() && from.isOpen()) {
                        Frame frame = reader.next(bytes);
                        if (frame != null) {
                            handle(from, frame);
                        }
                    }
                } catch (ChannelException e) {
                    throw new AssertionError(e);
                }
            }

            private void handle(Connection from, Frame frame) {
                if (frame instanceof Frame.Hello hello) {
                    join(from, hello);
                } else if (frame instanceof Frame.NumberedReport numbered) {
                    assertEquals(Frame.PROTOCOL_VERSION, supportedProtocol, "an old controller must not receive numbered reports");
                    receivedNumbers.add(numbered.number());
                    if (acknowledges) {
                        reportedRequests += receiver.receive(proxy, numbered.number()) == ReportReceiver.Verdict.ACCEPTED
                                ? countRequests(numbered.report()) : 0;
                        acknowledge(from, receiver.lastAccepted(proxy));
                    }
                } else if (frame instanceof Frame.Report report) {
                    reportedRequests += countRequests(report);
                } else if (frame instanceof Frame.Goodbye goodbye) {
                    receivedGoodbye = goodbye;
                }
            }

            private void join(Connection from, Frame.Hello hello) {
                if (hello.protocolVersion() > supportedProtocol) {
                    from.send(Codec.encode(new Frame.Goodbye(Frame.Reason.VERSION, "too new")));
                    from.closeGracefully();
                    return;
                }
                proxy = hello.proxy();
                receiver.streamOpened(proxy, hello.incarnation());
                streams.add(from);
                from.send(Codec.encode(new Frame.Snapshot(1, 0, 0, 0, List.of(), List.of(), List.of(), List.of())));
            }
        }

        private void acknowledge(Connection stream, long upTo) {
            stream.send(Codec.encode(new Frame.ReportsTaken(upTo)));
        }

        private Connection newest() {
            return streams.get(streams.size() - 1);
        }
    }

    private static long countRequests(Frame.Report report) {
        return report.usages().stream().mapToLong(Frame.Use::requests).sum();
    }

    private Proxy startJoinedProxy(ScriptedController... controllers) throws IOException, ConfigException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (ScriptedController controller : controllers) {
            addresses.add(controller.address);
        }
        Proxy proxy = Proxy.start(new ProxyConfig(site(), 0, "p0", 0, 10, ANY, null, addresses, 0, 300 * MS, 60 * SECOND,
                List.of(), 15 * SECOND, 250 * MS, 5000, ForwardingPolicy.defaults()), loop,
                new SplittableRandom(4), Tap.NONE);
        net.runFor(SECOND);
        assertTrue(proxy.isJoined());
        return proxy;
    }

    /** Sends requests that are answered at once, as there is no backend; each is counted. */
    private void sendRequests(Proxy proxy, int times) {
        for (int i = 0; i < times; i++) {
            new ClientConnection(proxy).send(getRequest("/r/" + i));
        }
    }

    @Test
    void reportsUnacknowledgedAtStreamBreakAreResentAndCountOnce() throws IOException, ConfigException {
        ScriptedController controller = new ScriptedController();
        Proxy proxy = startJoinedProxy(controller);
        for (int round = 0; round < 10; round++) {
            sendRequests(proxy, 5);
            controller.acknowledges = round % 2 == 0; // every other report is read and never acknowledged
            net.runFor(1100 * MS);
            controller.newest().reset("test");
            controller.acknowledges = true;
            net.runFor(SECOND);
        }
        net.runFor(3 * SECOND);
        assertEquals(50, controller.reportedRequests);
        assertTrue(controller.streams.size() >= 10);
    }

    /** The acknowledgement is lost, not the report, which is sent again and must not be counted again. */
    @Test
    void reportWithLostAcknowledgementIsResentAndCountsOnce() throws IOException, ConfigException {
        ScriptedController controller = new ScriptedController();
        Proxy proxy = startJoinedProxy(controller);
        sendRequests(proxy, 3);
        net.runUntil(net.now() + 3 * SECOND, () -> controller.reportedRequests > 0);
        controller.newest().reset("the acknowledgement is lost with the stream");
        net.runFor(3 * SECOND);
        assertEquals(3, controller.reportedRequests);
        assertEquals(List.of(1L, 1L), controller.receivedNumbers, "the report is sent twice");
    }

    /**
     * Once a stream breaks, the proxy cannot know whether the controller took a report, so it sends it to the next one too.
     * A count at both controllers looks like a little more load for one period; a count at neither would hide load.
     */
    @Test
    void proxyResendsUnacknowledgedReportsToNextController() throws IOException, ConfigException {
        ScriptedController first = new ScriptedController();
        ScriptedController second = new ScriptedController();
        Proxy proxy = startJoinedProxy(first, second);
        sendRequests(proxy, 4);
        net.runFor(2 * SECOND);
        assertEquals(4, first.reportedRequests);
        first.acknowledges = false;
        sendRequests(proxy, 6);
        net.runFor(2 * SECOND);
        first.supportedProtocol = 0; // it refuses all proxies from now on
        first.newest().reset("test");
        net.runFor(5 * SECOND);
        assertEquals(4, first.reportedRequests);
        assertEquals(6, second.reportedRequests, "acknowledged reports are not sent again");
    }

    @Test
    void restartedControllerGetsUnacknowledgedReports() throws IOException, ConfigException {
        ScriptedController controller = new ScriptedController();
        Proxy proxy = startJoinedProxy(controller);
        sendRequests(proxy, 4);
        net.runFor(2 * SECOND);
        controller.acknowledges = false;
        sendRequests(proxy, 6);
        net.runFor(2 * SECOND);
        controller.receiver = new ReportReceiver(); // a restarted controller knows no proxy
        controller.acknowledges = true;
        controller.newest().reset("restarted");
        net.runFor(3 * SECOND);
        assertEquals(10, controller.reportedRequests);
    }

    @Test
    void unacknowledgedReportsAreBoundedAndNoCountIsLost() throws IOException, ConfigException {
        ScriptedController controller = new ScriptedController();
        Proxy proxy = startJoinedProxy(controller);
        controller.acknowledges = false;
        for (int i = 0; i < 30; i++) {
            sendRequests(proxy, 1);
            net.runFor(SECOND);
        }
        assertEquals(ReportQueue.MAX_UNACKNOWLEDGED, controller.receivedNumbers.size());
        controller.acknowledges = true;
        controller.newest().reset("test");
        net.runFor(4 * SECOND);
        assertEquals(30, controller.reportedRequests);
    }

    @Test
    void oldProtocolControllerGetsUnnumberedReports() throws IOException, ConfigException {
        ScriptedController old = new ScriptedController();
        old.supportedProtocol = Frame.MIN_PROTOCOL_VERSION;
        Proxy proxy = Proxy.start(new ProxyConfig(site(), 0, "p0", 0, 10, ANY, null, List.of(old.address), 0, 300 * MS,
                60 * SECOND, List.of(), 15 * SECOND, 250 * MS, 5000, ForwardingPolicy.defaults()), loop,
                new SplittableRandom(4), Tap.NONE);
        net.runFor(2 * SECOND);
        assertTrue(proxy.isJoined(), "the proxy reconnects with the old protocol version");
        sendRequests(proxy, 7);
        net.runFor(2 * SECOND);
        assertEquals(7, old.reportedRequests);
        old.supportedProtocol = Frame.PROTOCOL_VERSION; // upgraded
        old.newest().reset("restarted");
        net.runFor(2 * SECOND);
        sendRequests(proxy, 2);
        net.runFor(2 * SECOND);
        assertEquals(9, old.reportedRequests);
        assertFalse(old.receivedNumbers.isEmpty(), "the newer protocol version is tried again");
    }

    @Test
    void acknowledgementOfUnsentReportEndsStream() throws IOException, ConfigException {
        ScriptedController controller = new ScriptedController();
        startJoinedProxy(controller);
        controller.acknowledge(controller.newest(), 5);
        net.runFor(100 * MS);
        assertEquals(Frame.Reason.PROTOCOL, controller.receivedGoodbye.reason());
    }

    @Test
    void stoppingProxyWaitsBoundedTimeForLastAcknowledgement() throws IOException, ConfigException {
        for (boolean answered : new boolean[] {true, false}) {
            ScriptedController controller = new ScriptedController();
            Proxy proxy = startJoinedProxy(controller);
            controller.acknowledges = answered;
            sendRequests(proxy, 2);
            boolean[] stopped = new boolean[1];
            long from = net.now();
            proxy.stop(() -> stopped[0] = true);
            assertTrue(net.runUntil(from + 2 * SECOND, () -> stopped[0]));
            assertEquals(answered ? 2 : 0, controller.reportedRequests);
        }
    }

    /**
     * Random reports, lost acknowledgements and stream breaks between a proxy and two controllers. Each report must reach
     * at least one controller, and none may be counted twice by the same one.
     */
    @Test
    void randomStreamBreaksLoseNoReportAndDuplicateNonePerController() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Tallies tallies = new Tallies(0);
            ReportQueue queue = new ReportQueue(tallies);
            List<ReportReceiver> receivers = List.of(new ReportReceiver(), new ReportReceiver());
            List<List<Long>> takenByController = List.of(new ArrayList<>(), new ArrayList<>());
            int current = 0;
            receivers.get(current).streamOpened(0, 1);
            queue.onStreamOpened();
            long counted = 0;
            for (int step = 0; step < 300; step++) {
                if (random.nextInt(3) > 0) {
                    tallies.onRequest(0);
                    counted++;
                    queue.enqueueReport(step);
                }
                boolean lost = random.nextInt(4) == 0;
                int target = current;
                queue.sendPending(frame -> lost || deliver((Frame.NumberedReport) frame, receivers.get(target),
                        takenByController.get(target)));
                if (random.nextInt(2) == 0 && !lost) {
                    assertTrue(queue.acknowledge(receivers.get(current).lastAccepted(0)), "seed " + seed);
                }
                if (lost || random.nextInt(5) == 0) { // a lost report means that the stream broke
                    current = random.nextInt(2);
                    receivers.get(current).streamOpened(0, 1);
                    queue.onStreamOpened();
                }
                assertTrue(queue.unacknowledgedCount() <= ReportQueue.MAX_UNACKNOWLEDGED);
            }
            int last = current;
            for (int i = 0; i < 300 && !queue.isSettled(); i++) {
                queue.enqueueReport(1000 + i);
                queue.sendPending(frame -> deliver((Frame.NumberedReport) frame, receivers.get(last),
                        takenByController.get(last)));
                queue.acknowledge(receivers.get(last).lastAccepted(0));
            }
            assertTrue(queue.isSettled(), "seed " + seed);
            java.util.TreeSet<Long> taken = new java.util.TreeSet<>(takenByController.get(0));
            taken.addAll(takenByController.get(1));
            assertEquals(taken.size(), taken.isEmpty() ? 0 : taken.last(),
                    "every report reached a controller, seed " + seed);
            for (List<Long> numbers : takenByController) {
                assertEquals(numbers.size(), new java.util.TreeSet<>(numbers).size(),
                        "no report counted twice by a controller, seed " + seed);
            }
            assertTrue(counted >= taken.size());
        }
    }

    private static boolean deliver(Frame.NumberedReport report, ReportReceiver receiver, List<Long> taken) {
        ReportReceiver.Verdict verdict = receiver.receive(0, report.number());
        assertTrue(verdict != ReportReceiver.Verdict.GAP, "report " + report.number());
        if (verdict == ReportReceiver.Verdict.ACCEPTED) {
            taken.add(report.number());
        }
        return true;
    }
}
