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
    public void tried(Backend backend, boolean good, long latency, List<Double> load) {
        Sum sum = tries.computeIfAbsent(backend, b -> new Sum());
        sum.count++;
        sum.failed += good ? 0 : 1;
        sum.latency += good ? latency : 0;
        sum.load = load.isEmpty() ? sum.load : load;
    }

    public void came(int cls) {
        uses.computeIfAbsent(cls, c -> new Sum()).count++;
    }

    /** A request that was let in got no answer. */
    public void unanswered(int cls) {
        uses.computeIfAbsent(cls, c -> new Sum()).failed++;
    }

    /** A report that was not taken: its counts go into the next one. */
    void putBack(Frame.Report report) {
        for (Frame.Tally t : report.tallies()) {
            Sum sum = tries.computeIfAbsent(t.backend(), b -> new Sum());
            sum.count += t.tries();
            sum.failed += t.failed();
            sum.latency += t.latencySum();
            sum.load = sum.load.isEmpty() ? t.load() : sum.load;
        }
        for (Frame.Use u : report.uses()) {
            Sum sum = uses.computeIfAbsent(u.cls(), c -> new Sum());
            sum.count += u.requests();
            sum.failed += u.failed();
        }
        since -= report.tallies().isEmpty() ? report.uses().get(0).span() : report.tallies().get(0).span();
    }

    /** All since the last report, which this ends; without entries if nothing came. */
    public Frame.Report report(long now) {
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
