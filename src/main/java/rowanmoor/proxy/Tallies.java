package rowanmoor.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import rowanmoor.ControlApi.Backend;
import rowanmoor.channel.Frame;

/** Counts what a proxy meets, from one report to the next. */
public final class Tallies {

    private static final class Sum {
        private long count;
        private long failed;
        private long latency;
        private List<Double> load = List.of();
    }

    private final TreeMap<Backend, Sum> tries = new TreeMap<>();
    private final TreeMap<Integer, Sum> uses = new TreeMap<>();
    private long since;

    public Tallies(long now) {
        since = now;
    }

    /** A try is over; {@code load} is what its answer said of the backend's load, or empty. */
    public void onTryEnded(Backend backend, boolean good, long latency, List<Double> load) {
        Sum sum = tries.computeIfAbsent(backend, b -> new Sum());
        sum.count++;
        sum.failed += good ? 0 : 1;
        sum.latency += good ? latency : 0;
        sum.load = load.isEmpty() ? sum.load : load;
    }

    public void onRequest(int cls) {
        uses.computeIfAbsent(cls, c -> new Sum()).count++;
    }

    /** A request that was let in got no answer. */
    public void onUnanswered(int cls) {
        uses.computeIfAbsent(cls, c -> new Sum()).failed++;
    }

    /** Whether nothing was counted since the last report. */
    boolean isEmpty() {
        return tries.isEmpty() && uses.isEmpty();
    }

    /** All since the last report, which this ends; without entries if nothing came. */
    public Frame.Report takeReport(long now) {
        long span = now - since;
        since = now;
        List<Frame.Tally> tallies = new ArrayList<>();
        tries.forEach((backend, sum) -> tallies.add(new Frame.Tally(backend, sum.count, sum.failed,
                sum.latency, span, sum.load)));
        List<Frame.Use> used = new ArrayList<>();
        uses.forEach((cls, sum) -> used.add(new Frame.Use(cls, sum.count, sum.failed, span)));
        tries.clear();
        uses.clear();
        return new Frame.Report(tallies, used);
    }
}
