package rowanmoor.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * A forecast held against steps of rising load on something that really runs. Which rate comes next, when
 * to stop and what the verdict is are chosen here; whoever plays the steps has no say in it.
 *
 * <p>The first step is well below the forecast, each next one higher by a fixed part, until the goal fails.
 * If it fails at the first, the steps go down until it holds. A step at which it fails is played once more,
 * and the mean of both counts: else the first bad chance on the way up would end the trial. The breaking
 * rate lies between the two steps
 * next to the failure: where a straight line through their services crosses the goal.
 */
public final class Trial {

    /** A forecast, written down before anything is played. */
    public record Forecast(String fleet, Interval rate, List<Finding> findings) { }

    /** One step: what it was asked, what came of it, hardest pressed first. */
    public record Step(double rate, double service, boolean goalMet, List<Finding> findings) { }

    /** What it came to. */
    public record Verdict(double rate, double relativeError, boolean rateMatches, Finding observed, boolean resourceMatches) { }

    private static final double FIRST = 0.7;
    private static final double UP = 1.07;
    private static final double DOWN = 0.85;
    private static final int STEPS_MOST = 14;
    /** Part of the seen rate by which a forecast may be off. */
    private static final double TOLERANCE = 0.15;
    /** Two places pressed nearly as hard as one another count as one: which is first is chance. */
    private static final double TIED = 0.75;

    private final Forecast forecast;
    private final Goal goal;
    private final double usual;
    private final List<Step> steps = new ArrayList<>();
    private boolean again;

    /** @param usual where steps begin if the forecast is that the goal fails at any rate */
    public Trial(Forecast forecast, Goal goal, double usual) {
        this.forecast = forecast;
        this.goal = goal;
        this.usual = usual;
    }

    public Forecast forecast() {
        return forecast;
    }

    public List<Step> steps() {
        return List.copyOf(steps);
    }

    /** The rate to be played next, or 0 if all is known (or as many steps were played as there may be). */
    public double nextRate() {
        if (steps.isEmpty()) {
            return forecast.rate().mean() > 0 ? FIRST * forecast.rate().mean() : usual;
        }
        Step last = steps.get(steps.size() - 1);
        if (!last.goalMet() && !again) {
            return last.rate();
        }
        boolean down = !steps.get(0).goalMet();
        if (last.goalMet() == down || steps.size() >= STEPS_MOST) {
            return 0;
        }
        return last.rate() * (down ? DOWN : UP);
    }

    public void recordStep(Step step) {
        Step last = steps.isEmpty() ? null : steps.get(steps.size() - 1);
        again = last != null && last.rate() == step.rate();
        if (again) {
            double mean = (last.service() + step.service()) / 2;
            boolean kept = mean >= goal.minService();
            steps.set(steps.size() - 1, new Step(step.rate(), mean, kept, last.findings()));
        } else {
            steps.add(step);
        }
    }

    /** The verdict; once {@link #nextRate} is 0. */
    public Verdict verdict() {
        Step held = null;
        Step failed = null;
        for (Step step : steps) {
            if (step.goalMet() && (held == null || step.rate() > held.rate())) {
                held = step;
            } else if (!step.goalMet() && (failed == null || step.rate() < failed.rate())) {
                failed = step;
            }
        }
        if (held == null && failed != null) { // failed however low it went
            boolean named = forecast.rate().mean() == 0;
            Finding seen = failed.findings().get(0);
            return new Verdict(0, named ? 0 : Double.POSITIVE_INFINITY, named, seen,
                    same(forecast.findings(), seen));
        }
        if (failed == null) {
            return new Verdict(Double.POSITIVE_INFINITY, -1, false, null, false);
        }
        double part = held.service() <= failed.service() ? 0.5 : Math.min(1, Math.max(0,
                (held.service() - goal.minService()) / (held.service() - failed.service())));
        double rate = held.rate() + part * (failed.rate() - held.rate());
        double off = forecast.rate().mean() / rate - 1;
        Finding seen = failed.findings().get(0);
        return new Verdict(rate, off, Math.abs(off) <= TOLERANCE, seen, same(forecast.findings(), seen));
    }

    /** Whether what was seen first is what was named first, or was named as pressed about as hard. */
    private static boolean same(List<Finding> named, Finding seen) {
        if (named.isEmpty()) {
            return false;
        }
        Finding first = named.get(0);
        return named.stream().anyMatch(f -> f.resource() == first.resource()
                && f.resource() == seen.resource() && f.location().equals(seen.location())
                && f.pressure() >= TIED * first.pressure());
    }
}
