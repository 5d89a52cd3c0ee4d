package rowanmoor.plan;

import rowanmoor.emulator.Outcome;

/**
 * A service goal.
 *
 * @param minService least worth answered in time over worth offered, above 0 and up to 1
 * @param minWorstService the same over the worst ten seconds, 0 to 1; 0 for no such goal
 */
public record Goal(double minService, double minWorstService) {

    private static final int WORST_WINDOW_SECONDS = 10;

    public Goal {
        if (!(minService > 0 && minService <= 1 && minWorstService >= 0 && minWorstService <= 1)) {
            throw new IllegalArgumentException(
                    "a service goal must be above 0 and at most 1, and its worst window 0 to 1: " + minService
                    + ", " + minWorstService);
        }
    }

    /** Whether a run met the goal. */
    public boolean isMet(Outcome outcome) {
        return outcome.service() >= minService && outcome.worstService(WORST_WINDOW_SECONDS)
                >= minWorstService;
    }
}
