package rowanmoor.standin;

import java.util.ArrayList;
import java.util.List;
import rowanmoor.ControlApi.Backend;

/**
 * Records every request that reached a backend, with its arrival and its end, independently of the proxies.
 */
public final class Ledger {

    /** How a request ended at its backend. */
    public enum End { OPEN, SERVED, FAILED, FULL, DOWN, CANCELLED, LOST }

    /** One request at one backend; times in ns of the backends' loop, {@code endedAt} 0 while it is open. */
    public static final class Entry {
        public final Backend backend;
        public final String id;
        public final String path;
        public final int proxy;
        public final double work;
        public final long arrivedAt;
        public long endedAt;
        public End end = End.OPEN;

        Entry(Backend backend, String id, String path, int proxy, double work, long arrivedAt) {
            this.backend = backend;
            this.id = id;
            this.path = path;
            this.proxy = proxy;
            this.work = work;
            this.arrivedAt = arrivedAt;
        }

        /** Whether it may have taken effect; a cancelled one may have run in part. */
        public boolean mayHaveRun() {
            return end != End.FULL && end != End.DOWN;
        }

        void close(End how, long now) {
            if (end == End.OPEN) {
                end = how;
                endedAt = now;
            }
        }
    }

    /** The fall of a cold backend under too much work. */
    public record Fall(Backend backend, long startedAt, long at) { }

    private final List<Entry> entries = new ArrayList<>();
    private final List<Fall> falls = new ArrayList<>();

    /** Records a request that reached a backend. */
    public Entry open(Backend backend, String id, String path, int proxy, double work, long now) {
        Entry entry = new Entry(backend, id, path, proxy, work, now);
        entries.add(entry);
        return entry;
    }

    void recordFall(Backend backend, long startedAt, long now) {
        falls.add(new Fall(backend, startedAt, now));
    }

    /** All requests, in order of arrival. */
    public List<Entry> entries() {
        return entries;
    }

    /** All falls, in order. */
    public List<Fall> falls() {
        return falls;
    }
}
