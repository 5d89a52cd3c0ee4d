package rowanmoor.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import rowanmoor.ControlApi.AdmissionMode;
import rowanmoor.ControlApi.Channel;
import rowanmoor.ControlApi.ClassSpec;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.DedupScope;
import rowanmoor.ControlApi.ReportColumns;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.ControlApi.Rules;
import rowanmoor.ControlApi.Settings;

/**
 * What all controllers and proxies of a site agree on: the {@code site} block.
 *
 * @param pathPrefixes by class: the path prefix of its requests
 * @param loadColumns names of the load figures, in the order in which reports carry them
 */
public record Site(List<String> zones, List<String> kinds, List<String> classNames, List<String> pathPrefixes,
        List<ClassSpec> classes, List<String> loadColumns, BackendChoice backendChoice, AdmissionMode admission, RetryPolicy retryPolicy,
        double tryTimeoutAims, int standingBackends, int ejectAfterFailures, long ejectNs, int proxies, boolean probesAllowed, long reportIntervalNs,
        double reportLinesPerSecond, double crossZonePrice, Rules rules, Channel channel) {

    /** How a proxy picks a line of its table. */
    public enum BackendChoice {
        /** At random by weight. */
        WEIGHTED_RANDOM,
        /** Draws two by weight and takes the one with fewer of its own requests out. */
        POWER_OF_TWO,
        /** Evenly by weight, in turn. */
        ROUND_ROBIN
    }

    private static final Set<String> COLUMNS = Set.of("inflight", "queue", "busy", "latency-ms", "rate",
            "fail-rate");
    private static final int CLASSES_MOST = 16;
    private static final int ZONES_MOST = 64;
    private static final int PROXIES_MOST = 65534;

    /** The block of a file, or with {@code site-from "FILE"} that of another, beside it. */
    public static Site of(Section root) throws ConfigException {
        if (!root.has("site-from")) {
            return read(root.section("site"));
        }
        Path other = Path.of(root.fileName()).resolveSibling(root.string("site-from"));
        Section its = Section.read(other);
        Site site = read(its.section("site"));
        its.throwIfInvalid();
        return site;
    }

    /** Reads the block. */
    static Site read(Section s) {
        List<String> zones = s.strings("zones", true);
        List<String> kinds = s.strings("kinds", true);
        unique(s, "zones", zones);
        unique(s, "kinds", kinds);
        List<String> names = new ArrayList<>();
        List<String> prefixes = new ArrayList<>();
        List<ClassSpec> classes = new ArrayList<>();
        for (Section c : s.sections("class")) {
            names.add(c.label());
            prefixes.add(c.string("prefix"));
            classes.add(classSpec(c, zones, kinds));
        }
        if (classes.isEmpty() || classes.size() > CLASSES_MOST) {
            s.addProblem("class", "1 to " + CLASSES_MOST + " are needed, not " + classes.size());
        }
        unique(s, "class", names);
        unique(s, "class", prefixes);
        List<String> columns = s.strings("load-report", false);
        columns.stream().filter(c -> !COLUMNS.contains(c)).forEach(c -> s.addProblem("load-report",
                "an unknown figure: " + c + "; there are " + String.join(", ", new TreeSet<>(COLUMNS))));
        Site site = new Site(zones, kinds, names, prefixes, classes, columns,
                s.oneOf("choice", Map.of("weighted", BackendChoice.WEIGHTED_RANDOM, "two", BackendChoice.POWER_OF_TWO, "round",
                        BackendChoice.ROUND_ROBIN),
                        BackendChoice.POWER_OF_TWO),
                s.oneOf("admission", Map.of("share", AdmissionMode.SHARE, "rate", AdmissionMode.RATE, "off",
                        AdmissionMode.OFF), AdmissionMode.RATE),
                s.oneOf("retry", Map.of("never", RetryPolicy.NEVER, "once-unrun", RetryPolicy.ONCE_UNRUN, "once",
                        RetryPolicy.ONCE, "twice", RetryPolicy.TWICE), RetryPolicy.ONCE_UNRUN),
                s.number("try-aims", 0.1, 10, 1.2), s.integer("standing", 1, 64, 5),
                s.integer("ejects", 0, 100, 5), s.durationNs("eject-for", "0s", "60s", "4s"),
                s.integer("proxies", 1, PROXIES_MOST), s.bool("probes", true),
                s.durationNs("period", "100ms", "60s", "1s"), s.ratePerSecond("intake", 1, 1e6),
                s.number("cross-zone-price", 0, 1, 0.05), rules(s.section("rules")),
                        channel(s.section("channel")));
        s.rejectUnknownKeys();
        return site;
    }

    private static void unique(Section s, String key, List<String> names) {
        if (names.stream().distinct().count() < names.size()) {
            s.addProblem(key, "a name stands twice: " + String.join(", ", names));
        }
        if (names.size() > ZONES_MOST) {
            s.addProblem(key, "more than " + ZONES_MOST);
        }
    }

    private static ClassSpec classSpec(Section c, List<String> zones, List<String> kinds) {
        long aim = c.durationNs("aim", "1ms", "1h");
        long deadline = c.durationNs("deadline", "1ms", "1h");
        if (deadline < aim) {
            c.addProblem("deadline", "is before the aim");
        }
        ClassSpec spec = new ClassSpec(aim, deadline, c.number("worth", 0, 1e6, 1),
                c.number("late-worth", 0, 1, 0),
                c.oneOf("effect", Map.of("safe", Idempotency.SAFE, "keyed", Idempotency.KEYED, "unsafe", Idempotency.UNSAFE),
                        null),
                c.oneOf("group", Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell", DedupScope.CELL), DedupScope.ALL),
                c.durationNs("window", "0s", "1h", "5s"), c.bool("write", false), false,
                places(c, "only-zones", zones), places(c, "only-kinds", kinds));
        c.rejectUnknownKeys();
        return spec;
    }

    private static Set<Integer> places(Section c, String key, List<String> names) {
        Set<Integer> places = new TreeSet<>();
        for (String name : c.strings(key, false)) {
            if (!names.contains(name)) {
                c.addProblem(key, "is not known: " + name);
            }
            places.add(names.indexOf(name));
        }
        return places;
    }

    private static Rules rules(Section r) {
        Rules rules = new Rules(r.durationNs("bare", "100ms", "60s"), r.durationNs("drain-grace", "100ms", "60s"),
                r.durationNs("cold", "0s", "10min"),
                r.number("cold-from", 0.01, 1), r.number("fall-multiple", 1, 100),
                r.durationNs("fall-span", "100ms", "60s"), r.durationNs("ask-within", "1s", "10min", "10s"));
        r.rejectUnknownKeys();
        return rules;
    }

    private static Channel channel(Section c) {
        Channel channel = new Channel(c.ratePerSecond("pace", 1, 1e7), c.number("head", 0, 1000, 4),
                c.number("backlog", 1, 1e7), c.integer("messages-most", 0, 10000, 0),
                c.durationNs("messages-over", "1s", "10min", "10s"), c.durationNs("late", "0s", "10s"),
                c.durationNs("latest", "0s", "30s"));
        c.rejectUnknownKeys();
        return channel;
    }

    /** What one instance of the module is told at its start. */
    public Settings settings(int instances) {
        return new Settings(instances, zones.size(), classes, true, probesAllowed, admission, ejectAfterFailures, proxies, 0,
                reportIntervalNs, reportLinesPerSecond, crossZonePrice, new ReportColumns(loadColumns.indexOf("queue"),
                        loadColumns.indexOf("busy")), rules, channel);
    }

    /** The class of a request's path, or -1: the longest prefix decides. */
    public int classIndex(String path) {
        int best = -1;
        for (int c = 0; c < pathPrefixes.size(); c++) {
            boolean fits = path.startsWith(pathPrefixes.get(c));
            if (fits && (best < 0 || pathPrefixes.get(c).length() > pathPrefixes.get(best).length())) {
                best = c;
            }
        }
        return best;
    }
}
