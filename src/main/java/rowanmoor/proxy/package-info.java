/**
 * A plain proxy. Job: forward HTTP/1.1 by the tables that its controller publishes, and report what it
 * meets. {@code Router}, {@code Tallies} and {@code Redial} do no I/O. Thread rule: all on one loop.
 */
package rowanmoor.proxy;
