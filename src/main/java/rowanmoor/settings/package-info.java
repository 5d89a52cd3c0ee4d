/**
 * Reads the settings of an instance, from key=value lines or from a nested object, into typed settings. No
 * state is shared between threads.
 */
package rowanmoor.settings;
