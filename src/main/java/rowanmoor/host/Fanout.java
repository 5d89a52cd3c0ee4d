package rowanmoor.host;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.MarkAt;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.ControlApi.WithdrawAt;
import rowanmoor.channel.Frame;

/**
 * Translates the actions of a decision into the orders of one message for each joined proxy. Keeps the tables
 * and which proxy is bound to which of them. No I/O, no decisions.
 */
public final class Fanout {

    /** The table to which a joined proxy is bound, by class; -1 if it is not bound. */
    private static final class ProxyTables {
        private final int[] tables;
        /** Backends of which it was told while some of its tables were unknown. */
        private final TreeSet<Backend> excluded = new TreeSet<>();
        /** By table: the backends that were withdrawn when it was bound, whose lines it did not get. */
        private final TreeMap<Integer, Set<Backend>> omitted = new TreeMap<>();

        ProxyTables(int classes) {
            this.tables = new int[classes];
            Arrays.fill(tables, -1);
        }

        /** Returns whether the proxy may hold a backend; the table of an unbound class is unknown. */
        boolean holds(TableStore store, Backend backend, boolean boundOnly) {
            return Arrays.stream(tables).anyMatch(t -> t < 0 ? !boundOnly : store.contains(t, backend));
        }

        boolean isBound() {
            return Arrays.stream(tables).allMatch(t -> t >= 0);
        }

        /** Returns the tables in which it lacks the line of a backend. */
        List<Integer> tablesWithout(Backend backend) {
            return omitted.entrySet().stream()
                    .filter(entry -> boundClasses(entry.getKey()) != 0 && entry.getValue().contains(backend))
                    .map(Map.Entry::getKey).toList();
        }

        int boundClasses(int table) {
            int classMask = 0;
            for (int c = 0; c < tables.length; c++) {
                classMask |= tables[c] == table ? 1 << c : 0;
            }
            return classMask;
        }
    }

    private final int classes;
    private final TableStore store;
    private final TreeMap<Integer, ProxyTables> proxies = new TreeMap<>();
    private final TreeMap<Backend, Availability> availability = new TreeMap<>();

    public Fanout(int classes) {
        this.classes = classes;
        this.store = new TableStore(classes);
    }

    /** Returns the tables. */
    public TableStore store() {
        return store;
    }

    /** Applies a catalog update. */
    public void onCatalog(Members members) {
        if (members.kind() == CatalogUpdateKind.FULL || members.kind() == CatalogUpdateKind.CACHED) {
            availability.replaceAll((backend, was) -> Availability.GONE);
        }
        members.entries().forEach(m -> availability.put(m.backend(), m.availability()));
    }

    /** Returns whether a backend is listed, or gone and not yet released by the policy. */
    public boolean isKnown(Backend backend) {
        return availability.containsKey(backend);
    }

    /** Returns the number of backends for which {@link #isKnown} holds. */
    public int knownBackendCount() {
        return availability.size();
    }

    /**
     * Adds a proxy that is not bound to any table.
     *
     * @throws IllegalStateException if it has joined already
     */
    public void join(int proxy) {
        if (proxies.putIfAbsent(proxy, new ProxyTables(classes)) != null) {
            throw new IllegalStateException("proxy " + proxy + " has joined already");
        }
    }

    /** Removes a proxy; returns whether it had joined. */
    public boolean leave(int proxy) {
        return proxies.remove(proxy) != null;
    }

    /** Returns the classes for which a joined proxy is bound to a table, as a bit set. */
    public int boundClasses(int proxy, int table) {
        ProxyTables bound = proxies.get(proxy);
        return bound == null ? 0 : bound.boundClasses(table);
    }

    /**
     * Returns, by backend, the fraction of a proxy's picks that its tables give it, summed over the joined
     * proxies and their classes. Based on the weights alone, without withdrawn backends.
     */
    public TreeMap<Backend, Double> pickShares() {
        TreeMap<Backend, Double> picks = new TreeMap<>();
        TreeMap<Integer, Integer> tableUsers = new TreeMap<>();
        proxies.values().forEach(bound -> Arrays.stream(bound.tables).filter(t -> t >= 0)
                .forEach(t -> tableUsers.merge(t, 1, Integer::sum)));
        tableUsers.forEach((table, count) -> {
            TreeMap<Backend, Double> lines = new TreeMap<>(store.weights(table));
            lines.keySet().removeAll(store.withdrawnIn(table));
            double sum = lines.values().stream().mapToDouble(w -> w).sum();
            lines.forEach((backend, weight) -> picks.merge(backend, count * weight / sum, Double::sum));
        });
        return picks;
    }

    /** Returns the tables of a joined proxy, each with the bit set of classes bound to it. */
    public TreeMap<Integer, Integer> bindings(int proxy) {
        TreeMap<Integer, Integer> bindings = new TreeMap<>();
        int[] tables = proxies.get(proxy).tables;
        for (int c = 0; c < tables.length; c++) {
            if (tables[c] >= 0) {
                bindings.merge(tables[c], 1 << c, (a, b) -> a | b);
            }
        }
        return bindings;
    }

