/**
 * Discovers backends: follows the roster over Consul's HTTP API and probes backends for their load.
 * {@code RosterView} interprets the roster's responses and does no I/O. Threading: all classes belong to the
 * thread of the controller's loop.
 */
package rowanmoor.discovery;
