/**
 * Capacity planning: the rate at which a fleet fails and why, how many backends a rate needs, the impact of
 * losses. It chooses which simulations to run and interprets them. No I/O: simulations are run by a
 * {@link rowanmoor.plan.SimulationRunner}. The classes are confined to one thread or
 * immutable; a {@code SimulationRunner} may run many simulations at once.
 */
package rowanmoor.plan;
