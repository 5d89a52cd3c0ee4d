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
 * One thread's duty cycle: wait for readiness or the next timer, read, run timers and posted tasks, then
 * write. On sockets and the machine's clock, or on {@link MemoryNet}'s pipes and its manual clock: the
 * code is the same.
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

    Loop(Clock clock, Transport ports, Consumer<Throwable> onFault) {
        this.clock = clock;
        this.transport = ports;
        this.onFault = onFault;
    }

    /** A loop on sockets and the machine's clock. What a handler or task throws goes to {@code onFault}. */
    public static Loop onSockets(Consumer<Throwable> onFault) throws IOException {
        return new Loop(Clock.system(), new SelectorTransport(), onFault);
    }

    /** A listening address; close it to refuse new connections. */
    public final class Listener {
        private final Transport.Acceptor acceptor;
        private final Function<Connection, ConnectionHandler> handlerFactory;
        private final Connection.Options options;

        private Listener(Transport.Acceptor door, Function<Connection, ConnectionHandler> accept, Connection.Options options) {
            this.acceptor = door;
            this.handlerFactory = accept;
            this.options = options;
            door.setListener(this::acceptBatch);
        }

        public InetSocketAddress address() {
            return acceptor.address();
        }

        /** Takes what has been connected by now, which a closed address would reset, and refuses the rest. */
        public void close() {
            for (int taken = 0; taken < LISTEN_BACKLOG && acceptBatch(); taken += MAX_ACCEPTS_PER_TURN) {
                // the next ones that wait
            }
            acceptor.close();
        }

        /**
         * Accepts a turn's connections; true if more may wait. Without a descriptor left, a ready door would
         * spin: it rests, and connections wait in its backlog.
         */
        private boolean acceptBatch() {
            for (int i = 0; i < MAX_ACCEPTS_PER_TURN; i++) {
                try {
                    ByteStream wire = acceptor.accept();
                    if (wire == null) {
                        return false;
                    }
                    take(wire);
                } catch (IOException e) {
                    acceptPauseCount++;
                    acceptor.setAccepting(false);
                    after(ACCEPT_PAUSE_NS, () -> acceptor.setAccepting(true));
                    return false;
                }
            }
            return true;
        }

        private void take(ByteStream wire) {
            var made = new DeferredHandler(handlerFactory);
            Connection connection = new Connection(Loop.this, wire, made, options, true);
            made.handler = made.handlerFactory.apply(connection);
            if (made.handler == null) {
                connection.close(CloseReason.LOCAL, "not accepted");
                return;
            }
            connections.add(connection);
            connection.open();
        }
    }

    /** Lets a handler be made from the connection that it is for. */
    private static final class DeferredHandler implements ConnectionHandler {
        private final Function<Connection, ConnectionHandler> handlerFactory;
        private ConnectionHandler handler;

        DeferredHandler(Function<Connection, ConnectionHandler> accept) {
            this.handlerFactory = accept;
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
        public void onClose(Connection connection, CloseReason why, String detail) {
            if (handler != null) {
                handler.onClose(connection, why, detail);
            }
        }
    }

    public long now() {
        return clock.now();
    }

    /** Calls at a time of this loop's clock, on its thread; at once, in the next turn, if that is past. */
    public Timer at(long time, Runnable task) {
        Timer timer = new Timer(time, nextTimerSequence++, task);
        timers.add(timer);
        return timer;
    }

    public Timer after(long nanos, Runnable task) {
        return at(now() + nanos, task);
    }

    /** Runs a task on the loop's thread; from any thread. */
    public void post(Runnable task) {
        posted.add(task);
        transport.wakeup();
    }

    /** Connects; the handler hears {@code opened}, or {@code closed} if it is never made. */
    public Connection connect(InetSocketAddress from, InetSocketAddress to, Connection.Options options,
            ConnectionHandler handler) {
        ByteStream wire;
        try {
            wire = transport.connect(from, to);
        } catch (IOException | RuntimeException e) {
            wire = new FailedStream(to);
            Connection failed = new Connection(this, wire, handler, options, false);
            connections.add(failed);
            String why = e.getMessage() == null ? e.toString() : e.getMessage();
            after(0, () -> failed.close(CloseReason.REFUSED, why));
            return failed;
        }
        Connection connection = new Connection(this, wire, handler, options, false);
        connections.add(connection);
        return connection;
    }

    /** Listens; the function makes each connection's handler, or answers null to turn it away. */
    public Listener listen(InetSocketAddress at, Connection.Options options,
            Function<Connection, ConnectionHandler> accept) throws IOException {
        return new Listener(transport.listen(at, LISTEN_BACKLOG), accept, options);
    }

    /** Turns until {@link #stop}. */
    @Override
    public void run() {
        while (!stopped) {
            runTurn(SECOND_NS);
        }
        List.copyOf(connections).forEach(c -> c.close(CloseReason.STOPPED, "the loop was stopped"));
        transport.close();
    }

    /** Ends {@link #run} after its turn; from any thread. */
    public void stop() {
        stopped = true;
        transport.wakeup();
    }

    @Override
    public void close() {
        stop();
    }

    /** One duty cycle; waits at most so many nanoseconds. */
    void runTurn(long longest) {
        try {
            boolean busy = !posted.isEmpty() || !pendingFlushes.isEmpty();
            transport.poll(busy ? 0 : Math.min(longest, nsUntilNextTimer()));
        } catch (IOException e) {
            reportFault(e);
        }
        runTimers();
        // What these bring anew waits for the next turn: neither may keep others from theirs.
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

    /** Nanoseconds to the next timer, 0 if one is due, or a very long time. */
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

    /** Whether a turn has something to do at once, readiness aside. */
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

    /** How often accepting rested for want of descriptors. */
    public long acceptPauseCount() {
        return acceptPauseCount;
    }

    /** How many handlers and tasks threw. */
    public long faultCount() {
        return faultCount;
    }

    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /** Room for a byte that is not kept: {@link #readBuffer} may be in use further up. */
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

    /** Stands for a stream that could not even be begun. */
    private record FailedStream(InetSocketAddress remote) implements ByteStream {
        @Override
        public void setListener(ReadinessListener ready) { }

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
