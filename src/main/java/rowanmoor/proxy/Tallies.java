package rowanmoor.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import rowanmoor.ControlApi.Backend;
import rowanmoor.channel.Frame;

/** Counts what a proxy meets, from one report to the next. */
public final class Tallies {

    private static final class Counts {
        private long count;
        private long failed;
        private long latencyNs;
        private List<Double> load = List.of();
    }

    private final TreeMap<Backend, Counts> byBackend = new TreeMap<>();
    private final TreeMap<Integer, Counts> byClass = new TreeMap<>();
    private long sinceNs;

    public Tallies(long now) {
        sinceNs = now;
    }

    /** A try is over; {@code load} is what its answer said of the backend's load, or empty. */
    public void onTryEnded(Backend backend, boolean good, long latency, List<Double> load) {
        Counts sum = byBackend.computeIfAbsent(backend, b -> new Counts());
        sum.count++;
        sum.failed += good ? 0 : 1;
        sum.latencyNs += good ? latency : 0;
        sum.load = load.isEmpty() ? sum.load : load;
    }

    public void onRequest(int cls) {
        byClass.computeIfAbsent(cls, c -> new Counts()).count++;
    }

    /** A request that was let in got no answer. */
    public void onUnanswered(int cls) {
        byClass.computeIfAbsent(cls, c -> new Counts()).failed++;
    }

    /** Whether nothing was counted since the last report. */
    boolean isEmpty() {
        return byBackend.isEmpty() && byClass.isEmpty();
    }

    /** All since the last report, which this ends; without entries if nothing came. */
    public Frame.Report takeReport(long now) {
        long span = now - sinceNs;
        sinceNs = now;
        List<Frame.Tally> tallies = new ArrayList<>();
        byBackend.forEach((backend, sum) -> tallies.add(new Frame.Tally(backend, sum.count, sum.failed,
                sum.latencyNs, span, sum.load)));
        List<Frame.Use> used = new ArrayList<>();
        byClass.forEach((cls, sum) -> used.add(new Frame.Use(cls, sum.count, sum.failed, span)));
        byBackend.clear();
        byClass.clear();
        return new Frame.Report(tallies, used);
    }
}
