package rowanmoor.plan;

/**
 * Looks for the rate at which a goal fails, between one at which it may hold and one at which it may fail.
 * The ends are tried too: nothing is taken for granted. Monotone by nature of the matter; where chance makes
 * it otherwise, the answer lies between a rate that held and a higher one that failed.
 */
public final class Bisection {

    private final double from;
    private final double to;
    private final double within;
    private double held = Double.NaN;
    private double failed = Double.NaN;

    /** @param within how near the two sides must come, as a part of the rate; above 0 */
    public Bisection(double from, double to, double within) {
        if (!(from > 0 && to > from && within > 0)) {
            throw new IllegalArgumentException("from above 0, to above from, within above 0");
        }
        this.from = from;
        this.to = to;
        this.within = within;
    }

    /** The rate to be tried next, or 0 when the search is over. */
    public double nextRate() {
        if (Double.isNaN(failed)) {
            return held == to ? 0 : to;
        }
        if (Double.isNaN(held)) {
            return failed == from ? 0 : from;
        }
        return failed - held <= within * failed ? 0 : (held + failed) / 2;
    }

    public void recordResult(double rate, boolean kept) {
        if (kept) {
            held = rate;
        } else {
            failed = rate;
        }
    }

    /** The middle of what is left; 0 if the goal failed even at the low end, infinite if nothing failed. */
    public double result() {
        return Double.isNaN(failed) ? Double.POSITIVE_INFINITY : Double.isNaN(held) ? 0 : (held + failed) / 2;
    }
}
