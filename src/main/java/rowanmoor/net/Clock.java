package rowanmoor.net;

/** A clock that only moves forward. Its zero has no meaning; two clocks cannot be compared. */
@FunctionalInterface
public interface Clock {

    /** Nanoseconds since an arbitrary moment; never less than an earlier answer. */
    long now();

    /**
     * The machine's monotonic clock, moved on by a million seconds so that it is above 0 also for what began
     * before it. On one machine all processes' answers can be compared where the platform's can.
     */
    static Clock system() {
        return () -> System.nanoTime() + 1_000_000_000_000_000L;
    }
}
