package rowanmoor.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.discovery.Addresses;
import rowanmoor.emulator.Outcome;
import rowanmoor.net.Loop;
import rowanmoor.proxy.ForwardingPolicy;
import rowanmoor.proxy.ProxyConfig;
import rowanmoor.standin.BackendModel;
import rowanmoor.standin.BackendServer;
import rowanmoor.standin.Clients;
import rowanmoor.standin.Ledger;
import rowanmoor.standin.Link;
import rowanmoor.standin.RosterServer;

/**
 * Everything in a run except the controllers: roster, backends and links on one loop (the main loop), proxies
 * and clients on theirs. Injects the day's troubles by timers of the main loop. Construct it before the loops
 * run.
 */
final class TestBed {

    private static final long NS_PER_MS = 1_000_000L;
    private static final long NS_PER_SECOND = 1000 * NS_PER_MS;
    private static final long PAUSE_INTERVAL_NS = NS_PER_SECOND;
    /** The third octet of the local addresses of proxies in the first zone; see {@link #zoneAddress}. */
    private static final int FIRST_ZONE_OCTET = 10;

    private final DayFile day;
    private final Loop mainLoop;
    private final Loop clientLoop;
    private final ProxyHost proxyHost;
    private final Controllers controllers;
    private final LongSupplier wallClockMs;
    private final Ledger ledger = new Ledger();
    private final List<BackendServer> backends = new ArrayList<>();
    private final Map<Backend, Evidence.Placement> placements = new TreeMap<>();
    /** By proxy, its links to each controller, by rank. */
    private final List<List<Link>> links = new ArrayList<>();
    private final List<InetSocketAddress> proxyAddresses;
    private final List<Integer> proxyZones = new ArrayList<>();
    private final List<List<Backend>> standingTables = new ArrayList<>();
    private final Map<Long, Integer> ranksByEpoch = new ConcurrentHashMap<>();
    /** Each proxy's share of the load, in thousandths of the median proxy's. */
    private final long[] proxyWeightsMilli;
    /** The time at which the load begins; troubles are timed from it. */
    private final long start;
    private final List<Outcome.BackendStats> backendTotals = new ArrayList<>();
    private long peakStart;
    private RosterServer roster;
    private Clients clients;
    private final SplittableRandom troubleRandom;

    /** @param wallClockMs milliseconds since 1970, in which the roster states start times */
    TestBed(DayFile day, Loop mainLoop, Loop clientLoop, ProxyHost proxyHost, Controllers controllers,
            LongSupplier wallClockMs) throws IOException {
        this.day = day;
        this.mainLoop = mainLoop;
        this.clientLoop = clientLoop;
        this.proxyHost = proxyHost;
        this.controllers = controllers;
        this.wallClockMs = wallClockMs;
        this.troubleRandom = random(1);
        this.proxyWeightsMilli = proxyWeights();
        buildBackends();
        this.proxyAddresses = buildProxies();
        this.start = mainLoop.now() + day.settle();
        for (int rank = 0; rank < day.controllerZones().size(); rank++) {
            startController(rank);
        }
        day.troubles().forEach(this::schedule);
        mainLoop.at(start + Math.min(day.rise(), day.length() / 2), () -> measureUtilization(false));
        mainLoop.at(start + day.length(), () -> measureUtilization(true));
        buildClients();
    }

