/**
 * Captured load: the reports that controllers receive on requests, backends and proxies, in segment files.
 * Writing does not delay decisions; reading recovers all intact records after a crash or disk damage;
 * captures can be cut, scaled and exported. {@code CaptureWriter} takes records from the controller's loop
 * and writes on its own thread; all other classes are for use by one thread.
 */
package rowanmoor.capture;
