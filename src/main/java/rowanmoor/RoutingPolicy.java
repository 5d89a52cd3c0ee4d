package rowanmoor;

import java.util.*;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import rowanmoor.ControlApi.*;
import rowanmoor.FleetState.*;

/** One controller's decisions; events, actions and settings: {@link ControlApi}; reasons: docs/design.md. */
public final class RoutingPolicy {

    private static final double NS_PER_SECOND = 1e9;
    private static final long MIN_ROUND_NS = 1_000_000_000L; // shortest round (the design's pace), ns
    // Health and speed.
    private static final double SMOOTHING_FACTOR = 0.35; // weight of a new round: about three count
    private static final double MIN_TRIES = 8; // tries over the smoothed span below which nothing is judged
    private static final double SUSPEND_FAILURE_FRACTION = 0.6; // share failed, and 3 x its peers', that rests a path
    private static final double DEAD_FAILURE_FRACTION = 0.85; // a path failing this share serves nobody: it may always rest
    private static final double MAX_SUSPENDED_WEIGHT_FRACTION = 0.25; // panic floor: weight resting for partial failures
    private static final double FAILED_TRY_LATENCY_NS = 1e9; // latency, ns, that a failed try counts as
    private static final double SLOW_OUTLIER_RATIO = 1.9; // times slower than the median: lighter than hand-overs allow
    private static final long SUSPENSION_NS = 4_000_000_000L; // how long a path rests, ns
    private static final long GONE_RETENTION_NS = 120_000_000_000L; // how long what is gone keeps its lines, ns
    private static final double TRIAL_WEIGHT_FRACTION = 0.1, TRIAL_GROWTH_PER_ROUND = 2; // part of its weight on trial; growth a round
    // Hand-overs: the part of a load gap closed in a round, the gap taken for noise, the design's bounds.
    private static final double CORRECTION_GAIN = 0.1, LOAD_NOISE_FRACTION = 0.1;
    private static final double MIN_CORRECTION = 0.5, MAX_CORRECTION = 2;
    private static final double ZONE_TABLES_MIN_PRICE = 0.02; // crossing price from which zones have own tables
    private static final int MAX_POOL_BACKENDS = 25, MIN_BACKENDS_PER_POOL = 6; // backends in a pool (design); to open one more
    private static final int MIN_PROXIES_PER_TABLE = 5; // at the least (the design's)
    private static final double MIN_POOLED_FLOW_PERCENT = 25; // percent of the mean flow, from which a backend has a pool
    private static final double REFILL_SUPPLY_FRACTION = 0.8, REBALANCE_GAP_FRACTION = 0.33; // part of demand for a refill; gap for a move
    private static final int MIN_REMOTE_BACKENDS = 2; // backends of other zones in every pool
    private static final double CROSS_ZONE_TRICKLE_FRACTION = 0.03; // part of a table spread over all zones: a way out
    // Warmth below which a backend stays out, if enough are warm; and in overload or where proxies shun.
    private static final double MIN_WARMTH = 0.35, MIN_WARMTH_IN_OVERLOAD = 0.6;
    private static final long MAX_RECONNECT_NS = 5_000_000_000L; // how long a proxy may be between two streams, ns
    private static final double MIN_WEIGHT = 1e-9; // for those of no weight, where there are no others
    private static final double MAX_COLD_DEMAND_RATIO = 3; // times its part of demand, that a cold backend has in a table
    private static final double MIN_WEIGHT_CHANGE_FRACTION = 0.1, MIN_LEVEL_CHANGE_FRACTION = 0.03; // relative changes sent
    // Levels: the design's figures, but for the proven rate's.
    private static final double OVERLOAD_FAILURE_FRACTION = 0.05; // overload: share of tries that fail
    private static final double OVERLOAD_LATENCY_RATIO = 2; // or: times slower than when quiet
    private static final int BACKENDS_PER_QUEUE_PROBE = 8; // one in so many is probed where probes tell of queues only
    // Failures may be overload with a mean queue above this; where none is told, with answers so much slower.
    private static final double QUEUEING_MEAN_LENGTH = 0.5, QUEUEING_LATENCY_RATIO = 1.4;
    // Reported use below which a backend is not overloaded, and above which it is: it tells sooner than sums.
    private static final double IDLE_UTILIZATION = 0.6, SATURATED_UTILIZATION = 0.97;
    private static final double HEADROOM_FRACTION = 0.9; // the total starts at this part of the served rate
    private static final double PROVEN_RATE_FRACTION = 0.75; // part of the best rate served calmly so far: safe
    private static final double RAISE_PER_SECOND = 1.1, FAST_RAISE_PER_SECOND = 1.6; // growth of the total in a calm second
    private static final double TARGET_UTILIZATION = 0.85, MIN_RAISE_PER_SECOND = 1.02; // use up to which it grows fast; and past it
    private static final double MAX_TOTAL_TO_SERVED_RATIO = 1.5; // bound of the total over what is served
    private static final double CONGESTION_FAILURE_FRACTION = 0.3; // jammed: share that fail, or answers beyond an aim
    private static final int ROUNDS_BETWEEN_REDUCTIONS = 3, LEARNING_ROUNDS = 2; // rounds until lowered again; heard till levels
    private static final long PROXY_LEASE_NS = 10_000_000_000L; // how long departed proxies count, ns
    // No level below this part of mean usage: none out of reach starves. Lifted at so many times the demand.
    private static final double MIN_LEVEL_FRACTION = 0.1, LIFT_DEMAND_RATIO = 1.3;
    private static final int MAX_LOGGED_BACKENDS = 8; // backends named in one line of the log
    private static final double OPEN_RATE_PER_SECOND = 1_000_000; // the rate that lets everything in
    // Safe for every class. A try again after any failure cuts the first short: that waste alone feeds jams.
    private static final Retry NORMAL_RETRY = Retry.ONCE_UNRUN;
    // What can be put off leaves within so many seconds, however deep the channel may be: a drain, which
    // cannot, does not wait behind it then. The marks' way there and back takes about one.
    private static final double BULK_BACKLOG_SECONDS = 2;
    private static final double ORDINARY_BACKLOG_FRACTION = 0.4, URGENT_BACKLOG_FRACTION = 0.7, BIND_BACKLOG_FRACTION = 0.85;
    // Parts: of the lines that leave within a drain's grace, that may wait; of the pace, for ordinary lines.
    private static final double GRACE_BACKLOG_FRACTION = 0.6, ORDINARY_PACE_FRACTION = 0.15;
    private static final long MIN_SEND_WAIT_NS = 50_000_000L; // least wait, ns, for room in the channel
    private static final double UNCONFIRMED_PACE_FRACTION = 0.2; // of its pace, at which it drains while no mark tells
    private static final double MESSAGE_GAP_FACTOR = 1.1; // on the gap between messages where they are limited

