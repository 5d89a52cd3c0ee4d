package rowanmoor.controller;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * The channel's queue: messages leave one after the other, each taking as long as its lines take at the
 * stated pace. What has not left counts as waiting.
 */
final class Outbox<M> {

    private static final double SECOND = 1e9;

    /** A message under way to a proxy. {@code lines} has the head in it. */
    record Entry<M>(int proxy, M message, double lines, long orderedAt, double waitingThen) { }

    private final double linesPerSecond;
    private final ArrayDeque<Entry<M>> queue = new ArrayDeque<>();
    private double waiting;
    private double mostWaiting;
    private double totalLines;
    private long freeAt;

    Outbox(double linesPerSecond, long now) {
        this.linesPerSecond = linesPerSecond;
        this.freeAt = now;
    }

    /** Puts a message at the end; answers the lines that wait with it. */
    Entry<M> add(long now, int proxy, M message, double lines) {
        if (queue.isEmpty()) {
            freeAt = Math.max(freeAt, now);
        }
        waiting += lines;
        totalLines += lines;
        mostWaiting = Math.max(mostWaiting, waiting);
        Entry<M> entry = new Entry<>(proxy, message, lines, now, waiting);
        queue.add(entry);
        return entry;
    }

    /** The next message that has left by now, or null. */
    Entry<M> poll(long now) {
        if (queue.isEmpty() || nextAt() > now) {
            return null;
        }
        freeAt = nextAt();
        Entry<M> entry = queue.poll();
        waiting = queue.isEmpty() ? 0 : waiting - entry.lines();
        return entry;
    }

    /** When the first message has left, or a very long time. */
    long nextAt() {
        return queue.isEmpty() ? Long.MAX_VALUE
                : freeAt + (long) (queue.peek().lines() / linesPerSecond * SECOND);
    }

    /** A stream broke: what waits for its proxy is lost. */
    void drop(int proxy) {
        for (Iterator<Entry<M>> entries = queue.iterator(); entries.hasNext();) {
            Entry<M> entry = entries.next();
            if (entry.proxy() == proxy) {
                entries.remove();
                waiting -= entry.lines();
            }
        }
        waiting = queue.isEmpty() ? 0 : waiting;
    }

    double waiting() {
        return waiting;
    }

    double mostWaiting() {
        return mostWaiting;
    }

    double totalLines() {
        return totalLines;
    }

    int messages() {
        return queue.size();
    }
}
