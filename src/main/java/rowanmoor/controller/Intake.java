package rowanmoor.controller;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.Usage;
import rowanmoor.channel.Frame;

/**
 * Sums up proxies' reports: by backend and zone, and by proxy and class. Each period's sums are told as
 * lines, at most so many a second, the oldest first; what has to wait is added to by what comes after.
 */
final class Intake {

    private static final double NS_PER_SECOND = 1e9;

    private record LineKey(boolean usage, long id, int part) implements Comparable<LineKey> {
        @Override
        public int compareTo(LineKey other) {
            int byKind = Boolean.compare(usage, other.usage);
            int byId = byKind != 0 ? byKind : Long.compareUnsigned(id, other.id);
            return byId != 0 ? byId : Integer.compare(part, other.part);
        }
    }

    private static final class Totals {
        private long count;
        private long failed;
        private long latencySumNs;
        private long spanNs;
        private List<Double> load = List.of();

        void add(Totals other) {
            count += other.count;
            failed += other.failed;
            latencySumNs = saturatingAdd(latencySumNs, other.latencySumNs);
            spanNs = saturatingAdd(spanNs, other.spanNs);
            load = other.load.isEmpty() ? load : other.load;
        }
    }

    private final double linesPerSecond;
    private final long periodNs;
    private final TreeMap<LineKey, Totals> currentPeriod = new TreeMap<>();
    private final LinkedHashMap<LineKey, Totals> pending = new LinkedHashMap<>();
    private long periodStartNs;
    private long lastReleaseNs;
    private double lineCredit;
    private int maxPendingLines;

    Intake(double linesPerSecond, long period, long now) {
        this.linesPerSecond = linesPerSecond;
        this.periodNs = period;
        this.periodStartNs = now;
        this.lastReleaseNs = now;
    }

    /** A sum of times, neither below 0, that stays at its end: past it, it would turn negative. */
    private static long saturatingAdd(long a, long b) {
        return a + b < 0 ? Long.MAX_VALUE : a + b;
    }

    /** Takes one proxy's report in. */
    void addReport(int proxy, int zone, Frame.Report report) {
        for (Frame.Tally tally : report.tallies()) {
            Totals sum = currentPeriod.computeIfAbsent(new LineKey(false, tally.backend().id(), zone), p -> new Totals());
            sum.count += tally.tries();
            sum.failed += tally.failed();
            sum.latencySumNs = saturatingAdd(sum.latencySumNs, tally.latencySum());
            sum.load = tally.load().isEmpty() ? sum.load : tally.load();
        }
        for (Frame.Use use : report.usages()) {
            Totals sum = currentPeriod.computeIfAbsent(new LineKey(true, proxy, use.cls()), p -> new Totals());
            sum.count += use.requests();
            sum.failed += use.failed();
            sum.spanNs = saturatingAdd(sum.spanNs, use.span());
        }
    }

    /** Tells what may be told by now. */
    void release(long now, Consumer<Event> told) {
        // At most one period's lines are saved up: after a stall they do not come all at once.
        double saved = linesPerSecond * periodNs / NS_PER_SECOND;
        lineCredit = Math.min(saved, lineCredit + linesPerSecond * (now - lastReleaseNs) / NS_PER_SECOND);
        lastReleaseNs = now;
        if (now - periodStartNs >= periodNs) {
            closePeriod(now);
        }
        List<LineKey> released = new ArrayList<>();
        for (Map.Entry<LineKey, Totals> entry : pending.entrySet()) {
            if (lineCredit < 1) {
                break;
            }
            lineCredit--;
            released.add(entry.getKey());
            told.accept(toEvent(entry.getKey(), entry.getValue()));
        }
        pending.keySet().removeAll(released);
    }

    private void closePeriod(long now) {
        long span = now - periodStartNs;
        periodStartNs = now;
        currentPeriod.forEach((place, sum) -> {
            if (!place.usage()) {
                sum.spanNs = span;
            }
            pending.computeIfAbsent(place, p -> new Totals()).add(sum);
        });
        currentPeriod.clear();
        maxPendingLines = Math.max(maxPendingLines, pending.size());
    }

    private static Event toEvent(LineKey place, Totals sum) {
        if (place.usage()) {
            return new Usage((int) place.id(), place.part(), sum.count, sum.failed, sum.spanNs);
        }
        long good = sum.count - sum.failed;
        return new Tally(new Backend(place.id()), place.part(), sum.count, sum.failed,
                good == 0 ? 0 : sum.latencySumNs / good, sum.spanNs, Collections.unmodifiableList(sum.load));
    }

    /** When there is next something to tell, going by the clock alone. */
    long nextReleaseAt() {
        long tick = (long) (NS_PER_SECOND / linesPerSecond) + 1;
        long lines = pending.isEmpty() ? Long.MAX_VALUE : lastReleaseNs + tick;
        return Math.min(lines, currentPeriod.isEmpty() ? Long.MAX_VALUE : periodStartNs + periodNs);
    }

    /** The most lines that ever waited to be told. */
    int maxPendingLines() {
        return maxPendingLines;
    }
}
