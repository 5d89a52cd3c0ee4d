/**
 * Byte streams, timers and wake-ups on one thread. Job: turn readiness into calls, and bound what waits
 * to be written. Thread rule: everything here belongs to the thread that runs its {@link
 * rowanmoor.net.Loop}; only {@link rowanmoor.net.Loop#post} and {@link rowanmoor.net.Loop#stop} may be
 * called from others.
 */
package rowanmoor.net;
