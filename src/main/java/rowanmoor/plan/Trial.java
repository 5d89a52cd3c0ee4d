package rowanmoor.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Compares a forecast with steps of rising load on a running system. This class alone decides the next rate,
 * when to stop and the verdict; its caller only runs the steps.
 *
 * <p>The first step is well below the forecast and each next one is higher by a fixed factor until the goal
 * fails. If it fails at the first step, the steps go down until the goal is met. A step that fails is run
 * once more and the mean of both counts; otherwise one unlucky run on the way up would end the trial. The
 * breaking rate lies between the two steps next to the failure, where a straight line through their services
 * crosses the goal.
 */
public final class Trial {

    /** A forecast, made before any step is run. */
    public record Forecast(String fleet, Interval rate, List<Finding> findings) { }

    /** One step: its rate, its service, whether the goal was met, and the findings by falling pressure. */
    public record Step(double rate, double service, boolean goalMet, List<Finding> findings) { }

    /**
     * The result of a trial.
     *
     * @param rate observed breaking rate; 0 if every step failed, infinite if none did
     * @param relativeError forecast over observed rate less 1; infinite if the forecast missed a failure at
     *     any rate, -1 if no step failed
     * @param rateMatches whether the forecast rate is within the tolerance
     * @param observed the first finding at the failure, or null if no step failed
     * @param resourceMatches whether the forecast named that resource
     */
    public record Verdict(double rate, double relativeError, boolean rateMatches, Finding observed,
            boolean resourceMatches) { }

    private static final double FIRST_STEP_FACTOR = 0.7;
    private static final double STEP_UP_FACTOR = 1.07;
    private static final double STEP_DOWN_FACTOR = 0.85;
    private static final int MAX_STEPS = 14;
    /** Largest relative error of a forecast that counts as right. */
    private static final double RATE_TOLERANCE = 0.15;
    /**
     * Findings of at least this fraction of the first one's pressure count as tied with it: which of them
     * ranks first is chance.
     */
    private static final double TIED_PRESSURE_FRACTION = 0.75;

    private final Forecast forecast;
    private final Goal goal;
    private final double fallbackRate;
    private final List<Step> steps = new ArrayList<>();
    private boolean repeated;

    /**
     * A trial without any steps yet.
     *
     * @param fallbackRate rate of the first step if the forecast is that the goal fails at any rate
     */
    public Trial(Forecast forecast, Goal goal, double fallbackRate) {
        this.forecast = forecast;
        this.goal = goal;
        this.fallbackRate = fallbackRate;
    }

    /** The forecast under test. */
    public Forecast forecast() {
        return forecast;
    }

    /** The steps so far, in order. */
    public List<Step> steps() {
        return List.copyOf(steps);
    }

    /** The rate of the next step, or 0 if the result is known or the limit on steps is reached. */
    public double nextRate() {
        if (steps.isEmpty()) {
            return forecast.rate().mean() > 0 ? FIRST_STEP_FACTOR * forecast.rate().mean() : fallbackRate;
        }
        Step last = steps.get(steps.size() - 1);
        if (!last.goalMet() && !repeated) {
            return last.rate();
        }
        boolean down = !steps.get(0).goalMet();
        if (last.goalMet() == down || steps.size() >= MAX_STEPS) {
            return 0;
        }
        return last.rate() * (down ? STEP_DOWN_FACTOR : STEP_UP_FACTOR);
    }

    /** Records a step; one at the rate of the previous step is averaged with it. */
    public void recordStep(Step step) {
        Step last = steps.isEmpty() ? null : steps.get(steps.size() - 1);
        repeated = last != null && last.rate() == step.rate();
        if (repeated) {
            double mean = (last.service() + step.service()) / 2;
            boolean met = mean >= goal.minService();
            steps.set(steps.size() - 1, new Step(step.rate(), mean, met, last.findings()));
        } else {
            steps.add(step);
        }
    }

    /** The verdict, once {@link #nextRate} is 0. */
    public Verdict verdict() {
        Step highestMet = null;
        Step lowestFailed = null;
        for (Step step : steps) {
            if (step.goalMet() && (highestMet == null || step.rate() > highestMet.rate())) {
                highestMet = step;
            } else if (!step.goalMet() && (lowestFailed == null || step.rate() < lowestFailed.rate())) {
                lowestFailed = step;
            }
        }
        if (highestMet == null && lowestFailed != null) { // the goal failed at every rate
            boolean predicted = forecast.rate().mean() == 0;
            Finding observed = lowestFailed.findings().get(0);
            return new Verdict(0, predicted ? 0 : Double.POSITIVE_INFINITY, predicted, observed,
                    matchesForecast(forecast.findings(), observed));
        }
        if (lowestFailed == null) {
            return new Verdict(Double.POSITIVE_INFINITY, -1, false, null, false);
        }
        double fraction = highestMet.service() <= lowestFailed.service() ? 0.5
                : Math.min(1, Math.max(0, (highestMet.service() - goal.minService())
                / (highestMet.service() - lowestFailed.service())));
        double rate = highestMet.rate() + fraction * (lowestFailed.rate() - highestMet.rate());
        double relativeError = forecast.rate().mean() / rate - 1;
        Finding observed = lowestFailed.findings().get(0);
        return new Verdict(rate, relativeError, Math.abs(relativeError) <= RATE_TOLERANCE, observed,
                matchesForecast(forecast.findings(), observed));
    }

    /** Whether the observed finding is the first one of the forecast or tied with it. */
    private static boolean matchesForecast(List<Finding> predicted, Finding observed) {
        if (predicted.isEmpty()) {
            return false;
        }
        Finding first = predicted.get(0);
        return predicted.stream().anyMatch(f -> f.resource() == first.resource()
                && f.resource() == observed.resource() && f.location().equals(observed.location())
                && f.pressure() >= TIED_PRESSURE_FRACTION * first.pressure());
    }
}
