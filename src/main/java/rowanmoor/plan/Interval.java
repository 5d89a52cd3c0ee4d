package rowanmoor.plan;

import java.util.List;

/** A mean over samples with its 95% confidence interval (Student's t). */
public record Interval(double mean, double low, double high, int sampleCount) {

    // Two-sided 95% quantiles of Student's t, by degrees of freedom from 1.
    private static final double[] T_QUANTILES = {12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306,
            2.262, 2.228};
    private static final double NORMAL_QUANTILE = 1.96;

    /** Mean and interval of the values; with fewer than two the interval is the mean alone. */
    public static Interval of(List<Double> values) {
        int n = values.size();
        double mean = values.stream().mapToDouble(v -> v).average().orElse(0);
        if (n < 2) {
            return new Interval(mean, mean, mean, n);
        }
        double squares = values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum();
        double t = n - 2 < T_QUANTILES.length ? T_QUANTILES[n - 2] : NORMAL_QUANTILE;
        double half = t * Math.sqrt(squares / (n - 1) / n);
        return new Interval(mean, mean - half, mean + half, n);
    }
}
