package rowanmoor.net;

/** A clock that advances only when it is told to. */
public final class ManualClock implements Clock {

    private long nowNs;

    public ManualClock(long start) {
        nowNs = start;
    }

    @Override
    public long now() {
        return nowNs;
    }

    /**
     * Advances to a time.
     *
     * @throws IllegalArgumentException if the time is earlier than now
     */
    public void moveTo(long time) {
        if (time < nowNs) {
            throw new IllegalArgumentException("the clock cannot go back from " + nowNs + " to " + time);
        }
        nowNs = time;
    }
}
