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
 * One {@link RoutingPolicy} and the order in which it receives the events of a tick: catalog updates, stream
 * events (joins, leaves, acknowledged marks) in order of arrival, report lines, probe results, and timers by
 * time, those of equal time in the order in which they were set. The policy then decides once. No I/O: the
 * host supplies the time and carries out the actions.
 */
public final class TickRunner {

    /** The events and actions of one tick; {@code decisionTime} is the time spent in the policy, ns. */
    public record TickResult(List<Event> events, List<Action> actions, long decisionTime) { }

    private record PendingTimer(long time, long number, long token) implements Comparable<PendingTimer> {
        @Override
        public int compareTo(PendingTimer other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final RoutingPolicy policy;
    private final LongSupplier stopwatch;
    private final ArrayDeque<Event> catalogUpdates = new ArrayDeque<>();
    private final ArrayDeque<Event> streamEvents = new ArrayDeque<>();
    private final ArrayDeque<Event> reports = new ArrayDeque<>();
    private final ArrayDeque<Event> probeResults = new ArrayDeque<>();
    private final PriorityQueue<PendingTimer> timers = new PriorityQueue<>();
    private long nextTimerNumber;
    private boolean started;
    private boolean backendsSeen;

    /**
     * Creates a runner with a new policy.
     *
     * @param stopwatch clock, ns, used only to measure the time spent in the policy
     */
    public TickRunner(Settings settings, long seed, LongSupplier stopwatch) {
        this.policy = new RoutingPolicy(settings, seed);
        this.stopwatch = stopwatch;
    }

    /** Queues a catalog update. */
    public void onCatalog(Members members) {
        backendsSeen |= !members.entries().isEmpty();
        catalogUpdates.add(members);
    }

    /** Queues a join, a leave or an acknowledged mark. */
    public void onStreamEvent(Event event) {
        if (!backendsSeen && event instanceof ProxyLeft left) {
            // The join is still queued: the policy does not know the proxy, so both events can be dropped.
            streamEvents.removeIf(e -> e instanceof ProxyJoined joined && joined.proxy() == left.proxy());
        } else {
            streamEvents.add(event);
        }
    }

    /** Queues a report line; drops it while no backend has been listed, since it refers to none. */
    public void onReport(Event event) {
        if (backendsSeen) {
            reports.add(event);
        }
    }

    /** Queues a probe result. */
    public void onProbeResult(Probed probed) {
        probeResults.add(probed);
    }

    /**
     * Returns whether a backend was ever listed. Until then stream events are held back: the policy could
     * only bind a proxy to an empty table, in place of the working one that the proxy holds.
     */
    public boolean hasSeenBackends() {
        return backendsSeen;
    }

    /** Delivers the queued events and lets the policy decide; returns null if there were no events. */
    public TickResult runTick(long now) {
        List<Event> events = gather(now);
        if (events.isEmpty() && started) {
            return null;
        }
        started = true;
        long before = stopwatch.getAsLong();
        events.forEach(event -> policy.handle(now, event));
        List<Action> actions = policy.decide(now);
        long decisionTime = stopwatch.getAsLong() - before;
        for (Action action : actions) {
            if (action instanceof TimerAt a) {
                timers.add(new PendingTimer(a.time(), nextTimerNumber++, a.token()));
            }
        }
        return new TickResult(events, actions, decisionTime);
    }

    private List<Event> gather(long now) {
        List<Event> events = new ArrayList<>();
        moveAll(catalogUpdates, events);
        if (backendsSeen) {
            moveAll(streamEvents, events);
            moveAll(reports, events);
        }
        moveAll(probeResults, events);
        while (!timers.isEmpty() && timers.peek().time() <= now) {
            events.add(new ControlApi.Timer(timers.poll().token()));
        }
        return events;
    }

    private static void moveAll(ArrayDeque<Event> from, List<Event> into) {
        into.addAll(from);
        from.clear();
    }

    /** Returns the state that the policy keeps for each backend. */
    public List<BackendEstimate> backendEstimates(long now) {
        return policy.backendEstimates(now);
    }

    /** Returns what waits on the channel. */
    public ControlApi.ChannelStatus channelStatus(long now) {
        return policy.channelStatus(now);
    }

    /**
     * Returns when the next tick is due if no more events arrive: {@link Long#MIN_VALUE} for at once,
     * {@link Long#MAX_VALUE} for never.
     */
    public long nextTickAt() {
        boolean pending = !started || !catalogUpdates.isEmpty() || !probeResults.isEmpty()
                || !reports.isEmpty() || !streamEvents.isEmpty() && backendsSeen;
        return pending ? Long.MIN_VALUE : timers.isEmpty() ? Long.MAX_VALUE : timers.peek().time();
    }
}
