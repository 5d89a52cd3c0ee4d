package rowanmoor.channel;

import java.util.List;
import java.util.Set;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.RetryPolicy;

/**
 * The messages on a stream. Times and durations are in nanoseconds; bit k of a class mask stands for
 * class k.
 */
public sealed interface Frame {

    /** The protocol version that this program speaks. */
    int PROTOCOL_VERSION = 2;
    /** The oldest version still supported: without numbered reports and their acknowledgement. */
    int MIN_PROTOCOL_VERSION = 1;

    /**
     * The first frame of a proxy.
     *
     * @param proxy the proxy's number, 0 to 65534, unique within the site
     * @param incarnation drawn anew at each start of the process
     * @param requestsPerSecond approximate request rate that the proxy usually receives
     * @param fresh whether the proxy holds only its standing table
     * @param epoch epoch of the state that the proxy holds, 0 for none
     * @param version version held within that epoch
     */
    record Hello(int protocolVersion, int proxy, long incarnation, int zone, double requestsPerSecond,
            boolean fresh, long epoch, long version, String name) implements Frame { }

    /**
     * The complete state that a controller has ordered for a proxy. Without bindings it means: keep the
     * current state.
     *
     * @param orderedAtNs time of the order on the controller's clock
     * @param queuedLines lines in the controller's channel just after the order, including its own
     * @param globalLevels admission levels that apply to all tables
     */
    record Snapshot(long epoch, long version, long orderedAtNs, long queuedLines, List<Table> tables,
            List<Binding> bindings, List<Backend> withdrawn, List<Level> globalLevels) implements Frame { }

    /**
     * The orders of one decision round for a proxy. Its version is one above that of the previous message.
     *
     * @param orderedAtNs time of the order on the controller's clock
     * @param queuedLines lines in the controller's channel just after the order, including its own
     */
    record Update(long epoch, long version, long orderedAtNs, long queuedLines,
            List<Order> orders) implements Frame { }

    /** Confirms that the message with this mark, and all messages before it, are in force. */
    record Applied(long epoch, long version, int mark) implements Frame { }

    /** Measurements of a proxy since its last report. */
    record Report(List<Tally> tallies, List<Use> usages) implements Frame { }

    /**
     * A report with its sequence number. The numbers of one proxy process start at 1 and have no gaps; each
     * report is answered by {@link ReportsTaken}.
     */
    record NumberedReport(long number, Report report) implements Frame { }

    /** Acknowledges all numbered reports up to and including this number; they must not be sent again. */
    record ReportsTaken(long upTo) implements Frame { }

    /** Keep-alive request, answered by a {@link Pong} with the same token. */
    record Ping(long token) implements Frame { }

    /** Answer to a {@link Ping}. */
    record Pong(long token) implements Frame { }

    /** The last frame of a side that ends the stream. */
    record Goodbye(Reason reason, String text) implements Frame { }

    /** Sent by a proxy that has seen a version gap or an unknown epoch, to request a snapshot. */
    record Resync(long epoch, long version) implements Frame { }

    /** Why a side ends a stream. The ordinals are on the wire. */
    enum Reason { STOPPING, PROTOCOL, VERSION, ID_IN_USE, SILENT, SLOW, MOVING }

    /** The weight of one backend in a table. */
    record Line(Backend backend, double weight) { }

    /** The admission level of some classes, and when a proxy retries their requests. */
    record Level(int classMask, double level, RetryPolicy retry) { }

    /** A routing table with the admission levels that belong to it. */
    record Table(int number, List<Line> lines, List<Level> levels) {

        /** Returns this table without the lines of some backends. */
        public Table without(Set<Backend> backends) {
            List<Line> others = lines.stream().filter(line -> !backends.contains(line.backend())).toList();
            return new Table(number, others, levels);
        }
    }

    /** Assigns a table to some classes. */
    record Binding(int table, int classMask) { }

    /**
     * The tries at one backend.
     *
     * @param latencySum summed latency of the successful tries
     * @param span duration that the tally covers
     * @param load load columns that the backend reported last; may be empty
     */
    record Tally(Backend backend, long tries, long failed, long latencySum, long span,
            List<Double> load) { }

    /**
     * The requests of one class that a proxy received.
     *
     * @param failed requests that were admitted and never answered
     * @param span duration that the figures cover
     */
    record Use(int cls, long requests, long failed, long span) { }

    /** One state change in an update. Orders take effect in list order. */
    sealed interface Order { }

    /** Sets the weight of one backend in a table. */
    record SetLine(int table, Line line) implements Order { }

    /** Removes all lines and admission levels of a table. */
    record Clear(int table) implements Order { }

    /** Withdraws a backend from all tables or, if {@code withdrawn} is false, reinstates it. */
    record Withdraw(Backend backend, boolean withdrawn) implements Order { }

    /** Sets a table's admission level, or the global one for {@link rowanmoor.ControlApi#ALL_TABLES}. */
    record Admit(int table, Level level) implements Order { }

    /** Assigns a complete table to some classes, and states which of its backends are withdrawn. */
    record Bind(int classMask, Table table, List<Backend> withdrawn) implements Order { }

    /** Requests an {@link Applied} with this number. */
    record Mark(int number) implements Order { }

    /** Returns the number of lines that an order takes up in the channel's line rate. */
    static int lineCount(Order order) {
        return order instanceof Bind bind ? 1 + bind.table().lines().size() + bind.table().levels().size()
                + bind.withdrawn().size() : 1;
    }
}
