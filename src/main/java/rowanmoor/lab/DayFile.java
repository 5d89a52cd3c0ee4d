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
        List<Integer> controllerZones, int proxies, double proxySkew, List<BackendGroup> groups,
        long notice, long rosterWait, long emptyHold, double rate, long rise, double swing, long swingOver,
        double[] shares, double[] work, Clients.RetryPolicy habits, List<Trouble> troubles,
        Map<String, Double> expectations) {

    /** Backends of one kind, in one zone or, with zone -1, spread over all zones. */
    public record BackendGroup(int kind, int zone, int count, double weight, int connections,
            BackendModel.Spec spec) { }

    private static final String SERVICE_KEY = "service";

    /** Reads a day file; throws a {@link ConfigException} that names every problem with file and line. */
    public static DayFile read(Path file) throws ConfigException {
        return read(Section.read(file));
    }

    /** Reads a day from a parsed document. */
    static DayFile read(Section root) throws ConfigException {
        Section header = root.section("day");
        Site site = Site.of(root);
        Section fleet = root.section("fleet");
        List<Integer> controllers = new ArrayList<>();
        for (String zone : fleet.strings("controllers", true)) {
            if (!site.zones().contains(zone)) {
                fleet.addProblem("controllers", "is not a zone of the site: " + zone);
            }
            controllers.add(Math.max(0, site.zones().indexOf(zone)));
        }
        List<BackendGroup> groups = new ArrayList<>();
        for (Section group : fleet.sections("backends")) {
            groups.add(readGroup(group, site));
        }
        if (groups.isEmpty()) {
            fleet.addProblem("backends", "is missing");
        }
        Section roster = root.section("roster");
        Section load = root.section("load");
        double[] shares = new double[site.classes().size()];
        double[] work = new double[site.classes().size()];
        for (Section classLoad : load.sections("class")) {
            int cls = site.classNames().indexOf(classLoad.label());
            double share = classLoad.number("share", 0, 1);
            double seconds = classLoad.durationNs("work", "1us", "60s") / 1e9;
            if (cls < 0) {
                classLoad.addProblem("", "is not a class of the site");
            } else {
                shares[cls] = share;
                work[cls] = seconds;
            }
            classLoad.rejectUnknownKeys();
        }
        if (Arrays.stream(shares).sum() <= 0) {
            load.addProblem("class", "no class has a share");
        }
        Section clients = root.section("clients");
        DayFile day = new DayFile(header.label(), header.integer("seed", 0, Integer.MAX_VALUE, 1),
                header.durationNs("length", "1s", "1h"),
                header.durationNs("settle", "100ms", "60s", "3s"), site, List.copyOf(controllers),
                fleet.integer("proxies", 1, site.proxies()),
                fleet.number("proxy-skew", 0, 3, 0), List.copyOf(groups),
                roster.durationNs("notice", "0s", "60s", "1s"),
                roster.durationNs("wait", "100ms", "60s", "2s"),
                roster.durationNs("empty-hold", "0s", "60s", "3s"), load.ratePerSecond("rate", 0.1, 100000),
                load.durationNs("rise", "0s", "1h", "0s"), load.number("swing", 0, 1, 0),
                load.durationNs("swing-over", "1s", "1h", "20s"), shares, work,
                new Clients.RetryPolicy(clients.integer("retries", 0, 10, 0),
                        clients.durationNs("backoff", "0s", "60s", "100ms"),
                        clients.number("try-share", 0.05, 1, 1)),
                troubles(root, site, controllers.size()), expectations(root, site));
        for (Section section : List.of(header, fleet, roster, load, clients)) {
            section.rejectUnknownKeys();
        }
        root.rejectUnknownKeys();
        root.throwIfInvalid();
        return day;
    }

    private static BackendGroup readGroup(Section section, Site site) {
        int kind = site.kinds().indexOf(section.label());
        if (kind < 0) {
            section.addProblem("", "is not a kind of the site");
        }
        BackendModel.Spec spec = new BackendModel.Spec(section.integer("cores", 1, 1024),
                section.number("speed", 0.001, 1000, 1), section.integer("slots", 1, 100000),
                section.integer("queue", 0, 100000), section.number("cold-from", 0.01, 1, 1),
                section.durationNs("cold", "0s", "10min", "0s"),
                section.number("fall-multiple", 1, 1e6, site.rules().overloadFactor()),
                section.durationNs("fall-span", "100ms", "60s",
                        site.rules().overloadSpan() / 1_000_000 + "ms"));
        int zone = section.has("zone") ? site.zones().indexOf(section.string("zone")) : -1;
        if (section.has("zone") && zone < 0) {
            section.addProblem("zone", "is not a zone of the site");
        }
        BackendGroup group = new BackendGroup(Math.max(0, kind), zone, section.integer("count", 1, 10000),
                section.number("weight", 0.001, 1e6, 1), section.integer("connections", 1, 100000, 1000),
                spec);
        section.rejectUnknownKeys();
        return group;
    }

    private static List<Trouble> troubles(Section root, Site site, int controllers) {
        List<Trouble> troubles = new ArrayList<>();
        for (Section block : root.sections("troubles")) {
            for (Section section : block.children()) {
                Trouble.Kind kind = Trouble.Kind.byConfigName().get(section.nodeName());
                if (kind == null) {
                    block.addProblem(section.nodeName(), "is not a kind of trouble; there are "
                            + String.join(", ", Trouble.Kind.byConfigName().keySet()));
                    continue;
                }
                int zone = -1;
                if (kind.needsZone()) {
                    zone = site.zones().indexOf(section.string("zone"));
                    if (zone < 0) {
                        section.addProblem("zone", "is not a zone of the site");
                    }
                }
                troubles.add(new Trouble(kind, section.durationNs("at", "0s", "1h"),
                        section.durationNs("for", "0s", "1h", "0s"),
                        kind.needsPart() ? section.number("part", 0, 1) : 1,
                        kind.needsSize() ? section.number("size", 0, 1e9) : section.number("size", 0, 1e9, 1),
                        zone,
                        kind.needsController() ? section.integer("controller", 0, controllers - 1) : -1));
                section.rejectUnknownKeys();
            }
        }
        return List.copyOf(troubles);
    }

    private static Map<String, Double> expectations(Section root, Site site) {
        Map<String, Double> minServiceByClass = new TreeMap<>();
        for (Section section : root.sections("expect")) {
            if (section.has(SERVICE_KEY)) {
                minServiceByClass.put("", section.number(SERVICE_KEY, 0, 1));
            }
            for (Section classSection : section.sections("class")) {
                if (!site.classNames().contains(classSection.label())) {
                    classSection.addProblem("", "is not a class of the site");
                }
                minServiceByClass.put(classSection.label(), classSection.number(SERVICE_KEY, 0, 1));
                classSection.rejectUnknownKeys();
            }
            if (!section.has(SERVICE_KEY) && minServiceByClass.isEmpty()) {
                section.addProblem(SERVICE_KEY, "is missing");
            }
            section.rejectUnknownKeys();
        }
        return minServiceByClass;
    }

    /** A copy of the day with another seed. */
    public DayFile seed(long other) {
        return new DayFile(name, other, length, settle, site, controllerZones, proxies, proxySkew, groups,
                notice, rosterWait, emptyHold, rate, rise, swing, swingOver, shares, work, habits, troubles,
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
                otherShares, work, habits, withTroubles ? troubles : List.of(), Map.of());
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
        double burstFactor = troubles.stream().filter(trouble -> trouble.kind() == Trouble.Kind.BURST)
                .mapToDouble(Trouble::size).reduce(1, (a, b) -> a * Math.max(1, b));
        return new Clients.ArrivalRate() {
            @Override
            public double perSecondAt(long time) {
                double current = rate * (1 + swing * Math.sin(2 * Math.PI * time / swingOver));
                current *= time >= rise ? 1
                        : Model.RAMP_START_FRACTION + (1 - Model.RAMP_START_FRACTION) * time / rise;
                for (Trouble trouble : troubles) {
                    if (trouble.kind() == Trouble.Kind.BURST && time >= trouble.at()
                            && time < trouble.end()) {
                        current *= trouble.size();
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
