package rowanmoor.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.apache.commons.math3.linear.Array2DRowRealMatrix;
import org.apache.commons.math3.linear.ArrayRealVector;
import org.apache.commons.math3.linear.CholeskyDecomposition;
import org.apache.commons.math3.linear.NonPositiveDefiniteMatrixException;
import org.apache.commons.math3.stat.StatUtils;
import org.apache.commons.math3.stat.descriptive.rank.Percentile;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import rowanmoor.capture.LoadRecord;
import rowanmoor.emulator.Model;
import rowanmoor.emulator.Outcome;

/**
 * Estimates a fleet's figures from captured load: rate, mix, what proxies get, clients' repeats, work a class
 * and its spread, each with a 95% interval. What cannot be told from the capture is left as the file has
 * it, and a note says so.
 *
 * <p>A capture has requests by class and proxy, and summed latencies by backend and proxy, not by class.
 * Work a class is therefore a regression: over a few seconds a proxy's summed latencies (each times its
 * backend's speed) are about the sum over classes of requests times work. Waiting is in latencies, so only
 * the quieter half of the time without failed tries is looked at, and what waiting is left there is taken
 * off by running the emulator at that load. Intervals of regressions are percentiles of a bootstrap over
 * rows.
 */
public final class Estimator {

    /** One figure. {@code source} says how it was come by. */
    public record Estimate(String name, double value, double low, double high, String unit, String source) { }

    /** The model with what was estimated in it. */
    public record Result(Model model, List<Estimate> estimates, List<String> notes) { }

    private static final long WINDOW = 4_000_000_000L;
    private static final double SECOND = 1e9;
    private static final int RESAMPLES = 400;
    private static final int ROWS_LEAST = 12;
    private static final int QUIET_LEAST = 60;
    private static final int CORRECTIONS = 3;
    private static final int FAILURES_LEAST = 30;
    private static final double NORMAL = 1.96;

    private final Model model;
    private final SimulationRunner runs;
    private final long seed;
    private final List<Estimate> estimates = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();

    /** @param model the fleet as its file describes it; speeds, zones and classes are taken from it */
    public Estimator(Model model, SimulationRunner runs, long seed) {
        this.model = model;
        this.runs = runs;
        this.seed = seed;
    }

    /** What one proxy reported within one window. */
    private static final class Row {
        private final long window;
        private final double[] requests;
        private double failed;
        private double work;
        private double answered;

        Row(long window, int classes) {
            this.window = window;
            this.requests = new double[classes];
        }

        double all() {
            return Arrays.stream(requests).sum();
        }
    }

    /** Estimates from records on one time line; see {@link LoadRecord}. */
    public Result estimate(List<LoadRecord> records) {
        Map<Integer, double[]> byProxy = new TreeMap<>();
        Map<Integer, Integer> zones = new TreeMap<>();
        Map<String, Row> rows = rows(records, byProxy, zones);
        double[] byClass = new double[model.classShares().length];
        byProxy.values().forEach(counts -> {
            for (int c = 0; c < byClass.length; c++) {
                byClass[c] += counts[c];
            }
        });
        double all = Arrays.stream(byClass).sum();
        List<Row> whole = rows.values().stream().filter(r -> r.window > first(rows) && r.window < last(rows))
                .toList();
        if (all == 0 || whole.isEmpty()) {
            notes.add(all == 0 ? "the capture has no request: the rate is 0"
                    : "the capture is too short: nothing is estimated but the rate");
            return new Result(all == 0 ? model.withRequestsPerSecond(0) : model, estimates, notes);
        }
        double rate = rate(whole);
        double[] shares = mix(byClass, all);
        Model its = withProxies(model.withClassShares(shares).withRequestsPerSecond(rate), byProxy, zones);
        skew(byProxy);
        its = its.withRequestsPerSecond(rate * repeats(whole));
        List<Row> quiet = quiet(whole);
        return new Result(quiet.size() < QUIET_LEAST ? tooFew(its) : withWork(its, quiet), estimates,
                notes);
    }

