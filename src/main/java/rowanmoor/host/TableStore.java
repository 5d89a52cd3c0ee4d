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

/** All tables, levels and withdrawals as ordered so far. */
public final class TableStore {

    private static final class Table {
        private final TreeMap<Backend, Double> lines = new TreeMap<>();
        private final TreeMap<Integer, Frame.Level> levels = new TreeMap<>();
    }

    private final int classes;
    private final TreeMap<Integer, Table> tables = new TreeMap<>();
    private final TreeSet<Backend> withdrawn = new TreeSet<>();

    public TableStore(int classes) {
        this.classes = classes;
    }

    private Table table(int number) {
        return tables.computeIfAbsent(number, n -> new Table());
    }

    /** Weight 0 removes the line. */
    public void setLine(int number, Backend backend, double weight) {
        if (weight > 0) {
            table(number).lines.put(backend, weight);
        } else {
            table(number).lines.remove(backend);
        }
    }

    public void withdraw(Backend backend, boolean out) {
        if (out) {
            withdrawn.add(backend);
        } else {
            withdrawn.remove(backend);
        }
    }

    public void admit(int number, Admit admit) {
        Map<Integer, Frame.Level> levels = table(number).levels;
        for (int c = 0; c < classes; c++) {
            if (admit.classMask() == 0 || (admit.classMask() >> c & 1) == 1) {
                levels.put(c, new Frame.Level(1 << c, admit.level(), admit.retry()));
            }
        }
    }

    public boolean contains(int number, Backend backend) {
        return tables.containsKey(number) && tables.get(number).lines.containsKey(backend);
    }

    public Frame.Table snapshot(int number) {
        Table table = table(number);
        List<Frame.Line> lines = new ArrayList<>();
        table.lines.forEach((backend, weight) -> lines.add(new Frame.Line(backend, weight)));
        return new Frame.Table(number, List.copyOf(lines), List.copyOf(table.levels.values()));
    }

    public List<Backend> withdrawnIn(int number) {
        return table(number).lines.keySet().stream().filter(withdrawn::contains).toList();
    }

    /** The weights ordered for a table; for readers outside the wire. */
    public Map<Backend, Double> weights(int number) {
        return Map.copyOf(table(number).lines);
    }

    public static Frame.Level levelFrame(Admit admit, int classCount) {
        int set = admit.classMask() == 0 ? (1 << classCount) - 1 : admit.classMask();
        RetryPolicy retry = admit.retry();
        return new Frame.Level(set, admit.level(), retry);
    }
}
