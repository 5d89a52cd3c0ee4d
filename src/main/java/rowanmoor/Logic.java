package rowanmoor;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Admission;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.ClassSpec;
import rowanmoor.ControlApi.Effect;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.ListKind;
import rowanmoor.ControlApi.Listed;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probe;
import rowanmoor.ControlApi.Probed;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.Retry;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.SliceGiven;
import rowanmoor.ControlApi.SliceLine;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.ControlApi.Usage;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;

/**
 * One controller's decisions. All types, events, actions and settings are those of {@link ControlApi}.
 * Sections, in order: members, health and speed, tables, levels and retries, sender. docs/design.md explains.
 */
public final class Logic {

    private static final long SECOND = 1_000_000_000L;

    // Health and speed.
    /** Weight of a new round in smoothed figures: about three rounds, the design's patience. */
    private static final double SMOOTH = 0.35;
    /** Tries (smoothed over rounds) below which a path is not judged. */
    private static final double ENOUGH = 5;
    /** A path fails if this share of its tries does, and three times what its peers see. */
    private static final double FAILING = 0.25;
    /** A path this many times slower than the median path gives up its weight beyond the hand-overs' bounds. */
    private static final double OUTLIER = 2.2;
    /** First rest of a failing path, doubled at each relapse up to eight times. */
    private static final long REST = 4 * SECOND;
    /** Part of its weight a path gets on trial. */
    private static final double TRIAL = 0.1;
    /** Least part of a table's listed weight that stays in use whatever partial failures say. */
    private static final double PANIC_FLOOR = 0.5;
    /** Hand-overs: share of a relative load gap closed a round, gap taken for noise, and bounds (the design's). */
    private static final double HAND_OVER = 0.2;
    private static final double NOISE = 0.1;
    private static final double LEAST_CORRECTION = 0.5;
    private static final double MOST_CORRECTION = 2;
    // Tables.
    /** Part of a table's weight spread over all zones, so that a proxy out of reach has somewhere to turn. */
    private static final double TRICKLE = 0.03;
    /** Smallest relative change of a line that is worth sending. */
    private static final double WORTH_SENDING = 0.1;
    // Levels (the design's figures).
    private static final double OVERLOAD_FAILED = 0.05;
    private static final double OVERLOAD_SLOWER = 2;
    private static final double HEADROOM = 0.9;
    private static final double RAISE = 1.1;
    private static final int PATIENCE = 3;
    private static final long LEASE = 10 * SECOND;
    /** A level is never below this part of the mean usage, lest a proxy out of reach starve on it. */
    private static final double LEAST_LEVEL = 0.1;
    /** The level that lets everything in. */
    private static final double OPEN_RATE = 1_000_000;
    // Sender.
    /** Parts of the channel's backlog and of a proxy's message budget that ordinary orders may fill. */
    private static final double ORDINARY_BACKLOG = 0.4;
    private static final double ORDINARY_MESSAGES = 0.6;
    /** Part of its usual pace at which the channel is taken to run when no mark tells. */
    private static final double SLOW_PACE = 0.2;

    /** What is known of one backend. */
    private static final class BackendState {
        Member member;
        double correction = 1;
        Double busy;
        Double serviceMs;
        double quiet;
        double latency;
        int overloadedRounds;
        boolean withdrawn;
    }

    /** How the joined proxies of one zone fare at one backend. */
    private static final class Path {
        double tries;
        double failed;
        double latencySum;
        double newTries;
        double newFailed;
        double newLatencySum;
        long restUntil;
        long judgedFrom;
        int relapses;
        double health = 1;

        double failing() {
            return tries < ENOUGH ? 0 : failed / tries;
        }

        double latency() {
            return tries - failed < ENOUGH ? 0 : latencySum / (tries - failed);
        }
    }

    /** One proxy, joined or departed within the lease. */
    private static final class ProxyState {
        int zone;
        boolean joined;
        long leftAt;
        double[] usage;
        double[] newUsage;
        boolean heard;
        final ArrayDeque<Long> messages = new ArrayDeque<>();
    }

    private record PathKey(int zone, Backend backend) implements Comparable<PathKey> {
        @Override
        public int compareTo(PathKey other) {
            int byBackend = backend.compareTo(other.backend);
            return byBackend != 0 ? byBackend : Integer.compare(zone, other.zone);
        }
    }

