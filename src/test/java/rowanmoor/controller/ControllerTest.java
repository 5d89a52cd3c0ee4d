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
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Availability;
import rowanmoor.channel.ChannelException;
import rowanmoor.channel.ChannelLimits;
import rowanmoor.channel.Codec;
import rowanmoor.channel.Frame;
import rowanmoor.channel.FrameReader;
import rowanmoor.config.ControllerConfig;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Handler;
import rowanmoor.net.Loop;
import rowanmoor.net.MemoryNet;
import rowanmoor.standin.RosterServer;

/** A controller on pipes in memory, with peers that misbehave. */
class ControllerTest {

    private static final long MS = 1_000_000;
    private static final long START = 1_000_000_000_000_000L;
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final List<Throwable> faults = new ArrayList<>();
    private final MemoryNet net = new MemoryNet(START, 11);
    private final Loop loop = net.loop(faults::add);
    private RosterServer roster;
    private Controller controller;

    @BeforeEach
    void start() throws Exception {
        roster = new RosterServer(loop, ANY, "backends");
        for (int i = 0; i < 6; i++) {
            roster.put(new RosterServer.Instance(backend(i), i % 2 == 0 ? "north" : "south", "fast", 4,
                    Availability.READY, 0, 0));
        }
        controller = make();
        net.runFor(200 * MS);
    }

    private Controller make() throws Exception {
        return make(null);
    }

    private Controller make(Path trace) throws Exception {
        ControllerConfig c = ControllerConfig.read(Path.of("conf/controller.kdl"));
        return new Controller(new ControllerConfig(c.site(), 0, 1, 0, ANY, c.tick(), c.helloWithin(),
                c.silentAfter(), 250, 4096, roster.address(), c.service(), c.rosterWait(),
                c.emptyHold(), c.probePath(), c.probeWithin(), c.probesAtOnce(), trace, null, c.statsEvery()), loop, 1,
                77, () -> net.now() / MS);
    }

    @Test
    void aProxyThatJoinsBeforeTheFirstListKeepsWhatItHoldsAndIsBoundAfterIt() throws Exception {
        roster.down(true);
        controller = make();
        Peer peer = new Peer(hello(1, 1));
        net.runFor(2000 * MS);
        assertEquals(1, peer.heard(Frame.Snapshot.class).size());
        assertEquals(List.of(), peer.heard(Frame.Update.class), "an empty table would take its backends away");
        roster.down(false);
        net.runFor(5000 * MS);
        List<Frame.Bind> binds = peer.heard(Frame.Update.class).stream().flatMap(u -> u.orders().stream())
                .filter(Frame.Bind.class::isInstance).map(Frame.Bind.class::cast).toList();
        assertFalse(binds.isEmpty());
        assertFalse(binds.get(0).table().lines().isEmpty());
        assertInOrder(peer);
    }

    @Test
    void aTraceOnAFullDiskEndsAndDecidingGoesOn() throws Exception {
        Path full = Path.of("/dev/full"); // every write to it fails for want of space
        org.junit.jupiter.api.Assumptions.assumeTrue(java.nio.file.Files.exists(full));
        int[] updates = new int[2];
        for (int run = 0; run < 2; run++) {
            start(); // another roster and controller, as at first
            controller.stop();
            controller = make(run == 0 ? null : full);
            Peer peer = new Peer(hello(1, 1 + run));
            for (int i = 0; i < 40; i++) {
                roster.put(new RosterServer.Instance(backend(i % 6), "north", "fast", 4,
                        i % 2 == 0 ? Availability.DRAINING : Availability.READY, 0, 0));
                net.runFor(500 * MS);
            }
            updates[run] = peer.heard(Frame.Update.class).size();
            controller.closeFiles();
        }
        assertEquals(List.of(), faults);
        assertTrue(updates[0] > 2 && updates[1] == updates[0], updates[0] + " updates, and " + updates[1]);
    }

    private static Backend backend(int i) {
        return new Backend((0x7f000001L << 16) + 9000 + i);
    }

    /** A proxy's end that does only what it is told, but answers pings. */
    private final class Peer implements Handler {
        final List<Frame> heard = new ArrayList<>();
        final Connection connection;
        private final FrameReader reader = new FrameReader(ChannelLimits.defaults());
        Close why;

