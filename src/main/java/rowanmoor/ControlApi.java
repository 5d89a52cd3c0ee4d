package rowanmoor;

import java.util.List;
import java.util.Set;

/** What a {@link RoutingPolicy} hears, what it may order, and the settings it starts with. Free of any wire. */
public interface ControlApi {

    /** Never a table's number: on the channel it stands for all tables at once. */
    int ALL_TABLES = 65535;

    /** A backend's address: four bytes and a port, packed big end first. Ordered, and otherwise opaque. */
    record Backend(long id) implements Comparable<Backend> {
        @Override
        public int compareTo(Backend other) {
            return Long.compareUnsigned(id, other.id);
        }

        @Override
        public String toString() {
            return (id >> 40 & 255) + "." + (id >> 32 & 255) + "." + (id >> 24 & 255) + "." + (id >> 16 & 255)
                    + ":" + (id & 0xffff);
        }
    }

    /** What the list says of a backend. */
    enum Availability { GONE, READY, DRAINING }

    /** How a {@link Members} event applies to the list held so far. */
    enum CatalogUpdateKind { DELTA, FULL, CACHED, FAILED }

    /** What a repeat of a class's request does: no harm, dropped within a window, or takes effect again. */
    enum Idempotency { SAFE, KEYED, UNSAFE }

    /** Which backends drop a keyed repeat. */
    enum DedupScope { ALL, ZONE, CELL }

    /** When a proxy tries a request again. */
    enum RetryPolicy { NEVER, ONCE_UNRUN, ONCE, TWICE }

    /** What a level of {@link Admit} counts. */
    enum AdmissionMode { SHARE, RATE, OFF }

    /** One backend of the list. {@code startedAt} is 0 when that was long ago. */
    record Member(Backend backend, int zone, int kind, int cell, Availability availability, double weight,
            long startedAt) {

        /** The same backend, missing from a whole list. */
        public Member asGone() {
            return new Member(backend, zone, kind, cell, Availability.GONE, weight, startedAt);
        }
    }

    /** What one instance hears. Times are nanoseconds of the instance's own clock. */
    sealed interface Event { }

    record Members(CatalogUpdateKind kind, long version, List<Member> entries) implements Event { }

    record Timer(long token) implements Event { }

    /** One probe's answer; {@code load} has the values named in the settings, or is empty. */
    record Probed(Backend backend, boolean ok, int status, long latency,
            List<Double> load) implements Event { }

    record ProxyJoined(int proxy, int zone, double rate, boolean fresh) implements Event { }

    record ProxyLeft(int proxy) implements Event { }

    /** A proxy has applied the message that carried this mark and all before it. */
    record Applied(int proxy, int mark, long roundTrip) implements Event { }

    /** What the joined proxies of a zone met at a backend. {@code latency} is 0 if no try succeeded. */
    record Tally(Backend backend, int zone, long tries, long failed, long latency, long span,
            List<Double> load) implements Event { }

    /** What came to a proxy. {@code failed} were let in and never answered. */
    record Usage(int proxy, int classIndex, long requests, long failed, long span) implements Event { }

    /** What one instance orders. All orders of one round become one message for each proxy concerned. */
    sealed interface Action { }

    record Watch(boolean on) implements Action { }

    record Probe(Backend backend) implements Action { }

    record SetLine(int table, Backend backend, double weight) implements Action { }

    /**
     * Shuts a backend out of the tables of joined proxies, or lets it back.
     *
     * @param boundOnly whether only those are told that are bound to this instance's tables; the tables of
     *        others are not known, and they get new ones with their bind
     */
    record Withdraw(Backend backend, boolean withdrawn, boolean boundOnly) implements Action {

        /** Tells all who may hold it. */
        public Withdraw(Backend backend, boolean out) {
            this(backend, out, false);
        }
    }

    /** {@code classMask} is a bit set by class number; 0 means all. */
    record Admit(int table, int classMask, double level, RetryPolicy retry) implements Action { }

    record Mark(int number) implements Action { }

    /**
     * From now on the proxy uses this table for these classes.
     *
     * @param readmitted backends of the table that the proxy may still shut out on an earlier instance's order
     */
    record Bind(int proxy, int table, int classMask, List<Backend> readmitted) implements Action {

        /** Of a proxy that shuts out none of the table's backends. */
        public Bind(int proxy, int table, int classes) {
            this(proxy, table, classes, List.of());
        }
    }

    record TimerAt(long time, long token) implements Action { }

    record Log(String text) implements Action { }

    /**
     * What an instance holds of one backend; for records only, nothing is decided by it.
     *
     * @param load latency as it is judged, ns, or reported use, 0 to 1; 0 where it is not known
     * @param health by region, 0 resting to 1
     * @param tries the smoothed count by which it is judged
     * @param shutOut withdrawn, since it drains, is gone or is held back for being cold
     */
    record BackendEstimate(Backend backend, Availability availability, double load, List<Double> health, double correction,
            double warmth, double tries, boolean withdrawn) { }

    /** One request class. Empty sets of zones or kinds mean that every backend is open to it. */
    record ClassSpec(long aim, long deadline, double worth, double lateWorth, Idempotency idempotency, DedupScope dedupScope,
            long dedupWindow, boolean mutating, boolean ownZoneOnly, Set<Integer> onlyZones, Set<Integer> onlyKinds) {

        /** Equal for classes open to the same backends; those of confined classes sort first. */
        public String eligibilityKey() {
            return !restricted() + "/" + onlyZones + "/" + onlyKinds + "/" + ownZoneOnly;
        }

        public boolean restricted() {
            return ownZoneOnly || !onlyZones.isEmpty() || !onlyKinds.isEmpty();
        }

        /** Whether the settings allow this class at a backend, whatever the proxy's own zone. */
        public boolean isEligible(Member member) {
            return (onlyZones.isEmpty() || onlyZones.contains(member.zone()))
                    && (onlyKinds.isEmpty() || onlyKinds.contains(member.kind()));
        }
    }

    /** Which figures of load reports are heard, by place; -1 where the site has no such figure. */
    record ReportColumns(int queue, int utilization) { }

    /** The rules' figures. */
    record Rules(long maxTimeWithoutBackend, long drainGrace, long warmUpTime, double initialWarmth,
            double overloadFactor, long overloadSpan, long maxCatalogRetryDelay) {

        /** The least part of its capacity that a backend has by now, going by the stated ramp. */
        public double warmth(long startedAt, long now) {
            double age = startedAt <= 0 ? 1 : (now - startedAt) / (double) warmUpTime;
            return Math.min(1, initialWarmth + (1 - initialWarmth) * Math.max(0, age));
        }
    }

    /** The channel to the proxies: its limits and its usual pace. */
    record Channel(double linesPerSecond, double messageOverhead, double maxBacklog, int maxMessages, long messageWindow,
            long typicalDelay, long maxDelay) {

        /** The least mean time between messages to one proxy; 0 where they are not limited. */
        public double messageGap() {
            return maxMessages <= 0 ? 0 : (double) messageWindow / maxMessages;
        }
    }

    /** All that an instance is told at its start. */
    record Settings(int instances, int zones, List<ClassSpec> classes, boolean catalogOnRequest, boolean probesAllowed,
            AdmissionMode admission, int ejectAfterFailures, int proxies, int keyRanges, long reportInterval, double reportLinesPerSecond,
            double crossZonePrice, ReportColumns reportColumns, Rules rules, Channel channel) { }
}
