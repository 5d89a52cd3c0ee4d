package rowanmoor;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import rowanmoor.ControlApi.*;

/**
 * One controller's decisions. All types, events, actions and settings are those of {@link ControlApi}.
 * Sections: members, health and speed, tables, levels, sender. docs/design.md gives the reasons.
 */
public final class Logic {

    private static final double SECOND = 1e9;
    private static final long ROUND = 1_000_000_000L; // shortest round (the design's pace), ns
    // Health and speed.
    private static final double SMOOTH = 0.35; // weight of a new round: about three count
    private static final double ENOUGH = 8; // tries over the smoothed span below which nothing is judged
    private static final double FAILING = 0.6; // share failed, and 3 x its peers', that rests a path
    private static final double DEAD = 0.85; // a path failing this share serves nobody: it may always rest
    private static final double REST_MOST = 0.25; // panic floor: weight resting for partial failures
    private static final double FAILED_AS = 1e9; // latency, ns, that a failed try counts as
    private static final double JAM_FAILED_AS = 3e9; // in a jam, where good answers are slow themselves
    private static final double OUTLIER = 1.9; // times slower than the median: lighter than hand-overs allow
    private static final long REST = 4_000_000_000L; // first rest, ns; doubled at most thrice by relapses
    private static final double TRIAL = 0.1; // part of its weight that a path gets on trial
    private static final double TRIAL_GROWTH = 2; // growth of that part in a round that goes well
    // Hand-overs: the part of a load gap closed in a round, the gap taken for noise, the design's bounds.
    private static final double HAND_OVER = 0.1;
    private static final double NOISE = 0.1;
    private static final double LEAST_CORRECTION = 0.5;
    private static final double MOST_CORRECTION = 2;
    // Tables.
    private static final double ZONE_TABLE_PRICE = 0.02; // crossing price from which zones have own tables
    private static final double TRICKLE = 0.03; // part of a table spread over all zones: a way out
    private static final double HOLD = 0.35; // warmth below which a backend stays out, if enough are warm
    private static final double HOLD_IN_OVERLOAD = 0.6; // and under overload
    private static final double COLD_MOST = 3; // times its part of demand, that a cold backend has in a table
    private static final double LEAST_SHARE = 0.05; // of an even share, that open classes leave everywhere
    private static final double WORTH_SENDING = 0.1; // smallest relative change of a line that is sent
    private static final double LEVEL_WORTH_SENDING = 0.03; // and of a level
    // Levels: the design's figures, but for the proven rate's.
    private static final double OVERLOAD_FAILED = 0.05; // overload: share of tries that fail
    private static final double OVERLOAD_SLOWER = 2; // or: times slower than when quiet
    private static final double HEADROOM = 0.9; // the total starts at this part of the served rate
    private static final double RAISE = 1.1; // growth of the total in a calm second
    private static final double PROVEN_PART = 0.75; // part of the best rate served calmly so far: safe
    private static final double FAST_RAISE = 1.3; // the most that it grows in one
    private static final double QUIET = 1.4; // times the quiet latency up to which a backend counts as quiet
    private static final double FULL = 0.85; // reported use up to which the total may grow faster
    private static final double PAST_FULL = 1.02; // growth of the total in a second past that
    private static final double AHEAD = 1.5; // times the served rate: the total does not run ahead
    private static final double DRAIN = 0.7; // part of the total let in while most backends are jammed
    private static final double JAM_FAILED = 0.3; // jammed: share that fail, or answers beyond an aim
    private static final int PATIENCE = 3; // overloaded rounds before the total is lowered again
    private static final int LEARN_ROUNDS = 2; // rounds heard after a start before levels are set
    private static final long LEASE = 10_000_000_000L; // how long departed proxies count, ns
    private static final double LEAST_LEVEL = 0.1; // of mean usage: no proxy out of reach starves on it
    private static final double LIFT = 1.3; // the total is lifted at this many times the demand
    private static final double OPEN_RATE = 1_000_000; // the rate that lets everything in
    // Safe for every class. A try again after any failure cuts the first short: that waste alone feeds jams.
    private static final Retry RETRY = Retry.ONCE_UNRUN;
    // Sender.
    private static final double ORDINARY_BACKLOG = 0.4; // of the backlog, that ordinary orders may fill
    private static final double URGENT_BACKLOG = 0.8; // and urgent ones
    private static final double SLOW_PACE = 0.2; // of its pace, at which it drains while no mark tells
    private static final double MESSAGE_SPARE = 1.1; // on the gap between messages where they are limited

