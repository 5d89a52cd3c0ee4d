package rowanmoor.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import rowanmoor.ControlApi.Backend;
import rowanmoor.channel.Frame;

/** Counts the requests and tries of a proxy between two reports. */
public final class Tallies {

    /** Counts of one backend or one class. */
    private static final class Counts {
        private long count;
        private long failed;
        private long latencyNs;
        private List<Double> load = List.of();
    }

    private final TreeMap<Backend, Counts> byBackend = new TreeMap<>();
    private final TreeMap<Integer, Counts> byClass = new TreeMap<>();
    private long sinceNs;

    /** Starts the first report's span at {@code nowNs}. */
    public Tallies(long nowNs) {
        sinceNs = nowNs;
    }

    /**
     * A try ended.
     *
     * @param latencyNs counted for good tries only
     * @param load the backend's load as its response reported it, or empty
     */
    public void onTryEnded(Backend backend, boolean good, long latencyNs, List<Double> load) {
        Counts counts = byBackend.computeIfAbsent(backend, b -> new Counts());
        counts.count++;
        counts.failed += good ? 0 : 1;
        counts.latencyNs += good ? latencyNs : 0;
        counts.load = load.isEmpty() ? counts.load : load;
    }

    /** A request arrived. */
    public void onRequest(int cls) {
        byClass.computeIfAbsent(cls, c -> new Counts()).count++;
    }

    /** A request that was admitted got no answer, or an error answer, from a backend. */
    public void onUnanswered(int cls) {
        byClass.computeIfAbsent(cls, c -> new Counts()).failed++;
    }

    /** Whether nothing has been counted since the last report. */
    boolean isEmpty() {
        return byBackend.isEmpty() && byClass.isEmpty();
    }

    /** Returns the counts since the last report and resets them; has no entries if nothing was counted. */
    public Frame.Report takeReport(long nowNs) {
        long spanNs = nowNs - sinceNs;
        sinceNs = nowNs;
        List<Frame.Tally> tallies = new ArrayList<>();
        byBackend.forEach((backend, counts) -> tallies.add(new Frame.Tally(backend, counts.count,
                counts.failed, counts.latencyNs, spanNs, counts.load)));
        List<Frame.Use> uses = new ArrayList<>();
        byClass.forEach((cls, counts) -> uses.add(new Frame.Use(cls, counts.count, counts.failed, spanNs)));
        byBackend.clear();
        byClass.clear();
        return new Frame.Report(tallies, uses);
    }
}
