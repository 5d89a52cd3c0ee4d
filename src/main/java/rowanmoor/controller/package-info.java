/**
 * The controller. Job: host one {@link rowanmoor.RoutingPolicy}, tell it what happens, carry out what it orders.
 * {@code Driver} and what it uses do no I/O and take their clock as arguments; {@code Controller} joins
 * them to sockets. Thread rule: everything belongs to the controller's one loop, but that {@code AsyncLineWriter}
 * writes the trace on a thread of its own.
 */
package rowanmoor.controller;
