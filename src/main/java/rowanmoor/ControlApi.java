package rowanmoor;

import java.util.List;
import java.util.Set;

/**
 * The events that a {@link RoutingPolicy} handles, the actions that it returns, and its settings. Independent
 * of any wire format. All times and durations are in nanoseconds. Trace files hold these records by the names
 * of the types and, unless {@code Trace} states another name, of the components.
 */
public interface ControlApi {

    /** On the channel: all tables at once. No table has this number. */
    int ALL_TABLES = 65535;

    /** A backend's address: four bytes of IPv4 address and a port, packed in big-endian order. */
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

    /** The state of a backend in the catalog. */
    enum Availability { GONE, READY, DRAINING }

    /** How a {@link Members} event changes the catalog that is held. */
    enum CatalogUpdateKind { DELTA, FULL, CACHED, FAILED }

    /** The effect of repeating a request: harmless, dropped within a window, or carried out again. */
    enum Idempotency { SAFE, KEYED, UNSAFE }

    /** The backends among which a repeat of a {@link Idempotency#KEYED} request is recognised. */
    enum DedupScope { ALL, ZONE, CELL }

    /** When a proxy retries a request; {@code ONCE_UNRUN}: only if no backend has processed it. */
    enum RetryPolicy { NEVER, ONCE_UNRUN, ONCE, TWICE }

    /** The unit of a level in {@link Admit}: share of the requests, requests per second, or no admission. */
    enum AdmissionMode { SHARE, RATE, OFF }

    /**
     * One backend in the catalog.
     *
     * @param zone index of its zone
     * @param kind index of its kind
     * @param cell number of its cell within the zone, for {@link DedupScope#CELL}
     * @param startedAt when its process started; 0 if that was long ago
     */
    record Member(Backend backend, int zone, int kind, int cell, Availability availability, double weight,
            long startedAt) {

        /** Returns the same backend as one that a full catalog no longer lists. */
        public Member asGone() {
            return new Member(backend, zone, kind, cell, Availability.GONE, weight, startedAt);
        }
    }

    /** Input of one instance. Points in time are those of the instance's own clock. */
    sealed interface Event { }

    /**
     * A catalog update, or a failed request for one.
     *
     * @param entries the changed backends, or all of them if the update is a full one
     */
    record Members(CatalogUpdateKind kind, long version, List<Member> entries) implements Event { }

    /** A timer set by {@link TimerAt} has expired. */
    record Timer(long token) implements Event { }

    /** The result of one probe; {@code load} has the figures named in the settings, or is empty. */
    record Probed(Backend backend, boolean ok, int status, long latency,
            List<Double> load) implements Event { }

    /**
     * A proxy has opened its stream.
     *
     * @param rate requests per second that it receives
     * @param fresh whether it holds only its standing table
     */
    record ProxyJoined(int proxy, int zone, double rate, boolean fresh) implements Event { }

    /** A proxy's stream has ended. */
    record ProxyLeft(int proxy) implements Event { }

    /**
     * A proxy has applied the message that carried this mark, and all messages before it.
     *
     * @param roundTrip time from sending the mark to its acknowledgement
     */
    record Applied(int proxy, int mark, long roundTrip) implements Event { }

    /**
     * Results of tries that the joined proxies of a zone sent to a backend.
     *
     * @param latency mean latency of successful tries; 0 if no try succeeded
     * @param span length of the interval that the counts cover
     * @param load the load figures named in the settings, or empty
     */
    record Tally(Backend backend, int zone, long tries, long failed, long latency, long span,
            List<Double> load) implements Event { }

    /**
     * Requests of one class that arrived at a proxy.
     *
     * @param failed requests that were admitted and never answered
     * @param span length of the interval that the counts cover
     */
    record Usage(int proxy, int classIndex, long requests, long failed, long span) implements Event { }

    /** Output of one instance. All actions of one round form one message for each proxy concerned. */
    sealed interface Action { }

    /** Starts or stops watching the catalog. */
    record Watch(boolean on) implements Action { }

    /** Sends a probe to a backend; {@link Probed} has the result. */
    record Probe(Backend backend) implements Action { }

