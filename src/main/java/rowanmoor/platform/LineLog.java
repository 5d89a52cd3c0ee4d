package rowanmoor.platform;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The log: plain lines on a thread of its own, so that a reader that stands still never holds up the loop.
 * What does not fit is dropped and counted; the next line that fits says how many were.
 */
final class LineLog {

    private static final int LINES_MOST = 512;
    private static final int LINE_MOST = 2000;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(LINES_MOST);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;

    LineLog(PrintStream out) {
        this.out = out;
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Any thread. */
    void line(String text) {
        if (!lines.offer(text.length() > LINE_MOST ? text.substring(0, LINE_MOST) + "..." : text)) {
            dropped.incrementAndGet();
        }
    }

    private void write() {
        try {
            while (true) {
                out.println(lines.take());
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    out.println("log lines dropped: " + lost);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
