package rowanmoor.emulator;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * The result of a run.
 *
 * @param classes statistics by class
 * @param backends statistics by backend
 * @param controllers statistics by rank
 * @param goodBySecond worth answered in time, by the second of arrival
 * @param offeredBySecond worth of the requests that arrived, by the second of arrival
 * @param littlesLawError relative difference between the time that backends held requests and the sum of
 *     the requests' stays; by Little's law it is 0 up to rounding
 * @param events number of events processed
 */
public record Outcome(List<ClassStats> classes, List<BackendStats> backends,
        List<ControllerStats> controllers, double[] goodBySecond, double[] offeredBySecond,
        double littlesLawError, long events) {

    /**
     * Requests of one class. Rejections count tries: by the admission level, and because no backend could be
     * picked.
     */
    public static final class ClassStats {
        public long offered;
        public long good;
        public long late;
        public long failed;
        public long tries;
        public long rejectedByLevel;
        public long noBackend;
        /** Latency of answered requests from their arrival, in microseconds. */
        public final Histogram latency = new Histogram(3_600_000_000L, 2);
        /** Total time between reaching a backend and leaving it, and the number of such stays. */
        public double totalStaySeconds;
        public long stayCount;
    }

    /**
     * One backend: the fraction of its cores' time in use at peak load, the longest queue, rejected requests
     * and refused connections.
     */
    public static final class BackendStats {
        public double utilization;
        public int maxQueued;
        public long rejectedFull;
        public long refusedConnections;
        public long served;
        public int maxConnections;
        /**
         * Of served requests: total time between reaching the backend and leaving it, and total work,
         * seconds.
         */
        public double staySeconds;
        public double workSeconds;
    }

    /** One controller: lines and report lines that waited, and decisions. */
    public static final class ControllerStats {
        public double maxQueuedLines;
        public double totalQueuedLines;
        public int maxPendingReportLines;
        public long decisions;
    }

    /** Worth answered in time over worth offered; 1 if nothing was offered. */
    public double service() {
        double good = 0;
        double asked = 0;
        for (int s = 0; s < goodBySecond.length; s++) {
            good += goodBySecond[s];
            asked += offeredBySecond[s];
        }
        return asked == 0 ? 1 : good / asked;
    }

    /** Service over the worst interval of this many seconds. */
    public double worstService(int seconds) {
        double worst = 1;
        for (int from = 0; from + seconds <= goodBySecond.length; from++) {
            double good = 0;
            double asked = 0;
            for (int s = from; s < from + seconds; s++) {
                good += goodBySecond[s];
                asked += offeredBySecond[s];
            }
            worst = asked == 0 ? worst : Math.min(worst, good / asked);
        }
        return worst;
    }

    /** Service of one class: answered in time over offered. */
    public double service(int cls) {
        ClassStats stats = classes.get(cls);
        return stats.offered == 0 ? 1 : stats.good / (double) stats.offered;
    }
}