    /** How the joined proxies of one region fare at one backend. */
    private final class Path {
        double tries, failed, latencySum; // smoothed over rounds
        double newTries, newFailed, newLatencySum; // since the last round
        double lastFailing, lastLatency; // of the last round alone
        long restUntil, trialFrom;
        int relapses;
        double health = 1;

        void learn() {
            lastFailing = newTries < ENOUGH / 2 ? failing() : newFailed / newTries;
            lastLatency = newTries - newFailed < ENOUGH / 2 ? 0 : newLatencySum / (newTries - newFailed);
            tries += newTries - SMOOTH * tries;
            failed += newFailed - SMOOTH * failed;
            latencySum += newLatencySum - SMOOTH * latencySum;
            newTries = newFailed = newLatencySum = 0;
        }

        double failing() { return tries < ENOUGH ? 0 : failed / tries; }

        double latency() { return tries < ENOUGH ? 0 : (latencySum + failed * failedAs()) / tries; }
    }

    /** What is known of one backend; {@code all} sums its paths, one for each region. */
    private final class BackendState {
        Member member;
        Path[] paths = newPaths();
        Path all = new Path();
        double correction = 1;
        double busy, lastBusy, quiet;
        boolean withdrawn, held;

        boolean ready() { return member.listed() == Listed.READY; }

        /** A process that restarted is a new one: what its predecessor met says nothing of it. */
        void forget() {
            paths = newPaths();
            all = new Path();
            busy = 0;
        }

        private Path[] newPaths() {
            Path[] fresh = new Path[regions];
            Arrays.setAll(fresh, r -> new Path());
            return fresh;
        }

        /** The least part of its capacity that it has by now, going by the stated ramp. */
        double warmth(long now) {
            Rules rules = settings.rules();
            double age = member.startedAt() <= 0 ? 1 : (now - member.startedAt()) / (double) rules.coldFor();
            return Math.min(1, rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, age));
        }

        /** What it can do. A cold one is slow with each request and short of room: hence the square. */
        double capacity(long now) {
            return ready() && !held ? member.weight() * correction * warmth(now) * warmth(now) : 0;
        }

        void learnQuiet() {
            double latency = all.latency();
            quiet = quiet == 0 || latency > 0 && latency < quiet ? latency : quiet;
        }

        boolean isQuiet() { return all.lastLatency > 0 && all.lastLatency < QUIET * quiet; }

