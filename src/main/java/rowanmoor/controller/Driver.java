package rowanmoor.controller;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import rowanmoor.ControlApi;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.MarkAt;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probe;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.Watch;
import rowanmoor.channel.Frame;
import rowanmoor.host.Fanout;
import rowanmoor.host.TickRunner;

/**
 * Drives one {@link rowanmoor.RoutingPolicy} without doing any I/O. It feeds the policy its events in a fixed
 * order, turns its actions into one message per affected proxy, and paces the messages at the channel's line
 * rate. The caller passes in the time, in nanoseconds, and implements {@link Environment}.
 *
 * <p>{@link TickRunner} defines the order of events within a tick.
 */
public final class Driver {

    /** The side effects of a driver, implemented by its caller. */
    public interface Environment {

        /** Starts or stops watching the roster. */
        void watch(boolean on);

        /** Probes a backend; the answer is passed to {@link Driver#onProbeResult}. */
        void probe(Backend backend);

        /** Sends a message on the stream of a proxy. */
        void send(int proxy, Frame frame);

        /** Logs a line of the policy. */
        void log(String text);

        /**
         * Called after each decision with the policy's input and output.
         *
         * @param durationNs time that the policy took
         */
        default void onDecision(long now, List<Event> events, List<Action> actions, long durationNs) { }
    }

    /** A message without a version yet. Exactly one of the two components is null. */
    private record PendingMessage(List<Frame.Order> orders, Frame.Snapshot snapshot) { }

    /** The state of a joined proxy; {@code version} is that of the last message on its stream. */
    private static final class JoinedProxy {
        private final int zone;
        private long version;
        private boolean snapshotQueued;

        JoinedProxy(int zone) {
            this.zone = zone;
        }
    }

    private static final int MAX_TRACKED_MARKS = 4096;

    private final Settings settings;
    private final long epoch;
    private final Environment environment;
    private final TickRunner tickRunner;
    private final Fanout fanout;
    private final Intake intake;
    private final Outbox<PendingMessage> outbox;
    private final TreeMap<Integer, JoinedProxy> proxies = new TreeMap<>();
    private final Map<Integer, Long> markTimesNs = new LinkedHashMap<>();
    private long ignoredReportLines;

    /**
     * @param seed seed of the policy's random numbers
     * @param epoch identifies this start of this controller; must never repeat
     * @param stopwatch clock in ns, used only to measure how long the policy takes
     */
    public Driver(Settings settings, long seed, long epoch, long now, Environment environment,
            LongSupplier stopwatch) {
        this.settings = settings;
        this.tickRunner = new TickRunner(settings, seed, stopwatch);
        this.fanout = new Fanout(settings.classes().size());
        this.epoch = epoch;
        this.environment = environment;
        this.intake = new Intake(settings.reportLinesPerSecond(), settings.reportInterval(), now);
        this.outbox = new Outbox<>(settings.channel().linesPerSecond(), now);
    }

    // ---- input ---------------------------------------------------------------------------------------

    /** Handles an update of the roster's list of backends. */
    public void onMembers(Members members) {
        fanout.onCatalog(members);
        tickRunner.onCatalog(members);
    }

    /** Handles the result of a probe. */
    public void onProbeResult(ControlApi.Probed probed) {
        tickRunner.onProbeResult(probed);
    }

    /** Handles a new stream. Sends a snapshot without bindings, on which the proxy keeps its state. */
    public void onProxyJoined(long now, Frame.Hello hello) {
        fanout.join(hello.proxy());
        JoinedProxy joined = new JoinedProxy(hello.zone());
        proxies.put(hello.proxy(), joined);
        tickRunner.onStreamEvent(new ProxyJoined(hello.proxy(), hello.zone(), hello.requestsPerSecond(),
                hello.fresh()));
        environment.send(hello.proxy(), snapshot(hello.proxy(), joined, now));
    }

    /** Handles the end of a proxy's stream; messages queued for it are discarded. */
    public void onProxyLeft(int proxy) {
        if (proxies.remove(proxy) != null) {
            fanout.leave(proxy);
            tickRunner.onStreamEvent(new ProxyLeft(proxy));
            outbox.discard(proxy);
        }
    }

    /** Handles a confirmed mark. Marks of another epoch and marks never issued are ignored. */
    public void onApplied(long now, int proxy, Frame.Applied applied) {
        Long issuedAt = applied.epoch() == epoch ? markTimesNs.get(applied.mark()) : null;
        if (issuedAt != null && proxies.containsKey(proxy)) {
            tickRunner.onStreamEvent(new Applied(proxy, applied.mark(), now - issuedAt));
        }
    }

    /** Handles a report. Lines on unknown backends or classes are counted and otherwise ignored. */
    public void onReport(int proxy, Frame.Report report) {
        JoinedProxy joined = proxies.get(proxy);
        if (joined == null) {
            return;
        }
        List<Frame.Tally> knownTallies = report.tallies().stream().filter(t -> fanout.isKnown(t.backend()))
                .toList();
        List<Frame.Use> knownUsages = report.usages().stream()
                .filter(u -> u.cls() < settings.classes().size()).toList();
        ignoredReportLines += report.tallies().size() - knownTallies.size() + report.usages().size()
                - knownUsages.size();
        intake.addReport(proxy, joined.zone, new Frame.Report(knownTallies, knownUsages));
    }

