package rowanmoor.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import rowanmoor.ControlApi.Backend;

/** The pool against a model of it, over random steps: take, keep, break, grow old, withdraw. */
class PoolTest {

    private static final int OPEN_MOST = 3;
    private static final int IDLE_MOST = 2;

    /** A connection that only knows its state. */
    private static final class Line {
        private final Backend to;
        private boolean broken;
        private boolean closed;
        private long since;

        Line(Backend to) {
            this.to = to;
        }
    }

    private final Map<Line, Boolean> alive = new LinkedHashMap<>(); // true while in use
    private Pool<Line> pool;
    private long now;

    private void close(Line line) {
        if (!line.closed) {
            line.closed = true;
            alive.remove(line);
            pool.gone(line.to, line);
        }
    }

    private void step(int what, Backend to) {
        now++;
        List<Line> used = alive.entrySet().stream().filter(e -> e.getValue() && e.getKey().to.equals(to))
                .map(Map.Entry::getKey).toList();
        switch (what) {
            case 0, 1 -> take(to);
            case 2 -> used.stream().findFirst().ifPresent(l -> {
                alive.put(l, false);
                l.since = now;
                pool.keep(to, l);
            });
            case 3 -> used.stream().findFirst().ifPresent(l -> {
                l.broken = true;
                close(l);
            });
            case 4 -> alive.keySet().stream().filter(l -> l.to.equals(to)).findFirst().ifPresent(l ->
                    l.broken = true); // its end has not been heard yet
            case 5 -> pool.closeOld(now - 3);
            default -> pool.closeIdle(b -> !b.equals(to));
        }
    }

    private void take(Backend to) {
        boolean anyIdle = alive.entrySet().stream().anyMatch(e -> !e.getValue() && !e.getKey().broken
                && e.getKey().to.equals(to));
        Line line = pool.take(to);
        assertEquals(anyIdle, line != null, "a usable one is used");
        if (line == null && pool.mayOpen(to)) {
            line = new Line(to);
            pool.opened(to);
        }
        if (line != null) {
            assertFalse(line.broken || line.closed, "one that is over is not given out");
            assertFalse(alive.getOrDefault(line, false), "nobody else uses it");
            alive.put(line, true);
        }
    }

    @Property(tries = 500)
    void noLineIsLostSharedOrGivenOutBroken(
            @ForAll @Size(max = 120) List<@IntRange(min = 0, max = 20) Integer> steps) {
        alive.clear();
        now = 100;
        pool = new Pool<>(new Pool.Ways<>() {
            @Override
            public boolean usable(Line line) {
                return !line.broken && !line.closed;
            }

            @Override
            public long idleSince(Line line) {
                return line.since;
            }

            @Override
            public void close(Line line) {
                PoolTest.this.close(line);
            }
        }, OPEN_MOST, IDLE_MOST);
        for (int step : steps) {
            step(step % 7, new Backend(1 + step / 7));
            for (long b = 1; b <= 3; b++) {
                Backend of = new Backend(b);
                List<Line> its = new ArrayList<>(alive.keySet());
                its.removeIf(l -> !l.to.equals(of));
                assertEquals(its.size(), pool.open(of), "open ones are counted");
                assertTrue(pool.open(of) <= OPEN_MOST && pool.idle(of) <= IDLE_MOST);
                assertEquals(its.stream().filter(l -> !alive.get(l)).count(), pool.idle(of));
            }
        }
    }
}
