package rowanmoor;

import java.util.*;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import rowanmoor.ControlApi.*;
import rowanmoor.FleetState.*;

/** One controller's decisions; events, actions and settings: {@link ControlApi}; reasons: docs/design.md. */
public final class RoutingPolicy {

    private static final double SECOND = 1e9;
    private static final long ROUND = 1_000_000_000L; // shortest round (the design's pace), ns
    // Health and speed.
    private static final double SMOOTH = 0.35; // weight of a new round: about three count
    private static final double ENOUGH = 8; // tries over the smoothed span below which nothing is judged
    private static final double FAILING = 0.6; // share failed, and 3 x its peers', that rests a path
    private static final double DEAD = 0.85; // a path failing this share serves nobody: it may always rest
    private static final double REST_MOST = 0.25; // panic floor: weight resting for partial failures
    private static final double FAILED_AS = 1e9; // latency, ns, that a failed try counts as
    private static final double OUTLIER = 1.9; // times slower than the median: lighter than hand-overs allow
    private static final long REST = 4_000_000_000L; // how long a path rests, ns
    private static final long FORGET = 120_000_000_000L; // how long what is gone keeps its lines, ns
    private static final double TRIAL = 0.1, TRIAL_GROWTH = 2; // part of its weight on trial; growth a round
    // Hand-overs: the part of a load gap closed in a round, the gap taken for noise, the design's bounds.
    private static final double HAND_OVER = 0.1, NOISE = 0.1;
    private static final double LEAST_CORRECTION = 0.5, MOST_CORRECTION = 2;
    private static final double ZONE_TABLE_PRICE = 0.02; // crossing price from which zones have own tables
    private static final int POOL_MOST = 25, POOL_LEAST = 6; // backends in a pool (design); to open one more
    private static final int PROXIES_A_TABLE = 5; // at the least (the design's)
    private static final double DEALT = 25; // percent of the mean flow, from which a backend has a pool
    private static final double SHORT = 0.8, UNEVEN = 0.33; // part of demand for a refill; gap for a move
    private static final int WAY_OUT = 2; // backends of other zones in every pool
    private static final double TRICKLE = 0.03; // part of a table spread over all zones: a way out
    // Warmth below which a backend stays out, if enough are warm; and in overload or where proxies shun.
    private static final double HOLD = 0.35, HOLD_IN_OVERLOAD = 0.6;
    private static final long AWAY = 5_000_000_000L; // how long a proxy may be between two streams, ns
    private static final double LEAST_WEIGHT = 1e-9; // for those of no weight, where there are no others
    private static final double COLD_MOST = 3; // times its part of demand, that a cold backend has in a table
    private static final double WORTH_SENDING = 0.1, LEVEL_WORTH_SENDING = 0.03; // relative changes sent
    // Levels: the design's figures, but for the proven rate's.
    private static final double OVERLOAD_FAILED = 0.05; // overload: share of tries that fail
    private static final double OVERLOAD_SLOWER = 2; // or: times slower than when quiet
    private static final int PROBED = 8; // one in so many is probed where probes tell of queues only
    // Failures may be overload with a mean queue above this; where none is told, with answers so much slower.
    private static final double WAITING = 0.5, SLOWER = 1.4;
    // Reported use below which a backend is not overloaded, and above which it is: it tells sooner than sums.
    private static final double IDLE = 0.6, SATURATED = 0.97;
    private static final double HEADROOM = 0.9; // the total starts at this part of the served rate
    private static final double PROVEN_PART = 0.75; // part of the best rate served calmly so far: safe
    private static final double RAISE = 1.1, FAST_RAISE = 1.6; // growth of the total in a calm second
    private static final double FULL = 0.85, PAST_FULL = 1.02; // use up to which it grows fast; and past it
    private static final double AHEAD = 1.5; // bound of the total over what is served
    private static final double JAM_FAILED = 0.3; // jammed: share that fail, or answers beyond an aim
    private static final int PATIENCE = 3, LEARN_ROUNDS = 2; // rounds until lowered again; heard till levels
    private static final long LEASE = 10_000_000_000L; // how long departed proxies count, ns
    // No level below this part of mean usage: none out of reach starves. Lifted at so many times the demand.
    private static final double LEAST_LEVEL = 0.1, LIFT = 1.3;
    private static final int NAMED_MOST = 8; // backends named in one line of the log
    private static final double OPEN_RATE = 1_000_000; // the rate that lets everything in
    // Safe for every class. A try again after any failure cuts the first short: that waste alone feeds jams.
    private static final RetryPolicy RETRY = RetryPolicy.ONCE_UNRUN;
    // What can be put off leaves within so many seconds, however deep the channel may be: a drain, which
    // cannot, does not wait behind it then. The marks' way there and back takes about one.
    private static final double BULK = 2;
    private static final double ORDINARY_BACKLOG = 0.4, URGENT_BACKLOG = 0.7, BIND_BACKLOG = 0.85;
    // Parts: of the lines that leave within a drain's grace, that may wait; of the pace, for ordinary lines.
    private static final double IN_GRACE = 0.6, ORDINARY_PACE = 0.15;
    private static final long WAIT = 50_000_000L; // least wait, ns, for room in the channel
    private static final double SLOW_PACE = 0.2; // of its pace, at which it drains while no mark tells
    private static final double MESSAGE_SPARE = 1.1; // on the gap between messages where they are limited

    /** What is known of one backend; {@code all} sums its paths, one for each region. */
    private final class BackendState {
        Member member;
        PathStats[] paths = PathStats.fresh(regions);
        PathStats all = new PathStats();
        double correction = 1, busy, lastBusy, quiet;
        boolean withdrawn, held;
        long listedAt; // when the list last changed it

        boolean ready() { return member.availability() == Availability.READY; }

        boolean open() { return ready() && !held; }

        /** A process that restarted is a new one: what its predecessor met says nothing of it. */
        void forget() {
            paths = PathStats.fresh(regions);
            all = new PathStats();
            busy = 0;
        }

