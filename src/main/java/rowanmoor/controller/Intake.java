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

    private static final double SECOND = 1e9;

    private record Place(boolean usage, long id, int part) implements Comparable<Place> {
        @Override
        public int compareTo(Place other) {
            int byKind = Boolean.compare(usage, other.usage);
            int byId = byKind != 0 ? byKind : Long.compareUnsigned(id, other.id);
            return byId != 0 ? byId : Integer.compare(part, other.part);
        }
    }

    private static final class Sum {
        private long count;
        private long failed;
        private long latency;
        private long span;
        private List<Double> load = List.of();

        void add(Sum other) {
            count += other.count;
            failed += other.failed;
            latency = plus(latency, other.latency);
            span = plus(span, other.span);
            load = other.load.isEmpty() ? load : other.load;
        }
    }

    private final double linesPerSecond;
    private final long period;
    private final TreeMap<Place, Sum> gathering = new TreeMap<>();
    private final LinkedHashMap<Place, Sum> waiting = new LinkedHashMap<>();
    private long closedAt;
    private long releasedAt;
    private double allowance;
    private int mostWaiting;

    Intake(double linesPerSecond, long period, long now) {
        this.linesPerSecond = linesPerSecond;
        this.period = period;
        this.closedAt = now;
        this.releasedAt = now;
    }

    /** A sum of times, neither below 0, that stays at its end: past it, it would turn negative. */
    private static long plus(long a, long b) {
        return a + b < 0 ? Long.MAX_VALUE : a + b;
    }

    /** Takes one proxy's report in. */
    void hear(int proxy, int zone, Frame.Report report) {
        for (Frame.Tally tally : report.tallies()) {
            Sum sum = gathering.computeIfAbsent(new Place(false, tally.backend().id(), zone), p -> new Sum());
            sum.count += tally.tries();
            sum.failed += tally.failed();
            sum.latency = plus(sum.latency, tally.latencySum());
            sum.load = tally.load().isEmpty() ? sum.load : tally.load();
        }
        for (Frame.Use use : report.usages()) {
            Sum sum = gathering.computeIfAbsent(new Place(true, proxy, use.cls()), p -> new Sum());
            sum.count += use.requests();
            sum.failed += use.failed();
            sum.span = plus(sum.span, use.span());
        }
    }

    /** Tells what may be told by now. */
    void release(long now, Consumer<Event> told) {
        // At most one period's lines are saved up: after a stall they do not come all at once.
        double saved = linesPerSecond * period / SECOND;
        allowance = Math.min(saved, allowance + linesPerSecond * (now - releasedAt) / SECOND);
        releasedAt = now;
        if (now - closedAt >= period) {
            close(now);
        }
        List<Place> released = new ArrayList<>();
        for (Map.Entry<Place, Sum> entry : waiting.entrySet()) {
            if (allowance < 1) {
                break;
            }
            allowance--;
            released.add(entry.getKey());
            told.accept(event(entry.getKey(), entry.getValue()));
        }
        waiting.keySet().removeAll(released);
    }

    private void close(long now) {
        long span = now - closedAt;
        closedAt = now;
        gathering.forEach((place, sum) -> {
            if (!place.usage()) {
                sum.span = span;
            }
            waiting.computeIfAbsent(place, p -> new Sum()).add(sum);
        });
        gathering.clear();
        mostWaiting = Math.max(mostWaiting, waiting.size());
    }

    private static Event event(Place place, Sum sum) {
        if (place.usage()) {
            return new Usage((int) place.id(), place.part(), sum.count, sum.failed, sum.span);
        }
        long good = sum.count - sum.failed;
        return new Tally(new Backend(place.id()), place.part(), sum.count, sum.failed,
                good == 0 ? 0 : sum.latency / good, sum.span, Collections.unmodifiableList(sum.load));
    }

    /** When there is next something to tell, going by the clock alone. */
    long nextAt() {
        long tick = (long) (SECOND / linesPerSecond) + 1;
        long lines = waiting.isEmpty() ? Long.MAX_VALUE : releasedAt + tick;
        return Math.min(lines, gathering.isEmpty() ? Long.MAX_VALUE : closedAt + period);
    }

    /** The most lines that ever waited to be told. */
    int mostWaiting() {
        return mostWaiting;
    }
}
