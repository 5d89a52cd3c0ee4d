package rowanmoor.plan;

import rowanmoor.emulator.Outcome;

/**
 * What must hold.
 *
 * @param minService least worth answered in time over worth asked for, 0 to 1
 * @param minWorstService the same over the worst ten seconds; 0 for no such goal
 */
public record Goal(double minService, double minWorstService) {

    private static final int WINDOW = 10;

    public Goal {
        if (!(minService > 0 && minService <= 1 && minWorstService >= 0 && minWorstService <= 1)) {
            throw new IllegalArgumentException("a goal is a part above 0 and up to 1: " + minService + ", "
                    + minWorstService);
        }
    }

    /** Whether a run kept it. */
    public boolean isMet(Outcome outcome) {
        return outcome.service() >= minService && outcome.worstService(WINDOW) >= minWorstService;
    }
}
