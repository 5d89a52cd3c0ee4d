package rowanmoor.proxy;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import rowanmoor.ControlApi;
import rowanmoor.ControlApi.Admission;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Effect;
import rowanmoor.ControlApi.Retry;
import rowanmoor.channel.Frame;
import rowanmoor.config.Site;

/**
 * What a proxy holds of its tables, and the choices that it makes by them: what is let in, which line is
 * picked, whether a try may be followed by another. No I/O; time and randomness are passed in.
 *
 * <p>Holding: what came last stays in force until it is replaced, whatever becomes of the stream. A new
 * stream begins with a snapshot; one without bindings changes nothing. The first table that a stream binds
 * ends withdrawals from streams before it.
 */
public class Router {

    /** What became of a message. */
    public enum UpdateResult {
        /** It is in force; its marks are to be answered. */
        APPLIED,
        /** It does not follow on what is held: a snapshot must be asked for. */
        GAP,
        /** A snapshot has been asked for, and this came before it. */
        SKIPPED
    }

    /** Part of a second's level that may be used at once after a silence; one request always may. */
    private static final double BURST_SECONDS = 0.25;
    /** No try follows with less of the deadline left than this part of it. */
    private static final double MIN_REMAINING_DEADLINE_FRACTION = 0.1;
    private static final double NS_PER_SECOND = 1e9;
    /** So many backends may be remembered beside the tables before those that no table names are let go. */
    private static final int FORGET_THRESHOLD_BACKENDS = 1024;
    /** Tries that may follow at once after a quiet time, from a budget that is a part of first tries. */
    private static final double MAX_RETRY_CREDITS = 10;
    /** Draws that may meet a line that is shunned or was tried, before all lines are looked through. */
    private static final int MAX_RANDOM_DRAWS = 8;

    private static final class Table {
        private final TreeMap<Backend, Double> weights = new TreeMap<>();
        private final Frame.Level[] levels;

        Table(int classes) {
            levels = new Frame.Level[classes];
        }
    }

    /** One backend, as this proxy's own requests find it. */
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

    /** @param standingTable backends used, evenly, for every class until a controller says otherwise */
    public Router(Site site, Collection<Backend> standingTable, RandomGenerator random, long now) {
        this(site, ForwardingPolicy.defaults(), standingTable, random, now);
    }

    /** @param conduct its retry budget, lease and safe level count here */
    public Router(Site site, ForwardingPolicy conduct, Collection<Backend> standingTable, RandomGenerator random,
            long now) {
        this.policy = conduct;
        this.retryCredits = MAX_RETRY_CREDITS;
        this.controllerHeardNs = now;
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
        Arrays.fill(tokensRefilledNs, now);
        Arrays.fill(admissionTokens, 1);
    }

    // ---- the stream ----------------------------------------------------------------------------------

    /** A stream has begun: nothing of it is in step before its snapshot. */
    public void onStreamOpened() {
        inSync = false;
        boundOnStream = false;
        tables.clear();
    }

    /** Whether it still has only its standing table. */
    public boolean hasOnlyStandingTable() {
        return Arrays.stream(boundTables).allMatch(t -> t == initialTable);
    }

    public long epoch() {
        return epoch;
    }

    public long version() {
        return version;
    }

