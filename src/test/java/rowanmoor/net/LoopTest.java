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

/** The event loop on the in-memory network, and once on sockets. */
class LoopTest {

    private static final long MS = 1_000_000;
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final List<Throwable> faults = new ArrayList<>();
    private final MemoryNet net = new MemoryNet(0, 5);
    private final Loop loop = net.newLoop(faults::add);

    /** Records the events of a connection. */
    private static class RecordingHandler implements ConnectionHandler {
        final StringBuilder received = new StringBuilder();
        Connection connection;
        boolean opened;
        CloseReason closeReason;

        @Override
        public void onOpen(Connection openedConnection) {
            connection = openedConnection;
            opened = true;
        }

        @Override
        public void onData(Connection openedConnection, ByteBuffer bytes) {
            received.append(StandardCharsets.ISO_8859_1.decode(bytes));
        }

        @Override
        public void onClose(Connection openedConnection, CloseReason reason, String detail) {
            assertEquals(null, closeReason, "closed twice");
            closeReason = reason;
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
            public boolean onInputEnd(Connection openedConnection) {
                openedConnection.send(bytes("late response"));
                openedConnection.closeGracefully();
                return true;
            }
        };
        RecordingHandler client = new RecordingHandler();
        Connection connection = loop.connect(null, listen(server, DEFAULTS).address(), DEFAULTS, client);
        connection.send(bytes("request"));
        net.runFor(10 * MS);
        connection.closeGracefully();
        net.runFor(10 * MS);
        assertEquals("request", server.received.toString());
        assertEquals(CloseReason.ENDED, server.closeReason);
    }

    @Test
    void resetIsReportedAsReset() throws IOException {
        RecordingHandler server = new RecordingHandler();
        Connection connection = loop.connect(null, listen(server, DEFAULTS).address(), DEFAULTS,
                new RecordingHandler());
        net.runFor(10 * MS);
        connection.reset("test");
        net.runFor(10 * MS);
        assertEquals(CloseReason.RESET, server.closeReason);
    }

    /** A connection to a peer that has paused reading; its window is full, so that further frames stay queued. */
    private Connection connectionWithFullWindow(WriteLimit writeLimit, RecordingHandler client) throws IOException {
        RecordingHandler server = new RecordingHandler() {
            @Override
            public void onOpen(Connection openedConnection) {
                super.onOpen(openedConnection);
                openedConnection.pause();
            }
        };
        Connection connection = loop.connect(null, listen(server, DEFAULTS).address(), DEFAULTS.bound(writeLimit),
                client);
        net.runFor(5 * MS);
        connection.send(ByteBuffer.allocate(1 << 16));
        net.runFor(5 * MS);
        assertEquals(0, connection.queuedFrames());
        return connection;
    }

    @Test
    void fullQueueRefusesFrames() throws IOException {
        Connection connection = connectionWithFullWindow(
                new WriteLimit(1 << 16, 2, WriteLimit.OverflowPolicy.REFUSE), new RecordingHandler());
        assertTrue(connection.send(bytes("a")));
        assertTrue(connection.send(bytes("b")));
        assertFalse(connection.send(bytes("c")));
        assertTrue(connection.isOpen());
    }

    @Test
    void fullQueueClosesConnection() throws IOException {
        RecordingHandler client = new RecordingHandler();
        Connection connection = connectionWithFullWindow(
                new WriteLimit(1 << 16, 1, WriteLimit.OverflowPolicy.CLOSE), client);
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
        RecordingHandler throwing = new RecordingHandler() {
            @Override
            public void onData(Connection openedConnection, ByteBuffer bytes) {
                throw new IllegalStateException("on purpose");
            }
        };
        RecordingHandler healthy = new RecordingHandler();
        Connection first = loop.connect(null, listen(throwing, DEFAULTS).address(), DEFAULTS, new RecordingHandler());
        Connection second = loop.connect(null, listen(healthy, DEFAULTS).address(), DEFAULTS, new RecordingHandler());
        first.send(bytes("x"));
        net.runFor(10 * MS);
        second.send(bytes("y"));
        net.runFor(10 * MS);
        assertEquals(CloseReason.FAULT, throwing.closeReason);
        assertEquals("y", healthy.received.toString());
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
        MemoryNet memoryNet = new MemoryNet(0, seed);
        memoryNet.setFaults(new MemoryNet.Faults(100, MS, 20 * MS, 0.01, 0.02));
        Loop eventLoop = memoryNet.newLoop(e -> { });
        StringBuilder events = new StringBuilder();
        InetSocketAddress to = eventLoop.listen(ANY, DEFAULTS, c -> new RecordingHandler() {
            @Override
            public void onData(Connection connection, ByteBuffer bytes) {
                events.append(bytes.remaining()).append('@').append(memoryNet.now()).append(' ');
            }

            @Override
            public void onClose(Connection connection, CloseReason reason, String detail) {
                events.append(reason).append(' ');
            }
        }).address();
        for (int i = 0; i < 10; i++) {
            eventLoop.connect(null, to, DEFAULTS, new RecordingHandler()).send(ByteBuffer.allocate(2000));
        }
        memoryNet.runFor(1000 * MS);
        return events.toString();
    }

    @Test
    void socketsEchoOneMebibyteAndStopFromAnotherThread() throws Exception {
        List<Throwable> socketFaults = new ArrayList<>();
        Loop socketLoop = Loop.onSockets(socketFaults::add);
        CountDownLatch allEchoed = new CountDownLatch(1);
        int size = 1 << 20;
        InetSocketAddress to = socketLoop.listen(ANY, DEFAULTS, c -> new ConnectionHandler() {
            @Override
            public void onData(Connection openedConnection, ByteBuffer bytes) {
                openedConnection.send(ByteBuffer.allocate(bytes.remaining()).put(bytes).flip());
            }
        }).address();
        int[] echoedBytes = {0};
        Thread thread = new Thread(socketLoop);
        thread.start();
        socketLoop.post(() -> socketLoop.connect(null, to, DEFAULTS, new ConnectionHandler() {
            @Override
            public void onOpen(Connection openedConnection) {
                openedConnection.send(ByteBuffer.allocate(size));
            }

            @Override
            public void onData(Connection openedConnection, ByteBuffer bytes) {
                echoedBytes[0] += bytes.remaining();
                bytes.position(bytes.limit());
                if (echoedBytes[0] == size) {
                    allEchoed.countDown();
                }
            }
        }));
        assertTrue(allEchoed.await(60, TimeUnit.SECONDS));
        socketLoop.stop();
        thread.join(60_000);
        assertFalse(thread.isAlive());
        assertEquals(List.of(), socketFaults);
    }
}
