package rowanmoor.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * An in-memory network on a manual clock, for reproducible runs. Bytes of one connection stay in order; they
 * may be split, delayed, corrupted and cut off, and connections overtake each other, all drawn from the
 * seed.
 */
public final class MemoryNet {

    /**
     * The faults and delays of bytes in transit.
     *
     * @param maxSegmentBytes the most bytes that arrive at once, 1 or more
     * @param minDelayNs the least transit time, ns
     * @param maxDelayNs the greatest transit time, ns
     * @param corruptProbability probability that one bit of a segment is flipped, 0 to 1
     * @param resetProbability probability that a segment is the connection's last: it arrives in
     *     part, followed by a reset
     */
    public record Faults(int maxSegmentBytes, long minDelayNs, long maxDelayNs, double corruptProbability,
            double resetProbability) {

        /** Segments of up to 64 KiB, a tenth of a millisecond in transit, no faults. */
        public static Faults none() {
            return new Faults(1 << 16, 100_000, 100_000, 0, 0);
        }
    }

    private record ScheduledTask(long time, long sequence, Runnable task)
            implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private static final int WINDOW_BYTES = 1 << 16;
    private static final int MAX_TURNS_PER_INSTANT = 100_000;

    private final ManualClock clock;
    private final SplittableRandom random;
    private final PriorityQueue<ScheduledTask> scheduled = new PriorityQueue<>();
    private final Map<InetSocketAddress, MemoryAcceptor> acceptors = new HashMap<>();
    private final Set<InetSocketAddress> blackholed = new HashSet<>();
    private final List<Loop> loops = new ArrayList<>();
    private final List<MemoryTransport> transports = new ArrayList<>();
    private final Set<Loop> frozen = new HashSet<>();
    private Faults faults = Faults.none();
    private long nextSequence;
    private int nextPort = 40_000;
    private int descriptorsLeft = Integer.MAX_VALUE;

    /** A network whose clock starts at {@code start}, ns. */
    public MemoryNet(long start, long seed) {
        clock = new ManualClock(start);
        random = new SplittableRandom(seed);
    }

    /** A new loop on this network, which is run by {@link #runUntil}. */
    public Loop newLoop(Consumer<Throwable> onFault) {
        MemoryTransport transport = new MemoryTransport();
        Loop loop = new Loop(clock, transport, onFault);
        transports.add(transport);
        loops.add(loop);
        return loop;
    }

    /** Simulates that a loop's process is killed: its streams are reset and its timers never run. */
    public void killLoop(Loop loop) {
        int index = loops.indexOf(loop);
        transports.remove(index).close();
        loops.remove(index);
        frozen.remove(loop);
    }

    /** Simulates that a loop's process is suspended, or resumes. */
    public void setFrozen(Loop loop, boolean on) {
        if (on) {
            frozen.add(loop);
        } else {
            frozen.remove(loop);
        }
    }

    /** The number of a loop's timers that have neither run nor been cancelled. */
    public int liveTimerCount(Loop loop) {
        return loop.liveTimerCount();
    }

    /** The number of a loop's connections that are not closed, including those being established. */
    public int openConnectionCount(Loop loop) {
        return loop.openConnectionCount();
    }

    public long now() {
        return clock.now();
    }

    public Clock clock() {
        return clock;
    }

    /** Sets the faults of all bytes sent from now on. */
    public void setFaults(Faults newFaults) {
        faults = newFaults;
    }

    /** Sets whether connection attempts to this address hang, neither established nor refused. */
    public void blackhole(InetSocketAddress address, boolean on) {
        if (on) {
            blackholed.add(address);
        } else {
            blackholed.remove(address);
        }
    }

    /** Sets how many more connections can be accepted before file descriptors run out. */
    public void limitDescriptors(int left) {
        descriptorsLeft = left;
    }

    /** Runs until a time or until the condition holds; true if it held. */
    public boolean runUntil(long time, BooleanSupplier done) {
        while (true) {
            runReadyLoops();
            if (done.getAsBoolean()) {
                return true;
            }
            long next = scheduled.isEmpty() ? Long.MAX_VALUE : scheduled.peek().time();
            for (Loop loop : loops) {
                long timer = frozen.contains(loop) ? Long.MAX_VALUE : loop.nsUntilNextTimer();
                next = Math.min(next, timer == Long.MAX_VALUE ? timer : now() + timer);
            }
            if (next > time) {
                clock.moveTo(Math.max(now(), time));
                return false;
            }
            clock.moveTo(Math.max(now(), next));
            while (!scheduled.isEmpty() && scheduled.peek().time() <= now()) {
                scheduled.poll().task().run();
            }
        }
    }

    /** Runs for so many nanoseconds. */
    public void runFor(long nanos) {
        runUntil(now() + nanos, () -> false);
    }

