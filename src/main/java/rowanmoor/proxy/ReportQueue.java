package rowanmoor.proxy;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.function.Predicate;
import rowanmoor.channel.Frame;

/**
 * The proxy's side of report acknowledgement: numbers reports within the process and keeps each until a
 * controller has acknowledged it. Reports in transit when a stream breaks are sent again on the next one.
 * Does no I/O.
 *
 * <p>At most {@value #MAX_UNACKNOWLEDGED} reports wait. Beyond that, counts stay in the tallies, so that the
 * next report covers a longer span and no count is lost.
 */
final class ReportQueue {

    static final int MAX_UNACKNOWLEDGED = 8;

    private final Tallies tallies;
    private final ArrayDeque<Frame.NumberedReport> unacknowledged = new ArrayDeque<>();
    private long lastReportNumber;
    private long lastSentNumber;

    ReportQueue(Tallies tallies) {
        this.tallies = tallies;
    }

    /** Queues a report of the counts since the last one, if there are any and the queue has room. */
    void enqueueReport(long nowNs) {
        if (unacknowledged.size() < MAX_UNACKNOWLEDGED) {
            Frame.Report report = tallies.takeReport(nowNs);
            if (!report.tallies().isEmpty() || !report.usages().isEmpty()) {
                unacknowledged.add(new Frame.NumberedReport(++lastReportNumber, report));
            }
        }
    }

    /** On a new stream, all unacknowledged reports must be sent again. */
    void onStreamOpened() {
        lastSentNumber = unacknowledged.isEmpty() ? lastReportNumber : unacknowledged.peek().number() - 1;
    }

    /**
     * Sends, in order, the reports that have not been sent on this stream.
     *
     * @param stream sends a frame; false if it has no room, which ends this call
     */
    void sendPending(Predicate<Frame> stream) {
        for (Frame.NumberedReport report : unacknowledged) {
            if (report.number() > lastSentNumber) {
                if (!stream.test(report)) {
                    return;
                }
                lastSentNumber = report.number();
            }
        }
    }

    /**
     * Sends reports to a controller whose protocol has no acknowledgements; a report is dropped once the
     * stream has taken it.
     */
    void sendUnnumbered(Predicate<Frame> stream) {
        for (Iterator<Frame.NumberedReport> all = unacknowledged.iterator(); all.hasNext();) {
            if (!stream.test(all.next().report())) {
                return;
            }
            all.remove();
        }
    }

    /** Drops the reports up to a number; returns false if that number has not been assigned yet. */
    boolean acknowledge(long upTo) {
        if (upTo > lastReportNumber) {
            return false;
        }
        lastSentNumber = Math.max(lastSentNumber, upTo);
        while (!unacknowledged.isEmpty() && unacknowledged.peek().number() <= upTo) {
            unacknowledged.poll();
        }
        return true;
    }

    /** Whether all counts are acknowledged. */
    boolean isSettled() {
        return unacknowledged.isEmpty() && tallies.isEmpty();
    }

    int unacknowledgedCount() {
        return unacknowledged.size();
    }
}