        /** The least part of its capacity that it has by now, going by the stated ramp. */
        double warmth(long now) { return settings.rules().warmth(member.startedAt(), now); }

        /** What it can do. A cold one is slow with each request and short of room: hence the square. */
        double capacity(long now) {
            double weight = Math.max(LEAST_WEIGHT, member.weight());
            return open() ? weight * correction * warmth(now) * warmth(now) : 0;
        }

        /** How loaded it is, on whatever scale the site reports; 0 if unknown. */
        double load() { return settings.reportColumns().utilization() >= 0 ? busy : latency(all); }
    }

    private final Settings settings;
    private final Random random;
    private final int regions;
    private final long roundLength;
    private final double tightestAim;
    private final List<Integer> byWorth; // classes, the worthiest first
    private final List<Integer> byAim; // classes, those of the lightest requests first, as far as aims tell
    private final List<List<Integer>> groups = new ArrayList<>();
    private final TreeMap<Backend, BackendState> backends = new TreeMap<>();
    private final TreeMap<Integer, ProxyState> proxies = new TreeMap<>();
    private final TreeMap<Integer, List<Pool>> pools = new TreeMap<>(); // by group and region
    private final List<Action> actions = new ArrayList<>();
    private final LinkedHashSet<Integer> joining = new LinkedHashSet<>(); // to be bound, in order
    private final double[] levels;
    private final boolean[] floors; // classes whose level is the least
    private final LevelRecord record;
    private LevelRecord.Reason reason = LevelRecord.Reason.DEMAND;
    private boolean reportsCame, urgent, joined, watching;
    private RetryPolicy retry = RETRY; // as tries fail now
    private long nextRound, learnedAt, askAt, nextMessage, drainedAt;
    private int roundsHeard, askFailures, overloadedRounds;
    private double total = Double.POSITIVE_INFINITY, proven, usualCapacity, queued = 1, allowance = 1e9;
    private final Sent sent = new Sent(); // what the channel was given, and what has left it
    private final Timers timers = new Timers();

    public RoutingPolicy(Settings settings, long seed) {
        this.settings = settings;
        this.random = new Random(seed);
        boolean ownZones = settings.classes().stream().anyMatch(ClassSpec::ownZoneOnly);
        this.regions = ownZones || settings.crossZonePrice() >= ZONE_TABLE_PRICE ? settings.zones() : 1;
        this.roundLength = Math.max(ROUND, settings.reportInterval());
        this.tightestAim = settings.classes().stream().mapToLong(ClassSpec::aim).min().orElse(0);
        this.byWorth = IntStream.range(0, settings.classes().size()).boxed()
                .sorted(Comparator.comparing(c -> -settings.classes().get(c).worth())).toList();
        this.byAim = byWorth.stream().sorted(Comparator.comparing(c ->
                settings.classes().get(c).aim())).toList();
        this.levels = new double[settings.classes().size()];
        Arrays.fill(levels, openLevel());
        this.floors = new boolean[levels.length];
        this.record = new LevelRecord(levels.length, openLevel());
        groupClasses();
    }

    public void handle(long now, Event event) {
        if (event instanceof Members members) {
            hearList(now, members);
        } else if (event instanceof ProxyJoined joined) {
            join(now, joined);
        } else if (event instanceof ProxyLeft left && proxies.containsKey(left.proxy())) {
            proxies.get(left.proxy()).leave(left.proxy(), now);
            joining.remove(left.proxy());
        } else if (event instanceof Tally tally && backends.containsKey(tally.backend())) {
            hearTally(backends.get(tally.backend()), tally);
        } else if (event instanceof Usage usage && proxies.containsKey(usage.proxy())) {
            reportsCame = true;
            proxies.get(usage.proxy()).hear(usage);
        } else if (event instanceof Probed probed && probed.ok() && backends.containsKey(probed.backend())) {
            hearLoad(backends.get(probed.backend()), probed.load());
        } else if (event instanceof Applied applied) {
            sent.applied(applied.mark());
        }
    }

    /** The orders that follow from all that was heard up to now. */
    public List<Action> decide(long now) {
        askForList(now);
        boolean round = now >= nextRound;
        if (round) {
            nextRound = now + roundLength;
            timers.set(now, nextRound, Timers.ROUND, actions);
            probe();
            learn(now);
        }
        send(now, round);
        List<Action> orders = List.copyOf(actions);
        actions.clear();
        return orders;
    }

    /** What is held of each backend now. */
    public List<BackendEstimate> backendEstimates(long now) {
        return backends.values().stream().map(s -> new BackendEstimate(s.member.backend(), s.member.availability(), s.load(),
                Arrays.stream(s.paths).map(p -> p.health).toList(), s.correction, s.warmth(now),
                s.all.tries, s.withdrawn)).toList();
    }

    // ---- 1. Members -------------------------------------------------------------------------------------

    private void hearList(long now, Members list) {
        if (list.kind() == CatalogUpdateKind.FAILED) {
            watching = false;
            long base = Math.min(ROUND << Math.min(askFailures++, 2), settings.rules().maxCatalogRetryDelay() / 4);
            askAt = now + (long) (base * (0.5 + random.nextDouble() / 2));
            return;
        }
        askFailures = list.kind() == CatalogUpdateKind.CACHED ? askFailures : 0;
        TreeMap<Backend, BackendState> unmentioned = new TreeMap<>(backends);
        for (Member member : list.entries()) {
            unmentioned.remove(member.backend());
            BackendState state = backends.computeIfAbsent(member.backend(), b -> new BackendState());
            heed(now, state, member);
        }
        if (list.kind() != CatalogUpdateKind.DELTA) { unmentioned.values().forEach(s ->
                heed(now, s, s.member.asGone())); }
    }

    private void heed(long now, BackendState state, Member member) {
        if (state.member != null && member.startedAt() > state.member.startedAt()) { state.forget(); }
        boolean changed = state.member == null || !state.member.equals(member);
        state.listedAt = changed ? now : state.listedAt;
        urgent |= changed;
        state.member = member;
    }

