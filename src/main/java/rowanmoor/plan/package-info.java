/**
 * Capacity planning: the rate at which a fleet fails and why, how many backends a rate needs, the impact of
 * losses. It chooses which simulations to run and interprets them. No I/O: simulations are run by a
 * {@link rowanmoor.plan.SimulationRunner}. Thread rule: pure functions and unchanging values;
 * {@code SimulationRunner} may play many at once.
 */
package rowanmoor.plan;
