package rowanmoor.net;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** Runs ticks on request and when they are due, at least a minimum interval apart. */
public final class TickScheduler {

    private final Loop loop;
    private final long minIntervalNs;
    private final LongConsumer tick;
    private final LongSupplier nextAt;
    private Timer timer;
    private long dueAt = Long.MAX_VALUE;
    private long lastTickAt;

    /**
     * @param minIntervalNs the least time between two ticks, ns
     * @param tick is called with the time of the tick, ns
     * @param nextAt when the next tick is due without a request, ns, or {@link Long#MAX_VALUE}
     */
    public TickScheduler(Loop loop, long minIntervalNs, LongConsumer tick, LongSupplier nextAt) {
        this.loop = loop;
        this.minIntervalNs = minIntervalNs;
        this.tick = tick;
        this.nextAt = nextAt;
        this.lastTickAt = loop.now() - minIntervalNs;
    }

    /** Requests a tick as soon as the minimum interval allows. */
    public void requestTick() {
        scheduleBy(Math.max(loop.now(), lastTickAt + minIntervalNs));
    }

    private void scheduleBy(long time) {
        if (time < dueAt) {
            if (timer != null) {
                timer.cancel();
            }
            dueAt = time;
            timer = loop.at(time, this::runTick);
        }
    }

    private void runTick() {
        dueAt = Long.MAX_VALUE;
        lastTickAt = loop.now();
        try {
            tick.accept(lastTickAt);
        } finally { // schedules the next tick also if this one throws: messages wait for it
            long next = nextAt.getAsLong();
            if (next != Long.MAX_VALUE) {
                scheduleBy(Math.max(next, lastTickAt + minIntervalNs));
            }
        }
    }
}
