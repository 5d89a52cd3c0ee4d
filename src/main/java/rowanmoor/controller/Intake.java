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
 * Aggregates the reports of proxies, by backend and zone and by proxy and class. The totals of each period
 * are released as events at a limited rate, the oldest first; the totals of later periods are added to those
 * still pending.
 */
final class Intake {

    private static final double NS_PER_SECOND = 1e9;

    /**
     * What a line of totals is about.
     *
     * @param usage true for a proxy and a class, false for a backend and a zone
     * @param id number of the proxy, or id of the backend
     * @param part index of the class, or of the zone
     */
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

    /**
     * @param linesPerSecond the most events released per second
     * @param periodNs length of an aggregation period
     */
    Intake(double linesPerSecond, long periodNs, long now) {
        this.linesPerSecond = linesPerSecond;
        this.periodNs = periodNs;
        this.periodStartNs = now;
        this.lastReleaseNs = now;
    }

    /** Adds two durations, each at least 0; saturates at {@link Long#MAX_VALUE} instead of overflowing. */
    private static long saturatingAdd(long a, long b) {
        return a + b < 0 ? Long.MAX_VALUE : a + b;
    }

    /** Adds a proxy's report to the current period. */
    void addReport(int proxy, int zone, Frame.Report report) {
        for (Frame.Tally tally : report.tallies()) {
            Totals totals = currentPeriod.computeIfAbsent(new LineKey(false, tally.backend().id(), zone),
                    k -> new Totals());
            totals.count += tally.tries();
            totals.failed += tally.failed();
            totals.latencySumNs = saturatingAdd(totals.latencySumNs, tally.latencySum());
            totals.load = tally.load().isEmpty() ? totals.load : tally.load();
        }
        for (Frame.Use use : report.usages()) {
            Totals totals = currentPeriod.computeIfAbsent(new LineKey(true, proxy, use.cls()),
                    k -> new Totals());
            totals.count += use.requests();
            totals.failed += use.failed();
            totals.spanNs = saturatingAdd(totals.spanNs, use.span());
        }
    }

    /** Passes on the events that are due by {@code now}. */
    void release(long now, Consumer<Event> consumer) {
        // The credit is capped at one period, so that a stall is not followed by a burst.
        double maxCredit = linesPerSecond * periodNs / NS_PER_SECOND;
        lineCredit = Math.min(maxCredit, lineCredit + linesPerSecond * (now - lastReleaseNs) / NS_PER_SECOND);
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
            consumer.accept(toEvent(entry.getKey(), entry.getValue()));
        }
        pending.keySet().removeAll(released);
    }

    private void closePeriod(long now) {
        long elapsedNs = now - periodStartNs;
        periodStartNs = now;
        currentPeriod.forEach((key, totals) -> {
            if (!key.usage()) {
                totals.spanNs = elapsedNs;
            }
            pending.computeIfAbsent(key, k -> new Totals()).add(totals);
        });
        currentPeriod.clear();
        maxPendingLines = Math.max(maxPendingLines, pending.size());
    }

    private static Event toEvent(LineKey key, Totals totals) {
        if (key.usage()) {
            return new Usage((int) key.id(), key.part(), totals.count, totals.failed, totals.spanNs);
        }
        long succeeded = totals.count - totals.failed;
        return new Tally(new Backend(key.id()), key.part(), totals.count, totals.failed,
                succeeded == 0 ? 0 : totals.latencySumNs / succeeded, totals.spanNs,
                Collections.unmodifiableList(totals.load));
    }

    /** Returns when the next event is due if no further report arrives. */
    long nextReleaseAt() {
        long lineIntervalNs = (long) (NS_PER_SECOND / linesPerSecond) + 1;
        long nextLine = pending.isEmpty() ? Long.MAX_VALUE : lastReleaseNs + lineIntervalNs;
        return Math.min(nextLine, currentPeriod.isEmpty() ? Long.MAX_VALUE : periodStartNs + periodNs);
    }

    /** Returns the largest number of lines that were ever pending. */
    int maxPendingLines() {
        return maxPendingLines;
    }
}
