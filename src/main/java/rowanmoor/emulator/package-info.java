/**
 * A discrete-event simulation of clients, proxies, backends, the roster and the channel in simulated time.
 * The decision module, the driver and the proxy's router are the production classes. No I/O: a run is a pure
 * function of its model and seed. A run belongs to one thread; runs share no state.
 */
package rowanmoor.emulator;
