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
import rowanmoor.capture.Capture;
import rowanmoor.capture.LoadRecord;
import rowanmoor.emulator.Model;
import rowanmoor.emulator.Outcome;

/**
 * Estimates model parameters from captured load: rate, class mix, distribution over proxies, client retries,
 * work by class and its variation, each with a 95% confidence interval. What a capture does not determine
 * keeps the value of the fleet file, and a note says so.
 *
 * <p>A capture has requests by class and proxy, but summed latencies by backend and proxy, not by class. Work
 * by class is therefore a regression: within a window of a few seconds the summed latencies of a proxy (each
 * times the speed of its backend) are about the sum over classes of requests times work. Latencies include
 * waiting, so the regression uses only the quieter half of the windows without failed tries, and the waiting
 * that remains there is removed by simulating that load. Confidence intervals of regressions are percentiles
 * of a bootstrap over rows.
 */
public final class Estimator {

    /** One estimate with its 95% interval; {@code source} describes the data and the method. */
    public record Estimate(String name, double value, double low, double high, String unit, String source) { }

    /** The model with the estimates applied, and notes on what could not be estimated. */
    public record Result(Model model, List<Estimate> estimates, List<String> notes) { }

    private static final long WINDOW_NS = 4_000_000_000L;
    private static final double NS_PER_SECOND = 1e9;
    private static final int BOOTSTRAP_RESAMPLES = 400;
    private static final int MIN_WINDOWS = 12;
    private static final int MIN_QUIET_ROWS = 60;
    private static final int WAITING_CORRECTIONS = 3;
    private static final int MIN_FAILURES = 30;
    private static final double NORMAL_QUANTILE = 1.96;

    private final Model model;
    private final SimulationRunner simulator;
    private final long seed;
    private final List<Estimate> estimates = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();

    /**
     * An estimator for one capture.
     *
     * @param model the fleet as its file describes it, with its speeds, zones and classes
     * @param simulator simulates the quiet load, to find how much of the latency is waiting
     * @param seed seed of the bootstrap and of the simulations
     */
    public Estimator(Model model, SimulationRunner simulator, long seed) {
        this.model = model;
        this.simulator = simulator;
        this.seed = seed;
    }

    /** The reports of one proxy within one window. */
    private static final class Row {
        private final long window;
        private final double[] requests;
        private double failed;
        private double workSeconds;
        private double answered;

        Row(long window, int classes) {
            this.window = window;
            this.requests = new double[classes];
        }

        double totalRequests() {
            return Arrays.stream(requests).sum();
        }
    }

