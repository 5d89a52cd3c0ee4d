package rowanmoor.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import rowanmoor.ControlApi.Backend;

/**
 * Connections to backends, idle and in use, counted for each backend. The one last used is used first, so
 * that those not needed grow old and are closed. No I/O: what a connection is, its owner knows.
 */
final class ConnectionPool<C> {

    /** What the pool must know of a connection, and the one thing it does to it. */
    interface Operations<C> {

        /** Whether it can be used now. */
        boolean isUsable(C connection);

        /** The same for one that has been idle, going by what has arrived on it unread as well. */
        default boolean isUsableAfterIdle(C connection) {
            return isUsable(connection);
        }

        /** When it was last used. */
        long idleSince(C connection);

        void close(C connection);
    }

    private static final class BackendConnections<C> {
        private final ArrayDeque<C> idle = new ArrayDeque<>();
        private int open;
    }

    private final Operations<C> operations;
    private final int maxOpen;
    private final int maxIdle;
    private final Map<Backend, BackendConnections<C>> byBackend = new TreeMap<>();

    /**
     * @param openMost connections to one backend, idle and in use, 1 or more
     * @param idleMost idle ones to one backend
     */
    ConnectionPool(Operations<C> ways, int openMost, int idleMost) {
        this.operations = ways;
        this.maxOpen = openMost;
        this.maxIdle = idleMost;
    }

    /** The last used one that still can be used, or null. Others met on the way are closed. */
    C take(Backend backend) {
        BackendConnections<C> of = byBackend.get(backend);
        while (of != null && !of.idle.isEmpty()) {
            C last = of.idle.pollLast();
            if (operations.isUsableAfterIdle(last)) {
                return last;
            }
            operations.close(last);
        }
        return null;
    }

    /** Whether another may be opened. */
    boolean canOpen(Backend backend) {
        BackendConnections<C> of = byBackend.get(backend);
        return of == null || of.open < maxOpen;
    }

    /** One has been opened; it counts until {@link #onClosed}. */
    void onOpened(Backend backend) {
        byBackend.computeIfAbsent(backend, b -> new BackendConnections<>()).open++;
    }

    /** One is free again: it is kept, or closed if it cannot be used or enough are idle. */
    void release(Backend backend, C connection) {
        BackendConnections<C> of = byBackend.get(backend);
        if (of != null && operations.isUsable(connection) && of.idle.size() < maxIdle) {
            of.idle.addLast(connection);
        } else {
            operations.close(connection);
        }
    }

    /** One is over, in use or idle; told once for each. */
    void onClosed(Backend backend, C connection) {
        BackendConnections<C> of = byBackend.get(backend);
        if (of != null) {
            of.idle.remove(connection);
            if (--of.open == 0) {
                byBackend.remove(backend);
            }
        }
    }

    /** Closes idle ones to backends that fail the test. */
    void closeIdleExcept(Predicate<Backend> kept) {
        for (Backend backend : List.copyOf(byBackend.keySet())) {
            if (!kept.test(backend)) {
                closeIdleOf(backend, Long.MAX_VALUE);
            }
        }
    }

    /** Closes those that were last used before a time. */
    void closeIdleBefore(long before) {
        List.copyOf(byBackend.keySet()).forEach(b -> closeIdleOf(b, before));
    }

    private void closeIdleOf(Backend backend, long before) {
        BackendConnections<C> of = byBackend.get(backend);
        List<C> old = new ArrayList<>();
        while (!of.idle.isEmpty() && operations.idleSince(of.idle.peekFirst()) < before) {
            old.add(of.idle.pollFirst());
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
        return byBackend.values().stream().mapToInt(of -> of.open).sum();
    }
}