    private void askForList(long now) {
        if (settings.catalogOnRequest() && !watching) {
            watching = now >= askAt;
            if (watching) { actions.add(new Watch(true)); }
            if (!watching) { timers.set(now, askAt, Timers.ASK, actions); }
        }
    }

    // ---- 2. Health and speed ----------------------------------------------------------------------------

    private double failing(PathStats path) { return path.tries < ENOUGH ? 0 : path.failed / path.tries; }

    private double latency(PathStats path) {
        return path.tries < ENOUGH ? 0 : (path.latencySum + path.failed * FAILED_AS) / path.tries;
    }

    private int region(int zone) { return regions == 1 ? 0 : zone; }

    private void hearTally(BackendState state, Tally tally) {
        reportsCame = true;
        state.paths[region(tally.zone())].hear(tally);
        state.all.hear(tally);
        hearLoad(state, tally.load());
    }

    private void hearLoad(BackendState state, List<Double> load) {
        int queue = settings.reportColumns().queue();
        if (queue >= 0 && queue < load.size()) { queued += (load.get(queue) - queued) / PROBED; }
        int column = settings.reportColumns().utilization();
        if (column >= 0 && column < load.size()) {
            state.lastBusy = load.get(column);
            state.busy = state.busy == 0 ? load.get(column) : blend(state.busy, load.get(column));
        }
    }

    private static double blend(double old, double fresh) { return old + SMOOTH * (fresh - old); }

    /** All are probed where that tells of use; where only of queues, a few tell whether the fleet waits. */
    private void probe() {
        int every = settings.reportColumns().utilization() >= 0 ? 1 : settings.reportColumns().queue() >= 0 ? PROBED : 0;
        int place = roundsHeard;
        for (BackendState state : backends.values()) {
            boolean due = settings.probesAllowed() && every > 0 && place++ % every == 0;
            if (due && state.ready()) { actions.add(new Probe(state.member.backend())); }
        }
    }

    /** A round's lessons: paths, loads, usage, total. */
    private void learn(long now) {
        if (!reportsCame) { return; }
        reportsCame = false;
        roundsHeard++;
        // After a silence, reports cover their own span, not the silence.
        double told = backends.values().stream().flatMap(s -> Arrays.stream(s.paths))
                .mapToDouble(p -> p.newSpan).max().orElse(0);
        double gap = (learnedAt == 0 ? roundLength : now - learnedAt) / SECOND;
        double seconds = Math.min(gap, Math.max(roundLength / SECOND, told));
        learnedAt = now;
        double tries = backends.values().stream().mapToDouble(s -> s.all.newTries).sum();
        double failed = backends.values().stream().mapToDouble(s -> s.all.newFailed).sum();
        for (BackendState state : backends.values()) {
            state.all.learn(SMOOTH, ENOUGH);
            Arrays.stream(state.paths).forEach(p -> p.learn(SMOOTH, ENOUGH));
        }
        learnRetry(tries, failed);
        for (int region = 0; region < regions; region++) { judgePaths(now, region); }
        handOver(now);
        learnUsage(now, seconds);
        setTotal(now, seconds);
        setLevels();
    }

    // Second tries of what full backends turn away are half of a jam's load. They stop before the jam counts
    // as overload, which takes most backends: one that comes in cold then draws them all. Not where backends
    // are dead and the others have room: there second tries are what saves requests.
    private void learnRetry(double tries, double failed) {
        List<BackendState> known = backends.values().stream().filter(s -> s.quiet > 0
                && s.all.lastLatency > 0).toList();
        long slower = known.stream().filter(s -> s.all.lastLatency > SLOWER * s.quiet).count();
        boolean waits = settings.reportColumns().queue() >= 0 ? queued > WAITING : slower * 2 > known.size();
        boolean failing = failed > (retry == RETRY ? 2 : 1) * OVERLOAD_FAILED * tries;
        if (tries >= ENOUGH && (!failing || waits)) { retry = failing ? RetryPolicy.NEVER : RETRY; }
    }

    // Rests a path that fails far more than its peers (fast failers, dead and cut-off backends) and lightens
    // one that is far slower. Full backends fail too: partial failures rest few, and none under overload.
    private void judgePaths(long now, int region) {
        List<BackendState> ready = backends.values().stream().filter(BackendState::ready).toList();
        List<PathStats> judged = ready.stream().map(s -> s.paths[region]).filter(p -> p.tries >= ENOUGH).toList();
        double usualFailing = FleetState.median(judged.stream().map(this::failing).toList());
        double usualLatency = FleetState.median(judged.stream().map(this::latency).filter(l -> l > 0).toList());
        double usualOfAll = FleetState.median(ready.stream().filter(s -> s.all.tries >= ENOUGH)
                .map(s -> failing(s.all)).toList());
        double mayRest = 0;
        List<String> rested = new ArrayList<>();
        for (BackendState state : backends.values()) {
            double part = !state.ready() ? 0 : state.paths[region].restUntil > 0 ? -1 : REST_MOST;
            mayRest += part * state.member.weight();
        }
        for (BackendState state : backends.values().stream().sorted(Comparator.comparing(s ->
                -failing(evidence(s, region)))).toList()) {
            PathStats path = state.paths[region];
            PathStats told = evidence(state, region);
            double usual = told == path ? usualFailing : usualOfAll;
            boolean failing = failing(told) > Math.max(FAILING, 3 * usual);
            boolean room = told == path && failing(path) > DEAD
                    || overloadedRounds == 0 && mayRest >= state.member.weight();
            if (path.restUntil > now || now < path.trialFrom) { continue; }
            if (path.restUntil > 0) {
                path.restUntil = 0;
                path.health = TRIAL;
                path.trialFrom = now + settings.channel().maxDelay() + 2 * settings.reportInterval();
                path.tries = 0;
                path.failed = 0;
                path.latencySum = 0;
            } else if (failing && room) {
                path.restUntil = now + REST;
                path.health = 0;
                mayRest -= state.member.weight();
                rested.add(state.member.backend() + " failed " + Math.round(100 * failing(told)) + "%");
            } else {
                double slower = usualLatency > 0 ? latency(path) / usualLatency : 1;
                path.health = Math.min(slower > OUTLIER ? 1 / slower : 1, path.health * TRIAL_GROWTH);
            }
        }
        tell("path rested from region " + region, rested);
    }

