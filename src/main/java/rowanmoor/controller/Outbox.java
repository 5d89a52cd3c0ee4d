package rowanmoor.controller;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * The send queue of the channel, limited to a rate of lines per second. Messages leave in order; each
 * occupies the channel for as long as its lines take at that rate. Lines that have not left count as queued.
 */
final class Outbox<M> {

    private static final double NS_PER_SECOND = 1e9;

    /**
     * A queued message.
     *
     * @param lines size of the message, including its head
     * @param queuedLines lines in the queue just after this message was added
     */
    record Entry<M>(int proxy, M message, double lines, long orderedAtNs, double queuedLines) { }

    private final double linesPerSecond;
    private final ArrayDeque<Entry<M>> queue = new ArrayDeque<>();
    private double queuedLines;
    private double maxQueuedLines;
    private double totalLines;
    /** When the first message in the queue began to occupy the channel. */
    private long headStartNs;

    Outbox(double linesPerSecond, long now) {
        this.linesPerSecond = linesPerSecond;
        this.headStartNs = now;
    }

    /** Appends a message and returns its queue entry. */
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

    /** Removes and returns the next message that has left by {@code now}, or null if there is none. */
    Entry<M> poll(long now) {
        if (queue.isEmpty() || nextSendAt() > now) {
            return null;
        }
        headStartNs = nextSendAt();
        Entry<M> entry = queue.poll();
        queuedLines = queue.isEmpty() ? 0 : queuedLines - entry.lines();
        return entry;
    }

    /** Returns when the first message leaves, or {@link Long#MAX_VALUE} if the queue is empty. */
    long nextSendAt() {
        return queue.isEmpty() ? Long.MAX_VALUE
                : headStartNs + (long) (queue.peek().lines() / linesPerSecond * NS_PER_SECOND);
    }

    /** Removes all messages to a proxy, whose stream has ended. */
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

    /** Returns the lines in the queue. */
    double queuedLines() {
        return queuedLines;
    }

    /** Returns the largest number of lines that were ever in the queue. */
    double maxQueuedLines() {
        return maxQueuedLines;
    }

    /** Returns all lines that were ever added. */
    double totalLines() {
        return totalLines;
    }

    /** Returns the number of messages in the queue. */
    int messages() {
        return queue.size();
    }
}
