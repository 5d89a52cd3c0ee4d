package rowanmoor;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.AdmissionMode;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.BackendEstimate;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Channel;
import rowanmoor.ControlApi.ChannelStatus;
import rowanmoor.ControlApi.ClassSpec;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.MarkAt;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probe;
import rowanmoor.ControlApi.Probed;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.Usage;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.ControlApi.WithdrawAt;
import rowanmoor.FleetState.ChannelBacklog;
import rowanmoor.FleetState.PathStats;
import rowanmoor.FleetState.Pool;
import rowanmoor.FleetState.ProxyState;
import rowanmoor.FleetState.Timers;
import rowanmoor.FleetState.WeightChange;
import rowanmoor.PendingWithdrawals.Notice;

/**
 * All decisions of one controller instance: the routing tables, the withdrawals and the admission levels that
 * it sends to its proxies. The caller passes events to {@link #handle} and carries out the actions that
 * {@link #decide} returns; both are declared in {@link ControlApi}. The class does no I/O and reads no clock:
 * the same settings, seed, events and times give the same actions. Times are nanoseconds.
 *
 * <p>The sections of this file, in the order in which a round passes through them:
 * <ol>
 * <li>Members: keeps the known backends in step with the catalog.
 * <li>Health and speed: judges each backend from the proxies' tallies and from load reports.
 * <li>Tables: derives the weights of all routing tables from capacity, health and demand.
 * <li>Levels: detects overload and derives the admission level of each class.
 * <li>Sender: orders what has changed, within the limits of the channel to the proxies.
 * </ol>
 * docs/design.md gives the reasons for the method and for the values of the constants.
 */
public final class RoutingPolicy {

    private static final double NS_PER_SECOND = 1e9;
    private static final long NS_PER_MS = 1_000_000L;
    /** The shortest round (the design's pace). */
    private static final long MIN_ROUND_NS = 1_000_000_000L;

    // ---- Constants of health and speed ----

    /** Weight of a new round in smoothed sums: about three rounds count. */
    private static final double SMOOTHING_FACTOR = 0.35;
    /** With fewer tries over the smoothed span nothing is judged. */
    private static final double MIN_TRIES = 8;
    /** A path is suspended if this fraction of its tries fails, and 3 times the fraction of its peers. */
    private static final double SUSPEND_FAILURE_FRACTION = 0.6;
    /** A path that fails this fraction serves nobody and may always be suspended. */
    private static final double DEAD_FAILURE_FRACTION = 0.85;
    /** Panic threshold: the fraction of all weight that may be suspended for partial failures. */
    private static final double MAX_SUSPENDED_WEIGHT_FRACTION = 0.25;
    /** The latency that a failed try counts as. */
    private static final double FAILED_TRY_LATENCY_NS = 1e9;
    /** A path this many times slower than the median loses more weight than corrections may take. */
    private static final double SLOW_OUTLIER_RATIO = 1.9;
    private static final long SUSPENSION_NS = 4_000_000_000L;
    /** How long a backend that is gone keeps its table lines. */
    private static final long GONE_RETENTION_NS = 120_000_000_000L;
    /** Fraction of its weight that a path has when it is tried again after a suspension. */
    private static final double TRIAL_WEIGHT_FRACTION = 0.1;
    private static final double TRIAL_GROWTH_PER_ROUND = 2;
    /** Weight correction: the part of a load gap that is closed in one round. */
    private static final double CORRECTION_GAIN = 0.1;
    /** A load gap up to this fraction is taken for noise. */
    private static final double LOAD_NOISE_FRACTION = 0.1;
    /** Bounds of a weight correction, as in the design. */
    private static final double MIN_CORRECTION = 0.5;
    private static final double MAX_CORRECTION = 2;

    // ---- Constants of tables ----

    /** Cross-zone price from which each zone has tables of its own. */
    private static final double ZONE_TABLES_MIN_PRICE = 0.02;
    /** Most backends in a pool, as in the design. */
    private static final int MAX_POOL_BACKENDS = 25;
    /** A further pool is opened only if there are this many backends for each. */
    private static final int MIN_BACKENDS_PER_POOL = 6;
    /** The design's minimum of proxies that share a table. */
    private static final int MIN_PROXIES_PER_TABLE = 5;
    /** A backend whose flow is at least this percentage of the mean flow is put into a pool. */
    private static final double MIN_POOLED_FLOW_PERCENT = 25;
    /** A pool whose supply is below this fraction of its demand is refilled. */
    private static final double REFILL_SUPPLY_FRACTION = 0.8;
    /** A proxy moves to another pool if the demand gap exceeds this fraction of the larger demand. */
    private static final double REBALANCE_GAP_FRACTION = 0.33;
    /** Backends of other zones in every pool, for the case that its own zone fails. */
    private static final int MIN_REMOTE_BACKENDS = 2;
    /** Fraction of a table that is spread over all zones, so that each table leads to other zones. */
    private static final double CROSS_ZONE_TRICKLE_FRACTION = 0.03;
    /** A colder backend is held back while enough others are warm. */
    private static final double MIN_WARMTH = 0.35;
    /** The same under overload, or where proxies eject failing backends. */
    private static final double MIN_WARMTH_IN_OVERLOAD = 0.6;
    /** The longest time that a proxy may spend between two streams. */
    private static final long MAX_RECONNECT_NS = 5_000_000_000L;
    /** Stands for a weight of zero, so that such backends are used where there are no others. */
    private static final double MIN_WEIGHT = 1e-9;
    /** A cold backend's line may be this many times its part of the demand. */
    private static final double MAX_COLD_DEMAND_RATIO = 3;
    /** Smaller relative changes of a weight or a level are not sent. */
    private static final double MIN_WEIGHT_CHANGE_FRACTION = 0.1;
    private static final double MIN_LEVEL_CHANGE_FRACTION = 0.03;

    // ---- Constants of levels: the design's figures, except for the proven rate's ----

    /** A backend is overloaded if this fraction of its tries fails. */
    private static final double OVERLOAD_FAILURE_FRACTION = 0.05;
    /** A backend is overloaded if it answers this many times slower than when quiet. */
    private static final double OVERLOAD_LATENCY_RATIO = 2;
    /** Where load reports tell only of queues, one backend in this many is probed in a round. */
    private static final int BACKENDS_PER_QUEUE_PROBE = 8;
    /** Failures may mean overload only if the mean queue is longer than this. */
    private static final double QUEUEING_MEAN_LENGTH = 0.5;
    /** Where no queue is reported: only if answers are this many times slower than when quiet. */
    private static final double QUEUEING_LATENCY_RATIO = 1.4;
    /**
     * A backend with a lower reported utilization is not overloaded; reports are faster than sums of tries.
     */
    private static final double IDLE_UTILIZATION = 0.6;
    /** A backend with a higher reported utilization is overloaded. */
    private static final double SATURATED_UTILIZATION = 0.97;
    /**
     * Fraction of the served rate at which the total starts under congestion, and factor of each reduction.
     */
    private static final double HEADROOM_FRACTION = 0.9;
    /** Fraction of the best rate served so far without overload that is considered safe. */
    private static final double PROVEN_RATE_FRACTION = 0.75;
    /** Growth factors of the total in a second without overload. */
    private static final double RAISE_PER_SECOND = 1.1;
    private static final double FAST_RAISE_PER_SECOND = 1.6;
    /** The total grows fast up to this utilization. */
    private static final double TARGET_UTILIZATION = 0.85;
    /** Growth factor of the total past the target utilization. */
    private static final double MIN_RAISE_PER_SECOND = 1.02;
    /** Bound of the total, as a multiple of the served rate. */
    private static final double MAX_TOTAL_TO_SERVED_RATIO = 1.5;
    /** A backend is congested if this fraction of its tries fails, or if answers take longer than an aim. */
    private static final double CONGESTION_FAILURE_FRACTION = 0.3;
    private static final int ROUNDS_BETWEEN_REDUCTIONS = 3;
    /** No level is set until reports of this many rounds have come. */
    private static final int LEARNING_ROUNDS = 2;
    /** How long a departed proxy still counts in the sharing of levels. */
    private static final long PROXY_LEASE_NS = 10_000_000_000L;
    /** No level is below this fraction of the mean usage, so that a proxy out of reach does not starve. */
    private static final double MIN_LEVEL_FRACTION = 0.1;
    /** Levels are lifted when the total is this many times the demand. */
    private static final double LIFT_DEMAND_RATIO = 1.3;
    private static final int MAX_LOGGED_BACKENDS = 8;
    /** The rate that admits everything. */
    private static final double OPEN_RATE_PER_SECOND = 1_000_000;
    /**
     * Safe for every class. A retry after any failure would abort the first try, and that waste alone keeps
     * congestion going.
     */
    private static final RetryPolicy NORMAL_RETRY = RetryPolicy.ONCE_UNRUN;

