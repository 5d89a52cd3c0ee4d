package rowanmoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The loop on pipes in memory, and once on sockets. */
class LoopTest {

    private static final long MS = 1_000_000;
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final List<Throwable> faults = new ArrayList<>();
    private final MemoryNet net = new MemoryNet(0, 5);
    private final Loop loop = net.newLoop(faults::add);

    /** Keeps what it hears. */
    private static class RecordingHandler implements ConnectionHandler {
        final StringBuilder received = new StringBuilder();
        Connection connection;
        boolean opened;
        CloseReason closeReason;

        @Override
        public void onOpen(Connection its) {
            connection = its;
            opened = true;
        }

        @Override
        public void onData(Connection its, ByteBuffer bytes) {
            received.append(StandardCharsets.ISO_8859_1.decode(bytes));
        }

        @Override
        public void onClose(Connection its, CloseReason how, String detail) {
            assertEquals(null, closeReason, "closed twice");
            closeReason = how;
        }
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private Loop.Listener listen(RecordingHandler server, Connection.Options options) throws IOException {
        return loop.listen(ANY, options, c -> server);
    }

    private static final Connection.Options DEFAULTS = Connection.Options.defaults();

    @Test
    void bytesArriveInOrderDespiteSplitsAndDelays() throws IOException {
        net.setFaults(new MemoryNet.Faults(7, MS, 50 * MS, 0, 0));
        RecordingHandler server = new RecordingHandler();
        RecordingHandler client = new RecordingHandler();
        Connection connection = loop.connect(null, listen(server, DEFAULTS).address(), DEFAULTS, client);
        StringBuilder sent = new StringBuilder();
        for (int i = 0; i < 300; i++) {
            sent.append(i).append(' ');
            connection.send(bytes(i + " "));
        }
        assertTrue(net.runUntil(100_000 * MS, () -> server.received.length() == sent.length()));
        assertEquals(sent.toString(), server.received.toString());
        assertTrue(client.opened);
    }

    @Test
    void refusedConnectionIsClosedOnce() {
        RecordingHandler client = new RecordingHandler();
        loop.connect(null, new InetSocketAddress(InetAddress.getLoopbackAddress(), 9), DEFAULTS, client);
        net.runFor(10 * MS);
        assertEquals(CloseReason.REFUSED, client.closeReason);
        assertFalse(client.opened);
    }

    @Test
    void connectTimesOut() throws IOException {
        RecordingHandler client = new RecordingHandler();
        InetSocketAddress to = listen(new RecordingHandler(), DEFAULTS).address();
        net.blackhole(to, true);
        loop.connect(null, to, DEFAULTS.connectWithin(400 * MS), client);
        net.runFor(399 * MS);
        assertEquals(null, client.closeReason);
        net.runFor(2 * MS);
        assertEquals(CloseReason.CONNECT_TIMEOUT, client.closeReason);
    }

    @Test
    void idleConnectionIsClosedAndActiveOneIsNot() throws IOException {
        RecordingHandler server = new RecordingHandler();
        InetSocketAddress to = listen(server, DEFAULTS.idleAfter(100 * MS)).address();
        Connection connection = loop.connect(null, to, DEFAULTS, new RecordingHandler());
        for (int i = 0; i < 5; i++) {
            connection.send(bytes("x"));
            net.runFor(80 * MS);
            assertEquals(null, server.closeReason);
        }
        net.runFor(200 * MS);
        assertEquals(CloseReason.IDLE, server.closeReason);
    }

    @Test
    void halfClosedPeerIsStillServed() throws IOException {
        RecordingHandler server = new RecordingHandler() {
            @Override
            public boolean onInputEnd(Connection its) {
                its.send(bytes("late answer"));
                its.closeGracefully();
                return true;
            }
        };
        RecordingHandler client = new RecordingHandler();
        Connection connection = loop.connect(null, listen(server, DEFAULTS).address(), DEFAULTS, client);
        connection.send(bytes("question"));
        net.runFor(10 * MS);
        connection.closeGracefully();
        net.runFor(10 * MS);
        assertEquals("question", server.received.toString());
        assertEquals(CloseReason.ENDED, server.closeReason);
    }

    @Test
    void resetIsReportedAsReset() throws IOException {
        RecordingHandler server = new RecordingHandler();
        Connection connection = loop.connect(null, listen(server, DEFAULTS).address(), DEFAULTS, new RecordingHandler());
        net.runFor(10 * MS);
        connection.reset("test");
        net.runFor(10 * MS);
        assertEquals(CloseReason.RESET, server.closeReason);
    }

    /** A reader that has paused: the window fills, then the queue. */
    private Connection connectionWithFullWindow(WriteLimit bound, RecordingHandler client) throws IOException {
        RecordingHandler server = new RecordingHandler() {
            @Override
            public void onOpen(Connection its) {
                super.onOpen(its);
                its.pause();
            }
        };
        Connection connection = loop.connect(null, listen(server, DEFAULTS).address(), DEFAULTS.bound(bound), client);
        net.runFor(5 * MS);
        connection.send(ByteBuffer.allocate(1 << 16));
        net.runFor(5 * MS);
        assertEquals(0, connection.queuedFrames());
        return connection;
    }

