package rowanmoor.proxy;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.function.Predicate;
import rowanmoor.channel.Frame;

/**
 * A proxy's half of report acknowledgement: numbers reports within the process and keeps each until a
 * controller has acknowledged it. What is under way when a stream breaks is sent again on the next one. No
 * I/O.
 *
 * <p>At most {@value #UNACKNOWLEDGED_MOST} reports wait. Beyond that counts stay in the tallies, so that the
 * next report covers a longer span and nothing is lost.
 */
final class ReportQueue {

    static final int UNACKNOWLEDGED_MOST = 8;

    private final Tallies tallies;
    private final ArrayDeque<Frame.NumberedReport> unacknowledged = new ArrayDeque<>();
    private long lastNumber;
    private long sentUpTo;

    ReportQueue(Tallies tallies) {
        this.tallies = tallies;
    }

    /** Makes a report of what was counted since the last one, if there is anything and room for it. */
    void cut(long now) {
        if (unacknowledged.size() < UNACKNOWLEDGED_MOST) {
            Frame.Report report = tallies.takeReport(now);
            if (!report.tallies().isEmpty() || !report.usages().isEmpty()) {
                unacknowledged.add(new Frame.NumberedReport(++lastNumber, report));
            }
        }
    }

    /** On a new stream all that is not acknowledged has to be sent again. */
    void streamBegins() {
        sentUpTo = unacknowledged.isEmpty() ? lastNumber : unacknowledged.peek().number() - 1;
    }

    /** Sends what has not been sent on this stream, in order, as far as the stream takes it. */
    void send(Predicate<Frame> stream) {
        for (Frame.NumberedReport report : unacknowledged) {
            if (report.number() > sentUpTo) {
                if (!stream.test(report)) {
                    return;
                }
                sentUpTo = report.number();
            }
        }
    }

    /** The same towards a controller that acknowledges nothing: what its stream has taken is forgotten. */
    void sendUnnumbered(Predicate<Frame> stream) {
        for (Iterator<Frame.NumberedReport> all = unacknowledged.iterator(); all.hasNext();) {
            if (!stream.test(all.next().report())) {
                return;
            }
            all.remove();
        }
    }

    /** All reports up to a number were taken; false if there is none of that number yet. */
    boolean acknowledge(long upTo) {
        if (upTo > lastNumber) {
            return false;
        }
        sentUpTo = Math.max(sentUpTo, upTo);
        while (!unacknowledged.isEmpty() && unacknowledged.peek().number() <= upTo) {
            unacknowledged.poll();
        }
        return true;
    }

    /** Whether all that was counted is acknowledged. */
    boolean isSettled() {
        return unacknowledged.isEmpty() && tallies.isEmpty();
    }

    int unacknowledged() {
        return unacknowledged.size();
    }
}
