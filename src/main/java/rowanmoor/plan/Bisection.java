package rowanmoor.plan;

/**
 * Searches for the rate at which a goal starts to fail, between a low and a high rate. Both ends are tried as
 * well. Service falls with the rate; where chance makes it otherwise, the result lies between a rate at which
 * the goal was met and a higher one at which it failed.
 */
public final class Bisection {

    private final double lowRate;
    private final double highRate;
    private final double precision;
    private double highestMet = Double.NaN;
    private double lowestFailed = Double.NaN;

    /**
     * Searches between two rates.
     *
     * @param within width of the final interval as a fraction of the rate, above 0
     * @throws IllegalArgumentException unless 0 &lt; from &lt; to and within is above 0
     */
    public Bisection(double from, double to, double within) {
        if (!(from > 0 && to > from && within > 0)) {
            throw new IllegalArgumentException("expected 0 < from < to and within > 0, got from " + from
                    + ", to " + to + ", within " + within);
        }
        this.lowRate = from;
        this.highRate = to;
        this.precision = within;
    }

    /** The rate to try next, or 0 when the search is over. */
    public double nextRate() {
        if (Double.isNaN(lowestFailed)) {
            return highestMet == highRate ? 0 : highRate;
        }
        if (Double.isNaN(highestMet)) {
            return lowestFailed == lowRate ? 0 : lowRate;
        }
        return lowestFailed - highestMet <= precision * lowestFailed ? 0 : (highestMet + lowestFailed) / 2;
    }

    /** Records whether the goal was met at a rate. */
    public void recordResult(double rate, boolean met) {
        if (met) {
            highestMet = rate;
        } else {
            lowestFailed = rate;
        }
    }

    /** The middle of the final interval; 0 if the goal failed at the low end, infinite if it never failed. */
    public double result() {
        return Double.isNaN(lowestFailed) ? Double.POSITIVE_INFINITY : Double.isNaN(highestMet) ? 0
                : (highestMet + lowestFailed) / 2;
    }
}