    /** A line of a table that should change: {@code size} is how far it is off. */
    private record Change(int table, Backend backend, double weight, double size) { }

    private record SentMark(int number, double linesBefore) { }

    private final Settings settings;
    private final Random random;
    private final List<List<Integer>> groups = new ArrayList<>();
    private final TreeMap<Backend, BackendState> backends = new TreeMap<>();
    private final TreeMap<PathKey, Path> paths = new TreeMap<>();
    private final TreeMap<Integer, ProxyState> proxies = new TreeMap<>();
    private final TreeMap<Integer, TreeMap<Backend, Double>> tables = new TreeMap<>();
    private final TreeMap<Integer, TreeMap<Backend, Double>> slices = new TreeMap<>();
    private final List<Action> actions = new ArrayList<>();
    private final TreeSet<Integer> joining = new TreeSet<>();
    private boolean started;
    private boolean listChanged;
    private long nextRound;
    private long roundsHeard;
    private boolean reportsCame;
    // Members, where the list must be asked.
    private boolean watching;
    private long askAt;
    private int askFailures;
    // Levels.
    private double total = Double.POSITIVE_INFINITY;
    private int overloadedRounds;
    private final double[] levels;
    private boolean overloaded;
    // Sender.
    private double linesSent;
    private double linesLeft;
    private long drainedAt;
    private int markNumber;
    private final ArrayDeque<SentMark> marks = new ArrayDeque<>();

    public Logic(Settings settings, long seed) {
        this.settings = settings;
        this.random = new Random(seed);
        this.levels = new double[settings.classes().size()];
        Arrays.fill(levels, openLevel());
        groupClasses();
    }

    /** Takes in one event; orders follow from {@link #decide}. */
    public void on(long now, Event event) {
        if (event instanceof Members members) {
            hearList(now, members);
        } else if (event instanceof ProxyJoined joined) {
            join(now, joined);
        } else if (event instanceof ProxyLeft left) {
            ProxyState proxy = proxies.get(left.proxy());
            proxy.joined = false;
            proxy.leftAt = now;
            joining.remove(left.proxy());
        } else if (event instanceof Tally tally) {
            hearTally(tally);
        } else if (event instanceof Usage usage) {
            hearUsage(usage);
        } else if (event instanceof Probed probed) {
            hearProbe(now, probed);
        } else if (event instanceof Applied applied) {
            hearApplied(applied);
        } else if (event instanceof SliceGiven given) {
            slices.remove(given.slice());
            if (given.given()) {
                slices.put(given.slice(), new TreeMap<>());
            }
        } else if (event instanceof SliceLine line && slices.containsKey(line.slice())) {
            slices.get(line.slice()).put(line.backend(), line.weight());
        }
    }

    /** The orders that follow from all that was heard up to now. */
    public List<Action> decide(long now) {
        actions.clear();
        askForList(now);
        boolean round = now >= nextRound;
        if (!started || round) {
            started = true;
            nextRound = now + settings.period();
            actions.add(new TimerAt(nextRound, 0));
        }
        if (settings.slices() > 0) {
            keepSlices();
        } else if (round || listChanged || !joining.isEmpty()) {
            if (round) {
                probe();
                learn(now);
            }
            send(now, round);
        }
        listChanged = false;
        return List.copyOf(actions);
    }

    // ---- 1. Members -------------------------------------------------------------------------------------

    private void hearList(long now, Members list) {
        if (list.kind() == ListKind.FAILED) {
            watching = false;
            askFailures++;
            long base = Math.min(SECOND / 2 << Math.min(askFailures, 3), settings.rules().askWithin() / 4);
            askAt = now + (long) (base * (0.5 + random.nextDouble() / 2));
            return;
        }
        if (list.kind() != ListKind.CACHED) {
            askFailures = 0;
        }
        TreeSet<Backend> unmentioned = new TreeSet<>(backends.keySet());
        for (Member member : list.entries()) {
            unmentioned.remove(member.backend());
            BackendState state = backends.computeIfAbsent(member.backend(), b -> new BackendState());
            if (state.member != null && member.startedAt() > state.member.startedAt()) {
                forget(state);
            }
            listChanged |= state.member == null || !state.member.equals(member);
            state.member = member;
        }
        if (list.kind() != ListKind.DELTA) {
            for (Backend backend : unmentioned) {
                BackendState state = backends.get(backend);
                Member was = state.member;
                listChanged |= was.listed() != Listed.GONE;
                state.member = new Member(backend, was.zone(), was.kind(), was.cell(), Listed.GONE, was.weight(),
                        was.startedAt());
            }
        }
    }