    /** Runs turns of every loop until none has work at the current time. */
    private void runReadyLoops() {
        boolean busy = true;
        for (int turns = 0; busy; turns++) {
            if (turns > MAX_TURNS_PER_INSTANT) {
                throw new IllegalStateException("loops still have work after " + MAX_TURNS_PER_INSTANT
                        + " rounds at " + now() + " ns");
            }
            busy = false;
            for (Loop loop : List.copyOf(loops)) {
                int index = loops.indexOf(loop);
                boolean live = index >= 0 && !frozen.contains(loop);
                if (live && (transports.get(index).anyReady() || loop.hasWork())) {
                    busy = true;
                    loop.runTurn(0);
                }
            }
        }
    }

    private void schedule(long time, Runnable task) {
        scheduled.add(new ScheduledTask(time, nextSequence++, task));
    }

    private long drawDelayNs() {
        return faults.maxDelayNs() <= faults.minDelayNs() ? faults.minDelayNs()
                : random.nextLong(faults.minDelayNs(), faults.maxDelayNs() + 1);
    }

    private InetSocketAddress freeAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), nextPort++);
    }

    private final class MemoryAcceptor implements Transport.Acceptor {
        private final InetSocketAddress at;
        private final MemoryTransport owner;
        private final ArrayDeque<MemoryStream> backlog = new ArrayDeque<>();
        private Runnable listener = () -> { };
        private boolean accepting = true;

        MemoryAcceptor(InetSocketAddress at, MemoryTransport owner) {
            this.at = at;
            this.owner = owner;
        }

        @Override
        public void setListener(Runnable newListener) {
            listener = newListener;
        }

        @Override
        public ByteStream accept() throws IOException {
            if (backlog.isEmpty()) {
                return null;
            }
            if (descriptorsLeft <= 0) {
                throw new IOException("Too many open files");
            }
            descriptorsLeft--;
            MemoryStream stream = backlog.poll();
            owner.streams.add(stream);
            stream.markChanged();
            return stream;
        }

        @Override
        public void setAccepting(boolean accept) {
            accepting = accept;
            owner.changedAcceptors.add(this);
        }

        @Override
        public InetSocketAddress address() {
            return at;
        }

        @Override
        public void close() {
            acceptors.remove(at);
            owner.ownAcceptors.remove(this);
            owner.changedAcceptors.remove(this);
            backlog.forEach(s -> s.close(true));
        }
    }

    private final class MemoryTransport implements Transport {
        private final Set<MemoryStream> streams = new LinkedHashSet<>();
        private final Set<MemoryAcceptor> ownAcceptors = new LinkedHashSet<>();
        // Those that may have become ready since the last poll; examining all of them would be too slow.
        private final Set<MemoryStream> changedStreams = new LinkedHashSet<>();
        private final Set<MemoryAcceptor> changedAcceptors = new LinkedHashSet<>();

        @Override
        public ByteStream connect(InetSocketAddress from, InetSocketAddress to) {
            MemoryStream near = new MemoryStream(this, from == null ? freeAddress() : from, to);
            MemoryStream far = new MemoryStream(null, to, near.local);
            near.peer = far;
            far.peer = near;
            far.connected = true;
            streams.add(near);
            if (!blackholed.contains(to)) {
                schedule(now() + drawDelayNs(), () -> near.finishHandshake(MemoryNet.this.acceptors.get(to)));
            }
            return near;
        }

        @Override
        public Acceptor listen(InetSocketAddress at, int backlog) throws IOException {
            InetSocketAddress address = at.getPort() == 0 ? freeAddress() : at;
            if (MemoryNet.this.acceptors.containsKey(address)) {
                throw new IOException("address in use: " + address);
            }
            MemoryAcceptor acceptor = new MemoryAcceptor(address, this);
            MemoryNet.this.acceptors.put(address, acceptor);
            ownAcceptors.add(acceptor);
            return acceptor;
        }

        boolean anyReady() {
            changedStreams.removeIf(s -> !s.readable() && !s.writable());
            changedAcceptors.removeIf(a -> !a.accepting || a.backlog.isEmpty());
            return !changedStreams.isEmpty() || !changedAcceptors.isEmpty();
        }

        @Override
        public void poll(long nanos) {
            for (MemoryAcceptor acceptor : List.copyOf(changedAcceptors)) {
                if (acceptor.accepting && !acceptor.backlog.isEmpty()) {
                    acceptor.listener.run();
                }
            }
            for (MemoryStream stream : List.copyOf(changedStreams)) {
                boolean read = stream.readable();
                boolean write = stream.writable();
                if (read || write) {
                    stream.listener.onReady(read, write);
                }
            }
        }

        @Override
        public void wakeup() { }

        @Override
        public void close() {
            List.copyOf(ownAcceptors).forEach(MemoryAcceptor::close);
            List.copyOf(streams).forEach(s -> s.close(true));
        }
    }

    private final class MemoryStream implements ByteStream {
        private final InetSocketAddress local;
        private final InetSocketAddress remote;
        private final ArrayDeque<ByteBuffer> inbox = new ArrayDeque<>();
        private MemoryTransport owner;
        private MemoryStream peer;
        private ReadinessListener listener = (read, write) -> { };
        private boolean wantRead;
        private boolean wantWrite = true;
        private boolean connected;
        private boolean refused;
        private boolean inputEnded;
        private boolean wasReset;
        private boolean closed;
        private boolean cutOff;
        private int unreadBytes;
        private long lastArrivalAt;

        MemoryStream(MemoryTransport owner, InetSocketAddress local, InetSocketAddress remote) {
            this.owner = owner;
            this.local = local;
            this.remote = remote;
        }

        void finishHandshake(MemoryAcceptor acceptor) {
            markChanged();
            if (acceptor == null) {
                refused = true;
                return;
            }
            connected = true;
            peer.owner = acceptor.owner;
            peer.wantWrite = false;
            acceptor.backlog.add(peer);
            acceptor.owner.changedAcceptors.add(acceptor);
        }

        /** Has the owner check this stream for readiness at its next poll. */
        private void markChanged() {
            if (owner != null && !closed) {
                owner.changedStreams.add(this);
            }
        }

        boolean readable() {
            return !closed && connected && wantRead && (!inbox.isEmpty() || inputEnded || wasReset);
        }

        boolean writable() {
            return !closed && wantWrite && (refused || connected && (wasReset || unreadBytes < WINDOW_BYTES));
        }

        @Override
        public void setListener(ReadinessListener newListener) {
            listener = newListener;
        }

        @Override
        public void setInterest(boolean read, boolean write) {
            wantRead = read;
            wantWrite = write;
            markChanged();
        }

        @Override
        public boolean finishConnect() throws IOException {
            if (refused) {
                throw new IOException("Connection refused");
            }
            return connected;
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            if (inbox.isEmpty()) {
                if (wasReset) {
                    throw new IOException("Connection reset");
                }
                return inputEnded ? -1 : 0;
            }
            int before = into.position();
            while (!inbox.isEmpty() && into.hasRemaining()) {
                ByteBuffer head = inbox.peek();
                int count = Math.min(head.remaining(), into.remaining());
                into.put(head.slice(head.position(), count));
                head.position(head.position() + count);
                if (!head.hasRemaining()) {
                    inbox.poll();
                }
            }
            int count = into.position() - before;
            peer.unreadBytes -= count;
            peer.markChanged();
            return count;
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            if (wasReset || closed) {
                throw new IOException("Broken pipe");
            }
            int written = 0;
            while (from.hasRemaining() && unreadBytes < WINDOW_BYTES) {
                int maxBytes = Math.min(Math.min(from.remaining(), WINDOW_BYTES - unreadBytes),
                        faults.maxSegmentBytes());
                int count = maxBytes == 1 ? 1 : random.nextInt(1, maxBytes + 1);
                byte[] segment = new byte[count];
                from.get(segment);
                send(segment);
                unreadBytes += count;
                written += count;
            }
            return written;
        }

        private void send(byte[] segment) {
            if (cutOff) {
                return; // a reset is in transit: nothing arrives after it
            }
            if (faults.corruptProbability() > 0 && random.nextDouble() < faults.corruptProbability()) {
                segment[random.nextInt(segment.length)] ^= (byte) (1 << random.nextInt(8));
            }
            cutOff = faults.resetProbability() > 0 && random.nextDouble() < faults.resetProbability();
            int count = cutOff ? random.nextInt(segment.length + 1) : segment.length;
            lastArrivalAt = Math.max(lastArrivalAt, now() + drawDelayNs());
            schedule(lastArrivalAt, () -> {
                if (count > 0 && !peer.closed) {
                    peer.inbox.add(ByteBuffer.wrap(segment, 0, count));
                    peer.markChanged();
                }
            });
            if (cutOff) {
                schedule(lastArrivalAt, () -> {
                    peer.wasReset = true;
                    wasReset = true;
                    peer.markChanged();
                    markChanged();
                });
            }
        }

        @Override
        public void endOutput() {
            lastArrivalAt = Math.max(lastArrivalAt, now() + drawDelayNs());
            schedule(lastArrivalAt, () -> {
                peer.inputEnded = true;
                peer.markChanged();
            });
        }

        @Override
        public void close(boolean reset) {
            if (closed) {
                return;
            }
            closed = true;
            if (owner != null) {
                owner.streams.remove(this);
                owner.changedStreams.remove(this);
            }
            boolean unread = !inbox.isEmpty();
            lastArrivalAt = Math.max(lastArrivalAt, now() + drawDelayNs());
            schedule(lastArrivalAt, () -> {
                peer.inputEnded = true;
                peer.wasReset |= reset || unread;
                peer.markChanged();
                if (reset) {
                    peer.inbox.clear();
                }
            });
        }

        @Override
        public InetSocketAddress local() {
            return local;
        }

        @Override
        public InetSocketAddress remote() {
            return remote;
        }
    }
}