    /** Handles a resync request: queues a snapshot of everything ordered for the proxy. */
    public void onResync(long now, int proxy) {
        JoinedProxy joined = proxies.get(proxy);
        if (joined != null && !joined.snapshotQueued) {
            joined.snapshotQueued = true; // at most one snapshot per proxy is queued, however often it asks
            Frame.Snapshot full = snapshot(proxy, joined, now);
            double lines = settings.channel().messageOverhead() + full.withdrawn().size()
                    + full.tables().stream().mapToInt(t -> 1 + t.lines().size() + t.levels().size()).sum();
            outbox.add(now, proxy, new PendingMessage(null, full), lines);
        }
    }

    private Frame.Snapshot snapshot(int proxy, JoinedProxy joined, long now) {
        TreeMap<Integer, Integer> bindings = fanout.bindings(proxy);
        List<Frame.Binding> bound = new ArrayList<>();
        bindings.forEach((table, classMask) -> bound.add(new Frame.Binding(table, classMask)));
        return new Frame.Snapshot(epoch, joined.version, now, Math.round(outbox.queuedLines()),
                bindings.keySet().stream().map(fanout.store()::snapshot).toList(), bound,
                List.copyOf(fanout.withdrawnIn(bindings.keySet())), List.of());
    }

    // ---- a tick --------------------------------------------------------------------------------------

    /** Feeds pending events, lets the policy decide if there were any, and sends due messages. */
    public void tick(long now) {
        if (tickRunner.hasSeenBackends()) {
            intake.release(now, tickRunner::onReport);
        }
        TickRunner.TickResult result = tickRunner.runTick(now);
        if (result != null) {
            execute(now, result.actions());
            environment.onDecision(now, result.events(), result.actions(), result.decisionTime());
        }
        sendDueMessages(now);
    }

    /** Returns when the next tick is due if no further event arrives. */
    public long nextTickAt() {
        long nextReportLine = tickRunner.hasSeenBackends() ? intake.nextReleaseAt() : Long.MAX_VALUE;
        return Math.min(tickRunner.nextTickAt(), Math.min(nextReportLine, outbox.nextSendAt()));
    }

    private void execute(long now, List<Action> actions) {
        fanout.ordersByProxy(actions).forEach((proxy, orders) -> outbox.add(now, proxy,
                new PendingMessage(List.copyOf(orders), null),
                settings.channel().messageOverhead() + orders.stream().mapToInt(Frame::lineCount).sum()));
        for (Action action : actions) {
            if (action instanceof Mark a) {
                trackMark(now, a.number());
            } else if (action instanceof MarkAt a) {
                trackMark(now, a.number());
            } else if (action instanceof Watch a) {
                environment.watch(a.on());
            } else if (action instanceof Probe a) {
                environment.probe(a.backend());
            } else if (action instanceof Log a) {
                environment.log(a.text());
            }
        }
    }

    private void trackMark(long now, int number) {
        markTimesNs.put(number, now);
        if (markTimesNs.size() > MAX_TRACKED_MARKS) {
            markTimesNs.remove(markTimesNs.keySet().iterator().next());
        }
    }

    /** Sends due messages. The version is assigned only now, so that discarded messages leave no gap. */
    private void sendDueMessages(long now) {
        for (var entry = outbox.poll(now); entry != null; entry = outbox.poll(now)) {
            JoinedProxy joined = proxies.get(entry.proxy());
            PendingMessage message = entry.message();
            long queuedLines = Math.round(entry.queuedLines());
            if (message.snapshot() == null) {
                environment.send(entry.proxy(), new Frame.Update(epoch, ++joined.version,
                        entry.orderedAtNs(), queuedLines, message.orders()));
            } else {
                Frame.Snapshot s = message.snapshot();
                joined.snapshotQueued = false;
                environment.send(entry.proxy(), new Frame.Snapshot(epoch, ++joined.version,
                        entry.orderedAtNs(), queuedLines, s.tables(), s.bindings(), s.withdrawn(),
                        s.globalLevels()));
            }
        }
    }

    // ---- statistics ----------------------------------------------------------------------------------

    /** Returns the epoch of this start. */
    public long epoch() {
        return epoch;
    }

    /** Returns the number of joined proxies. */
    public int joinedProxyCount() {
        return proxies.size();
    }

    /** Returns whether a proxy is joined. */
    public boolean hasJoined(int proxy) {
        return proxies.containsKey(proxy);
    }

    /** Returns the lines queued in the channel, including the heads of messages. */
    public double queuedLines() {
        return outbox.queuedLines();
    }

    /** Returns the largest number of lines that were ever queued. */
    public double maxQueuedLines() {
        return outbox.maxQueuedLines();
    }

    /** Returns all lines that were ever queued. */
    public double totalQueuedLines() {
        return outbox.totalLines();
    }

    /** Returns the largest number of aggregated report lines that were ever pending. */
    public int maxPendingReportLines() {
        return intake.maxPendingLines();
    }

    /** Returns the number of backends whose tallies count: listed, or gone but still held by the policy. */
    int knownBackendCount() {
        return fanout.knownBackendCount();
    }

    /** Returns the number of ignored report lines: of backends never listed or classes that do not exist. */
    public long ignoredReportLines() {
        return ignoredReportLines;
    }
}
