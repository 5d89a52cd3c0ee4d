/**
 * The controller process. It hosts one {@link rowanmoor.RoutingPolicy}, feeds it the events from the roster,
 * the probes and the proxies' streams, and executes its actions.
 *
 * <p>{@code Driver} and its parts do no I/O and take the time as an argument; {@code Controller} connects
 * them to sockets. Threading: all classes are confined to the controller's event loop, except that
 * {@code AsyncLineWriter} writes the trace on a thread of its own.
 */
package rowanmoor.controller;
