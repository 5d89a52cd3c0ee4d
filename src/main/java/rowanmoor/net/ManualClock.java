package rowanmoor.net;

/** A clock that stands still until it is moved. */
public final class ManualClock implements Clock {

    private long nowNs;

    public ManualClock(long start) {
        nowNs = start;
    }

    @Override
    public long now() {
        return nowNs;
    }

    /** Moves to a time; an earlier one than now is refused. */
    public void moveTo(long time) {
        if (time < nowNs) {
            throw new IllegalArgumentException("the clock cannot go back from " + nowNs + " to " + time);
        }
        nowNs = time;
    }
}
