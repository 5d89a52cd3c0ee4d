/**
 * Captured load: what controllers heard of requests, backends and proxies, in segment files. Job: write
 * without holding up a decision, read what a crash or a bad disk has left, cut, scale and export. Thread
 * rule: {@code CaptureWriter} takes records from the controller's loop and writes on a thread of its own;
 * all else is for one thread.
 */
package rowanmoor.capture;
