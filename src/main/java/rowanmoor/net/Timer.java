package rowanmoor.net;

/** A task scheduled for a time; timers with the same time run in the order in which they were set. */
public final class Timer implements Comparable<Timer> {

    final long time;
    private final long sequence;
    private Runnable task;

    Timer(long time, long number, Runnable task) {
        this.time = time;
        this.sequence = number;
        this.task = task;
    }

    /** Prevents the task from running; has no effect if it already has. */
    public void cancel() {
        task = null;
    }

    boolean isLive() {
        return task != null;
    }

    void run() {
        Runnable due = task;
        task = null;
        if (due != null) {
            due.run();
        }
    }

    @Override
    public int compareTo(Timer other) {
        int byTime = Long.compare(time, other.time);
        return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
}
