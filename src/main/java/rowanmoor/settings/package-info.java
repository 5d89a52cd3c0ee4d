/**
 * Reads what the platform tells an instance at its start, in both its forms. Job: paths to typed settings.
 * Thread rule: nothing is shared.
 */
package rowanmoor.settings;
