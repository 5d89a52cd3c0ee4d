package rowanmoor.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probed;
import rowanmoor.channel.Frame;
import rowanmoor.controller.Driver;
import rowanmoor.discovery.Prober;
import rowanmoor.proxy.Router;
import rowanmoor.proxy.Tallies;

/**
 * Plays one {@link Model}. The controllers' {@link Driver} (and in it the module) and the proxies'
 * {@link Router} are the running program's own; clients, network, backends and roster are modelled.
 * Requests live in plain arrays: none allocates anything while it passes.
 */
public final class Emulator {

    private static final int ARRIVAL = 0;
    private static final int AT_PROXY = 1;
    private static final int AT_BACKEND = 2;
    private static final int STATION = 3;
    private static final int DONE = 4;
    private static final int REFUSED = 5;
    private static final int LOST = 6;
    private static final int GIVE_UP = 7;
    private static final int RETRY = 8;
    private static final int REPORT = 9;
    private static final int TICK = 10;
    private static final int MESSAGE = 11;
    private static final int HEARD = 12;
    private static final int PROBED = 13;
    private static final int TROUBLE = 14;
    private static final int RELIEF = 15;
    private static final int NOTICED = 16;
    private static final int JOIN = 17;
    private static final int MEASURE = 18;
    private static final int NO_CONNECT = 19;
    private static final int TRY_OUT = 20;

    private static final long START = 1_000_000_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final double SECOND = 1e9;
    /** The latency that backends report is a mean that forgets over so many answers. */
    private static final double LATENCY_OVER = 8;
    private static final long TICK_GAP = 5 * MILLI;
    private static final long REDIAL = 300 * MILLI;
    private static final long SILENCE = 3000 * MILLI;
    private static final long CONNECTION_IDLE = 15_000 * MILLI;
    private static final int MATRIX_MOST = 8_000_000;
    private static final long TAIL = 30_000 * MILLI;

    private final Model model;
    private final EventQueue agenda = new EventQueue();
    private final SplittableRandom arrivals;
    private final SplittableRandom works;
    private final SplittableRandom ways;
    private final SimulatedBackend[] stations;
    private final Backend[] backends;
    private final Availability[] listed;
    private final long[] startedAt;
    private final Router[] routers;
    private final Tallies[] tallies;
    private final int[] joinedTo;
    private final boolean[] cut;
    private final long[] lastMessage;
    private final int[] stream;
    private final Driver[] drivers;
    private final boolean[] dead;
    private final long[] tickAt;
    private final long[] lastTick;
    private final long[] busyAt;
    private final double[] busyBefore;
    private final double[] busyPart;
    private final double[] latencies;
    private final double[] failing;
    private final double[] proxySums;
    private final double[] busyAtHeight;
    private long heightFrom;
    private final List<Object> parcels = new ArrayList<>();
    private final List<Integer> freeParcels = new ArrayList<>();
    private final Outcome outcome;
    private final double[] good;
    private final double[] asked;
    private long now = START;
    private boolean rosterDown;
    private double burst = 1;
    private long epochs;
    private long version = 1;
    private double stays;
    private long events;

    // Requests, by number; free ones are chained.
    private int[] cls = new int[1024];
    private int[] proxy = new int[1024];
    private int[] backend = new int[1024];
    private int[] triedFirst = new int[1024];
    private int[] triedLast = new int[1024];
    private int[] tryStamp = new int[1024];
    private long[] tryEnds = new long[1024];
    private int[] proxyTries = new int[1024];
    private int[] clientTries = new int[1024];
    private int[] stamp = new int[1024];
    private long[] arrivedAt = new long[1024];
    private long[] sentAt = new long[1024];
    private double[] work = new double[1024];
    private boolean[] out = new boolean[1024];
    private boolean[] connected = new boolean[1024];
    private int[] free = new int[1024];
    private int freeCount;
    private int used;

    // A job is one request's visit to a backend; it may outlive the try that it was for.
    private int[] jobOf = new int[1024];
    private int[] jobRequest = new int[1024];
    private int[] jobStamp = new int[1024];
    private long[] jobReached = new long[1024];
    private double[] jobWork = new double[1024];
    private int[] freeJobs = new int[1024];
    private int freeJobCount;
    private int usedJobs;

    // Connections: those of each proxy to each backend, idle ones and when last used; null where too many.
    // A pair's idle ones are a chain, the last used first.
    private final int[] idle;
    private int[] idleNext = new int[1024];
    private long[] idleSince = new long[1024];
    private int freeIdle = -1;
    private int usedIdle;
    private final int[] connections;

