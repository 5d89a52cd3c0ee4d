package rowanmoor.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A single-threaded event loop: waits for readiness or the next timer, reads, runs timers and posted tasks,
 * then writes. The same code runs on sockets with the machine's clock and on {@link MemoryNet}'s in-memory
 * streams with its manual clock.
 */
public final class Loop implements AutoCloseable, Runnable {

    private static final int READ_BUFFER_BYTES = 1 << 16;
    private static final long SECOND_NS = 1_000_000_000L;
    private static final long ACCEPT_PAUSE_NS = SECOND_NS / 10;
    private static final int MAX_ACCEPTS_PER_TURN = 64;
    private static final int LISTEN_BACKLOG = 512;

    private final Clock clock;
    private final Transport transport;
    private final Consumer<Throwable> onFault;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final ConcurrentLinkedQueue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final LinkedHashSet<Connection> connections = new LinkedHashSet<>();
    private final ArrayDeque<Connection> pendingFlushes = new ArrayDeque<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final ByteBuffer probeBuffer = ByteBuffer.allocateDirect(1);
    private long nextTimerSequence;
    private long acceptPauseCount;
    private long faultCount;
    private volatile boolean stopped;

    Loop(Clock clock, Transport transport, Consumer<Throwable> onFault) {
        this.clock = clock;
        this.transport = transport;
        this.onFault = onFault;
    }

    /**
     * A loop on sockets and the machine's clock.
     *
     * @param onFault receives what a handler or task throws, on the loop's thread
     */
    public static Loop onSockets(Consumer<Throwable> onFault) throws IOException {
        return new Loop(Clock.system(), new SelectorTransport(), onFault);
    }

    /** A listening socket; closing it refuses new connections. */
    public final class Listener {
        private final Transport.Acceptor acceptor;
        private final Function<Connection, ConnectionHandler> handlerFactory;
        private final Connection.Options options;

        private Listener(Transport.Acceptor acceptor, Function<Connection, ConnectionHandler> handlerFactory,
                Connection.Options options) {
            this.acceptor = acceptor;
            this.handlerFactory = handlerFactory;
            this.options = options;
            acceptor.setListener(this::acceptBatch);
        }

        public InetSocketAddress address() {
            return acceptor.address();
        }

        /** Accepts the backlog, which closing the socket would reset, and refuses later connections. */
        public void close() {
            for (int taken = 0; taken < LISTEN_BACKLOG && acceptBatch(); taken += MAX_ACCEPTS_PER_TURN) {
                // accept the next batch
            }
            acceptor.close();
        }

        /**
         * Accepts one turn's connections; true if more may be waiting. When the process has run out of file
         * descriptors, accepting pauses and connections wait in the backlog: the socket stays ready, and the
         * loop would spin.
         */
        private boolean acceptBatch() {
            for (int i = 0; i < MAX_ACCEPTS_PER_TURN; i++) {
                try {
                    ByteStream stream = acceptor.accept();
                    if (stream == null) {
                        return false;
                    }
                    start(stream);
                } catch (IOException e) {
                    acceptPauseCount++;
                    acceptor.setAccepting(false);
                    after(ACCEPT_PAUSE_NS, () -> acceptor.setAccepting(true));
                    return false;
                }
            }
            return true;
        }

        private void start(ByteStream stream) {
            var deferred = new DeferredHandler(handlerFactory);
            Connection connection = new Connection(Loop.this, stream, deferred, options, true);
            deferred.handler = deferred.handlerFactory.apply(connection);
            if (deferred.handler == null) {
                connection.close(CloseReason.LOCAL, "turned away");
                return;
            }
            connections.add(connection);
            connection.open();
        }
    }

    /** Delegates to a handler that is created from its connection, after the connection. */
    private static final class DeferredHandler implements ConnectionHandler {
        private final Function<Connection, ConnectionHandler> handlerFactory;
        private ConnectionHandler handler;

        DeferredHandler(Function<Connection, ConnectionHandler> handlerFactory) {
            this.handlerFactory = handlerFactory;
        }

        @Override
        public void onOpen(Connection connection) {
            handler.onOpen(connection);
        }

        @Override
        public void onData(Connection connection, ByteBuffer bytes) {
            handler.onData(connection, bytes);
        }

        @Override
        public boolean onInputEnd(Connection connection) {
            return handler.onInputEnd(connection);
        }

        @Override
        public void onDrained(Connection connection) {
            handler.onDrained(connection);
        }

        @Override
        public void onClose(Connection connection, CloseReason reason, String detail) {
            if (handler != null) {
                handler.onClose(connection, reason, detail);
            }
        }
    }

    /** The time by this loop's clock, ns. */
    public long now() {
        return clock.now();
    }

