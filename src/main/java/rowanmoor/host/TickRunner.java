package rowanmoor.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;
import rowanmoor.ControlApi;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.BackendEstimate;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probed;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.RoutingPolicy;

/**
 * One {@link RoutingPolicy} and the order in which it hears: the list, then streams (joins, leaves, marks) as they
 * came, report lines, probes, timers by time and then in the order in which they were set. Then it decides,
 * once. No I/O: its host passes the time and carries out the orders.
 */
public final class TickRunner {

    /** What was fed and what was ordered in one turn; {@code took} is the module's time, ns. */
    public record TickResult(List<Event> events, List<Action> actions, long decisionTime) { }

    private record Alarm(long time, long number, long token) implements Comparable<Alarm> {
        @Override
        public int compareTo(Alarm other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final RoutingPolicy logic;
    private final LongSupplier stopwatch;
    private final ArrayDeque<Event> lists = new ArrayDeque<>();
    private final ArrayDeque<Event> streams = new ArrayDeque<>();
    private final ArrayDeque<Event> reports = new ArrayDeque<>();
    private final ArrayDeque<Event> probes = new ArrayDeque<>();
    private final PriorityQueue<Alarm> alarms = new PriorityQueue<>();
    private long alarmNumber;
    private boolean started;
    private boolean everListed;

    /** @param stopwatch a clock for measuring how long the module takes, and for nothing else */
    public TickRunner(Settings settings, long seed, LongSupplier stopwatch) {
        this.logic = new RoutingPolicy(settings, seed);
        this.stopwatch = stopwatch;
    }

    public void onCatalog(Members members) {
        everListed |= !members.entries().isEmpty();
        lists.add(members);
    }

    /** A join, a leave or a mark answered. */
    public void onStreamEvent(Event event) {
        if (!everListed && event instanceof ProxyLeft left) {
            // Its join waits, and the module has never heard of it: nothing is owed on either side.
            streams.removeIf(e -> e instanceof ProxyJoined joined && joined.proxy() == left.proxy());
        } else {
            streams.add(event);
        }
    }

    /** A report line; before a backend was ever listed nothing can be made of it. */
    public void onReport(Event event) {
        if (everListed) {
            reports.add(event);
        }
    }

    public void onProbeResult(Probed probed) {
        probes.add(probed);
    }

    /**
     * Whether a backend was ever listed. Before that the module hears of no proxy: it could bind one to an
     * empty table only, in place of what the proxy holds and can work by.
     */
    public boolean hasSeenBackends() {
        return everListed;
    }

    /** Feeds what was heard and lets the module decide; null if there was nothing to hear. */
    public TickResult runTick(long now) {
        List<Event> events = gather(now);
        if (events.isEmpty() && started) {
            return null;
        }
        started = true;
        long before = stopwatch.getAsLong();
        events.forEach(event -> logic.handle(now, event));
        List<Action> actions = logic.decide(now);
        long took = stopwatch.getAsLong() - before;
        for (Action action : actions) {
            if (action instanceof TimerAt a) {
                alarms.add(new Alarm(a.time(), alarmNumber++, a.token()));
            }
        }
        return new TickResult(events, actions, took);
    }

    private List<Event> gather(long now) {
        List<Event> events = new ArrayList<>();
        drain(lists, events);
        if (everListed) {
            drain(streams, events);
            drain(reports, events);
        }
        drain(probes, events);
        while (!alarms.isEmpty() && alarms.peek().time() <= now) {
            events.add(new ControlApi.Timer(alarms.poll().token()));
        }
        return events;
    }

    private static void drain(ArrayDeque<Event> from, List<Event> into) {
        into.addAll(from);
        from.clear();
    }

    /** What the module holds of each backend. */
    public List<BackendEstimate> backendEstimates(long now) {
        return logic.backendEstimates(now);
    }

    /** When a turn is next due, if nothing more is heard. */
    public long nextTickAt() {
        boolean heard = !started || !lists.isEmpty() || !probes.isEmpty() || !reports.isEmpty()
                || !streams.isEmpty() && everListed;
        return heard ? Long.MIN_VALUE : alarms.isEmpty() ? Long.MAX_VALUE : alarms.peek().time();
    }
}
