package rowanmoor.emulator;

import java.util.Arrays;

/**
 * One backend: cores shared evenly by the requests in its slots, a waiting room served in order, a ramp
 * from cold to warm. With as many slots as cores it is a plain queue with so many servers. Requests are
 * numbers; nothing is allocated for one. Work is seconds on a core of speed 1; times are nanoseconds.
 */
final class SimulatedBackend {

    private static final double SECOND = 1e9;
    private static final long RAMP_STEP = 100_000_000L;
    private static final double CLOSE = 1e-9;

    private final Model.BackendSpec machine;
    private double[] ends = new double[16];
    private int[] running = new int[16];
    private int inWork;
    private int[] ring = new int[16];
    private int head;
    private int waiting;
    private double progress;
    private long at;
    private long startedAt;
    private boolean down;
    private int stamp;
    private double slower = 1;

    // Sums for the result.
    private double busySeconds;
    private double heldSeconds;
    private int mostWaiting;

    SimulatedBackend(Model.BackendSpec machine, long now) {
        this.machine = machine;
        this.at = now;
        this.startedAt = now - machine.warmUpNs();
    }

    double warmth(long now) {
        double age = machine.warmUpNs() == 0 ? 1 : (now - startedAt) / (double) machine.warmUpNs();
        return Math.min(1, machine.coldSpeedFraction() + (1 - machine.coldSpeedFraction()) * Math.max(0, age));
    }

    private double rateOfOne(long when) {
        return machine.speed() * warmth(when) / slower * Math.min(1, machine.cores() / (double) inWork);
    }

    private void advance(long now) {
        if (now > at) {
            double seconds = (now - at) / SECOND;
            busySeconds += seconds * Math.min(inWork, machine.cores());
            heldSeconds += seconds * (inWork + waiting);
            if (inWork > 0) {
                progress += seconds * rateOfOne(at + (now - at) / 2);
            }
            at = now;
        }
    }

    boolean isDown() {
        return down;
    }

    /** Takes a request in; false if slots and waiting room are full. */
    boolean offer(long now, int request, double work) {
        advance(now);
        if (inWork < machine.slots()) {
            begin(request, work);
            return true;
        }
        if (waiting >= machine.queueCapacity()) {
            return false;
        }
        if (waiting == ring.length) {
            int[] larger = new int[2 * waiting];
            for (int i = 0; i < waiting; i++) {
                larger[i] = ring[(head + i) % ring.length];
            }
            ring = larger;
            head = 0;
        }
        ring[(head + waiting++) % ring.length] = request;
        mostWaiting = Math.max(mostWaiting, waiting);
        return true;
    }

    private void begin(int request, double work) {
        if (inWork == ends.length) {
            ends = Arrays.copyOf(ends, 2 * inWork);
            running = Arrays.copyOf(running, 2 * inWork);
        }
        double end = progress + work;
        int place = inWork++;
        while (place > 0 && ends[(place - 1) >>> 1] > end) {
            int parent = (place - 1) >>> 1;
            ends[place] = ends[parent];
            running[place] = running[parent];
            place = parent;
        }
        ends[place] = end;
        running[place] = request;
    }

    /** Takes the next request whose work is done by now, or answers -1. */
    int ended(long now) {
        advance(now);
        if (inWork == 0 || ends[0] > progress + CLOSE) {
            return -1;
        }
        int request = running[0];
        inWork--;
        double end = ends[inWork];
        int last = running[inWork];
        int place = 0;
        while (true) {
            int child = 2 * place + 1;
            if (child >= inWork) {
                break;
            }
            child += child + 1 < inWork && ends[child + 1] < ends[child] ? 1 : 0;
            if (ends[child] >= end) {
                break;
            }
            ends[place] = ends[child];
            running[place] = running[child];
            place = child;
        }
        ends[place] = end;
        running[place] = last;
        return request;
    }

    /** Takes a request that still waits out of the waiting room; false if it is not there. */
    boolean drop(long now, int request) {
        advance(now);
        for (int i = 0; i < waiting; i++) {
            if (ring[(head + i) % ring.length] == request) {
                for (int j = i + 1; j < waiting; j++) {
                    ring[(head + j - 1) % ring.length] = ring[(head + j) % ring.length];
                }
                waiting--;
                return true;
            }
        }
        return false;
    }

    /** The next request that waits and for which there is a slot, or -1; it must be begun or dropped. */
    int pollWaiting() {
        if (waiting == 0 || inWork >= machine.slots()) {
            return -1;
        }
        int request = ring[head];
        head = (head + 1) % ring.length;
        waiting--;
        return request;
    }

    void beginWaited(int request, double work) {
        begin(request, work);
    }

    /** When to look again, or a very long time. */
    long nextAt() {
        if (inWork == 0) {
            return Long.MAX_VALUE;
        }
        double wait = Math.max(0, ends[0] - progress) / rateOfOne(at) * SECOND;
        return at + 1 + (long) (warmth(at) < 1 ? Math.min(wait, RAMP_STEP) : Math.min(wait, 1e17));
    }

    /** Which of the looks that were planned is the newest. */
    int restamp() {
        return ++stamp;
    }

    int stamp() {
        return stamp;
    }

    /** Dies with all that it holds; the requests are told to the caller one by one. */
    int loseOne(long now) {
        advance(now);
        down = true;
        if (inWork > 0) {
            return running[--inWork];
        }
        if (waiting > 0) {
            int request = ring[head];
            head = (head + 1) % ring.length;
            waiting--;
            return request;
        }
        return -1;
    }

    void restart(long now) {
        advance(now);
        down = false;
        startedAt = now;
    }

    void slower(long now, double factor) {
        advance(now);
        slower = factor;
    }

    int held() {
        return inWork + waiting;
    }

    int waiting() {
        return waiting;
    }

    double busySeconds(long now) {
        advance(now);
        return busySeconds;
    }

    double heldSeconds(long now) {
        advance(now);
        return heldSeconds;
    }

    int mostWaiting() {
        return mostWaiting;
    }

    Model.BackendSpec machine() {
        return machine;
    }
}