    /** What tells of a path's failures: its own tries; where they are few and fail, those of all regions. */
    private PathStats evidence(BackendState state, int region) {
        PathStats path = state.paths[region];
        return path.tries >= ENOUGH || path.failed <= FAILING * path.tries ? path : state.all;
    }

    /** One line of the log, however many it is about. */
    private void tell(String what, List<String> which) {
        String more = which.size() > NAMED_MOST ? " and " + (which.size() - NAMED_MOST) + " more" : "";
        List<String> named = which.subList(0, Math.min(NAMED_MOST, which.size()));
        if (!which.isEmpty()) { actions.add(new Log(what + ": " + String.join(", ", named) + more)); }
    }

    /** The companion: backends loaded above the mean hand weight to those below, within its bounds. */
    private void handOver(long now) {
        List<BackendState> settled = backends.values().stream().filter(s -> s.ready() && s.load() > 0
                && s.warmth(now) == 1 && Arrays.stream(s.paths).allMatch(p -> p.health == 1)).toList();
        double sum = settled.stream().mapToDouble(s -> s.load() * s.member.weight()).sum();
        double mean = sum / settled.stream().mapToDouble(s -> s.member.weight()).sum();
        for (BackendState state : settled) {
            if (Math.abs(state.load() / mean - 1) > NOISE) {
                double correction = state.correction * Math.pow(state.load() / mean, -HAND_OVER);
                state.correction = Math.max(LEAST_CORRECTION, Math.min(MOST_CORRECTION, correction));
            }
        }
    }

    // ---- 3. Tables --------------------------------------------------------------------------------------

    /** Classes open to the same backends share tables; the confined ones come first. */
    private void groupClasses() {
        TreeMap<String, List<Integer>> byOpenness = new TreeMap<>();
        for (int c = 0; c < levels.length; c++) {
            byOpenness.computeIfAbsent(settings.classes().get(c).eligibilityKey(), k -> new ArrayList<>()).add(c);
        }
        groups.addAll(byOpenness.values());
    }

    private ClassSpec spec(int group) { return settings.classes().get(groups.get(group).get(0)); }

    /** What a proxy asks of a group, in work as far as aims tell of it. */
    private double work(ProxyState proxy, int group) {
        return groups.get(group).stream().mapToDouble(c ->
                proxy.usage[c] * settings.classes().get(c).aim()).sum();
    }

    private double demand(Pool pool) {
        return 1 + pool.users.values().stream().mapToDouble(p -> work(p, pool.group)).sum();
    }

    /** How many table numbers a set of pools has: they are 16 bits for all regions and groups together. */
    private int tablesOfSet() { return ControlApi.ALL_TABLES / (groups.size() * regions); }

    private List<Pool> pools(int group, int region) {
        return pools.computeIfAbsent(group * regions + region, k -> new ArrayList<>(List.of(
                new Pool(k * tablesOfSet(), group))));
    }

    // What joined proxies ask of a group, by region, in work as far as aims tell of it. A region with none is
    // taken for a usual one: its proxies may return, and must not meet tables laid for nobody.
    private double[] demand(int group) {
        double[] demand = new double[regions];
        proxies.values().stream().filter(p -> p.joined)
                .forEach(p -> demand[region(p.zone)] += work(p, group));
        double usual = Math.max(1, Arrays.stream(demand).sum() / regions);
        Arrays.setAll(demand, r -> demand[r] > 0 ? demand[r] : usual);
        return demand;
    }

    /** All tables: each backend is used in proportion to its capacity, confined classes placed first. */
    private Map<Pool, TreeMap<Backend, Double>> layTables(long now) {
        TreeMap<Backend, Double> room = new TreeMap<>();
        backends.forEach((backend, state) -> room.put(backend, state.capacity(now)));
        double capacity = FleetState.sum(room.values());
        List<double[]> demands = IntStream.range(0, groups.size()).mapToObj(this::demand).toList();
        double asked = demands.stream().mapToDouble(d -> Arrays.stream(d).sum()).sum();
        TreeMap<Backend, Double> left = new TreeMap<>(room);
        left.replaceAll((backend, can) -> can * asked / Math.max(1e-9, capacity));
        Map<Pool, TreeMap<Backend, Double>> laid = new LinkedHashMap<>();
        for (int g = 0; g < groups.size(); g++) {
            int group = g;
            TreeMap<Backend, Double> part = new TreeMap<>();
            for (BackendState state : backends.values()) {
                Backend backend = state.member.backend();
                if (room.get(backend) > 0 && spec(g).isEligible(state.member)) {
                    double rest = spec(g).restricted() ? room.get(backend) : left.get(backend);
                    part.put(backend, Math.max(1e-9, rest));
                }
            }
            double scale = Arrays.stream(demands.get(g)).sum() / FleetState.sum(part.values());
            part.replaceAll((backend, share) -> share * scale);
            part.forEach((backend, share) -> left.merge(backend, -share, Double::sum));
            for (int r = 0; r < regions; r++) {
                TreeMap<Backend, Double> open = new TreeMap<>(part);
                int own = r;
                open.keySet().removeIf(b -> spec(group).ownZoneOnly()
                        && region(backends.get(b).member.zone()) != own);
                TreeMap<Backend, Double> flows = lines(now, r, open, demands.get(g));
                List<Pool> set = pools(g, r);
                set.forEach(p -> p.demand = demand(p));
                deal(r, flows, set);
                set.forEach(p -> laid.put(p, poolLines(now, p, flows, set)));
            }
        }
        return laid;
    }