    private static long first(Map<String, Row> rows) {
        return rows.values().stream().mapToLong(r -> r.window).min().orElse(0);
    }

    private static long last(Map<String, Row> rows) {
        return rows.values().stream().mapToLong(r -> r.window).max().orElse(0);
    }

    private Model tooFew(Model its) {
        notes.add("too little quiet time to estimate work a class and its spread: they are the file's");
        return its;
    }

    // ---- rows ----------------------------------------------------------------------------------------

    private Map<String, Row> rows(List<LoadRecord> records, Map<Integer, double[]> byProxy,
            Map<Integer, Integer> zones) {
        Map<String, Row> rows = new TreeMap<>();
        Map<String, Integer> kinds = new TreeMap<>();
        int classes = model.classShares().length;
        for (LoadRecord record : records) {
            if (record instanceof LoadRecord.Listed listed) {
                kinds.put(listed.backend(), listed.kind());
            } else if (record instanceof LoadRecord.Use use && use.cls() < classes) {
                Row row = row(rows, use.at(), use.proxy(), classes);
                row.requests[use.cls()] += use.requests();
                row.failed += use.failed();
                byProxy.computeIfAbsent(use.proxy(), p -> new double[classes])[use.cls()] += use.requests();
                zones.put(use.proxy(), use.zone());
            } else if (record instanceof LoadRecord.Tried tried) {
                Row row = row(rows, tried.at(), tried.proxy(), classes);
                row.work += tried.latencySum() / SECOND * speed(kinds.getOrDefault(tried.backend(), 0));
                row.answered += tried.tries() - tried.failed();
                row.failed += tried.failed();
            }
        }
        return rows;
    }

    private static Row row(Map<String, Row> rows, long at, int proxy, int classes) {
        long window = Math.floorDiv(at, WINDOW);
        return rows.computeIfAbsent(window + "/" + proxy, k -> new Row(window, classes));
    }

    private double speed(int kind) {
        return model.backends().stream().filter(m -> m.kind() == kind).mapToDouble(Model.BackendSpec::speed)
                .average().orElse(1);
    }

    // ---- rate, mix, proxies, repeats -----------------------------------------------------------------

    private static double[] byWindow(List<Row> rows, java.util.function.ToDoubleFunction<Row> figure) {
        Map<Long, Double> sums = new TreeMap<>();
        rows.forEach(r -> sums.merge(r.window, figure.applyAsDouble(r), Double::sum));
        return sums.values().stream().mapToDouble(v -> v).toArray();
    }

    private double rate(List<Row> rows) {
        double[] all = Arrays.stream(byWindow(rows, Row::all)).map(v -> v / (WINDOW / SECOND)).toArray();
        Interval i = Interval.of(Arrays.stream(all).boxed().toList());
        estimates.add(new Estimate("requests that came", i.mean(), i.low(), i.high(), "/s",
                "mean over " + all.length + " windows of 4 s"));
        return i.mean();
    }

    private double[] mix(double[] byClass, double all) {
        double[] shares = new double[byClass.length];
        for (int c = 0; c < shares.length; c++) {
            shares[c] = byClass[c] / all;
            double half = NORMAL * Math.sqrt(shares[c] * (1 - shares[c]) / all);
            estimates.add(new Estimate("share of " + model.site().classNames().get(c), shares[c],
                    Math.max(0, shares[c] - half), Math.min(1, shares[c] + half), "",
                    "of " + Math.round(all) + " requests"));
        }
        return shares;
    }

    /** Each captured proxy with its own part, rather than parts drawn from a spread. */
    private static Model withProxies(Model its, Map<Integer, double[]> byProxy, Map<Integer, Integer> zones) {
        int[] where = byProxy.keySet().stream().mapToInt(zones::get).toArray();
        double[] weights = byProxy.values().stream().mapToDouble(c -> Math.max(1e-6, Arrays.stream(c).sum()))
                .toArray();
        return its.withProxies(where, weights);
    }

