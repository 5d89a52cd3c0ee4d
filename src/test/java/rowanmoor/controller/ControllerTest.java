package rowanmoor.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.channel.ChannelException;
import rowanmoor.channel.ChannelLimits;
import rowanmoor.channel.Codec;
import rowanmoor.channel.Frame;
import rowanmoor.channel.FrameReader;
import rowanmoor.config.ControllerConfig;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;
import rowanmoor.net.MemoryNet;
import rowanmoor.standin.RosterServer;

/** A controller on in-memory connections, with proxies that violate the protocol, stall or reconnect. */
class ControllerTest {

    private static final long NS_PER_MS = 1_000_000;
    private static final long START_NS = 1_000_000_000_000_000L;
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final List<Throwable> faults = new ArrayList<>();
    private final MemoryNet net = new MemoryNet(START_NS, 11);
    private final Loop loop = net.newLoop(faults::add);
    private RosterServer roster;
    private Controller controller;

    @BeforeEach
    void startRosterAndController() throws Exception {
        roster = new RosterServer(loop, ANY_PORT, "backends");
        for (int i = 0; i < 6; i++) {
            roster.update(new RosterServer.Instance(backend(i), i % 2 == 0 ? "north" : "south", "fast", 4,
                    Availability.READY, 0, 0));
        }
        controller = newController();
        net.runFor(200 * NS_PER_MS);
    }

    private Controller newController() throws Exception {
        return newController(null);
    }

    private Controller newController(Path trace) throws Exception {
        ControllerConfig c = ControllerConfig.read(Path.of("conf/controller.kdl"));
        return new Controller(new ControllerConfig(c.site(), 0, 1, 0, ANY_PORT, c.minTickNs(), c.helloTimeoutNs(),
                c.proxyTimeoutNs(), 250, 4096, roster.address(), c.serviceName(), c.rosterWaitNs(),
                c.emptyRosterHoldNs(), c.probePath(), c.probeTimeoutNs(), c.maxConcurrentProbes(), trace, null, c.statsIntervalNs()), loop, 1,
                77, () -> net.now() / NS_PER_MS);
    }

    @Test
    void proxyThatJoinsBeforeTheFirstRosterKeepsItsStateAndIsBoundAfterwards() throws Exception {
        roster.setDown(true);
        controller = newController();
        Peer peer = new Peer(hello(1, 1));
        net.runFor(2000 * NS_PER_MS);
        assertEquals(1, peer.received(Frame.Snapshot.class).size());
        assertEquals(List.of(), peer.received(Frame.Update.class), "an empty table would remove the proxy's backends");
        roster.setDown(false);
        net.runFor(5000 * NS_PER_MS);
        List<Frame.Bind> binds = peer.received(Frame.Update.class).stream().flatMap(u -> u.orders().stream())
                .filter(Frame.Bind.class::isInstance).map(Frame.Bind.class::cast).toList();
        assertFalse(binds.isEmpty());
        assertFalse(binds.get(0).table().lines().isEmpty());
        assertConsecutiveUpdates(peer);
    }

    @Test
    void traceOnAFullDiskEndsAndDecisionsContinue() throws Exception {
        Path fullDevice = Path.of("/dev/full"); // every write to it fails with ENOSPC
        org.junit.jupiter.api.Assumptions.assumeTrue(java.nio.file.Files.exists(fullDevice));
        int[] updateCounts = new int[2];
        for (int run = 0; run < 2; run++) {
            startRosterAndController();
            controller.stop();
            controller = newController(run == 0 ? null : fullDevice);
            Peer peer = new Peer(hello(1, 1 + run));
            for (int i = 0; i < 40; i++) {
                roster.update(new RosterServer.Instance(backend(i % 6), "north", "fast", 4,
                        i % 2 == 0 ? Availability.DRAINING : Availability.READY, 0, 0));
                net.runFor(500 * NS_PER_MS);
            }
            updateCounts[run] = peer.received(Frame.Update.class).size();
            controller.closeFiles();
        }
        assertEquals(List.of(), faults);
        assertTrue(updateCounts[0] > 2 && updateCounts[1] == updateCounts[0],
                updateCounts[0] + " updates without a trace, " + updateCounts[1] + " with a failing one");
    }

    private static Backend backend(int i) {
        return new Backend((0x7f000001L << 16) + 9000 + i);
    }

    /** The proxy's side of a stream. Answers pings, and otherwise sends only what the test asks for. */
    private final class Peer implements ConnectionHandler {
        final List<Frame> received = new ArrayList<>();
        final Connection connection;
        private final FrameReader reader = new FrameReader(ChannelLimits.defaults());
        CloseReason closeReason;