    // One table: its region's own backends as far as they have room, the rest where others leave some. What
    // the region's proxies cannot reach has no room for them: their share moves on, if need be far.
    private TreeMap<Backend, Double> lines(long now, int region, TreeMap<Backend, Double> part,
            double[] demand) {
        TreeMap<Backend, Double> lines = new TreeMap<>();
        part.forEach((backend, share) ->
                lines.put(backend, share * backends.get(backend).paths[region].health));
        if (FleetState.sum(lines.values()) <= 0) { lines.putAll(part); }
        double all = Arrays.stream(demand).sum();
        double scale = all / FleetState.sum(lines.values());
        double[] room = new double[regions];
        lines.forEach((backend, share) -> room[region(backends.get(backend).member.zone())] += share * scale);
        double own = Math.min(demand[region], room[region]);
        double spare = 1e-9 + IntStream.range(0, regions).filter(r -> r != region)
                .mapToDouble(r -> Math.max(0, room[r] - demand[r])).sum();
        double[] flow = new double[regions];
        for (int r = 0; r < regions; r++) {
            flow[r] = r == region ? own : (demand[region] - own) * Math.max(0, room[r] - demand[r]) / spare;
            flow[r] = room[r] <= 0 ? 0 : flow[r] / room[r] / demand[region] + TRICKLE / all;
        }
        lines.replaceAll((backend, share) -> {
            BackendState state = backends.get(backend);
            double weight = share * flow[region(state.member.zone())];
            return state.warmth(now) < 1 ? Math.min(weight, COLD_MOST * share / all) : weight;
        });
        double sum = FleetState.sum(lines.values());
        lines.replaceAll((backend, weight) -> 100 * weight / sum);
        return lines;
    }

    // Who is in which pool. A fleet that fits into one pool is one pool. Otherwise each backend that the
    // region uses is in one, a pool too short of what is used is refilled at once, and each has a way out of
    // its zone. Members stay as long as they can: moving a line closes connections.
    private void deal(int region, Map<Backend, Double> flows, List<Pool> set) {
        int most = Math.min(tablesOfSet(), settings.proxies() / Math.max(1, settings.instances())
                / (PROXIES_A_TABLE * regions * groups.size()));
        Predicate<Backend> away = b -> region(backends.get(b).member.zone()) != region;
        long own = flows.keySet().stream().filter(away.negate()).count();
        while (flows.size() > POOL_MOST && set.size() < Math.min(most, own / POOL_LEAST)) {
            set.add(set.get(0).sibling(set.get(0).table + set.size()));
        }
        if (set.size() == 1) {
            flows.keySet().forEach(set.get(0)::add);
            return;
        }
        flows.keySet().stream().filter(b -> flows.get(b) * flows.size() >= DEALT
                && set.get(0).holding(b) == 0).forEach(b -> seat(Collections.min(set,
                        Comparator.comparing(p -> p.supply(flows))), b, flows));
        boolean settled = !joined && roundsHeard > LEARN_ROUNDS; // while proxies join, demand tells nothing
        double fair = SHORT * 100 / set.stream().mapToDouble(p -> p.demand).sum();
        for (Pool pool : set) {
            for (int i = 0; settled && i < POOL_MOST && pool.supply(flows) < fair; i++) {
                refill(pool, b -> true, flows, set);
            }
            for (long i = pool.members.stream().filter(away).count(); regions > 1 && i < WAY_OUT; i++) {
                refill(pool, away, flows, set);
            }
        }
    }

    private void refill(Pool pool, Predicate<Backend> fit, Map<Backend, Double> flows, List<Pool> set) {
        flows.keySet().stream().filter(b -> !pool.members.contains(b) && fit.test(b))
                .max(Comparator.comparing(b -> flows.get(b) / (1 + pool.holding(b))))
                .ifPresent(b -> seat(pool, b, flows));
    }

    private static void seat(Pool pool, Backend backend, Map<Backend, Double> flows) {
        if (pool.members.size() >= POOL_MOST) {
            pool.remove(Collections.min(pool.members,
                    Comparator.comparing(b -> flows.getOrDefault(b, 0.0))));
        }
        pool.add(backend);
    }

    /** A pool's lines: its members' flows, parted among the pools that hold them; little of any cold one. */
    private TreeMap<Backend, Double> poolLines(long now, Pool pool, Map<Backend, Double> flows,
            List<Pool> set) {
        TreeMap<Backend, Double> lines = new TreeMap<>(flows);
        lines.keySet().retainAll(pool.members);
        lines.replaceAll((backend, flow) -> flow / pool.holding(backend));
        double part = 100 / Math.max(1e-9, FleetState.sum(lines.values()));
        double all = set.stream().mapToDouble(p -> p.demand).sum();
        lines.replaceAll((backend, flow) -> {
            double reach = set.stream().filter(p -> p.members.contains(backend))
                    .mapToDouble(p -> p.demand).sum();
            boolean cold = backends.get(backend).warmth(now) < 1;
            return Math.min(cold ? COLD_MOST * flows.get(backend) * all / reach : 100, flow * part);
        });
        return lines;
    }

    /** Evens pools out by what their proxies ask: the busiest hands a fitting proxy to the idlest. */
    private void evenOut(List<Pool> set) {
        Pool most = Collections.max(set, Comparator.comparing(this::demand));
        Pool least = Collections.min(set, Comparator.comparing(this::demand));
        double gap = demand(most) - demand(least);
        most.users.entrySet().stream()
                .filter(e -> gap > UNEVEN * demand(most) && work(e.getValue(), most.group) < gap)
                .min(Comparator.comparing(e -> Math.abs(work(e.getValue(), most.group) - gap / 2)))
                .ifPresent(e -> {
                    e.getValue().use(e.getKey(), least);
                    joining.add(e.getKey());
                });
    }