        /** How loaded it is, on whatever scale the site reports; 0 if unknown. */
        double load() { return settings.columns().busy() >= 0 ? busy : all.latency(); }
    }

    private static final class ProxyState {
        int zone;
        boolean joined, heard; // before a proxy is heard, the rate it joined with counts
        long leftAt;
        double[] usage, newUsage; // by class, requests a second and since the last round
        int lines;
    }

    /** A line that is off by {@code size}, relative to the larger of what is and what should be. */
    private record Change(int table, Backend backend, double weight, double size) { }

    private record SentMark(int number, double linesBefore) { }

    private final Settings settings;
    private final Random random;
    private final int regions;
    private final long roundLength;
    private final double tightestAim;
    private final List<Integer> byWorth; // classes, the worthiest first
    private final List<List<Integer>> groups = new ArrayList<>();
    private final TreeMap<Backend, BackendState> backends = new TreeMap<>();
    private final TreeMap<Integer, ProxyState> proxies = new TreeMap<>();
    private final TreeMap<Integer, TreeMap<Backend, Double>> tables = new TreeMap<>();
    private final TreeMap<Integer, Admit> sentLevels = new TreeMap<>();
    private final TreeMap<Integer, TreeMap<Backend, Double>> slices = new TreeMap<>();
    private final List<Action> actions = new ArrayList<>();
    private final TreeSet<Integer> joining = new TreeSet<>();
    private long nextRound, learnedAt;
    private int roundsHeard;
    private boolean reportsCame, urgent, watching, jammed;
    private long askAt;
    private int askFailures, overloadedRounds;
    private double total = Double.POSITIVE_INFINITY, proven, usualCapacity;
    private final double[] levels;
    private long nextMessage, drainedAt;
    private double linesSent, linesLeft;
    private int markNumber;
    private final ArrayDeque<SentMark> marks = new ArrayDeque<>();

    public Logic(Settings settings, long seed) {
        this.settings = settings;
        this.random = new Random(seed);
        this.regions = settings.crossZonePrice() >= ZONE_TABLE_PRICE ? settings.zones() : 1;
        this.roundLength = Math.max(ROUND, settings.period());
        this.tightestAim = settings.classes().stream().mapToLong(ClassSpec::aim).min().orElse(0);
        this.byWorth = IntStream.range(0, settings.classes().size()).boxed()
                .sorted(Comparator.comparing(c -> -settings.classes().get(c).worth())).toList();
        this.levels = new double[settings.classes().size()];
        Arrays.fill(levels, openLevel());
        groupClasses();
    }

    public void on(long now, Event event) {
        if (event instanceof Members members) {
            hearList(now, members);
        } else if (event instanceof ProxyJoined joined) {
            join(joined);
        } else if (event instanceof ProxyLeft left && proxies.containsKey(left.proxy())) {
            proxies.get(left.proxy()).joined = false;
            proxies.get(left.proxy()).leftAt = now;
            joining.remove(left.proxy());
        } else if (event instanceof Tally tally && backends.containsKey(tally.backend())) {
            hearTally(backends.get(tally.backend()), tally);
        } else if (event instanceof Usage usage && proxies.containsKey(usage.proxy())) {
            reportsCame = true;
            proxies.get(usage.proxy()).newUsage[usage.cls()] += usage.requests();
        } else if (event instanceof Probed probed && probed.ok() && backends.containsKey(probed.backend())) {
            hearLoad(backends.get(probed.backend()), probed.load());
        } else if (event instanceof Applied applied) {
            hearApplied(applied);
        } else if (event instanceof SliceGiven given) {
            slices.remove(given.slice());
            if (given.given()) { slices.put(given.slice(), new TreeMap<>()); }
        } else if (event instanceof SliceLine line && slices.containsKey(line.slice())) {
            slices.get(line.slice()).put(line.backend(), line.weight());
        }
    }

    /** The orders that follow from all that was heard up to now. */
    public List<Action> decide(long now) {
        askForList(now);
        boolean round = now >= nextRound;
        if (round) {
            nextRound = now + roundLength;
            actions.add(new TimerAt(nextRound, 0));
            probe();
            learn(now);
        }
        if (settings.slices() > 0) {
            keepSlices();
        } else {
            send(now, round);
        }
        List<Action> orders = List.copyOf(actions);
        actions.clear();
        return orders;
    }

    // ---- 1. Members -------------------------------------------------------------------------------------

    private void hearList(long now, Members list) {
        if (list.kind() == ListKind.FAILED) {
            watching = false;
            long base = Math.min(ROUND << Math.min(askFailures++, 2), settings.rules().askWithin() / 4);
            askAt = now + (long) (base * (0.5 + random.nextDouble() / 2));
            return;
        }
        askFailures = list.kind() == ListKind.CACHED ? askFailures : 0;
        TreeSet<Backend> unmentioned = new TreeSet<>(backends.keySet());
        for (Member member : list.entries()) {
            unmentioned.remove(member.backend());
            heed(backends.computeIfAbsent(member.backend(), b -> new BackendState()), member);
        }
        if (list.kind() != ListKind.DELTA) {
            for (Backend backend : unmentioned) {
                Member was = backends.get(backend).member;
                heed(backends.get(backend), new Member(backend, was.zone(), was.kind(), was.cell(),
                        Listed.GONE, was.weight(), was.startedAt()));
            }
        }
    }

    private void heed(BackendState state, Member member) {
        if (state.member != null && member.startedAt() > state.member.startedAt()) { state.forget(); }
        urgent |= state.member == null || !state.member.equals(member);
        state.member = member;
    }

    private void askForList(long now) {
        if (settings.mustAsk() && !watching) {
            watching = now >= askAt;
            actions.add(watching ? new Watch(true) : new TimerAt(askAt, 1));
        }
    }

    // ---- 2. Health and speed ----------------------------------------------------------------------------

    private double failedAs() { return jammed ? JAM_FAILED_AS : FAILED_AS; }

    private int region(int zone) { return regions == 1 ? 0 : zone; }

    private void hearTally(BackendState state, Tally tally) {
        reportsCame = true;
        for (Path path : List.of(state.paths[region(tally.zone())], state.all)) {
            path.newTries += tally.tries();
            path.newFailed += tally.failed();
            path.newLatencySum += (double) tally.latency() * (tally.tries() - tally.failed());
        }
        hearLoad(state, tally.load());
    }

    private void hearLoad(BackendState state, List<Double> load) {
        int column = settings.columns().busy();
        if (column >= 0 && column < load.size()) {
            state.lastBusy = load.get(column);
            state.busy = state.busy == 0 ? load.get(column) : blend(state.busy, load.get(column));
        }
    }

    private static double blend(double old, double fresh) { return old + SMOOTH * (fresh - old); }

    private void probe() {
        for (BackendState state : backends.values()) {
            if (settings.mayProbe() && state.ready()) { actions.add(new Probe(state.member.backend())); }
        }
    }

    /** A round's lessons: paths, loads, usage, total. */
    private void learn(long now) {
        if (!reportsCame) { return; }
        reportsCame = false;
        roundsHeard++;
        double seconds = (learnedAt == 0 ? roundLength : now - learnedAt) / SECOND;
        learnedAt = now;
        for (BackendState state : backends.values()) {
            state.all.learn();
            Arrays.stream(state.paths).forEach(Path::learn);
        }
        for (int region = 0; region < regions; region++) { judgePaths(now, region); }
        handOver(now);
        learnUsage(now, seconds);
        setTotal(now, seconds);
        setLevels();
    }

    // Rests a path that fails far more than its peers (fast failers, dead and cut-off backends) and lightens
    // one that is far slower. Full backends fail too: partial failures rest few, and none under overload.
    private void judgePaths(long now, int region) {
        List<Path> judged = paths(region).stream().filter(p -> p.tries >= ENOUGH).toList();
        double usualFailing = median(judged.stream().map(Path::failing).toList());
        double usualLatency = median(paths(region).stream().map(Path::latency).filter(l -> l > 0).toList());
        double mayRest = 0;
        for (BackendState state : backends.values()) {
            double part = state.paths[region].restUntil > 0 ? -1 : REST_MOST;
            mayRest += state.ready() ? part * state.member.weight() : 0;
        }
        List<BackendState> worstFirst = new ArrayList<>(backends.values());
        worstFirst.sort(Comparator.comparing(s -> -s.paths[region].failing()));
        for (BackendState state : worstFirst) {
            Path path = state.paths[region];
            boolean failing = path.failing() > Math.max(FAILING, 3 * usualFailing);
            boolean room = path.failing() > DEAD || overloadedRounds == 0 && mayRest >= state.member.weight();
            if (path.restUntil > now || now < path.trialFrom) {
                continue;
            }
            if (path.restUntil > 0) {
                path.restUntil = 0;
                path.health = TRIAL;
                path.trialFrom = now + settings.channel().latest() + 2 * settings.period();
                path.tries = path.failed = path.latencySum = 0;
            } else if (failing && room) {
                path.restUntil = now + (REST << Math.min(path.relapses++, 3));
                path.health = 0;
                mayRest -= state.member.weight();
                actions.add(new Log("path rested: " + state.member.backend() + " from region " + region
                        + " failed " + Math.round(100 * path.failing()) + "%"));
            } else {
                double slower = usualLatency > 0 ? path.latency() / usualLatency : 1;
                path.health = Math.min(slower > OUTLIER ? 1 / slower : 1, path.health * TRIAL_GROWTH);
                path.relapses = path.health == 1 ? 0 : path.relapses;
            }
        }
    }

    private List<Path> paths(int region) {
        return backends.values().stream().filter(BackendState::ready).map(s -> s.paths[region]).toList();
    }

    private static double median(Collection<Double> values) {
        return values.isEmpty() ? 0 : values.stream().sorted().skip(values.size() / 2).findFirst().orElse(0d);
    }

    /** The companion: backends loaded above the mean hand weight to those below, within its bounds. */
    private void handOver(long now) {
        List<BackendState> settled = backends.values().stream().filter(s -> s.ready() && s.load() > 0
                && s.warmth(now) == 1 && Arrays.stream(s.paths).allMatch(p -> p.health == 1)).toList();
        double sum = settled.stream().mapToDouble(s -> s.load() * s.member.weight()).sum();
        double mean = sum / settled.stream().mapToDouble(s -> s.member.weight()).sum();
        for (BackendState state : settled) {
            if (Math.abs(state.load() / mean - 1) > NOISE) {
                double factor = Math.pow(state.load() / mean, -HAND_OVER);
                double correction = state.correction * factor;
                state.correction = Math.max(LEAST_CORRECTION, Math.min(MOST_CORRECTION, correction));
            }
        }
    }

    // ---- 3. Tables --------------------------------------------------------------------------------------

    /** Classes open to the same backends share tables; the confined ones come first. */
    private void groupClasses() {
        TreeMap<String, List<Integer>> byOpenness = new TreeMap<>();
        for (int c = 0; c < levels.length; c++) {
            ClassSpec spec = settings.classes().get(c);
            String openness = spec.onlyZones() + "/" + spec.onlyKinds() + "/" + spec.ownZone();
            byOpenness.computeIfAbsent(openness, k -> new ArrayList<>()).add(c);
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

    private int table(int group, int region) { return group * regions + region; }

    private Predicate<ProxyState> users(int table) { return p -> region(p.zone) == table % regions; }

    // What joined proxies ask of a group, by region, in work as far as aims tell of it. A region with none is
    // taken for a usual one: its proxies may return, and must not meet tables laid for nobody.
    private double[] demand(List<Integer> group) {
        double[] demand = new double[regions];
        for (ProxyState proxy : proxies.values()) {
            for (int cls : group) {
                double asked = proxy.joined ? proxy.usage[cls] * settings.classes().get(cls).aim() : 0;
                demand[region(proxy.zone)] += asked;
            }
        }
        double usual = Math.max(1, Arrays.stream(demand).sum() / regions);
        Arrays.setAll(demand, r -> demand[r] > 0 ? demand[r] : usual);
        return demand;
    }

    /** All tables: each backend is used in proportion to its capacity, confined classes placed first. */
    private TreeMap<Integer, TreeMap<Backend, Double>> layTables(long now) {
        TreeMap<Backend, Double> room = new TreeMap<>();
        backends.forEach((backend, state) -> room.put(backend, state.capacity(now)));
        double capacity = sum(room.values());
        List<double[]> demands = groups.stream().map(this::demand).toList();
        double asked = demands.stream().mapToDouble(d -> Arrays.stream(d).sum()).sum();
        TreeMap<Backend, Double> left = new TreeMap<>(room);
        left.replaceAll((backend, can) -> can * asked / Math.max(1e-9, capacity));
        TreeMap<Integer, TreeMap<Backend, Double>> laid = new TreeMap<>();
        for (int g = 0; g < groups.size(); g++) {
            List<Integer> group = groups.get(g);
            TreeMap<Backend, Double> part = new TreeMap<>();
            for (BackendState state : backends.values()) {
                Backend backend = state.member.backend();
                if (room.get(backend) > 0 && open(group, state.member)) {
                    double least = LEAST_SHARE * room.get(backend) * asked / capacity;
                    double rest = Math.max(least, left.get(backend));
                    part.put(backend, confined(group) ? room.get(backend) : rest);
                }
            }
            double scale = Arrays.stream(demands.get(g)).sum() / sum(part.values());
            part.replaceAll((backend, share) -> share * scale);
            part.forEach((backend, share) -> left.merge(backend, -share, Double::sum));
            for (int r = 0; r < regions; r++) {
                laid.put(table(g, r), lines(now, r, part, demands.get(g)));
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
        if (sum(lines.values()) <= 0) { lines.putAll(part); }
        double all = Arrays.stream(demand).sum();
        double scale = all / sum(lines.values());
        double[] room = new double[regions];
        lines.forEach((backend, share) -> room[region(backends.get(backend).member.zone())] += share * scale);
        double own = Math.min(demand[region], room[region]);
        double spare = 1e-9;
        for (int r = 0; r < regions; r++) {
            spare += r == region ? 0 : Math.max(0, room[r] - demand[r]);
        }
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
        double sum = sum(lines.values());
        lines.replaceAll((backend, weight) -> 100 * weight / sum);
        return lines;
    }

    private static double sum(Collection<Double> v) { return v.stream().mapToDouble(d -> d).sum(); }

    // ---- 4. Levels --------------------------------------------------------------------------------------

    private double openLevel() { return settings.admission() == Admission.SHARE ? 1 : OPEN_RATE; }

    private void learnUsage(long now, double seconds) {
        proxies.values().removeIf(p -> !p.joined && now - p.leftAt > LEASE);
        for (ProxyState proxy : proxies.values()) {
            proxy.heard |= Arrays.stream(proxy.newUsage).sum() > 0;
            for (int c = 0; proxy.joined && proxy.heard && c < levels.length; c++) {
                proxy.usage[c] = blend(proxy.usage[c], proxy.newUsage[c] / seconds);
                proxy.newUsage[c] = 0;
            }
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
        judged.forEach(BackendState::learnQuiet);
        long over = judged.stream().filter(this::isOverloaded).count();
        boolean overloaded = over * 2 > judged.size();
        jammed = judged.stream().filter(this::isJammed).count() * 2 > judged.size();
        boolean was = overloadedRounds > 0;
        if (!overloaded) {
            proven = Math.max(proven, served / Math.max(1e-9, usualCapacity));
            overloadedRounds = 0;
            total *= Math.pow(total < known ? FAST_RAISE : raise(judged), seconds);
            total = Double.isInfinite(total) ? total : Math.min(total, Math.max(AHEAD * served, known));
        } else if (roundsHeard > LEARN_ROUNDS) {
            overloadedRounds++;
            if (!was) {
                total = Math.min(total, Math.max(served * (jammed ? HEADROOM : 1), PROVEN_PART * known));
            } else if (overloadedRounds > PATIENCE) {
                total *= HEADROOM;
                overloadedRounds = 1;
            }
        }
        if (was != overloadedRounds > 0) {
            actions.add(new Log(was ? "overload ends" : "overload begins: " + over + " of " + judged.size()
                    + " backends, " + Math.round(served) + "/s served, total " + Math.round(total) + "/s"));
        }
    }

    /** A tenth, or as much as reported use leaves room for; the fast pace while most answer as in quiet. */
    private double raise(List<BackendState> judged) {
        double busy = judged.stream().mapToDouble(s -> s.lastBusy).average().orElse(0);
        if (busy > 0) {
            return Math.max(PAST_FULL, Math.min(FAST_RAISE, FULL / busy));
        }
        return judged.stream().filter(BackendState::isQuiet).count() * 2 > judged.size() ? FAST_RAISE : RAISE;
    }

    /** Overload shows in failures, or in answers twice as slow as in quiet and slow enough to matter. */
    private boolean isOverloaded(BackendState state) {
        boolean slower = state.all.lastLatency == 0 || state.all.lastLatency > QUIET * state.quiet;
        return state.all.lastFailing > OVERLOAD_FAILED && slower
                || state.all.lastLatency > Math.max(OVERLOAD_SLOWER * state.quiet, tightestAim / 2);
    }

    /** A jam: answers come too late to be of use, and what is let in only waits. Queues must drain first. */
    private boolean isJammed(BackendState state) {
        return state.all.lastFailing > JAM_FAILED || state.all.lastLatency > tightestAim;
    }

    /** Shares the part out, worthiest class first; a class's rest becomes one even level for all. */
    private void setLevels() {
        double demand = proxies.values().stream().mapToDouble(p -> Arrays.stream(p.usage).sum()).sum();
        if (total > LIFT * demand) { total = Double.POSITIVE_INFINITY; }
        double part = jammed ? DRAIN * total : total;
        for (int cls : byWorth) {
            double[] usage = proxies.values().stream().mapToDouble(p -> p.usage[cls]).sorted().toArray();
            double asked = Arrays.stream(usage).sum();
            double least = LEAST_LEVEL * asked / Math.max(1, usage.length);
            if (part >= asked) {
                levels[cls] = openLevel();
            } else if (settings.admission() == Admission.SHARE) {
                levels[cls] = Math.max(LEAST_LEVEL, part / asked);
            } else {
                levels[cls] = Math.max(least, evenLevel(usage, part));
            }
            part = Math.max(0, part - asked);
        }
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

    private void join(ProxyJoined joined) {
        ProxyState proxy = proxies.computeIfAbsent(joined.proxy(), p -> new ProxyState());
        proxy.zone = joined.zone();
        proxy.joined = true;
        proxy.heard = false;
        if (proxy.usage == null) {
            proxy.usage = new double[levels.length];
            proxy.newUsage = new double[levels.length];
            Arrays.fill(proxy.usage, joined.rate() / levels.length);
        }
        joining.add(joined.proxy());
    }

    /** Joining proxies are bound at once; other orders wait for room and the message budget. */
    private void send(long now, boolean round) {
        double seconds = drainedAt == 0 ? 0 : (now - drainedAt) / SECOND;
        double drained = seconds * SLOW_PACE * settings.channel().linesPerSecond();
        linesLeft = Math.min(linesSent, linesLeft + drained);
        drainedAt = now;
        proxies.values().forEach(p -> p.lines = 0);
        holdCold(now);
        if ((round || urgent || !joining.isEmpty()) && now >= nextMessage) {
            sendWithdrawals();
            double part = round ? ORDINARY_BACKLOG : URGENT_BACKLOG;
            sendLines(layTables(now), part * settings.channel().backlog());
            sendLevels();
            urgent = false;
        } else if (urgent) {
            actions.add(new TimerAt(nextMessage, 2));
        }
        for (int number : joining) {
            ProxyState proxy = proxies.get(number);
            for (int g = 0; g < groups.size(); g++) {
                int table = table(g, region(proxy.zone));
                actions.add(new Bind(number, table, groups.get(g).stream().mapToInt(c -> 1 << c).sum()));
                proxy.lines += 1 + tables.get(table).size() + groups.get(g).size();
            }
        }
        joining.clear();
        account(now);
    }

    /** Every order to bound proxies passes here. */
    private void order(Action action, Predicate<ProxyState> users) {
        actions.add(action);
        proxies.forEach((n, p) -> p.lines += p.joined && !joining.contains(n) && users.test(p) ? 1 : 0);
    }

    // A very cold backend stays out while enough warm ones are there: in a jam proxies shun those that fail,
    // and all that is left to draw may be the cold one, whatever its weight.
    private void holdCold(long now) {
        double least = overloadedRounds > 0 ? HOLD_IN_OVERLOAD : HOLD;
        List<BackendState> ready = backends.values().stream().filter(BackendState::ready).toList();
        long warm = ready.stream().filter(s -> s.warmth(now) >= least).count();
        ready.forEach(s -> s.held = s.warmth(now) < least && warm * 3 >= ready.size());
    }

    /** Drained, gone and held backends are shut out; others are let in as their lines are set anew. */
    private void sendWithdrawals() {
        for (BackendState state : backends.values()) {
            if (state.withdrawn == (state.ready() && !state.held)) {
                state.withdrawn = !state.withdrawn;
                String what = state.withdrawn ? " withdrawn: listed " + state.member.listed()
                        : " let in again";
                actions.add(new Log("backend " + state.member.backend() + what));
                order(new Withdraw(state.member.backend(), state.withdrawn), p -> true);
            }
        }
    }

    private void sendLines(TreeMap<Integer, TreeMap<Backend, Double>> laid, double mostWaiting) {
        List<Change> changes = new ArrayList<>();
        laid.forEach((table, lines) -> {
            tables.computeIfAbsent(table, t -> new TreeMap<>());
            lines.forEach((backend, weight) -> {
                double was = tables.get(table).getOrDefault(backend, 0.0);
                double size = Math.abs(weight - was) / Math.max(1e-9, Math.max(was, weight));
                if (size > WORTH_SENDING) { changes.add(new Change(table, backend, weight, size)); }
            });
        });
        changes.sort(Comparator.comparing(Change::size).reversed());
        for (Change change : changes) {
            if (waiting() < mostWaiting) {
                order(new SetLine(change.table(), change.backend(), change.weight()), users(change.table()));
                tables.get(change.table()).put(change.backend(), change.weight());
            }
        }
    }

    private void sendLevels() {
        for (int table : tables.keySet()) {
            for (int cls : groups.get(table / regions)) {
                Admit admit = new Admit(table, 1 << cls, levels[cls], RETRY);
                Admit sent = sentLevels.get(table * levels.length + cls);
                double off = sent == null ? 1 : Math.abs(admit.level() / sent.level() - 1);
                if (off > LEVEL_WORTH_SENDING) {
                    sentLevels.put(table * levels.length + cls, admit);
                    order(admit, users(table));
                }
            }
        }
    }

    /** Books what this reply sends, and marks it so that the answers tell what has left the channel. */
    private void account(long now) {
        double before = linesSent;
        linesSent += replyLines();
        if (linesSent > before) {
            markNumber = (markNumber + 1) % 65536;
            actions.add(new Mark(markNumber, false));
            marks.add(new SentMark(markNumber, before));
            int most = settings.channel().messagesMost();
            double gap = most <= 0 ? 0 : MESSAGE_SPARE * settings.channel().messagesOver() / most;
            nextMessage = now + (long) gap;
        }
    }

    private double replyLines() {
        double head = settings.channel().head() + 1;
        return proxies.values().stream().mapToDouble(p -> p.lines > 0 ? p.lines + head : 0).sum();
    }

    private void hearApplied(Applied applied) {
        if (marks.stream().anyMatch(m -> m.number() == applied.mark())) {
            while (marks.peek().number() != applied.mark()) { marks.poll(); }
            linesLeft = Math.max(linesLeft, marks.peek().linesBefore());
        }
    }

    /** The most lines that may still be in the channel, this reply's among them. */
    private double waiting() { return linesSent - linesLeft + replyLines(); }

    // ---- Sites with slices: legal orders only, not tuned ------------------------------------------------

    private void keepSlices() {
        sendWithdrawals();
        List<Backend> usable = new ArrayList<>();
        backends.forEach((backend, s) -> usable.addAll(s.ready() ? List.of(backend) : List.of()));
        slices.forEach((slice, lines) -> {
            if (!usable.isEmpty() && lines.keySet().stream().noneMatch(usable::contains)) {
                Backend heir = usable.get(slice % usable.size());
                actions.add(new SetLine(slice, heir, 1));
                lines.put(heir, 1.0);
            }
        });
    }
}
