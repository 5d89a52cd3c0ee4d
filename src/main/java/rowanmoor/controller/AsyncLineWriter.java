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
 * Lines written by a thread of its own. {@link #offer} never waits and never throws: with the first line that
 * cannot be written, or that does not fit into what may wait, the file ends for good, which is told once. A
 * file with a gap would be worse than a short one.
 */
final class AsyncLineWriter implements Closeable {

    private static final String END = "\0"; // no line: offered lines are JSON
    private static final long CLOSE_MS = 2000;

    private final BufferedWriter out;
    private final long charsMost;
    private final Consumer<String> lost;
    private final LinkedBlockingQueue<String> queue = new LinkedBlockingQueue<>();
    private final AtomicLong waiting = new AtomicLong();
    private final AtomicBoolean over = new AtomicBoolean();
    private final Thread thread;
    private volatile boolean closing;

    /**
     * @param charsMost characters that may wait to be written
     * @param lost hears once why no more is written, on any thread
     */
    AsyncLineWriter(Writer to, long charsMost, Consumer<String> lost) {
        this.out = new BufferedWriter(to, 1 << 16);
        this.charsMost = charsMost;
        this.lost = lost;
        this.thread = new Thread(this::run, "lines");
        thread.setDaemon(true);
        thread.start();
    }

    /** Whether lines are still taken. */
    boolean isOpen() {
        return !over.get() && !closing;
    }

    void offer(String line) {
        if (!isOpen()) {
            return;
        }
        if (waiting.addAndGet(line.length()) > charsMost) {
            end("more than " + charsMost + " characters wait to be written");
        } else {
            queue.add(line);
        }
    }

    private void end(String why) {
        if (!over.getAndSet(true)) {
            lost.accept(why);
        }
    }

    private void run() {
        try (out) {
            for (String line = queue.take(); !line.equals(END); line = queue.take()) {
                out.write(line);
                out.write('\n');
                waiting.addAndGet(-line.length());
                if (queue.isEmpty()) {
                    out.flush();
                }
            }
        } catch (IOException e) {
            end(String.valueOf(e.getMessage()));
            queue.clear();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes what waits, for two seconds at the most. */
    @Override
    public void close() {
        closing = true;
        queue.add(END);
        try {
            thread.join(CLOSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
