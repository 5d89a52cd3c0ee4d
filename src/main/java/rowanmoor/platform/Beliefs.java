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
 * A record, when it is switched on: each second, a line a backend with what the module holds of it beside
 * what the proxies' reports say has passed. The first figure of a pair is the share of picks that the tables
 * give it, the second its share of the tries told of since the last line. No I/O.
 */
final class Beliefs {

    private final Names names;
    private final Consumer<String> log;
    private final Map<Backend, long[]> passed = new HashMap<>(); // tries, failed

    Beliefs(Names names, Consumer<String> log) {
        this.names = names;
        this.log = log;
    }

    void hear(Tally tally) {
        long[] sums = passed.computeIfAbsent(tally.backend(), b -> new long[2]);
        sums[0] += tally.tries();
        sums[1] += tally.failed();
    }

    void write(List<BackendEstimate> beliefs, TreeMap<Backend, Double> picks) {
        double all = Math.max(1e-9, picks.values().stream().mapToDouble(w -> w).sum());
        double tries = Math.max(1, passed.values().stream().mapToLong(s -> s[0]).sum());
        for (BackendEstimate b : beliefs) {
            long[] sums = passed.getOrDefault(b.backend(), new long[2]);
            log.accept(String.format(Locale.ROOT, "belief %s %s%s picks %.3f tried %.3f of %d failed %d"
                    + " load %.0f ms health %s correction %.2f warmth %.2f judged by %.1f",
                    names.id(b.backend()), b.availability(), b.withdrawn() ? " out" : "",
                    picks.getOrDefault(b.backend(), 0.0) / all, sums[0] / tries, sums[0], sums[1],
                    b.load() / 1e6, b.health(), b.correction(), b.warmth(), b.tries()));
        }
        passed.clear();
    }
}