    private Emulator(Model model, long seed) {
        this.model = model;
        SplittableRandom root = new SplittableRandom(seed);
        this.arrivals = root.split();
        this.works = root.split();
        this.ways = root.split();
        SplittableRandom choices = root.split();
        int count = model.backends().size();
        int proxies = model.proxyZones().length;
        this.stations = new SimulatedBackend[count];
        this.backends = new Backend[count];
        this.listed = new Availability[count];
        this.startedAt = new long[count];
        for (int b = 0; b < count; b++) {
            stations[b] = new SimulatedBackend(model.backends().get(b), START);
            backends[b] = new Backend(0x0a0000000000L + ((long) b << 16) + 80);
            listed[b] = Availability.READY;
        }
        this.busyAt = new long[count];
        Arrays.fill(busyAt, START);
        this.busyBefore = new double[count];
        this.busyPart = new double[count];
        this.latencies = new double[count];
        this.failing = new double[count];
        this.busyAtHeight = new double[count];
        this.connections = new int[count];
        boolean bounded = model.backends().stream().anyMatch(m -> m.maxConnections() > 0);
        boolean counted = bounded && (long) proxies * count <= MATRIX_MOST;
        this.idle = counted ? new int[proxies * count] : null;
        if (counted) {
            Arrays.fill(idle, -1);
        }
        this.routers = new Router[proxies];
        this.tallies = new Tallies[proxies];
        this.joinedTo = new int[proxies];
        this.cut = new boolean[proxies];
        this.lastMessage = new long[proxies];
        this.stream = new int[proxies];
        this.proxySums = new double[proxies];
        double sum = 0;
        for (int p = 0; p < proxies; p++) {
            routers[p] = new Router(model.site(), standing(model.proxyZones()[p], choices), choices.split(),
                    START);
            tallies[p] = new Tallies(START);
            joinedTo[p] = -1;
            sum += model.proxyWeights()[p];
            proxySums[p] = sum;
        }
        int controllers = model.controllerZones().size();
        this.drivers = new Driver[controllers];
        this.dead = new boolean[controllers];
        this.tickAt = new long[controllers];
        this.lastTick = new long[controllers];
        int seconds = (int) (model.durationNs() / 1_000_000_000L) + 1;
        this.good = new double[seconds];
        this.asked = new double[seconds];
        this.outcome = new Outcome(list(model.classShares().length, Outcome.ClassStats::new),
                list(count, Outcome.BackendStats::new), list(controllers, Outcome.ControllerStats::new), good,
                        asked,
                0, 0);
        for (int c = 0; c < controllers; c++) {
            startController(c, choices.nextLong());
        }
        for (int p = 0; p < proxies; p++) {
            // Controllers are dealt within a zone, so that each has proxies of all zones.
            int first = p / model.site().zones().size() % controllers;
            agenda.add(START + (long) (choices.nextDouble() * MILLI * 500), JOIN, p, first);
            agenda.add(START + (long) (choices.nextDouble() * model.site().reportIntervalNs()), REPORT, p, 0);
        }
        for (int t = 0; t < model.faults().size(); t++) {
            agenda.add(loadFrom() + model.faults().get(t).startNs(), TROUBLE, t, 0);
        }
        agenda.add(loadFrom(), ARRIVAL, 0, 0);
        agenda.add(loadFrom() + Math.min(model.rampNs(), model.durationNs() / 2), MEASURE, 0, 0);
        agenda.add(loadFrom() + model.durationNs(), MEASURE, 1, 0);
    }

