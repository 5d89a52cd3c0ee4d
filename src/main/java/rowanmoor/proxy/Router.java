package rowanmoor.proxy;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import rowanmoor.ControlApi;
import rowanmoor.ControlApi.AdmissionMode;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.channel.Frame;
import rowanmoor.config.Site;

/**
 * Routing state of a proxy: holds the tables published by the controller and decides which requests are
 * admitted, which backend serves a try, and whether a failed try may be retried. Does no I/O; time and
 * randomness are passed in.
 *
 * <p>State received last stays in force until it is replaced, even when the stream ends. A new stream
 * begins with a snapshot; a snapshot without bindings changes nothing. The first table that a stream binds
 * clears the withdrawals of earlier streams.
 */
public class Router {

    /** Outcome of applying an update. */
    public enum UpdateResult {
        /** The update is in force; its marks must be acknowledged. */
        APPLIED,
        /** The update does not follow the current version: a snapshot must be requested. */
        GAP,
        /** The update arrived before the snapshot that the stream is waiting for. */
        SKIPPED
    }

    /** Seconds of a level's rate that may be used at once after an idle time; one request always may. */
    private static final double BURST_SECONDS = 0.25;
    /** Fraction of the deadline that must remain for a retry. */
    private static final double MIN_REMAINING_DEADLINE_FRACTION = 0.1;
    private static final double NS_PER_SECOND = 1e9;
    /** Number of remembered backends from which state of those in no table is dropped. */
    private static final int FORGET_THRESHOLD_BACKENDS = 1024;
    /** Retries that may be sent at once after an idle time; credits are a fraction of first tries. */
    private static final double MAX_RETRY_CREDITS = 10;
    /** Random draws that may hit an ejected or already tried backend before all backends are scanned. */
    private static final int MAX_RANDOM_DRAWS = 8;

    /** Weights of backends and, per class, the level; null where there is none. */
    private static final class Table {
        private final TreeMap<Backend, Double> weights = new TreeMap<>();
        private final Frame.Level[] levels;

        Table(int classes) {
            levels = new Frame.Level[classes];
        }
    }

    /** State of one backend as observed by this proxy's own requests. */
    private static final class BackendState {
        private int triesInFlight;
        private int consecutiveFailures;
        private long ejectedUntilNs = Long.MIN_VALUE;
    }

    private final Site site;
    private final ForwardingPolicy policy;
    private final RandomGenerator random;
    private final double[] previousLevels;
    private double retryCredits;
    private long controllerHeardNs;
    private final Table initialTable;
    private final Table[] boundTables;
    private final TreeMap<Integer, Table> tables = new TreeMap<>();
    private final TreeSet<Backend> withdrawn = new TreeSet<>();
    private final Frame.Level[] overallLevels;
    private final TreeMap<Backend, BackendState> backendStates = new TreeMap<>();
    private final double[] admissionTokens;
    private final long[] tokensRefilledNs;
    private final Candidates[] candidatesByClass;
    private long epoch;
    private long version;
    private boolean inSync;
    private boolean boundOnStream;

    /**
     * A router with the default forwarding policy.
     *
     * @param standingTable backends used with equal weights for every class until a controller binds a table
     */
    public Router(Site site, Collection<Backend> standingTable, RandomGenerator random, long nowNs) {
        this(site, ForwardingPolicy.defaults(), standingTable, random, nowNs);
    }

    /**
     * A router with the given forwarding policy.
     *
     * @param policy only its retry budget, lease and safe level are used
     * @param standingTable backends used with equal weights for every class until a controller binds a table
     */
    public Router(Site site, ForwardingPolicy policy, Collection<Backend> standingTable,
            RandomGenerator random, long nowNs) {
        this.policy = policy;
        this.retryCredits = MAX_RETRY_CREDITS;
        this.controllerHeardNs = nowNs;
        this.previousLevels = new double[site.classes().size()];
        Arrays.fill(previousLevels, Double.POSITIVE_INFINITY);
        int classes = site.classes().size();
        this.site = site;
        this.random = random;
        this.initialTable = new Table(classes);
        standingTable.forEach(b -> initialTable.weights.put(b, 1.0));
        this.boundTables = new Table[classes];
        Arrays.fill(boundTables, initialTable);
        this.overallLevels = new Frame.Level[classes];
        this.candidatesByClass = new Candidates[classes];
        this.admissionTokens = new double[classes];
        this.tokensRefilledNs = new long[classes];
        Arrays.fill(tokensRefilledNs, nowNs);
        Arrays.fill(admissionTokens, 1);
    }

