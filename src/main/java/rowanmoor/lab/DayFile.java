package rowanmoor.lab;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanmoor.config.ConfigException;
import rowanmoor.config.Section;
import rowanmoor.config.Site;
import rowanmoor.emulator.Model;
import rowanmoor.standin.BackendModel;
import rowanmoor.standin.Clients;

/**
 * The contents of a day file. Times are nanoseconds.
 *
 * @param settle time that proxies have to join before load and troubles begin
 * @param controllerZones each controller's zone, by rank
 * @param proxySkew spread of the load over proxies: standard deviation of its logarithm
 * @param notice time until the roster notices that a backend is gone or back
 * @param rate requests a second
 * @param rise ramp-up time in which the load rises from {@link Model#RAMP_START_FRACTION} of the rate to
 *     the full rate; 0 for none
 * @param swing fraction of the rate by which the load swings, with period {@code swingOver}
 * @param shares share of the requests, by class
 * @param work mean work of a request in seconds on a core of speed 1, by class
 */
public record DayFile(String name, long seed, long length, long settle, Site site,
        List<Integer> controllerZones,
        int proxies, double proxySkew, List<BackendGroup> groups, long notice, long rosterWait,
        long emptyHold,
        double rate, long rise, double swing, long swingOver, double[] shares, double[] work,
                Clients.RetryPolicy habits,
        List<Trouble> troubles, Map<String, Double> expectations) {

    /** Backends of one kind, in one zone or, with zone -1, spread over all zones. */
    public record BackendGroup(int kind, int zone, int count, double weight, int connections,
            BackendModel.Spec spec) { }

    private static final String SERVICE_KEY = "service";

    /** Reads a day file; throws a {@link ConfigError} that names every problem with file and line. */
    public static DayFile read(Path file) throws ConfigException {
        return read(Section.read(file));
    }

    /** Reads a day from a parsed document. */
    static DayFile read(Section root) throws ConfigException {
        Section d = root.section("day");
        Site site = Site.of(root);
        Section f = root.section("fleet");
        List<Integer> controllers = new ArrayList<>();
        for (String zone : f.strings("controllers", true)) {
            if (!site.zones().contains(zone)) {
                f.addProblem("controllers", "is not a zone of the site: " + zone);
            }
            controllers.add(Math.max(0, site.zones().indexOf(zone)));
        }
        List<BackendGroup> groups = new ArrayList<>();
        for (Section b : f.sections("backends")) {
            groups.add(group(b, site));
        }
        if (groups.isEmpty()) {
            f.addProblem("backends", "is missing");
        }
        Section r = root.section("roster");
        Section l = root.section("load");
        double[] shares = new double[site.classes().size()];
        double[] work = new double[site.classes().size()];
        for (Section c : l.sections("class")) {
            int cls = site.classNames().indexOf(c.label());
            double share = c.number("share", 0, 1);
            double seconds = c.durationNs("work", "1us", "60s") / 1e9;
            if (cls < 0) {
                c.addProblem("", "is not a class of the site");
            } else {
                shares[cls] = share;
                work[cls] = seconds;
            }
            c.rejectUnknownKeys();
        }
        if (Arrays.stream(shares).sum() <= 0) {
            l.addProblem("class", "no class has a share");
        }
        Section c = root.section("clients");
        DayFile day = new DayFile(d.label(), d.integer("seed", 0, Integer.MAX_VALUE, 1),
                d.durationNs("length", "1s", "1h"), d.durationNs("settle", "100ms", "60s", "3s"), site,
                List.copyOf(controllers), f.integer("proxies", 1, site.proxies()),
                f.number("proxy-skew", 0, 3, 0), List.copyOf(groups),
                r.durationNs("notice", "0s", "60s", "1s"), r.durationNs("wait", "100ms", "60s", "2s"),
                r.durationNs("empty-hold", "0s", "60s", "3s"), l.ratePerSecond("rate", 0.1, 100000),
                l.durationNs("rise", "0s", "1h", "0s"),
                l.number("swing", 0, 1, 0), l.durationNs("swing-over", "1s", "1h", "20s"), shares, work,
                new Clients.RetryPolicy(c.integer("retries", 0, 10, 0),
                c.durationNs("backoff", "0s", "60s", "100ms"),
                        c.number("try-share", 0.05, 1, 1)),
                troubles(root, site, controllers.size()), expectations(root, site));
        for (Section s : List.of(d, f, r, l, c)) {
            s.rejectUnknownKeys();
        }
        root.rejectUnknownKeys();
        root.throwIfInvalid();
        return day;
    }

    private static BackendGroup group(Section b, Site site) {
        int kind = site.kinds().indexOf(b.label());
        if (kind < 0) {
            b.addProblem("", "is not a kind of the site");
        }
        BackendModel.Spec spec = new BackendModel.Spec(b.integer("cores", 1, 1024),
                b.number("speed", 0.001, 1000, 1), b.integer("slots", 1, 100000),
                b.integer("queue", 0, 100000),
                b.number("cold-from", 0.01, 1, 1), b.durationNs("cold", "0s", "10min", "0s"),
                b.number("fall-multiple", 1, 1e6, site.rules().overloadFactor()),
                b.durationNs("fall-span", "100ms", "60s", site.rules().overloadSpan() / 1_000_000 + "ms"));
        int zone = b.has("zone") ? site.zones().indexOf(b.string("zone")) : -1;
        if (b.has("zone") && zone < 0) {
            b.addProblem("zone", "is not a zone of the site");
        }
        BackendGroup group = new BackendGroup(Math.max(0, kind), zone, b.integer("count", 1, 10000),
                b.number("weight", 0.001, 1e6, 1), b.integer("connections", 1, 100000, 1000), spec);
        b.rejectUnknownKeys();
        return group;
    }

    private static List<Trouble> troubles(Section root, Site site, int controllers) {
        List<Trouble> troubles = new ArrayList<>();
        for (Section block : root.sections("troubles")) {
            for (Section t : block.children()) {
                Trouble.Kind kind = Trouble.Kind.byConfigName().get(t.nodeName());
                if (kind == null) {
                    block.addProblem(t.nodeName(), "is not a kind of trouble; there are "
                            + String.join(", ", Trouble.Kind.byConfigName().keySet()));
                    continue;
                }
                int zone = -1;
                if (kind.needsZone()) {
                    zone = site.zones().indexOf(t.string("zone"));
                    if (zone < 0) {
                        t.addProblem("zone", "is not a zone of the site");
                    }
                }
                troubles.add(new Trouble(kind, t.durationNs("at", "0s", "1h"),
                        t.durationNs("for", "0s", "1h", "0s"),
                        kind.needsPart() ? t.number("part", 0, 1) : 1,
                        kind.needsSize() ? t.number("size", 0, 1e9) : t.number("size", 0, 1e9, 1), zone,
                        kind.needsController() ? t.integer("controller", 0, controllers - 1) : -1));
                t.rejectUnknownKeys();
            }
        }
        return List.copyOf(troubles);
    }

    private static Map<String, Double> expectations(Section root, Site site) {
        Map<String, Double> least = new TreeMap<>();
        for (Section e : root.sections("expect")) {
            if (e.has(SERVICE_KEY)) {
                least.put("", e.number(SERVICE_KEY, 0, 1));
            }
            for (Section c : e.sections("class")) {
                if (!site.classNames().contains(c.label())) {
                    c.addProblem("", "is not a class of the site");
                }
                least.put(c.label(), c.number(SERVICE_KEY, 0, 1));
                c.rejectUnknownKeys();
            }
            if (!e.has(SERVICE_KEY) && least.isEmpty()) {
                e.addProblem(SERVICE_KEY, "is missing");
            }
            e.rejectUnknownKeys();
        }
        return least;
    }

    /** A copy of the day with another seed. */
    public DayFile seed(long other) {
        return new DayFile(name, other, length, settle, site, controllerZones, proxies, proxySkew, groups,
                notice,
                rosterWait, emptyHold, rate, rise, swing, swingOver, shares, work, habits, troubles,
                        expectations);
    }

    /** A copy of the day with another rate and length, without troubles, swing and expectations. */
    public DayFile withoutTroubles(double otherRate, long otherLength) {
        return new DayFile(name, seed, otherLength, settle, site, controllerZones, proxies, proxySkew, groups,
                notice, rosterWait, emptyHold, otherRate, rise, 0, swingOver, shares, work, habits, List.of(),
                Map.of());
    }

    /**
     * A copy with another rate, length, mix and number of backends (in the same proportions), without
     * expectations.
     */
    public DayFile withVariant(double otherRate, long otherLength, double[] otherShares, int backends,
            boolean withTroubles) {
        return new DayFile(name, seed, otherLength, settle, site, controllerZones, proxies, proxySkew,
                scaledGroups(backends), notice, rosterWait, emptyHold, otherRate, rise, swing, swingOver,
                        otherShares,
                work, habits, withTroubles ? troubles : List.of(), Map.of());
    }

    /** Distributes the backends over the groups in proportion, by the largest remainders. */
    private List<BackendGroup> scaledGroups(int backends) {
        int now = backendCount();
        if (backends == now) {
            return groups;
        }
        int[] counts = new int[groups.size()];
        double[] remainders = new double[groups.size()];
        int assigned = 0;
        for (int g = 0; g < counts.length; g++) {
            double exact = groups.get(g).count() * (double) backends / now;
            counts[g] = (int) exact;
            remainders[g] = exact - counts[g];
            assigned += counts[g];
        }
        for (; assigned < backends; assigned++) {
            int largest = 0;
            for (int g = 1; g < remainders.length; g++) {
                largest = remainders[g] > remainders[largest] ? g : largest;
            }
            counts[largest]++;
            remainders[largest] = -1;
        }
        List<BackendGroup> all = new ArrayList<>();
        for (int g = 0; g < counts.length; g++) {
            BackendGroup group = groups.get(g);
            if (counts[g] > 0) {
                all.add(new BackendGroup(group.kind(), group.zone(), counts[g], group.weight(),
                        group.connections(), group.spec()));
            }
        }
        return List.copyOf(all);
    }

    /** The number of backends of all groups. */
    public int backendCount() {
        return groups.stream().mapToInt(BackendGroup::count).sum();
    }

    /** The offered rate over the day in requests per second, with bursts. */
    Clients.ArrivalRate rateAt() {
        double burstFactor = troubles.stream().filter(t -> t.kind() == Trouble.Kind.BURST)
                .mapToDouble(Trouble::size).reduce(1, (a, b) -> a * Math.max(1, b));
        return new Clients.ArrivalRate() {
            @Override
            public double perSecondAt(long time) {
                double current = rate * (1 + swing * Math.sin(2 * Math.PI * time / swingOver));
                current *= time >= rise ? 1 : Model.RAMP_START_FRACTION + (1 - Model.RAMP_START_FRACTION)
                        * time / rise;
                for (Trouble t : troubles) {
                    if (t.kind() == Trouble.Kind.BURST && time >= t.at() && time < t.end()) {
                        current *= t.size();
                    }
                }
                return current;
            }

            @Override
            public double maxPerSecond() {
                return rate * (1 + swing) * burstFactor;
            }
        };
    }
}