    private static <T> List<T> list(int count, java.util.function.Supplier<T> make) {
        List<T> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(make.get());
        }
        return all;
    }

    /** Plays a model to its end. The same model and seed give the same outcome. */
    public static Outcome run(Model model, long seed) {
        return new Emulator(model, seed).run();
    }

    private long loadFrom() {
        return START + model.settleNs();
    }

    private List<Backend> standing(int zone, SplittableRandom random) {
        List<Backend> own = new ArrayList<>();
        for (int b = 0; b < backends.length; b++) {
            if (model.backends().get(b).zone() == zone) {
                own.add(backends[b]);
            }
        }
        List<Backend> from = own.size() >= 3 ? own : new ArrayList<>(List.of(backends));
        List<Backend> drawn = new ArrayList<>();
        while (drawn.size() < model.site().standingBackends() && !from.isEmpty()) {
            drawn.add(from.remove(random.nextInt(from.size())));
        }
        return drawn;
    }

    private Outcome run() {
        long end = loadFrom() + model.durationNs() + TAIL;
        while (agenda.next() && agenda.time <= end) {
            now = Math.max(now, agenda.time);
            events++;
            run(agenda.kind, agenda.a, agenda.b);
            if (now > loadFrom() + model.durationNs() && used == freeCount && usedJobs == freeJobCount
                    && agenda.kind != REPORT) {
                break; // all is answered
            }
        }
        double held = 0;
        for (int b = 0; b < stations.length; b++) {
            Outcome.BackendStats met = outcome.backends().get(b);
            met.maxQueued = stations[b].mostWaiting();
            held += stations[b].heldSeconds(now);
        }
        for (int c = 0; c < drivers.length; c++) {
            settle(c);
        }
        double off = stays == 0 ? 0 : Math.abs(held - stays) / stays;
        return new Outcome(outcome.classes(), outcome.backends(), outcome.controllers(), good, asked, off,
                events);
    }

    /** Notes how busy cores were while load was at its height, from its beginning to its end. */
    private void measure(boolean end) {
        for (int b = 0; b < stations.length; b++) {
            double busy = stations[b].busySeconds(now);
            if (end) {
                outcome.backends().get(b).utilization = (busy - busyAtHeight[b]) / stations[b].machine().cores()
                        / Math.max(1e-9, (now - heightFrom) / SECOND);
            } else {
                busyAtHeight[b] = busy;
            }
        }
        heightFrom = end ? heightFrom : now;
    }

    private void run(int kind, int a, int b) {
        switch (kind) {
            case ARRIVAL -> arrive();
            case AT_PROXY -> atProxy(a, b);
            case AT_BACKEND -> atBackend(a, b);
            case STATION -> look(a, b);
            case DONE -> answered(a, b);
            case REFUSED -> follow(a, b, true, true);
            case LOST -> follow(a, b, false, false);
            case GIVE_UP -> giveUp(a, b);
            case NO_CONNECT -> follow(a, b, true, false);
            case TRY_OUT -> tryOut(a, b);
            case RETRY -> ask(a);
            case REPORT -> report(a);
            case TICK -> tick(a, b);
            case MESSAGE -> message(a, b);
            case HEARD -> heard(a, b);
            case PROBED -> probed(a, b);
            case TROUBLE -> begin(a);
            case RELIEF -> relieve(a);
            case NOTICED -> noticed(a);
            case JOIN -> join(a, b);
            case MEASURE -> measure(a == 1);
            default -> throw new IllegalStateException("no event of kind " + kind);
        }
    }

    // ---- clients -------------------------------------------------------------------------------------

    private void arrive() {
        if (now >= loadFrom() + model.durationNs() || model.requestsPerSecond() <= 0) {
            return;
        }
        double rate = model.requestsPerSecond() * burst * model.risen(now - loadFrom());
        double wait = -Math.log(1 - arrivals.nextDouble()) / rate * SECOND;
        if (now > loadFrom()) {
            int request = take();
            cls[request] = pick(model.classShares(), arrivals.nextDouble());
            proxy[request] = pickProxy(arrivals.nextDouble());
            work[request] = drawWork(cls[request]);
            arrivedAt[request] = now;
            clientTries[request] = 0;
            Outcome.ClassStats met = outcome.classes().get(cls[request]);
            met.offered++;
            asked[second(now)] += model.site().classes().get(cls[request]).worth();
            ask(request);
        }
        agenda.add(now + Math.max(1, (long) wait), ARRIVAL, 0, 0);
    }

    private int second(long time) {
        return (int) Math.min(asked.length - 1, (time - loadFrom()) / 1_000_000_000L);
    }

    private static int pick(double[] parts, double at) {
        double sum = 0;
        for (double part : parts) {
            sum += part;
        }
        double left = at * sum;
        for (int i = 0; i < parts.length; i++) {
            left -= parts[i];
            if (left < 0) {
                return i;
            }
        }
        return parts.length - 1;
    }

    private int pickProxy(double at) {
        double target = at * proxySums[proxySums.length - 1];
        int place = Arrays.binarySearch(proxySums, target);
        return Math.min(proxySums.length - 1, place < 0 ? -place - 1 : place + 1);
    }

    private double drawWork(int its) {
        double mean = model.workSeconds()[its];
        double cv = model.workCv()[its];
        if (cv == 0) {
            return mean;
        }
        if (cv == 1) {
            return -Math.log(1 - works.nextDouble()) * mean;
        }
        double sigma2 = Math.log(1 + cv * cv);
        double normal = Math.sqrt(-2 * Math.log(1 - works.nextDouble()))
                * Math.cos(2 * Math.PI * works.nextDouble());
        return mean * Math.exp(Math.sqrt(sigma2) * normal - sigma2 / 2);
    }

    private int take() {
        if (freeCount > 0) {
            return free[--freeCount];
        }
        if (used == cls.length) {
            grow();
        }
        return used++;
    }

    private void grow() {
        int room = 2 * used;
        cls = Arrays.copyOf(cls, room);
        proxy = Arrays.copyOf(proxy, room);
        backend = Arrays.copyOf(backend, room);
        triedFirst = Arrays.copyOf(triedFirst, room);
        triedLast = Arrays.copyOf(triedLast, room);
        tryStamp = Arrays.copyOf(tryStamp, room);
        tryEnds = Arrays.copyOf(tryEnds, room);
        proxyTries = Arrays.copyOf(proxyTries, room);
        clientTries = Arrays.copyOf(clientTries, room);
        stamp = Arrays.copyOf(stamp, room);
        arrivedAt = Arrays.copyOf(arrivedAt, room);
        sentAt = Arrays.copyOf(sentAt, room);
        jobOf = Arrays.copyOf(jobOf, room);
        work = Arrays.copyOf(work, room);
        out = Arrays.copyOf(out, room);
        connected = Arrays.copyOf(connected, room);
        free = Arrays.copyOf(free, room);
    }

    /** A client's try: it reaches its proxy at once, the proxy stands beside it. */
    private void ask(int request) {
        clientTries[request]++;
        proxyTries[request] = 0;
        backend[request] = -1;
        triedFirst[request] = -1;
        triedLast[request] = -1;
        out[request] = false;
        jobOf[request] = -1;
        int its = ++stamp[request];
        outcome.classes().get(cls[request]).tries++;
        long deadline = model.site().classes().get(cls[request]).deadline();
        long left = arrivedAt[request] + deadline - now;
        agenda.add(now + Math.max(1, Math.min(left, (long) (model.tryTimeoutFraction() * deadline))), GIVE_UP, request,
                its);
        agenda.add(now, AT_PROXY, request, its);
    }

    private void giveUp(int request, int its) {
        if (stamp[request] != its) {
            return;
        }
        if (out[request]) {
            cancelTry(request);
            routers[proxy[request]].onTryEnded(backends[backend[request]], true, now); // counts for nothing
        }
        tallies[proxy[request]].onUnanswered(cls[request]);
        tryFailed(request, false);
    }

    /** The proxy closes its try's connection: work that still waited is dropped, what runs runs on. */
    private void cancelTry(int request) {
        int job = jobOf[request];
        if (job >= 0 && stations[backend[request]].drop(now, job)) {
            left(job);
        }
        jobOf[request] = -1;
        tryStamp[request]++;
        out[request] = false;
        if (connected[request]) {
            disconnect(proxy[request], backend[request], false);
        }
    }

    /** A try that has a bound of its own took longer: the proxy gives it up and may try elsewhere. */
    private void tryOut(int request, int its) {
        if (tryStamp[request] == its && out[request] && tryEnds[request] == now) {
            cancelTry(request);
            Backend tried = backends[backend[request]];
            routers[proxy[request]].onTryEnded(tried, false, now);
            tallies[proxy[request]].onTryEnded(tried, false, now - sentAt[request], List.of());
            followOn(request, false, false);
        }
    }

    private void tryFailed(int request, boolean refused) {
        stamp[request]++;
        tryStamp[request]++;
        var spec = model.site().classes().get(cls[request]);
        boolean may = refused || spec.idempotency() == Idempotency.SAFE;
        if (may && clientTries[request] <= model.maxClientRetries()
                && now + model.retryBackoffNs() < arrivedAt[request] + spec.deadline()) {
            agenda.add(now + model.retryBackoffNs(), RETRY, request, 0);
        } else {
            outcome.classes().get(cls[request]).failed++;
            release(request);
        }
    }

    private void release(int request) {
        stamp[request]++;
        tryStamp[request]++;
        free[freeCount++] = request;
    }

    // ---- proxies -------------------------------------------------------------------------------------

    private void atProxy(int request, int its) {
        if (stamp[request] != its) {
            return;
        }
        int p = proxy[request];
        int c = cls[request];
        if (proxyTries[request] == 0) {
            tallies[p].onRequest(c);
            if (!routers[p].tryAdmit(c, now)) {
                outcome.classes().get(c).rejectedByLevel++;
                tryFailed(request, true);
                return;
            }
        }
        Backend picked = routers[p].pick(c, tried(request), now);
        if (picked == null) {
            outcome.classes().get(c).noBackend++;
            tallies[p].onUnanswered(c);
            tryFailed(request, true);
            return;
        }
        int b = (int) (picked.id() >> 16 & 0xffffff);
        backend[request] = b;
        proxyTries[request]++;
        sentAt[request] = now;
        out[request] = true;
        routers[p].onTrySent(picked);
        int mine = ++tryStamp[request];
        long within = routers[p].tryTimeoutNs(c);
        if (within > 0) {
            tryEnds[request] = now + within;
            agenda.add(now + within, TRY_OUT, request, mine);
        }
        connected[request] = connect(p, b);
        if (!connected[request]) {
            // The system takes the connection and the request; then the backend closes: no proof of anything.
            outcome.backends().get(b).refusedConnections++;
            agenda.add(now + 2 * way(p, b), LOST, request, mine);
            return;
        }
        agenda.add(now + way(p, b), AT_BACKEND, request, mine);
    }

    private Set<Backend> tried(int request) {
        int first = triedFirst[request];
        int last = triedLast[request];
        return first < 0 ? Set.of() : first == last ? Set.of(backends[first])
                : Set.of(backends[first], backends[last]);
    }

    private long way(int p, int b) {
        boolean same = model.proxyZones()[p] == model.backends().get(b).zone();
        long mean = same ? model.sameZoneDelayNs() : model.crossZoneDelayNs();
        return (long) (mean * (0.75 + 0.5 * ways.nextDouble()));
    }

    /** A connection that is free, or a new one if the backend takes more. */
    private boolean connect(int p, int b) {
        if (idle == null) {
            return true;
        }
        int place = p * stations.length + b;
        if (idle[place] >= 0) {
            int taken = idle[place];
            idle[place] = idleNext[taken];
            idleNext[taken] = freeIdle;
            freeIdle = taken;
            return true;
        }
        int most = model.backends().get(b).maxConnections();
        if (most > 0 && connections[b] >= most) {
            return false;
        }
        connections[b]++;
        Outcome.BackendStats met = outcome.backends().get(b);
        met.maxConnections = Math.max(met.maxConnections, connections[b]);
        return true;
    }

    private void disconnect(int p, int b, boolean kept) {
        if (idle != null && kept && routers[p].uses(backends[b])) {
            int place = p * stations.length + b;
            int its = freeIdle;
            if (its >= 0) {
                freeIdle = idleNext[its];
            } else {
                if (usedIdle == idleNext.length) {
                    idleNext = Arrays.copyOf(idleNext, 2 * usedIdle);
                    idleSince = Arrays.copyOf(idleSince, 2 * usedIdle);
                }
                its = usedIdle++;
            }
            idleNext[its] = idle[place];
            idleSince[its] = now;
            idle[place] = its;
        } else if (idle != null) {
            connections[b]--;
        }
    }

    private void endTry(int request, boolean well, boolean kept) {
        int p = proxy[request];
        int b = backend[request];
        out[request] = false;
        routers[p].onTryEnded(backends[b], well, now);
        tallies[p].onTryEnded(backends[b], well, now - sentAt[request], List.of());
        if (connected[request]) {
            disconnect(p, b, kept);
        }
    }

    private void answered(int request, int its) {
        if (tryStamp[request] != its) {
            return;
        }
        endTry(request, true, true);
        var spec = model.site().classes().get(cls[request]);
        Outcome.ClassStats met = outcome.classes().get(cls[request]);
        long took = now - arrivedAt[request];
        if (took <= spec.aim()) {
            met.good++;
            good[second(arrivedAt[request])] += spec.worth();
        } else {
            met.late++;
            good[second(arrivedAt[request])] += spec.worth() * spec.lateWorth();
        }
        met.latency.recordValue(Math.min(took / 1000, met.latency.getHighestTrackableValue()));
        release(request);
    }

    /**
     * A try failed.
     *
     * @param neverRan whether that is proved
     * @param toldSo whether the client hears of it if no other try follows: a 503 of the backend's own
     */
    private void follow(int request, int its, boolean neverRan, boolean toldSo) {
        if (tryStamp[request] == its) {
            endTry(request, false, toldSo); // a backend that answers keeps its connection
            followOn(request, neverRan, toldSo);
        }
    }

    private void followOn(int request, boolean neverRan, boolean toldSo) {
        long left = arrivedAt[request] + model.site().classes().get(cls[request]).deadline() - now;
        if (routers[proxy[request]].mayRetry(cls[request], proxyTries[request], neverRan, left)) {
            triedLast[request] = backend[request];
            triedFirst[request] = triedFirst[request] < 0 ? backend[request] : triedFirst[request];
            jobOf[request] = -1;
            atProxy(request, stamp[request]);
        } else {
            tallies[proxy[request]].onUnanswered(cls[request]);
            tryFailed(request, toldSo);
        }
    }

    private void report(int p) {
        int c = joinedTo[p];
        if (c >= 0 && !cut[p]) {
            Frame.Report report = tallies[p].takeReport(now);
            if (!report.tallies().isEmpty() || !report.usages().isEmpty()) {
                agenda.add(now + model.sameZoneDelayNs(), HEARD, p, parcel(withLoad(report)));
            }
        }
        if (idle != null) {
            dropIdle(p);
        }
        if (now < loadFrom() + model.durationNs() + TAIL) {
            agenda.add(now + model.site().reportIntervalNs(), REPORT, p, 0);
        }
    }

    /** Load figures ride with answers: the newest at the time of the report stands for them. */
    private Frame.Report withLoad(Frame.Report report) {
        if (model.site().loadColumns().isEmpty()) {
            return report;
        }
        return new Frame.Report(report.tallies().stream().map(t -> new Frame.Tally(t.backend(), t.tries(),
                t.failed(), t.latencySum(), t.span(), t.tries() == t.failed() ? List.of()
                        : load((int) (t.backend().id() >> 16 & 0xffffff)))).toList(), report.usages());
    }

    private void dropIdle(int p) {
        for (int b = 0; b < stations.length; b++) {
            int place = p * stations.length + b;
            if (idle[place] >= 0) {
                long before = routers[p].uses(backends[b]) ? now - CONNECTION_IDLE : Long.MAX_VALUE;
                closeBefore(place, b, before);
            }
        }
    }

    /** Closes a pair's connections that were last used before a time: the end of its chain. */
    private void closeBefore(int place, int b, long before) {
        int above = -1;
        int at = idle[place];
        while (at >= 0 && idleSince[at] >= before) {
            above = at;
            at = idleNext[at];
        }
        if (above < 0) {
            idle[place] = -1;
        } else {
            idleNext[above] = -1;
        }
        while (at >= 0) {
            int next = idleNext[at];
            idleNext[at] = freeIdle;
            freeIdle = at;
            connections[b]--;
            at = next;
        }
    }

    // ---- backends ------------------------------------------------------------------------------------

    private void atBackend(int request, int its) {
        if (tryStamp[request] != its) {
            return;
        }
        int b = backend[request];
        SimulatedBackend station = stations[b];
        long back = now + way(proxy[request], b);
        if (station.isDown()) {
            agenda.add(back, NO_CONNECT, request, its);
            return;
        }
        if (failing[b] > 0 && works.nextDouble() < failing[b]) {
            agenda.add(back, LOST, request, its);
            return;
        }
        int job = takeJob(request, its);
        if (!station.offer(now, job, work[request])) {
            freeJobs[freeJobCount++] = job;
            outcome.backends().get(b).rejectedFull++;
            agenda.add(back, REFUSED, request, its);
            return;
        }
        jobOf[request] = job;
        plan(b);
    }

    private int takeJob(int request, int its) {
        if (freeJobCount == 0 && usedJobs == jobRequest.length) {
            int room = 2 * usedJobs;
            jobRequest = Arrays.copyOf(jobRequest, room);
            jobStamp = Arrays.copyOf(jobStamp, room);
            jobReached = Arrays.copyOf(jobReached, room);
            jobWork = Arrays.copyOf(jobWork, room);
            freeJobs = Arrays.copyOf(freeJobs, room);
        }
        int job = freeJobCount > 0 ? freeJobs[--freeJobCount] : usedJobs++;
        jobRequest[job] = request;
        jobStamp[job] = its;
        jobReached[job] = now;
        jobWork[job] = work[request];
        return job;
    }

    private void plan(int b) {
        long next = stations[b].nextAt();
        if (next != Long.MAX_VALUE) {
            agenda.add(next, STATION, b, stations[b].restamp());
        }
    }

    private void look(int b, int its) {
        SimulatedBackend station = stations[b];
        if (station.stamp() != its) {
            return;
        }
        for (int job = station.ended(now); job >= 0; job = station.ended(now)) {
            Outcome.BackendStats met = outcome.backends().get(b);
            met.served++;
            met.staySeconds += (now - jobReached[job]) / SECOND;
            met.workSeconds += jobWork[job];
            latencies[b] += ((now - jobReached[job]) / (double) MILLI - latencies[b]) / LATENCY_OVER;
            int request = jobRequest[job];
            agenda.add(now + way(proxy[request], b), DONE, request, jobStamp[job]);
            left(job);
            for (int next = station.pollWaiting(); next >= 0; next = station.pollWaiting()) {
                station.beginWaited(next, jobWork[next]);
            }
        }
        plan(b);
    }

    /** A job is over, one way or the other. */
    private void left(int job) {
        double stay = (now - jobReached[job]) / SECOND;
        stays += stay;
        Outcome.ClassStats met = outcome.classes().get(cls[jobRequest[job]]);
        met.totalStaySeconds += stay;
        met.stayCount++;
        freeJobs[freeJobCount++] = job;
    }

    private List<Double> load(int b) {
        SimulatedBackend station = stations[b];
        if (now - busyAt[b] > 300 * MILLI) {
            double busy = station.busySeconds(now);
            busyPart[b] = Math.min(1, (busy - busyBefore[b]) / ((now - busyAt[b]) / SECOND)
                    / station.machine().cores());
            busyBefore[b] = busy;
            busyAt[b] = now;
        }
        List<Double> figures = new ArrayList<>();
        for (String column : model.site().loadColumns()) {
            figures.add(switch (column) {
                case "queue" -> (double) station.waiting();
                case "inflight" -> (double) station.held();
                case "busy" -> busyPart[b];
                case "latency-ms" -> latencies[b];
                default -> 0.0;
            });
        }
        return figures;
    }

    // ---- controllers ---------------------------------------------------------------------------------

    private int parcel(Object object) {
        if (freeParcels.isEmpty()) {
            parcels.add(object);
            return parcels.size() - 1;
        }
        int place = freeParcels.remove(freeParcels.size() - 1);
        parcels.set(place, object);
        return place;
    }

    private Object open(int place) {
        freeParcels.add(place);
        return parcels.set(place, null);
    }

    /** A message under way to a proxy's stream. */
    private record Sent(int stream, Frame frame) { }

    private final class Surroundings implements Driver.Environment {
        private final int rank;

        Surroundings(int rank) {
            this.rank = rank;
        }

        @Override
        public void watch(boolean on) {
            agenda.add(now + 2 * model.sameZoneDelayNs(), NOTICED, rank, 0);
        }

        @Override
        public void probe(Backend its) {
            int b = (int) (its.id() >> 16 & 0xffffff);
            agenda.add(now + 2 * model.sameZoneDelayNs(), PROBED, rank, b);
        }

        @Override
        public void send(int p, Frame frame) {
            long late = (long) (model.site().channel().typicalDelay() * (0.5 + ways.nextDouble()));
            lastMessage[p] = Math.max(lastMessage[p], now + late);
            agenda.add(lastMessage[p], MESSAGE, p, parcel(new Sent(stream[p], frame)));
        }

        @Override
        public void log(String text) { }

        @Override
        public void onDecision(long at, List<rowanmoor.ControlApi.Event> heard,
                List<rowanmoor.ControlApi.Action> ordered, long took) {
            outcome.controllers().get(rank).decisions++;
        }
    }

    private void startController(int rank, long seed) {
        drivers[rank] = new Driver(model.site().settings(drivers.length), seed, ++epochs, now,
                new Surroundings(rank), () -> 0);
        drivers[rank].onMembers(new Members(CatalogUpdateKind.CACHED, version, List.of()));
        dead[rank] = false;
        tickAt[rank] = Long.MAX_VALUE;
        tickBy(rank, now);
    }

    private void settle(int rank) {
        Outcome.ControllerStats met = outcome.controllers().get(rank);
        met.maxQueuedLines = Math.max(met.maxQueuedLines, drivers[rank].maxQueuedLines());
        met.totalQueuedLines += drivers[rank].totalQueuedLines();
        met.maxPendingReportLines = Math.max(met.maxPendingReportLines, drivers[rank].maxPendingReportLines());
    }

    private void tickBy(int rank, long time) {
        long at = Math.max(time, lastTick[rank] + TICK_GAP);
        if (!dead[rank] && at < tickAt[rank]) {
            tickAt[rank] = at;
            agenda.add(at, TICK, rank, (int) epochs);
        }
    }

    private void tick(int rank, int epoch) {
        if (dead[rank] || tickAt[rank] != now) {
            return; // an earlier tick took its place, or its process is gone
        }
        tickAt[rank] = Long.MAX_VALUE;
        lastTick[rank] = now;
        drivers[rank].tick(now);
        long next = drivers[rank].nextTickAt();
        if (next != Long.MAX_VALUE) {
            tickBy(rank, Math.max(next, now));
        }
    }

    /** A proxy calls a controller, or the next one if that is gone. */
    private void join(int p, int rank) {
        if (joinedTo[p] >= 0) {
            return;
        }
        if (dead[rank] || cut[p]) {
            agenda.add(now + (long) (REDIAL * (0.5 + ways.nextDouble())), JOIN, p,
                    (rank + 1) % drivers.length);
            return;
        }
        joinedTo[p] = rank;
        stream[p]++;
        lastMessage[p] = now;
        boolean fresh = routers[p].hasOnlyStandingTable();
        routers[p].onStreamOpened();
        double rate = model.requestsPerSecond() * model.proxyWeights()[p] / proxySums[proxySums.length - 1];
        drivers[rank].onProxyJoined(now, new Frame.Hello(Frame.PROTOCOL_VERSION, p, p, model.proxyZones()[p], rate, fresh,
                routers[p].epoch(), routers[p].version(), "p"));
        tickBy(rank, now);
    }

    private void message(int p, int place) {
        Sent sent = (Sent) open(place);
        if (sent.stream() != stream[p] || joinedTo[p] < 0 || cut[p]) {
            return; // lost with its stream
        }
        if (sent.frame() instanceof Frame.Snapshot snapshot) {
            routers[p].apply(snapshot);
        } else if (sent.frame() instanceof Frame.Update update
                && routers[p].apply(update) == Router.UpdateResult.APPLIED) {
            if (idle != null) {
                dropIdle(p); // connections to backends that no table names any more are closed at once
            }
            for (Frame.Order order : update.orders()) {
                if (order instanceof Frame.Mark mark) {
                    agenda.add(now + model.sameZoneDelayNs(), HEARD, p, parcel(new Frame.Applied(update.epoch(),
                            update.version(), mark.number())));
                }
            }
        }
    }

    private void heard(int p, int place) {
        Frame frame = (Frame) open(place);
        int rank = joinedTo[p];
        if (rank < 0 || dead[rank]) {
            return;
        }
        if (frame instanceof Frame.Applied applied) {
            drivers[rank].onApplied(now, p, applied);
        } else if (frame instanceof Frame.Report report) {
            drivers[rank].onReport(p, report);
        }
        tickBy(rank, now);
    }

    private void probed(int rank, int b) {
        if (!dead[rank]) {
            boolean down = stations[b].isDown();
            int most = model.backends().get(b).maxConnections();
            boolean full = idle != null && most > 0 && connections[b] >= most; // a probe needs one of its own
            boolean up = !down && !full;
            drivers[rank].onProbeResult(new Probed(backends[b], up, up ? Prober.STATUS_OK : down ? Prober.STATUS_UNREACHABLE
                    : Prober.STATUS_CONNECTION_LOST, 2 * model.sameZoneDelayNs(), up ? load(b) : List.of()));
            tickBy(rank, now);
        }
    }

    /** A controller asks the roster, or hears of a change. */
    private void noticed(int rank) {
        if (dead[rank]) {
            return;
        }
        if (rosterDown) {
            drivers[rank].onMembers(new Members(CatalogUpdateKind.FAILED, version, List.of()));
        } else {
            List<Member> members = new ArrayList<>();
            for (int b = 0; b < backends.length; b++) {
                Model.BackendSpec m = model.backends().get(b);
                if (listed[b] != Availability.GONE) {
                    members.add(new Member(backends[b], m.zone(), m.kind(), 0, listed[b], m.weight(),
                            startedAt[b]));
                }
            }
            drivers[rank].onMembers(new Members(CatalogUpdateKind.FULL, version, members));
        }
        tickBy(rank, now);
    }

    // ---- troubles ------------------------------------------------------------------------------------

    private void begin(int number) {
        Model.Fault t = model.faults().get(number);
        agenda.add(now + t.durationNs(), RELIEF, number, 0);
        switch (t.kind()) {
            case BACKENDS_DIE -> {
                for (int b : t.targets()) {
                    die(b);
                }
                tellAfter(model.rosterDelayNs(), number, Availability.GONE);
            }
            case BACKENDS_FAIL -> {
                for (int b : t.targets()) {
                    failing[b] = t.magnitude();
                }
            }
            case BACKENDS_DRAIN -> tellAfter(0, number, Availability.DRAINING);
            case BACKENDS_SLOW -> {
                for (int b : t.targets()) {
                    stations[b].slower(now, t.magnitude());
                    plan(b);
                }
            }
            case CONTROLLER_DIES -> {
                int rank = t.targets()[0];
                settle(rank);
                dead[rank] = true;
                for (int p = 0; p < joinedTo.length; p++) {
                    if (joinedTo[p] == rank) {
                        breakStream(p, (rank + 1) % drivers.length, 0);
                    }
                }
            }
            case ROSTER_DOWN -> rosterDown = true;
            case PROXIES_CUT -> {
                for (int p : t.targets()) {
                    cut[p] = true;
                    if (joinedTo[p] >= 0) {
                        breakStream(p, joinedTo[p], SILENCE);
                    }
                }
            }
            case BURST -> burst = t.magnitude();
            default -> throw new IllegalStateException("no way to play " + t.kind());
        }
    }

    private void breakStream(int p, int next, long notice) {
        int rank = joinedTo[p];
        joinedTo[p] = -1;
        if (!dead[rank]) {
            drivers[rank].onProxyLeft(p);
            tickBy(rank, now);
        }
        agenda.add(now + notice + (long) (REDIAL * (0.5 + ways.nextDouble())), JOIN, p, next);
    }

    private void die(int b) {
        for (int job = stations[b].loseOne(now); job >= 0; job = stations[b].loseOne(now)) {
            int request = jobRequest[job];
            agenda.add(now + way(proxy[request], b), LOST, request, jobStamp[job]);
            left(job);
        }
        stations[b].restamp();
    }

    private void tellAfter(long notice, int number, Availability state) {
        Model.Fault t = model.faults().get(number);
        for (int b : t.targets()) {
            listed[b] = state; // takes effect for controllers when they are told
        }
        version++;
        for (int c = 0; c < drivers.length; c++) {
            agenda.add(now + notice, NOTICED, c, 0);
        }
    }

    private void relieve(int number) {
        Model.Fault t = model.faults().get(number);
        switch (t.kind()) {
            case BACKENDS_DIE -> {
                for (int b : t.targets()) {
                    stations[b].restart(now);
                    startedAt[b] = now;
                }
                tellAfter(model.rosterDelayNs(), number, Availability.READY);
            }
            case BACKENDS_FAIL -> {
                for (int b : t.targets()) {
                    failing[b] = 0;
                }
            }
            case BACKENDS_DRAIN -> tellAfter(0, number, Availability.READY);
            case BACKENDS_SLOW -> {
                for (int b : t.targets()) {
                    stations[b].slower(now, 1);
                    plan(b);
                }
            }
            case CONTROLLER_DIES -> startController(t.targets()[0], number);
            case ROSTER_DOWN -> rosterDown = false;
            case PROXIES_CUT -> {
                for (int p : t.targets()) {
                    cut[p] = false;
                }
            }
            case BURST -> burst = 1;
            default -> throw new IllegalStateException("no way to end " + t.kind());
        }
    }
}
