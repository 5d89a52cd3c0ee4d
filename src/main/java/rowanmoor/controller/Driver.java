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
 * One {@link RoutingPolicy} and all that stands between it and the sockets, without any I/O: feeds it what was
 * heard, in one order; turns what it orders into one message for each proxy concerned; paces the channel.
 * Its caller passes the time and carries out what {@link Environment} asks.
 *
 * <p>The order within a tick is that of {@link TickRunner}.
 */
public final class Driver {

    /** What a tick asks of the world outside. */
    public interface Environment {

        void watch(boolean on);

        void probe(Backend backend);

        /** A message that has left the channel, for the stream of this proxy. */
        void send(int proxy, Frame frame);

        void log(String text);

        /** What was fed and what was ordered in one tick. */
        default void onDecision(long now, List<Event> events, List<Action> actions, long took) { }
    }

    /** A message before it has a version: an update's orders, or null for a snapshot. */
    private record Draft(List<Frame.Order> orders, Frame.Snapshot snapshot) { }

    /** A joined proxy: its zone, its stream's version. */
    private static final class Peer {
        private final int zone;
        private long version;
        private boolean snapshotWaits;

        Peer(int zone) {
            this.zone = zone;
        }
    }

    private final Settings settings;
    private final long epoch;
    private final Environment outside;
    private final TickRunner turns;
    private final Fanout fanout;
    private final Intake intake;
    private final Outbox<Draft> outbox;
    private final TreeMap<Integer, Peer> peers = new TreeMap<>();
    private final Map<Integer, Long> markedAt = new LinkedHashMap<>();
    private long unlisted;

    /**
     * @param epoch names this start of this controller; never the same twice
     * @param stopwatch a clock for measuring how long the module takes, and for nothing else
     */
    public Driver(Settings settings, long seed, long epoch, long now, Environment outside,
            LongSupplier stopwatch) {
        this.settings = settings;
        this.turns = new TickRunner(settings, seed, stopwatch);
        this.fanout = new Fanout(settings.classes().size());
        this.epoch = epoch;
        this.outside = outside;
        this.intake = new Intake(settings.reportLinesPerSecond(), settings.reportInterval(), now);
        this.outbox = new Outbox<>(settings.channel().linesPerSecond(), now);
    }

    // ---- what is heard -------------------------------------------------------------------------------

    public void onMembers(Members members) {
        fanout.onCatalog(members);
        turns.onCatalog(members);
    }

    public void onProbeResult(ControlApi.Probed probed) {
        turns.onProbeResult(probed);
    }

    /** A proxy's stream is up. It gets a snapshot without bindings, which it answers by keeping its own. */
    public void onProxyJoined(long now, Frame.Hello hello) {
        fanout.join(hello.proxy());
        Peer peer = new Peer(hello.zone());
        peers.put(hello.proxy(), peer);
        turns.onStreamEvent(new ProxyJoined(hello.proxy(), hello.zone(), hello.requestsPerSecond(), hello.fresh()));
        outside.send(hello.proxy(), snapshot(hello.proxy(), peer, now));
    }

    public void onProxyLeft(int proxy) {
        if (peers.remove(proxy) != null) {
            fanout.leave(proxy);
            turns.onStreamEvent(new ProxyLeft(proxy));
            outbox.drop(proxy);
        }
    }

    /** A mark was answered; one of another epoch, or one never set, is not passed on. */
    public void onApplied(long now, int proxy, Frame.Applied applied) {
        Long since = applied.epoch() == epoch ? markedAt.get(applied.mark()) : null;
        if (since != null && peers.containsKey(proxy)) {
            turns.onStreamEvent(new Applied(proxy, applied.mark(), now - since));
        }
    }

    /** Takes a report in; what it says of backends never listed is counted and left out. */
    public void onReport(int proxy, Frame.Report report) {
        Peer peer = peers.get(proxy);
        if (peer == null) {
            return;
        }
        List<Frame.Tally> known = report.tallies().stream().filter(t -> fanout.isKnown(t.backend()))
                .toList();
        List<Frame.Use> uses = report.usages().stream().filter(u -> u.cls() < settings.classes().size())
                .toList();
        unlisted += report.tallies().size() - known.size() + report.usages().size() - uses.size();
        intake.hear(proxy, peer.zone, new Frame.Report(known, uses));
    }