        Peer(Frame... frames) {
            this(loop, frames);
        }

        Peer(Loop peerLoop, Frame... frames) {
            connection = peerLoop.connect(null, controller.address(), Connection.Options.defaults(), this);
            for (Frame frame : frames) {
                send(frame);
            }
        }

        void send(Frame frame) {
            connection.send(Codec.encode(frame));
        }

        @Override
        public void onData(Connection source, ByteBuffer bytes) {
            try {
                while (bytes.hasRemaining()) {
                    Frame frame = reader.next(bytes);
                    if (frame instanceof Frame.Ping ping) {
                        send(new Frame.Pong(ping.token()));
                    } else if (frame != null) {
                        received.add(frame);
                    }
                }
            } catch (ChannelException e) {
                throw new AssertionError(e);
            }
        }

        @Override
        public void onClose(Connection closedConnection, CloseReason reason, String detail) {
            closeReason = reason;
        }

        <T extends Frame> List<T> received(Class<T> type) {
            return received.stream().filter(type::isInstance).map(type::cast).toList();
        }

        Frame.Reason goodbyeReason() {
            List<Frame.Goodbye> goodbyes = received(Frame.Goodbye.class);
            return goodbyes.isEmpty() ? null : goodbyes.get(0).reason();
        }
    }

    private static Frame.Hello hello(int proxy, long incarnation) {
        return new Frame.Hello(Frame.PROTOCOL_VERSION, proxy, incarnation, 0, 10, true, 0, 0, "p" + proxy);
    }

    private Peer joinedPeer(int proxy) {
        Peer peer = new Peer(hello(proxy, proxy));
        net.runFor(500 * NS_PER_MS);
        assertTrue(controller.driver().hasJoined(proxy));
        return peer;
    }

    /** Asserts that a peer received a snapshot first, then updates without version gaps in one epoch. */
    private static void assertConsecutiveUpdates(Peer peer) {
        assertTrue(peer.received.get(0) instanceof Frame.Snapshot);
        long version = peer.received(Frame.Snapshot.class).get(0).version();
        for (Frame.Update update : peer.received(Frame.Update.class)) {
            assertEquals(++version, update.version());
            assertEquals(77, update.epoch());
        }
    }

    @Test
    void proxiesJoinWhileTheirTablesChange() {
        List<Peer> peers = new ArrayList<>();
        for (int p = 0; p < 12; p++) {
            peers.add(new Peer(hello(p, p)));
            roster.update(roster.instance(backend(p % 6)).withAvailability(p % 2 == 0 ? Availability.DRAINING : Availability.READY));
            net.runFor(20 * NS_PER_MS);
        }
        for (int i = 0; i < 6; i++) {
            roster.update(roster.instance(backend(i)).withAvailability(Availability.READY));
        }
        net.runFor(5000 * NS_PER_MS);
        peers.forEach(ControllerTest::assertConsecutiveUpdates);
        assertTrue(peers.stream().allMatch(p -> p.received(Frame.Update.class).stream().flatMap(u ->
                u.orders().stream()).anyMatch(o -> o instanceof Frame.Bind)));
        assertEquals(List.of(), faults);
    }

    @Test
    void streamCutMidFrameEndsOnlyThatStream() {
        Peer good = joinedPeer(1);
        Peer cut = joinedPeer(2);
        ByteBuffer half = Codec.encode(new Frame.Report(List.of(), List.of(new Frame.Use(0, 5, 0, 100 * NS_PER_MS))));
        half.limit(half.limit() - 3);
        cut.connection.send(half);
        net.runFor(10 * NS_PER_MS);
        cut.connection.close(CloseReason.LOCAL, "cut");
        net.runFor(100 * NS_PER_MS);
        assertFalse(controller.driver().hasJoined(2));
        assertTrue(controller.driver().hasJoined(1));
        assertEquals(null, good.closeReason);
    }

    @Test
    void helloOfAnUnknownVersionIsRefusedWithReasonVersion() {
        Frame.Hello h = hello(3, 3);
        Peer peer = new Peer(new Frame.Hello(Frame.PROTOCOL_VERSION + 1, h.proxy(), 1, 0, 1, true, 0, 0, "new"));
        net.runFor(100 * NS_PER_MS);
        assertEquals(Frame.Reason.VERSION, peer.goodbyeReason());
        assertFalse(controller.driver().hasJoined(3));
    }

