package rowanmoor.net;

/** A clock that stands still until it is moved. */
public final class ManualClock implements Clock {

    private long now;

    public ManualClock(long start) {
        now = start;
    }

    @Override
    public long now() {
        return now;
    }

    /** Moves to a time; an earlier one than now is refused. */
    public void moveTo(long time) {
        if (time < now) {
            throw new IllegalArgumentException("the clock cannot go back from " + now + " to " + time);
        }
        now = time;
    }
}
