package rowanmoor.controller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import rowanmoor.ControlApi;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probe;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.Logic;
import rowanmoor.channel.Frame;

/**
 * One {@link Logic} and all that stands between it and the sockets, without any I/O: feeds it what was
 * heard, in one order; turns what it orders into one message for each proxy concerned; paces the channel.
 * Its caller passes the time and carries out what {@link Outside} asks.
 *
 * <p>Order within a tick: the list, then streams (joins, leaves, marks) as they came, probes, report sums,
 * timers by time and then in the order in which they were set. Then the module decides, once.
 */
public final class Driver {

    /** What a tick asks of the world outside. */
    public interface Outside {

        void watch(boolean on);

        void probe(Backend backend);

        /** A message that has left the channel, for the stream of this proxy. */
        void send(int proxy, Frame frame);

        void log(String text);

        /** What was fed and what was ordered in one tick. */
        default void decided(long now, List<Event> events, List<Action> actions, long took) { }
    }

    private record Alarm(long time, long number, long token) implements Comparable<Alarm> {
        @Override
        public int compareTo(Alarm other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** A message before it has a version: an update's orders, or null for a snapshot. */
    private record Draft(List<Frame.Order> orders, Frame.Snapshot snapshot) { }

    /** A joined proxy: its zone, its table by class (-1 for none), its stream's version. */
    private static final class Peer {
        private final int zone;
        private final int[] tables;
        private long version;

        Peer(int zone, int classes) {
            this.zone = zone;
            this.tables = new int[classes];
            Arrays.fill(tables, -1);
        }

        boolean holds(TableStore store, Backend backend) {
            // Of a class that is not bound it is unknown what the proxy uses: it may hold anything.
            return Arrays.stream(tables).anyMatch(t -> t < 0 || store.holds(t, backend));
        }

        boolean uses(int table) {
            return Arrays.stream(tables).anyMatch(t -> t == table);
        }
    }

    private final Settings settings;
    private final Logic logic;
    private final long epoch;
    private final Outside outside;
    private final LongSupplier stopwatch;
    private final TableStore store;
    private final Intake intake;
    private final Outbox<Draft> outbox;
    private final TreeMap<Integer, Peer> peers = new TreeMap<>();
    private final TreeSet<Backend> listed = new TreeSet<>();
    private final ArrayDeque<Event> lists = new ArrayDeque<>();
    private final ArrayDeque<Event> streams = new ArrayDeque<>();
    private final ArrayDeque<Event> probes = new ArrayDeque<>();
    private final PriorityQueue<Alarm> alarms = new PriorityQueue<>();
    private final Map<Integer, Long> markedAt = new LinkedHashMap<>();
    private long alarmNumber;
    private long unlisted;
    private boolean started;

    /**
     * @param epoch names this start of this controller; never the same twice
     * @param stopwatch a clock for measuring how long the module takes, and for nothing else
     */
    public Driver(Settings settings, long seed, long epoch, long now, Outside outside,
            LongSupplier stopwatch) {
        this.settings = settings;
        this.logic = new Logic(settings, seed);
        this.epoch = epoch;
        this.outside = outside;
        this.stopwatch = stopwatch;
        this.store = new TableStore(settings.classes().size());
        this.intake = new Intake(settings.hearsPerSecond(), settings.period(), now);
        this.outbox = new Outbox<>(settings.channel().linesPerSecond(), now);
    }

    // ---- what is heard -------------------------------------------------------------------------------

    public void hearList(Members members) {
        members.entries().stream().map(Member::backend).forEach(listed::add);
        lists.add(members);
    }

    public void hearProbe(ControlApi.Probed probed) {
        probes.add(probed);
    }

    /** A proxy's stream is up. It gets a snapshot without bindings, which it answers by keeping its own. */
    public void joined(long now, Frame.Hello hello) {
        if (peers.containsKey(hello.proxy())) {
            throw new IllegalStateException("proxy " + hello.proxy() + " has joined already");
        }
        Peer peer = new Peer(hello.zone(), settings.classes().size());
        peers.put(hello.proxy(), peer);
        streams.add(new ProxyJoined(hello.proxy(), hello.zone(), hello.rate(), hello.fresh()));
        outside.send(hello.proxy(), snapshot(peer, now));
    }

    public void left(int proxy) {
        if (peers.remove(proxy) != null) {
            streams.add(new ProxyLeft(proxy));
            outbox.drop(proxy);
        }
    }

    /** A mark was answered; one of another epoch, or one never set, is not passed on. */
    public void applied(long now, int proxy, Frame.Applied applied) {
        Long since = applied.epoch() == epoch ? markedAt.get(applied.mark()) : null;
        if (since != null && peers.containsKey(proxy)) {
            streams.add(new Applied(proxy, applied.mark(), now - since));
        }
    }

    /** Takes a report in; what it says of backends never listed is counted and left out. */
    public void report(int proxy, Frame.Report report) {
        Peer peer = peers.get(proxy);
        if (peer == null) {
            return;
        }
        List<Frame.Tally> known = report.tallies().stream().filter(t -> listed.contains(t.backend()))
                .toList();
        List<Frame.Use> uses = report.uses().stream().filter(u -> u.cls() < settings.classes().size())
                .toList();
        unlisted += report.tallies().size() - known.size() + report.uses().size() - uses.size();
        intake.hear(proxy, peer.zone, new Frame.Report(known, uses));
    }

    /** A proxy has lost the thread: all that is ordered for it is sent anew, through the channel. */
    public void resync(long now, int proxy) {
        Peer peer = peers.get(proxy);
        if (peer != null) {
            Frame.Snapshot whole = snapshot(peer, now);
            double lines = settings.channel().head() + whole.withdrawn().size() + whole.tables().stream()
                    .mapToInt(t -> 1 + t.lines().size() + t.levels().size()).sum();
            outbox.add(now, proxy, new Draft(null, whole), lines);
        }
    }

    private Frame.Snapshot snapshot(Peer peer, long now) {
        TreeMap<Integer, Integer> bindings = new TreeMap<>();
        for (int c = 0; c < peer.tables.length; c++) {
            if (peer.tables[c] >= 0) {
                bindings.merge(peer.tables[c], 1 << c, (a, b) -> a | b);
            }
        }
        TreeSet<Backend> withdrawn = new TreeSet<>();
        bindings.keySet().forEach(t -> withdrawn.addAll(store.withdrawnOf(t)));
        List<Frame.Binding> bound = new ArrayList<>();
        bindings.forEach((table, classes) -> bound.add(new Frame.Binding(table, classes)));
        return new Frame.Snapshot(epoch, peer.version, now, Math.round(outbox.waiting()),
                bindings.keySet().stream().map(store::whole).toList(), bound, List.copyOf(withdrawn),
                List.of());
    }

    // ---- a tick --------------------------------------------------------------------------------------

    /** Feeds what was heard, lets the module decide if there was anything, sends what may leave. */
    public void tick(long now) {
        List<Event> events = gather(now);
        if (!events.isEmpty() || !started) {
            started = true;
            long before = stopwatch.getAsLong();
            events.forEach(event -> logic.on(now, event));
            List<Action> actions = logic.decide(now);
            long took = stopwatch.getAsLong() - before;
            carryOut(now, actions);
            outside.decided(now, events, actions, took);
        }
        depart(now);
    }

    private List<Event> gather(long now) {
        List<Event> events = new ArrayList<>(lists);
        lists.clear();
        if (knowsBackends()) {
            events.addAll(streams);
            streams.clear();
            intake.release(now, events::add);
        }
        events.addAll(probes);
        probes.clear();
        while (!alarms.isEmpty() && alarms.peek().time() <= now) {
            events.add(new ControlApi.Timer(alarms.poll().token()));
        }
        return events;
    }

    /**
     * Whether a backend was ever listed. Before that the module hears of no proxy: it could bind one to an
     * empty table only, in place of what the proxy holds and can work by.
     */
    private boolean knowsBackends() {
        return !listed.isEmpty();
    }

    /** When a tick is next due, if nothing more is heard. */
    public long nextAt() {
        boolean heard = !started || !lists.isEmpty() || !streams.isEmpty() && knowsBackends()
                || !probes.isEmpty();
        long alarm = alarms.isEmpty() ? Long.MAX_VALUE : alarms.peek().time();
        long told = knowsBackends() ? intake.nextAt() : Long.MAX_VALUE;
        return heard ? Long.MIN_VALUE : Math.min(alarm, Math.min(told, outbox.nextAt()));
    }

    private void carryOut(long now, List<Action> actions) {
        TreeMap<Integer, List<Frame.Order>> messages = new TreeMap<>();
        for (Action action : actions) {
            if (action instanceof SetLine a) {
                store.setLine(a.table(), a.backend(), a.weight());
                Frame.Line line = new Frame.Line(a.backend(), a.weight());
                toUsers(messages, a.table(), new Frame.SetLine(a.table(), line));
            } else if (action instanceof Withdraw a) {
                store.withdraw(a.backend(), a.out());
                peers.forEach((proxy, peer) -> {
                    if (peer.holds(store, a.backend())) {
                        add(messages, proxy, new Frame.Withdraw(a.backend(), a.out()));
                    }
                });
            } else if (action instanceof Admit a) {
                admit(messages, a);
            } else if (action instanceof Bind a) {
                bind(messages, a);
            } else if (action instanceof Mark a) {
                mark(messages, now, a);
            } else if (action instanceof TimerAt a) {
                alarms.add(new Alarm(a.time(), alarmNumber++, a.token()));
            } else if (action instanceof Watch a) {
                outside.watch(a.on());
            } else if (action instanceof Probe a) {
                outside.probe(a.backend());
            } else if (action instanceof Log a) {
                outside.log(a.text());
            }
        }
        messages.forEach((proxy, orders) -> outbox.add(now, proxy, new Draft(List.copyOf(orders), null),
                settings.channel().head() + orders.stream().mapToInt(Frame::lines).sum()));
    }

    private static void add(TreeMap<Integer, List<Frame.Order>> messages, int proxy, Frame.Order order) {
        messages.computeIfAbsent(proxy, p -> new ArrayList<>()).add(order);
    }

    private void toUsers(TreeMap<Integer, List<Frame.Order>> messages, int table, Frame.Order order) {
        peers.forEach((proxy, peer) -> {
            if (peer.uses(table)) {
                add(messages, proxy, order);
            }
        });
    }

    private void admit(TreeMap<Integer, List<Frame.Order>> messages, Admit admit) {
        Frame.Order order = new Frame.Admit(admit.table(),
                TableStore.level(admit, settings.classes().size()));
        store.admit(admit.table(), admit);
        toUsers(messages, admit.table(), order);
    }

    private void bind(TreeMap<Integer, List<Frame.Order>> messages, Bind bind) {
        Peer peer = peers.get(bind.proxy());
        if (peer == null) {
            return; // it has left since
        }
        int classes = bind.classes() == 0 ? (1 << peer.tables.length) - 1 : bind.classes();
        for (int c = 0; c < peer.tables.length; c++) {
            if ((classes >> c & 1) == 1) {
                peer.tables[c] = bind.table();
            }
        }
        add(messages, bind.proxy(), new Frame.Bind(classes, store.whole(bind.table()),
                store.withdrawnOf(bind.table())));
    }

    private void mark(TreeMap<Integer, List<Frame.Order>> messages, long now, Mark mark) {
        messages.values().forEach(orders -> orders.add(new Frame.Mark(mark.number())));
        markedAt.put(mark.number(), now);
        if (markedAt.size() > MARKS_KEPT) {
            markedAt.remove(markedAt.keySet().iterator().next());
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
                outside.send(entry.proxy(), new Frame.Snapshot(epoch, ++peer.version, entry.orderedAt(),
                        waiting, s.tables(), s.bindings(), s.withdrawn(), s.overall()));
            }
        }
    }

    // ---- figures -------------------------------------------------------------------------------------

    public long epoch() {
        return epoch;
    }

    public int joinedCount() {
        return peers.size();
    }

    public boolean hasJoined(int proxy) {
        return peers.containsKey(proxy);
    }

    /** Lines that wait in the channel, heads among them. */
    public double waitingLines() {
        return outbox.waiting();
    }

    public double mostWaitingLines() {
        return outbox.mostWaiting();
    }

    public double totalLines() {
        return outbox.totalLines();
    }

    public int mostWaitingReports() {
        return intake.mostWaiting();
    }

    /** Report lines of backends never listed, or of classes that do not exist. */
    public long unlistedReports() {
        return unlisted;
    }
}
