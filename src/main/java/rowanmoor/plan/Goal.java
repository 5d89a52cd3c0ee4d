package rowanmoor.plan;

import rowanmoor.emulator.Outcome;

/**
 * What must hold.
 *
 * @param service least worth answered in time over worth asked for, 0 to 1
 * @param worst the same over the worst ten seconds; 0 for no such goal
 */
public record Goal(double service, double worst) {

    private static final int WINDOW = 10;

    public Goal {
        if (!(service > 0 && service <= 1 && worst >= 0 && worst <= 1)) {
            throw new IllegalArgumentException("a goal is a part above 0 and up to 1: " + service + ", "
                    + worst);
        }
    }

    /** Whether a run kept it. */
    public boolean kept(Outcome outcome) {
        return outcome.service() >= service && outcome.worst(WINDOW) >= worst;
    }
}
