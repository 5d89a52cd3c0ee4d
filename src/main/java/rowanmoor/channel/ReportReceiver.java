package rowanmoor.channel;

import java.util.HashMap;
import java.util.Map;

/**
 * A controller's half of report acknowledgement: takes each numbered report of a proxy's process once,
 * however often it is sent. It keeps one entry a proxy number. No I/O.
 */
public final class ReportReceiver {

    /** What becomes of a numbered report. */
    public enum Verdict {
        /** It is new: it counts, and is acknowledged. */
        ACCEPTED,
        /** It was taken before: it does not count, and is acknowledged again. */
        DUPLICATE,
        /** Reports between the last one and this are missing, which no stream can bring about. */
        GAP
    }

    private static final class Taken {
        private final long incarnation;
        private long upTo;
        private boolean streamIsNew;

        Taken(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    private final Map<Integer, Taken> byProxy = new HashMap<>();

    /**
     * A stream of a proxy begins. Its first new report may leave numbers out: another controller took those.
     *
     * @param incarnation names the proxy's process; reports of another one are numbered anew
     */
    public void streamOpened(int proxy, long incarnation) {
        Taken taken = byProxy.get(proxy);
        if (taken == null || taken.incarnation != incarnation) {
            taken = new Taken(incarnation);
            byProxy.put(proxy, taken);
        }
        taken.streamIsNew = true;
    }

    /** Judges a report of a proxy whose stream has begun. */
    public Verdict receive(int proxy, long number) {
        Taken taken = byProxy.get(proxy);
        if (number <= taken.upTo) {
            return Verdict.DUPLICATE;
        }
        if (number != taken.upTo + 1 && !taken.streamIsNew) {
            return Verdict.GAP;
        }
        taken.upTo = number;
        taken.streamIsNew = false;
        return Verdict.ACCEPTED;
    }

    /** The number up to which all reports of a proxy were taken, here or elsewhere; 0 for none. */
    public long lastAccepted(int proxy) {
        return byProxy.get(proxy).upTo;
    }
}