    /** Returns the withdrawn backends of some tables. */
    public TreeSet<Backend> withdrawnIn(Iterable<Integer> tables) {
        TreeSet<Backend> withdrawn = new TreeSet<>();
        tables.forEach(t -> withdrawn.addAll(store.withdrawnIn(t)));
        return withdrawn;
    }

    /** Applies the actions of one decision and returns the orders for each joined proxy concerned. */
    public TreeMap<Integer, List<Frame.Order>> ordersByProxy(List<Action> actions) {
        TreeMap<Integer, List<Frame.Order>> messages = new TreeMap<>();
        for (Action action : actions) {
            if (action instanceof SetLine a) {
                store.setLine(a.table(), a.backend(), a.weight());
                Frame.Line line = new Frame.Line(a.backend(), a.weight());
                proxies.forEach((proxy, bound) -> {
                    if (bound.boundClasses(a.table()) != 0
                            && !bound.tablesWithout(a.backend()).contains(a.table())) {
                        addOrder(messages, proxy, new Frame.SetLine(a.table(), line));
                    }
                });
            } else if (action instanceof Withdraw a) {
                withdraw(messages, a);
            } else if (action instanceof WithdrawAt a) {
                withdrawAt(messages, a);
            } else if (action instanceof Admit a) {
                store.admit(a.table(), a);
                Frame.Level level = TableStore.levelFrame(a, classes);
                addForUsers(messages, a.table(), new Frame.Admit(a.table(), level));
            } else if (action instanceof Bind a && proxies.containsKey(a.proxy())) {
                bind(messages, a);
            } else if (action instanceof Mark a) {
                messages.values().forEach(orders -> orders.add(new Frame.Mark(a.number())));
            } else if (action instanceof MarkAt a) {
                a.proxies().stream().filter(messages::containsKey)
                        .forEach(proxy -> addOrder(messages, proxy, new Frame.Mark(a.number())));
            }
        }
        return messages;
    }

    private void withdraw(TreeMap<Integer, List<Frame.Order>> messages, Withdraw withdraw) {
        Backend backend = withdraw.backend();
        boolean withdrawn = withdraw.withdrawn();
        store.withdraw(backend, withdrawn);
        if (!withdrawn && availability.get(backend) == Availability.GONE) {
            availability.remove(backend); // the policy has released it
        }
        proxies.forEach((proxy, bound) -> {
            boolean readmitted = !withdrawn && bound.excluded.remove(backend);
            if (readmitted || bound.holds(store, backend, withdraw.boundOnly())) {
                addOrder(messages, proxy, new Frame.Withdraw(backend, withdrawn));
            }
            if (!withdrawn) {
                bound.tablesWithout(backend).forEach(table -> addLine(messages, proxy, table, backend));
                bound.omitted.values().forEach(backends -> backends.remove(backend));
            }
        });
    }

    private void addLine(TreeMap<Integer, List<Frame.Order>> messages, int proxy, int table,
            Backend backend) {
        Double weight = store.weights(table).get(backend);
        if (weight != null) {
            addOrder(messages, proxy, new Frame.SetLine(table, new Frame.Line(backend, weight)));
        }
    }

    private void withdrawAt(TreeMap<Integer, List<Frame.Order>> messages, WithdrawAt withdrawAt) {
        withdrawAt.backends().forEach(backend -> store.withdraw(backend, true));
        for (int proxy : withdrawAt.proxies()) {
            ProxyTables bound = proxies.get(proxy);
            for (Backend backend : bound == null ? List.<Backend>of() : withdrawAt.backends()) {
                if (bound.holds(store, backend, false)) {
                    addOrder(messages, proxy, new Frame.Withdraw(backend, true));
                }
                if (!bound.isBound()) {
                    bound.excluded.add(backend);
                }
            }
        }
    }

    private void bind(TreeMap<Integer, List<Frame.Order>> messages, Bind bind) {
        ProxyTables bound = proxies.get(bind.proxy());
        int classMask = bind.classMask() == 0 ? (1 << classes) - 1 : bind.classMask();
        for (int c = 0; c < classes; c++) {
            if ((classMask >> c & 1) == 1) {
                bound.tables[c] = bind.table();
            }
        }
        Set<Backend> withdrawn = new TreeSet<>(store.withdrawnIn(bind.table()));
        bound.omitted.put(bind.table(), withdrawn);
        addOrder(messages, bind.proxy(), new Frame.Bind(classMask,
                store.snapshot(bind.table()).without(withdrawn), List.of()));
        bind.readmitted().forEach(b -> addOrder(messages, bind.proxy(), new Frame.Withdraw(b, false)));
    }

    private static void addOrder(TreeMap<Integer, List<Frame.Order>> messages, int proxy, Frame.Order order) {
        messages.computeIfAbsent(proxy, p -> new ArrayList<>()).add(order);
    }

    private void addForUsers(TreeMap<Integer, List<Frame.Order>> messages, int table, Frame.Order order) {
        proxies.forEach((proxy, bound) -> {
            if (bound.boundClasses(table) != 0) {
                addOrder(messages, proxy, order);
            }
        });
    }
}
