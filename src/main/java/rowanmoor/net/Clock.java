package rowanmoor.net;

/** A monotonic clock. Its origin is arbitrary; times of different clocks cannot be compared. */
@FunctionalInterface
public interface Clock {

    /** Nanoseconds since an arbitrary origin; never less than an earlier result. */
    long now();

    /**
     * The machine's monotonic clock, offset by a million seconds so that also the times of events before its
     * origin are above 0. Times of different processes on one machine can be compared wherever the platform's
     * clock allows it.
     */
    static Clock system() {
        return () -> System.nanoTime() + 1_000_000_000_000_000L;
    }
}
