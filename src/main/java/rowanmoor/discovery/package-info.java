/**
 * What there is to send to. Job: follow the roster (Consul's HTTP API) and probe backends for their load.
 * {@code RosterView} decides what an answer means and does no I/O. Thread rule: all on the controller's
 * loop.
 */
package rowanmoor.discovery;
