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
    private static final double BURST = 0.25;
    /** No try follows with less of the deadline left than this part of it. */
    private static final double LEAST_LEFT = 0.1;
    private static final double SECOND = 1e9;
    /** So many backends may be remembered beside the tables before those that no table names are let go. */
    private static final int FORGET_FROM = 1024;
    /** Tries that may follow at once after a quiet time, from a budget that is a part of first tries. */
    private static final double BUDGET_MOST = 10;
    /** Draws that may meet a line that is shunned or was tried, before all lines are looked through. */
    private static final int DRAWS_MOST = 8;

    private static final class Table {
        private final TreeMap<Backend, Double> lines = new TreeMap<>();
        private final Frame.Level[] levels;

        Table(int classes) {
            levels = new Frame.Level[classes];
        }
    }

    /** One backend, as this proxy's own requests find it. */
    private static final class Path {
        private int out;
        private int failedInARow;
        private long shunnedUntil = Long.MIN_VALUE;
    }

    private final Site site;
    private final ForwardingPolicy conduct;
    private final RandomGenerator random;
    private final double[] levelBefore;
    private double budget;
    private long heardAt;
    private final Table standing;
    private final Table[] held;
    private final TreeMap<Integer, Table> tables = new TreeMap<>();
    private final TreeSet<Backend> withdrawn = new TreeSet<>();
    private final Frame.Level[] overall;
    private final TreeMap<Backend, Path> paths = new TreeMap<>();
    private final double[] credit;
    private final long[] creditAt;
    private final Choices[] choices;
    private long epoch;
    private long version;
    private boolean inStep;
    private boolean bound;

    /** @param standingTable backends used, evenly, for every class until a controller says otherwise */
    public Router(Site site, Collection<Backend> standingTable, RandomGenerator random, long now) {
        this(site, ForwardingPolicy.defaults(), standingTable, random, now);
    }

    /** @param conduct its retry budget, lease and safe level count here */
    public Router(Site site, ForwardingPolicy conduct, Collection<Backend> standingTable, RandomGenerator random,
            long now) {
        this.conduct = conduct;
        this.budget = BUDGET_MOST;
        this.heardAt = now;
        this.levelBefore = new double[site.classes().size()];
        Arrays.fill(levelBefore, Double.POSITIVE_INFINITY);
        int classes = site.classes().size();
        this.site = site;
        this.random = random;
        this.standing = new Table(classes);
        standingTable.forEach(b -> standing.lines.put(b, 1.0));
        this.held = new Table[classes];
        Arrays.fill(held, standing);
        this.overall = new Frame.Level[classes];
        this.choices = new Choices[classes];
        this.credit = new double[classes];
        this.creditAt = new long[classes];
        Arrays.fill(creditAt, now);
        Arrays.fill(credit, 1);
    }

    // ---- the stream ----------------------------------------------------------------------------------

    /** A stream has begun: nothing of it is in step before its snapshot. */
    public void onStreamOpened() {
        inStep = false;
        bound = false;
        tables.clear();
    }

    /** Whether it still has only its standing table. */
    public boolean hasOnlyStandingTable() {
        return Arrays.stream(held).allMatch(t -> t == standing);
    }

    public long epoch() {
        return epoch;
    }

    public long version() {
        return version;
    }

    /** Takes a snapshot in. */
    public void apply(Frame.Snapshot snapshot) {
        Arrays.fill(choices, null);
        epoch = snapshot.epoch();
        version = snapshot.version();
        inStep = true;
        if (snapshot.bindings().isEmpty()) {
            return;
        }
        bound = true;
        tables.clear();
        withdrawn.clear();
        withdrawn.addAll(snapshot.withdrawn());
        Arrays.fill(overall, null);
        snapshot.globalLevels().forEach(level -> set(overall, level));
        snapshot.tables().forEach(this::put);
        snapshot.bindings().forEach(b -> hold(b.classMask(), tables.computeIfAbsent(b.table(),
                n -> new Table(held.length))));
    }

    /** Takes an update in, if it is the next one. */
    public UpdateResult apply(Frame.Update update) {
        if (!inStep) {
            return UpdateResult.SKIPPED;
        }
        if (update.epoch() != epoch || update.version() != version + 1) {
            inStep = false;
            return UpdateResult.GAP;
        }
        version = update.version();
        Arrays.fill(choices, null);
        update.orders().forEach(this::apply);
        forget();
        return UpdateResult.APPLIED;
    }

    /** What no table names any more, and no try is out to, is let go: machines are replaced for years. */
    private void forget() {
        if (remembered() < FORGET_FROM) {
            return;
        }
        Set<Backend> named = new TreeSet<>();
        tables.values().forEach(t -> named.addAll(t.lines.keySet()));
        Arrays.stream(held).forEach(t -> named.addAll(t.lines.keySet()));
        withdrawn.retainAll(named);
        paths.entrySet().removeIf(e -> e.getValue().out == 0 && !named.contains(e.getKey()));
    }

    /** Backends of which something is kept beside the tables. */
    int remembered() {
        return paths.size() + withdrawn.size();
    }

    private void apply(Frame.Order order) {
        if (order instanceof Frame.SetLine o) {
            setLine(tables.computeIfAbsent(o.table(), n -> new Table(held.length)), o.line());
        } else if (order instanceof Frame.Clear o) {
            Table table = tables.computeIfAbsent(o.table(), n -> new Table(held.length));
            table.lines.clear();
            Arrays.fill(table.levels, null);
        } else if (order instanceof Frame.Withdraw o) {
            withdraw(o.backend(), o.withdrawn());
        } else if (order instanceof Frame.Admit o) {
            set(o.table() == ControlApi.ALL_TABLES ? overall : tables.computeIfAbsent(o.table(),
                    n -> new Table(held.length)).levels, o.level());
        } else if (order instanceof Frame.Bind o) {
            if (!bound) {
                bound = true;
                withdrawn.clear();
                Arrays.fill(overall, null);
            }
            o.table().lines().forEach(line -> withdraw(line.backend(), false));
            o.withdrawn().forEach(backend -> withdraw(backend, true));
            hold(o.classMask(), put(o.table()));
        }
    }

    private void withdraw(Backend backend, boolean out) {
        if (out) {
            withdrawn.add(backend);
        } else {
            withdrawn.remove(backend);
        }
    }

    private Table put(Frame.Table whole) {
        Table table = tables.computeIfAbsent(whole.number(), n -> new Table(held.length));
        table.lines.clear();
        Arrays.fill(table.levels, null);
        whole.lines().forEach(line -> setLine(table, line));
        whole.levels().forEach(level -> set(table.levels, level));
        return table;
    }

    private static void setLine(Table table, Frame.Line line) {
        if (line.weight() > 0) {
            table.lines.put(line.backend(), line.weight());
        } else {
            table.lines.remove(line.backend());
        }
    }

    private void set(Frame.Level[] levels, Frame.Level level) {
        for (int c = 0; c < levels.length; c++) {
            if (level.classMask() == 0 || (level.classMask() >> c & 1) == 1) {
                levels[c] = level;
            }
        }
    }

    private void hold(int classes, Table table) {
        for (int c = 0; c < held.length; c++) {
            if (classes == 0 || (classes >> c & 1) == 1) {
                held[c] = table;
            }
        }
    }

    // ---- choices -------------------------------------------------------------------------------------

    /** Whether a request of a class is let in now; one that is not must be refused at once. */
    public boolean tryAdmit(int cls, long now) {
        double level = Double.POSITIVE_INFINITY;
        level = overall[cls] == null ? level : Math.min(level, overall[cls].level());
        level = held[cls].levels[cls] == null ? level : Math.min(level, held[cls].levels[cls].level());
        if (conduct.safeLevel() >= 0 && now - heardAt > conduct.leaseNs()) {
            return earned(within(cls, Math.min(rate(level), conduct.safeLevel()), now));
        }
        if (site.admission() == AdmissionMode.OFF || Double.isInfinite(level)) {
            levelBefore[cls] = Double.POSITIVE_INFINITY;
            return earned(true);
        }
        if (site.admission() == AdmissionMode.SHARE) {
            return earned(level >= 1 || random.nextDouble() < level);
        }
        return earned(within(cls, level, now));
    }

    /** A level as a rate: where levels are shares or off, they bound no rate. */
    private double rate(double level) {
        return site.admission() == AdmissionMode.RATE ? level : Double.POSITIVE_INFINITY;
    }

    /** A bucket that fills at the lower of two levels while one follows the other: a rise is no burst. */
    private boolean within(int cls, double level, long now) {
        double most = Math.max(1, level * BURST);
        double fill = Math.min(level, levelBefore[cls]);
        levelBefore[cls] = level;
        credit[cls] = Math.min(most, credit[cls] + fill * (now - creditAt[cls]) / SECOND);
        creditAt[cls] = now;
        if (credit[cls] < 1) {
            return false;
        }
        credit[cls]--;
        return true;
    }

    private boolean earned(boolean admitted) {
        if (admitted) {
            budget = Math.min(BUDGET_MOST, budget + conduct.retryBudget());
        }
        return admitted;
    }

    /** A controller was heard: levels and tables stand for another lease. */
    public void onControllerMessage(long now) {
        heardAt = now;
    }

    /** A class's lines that are not withdrawn, laid out so that a pick allocates nothing. */
    private static final class Choices {
        private final Backend[] backends;
        private final double[] weights;
        private final Path[] paths;
        private final double[] turns;
        private int[] alias;
        private double[] keeps;

        Choices(int count) {
            backends = new Backend[count];
            weights = new double[count];
            paths = new Path[count];
            turns = new double[count];
        }

        /** Lays lines out so that a draw looks at two of them (Vose's alias method). */
        void settle() {
            int n = backends.length;
            alias = new int[n];
            keeps = new double[n];
            double sum = 0;
            for (double weight : weights) {
                sum += weight;
            }
            int[] small = new int[n];
            int[] large = new int[n];
            int smalls = 0;
            int larges = 0;
            for (int i = 0; i < n; i++) {
                keeps[i] = weights[i] * n / sum;
                alias[i] = i;
                if (keeps[i] < 1) {
                    small[smalls++] = i;
                } else {
                    large[larges++] = i;
                }
            }
            while (smalls > 0 && larges > 0) {
                int less = small[--smalls];
                int more = large[larges - 1];
                alias[less] = more;
                keeps[more] -= 1 - keeps[less];
                if (keeps[more] < 1) {
                    larges--;
                    small[smalls++] = more;
                }
            }
            while (smalls > 0) {
                keeps[small[--smalls]] = 1; // what rounding has left
            }
        }

        int draw(RandomGenerator random) {
            double at = random.nextDouble() * backends.length;
            int i = (int) at;
            return at - i < keeps[i] ? i : alias[i];
        }

        /** Whether a line may be picked; {@code openOnly} leaves shunned backends out. */
        boolean fits(int i, Set<Backend> tried, long now, boolean openOnly) {
            return !(openOnly && paths[i].shunnedUntil > now) && (tried.isEmpty()
                    || !tried.contains(backends[i]));
        }
    }

    private Choices choices(int cls) {
        if (choices[cls] == null) {
            List<Backend> open = held[cls].lines.keySet().stream().filter(b -> !withdrawn.contains(b))
                    .toList();
            Choices made = new Choices(open.size());
            for (int i = 0; i < open.size(); i++) {
                made.backends[i] = open.get(i);
                made.weights[i] = held[cls].lines.get(open.get(i));
                made.paths[i] = path(open.get(i));
            }
            made.settle();
            choices[cls] = made;
        }
        return choices[cls];
    }

    /** The backend for a try, or null if the table has none that was not tried; shunned ones come last. */
    public Backend pick(int cls, Set<Backend> tried, long now) {
        Choices all = choices(cls);
        if (site.choice() == Site.Choice.ROUND) {
            return turn(all, tried, now);
        }
        int one = draw(all, tried, now);
        if (one >= 0 && site.choice() == Site.Choice.TWO) {
            int other = draw(all, tried, now);
            one = all.paths[other].out < all.paths[one].out ? other : one;
        }
        return one < 0 ? null : all.backends[one];
    }

    /** A line by weight: at once where most lines fit, else by looking through all. -1 if none fits. */
    private int draw(Choices all, Set<Backend> tried, long now) {
        for (int i = 0; i < DRAWS_MOST && all.backends.length > 0; i++) {
            int drawn = all.draw(random);
            if (all.fits(drawn, tried, now, true)) {
                return drawn;
            }
        }
        double open = sum(all, tried, now, true);
        if (open > 0) {
            return draw(all, tried, now, true, open);
        }
        double any = sum(all, tried, now, false);
        return any > 0 ? draw(all, tried, now, false, any) : -1;
    }

    private Backend turn(Choices all, Set<Backend> tried, long now) {
        double open = sum(all, tried, now, true);
        double any = open > 0 ? open : sum(all, tried, now, false);
        return any > 0 ? all.backends[next(all, tried, now, open > 0, any)] : null;
    }

    private static double sum(Choices all, Set<Backend> tried, long now, boolean openOnly) {
        double sum = 0;
        for (int i = 0; i < all.backends.length; i++) {
            sum += all.fits(i, tried, now, openOnly) ? all.weights[i] : 0;
        }
        return sum;
    }

    private int draw(Choices all, Set<Backend> tried, long now, boolean openOnly, double sum) {
        double at = random.nextDouble() * sum;
        int last = -1;
        for (int i = 0; i < all.backends.length; i++) {
            if (all.fits(i, tried, now, openOnly)) {
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
    private static int next(Choices all, Set<Backend> tried, long now, boolean openOnly, double sum) {
        int best = -1;
        for (int i = 0; i < all.backends.length; i++) {
            if (all.fits(i, tried, now, openOnly)) {
                all.turns[i] += all.weights[i];
                best = best < 0 || all.turns[i] > all.turns[best] ? i : best;
            }
        }
        all.turns[best] -= sum;
        return best;
    }

    private Path path(Backend backend) {
        return paths.computeIfAbsent(backend, b -> new Path());
    }

    /** A try has gone out. */
    public void onTrySent(Backend backend) {
        path(backend).out++;
    }

    /** A try is over. After so many failures in a row the backend is shunned for some seconds. */
    public void onTryEnded(Backend backend, boolean good, long now) {
        Path path = path(backend);
        path.out--;
        path.failedInARow = good ? 0 : path.failedInARow + 1;
        if (site.ejects() > 0 && path.failedInARow >= site.ejects()) {
            path.failedInARow = 0;
            path.shunnedUntil = now + site.ejectFor();
        }
    }

    /** A try was given up by its client, or never left this proxy: it says nothing of the backend. */
    public void onTryAbandoned(Backend backend) {
        path(backend).out--;
    }

    /** Whether a class has a backend that was not tried. */
    public boolean hasUntriedBackend(int cls, Set<Backend> tried) {
        return Arrays.stream(choices(cls).backends).anyMatch(b -> !tried.contains(b));
    }

    /** Tries out to all backends. */
    public int triesInFlight() {
        return paths.values().stream().mapToInt(p -> p.out).sum();
    }

    /**
     * Whether another try may follow a failed one: as the controller orders, or as usual where it has not,
     * and only with proof that the failed one never ran, unless the class is safe to repeat.
     */
    public boolean mayRetry(int cls, int tries, boolean neverRan, long left) {
        Frame.Level level = held[cls].levels[cls] == null ? overall[cls] : held[cls].levels[cls];
        RetryPolicy how = level == null ? site.usualRetry() : level.retry();
        boolean safe = neverRan || isSafeToRepeat(cls);
        boolean ordered = switch (how) {
            case NEVER -> false;
            case ONCE_UNRUN -> tries == 1 && neverRan;
            case ONCE -> tries == 1;
            case TWICE -> tries <= 2;
        };
        return ordered && safe && left > LEAST_LEFT * site.classes().get(cls).deadline() && spend();
    }

    /** The budget can only lower what is ordered. */
    private boolean spend() {
        if (conduct.retryBudget() >= 1) {
            return true;
        }
        if (budget < 1) {
            return false;
        }
        budget--;
        return true;
    }

    /** Whether a request that may have run may be sent again. */
    protected boolean isSafeToRepeat(int cls) {
        return site.classes().get(cls).idempotency() == Idempotency.SAFE;
    }

    /** Nanoseconds a try may take when another might follow; 0 for no such bound. */
    public long tryTimeoutNs(int cls) {
        Frame.Level level = held[cls].levels[cls] == null ? overall[cls] : held[cls].levels[cls];
        RetryPolicy how = level == null ? site.usualRetry() : level.retry();
        boolean bounded = (how == RetryPolicy.ONCE || how == RetryPolicy.TWICE) && isSafeToRepeat(cls);
        return bounded ? (long) (site.tryAims() * site.classes().get(cls).aim()) : 0;
    }

    /** Whether any class may still send to a backend. */
    public boolean uses(Backend backend) {
        return !withdrawn.contains(backend) && Arrays.stream(held).anyMatch(t -> t.lines
                .containsKey(backend));
    }
}
