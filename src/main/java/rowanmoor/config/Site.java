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
import rowanmoor.ControlApi.DedupScope;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.ReportColumns;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.ControlApi.Rules;
import rowanmoor.ControlApi.Settings;

/**
 * Configuration that all controllers and proxies of a site share: the {@code site} block.
 *
 * @param zones names of the zones, in order of their indices
 * @param kinds names of the kinds of backends, in order of their indices
 * @param classNames names of the request classes, in order of their indices
 * @param pathPrefixes path prefix of the requests of each class
 * @param loadColumns names of the load figures, in the order in which reports carry them
 * @param backendChoice how proxies pick a backend
 * @param retryPolicy retry policy of proxies for which no level sets one
 * @param tryTimeoutAims timeout of a try that another may follow, as a multiple of the class's aim
 * @param standingBackends number of backends in the table that a proxy uses before any controller sends one
 * @param ejectAfterFailures failures in a row after which a proxy avoids a backend; 0 for never
 * @param ejectNs how long a proxy then avoids the backend
 * @param proxies expected number of proxies in the site
 * @param probesAllowed whether controllers may probe backends
 * @param reportIntervalNs time between reports of a proxy
 * @param reportLinesPerSecond report lines that a controller receives per second
 * @param crossZonePrice cost of sending a request to another zone
 */
