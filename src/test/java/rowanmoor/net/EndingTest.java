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

/** Graceful and abortive closes on loopback sockets, with every unfavourable order of events forced by the peer. */
@Timeout(60)
class EndingTest {

    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int FRAME_BYTES = 64 << 10;

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

    private <T> T onLoop(Function<Loop, T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(() -> result.complete(task.apply(loop)));
        return result.get(20, TimeUnit.SECONDS);
    }

    private Socket connect() throws Exception {
        ConnectionHandler handler = new ConnectionHandler() {
            @Override
            public void onData(Connection connection, ByteBuffer bytes) {
                bytes.position(bytes.limit());
            }

            @Override
            public void onClose(Connection connection, CloseReason reason, String detail) {
                closed.complete(reason + ": " + detail);
            }
        };
        InetSocketAddress address = onLoop(l -> {
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
        peer.setReceiveBufferSize(FRAME_BYTES); // keeps the buffer from growing
        peer.connect(address);
        return peer;
    }

    /**
     * Sends to a peer that reads nothing until the connection's queue is full and the last write accepted nothing. One
     * queued frame is not enough: under other load a write may accept nothing only because the other side of the
     * loopback has not been scheduled yet, and the frame is sent after all.
     */
    private Connection connectionWithFullQueue() throws Exception {
        Connection connection = accepted.get(20, TimeUnit.SECONDS);
        while (onLoop(l -> {
            long before = connection.writtenBytes();
            connection.flush();
            boolean wroteNothing = connection.writtenBytes() == before;
            return connection.send(ByteBuffer.allocate(FRAME_BYTES)) || !wroteNothing;
        })) {
            Thread.onSpinWait();
        }
        return connection;
    }

    @Test
    void peerThatEndsWithoutReadingIsClosedAfterTimeout() throws Exception {
        try (Socket peer = connect()) {
            connectionWithFullQueue();
            peer.shutdownOutput();
            assertTrue(closed.get(20, TimeUnit.SECONDS).contains("took none"), closed.get());
        }
    }

    @Test
    void gracefulCloseBehindUnreadBufferTimesOut() throws Exception {
        try (Socket peer = connect()) {
            Connection connection = connectionWithFullQueue();
            onLoop(l -> {
                connection.closeGracefully();
                return null;
            });
            assertTrue(closed.get(20, TimeUnit.SECONDS).contains("took none"), closed.get());
            assertTrue(peer.isConnected());
        }
    }

    @Test
    void gracefulCloseDeliversAllQueuedBytes() throws Exception {
        try (Socket peer = connect()) {
            Connection connection = connectionWithFullQueue();
            long sentBytes = onLoop(l -> {
                connection.closeGracefully();
                return connection.writtenBytes() + connection.queuedBytes();
            });
            byte[] buffer = new byte[FRAME_BYTES];
            long readBytes = 0;
            for (int n = peer.getInputStream().read(buffer); n >= 0; n = peer.getInputStream().read(buffer)) {
                readBytes += n;
            }
            assertEquals(sentBytes, readBytes);
            peer.shutdownOutput();
            assertEquals("ENDED: the peer ended", closed.get(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void connectionsResetBeforeAcceptDoNotPauseAccepting() throws Exception {
        CompletableFuture<Void> loopReleased = new CompletableFuture<>();
        try (Socket first = connect()) {
            accepted.get(20, TimeUnit.SECONDS);
            loop.post(loopReleased::join); // blocks the loop: new connections wait in the backlog
            for (int i = 0; i < 20; i++) {
                Socket resetSocket = new Socket(first.getInetAddress(), first.getPort());
                resetSocket.setSoLinger(true, 0);
                resetSocket.close();
            }
            loopReleased.complete(null);
            try (Socket nextSocket = new Socket(first.getInetAddress(), first.getPort())) {
                nextSocket.shutdownOutput();
                assertEquals(-1, nextSocket.getInputStream().read(), "served and closed");
            }
            assertEquals(0L, onLoop(Loop::acceptPauseCount));
        }
    }
}
