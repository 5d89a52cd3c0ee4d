package rowanmoor.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Trials of forecasts against a fleet whose service is a simple function of the rate. */
class TrialTest {

    private static final Goal GOAL = new Goal(0.9, 0);

    private static Finding finding(Finding.Resource resource, String place, double pressure) {
        return new Finding(resource, place, pressure, "");
    }

    private static final List<Finding> CORES = List.of(finding(Finding.Resource.CORES, "fast in north", 1.1),
            finding(Finding.Resource.CORES, "fast in south", 1.08), finding(Finding.Resource.CHANNEL, "0", 0.4));

    private static Trial runTrial(double forecast, DoubleUnaryOperator service, Finding observed) {
        Trial trial = new Trial(new Trial.Forecast("fleet", Interval.of(List.of(forecast)), CORES), GOAL, 50);
        for (double rate = trial.nextRate(); rate > 0; rate = trial.nextRate()) {
            double stepService = service.applyAsDouble(rate);
            trial.recordStep(new Trial.Step(rate, stepService, stepService >= GOAL.minService(), List.of(observed)));
        }
        return trial;
    }

    /** Full service up to a capacity, then capacity over rate. */
    private static DoubleUnaryOperator withCapacity(double capacity) {
        return rate -> Math.min(1, capacity / rate);
    }

    @Test
    void loadRisesFromWellBelowTheForecastUntilTheGoalFails() {
        Trial trial = runTrial(100, withCapacity(90), CORES.get(0)); // service is 0.9 at 90 / 0.9 = 100
        assertEquals(70, trial.steps().get(0).rate(), 1e-9);
        assertFalse(trial.steps().get(trial.steps().size() - 1).goalMet());
        assertEquals(1, trial.steps().stream().filter(s -> !s.goalMet()).count());
        Trial.Verdict verdict = trial.verdict();
        assertEquals(100, verdict.rate(), 1);
        assertTrue(verdict.rateMatches() && verdict.resourceMatches(), verdict.toString());
    }

    @Test
    void forecastOffByAFifthIsAMissInBothDirections() {
        Trial.Verdict tooHigh = runTrial(100, withCapacity(70), CORES.get(0)).verdict();
        assertFalse(tooHigh.rateMatches(), tooHigh.toString());
        assertTrue(tooHigh.relativeError() > 0.15);
        Trial.Verdict tooLow = runTrial(100, withCapacity(120), CORES.get(0)).verdict();
        assertFalse(tooLow.rateMatches(), tooLow.toString());
        assertTrue(tooLow.relativeError() < -0.15);
    }

    @Test
    void stepsGoDownIfTheFirstStepFails() {
        Trial trial = runTrial(100, withCapacity(40), CORES.get(0));
        assertTrue(trial.steps().get(trial.steps().size() - 1).goalMet());
        assertEquals(40 / 0.9, trial.verdict().rate(), 1);
    }

    @Test
    void otherResourceIsAMissAndTiedLocationIsNot() {
        assertFalse(runTrial(100, withCapacity(90), finding(Finding.Resource.CHANNEL, "0", 2)).verdict()
                .resourceMatches());
        assertTrue(runTrial(100, withCapacity(90), CORES.get(1)).verdict().resourceMatches());
        assertFalse(runTrial(100, withCapacity(90), finding(Finding.Resource.CORES, "wide", 2)).verdict()
                .resourceMatches());
    }

    @Test
    void fleetThatNeverFailsIsAMissAndEndsTheTrial() {
        Trial trial = runTrial(100, r -> 1, CORES.get(0));
        assertTrue(trial.steps().size() < 20);
        assertFalse(trial.verdict().rateMatches());
    }

    @Test
    void oneUnluckyStepDoesNotEndATrial() {
        Trial trial = new Trial(new Trial.Forecast("fleet", Interval.of(List.of(100.0)), CORES), GOAL, 50);
        trial.recordStep(new Trial.Step(trial.nextRate(), 0.85, false, CORES));
        assertEquals(70, trial.nextRate(), 1e-9);
        trial.recordStep(new Trial.Step(trial.nextRate(), 0.97, true, CORES));
        assertTrue(trial.steps().get(0).goalMet());
        assertTrue(trial.nextRate() > 70);
    }

    @Test
    void forecastOfFailureAtAnyRateStartsAtTheFallbackRate() {
        Trial trial = runTrial(0, r -> 0.2, CORES.get(0));
        assertEquals(50, trial.steps().get(0).rate());
        assertTrue(trial.verdict().rateMatches() && trial.verdict().resourceMatches());
    }
}