    /** Runs a task on the loop's thread at a time of its clock; in the next turn if the time has passed. */
    public Timer at(long time, Runnable task) {
        Timer timer = new Timer(time, nextTimerSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Runs a task on the loop's thread after a delay. */
    public Timer after(long nanos, Runnable task) {
        return at(now() + nanos, task);
    }

    /** Runs a task on the loop's thread. May be called from any thread. */
    public void post(Runnable task) {
        posted.add(task);
        transport.wakeup();
    }

    /**
     * Opens a connection. The handler's {@code onOpen} is called once it is established; if it never is, only
     * {@code onClose}.
     *
     * @param from the local address to use, or null for any
     */
    public Connection connect(InetSocketAddress from, InetSocketAddress to, Connection.Options options,
            ConnectionHandler handler) {
        ByteStream stream;
        try {
            stream = transport.connect(from, to);
        } catch (IOException | RuntimeException e) {
            stream = new FailedStream(to);
            Connection failed = new Connection(this, stream, handler, options, false);
            connections.add(failed);
            String detail = e.getMessage() == null ? e.toString() : e.getMessage();
            after(0, () -> failed.close(CloseReason.REFUSED, detail));
            return failed;
        }
        Connection connection = new Connection(this, stream, handler, options, false);
        connections.add(connection);
        return connection;
    }

    /**
     * Listens on an address.
     *
     * @param handlerFactory makes each connection's handler, or returns null to close the connection
     */
    public Listener listen(InetSocketAddress at, Connection.Options options,
            Function<Connection, ConnectionHandler> handlerFactory) throws IOException {
        return new Listener(transport.listen(at, LISTEN_BACKLOG), handlerFactory, options);
    }

    /** Runs turns until {@link #stop}, then closes all connections. */
    @Override
    public void run() {
        while (!stopped) {
            runTurn(SECOND_NS);
        }
        List.copyOf(connections).forEach(c -> c.close(CloseReason.STOPPED, "the loop was stopped"));
        transport.close();
    }

    /** Ends {@link #run} after the current turn. May be called from any thread. */
    public void stop() {
        stopped = true;
        transport.wakeup();
    }

    @Override
    public void close() {
        stop();
    }

    /** Runs one turn, which waits at most {@code maxWaitNs} for readiness. */
    void runTurn(long maxWaitNs) {
        try {
            boolean busy = !posted.isEmpty() || !pendingFlushes.isEmpty();
            transport.poll(busy ? 0 : Math.min(maxWaitNs, nsUntilNextTimer()));
        } catch (IOException e) {
            reportFault(e);
        }
        runTimers();
        // Only what is queued by now: work that it adds waits for the next turn, so that nothing is starved.
        for (int left = posted.size(); left > 0; left--) {
            runGuarded(posted.poll());
        }
        for (int left = pendingFlushes.size(); left > 0; left--) {
            pendingFlushes.poll().flush();
        }
    }

    private void runTimers() {
        long now = now();
        while (!timers.isEmpty() && (timers.peek().time <= now || !timers.peek().isLive())) {
            runGuarded(timers.poll()::run);
        }
    }

    /** Nanoseconds to the next timer, 0 if one is due, {@link Long#MAX_VALUE} if there is none. */
    long nsUntilNextTimer() {
        while (!timers.isEmpty() && !timers.peek().isLive()) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : Math.max(0, timers.peek().time - now());
    }

    int liveTimerCount() {
        return (int) timers.stream().filter(Timer::isLive).count();
    }

    int openConnectionCount() {
        return connections.size();
    }

    /** Whether a turn has work to do at once, regardless of the readiness of streams. */
    boolean hasWork() {
        return !posted.isEmpty() || !pendingFlushes.isEmpty() || nsUntilNextTimer() == 0;
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            reportFault(e);
        }
    }

    void reportFault(Throwable cause) {
        faultCount++;
        onFault.accept(cause);
    }

    /** How often accepting was paused because the process had run out of file descriptors. */
    public long acceptPauseCount() {
        return acceptPauseCount;
    }

    /** How many calls of handlers and tasks have thrown an exception. */
    public long faultCount() {
        return faultCount;
    }

    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /** A one-byte buffer for probing: {@link #readBuffer} may be in use by a caller. */
    ByteBuffer probeBuffer() {
        return probeBuffer.clear();
    }

    long lingerTimeoutNs() {
        return SECOND_NS;
    }

    void flushLater(Connection connection) {
        pendingFlushes.add(connection);
    }

    void forget(Connection connection) {
        connections.remove(connection);
    }

    /** Placeholder for a stream whose connect call failed at once. */
    private record FailedStream(InetSocketAddress remote) implements ByteStream {
        @Override
        public void setListener(ReadinessListener listener) { }

        @Override
        public void setInterest(boolean read, boolean write) { }

        @Override
        public boolean finishConnect() {
            return false;
        }

        @Override
        public int read(ByteBuffer into) {
            return 0;
        }

        @Override
        public int write(ByteBuffer from) {
            return 0;
        }

        @Override
        public void endOutput() { }

        @Override
        public void close(boolean reset) { }

        @Override
        public InetSocketAddress local() {
            return null;
        }
    }
}