    // ---- controller stream ---------------------------------------------------------------------------

    /** Begins a new stream: updates are skipped until its snapshot arrives. */
    public void onStreamOpened() {
        inSync = false;
        boundOnStream = false;
        tables.clear();
    }

    /** Whether every class still uses the standing table. */
    public boolean hasOnlyStandingTable() {
        return Arrays.stream(boundTables).allMatch(t -> t == initialTable);
    }

    /** Epoch of the state in force; 0 before the first snapshot. */
    public long epoch() {
        return epoch;
    }

    /** Version within the epoch. */
    public long version() {
        return version;
    }

    /** Replaces the state by a snapshot, unless the snapshot binds no table. */
    public void apply(Frame.Snapshot snapshot) {
        Arrays.fill(candidatesByClass, null);
        epoch = snapshot.epoch();
        version = snapshot.version();
        inSync = true;
        if (snapshot.bindings().isEmpty()) {
            return;
        }
        boundOnStream = true;
        tables.clear();
        withdrawn.clear();
        withdrawn.addAll(snapshot.withdrawn());
        Arrays.fill(overallLevels, null);
        snapshot.globalLevels().forEach(level -> setLevels(overallLevels, level));
        snapshot.tables().forEach(this::replaceTable);
        snapshot.bindings().forEach(b -> bindClasses(b.classMask(), tables.computeIfAbsent(b.table(),
                n -> new Table(boundTables.length))));
    }

    /** Applies an update if it directly follows the current version. */
    public UpdateResult apply(Frame.Update update) {
        if (!inSync) {
            return UpdateResult.SKIPPED;
        }
        if (update.epoch() != epoch || update.version() != version + 1) {
            inSync = false;
            return UpdateResult.GAP;
        }
        version = update.version();
        Arrays.fill(candidatesByClass, null);
        update.orders().forEach(this::apply);
        forgetUnlistedBackends();
        return UpdateResult.APPLIED;
    }

    /**
     * Drops state of backends that are in no table and have no try in flight. Without this, state would grow
     * for as long as machines are replaced.
     */
    private void forgetUnlistedBackends() {
        if (rememberedBackends() < FORGET_THRESHOLD_BACKENDS) {
            return;
        }
        Set<Backend> listed = new TreeSet<>();
        tables.values().forEach(t -> listed.addAll(t.weights.keySet()));
        Arrays.stream(boundTables).forEach(t -> listed.addAll(t.weights.keySet()));
        withdrawn.retainAll(listed);
        backendStates.entrySet().removeIf(e -> e.getValue().triesInFlight == 0
                && !listed.contains(e.getKey()));
    }

    /** Number of backends with state outside the tables, for tests. */
    int rememberedBackends() {
        return backendStates.size() + withdrawn.size();
    }

    private void apply(Frame.Order order) {
        if (order instanceof Frame.SetLine o) {
            setWeight(tables.computeIfAbsent(o.table(), n -> new Table(boundTables.length)), o.line());
        } else if (order instanceof Frame.Clear o) {
            Table table = tables.computeIfAbsent(o.table(), n -> new Table(boundTables.length));
            table.weights.clear();
            Arrays.fill(table.levels, null);
        } else if (order instanceof Frame.Withdraw o) {
            setWithdrawn(o.backend(), o.withdrawn());
        } else if (order instanceof Frame.Admit o) {
            setLevels(o.table() == ControlApi.ALL_TABLES ? overallLevels : tables.computeIfAbsent(o.table(),
                    n -> new Table(boundTables.length)).levels, o.level());
        } else if (order instanceof Frame.Bind o) {
            if (!boundOnStream) {
                boundOnStream = true;
                withdrawn.clear();
                Arrays.fill(overallLevels, null);
            }
            o.table().lines().forEach(line -> setWithdrawn(line.backend(), false));
            o.withdrawn().forEach(backend -> setWithdrawn(backend, true));
            bindClasses(o.classMask(), replaceTable(o.table()));
        }
    }

    private void setWithdrawn(Backend backend, boolean isWithdrawn) {
        if (isWithdrawn) {
            withdrawn.add(backend);
        } else {
            withdrawn.remove(backend);
        }
    }

    private Table replaceTable(Frame.Table contents) {
        Table table = tables.computeIfAbsent(contents.number(), n -> new Table(boundTables.length));
        table.weights.clear();
        Arrays.fill(table.levels, null);
        contents.lines().forEach(line -> setWeight(table, line));
        contents.levels().forEach(level -> setLevels(table.levels, level));
        return table;
    }

