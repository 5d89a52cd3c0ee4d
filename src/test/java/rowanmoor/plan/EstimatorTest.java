package rowanmoor.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.apache.commons.math3.distribution.PoissonDistribution;
import org.apache.commons.math3.random.Well19937c;
import org.junit.jupiter.api.Test;
import rowanmoor.capture.LoadRecord;
import rowanmoor.config.ConfigException;
import rowanmoor.emulator.Emulator;
import rowanmoor.emulator.Model;

/** Estimates from synthetic captures with known parameters. */
class EstimatorTest {

    private static final long SECOND = 1_000_000_000L;
    private static final SimulationRunner SIMULATOR = (m, seeds) -> seeds.parallelStream().map(s -> Emulator.run(m, s))
            .toList();
    private static final double[] WORK = {0.05, 0.12};
    private static final int PROXIES = 12;

    private static Model model() throws ConfigException {
        return PlannerTest.fleet(PlannerTest.site("2000/s", ""), PlannerTest.machines(10, 20, 0), 50,
                new double[] {0.5, 0.5}, 0);
    }

    /** Reports of every second. With {@code failures}, every third window of 4 s fails a third of its requests. */
    private static List<LoadRecord> capture(int seconds, double cv, boolean failures, double repeats, int seed) {
        Random random = new Random(seed);
        Well19937c poisson = new Well19937c(seed);
        double[] weights = new double[PROXIES];
        Arrays.setAll(weights, p -> Math.exp(0.5 * random.nextGaussian()));
        double sum = Arrays.stream(weights).sum();
        List<LoadRecord> records = new ArrayList<>();
        records.add(new LoadRecord.Start(0, 0, 0, 1, List.of("a", "b"), List.of("k", "l"), List.of("read", "pay")));
        records.add(new LoadRecord.Listed(0, "127.0.0.1:1", 0, 0, "READY", 2, 0));
        long[] before = new long[PROXIES];
        for (int s = 0; s < seconds; s++) {
            // Load varies as a sine; with failures, every third window of 4 s has them.
            double load = 60 + 30 * Math.sin(s / 9.0);
            boolean failing = failures && s / 4 % 3 == 0;
            for (int p = 0; p < PROXIES; p++) {
                long at = s * SECOND + p * SECOND / PROXIES;
                long tries = 0;
                long failed = 0;
                double work = 0;
                for (int c = 0; c < 2; c++) {
                    double mean = load * weights[p] / sum / 2;
                    int firstTries = mean < 1e-9 ? 0 : new PoissonDistribution(poisson, mean, 1e-9, 10000).sample();
                    long received = firstTries + (c == 0 ? Math.round(repeats * before[p]) : 0);
                    long lost = failing ? received / 3 + (received % 3 > 0 && random.nextInt(3) < received % 3 ? 1 : 0)
                            : 0;
                    for (long r = lost; r < received; r++) {
                        work += draw(random, WORK[c], cv);
                    }
                    tries += received;
                    failed += lost;
                    records.add(new LoadRecord.Use(at, p, p % 2, c, received, lost, SECOND));
                }
                before[p] = failed;
                records.add(new LoadRecord.Tried(at, p, p % 2, "127.0.0.1:1", tries, failed,
                        Math.round(work * SECOND), SECOND));
            }
        }
        return records;
    }

    private static double draw(Random random, double mean, double cv) {
        return cv == 0 ? mean : -Math.log(1 - random.nextDouble()) * mean;
    }

    private static Estimator.Estimate of(Estimator.Result result, String what) {
        return result.estimates().stream().filter(e -> e.name().equals(what)).findFirst().orElseThrow();
    }

    private static void assertInterval(Estimator.Estimate e, double truth, double maxWidth) {
        assertTrue(e.low() <= truth && truth <= e.high(), e + " does not contain " + truth);
        assertTrue(e.high() - e.low() <= maxWidth, e + " is too wide");
    }

    @Test
    void rateMixWorkAndVariationLieInTheirIntervals() throws ConfigException {
        Estimator.Result result = new Estimator(model(), SIMULATOR, 1).estimate(capture(400, 1, false, 0, 12));
        assertInterval(of(result, "requests that came"), 60, 10);
        assertInterval(of(result, "share of pay"), 0.5, 0.02);
        // The synthetic latencies contain no waiting, and the simulation at this load finds almost none to remove.
        assertInterval(of(result, "work of read"), 50, 25);
        assertInterval(of(result, "work of pay"), 120, 30);
        assertInterval(of(result, "spread of work"), 1, 0.3);
        assertInterval(of(result, "spread of what proxies get"), 0.5, 0.8);
        assertEquals(PROXIES, result.model().proxyWeights().length);
        assertEquals(of(result, "work of pay").value(), 1000 * result.model().workSeconds()[1], 1e-6);
    }

    @Test
    void constantWorkIsDistinguishedFromExponential() throws ConfigException {
        Estimator.Result result = new Estimator(model(), SIMULATOR, 1).estimate(capture(400, 0, false, 0, 7));
        assertTrue(of(result, "spread of work").high() < 0.5, result.estimates().toString());
    }

    @Test
    void clientRetriesAreSubtractedFromTheRate() throws ConfigException {
        Estimator.Result result = new Estimator(model(), SIMULATOR, 1).estimate(capture(400, 1, true, 0.8, 7));
        Estimator.Estimate repeats = of(result, "requests more for each failure");
        assertTrue(repeats.low() > 0 && repeats.low() <= 0.8 && repeats.high() >= 0.6, repeats.toString());
        assertTrue(result.model().requestsPerSecond() < 0.95 * of(result, "requests that came").value());
        Estimator.Result none = new Estimator(model(), SIMULATOR, 1).estimate(capture(400, 1, false, 0, 12));
        assertTrue(none.notes().stream().anyMatch(n -> n.contains("too few failures")));
    }

    @Test
    void emptyOrShortCaptureKeepsTheFilesValuesAndNotesIt() throws ConfigException {
        Estimator.Result empty = new Estimator(model(), SIMULATOR, 1).estimate(List.of());
        assertEquals(0, empty.model().requestsPerSecond());
        assertFalse(empty.notes().isEmpty());
        Estimator.Result shortCapture = new Estimator(model(), SIMULATOR, 1).estimate(capture(13, 1, false, 0, 7));
        assertEquals(0.2, shortCapture.model().workSeconds()[1]);
        assertTrue(shortCapture.notes().stream().anyMatch(n -> n.contains("too little quiet time")),
                shortCapture.notes().toString());
    }
}
