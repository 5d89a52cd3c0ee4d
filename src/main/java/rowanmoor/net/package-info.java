/**
 * Byte streams, timers and wake-ups on one thread: turns readiness into callbacks and bounds the write
 * queues. Not thread-safe: everything here belongs to the thread that runs its {@link rowanmoor.net.Loop};
 * only {@link rowanmoor.net.Loop#post} and {@link rowanmoor.net.Loop#stop} may be called from other threads.
 */
package rowanmoor.net;
