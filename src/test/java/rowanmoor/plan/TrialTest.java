package rowanmoor.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Trials of forecasts against a fleet that is one line of arithmetic. */
class TrialTest {

    private static final Goal GOAL = new Goal(0.9, 0);

    private static Finding finding(Finding.Resource resource, String place, double pressure) {
        return new Finding(resource, place, pressure, "");
    }

    private static final List<Finding> CORES = List.of(finding(Finding.Resource.CORES, "fast in north", 1.1),
            finding(Finding.Resource.CORES, "fast in south", 1.08), finding(Finding.Resource.CHANNEL, "0", 0.4));

    private static Trial play(double forecast, DoubleUnaryOperator service, Finding seen) {
        Trial trial = new Trial(new Trial.Forecast("fleet", Interval.of(List.of(forecast)), CORES), GOAL, 50);
        for (double rate = trial.nextRate(); rate > 0; rate = trial.nextRate()) {
            double its = service.applyAsDouble(rate);
            trial.recordStep(new Trial.Step(rate, its, its >= GOAL.minService(), List.of(seen)));
        }
        return trial;
    }

    /** Full service up to a rate, then so much of it as that rate is of what is asked. */
    private static DoubleUnaryOperator full(double rate) {
        return r -> Math.min(1, rate / r);
    }

    @Test
    void loadIsRaisedFromWellBelowUntilTheGoalFails() {
        Trial trial = play(100, full(90), CORES.get(0)); // 0.9 of 100 is 90
        assertEquals(70, trial.steps().get(0).rate(), 1e-9);
        assertFalse(trial.steps().get(trial.steps().size() - 1).goalMet());
        assertEquals(1, trial.steps().stream().filter(s -> !s.goalMet()).count());
        Trial.Verdict verdict = trial.verdict();
        assertEquals(100, verdict.rate(), 1);
        assertTrue(verdict.rateMatches() && verdict.resourceMatches(), verdict.toString());
    }

    @Test
    void aForecastThatIsAFifthOffIsAMissEitherWay() {
        Trial.Verdict late = play(100, full(70), CORES.get(0)).verdict();
        assertFalse(late.rateMatches(), late.toString());
        assertTrue(late.relativeError() > 0.15);
        Trial.Verdict early = play(100, full(120), CORES.get(0)).verdict();
        assertFalse(early.rateMatches(), early.toString());
        assertTrue(early.relativeError() < -0.15);
    }

    @Test
    void stepsGoDownIfTheFirstFails() {
        Trial trial = play(100, full(40), CORES.get(0));
        assertTrue(trial.steps().get(trial.steps().size() - 1).goalMet());
        assertEquals(40 / 0.9, trial.verdict().rate(), 1);
    }

    @Test
    void anotherResourceIsAMissAndATiedPlaceIsNot() {
        assertFalse(play(100, full(90), finding(Finding.Resource.CHANNEL, "0", 2)).verdict().resourceMatches());
        assertTrue(play(100, full(90), CORES.get(1)).verdict().resourceMatches());
        assertFalse(play(100, full(90), finding(Finding.Resource.CORES, "wide", 2)).verdict().resourceMatches());
    }

    @Test
    void aFleetThatNeverFailsIsAMissAndEnds() {
        Trial trial = play(100, r -> 1, CORES.get(0));
        assertTrue(trial.steps().size() < 20);
        assertFalse(trial.verdict().rateMatches());
    }

    @Test
    void oneBadChanceOnTheWayUpDoesNotEndATrial() {
        Trial trial = new Trial(new Trial.Forecast("fleet", Interval.of(List.of(100.0)), CORES), GOAL, 50);
        trial.recordStep(new Trial.Step(trial.nextRate(), 0.85, false, CORES));
        assertEquals(70, trial.nextRate(), 1e-9);
        trial.recordStep(new Trial.Step(trial.nextRate(), 0.97, true, CORES));
        assertTrue(trial.steps().get(0).goalMet());
        assertTrue(trial.nextRate() > 70);
    }

    @Test
    void aForecastOfFailureAtAnyRateBeginsAtTheUsualRate() {
        Trial trial = play(0, r -> 0.2, CORES.get(0));
        assertEquals(50, trial.steps().get(0).rate());
        assertTrue(trial.verdict().rateMatches() && trial.verdict().resourceMatches());
    }
}
