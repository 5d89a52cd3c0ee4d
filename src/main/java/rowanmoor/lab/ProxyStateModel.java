package rowanmoor.lab;

import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanmoor.ControlApi.Backend;
import rowanmoor.channel.Frame;

/**
 * The state that a proxy must hold after the bytes that it read. It implements docs/channel.md independently
 * of the proxy, for the rule checker.
 */
final class ProxyStateModel {

    private static final int FALLBACK = -1;

    private final int[] tableByClass;
    private final Map<Integer, TreeMap<Backend, Double>> tables = new TreeMap<>();
    private final Map<Integer, TreeMap<Backend, Double>> fallbackLines = new TreeMap<>();
    private final TreeSet<Backend> withdrawn = new TreeSet<>();
    private boolean bound;
    private long epoch;
    private long version = -1;

    ProxyStateModel(int classes, Collection<Backend> standing) {
        tableByClass = new int[classes];
        Arrays.fill(tableByClass, FALLBACK);
        TreeMap<Backend, Double> lines = new TreeMap<>();
        standing.forEach(b -> lines.put(b, 1.0));
        for (int c = 0; c < classes; c++) {
            fallbackLines.put(c, lines);
        }
    }

    /** A stream opens: each class keeps its lines until the new stream binds the class. */
    void streamOpened() {
        for (int c = 0; c < tableByClass.length; c++) {
            fallbackLines.put(c, new TreeMap<>(lines(c)));
            tableByClass[c] = FALLBACK;
        }
        tables.clear();
        bound = false;
        version = -1;
    }

    private TreeMap<Backend, Double> lines(int cls) {
        return tableByClass[cls] == FALLBACK ? fallbackLines.get(cls) : table(tableByClass[cls]);
    }

    private TreeMap<Backend, Double> table(int number) {
        return tables.computeIfAbsent(number, n -> new TreeMap<>());
    }

    /** Applies a frame; returns a description of a numbering error, or null. */
    String apply(Frame frame) {
        if (frame instanceof Frame.Snapshot s) {
            epoch = s.epoch();
            version = s.version();
            if (!s.bindings().isEmpty()) {
                bound = true;
                tables.clear();
                withdrawn.clear();
                withdrawn.addAll(s.withdrawn());
                s.tables().forEach(this::put);
                s.bindings().forEach(b -> bind(b.classMask(), b.table()));
            }
        } else if (frame instanceof Frame.Update u) {
            if (version < 0) {
                return "update before the stream's snapshot";
            }
            if (u.epoch() != epoch || u.version() != version + 1) {
                return "version " + u.epoch() + "/" + u.version() + " after " + epoch + "/" + version;
            }
            version = u.version();
            u.orders().forEach(this::apply);
        }
        return null;
    }

    private void apply(Frame.Order order) {
        if (order instanceof Frame.SetLine o) {
            if (o.line().weight() > 0) {
                table(o.table()).put(o.line().backend(), o.line().weight());
            } else {
                table(o.table()).remove(o.line().backend());
            }
        } else if (order instanceof Frame.Clear o) {
            table(o.table()).clear();
        } else if (order instanceof Frame.Withdraw o) {
            withdraw(o.backend(), o.withdrawn());
        } else if (order instanceof Frame.Bind o) {
            if (!bound) {
                withdrawn.clear();
                bound = true;
            }
            put(o.table());
            o.table().lines().forEach(l -> withdrawn.remove(l.backend()));
            withdrawn.addAll(o.withdrawn());
            bind(o.classMask(), o.table().number());
        }
    }

    private void withdraw(Backend backend, boolean isWithdrawn) {
        if (isWithdrawn) {
            withdrawn.add(backend);
        } else {
            withdrawn.remove(backend);
        }
    }

    private void put(Frame.Table whole) {
        TreeMap<Backend, Double> lines = table(whole.number());
        lines.clear();
        whole.lines().stream().filter(l -> l.weight() > 0).forEach(l -> lines.put(l.backend(), l.weight()));
    }

    private void bind(int classes, int table) {
        for (int c = 0; c < tableByClass.length; c++) {
            if (classes == 0 || (classes >> c & 1) == 1) {
                tableByClass[c] = table;
            }
        }
    }

    /** Number of lines that can be picked, by class. */
    int[] availableCounts() {
        int[] counts = new int[tableByClass.length];
        for (int c = 0; c < counts.length; c++) {
            counts[c] = (int) lines(c).keySet().stream().filter(b -> !withdrawn.contains(b)).count();
        }
        return counts;
    }

    /** The backends that can be picked for some class. */
    TreeSet<Backend> availableBackends() {
        TreeSet<Backend> available = new TreeSet<>();
        for (int c = 0; c < tableByClass.length; c++) {
            available.addAll(lines(c).keySet());
        }
        available.removeAll(withdrawn);
        return available;
    }

    /** Number of classes that have fewer available lines than before. */
    long countDecreases(int[] before) {
        int[] now = availableCounts();
        return java.util.stream.IntStream.range(0, now.length).filter(c -> now[c] < before[c]).count();
    }

    /** Whether no line can be picked for a class. */
    boolean hasNoBackend(int cls) {
        return withdrawn.containsAll(lines(cls).keySet());
    }

    long epoch() {
        return epoch;
    }

    /** Whether this stream's snapshot has been received. */
    boolean joined() {
        return version >= 0;
    }
}