    private static void setWeight(Table table, Frame.Line line) {
        if (line.weight() > 0) {
            table.weights.put(line.backend(), line.weight());
        } else {
            table.weights.remove(line.backend());
        }
    }

    private void setLevels(Frame.Level[] levels, Frame.Level level) {
        for (int c = 0; c < levels.length; c++) {
            if (level.classMask() == 0 || (level.classMask() >> c & 1) == 1) {
                levels[c] = level;
            }
        }
    }

    private void bindClasses(int classes, Table table) {
        for (int c = 0; c < boundTables.length; c++) {
            if (classes == 0 || (classes >> c & 1) == 1) {
                boundTables[c] = table;
            }
        }
    }

    // ---- routing decisions ---------------------------------------------------------------------------

    /** Whether a request of a class is admitted now; if not, it must be refused at once. May use a token. */
    public boolean tryAdmit(int cls, long nowNs) {
        double level = Double.POSITIVE_INFINITY;
        level = overallLevels[cls] == null ? level : Math.min(level, overallLevels[cls].level());
        level = boundTables[cls].levels[cls] == null ? level
                : Math.min(level, boundTables[cls].levels[cls].level());
        if (policy.safeLevel() >= 0 && nowNs - controllerHeardNs > policy.leaseNs()) {
            return creditRetryBudget(takeToken(cls, Math.min(rateLimit(level), policy.safeLevel()), nowNs));
        }
        if (site.admission() == AdmissionMode.OFF || Double.isInfinite(level)) {
            previousLevels[cls] = Double.POSITIVE_INFINITY;
            return creditRetryBudget(true);
        }
        if (site.admission() == AdmissionMode.SHARE) {
            return creditRetryBudget(level >= 1 || random.nextDouble() < level);
        }
        return creditRetryBudget(takeToken(cls, level, nowNs));
    }

    /** The level as a rate limit; infinite if levels are shares or switched off. */
    private double rateLimit(double level) {
        return site.admission() == AdmissionMode.RATE ? level : Double.POSITIVE_INFINITY;
    }

    /**
     * Token bucket of a class. Time since the last call is credited at the lower of the previous and the
     * current level, so that a raised level grants no burst.
     */
    private boolean takeToken(int cls, double level, long nowNs) {
        double capacity = Math.max(1, level * BURST_SECONDS);
        double fillRate = Math.min(level, previousLevels[cls]);
        previousLevels[cls] = level;
        admissionTokens[cls] = Math.min(capacity, admissionTokens[cls]
                + fillRate * (nowNs - tokensRefilledNs[cls]) / NS_PER_SECOND);
        tokensRefilledNs[cls] = nowNs;
        if (admissionTokens[cls] < 1) {
            return false;
        }
        admissionTokens[cls]--;
        return true;
    }

    private boolean creditRetryBudget(boolean admitted) {
        if (admitted) {
            retryCredits = Math.min(MAX_RETRY_CREDITS, retryCredits + policy.retryBudget());
        }
        return admitted;
    }

    /** Renews the lease of levels and tables: a controller was heard at {@code nowNs}. */
    public void onControllerMessage(long nowNs) {
        controllerHeardNs = nowNs;
    }

    /** Backends of a class's table that are not withdrawn, in arrays so that a pick allocates nothing. */
    private static final class Candidates {
        private final Backend[] backends;
        private final double[] weights;
        private final BackendState[] states;
        private final double[] roundRobinCredits;
        private int[] aliases;
        private double[] keepProbabilities;

        Candidates(int count) {
            backends = new Backend[count];
            weights = new double[count];
            states = new BackendState[count];
            roundRobinCredits = new double[count];
        }

        /** Prepares weighted draws that look at no more than two backends (Vose's alias method). */
        void buildAliasTable() {
            int n = backends.length;
            aliases = new int[n];
            keepProbabilities = new double[n];
            double sum = 0;
            for (double weight : weights) {
                sum += weight;
            }
            int[] small = new int[n];
            int[] large = new int[n];
            int smalls = 0;
            int larges = 0;
            for (int i = 0; i < n; i++) {
                keepProbabilities[i] = weights[i] * n / sum;
                aliases[i] = i;
                if (keepProbabilities[i] < 1) {
                    small[smalls++] = i;
                } else {
                    large[larges++] = i;
                }
            }
            while (smalls > 0 && larges > 0) {
                int less = small[--smalls];
                int more = large[larges - 1];
                aliases[less] = more;
                keepProbabilities[more] -= 1 - keepProbabilities[less];
                if (keepProbabilities[more] < 1) {
                    larges--;
                    small[smalls++] = more;
                }
            }
            while (smalls > 0) {
                keepProbabilities[small[--smalls]] = 1; // left over from rounding
            }
        }