    /** What is known of one backend; {@code all} sums its paths, one for each region. */
    private final class BackendState {
        Member member;
        PathStats[] paths = PathStats.newArray(regions);
        PathStats allRegions = new PathStats();
        double correction = 1, utilization, lastUtilization, quietLatency;
        boolean withdrawn, heldCold;
        long listChangedAt; // when the list last changed it

        boolean isReady() { return member.listed() == Listed.READY; }

        boolean isOpen() { return isReady() && !heldCold; }

        /** A process that restarted is a new one: what its predecessor met says nothing of it. */
        void resetStats() {
            paths = PathStats.newArray(regions);
            allRegions = new PathStats();
            utilization = 0;
        }

        /** The least part of its capacity that it has by now, going by the stated ramp. */
        double warmth(long now) { return settings.rules().warmth(member.startedAt(), now); }

        /** What it can do. A cold one is slow with each request and short of room: hence the square. */
        double capacity(long now) {
            double weight = Math.max(MIN_WEIGHT, member.weight());
            return isOpen() ? weight * correction * warmth(now) * warmth(now) : 0;
        }

        /** How loaded it is, on whatever scale the site reports; 0 if unknown. */
        double load() { return settings.columns().busy() >= 0 ? utilization : latency(allRegions); }
    }

    private final Settings settings;
    private final Random random;
    private final int regions;
    private final long roundLengthNs;
    private final double tightestAimNs;
    private final List<Integer> classesByWorth; // classes, the worthiest first
    private final List<Integer> classesByAim; // classes, those of the lightest requests first, as far as aims tell
    private final List<List<Integer>> groups = new ArrayList<>();
    private final TreeMap<Backend, BackendState> backends = new TreeMap<>();
    private final TreeMap<Integer, ProxyState> proxies = new TreeMap<>();
    private final TreeMap<Integer, List<Pool>> poolSets = new TreeMap<>(); // by group and region
    private final List<Action> actions = new ArrayList<>();
    private final LinkedHashSet<Integer> bindQueue = new LinkedHashSet<>(); // to be bound, in order
    private final double[] levels;
    private final boolean[] atFloor; // classes whose level is the least
    private final LevelLog levelLog;
    private LevelLog.Reason levelReason = LevelLog.Reason.DEMAND;
    private boolean reportsReceived, listChangePending, joinPending, watching;
    private Retry currentRetry = NORMAL_RETRY; // as tries fail now
    private long nextRoundAt, lastEvaluationAt, nextListRequestAt, nextMessageAt, lastDrainAt;
    private int evaluatedRounds, listRequestFailures, overloadedRounds;
    private double totalRate = Double.POSITIVE_INFINITY, provenRatePerCapacity, usualCapacity, meanQueueLength = 1, ordinaryLineAllowance = 1e9;
    private final ChannelBacklog channelBacklog = new ChannelBacklog(); // what the channel was given, and what has left it
    private final Timers timers = new Timers();

    public RoutingPolicy(Settings settings, long seed) {
        this.settings = settings;
        this.random = new Random(seed);
        boolean ownZones = settings.classes().stream().anyMatch(ClassSpec::ownZone);
        this.regions = ownZones || settings.crossZonePrice() >= ZONE_TABLES_MIN_PRICE ? settings.zones() : 1;
        this.roundLengthNs = Math.max(MIN_ROUND_NS, settings.period());
        this.tightestAimNs = settings.classes().stream().mapToLong(ClassSpec::aim).min().orElse(0);
        this.classesByWorth = IntStream.range(0, settings.classes().size()).boxed()
                .sorted(Comparator.comparing(c -> -settings.classes().get(c).worth())).toList();
        this.classesByAim = classesByWorth.stream().sorted(Comparator.comparing(c ->
                settings.classes().get(c).aim())).toList();
        this.levels = new double[settings.classes().size()];
        Arrays.fill(levels, openLevel());
        this.atFloor = new boolean[levels.length];
        this.levelLog = new LevelLog(levels.length, openLevel());
        groupClasses();
    }

    public void handle(long now, Event event) {
        if (event instanceof Members members) {
            handleMembers(now, members);
        } else if (event instanceof ProxyJoined joined) {
            handleJoin(now, joined);
        } else if (event instanceof ProxyLeft left && proxies.containsKey(left.proxy())) {
            proxies.get(left.proxy()).leave(left.proxy(), now);
            bindQueue.remove(left.proxy());
        } else if (event instanceof Tally tally && backends.containsKey(tally.backend())) {
            handleTally(backends.get(tally.backend()), tally);
        } else if (event instanceof Usage usage && proxies.containsKey(usage.proxy())) {
            reportsReceived = true;
            proxies.get(usage.proxy()).add(usage);
        } else if (event instanceof Probed probed && probed.ok() && backends.containsKey(probed.backend())) {
            handleLoad(backends.get(probed.backend()), probed.load());
        } else if (event instanceof Applied applied) {
            channelBacklog.markApplied(applied.mark());
        }
    }

    /** The orders that follow from all that was heard up to now. */
    public List<Action> decide(long now) {
        requestList(now);
        boolean round = now >= nextRoundAt;
        if (round) {
            nextRoundAt = now + roundLengthNs;
            timers.set(now, nextRoundAt, Timers.ROUND, actions);
            sendProbes();
            evaluateRound(now);
        }
        sendOrders(now, round);
        List<Action> orders = List.copyOf(actions);
        actions.clear();
        return orders;
    }

    /** What is held of each backend now. */
    public List<Belief> beliefs(long now) {
        return backends.values().stream().map(s -> new Belief(s.member.backend(), s.member.listed(), s.load(),
                Arrays.stream(s.paths).map(p -> p.health).toList(), s.correction, s.warmth(now),
                s.allRegions.tries, s.withdrawn)).toList();
    }

    // ---- 1. Members -------------------------------------------------------------------------------------

