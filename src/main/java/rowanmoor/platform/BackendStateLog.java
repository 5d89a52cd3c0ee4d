package rowanmoor.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.BackendEstimate;
import rowanmoor.ControlApi.Tally;

/**
 * Optional diagnostic log: every second, one line per backend that compares the decision module's state of it
 * with what the proxies reported. {@code picks} is the share of picks that the tables give the backend,
 * {@code tried} its share of the tries reported since the previous line. No I/O.
 */
final class BackendStateLog {

    private final InstanceRegistry instances;
    private final Consumer<String> log;
    private final Map<Backend, long[]> reported = new HashMap<>(); // {tries, failed} since the previous line

    BackendStateLog(InstanceRegistry instances, Consumer<String> log) {
        this.instances = instances;
        this.log = log;
    }

    /** Adds a report to the sums of the current period. */
    void record(Tally tally) {
        long[] sums = reported.computeIfAbsent(tally.backend(), b -> new long[2]);
        sums[0] += tally.tries();
        sums[1] += tally.failed();
    }

    /** Writes one line per backend and starts a new period. */
    void write(List<BackendEstimate> estimates, TreeMap<Backend, Double> picks) {
        double totalPicks = Math.max(1e-9, picks.values().stream().mapToDouble(w -> w).sum());
        double totalTries = Math.max(1, reported.values().stream().mapToLong(s -> s[0]).sum());
        for (BackendEstimate estimate : estimates) {
            long[] sums = reported.getOrDefault(estimate.backend(), new long[2]);
            log.accept(String.format(Locale.ROOT, "estimate %s %s%s picks %.3f tried %.3f of %d failed %d"
                    + " load %.0f ms health %s correction %.2f warmth %.2f smoothed tries %.1f",
                    instances.id(estimate.backend()), estimate.availability(),
                    estimate.withdrawn() ? " withdrawn" : "",
                    picks.getOrDefault(estimate.backend(), 0.0) / totalPicks, sums[0] / totalTries,
                    sums[0], sums[1],
                    estimate.load() / 1e6, estimate.health(), estimate.correction(),
                    estimate.warmth(), estimate.tries()));
        }
        reported.clear();
    }
}