    // ---- 4. Levels --------------------------------------------------------------------------------------

    private double openLevel() { return settings.admission() == AdmissionMode.SHARE ? 1 : OPEN_RATE; }

    private void learnUsage(long now, double seconds) {
        proxies.values().removeIf(p -> !p.joined && now - p.leftAt > LEASE);
        double reports = backends.size() * settings.zones() + proxies.size() * levels.length;
        double cycle = reports / settings.reportLinesPerSecond();
        for (ProxyState proxy : proxies.values()) {
            proxy.heard |= Arrays.stream(proxy.newUsage).sum() > 0;
            proxy.present = blend(proxy.present, proxy.joined && proxy.heard ? 1 : 0);
            if (proxy.joined && proxy.heard) { proxy.learn(seconds, cycle, SMOOTH); }
        }
    }

    /** The design's total: set once at overload to the served rate, lowered with patience, raised in calm. */
    private void setTotal(long now, double seconds) {
        List<BackendState> judged = backends.values().stream().filter(s -> s.ready()
                && s.all.tries >= ENOUGH).toList();
        double good = backends.values().stream().mapToDouble(s -> s.all.tries - s.all.failed).sum();
        double served = good * SMOOTH / seconds;
        double capacity = backends.values().stream().mapToDouble(s -> s.capacity(now)).sum();
        usualCapacity = Math.max(capacity, blend(usualCapacity, capacity));
        double known = proven * capacity;
        judged.stream().filter(s -> s.quiet == 0 || latency(s.all) > 0 && latency(s.all) < s.quiet)
                .forEach(s -> s.quiet = latency(s.all));
        long over = judged.stream().filter(this::isOverloaded).count();
        boolean jammed = judged.stream().filter(this::isJammed).count() * 2 > judged.size();
        boolean was = overloadedRounds > 0;
        reason = LevelRecord.Reason.DEMAND; // unless the total changes, only usage can move levels
        double tries = backends.values().stream().mapToDouble(s -> s.all.tries).sum();
        boolean blind = judged.isEmpty() && tries - good > JAM_FAILED * tries; // too few tries, and they fail
        if (!blind && over * 2 <= judged.size()) {
            proven = Math.max(proven, served / Math.max(1e-9, usualCapacity));
            overloadedRounds = 0;
            reason = LevelRecord.Reason.RAISED;
            double busy = judged.stream().mapToDouble(s -> s.lastBusy).average().orElse(0);
            double raise = busy > 0 ? Math.max(PAST_FULL, Math.min(FAST_RAISE, FULL / busy)) : RAISE;
            double calm = Math.min(seconds, PATIENCE * roundLength / SECOND); // a silence is no long calm
            total *= Math.pow(total < known ? FAST_RAISE : raise, calm);
            total = Math.max(total, HEADROOM * served); // else a total of zero would stay
            double ahead = busy > 0 ? Math.max(AHEAD, FULL / busy) : AHEAD;
            double bound = Math.max(ahead * served * counted(), known);
            total = Double.isInfinite(total) ? total : Math.min(total, bound);
        } else if (!blind && roundsHeard > LEARN_ROUNDS) {
            overloadedRounds++;
            if (!was) {
                reason = LevelRecord.Reason.SET;
                total = Math.min(total, Math.max(served * (jammed ? HEADROOM : 1), PROVEN_PART * known));
            } else if (overloadedRounds > PATIENCE) {
                reason = LevelRecord.Reason.LOWERED;
                total *= HEADROOM;
                overloadedRounds = 1;
            }
        }
        if (was != overloadedRounds > 0) {
            actions.add(new Log(was ? "overload ends" : "overload begins: " + over + " of " + judged.size()
                    + " backends, " + Math.round(served) + "/s served, total " + Math.round(total) + "/s"));
        }
    }

    // Levels are shared by all that are counted; what is served is told of those here, smoothed. Who came of
    // late is not in those sums yet, who left no longer: else a total bounded by them holds back, in calm,
    // those who stay while the departed are counted.
    private double counted() {
        double present = proxies.values().stream()
                .mapToDouble(p -> p.present * Arrays.stream(p.usage).sum()).sum();
        return present <= 0 ? 1 : Math.min(1 / SMOOTH, demand() / present);
    }

    private double demand() {
        return proxies.values().stream().mapToDouble(p -> Arrays.stream(p.usage).sum()).sum();
    }

    // Overload shows in a jam (all that a controller restarted in one can know), in failures, or in answers
    // twice as slow as in quiet and slow enough to matter; not while its cores idle: then the way is slow.
    private boolean isOverloaded(BackendState state) {
        if (state.busy > 0 && state.lastBusy < IDLE) { return false; }
        boolean slower = state.all.lastLatency == 0 || state.all.lastLatency > SLOWER * state.quiet;
        boolean waits = settings.reportColumns().queue() >= 0 ? queued > WAITING : slower;
        boolean failing = state.all.lastFailing > OVERLOAD_FAILED && waits;
        return isJammed(state) || state.lastBusy > SATURATED || failing
                || state.all.lastLatency > Math.max(OVERLOAD_SLOWER * state.quiet, tightestAim / 2);
    }

    /** A jam: answers come too late to be of use, and what is let in only waits. Queues must drain first. */
    private boolean isJammed(BackendState state) {
        return state.all.lastFailing > JAM_FAILED || state.all.lastLatency > tightestAim;
    }

    /** Shares the part out, worthiest class first; a class's rest becomes one even level for all. */
    private void setLevels() {
        double demand = demand();
        if (total >= LIFT * demand) { total = Double.POSITIVE_INFINITY; }
        double part = total;
        double[] leastParts = leastParts();
        for (int cls : byWorth) {
            double[] usage = proxies.values().stream().mapToDouble(p -> p.usage[cls]).sorted().toArray();
            double asked = Arrays.stream(usage).sum();
            boolean share = settings.admission() == AdmissionMode.SHARE;
            double least = leastParts[cls] == 1 ? openLevel() : share ? leastParts[cls]
                    : leastParts[cls] * asked / Math.max(1, usage.length);
            levels[cls] = part >= asked ? openLevel()
                    : Math.max(least, share ? part / asked : evenLevel(usage, part));
            floors[cls] = levels[cls] == least;
            part = Math.max(0, part - asked);
        }
    }