    /** A process that restarted is a new one: what its predecessor met says nothing of it. */
    private void forget(BackendState state) {
        for (int zone = 0; zone < settings.zones(); zone++) {
            paths.remove(new PathKey(zone, state.member.backend()));
        }
        state.busy = null;
    }

    private void askForList(long now) {
        if (settings.mustAsk() && !watching && now >= askAt) {
            watching = true;
            actions.add(new Watch(true));
        } else if (settings.mustAsk() && !watching) {
            actions.add(new TimerAt(askAt, 1));
        }
    }

    private static boolean ready(BackendState state) {
        return state.member.listed() == Listed.READY;
    }

    /** The least part of its capacity that a backend has by now, going by the stated ramp. */
    private double warmth(long now, BackendState state) {
        long started = state.member.startedAt();
        double part = started <= 0 ? 1 : (double) (now - started) / settings.rules().coldFor();
        double from = settings.rules().coldFrom();
        return Math.min(1, from + (1 - from) * Math.max(0, part));
    }

    // ---- 2. Health and speed ----------------------------------------------------------------------------

    private Path path(int zone, Backend backend) {
        return paths.computeIfAbsent(new PathKey(zone, backend), k -> new Path());
    }

    private void hearTally(Tally tally) {
        BackendState state = backends.get(tally.backend());
        if (state == null) {
            return;
        }
        reportsCame = true;
        Path path = path(tally.zone(), tally.backend());
        path.newTries += tally.tries();
        path.newFailed += tally.failed();
        path.newLatencySum += (double) tally.latency() * (tally.tries() - tally.failed());
        hearLoad(state, tally.load());
    }

    private void hearProbe(long now, Probed probed) {
        BackendState state = backends.get(probed.backend());
        if (state != null && probed.ok()) {
            hearLoad(state, probed.load());
        }
    }

    private void hearLoad(BackendState state, List<Double> load) {
        int busy = settings.columns().busy();
        if (busy >= 0 && busy < load.size()) {
            state.busy = state.busy == null ? load.get(busy) : blend(state.busy, load.get(busy));
        }
        int service = settings.columns().latencyMs();
        if (service >= 0 && service < load.size() && load.get(service) > 0) {
            state.serviceMs = state.serviceMs == null ? load.get(service)
                    : blend(state.serviceMs, load.get(service));
        }
    }

    private static double blend(double old, double fresh) {
        return old + SMOOTH * (fresh - old);
    }

    private void probe() {
        if (settings.mayProbe()) {
            for (BackendState state : backends.values()) {
                if (ready(state)) {
                    actions.add(new Probe(state.member.backend()));
                }
            }
        }
    }

    /** A round's lessons: paths, backends, usage; then levels. */
    private void learn(long now) {
        if (!reportsCame) {
            return;
        }
        reportsCame = false;
        roundsHeard++;
        for (Path path : paths.values()) {
            path.tries += path.newTries - SMOOTH * path.tries;
            path.failed += path.newFailed - SMOOTH * path.failed;
            path.latencySum += path.newLatencySum - SMOOTH * path.latencySum;
        }
        judgePaths(now);
        weighLoads();
        learnUsage(now);
        setTotal(now);
        for (Path path : paths.values()) {
            path.newTries = 0;
            path.newFailed = 0;
            path.newLatencySum = 0;
        }
    }

