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
    private static class Ear implements ConnectionHandler {
        final StringBuilder heard = new StringBuilder();
        Connection connection;
        boolean opened;
        CloseReason why;

        @Override
        public void onOpen(Connection its) {
            connection = its;
            opened = true;
        }

        @Override
        public void onData(Connection its, ByteBuffer bytes) {
            heard.append(StandardCharsets.ISO_8859_1.decode(bytes));
        }

        @Override
        public void onClose(Connection its, CloseReason how, String detail) {
            assertEquals(null, why, "closed twice");
            why = how;
        }
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private Loop.Listener listen(Ear server, Connection.Options options) throws IOException {
        return loop.listen(ANY, options, c -> server);
    }

    private static final Connection.Options USUAL = Connection.Options.defaults();

    @Test
    void bytesArriveInOrderHoweverTheyAreSplitAndDelayed() throws IOException {
        net.setFaults(new MemoryNet.Faults(7, MS, 50 * MS, 0, 0));
        Ear server = new Ear();
        Ear client = new Ear();
        Connection connection = loop.connect(null, listen(server, USUAL).address(), USUAL, client);
        StringBuilder sent = new StringBuilder();
        for (int i = 0; i < 300; i++) {
            sent.append(i).append(' ');
            connection.send(bytes(i + " "));
        }
        assertTrue(net.runUntil(100_000 * MS, () -> server.heard.length() == sent.length()));
        assertEquals(sent.toString(), server.heard.toString());
        assertTrue(client.opened);
    }

    @Test
    void aRefusedConnectionIsClosedOnce() {
        Ear client = new Ear();
        loop.connect(null, new InetSocketAddress(InetAddress.getLoopbackAddress(), 9), USUAL, client);
        net.runFor(10 * MS);
        assertEquals(CloseReason.REFUSED, client.why);
        assertFalse(client.opened);
    }

    @Test
    void aConnectThatHangsIsGivenUp() throws IOException {
        Ear client = new Ear();
        InetSocketAddress to = listen(new Ear(), USUAL).address();
        net.blackhole(to, true);
        loop.connect(null, to, USUAL.connectWithin(400 * MS), client);
        net.runFor(399 * MS);
        assertEquals(null, client.why);
        net.runFor(2 * MS);
        assertEquals(CloseReason.CONNECT_TIMEOUT, client.why);
    }

    @Test
    void aSilentConnectionIsClosedAndOneThatSpeaksIsNot() throws IOException {
        Ear server = new Ear();
        InetSocketAddress to = listen(server, USUAL.idleAfter(100 * MS)).address();
        Connection connection = loop.connect(null, to, USUAL, new Ear());
        for (int i = 0; i < 5; i++) {
            connection.send(bytes("x"));
            net.runFor(80 * MS);
            assertEquals(null, server.why);
        }
        net.runFor(200 * MS);
        assertEquals(CloseReason.IDLE, server.why);
    }

    @Test
    void aHalfClosedPeerIsStillAnswered() throws IOException {
        Ear server = new Ear() {
            @Override
            public boolean onInputEnd(Connection its) {
                its.send(bytes("late answer"));
                its.closeGracefully();
                return true;
            }
        };
        Ear client = new Ear();
        Connection connection = loop.connect(null, listen(server, USUAL).address(), USUAL, client);
        connection.send(bytes("question"));
        net.runFor(10 * MS);
        connection.closeGracefully();
        net.runFor(10 * MS);
        assertEquals("question", server.heard.toString());
        assertEquals(CloseReason.ENDED, server.why);
    }

    @Test
    void aResetIsHeardAsOne() throws IOException {
        Ear server = new Ear();
        Connection connection = loop.connect(null, listen(server, USUAL).address(), USUAL, new Ear());
        net.runFor(10 * MS);
        connection.reset("test");
        net.runFor(10 * MS);
        assertEquals(CloseReason.RESET, server.why);
    }

    /** A reader that has paused: the window fills, then the queue. */
    private Connection stuck(WriteLimit bound, Ear client) throws IOException {
        Ear server = new Ear() {
            @Override
            public void onOpen(Connection its) {
                super.onOpen(its);
                its.pause();
            }
        };
        Connection connection = loop.connect(null, listen(server, USUAL).address(), USUAL.bound(bound), client);
        net.runFor(5 * MS);
        connection.send(ByteBuffer.allocate(1 << 16));
        net.runFor(5 * MS);
        assertEquals(0, connection.queuedFrames());
        return connection;
    }

    @Test
    void aFullQueueRefuses() throws IOException {
        Connection connection = stuck(new WriteLimit(1 << 16, 2, WriteLimit.OverflowPolicy.REFUSE), new Ear());
        assertTrue(connection.send(bytes("a")));
        assertTrue(connection.send(bytes("b")));
        assertFalse(connection.send(bytes("c")));
        assertTrue(connection.isOpen());
    }

    @Test
    void aFullQueueCloses() throws IOException {
        Ear client = new Ear();
        Connection connection = stuck(new WriteLimit(1 << 16, 1, WriteLimit.OverflowPolicy.CLOSE), client);
        assertTrue(connection.send(bytes("0123456789")));
        assertFalse(connection.send(bytes("x")));
        assertEquals(CloseReason.OVERFLOW, client.why);
    }

    @Test
    void withoutDescriptorsAcceptingRestsAndDoesNotSpin() throws IOException {
        List<Ear> served = new ArrayList<>();
        InetSocketAddress to = loop.listen(ANY, USUAL, c -> {
            served.add(new Ear());
            return served.get(served.size() - 1);
        }).address();
        net.limitDescriptors(1);
        for (int i = 0; i < 3; i++) {
            loop.connect(null, to, USUAL, new Ear());
        }
        net.runFor(1000 * MS);
        assertEquals(1, served.size());
        assertTrue(loop.acceptPauseCount() >= 9 && loop.acceptPauseCount() <= 12, loop.acceptPauseCount() + " pauses");
        net.limitDescriptors(10);
        net.runFor(200 * MS);
        assertEquals(3, served.size());
    }

    @Test
    void aHandlerThatThrowsCostsItsOwnConnectionOnly() throws IOException {
        Ear bad = new Ear() {
            @Override
            public void onData(Connection its, ByteBuffer bytes) {
                throw new IllegalStateException("on purpose");
            }
        };
        Ear good = new Ear();
        Connection one = loop.connect(null, listen(bad, USUAL).address(), USUAL, new Ear());
        Connection other = loop.connect(null, listen(good, USUAL).address(), USUAL, new Ear());
        one.send(bytes("x"));
        net.runFor(10 * MS);
        other.send(bytes("y"));
        net.runFor(10 * MS);
        assertEquals(CloseReason.FAULT, bad.why);
        assertEquals("y", good.heard.toString());
        assertEquals(1, faults.size());
    }

    @Test
    void timersOfOneTimeRunInTheirOrderAndCancelledOnesNever() {
        StringBuilder order = new StringBuilder();
        loop.after(10, () -> order.append("b"));
        loop.after(5, () -> order.append("a"));
        loop.after(10, () -> order.append("c"));
        loop.after(7, () -> order.append("x")).cancel();
        net.runFor(MS);
        assertEquals("abc", order.toString());
    }

    @Test
    void theSameSeedGivesTheSameRunCutsAndAll() throws IOException {
        String first = cutRun(3);
        assertEquals(first, cutRun(3));
        assertFalse(first.equals(cutRun(4)));
    }

    private static String cutRun(long seed) throws IOException {
        MemoryNet its = new MemoryNet(0, seed);
        its.setFaults(new MemoryNet.Faults(100, MS, 20 * MS, 0.01, 0.02));
        Loop one = its.newLoop(e -> { });
        StringBuilder story = new StringBuilder();
        InetSocketAddress to = one.listen(ANY, USUAL, c -> new Ear() {
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
            one.connect(null, to, USUAL, new Ear()).send(ByteBuffer.allocate(2000));
        }
        its.runFor(1000 * MS);
        return story.toString();
    }

    @Test
    void socketsCarryAMegabyteBothWaysAndStopFromAnotherThread() throws Exception {
        List<Throwable> thrown = new ArrayList<>();
        Loop sockets = Loop.onSockets(thrown::add);
        CountDownLatch back = new CountDownLatch(1);
        int size = 1 << 20;
        InetSocketAddress to = sockets.listen(ANY, USUAL, c -> new ConnectionHandler() {
            @Override
            public void onData(Connection its, ByteBuffer bytes) {
                its.send(ByteBuffer.allocate(bytes.remaining()).put(bytes).flip());
            }
        }).address();
        int[] count = {0};
        Thread thread = new Thread(sockets);
        thread.start();
        sockets.post(() -> sockets.connect(null, to, USUAL, new ConnectionHandler() {
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
