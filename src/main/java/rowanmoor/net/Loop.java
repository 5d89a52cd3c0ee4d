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

    private static final int SCRATCH_BYTES = 1 << 16;
    private static final long SECOND = 1_000_000_000L;
    private static final long ACCEPT_PAUSE = SECOND / 10;
    private static final int ACCEPTS_A_TURN = 64;
    private static final int BACKLOG = 512;

    private final Clock clock;
    private final Ports ports;
    private final Consumer<Throwable> onFault;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final ConcurrentLinkedQueue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final LinkedHashSet<Connection> connections = new LinkedHashSet<>();
    private final ArrayDeque<Connection> dirty = new ArrayDeque<>();
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(SCRATCH_BYTES);
    private final ByteBuffer probe = ByteBuffer.allocateDirect(1);
    private long timerNumber;
    private long acceptPauses;
    private long faults;
    private volatile boolean stopped;

    Loop(Clock clock, Ports ports, Consumer<Throwable> onFault) {
        this.clock = clock;
        this.ports = ports;
        this.onFault = onFault;
    }

    /** A loop on sockets and the machine's clock. What a handler or task throws goes to {@code onFault}. */
    public static Loop onSockets(Consumer<Throwable> onFault) throws IOException {
        return new Loop(Clock.system(), new SelectorPorts(), onFault);
    }

    /** A listening address; close it to refuse new connections. */
    public final class Listener {
        private final Ports.Door door;
        private final Function<Connection, ConnectionHandler> accept;
        private final Connection.Options options;

        private Listener(Ports.Door door, Function<Connection, ConnectionHandler> accept, Connection.Options options) {
            this.door = door;
            this.accept = accept;
            this.options = options;
            door.attach(this::acceptSome);
        }

        public InetSocketAddress address() {
            return door.address();
        }

        /** Takes what has been connected by now, which a closed address would reset, and refuses the rest. */
        public void close() {
            for (int taken = 0; taken < BACKLOG && acceptSome(); taken += ACCEPTS_A_TURN) {
                // the next ones that wait
            }
            door.close();
        }

        /**
         * Accepts a turn's connections; true if more may wait. Without a descriptor left, a ready door would
         * spin: it rests, and connections wait in its backlog.
         */
        private boolean acceptSome() {
            for (int i = 0; i < ACCEPTS_A_TURN; i++) {
                try {
                    Wire wire = door.accept();
                    if (wire == null) {
                        return false;
                    }
                    take(wire);
                } catch (IOException e) {
                    acceptPauses++;
                    door.want(false);
                    after(ACCEPT_PAUSE, () -> door.want(true));
                    return false;
                }
            }
            return true;
        }

        private void take(Wire wire) {
            var made = new Made(accept);
            Connection connection = new Connection(Loop.this, wire, made, options, true);
            made.handler = made.accept.apply(connection);
            if (made.handler == null) {
                connection.close(CloseReason.LOCAL, "not accepted");
                return;
            }
            connections.add(connection);
            connection.begin();
        }
    }

    /** Lets a handler be made from the connection that it is for. */
    private static final class Made implements ConnectionHandler {
        private final Function<Connection, ConnectionHandler> accept;
        private ConnectionHandler handler;

        Made(Function<Connection, ConnectionHandler> accept) {
            this.accept = accept;
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
        Timer timer = new Timer(time, timerNumber++, task);
        timers.add(timer);
        return timer;
    }

    public Timer after(long nanos, Runnable task) {
        return at(now() + nanos, task);
    }

    /** Runs a task on the loop's thread; from any thread. */
    public void post(Runnable task) {
        posted.add(task);
        ports.wakeup();
    }

    /** Connects; the handler hears {@code opened}, or {@code closed} if it is never made. */
    public Connection connect(InetSocketAddress from, InetSocketAddress to, Connection.Options options,
            ConnectionHandler handler) {
        Wire wire;
        try {
            wire = ports.connect(from, to);
        } catch (IOException | RuntimeException e) {
            wire = new NoWire(to);
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
        return new Listener(ports.listen(at, BACKLOG), accept, options);
    }

    /** Turns until {@link #stop}. */
    @Override
    public void run() {
        while (!stopped) {
            turn(SECOND);
        }
        List.copyOf(connections).forEach(c -> c.close(CloseReason.STOPPED, "the loop was stopped"));
        ports.close();
    }

    /** Ends {@link #run} after its turn; from any thread. */
    public void stop() {
        stopped = true;
        ports.wakeup();
    }

    @Override
    public void close() {
        stop();
    }

    /** One duty cycle; waits at most so many nanoseconds. */
    void turn(long longest) {
        try {
            boolean busy = !posted.isEmpty() || !dirty.isEmpty();
            ports.poll(busy ? 0 : Math.min(longest, untilNextTimer()));
        } catch (IOException e) {
            fault(e);
        }
        runTimers();
        // What these bring anew waits for the next turn: neither may keep others from theirs.
        for (int left = posted.size(); left > 0; left--) {
            guard(posted.poll());
        }
        for (int left = dirty.size(); left > 0; left--) {
            dirty.poll().flush();
        }
    }

    private void runTimers() {
        long now = now();
        while (!timers.isEmpty() && (timers.peek().time <= now || !timers.peek().live())) {
            guard(timers.poll()::run);
        }
    }

    /** Nanoseconds to the next timer, 0 if one is due, or a very long time. */
    long untilNextTimer() {
        while (!timers.isEmpty() && !timers.peek().live()) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : Math.max(0, timers.peek().time - now());
    }

    int liveTimers() {
        return (int) timers.stream().filter(Timer::live).count();
    }

    int openConnections() {
        return connections.size();
    }

    /** Whether a turn has something to do at once, readiness aside. */
    boolean hasWork() {
        return !posted.isEmpty() || !dirty.isEmpty() || untilNextTimer() == 0;
    }

    private void guard(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            fault(e);
        }
    }

    void fault(Throwable cause) {
        faults++;
        onFault.accept(cause);
    }

    /** How often accepting rested for want of descriptors. */
    public long acceptPauseCount() {
        return acceptPauses;
    }

    /** How many handlers and tasks threw. */
    public long faultCount() {
        return faults;
    }

    ByteBuffer scratch() {
        return scratch.clear();
    }

    /** Room for a byte that is not kept: {@link #scratch} may be in use further up. */
    ByteBuffer probe() {
        return probe.clear();
    }

    long lingerFor() {
        return SECOND;
    }

    void flushLater(Connection connection) {
        dirty.add(connection);
    }

    void forget(Connection connection) {
        connections.remove(connection);
    }

    /** Stands for a stream that could not even be begun. */
    private record NoWire(InetSocketAddress remote) implements Wire {
        @Override
        public void attach(Ready ready) { }

        @Override
        public void want(boolean read, boolean write) { }

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