    /**
     * Rests a path that fails far more than its peers (fast failers, dead and cut-off backends) and lightens one
     * that is far slower. Late reports can hurt a path once more after its trial: rests then grow.
     */
    private void judgePaths(long now) {
        double usualFailing = median(paths.values().stream().filter(p -> p.tries >= ENOUGH)
                .mapToDouble(Path::failing).toArray());
        double usualLatency = median(paths.values().stream().filter(p -> p.latency() > 0)
                .mapToDouble(Path::latency).toArray());
        for (Map.Entry<PathKey, Path> entry : paths.entrySet()) {
            Path path = entry.getValue();
            if (path.restUntil > now) {
                continue;
            }
            if (path.restUntil > 0) {
                path.restUntil = 0;
                path.health = TRIAL;
                path.judgedFrom = now + settings.channel().latest() + 2 * settings.period();
                path.tries = 0;
                path.failed = 0;
                path.latencySum = 0;
            } else if (now >= path.judgedFrom && path.failing() > Math.max(FAILING, 3 * usualFailing)) {
                path.restUntil = now + (REST << Math.min(path.relapses, 3));
                path.relapses++;
                path.health = 0;
                actions.add(new Log("path failing: backend " + entry.getKey().backend() + " from zone "
                        + entry.getKey().zone()));
            } else if (now >= path.judgedFrom) {
                double slower = path.latency() > 0 && usualLatency > 0 ? path.latency() / usualLatency : 1;
                double aim = slower > OUTLIER ? 1 / slower : 1;
                path.health = Math.min(aim, path.health * 1.5);
                if (path.health == 1) {
                    path.relapses = 0;
                }
            }
        }
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        return values.length == 0 ? 0 : values[values.length / 2];
    }

    /** The companion: backends loaded above the mean hand weight to those below, within the design's bounds. */
    private void weighLoads() {
        double sum = 0;
        double weights = 0;
        for (BackendState state : backends.values()) {
            state.latency = latencyOf(state);
            if (ready(state) && load(state) > 0) {
                sum += load(state) * state.member.weight();
                weights += state.member.weight();
            }
        }
        for (BackendState state : backends.values()) {
            if (!ready(state) || load(state) <= 0 || sum <= 0) {
                continue;
            }
            double gap = load(state) / (sum / weights) - 1;
            if (Math.abs(gap) > NOISE) {
                double factor = Math.pow(1 + gap, -HAND_OVER);
                state.correction = Math.max(LEAST_CORRECTION, Math.min(MOST_CORRECTION, state.correction * factor));
            }
        }
    }

    private double load(BackendState state) {
        return settings.columns().busy() >= 0 ? (state.busy == null ? 0 : state.busy) : state.latency;
    }

    private double latencyOf(BackendState state) {
        double sum = 0;
        double good = 0;
        for (int zone = 0; zone < settings.zones(); zone++) {
            Path path = paths.get(new PathKey(zone, state.member.backend()));
            if (path != null) {
                sum += path.latencySum;
                good += path.tries - path.failed;
            }
        }
        return good < ENOUGH ? 0 : sum / good;
    }

    // ---- 3. Tables --------------------------------------------------------------------------------------

    /** Classes open to the same backends share tables; the most confined come first. */
    private void groupClasses() {
        TreeMap<String, List<Integer>> byOpenness = new TreeMap<>();
        for (int c = 0; c < settings.classes().size(); c++) {
            ClassSpec spec = settings.classes().get(c);
            String key = new TreeSet<>(spec.onlyZones()) + "/" + new TreeSet<>(spec.onlyKinds()) + "/" + spec.ownZone();
            byOpenness.computeIfAbsent(key, k -> new ArrayList<>()).add(c);
        }
        groups.addAll(byOpenness.values());
        groups.sort(Comparator.comparing((List<Integer> g) -> !confined(g)).thenComparing(g -> g.get(0)));
    }

    private boolean confined(List<Integer> group) {
        ClassSpec spec = settings.classes().get(group.get(0));
        return spec.ownZone() || !spec.onlyZones().isEmpty() || !spec.onlyKinds().isEmpty();
    }

    private boolean open(List<Integer> group, Member member) {
        ClassSpec spec = settings.classes().get(group.get(0));
        return (spec.onlyZones().isEmpty() || spec.onlyZones().contains(member.zone()))
                && (spec.onlyKinds().isEmpty() || spec.onlyKinds().contains(member.kind()));
    }

    private int table(int group, int zone) {
        return group * settings.zones() + zone;
    }

    /** What a backend can do, as far as known: listed weight, corrected, less while cold. */
    private double capacity(long now, BackendState state) {
        double warm = warmth(now, state);
        // A cold backend is slow with each request as well as short of room: hence the square.
        return ready(state) ? state.member.weight() * state.correction * warm * warm : 0;
    }

