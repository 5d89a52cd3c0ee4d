package rowanmoor.emulator;

import java.util.Arrays;

/**
 * One backend: cores shared evenly by the requests in its slots (processor sharing), a FIFO queue, and a
 * speed that rises linearly from cold to warm. With as many slots as cores it is a queue with that many
 * servers. Requests are numbers; none allocates memory. Work is seconds on a core of speed 1; times are
 * nanoseconds.
 */
final class SimulatedBackend {

    private static final double NS_PER_SECOND = 1e9;
    private static final long WARM_UP_STEP_NS = 100_000_000L;
    private static final double PROGRESS_TOLERANCE = 1e-9;

    private final Model.BackendSpec spec;
    private double[] finishAt = new double[16];
    private int[] running = new int[16];
    private int runningCount;
    private int[] queue = new int[16];
    private int queueHead;
    private int queued;
    private double progress;
    private long updatedAt;
    private long startedAt;
    private boolean down;
    private int timerId;
    private double slowdown = 1;

    // Totals for the outcome.
    private double busySeconds;
    private double heldSeconds;
    private int maxQueued;

    SimulatedBackend(Model.BackendSpec spec, long now) {
        this.spec = spec;
        this.updatedAt = now;
        this.startedAt = now - spec.warmUpNs();
    }

    /** Fraction of its full speed at a time. */
    double speedFraction(long now) {
        double age = spec.warmUpNs() == 0 ? 1 : (now - startedAt) / (double) spec.warmUpNs();
        return Math.min(1, spec.coldSpeedFraction() + (1 - spec.coldSpeedFraction()) * Math.max(0, age));
    }

    private double speedPerRequest(long when) {
        return spec.speed() * speedFraction(when) / slowdown * Math.min(1,
                spec.cores() / (double) runningCount);
    }

    private void advance(long now) {
        if (now > updatedAt) {
            double seconds = (now - updatedAt) / NS_PER_SECOND;
            busySeconds += seconds * Math.min(runningCount, spec.cores());
            heldSeconds += seconds * (runningCount + queued);
            if (runningCount > 0) {
                progress += seconds * speedPerRequest(updatedAt + (now - updatedAt) / 2);
            }
            updatedAt = now;
        }
    }

    /** Whether it has crashed and not been restarted. */
    boolean isDown() {
        return down;
    }

    /** Starts or queues a request; false if slots and queue are full. */
    boolean offer(long now, int request, double work) {
        advance(now);
        if (runningCount < spec.slots()) {
            start(request, work);
            return true;
        }
        if (queued >= spec.queueCapacity()) {
            return false;
        }
        if (queued == queue.length) {
            int[] larger = new int[2 * queued];
            for (int i = 0; i < queued; i++) {
                larger[i] = queue[(queueHead + i) % queue.length];
            }
            queue = larger;
            queueHead = 0;
        }
        queue[(queueHead + queued++) % queue.length] = request;
        maxQueued = Math.max(maxQueued, queued);
        return true;
    }

    private void start(int request, double work) {
        if (runningCount == finishAt.length) {
            finishAt = Arrays.copyOf(finishAt, 2 * runningCount);
            running = Arrays.copyOf(running, 2 * runningCount);
        }
        double end = progress + work;
        int index = runningCount++;
        while (index > 0 && finishAt[(index - 1) >>> 1] > end) {
            int parent = (index - 1) >>> 1;
            finishAt[index] = finishAt[parent];
            running[index] = running[parent];
            index = parent;
        }
        finishAt[index] = end;
        running[index] = request;
    }

    /** Removes and returns the next request whose work is done by now, or -1. */
    int pollFinished(long now) {
        advance(now);
        if (runningCount == 0 || finishAt[0] > progress + PROGRESS_TOLERANCE) {
            return -1;
        }
        int request = running[0];
        runningCount--;
        double end = finishAt[runningCount];
        int last = running[runningCount];
        int index = 0;
        while (true) {
            int child = 2 * index + 1;
            if (child >= runningCount) {
                break;
            }
            child += child + 1 < runningCount && finishAt[child + 1] < finishAt[child] ? 1 : 0;
            if (finishAt[child] >= end) {
                break;
            }
            finishAt[index] = finishAt[child];
            running[index] = running[child];
            index = child;
        }
        finishAt[index] = end;
        running[index] = last;
        return request;
    }

    /** Removes a request from the queue; false if it is not there. */
    boolean removeQueued(long now, int request) {
        advance(now);
        for (int i = 0; i < queued; i++) {
            if (queue[(queueHead + i) % queue.length] == request) {
                for (int j = i + 1; j < queued; j++) {
                    queue[(queueHead + j - 1) % queue.length] = queue[(queueHead + j) % queue.length];
                }
                queued--;
                return true;
            }
        }
        return false;
    }

    /**
     * Removes and returns the next queued request if a slot is free, or -1; the caller starts or drops it.
     */
    int pollQueued() {
        if (queued == 0 || runningCount >= spec.slots()) {
            return -1;
        }
        int request = queue[queueHead];
        queueHead = (queueHead + 1) % queue.length;
        queued--;
        return request;
    }

    /** Starts a request that {@link #pollQueued} returned. */
    void startQueued(int request, double work) {
        start(request, work);
    }

    /**
     * When to poll for finished requests, or {@link Long#MAX_VALUE}. While it warms up its speed changes, so
     * the interval is at most {@link #WARM_UP_STEP_NS}.
     */
    long nextEventAt() {
        if (runningCount == 0) {
            return Long.MAX_VALUE;
        }
        double wait = Math.max(0, finishAt[0] - progress) / speedPerRequest(updatedAt) * NS_PER_SECOND;
        return updatedAt + 1 + (long) (speedFraction(updatedAt) < 1 ? Math.min(wait, WARM_UP_STEP_NS)
                : Math.min(wait, 1e17));
    }

    /** Number for the next timer; a timer with an older number is out of date. */
    int newTimerId() {
        return ++timerId;
    }

    /** Number of the newest timer. */
    int timerId() {
        return timerId;
    }

    /** Crashes; returns one of the requests that are lost with it, or -1 when none is left. */
    int crashOne(long now) {
        advance(now);
        down = true;
        if (runningCount > 0) {
            return running[--runningCount];
        }
        if (queued > 0) {
            int request = queue[queueHead];
            queueHead = (queueHead + 1) % queue.length;
            queued--;
            return request;
        }
        return -1;
    }

    /** Restarts it, cold. */
    void restart(long now) {
        advance(now);
        down = false;
        startedAt = now;
    }

    /** Divides its speed by a factor; 1 restores it. */
    void setSlowdown(long now, double factor) {
        advance(now);
        slowdown = factor;
    }

    /** Requests running and queued. */
    int inflight() {
        return runningCount + queued;
    }

    /** Requests queued. */
    int queued() {
        return queued;
    }

    /** Core-seconds in use so far. */
    double busySeconds(long now) {
        advance(now);
        return busySeconds;
    }

    /** Request-seconds that it held so far, running or queued. */
    double heldSeconds(long now) {
        advance(now);
        return heldSeconds;
    }

    /** Longest queue so far. */
    int maxQueued() {
        return maxQueued;
    }

    Model.BackendSpec spec() {
        return spec;
    }
}
