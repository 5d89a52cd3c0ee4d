package rowanmoor.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import rowanmoor.ControlApi.Backend;

/**
 * Pool of connections to backends, with a count of idle and used ones per backend. The connection used last
 * is taken first, so that surplus ones reach the idle time-out and are closed. Does no I/O itself.
 *
 * @param <C> type of the connections
 */
final class ConnectionPool<C> {

    /** Operations on connections that the pool needs. */
    interface Operations<C> {

        /** Whether it can carry another request. */
        boolean isUsable(C connection);

        /** Same for one that has been idle, also considering data or a close that has arrived unread. */
        default boolean isUsableAfterIdle(C connection) {
            return isUsable(connection);
        }

        /** Time of its last use, ns. */
        long idleSince(C connection);

        /** Closes it. */
        void close(C connection);
    }

    /** Connections to one backend; {@code open} counts idle ones and those in use. */
    private static final class BackendConnections<C> {
        private final ArrayDeque<C> idle = new ArrayDeque<>();
        private int open;
    }

    private final Operations<C> operations;
    private final int maxOpen;
    private final int maxIdle;
    private final Map<Backend, BackendConnections<C>> byBackend = new TreeMap<>();

    /**
     * An empty pool.
     *
     * @param maxOpen limit of connections to one backend, idle and in use, 1 or more
     * @param maxIdle limit of idle connections to one backend
     */
    ConnectionPool(Operations<C> operations, int maxOpen, int maxIdle) {
        this.operations = operations;
        this.maxOpen = maxOpen;
        this.maxIdle = maxIdle;
    }

    /** The most recently used connection that is still usable, or null. Unusable ones found are closed. */
    C take(Backend backend) {
        BackendConnections<C> connections = byBackend.get(backend);
        while (connections != null && !connections.idle.isEmpty()) {
            C last = connections.idle.pollLast();
            if (operations.isUsableAfterIdle(last)) {
                return last;
            }
            operations.close(last);
        }
        return null;
    }

    /** Whether another connection to a backend may be opened. */
    boolean canOpen(Backend backend) {
        BackendConnections<C> connections = byBackend.get(backend);
        return connections == null || connections.open < maxOpen;
    }

    /** A connection was opened; it counts until {@link #onClosed}. */
    void onOpened(Backend backend) {
        byBackend.computeIfAbsent(backend, b -> new BackendConnections<>()).open++;
    }

    /** Returns a connection to the pool; closes it if it is unusable or the limit of idle ones is reached. */
    void release(Backend backend, C connection) {
        BackendConnections<C> connections = byBackend.get(backend);
        if (connections != null && operations.isUsable(connection) && connections.idle.size() < maxIdle) {
            connections.idle.addLast(connection);
        } else {
            operations.close(connection);
        }
    }

    /** A connection, idle or in use, has closed; called once for each. */
    void onClosed(Backend backend, C connection) {
        BackendConnections<C> connections = byBackend.get(backend);
        if (connections != null) {
            connections.idle.remove(connection);
            if (--connections.open == 0) {
                byBackend.remove(backend);
            }
        }
    }

    /** Closes idle connections to backends that do not match. */
    void closeIdleExcept(Predicate<Backend> keep) {
        for (Backend backend : List.copyOf(byBackend.keySet())) {
            if (!keep.test(backend)) {
                closeIdleOf(backend, Long.MAX_VALUE);
            }
        }
    }

    /** Closes idle connections that were last used before a time, ns. */
    void closeIdleBefore(long before) {
        List.copyOf(byBackend.keySet()).forEach(b -> closeIdleOf(b, before));
    }

    private void closeIdleOf(Backend backend, long before) {
        BackendConnections<C> connections = byBackend.get(backend);
        List<C> old = new ArrayList<>();
        while (!connections.idle.isEmpty() && operations.idleSince(connections.idle.peekFirst()) < before) {
            old.add(connections.idle.pollFirst());
        }
        old.forEach(operations::close);
    }

    int idleCount(Backend backend) {
        return byBackend.containsKey(backend) ? byBackend.get(backend).idle.size() : 0;
    }

    int openCount(Backend backend) {
        return byBackend.containsKey(backend) ? byBackend.get(backend).open : 0;
    }

    int openCount() {
        return byBackend.values().stream().mapToInt(connections -> connections.open).sum();
    }
}
