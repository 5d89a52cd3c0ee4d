package rowanmoor.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.channel.Frame;

/** All tables, admission levels and withdrawn backends, as set by the actions so far. */
public final class TableStore {

    private static final class Table {
        private final TreeMap<Backend, Double> lines = new TreeMap<>();
        private final TreeMap<Integer, Frame.Level> levels = new TreeMap<>();
    }

    private final int classes;
    private final TreeMap<Integer, Table> tables = new TreeMap<>();
    private final TreeSet<Backend> withdrawn = new TreeSet<>();

    /** @param classes number of request classes */
    public TableStore(int classes) {
        this.classes = classes;
    }

    private Table table(int number) {
        return tables.computeIfAbsent(number, n -> new Table());
    }

    /** Sets the weight of a backend in a table; weight 0 removes the line. */
    public void setLine(int number, Backend backend, double weight) {
        if (weight > 0) {
            table(number).lines.put(backend, weight);
        } else {
            table(number).lines.remove(backend);
        }
    }

    /** Withdraws a backend in all tables, or readmits it. */
    public void withdraw(Backend backend, boolean isWithdrawn) {
        if (isWithdrawn) {
            withdrawn.add(backend);
        } else {
            withdrawn.remove(backend);
        }
    }

    /** Sets the level of a table for some classes. */
    public void admit(int number, Admit admit) {
        Map<Integer, Frame.Level> levels = table(number).levels;
        for (int c = 0; c < classes; c++) {
            if (admit.classMask() == 0 || (admit.classMask() >> c & 1) == 1) {
                levels.put(c, new Frame.Level(1 << c, admit.level(), admit.retry()));
            }
        }
    }

    /** Returns whether a table has a line for a backend, withdrawn or not. */
    public boolean contains(int number, Backend backend) {
        return tables.containsKey(number) && tables.get(number).lines.containsKey(backend);
    }

    /** Returns a table with all its lines and levels. */
    public Frame.Table snapshot(int number) {
        Table table = table(number);
        List<Frame.Line> lines = new ArrayList<>();
        table.lines.forEach((backend, weight) -> lines.add(new Frame.Line(backend, weight)));
        return new Frame.Table(number, List.copyOf(lines), List.copyOf(table.levels.values()));
    }

    /** Returns the withdrawn backends that have a line in a table. */
    public List<Backend> withdrawnIn(int number) {
        return table(number).lines.keySet().stream().filter(withdrawn::contains).toList();
    }

    /** Returns the weights of a table by backend. */
    public Map<Backend, Double> weights(int number) {
        return Map.copyOf(table(number).lines);
    }

    /** Translates an admission level to its form on the channel, which lists classes explicitly. */
    public static Frame.Level levelFrame(Admit admit, int classCount) {
        int classMask = admit.classMask() == 0 ? (1 << classCount) - 1 : admit.classMask();
        RetryPolicy retry = admit.retry();
        return new Frame.Level(classMask, admit.level(), retry);
    }
}
