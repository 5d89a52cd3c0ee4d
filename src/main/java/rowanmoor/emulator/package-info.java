/**
 * A discrete-event model of clients, proxies, backends, roster and channel in simulated time, with the real
 * decision module, driver and proxy router deciding. Job: play a model and count. No I/O; a run is a pure
 * function of its model and seed. Thread rule: one run is one thread's; runs share nothing.
 */
package rowanmoor.emulator;