    @Test
    void frameLengthOf4GiBEndsOnlyThatStream() {
        Peer good = joinedPeer(1);
        Peer bad = joinedPeer(2);
        bad.connection.send(ByteBuffer.allocate(4).putInt(-1).flip());
        net.runFor(100 * NS_PER_MS);
        assertEquals(Frame.Reason.PROTOCOL, bad.goodbyeReason());
        assertFalse(controller.driver().hasJoined(2));
        assertEquals(null, good.closeReason);
    }

    @Test
    void ofTwoProcessesWithTheSameNumberTheFirstStays() {
        Peer first = joinedPeer(4);
        Peer second = new Peer(hello(4, 999));
        net.runFor(200 * NS_PER_MS);
        assertEquals(Frame.Reason.ID_IN_USE, second.goodbyeReason());
        assertEquals(null, first.closeReason);
        first.connection.close(CloseReason.LOCAL, "gone");
        net.runFor(100 * NS_PER_MS);
        Peer third = new Peer(hello(4, 999));
        net.runFor(200 * NS_PER_MS);
        assertEquals(null, third.goodbyeReason());
        assertTrue(controller.driver().hasJoined(4));
    }

    @Test
    void newStreamOfTheSameProcessReplacesTheOldOne() {
        Peer first = joinedPeer(5);
        Peer second = new Peer(hello(5, 5));
        net.runFor(500 * NS_PER_MS);
        assertEquals(Frame.Reason.MOVING, first.goodbyeReason());
        assertTrue(controller.driver().hasJoined(5));
        assertConsecutiveUpdates(second);
    }

    /**
     * Guards against a failed join after a controller was paused while proxies reconnected repeatedly. In one loop
     * iteration it then read a hello, the end of that stream and the next hello. The first stream had not ended yet,
     * because its snapshot was still waiting to be written, and the next join threw "proxy 0 has joined already".
     */
    @Test
    void proxyThatReconnectsBeforeItsLastStreamHasEndedIsAccepted() {
        Loop peerLoop = net.newLoop(faults::add);
        net.setFrozen(loop, true);
        for (int i = 0; i < 3; i++) {
            Peer abandoned = new Peer(peerLoop, hello(5, 5));
            net.runFor(NS_PER_MS);
            abandoned.connection.closeGracefully();
        }
        Peer last = new Peer(peerLoop, hello(5, 5));
        net.runFor(50 * NS_PER_MS);
        net.setFrozen(loop, false);
        net.runFor(500 * NS_PER_MS);
        assertEquals(List.of(), faults);
        assertTrue(controller.driver().hasJoined(5));
        assertEquals(null, last.goodbyeReason());
        assertConsecutiveUpdates(last);
    }

    @Test
    void reportLinesOnUnknownBackendsAndClassesAreCountedAndIgnored() {
        Peer peer = joinedPeer(6);
        peer.send(new Frame.Report(List.of(new Frame.Tally(new Backend(12345), 5, 0, 100, 1000, List.of()),
                new Frame.Tally(backend(1), 5, 0, 100 * NS_PER_MS, 1000 * NS_PER_MS, List.of())),
                List.of(new Frame.Use(9, 1, 0, 1), new Frame.Use(0, 5, 0, 1000 * NS_PER_MS))));
        net.runFor(3000 * NS_PER_MS);
        assertEquals(2, controller.driver().ignoredReportLines());
        assertEquals(2, controller.driver().maxPendingReportLines());
        assertEquals(List.of(), faults);
    }

    private static Frame.NumberedReport numberedReport(long number) {
        return new Frame.NumberedReport(number, new Frame.Report(List.of(), List.of(new Frame.Use(9, 1, 0, 1))));
    }

    /** The reports hold one line of a class that does not exist, so each accepted one adds 1 to the ignored lines. */
    @Test
    void numberedReportCountsOnceAndIsAcknowledgedEachTimeItIsSent() {
        Peer peer = joinedPeer(6);
        peer.send(numberedReport(1));
        peer.send(numberedReport(2));
        peer.send(numberedReport(2));
        net.runFor(100 * NS_PER_MS);
        assertEquals(2, controller.driver().ignoredReportLines());
        assertEquals(List.of(1L, 2L, 2L),
                peer.received(Frame.ReportsTaken.class).stream().map(Frame.ReportsTaken::upTo).toList());
        Peer reconnected = new Peer(hello(6, 6)); // same process, new stream: the acknowledgement was lost
        reconnected.send(numberedReport(2));
        reconnected.send(numberedReport(3));
        net.runFor(100 * NS_PER_MS);
        assertEquals(3, controller.driver().ignoredReportLines());
        reconnected.connection.close(CloseReason.LOCAL, "test");
        net.runFor(100 * NS_PER_MS);
        Peer returned = new Peer(hello(6, 6)); // another controller accepted reports 4 to 8 in between
        returned.send(numberedReport(9));
        net.runFor(100 * NS_PER_MS);
        assertEquals(4, controller.driver().ignoredReportLines());
        assertEquals(null, returned.goodbyeReason());
    }

