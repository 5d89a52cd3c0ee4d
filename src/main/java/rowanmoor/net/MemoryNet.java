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
 * A network in memory on a manual clock, for runs that repeat exactly. Bytes of one connection stay in
 * order; they may be split, delayed, corrupted and cut off, and connections overtake each other, all
 * drawn from the seed.
 */
public final class MemoryNet {

    /**
     * What befalls bytes under way.
     *
     * @param maxSegmentBytes the most bytes that arrive at once, 1 or more
     * @param minDelayNs least time under way, ns
     * @param maxDelayNs most time under way, ns
     * @param corruptProbability chance that a piece has one bit flipped, 0 to 1
     * @param resetProbability chance that a piece is the connection's last: it arrives in part, then a reset
     */
    public record Faults(int maxSegmentBytes, long minDelayNs, long maxDelayNs, double corruptProbability, double resetProbability) {

        /** Whole pieces, a tenth of a millisecond under way, no harm. */
        public static Faults none() {
            return new Faults(1 << 16, 100_000, 100_000, 0, 0);
        }
    }

    private record Due(long time, long number, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private static final int WINDOW = 1 << 16;
    private static final int TURNS_MOST = 100_000;

    private final ManualClock clock;
    private final SplittableRandom random;
    private final PriorityQueue<Due> underWay = new PriorityQueue<>();
    private final Map<InetSocketAddress, MemoryDoor> doors = new HashMap<>();
    private final Set<InetSocketAddress> silent = new HashSet<>();
    private final List<Loop> loops = new ArrayList<>();
    private final List<MemoryPorts> ports = new ArrayList<>();
    private final Set<Loop> frozen = new HashSet<>();
    private Faults faults = Faults.none();
    private long number;
    private int nextPort = 40_000;
    private int descriptorsLeft = Integer.MAX_VALUE;

    public MemoryNet(long start, long seed) {
        clock = new ManualClock(start);
        random = new SplittableRandom(seed);
    }

    /** A loop on this network; it is turned by {@link #runUntil}. */
    public Loop newLoop(Consumer<Throwable> onFault) {
        MemoryPorts itsPorts = new MemoryPorts();
        Loop loop = new Loop(clock, itsPorts, onFault);
        ports.add(itsPorts);
        loops.add(loop);
        return loop;
    }

    /** A loop's process is killed: its streams are reset, its timers never come due. */
    public void killLoop(Loop loop) {
        int place = loops.indexOf(loop);
        ports.remove(place).close();
        loops.remove(place);
        frozen.remove(loop);
    }

    /** A loop's process stands still, or goes on. */
    public void setFrozen(Loop loop, boolean on) {
        if (on) {
            frozen.add(loop);
        } else {
            frozen.remove(loop);
        }
    }

    /** Timers of a loop that are still to come due. */
    public int liveTimerCount(Loop loop) {
        return loop.liveTimers();
    }

    /** Connections of a loop that are not closed, those being made among them. */
    public int openConnectionCount(Loop loop) {
        return loop.openConnections();
    }

    public long now() {
        return clock.now();
    }

    public Clock clock() {
        return clock;
    }

    public void setFaults(Faults others) {
        faults = others;
    }

    /** Connections to this address are neither made nor refused from now on. */
    public void blackhole(InetSocketAddress address, boolean on) {
        if (on) {
            silent.add(address);
        } else {
            silent.remove(address);
        }
    }

    /** How many more connections can be accepted before descriptors run out. */
    public void limitDescriptors(int left) {
        descriptorsLeft = left;
    }

    /** Plays until a time; true if the condition held before. */
    public boolean runUntil(long time, BooleanSupplier done) {
        while (true) {
            settle();
            if (done.getAsBoolean()) {
                return true;
            }
            long next = underWay.isEmpty() ? Long.MAX_VALUE : underWay.peek().time();
            for (Loop loop : loops) {
                long timer = frozen.contains(loop) ? Long.MAX_VALUE : loop.untilNextTimer();
                next = Math.min(next, timer == Long.MAX_VALUE ? timer : now() + timer);
            }
            if (next > time) {
                clock.moveTo(Math.max(now(), time));
                return false;
            }
            clock.moveTo(Math.max(now(), next));
            while (!underWay.isEmpty() && underWay.peek().time() <= now()) {
                underWay.poll().task().run();
            }
        }
    }

    public void runFor(long nanos) {
        runUntil(now() + nanos, () -> false);
    }

    /** Turns every loop until none has anything to do at this time. */
    private void settle() {
        boolean busy = true;
        for (int turns = 0; busy; turns++) {
            if (turns > TURNS_MOST) {
                throw new IllegalStateException("loops spin at " + now());
            }
            busy = false;
            for (Loop loop : List.copyOf(loops)) {
                int place = loops.indexOf(loop);
                boolean live = place >= 0 && !frozen.contains(loop);
                if (live && (ports.get(place).anyReady() || loop.hasWork())) {
                    busy = true;
                    loop.turn(0);
                }
            }
        }
    }

    private void later(long time, Runnable task) {
        underWay.add(new Due(time, number++, task));
    }

    private long delay() {
        return faults.maxDelayNs() <= faults.minDelayNs() ? faults.minDelayNs()
                : random.nextLong(faults.minDelayNs(), faults.maxDelayNs() + 1);
    }

    private InetSocketAddress freeAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), nextPort++);
    }

    private final class MemoryDoor implements Ports.Door {
        private final InetSocketAddress at;
        private final MemoryPorts owner;
        private final ArrayDeque<MemoryWire> waiting = new ArrayDeque<>();
        private Runnable ready = () -> { };
        private boolean wanted = true;

        MemoryDoor(InetSocketAddress at, MemoryPorts owner) {
            this.at = at;
            this.owner = owner;
        }

        @Override
        public void attach(Runnable itsReady) {
            ready = itsReady;
        }

        @Override
        public Wire accept() throws IOException {
            if (waiting.isEmpty()) {
                return null;
            }
            if (descriptorsLeft <= 0) {
                throw new IOException("Too many open files");
            }
            descriptorsLeft--;
            MemoryWire wire = waiting.poll();
            owner.wires.add(wire);
            wire.wake();
            return wire;
        }

        @Override
        public void want(boolean accept) {
            wanted = accept;
            owner.knocked.add(this);
        }

        @Override
        public InetSocketAddress address() {
            return at;
        }

        @Override
        public void close() {
            doors.remove(at);
            owner.doors.remove(this);
            owner.knocked.remove(this);
            waiting.forEach(w -> w.close(true));
        }
    }

    private final class MemoryPorts implements Ports {
        private final Set<MemoryWire> wires = new LinkedHashSet<>();
        private final Set<MemoryDoor> doors = new LinkedHashSet<>();
        // Those whose state has changed and that may be ready: looking at all each time would cost too much.
        private final Set<MemoryWire> awake = new LinkedHashSet<>();
        private final Set<MemoryDoor> knocked = new LinkedHashSet<>();

        @Override
        public Wire connect(InetSocketAddress from, InetSocketAddress to) {
            MemoryWire near = new MemoryWire(this, from == null ? freeAddress() : from, to);
            MemoryWire far = new MemoryWire(null, to, near.local);
            near.peer = far;
            far.peer = near;
            far.connected = true;
            wires.add(near);
            if (!silent.contains(to)) {
                later(now() + delay(), () -> near.arrive(MemoryNet.this.doors.get(to)));
            }
            return near;
        }

        @Override
        public Door listen(InetSocketAddress at, int backlog) throws IOException {
            InetSocketAddress address = at.getPort() == 0 ? freeAddress() : at;
            if (MemoryNet.this.doors.containsKey(address)) {
                throw new IOException("address in use: " + address);
            }
            MemoryDoor door = new MemoryDoor(address, this);
            MemoryNet.this.doors.put(address, door);
            doors.add(door);
            return door;
        }

        boolean anyReady() {
            awake.removeIf(w -> !w.readable() && !w.writable());
            knocked.removeIf(d -> !d.wanted || d.waiting.isEmpty());
            return !awake.isEmpty() || !knocked.isEmpty();
        }

        @Override
        public void poll(long nanos) {
            for (MemoryDoor door : List.copyOf(knocked)) {
                if (door.wanted && !door.waiting.isEmpty()) {
                    door.ready.run();
                }
            }
            for (MemoryWire wire : List.copyOf(awake)) {
                boolean read = wire.readable();
                boolean write = wire.writable();
                if (read || write) {
                    wire.ready.ready(read, write);
                }
            }
        }

        @Override
        public void wakeup() { }

        @Override
        public void close() {
            List.copyOf(doors).forEach(MemoryDoor::close);
            List.copyOf(wires).forEach(w -> w.close(true));
        }
    }

    private final class MemoryWire implements Wire {
        private final InetSocketAddress local;
        private final InetSocketAddress remote;
        private final ArrayDeque<ByteBuffer> inbox = new ArrayDeque<>();
        private MemoryPorts owner;
        private MemoryWire peer;
        private Ready ready = (read, write) -> { };
        private boolean wantRead;
        private boolean wantWrite = true;
        private boolean connected;
        private boolean refused;
        private boolean ended;
        private boolean broken;
        private boolean closed;
        private boolean cut;
        private int taken;
        private long lastArrival;

        MemoryWire(MemoryPorts owner, InetSocketAddress local, InetSocketAddress remote) {
            this.owner = owner;
            this.local = local;
            this.remote = remote;
        }

        void arrive(MemoryDoor door) {
            wake();
            if (door == null) {
                refused = true;
                return;
            }
            connected = true;
            peer.owner = door.owner;
            peer.wantWrite = false;
            door.waiting.add(peer);
            door.owner.knocked.add(door);
        }

        /** Its state has changed: its owner has to look at it. */
        private void wake() {
            if (owner != null && !closed) {
                owner.awake.add(this);
            }
        }

        boolean readable() {
            return !closed && connected && wantRead && (!inbox.isEmpty() || ended || broken);
        }

        boolean writable() {
            return !closed && wantWrite && (refused || connected && (broken || taken < WINDOW));
        }

        @Override
        public void attach(Ready itsReady) {
            ready = itsReady;
        }

        @Override
        public void want(boolean read, boolean write) {
            wantRead = read;
            wantWrite = write;
            wake();
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
                if (broken) {
                    throw new IOException("Connection reset");
                }
                return ended ? -1 : 0;
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
            peer.taken -= count;
            peer.wake();
            return count;
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            if (broken || closed) {
                throw new IOException("Broken pipe");
            }
            int written = 0;
            while (from.hasRemaining() && taken < WINDOW) {
                int most = Math.min(Math.min(from.remaining(), WINDOW - taken), faults.maxSegmentBytes());
                int count = most == 1 ? 1 : random.nextInt(1, most + 1);
                byte[] piece = new byte[count];
                from.get(piece);
                send(piece);
                taken += count;
                written += count;
            }
            return written;
        }

        private void send(byte[] piece) {
            if (cut) {
                return; // the connection is breaking: nothing more arrives
            }
            if (faults.corruptProbability() > 0 && random.nextDouble() < faults.corruptProbability()) {
                piece[random.nextInt(piece.length)] ^= (byte) (1 << random.nextInt(8));
            }
            cut = faults.resetProbability() > 0 && random.nextDouble() < faults.resetProbability();
            int count = cut ? random.nextInt(piece.length + 1) : piece.length;
            lastArrival = Math.max(lastArrival, now() + delay());
            later(lastArrival, () -> {
                if (count > 0 && !peer.closed) {
                    peer.inbox.add(ByteBuffer.wrap(piece, 0, count));
                    peer.wake();
                }
            });
            if (cut) {
                later(lastArrival, () -> {
                    peer.broken = true;
                    broken = true;
                    peer.wake();
                    wake();
                });
            }
        }

        @Override
        public void endOutput() {
            lastArrival = Math.max(lastArrival, now() + delay());
            later(lastArrival, () -> {
                peer.ended = true;
                peer.wake();
            });
        }

        @Override
        public void close(boolean reset) {
            if (closed) {
                return;
            }
            closed = true;
            if (owner != null) {
                owner.wires.remove(this);
                owner.awake.remove(this);
            }
            boolean unread = !inbox.isEmpty();
            lastArrival = Math.max(lastArrival, now() + delay());
            later(lastArrival, () -> {
                peer.ended = true;
                peer.broken |= reset || unread;
                peer.wake();
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