    /** Sets the weight of a backend in a table; weight 0 removes the line. */
    record SetLine(int table, Backend backend, double weight) implements Action { }

    /**
     * Withdraws a backend from the tables of joined proxies, or readmits it.
     *
     * @param boundOnly whether to notify only the proxies that are bound to tables of this instance; the
     *        tables of other proxies are unknown, and they receive new ones with their bind
     */
    record Withdraw(Backend backend, boolean withdrawn, boolean boundOnly) implements Action {

        /** Notifies every proxy that may hold the backend. */
        public Withdraw(Backend backend, boolean withdrawn) {
            this(backend, withdrawn, false);
        }
    }

    /**
     * Withdraws backends, and tells only some proxies: each is told of those that it may hold. The others are
     * told by later actions, or by their bind. A proxy that is told while its tables are unknown is told of
     * the readmission too. Only for channels that are {@link Channel#addressable}.
     */
    record WithdrawAt(List<Backend> backends, List<Integer> proxies) implements Action { }

    /**
     * Sets the admission level and retry policy of a table.
     *
     * @param classMask bit set of class numbers; 0 means all classes
     */
    record Admit(int table, int classMask, double level, RetryPolicy retry) implements Action { }

    /** Adds a mark to the messages of this round; {@link Applied} acknowledges it. */
    record Mark(int number) implements Action { }

    /**
     * Adds a mark to the messages of this round that go to these proxies. Only for channels that are
     * {@link Channel#addressable}.
     */
    record MarkAt(int number, List<Integer> proxies) implements Action { }

    /**
     * Makes a proxy use a table for some classes. On a channel that is {@link Channel#addressable} it gets no
     * lines of withdrawn backends; these are set when the backends are readmitted.
     *
     * @param classMask bit set of class numbers; 0 means all classes
     * @param readmitted backends of the table that an earlier instance may have withdrawn at the proxy
     */
    record Bind(int proxy, int table, int classMask, List<Backend> readmitted) implements Action {

        /** Binds a proxy at which none of the table's backends is withdrawn. */
        public Bind(int proxy, int table, int classMask) {
            this(proxy, table, classMask, List.of());
        }
    }

    /** Sets a timer; {@link Timer} returns its token. */
    record TimerAt(long time, long token) implements Action { }

    /** Writes a line to the log. */
    record Log(String text) implements Action { }

    /**
     * The state that an instance keeps for one backend; used in logs only, not in decisions.
     *
     * @param load smoothed latency in ns, or reported utilization from 0 to 1; 0 if unknown
     * @param health by region, from 0 (resting) to 1
     * @param correction factor by which its weight in the catalog is corrected
     * @param warmth fraction of its capacity that it has while it warms up
     * @param tries smoothed number of tries on which the estimate is based
     * @param withdrawn whether it is withdrawn: it drains, is gone, or is held back because it is cold
     */
    record BackendEstimate(Backend backend, Availability availability, double load, List<Double> health,
            double correction, double warmth, double tries, boolean withdrawn) { }

    /**
     * What waits on the channel; used in logs only, not in decisions.
     *
     * @param waitingLines estimate of the lines that wait in the channel
     * @param waitingBinds joined proxies that wait for a table
     * @param uninformedProxies joined proxies that were not sent a withdrawal that concerns them
     * @param oldestUninformed the longest time for which one of these has been due, ns; 0 if there is none
     */
    record ChannelStatus(double waitingLines, int waitingBinds, int uninformedProxies,
            long oldestUninformed) { }