    // ---- Constants of the sender ----

    /**
     * Orders that can be deferred leave the channel within this time, however deep its backlog may be, so
     * that a drain, which cannot be deferred, does not wait behind them. The round trip of a mark takes about
     * 1 s.
     */
    private static final double BULK_BACKLOG_SECONDS = 2;
    private static final double ORDINARY_BACKLOG_FRACTION = 0.4;
    private static final double URGENT_BACKLOG_FRACTION = 0.7;
    private static final double BIND_BACKLOG_FRACTION = 0.85;
    /** Of the lines that the channel sends within a drain's grace, the fraction that may wait in it. */
    private static final double GRACE_BACKLOG_FRACTION = 0.6;
    /** The lines of a drain at one proxy: a step of a release drains several backends of a table. */
    private static final int DRAIN_LINES_PER_PROXY = 3;
    /** The lines of this many usual delays keep the channel busy: an answered mark takes longer than one. */
    private static final double BUSY_CHANNEL_DELAYS = 1.5;
    /** A proxy that waits is bound at once if telling it of withdrawals takes more than this part of it. */
    private static final double MAX_NOTICE_FRACTION = 0.5;
    /** Fraction of the channel's pace that ordinary lines may use. */
    private static final double ORDINARY_PACE_FRACTION = 0.15;
    /** A message is marked whenever the channel has sent lines for this time since the last mark. */
    private static final long MARK_INTERVAL_NS = 50_000_000L;
    /** Least wait for room in the channel. */
    private static final long MIN_SEND_WAIT_NS = 50_000_000L;
    /** Fraction of its pace at which the channel is assumed to send while no mark is answered. */
    private static final double UNCONFIRMED_PACE_FRACTION = 0.2;
    /** Safety factor on the gap between messages where their number is limited. */
    private static final double MESSAGE_GAP_FACTOR = 1.1;

    /** What is known of one backend. */
    private final class BackendState {
        Member member;
        /** One for each region. */
        PathStats[] paths = PathStats.newArray(regions);
        /** The sums over all paths. */
        PathStats allRegions = new PathStats();
        /** Factor on the member's weight. */
        double correction = 1;
        /** Reported utilization, smoothed; 0 if unknown. */
        double utilization;
        double lastUtilization;
        /** The lowest smoothed latency seen, ns; 0 if unknown. */
        double quietLatency;
        boolean withdrawn;
        boolean heldCold;
        /** Whether a proxy may hold a line of it: not while it is new and cold. */
        boolean published;
        /** When the catalog last changed this backend. */
        long memberChangedAt;

        boolean isReady() {
            return member.availability() == Availability.READY;
        }

        boolean isOpen() {
            return isReady() && !heldCold;
        }

        /**
         * Called when the backend has restarted: statistics of the old process do not apply to the new one.
         */
        void resetStats() {
            paths = PathStats.newArray(regions);
            allRegions = new PathStats();
            utilization = 0;
        }

        /** The least fraction of its capacity that it has by now, according to the configured ramp. */
        double warmth(long now) {
            return settings.rules().warmth(member.startedAt(), now);
        }

        /**
         * The relative capacity, 0 if the backend is not open. Warmth counts squared: a cold backend is
         * slower with each request and also has fewer free slots.
         */
        double capacity(long now) {
            double weight = Math.max(MIN_WEIGHT, member.weight());
            return isOpen() ? weight * correction * warmth(now) * warmth(now) : 0;
        }

        /** The load on the scale that the site reports, else latency in ns; 0 if unknown. */
        double load() {
            return settings.reportColumns().utilization() >= 0 ? utilization : latency(allRegions);
        }
    }

    private final Settings settings;
    private final Random random;
    /** Number of regions: the zones if they have own tables, else 1. */
    private final int regions;
    private final long roundLengthNs;
    private final double tightestAimNs;
    /** Class numbers, highest worth first. */
    private final List<Integer> classesByWorth;
    /** Class numbers, lightest requests first; the aim stands for a request's work. */
    private final List<Integer> classesByAim;
    /** Groups of classes that share tables. */
    private final List<List<Integer>> groups = new ArrayList<>();
    private final TreeMap<Backend, BackendState> backends = new TreeMap<>();
    private final TreeMap<Integer, ProxyState> proxies = new TreeMap<>();
    /** Pools by group and region. */
    private final TreeMap<Integer, List<Pool>> poolSets = new TreeMap<>();
    private final List<Action> actions = new ArrayList<>();
    /** Proxies that wait to be bound, in order. */
    private final LinkedHashSet<Integer> bindQueue = new LinkedHashSet<>();
    private final PendingWithdrawals pendingWithdrawals = new PendingWithdrawals();
    /** The admission level of each class. */
    private final double[] levels;
    /** Whether a class's level is the lowest permitted. */
    private final boolean[] atFloor;
    private final LevelLog levelLog;
    private LevelLog.Reason levelReason = LevelLog.Reason.DEMAND;
    private boolean reportsReceived;
    private boolean catalogChangePending;
    private boolean joinPending;
    private boolean watching;
    private RetryPolicy currentRetry = NORMAL_RETRY;
    private long nextRoundAt;
    private long lastEvaluationAt;
    private long nextCatalogRequestAt;
    private long nextMessageAt;
    private long lastDrainAt;
    private int evaluatedRounds;
    private int catalogRequestFailures;
    private int overloadedRounds;
    /** The rate, in requests a second, that the levels of all proxies admit together. */
    private double totalRate = Double.POSITIVE_INFINITY;
    /** The best rate served without overload for each unit of capacity. */
    private double provenRatePerCapacity;
    private double usualCapacity;
    private double meanQueueLength = 1;
    /** Lines that ordinary changes may still use. */
    private double ordinaryLineAllowance = 1e9;
    private final ChannelBacklog channelBacklog = new ChannelBacklog();
    private final Timers timers = new Timers();

    /**
     * Creates the policy of one controller instance.
     *
     * @param seed seeds the jitter between requests for the catalog
     */
    public RoutingPolicy(Settings settings, long seed) {
        this.settings = settings;
        this.random = new Random(seed);
        boolean ownZones = settings.classes().stream().anyMatch(ClassSpec::ownZoneOnly);
        this.regions = ownZones || settings.crossZonePrice() >= ZONE_TABLES_MIN_PRICE ? settings.zones() : 1;
        this.roundLengthNs = Math.max(MIN_ROUND_NS, settings.reportInterval());
        this.tightestAimNs = settings.classes().stream().mapToLong(ClassSpec::aim).min().orElse(0);
        this.classesByWorth = IntStream.range(0, settings.classes().size()).boxed()
                .sorted(Comparator.comparing(cls -> -settings.classes().get(cls).worth())).toList();
        this.classesByAim = classesByWorth.stream()
                .sorted(Comparator.comparing(cls -> settings.classes().get(cls).aim())).toList();
        this.levels = new double[settings.classes().size()];
        Arrays.fill(levels, openLevel());
        this.atFloor = new boolean[levels.length];
        this.levelLog = new LevelLog(levels.length, openLevel());
        groupClasses();
    }