    @Test
    void reportOfARestartedProcessWithTheSameNumberCounts() {
        Peer peer = joinedPeer(6);
        peer.send(numberedReport(1));
        net.runFor(100 * NS_PER_MS);
        peer.connection.close(CloseReason.LOCAL, "test");
        net.runFor(100 * NS_PER_MS);
        Peer restarted = new Peer(hello(6, 777));
        restarted.send(numberedReport(1));
        net.runFor(100 * NS_PER_MS);
        assertEquals(2, controller.driver().ignoredReportLines());
    }

    @Test
    void gapInReportNumbersEndsTheStream() {
        Peer peer = joinedPeer(6);
        peer.send(numberedReport(1));
        peer.send(numberedReport(3));
        net.runFor(100 * NS_PER_MS);
        assertEquals(Frame.Reason.PROTOCOL, peer.goodbyeReason());
        assertEquals(1, controller.driver().ignoredReportLines());
    }

    @Test
    void proxyOfTheOldProtocolIsAcceptedAndGetsNoNewFrames() {
        Frame.Hello h = hello(6, 6);
        Peer peer = new Peer(new Frame.Hello(1, h.proxy(), h.incarnation(), h.zone(), h.requestsPerSecond(), true, 0, 0,
                h.name()));
        net.runFor(200 * NS_PER_MS);
        peer.send(new Frame.Report(List.of(), List.of(new Frame.Use(9, 1, 0, 1))));
        net.runFor(2000 * NS_PER_MS);
        assertTrue(controller.driver().hasJoined(6));
        assertEquals(1, controller.driver().ignoredReportLines());
        assertEquals(List.of(), peer.received(Frame.ReportsTaken.class));
    }

    @Test
    void twoHundredSilentStreamsAreEndedAndBlockNoOthers() {
        List<Peer> silentPeers = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            silentPeers.add(new Peer());
        }
        net.runFor(100 * NS_PER_MS);
        joinedPeer(7);
        net.runFor(6000 * NS_PER_MS);
        assertTrue(silentPeers.stream().allMatch(p -> p.closeReason != null), "a silent stream is still open");
        assertTrue(controller.driver().hasJoined(7));
    }

    @Test
    void proxyThatStopsReadingIsDisconnectedAndOthersAreUnaffected() {
        Peer stalled = joinedPeer(8);
        Peer good = joinedPeer(9);
        stalled.connection.pause();
        for (int round = 0; round < 40 && controller.driver().hasJoined(8); round++) {
            roster.update(roster.instance(backend(round % 6)).withAvailability(round / 6 % 2 == 0 ? Availability.DRAINING
                    : Availability.READY));
            net.runFor(500 * NS_PER_MS);
        }
        assertFalse(controller.driver().hasJoined(8), "a proxy that neither reads nor sends is still joined");
        assertTrue(controller.driver().hasJoined(9));
        assertConsecutiveUpdates(good);
    }

    @Test
    void resyncIsAnsweredWithACompleteSnapshot() {
        Peer peer = joinedPeer(10);
        net.runFor(2000 * NS_PER_MS);
        peer.send(new Frame.Resync(77, 1));
        net.runFor(1000 * NS_PER_MS);
        List<Frame.Snapshot> snapshots = peer.received(Frame.Snapshot.class);
        assertEquals(2, snapshots.size());
        Frame.Snapshot full = snapshots.get(1);
        assertEquals(3, full.bindings().stream().mapToInt(Frame.Binding::classMask).sum(), "both classes");
        assertEquals(6, full.tables().get(0).lines().size());
    }

    @Test
    void frameNotAllowedFromAProxyEndsItsStream() {
        Peer peer = joinedPeer(11);
        peer.send(new Frame.Update(77, 1, 0, 0, List.of()));
        net.runFor(100 * NS_PER_MS);
        assertEquals(Frame.Reason.PROTOCOL, peer.goodbyeReason());
        Peer withoutHello = new Peer(new Frame.Applied(1, 1, 1));
        net.runFor(100 * NS_PER_MS);
        assertEquals(Frame.Reason.PROTOCOL, withoutHello.goodbyeReason());
    }
}