    // Levels count requests, and what they free is work. A tenth of it is kept for the lightest requests,
    // whatever they are worth: turning them away frees next to nothing, and the overload stays.
    private double[] leastParts() {
        double[] work = IntStream.range(0, levels.length).mapToDouble(c -> settings.classes().get(c).aim()
                * proxies.values().stream().mapToDouble(p -> p.usage[c]).sum()).toArray();
        double kept = LEAST_LEVEL * Arrays.stream(work).sum();
        double[] parts = new double[levels.length];
        for (int cls : byAim) {
            parts[cls] = Math.max(LEAST_LEVEL, Math.min(1, kept / Math.max(1e-9, work[cls])));
            kept = Math.max(0, kept - work[cls]);
        }
        return parts;
    }

    /** The one level at which what all proxies can use adds up to the part; usage comes sorted. */
    static double evenLevel(double[] usage, double part) {
        double left = part;
        for (int i = 0; i < usage.length; i++) {
            double even = left / (usage.length - i);
            if (usage[i] >= even) { return even; }
            left -= usage[i];
        }
        return OPEN_RATE;
    }

    // ---- 5. Sender --------------------------------------------------------------------------------------

    private void join(long now, ProxyJoined joined) {
        ProxyState proxy = proxies.computeIfAbsent(joined.proxy(),
                p -> new ProxyState(levels.length, groups.size()));
        boolean stays = proxy.pools[0] != null && region(proxy.zone) == region(joined.zone());
        proxy.join(joined.zone(), now);
        if (proxy.pools[0] == null) { Arrays.fill(proxy.usage, joined.rate() / levels.length); }
        for (int g = 0; g < groups.size(); g++) {
            proxy.use(joined.proxy(), stays ? proxy.pools[g] : Collections.min(
                    pools(g, region(joined.zone())), Comparator.comparing(this::demand)));
        }
        joining.add(joined.proxy());
        this.joined = true;
    }

    /** Joining proxies are bound as the channel has room; other orders wait for it and the message budget. */
    private void send(long now, boolean round) {
        double paced = drainedAt == 0 ? 0 : (now - drainedAt) / SECOND * settings.channel().linesPerSecond();
        sent.drain(paced * SLOW_PACE);
        allowance = Math.min(bulk(ORDINARY_BACKLOG), allowance + paced * ORDINARY_PACE);
        drainedAt = now;
        holdCold(now);
        if (settings.keyRanges() > 0) {
            sendWithdrawals(true); // sites with slices get legal orders only
            return;
        }
        // Who waits to be bound comes before lines: old tables may name the gone.
        if (!joined && !shutOutDue()) { bind(now); }
        boolean due = (round || urgent || joined) && now >= nextMessage;
        boolean room = sent.waiting() <= bulk(URGENT_BACKLOG);
        if (due && sent.waiting() <= fill(URGENT_BACKLOG)) { sendWithdrawals(room); }
        if (due && room) {
            sendLines(layTables(now), round);
            sendLevels();
            joined = false;
            tellLevels(now);
        }
        if (urgent) {
            timers.set(now, Math.max(nextMessage, now + WAIT), Timers.SEND, actions);
        }
        if (round) {
            pools.values().forEach(this::evenOut);
            forgetGone(now);
        }
        if (!shutOutDue()) { bind(now); }
        int mark = sent.closeReply();
        if (mark >= 0) {
            actions.add(new Mark(mark)); // the answers tell what has left the channel
            nextMessage = now + (long) (MESSAGE_SPARE * settings.channel().messageGap());
        }
    }

    /** Whether a withdrawal waits: binds that fill the channel again and again would hold it back. */
    private boolean shutOutDue() {
        return backends.values().stream().anyMatch(s -> !s.withdrawn && !s.open());
    }

    /** Lines that may wait, so that a withdrawal behind them still arrives within the grace. */
    private double fill(double part) {
        Channel channel = settings.channel();
        double grace = Math.max(0.5, (settings.rules().drainGrace() - channel.maxDelay()) / SECOND);
        return Math.min(part * channel.maxBacklog(), IN_GRACE * grace * channel.linesPerSecond());
    }

    /** The same for what can be put off. */
    private double bulk(double part) {
        return Math.min(fill(part), part * BULK * settings.channel().linesPerSecond());
    }

    private void bind(long now) {
        Channel channel = settings.channel();
        double most = BIND_BACKLOG * Math.min(channel.maxBacklog(), BULK * channel.linesPerSecond());
        for (Iterator<Integer> first = joining.iterator(); first.hasNext();) {
            int number = first.next();
            ProxyState proxy = proxies.get(number);
            double lines = 0;
            for (Pool pool : proxy.pools) {
                lines += 1 + pool.sent.size() + groups.get(pool.group).size();
                lines += pool.sent.keySet().stream().filter(b -> backends.get(b).withdrawn).count();
                lines += letBack(now, proxy, pool).size();
            }
            double over = sent.waiting() + lines + settings.channel().messageOverhead() + 1 - most;
            if (sent.waiting() > 0 && over > 0) {
                double wait = SECOND * over / settings.channel().linesPerSecond();
                timers.set(now, now + Math.max(WAIT, (long) wait), Timers.BIND, actions);
                return;
            }
            for (Pool pool : proxy.pools) {
                int classes = groups.get(pool.group).stream().mapToInt(c -> 1 << c).sum();
                actions.add(new Bind(number, pool.table, classes, letBack(now, proxy, pool)));
            }
            sent.book(proxy, lines, settings.channel().messageOverhead() + 1);
            proxy.bound = true;
            first.remove();
        }
    }

