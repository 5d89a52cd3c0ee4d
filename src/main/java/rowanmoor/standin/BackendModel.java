package rowanmoor.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The capacity model of a backend stand-in, without I/O: cores shared evenly by the requests in its slots
 * (processor sharing), a FIFO queue, and a speed that rises linearly from cold to warm. A cold backend falls
 * (goes down until its next start) if it is sent far more work than it can do. Work is seconds on a core of
 * speed 1. Callers pass the time in nanoseconds, which must not decrease.
 */
public final class BackendModel {

    /**
     * Parameters of a backend.
     *
     * @param cores number of requests that run at full speed at once
     * @param speed work that a core does per second
     * @param slots requests in work at once
     * @param queueCapacity requests that may wait beyond those
     * @param coldSpeedFraction fraction of its speed right after a start
     * @param warmUpNs time from a start until full speed, ns
     * @param fallMultiple a cold backend falls when the work sent within {@code fallSpanNs} exceeds this
     *     multiple of its capacity
     */
    public record Spec(int cores, double speed, int slots, int queueCapacity, double coldSpeedFraction,
            long warmUpNs, double fallMultiple, long fallSpanNs) { }

    /** Whether a request was taken, or why it was not. */
    public enum Offer { TAKEN, FULL, DOWN }

    private record SentWork(long sentAt, double work) { }

    /** One request; the caller chooses {@code id}. */
    private static final class Job {
        private final long id;
        private final double work;

        Job(long id, double work) {
            this.id = id;
            this.work = work;
        }
    }

    private static final double NS_PER_SECOND = 1e9;
    private static final long WARM_UP_STEP_NS = 50_000_000L;

    private final Spec spec;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final TreeMap<Double, List<Job>> running = new TreeMap<>();
    private final Map<Long, Double> finishById = new java.util.HashMap<>();
    private final ArrayDeque<SentWork> recentWork = new ArrayDeque<>();
    private int runningCount;
    private double progress;
    private double slowdown = 1;
    private boolean stalled;
    private boolean down;
    private boolean fallen;
    private long startedAt;
    private long updatedAt;
    private double busySeconds;
    private double maxColdOverload;

    /** A backend that is already warm. */
    public BackendModel(Spec spec, long now) {
        this.spec = spec;
        this.updatedAt = now;
        this.startedAt = now - spec.warmUpNs();
    }

    /** Restarts it, cold; the requests that it held are lost. */
    public void start(long now) {
        stop(now);
        down = false;
        fallen = false;
        startedAt = now;
        recentWork.clear();
    }

    /** Stops it; the requests that it held are lost. */
    public void stop(long now) {
        advance(now);
        waiting.clear();
        running.clear();
        finishById.clear();
        runningCount = 0;
        down = true;
    }

    /** Whether it is stopped or has fallen. */
    public boolean isDown() {
        return down || fallen;
    }

    /** Whether it has fallen since its last start. */
    public boolean isFallen() {
        return fallen;
    }

    /** The most work ever sent to it while cold, as a multiple of its capacity over a fall span. */
    public double maxColdOverload() {
        return maxColdOverload;
    }

    /** Divides its speed by a factor; 1 restores it. */
    public void setSlowdown(long now, double factor) {
        advance(now);
        slowdown = factor;
    }

    /** Stops all work, or resumes it. */
    public void setStalled(long now, boolean on) {
        advance(now);
        stalled = on;
    }

    private double speedFraction(long now) {
        double age = spec.warmUpNs() == 0 ? 1 : (now - startedAt) / (double) spec.warmUpNs();
        return Math.min(1, spec.coldSpeedFraction() + (1 - spec.coldSpeedFraction()) * Math.max(0, age));
    }

    /** Work per second that it can do at a time, without injected faults. */
    public double capacity(long now) {
        return spec.cores() * spec.speed() * speedFraction(now);
    }

    private double speedPerRequest(long now) {
        if (stalled || runningCount == 0) {
            return 0;
        }
        return spec.speed() * speedFraction(now) / slowdown * Math.min(1,
                spec.cores() / (double) runningCount);
    }

