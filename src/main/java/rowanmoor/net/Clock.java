package rowanmoor.net;

/** A clock that only moves forward. Its zero has no meaning; two clocks cannot be compared. */
@FunctionalInterface
public interface Clock {

    /** Nanoseconds since an arbitrary moment; never less than an earlier answer. */
    long now();

    /** The machine's monotonic clock. */
    static Clock system() {
        return System::nanoTime;
    }
}
