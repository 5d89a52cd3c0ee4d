/**
 * Code shared by all processes that host a routing policy, without wire formats or I/O: the order in which
 * events are delivered, timers, one decision per tick, and the proxies that each action concerns. Not thread
 * safe: all calls come from the thread of the host.
 */
package rowanmoor.host;
