package rowanmoor.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The machine inside a backend stand-in, without I/O: cores shared evenly by the requests in its slots, a
 * waiting room, a ramp from cold to warm, and a fall if far more is sent to it than it can do while cold.
 * Work is seconds on a core of speed 1. Time is passed in and never goes back.
 */
public final class BackendModel {

    /**
     * What it is.
     *
     * @param cores how many requests run at full speed at once
     * @param speed work that a core does a second
     * @param slots requests in work at once
     * @param queueCapacity requests that may wait beyond those
     * @param coldSpeedFraction part of its speed right after a start
     * @param warmUpNs how long until it is warm, ns
     * @param fallMultiple so many times its capacity, sent for {@code fallSpanNs}, push it over while cold
     */
    public record Spec(int cores, double speed, int slots, int queueCapacity, double coldSpeedFraction, long warmUpNs,
            double fallMultiple, long fallSpanNs) { }

    /** What becomes of an offered request. */
    public enum Offer { TAKEN, FULL, DOWN }

    private record Sent(long at, double work) { }

    /** One request: {@code id} is the caller's. */
    private static final class Job {
        private final long id;
        private final double work;

        Job(long id, double work) {
            this.id = id;
            this.work = work;
        }
    }

    private static final double SECOND = 1e9;
    private static final long RAMP_STEP = 50_000_000L;

    private final Spec spec;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final TreeMap<Double, List<Job>> running = new TreeMap<>();
    private final Map<Long, Double> ends = new java.util.HashMap<>();
    private final ArrayDeque<Sent> lately = new ArrayDeque<>();
    private int inWork;
    private double progress;
    private double slower = 1;
    private boolean stalled;
    private boolean down;
    private boolean fallen;
    private long startedAt;
    private long at;
    private double busySeconds;
    private double worstPush;

    /** A machine that has run for long. */
    public BackendModel(Spec spec, long now) {
        this.spec = spec;
        this.at = now;
        this.startedAt = now - spec.warmUpNs();
    }

    /** Starts anew, cold; all that it held is gone. */
    public void start(long now) {
        stop(now);
        down = false;
        fallen = false;
        startedAt = now;
        lately.clear();
    }

    /** Stops; all that it held is gone. */
    public void stop(long now) {
        advance(now);
        waiting.clear();
        running.clear();
        ends.clear();
        inWork = 0;
        down = true;
    }

    public boolean isDown() {
        return down || fallen;
    }

    /** Whether it was pushed over since its last start. */
    public boolean isFallen() {
        return fallen;
    }

    /** The most that was ever sent to it while cold, as a multiple of its capacity over a fall span. */
    public double maxColdOverload() {
        return worstPush;
    }

    /** So many times slower than it should be; 1 is as it should be. */
    public void setSlowdown(long now, double factor) {
        advance(now);
        slower = factor;
    }

    /** Stands still, or goes on. */
    public void setStalled(long now, boolean on) {
        advance(now);
        stalled = on;
    }

    private double warmth(long now) {
        double age = spec.warmUpNs() == 0 ? 1 : (now - startedAt) / (double) spec.warmUpNs();
        return Math.min(1, spec.coldSpeedFraction() + (1 - spec.coldSpeedFraction()) * Math.max(0, age));
    }

    /** Work a second that it can do at a time; troubles aside. */
    public double capacity(long now) {
        return spec.cores() * spec.speed() * warmth(now);
    }

    private double rateOfOne(long now) {
        if (stalled || inWork == 0) {
            return 0;
        }
        return spec.speed() * warmth(now) / slower * Math.min(1, spec.cores() / (double) inWork);
    }

    /** A request comes. */
    public Offer offer(long now, long id, double work) {
        advance(now);
        if (isDown()) {
            return Offer.DOWN;
        }
        push(now, work);
        if (fallen) {
            return Offer.DOWN;
        }
        if (inWork < spec.slots()) {
            run(new Job(id, work));
            return Offer.TAKEN;
        }
        if (waiting.size() >= spec.queueCapacity()) {
            return Offer.FULL;
        }
        waiting.add(new Job(id, work));
        return Offer.TAKEN;
    }

    /** Books what is sent while it is cold, refused or not, against what it could do in the span. */
    private void push(long now, double work) {
        if (warmth(now) >= 1) {
            return;
        }
        lately.add(new Sent(now, work));
        while (lately.peek().at() < now - spec.fallSpanNs()) {
            lately.poll();
        }
        double sum = lately.stream().mapToDouble(Sent::work).sum();
        double multiple = sum / (capacity(now) * spec.fallSpanNs() / SECOND);
        worstPush = Math.max(worstPush, multiple);
        if (multiple > spec.fallMultiple()) {
            stop(now);
            fallen = true;
        }
    }

    private void run(Job job) {
        inWork++;
        double end = progress + job.work;
        running.computeIfAbsent(end, e -> new ArrayList<>()).add(job);
        ends.put(job.id, end);
    }

    /** Drops a request whose client is gone, if it still waits or if running work stops too. */
    public boolean cancel(long now, long id, boolean alsoRunning) {
        advance(now);
        if (waiting.removeIf(job -> job.id == id)) {
            return true;
        }
        Double end = ends.get(id);
        if (alsoRunning && end != null) {
            running.get(end).removeIf(job -> job.id == id);
            ended(end, id);
            return true;
        }
        return false;
    }

    private void ended(double end, long id) {
        ends.remove(id);
        inWork--;
        if (running.containsKey(end) && running.get(end).isEmpty()) {
            running.remove(end);
        }
        if (!waiting.isEmpty() && inWork < spec.slots()) {
            run(waiting.poll());
        }
    }

    /** Moves on to a time at which nothing ends before it; see {@link #nextTickAt}. */
    private void advance(long now) {
        double seconds = (now - at) / SECOND;
        busySeconds += seconds * Math.min(inWork, spec.cores());
        progress += seconds * rateOfOne(at + (now - at) / 2);
        at = now;
    }

    /** The requests that end by now, in order. */
    public List<Long> ended(long now) {
        advance(now);
        List<Long> over = new ArrayList<>();
        while (!running.isEmpty() && running.firstKey() <= progress + 1e-9) {
            double end = running.firstKey();
            List<Job> jobs = running.get(end);
            Job job = jobs.remove(0);
            over.add(job.id);
            ended(end, job.id);
        }
        return over;
    }

    /** When to look again, or a very long time. While it warms up its speed changes: steps are short. */
    public long nextAt() {
        if (running.isEmpty() || stalled) {
            return Long.MAX_VALUE;
        }
        double left = Math.max(0, running.firstKey() - progress);
        double wait = left / rateOfOne(at) * SECOND;
        long most = warmth(at) < 1 ? RAMP_STEP : Long.MAX_VALUE / 4;
        return at + Math.max(1, (long) Math.ceil(Math.min(wait, most)));
    }

    public int inflight() {
        return inWork + waiting.size();
    }

    public int queued() {
        return waiting.size();
    }

    /** The same by a time at which nothing ends before it. */
    public double busySeconds(long now) {
        advance(now);
        return busySeconds;
    }

    /** Core-seconds in use since it was made. */
    public double busySeconds() {
        return busySeconds;
    }

    public Spec spec() {
        return spec;
    }

    public long startedAt() {
        return startedAt;
    }
}