public record Site(List<String> zones, List<String> kinds, List<String> classNames, List<String> pathPrefixes,
        List<ClassSpec> classes, List<String> loadColumns, BackendChoice backendChoice,
        AdmissionMode admission, RetryPolicy retryPolicy, double tryTimeoutAims, int standingBackends,
        int ejectAfterFailures, long ejectNs, int proxies, boolean probesAllowed, long reportIntervalNs,
        double reportLinesPerSecond, double crossZonePrice, Rules rules, Channel channel) {

    /** How a proxy picks a line of its table. */
    public enum BackendChoice {
        /** At random, by weight. */
        WEIGHTED_RANDOM,
        /** Draws two by weight and takes the one with fewer requests in flight from this proxy. */
        POWER_OF_TWO,
        /** Evenly in turn, by weight. */
        ROUND_ROBIN
    }

    private static final Set<String> LOAD_COLUMNS = Set.of("inflight", "queue", "busy", "latency-ms", "rate",
            "fail-rate");
    private static final int MAX_CLASSES = 16;
    private static final int MAX_NAMES = 64;
    private static final int MAX_PROXIES = 65534;

    /**
     * Returns the {@code site} block of a document, or of the file that {@code site-from "FILE"} names,
     * relative to the document's file.
     */
    public static Site of(Section root) throws ConfigException {
        if (!root.has("site-from")) {
            return read(root.section("site"));
        }
        Path siteFile = Path.of(root.fileName()).resolveSibling(root.string("site-from"));
        Section siteRoot = Section.read(siteFile);
        Site site = read(siteRoot.section("site"));
        siteRoot.throwIfInvalid();
        return site;
    }

    static Site read(Section section) {
        List<String> zones = section.strings("zones", true);
        List<String> kinds = section.strings("kinds", true);
        checkNames(section, "zones", zones);
        checkNames(section, "kinds", kinds);
        List<String> names = new ArrayList<>();
        List<String> prefixes = new ArrayList<>();
        List<ClassSpec> classes = new ArrayList<>();
        for (Section block : section.sections("class")) {
            names.add(block.label());
            prefixes.add(block.string("prefix"));
            classes.add(readClass(block, zones, kinds));
        }
        if (classes.isEmpty() || classes.size() > MAX_CLASSES) {
            section.addProblem("class", "needs 1 to " + MAX_CLASSES + " blocks, not " + classes.size());
        }
        checkNames(section, "class", names);
        checkNames(section, "class", prefixes);
        List<String> columns = section.strings("load-report", false);
        columns.stream().filter(c -> !LOAD_COLUMNS.contains(c)).forEach(c -> section.addProblem("load-report",
                "unknown figure: " + c + "; known figures: "
                + String.join(", ", new TreeSet<>(LOAD_COLUMNS))));
        Site site = new Site(zones, kinds, names, prefixes, classes, columns,
                section.oneOf("choice", Map.of("weighted", BackendChoice.WEIGHTED_RANDOM, "two",
                        BackendChoice.POWER_OF_TWO, "round", BackendChoice.ROUND_ROBIN),
                        BackendChoice.POWER_OF_TWO),
                section.oneOf("admission", Map.of("share", AdmissionMode.SHARE, "rate",
                        AdmissionMode.RATE, "off", AdmissionMode.OFF), AdmissionMode.RATE),
                section.oneOf("retry", Map.of("never", RetryPolicy.NEVER, "once-unrun",
                        RetryPolicy.ONCE_UNRUN, "once", RetryPolicy.ONCE, "twice", RetryPolicy.TWICE),
                        RetryPolicy.ONCE_UNRUN),
                section.number("try-aims", 0.1, 10, 1.2), section.integer("standing", 1, 64, 5),
                section.integer("ejects", 0, 100, 5), section.durationNs("eject-for", "0s", "60s", "4s"),
                section.integer("proxies", 1, MAX_PROXIES), section.bool("probes", true),
                section.durationNs("period", "100ms", "60s", "1s"), section.ratePerSecond("intake", 1, 1e6),
                section.number("cross-zone-price", 0, 1, 0.05), readRules(section.section("rules")),
                readChannel(section.section("channel")));
        section.rejectUnknownKeys();
        return site;
    }

    private static void checkNames(Section section, String key, List<String> names) {
        if (names.stream().distinct().count() < names.size()) {
            section.addProblem(key, "duplicate name: " + String.join(", ", names));
        }
        if (names.size() > MAX_NAMES) {
            section.addProblem(key, "has more than " + MAX_NAMES + " names");
        }
    }

    private static ClassSpec readClass(Section section, List<String> zones, List<String> kinds) {
        long aim = section.durationNs("aim", "1ms", "1h");
        long deadline = section.durationNs("deadline", "1ms", "1h");
        if (deadline < aim) {
            section.addProblem("deadline", "is less than the aim");
        }
        ClassSpec spec = new ClassSpec(aim, deadline, section.number("worth", 0, 1e6, 1),
                section.number("late-worth", 0, 1, 0),
                section.oneOf("effect", Map.of("safe", Idempotency.SAFE, "keyed", Idempotency.KEYED, "unsafe",
                        Idempotency.UNSAFE), null),
                section.oneOf("group", Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell",
                        DedupScope.CELL), DedupScope.ALL),
                section.durationNs("window", "0s", "1h", "5s"), section.bool("write", false), false,
                readIndexes(section, "only-zones", zones), readIndexes(section, "only-kinds", kinds));
        section.rejectUnknownKeys();
        return spec;
    }

    private static Set<Integer> readIndexes(Section section, String key, List<String> names) {
        Set<Integer> indexes = new TreeSet<>();
        for (String name : section.strings(key, false)) {
            if (!names.contains(name)) {
                section.addProblem(key, "unknown name: " + name);
            }
            indexes.add(names.indexOf(name));
        }
        return indexes;
    }

    private static Rules readRules(Section section) {
        Rules rules = new Rules(section.durationNs("bare", "100ms", "60s"),
                section.durationNs("drain-grace", "100ms", "60s"),
                section.durationNs("cold", "0s", "10min"),
                section.number("cold-from", 0.01, 1), section.number("fall-multiple", 1, 100),
                section.durationNs("fall-span", "100ms", "60s"),
                section.durationNs("ask-within", "1s", "10min", "10s"));
        section.rejectUnknownKeys();
        return rules;
    }

    private static Channel readChannel(Section section) {
        Channel channel = new Channel(section.ratePerSecond("pace", 1, 1e7),
                section.number("head", 0, 1000, 4), section.number("backlog", 1, 1e7),
                section.integer("messages-most", 0, 10000, 0),
                section.durationNs("messages-over", "1s", "10min", "10s"),
                section.durationNs("late", "0s", "10s"), section.durationNs("latest", "0s", "30s"),
                true);
        section.rejectUnknownKeys();
        return channel;
    }

    /** Returns the settings of an instance of the routing policy. */
    public Settings settings(int instances) {
        return new Settings(instances, zones.size(), classes, true, probesAllowed, admission,
                ejectAfterFailures, proxies, 0, reportIntervalNs, reportLinesPerSecond, crossZonePrice,
                new ReportColumns(loadColumns.indexOf("queue"), loadColumns.indexOf("busy")), rules, channel);
    }

    /** Returns the index of the class with the longest prefix of a request's path, or -1. */
    public int classIndex(String path) {
        int best = -1;
        for (int c = 0; c < pathPrefixes.size(); c++) {
            boolean matches = path.startsWith(pathPrefixes.get(c));
            if (matches && (best < 0 || pathPrefixes.get(c).length() > pathPrefixes.get(best).length())) {
                best = c;
            }
        }
        return best;
    }
}
