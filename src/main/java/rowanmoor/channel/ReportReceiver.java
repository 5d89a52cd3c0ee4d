package rowanmoor.channel;

import java.util.HashMap;
import java.util.Map;

/**
 * The receiving side of report acknowledgement: accepts each numbered report of a proxy process exactly
 * once, however often it is sent. Keeps one entry per proxy number. Does no I/O.
 */
public final class ReportReceiver {

    /** What to do with a numbered report. */
    public enum Verdict {
        /** New: count it and acknowledge it. */
        ACCEPTED,
        /** Accepted before: do not count it, but acknowledge it again. */
        DUPLICATE,
        /** Reports are missing before this one, which an ordered stream rules out: a protocol error. */
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
     * Starts a new stream of a proxy. The first new report on it may skip numbers, since another controller
     * may have accepted the reports in between.
     *
     * @param incarnation identifies the proxy process; a new process numbers its reports from 1 again
     */
    public void streamOpened(int proxy, long incarnation) {
        ProxyState state = stateByProxy.get(proxy);
        if (state == null || state.incarnation != incarnation) {
            state = new ProxyState(incarnation);
            stateByProxy.put(proxy, state);
        }
        state.gapAllowed = true;
    }

    /** Classifies a report of a proxy for which {@link #streamOpened} was called, and records it if new. */
    public Verdict receive(int proxy, long number) {
        ProxyState state = stateByProxy.get(proxy);
        if (number <= state.lastAccepted) {
            return Verdict.DUPLICATE;
        }
        if (number != state.lastAccepted + 1 && !state.gapAllowed) {
            return Verdict.GAP;
        }
        state.lastAccepted = number;
        state.gapAllowed = false;
        return Verdict.ACCEPTED;
    }

    /**
     * Returns the number up to which all reports of a proxy have been accepted, by this controller or
     * another; 0 for none.
     */
    public long lastAccepted(int proxy) {
        return stateByProxy.get(proxy).lastAccepted;
    }
}
