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
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Availability;
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
 * All of a run but its controllers: roster, backends and links on one loop (the stage), proxies and
 * clients on theirs. Plays the day's troubles by the stage's timers. Build it before the loops run.
 */
final class Ground {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1000 * MILLI;
    private static final long PAUSE_EVERY = SECOND;
    private static final int FIRST_ZONE_NET = 10;

    private final DayFile day;
    private final Loop stage;
    private final Loop clientLoop;
    private final ProxyHost proxyHost;
    private final Controllers controllers;
    private final LongSupplier wall;
    private final Ledger ledger = new Ledger();
    private final List<BackendServer> backends = new ArrayList<>();
    private final Map<Backend, Evidence.Place> places = new TreeMap<>();
    private final List<List<Link>> links = new ArrayList<>();
    private final List<InetSocketAddress> proxyAddresses;
    private final List<Integer> proxyZones = new ArrayList<>();
    private final List<List<Backend>> standing = new ArrayList<>();
    private final Map<Long, Integer> ranks = new ConcurrentHashMap<>();
    private final long[] proxyWeightsMilli;
    private final long start;
    private final List<Outcome.BackendStats> met = new ArrayList<>();
    private long heightFrom;
    private RosterServer roster;
    private Clients clients;
    private final SplittableRandom troubleRandom;

    /** @param wall milliseconds since 1970, by which the roster states starts */
    Ground(DayFile day, Loop stage, Loop clientLoop, ProxyHost proxyHost, Controllers controllers,
            LongSupplier wall) throws IOException {
        this.day = day;
        this.stage = stage;
        this.clientLoop = clientLoop;
        this.proxyHost = proxyHost;
        this.controllers = controllers;
        this.wall = wall;
        this.troubleRandom = random(1);
        this.proxyWeightsMilli = proxyWeights();
        buildBackends();
        this.proxyAddresses = buildProxies();
        this.start = stage.now() + day.settle();
        for (int rank = 0; rank < day.controllerZones().size(); rank++) {
            startController(rank);
        }
        day.troubles().forEach(this::schedule);
        stage.at(start + Math.min(day.rise(), day.length() / 2), () -> measure(false));
        stage.at(start + day.length(), () -> measure(true));
        buildClients();
    }