    @Test
    void fullQueueRefusesFrames() throws IOException {
        Connection connection = connectionWithFullWindow(new WriteLimit(1 << 16, 2, WriteLimit.OverflowPolicy.REFUSE), new RecordingHandler());
        assertTrue(connection.send(bytes("a")));
        assertTrue(connection.send(bytes("b")));
        assertFalse(connection.send(bytes("c")));
        assertTrue(connection.isOpen());
    }

    @Test
    void fullQueueClosesConnection() throws IOException {
        RecordingHandler client = new RecordingHandler();
        Connection connection = connectionWithFullWindow(new WriteLimit(1 << 16, 1, WriteLimit.OverflowPolicy.CLOSE), client);
        assertTrue(connection.send(bytes("0123456789")));
        assertFalse(connection.send(bytes("x")));
        assertEquals(CloseReason.OVERFLOW, client.closeReason);
    }

    @Test
    void acceptingPausesWhenDescriptorsRunOut() throws IOException {
        List<RecordingHandler> served = new ArrayList<>();
        InetSocketAddress to = loop.listen(ANY, DEFAULTS, c -> {
            served.add(new RecordingHandler());
            return served.get(served.size() - 1);
        }).address();
        net.limitDescriptors(1);
        for (int i = 0; i < 3; i++) {
            loop.connect(null, to, DEFAULTS, new RecordingHandler());
        }
        net.runFor(1000 * MS);
        assertEquals(1, served.size());
        assertTrue(loop.acceptPauseCount() >= 9 && loop.acceptPauseCount() <= 12, loop.acceptPauseCount() + " pauses");
        net.limitDescriptors(10);
        net.runFor(200 * MS);
        assertEquals(3, served.size());
    }

    @Test
    void throwingHandlerClosesOnlyItsConnection() throws IOException {
        RecordingHandler bad = new RecordingHandler() {
            @Override
            public void onData(Connection its, ByteBuffer bytes) {
                throw new IllegalStateException("on purpose");
            }
        };
        RecordingHandler good = new RecordingHandler();
        Connection one = loop.connect(null, listen(bad, DEFAULTS).address(), DEFAULTS, new RecordingHandler());
        Connection other = loop.connect(null, listen(good, DEFAULTS).address(), DEFAULTS, new RecordingHandler());
        one.send(bytes("x"));
        net.runFor(10 * MS);
        other.send(bytes("y"));
        net.runFor(10 * MS);
        assertEquals(CloseReason.FAULT, bad.closeReason);
        assertEquals("y", good.received.toString());
        assertEquals(1, faults.size());
    }

    @Test
    void simultaneousTimersRunInOrderAndCancelledOnesDoNot() {
        StringBuilder order = new StringBuilder();
        loop.after(10, () -> order.append("b"));
        loop.after(5, () -> order.append("a"));
        loop.after(10, () -> order.append("c"));
        loop.after(7, () -> order.append("x")).cancel();
        net.runFor(MS);
        assertEquals("abc", order.toString());
    }

    @Test
    void sameSeedReproducesRunWithFaults() throws IOException {
        String first = runWithFaults(3);
        assertEquals(first, runWithFaults(3));
        assertFalse(first.equals(runWithFaults(4)));
    }

    private static String runWithFaults(long seed) throws IOException {
        MemoryNet its = new MemoryNet(0, seed);
        its.setFaults(new MemoryNet.Faults(100, MS, 20 * MS, 0.01, 0.02));
        Loop one = its.newLoop(e -> { });
        StringBuilder story = new StringBuilder();
        InetSocketAddress to = one.listen(ANY, DEFAULTS, c -> new RecordingHandler() {
            @Override
            public void onData(Connection connection, ByteBuffer bytes) {
                story.append(bytes.remaining()).append('@').append(its.now()).append(' ');
            }

            @Override
            public void onClose(Connection connection, CloseReason how, String detail) {
                story.append(how).append(' ');
            }
        }).address();
        for (int i = 0; i < 10; i++) {
            one.connect(null, to, DEFAULTS, new RecordingHandler()).send(ByteBuffer.allocate(2000));
        }
        its.runFor(1000 * MS);
        return story.toString();
    }

    @Test
    void socketsEchoOneMebibyteAndStopFromAnotherThread() throws Exception {
        List<Throwable> thrown = new ArrayList<>();
        Loop sockets = Loop.onSockets(thrown::add);
        CountDownLatch back = new CountDownLatch(1);
        int size = 1 << 20;
        InetSocketAddress to = sockets.listen(ANY, DEFAULTS, c -> new ConnectionHandler() {
            @Override
            public void onData(Connection its, ByteBuffer bytes) {
                its.send(ByteBuffer.allocate(bytes.remaining()).put(bytes).flip());
            }
        }).address();
        int[] count = {0};
        Thread thread = new Thread(sockets);
        thread.start();
        sockets.post(() -> sockets.connect(null, to, DEFAULTS, new ConnectionHandler() {
            @Override
            public void onOpen(Connection its) {
                its.send(ByteBuffer.allocate(size));
            }

            @Override
            public void onData(Connection its, ByteBuffer bytes) {
                count[0] += bytes.remaining();
                bytes.position(bytes.limit());
                if (count[0] == size) {
                    back.countDown();
                }
            }
        }));
        assertTrue(back.await(60, TimeUnit.SECONDS));
        sockets.stop();
        thread.join(60_000);
        assertFalse(thread.isAlive());
        assertEquals(List.of(), thrown);
    }
}