    /** A proxy has lost the thread: all that is ordered for it is sent anew, through the channel. */
    public void onResync(long now, int proxy) {
        Peer peer = peers.get(proxy);
        if (peer != null && !peer.snapshotWaits) {
            peer.snapshotWaits = true; // however often it asks, one at a time waits in the channel
            Frame.Snapshot whole = snapshot(proxy, peer, now);
            double lines = settings.channel().messageOverhead() + whole.withdrawn().size() + whole.tables().stream()
                    .mapToInt(t -> 1 + t.lines().size() + t.levels().size()).sum();
            outbox.add(now, proxy, new Draft(null, whole), lines);
        }
    }

    private Frame.Snapshot snapshot(int proxy, Peer peer, long now) {
        TreeMap<Integer, Integer> bindings = fanout.bindings(proxy);
        List<Frame.Binding> bound = new ArrayList<>();
        bindings.forEach((table, classes) -> bound.add(new Frame.Binding(table, classes)));
        return new Frame.Snapshot(epoch, peer.version, now, Math.round(outbox.waiting()),
                bindings.keySet().stream().map(fanout.store()::snapshot).toList(), bound,
                List.copyOf(fanout.withdrawnIn(bindings.keySet())), List.of());
    }

    // ---- a tick --------------------------------------------------------------------------------------

    /** Feeds what was heard, lets the module decide if there was anything, sends what may leave. */
    public void tick(long now) {
        if (turns.hasSeenBackends()) {
            intake.release(now, turns::onReport);
        }
        TickRunner.TickResult turn = turns.runTick(now);
        if (turn != null) {
            carryOut(now, turn.actions());
            outside.onDecision(now, turn.events(), turn.actions(), turn.decisionTime());
        }
        depart(now);
    }

    /** When a tick is next due, if nothing more is heard. */
    public long nextTickAt() {
        long told = turns.hasSeenBackends() ? intake.nextAt() : Long.MAX_VALUE;
        return Math.min(turns.nextTickAt(), Math.min(told, outbox.nextAt()));
    }

    private void carryOut(long now, List<Action> actions) {
        fanout.ordersByProxy(actions).forEach((proxy, orders) -> outbox.add(now, proxy,
                new Draft(List.copyOf(orders), null),
                settings.channel().messageOverhead() + orders.stream().mapToInt(Frame::lineCount).sum()));
        for (Action action : actions) {
            if (action instanceof Mark a) {
                markedAt.put(a.number(), now);
                if (markedAt.size() > MARKS_KEPT) {
                    markedAt.remove(markedAt.keySet().iterator().next());
                }
            } else if (action instanceof Watch a) {
                outside.watch(a.on());
            } else if (action instanceof Probe a) {
                outside.probe(a.backend());
            } else if (action instanceof Log a) {
                outside.log(a.text());
            }
        }
    }

    private static final int MARKS_KEPT = 4096;

    /** Lets messages leave; each gets its version now, so that what was dropped leaves no gap. */
    private void depart(long now) {
        for (var entry = outbox.poll(now); entry != null; entry = outbox.poll(now)) {
            Peer peer = peers.get(entry.proxy());
            Draft draft = entry.message();
            long waiting = Math.round(entry.waitingThen());
            if (draft.snapshot() == null) {
                outside.send(entry.proxy(), new Frame.Update(epoch, ++peer.version, entry.orderedAt(),
                        waiting,
                        draft.orders()));
            } else {
                Frame.Snapshot s = draft.snapshot();
                peer.snapshotWaits = false;
                outside.send(entry.proxy(), new Frame.Snapshot(epoch, ++peer.version, entry.orderedAt(),
                        waiting, s.tables(), s.bindings(), s.withdrawn(), s.globalLevels()));
            }
        }
    }

    // ---- figures -------------------------------------------------------------------------------------

    public long epoch() {
        return epoch;
    }

    public int joinedProxyCount() {
        return peers.size();
    }

    public boolean hasJoined(int proxy) {
        return peers.containsKey(proxy);
    }

    /** Lines that wait in the channel, heads among them. */
    public double queuedLines() {
        return outbox.waiting();
    }

    public double maxQueuedLines() {
        return outbox.mostWaiting();
    }

    public double totalQueuedLines() {
        return outbox.totalLines();
    }

    public int maxPendingReportLines() {
        return intake.mostWaiting();
    }

    /** Backends that reports are taken of: listed, or gone but not yet let go by the module. */
    int backendsKnown() {
        return fanout.knownBackendCount();
    }

    /** Report lines of backends never listed, or of classes that do not exist. */
    public long ignoredReportLines() {
        return unlisted;
    }
}
