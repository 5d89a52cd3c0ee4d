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

/** Compares the pool with a model over random steps: take, release, break, idle time-out, withdrawal. */
class ConnectionPoolTest {

    private static final int MAX_OPEN = 3;
    private static final int MAX_IDLE = 2;

    /** A connection reduced to its state. */
    private static final class ModelConnection {
        private final Backend backend;
        private boolean broken;
        private boolean closed;
        private long idleSince;

        ModelConnection(Backend backend) {
            this.backend = backend;
        }
    }

    /** The open connections, with true for those in use. */
    private final Map<ModelConnection, Boolean> inUseByOpenConnection = new LinkedHashMap<>();
    private ConnectionPool<ModelConnection> pool;
    private long now;

    private void close(ModelConnection connection) {
        if (!connection.closed) {
            connection.closed = true;
            inUseByOpenConnection.remove(connection);
            pool.onClosed(connection.backend, connection);
        }
    }

    private void applyStep(int action, Backend backend) {
        now++;
        List<ModelConnection> used = inUseByOpenConnection.entrySet().stream()
                .filter(e -> e.getValue() && e.getKey().backend.equals(backend))
                .map(Map.Entry::getKey).toList();
        switch (action) {
            case 0, 1 -> take(backend);
            case 2 -> used.stream().findFirst().ifPresent(c -> {
                inUseByOpenConnection.put(c, false);
                c.idleSince = now;
                pool.release(backend, c);
            });
            case 3 -> used.stream().findFirst().ifPresent(c -> {
                c.broken = true;
                close(c);
            });
            case 4 -> inUseByOpenConnection.keySet().stream().filter(c -> c.backend.equals(backend)).findFirst()
                    .ifPresent(c -> c.broken = true); // its close has not been noticed yet
            case 5 -> pool.closeIdleBefore(now - 3);
            default -> pool.closeIdleExcept(b -> !b.equals(backend));
        }
    }

    private void take(Backend backend) {
        boolean anyIdle = inUseByOpenConnection.entrySet().stream().anyMatch(e -> !e.getValue() && !e.getKey().broken
                && e.getKey().backend.equals(backend));
        ModelConnection connection = pool.take(backend);
        assertEquals(anyIdle, connection != null, "a usable idle connection is reused");
        if (connection == null && pool.canOpen(backend)) {
            connection = new ModelConnection(backend);
            pool.onOpened(backend);
        }
        if (connection != null) {
            assertFalse(connection.broken || connection.closed, "a closed or broken connection is not handed out");
            assertFalse(inUseByOpenConnection.getOrDefault(connection, false), "the connection is not in use already");
            inUseByOpenConnection.put(connection, true);
        }
    }

    @Property(tries = 500)
    void noConnectionIsLostSharedOrHandedOutBroken(
            @ForAll @Size(max = 120) List<@IntRange(min = 0, max = 20) Integer> steps) {
        inUseByOpenConnection.clear();
        now = 100;
        pool = new ConnectionPool<>(new ConnectionPool.Operations<>() {
            @Override
            public boolean isUsable(ModelConnection connection) {
                return !connection.broken && !connection.closed;
            }

            @Override
            public long idleSince(ModelConnection connection) {
                return connection.idleSince;
            }

            @Override
            public void close(ModelConnection connection) {
                ConnectionPoolTest.this.close(connection);
            }
        }, MAX_OPEN, MAX_IDLE);
        for (int step : steps) {
            applyStep(step % 7, new Backend(1 + step / 7));
            for (long b = 1; b <= 3; b++) {
                Backend backend = new Backend(b);
                List<ModelConnection> open = new ArrayList<>(inUseByOpenConnection.keySet());
                open.removeIf(c -> !c.backend.equals(backend));
                assertEquals(open.size(), pool.openCount(backend), "open connections are counted");
                assertTrue(pool.openCount(backend) <= MAX_OPEN && pool.idleCount(backend) <= MAX_IDLE);
                assertEquals(open.stream().filter(c -> !inUseByOpenConnection.get(c)).count(), pool.idleCount(backend));
            }
        }
    }
}
