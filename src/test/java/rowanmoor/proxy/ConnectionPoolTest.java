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
class ConnectionPoolTest {

    private static final int MAX_OPEN = 3;
    private static final int MAX_IDLE = 2;

    /** A connection that only knows its state. */
    private static final class ModelConnection {
        private final Backend backend;
        private boolean broken;
        private boolean closed;
        private long idleSince;

        ModelConnection(Backend to) {
            this.backend = to;
        }
    }

    private final Map<ModelConnection, Boolean> inUseByOpenConnection = new LinkedHashMap<>(); // true while in use
    private ConnectionPool<ModelConnection> pool;
    private long now;

    private void close(ModelConnection line) {
        if (!line.closed) {
            line.closed = true;
            inUseByOpenConnection.remove(line);
            pool.onClosed(line.backend, line);
        }
    }

    private void applyStep(int what, Backend to) {
        now++;
        List<ModelConnection> used = inUseByOpenConnection.entrySet().stream().filter(e -> e.getValue() && e.getKey().backend.equals(to))
                .map(Map.Entry::getKey).toList();
        switch (what) {
            case 0, 1 -> take(to);
            case 2 -> used.stream().findFirst().ifPresent(l -> {
                inUseByOpenConnection.put(l, false);
                l.idleSince = now;
                pool.release(to, l);
            });
            case 3 -> used.stream().findFirst().ifPresent(l -> {
                l.broken = true;
                close(l);
            });
            case 4 -> inUseByOpenConnection.keySet().stream().filter(l -> l.backend.equals(to)).findFirst().ifPresent(l ->
                    l.broken = true); // its end has not been heard yet
            case 5 -> pool.closeIdleBefore(now - 3);
            default -> pool.closeIdleExcept(b -> !b.equals(to));
        }
    }

    private void take(Backend to) {
        boolean anyIdle = inUseByOpenConnection.entrySet().stream().anyMatch(e -> !e.getValue() && !e.getKey().broken
                && e.getKey().backend.equals(to));
        ModelConnection line = pool.take(to);
        assertEquals(anyIdle, line != null, "a usable one is used");
        if (line == null && pool.canOpen(to)) {
            line = new ModelConnection(to);
            pool.onOpened(to);
        }
        if (line != null) {
            assertFalse(line.broken || line.closed, "one that is over is not given out");
            assertFalse(inUseByOpenConnection.getOrDefault(line, false), "nobody else uses it");
            inUseByOpenConnection.put(line, true);
        }
    }

    @Property(tries = 500)
    void noConnectionIsLostSharedOrHandedOutBroken(
            @ForAll @Size(max = 120) List<@IntRange(min = 0, max = 20) Integer> steps) {
        inUseByOpenConnection.clear();
        now = 100;
        pool = new ConnectionPool<>(new ConnectionPool.Operations<>() {
            @Override
            public boolean isUsable(ModelConnection line) {
                return !line.broken && !line.closed;
            }

            @Override
            public long idleSince(ModelConnection line) {
                return line.idleSince;
            }

            @Override
            public void close(ModelConnection line) {
                ConnectionPoolTest.this.close(line);
            }
        }, MAX_OPEN, MAX_IDLE);
        for (int step : steps) {
            applyStep(step % 7, new Backend(1 + step / 7));
            for (long b = 1; b <= 3; b++) {
                Backend of = new Backend(b);
                List<ModelConnection> its = new ArrayList<>(inUseByOpenConnection.keySet());
                its.removeIf(l -> !l.backend.equals(of));
                assertEquals(its.size(), pool.openCount(of), "open ones are counted");
                assertTrue(pool.openCount(of) <= MAX_OPEN && pool.idleCount(of) <= MAX_IDLE);
                assertEquals(its.stream().filter(l -> !inUseByOpenConnection.get(l)).count(), pool.idleCount(of));
            }
        }
    }
}
