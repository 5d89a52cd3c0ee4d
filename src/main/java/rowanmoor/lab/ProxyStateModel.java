package rowanmoor.lab;

import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanmoor.ControlApi.Backend;
import rowanmoor.channel.Frame;

/** What a proxy must hold, going by the bytes that it read: the judge's own reckoning of docs/channel.md. */
final class ProxyStateModel {

    private static final int STANDING = -1;

    private final int[] tableOf;
    private final Map<Integer, TreeMap<Backend, Double>> tables = new TreeMap<>();
    private final Map<Integer, TreeMap<Backend, Double>> kept = new TreeMap<>();
    private final TreeSet<Backend> withdrawn = new TreeSet<>();
    private boolean bound;
    private long epoch;
    private long version = -1;

    ProxyStateModel(int classes, Collection<Backend> standing) {
        tableOf = new int[classes];
        Arrays.fill(tableOf, STANDING);
        TreeMap<Backend, Double> lines = new TreeMap<>();
        standing.forEach(b -> lines.put(b, 1.0));
        for (int c = 0; c < classes; c++) {
            kept.put(c, lines);
        }
    }

    /** A stream opens: what is held stays, by class, until this stream binds the class. */
    void opened() {
        for (int c = 0; c < tableOf.length; c++) {
            kept.put(c, new TreeMap<>(lines(c)));
            tableOf[c] = STANDING;
        }
        tables.clear();
        bound = false;
        version = -1;
    }

    private TreeMap<Backend, Double> lines(int cls) {
        return tableOf[cls] == STANDING ? kept.get(cls) : table(tableOf[cls]);
    }

    private TreeMap<Backend, Double> table(int number) {
        return tables.computeIfAbsent(number, n -> new TreeMap<>());
    }

    /** Takes a frame; answers what is wrong with its numbering, or null. */
    String take(Frame frame) {
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
                return "an update before the stream's snapshot";
            }
            if (u.epoch() != epoch || u.version() != version + 1) {
                return "version " + u.epoch() + "/" + u.version() + " after " + epoch + "/" + version;
            }
            version = u.version();
            u.orders().forEach(this::take);
        }
        return null;
    }

    private void take(Frame.Order order) {
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

    private void withdraw(Backend backend, boolean out) {
        if (out) {
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
        for (int c = 0; c < tableOf.length; c++) {
            if (classes == 0 || (classes >> c & 1) == 1) {
                tableOf[c] = table;
            }
        }
    }

    /** Lines to pick, by class. */
    int[] open() {
        int[] open = new int[tableOf.length];
        for (int c = 0; c < open.length; c++) {
            open[c] = (int) lines(c).keySet().stream().filter(b -> !withdrawn.contains(b)).count();
        }
        return open;
    }

    /** In how many classes there are fewer lines to pick than there were. */
    long fewerThan(int[] before) {
        int[] now = open();
        return java.util.stream.IntStream.range(0, now.length).filter(c -> now[c] < before[c]).count();
    }

    /** Whether there is no line to pick for a class. */
    boolean bare(int cls) {
        return withdrawn.containsAll(lines(cls).keySet());
    }

    long epoch() {
        return epoch;
    }

    /** Whether this stream's snapshot has come. */
    boolean joined() {
        return version >= 0;
    }
}