        Peer(Frame... frames) {
            this(loop, frames);
        }

        Peer(Loop itsLoop, Frame... frames) {
            connection = itsLoop.connect(null, controller.address(), Connection.Options.usual(), this);
            for (Frame frame : frames) {
                send(frame);
            }
        }

        void send(Frame frame) {
            connection.send(Codec.encode(frame));
        }

        @Override
        public void received(Connection its, ByteBuffer bytes) {
            try {
                while (bytes.hasRemaining()) {
                    Frame frame = reader.next(bytes);
                    if (frame instanceof Frame.Ping ping) {
                        send(new Frame.Pong(ping.token()));
                    } else if (frame != null) {
                        heard.add(frame);
                    }
                }
            } catch (ChannelException e) {
                throw new AssertionError(e);
            }
        }

        @Override
        public void closed(Connection its, Close how, String detail) {
            why = how;
        }

        <T extends Frame> List<T> heard(Class<T> kind) {
            return heard.stream().filter(kind::isInstance).map(kind::cast).toList();
        }

        Frame.Reason goodbye() {
            List<Frame.Goodbye> all = heard(Frame.Goodbye.class);
            return all.isEmpty() ? null : all.get(0).reason();
        }
    }

    private static Frame.Hello hello(int proxy, long incarnation) {
        return new Frame.Hello(Frame.PROTOCOL_VERSION, proxy, incarnation, 0, 10, true, 0, 0, "p" + proxy);
    }

    private Peer joined(int proxy) {
        Peer peer = new Peer(hello(proxy, proxy));
        net.runFor(500 * MS);
        assertTrue(controller.driver().hasJoined(proxy));
        return peer;
    }

    /** Whether a peer got a snapshot first, then updates numbered without gaps under one epoch. */
    private static void assertInOrder(Peer peer) {
        assertTrue(peer.heard.get(0) instanceof Frame.Snapshot);
        long version = peer.heard(Frame.Snapshot.class).get(0).version();
        for (Frame.Update update : peer.heard(Frame.Update.class)) {
            assertEquals(++version, update.version());
            assertEquals(77, update.epoch());
        }
    }

    @Test
    void aProxyJoinsWhileItsTablesChange() {
        List<Peer> peers = new ArrayList<>();
        for (int p = 0; p < 12; p++) {
            peers.add(new Peer(hello(p, p)));
            roster.put(roster.instance(backend(p % 6)).with(p % 2 == 0 ? Availability.DRAINING : Availability.READY));
            net.runFor(20 * MS);
        }
        for (int i = 0; i < 6; i++) {
            roster.put(roster.instance(backend(i)).with(Availability.READY));
        }
        net.runFor(5000 * MS);
        peers.forEach(ControllerTest::assertInOrder);
        assertTrue(peers.stream().allMatch(p -> p.heard(Frame.Update.class).stream().flatMap(u ->
                u.orders().stream()).anyMatch(o -> o instanceof Frame.Bind)));
        assertEquals(List.of(), faults);
    }

    @Test
    void aStreamCutInMidFrameEndsThatStreamAlone() {
        Peer good = joined(1);
        Peer cut = joined(2);
        ByteBuffer half = Codec.encode(new Frame.Report(List.of(), List.of(new Frame.Use(0, 5, 0, 100 * MS))));
        half.limit(half.limit() - 3);
        cut.connection.send(half);
        net.runFor(10 * MS);
        cut.connection.close(Close.LOCAL, "cut");
        net.runFor(100 * MS);
        assertFalse(controller.driver().hasJoined(2));
        assertTrue(controller.driver().hasJoined(1));
        assertEquals(null, good.why);
    }

    @Test
    void aHelloFromAnUnknownVersionIsAnsweredWithTheVersionSpoken() {
        Frame.Hello h = hello(3, 3);
        Peer peer = new Peer(new Frame.Hello(Frame.PROTOCOL_VERSION + 1, h.proxy(), 1, 0, 1, true, 0, 0, "new"));
        net.runFor(100 * MS);
        assertEquals(Frame.Reason.VERSION, peer.goodbye());
        assertFalse(controller.driver().hasJoined(3));
    }