    /** Starts or queues a request, or rejects it. */
    public Offer offer(long now, long id, double work) {
        advance(now);
        if (isDown()) {
            return Offer.DOWN;
        }
        recordColdWork(now, work);
        if (fallen) {
            return Offer.DOWN;
        }
        if (runningCount < spec.slots()) {
            startJob(new Job(id, work));
            return Offer.TAKEN;
        }
        if (waiting.size() >= spec.queueCapacity()) {
            return Offer.FULL;
        }
        waiting.add(new Job(id, work));
        return Offer.TAKEN;
    }

    /** While cold, compares the work sent within the fall span, rejected or not, with its capacity. */
    private void recordColdWork(long now, double work) {
        if (speedFraction(now) >= 1) {
            return;
        }
        recentWork.add(new SentWork(now, work));
        while (recentWork.peek().sentAt() < now - spec.fallSpanNs()) {
            recentWork.poll();
        }
        double sum = recentWork.stream().mapToDouble(SentWork::work).sum();
        double multiple = sum / (capacity(now) * spec.fallSpanNs() / NS_PER_SECOND);
        maxColdOverload = Math.max(maxColdOverload, multiple);
        if (multiple > spec.fallMultiple()) {
            stop(now);
            fallen = true;
        }
    }

    private void startJob(Job job) {
        runningCount++;
        double end = progress + job.work;
        running.computeIfAbsent(end, e -> new ArrayList<>()).add(job);
        finishById.put(job.id, end);
    }

    /**
     * Removes a request whose client is gone, if it is queued, or running and {@code alsoRunning} is set;
     * returns whether it did.
     */
    public boolean cancel(long now, long id, boolean alsoRunning) {
        advance(now);
        if (waiting.removeIf(job -> job.id == id)) {
            return true;
        }
        Double end = finishById.get(id);
        if (alsoRunning && end != null) {
            running.get(end).removeIf(job -> job.id == id);
            removeRunning(end, id);
            return true;
        }
        return false;
    }

    private void removeRunning(double end, long id) {
        finishById.remove(id);
        runningCount--;
        if (running.containsKey(end) && running.get(end).isEmpty()) {
            running.remove(end);
        }
        if (!waiting.isEmpty() && runningCount < spec.slots()) {
            startJob(waiting.poll());
        }
    }

    /** Advances to a time before which no request finishes; see {@link #nextEventAt}. */
    private void advance(long now) {
        double seconds = (now - updatedAt) / NS_PER_SECOND;
        busySeconds += seconds * Math.min(runningCount, spec.cores());
        progress += seconds * speedPerRequest(updatedAt + (now - updatedAt) / 2);
        updatedAt = now;
    }

    /** Removes the requests that have finished by now and returns their ids, in order. */
    public List<Long> pollFinished(long now) {
        advance(now);
        List<Long> finished = new ArrayList<>();
        while (!running.isEmpty() && running.firstKey() <= progress + 1e-9) {
            double end = running.firstKey();
            List<Job> jobs = running.get(end);
            Job job = jobs.remove(0);
            finished.add(job.id);
            removeRunning(end, job.id);
        }
        return finished;
    }

    /**
     * When to poll for finished requests, or {@link Long#MAX_VALUE}. While it warms up its speed changes, so
     * the interval is at most {@link #WARM_UP_STEP_NS}.
     */
    public long nextEventAt() {
        if (running.isEmpty() || stalled) {
            return Long.MAX_VALUE;
        }
        double left = Math.max(0, running.firstKey() - progress);
        double wait = left / speedPerRequest(updatedAt) * NS_PER_SECOND;
        long maxStep = speedFraction(updatedAt) < 1 ? WARM_UP_STEP_NS : Long.MAX_VALUE / 4;
        return updatedAt + Math.max(1, (long) Math.ceil(Math.min(wait, maxStep)));
    }

    /** Requests running and queued. */
    public int inflight() {
        return runningCount + waiting.size();
    }

    /** Requests queued. */
    public int queued() {
        return waiting.size();
    }

    /** Core-seconds in use up to a time before which no request finishes. */
    public double busySeconds(long now) {
        advance(now);
        return busySeconds;
    }

    /** Core-seconds in use since it was created, up to the last call that passed a time. */
    public double busySeconds() {
        return busySeconds;
    }

    /** Its parameters. */
    public Spec spec() {
        return spec;
    }

    /** Time of its last start, ns. */
    public long startedAt() {
        return startedAt;
    }
}