    /** A generator for one purpose, so that a change in what one draws leaves the others as they are. */
    private SplittableRandom random(long purpose) {
        return new SplittableRandom(day.seed() * 1_000_003 + purpose);
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    // ---- setup ---------------------------------------------------------------------------------------

    private void buildBackends() throws IOException {
        roster = new RosterServer(mainLoop, anyPort(), "backends");
        SplittableRandom random = random(2);
        int number = 0;
        for (DayFile.BackendGroup group : day.groups()) {
            for (int i = 0; i < group.count(); i++) {
                BackendServer server = new BackendServer(mainLoop, anyPort(), group.spec(),
                        group.connections(), random.split(), ledger);
                int spread = number++ % day.site().zones().size();
                int zone = group.zone() >= 0 ? group.zone() : spread;
                backends.add(server);
                backendTotals.add(new Outcome.BackendStats());
                placements.put(server.backend(), new Evidence.Placement(zone, group.kind()));
                roster.update(new RosterServer.Instance(server.backend(), day.site().zones().get(zone),
                        day.site().kinds().get(group.kind()), group.weight(), Availability.READY, 0, 0));
            }
        }
    }

    private long[] proxyWeights() {
        Random random = new Random(day.seed() * 1_000_003 + 3);
        return IntStream.range(0, day.proxies()).mapToLong(i -> Math.max(1, Math.round(1000 * Math.exp(
                day.proxySkew() * random.nextGaussian())))).toArray();
    }

    private List<InetSocketAddress> buildProxies() throws IOException {
        SplittableRandom random = random(4);
        List<ProxyConfig> configs = new ArrayList<>();
        double sum = java.util.Arrays.stream(proxyWeightsMilli).sum();
        int zones = day.site().zones().size();
        for (int p = 0; p < day.proxies(); p++) {
            int zone = p % zones;
            List<Link> proxyLinks = new ArrayList<>();
            for (int c = 0; c < day.controllerZones().size(); c++) {
                proxyLinks.add(new Link(mainLoop, anyPort(), null));
            }
            links.add(proxyLinks);
            List<Backend> table = standingTable(zone, random);
            standingTables.add(table);
            proxyZones.add(zone);
            configs.add(new ProxyConfig(day.site(), p, "proxy-" + p, zone,
                    day.rate() * proxyWeightsMilli[p] / sum, anyPort(), zoneAddress(zone, p),
                    proxyLinks.stream().map(Link::address).toList(), p / zones % proxyLinks.size(),
                    300 * NS_PER_MS, 3 * NS_PER_SECOND,
                    table.stream().map(Addresses::toSocketAddress).toList(), 15 * NS_PER_SECOND,
                    250 * NS_PER_MS, 4096, ForwardingPolicy.defaults()));
        }
        return proxyHost.start(configs, standingTables, random.nextLong());
    }

    private List<Backend> standingTable(int zone, SplittableRandom random) {
        List<Backend> own = new ArrayList<>(placements.keySet().stream()
                .filter(b -> placements.get(b).zone() == zone)
                .toList());
        List<Backend> candidates = own.size() >= 3 ? own : new ArrayList<>(placements.keySet());
        Collections.shuffle(candidates, new Random(random.nextLong()));
        return candidates.stream().limit(day.site().standingBackends()).sorted().toList();
    }

    /** The local address of a proxy encodes its zone: 127.0.10.x is the first zone. */
    private static InetSocketAddress zoneAddress(int zone, int proxy) {
        try {
            byte[] address = {127, 0, (byte) (FIRST_ZONE_OCTET + zone), (byte) (1 + proxy % 250)};
            return new InetSocketAddress(InetAddress.getByAddress(address), 0);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are always an address", e);
        }
    }

    private static int zoneOf(InetSocketAddress address) {
        return address.getAddress().getAddress()[2] - FIRST_ZONE_OCTET;
    }

    private void buildClients() {
        double[] weights = java.util.Arrays.stream(proxyWeightsMilli).asDoubleStream().toArray();
        List<Clients.Arrival> arrivals = Clients.drawArrivals(random(5), day.length(), day.rateAt(),
                day.shares(), day.work(), weights);
        clients = new Clients(clientLoop, day.site(), proxyAddresses, arrivals, day.habits(), start);
    }

    /** Measures the utilization of the cores from the end of the ramp-up to the end of the load. */
    private void measureUtilization(boolean end) {
        long now = mainLoop.now();
        for (int b = 0; b < backends.size(); b++) {
            BackendModel model = backends.get(b).model();
            double sum = model.busySeconds(now);
            Outcome.BackendStats totals = backendTotals.get(b);
            totals.utilization = end ? (sum - totals.utilization) / model.spec().cores()
                    / ((now - peakStart) / 1e9) : sum;
        }
        peakStart = now;
    }

    /** Each backend's totals, in the order of the day's groups; call it after the loops have ended. */
    List<Outcome.BackendStats> backendTotals() {
        Map<Backend, Outcome.BackendStats> totalsByBackend = new TreeMap<>();
        for (int b = 0; b < backends.size(); b++) {
            backendTotals.get(b).refusedConnections = backends.get(b).refusedConnections();
            totalsByBackend.put(backends.get(b).backend(), backendTotals.get(b));
        }
        for (Ledger.Entry entry : ledger.entries()) {
            if (entry.end == Ledger.End.SERVED) {
                totalsByBackend.get(entry.backend).served++;
            } else if (entry.end == Ledger.End.FULL) {
                totalsByBackend.get(entry.backend).rejectedFull++;
            }
        }
        return backendTotals;
    }

    // ---- controllers ---------------------------------------------------------------------------------

    private void startController(int rank) {
        try {
            controllers.start(rank, roster.address(), (startedRank, address, epoch) -> {
                ranksByEpoch.put(epoch, startedRank);
                mainLoop.post(() -> links.forEach(of -> of.get(startedRank).setTarget(address)));
            });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void killController(int rank) {
        controllers.kill(rank);
        links.forEach(of -> of.get(rank).setTarget(null));
    }

    private void setControllerPaused(int rank, boolean on) {
        try {
            controllers.setPaused(rank, on);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ---- troubles ------------------------------------------------------------------------------------

    private void schedule(Trouble trouble) {
        mainLoop.at(start + trouble.at(), () -> startTrouble(trouble));
    }

    private void scheduleEnd(Trouble trouble, Runnable end) {
        mainLoop.at(start + trouble.end(), end);
    }

    private void startTrouble(Trouble t) {
        switch (t.kind()) {
            case CRASH -> crash(t, affectedBackends(t));
            case ZONE_LOSS -> crash(t, backendsInZone(t.zone()));
            case SLOW -> applyToBackends(t, b -> b.setSlowdown(t.size()), b -> b.setSlowdown(1));
            case FAST_ERRORS -> applyToBackends(t, b -> b.setErrorFraction(t.size()),
                    b -> b.setErrorFraction(0));
            case ANSWERS_LOST -> applyToBackends(t, b -> b.setLostAnswerFraction(t.size()),
                    b -> b.setLostAnswerFraction(0));
            case FALSE_REPORTS -> applyToBackends(t, b -> b.setLoadReportFactor(t.size()),
                    b -> b.setLoadReportFactor(1));
            case PAUSES -> affectedBackends(t).forEach(b -> pause(t, b));
            case BURST -> { } // its arrivals are drawn in advance
            case ZONE_CUT -> cutZone(t);
            case ROSTER_DOWN -> rosterDown(t);
            case ROSTER_EMPTY -> roster.setEmptyAnswers((int) t.size());
            case PROXIES_CUT -> {
                List<List<Link>> cut = affectedLinks(t);
                cut.forEach(of -> of.forEach(l -> l.setPartitioned(true)));
                scheduleEnd(t, () -> cut.forEach(of -> of.forEach(l -> l.setPartitioned(false))));
            }
            case SLOW_READER -> {
                List<List<Link>> slow = affectedLinks(t);
                slow.forEach(of -> of.forEach(l -> l.limitReturnRate((long) t.size())));
                scheduleEnd(t, () -> slow.forEach(of -> of.forEach(l -> l.limitReturnRate(0))));
            }
            case CONTROLLER_KILL -> {
                killController(t.controller());
                scheduleEnd(t, () -> startController(t.controller()));
            }
            case CONTROLLER_STALL -> {
                setControllerPaused(t.controller(), true);
                scheduleEnd(t, () -> setControllerPaused(t.controller(), false));
            }
            case DRAIN -> drain(t);
            default -> throw new IllegalStateException("unsupported kind of trouble: " + t.kind());
        }
    }

    /** Draws a fraction of a list, at least one element. */
    private <T> List<T> sample(List<T> all, double part) {
        List<T> shuffled = new ArrayList<>(all);
        Collections.shuffle(shuffled, new Random(troubleRandom.nextLong()));
        return shuffled.stream().limit(Math.max(1, Math.round(part * all.size()))).toList();
    }

    private List<BackendServer> affectedBackends(Trouble t) {
        return sample(backends.stream().filter(BackendServer::isRunning).toList(), t.part());
    }

    private List<List<Link>> affectedLinks(Trouble t) {
        return sample(links, t.part());
    }

    private List<BackendServer> backendsInZone(int zone) {
        return backends.stream().filter(b -> placements.get(b.backend()).zone() == zone).toList();
    }

    private void applyToBackends(Trouble t, java.util.function.Consumer<BackendServer> on,
            java.util.function.Consumer<BackendServer> off) {
        List<BackendServer> affected = affectedBackends(t);
        affected.forEach(on);
        scheduleEnd(t, () -> affected.forEach(off));
    }

    /** Stalls a backend again and again until the end of the trouble, whose size is the stall in ms. */
    private void pause(Trouble t, BackendServer backend) {
        if (mainLoop.now() < start + t.end()) {
            backend.setStalled(true);
            mainLoop.after((long) (t.size() * NS_PER_MS), () -> backend.setStalled(false));
            mainLoop.after(PAUSE_INTERVAL_NS + (long) (t.size() * NS_PER_MS), () -> pause(t, backend));
        }
    }

    /**
     * Crashes backends and restarts them at the end; the roster lists both changes after its notice delay.
     */
    private void crash(Trouble t, List<BackendServer> affected) {
        for (BackendServer backend : affected) {
            RosterServer.Instance listed = roster.instance(backend.backend());
            backend.crash();
            mainLoop.after(day.notice(), () -> {
                if (!backend.isRunning()) {
                    roster.update(listed.withAvailability(Availability.GONE));
                }
            });
            scheduleEnd(t, () -> {
                try {
                    backend.restart();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                RosterServer.Instance restarted = listed.restarted(wallClockMs.getAsLong(), mainLoop.now());
                mainLoop.after(day.notice(), () -> roster.update(restarted));
            });
        }
    }

    private void drain(Trouble t) {
        for (BackendServer backend : sample(backendsInZone(t.zone()), t.part())) {
            RosterServer.Instance listed = roster.instance(backend.backend());
            if (listed != null) {
                roster.update(listed.withAvailability(Availability.DRAINING));
                scheduleEnd(t, () -> roster.update(listed));
            }
        }
    }

    private void rosterDown(Trouble t) {
        try {
            roster.setDown(true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        scheduleEnd(t, () -> {
            try {
                roster.setDown(false);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** Stalls streams and requests that cross the cut; traffic within either side continues. */
    private void cutZone(Trouble t) {
        setCut(t.zone(), true);
        scheduleEnd(t, () -> setCut(t.zone(), false));
    }

    private void setCut(int zone, boolean on) {
        for (BackendServer backend : backends) {
            boolean inside = placements.get(backend.backend()).zone() == zone;
            backend.partitionFrom(on ? from -> zoneOf(from) >= 0 && zoneOf(from) < day.site().zones().size()
                    && (zoneOf(from) == zone) != inside : null);
        }
        for (int p = 0; p < links.size(); p++) {
            for (int c = 0; c < links.get(p).size(); c++) {
                if ((proxyZones.get(p) == zone) != (day.controllerZones().get(c) == zone)) {
                    links.get(p).get(c).setPartitioned(on);
                }
            }
        }
    }

    // ---- results -------------------------------------------------------------------------------------

    long start() {
        return start;
    }

    /** Whether the load is over and every request has its answer; call it on the clients' loop. */
    boolean isDone() {
        return clients.isDone();
    }

    Clients clients() {
        return clients;
    }

    /** The evidence of the run; call it after the loops have ended. */
    Evidence evidence(long end) throws IOException {
        List<Evidence.TapEvent> taps = new ArrayList<>(proxyHost.tapEvents());
        taps.sort(Comparator.comparingLong(Evidence.TapEvent::at));
        return new Evidence(day.site(), start, end, placements, standingTables, taps,
                new HashMap<>(ranksByEpoch), ledger, roster.answers());
    }

    /** The largest multiple of its capacity that was sent to a cold backend over an overload span. */
    double worstColdOverload() {
        return backends.stream().mapToDouble(b -> b.model().maxColdOverload()).max().orElse(0);
    }
}
