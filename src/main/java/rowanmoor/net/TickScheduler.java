package rowanmoor.net;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** Calls a tick soon after something came, and when it is next due, keeping a distance between two. */
public final class TickScheduler {

    private final Loop loop;
    private final long distance;
    private final LongConsumer tick;
    private final LongSupplier nextAt;
    private Timer timer;
    private long dueAt = Long.MAX_VALUE;
    private long lastAt;

    /**
     * @param distance least time between two ticks, ns
     * @param nextAt when the next is due if nothing comes, or {@link Long#MAX_VALUE}
     */
    public TickScheduler(Loop loop, long distance, LongConsumer tick, LongSupplier nextAt) {
        this.loop = loop;
        this.distance = distance;
        this.tick = tick;
        this.nextAt = nextAt;
        this.lastAt = loop.now() - distance;
    }

    /** What comes at once is ticked for at once. */
    public void requestTick() {
        by(Math.max(loop.now(), lastAt + distance));
    }

    private void by(long time) {
        if (time < dueAt) {
            if (timer != null) {
                timer.cancel();
            }
            dueAt = time;
            timer = loop.at(time, this::now);
        }
    }

    private void now() {
        dueAt = Long.MAX_VALUE;
        lastAt = loop.now();
        try {
            tick.accept(lastAt);
        } finally { // whatever a tick throws, the next one is due: messages wait for it
            long next = nextAt.getAsLong();
            if (next != Long.MAX_VALUE) {
                by(Math.max(next, lastAt + distance));
            }
        }
    }
}