    /** Estimates from records whose times share one clock; see {@link Capture#read}. */
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
        List<Row> fullWindows = rows.values().stream().filter(r -> r.window > firstWindow(rows)
                && r.window < lastWindow(rows)).toList();
        if (all == 0 || fullWindows.isEmpty()) {
            notes.add(all == 0 ? "the capture has no request: the rate is 0"
                    : "the capture is too short: nothing is estimated but the rate");
            return new Result(all == 0 ? model.withRequestsPerSecond(0) : model, estimates, notes);
        }
        double rate = estimateRate(fullWindows);
        double[] shares = estimateMix(byClass, all);
        Model updated = withProxies(model.withClassShares(shares).withRequestsPerSecond(rate), byProxy,
                zones);
        estimateProxySpread(byProxy);
        updated = updated.withRequestsPerSecond(rate * firstRequestFraction(fullWindows));
        List<Row> quiet = quietRows(fullWindows);
        return new Result(quiet.size() < MIN_QUIET_ROWS ? withoutWorkEstimate(updated)
                : withEstimatedWork(updated, quiet), estimates, notes);
    }

    private static long firstWindow(Map<String, Row> rows) {
        return rows.values().stream().mapToLong(r -> r.window).min().orElse(0);
    }

    private static long lastWindow(Map<String, Row> rows) {
        return rows.values().stream().mapToLong(r -> r.window).max().orElse(0);
    }

    private Model withoutWorkEstimate(Model updated) {
        notes.add("too little quiet time to estimate work a class and its spread: they are the file's");
        return updated;
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
                Row row = rowAt(rows, use.at(), use.proxy(), classes);
                row.requests[use.cls()] += use.requests();
                row.failed += use.failed();
                byProxy.computeIfAbsent(use.proxy(), p -> new double[classes])[use.cls()] += use.requests();
                zones.put(use.proxy(), use.zone());
            } else if (record instanceof LoadRecord.Tried tried) {
                Row row = rowAt(rows, tried.at(), tried.proxy(), classes);
                row.workSeconds += tried.latencySum() / NS_PER_SECOND
                        * meanSpeed(kinds.getOrDefault(tried.backend(), 0));
                row.answered += tried.tries() - tried.failed();
                row.failed += tried.failed();
            }
        }
        return rows;
    }

    private static Row rowAt(Map<String, Row> rows, long at, int proxy, int classes) {
        long window = Math.floorDiv(at, WINDOW_NS);
        return rows.computeIfAbsent(window + "/" + proxy, k -> new Row(window, classes));
    }

    private double meanSpeed(int kind) {
        return model.backends().stream().filter(m -> m.kind() == kind).mapToDouble(Model.BackendSpec::speed)
                .average().orElse(1);
    }

    // ---- rate, mix, proxies, repeats -----------------------------------------------------------------

    private static double[] sumByWindow(List<Row> rows, java.util.function.ToDoubleFunction<Row> figure) {
        Map<Long, Double> sums = new TreeMap<>();
        rows.forEach(r -> sums.merge(r.window, figure.applyAsDouble(r), Double::sum));
        return sums.values().stream().mapToDouble(v -> v).toArray();
    }

    private double estimateRate(List<Row> rows) {
        double[] all = Arrays.stream(sumByWindow(rows, Row::totalRequests))
                .map(v -> v / (WINDOW_NS / NS_PER_SECOND)).toArray();
        Interval i = Interval.of(Arrays.stream(all).boxed().toList());
        estimates.add(new Estimate("requests that came", i.mean(), i.low(), i.high(), "/s",
                "mean over " + all.length + " windows of 4 s"));
        return i.mean();
    }

    private double[] estimateMix(double[] byClass, double all) {
        double[] shares = new double[byClass.length];
        for (int c = 0; c < shares.length; c++) {
            shares[c] = byClass[c] / all;
            double halfWidth = NORMAL_QUANTILE * Math.sqrt(shares[c] * (1 - shares[c]) / all);
            estimates.add(new Estimate("share of " + model.site().classNames().get(c), shares[c],
                    Math.max(0, shares[c] - halfWidth), Math.min(1, shares[c] + halfWidth), "",
                    "of " + Math.round(all) + " requests"));
        }
        return shares;
    }

    /** Gives each captured proxy its own share of the requests instead of a share drawn at random. */
    private static Model withProxies(Model updated, Map<Integer, double[]> byProxy,
            Map<Integer, Integer> zones) {
        int[] proxyZones = byProxy.keySet().stream().mapToInt(zones::get).toArray();
        double[] weights = byProxy.values().stream().mapToDouble(c -> Math.max(1e-6, Arrays.stream(c).sum()))
                .toArray();
        return updated.withProxies(proxyZones, weights);
    }

    private void estimateProxySpread(Map<Integer, double[]> byProxy) {
        double[] counts = byProxy.values().stream().mapToDouble(c -> Arrays.stream(c).sum())
                .filter(c -> c > 0).toArray();
        if (counts.length < 3) {
            notes.add("fewer than three proxies: their spread is not told");
            return;
        }
        SplittableRandom random = new SplittableRandom(seed);
        double[] resampled = new double[BOOTSTRAP_RESAMPLES];
        for (int i = 0; i < BOOTSTRAP_RESAMPLES; i++) {
            resampled[i] = logSpread(random.ints(counts.length, 0, counts.length).mapToDouble(j -> counts[j])
                    .toArray());
        }
        estimates.add(bootstrapEstimate("spread of what proxies get", logSpread(counts), resampled, "",
                "standard deviation of the logarithm over " + counts.length
                + " proxies; each proxy's own part is used"));
    }

    /** Standard deviation of the logarithm, less the part that counting noise alone causes. */
    private static double logSpread(double[] counts) {
        double countingNoise = Arrays.stream(counts).map(c -> 1 / c).average().orElse(0);
        return Math.sqrt(Math.max(0, StatUtils.variance(Arrays.stream(counts).map(Math::log).toArray())
                - countingNoise));
    }

    /** Fraction of the requests that were first tries; clients repeat requests that had no answer. */
    private double firstRequestFraction(List<Row> rows) {
        double[] received = sumByWindow(rows, Row::totalRequests);
        double[] failed = sumByWindow(rows, r -> r.failed);
        if (Arrays.stream(failed).sum() < MIN_FAILURES || received.length < MIN_WINDOWS) {
            notes.add("too few failures to tell clients' repeats: all requests count as first ones");
            return 1;
        }
        SimpleRegression line = new SimpleRegression();
        for (int w = 0; w < received.length; w++) {
            line.addData(failed[w], received[w]);
        }
        double halfWidth = line.getSlopeConfidenceInterval();
        double slope = line.getSlope();
        estimates.add(new Estimate("requests more for each failure", slope, slope - halfWidth,
                slope + halfWidth, "", "regression over " + received.length + " windows"));
        if (slope - halfWidth <= 0) {
            notes.add("repeats are not told from chance: all requests count as first ones");
            return 1;
        }
        double retryRate = Math.min(1, slope) * StatUtils.mean(failed);
        return Math.max(0.1, 1 - retryRate / StatUtils.mean(received));
    }

    // ---- work ----------------------------------------------------------------------------------------

    /** Rows of the windows without a failed try, of these the half with the fewest requests. */
    private static List<Row> quietRows(List<Row> rows) {
        Map<Long, Double> failed = new TreeMap<>();
        Map<Long, Double> received = new TreeMap<>();
        for (Row row : rows) {
            failed.merge(row.window, row.failed, Double::sum);
            received.merge(row.window, row.totalRequests(), Double::sum);
        }
        double[] clean = received.entrySet().stream().filter(e -> failed.get(e.getKey()) == 0)
                .mapToDouble(Map.Entry::getValue).toArray();
        double median = new Percentile().evaluate(clean, 50);
        return rows.stream().filter(r -> failed.get(r.window) == 0 && received.get(r.window) <= median
                && r.answered > 0).toList();
    }

    private Model withEstimatedWork(Model updated, List<Row> rows) {
        double[] raw = regressWork(rows);
        if (raw == null) {
            notes.add("classes do not vary apart from one another: their work is the file's");
            return updated;
        }
        SplittableRandom random = new SplittableRandom(seed + 1);
        double[][] resampled = new double[raw.length][BOOTSTRAP_RESAMPLES];
        double[] spreads = new double[BOOTSTRAP_RESAMPLES];
        for (int i = 0; i < BOOTSTRAP_RESAMPLES; i++) {
            List<Row> drawn = random.ints(rows.size(), 0, rows.size()).mapToObj(rows::get).toList();
            double[] sample = regressWork(drawn);
            sample = sample == null ? raw : sample;
            for (int c = 0; c < raw.length; c++) {
                resampled[c][i] = sample[c];
            }
            spreads[i] = workVariation(drawn, sample);
        }
        double spread = workVariation(rows, raw);
        Model estimated = updated.withWork(raw, sameCv(raw, spread));
        double waiting = waitingFactor(estimated, rows);
        for (int c = 0; c < raw.length; c++) {
            raw[c] /= waiting;
            for (int i = 0; i < BOOTSTRAP_RESAMPLES; i++) {
                resampled[c][i] /= waiting;
            }
            estimates.add(bootstrapEstimate("work of " + model.site().classNames().get(c), 1000 * raw[c],
                    Arrays.stream(resampled[c]).map(w -> 1000 * w).toArray(), "ms",
                    String.format("regression over %d rows, latencies %.2f times the work there",
                            rows.size(), waiting)));
        }
        estimates.add(bootstrapEstimate("spread of work", spread, spreads, "",
                "scatter about the regression; 1 is exponential"));
        return updated.withWork(raw, sameCv(raw, spread));
    }

    private static double[] sameCv(double[] work, double spread) {
        double[] cv = new double[work.length];
        Arrays.fill(cv, spread);
        return cv;
    }

    /**
     * Work of a request by class, seconds, or null if the classes cannot be separated. Rows are weighted,
     * since the variance of a row grows with its requests.
     */
    private static double[] regressWork(List<Row> rows) {
        int n = rows.get(0).requests.length;
        double[][] squares = new double[n][n];
        double[] sums = new double[n];
        for (Row row : rows) {
            double weight = 1 / row.totalRequests();
            // Not all requests of a window are answered in it: the answered ones are divided by class share.
            double answeredFraction = row.answered / row.totalRequests();
            if (!(weight < Double.POSITIVE_INFINITY)) {
                continue;
            }
            for (int a = 0; a < n; a++) {
                sums[a] += weight * row.requests[a] * answeredFraction * row.workSeconds;
                for (int b = 0; b < n; b++) {
                    squares[a][b] += weight * row.requests[a] * answeredFraction * row.requests[b]
                            * answeredFraction;
                }
            }
        }
        List<Integer> used = new ArrayList<>();
        for (int c = 0; c < n; c++) {
            if (squares[c][c] > 0) {
                used.add(c);
            }
        }
        int[] usedClasses = used.stream().mapToInt(c -> c).toArray();
        try {
            double[] solved = new CholeskyDecomposition(new Array2DRowRealMatrix(squares)
                    .getSubMatrix(usedClasses, usedClasses)).getSolver().solve(new ArrayRealVector(
                            Arrays.stream(usedClasses).mapToDouble(c -> sums[c]).toArray())).toArray();
            double[] work = new double[n];
            Arrays.fill(work, 1e-6);
            for (int i = 0; i < usedClasses.length; i++) {
                work[usedClasses[i]] = Math.max(1e-6, solved[i]);
            }
            return work;
        } catch (NonPositiveDefiniteMatrixException e) {
            return null;
        }
    }

    /** Coefficient of variation of the work of a request, from the residuals of the regression. */
    private static double workVariation(List<Row> rows, double[] work) {
        double residuals = 0;
        double unit = 0;
        for (Row row : rows) {
            double answeredFraction = row.answered / row.totalRequests();
            double expected = 0;
            double squares = 0;
            for (int c = 0; c < work.length; c++) {
                expected += work[c] * row.requests[c] * answeredFraction;
                squares += work[c] * work[c] * row.requests[c] * answeredFraction;
            }
            if (row.totalRequests() > 0) {
                residuals += (row.workSeconds - expected) * (row.workSeconds - expected)
                        / row.totalRequests();
                unit += squares / row.totalRequests();
            }
        }
        return unit == 0 ? 1 : Math.min(3, Math.sqrt(residuals / unit));
    }

    /** Ratio of a request's stay at a backend to its work at the load of the quiet rows, by simulation. */
    private double waitingFactor(Model estimated, List<Row> rows) {
        double windows = rows.stream().mapToLong(r -> r.window).distinct().count();
        double rate = rows.stream().mapToDouble(Row::totalRequests)
                .sum() / windows / (WINDOW_NS / NS_PER_SECOND);
        double factor = 1;
        for (int i = 0; i < WAITING_CORRECTIONS; i++) {
            double divisor = factor;
            double[] reduced = Arrays.stream(estimated.workSeconds()).map(w -> w / divisor).toArray();
            Outcome o = simulator.run(estimated.withRequestsPerSecond(rate)
                    .withWork(reduced, estimated.workCv()), List.of(seed)).get(0);
            double stay = 0;
            double work = 0;
            for (int b = 0; b < o.backends().size(); b++) {
                stay += o.backends().get(b).staySeconds * estimated.backends().get(b).speed();
                work += o.backends().get(b).workSeconds;
            }
            factor = work == 0 ? 1 : Math.max(1, stay / work);
        }
        return factor;
    }

    private static Estimate bootstrapEstimate(String name, double value, double[] resampled, String unit,
            String source) {
        Percentile percentile = new Percentile();
        percentile.setData(resampled);
        return new Estimate(name, value, Math.min(value, percentile.evaluate(2.5)),
                Math.max(value, percentile.evaluate(97.5)), unit, source);
    }
}
