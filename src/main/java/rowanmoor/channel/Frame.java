package rowanmoor.channel;

import java.util.List;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.RetryPolicy;

/** What crosses a stream. Times and spans are nanoseconds; a class set has bit k for class k. */
public sealed interface Frame {

    /** The protocol's version that this program speaks. */
    int PROTOCOL_VERSION = 2;
    /** The oldest one that it still speaks: without numbered reports and their acknowledgement. */
    int MIN_PROTOCOL_VERSION = 1;

    /**
     * A proxy's first frame.
     *
     * @param proxy its number, 0 to 65534, one to a proxy of the site
     * @param incarnation drawn anew whenever its process starts
     * @param requestsPerSecond requests a second that it usually gets; rough
     * @param fresh whether it holds only its standing table
     * @param epoch the epoch of what it holds, 0 for none
     * @param version the version it holds under that epoch
     */
    record Hello(int protocolVersion, int proxy, long incarnation, int zone, double requestsPerSecond, boolean fresh,
            long epoch, long version, String name) implements Frame { }

    /**
     * All that a controller has ordered for this proxy. One without bindings says: keep what you hold.
     *
     * @param orderedAtNs when it was ordered, by the controller's clock
     * @param queuedLines lines in the controller's channel just after it was ordered, its own among them
     */
    record Snapshot(long epoch, long version, long orderedAtNs, long queuedLines, List<Table> tables,
            List<Binding> bindings, List<Backend> withdrawn, List<Level> globalLevels) implements Frame { }

    /** What one round of decisions orders for this proxy; its version is one above the last. */
    record Update(long epoch, long version, long orderedAtNs, long queuedLines,
            List<Order> orders) implements Frame { }

    /** The message with this mark, and all before it, is in force. */
    record Applied(long epoch, long version, int mark) implements Frame { }

    /** What the proxy met since its last report. */
    record Report(List<Tally> tallies, List<Use> usages) implements Frame { }

    /**
     * A report with its number among those of the proxy's process, from 1 on without gaps; answered by
     * {@link ReportsTaken}.
     */
    record NumberedReport(long number, Report report) implements Frame { }

    /** All numbered reports up to this one were taken; they are not to be sent again. */
    record ReportsTaken(long upTo) implements Frame { }

    record Ping(long token) implements Frame { }

    record Pong(long token) implements Frame { }

    record Goodbye(Reason reason, String text) implements Frame { }

    /** The proxy has met a gap or an unknown epoch and asks for a snapshot. */
    record Resync(long epoch, long version) implements Frame { }

    /** Why a side ends a stream. */
    enum Reason { STOPPING, PROTOCOL, VERSION, ID_IN_USE, SILENT, SLOW, MOVING }

    record Line(Backend backend, double weight) { }

    /** How much of some classes is let in, and when a proxy tries again. */
    record Level(int classMask, double level, RetryPolicy retry) { }

    record Table(int number, List<Line> lines, List<Level> levels) { }

    record Binding(int table, int classMask) { }

    /** Tries at one backend; {@code latencySum} is that of the good ones; {@code load} may be empty. */
    record Tally(Backend backend, long tries, long failed, long latencySum, long span,
            List<Double> load) { }

    record Use(int cls, long requests, long failed, long span) { }

    /** One order of an update; in the order in which they take effect. */
    sealed interface Order { }

    record SetLine(int table, Line line) implements Order { }

    record Clear(int table) implements Order { }

    record Withdraw(Backend backend, boolean withdrawn) implements Order { }

    /** A table's level, or with {@link rowanmoor.ControlApi#ALL_TABLES} that over all. */
    record Admit(int table, Level level) implements Order { }

    /** A whole table for some classes, and which of its backends are withdrawn. */
    record Bind(int classMask, Table table, List<Backend> withdrawn) implements Order { }

    record Mark(int number) implements Order { }

    /** Lines that an order counts for in the channel. */
    static int lineCount(Order order) {
        return order instanceof Bind bind ? 1 + bind.table().lines().size() + bind.table().levels().size()
                + bind.withdrawn().size() : 1;
    }
}