    private void handleMembers(long now, Members list) {
        if (list.kind() == ListKind.FAILED) {
            watching = false;
            long base = Math.min(MIN_ROUND_NS << Math.min(listRequestFailures++, 2), settings.rules().askWithin() / 4);
            nextListRequestAt = now + (long) (base * (0.5 + random.nextDouble() / 2));
            return;
        }
        listRequestFailures = list.kind() == ListKind.CACHED ? listRequestFailures : 0;
        TreeMap<Backend, BackendState> unmentioned = new TreeMap<>(backends);
        for (Member member : list.entries()) {
            unmentioned.remove(member.backend());
            BackendState state = backends.computeIfAbsent(member.backend(), b -> new BackendState());
            updateMember(now, state, member);
        }
        if (list.kind() != ListKind.DELTA) { unmentioned.values().forEach(s ->
                updateMember(now, s, s.member.gone())); }
    }

    private void updateMember(long now, BackendState state, Member member) {
        if (state.member != null && member.startedAt() > state.member.startedAt()) { state.resetStats(); }
        boolean changed = state.member == null || !state.member.equals(member);
        state.listChangedAt = changed ? now : state.listChangedAt;
        listChangePending |= changed;
        state.member = member;
    }

    private void requestList(long now) {
        if (settings.mustAsk() && !watching) {
            watching = now >= nextListRequestAt;
            if (watching) { actions.add(new Watch(true)); }
            if (!watching) { timers.set(now, nextListRequestAt, Timers.ASK, actions); }
        }
    }

    // ---- 2. Health and speed ----------------------------------------------------------------------------

    private double failureFraction(PathStats path) { return path.tries < MIN_TRIES ? 0 : path.failed / path.tries; }

    private double latency(PathStats path) {
        return path.tries < MIN_TRIES ? 0 : (path.latencySum + path.failed * FAILED_TRY_LATENCY_NS) / path.tries;
    }

    private int region(int zone) { return regions == 1 ? 0 : zone; }

    private void handleTally(BackendState state, Tally tally) {
        reportsReceived = true;
        state.paths[region(tally.zone())].add(tally);
        state.allRegions.add(tally);
        handleLoad(state, tally.load());
    }

    private void handleLoad(BackendState state, List<Double> load) {
        int queue = settings.columns().queue();
        if (queue >= 0 && queue < load.size()) { meanQueueLength += (load.get(queue) - meanQueueLength) / BACKENDS_PER_QUEUE_PROBE; }
        int column = settings.columns().busy();
        if (column >= 0 && column < load.size()) {
            state.lastUtilization = load.get(column);
            state.utilization = state.utilization == 0 ? load.get(column) : smooth(state.utilization, load.get(column));
        }
    }

    private static double smooth(double old, double fresh) { return old + SMOOTHING_FACTOR * (fresh - old); }

    /** All are probed where that tells of use; where only of queues, a few tell whether the fleet waits. */
    private void sendProbes() {
        int every = settings.columns().busy() >= 0 ? 1 : settings.columns().queue() >= 0 ? BACKENDS_PER_QUEUE_PROBE : 0;
        int place = evaluatedRounds;
        for (BackendState state : backends.values()) {
            boolean due = settings.mayProbe() && every > 0 && place++ % every == 0;
            if (due && state.isReady()) { actions.add(new Probe(state.member.backend())); }
        }
    }

    /** A round's lessons: paths, loads, usage, total. */
    private void evaluateRound(long now) {
        if (!reportsReceived) { return; }
        reportsReceived = false;
        evaluatedRounds++;
        // After a silence, reports cover their own span, not the silence.
        double told = backends.values().stream().flatMap(s -> Arrays.stream(s.paths))
                .mapToDouble(p -> p.newSpanSeconds).max().orElse(0);
        double gap = (lastEvaluationAt == 0 ? roundLengthNs : now - lastEvaluationAt) / NS_PER_SECOND;
        double seconds = Math.min(gap, Math.max(roundLengthNs / NS_PER_SECOND, told));
        lastEvaluationAt = now;
        double tries = backends.values().stream().mapToDouble(s -> s.allRegions.newTries).sum();
        double failed = backends.values().stream().mapToDouble(s -> s.allRegions.newFailed).sum();
        for (BackendState state : backends.values()) {
            state.allRegions.endRound(SMOOTHING_FACTOR, MIN_TRIES);
            Arrays.stream(state.paths).forEach(p -> p.endRound(SMOOTHING_FACTOR, MIN_TRIES));
        }
        updateRetry(tries, failed);
        for (int region = 0; region < regions; region++) { evaluatePaths(now, region); }
        correctWeights(now);
        updateUsage(now, seconds);
        updateTotal(now, seconds);
        computeLevels();
    }

    // Second tries of what full backends turn away are half of a jam's load. They stop before the jam counts
    // as overload, which takes most backends: one that comes in cold then draws them all. Not where backends
    // are dead and the others have room: there second tries are what saves requests.
    private void updateRetry(double tries, double failed) {
        List<BackendState> known = backends.values().stream().filter(s -> s.quietLatency > 0
                && s.allRegions.lastLatencyNs > 0).toList();
        long slower = known.stream().filter(s -> s.allRegions.lastLatencyNs > QUEUEING_LATENCY_RATIO * s.quietLatency).count();
        boolean waits = settings.columns().queue() >= 0 ? meanQueueLength > QUEUEING_MEAN_LENGTH : slower * 2 > known.size();
        boolean failing = failed > (currentRetry == NORMAL_RETRY ? 2 : 1) * OVERLOAD_FAILURE_FRACTION * tries;
        if (tries >= MIN_TRIES && (!failing || waits)) { currentRetry = failing ? Retry.NEVER : NORMAL_RETRY; }
    }

