package rowanmoor.plan;

import java.util.List;
import rowanmoor.emulator.Model;
import rowanmoor.emulator.Outcome;

/** Plays models; one outcome for each seed, in their order. */
@FunctionalInterface
public interface SimulationRunner {

    List<Outcome> run(Model model, List<Long> seeds);
}
