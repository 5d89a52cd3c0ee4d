package rowanmoor.platform;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on a separate thread, so that a blocked reader of the output never blocks the loop. Lines
 * that do not fit in the queue are dropped; their number is written after the next line.
 */
final class AsyncLineLog {

    private static final int MAX_QUEUED_LINES = 512;
    private static final int MAX_LINE_CHARS = 2000;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;

    AsyncLineLog(PrintStream out) {
        this.out = out;
        Thread writer = new Thread(this::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Queues a line, cut to {@code MAX_LINE_CHARS}. Safe on any thread; never blocks. */
    void log(String text) {
        if (!queue.offer(text.length() > MAX_LINE_CHARS ? text.substring(0, MAX_LINE_CHARS) + "..." : text)) {
            dropped.incrementAndGet();
        }
    }

    private void writeLines() {
        try {
            while (true) {
                out.println(queue.take());
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