    // Rests a path that fails far more than its peers (fast failers, dead and cut-off backends) and lightens
    // one that is far slower. Full backends fail too: partial failures rest few, and none under overload.
    private void evaluatePaths(long now, int region) {
        List<BackendState> ready = backends.values().stream().filter(BackendState::isReady).toList();
        List<PathStats> judged = ready.stream().map(s -> s.paths[region]).filter(p -> p.tries >= MIN_TRIES).toList();
        double usualFailing = FleetState.median(judged.stream().map(this::failureFraction).toList());
        double usualLatency = FleetState.median(judged.stream().map(this::latency).filter(l -> l > 0).toList());
        double usualOfAll = FleetState.median(ready.stream().filter(s -> s.allRegions.tries >= MIN_TRIES)
                .map(s -> failureFraction(s.allRegions)).toList());
        double mayRest = 0;
        List<String> rested = new ArrayList<>();
        for (BackendState state : backends.values()) {
            double part = !state.isReady() ? 0 : state.paths[region].suspendedUntil > 0 ? -1 : MAX_SUSPENDED_WEIGHT_FRACTION;
            mayRest += part * state.member.weight();
        }
        for (BackendState state : backends.values().stream().sorted(Comparator.comparing(s ->
                -failureFraction(decisiveStats(s, region)))).toList()) {
            PathStats path = state.paths[region];
            PathStats told = decisiveStats(state, region);
            double usual = told == path ? usualFailing : usualOfAll;
            boolean failing = failureFraction(told) > Math.max(SUSPEND_FAILURE_FRACTION, 3 * usual);
            boolean room = told == path && failureFraction(path) > DEAD_FAILURE_FRACTION
                    || overloadedRounds == 0 && mayRest >= state.member.weight();
            if (path.suspendedUntil > now || now < path.trialEvaluationAt) { continue; }
            if (path.suspendedUntil > 0) {
                path.suspendedUntil = 0;
                path.health = TRIAL_WEIGHT_FRACTION;
                path.trialEvaluationAt = now + settings.channel().latest() + 2 * settings.period();
                path.tries = 0;
                path.failed = 0;
                path.latencySum = 0;
            } else if (failing && room) {
                path.suspendedUntil = now + SUSPENSION_NS;
                path.health = 0;
                mayRest -= state.member.weight();
                rested.add(state.member.backend() + " failed " + Math.round(100 * failureFraction(told)) + "%");
            } else {
                double slower = usualLatency > 0 ? latency(path) / usualLatency : 1;
                path.health = Math.min(slower > SLOW_OUTLIER_RATIO ? 1 / slower : 1, path.health * TRIAL_GROWTH_PER_ROUND);
            }
        }
        logBackends("path rested from region " + region, rested);
    }

    /** What tells of a path's failures: its own tries; where they are few and fail, those of all regions. */
    private PathStats decisiveStats(BackendState state, int region) {
        PathStats path = state.paths[region];
        return path.tries >= MIN_TRIES || path.failed <= SUSPEND_FAILURE_FRACTION * path.tries ? path : state.allRegions;
    }

    /** One line of the log, however many it is about. */
    private void logBackends(String what, List<String> which) {
        String more = which.size() > MAX_LOGGED_BACKENDS ? " and " + (which.size() - MAX_LOGGED_BACKENDS) + " more" : "";
        List<String> named = which.subList(0, Math.min(MAX_LOGGED_BACKENDS, which.size()));
        if (!which.isEmpty()) { actions.add(new Log(what + ": " + String.join(", ", named) + more)); }
    }

    /** The companion: backends loaded above the mean hand weight to those below, within its bounds. */
    private void correctWeights(long now) {
        List<BackendState> settled = backends.values().stream().filter(s -> s.isReady() && s.load() > 0
                && s.warmth(now) == 1 && Arrays.stream(s.paths).allMatch(p -> p.health == 1)).toList();
        double sum = settled.stream().mapToDouble(s -> s.load() * s.member.weight()).sum();
        double mean = sum / settled.stream().mapToDouble(s -> s.member.weight()).sum();
        for (BackendState state : settled) {
            if (Math.abs(state.load() / mean - 1) > LOAD_NOISE_FRACTION) {
                double correction = state.correction * Math.pow(state.load() / mean, -CORRECTION_GAIN);
                state.correction = Math.max(MIN_CORRECTION, Math.min(MAX_CORRECTION, correction));
            }
        }
    }

    // ---- 3. Tables --------------------------------------------------------------------------------------

    /** Classes open to the same backends share tables; the confined ones come first. */
    private void groupClasses() {
        TreeMap<String, List<Integer>> byOpenness = new TreeMap<>();
        for (int c = 0; c < levels.length; c++) {
            byOpenness.computeIfAbsent(settings.classes().get(c).openness(), k -> new ArrayList<>()).add(c);
        }
        groups.addAll(byOpenness.values());
    }

    private ClassSpec classSpec(int group) { return settings.classes().get(groups.get(group).get(0)); }

    /** What a proxy asks of a group, in work as far as aims tell of it. */
    private double workRate(ProxyState proxy, int group) {
        return groups.get(group).stream().mapToDouble(c ->
                proxy.usage[c] * settings.classes().get(c).aim()).sum();
    }

    private double demand(Pool pool) {
        return 1 + pool.proxies.values().stream().mapToDouble(p -> workRate(p, pool.group)).sum();
    }

    /** How many table numbers a set of pools has: they are 16 bits for all regions and groups together. */
    private int tablesPerPoolSet() { return ControlApi.ALL_TABLES / (groups.size() * regions); }

    private List<Pool> poolSet(int group, int region) {
        return poolSets.computeIfAbsent(group * regions + region, k -> new ArrayList<>(List.of(
                new Pool(k * tablesPerPoolSet(), group))));
    }

    // What joined proxies ask of a group, by region, in work as far as aims tell of it. A region with none is
    // taken for a usual one: its proxies may return, and must not meet tables laid for nobody.
    private double[] demand(int group) {
        double[] demand = new double[regions];
        proxies.values().stream().filter(p -> p.joined)
                .forEach(p -> demand[region(p.zone)] += workRate(p, group));
        double usual = Math.max(1, Arrays.stream(demand).sum() / regions);
        Arrays.setAll(demand, r -> demand[r] > 0 ? demand[r] : usual);
        return demand;
    }