    /**
     * The weights of all tables. Each group brings every backend a part of its demand such that all are equally
     * used, confined groups first; within that a zone's proxies keep to their own zone as far as it has room.
     */
    private TreeMap<Integer, TreeMap<Backend, Double>> layTables(long now) {
        TreeMap<Backend, Double> room = new TreeMap<>();
        double capacity = 0;
        for (BackendState state : backends.values()) {
            double can = capacity(now, state);
            if (can > 0) {
                room.put(state.member.backend(), can);
                capacity += can;
            }
        }
        double demand = 0;
        for (List<Integer> group : groups) {
            demand += Arrays.stream(demandByZone(group)).sum();
        }
        double scale = capacity > 0 ? demand / capacity : 0;
        TreeMap<Backend, Double> left = new TreeMap<>();
        room.forEach((backend, can) -> left.put(backend, can * scale));
        TreeMap<Integer, TreeMap<Backend, Double>> laid = new TreeMap<>();
        for (int g = 0; g < groups.size(); g++) {
            layGroup(g, room, left, laid);
        }
        return laid;
    }

    private void layGroup(int g, TreeMap<Backend, Double> room, TreeMap<Backend, Double> left,
            TreeMap<Integer, TreeMap<Backend, Double>> laid) {
        double[] demand = demandByZone(groups.get(g));
        double all = Arrays.stream(demand).sum();
        TreeMap<Backend, Double> part = new TreeMap<>();
        double sum = 0;
        double sumRoom = 0;
        for (Map.Entry<Backend, Double> entry : room.entrySet()) {
            if (open(groups.get(g), backends.get(entry.getKey()).member)) {
                boolean last = g == groups.size() - 1;
                double share = confined(groups.get(g)) ? entry.getValue() : left.get(entry.getKey());
                share = Math.max(share, (last ? 0.05 * all / room.size() : 0));
                part.put(entry.getKey(), share);
                sum += share;
                sumRoom += entry.getValue();
            }
        }
        double[] zoneRoom = new double[settings.zones()];
        for (Map.Entry<Backend, Double> entry : part.entrySet()) {
            entry.setValue(entry.getValue() * all / sum);
            zoneRoom[backends.get(entry.getKey()).member.zone()] += entry.getValue();
            left.merge(entry.getKey(), -entry.getValue(), (a, b) -> Math.max(0, a + b));
        }
        double spare = 0;
        for (int z = 0; z < settings.zones(); z++) {
            spare += Math.max(0, zoneRoom[z] - demand[z]);
        }
        for (int z = 0; z < settings.zones(); z++) {
            TreeMap<Backend, Double> lines = new TreeMap<>();
            double own = Math.min(demand[z], zoneRoom[z]);
            double weights = 0;
            for (Map.Entry<Backend, Double> entry : part.entrySet()) {
                int y = backends.get(entry.getKey()).member.zone();
                double flow = y == z ? own
                        : spare > 0 ? (demand[z] - own) * Math.max(0, zoneRoom[y] - demand[y]) / spare : 0;
                double weight = entry.getValue() / Math.max(1e-9, zoneRoom[y]) * flow / Math.max(1e-9, demand[z])
                        + TRICKLE * room.get(entry.getKey()) / sumRoom;
                lines.put(entry.getKey(), weight);
                weights += weight;
            }
            laid.put(table(g, z), withHealth(z, lines, weights));
        }
    }

    /** Applies the health of a zone's paths, unless too little would be left of the table. */
    private TreeMap<Backend, Double> withHealth(int zone, TreeMap<Backend, Double> lines, double weights) {
        TreeMap<Backend, Double> healthy = new TreeMap<>();
        double kept = 0;
        for (Map.Entry<Backend, Double> line : lines.entrySet()) {
            Path path = paths.get(new PathKey(zone, line.getKey()));
            double weight = line.getValue() * (path == null ? 1 : path.health);
            healthy.put(line.getKey(), weight);
            kept += weight;
        }
        TreeMap<Backend, Double> chosen = kept < PANIC_FLOOR * weights && kept < 0.05 * weights ? lines : healthy;
        double sum = chosen.values().stream().mapToDouble(w -> w).sum();
        chosen.replaceAll((backend, weight) -> 100 * weight / sum);
        return chosen;
    }