    @Test
    void aLengthOf4GiBEndsThatStreamAlone() {
        Peer good = joined(1);
        Peer bad = joined(2);
        bad.connection.send(ByteBuffer.allocate(4).putInt(-1).flip());
        net.runFor(100 * MS);
        assertEquals(Frame.Reason.PROTOCOL, bad.goodbye());
        assertFalse(controller.driver().hasJoined(2));
        assertEquals(null, good.why);
    }

    @Test
    void ofTwoProxiesThatClaimOneIdTheFirstStays() {
        Peer first = joined(4);
        Peer second = new Peer(hello(4, 999));
        net.runFor(200 * MS);
        assertEquals(Frame.Reason.ID_IN_USE, second.goodbye());
        assertEquals(null, first.why);
        first.connection.close(Close.LOCAL, "gone");
        net.runFor(100 * MS);
        Peer third = new Peer(hello(4, 999));
        net.runFor(200 * MS);
        assertEquals(null, third.goodbye());
        assertTrue(controller.driver().hasJoined(4));
    }

    @Test
    void theSameProxyOnANewStreamTakesTheOldOnesPlace() {
        Peer first = joined(5);
        Peer again = new Peer(hello(5, 5));
        net.runFor(500 * MS);
        assertEquals(Frame.Reason.MOVING, first.goodbye());
        assertTrue(controller.driver().hasJoined(5));
        assertInOrder(again);
    }

    /**
     * A controller stood still while its proxies called again and again. What it then read in one turn was a hello, its
     * stream's end behind it and the next hello: the ended stream was not over yet, since its snapshot waited to be
     * written, and the next join threw "proxy 0 has joined already".
     */
    @Test
    void aProxyThatCallsAgainBeforeTheEndOfItsLastStreamIsOverIsTakenIn() {
        Loop apart = net.loop(faults::add);
        net.freeze(loop, true);
        for (int i = 0; i < 3; i++) {
            Peer gone = new Peer(apart, hello(5, 5));
            net.runFor(MS);
            gone.connection.end();
        }
        Peer last = new Peer(apart, hello(5, 5));
        net.runFor(50 * MS);
        net.freeze(loop, false);
        net.runFor(500 * MS);
        assertEquals(List.of(), faults);
        assertTrue(controller.driver().hasJoined(5));
        assertEquals(null, last.goodbye());
        assertInOrder(last);
    }

    @Test
    void aReportForABackendNeverListedIsCountedAndLeftOut() {
        Peer peer = joined(6);
        peer.send(new Frame.Report(List.of(new Frame.Tally(new Backend(12345), 5, 0, 100, 1000, List.of()),
                new Frame.Tally(backend(1), 5, 0, 100 * MS, 1000 * MS, List.of())),
                List.of(new Frame.Use(9, 1, 0, 1), new Frame.Use(0, 5, 0, 1000 * MS))));
        net.runFor(3000 * MS);
        assertEquals(2, controller.driver().ignoredReportLines());
        assertEquals(2, controller.driver().maxPendingReportLines());
        assertEquals(List.of(), faults);
    }

    private static Frame.NumberedReport numbered(long number) {
        return new Frame.NumberedReport(number, new Frame.Report(List.of(), List.of(new Frame.Use(9, 1, 0, 1))));
    }

    /** The class does not exist: what is taken of it is counted as unlisted, one a report. */
    @Test
    void aNumberedReportCountsOnceHoweverOftenItIsSentAndIsAcknowledgedEachTime() {
        Peer peer = joined(6);
        peer.send(numbered(1));
        peer.send(numbered(2));
        peer.send(numbered(2));
        net.runFor(100 * MS);
        assertEquals(2, controller.driver().ignoredReportLines());
        assertEquals(List.of(1L, 2L, 2L), peer.heard(Frame.ReportsTaken.class).stream().map(Frame.ReportsTaken::upTo).toList());
        Peer again = new Peer(hello(6, 6)); // the same process on a new stream: the acknowledgement was lost
        again.send(numbered(2));
        again.send(numbered(3));
        net.runFor(100 * MS);
        assertEquals(3, controller.driver().ignoredReportLines());
        again.connection.close(Close.LOCAL, "test");
        net.runFor(100 * MS);
        Peer back = new Peer(hello(6, 6)); // it was with another controller meanwhile, which took 4 to 8
        back.send(numbered(9));
        net.runFor(100 * MS);
        assertEquals(4, controller.driver().ignoredReportLines());
        assertEquals(null, back.goodbye());
    }

