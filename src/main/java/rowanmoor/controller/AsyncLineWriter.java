package rowanmoor.controller;

import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.Writer;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Writes lines on a thread of its own. {@link #offer} never blocks and never throws: after the first line
 * that cannot be written, or that does not fit into the queue, no more lines are accepted, which is reported
 * once. A file that ends early is preferred to one with a gap.
 */
final class AsyncLineWriter implements Closeable {

    private static final String END_MARKER = "\0"; // cannot be a line: offered lines are JSON
    private static final long CLOSE_TIMEOUT_MS = 2000;
    private static final int BUFFER_CHARS = 1 << 16;

    private final BufferedWriter out;
    private final long maxQueuedChars;
    private final Consumer<String> onFailure;
    private final LinkedBlockingQueue<String> queue = new LinkedBlockingQueue<>();
    private final AtomicLong queuedChars = new AtomicLong();
    private final AtomicBoolean failed = new AtomicBoolean();
    private final Thread thread;
    private volatile boolean closing;

    /**
     * @param maxQueuedChars capacity of the queue in characters
     * @param onFailure called at most once, on any thread, with the reason why writing has stopped
     */
    AsyncLineWriter(Writer target, long maxQueuedChars, Consumer<String> onFailure) {
        this.out = new BufferedWriter(target, BUFFER_CHARS);
        this.maxQueuedChars = maxQueuedChars;
        this.onFailure = onFailure;
        this.thread = new Thread(this::writeLoop, "lines");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns whether lines are still accepted. */
    boolean isOpen() {
        return !failed.get() && !closing;
    }

    /** Queues a line; discards it if the writer is closed or has failed. */
    void offer(String line) {
        if (!isOpen()) {
            return;
        }
        if (queuedChars.addAndGet(line.length()) > maxQueuedChars) {
            fail("write queue full: more than " + maxQueuedChars + " characters");
        } else {
            queue.add(line);
        }
    }

    private void fail(String reason) {
        if (!failed.getAndSet(true)) {
            onFailure.accept(reason);
        }
    }

    private void writeLoop() {
        try (out) {
            for (String line = queue.take(); !line.equals(END_MARKER); line = queue.take()) {
                out.write(line);
                out.write('\n');
                queuedChars.addAndGet(-line.length());
                if (queue.isEmpty()) {
                    out.flush();
                }
            }
        } catch (IOException e) {
            fail(String.valueOf(e.getMessage()));
            queue.clear();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops accepting lines and waits up to 2 s for the queued ones to be written. */
    @Override
    public void close() {
        closing = true;
        queue.add(END_MARKER);
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