        int draw(RandomGenerator random) {
            double position = random.nextDouble() * backends.length;
            int i = (int) position;
            return position - i < keepProbabilities[i] ? i : aliases[i];
        }

        /** Whether a backend may be picked; {@code notEjected} leaves out ejected ones. */
        boolean isEligible(int i, Set<Backend> tried, long nowNs, boolean notEjected) {
            return !(notEjected && states[i].ejectedUntilNs > nowNs) && (tried.isEmpty()
                    || !tried.contains(backends[i]));
        }
    }

    private Candidates candidates(int cls) {
        if (candidatesByClass[cls] == null) {
            List<Backend> available = boundTables[cls].weights.keySet().stream()
                    .filter(b -> !withdrawn.contains(b)).toList();
            Candidates created = new Candidates(available.size());
            for (int i = 0; i < available.size(); i++) {
                created.backends[i] = available.get(i);
                created.weights[i] = boundTables[cls].weights.get(available.get(i));
                created.states[i] = backendState(available.get(i));
            }
            created.buildAliasTable();
            candidatesByClass[cls] = created;
        }
        return candidatesByClass[cls];
    }

    /**
     * The backend for a try, or null if the table has no backend that is not in {@code tried}. Ejected
     * backends are used only if there is no other.
     */
    public Backend pick(int cls, Set<Backend> tried, long nowNs) {
        Candidates all = candidates(cls);
        if (site.backendChoice() == Site.BackendChoice.ROUND_ROBIN) {
            return pickRoundRobin(all, tried, nowNs);
        }
        int picked = drawCandidate(all, tried, nowNs);
        if (picked >= 0 && site.backendChoice() == Site.BackendChoice.POWER_OF_TWO) {
            int other = drawCandidate(all, tried, nowNs);
            picked = all.states[other].triesInFlight < all.states[picked].triesInFlight ? other : picked;
        }
        return picked < 0 ? null : all.backends[picked];
    }

    /**
     * Index of a backend drawn by weight: by a few random draws, which suffice where most backends are
     * eligible, else by a scan of all. -1 if none is eligible.
     */
    private int drawCandidate(Candidates all, Set<Backend> tried, long nowNs) {
        for (int i = 0; i < MAX_RANDOM_DRAWS && all.backends.length > 0; i++) {
            int drawn = all.draw(random);
            if (all.isEligible(drawn, tried, nowNs, true)) {
                return drawn;
            }
        }
        double notEjectedWeight = eligibleWeight(all, tried, nowNs, true);
        if (notEjectedWeight > 0) {
            return drawCandidate(all, tried, nowNs, true, notEjectedWeight);
        }
        double weight = eligibleWeight(all, tried, nowNs, false);
        return weight > 0 ? drawCandidate(all, tried, nowNs, false, weight) : -1;
    }

    private Backend pickRoundRobin(Candidates all, Set<Backend> tried, long nowNs) {
        double notEjectedWeight = eligibleWeight(all, tried, nowNs, true);
        double weight = notEjectedWeight > 0 ? notEjectedWeight : eligibleWeight(all, tried, nowNs, false);
        return weight > 0 ? all.backends[nextRoundRobin(all, tried, nowNs, notEjectedWeight > 0, weight)]
                : null;
    }

    private static double eligibleWeight(Candidates all, Set<Backend> tried, long nowNs, boolean notEjected) {
        double sum = 0;
        for (int i = 0; i < all.backends.length; i++) {
            sum += all.isEligible(i, tried, nowNs, notEjected) ? all.weights[i] : 0;
        }
        return sum;
    }

    private int drawCandidate(Candidates all, Set<Backend> tried, long nowNs, boolean notEjected,
            double sum) {
        double remaining = random.nextDouble() * sum;
        int last = -1;
        for (int i = 0; i < all.backends.length; i++) {
            if (all.isEligible(i, tried, nowNs, notEjected)) {
                last = i;
                remaining -= all.weights[i];
                if (remaining < 0) {
                    return i;
                }
            }
        }
        return last;
    }