    /** Takes in one event. Orders that follow from it are returned by the next {@link #decide}. */
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
            channelBacklog.markApplied(applied.proxy(), applied.mark());
        }
    }

    /** Returns the orders that follow from all events up to now; a round is evaluated if one is due. */
    public List<Action> decide(long now) {
        requestCatalog(now);
        boolean round = now >= nextRoundAt;
        if (round) {
            nextRoundAt = now + roundLengthNs;
            timers.set(now, nextRoundAt, Timers.ROUND, actions);
            sendProbes();
            evaluateRound(now);
        }
        sendOrders(now, round);
        if (round) {
            logUninformed(now);
        }
        List<Action> orders = List.copyOf(actions);
        actions.clear();
        return orders;
    }

    /** Returns the current state of each backend, for logs and metrics. */
    public List<BackendEstimate> backendEstimates(long now) {
        return backends.values().stream()
                .map(state -> new BackendEstimate(state.member.backend(), state.member.availability(),
                        state.load(), Arrays.stream(state.paths).map(path -> path.health).toList(),
                        state.correction, state.warmth(now), state.allRegions.tries, state.withdrawn))
                .toList();
    }

    /** Returns what waits on the channel, for logs and metrics. */
    public ChannelStatus channelStatus(long now) {
        List<Notice> late = pendingWithdrawals.notices(proxies, bindQueue).stream()
                .filter(Notice::hasDeadline).toList();
        long oldest = late.stream().mapToLong(notice -> now - notice.since()).max().orElse(0);
        return new ChannelStatus(channelBacklog.waitingLines(), bindQueue.size(), late.size(), oldest);
    }

    /** Logs a line if proxies were not told of a withdrawal for half of the grace or longer. */
    private void logUninformed(long now) {
        ChannelStatus status = channelStatus(now);
        if (status.oldestUninformed() * 2 > settings.rules().drainGrace()) {
            actions.add(new Log(status.uninformedProxies() + " proxies not told of withdrawals for up to "
                    + status.oldestUninformed() / NS_PER_MS + " ms: " + status.waitingBinds() + " binds and "
                    + Math.round(status.waitingLines()) + " lines wait"));
        }
    }

    // ---- 1. Members -------------------------------------------------------------------------------------
    // Applies catalog updates to the known backends and requests the catalog where the site requires that.

    private void handleMembers(long now, Members update) {
        if (update.kind() == CatalogUpdateKind.FAILED) {
            watching = false;
            long base = Math.min(MIN_ROUND_NS << Math.min(catalogRequestFailures++, 2),
                    settings.rules().maxCatalogRetryDelay() / 4);
            nextCatalogRequestAt = now + (long) (base * (0.5 + random.nextDouble() / 2));
            return;
        }
        catalogRequestFailures = update.kind() == CatalogUpdateKind.CACHED ? catalogRequestFailures : 0;
        TreeMap<Backend, BackendState> missing = new TreeMap<>(backends);
        boolean firstList = backends.isEmpty();
        for (Member member : update.entries()) {
            missing.remove(member.backend());
            BackendState state = backends.computeIfAbsent(member.backend(), backend -> new BackendState());
            state.published |= firstList;
            updateMember(now, state, member);
        }
        if (update.kind() != CatalogUpdateKind.DELTA) {
            missing.values().forEach(state -> updateMember(now, state, state.member.asGone()));
        }
    }

    private void updateMember(long now, BackendState state, Member member) {
        if (state.member != null && member.startedAt() > state.member.startedAt()) {
            state.resetStats();
        }
        boolean changed = state.member == null || !state.member.equals(member);
        state.memberChangedAt = changed ? now : state.memberChangedAt;
        catalogChangePending |= changed;
        state.member = member;
    }

    private void requestCatalog(long now) {
        if (settings.catalogOnRequest() && !watching) {
            watching = now >= nextCatalogRequestAt;
            if (watching) {
                actions.add(new Watch(true));
            }
            if (!watching) {
                timers.set(now, nextCatalogRequestAt, Timers.ASK, actions);
            }
        }
    }

    // ---- 2. Health and speed ----------------------------------------------------------------------------
    // Evaluates a round of reports: suspends failing paths, reduces the weight of slow ones, corrects the
    // weights of unevenly loaded backends and decides whether proxies retry.

    /** The fraction of failed tries; 0 with too few tries to judge. */
    private double failureFraction(PathStats path) {
        return path.tries < MIN_TRIES ? 0 : path.failed / path.tries;
    }

    /** Mean latency in ns, failed tries included; 0 with too few tries to judge. */
    private double latency(PathStats path) {
        return path.tries < MIN_TRIES ? 0
                : (path.latencySum + path.failed * FAILED_TRY_LATENCY_NS) / path.tries;
    }

    private int region(int zone) {
        return regions == 1 ? 0 : zone;
    }

    private void handleTally(BackendState state, Tally tally) {
        reportsReceived = true;
        state.paths[region(tally.zone())].add(tally);
        state.allRegions.add(tally);
        handleLoad(state, tally.load());
    }

    private void handleLoad(BackendState state, List<Double> load) {
        int queueColumn = settings.reportColumns().queue();
        if (queueColumn >= 0 && queueColumn < load.size()) {
            meanQueueLength += (load.get(queueColumn) - meanQueueLength) / BACKENDS_PER_QUEUE_PROBE;
        }
        int utilizationColumn = settings.reportColumns().utilization();
        if (utilizationColumn >= 0 && utilizationColumn < load.size()) {
            state.lastUtilization = load.get(utilizationColumn);
            state.utilization = state.utilization == 0 ? load.get(utilizationColumn)
                    : smooth(state.utilization, load.get(utilizationColumn));
        }
    }

    private static double smooth(double previous, double latest) {
        return previous + SMOOTHING_FACTOR * (latest - previous);
    }

    /**
     * Probes all backends where probes report utilization. Where they report only queues, a sample of
     * backends is enough to tell whether requests queue in the fleet.
     */
    private void sendProbes() {
        int interval = settings.reportColumns().utilization() >= 0 ? 1
                : settings.reportColumns().queue() >= 0 ? BACKENDS_PER_QUEUE_PROBE : 0;
        int position = evaluatedRounds;
        for (BackendState state : backends.values()) {
            boolean due = settings.probesAllowed() && interval > 0 && position++ % interval == 0;
            if (due && state.isReady()) {
                actions.add(new Probe(state.member.backend()));
            }
        }
    }

    /** Evaluates what was reported since the last round: paths, loads, usage, total and levels. */
    private void evaluateRound(long now) {
        if (!reportsReceived) {
            return;
        }
        reportsReceived = false;
        evaluatedRounds++;
        // Reports that come after a silence cover their own span, not the silence.
        double reportedSeconds = backends.values().stream().flatMap(state -> Arrays.stream(state.paths))
                .mapToDouble(path -> path.newSpanSeconds).max().orElse(0);
        double gapSeconds = (lastEvaluationAt == 0 ? roundLengthNs : now - lastEvaluationAt) / NS_PER_SECOND;
        double seconds = Math.min(gapSeconds, Math.max(roundLengthNs / NS_PER_SECOND, reportedSeconds));
        lastEvaluationAt = now;
        double tries = backends.values().stream().mapToDouble(state -> state.allRegions.newTries).sum();
        double failed = backends.values().stream().mapToDouble(state -> state.allRegions.newFailed).sum();
        for (BackendState state : backends.values()) {
            state.allRegions.endRound(SMOOTHING_FACTOR, MIN_TRIES);
            Arrays.stream(state.paths).forEach(path -> path.endRound(SMOOTHING_FACTOR, MIN_TRIES));
        }
        updateRetry(tries, failed);
        for (int region = 0; region < regions; region++) {
            evaluatePaths(now, region);
        }
        correctWeights(now);
        updateUsage(now, seconds);
        updateTotal(now, seconds);
        computeLevels();
    }

    /**
     * Stops retries while full backends turn tries away: such retries are half of the load under congestion.
     * They stop before the congestion counts as overload, which takes most of the backends: a cold backend
     * that comes in during that time would attract all the retries. They go on where backends are dead and
     * the others have room, since retries save requests there.
     */
    private void updateRetry(double tries, double failed) {
        List<BackendState> known = backends.values().stream()
                .filter(state -> state.quietLatency > 0 && state.allRegions.lastLatencyNs > 0).toList();
        long slower = known.stream()
                .filter(state -> state.allRegions.lastLatencyNs > QUEUEING_LATENCY_RATIO * state.quietLatency)
                .count();
        boolean queueing = settings.reportColumns().queue() >= 0 ? meanQueueLength > QUEUEING_MEAN_LENGTH
                : slower * 2 > known.size();
        boolean failing = failed > (currentRetry == NORMAL_RETRY ? 2 : 1) * OVERLOAD_FAILURE_FRACTION * tries;
        if (tries >= MIN_TRIES && (!failing || queueing)) {
            currentRetry = failing ? RetryPolicy.NEVER : NORMAL_RETRY;
        }
    }

    /**
     * Suspends paths that fail far more often than their peers (backends that fail fast, are dead or are cut
     * off) and reduces the weight of paths that are far slower. Full backends fail too, so only few paths are
     * suspended for partial failures, and none under overload. The log calls a suspended path "rested".
     */
    private void evaluatePaths(long now, int region) {
        List<BackendState> ready = backends.values().stream().filter(BackendState::isReady).toList();
        List<PathStats> judged = ready.stream().map(state -> state.paths[region])
                .filter(path -> path.tries >= MIN_TRIES).toList();
        double medianFailureFraction =
                FleetState.median(judged.stream().map(this::failureFraction).toList());
        double medianLatency =
                FleetState.median(judged.stream().map(this::latency).filter(latency -> latency > 0).toList());
        double medianOfAllRegions = FleetState.median(ready.stream()
                .filter(state -> state.allRegions.tries >= MIN_TRIES)
                .map(state -> failureFraction(state.allRegions)).toList());
        double suspendableWeight = 0;
        List<String> suspended = new ArrayList<>();
        for (BackendState state : backends.values()) {
            double fraction = !state.isReady() ? 0
                    : state.paths[region].suspendedUntil > 0 ? -1 : MAX_SUSPENDED_WEIGHT_FRACTION;
            suspendableWeight += fraction * state.member.weight();
        }
        for (BackendState state : backends.values().stream().sorted(Comparator.comparing(candidate ->
                -failureFraction(decisiveStats(candidate, region)))).toList()) {
            PathStats path = state.paths[region];
            PathStats decisive = decisiveStats(state, region);
            double usualFailureFraction = decisive == path ? medianFailureFraction : medianOfAllRegions;
            boolean failing =
                    failureFraction(decisive) > Math.max(SUSPEND_FAILURE_FRACTION, 3 * usualFailureFraction);
            boolean maySuspend = decisive == path && failureFraction(path) > DEAD_FAILURE_FRACTION
                    || overloadedRounds == 0 && suspendableWeight >= state.member.weight();
            if (path.suspendedUntil > now || now < path.trialEvaluationAt) {
                continue;
            }
            if (path.suspendedUntil > 0) {
                path.suspendedUntil = 0;
                path.health = TRIAL_WEIGHT_FRACTION;
                path.trialEvaluationAt = now + settings.channel().maxDelay() + 2 * settings.reportInterval();
                path.tries = 0;
                path.failed = 0;
                path.latencySum = 0;
            } else if (failing && maySuspend) {
                path.suspendedUntil = now + SUSPENSION_NS;
                path.health = 0;
                suspendableWeight -= state.member.weight();
                suspended.add(state.member.backend() + " failed "
                        + Math.round(100 * failureFraction(decisive)) + "%");
            } else {
                double slowness = medianLatency > 0 ? latency(path) / medianLatency : 1;
                path.health = Math.min(slowness > SLOW_OUTLIER_RATIO ? 1 / slowness : 1,
                        path.health * TRIAL_GROWTH_PER_ROUND);
            }
        }
        logBackends("path rested from region " + region, suspended);
    }

    /**
     * The statistics that decide on a path's failures: its own, or those of all regions where its own tries
     * are few and fail.
     */
    private PathStats decisiveStats(BackendState state, int region) {
        PathStats path = state.paths[region];
        return path.tries >= MIN_TRIES || path.failed <= SUSPEND_FAILURE_FRACTION * path.tries
                ? path : state.allRegions;
    }

    /** Logs one line about a list of backends, however long the list is; nothing if it is empty. */
    private void logBackends(String what, List<String> which) {
        String more = which.size() > MAX_LOGGED_BACKENDS
                ? " and " + (which.size() - MAX_LOGGED_BACKENDS) + " more" : "";
        List<String> named = which.subList(0, Math.min(MAX_LOGGED_BACKENDS, which.size()));
        if (!which.isEmpty()) {
            actions.add(new Log(what + ": " + String.join(", ", named) + more));
        }
    }

    /**
     * Shifts weight from backends loaded above the mean to those below it, within the correction's bounds.
     */
    private void correctWeights(long now) {
        List<BackendState> settled = backends.values().stream()
                .filter(state -> state.isReady() && state.load() > 0 && state.warmth(now) == 1
                        && Arrays.stream(state.paths).allMatch(path -> path.health == 1))
                .toList();
        double sum = settled.stream().mapToDouble(state -> state.load() * state.member.weight()).sum();
        double mean = sum / settled.stream().mapToDouble(state -> state.member.weight()).sum();
        for (BackendState state : settled) {
            if (Math.abs(state.load() / mean - 1) > LOAD_NOISE_FRACTION) {
                double correction = state.correction * Math.pow(state.load() / mean, -CORRECTION_GAIN);
                state.correction = Math.max(MIN_CORRECTION, Math.min(MAX_CORRECTION, correction));
            }
        }
    }

    // ---- 3. Tables --------------------------------------------------------------------------------------
    // Each group of classes with the same permitted backends has a set of pools in each region. A pool is one
    // table, shared by the proxies that are assigned to it.

    /** Puts classes that may use the same backends into one group; the confined groups come first. */
    private void groupClasses() {
        TreeMap<String, List<Integer>> byOpenness = new TreeMap<>();
        for (int cls = 0; cls < levels.length; cls++) {
            byOpenness.computeIfAbsent(settings.classes().get(cls).eligibilityKey(), key -> new ArrayList<>())
                    .add(cls);
        }
        groups.addAll(byOpenness.values());
    }

    private ClassSpec classSpec(int group) {
        return settings.classes().get(groups.get(group).get(0));
    }

    /** The work that a proxy's requests of a group take; the aim stands for the work of one request. */
    private double workRate(ProxyState proxy, int group) {
        return groups.get(group).stream()
                .mapToDouble(cls -> proxy.usage[cls] * settings.classes().get(cls).aim()).sum();
    }

    private double poolDemand(Pool pool) {
        return 1 + pool.proxies.values().stream().mapToDouble(proxy -> workRate(proxy, pool.group)).sum();
    }

    /** How many table numbers a set of pools has: they are 16 bits for all regions and groups together. */
    private int tablesPerPoolSet() {
        return ControlApi.ALL_TABLES / (groups.size() * regions);
    }

    private List<Pool> poolSet(int group, int region) {
        return poolSets.computeIfAbsent(group * regions + region, key -> new ArrayList<>(List.of(
                new Pool(key * tablesPerPoolSet(), group))));
    }

    /**
     * The work rate of the joined proxies for a group, by region. A region without proxies counts as an
     * average one: its proxies may come back, and the tables that they get must not be computed for no
     * demand.
     */
    private double[] regionDemands(int group) {
        double[] demands = new double[regions];
        proxies.values().stream().filter(proxy -> proxy.joined)
                .forEach(proxy -> demands[region(proxy.zone)] += workRate(proxy, group));
        double average = Math.max(1, Arrays.stream(demands).sum() / regions);
        Arrays.setAll(demands, region -> demands[region] > 0 ? demands[region] : average);
        return demands;
    }

    /**
     * Computes all tables. Each backend is used in proportion to its capacity; groups confined to some of the
     * backends are placed first, and the others get the capacity that is left.
     */
    private Map<Pool, TreeMap<Backend, Double>> computeTables(long now) {
        TreeMap<Backend, Double> capacities = new TreeMap<>();
        backends.forEach((backend, state) -> capacities.put(backend, state.capacity(now)));
        double totalCapacity = FleetState.sum(capacities.values());
        List<double[]> demands = IntStream.range(0, groups.size()).mapToObj(this::regionDemands).toList();
        double totalDemand = demands.stream().mapToDouble(demand -> Arrays.stream(demand).sum()).sum();
        TreeMap<Backend, Double> remaining = new TreeMap<>(capacities);
        remaining.replaceAll((backend, capacity) -> capacity * totalDemand / Math.max(1e-9, totalCapacity));
        Map<Pool, TreeMap<Backend, Double>> tables = new LinkedHashMap<>();
        for (int g = 0; g < groups.size(); g++) {
            int group = g;
            TreeMap<Backend, Double> shares = new TreeMap<>();
            for (BackendState state : backends.values()) {
                Backend backend = state.member.backend();
                if (capacities.get(backend) > 0 && classSpec(g).isEligible(state.member)) {
                    double available =
                            classSpec(g).restricted() ? capacities.get(backend) : remaining.get(backend);
                    shares.put(backend, Math.max(1e-9, available));
                }
            }
            double scale = Arrays.stream(demands.get(g)).sum() / FleetState.sum(shares.values());
            shares.replaceAll((backend, share) -> share * scale);
            shares.forEach((backend, share) -> remaining.merge(backend, -share, Double::sum));
            for (int r = 0; r < regions; r++) {
                TreeMap<Backend, Double> permitted = new TreeMap<>(shares);
                int region = r;
                permitted.keySet().removeIf(backend -> classSpec(group).ownZoneOnly()
                        && region(backends.get(backend).member.zone()) != region);
                TreeMap<Backend, Double> flows = regionFlows(now, r, permitted, demands.get(g));
                List<Pool> pools = poolSet(g, r);
                pools.forEach(pool -> pool.demand = poolDemand(pool));
                assignBackends(r, flows, pools);
                pools.forEach(pool -> tables.put(pool, poolLines(now, pool, flows, pools)));
            }
        }
        return tables;
    }

    /**
     * How one region's requests of a group are spread over the backends, in percent: to the region's own
     * backends as far as they have room, the rest to other regions that have some to spare. A backend that
     * the region's proxies cannot reach has no room for them; its share moves to others, even to distant
     * ones.
     */
    private TreeMap<Backend, Double> regionFlows(long now, int region, TreeMap<Backend, Double> shares,
            double[] demands) {
        TreeMap<Backend, Double> flows = new TreeMap<>();
        shares.forEach((backend, share) ->
                flows.put(backend, share * backends.get(backend).paths[region].health));
        if (FleetState.sum(flows.values()) <= 0) {
            flows.putAll(shares);
        }
        double totalDemand = Arrays.stream(demands).sum();
        double scale = totalDemand / FleetState.sum(flows.values());
        double[] room = new double[regions];
        flows.forEach((backend, share) ->
                room[region(backends.get(backend).member.zone())] += share * scale);
        double servedLocally = Math.min(demands[region], room[region]);
        double spareElsewhere = 1e-9 + IntStream.range(0, regions).filter(other -> other != region)
                .mapToDouble(other -> Math.max(0, room[other] - demands[other])).sum();
        double[] flowPerShare = new double[regions];
        for (int r = 0; r < regions; r++) {
            flowPerShare[r] = r == region ? servedLocally
                    : (demands[region] - servedLocally) * Math.max(0, room[r] - demands[r]) / spareElsewhere;
            flowPerShare[r] = room[r] <= 0 ? 0
                    : flowPerShare[r] / room[r] / demands[region] + CROSS_ZONE_TRICKLE_FRACTION / totalDemand;
        }
        flows.replaceAll((backend, share) -> {
            BackendState state = backends.get(backend);
            double weight = share * flowPerShare[region(state.member.zone())];
            return state.warmth(now) < 1
                    ? Math.min(weight, MAX_COLD_DEMAND_RATIO * share / totalDemand) : weight;
        });
        double sum = FleetState.sum(flows.values());
        flows.replaceAll((backend, weight) -> 100 * weight / sum);
        return flows;
    }

    /**
     * Assigns backends to pools. A fleet that fits into one pool has one pool. Otherwise each backend that
     * the region uses is in some pool, a pool with too little supply is refilled at once, and each pool holds
     * backends of other zones. Members stay as long as possible: moving a line closes connections.
     */
    private void assignBackends(int region, Map<Backend, Double> flows, List<Pool> pools) {
        int maxPools = Math.min(tablesPerPoolSet(), settings.proxies() / Math.max(1, settings.instances())
                / (MIN_PROXIES_PER_TABLE * regions * groups.size()));
        Predicate<Backend> remote = backend -> region(backends.get(backend).member.zone()) != region;
        long localBackends = flows.keySet().stream().filter(remote.negate()).count();
        while (flows.size() > MAX_POOL_BACKENDS
                && pools.size() < Math.min(maxPools, localBackends / MIN_BACKENDS_PER_POOL)) {
            pools.add(pools.get(0).sibling(pools.get(0).table + pools.size()));
        }
        if (pools.size() == 1) {
            flows.keySet().forEach(pools.get(0)::add);
            return;
        }
        flows.keySet().stream()
                .filter(backend -> flows.get(backend) * flows.size() >= MIN_POOLED_FLOW_PERCENT
                        && pools.get(0).poolCount(backend) == 0)
                .forEach(backend -> addToPool(Collections.min(pools,
                        Comparator.comparing(pool -> pool.supplyRatio(flows))), backend, flows));
        // While proxies join, the demand of a pool is not known.
        boolean demandKnown = !joinPending && evaluatedRounds > LEARNING_ROUNDS;
        double minSupply =
                REFILL_SUPPLY_FRACTION * 100 / pools.stream().mapToDouble(pool -> pool.demand).sum();
        for (Pool pool : pools) {
            for (int i = 0; demandKnown && i < MAX_POOL_BACKENDS && pool.supplyRatio(flows) < minSupply;
                    i++) {
                refillPool(pool, backend -> true, flows, pools);
            }
            for (long i = pool.members.stream().filter(remote).count();
                    regions > 1 && i < MIN_REMOTE_BACKENDS; i++) {
                refillPool(pool, remote, flows, pools);
            }
        }
    }

    private void refillPool(Pool pool, Predicate<Backend> eligible, Map<Backend, Double> flows,
            List<Pool> pools) {
        flows.keySet().stream().filter(backend -> !pool.members.contains(backend) && eligible.test(backend))
                .max(Comparator.comparing(backend -> flows.get(backend) / (1 + pool.poolCount(backend))))
                .ifPresent(backend -> addToPool(pool, backend, flows));
    }

    /** Adds a backend to a pool; a full pool loses the member with the smallest flow. */
    private static void addToPool(Pool pool, Backend backend, Map<Backend, Double> flows) {
        if (pool.members.size() >= MAX_POOL_BACKENDS) {
            pool.remove(Collections.min(pool.members,
                    Comparator.comparing(member -> flows.getOrDefault(member, 0.0))));
        }
        pool.add(backend);
    }

    /**
     * The lines of a pool's table: the flow of each member, divided among the pools that hold it. Lines of
     * cold backends are bounded.
     */
    private TreeMap<Backend, Double> poolLines(long now, Pool pool, Map<Backend, Double> flows,
            List<Pool> pools) {
        TreeMap<Backend, Double> lines = new TreeMap<>(flows);
        lines.keySet().retainAll(pool.members);
        lines.replaceAll((backend, flow) -> flow / pool.poolCount(backend));
        double scale = 100 / Math.max(1e-9, FleetState.sum(lines.values()));
        double totalDemand = pools.stream().mapToDouble(other -> other.demand).sum();
        lines.replaceAll((backend, flow) -> {
            double demandOfHolders = pools.stream().filter(other -> other.members.contains(backend))
                    .mapToDouble(other -> other.demand).sum();
            boolean cold = backends.get(backend).warmth(now) < 1;
            return Math.min(cold
                    ? MAX_COLD_DEMAND_RATIO * flows.get(backend) * totalDemand / demandOfHolders : 100,
                    flow * scale);
        });
        return lines;
    }

    /** Moves one proxy of suitable demand from the pool with the most demand to the one with the least. */
    private void rebalanceProxies(List<Pool> pools) {
        Pool busiest = Collections.max(pools, Comparator.comparing(this::poolDemand));
        Pool idlest = Collections.min(pools, Comparator.comparing(this::poolDemand));
        double gap = poolDemand(busiest) - poolDemand(idlest);
        busiest.proxies.values().stream()
                .filter(proxy -> gap > REBALANCE_GAP_FRACTION * poolDemand(busiest)
                        && workRate(proxy, busiest.group) < gap)
                .min(Comparator.comparing(proxy -> Math.abs(workRate(proxy, busiest.group) - gap / 2)))
                .ifPresent(proxy -> {
                    proxy.moveTo(proxy.number, idlest);
                    bindQueue.add(proxy.number);
                });
    }

    // ---- 4. Levels --------------------------------------------------------------------------------------
    // Detects overload, keeps the total rate that all proxies together may admit, and divides it among
    // classes and proxies.

    private double openLevel() {
        return settings.admission() == AdmissionMode.SHARE ? 1 : OPEN_RATE_PER_SECOND;
    }

    private void updateUsage(long now, double seconds) {
        proxies.values().removeIf(proxy -> !proxy.joined && now - proxy.leftAt > PROXY_LEASE_NS);
        double reports = backends.size() * settings.zones() + proxies.size() * levels.length;
        double cycleSeconds = reports / settings.reportLinesPerSecond();
        for (ProxyState proxy : proxies.values()) {
            proxy.hasReported |= Arrays.stream(proxy.newRequests).sum() > 0;
            proxy.presence = smooth(proxy.presence, proxy.joined && proxy.hasReported ? 1 : 0);
            if (proxy.joined && proxy.hasReported) {
                proxy.endRound(seconds, cycleSeconds, SMOOTHING_FACTOR);
            }
        }
    }

    /**
     * Updates the total rate by the design's rules: set once to the served rate when overload begins, lowered
     * step by step while it lasts, raised without overload.
     */
    private void updateTotal(long now, double seconds) {
        List<BackendState> judged = backends.values().stream()
                .filter(state -> state.isReady() && state.allRegions.tries >= MIN_TRIES).toList();
        double succeeded = backends.values().stream()
                .mapToDouble(state -> state.allRegions.tries - state.allRegions.failed).sum();
        double servedRate = succeeded * SMOOTHING_FACTOR / seconds;
        double capacity = backends.values().stream().mapToDouble(state -> state.capacity(now)).sum();
        usualCapacity = Math.max(capacity, smooth(usualCapacity, capacity));
        double provenRate = provenRatePerCapacity * capacity;
        judged.stream().filter(state -> state.quietLatency == 0
                        || latency(state.allRegions) > 0 && latency(state.allRegions) < state.quietLatency)
                .forEach(state -> state.quietLatency = latency(state.allRegions));
        long overloadedBackends = judged.stream().filter(this::isOverloaded).count();
        boolean congested = judged.stream().filter(this::isCongested).count() * 2 > judged.size();
        boolean wasOverloaded = overloadedRounds > 0;
        // Unless the total changes below, only usage can change levels.
        levelReason = LevelLog.Reason.DEMAND;
        double tries = backends.values().stream().mapToDouble(state -> state.allRegions.tries).sum();
        // Too few tries to judge any backend, and they fail: neither overload nor its end can be seen.
        boolean blind = judged.isEmpty() && tries - succeeded > CONGESTION_FAILURE_FRACTION * tries;
        if (!blind && overloadedBackends * 2 <= judged.size()) {
            provenRatePerCapacity =
                    Math.max(provenRatePerCapacity, servedRate / Math.max(1e-9, usualCapacity));
            overloadedRounds = 0;
            levelReason = LevelLog.Reason.RAISED;
            double utilization = judged.stream()
                    .mapToDouble(state -> state.lastUtilization).average().orElse(0);
            double raise = utilization > 0
                    ? Math.max(MIN_RAISE_PER_SECOND,
                            Math.min(FAST_RAISE_PER_SECOND, TARGET_UTILIZATION / utilization))
                    : RAISE_PER_SECOND;
            // A silence does not count as a long time without overload.
            double calmSeconds = Math.min(seconds, ROUNDS_BETWEEN_REDUCTIONS * roundLengthNs / NS_PER_SECOND);
            totalRate *= Math.pow(totalRate < provenRate ? FAST_RAISE_PER_SECOND : raise, calmSeconds);
            // Otherwise a total of zero would stay zero.
            totalRate = Math.max(totalRate, HEADROOM_FRACTION * servedRate);
            double maxRatio = utilization > 0
                    ? Math.max(MAX_TOTAL_TO_SERVED_RATIO, TARGET_UTILIZATION / utilization)
                    : MAX_TOTAL_TO_SERVED_RATIO;
            double bound = Math.max(maxRatio * servedRate * countedToPresentRatio(), provenRate);
            totalRate = Double.isInfinite(totalRate) ? totalRate : Math.min(totalRate, bound);
        } else if (!blind && evaluatedRounds > LEARNING_ROUNDS) {
            overloadedRounds++;
            if (!wasOverloaded) {
                levelReason = LevelLog.Reason.SET;
                totalRate = Math.min(totalRate, Math.max(servedRate * (congested ? HEADROOM_FRACTION : 1),
                        PROVEN_RATE_FRACTION * provenRate));
            } else if (overloadedRounds > ROUNDS_BETWEEN_REDUCTIONS) {
                levelReason = LevelLog.Reason.LOWERED;
                totalRate *= HEADROOM_FRACTION;
                overloadedRounds = 1;
            }
        }
        if (wasOverloaded != overloadedRounds > 0) {
            actions.add(new Log(wasOverloaded ? "overload ends"
                    : "overload begins: " + overloadedBackends + " of " + judged.size() + " backends, "
                            + Math.round(servedRate) + "/s served, total " + Math.round(totalRate) + "/s"));
        }
    }

    /**
     * The demand of all counted proxies over that of the proxies in the served rate. Levels are shared by all
     * counted proxies, departed ones included, while the served rate is a smoothed sum over the proxies that
     * report here: late joiners are not in it yet, departed ones no longer. Without this ratio a total
     * bounded by the served rate would, without any overload, restrict the proxies that stay while the
     * departed ones are counted.
     */
    private double countedToPresentRatio() {
        double present = proxies.values().stream()
                .mapToDouble(proxy -> proxy.presence * Arrays.stream(proxy.usage).sum()).sum();
        return present <= 0 ? 1 : Math.min(1 / SMOOTHING_FACTOR, totalUsage() / present);
    }

    private double totalUsage() {
        return proxies.values().stream().mapToDouble(proxy -> Arrays.stream(proxy.usage).sum()).sum();
    }

    /**
     * Whether a backend is overloaded. Signs are congestion (the only sign that a controller restarted during
     * congestion has), failures, full cores, or answers that are twice as slow as when quiet and slow enough
     * to matter. A backend whose cores are idle is not overloaded: then the network path is slow.
     */
    private boolean isOverloaded(BackendState state) {
        if (state.utilization > 0 && state.lastUtilization < IDLE_UTILIZATION) {
            return false;
        }
        boolean slower = state.allRegions.lastLatencyNs == 0
                || state.allRegions.lastLatencyNs > QUEUEING_LATENCY_RATIO * state.quietLatency;
        boolean queueing =
                settings.reportColumns().queue() >= 0 ? meanQueueLength > QUEUEING_MEAN_LENGTH : slower;
        boolean failing = state.allRegions.lastFailureFraction > OVERLOAD_FAILURE_FRACTION && queueing;
        return isCongested(state) || state.lastUtilization > SATURATED_UTILIZATION || failing
                || state.allRegions.lastLatencyNs
                        > Math.max(OVERLOAD_LATENCY_RATIO * state.quietLatency, tightestAimNs / 2);
    }

    /**
     * Whether answers come too late to be of use, so that admitted requests only queue. The queues must drain
     * before the backend can serve again.
     */
    private boolean isCongested(BackendState state) {
        return state.allRegions.lastFailureFraction > CONGESTION_FAILURE_FRACTION
                || state.allRegions.lastLatencyNs > tightestAimNs;
    }

    /**
     * Divides the total rate among the classes, highest worth first. The class that it does not suffice for
     * gets the rest, as one level that is the same for all proxies.
     */
    private void computeLevels() {
        double demand = totalUsage();
        if (totalRate >= LIFT_DEMAND_RATIO * demand) {
            totalRate = Double.POSITIVE_INFINITY;
        }
        double remaining = totalRate;
        double[] minFractions = minLevelFractions();
        for (int cls : classesByWorth) {
            double[] usage = proxies.values().stream()
                    .mapToDouble(proxy -> proxy.usage[cls]).sorted().toArray();
            double classDemand = Arrays.stream(usage).sum();
            boolean share = settings.admission() == AdmissionMode.SHARE;
            double minLevel = minFractions[cls] == 1 ? openLevel() : share ? minFractions[cls]
                    : minFractions[cls] * classDemand / Math.max(1, usage.length);
            levels[cls] = remaining >= classDemand ? openLevel()
                    : Math.max(minLevel, share ? remaining / classDemand : evenLevel(usage, remaining));
            atFloor[cls] = levels[cls] == minLevel;
            remaining = Math.max(0, remaining - classDemand);
        }
    }

    /**
     * The lowest level of each class, as a fraction of its usage. Levels count requests, while what they free
     * is work. A tenth of the work is reserved for the classes with the lightest requests, whatever their
     * worth: rejecting those frees next to nothing, and the overload stays.
     */
    private double[] minLevelFractions() {
        double[] work = IntStream.range(0, levels.length)
                .mapToDouble(cls -> settings.classes().get(cls).aim()
                        * proxies.values().stream().mapToDouble(proxy -> proxy.usage[cls]).sum())
                .toArray();
        double reserved = MIN_LEVEL_FRACTION * Arrays.stream(work).sum();
        double[] fractions = new double[levels.length];
        for (int cls : classesByAim) {
            fractions[cls] = Math.max(MIN_LEVEL_FRACTION, Math.min(1, reserved / Math.max(1e-9, work[cls])));
            reserved = Math.max(0, reserved - work[cls]);
        }
        return fractions;
    }

    /**
     * The one level for all proxies at which the rates that they can use add up to {@code rate}.
     *
     * @param usage the usage of each proxy, sorted in ascending order
     */
    static double evenLevel(double[] usage, double rate) {
        double remaining = rate;
        for (int i = 0; i < usage.length; i++) {
            double even = remaining / (usage.length - i);
            if (usage[i] >= even) {
                return even;
            }
            remaining -= usage[i];
        }
        return OPEN_RATE_PER_SECOND;
    }

    // ---- 5. Sender --------------------------------------------------------------------------------------
    // Orders what differs from what the proxies were sent. Order of precedence: withdrawals, binds of waiting
    // proxies, then lines and levels; each kind may fill only a part of the channel's backlog.

    private void handleJoin(long now, ProxyJoined joined) {
        ProxyState proxy = proxies.computeIfAbsent(joined.proxy(),
                number -> new ProxyState(number, levels.length, groups.size()));
        boolean keepsPools = proxy.pools[0] != null && region(proxy.zone) == region(joined.zone());
        proxy.join(joined.zone(), now);
        if (proxy.pools[0] == null) {
            Arrays.fill(proxy.usage, joined.rate() / levels.length);
        }
        for (int group = 0; group < groups.size(); group++) {
            proxy.moveTo(joined.proxy(), keepsPools ? proxy.pools[group] : Collections.min(
                    poolSet(group, region(joined.zone())), Comparator.comparing(this::poolDemand)));
        }
        bindQueue.add(joined.proxy());
        this.joinPending = true;
    }

    /**
     * Orders what has to be sent now. Joining proxies are bound as the channel has room; other orders wait
     * for room and for the message budget.
     */
    private void sendOrders(long now, boolean round) {
        double pacedLines = lastDrainAt == 0 ? 0
                : (now - lastDrainAt) / NS_PER_SECOND * settings.channel().linesPerSecond();
        channelBacklog.assumeSent(pacedLines * UNCONFIRMED_PACE_FRACTION);
        ordinaryLineAllowance = Math.min(maxBulkLines(ORDINARY_BACKLOG_FRACTION),
                ordinaryLineAllowance + pacedLines * ORDINARY_PACE_FRACTION);
        lastDrainAt = now;
        holdColdBackends(now);
        boolean addressable = settings.channel().addressable();
        if (addressable) {
            withdrawClosedBackends(now);
        }
        if (settings.keyRanges() > 0) { // on such sites only withdrawals are valid
            sendWithdrawals(now, true);
            sendNotices(now, false);
            closeReply(now);
            return;
        }
        sendNotices(now, true);
        // Waiting proxies are bound before lines are sent: their old tables may hold backends that are gone.
        if (!joinPending && !withdrawalPending()) {
            bindProxies(now);
        }
        boolean due = (round || catalogChangePending || joinPending) && now >= nextMessageAt;
        boolean room = channelBacklog.waitingLines() <= maxBulkLines(URGENT_BACKLOG_FRACTION);
        if (due && channelBacklog.waitingLines() <= maxWaitingLines(URGENT_BACKLOG_FRACTION)) {
            sendWithdrawals(now, room);
        }
        if (due && room) {
            sendLines(computeTables(now), round);
            sendLevels();
            joinPending = false;
            logLevels(now);
        }
        if (catalogChangePending) {
            timers.set(now, Math.max(nextMessageAt, now + MIN_SEND_WAIT_NS), Timers.SEND, actions);
        }
        if (round) {
            poolSets.values().forEach(this::rebalanceProxies);
            removeGoneBackends(now);
        }
        if (!withdrawalPending()) {
            bindProxies(now);
        }
        sendNotices(now, false);
        closeReply(now);
    }

    /** Ends the reply: messages of it carry a mark, whose answers tell what has left the channel. */
    private void closeReply(long now) {
        boolean sends = channelBacklog.hasReply();
        if (sends && settings.channel().addressable()) {
            List<Integer> marked = channelBacklog.closeReply(linesWithin(MARK_INTERVAL_NS));
            if (!marked.isEmpty()) {
                actions.add(new MarkAt(channelBacklog.lastMarkNumber(), marked));
            }
        } else if (sends) {
            actions.add(new Mark(channelBacklog.closeReply()));
        }
        if (sends) {
            nextMessageAt = now + (long) (MESSAGE_GAP_FACTOR * settings.channel().messageGap());
        }
    }

    /** The lines that a message takes besides those of its orders. */
    private double messageLines() {
        return settings.channel().messageOverhead() + (settings.channel().addressable() ? 0 : 1);
    }

    /**
     * Whether a withdrawal waits to be sent. Binds stop then: they would fill the channel again and again.
     */
    private boolean withdrawalPending() {
        return backends.values().stream().anyMatch(state -> !state.withdrawn && !state.isOpen());
    }

    /** The lines that may wait in the channel so that a withdrawal behind them arrives within the grace. */
    private double maxWaitingLines(double fraction) {
        Channel channel = settings.channel();
        double graceSeconds =
                Math.max(0.5, (settings.rules().drainGrace() - channel.maxDelay()) / NS_PER_SECOND);
        return Math.min(fraction * channel.maxBacklog(),
                GRACE_BACKLOG_FRACTION * graceSeconds * channel.linesPerSecond());
    }

    /** The same limit for orders that can be deferred; binds that wait come before them. */
    private double maxBulkLines(double fraction) {
        double maxLines = Math.min(maxWaitingLines(fraction),
                fraction * BULK_BACKLOG_SECONDS * settings.channel().linesPerSecond());
        return bindQueue.isEmpty() ? maxLines : Math.min(maxLines, fraction * maxBindLines());
    }

    /** The lines that may wait in the channel, those of orders that every proxy has to get included. */
    private double maxFleetLines() {
        return BIND_BACKLOG_FRACTION * Math.min(settings.channel().maxBacklog(),
                BULK_BACKLOG_SECONDS * settings.channel().linesPerSecond());
    }

    /**
     * The lines that may wait in the channel when a proxy is bound, those under way included: so many that a
     * drain behind them still reaches all proxies within the grace, since all may come to one instance, and
     * at least as many as keep the channel busy.
     */
    private double maxBindLines() {
        long usualDelay = settings.channel().typicalDelay();
        double graceLines = linesWithin(settings.rules().drainGrace() - usualDelay);
        double drainLines = settings.proxies() * (messageLines() + DRAIN_LINES_PER_PROXY);
        double busyLines = BUSY_CHANNEL_DELAYS * linesWithin(usualDelay);
        return Math.min(maxFleetLines(), Math.max(busyLines, graceLines - drainLines));
    }

    /** The lines that the channel sends in a time. */
    private double linesWithin(long durationNs) {
        return durationNs / NS_PER_SECOND * settings.channel().linesPerSecond();
    }

    /** Binds waiting proxies in order, as far as the channel has room; sets a timer for the others. */
    private void bindProxies(long now) {
        double maxLines = maxBindLines();
        for (int number : List.copyOf(bindQueue)) {
            ProxyState proxy = proxies.get(number);
            double lines = bindLines(now, proxy);
            if (!hasRoom(now, lines, maxLines, Timers.BIND)) {
                return;
            }
            bind(now, proxy, lines);
        }
    }

    private void bind(long now, ProxyState proxy, double lines) {
        for (Pool pool : proxy.pools) {
            int classes = groups.get(pool.group).stream().mapToInt(cls -> 1 << cls).sum();
            actions.add(new Bind(proxy.number, pool.table, classes, backendsToReadmit(now, proxy, pool)));
        }
        channelBacklog.add(proxy, lines, messageLines());
        proxy.bound = true;
        pendingWithdrawals.markInformed(proxy);
        bindQueue.remove(proxy.number);
    }

    /** The lines that the bind of a proxy takes, without those of a message. */
    private double bindLines(long now, ProxyState proxy) {
        double lines = 0;
        for (Pool pool : proxy.pools) {
            lines += 1 + pool.sentWeights.size() + groups.get(pool.group).size();
            long withdrawn = pool.sentWeights.keySet().stream()
                    .filter(backend -> backends.get(backend).withdrawn).count();
            lines += settings.channel().addressable() ? -withdrawn : withdrawn;
            lines += backendsToReadmit(now, proxy, pool).size();
        }
        return lines;
    }

    /**
     * Whether a message with these lines keeps the waiting lines within a limit; always if none wait. If not,
     * a timer is set.
     */
    private boolean hasRoom(long now, double lines, double maxLines, int timerKind) {
        double waiting = channelBacklog.waitingLines();
        double excess = waiting + lines + messageLines() - maxLines;
        if (waiting <= 0 || excess <= 0) {
            return true;
        }
        double waitNs = NS_PER_SECOND * excess / settings.channel().linesPerSecond();
        timers.set(now, now + Math.max(MIN_SEND_WAIT_NS, (long) waitNs), timerKind, actions);
        return false;
    }

    /**
     * The backends of a pool that a newly joined proxy may still exclude on the order of another instance,
     * which had no time to readmit them: those that were too cold at the latest time at which the proxy was
     * away.
     */
    private List<Backend> backendsToReadmit(long now, ProxyState proxy, Pool pool) {
        return proxy.bound ? List.of() : pool.sentWeights.keySet().stream().filter(backend -> {
            BackendState state = backends.get(backend);
            return !state.withdrawn
                    && state.warmth(proxy.joinedAt - MAX_RECONNECT_NS) < MIN_WARMTH_IN_OVERLOAD;
        }).toList();
    }

    /** Adds an order and counts its line for each recipient. */
    private void emit(Action action, Collection<ProxyState> recipients) {
        actions.add(action);
        addLines(recipients, 1);
    }

    private void addLines(Collection<ProxyState> recipients, double lines) {
        recipients.forEach(proxy -> channelBacklog.add(proxy, lines, messageLines()));
    }

    /**
     * Holds very cold backends back while at least a third of the ready ones are warm. Under congestion
     * proxies eject backends that fail, and a cold one may be all that is left to choose, whatever its
     * weight.
     */
    private void holdColdBackends(long now) {
        double minWarmth = overloadedRounds > 0 || settings.ejectAfterFailures() > 0
                ? MIN_WARMTH_IN_OVERLOAD : MIN_WARMTH;
        List<BackendState> ready = backends.values().stream().filter(BackendState::isReady).toList();
        long warm = ready.stream().filter(state -> state.warmth(now) >= minWarmth).count();
        ready.forEach(state -> state.heldCold = state.warmth(now) < minWarmth && warm * 3 >= ready.size());
    }

    /**
     * Withdraws backends that are drained, gone or held back, where proxies can be told one by one. Nobody is
     * told yet: {@link #sendNotices} does that.
     */
    private void withdrawClosedBackends(long now) {
        List<Backend> closed = new ArrayList<>();
        List<String> reasons = new ArrayList<>();
        for (BackendState state : backends.values()) {
            state.published |= state.isOpen() || !state.isReady();
            if (state.isOpen()) {
                continue;
            }
            if (state.published) {
                pendingWithdrawals.add(state.member.backend(), state.isReady(),
                        state.isReady() ? now : state.memberChangedAt);
            }
            if (!state.withdrawn) {
                state.withdrawn = true;
                closed.add(state.member.backend());
                reasons.add(withdrawalReason(now, state));
            }
        }
        if (!closed.isEmpty()) {
            actions.add(new WithdrawAt(closed, List.of()));
        }
        logBackends("withdrawn", reasons);
    }

    private static String withdrawalReason(long now, BackendState state) {
        return state.member.backend() + " listed " + state.member.availability() + " for "
                + (now - state.memberChangedAt) / NS_PER_MS + " ms";
    }

    /**
     * Tells proxies of withdrawals as the channel has room, those first that have waited longest. A proxy
     * that waits to be bound may hold any backend. Where telling it of all withdrawals takes almost as much
     * as its bind, it is bound at once.
     *
     * @param mayBind whether proxies that have joined just now may still be bound by this reply, which tells
     *        them as well
     */
    private void sendNotices(long now, boolean mayBind) {
        Map<List<Backend>, List<Integer>> recipients = new LinkedHashMap<>();
        for (Notice notice : pendingWithdrawals.notices(proxies, bindQueue)) {
            ProxyState proxy = notice.proxy();
            boolean newlyJoined = !proxy.bound && proxy.informedUpTo == 0;
            if (mayBind && newlyJoined && proxy.joinedAt == now) {
                continue;
            }
            if (now < nextMessageAt && !newlyJoined) {
                timers.set(now, nextMessageAt, Timers.SEND, actions);
                continue;
            }
            List<Backend> told = notice.backends();
            double bindLines = proxy.bound || settings.keyRanges() > 0 ? Double.POSITIVE_INFINITY
                    : bindLines(now, proxy);
            boolean bindTells = told.size() > MAX_NOTICE_FRACTION * bindLines;
            if (!hasRoom(now, bindTells ? bindLines : told.size(), maxFleetLines(), Timers.SEND)) {
                break;
            }
            if (bindTells) {
                bind(now, proxy, bindLines);
                continue;
            }
            channelBacklog.add(proxy, told.size(), messageLines());
            pendingWithdrawals.markInformed(proxy);
            if (!proxy.bound) {
                proxy.excluded.addAll(told);
            }
            recipients.computeIfAbsent(told, key -> new ArrayList<>()).add(proxy.number);
        }
        recipients.forEach((told, numbers) -> actions.add(new WithdrawAt(told, numbers)));
    }

    /**
     * Withdraws backends that are drained, gone or held back where only the whole fleet can be told, and
     * readmits others, which happens only when their lines are set again. Proxies that wait to be bound may
     * hold any backend; if telling them takes more lines than may wait, they learn it from the table that
     * they are bound to.
     *
     * @param readmit whether backends are readmitted too
     */
    private void sendWithdrawals(long now, boolean readmit) {
        List<String> withdrawn = new ArrayList<>();
        List<String> readmitted = new ArrayList<>();
        List<BackendState> changed = backends.values().stream()
                .filter(state -> state.withdrawn == state.isOpen() && (readmit || !state.withdrawn)).toList();
        long unbound = proxies.values().stream().filter(proxy -> proxy.joined && !proxy.bound).count();
        double lines = unbound * (messageLines() + changed.size());
        boolean unboundFit =
                channelBacklog.waitingLines() + lines <= maxBulkLines(URGENT_BACKLOG_FRACTION);
        boolean boundOnly =
                settings.keyRanges() == 0 && (settings.channel().addressable() || !unboundFit);
        for (BackendState state : changed) {
            Backend backend = state.member.backend();
            state.withdrawn = !state.withdrawn;
            List<ProxyState> recipients = recipients(backend, boundOnly);
            emit(new Withdraw(backend, state.withdrawn, boundOnly), recipients);
            if (state.withdrawn) {
                withdrawn.add(withdrawalReason(now, state));
            } else {
                readmitted.add(backend.toString());
                pendingWithdrawals.remove(backend);
                // Those that were bound while it was withdrawn get its line as well.
                addLines(settings.channel().addressable() ? recipients : List.of(), 1);
            }
        }
        logBackends("withdrawn", withdrawn);
        logBackends("let in again", readmitted);
    }

    /** The proxies that an order on a backend goes to: those that may hold it or were told of it. */
    private List<ProxyState> recipients(Backend backend, boolean boundOnly) {
        return proxies.values().stream()
                .filter(proxy -> proxy.joined && proxy.excluded.remove(backend)
                        || proxy.mayHold(backend, boundOnly))
                .toList();
    }

    /**
     * Removes backends that are long gone, since machines are replaced for years: first their lines, then
     * their state. Nothing is removed while a proxy waits to be bound: its old tables may hold such a
     * backend.
     */
    private void removeGoneBackends(long now) {
        for (BackendState state : List.copyOf(backends.values())) {
            Backend backend = state.member.backend();
            boolean expired = state.member.availability() == Availability.GONE
                    && now - state.memberChangedAt > GONE_RETENTION_NS;
            if (expired && bindQueue.isEmpty()) {
                List<Pool> pools = poolSets.values().stream().flatMap(List::stream).toList();
                pools.forEach(pool -> pool.remove(backend));
                if (pools.stream().noneMatch(pool -> pool.sentWeights.containsKey(backend))) {
                    backends.remove(backend);
                    pendingWithdrawals.remove(backend);
                    // For those that keep a list of withdrawals: no table holds the backend any more.
                    emit(new Withdraw(backend, false), recipients(backend, false));
                }
            }
        }
    }

    /**
     * Sends the changed lines of tables. Pools whose lines are furthest off come first; ordinary changes keep
     * to their allowance of the channel.
     */
    private void sendLines(Map<Pool, TreeMap<Backend, Double>> tables, boolean round) {
        double maxWaiting = maxBulkLines(round || !joinPending && !bindQueue.isEmpty()
                ? ORDINARY_BACKLOG_FRACTION : URGENT_BACKLOG_FRACTION);
        TreeMap<Double, List<WeightChange>> furthestFirst = new TreeMap<>(Comparator.reverseOrder());
        tables.forEach((pool, lines) -> {
            TreeMap<Backend, Double> wanted = new TreeMap<>(lines);
            pool.sentWeights.values().removeIf(weight -> weight == 0);
            pool.sentWeights.forEach((backend, weight) ->
                    wanted.putIfAbsent(backend, pool.members.contains(backend) ? weight : 0));
            List<WeightChange> changes = new ArrayList<>();
            wanted.forEach((backend, weight) -> changes.add(
                    new WeightChange(pool, backend, weight, pool.sentWeights.getOrDefault(backend, 0.0))));
            double difference = changes.stream()
                    .mapToDouble(change -> Math.abs(change.weight() - change.sentWeight())).sum();
            furthestFirst.computeIfAbsent(difference * pool.demand, key -> new ArrayList<>()).addAll(changes);
        });
        double waitingBefore = channelBacklog.waitingLines();
        for (List<WeightChange> changes : furthestFirst.values()) {
            boolean spent = !catalogChangePending
                    && channelBacklog.waitingLines() - waitingBefore >= ordinaryLineAllowance;
            for (WeightChange change : changes) {
                boolean room = change.pool().proxies.isEmpty()
                        || !spent && channelBacklog.waitingLines() < maxWaiting;
                if (change.relativeSize() > MIN_WEIGHT_CHANGE_FRACTION && room) {
                    emit(new SetLine(change.pool().table, change.backend(), change.weight()),
                            change.pool().boundProxies());
                    change.pool().sentWeights.put(change.backend(), change.weight());
                }
            }
        }
        ordinaryLineAllowance -= catalogChangePending ? 0 : channelBacklog.waitingLines() - waitingBefore;
        // What a catalog change requires and did not fit is sent as soon as there is room.
        catalogChangePending &= channelBacklog.waitingLines() >= maxWaiting;
    }

    private void logLevels(long now) {
        long departed = proxies.values().stream().filter(proxy -> !proxy.joined).count();
        String line = levelLog.update(now, levels, atFloor,
                new LevelLog.Inputs(levelReason, totalRate, totalRate, proxies.size(), departed));
        if (line != null) {
            actions.add(new Log(line));
        }
    }

    private void sendLevels() {
        for (Pool pool : poolSets.values().stream().flatMap(List::stream).toList()) {
            for (int cls : groups.get(pool.group)) {
                Double sent = pool.sentLevels.get(cls);
                boolean changed =
                        sent == null || Math.abs(levels[cls] / sent - 1) > MIN_LEVEL_CHANGE_FRACTION;
                if (changed || pool.sentRetry != currentRetry) {
                    pool.sentLevels.put(cls, levels[cls]);
                    emit(new Admit(pool.table, 1 << cls, levels[cls], currentRetry), pool.boundProxies());
                }
            }
            pool.sentRetry = currentRetry;
        }
    }
}
