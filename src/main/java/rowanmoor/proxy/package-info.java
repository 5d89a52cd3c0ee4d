/**
 * A proxy that forwards HTTP/1.1 requests by the tables that its controller publishes and reports request
 * counts, failures and latencies. {@code Router}, {@code Tallies} and {@code Redial} do no I/O. All code of a
 * proxy runs on the thread of one loop.
 */
package rowanmoor.proxy;
