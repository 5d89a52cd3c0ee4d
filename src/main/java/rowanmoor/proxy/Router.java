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
    public enum Heed {
        /** It is in force; its marks are to be answered. */
        DONE,
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
    private final RandomGenerator random;
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
    public void streamBegins() {
        inStep = false;
        bound = false;
        tables.clear();
    }

    /** Whether it still has only its standing table. */
    public boolean fresh() {
        return Arrays.stream(held).allMatch(t -> t == standing);
    }

    public long epoch() {
        return epoch;
    }

    public long version() {
        return version;
    }

    /** Takes a snapshot in. */
    public void heed(Frame.Snapshot snapshot) {
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
        snapshot.overall().forEach(level -> set(overall, level));
        snapshot.tables().forEach(this::put);
        snapshot.bindings().forEach(b -> hold(b.classes(), tables.computeIfAbsent(b.table(),
                n -> new Table(held.length))));
    }

    /** Takes an update in, if it is the next one. */
    public Heed heed(Frame.Update update) {
        if (!inStep) {
            return Heed.SKIPPED;
        }
        if (update.epoch() != epoch || update.version() != version + 1) {
            inStep = false;
            return Heed.GAP;
        }
        version = update.version();
        Arrays.fill(choices, null);
        update.orders().forEach(this::heed);
        return Heed.DONE;
    }

    private void heed(Frame.Order order) {
        if (order instanceof Frame.SetLine o) {
            setLine(tables.computeIfAbsent(o.table(), n -> new Table(held.length)), o.line());
        } else if (order instanceof Frame.Clear o) {
            Table table = tables.computeIfAbsent(o.table(), n -> new Table(held.length));
            table.lines.clear();
            Arrays.fill(table.levels, null);
        } else if (order instanceof Frame.Withdraw o) {
            withdraw(o.backend(), o.out());
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
            hold(o.classes(), put(o.table()));
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
            if (level.classes() == 0 || (level.classes() >> c & 1) == 1) {
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
    public boolean admits(int cls, long now) {
        double level = Double.POSITIVE_INFINITY;
        level = overall[cls] == null ? level : Math.min(level, overall[cls].level());
        level = held[cls].levels[cls] == null ? level : Math.min(level, held[cls].levels[cls].level());
        if (site.admission() == Admission.OFF || Double.isInfinite(level)) {
            return true;
        }
        if (site.admission() == Admission.SHARE) {
            return level >= 1 || random.nextDouble() < level;
        }
        double most = Math.max(1, level * BURST);
        credit[cls] = Math.min(most, credit[cls] + level * (now - creditAt[cls]) / SECOND);
        creditAt[cls] = now;
        if (credit[cls] < 1) {
            return false;
        }
        credit[cls]--;
        return true;
    }

    /** A class's lines that are not withdrawn, laid out so that a pick allocates nothing. */
    private static final class Choices {
        private final Backend[] backends;
        private final double[] weights;
        private final Path[] paths;
        private final double[] turns;

        Choices(int count) {
            backends = new Backend[count];
            weights = new double[count];
            paths = new Path[count];
            turns = new double[count];
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
            choices[cls] = made;
        }
        return choices[cls];
    }

    /** The backend for a try, or null if the table has none that was not tried; shunned ones come last. */
    public Backend pick(int cls, Set<Backend> tried, long now) {
        Choices all = choices(cls);
        boolean openOnly = true;
        double sum = sum(all, tried, now, true);
        if (sum <= 0) {
            openOnly = false;
            sum = sum(all, tried, now, false);
        }
        if (sum <= 0) {
            return null;
        }
        if (site.choice() == Site.Choice.ROUND) {
            return all.backends[next(all, tried, now, openOnly, sum)];
        }
        int one = draw(all, tried, now, openOnly, sum);
        if (site.choice() == Site.Choice.TWO) {
            int other = draw(all, tried, now, openOnly, sum);
            one = all.paths[other].out < all.paths[one].out ? other : one;
        }
        return all.backends[one];
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
    public void sent(Backend backend) {
        path(backend).out++;
    }

    /** A try is over. After so many failures in a row the backend is shunned for some seconds. */
    public void done(Backend backend, boolean good, long now) {
        Path path = path(backend);
        path.out--;
        path.failedInARow = good ? 0 : path.failedInARow + 1;
        if (site.ejects() > 0 && path.failedInARow >= site.ejects()) {
            path.failedInARow = 0;
            path.shunnedUntil = now + site.ejectFor();
        }
    }

    /**
     * Whether another try may follow a failed one: as the controller orders, or as usual where it has not,
     * and only with proof that the failed one never ran, unless the class is safe to repeat.
     */
    public boolean mayFollow(int cls, int tries, boolean neverRan, long left) {
        Frame.Level level = held[cls].levels[cls] == null ? overall[cls] : held[cls].levels[cls];
        Retry how = level == null ? site.usualRetry() : level.retry();
        boolean safe = neverRan || repeatable(cls);
        boolean ordered = switch (how) {
            case NEVER -> false;
            case ONCE_UNRUN -> tries == 1 && neverRan;
            case ONCE -> tries == 1;
            case TWICE -> tries <= 2;
        };
        return ordered && safe && left > LEAST_LEFT * site.classes().get(cls).deadline();
    }

    /** Whether a request that may have run may be sent again. */
    protected boolean repeatable(int cls) {
        return site.classes().get(cls).effect() == Effect.SAFE;
    }

    /** Nanoseconds a try may take when another might follow; 0 for no such bound. */
    public long tryWithin(int cls) {
        Frame.Level level = held[cls].levels[cls] == null ? overall[cls] : held[cls].levels[cls];
        Retry how = level == null ? site.usualRetry() : level.retry();
        boolean bounded = (how == Retry.ONCE || how == Retry.TWICE) && repeatable(cls);
        return bounded ? (long) (site.tryAims() * site.classes().get(cls).aim()) : 0;
    }

    /** Whether any class may still send to a backend. */
    public boolean uses(Backend backend) {
        return !withdrawn.contains(backend) && Arrays.stream(held).anyMatch(t -> t.lines
                .containsKey(backend));
    }
}
