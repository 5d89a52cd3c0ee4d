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
 * @param prefixes by class: the path prefix of its requests
 * @param columns names of the load figures, in the order in which reports carry them
 */
public record Site(List<String> zones, List<String> kinds, List<String> classNames, List<String> prefixes,
        List<ClassSpec> classes, List<String> columns, Choice choice, AdmissionMode admission, RetryPolicy usualRetry,
        double tryAims, int standing, int ejects, long ejectFor, int proxies, boolean mayProbe, long period,
        double intake, double crossZonePrice, Rules rules, Channel channel) {

    /** How a proxy picks a line of its table. */
    public enum Choice {
        /** At random by weight. */
        WEIGHTED,
        /** Draws two by weight and takes the one with fewer of its own requests out. */
        TWO,
        /** Evenly by weight, in turn. */
        ROUND
    }

    private static final Set<String> COLUMNS = Set.of("inflight", "queue", "busy", "latency-ms", "rate",
            "fail-rate");
    private static final int CLASSES_MOST = 16;
    private static final int ZONES_MOST = 64;
    private static final int PROXIES_MOST = 65534;

    /** The block of a file, or with {@code site-from "FILE"} that of another, beside it. */
    public static Site of(Section root) throws ConfigError {
        if (!root.has("site-from")) {
            return read(root.section("site"));
        }
        Path other = Path.of(root.file()).resolveSibling(root.text("site-from"));
        Section its = Section.read(other);
        Site site = read(its.section("site"));
        its.check();
        return site;
    }

    /** Reads the block. */
    static Site read(Section s) {
        List<String> zones = s.texts("zones", true);
        List<String> kinds = s.texts("kinds", true);
        unique(s, "zones", zones);
        unique(s, "kinds", kinds);
        List<String> names = new ArrayList<>();
        List<String> prefixes = new ArrayList<>();
        List<ClassSpec> classes = new ArrayList<>();
        for (Section c : s.sections("class")) {
            names.add(c.name());
            prefixes.add(c.text("prefix"));
            classes.add(classSpec(c, zones, kinds));
        }
        if (classes.isEmpty() || classes.size() > CLASSES_MOST) {
            s.problem("class", "1 to " + CLASSES_MOST + " are needed, not " + classes.size());
        }
        unique(s, "class", names);
        unique(s, "class", prefixes);
        List<String> columns = s.texts("load-report", false);
        columns.stream().filter(c -> !COLUMNS.contains(c)).forEach(c -> s.problem("load-report",
                "an unknown figure: " + c + "; there are " + String.join(", ", new TreeSet<>(COLUMNS))));
        Site site = new Site(zones, kinds, names, prefixes, classes, columns,
                s.word("choice", Map.of("weighted", Choice.WEIGHTED, "two", Choice.TWO, "round",
                        Choice.ROUND),
                        Choice.TWO),
                s.word("admission", Map.of("share", AdmissionMode.SHARE, "rate", AdmissionMode.RATE, "off",
                        AdmissionMode.OFF), AdmissionMode.RATE),
                s.word("retry", Map.of("never", RetryPolicy.NEVER, "once-unrun", RetryPolicy.ONCE_UNRUN, "once",
                        RetryPolicy.ONCE, "twice", RetryPolicy.TWICE), RetryPolicy.ONCE_UNRUN),
                s.number("try-aims", 0.1, 10, 1.2), s.whole("standing", 1, 64, 5),
                s.whole("ejects", 0, 100, 5), s.duration("eject-for", "0s", "60s", "4s"),
                s.whole("proxies", 1, PROXIES_MOST), s.flag("probes", true),
                s.duration("period", "100ms", "60s", "1s"), s.rate("intake", 1, 1e6),
                s.number("cross-zone-price", 0, 1, 0.05), rules(s.section("rules")),
                        channel(s.section("channel")));
        s.finish();
        return site;
    }

    private static void unique(Section s, String key, List<String> names) {
        if (names.stream().distinct().count() < names.size()) {
            s.problem(key, "a name stands twice: " + String.join(", ", names));
        }
        if (names.size() > ZONES_MOST) {
            s.problem(key, "more than " + ZONES_MOST);
        }
    }

    private static ClassSpec classSpec(Section c, List<String> zones, List<String> kinds) {
        long aim = c.duration("aim", "1ms", "1h");
        long deadline = c.duration("deadline", "1ms", "1h");
        if (deadline < aim) {
            c.problem("deadline", "is before the aim");
        }
        ClassSpec spec = new ClassSpec(aim, deadline, c.number("worth", 0, 1e6, 1),
                c.number("late-worth", 0, 1, 0),
                c.word("effect", Map.of("safe", Idempotency.SAFE, "keyed", Idempotency.KEYED, "unsafe", Idempotency.UNSAFE),
                        null),
                c.word("group", Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell", DedupScope.CELL), DedupScope.ALL),
                c.duration("window", "0s", "1h", "5s"), c.flag("write", false), false,
                places(c, "only-zones", zones), places(c, "only-kinds", kinds));
        c.finish();
        return spec;
    }

    private static Set<Integer> places(Section c, String key, List<String> names) {
        Set<Integer> places = new TreeSet<>();
        for (String name : c.texts(key, false)) {
            if (!names.contains(name)) {
                c.problem(key, "is not known: " + name);
            }
            places.add(names.indexOf(name));
        }
        return places;
    }

    private static Rules rules(Section r) {
        Rules rules = new Rules(r.duration("bare", "100ms", "60s"), r.duration("drain-grace", "100ms", "60s"),
                r.duration("cold", "0s", "10min"),
                r.number("cold-from", 0.01, 1), r.number("fall-multiple", 1, 100),
                r.duration("fall-span", "100ms", "60s"), r.duration("ask-within", "1s", "10min", "10s"));
        r.finish();
        return rules;
    }

    private static Channel channel(Section c) {
        Channel channel = new Channel(c.rate("pace", 1, 1e7), c.number("head", 0, 1000, 4),
                c.number("backlog", 1, 1e7), c.whole("messages-most", 0, 10000, 0),
                c.duration("messages-over", "1s", "10min", "10s"), c.duration("late", "0s", "10s"),
                c.duration("latest", "0s", "30s"));
        c.finish();
        return channel;
    }

    /** What one instance of the module is told at its start. */
    public Settings settings(int instances) {
        return new Settings(instances, zones.size(), classes, true, mayProbe, admission, ejects, proxies, 0,
                period, intake, crossZonePrice, new ReportColumns(columns.indexOf("queue"),
                        columns.indexOf("busy")), rules, channel);
    }

    /** The class of a request's path, or -1: the longest prefix decides. */
    public int classOf(String path) {
        int best = -1;
        for (int c = 0; c < prefixes.size(); c++) {
            boolean fits = path.startsWith(prefixes.get(c));
            if (fits && (best < 0 || prefixes.get(c).length() > prefixes.get(best).length())) {
                best = c;
            }
        }
        return best;
    }
}
