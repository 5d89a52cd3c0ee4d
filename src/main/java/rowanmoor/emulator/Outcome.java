package rowanmoor.emulator;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What a run came to.
 *
 * @param classes by class
 * @param backends by backend
 * @param controllers by rank
 * @param goodBySecond worth answered in time, by the second of arrival
 * @param offeredBySecond worth asked for, by the second of arrival
 * @param littlesLawError how far held time is off the sum of stays, as a part of it: Little's law on this run
 * @param events how many events were played
 */
public record Outcome(List<ClassStats> classes, List<BackendStats> backends, List<ControllerStats> controllers,
        double[] goodBySecond, double[] offeredBySecond, double littlesLawError, long events) {

    /** Requests of one class. Refusals count tries: by level, for want of a line. */
    public static final class ClassStats {
        public long offered;
        public long good;
        public long late;
        public long failed;
        public long tries;
        public long rejectedByLevel;
        public long noBackend;
        /** Microseconds of answered requests, from arrival. */
        public final Histogram latency = new Histogram(3_600_000_000L, 2);
        /** Summed time between reaching a backend and leaving it, and how many. */
        public double totalStaySeconds;
        public long stayCount;
    }

    /**
     * One backend: part of its cores' time in use with load at its height, the longest queue, refusals
     * and losses.
     */
    public static final class BackendStats {
        public double utilization;
        public int maxQueued;
        public long rejectedFull;
        public long refusedConnections;
        public long served;
        public int maxConnections;
        /** Of the served: summed time between reaching it and leaving it, and summed work, seconds. */
        public double staySeconds;
        public double workSeconds;
    }

    /** One controller. */
    public static final class ControllerStats {
        public double maxQueuedLines;
        public double totalQueuedLines;
        public int maxPendingReportLines;
        public long decisions;
    }

    /** Worth answered in time over worth asked for; 1 if nothing was. */
    public double service() {
        double good = 0;
        double asked = 0;
        for (int s = 0; s < goodBySecond.length; s++) {
            good += goodBySecond[s];
            asked += offeredBySecond[s];
        }
        return asked == 0 ? 1 : good / asked;
    }

    /** The same over the worst stretch of so many seconds. */
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
        ClassStats met = classes.get(cls);
        return met.offered == 0 ? 1 : met.good / (double) met.offered;
    }
}
