/**
 * What every process that hosts the decision module shares, free of wire and I/O: the order in which events
 * are told, timers, one decision a turn, and which proxy each order concerns. Thread rule: belongs to the
 * thread of its host.
 */
package rowanmoor.host;
