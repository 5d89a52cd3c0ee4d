/**
 * Capacity planning: what breaks first, how many backends hold a rate, what a loss does. Job: choose
 * which runs to make and say what they mean. No I/O: runs are asked of a {@link rowanmoor.plan.SimulationRunner}.
 * Thread rule: pure functions and unchanging values; {@code SimulationRunner} may play many at once.
 */
package rowanmoor.plan;