    @Test
    void aReportOfAnotherProcessWithTheSameNumberCounts() {
        Peer peer = joined(6);
        peer.send(numbered(1));
        net.runFor(100 * MS);
        peer.connection.close(Close.LOCAL, "test");
        net.runFor(100 * MS);
        Peer restarted = new Peer(hello(6, 777));
        restarted.send(numbered(1));
        net.runFor(100 * MS);
        assertEquals(2, controller.driver().ignoredReportLines());
    }

    @Test
    void aGapBetweenReportsOfOneStreamEndsIt() {
        Peer peer = joined(6);
        peer.send(numbered(1));
        peer.send(numbered(3));
        net.runFor(100 * MS);
        assertEquals(Frame.Reason.PROTOCOL, peer.goodbye());
        assertEquals(1, controller.driver().ignoredReportLines());
    }

    @Test
    void aProxyOfTheOldProtocolIsTakenInAndHearsNothingNew() {
        Frame.Hello h = hello(6, 6);
        Peer peer = new Peer(new Frame.Hello(1, h.proxy(), h.incarnation(), h.zone(), h.requestsPerSecond(), true, 0, 0, h.name()));
        net.runFor(200 * MS);
        peer.send(new Frame.Report(List.of(), List.of(new Frame.Use(9, 1, 0, 1))));
        net.runFor(2000 * MS);
        assertTrue(controller.driver().hasJoined(6));
        assertEquals(1, controller.driver().ignoredReportLines());
        assertEquals(List.of(), peer.heard(Frame.ReportsTaken.class));
    }

    @Test
    void twoHundredStreamsOpenedAndLeftSilentAreEndedAndHoldUpNobody() {
        List<Peer> silent = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            silent.add(new Peer());
        }
        net.runFor(100 * MS);
        joined(7);
        net.runFor(6000 * MS);
        assertTrue(silent.stream().allMatch(p -> p.why != null), "a silent stream is still open");
        assertTrue(controller.driver().hasJoined(7));
    }

    @Test
    void aProxyThatReadsNothingIsLetGoAndTheOthersGoOn() {
        Peer stuck = joined(8);
        Peer good = joined(9);
        stuck.connection.pause();
        for (int round = 0; round < 40 && controller.driver().hasJoined(8); round++) {
            roster.put(roster.instance(backend(round % 6)).with(round / 6 % 2 == 0 ? Availability.DRAINING
                    : Availability.READY));
            net.runFor(500 * MS);
        }
        assertFalse(controller.driver().hasJoined(8), "silent and unread, it still counts as joined");
        assertTrue(controller.driver().hasJoined(9));
        assertInOrder(good);
    }

    @Test
    void aProxyThatAsksForASnapshotGetsAllThatIsOrderedForIt() {
        Peer peer = joined(10);
        net.runFor(2000 * MS);
        peer.send(new Frame.Resync(77, 1));
        net.runFor(1000 * MS);
        List<Frame.Snapshot> snapshots = peer.heard(Frame.Snapshot.class);
        assertEquals(2, snapshots.size());
        Frame.Snapshot whole = snapshots.get(1);
        assertEquals(3, whole.bindings().stream().mapToInt(Frame.Binding::classMask).sum(), "both classes");
        assertEquals(6, whole.tables().get(0).lines().size());
    }

    @Test
    void aFrameThatAProxyMayNotSendEndsItsStream() {
        Peer peer = joined(11);
        peer.send(new Frame.Update(77, 1, 0, 0, List.of()));
        net.runFor(100 * MS);
        assertEquals(Frame.Reason.PROTOCOL, peer.goodbye());
        Peer mute = new Peer(new Frame.Applied(1, 1, 1));
        net.runFor(100 * MS);
        assertEquals(Frame.Reason.PROTOCOL, mute.goodbye());
    }
}
