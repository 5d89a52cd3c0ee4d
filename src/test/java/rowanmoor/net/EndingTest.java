package rowanmoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Ends of connections on real loopback sockets, each bad order forced by the peer. */
@Timeout(60)
class EndingTest {

    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int PIECE = 64 << 10;

    private final List<Throwable> faults = new ArrayList<>();
    private final CompletableFuture<Connection> accepted = new CompletableFuture<>();
    private final CompletableFuture<String> closed = new CompletableFuture<>();
    private Loop loop;
    private Thread thread;

    @BeforeEach
    void start() throws IOException {
        loop = Loop.onSockets(faults::add);
        thread = new Thread(loop);
        thread.start();
    }

    @AfterEach
    void stop() throws InterruptedException {
        loop.stop();
        thread.join();
        assertEquals(List.of(), faults);
    }

    private <T> T on(Function<Loop, T> what) throws Exception {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.post(() -> answer.complete(what.apply(loop)));
        return answer.get(20, TimeUnit.SECONDS);
    }

    private Socket connect() throws Exception {
        ConnectionHandler handler = new ConnectionHandler() {
            @Override
            public void onData(Connection its, ByteBuffer bytes) {
                bytes.position(bytes.limit());
            }

            @Override
            public void onClose(Connection its, CloseReason why, String detail) {
                closed.complete(why + ": " + detail);
            }
        };
        InetSocketAddress at = on(l -> {
            try {
                return l.listen(ANY, Connection.Options.defaults().bound(new WriteLimit(1 << 20, 4096,
                        WriteLimit.OverflowPolicy.REFUSE)), c -> {
                            accepted.complete(c);
                            return handler;
                        }).address();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        Socket peer = new Socket();
        peer.setReceiveBufferSize(PIECE); // it does not grow then
        peer.connect(at);
        return peer;
    }

    /**
     * Sends to a peer that reads nothing until its connection's queue is full behind a write that took nothing. One piece
     * in the queue is not enough: beside other load a write may take nothing only because the other side of the loopback
     * has not had its turn, and then takes that piece after all.
     */
    private Connection stuffed() throws Exception {
        Connection connection = accepted.get(20, TimeUnit.SECONDS);
        while (on(l -> {
            long before = connection.writtenBytes();
            connection.flush();
            boolean tookNothing = connection.writtenBytes() == before;
            return connection.send(ByteBuffer.allocate(PIECE)) || !tookNothing;
        })) {
            Thread.onSpinWait();
        }
        return connection;
    }

    @Test
    void aPeerThatEndsAndNeverReadsWhatWaitsIsClosedInTime() throws Exception {
        try (Socket peer = connect()) {
            stuffed();
            peer.shutdownOutput();
            assertTrue(closed.get(20, TimeUnit.SECONDS).contains("took none"), closed.get());
        }
    }

    @Test
    void anEndBehindAFullBufferThatNobodyReadsIsClosedInTime() throws Exception {
        try (Socket peer = connect()) {
            Connection connection = stuffed();
            on(l -> {
                connection.closeGracefully();
                return null;
            });
            assertTrue(closed.get(20, TimeUnit.SECONDS).contains("took none"), closed.get());
            assertTrue(peer.isConnected());
        }
    }

    @Test
    void aPeerThatReadsOnGetsAllThatWaitedBeforeTheEnd() throws Exception {
        try (Socket peer = connect()) {
            Connection connection = stuffed();
            long sent = on(l -> {
                connection.closeGracefully();
                return connection.writtenBytes() + connection.queuedBytes();
            });
            byte[] into = new byte[PIECE];
            long read = 0;
            for (int n = peer.getInputStream().read(into); n >= 0; n = peer.getInputStream().read(into)) {
                read += n;
            }
            assertEquals(sent, read);
            peer.shutdownOutput();
            assertEquals("ENDED: the peer ended", closed.get(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void connectionsResetBeforeTheyAreAcceptedDoNotMakeAcceptingRest() throws Exception {
        CompletableFuture<Void> held = new CompletableFuture<>();
        try (Socket first = connect()) {
            accepted.get(20, TimeUnit.SECONDS);
            loop.post(held::join); // the loop stands still: what connects now waits in the backlog
            for (int i = 0; i < 20; i++) {
                Socket killed = new Socket(first.getInetAddress(), first.getPort());
                killed.setSoLinger(true, 0);
                killed.close();
            }
            held.complete(null);
            try (Socket later = new Socket(first.getInetAddress(), first.getPort())) {
                later.shutdownOutput();
                assertEquals(-1, later.getInputStream().read(), "served and ended");
            }
            assertEquals(0L, on(Loop::acceptPauseCount));
        }
    }
}