    private void skew(Map<Integer, double[]> byProxy) {
        double[] counts = byProxy.values().stream().mapToDouble(c -> Arrays.stream(c).sum())
                .filter(c -> c > 0).toArray();
        if (counts.length < 3) {
            notes.add("fewer than three proxies: their spread is not told");
            return;
        }
        SplittableRandom random = new SplittableRandom(seed);
        double[] resampled = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            resampled[i] = spread(random.ints(counts.length, 0, counts.length).mapToDouble(j -> counts[j])
                    .toArray());
        }
        estimates.add(interval("spread of what proxies get", spread(counts), resampled, "",
                "standard deviation of the logarithm over " + counts.length
                + " proxies; each proxy's own part is used"));
    }

    /** Standard deviation of the logarithm, less what counting alone scatters. */
    private static double spread(double[] counts) {
        double chance = Arrays.stream(counts).map(c -> 1 / c).average().orElse(0);
        return Math.sqrt(Math.max(0, StatUtils.variance(Arrays.stream(counts).map(Math::log).toArray())
                - chance));
    }

    /** Part of the requests that came which were first ones; repeats follow requests that had no answer. */
    private double repeats(List<Row> rows) {
        double[] came = byWindow(rows, Row::all);
        double[] failed = byWindow(rows, r -> r.failed);
        if (Arrays.stream(failed).sum() < FAILURES_LEAST || came.length < ROWS_LEAST) {
            notes.add("too few failures to tell clients' repeats: all requests count as first ones");
            return 1;
        }
        SimpleRegression line = new SimpleRegression();
        for (int w = 0; w < came.length; w++) {
            line.addData(failed[w], came[w]);
        }
        double half = line.getSlopeConfidenceInterval();
        double slope = line.getSlope();
        estimates.add(new Estimate("requests more for each failure", slope, slope - half, slope + half, "",
                "regression over " + came.length + " windows"));
        if (slope - half <= 0) {
            notes.add("repeats are not told from chance: all requests count as first ones");
            return 1;
        }
        double more = Math.min(1, slope) * StatUtils.mean(failed);
        return Math.max(0.1, 1 - more / StatUtils.mean(came));
    }

    // ---- work ----------------------------------------------------------------------------------------

    /** Rows of windows without a failed try, the half of them with the fewest requests. */
    private static List<Row> quiet(List<Row> rows) {
        Map<Long, Double> failed = new TreeMap<>();
        Map<Long, Double> came = new TreeMap<>();
        for (Row row : rows) {
            failed.merge(row.window, row.failed, Double::sum);
            came.merge(row.window, row.all(), Double::sum);
        }
        double[] clean = came.entrySet().stream().filter(e -> failed.get(e.getKey()) == 0)
                .mapToDouble(Map.Entry::getValue).toArray();
        double median = new Percentile().evaluate(clean, 50);
        return rows.stream().filter(r -> failed.get(r.window) == 0 && came.get(r.window) <= median
                && r.answered > 0).toList();
    }

    private Model withWork(Model its, List<Row> rows) {
        double[] raw = regress(rows);
        if (raw == null) {
            notes.add("classes do not vary apart from one another: their work is the file's");
            return its;
        }
        SplittableRandom random = new SplittableRandom(seed + 1);
        double[][] resampled = new double[raw.length][RESAMPLES];
        double[] spreads = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            List<Row> drawn = random.ints(rows.size(), 0, rows.size()).mapToObj(rows::get).toList();
            double[] one = regress(drawn);
            one = one == null ? raw : one;
            for (int c = 0; c < raw.length; c++) {
                resampled[c][i] = one[c];
            }
            spreads[i] = workSpread(drawn, one);
        }
        double spread = workSpread(rows, raw);
        Model found = its.withWork(raw, cv(raw, spread));
        double waiting = waiting(found, rows);
        for (int c = 0; c < raw.length; c++) {
            raw[c] /= waiting;
            for (int i = 0; i < RESAMPLES; i++) {
                resampled[c][i] /= waiting;
            }
            estimates.add(interval("work of " + model.site().classNames().get(c), 1000 * raw[c],
                    Arrays.stream(resampled[c]).map(w -> 1000 * w).toArray(), "ms",
                    String.format("regression over %d rows, latencies %.2f times the work there",
                            rows.size(), waiting)));
        }
        estimates.add(interval("spread of work", spread, spreads, "",
                "scatter about the regression; 1 is exponential"));
        return its.withWork(raw, cv(raw, spread));
    }

    private static double[] cv(double[] work, double spread) {
        double[] cv = new double[work.length];
        Arrays.fill(cv, spread);
        return cv;
    }

    /** Seconds a request of each class; weighted, as a row's scatter grows with its requests. */
    private static double[] regress(List<Row> rows) {
        int n = rows.get(0).requests.length;
        double[][] squares = new double[n][n];
        double[] sums = new double[n];
        for (Row row : rows) {
            double weight = 1 / row.all();
            // What came is not quite what was answered in the same window: the answered are dealt by class.
            double part = row.answered / row.all();
            if (!(weight < Double.POSITIVE_INFINITY)) {
                continue;
            }
            for (int a = 0; a < n; a++) {
                sums[a] += weight * row.requests[a] * part * row.work;
                for (int b = 0; b < n; b++) {
                    squares[a][b] += weight * row.requests[a] * part * row.requests[b] * part;
                }
            }
        }
        List<Integer> used = new ArrayList<>();
        for (int c = 0; c < n; c++) {
            if (squares[c][c] > 0) {
                used.add(c);
            }
        }
        int[] which = used.stream().mapToInt(c -> c).toArray();
        try {
            double[] solved = new CholeskyDecomposition(new Array2DRowRealMatrix(squares)
                    .getSubMatrix(which, which)).getSolver().solve(new ArrayRealVector(
                            Arrays.stream(which).mapToDouble(c -> sums[c]).toArray())).toArray();
            double[] work = new double[n];
            Arrays.fill(work, 1e-6);
            for (int i = 0; i < which.length; i++) {
                work[which[i]] = Math.max(1e-6, solved[i]);
            }
            return work;
        } catch (NonPositiveDefiniteMatrixException e) {
            return null;
        }
    }

    /** Coefficient of variation of one request's work, from how rows scatter about the regression. */
    private static double workSpread(List<Row> rows, double[] work) {
        double scatter = 0;
        double unit = 0;
        for (Row row : rows) {
            double part = row.answered / row.all();
            double told = 0;
            double squares = 0;
            for (int c = 0; c < work.length; c++) {
                told += work[c] * row.requests[c] * part;
                squares += work[c] * work[c] * row.requests[c] * part;
            }
            if (row.all() > 0) {
                scatter += (row.work - told) * (row.work - told) / row.all();
                unit += squares / row.all();
            }
        }
        return unit == 0 ? 1 : Math.min(3, Math.sqrt(scatter / unit));
    }

    /** How many times the work a request stays, at the quiet rows' load: told by the emulator. */
    private double waiting(Model found, List<Row> rows) {
        double windows = rows.stream().mapToLong(r -> r.window).distinct().count();
        double rate = rows.stream().mapToDouble(Row::all).sum() / windows / (WINDOW / SECOND);
        double factor = 1;
        for (int i = 0; i < CORRECTIONS; i++) {
            double by = factor;
            double[] less = Arrays.stream(found.workSeconds()).map(w -> w / by).toArray();
            Outcome o = runs.run(found.withRequestsPerSecond(rate).withWork(less, found.workCv()), List.of(seed)).get(0);
            double stay = 0;
            double alone = 0;
            for (int b = 0; b < o.backends().size(); b++) {
                stay += o.backends().get(b).staySeconds * found.backends().get(b).speed();
                alone += o.backends().get(b).workSeconds;
            }
            factor = alone == 0 ? 1 : Math.max(1, stay / alone);
        }
        return factor;
    }

    private static Estimate interval(String what, double value, double[] resampled, String unit,
            String from) {
        Percentile percentile = new Percentile();
        percentile.setData(resampled);
        return new Estimate(what, value, Math.min(value, percentile.evaluate(2.5)),
                Math.max(value, percentile.evaluate(97.5)), unit, from);
    }
}