    /** Takes a snapshot in. */
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
        snapshot.overall().forEach(level -> setLevels(overallLevels, level));
        snapshot.tables().forEach(this::replaceTable);
        snapshot.bindings().forEach(b -> bindClasses(b.classes(), tables.computeIfAbsent(b.table(),
                n -> new Table(boundTables.length))));
    }

    /** Takes an update in, if it is the next one. */
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

    /** What no table names any more, and no try is out to, is let go: machines are replaced for years. */
    private void forgetUnlistedBackends() {
        if (rememberedBackends() < FORGET_THRESHOLD_BACKENDS) {
            return;
        }
        Set<Backend> named = new TreeSet<>();
        tables.values().forEach(t -> named.addAll(t.weights.keySet()));
        Arrays.stream(boundTables).forEach(t -> named.addAll(t.weights.keySet()));
        withdrawn.retainAll(named);
        backendStates.entrySet().removeIf(e -> e.getValue().triesInFlight == 0 && !named.contains(e.getKey()));
    }

    /** Backends of which something is kept beside the tables. */
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
            setWithdrawn(o.backend(), o.out());
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
            bindClasses(o.classes(), replaceTable(o.table()));
        }
    }

    private void setWithdrawn(Backend backend, boolean out) {
        if (out) {
            withdrawn.add(backend);
        } else {
            withdrawn.remove(backend);
        }
    }

    private Table replaceTable(Frame.Table whole) {
        Table table = tables.computeIfAbsent(whole.number(), n -> new Table(boundTables.length));
        table.weights.clear();
        Arrays.fill(table.levels, null);
        whole.lines().forEach(line -> setWeight(table, line));
        whole.levels().forEach(level -> setLevels(table.levels, level));
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
            if (level.classes() == 0 || (level.classes() >> c & 1) == 1) {
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

    // ---- choices -------------------------------------------------------------------------------------

    /** Whether a request of a class is let in now; one that is not must be refused at once. */
    public boolean tryAdmit(int cls, long now) {
        double level = Double.POSITIVE_INFINITY;
        level = overallLevels[cls] == null ? level : Math.min(level, overallLevels[cls].level());
        level = boundTables[cls].levels[cls] == null ? level : Math.min(level, boundTables[cls].levels[cls].level());
        if (policy.safeLevel() >= 0 && now - controllerHeardNs > policy.leaseNs()) {
            return creditRetryBudget(takeToken(cls, Math.min(rateLimit(level), policy.safeLevel()), now));
        }
        if (site.admission() == Admission.OFF || Double.isInfinite(level)) {
            previousLevels[cls] = Double.POSITIVE_INFINITY;
            return creditRetryBudget(true);
        }
        if (site.admission() == Admission.SHARE) {
            return creditRetryBudget(level >= 1 || random.nextDouble() < level);
        }
        return creditRetryBudget(takeToken(cls, level, now));
    }

    /** A level as a rate: where levels are shares or off, they bound no rate. */
    private double rateLimit(double level) {
        return site.admission() == Admission.RATE ? level : Double.POSITIVE_INFINITY;
    }

    /** A bucket that fills at the lower of two levels while one follows the other: a rise is no burst. */
    private boolean takeToken(int cls, double level, long now) {
        double most = Math.max(1, level * BURST_SECONDS);
        double fill = Math.min(level, previousLevels[cls]);
        previousLevels[cls] = level;
        admissionTokens[cls] = Math.min(most, admissionTokens[cls] + fill * (now - tokensRefilledNs[cls]) / NS_PER_SECOND);
        tokensRefilledNs[cls] = now;
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

    /** A controller was heard: levels and tables stand for another lease. */
    public void onControllerMessage(long now) {
        controllerHeardNs = now;
    }

    /** A class's lines that are not withdrawn, laid out so that a pick allocates nothing. */
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

        /** Lays lines out so that a draw looks at two of them (Vose's alias method). */
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
                keepProbabilities[small[--smalls]] = 1; // what rounding has left
            }
        }

        int draw(RandomGenerator random) {
            double at = random.nextDouble() * backends.length;
            int i = (int) at;
            return at - i < keepProbabilities[i] ? i : aliases[i];
        }

        /** Whether a line may be picked; {@code openOnly} leaves shunned backends out. */
        boolean isEligible(int i, Set<Backend> tried, long now, boolean openOnly) {
            return !(openOnly && states[i].ejectedUntilNs > now) && (tried.isEmpty()
                    || !tried.contains(backends[i]));
        }
    }

    private Candidates candidates(int cls) {
        if (candidatesByClass[cls] == null) {
            List<Backend> open = boundTables[cls].weights.keySet().stream().filter(b -> !withdrawn.contains(b))
                    .toList();
            Candidates made = new Candidates(open.size());
            for (int i = 0; i < open.size(); i++) {
                made.backends[i] = open.get(i);
                made.weights[i] = boundTables[cls].weights.get(open.get(i));
                made.states[i] = backendState(open.get(i));
            }
            made.buildAliasTable();
            candidatesByClass[cls] = made;
        }
        return candidatesByClass[cls];
    }

    /** The backend for a try, or null if the table has none that was not tried; shunned ones come last. */
    public Backend pick(int cls, Set<Backend> tried, long now) {
        Candidates all = candidates(cls);
        if (site.choice() == Site.Choice.ROUND) {
            return pickRoundRobin(all, tried, now);
        }
        int one = drawCandidate(all, tried, now);
        if (one >= 0 && site.choice() == Site.Choice.TWO) {
            int other = drawCandidate(all, tried, now);
            one = all.states[other].triesInFlight < all.states[one].triesInFlight ? other : one;
        }
        return one < 0 ? null : all.backends[one];
    }

    /** A line by weight: at once where most lines fit, else by looking through all. -1 if none fits. */
    private int drawCandidate(Candidates all, Set<Backend> tried, long now) {
        for (int i = 0; i < MAX_RANDOM_DRAWS && all.backends.length > 0; i++) {
            int drawn = all.draw(random);
            if (all.isEligible(drawn, tried, now, true)) {
                return drawn;
            }
        }
        double open = eligibleWeight(all, tried, now, true);
        if (open > 0) {
            return drawCandidate(all, tried, now, true, open);
        }
        double any = eligibleWeight(all, tried, now, false);
        return any > 0 ? drawCandidate(all, tried, now, false, any) : -1;
    }

    private Backend pickRoundRobin(Candidates all, Set<Backend> tried, long now) {
        double open = eligibleWeight(all, tried, now, true);
        double any = open > 0 ? open : eligibleWeight(all, tried, now, false);
        return any > 0 ? all.backends[nextRoundRobin(all, tried, now, open > 0, any)] : null;
    }

    private static double eligibleWeight(Candidates all, Set<Backend> tried, long now, boolean openOnly) {
        double sum = 0;
        for (int i = 0; i < all.backends.length; i++) {
            sum += all.isEligible(i, tried, now, openOnly) ? all.weights[i] : 0;
        }
        return sum;
    }

    private int drawCandidate(Candidates all, Set<Backend> tried, long now, boolean openOnly, double sum) {
        double at = random.nextDouble() * sum;
        int last = -1;
        for (int i = 0; i < all.backends.length; i++) {
            if (all.isEligible(i, tried, now, openOnly)) {
                last = i;
                at -= all.weights[i];
                if (at < 0) {
                    return i;
                }
            }
        }
        return last;
    }

    /** Smooth weighted turns: each gains its weight, the richest is picked and pays the sum. */
    private static int nextRoundRobin(Candidates all, Set<Backend> tried, long now, boolean openOnly, double sum) {
        int best = -1;
        for (int i = 0; i < all.backends.length; i++) {
            if (all.isEligible(i, tried, now, openOnly)) {
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

    /** A try has gone out. */
    public void onTrySent(Backend backend) {
        backendState(backend).triesInFlight++;
    }

    /** A try is over. After so many failures in a row the backend is shunned for some seconds. */
    public void onTryEnded(Backend backend, boolean good, long now) {
        BackendState path = backendState(backend);
        path.triesInFlight--;
        path.consecutiveFailures = good ? 0 : path.consecutiveFailures + 1;
        if (site.ejects() > 0 && path.consecutiveFailures >= site.ejects()) {
            path.consecutiveFailures = 0;
            path.ejectedUntilNs = now + site.ejectFor();
        }
    }

    /** A try was given up by its client, or never left this proxy: it says nothing of the backend. */
    public void onTryAbandoned(Backend backend) {
        backendState(backend).triesInFlight--;
    }

    /** Whether a class has a backend that was not tried. */
    public boolean hasUntriedBackend(int cls, Set<Backend> tried) {
        return Arrays.stream(candidates(cls).backends).anyMatch(b -> !tried.contains(b));
    }

    /** Tries out to all backends. */
    public int triesInFlight() {
        return backendStates.values().stream().mapToInt(p -> p.triesInFlight).sum();
    }

    /**
     * Whether another try may follow a failed one: as the controller orders, or as usual where it has not,
     * and only with proof that the failed one never ran, unless the class is safe to repeat.
     */
    public boolean mayRetry(int cls, int tries, boolean neverRan, long left) {
        Frame.Level level = boundTables[cls].levels[cls] == null ? overallLevels[cls] : boundTables[cls].levels[cls];
        Retry how = level == null ? site.usualRetry() : level.retry();
        boolean safe = neverRan || isSafeToRepeat(cls);
        boolean ordered = switch (how) {
            case NEVER -> false;
            case ONCE_UNRUN -> tries == 1 && neverRan;
            case ONCE -> tries == 1;
            case TWICE -> tries <= 2;
        };
        return ordered && safe && left > MIN_REMAINING_DEADLINE_FRACTION * site.classes().get(cls).deadline() && spendRetryCredit();
    }

    /** The budget can only lower what is ordered. */
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

    /** Whether a request that may have run may be sent again. */
    protected boolean isSafeToRepeat(int cls) {
        return site.classes().get(cls).effect() == Effect.SAFE;
    }

    /** Nanoseconds a try may take when another might follow; 0 for no such bound. */
    public long tryTimeoutNs(int cls) {
        Frame.Level level = boundTables[cls].levels[cls] == null ? overallLevels[cls] : boundTables[cls].levels[cls];
        Retry how = level == null ? site.usualRetry() : level.retry();
        boolean bounded = (how == Retry.ONCE || how == Retry.TWICE) && isSafeToRepeat(cls);
        return bounded ? (long) (site.tryAims() * site.classes().get(cls).aim()) : 0;
    }

    /** Whether any class may still send to a backend. */
    public boolean uses(Backend backend) {
        return !withdrawn.contains(backend) && Arrays.stream(boundTables).anyMatch(t -> t.weights
                .containsKey(backend));
    }
}
