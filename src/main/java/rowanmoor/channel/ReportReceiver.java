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

    private static final class ProxyState {
        private final long incarnation;
        private long lastAccepted;
        private boolean gapAllowed;

        ProxyState(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    private final Map<Integer, ProxyState> stateByProxy = new HashMap<>();

    /**
     * A stream of a proxy begins. Its first new report may leave numbers out: another controller took those.
     *
     * @param incarnation names the proxy's process; reports of another one are numbered anew
     */
    public void streamOpened(int proxy, long incarnation) {
        ProxyState taken = stateByProxy.get(proxy);
        if (taken == null || taken.incarnation != incarnation) {
            taken = new ProxyState(incarnation);
            stateByProxy.put(proxy, taken);
        }
        taken.gapAllowed = true;
    }

    /** Judges a report of a proxy whose stream has begun. */
    public Verdict receive(int proxy, long number) {
        ProxyState taken = stateByProxy.get(proxy);
        if (number <= taken.lastAccepted) {
            return Verdict.DUPLICATE;
        }
        if (number != taken.lastAccepted + 1 && !taken.gapAllowed) {
            return Verdict.GAP;
        }
        taken.lastAccepted = number;
        taken.gapAllowed = false;
        return Verdict.ACCEPTED;
    }

    /** The number up to which all reports of a proxy were taken, here or elsewhere; 0 for none. */
    public long lastAccepted(int proxy) {
        return stateByProxy.get(proxy).lastAccepted;
    }
}
