import java.util.ArrayDeque;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The channel of one controller: its messages leave one after another at a pace, and each takes a time to reach
 * its proxy. A message enters when its last byte has come.
 */
final class Channel {

    private record Waiting(long beginsAt, double lines) { }

    private final double linesPerSecond;
    private final long lateNs;
    private final ScheduledThreadPoolExecutor deliveries = new ScheduledThreadPoolExecutor(1, body -> {
        Thread thread = new Thread(body, "channel");
        thread.setDaemon(true);
        return thread;
    });
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private long freeAt = System.nanoTime();
    private double waiting;
    private double mostWaiting;
    private long mostWaitingAt;
    private double sent;

    Channel(double linesPerSecond, long lateMs) {
        this.linesPerSecond = linesPerSecond;
        this.lateNs = lateMs * 1_000_000;
    }

    /** Takes in a message; returns the lines that wait, those of messages that have begun to leave not counted. */
    synchronized double enter(double lines, Runnable delivery) {
        long now = System.nanoTime();
        while (!queue.isEmpty() && queue.peek().beginsAt() <= now) {
            waiting -= queue.poll().lines();
        }
        long beginsAt = Math.max(now, freeAt);
        freeAt = beginsAt + (long) (lines / linesPerSecond * 1e9);
        if (beginsAt > now) {
            queue.add(new Waiting(beginsAt, lines));
            waiting += lines;
        }
        sent += lines;
        if (waiting > mostWaiting) {
            mostWaiting = waiting;
            mostWaitingAt = now;
        }
        deliveries.schedule(delivery, freeAt + lateNs - now, TimeUnit.NANOSECONDS);
        return waiting;
    }

    synchronized double mostWaiting() {
        return mostWaiting;
    }

    /** Forgets the most waiting so far, for another phase of a case. */
    synchronized void resetMost() {
        mostWaiting = 0;
    }

    synchronized double sentLines() {
        return sent;
    }
}
