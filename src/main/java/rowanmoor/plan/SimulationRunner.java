package rowanmoor.plan;

import java.util.List;
import rowanmoor.emulator.Model;
import rowanmoor.emulator.Outcome;

/** Runs models in a simulation. */
@FunctionalInterface
public interface SimulationRunner {

    /** One outcome for each seed, in the order of the seeds. */
    List<Outcome> run(Model model, List<Long> seeds);
}