    /** What the joined proxies of each zone ask of a group, in work as far as aims tell; never quite nothing. */
    private double[] demandByZone(List<Integer> group) {
        double[] demand = new double[settings.zones()];
        Arrays.fill(demand, 1e-3);
        for (ProxyState proxy : proxies.values()) {
            if (proxy.joined) {
                for (int cls : group) {
                    demand[proxy.zone] += proxy.usage[cls] * cost(cls);
                }
            }
        }
        return demand;
    }

    /** A class's work relative to the others: its aim is the only hint given. */
    private double cost(int cls) {
        return settings.classes().get(cls).aim() / (double) SECOND;
    }

    // ---- 4. Levels and retries --------------------------------------------------------------------------

    private double openLevel() {
        return settings.admission() == Admission.SHARE ? 1 : OPEN_RATE;
    }

    private void hearUsage(Usage usage) {
        ProxyState proxy = proxies.get(usage.proxy());
        if (proxy != null && usage.span() > 0) {
            reportsCame = true;
            proxy.heard = true;
            proxy.newUsage[usage.cls()] += usage.requests() * (double) SECOND / settings.period();
        }
    }

    private void learnUsage(long now) {
        proxies.values().removeIf(p -> !p.joined && now - p.leftAt > LEASE);
        for (ProxyState proxy : proxies.values()) {
            for (int c = 0; proxy.heard && c < levels.length; c++) {
                proxy.usage[c] = blend(proxy.usage[c], proxy.newUsage[c]);
                proxy.newUsage[c] = 0;
            }
        }
    }

    /** The design's total: set once to the served rate at overload, lowered with patience, raised when calm. */
    private void setTotal(long now) {
        double served = 0;
        int judged = 0;
        int over = 0;
        for (BackendState state : backends.values()) {
            double tries = 0;
            double failed = 0;
            for (int zone = 0; zone < settings.zones(); zone++) {
                Path path = paths.get(new PathKey(zone, state.member.backend()));
                if (path != null) {
                    tries += path.tries;
                    failed += path.failed;
                }
            }
            served += (tries - failed) * SMOOTH * SECOND / settings.period();
            if (ready(state) && tries >= ENOUGH) {
                judged++;
                over += isOverloaded(state, tries, failed) ? 1 : 0;
            }
        }
        boolean was = overloaded;
        overloaded = judged > 0 && over * 2 > judged;
        if (roundsHeard <= PATIENCE) {
            return;
        }
        if (overloaded && ++overloadedRounds == 1 && Double.isInfinite(total)) {
            total = served * HEADROOM;
        } else if (overloaded && overloadedRounds > PATIENCE) {
            total *= HEADROOM;
            overloadedRounds = 1;
        } else if (!overloaded) {
            overloadedRounds = 0;
            total *= RAISE;
        }
        if (was != overloaded) {
            actions.add(new Log(overloaded ? "overload begins" : "overload ends"));
        }
        setLevels();
    }

    /** Overload shows in refusals, or in answers twice as slow as when quiet and slow enough to endanger an aim. */
    private boolean isOverloaded(BackendState state, double tries, double failed) {
        if (state.latency > 0) {
            state.quiet = state.quiet == 0 ? state.latency : Math.min(state.quiet, state.latency);
        }
        double aim = settings.classes().stream().mapToLong(ClassSpec::aim).min().orElse(SECOND);
        return failed > OVERLOAD_FAILED * tries
                || state.latency > Math.max(OVERLOAD_SLOWER * state.quiet, aim / 2);
    }

    /** Shares the part out, worthiest class first; each class's rest is one even level for all its proxies. */
    private void setLevels() {
        List<Integer> byWorth = new ArrayList<>();
        double demand = 0;
        double joinedDemand = 0;
        for (int c = 0; c < levels.length; c++) {
            byWorth.add(c);
            for (ProxyState proxy : proxies.values()) {
                demand += proxy.usage[c];
                joinedDemand += proxy.joined ? proxy.usage[c] : 0;
            }
        }
        if (Double.isInfinite(total) || total > 1.5 * demand) {
            total = Double.POSITIVE_INFINITY;
            Arrays.fill(levels, openLevel());
            return;
        }
        byWorth.sort(Comparator.comparing((Integer c) -> -settings.classes().get(c).worth()));
        double part = total;
        for (int cls : byWorth) {
            double[] usage = proxies.values().stream().mapToDouble(p -> p.usage[cls]).sorted().toArray();
            double asked = Arrays.stream(usage).sum();
            double level = part >= asked ? OPEN_RATE : evenLevel(usage, part);
            double least = LEAST_LEVEL * asked / Math.max(1, usage.length);
            levels[cls] = settings.admission() == Admission.SHARE ? Math.min(1, part / Math.max(1e-9, asked))
                    : Math.max(level, least);
            part = Math.max(0, part - asked);
        }
    }

