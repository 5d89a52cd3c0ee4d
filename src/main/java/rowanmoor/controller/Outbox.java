package rowanmoor.controller;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * The channel's queue: messages leave one after the other, each taking as long as its lines take at the
 * stated pace. What has not left counts as waiting.
 */
final class Outbox<M> {

    private static final double NS_PER_SECOND = 1e9;

    /** A message under way to a proxy. {@code lines} has the head in it. */
    record Entry<M>(int proxy, M message, double lines, long orderedAtNs, double queuedLines) { }

    private final double linesPerSecond;
    private final ArrayDeque<Entry<M>> queue = new ArrayDeque<>();
    private double queuedLines;
    private double maxQueuedLines;
    private double totalLines;
    private long headStartNs;

    Outbox(double linesPerSecond, long now) {
        this.linesPerSecond = linesPerSecond;
        this.headStartNs = now;
    }

    /** Puts a message at the end; answers the lines that wait with it. */
    Entry<M> add(long now, int proxy, M message, double lines) {
        if (queue.isEmpty()) {
            headStartNs = Math.max(headStartNs, now);
        }
        queuedLines += lines;
        totalLines += lines;
        maxQueuedLines = Math.max(maxQueuedLines, queuedLines);
        Entry<M> entry = new Entry<>(proxy, message, lines, now, queuedLines);
        queue.add(entry);
        return entry;
    }

    /** The next message that has left by now, or null. */
    Entry<M> poll(long now) {
        if (queue.isEmpty() || nextSendAt() > now) {
            return null;
        }
        headStartNs = nextSendAt();
        Entry<M> entry = queue.poll();
        queuedLines = queue.isEmpty() ? 0 : queuedLines - entry.lines();
        return entry;
    }

    /** When the first message has left, or a very long time. */
    long nextSendAt() {
        return queue.isEmpty() ? Long.MAX_VALUE
                : headStartNs + (long) (queue.peek().lines() / linesPerSecond * NS_PER_SECOND);
    }

    /** A stream broke: what waits for its proxy is lost. */
    void discard(int proxy) {
        for (Iterator<Entry<M>> entries = queue.iterator(); entries.hasNext();) {
            Entry<M> entry = entries.next();
            if (entry.proxy() == proxy) {
                entries.remove();
                queuedLines -= entry.lines();
            }
        }
        queuedLines = queue.isEmpty() ? 0 : queuedLines;
    }

    double queuedLines() {
        return queuedLines;
    }

    double maxQueuedLines() {
        return maxQueuedLines;
    }

    double totalLines() {
        return totalLines;
    }

    int messages() {
        return queue.size();
    }
}