    /** All tables: each backend is used in proportion to its capacity, confined classes placed first. */
    private Map<Pool, TreeMap<Backend, Double>> computeTables(long now) {
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
                if (room.get(backend) > 0 && classSpec(g).openTo(state.member)) {
                    double rest = classSpec(g).confined() ? room.get(backend) : left.get(backend);
                    part.put(backend, Math.max(1e-9, rest));
                }
            }
            double scale = Arrays.stream(demands.get(g)).sum() / FleetState.sum(part.values());
            part.replaceAll((backend, share) -> share * scale);
            part.forEach((backend, share) -> left.merge(backend, -share, Double::sum));
            for (int r = 0; r < regions; r++) {
                TreeMap<Backend, Double> open = new TreeMap<>(part);
                int own = r;
                open.keySet().removeIf(b -> classSpec(group).ownZone()
                        && region(backends.get(b).member.zone()) != own);
                TreeMap<Backend, Double> flows = regionFlows(now, r, open, demands.get(g));
                List<Pool> set = poolSet(g, r);
                set.forEach(p -> p.demand = demand(p));
                assignBackends(r, flows, set);
                set.forEach(p -> laid.put(p, poolLines(now, p, flows, set)));
            }
        }
        return laid;
    }

    // One table: its region's own backends as far as they have room, the rest where others leave some. What
    // the region's proxies cannot reach has no room for them: their share moves on, if need be far.
    private TreeMap<Backend, Double> regionFlows(long now, int region, TreeMap<Backend, Double> part,
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
            flow[r] = room[r] <= 0 ? 0 : flow[r] / room[r] / demand[region] + CROSS_ZONE_TRICKLE_FRACTION / all;
        }
        lines.replaceAll((backend, share) -> {
            BackendState state = backends.get(backend);
            double weight = share * flow[region(state.member.zone())];
            return state.warmth(now) < 1 ? Math.min(weight, MAX_COLD_DEMAND_RATIO * share / all) : weight;
        });
        double sum = FleetState.sum(lines.values());
        lines.replaceAll((backend, weight) -> 100 * weight / sum);
        return lines;
    }

    // Who is in which pool. A fleet that fits into one pool is one pool. Otherwise each backend that the
    // region uses is in one, a pool too short of what is used is refilled at once, and each has a way out of
    // its zone. Members stay as long as they can: moving a line closes connections.
    private void assignBackends(int region, Map<Backend, Double> flows, List<Pool> set) {
        int most = Math.min(tablesPerPoolSet(), settings.proxies() / Math.max(1, settings.instances())
                / (MIN_PROXIES_PER_TABLE * regions * groups.size()));
        Predicate<Backend> away = b -> region(backends.get(b).member.zone()) != region;
        long own = flows.keySet().stream().filter(away.negate()).count();
        while (flows.size() > MAX_POOL_BACKENDS && set.size() < Math.min(most, own / MIN_BACKENDS_PER_POOL)) {
            set.add(set.get(0).sibling(set.get(0).table + set.size()));
        }
        if (set.size() == 1) {
            flows.keySet().forEach(set.get(0)::add);
            return;
        }
        flows.keySet().stream().filter(b -> flows.get(b) * flows.size() >= MIN_POOLED_FLOW_PERCENT
                && set.get(0).poolCount(b) == 0).forEach(b -> addToPool(Collections.min(set,
                        Comparator.comparing(p -> p.supplyRatio(flows))), b, flows));
        boolean settled = !joinPending && evaluatedRounds > LEARNING_ROUNDS; // while proxies join, demand tells nothing
        double fair = REFILL_SUPPLY_FRACTION * 100 / set.stream().mapToDouble(p -> p.demand).sum();
        for (Pool pool : set) {
            for (int i = 0; settled && i < MAX_POOL_BACKENDS && pool.supplyRatio(flows) < fair; i++) {
                refillPool(pool, b -> true, flows, set);
            }
            for (long i = pool.members.stream().filter(away).count(); regions > 1 && i < MIN_REMOTE_BACKENDS; i++) {
                refillPool(pool, away, flows, set);
            }
        }
    }

    private void refillPool(Pool pool, Predicate<Backend> fit, Map<Backend, Double> flows, List<Pool> set) {
        flows.keySet().stream().filter(b -> !pool.members.contains(b) && fit.test(b))
                .max(Comparator.comparing(b -> flows.get(b) / (1 + pool.poolCount(b))))
                .ifPresent(b -> addToPool(pool, b, flows));
    }

    private static void addToPool(Pool pool, Backend backend, Map<Backend, Double> flows) {
        if (pool.members.size() >= MAX_POOL_BACKENDS) {
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
        lines.replaceAll((backend, flow) -> flow / pool.poolCount(backend));
        double part = 100 / Math.max(1e-9, FleetState.sum(lines.values()));
        double all = set.stream().mapToDouble(p -> p.demand).sum();
        lines.replaceAll((backend, flow) -> {
            double reach = set.stream().filter(p -> p.members.contains(backend))
                    .mapToDouble(p -> p.demand).sum();
            boolean cold = backends.get(backend).warmth(now) < 1;
            return Math.min(cold ? MAX_COLD_DEMAND_RATIO * flows.get(backend) * all / reach : 100, flow * part);
        });
        return lines;
    }

    /** Evens pools out by what their proxies ask: the busiest hands a fitting proxy to the idlest. */
    private void rebalanceProxies(List<Pool> set) {
        Pool most = Collections.max(set, Comparator.comparing(this::demand));
        Pool least = Collections.min(set, Comparator.comparing(this::demand));
        double gap = demand(most) - demand(least);
        most.proxies.entrySet().stream()
                .filter(e -> gap > REBALANCE_GAP_FRACTION * demand(most) && workRate(e.getValue(), most.group) < gap)
                .min(Comparator.comparing(e -> Math.abs(workRate(e.getValue(), most.group) - gap / 2)))
                .ifPresent(e -> {
                    e.getValue().moveTo(e.getKey(), least);
                    bindQueue.add(e.getKey());
                });
    }

    // ---- 4. Levels --------------------------------------------------------------------------------------

    private double openLevel() { return settings.admission() == Admission.SHARE ? 1 : OPEN_RATE_PER_SECOND; }

    private void updateUsage(long now, double seconds) {
        proxies.values().removeIf(p -> !p.joined && now - p.leftAt > PROXY_LEASE_NS);
        double reports = backends.size() * settings.zones() + proxies.size() * levels.length;
        double cycle = reports / settings.hearsPerSecond();
        for (ProxyState proxy : proxies.values()) {
            proxy.hasReported |= Arrays.stream(proxy.newRequests).sum() > 0;
            proxy.presence = smooth(proxy.presence, proxy.joined && proxy.hasReported ? 1 : 0);
            if (proxy.joined && proxy.hasReported) { proxy.endRound(seconds, cycle, SMOOTHING_FACTOR); }
        }
    }

    /** The design's total: set once at overload to the served rate, lowered with patience, raised in calm. */
    private void updateTotal(long now, double seconds) {
        List<BackendState> judged = backends.values().stream().filter(s -> s.isReady()
                && s.allRegions.tries >= MIN_TRIES).toList();
        double good = backends.values().stream().mapToDouble(s -> s.allRegions.tries - s.allRegions.failed).sum();
        double served = good * SMOOTHING_FACTOR / seconds;
        double capacity = backends.values().stream().mapToDouble(s -> s.capacity(now)).sum();
        usualCapacity = Math.max(capacity, smooth(usualCapacity, capacity));
        double known = provenRatePerCapacity * capacity;
        judged.stream().filter(s -> s.quietLatency == 0 || latency(s.allRegions) > 0 && latency(s.allRegions) < s.quietLatency)
                .forEach(s -> s.quietLatency = latency(s.allRegions));
        long over = judged.stream().filter(this::isOverloaded).count();
        boolean jammed = judged.stream().filter(this::isCongested).count() * 2 > judged.size();
        boolean was = overloadedRounds > 0;
        levelReason = LevelLog.Reason.DEMAND; // unless the total changes, only usage can move levels
        double tries = backends.values().stream().mapToDouble(s -> s.allRegions.tries).sum();
        boolean blind = judged.isEmpty() && tries - good > CONGESTION_FAILURE_FRACTION * tries; // too few tries, and they fail
        if (!blind && over * 2 <= judged.size()) {
            provenRatePerCapacity = Math.max(provenRatePerCapacity, served / Math.max(1e-9, usualCapacity));
            overloadedRounds = 0;
            levelReason = LevelLog.Reason.RAISED;
            double busy = judged.stream().mapToDouble(s -> s.lastUtilization).average().orElse(0);
            double raise = busy > 0 ? Math.max(MIN_RAISE_PER_SECOND, Math.min(FAST_RAISE_PER_SECOND, TARGET_UTILIZATION / busy)) : RAISE_PER_SECOND;
            double calm = Math.min(seconds, ROUNDS_BETWEEN_REDUCTIONS * roundLengthNs / NS_PER_SECOND); // a silence is no long calm
            totalRate *= Math.pow(totalRate < known ? FAST_RAISE_PER_SECOND : raise, calm);
            totalRate = Math.max(totalRate, HEADROOM_FRACTION * served); // else a total of zero would stay
            double ahead = busy > 0 ? Math.max(MAX_TOTAL_TO_SERVED_RATIO, TARGET_UTILIZATION / busy) : MAX_TOTAL_TO_SERVED_RATIO;
            double bound = Math.max(ahead * served * countedToPresentRatio(), known);
            totalRate = Double.isInfinite(totalRate) ? totalRate : Math.min(totalRate, bound);
        } else if (!blind && evaluatedRounds > LEARNING_ROUNDS) {
            overloadedRounds++;
            if (!was) {
                levelReason = LevelLog.Reason.SET;
                totalRate = Math.min(totalRate, Math.max(served * (jammed ? HEADROOM_FRACTION : 1), PROVEN_RATE_FRACTION * known));
            } else if (overloadedRounds > ROUNDS_BETWEEN_REDUCTIONS) {
                levelReason = LevelLog.Reason.LOWERED;
                totalRate *= HEADROOM_FRACTION;
                overloadedRounds = 1;
            }
        }
        if (was != overloadedRounds > 0) {
            actions.add(new Log(was ? "overload ends" : "overload begins: " + over + " of " + judged.size()
                    + " backends, " + Math.round(served) + "/s served, total " + Math.round(totalRate) + "/s"));
        }
    }

    // Levels are shared by all that are counted; what is served is told of those here, smoothed. Who came of
    // late is not in those sums yet, who left no longer: else a total bounded by them holds back, in calm,
    // those who stay while the departed are counted.
    private double countedToPresentRatio() {
        double present = proxies.values().stream()
                .mapToDouble(p -> p.presence * Arrays.stream(p.usage).sum()).sum();
        return present <= 0 ? 1 : Math.min(1 / SMOOTHING_FACTOR, demand() / present);
    }

    private double demand() {
        return proxies.values().stream().mapToDouble(p -> Arrays.stream(p.usage).sum()).sum();
    }

    // Overload shows in a jam (all that a controller restarted in one can know), in failures, or in answers
    // twice as slow as in quiet and slow enough to matter; not while its cores idle: then the way is slow.
    private boolean isOverloaded(BackendState state) {
        if (state.utilization > 0 && state.lastUtilization < IDLE_UTILIZATION) { return false; }
        boolean slower = state.allRegions.lastLatencyNs == 0 || state.allRegions.lastLatencyNs > QUEUEING_LATENCY_RATIO * state.quietLatency;
        boolean waits = settings.columns().queue() >= 0 ? meanQueueLength > QUEUEING_MEAN_LENGTH : slower;
        boolean failing = state.allRegions.lastFailureFraction > OVERLOAD_FAILURE_FRACTION && waits;
        return isCongested(state) || state.lastUtilization > SATURATED_UTILIZATION || failing
                || state.allRegions.lastLatencyNs > Math.max(OVERLOAD_LATENCY_RATIO * state.quietLatency, tightestAimNs / 2);
    }

    /** A jam: answers come too late to be of use, and what is let in only waits. Queues must drain first. */
    private boolean isCongested(BackendState state) {
        return state.allRegions.lastFailureFraction > CONGESTION_FAILURE_FRACTION || state.allRegions.lastLatencyNs > tightestAimNs;
    }

    /** Shares the part out, worthiest class first; a class's rest becomes one even level for all. */
    private void computeLevels() {
        double demand = demand();
        if (totalRate >= LIFT_DEMAND_RATIO * demand) { totalRate = Double.POSITIVE_INFINITY; }
        double part = totalRate;
        double[] leastParts = minLevelFractions();
        for (int cls : classesByWorth) {
            double[] usage = proxies.values().stream().mapToDouble(p -> p.usage[cls]).sorted().toArray();
            double asked = Arrays.stream(usage).sum();
            boolean share = settings.admission() == Admission.SHARE;
            double least = leastParts[cls] == 1 ? openLevel() : share ? leastParts[cls]
                    : leastParts[cls] * asked / Math.max(1, usage.length);
            levels[cls] = part >= asked ? openLevel()
                    : Math.max(least, share ? part / asked : evenLevel(usage, part));
            atFloor[cls] = levels[cls] == least;
            part = Math.max(0, part - asked);
        }
    }

    // Levels count requests, and what they free is work. A tenth of it is kept for the lightest requests,
    // whatever they are worth: turning them away frees next to nothing, and the overload stays.
    private double[] minLevelFractions() {
        double[] work = IntStream.range(0, levels.length).mapToDouble(c -> settings.classes().get(c).aim()
                * proxies.values().stream().mapToDouble(p -> p.usage[c]).sum()).toArray();
        double kept = MIN_LEVEL_FRACTION * Arrays.stream(work).sum();
        double[] parts = new double[levels.length];
        for (int cls : classesByAim) {
            parts[cls] = Math.max(MIN_LEVEL_FRACTION, Math.min(1, kept / Math.max(1e-9, work[cls])));
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
        return OPEN_RATE_PER_SECOND;
    }

    // ---- 5. Sender --------------------------------------------------------------------------------------

    private void handleJoin(long now, ProxyJoined joined) {
        ProxyState proxy = proxies.computeIfAbsent(joined.proxy(),
                p -> new ProxyState(levels.length, groups.size()));
        boolean stays = proxy.pools[0] != null && region(proxy.zone) == region(joined.zone());
        proxy.join(joined.zone(), now);
        if (proxy.pools[0] == null) { Arrays.fill(proxy.usage, joined.rate() / levels.length); }
        for (int g = 0; g < groups.size(); g++) {
            proxy.moveTo(joined.proxy(), stays ? proxy.pools[g] : Collections.min(
                    poolSet(g, region(joined.zone())), Comparator.comparing(this::demand)));
        }
        bindQueue.add(joined.proxy());
        this.joinPending = true;
    }

    /** Joining proxies are bound as the channel has room; other orders wait for it and the message budget. */
    private void sendOrders(long now, boolean round) {
        double paced = lastDrainAt == 0 ? 0 : (now - lastDrainAt) / NS_PER_SECOND * settings.channel().linesPerSecond();
        channelBacklog.assumeSent(paced * UNCONFIRMED_PACE_FRACTION);
        ordinaryLineAllowance = Math.min(maxBulkLines(ORDINARY_BACKLOG_FRACTION), ordinaryLineAllowance + paced * ORDINARY_PACE_FRACTION);
        lastDrainAt = now;
        holdColdBackends(now);
        if (settings.slices() > 0) {
            sendWithdrawals(true); // sites with slices get legal orders only
            return;
        }
        // Who waits to be bound comes before lines: old tables may name the gone.
        if (!joinPending && !withdrawalPending()) { bindProxies(now); }
        boolean due = (round || listChangePending || joinPending) && now >= nextMessageAt;
        boolean room = channelBacklog.waitingLines() <= maxBulkLines(URGENT_BACKLOG_FRACTION);
        if (due && channelBacklog.waitingLines() <= maxWaitingLines(URGENT_BACKLOG_FRACTION)) { sendWithdrawals(room); }
        if (due && room) {
            sendLines(computeTables(now), round);
            sendLevels();
            joinPending = false;
            logLevels(now);
        }
        if (listChangePending) {
            timers.set(now, Math.max(nextMessageAt, now + MIN_SEND_WAIT_NS), Timers.SEND, actions);
        }
        if (round) {
            poolSets.values().forEach(this::rebalanceProxies);
            removeGoneBackends(now);
        }
        if (!withdrawalPending()) { bindProxies(now); }
        int mark = channelBacklog.closeReply();
        if (mark >= 0) {
            actions.add(new Mark(mark)); // the answers tell what has left the channel
            nextMessageAt = now + (long) (MESSAGE_GAP_FACTOR * settings.channel().messageGap());
        }
    }

    /** Whether a withdrawal waits: binds that fill the channel again and again would hold it back. */
    private boolean withdrawalPending() {
        return backends.values().stream().anyMatch(s -> !s.withdrawn && !s.isOpen());
    }

    /** Lines that may wait, so that a withdrawal behind them still arrives within the grace. */
    private double maxWaitingLines(double part) {
        Channel channel = settings.channel();
        double grace = Math.max(0.5, (settings.rules().drainGrace() - channel.latest()) / NS_PER_SECOND);
        return Math.min(part * channel.backlog(), GRACE_BACKLOG_FRACTION * grace * channel.linesPerSecond());
    }

    /** The same for what can be put off. */
    private double maxBulkLines(double part) {
        return Math.min(maxWaitingLines(part), part * BULK_BACKLOG_SECONDS * settings.channel().linesPerSecond());
    }

    private void bindProxies(long now) {
        Channel channel = settings.channel();
        double most = BIND_BACKLOG_FRACTION * Math.min(channel.backlog(), BULK_BACKLOG_SECONDS * channel.linesPerSecond());
        for (Iterator<Integer> first = bindQueue.iterator(); first.hasNext();) {
            int number = first.next();
            ProxyState proxy = proxies.get(number);
            double lines = 0;
            for (Pool pool : proxy.pools) {
                lines += 1 + pool.sentWeights.size() + groups.get(pool.group).size();
                lines += pool.sentWeights.keySet().stream().filter(b -> backends.get(b).withdrawn).count();
                lines += backendsToReadmit(now, proxy, pool).size();
            }
            double over = channelBacklog.waitingLines() + lines + settings.channel().head() + 1 - most;
            if (channelBacklog.waitingLines() > 0 && over > 0) {
                double wait = NS_PER_SECOND * over / settings.channel().linesPerSecond();
                timers.set(now, now + Math.max(MIN_SEND_WAIT_NS, (long) wait), Timers.BIND, actions);
                return;
            }
            for (Pool pool : proxy.pools) {
                int classes = groups.get(pool.group).stream().mapToInt(c -> 1 << c).sum();
                actions.add(new Bind(number, pool.table, classes, backendsToReadmit(now, proxy, pool)));
            }
            channelBacklog.add(proxy, lines, settings.channel().head() + 1);
            proxy.bound = true;
            first.remove();
        }
    }

    // A proxy shuts out on another instance's order what that one had no time to let back: backends that were
    // too cold at the latest when it was away.
    private List<Backend> backendsToReadmit(long now, ProxyState proxy, Pool pool) {
        return proxy.bound ? List.of() : pool.sentWeights.keySet().stream().filter(b -> {
            BackendState state = backends.get(b);
            return !state.withdrawn && state.warmth(proxy.joinedAt - MAX_RECONNECT_NS) < MIN_WARMTH_IN_OVERLOAD;
        }).toList();
    }

    private void emit(Action action, Collection<ProxyState> users) {
        actions.add(action);
        users.forEach(proxy -> channelBacklog.add(proxy, 1, settings.channel().head() + 1));
    }

    // A very cold backend stays out while enough warm ones are there: in a jam proxies shun those that fail,
    // and all that is left to draw may be the cold one, whatever its weight.
    private void holdColdBackends(long now) {
        double least = overloadedRounds > 0 || settings.ejects() > 0 ? MIN_WARMTH_IN_OVERLOAD : MIN_WARMTH;
        List<BackendState> ready = backends.values().stream().filter(BackendState::isReady).toList();
        long warm = ready.stream().filter(s -> s.warmth(now) >= least).count();
        ready.forEach(s -> s.heldCold = s.warmth(now) < least && warm * 3 >= ready.size());
    }

    // Drained, gone and held backends are shut out; others are let in only as their lines are set anew. Those
    // who wait to be bound may hold any of them: where that is more than may wait, a new table tells them.
    private void sendWithdrawals(boolean letIn) {
        List<String> out = new ArrayList<>();
        List<String> in = new ArrayList<>();
        List<BackendState> turned = backends.values().stream().filter(s -> s.withdrawn == s.isOpen()
                && (letIn || !s.withdrawn)).toList();
        long unbound = proxies.values().stream().filter(p -> p.joined && !p.bound).count();
        double lines = unbound * (settings.channel().head() + 1 + turned.size());
        boolean boundOnly = channelBacklog.waitingLines() + lines > maxBulkLines(URGENT_BACKLOG_FRACTION);
        for (BackendState state : turned) {
            Backend backend = state.member.backend();
            state.withdrawn = !state.withdrawn;
            String listed = state.withdrawn ? " listed " + state.member.listed() : "";
            (state.withdrawn ? out : in).add(backend + listed);
            emit(new Withdraw(backend, state.withdrawn, boundOnly), proxies.values().stream()
                    .filter(p -> p.mayHold(backend, boundOnly)).toList());
        }
        logBackends("withdrawn", out);
        logBackends("let in again", in);
    }

    // Machines are replaced for years: one long gone loses its lines first, then it is let go. Not while a
    // proxy waits to be bound, whose old tables may name it.
    private void removeGoneBackends(long now) {
        for (BackendState state : List.copyOf(backends.values())) {
            Backend backend = state.member.backend();
            boolean old = state.member.listed() == Listed.GONE && now - state.listChangedAt > GONE_RETENTION_NS;
            if (old && bindQueue.isEmpty()) {
                List<Pool> all = poolSets.values().stream().flatMap(List::stream).toList();
                all.forEach(p -> p.remove(backend));
                if (all.stream().noneMatch(p -> p.sentWeights.containsKey(backend))) {
                    backends.remove(backend);
                    actions.add(new Withdraw(backend, false)); // for whoever keeps books: no table has it
                }
            }
        }
    }

    // Pools whose lines are furthest off come first; ordinary changes keep to their allowance of the channel.
    private void sendLines(Map<Pool, TreeMap<Backend, Double>> laid, boolean round) {
        double most = maxBulkLines(round || !joinPending && !bindQueue.isEmpty() ? ORDINARY_BACKLOG_FRACTION : URGENT_BACKLOG_FRACTION);
        TreeMap<Double, List<WeightChange>> furthestFirst = new TreeMap<>(Comparator.reverseOrder());
        laid.forEach((pool, lines) -> {
            TreeMap<Backend, Double> wanted = new TreeMap<>(lines);
            pool.sentWeights.values().removeIf(w -> w == 0);
            pool.sentWeights.forEach((b, w) -> wanted.putIfAbsent(b, pool.members.contains(b) ? w : 0));
            List<WeightChange> changes = new ArrayList<>();
            wanted.forEach((b, w) -> changes.add(new WeightChange(pool, b, w, pool.sentWeights.getOrDefault(b, 0.0))));
            double off = changes.stream().mapToDouble(c -> Math.abs(c.weight() - c.sentWeight())).sum();
            furthestFirst.computeIfAbsent(off * pool.demand, k -> new ArrayList<>()).addAll(changes);
        });
        double before = channelBacklog.waitingLines();
        for (List<WeightChange> changes : furthestFirst.values()) {
            boolean spent = !listChangePending && channelBacklog.waitingLines() - before >= ordinaryLineAllowance;
            for (WeightChange change : changes) {
                boolean free = change.pool().proxies.isEmpty() || !spent && channelBacklog.waitingLines() < most;
                if (change.relativeSize() > MIN_WEIGHT_CHANGE_FRACTION && free) {
                    emit(new SetLine(change.pool().table, change.backend(), change.weight()),
                            change.pool().boundProxies());
                    change.pool().sentWeights.put(change.backend(), change.weight());
                }
            }
        }
        ordinaryLineAllowance -= listChangePending ? 0 : channelBacklog.waitingLines() - before;
        listChangePending &= channelBacklog.waitingLines() >= most; // the rest of what a list change brought is sent with the next room
    }

    private void logLevels(long now) {
        long departed = proxies.values().stream().filter(p -> !p.joined).count();
        String line = levelLog.update(now, levels, atFloor,
                new LevelLog.Inputs(levelReason, totalRate, totalRate, proxies.size(), departed));
        if (line != null) { actions.add(new Log(line)); }
    }

    private void sendLevels() {
        for (Pool pool : poolSets.values().stream().flatMap(List::stream).toList()) {
            for (int cls : groups.get(pool.group)) {
                Double sent = pool.sentLevels.get(cls);
                boolean other = sent == null || Math.abs(levels[cls] / sent - 1) > MIN_LEVEL_CHANGE_FRACTION;
                if (other || pool.sentRetry != currentRetry) {
                    pool.sentLevels.put(cls, levels[cls]);
                    emit(new Admit(pool.table, 1 << cls, levels[cls], currentRetry), pool.boundProxies());
                }
            }
            pool.sentRetry = currentRetry;
        }
    }
}