    /** The one level at which what all proxies may use adds up to the part. */
    static double evenLevel(double[] sortedUsage, double part) {
        double left = part;
        for (int i = 0; i < sortedUsage.length; i++) {
            double even = left / (sortedUsage.length - i);
            if (sortedUsage[i] >= even) {
                return even;
            }
            left -= sortedUsage[i];
        }
        return OPEN_RATE;
    }

    /** A further try after any failure only where a repeat is harmless, and none that would feed an overload. */
    private Retry retry(int cls) {
        boolean safe = settings.classes().get(cls).effect() == Effect.SAFE;
        return safe && Double.isInfinite(total) ? Retry.ONCE : Retry.ONCE_UNRUN;
    }

    // ---- 5. Sender --------------------------------------------------------------------------------------

    private final TreeMap<Integer, Admit> sentLevels = new TreeMap<>();

    private void join(long now, ProxyJoined joined) {
        ProxyState proxy = proxies.computeIfAbsent(joined.proxy(), p -> new ProxyState());
        proxy.zone = joined.zone();
        proxy.joined = true;
        proxy.messages.clear();
        if (proxy.usage == null) {
            proxy.usage = new double[levels.length];
            proxy.newUsage = new double[levels.length];
            Arrays.fill(proxy.usage, joined.rate() / levels.length);
        }
        joining.add(joined.proxy());
    }

    private void send(long now, boolean round) {
        drain(now);
        TreeMap<Integer, Integer> lines = new TreeMap<>();
        TreeMap<Integer, TreeMap<Backend, Double>> laid = layTables(now);
        sendWithdrawals(lines);
        sendLines(now, laid, round, lines);
        if (round || !joining.isEmpty()) {
            sendLevels(lines);
        }
        for (int number : joining) {
            ProxyState proxy = proxies.get(number);
            int cost = 0;
            for (int g = 0; g < groups.size(); g++) {
                int mask = groups.get(g).stream().mapToInt(c -> 1 << c).sum();
                actions.add(new Bind(number, table(g, proxy.zone), mask));
                cost += 1 + tables.getOrDefault(table(g, proxy.zone), new TreeMap<>()).size() + groups.get(g).size();
            }
            lines.put(number, cost);
        }
        joining.clear();
        account(now, lines);
    }

    /** Drained and gone backends are shut out at once; a ready one is let in again with its lines set anew. */
    private void sendWithdrawals(TreeMap<Integer, Integer> lines) {
        for (BackendState state : backends.values()) {
            if (state.withdrawn == ready(state)) {
                state.withdrawn = !ready(state);
                actions.add(new Withdraw(state.member.backend(), state.withdrawn));
                proxies.forEach((number, proxy) -> addLine(lines, number, proxy));
            }
        }
    }

    private void addLine(TreeMap<Integer, Integer> lines, int number, ProxyState proxy) {
        if (proxy.joined && !joining.contains(number)) {
            lines.merge(number, 1, Integer::sum);
        }
    }

    private void sendLines(long now, TreeMap<Integer, TreeMap<Backend, Double>> laid, boolean round,
            TreeMap<Integer, Integer> lines) {
        List<Change> changes = new ArrayList<>();
        for (Map.Entry<Integer, TreeMap<Backend, Double>> table : laid.entrySet()) {
            TreeMap<Backend, Double> sent = tables.computeIfAbsent(table.getKey(), t -> new TreeMap<>());
            for (Map.Entry<Backend, Double> line : table.getValue().entrySet()) {
                double was = sent.getOrDefault(line.getKey(), 0.0);
                double size = Math.abs(line.getValue() - was) / Math.max(1e-9, Math.max(was, line.getValue()));
                if (size > WORTH_SENDING) {
                    boolean cold = warmth(now, backends.get(line.getKey())) < 1;
                    changes.add(new Change(table.getKey(), line.getKey(), line.getValue(), cold ? size + 1 : size));
                }
            }
        }
        changes.sort(Comparator.comparing(Change::size).reversed());
        boolean ordinary = round && ordinaryFits(now);
        double room = settings.channel().backlog() * ORDINARY_BACKLOG - waiting();
        for (Change change : changes) {
            long users = proxies.values().stream()
                    .filter(p -> p.joined && change.table() % settings.zones() == p.zone).count();
            boolean first = !tables.get(change.table()).containsKey(change.backend());
            if (users == 0 || first || change.size() > 1 || ordinary && room >= users) {
                actions.add(new SetLine(change.table(), change.backend(), change.weight()));
                tables.get(change.table()).put(change.backend(), change.weight());
                proxies.forEach((number, proxy) -> {
                    if (proxy.zone == change.table() % settings.zones()) {
                        addLine(lines, number, proxy);
                    }
                });
                room -= users;
            }
        }
    }