    /** Smooth weighted round robin: all gain their weight, the richest pays the sum. */
    private static int nextRoundRobin(Candidates all, Set<Backend> tried, long nowNs, boolean notEjected,
            double sum) {
        int best = -1;
        for (int i = 0; i < all.backends.length; i++) {
            if (all.isEligible(i, tried, nowNs, notEjected)) {
                all.roundRobinCredits[i] += all.weights[i];
                best = best < 0 || all.roundRobinCredits[i] > all.roundRobinCredits[best] ? i : best;
            }
        }
        all.roundRobinCredits[best] -= sum;
        return best;
    }

    private BackendState backendState(Backend backend) {
        return backendStates.computeIfAbsent(backend, b -> new BackendState());
    }

    /** A try was sent to a backend. */
    public void onTrySent(Backend backend) {
        backendState(backend).triesInFlight++;
    }

    /** A try ended. A backend with as many consecutive failures as the site states is ejected for a time. */
    public void onTryEnded(Backend backend, boolean good, long nowNs) {
        BackendState state = backendState(backend);
        state.triesInFlight--;
        state.consecutiveFailures = good ? 0 : state.consecutiveFailures + 1;
        if (site.ejectAfterFailures() > 0 && state.consecutiveFailures >= site.ejectAfterFailures()) {
            state.consecutiveFailures = 0;
            state.ejectedUntilNs = nowNs + site.ejectNs();
        }
    }

    /** A try was cancelled by its client or never left this proxy: the backend's failures do not change. */
    public void onTryAbandoned(Backend backend) {
        backendState(backend).triesInFlight--;
    }

    /** Whether a class has an available backend that is not in {@code tried}. */
    public boolean hasUntriedBackend(int cls, Set<Backend> tried) {
        return Arrays.stream(candidates(cls).backends).anyMatch(b -> !tried.contains(b));
    }

    /** Tries in flight to all backends. */
    public int triesInFlight() {
        return backendStates.values().stream().mapToInt(p -> p.triesInFlight).sum();
    }

    /**
     * Whether a failed try may be retried, which uses up a retry credit if so. Follows the controller's
     * order, or the site's default without one; a class that is not safe to repeat also needs proof that the
     * failed try never ran.
     *
     * @param tries tries so far
     * @param neverRan whether the failed try is proven not to have run
     * @param remainingNs time to the deadline
     */
    public boolean mayRetry(int cls, int tries, boolean neverRan, long remainingNs) {
        Frame.Level level = boundTables[cls].levels[cls] == null ? overallLevels[cls]
                : boundTables[cls].levels[cls];
        RetryPolicy retryPolicy = level == null ? site.retryPolicy() : level.retry();
        boolean safe = neverRan || isSafeToRepeat(cls);
        boolean ordered = switch (retryPolicy) {
            case NEVER -> false;
            case ONCE_UNRUN -> tries == 1 && neverRan;
            case ONCE -> tries == 1;
            case TWICE -> tries <= 2;
        };
        return ordered && safe
                && remainingNs > MIN_REMAINING_DEADLINE_FRACTION * site.classes().get(cls).deadline()
                && spendRetryCredit();
    }

    /** Uses up a retry credit; the budget can only reduce the retries that are ordered. */
    private boolean spendRetryCredit() {
        if (policy.retryBudget() >= 1) {
            return true;
        }
        if (retryCredits < 1) {
            return false;
        }
        retryCredits--;
        return true;
    }

    /** Whether a request that may have run already may be sent again. */
    protected boolean isSafeToRepeat(int cls) {
        return site.classes().get(cls).idempotency() == Idempotency.SAFE;
    }

    /** Nanoseconds that a try may take if it can be retried; 0 for no limit. */
    public long tryTimeoutNs(int cls) {
        Frame.Level level = boundTables[cls].levels[cls] == null ? overallLevels[cls]
                : boundTables[cls].levels[cls];
        RetryPolicy retryPolicy = level == null ? site.retryPolicy() : level.retry();
        boolean bounded = (retryPolicy == RetryPolicy.ONCE || retryPolicy == RetryPolicy.TWICE)
                && isSafeToRepeat(cls);
        return bounded ? (long) (site.tryTimeoutAims() * site.classes().get(cls).aim()) : 0;
    }

    /** Whether any class may still send to a backend. */
    public boolean uses(Backend backend) {
        return !withdrawn.contains(backend) && Arrays.stream(boundTables).anyMatch(t -> t.weights
                .containsKey(backend));
    }
}