    // A proxy shuts out on another instance's order what that one had no time to let back: backends that were
    // too cold at the latest when it was away.
    private List<Backend> letBack(long now, ProxyState proxy, Pool pool) {
        return proxy.bound ? List.of() : pool.sent.keySet().stream().filter(b -> {
            BackendState state = backends.get(b);
            return !state.withdrawn && state.warmth(proxy.joinedAt - AWAY) < HOLD_IN_OVERLOAD;
        }).toList();
    }

    private void order(Action action, Collection<ProxyState> users) {
        actions.add(action);
        users.forEach(proxy -> sent.book(proxy, 1, settings.channel().messageOverhead() + 1));
    }

    // A very cold backend stays out while enough warm ones are there: in a jam proxies shun those that fail,
    // and all that is left to draw may be the cold one, whatever its weight.
    private void holdCold(long now) {
        double least = overloadedRounds > 0 || settings.ejectAfterFailures() > 0 ? HOLD_IN_OVERLOAD : HOLD;
        List<BackendState> ready = backends.values().stream().filter(BackendState::ready).toList();
        long warm = ready.stream().filter(s -> s.warmth(now) >= least).count();
        ready.forEach(s -> s.held = s.warmth(now) < least && warm * 3 >= ready.size());
    }

    // Drained, gone and held backends are shut out; others are let in only as their lines are set anew. Those
    // who wait to be bound may hold any of them: where that is more than may wait, a new table tells them.
    private void sendWithdrawals(boolean letIn) {
        List<String> out = new ArrayList<>();
        List<String> in = new ArrayList<>();
        List<BackendState> turned = backends.values().stream().filter(s -> s.withdrawn == s.open()
                && (letIn || !s.withdrawn)).toList();
        long unbound = proxies.values().stream().filter(p -> p.joined && !p.bound).count();
        double lines = unbound * (settings.channel().messageOverhead() + 1 + turned.size());
        boolean boundOnly = sent.waiting() + lines > bulk(URGENT_BACKLOG);
        for (BackendState state : turned) {
            Backend backend = state.member.backend();
            state.withdrawn = !state.withdrawn;
            String listed = state.withdrawn ? " listed " + state.member.availability() : "";
            (state.withdrawn ? out : in).add(backend + listed);
            order(new Withdraw(backend, state.withdrawn, boundOnly), proxies.values().stream()
                    .filter(p -> p.mayHold(backend, boundOnly)).toList());
        }
        tell("withdrawn", out);
        tell("let in again", in);
    }

    // Machines are replaced for years: one long gone loses its lines first, then it is let go. Not while a
    // proxy waits to be bound, whose old tables may name it.
    private void forgetGone(long now) {
        for (BackendState state : List.copyOf(backends.values())) {
            Backend backend = state.member.backend();
            boolean old = state.member.availability() == Availability.GONE && now - state.listedAt > FORGET;
            if (old && joining.isEmpty()) {
                List<Pool> all = pools.values().stream().flatMap(List::stream).toList();
                all.forEach(p -> p.remove(backend));
                if (all.stream().noneMatch(p -> p.sent.containsKey(backend))) {
                    backends.remove(backend);
                    actions.add(new Withdraw(backend, false)); // for whoever keeps books: no table has it
                }
            }
        }
    }

    // Pools whose lines are furthest off come first; ordinary changes keep to their allowance of the channel.
    private void sendLines(Map<Pool, TreeMap<Backend, Double>> laid, boolean round) {
        double most = bulk(round || !joined && !joining.isEmpty() ? ORDINARY_BACKLOG : URGENT_BACKLOG);
        TreeMap<Double, List<Change>> furthestFirst = new TreeMap<>(Comparator.reverseOrder());
        laid.forEach((pool, lines) -> {
            TreeMap<Backend, Double> wanted = new TreeMap<>(lines);
            pool.sent.values().removeIf(w -> w == 0);
            pool.sent.forEach((b, w) -> wanted.putIfAbsent(b, pool.members.contains(b) ? w : 0));
            List<Change> changes = new ArrayList<>();
            wanted.forEach((b, w) -> changes.add(new Change(pool, b, w, pool.sent.getOrDefault(b, 0.0))));
            double off = changes.stream().mapToDouble(c -> Math.abs(c.weight() - c.was())).sum();
            furthestFirst.computeIfAbsent(off * pool.demand, k -> new ArrayList<>()).addAll(changes);
        });
        double before = sent.waiting();
        for (List<Change> changes : furthestFirst.values()) {
            boolean spent = !urgent && sent.waiting() - before >= allowance;
            for (Change change : changes) {
                boolean free = change.pool().users.isEmpty() || !spent && sent.waiting() < most;
                if (change.size() > WORTH_SENDING && free) {
                    order(new SetLine(change.pool().table, change.backend(), change.weight()),
                            change.pool().bound());
                    change.pool().sent.put(change.backend(), change.weight());
                }
            }
        }
        allowance -= urgent ? 0 : sent.waiting() - before;
        urgent &= sent.waiting() >= most; // the rest of what a list change brought is sent with the next room
    }

    private void tellLevels(long now) {
        long departed = proxies.values().stream().filter(p -> !p.joined).count();
        String line = record.line(now, levels, floors,
                new LevelRecord.Ground(reason, total, total, proxies.size(), departed));
        if (line != null) { actions.add(new Log(line)); }
    }

    private void sendLevels() {
        for (Pool pool : pools.values().stream().flatMap(List::stream).toList()) {
            for (int cls : groups.get(pool.group)) {
                Double sent = pool.levels.get(cls);
                boolean other = sent == null || Math.abs(levels[cls] / sent - 1) > LEVEL_WORTH_SENDING;
                if (other || pool.retry != retry) {
                    pool.levels.put(cls, levels[cls]);
                    order(new Admit(pool.table, 1 << cls, levels[cls], retry), pool.bound());
                }
            }
            pool.retry = retry;
        }
    }
}