    private SplittableRandom random(long purpose) {
        return new SplittableRandom(day.seed() * 1_000_003 + purpose);
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    // ---- building ------------------------------------------------------------------------------------

    private void buildBackends() throws IOException {
        roster = new RosterServer(stage, anyPort(), "backends");
        SplittableRandom random = random(2);
        int number = 0;
        for (DayFile.BackendGroup group : day.groups()) {
            for (int i = 0; i < group.count(); i++) {
                BackendServer server = new BackendServer(stage, anyPort(), group.spec(), group.connections(),
                        random.split(), ledger);
                int spread = number++ % day.site().zones().size();
                int zone = group.zone() >= 0 ? group.zone() : spread;
                backends.add(server);
                met.add(new Outcome.BackendStats());
                places.put(server.backend(), new Evidence.Place(zone, group.kind()));
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
            List<Link> its = new ArrayList<>();
            for (int c = 0; c < day.controllerZones().size(); c++) {
                its.add(new Link(stage, anyPort(), null));
            }
            links.add(its);
            List<Backend> first = standingTable(zone, random);
            standing.add(first);
            proxyZones.add(zone);
            configs.add(new ProxyConfig(day.site(), p, "proxy-" + p, zone,
                    day.rate() * proxyWeightsMilli[p] / sum, anyPort(), zoneAddress(zone, p),
                    its.stream().map(Link::address).toList(), p / zones % its.size(), 300 * MILLI, 3 * SECOND,
                    first.stream().map(Addresses::toSocketAddress).toList(), 15 * SECOND, 250 * MILLI, 4096,
                            ForwardingPolicy.defaults()));
        }
        return proxyHost.start(configs, standing, random.nextLong());
    }

    private List<Backend> standingTable(int zone, SplittableRandom random) {
        List<Backend> own = new ArrayList<>(places.keySet().stream().filter(b -> places.get(b).zone() == zone)
                .toList());
        List<Backend> from = own.size() >= 3 ? own : new ArrayList<>(places.keySet());
        Collections.shuffle(from, new Random(random.nextLong()));
        return from.stream().limit(day.site().standingBackends()).sorted().toList();
    }

    /** Loopback addresses tell a proxy's zone: 127.0.10.x is the first zone's. */
    private static InetSocketAddress zoneAddress(int zone, int proxy) {
        try {
            byte[] address = {127, 0, (byte) (FIRST_ZONE_NET + zone), (byte) (1 + proxy % 250)};
            return new InetSocketAddress(InetAddress.getByAddress(address), 0);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are always an address", e);
        }
    }

    private static int zoneOf(InetSocketAddress address) {
        return address.getAddress().getAddress()[2] - FIRST_ZONE_NET;
    }

    private void buildClients() {
        double[] weights = java.util.Arrays.stream(proxyWeightsMilli).asDoubleStream().toArray();
        List<Clients.Arrival> arrivals = Clients.drawArrivals(random(5), day.length(), day.rateAt(), day.shares(),
                day.work(), weights);
        clients = new Clients(clientLoop, day.site(), proxyAddresses, arrivals,
                day.habits(), start);
    }

    /** Notes how busy cores were while load was at its height. */
    private void measure(boolean end) {
        long now = stage.now();
        for (int b = 0; b < backends.size(); b++) {
            BackendModel model = backends.get(b).model();
            double sum = model.busySeconds(now);
            Outcome.BackendStats its = met.get(b);
            its.utilization = end ? (sum - its.utilization) / model.spec().cores() / ((now - heightFrom) / 1e9) : sum;
        }
        heightFrom = now;
    }

    /** What each backend came to, in the order of the day's groups; once the loops have ended. */
    List<Outcome.BackendStats> backendsMet() {
        Map<Backend, Outcome.BackendStats> by = new TreeMap<>();
        for (int b = 0; b < backends.size(); b++) {
            met.get(b).refusedConnections = backends.get(b).refusedConnections();
            by.put(backends.get(b).backend(), met.get(b));
        }
        for (Ledger.Entry entry : ledger.entries()) {
            if (entry.end == Ledger.End.SERVED) {
                by.get(entry.backend).served++;
            } else if (entry.end == Ledger.End.FULL) {
                by.get(entry.backend).rejectedFull++;
            }
        }
        return met;
    }

    // ---- controllers ---------------------------------------------------------------------------------

    private void startController(int rank) {
        try {
            controllers.start(rank, roster.address(), (its, at, epoch) -> {
                ranks.put(epoch, its);
                stage.post(() -> links.forEach(of -> of.get(its).setTarget(at)));
            });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void killController(int rank) {
        controllers.kill(rank);
        links.forEach(of -> of.get(rank).setTarget(null));
    }

    private void stallController(int rank, boolean on) {
        try {
            controllers.stall(rank, on);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ---- troubles ------------------------------------------------------------------------------------

    private void schedule(Trouble trouble) {
        stage.at(start + trouble.at(), () -> begin(trouble));
    }

    private void until(Trouble trouble, Runnable end) {
        stage.at(start + trouble.end(), end);
    }

    private void begin(Trouble t) {
        switch (t.kind()) {
            case CRASH -> crash(t, struck(t));
            case ZONE_LOSS -> crash(t, inZone(t.zone()));
            case SLOW -> each(t, b -> b.setSlowdown(t.size()), b -> b.setSlowdown(1));
            case FAST_ERRORS -> each(t, b -> b.setErrorFraction(t.size()), b -> b.setErrorFraction(0));
            case ANSWERS_LOST -> each(t, b -> b.setLostAnswerFraction(t.size()), b -> b.setLostAnswerFraction(0));
            case FALSE_REPORTS -> each(t, b -> b.setLoadReportFactor(t.size()), b -> b.setLoadReportFactor(1));
            case PAUSES -> struck(t).forEach(b -> pause(t, b));
            case BURST -> { } // its arrivals are drawn ahead
            case ZONE_CUT -> cutZone(t);
            case ROSTER_DOWN -> rosterDown(t);
            case ROSTER_EMPTY -> roster.setEmptyAnswers((int) t.size());
            case PROXIES_CUT -> {
                List<List<Link>> cut = struckLinks(t);
                cut.forEach(of -> of.forEach(l -> l.setPartitioned(true)));
                until(t, () -> cut.forEach(of -> of.forEach(l -> l.setPartitioned(false))));
            }
            case SLOW_READER -> {
                List<List<Link>> slow = struckLinks(t);
                slow.forEach(of -> of.forEach(l -> l.limitReturnRate((long) t.size())));
                until(t, () -> slow.forEach(of -> of.forEach(l -> l.limitReturnRate(0))));
            }
            case CONTROLLER_KILL -> {
                killController(t.controller());
                until(t, () -> startController(t.controller()));
            }
            case CONTROLLER_STALL -> {
                stallController(t.controller(), true);
                until(t, () -> stallController(t.controller(), false));
            }
            case DRAIN -> drain(t);
            default -> throw new IllegalStateException("no way to play " + t.kind());
        }
    }

    private <T> List<T> sample(List<T> all, double part) {
        List<T> mixed = new ArrayList<>(all);
        Collections.shuffle(mixed, new Random(troubleRandom.nextLong()));
        return mixed.stream().limit(Math.max(1, Math.round(part * all.size()))).toList();
    }

    private List<BackendServer> struck(Trouble t) {
        return sample(backends.stream().filter(BackendServer::isRunning).toList(), t.part());
    }

    private List<List<Link>> struckLinks(Trouble t) {
        return sample(links, t.part());
    }

    private List<BackendServer> inZone(int zone) {
        return backends.stream().filter(b -> places.get(b.backend()).zone() == zone).toList();
    }

    private void each(Trouble t, java.util.function.Consumer<BackendServer> on,
            java.util.function.Consumer<BackendServer> off) {
        List<BackendServer> struck = struck(t);
        struck.forEach(on);
        until(t, () -> struck.forEach(off));
    }

    private void pause(Trouble t, BackendServer backend) {
        if (stage.now() < start + t.end()) {
            backend.setStalled(true);
            stage.after((long) (t.size() * MILLI), () -> backend.setStalled(false));
            stage.after(PAUSE_EVERY + (long) (t.size() * MILLI), () -> pause(t, backend));
        }
    }

    /** The roster tells of a death, and of a return with its start, as late as it notices. */
    private void crash(Trouble t, List<BackendServer> struck) {
        for (BackendServer backend : struck) {
            RosterServer.Instance listed = roster.instance(backend.backend());
            backend.crash();
            stage.after(day.notice(), () -> {
                if (!backend.isRunning()) {
                    roster.update(listed.withAvailability(Availability.GONE));
                }
            });
            until(t, () -> {
                try {
                    backend.restart();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                RosterServer.Instance anew = listed.restarted(wall.getAsLong(), stage.now());
                stage.after(day.notice(), () -> roster.update(anew));
            });
        }
    }

    private void drain(Trouble t) {
        for (BackendServer backend : sample(inZone(t.zone()), t.part())) {
            RosterServer.Instance listed = roster.instance(backend.backend());
            if (listed != null) {
                roster.update(listed.withAvailability(Availability.DRAINING));
                until(t, () -> roster.update(listed));
            }
        }
    }

    private void rosterDown(Trouble t) {
        try {
            roster.setDown(true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        until(t, () -> {
            try {
                roster.setDown(false);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** Streams and requests across the cut stand still; within either side all goes on. */
    private void cutZone(Trouble t) {
        setCut(t.zone(), true);
        until(t, () -> setCut(t.zone(), false));
    }

    private void setCut(int zone, boolean on) {
        for (BackendServer backend : backends) {
            boolean inside = places.get(backend.backend()).zone() == zone;
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

    // ---- reading -------------------------------------------------------------------------------------

    long start() {
        return start;
    }

    /** Whether the load is over and all is answered; read on the clients' loop. */
    boolean done() {
        return clients.isDone();
    }

    Clients clients() {
        return clients;
    }

    /** What was seen; once the loops have ended. */
    Evidence evidence(long end) throws IOException {
        List<Evidence.Tapped> taps = new ArrayList<>(proxyHost.taps());
        taps.sort(Comparator.comparingLong(Evidence.Tapped::at));
        return new Evidence(day.site(), start, end, places, standing, taps, new HashMap<>(ranks), ledger,
                roster.answers());
    }

    /** The worst multiple of its capacity that was ever sent to a cold backend over a fall span. */
    double worstPush() {
        return backends.stream().mapToDouble(b -> b.model().maxColdOverload()).max().orElse(0);
    }
}