    /**
     * One request class.
     *
     * @param aim latency at which an answer still counts in full
     * @param deadline latency after which an answer counts for nothing
     * @param worth value of an answer within the aim
     * @param lateWorth fraction of the worth of an answer between aim and deadline
     * @param dedupWindow how long a backend recognises a repeat of a keyed request
     * @param ownZoneOnly whether proxies may use only backends of their own zone
     * @param onlyZones indices of the zones whose backends it may use; empty for all
     * @param onlyKinds indices of the kinds of backends that it may use; empty for all
     */
    record ClassSpec(long aim, long deadline, double worth, double lateWorth, Idempotency idempotency,
            DedupScope dedupScope, long dedupWindow, boolean mutating, boolean ownZoneOnly,
            Set<Integer> onlyZones, Set<Integer> onlyKinds) {

        /** Returns a key equal for classes that may use the same backends; restricted classes sort first. */
        public String eligibilityKey() {
            return !restricted() + "/" + onlyZones + "/" + onlyKinds + "/" + ownZoneOnly;
        }

        /** Returns whether the settings bar the class from some backends. */
        public boolean restricted() {
            return ownZoneOnly || !onlyZones.isEmpty() || !onlyKinds.isEmpty();
        }

        /** Returns whether the settings allow the class at a backend, regardless of the proxy's zone. */
        public boolean isEligible(Member member) {
            return (onlyZones.isEmpty() || onlyZones.contains(member.zone()))
                    && (onlyKinds.isEmpty() || onlyKinds.contains(member.kind()));
        }
    }

    /** Positions of figures in load reports; -1 if the site does not report the figure. */
    record ReportColumns(int queue, int utilization) { }

    /**
     * Parameters of the operating rules.
     *
     * @param maxTimeWithoutBackend how long a proxy may be without a usable backend
     * @param drainGrace time from the start of a drain until the backend must have left all tables
     * @param warmUpTime time from the start of a backend until it has its full capacity
     * @param initialWarmth fraction of its capacity that a backend has when it starts
     * @param overloadFactor load, as a multiple of its capacity, at which a cold backend fails
     * @param overloadSpan how long that load must last
     * @param maxCatalogRetryDelay time within which the catalog must be requested again after a failure
     */
    record Rules(long maxTimeWithoutBackend, long drainGrace, long warmUpTime, double initialWarmth,
            double overloadFactor, long overloadSpan, long maxCatalogRetryDelay) {

        /** Returns the minimum fraction of its capacity that a backend has now, by the configured ramp. */
        public double warmth(long startedAt, long now) {
            double age = startedAt <= 0 ? 1 : (now - startedAt) / (double) warmUpTime;
            return Math.min(1, initialWarmth + (1 - initialWarmth) * Math.max(0, age));
        }
    }

    /**
     * Limits and usual delays of the channel to the proxies.
     *
     * @param linesPerSecond rate at which the channel sends lines
     * @param messageOverhead cost of a message in lines, in addition to its own lines
     * @param maxBacklog maximum number of lines that may be queued
     * @param maxMessages maximum number of messages to one proxy per window; 0 for no limit
     * @param messageWindow length of that window
     * @param typicalDelay usual delay of a message
     * @param maxDelay maximum delay of a message
     * @param addressable whether a withdrawal, or a mark, can be sent to some of the proxies concerned; the
     *        messages of one round are then sent in the order of the proxies' numbers
     */
    record Channel(double linesPerSecond, double messageOverhead, double maxBacklog, int maxMessages,
            long messageWindow, long typicalDelay, long maxDelay, boolean addressable) {

        /** Returns the minimum mean time between messages to one proxy; 0 if they are not limited. */
        public double messageGap() {
            return maxMessages <= 0 ? 0 : (double) messageWindow / maxMessages;
        }
    }

    /**
     * Settings of an instance.
     *
     * @param instances number of instances
     * @param zones number of zones
     * @param catalogOnRequest whether the catalog arrives only after {@link Watch}
     * @param ejectAfterFailures failures in a row after which a proxy avoids a backend; 0 for never
     * @param proxies expected number of proxies
     * @param keyRanges number of ranges into which request keys are split; 0 if they are not
     * @param reportInterval time between reports of a proxy
     * @param reportLinesPerSecond report lines that an instance receives per second
     * @param crossZonePrice cost of sending a request to another zone
     */
    record Settings(int instances, int zones, List<ClassSpec> classes, boolean catalogOnRequest,
            boolean probesAllowed, AdmissionMode admission, int ejectAfterFailures, int proxies,
            int keyRanges, long reportInterval, double reportLinesPerSecond, double crossZonePrice,
            ReportColumns reportColumns, Rules rules, Channel channel) { }
}