    private void sendLevels(TreeMap<Integer, Integer> lines) {
        for (int g = 0; g < groups.size(); g++) {
            for (int cls : groups.get(g)) {
                for (int z = 0; z < settings.zones(); z++) {
                    int key = table(g, z) * 16 + cls;
                    Admit admit = new Admit(table(g, z), 1 << cls, levels[cls], retry(cls));
                    Admit sent = sentLevels.get(key);
                    if (sent == null || sent.retry() != admit.retry()
                            || Math.abs(sent.level() - admit.level()) > 0.03 * sent.level()) {
                        sentLevels.put(key, admit);
                        actions.add(admit);
                        int zone = z;
                        proxies.forEach((number, proxy) -> {
                            if (proxy.zone == zone) {
                                addLine(lines, number, proxy);
                            }
                        });
                    }
                }
            }
        }
    }

    private boolean ordinaryFits(long now) {
        if (settings.channel().messagesMost() <= 0) {
            return true;
        }
        for (ProxyState proxy : proxies.values()) {
            while (!proxy.messages.isEmpty() && proxy.messages.peek() <= now - settings.channel().messagesOver()) {
                proxy.messages.poll();
            }
            if (proxy.joined && proxy.messages.size() >= ORDINARY_MESSAGES * settings.channel().messagesMost()) {
                return false;
            }
        }
        return true;
    }

    /** Books what this reply sends, and marks it so that the answer tells what has left the channel. */
    private void account(long now, TreeMap<Integer, Integer> lines) {
        if (lines.isEmpty()) {
            return;
        }
        markNumber = (markNumber + 1) % 65536;
        actions.add(new Mark(markNumber, false));
        marks.add(new SentMark(markNumber, linesSent));
        for (Map.Entry<Integer, Integer> entry : lines.entrySet()) {
            linesSent += settings.channel().head() + entry.getValue() + 1;
            proxies.get(entry.getKey()).messages.add(now);
        }
    }

    private void hearApplied(Applied applied) {
        if (marks.stream().anyMatch(m -> m.number() == applied.mark())) {
            while (marks.peek().number() != applied.mark()) {
                marks.poll();
            }
            linesLeft = Math.max(linesLeft, marks.peek().linesBefore());
        }
    }

    /** Without a mark's answer the channel is taken to run slowly. */
    private void drain(long now) {
        double seconds = drainedAt == 0 ? 0 : (now - drainedAt) / (double) SECOND;
        linesLeft = Math.min(linesSent, linesLeft + seconds * SLOW_PACE * settings.channel().linesPerSecond());
        drainedAt = now;
    }

    private double waiting() {
        return linesSent - linesLeft;
    }

    // ---- Sites with slices: legal orders only -----------------------------------------------------------

    private void keepSlices() {
        sendWithdrawals(new TreeMap<>());
        List<BackendState> usable = backends.values().stream().filter(Logic::ready).toList();
        for (Map.Entry<Integer, TreeMap<Backend, Double>> slice : slices.entrySet()) {
            boolean served = slice.getValue().keySet().stream()
                    .anyMatch(b -> backends.containsKey(b) && ready(backends.get(b)));
            if (!served && !usable.isEmpty()) {
                Backend heir = usable.get(slice.getKey() % usable.size()).member.backend();
                actions.add(new SetLine(slice.getKey(), heir, 1));
                slice.getValue().put(heir, 1.0);
            }
        }
    }
}
