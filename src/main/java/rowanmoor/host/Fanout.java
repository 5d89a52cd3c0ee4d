package rowanmoor.host;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.channel.Frame;

/**
 * Which joined proxy each order concerns: keeps the tables as ordered and who is bound to which, and turns
 * one decision's orders into one message's worth for each proxy. No I/O, no decision.
 */
public final class Fanout {

    /** A joined proxy's table by class, -1 for none. */
    private static final class Peer {
        private final int[] tables;

        Peer(int classes) {
            this.tables = new int[classes];
            Arrays.fill(tables, -1);
        }

        /** Of a class that is not bound it is unknown what the proxy uses: it may hold anything. */
        boolean holds(TableStore store, Backend backend, boolean boundOnly) {
            return Arrays.stream(tables).anyMatch(t -> t < 0 ? !boundOnly : store.contains(t, backend));
        }

        int classesOn(int table) {
            int classes = 0;
            for (int c = 0; c < tables.length; c++) {
                classes |= tables[c] == table ? 1 << c : 0;
            }
            return classes;
        }
    }

    private final int classes;
    private final TableStore store;
    private final TreeMap<Integer, Peer> peers = new TreeMap<>();
    private final TreeMap<Backend, Availability> listed = new TreeMap<>();

    public Fanout(int classes) {
        this.classes = classes;
        this.store = new TableStore(classes);
    }

    public TableStore store() {
        return store;
    }

    public void onCatalog(Members members) {
        if (members.kind() == CatalogUpdateKind.FULL || members.kind() == CatalogUpdateKind.CACHED) {
            listed.replaceAll((backend, was) -> Availability.GONE);
        }
        members.entries().forEach(m -> listed.put(m.backend(), m.availability()));
    }

    /** Whether a backend is listed, or gone but not yet let go by the module. */
    public boolean isKnown(Backend backend) {
        return listed.containsKey(backend);
    }

    public int knownBackendCount() {
        return listed.size();
    }

    public void join(int proxy) {
        if (peers.putIfAbsent(proxy, new Peer(classes)) != null) {
            throw new IllegalStateException("proxy " + proxy + " has joined already");
        }
    }

    /** Whether it had joined. */
    public boolean leave(int proxy) {
        return peers.remove(proxy) != null;
    }

    /** The classes of a joined proxy that are bound to a table, as a set of bits. */
    public int boundClasses(int proxy, int table) {
        Peer peer = peers.get(proxy);
        return peer == null ? 0 : peer.classesOn(table);
    }

    /**
     * What part of one proxy's picks its tables give a backend, summed over joined proxies and classes; by
     * the weights alone, shut-out backends left out.
     */
    public TreeMap<Backend, Double> pickShares() {
        TreeMap<Backend, Double> picks = new TreeMap<>();
        TreeMap<Integer, Integer> users = new TreeMap<>();
        peers.values().forEach(peer -> Arrays.stream(peer.tables).filter(t -> t >= 0)
                .forEach(t -> users.merge(t, 1, Integer::sum)));
        users.forEach((table, count) -> {
            TreeMap<Backend, Double> lines = new TreeMap<>(store.weights(table));
            lines.keySet().removeAll(store.withdrawnIn(table));
            double sum = lines.values().stream().mapToDouble(w -> w).sum();
            lines.forEach((backend, weight) -> picks.merge(backend, count * weight / sum, Double::sum));
        });
        return picks;
    }

    /** A joined proxy's tables, each with the classes bound to it. */
    public TreeMap<Integer, Integer> bindings(int proxy) {
        TreeMap<Integer, Integer> bindings = new TreeMap<>();
        int[] tables = peers.get(proxy).tables;
        for (int c = 0; c < tables.length; c++) {
            if (tables[c] >= 0) {
                bindings.merge(tables[c], 1 << c, (a, b) -> a | b);
            }
        }
        return bindings;
    }

    /** Which backends of the tables named are withdrawn. */
    public TreeSet<Backend> withdrawnIn(Iterable<Integer> tables) {
        TreeSet<Backend> withdrawn = new TreeSet<>();
        tables.forEach(t -> withdrawn.addAll(store.withdrawnIn(t)));
        return withdrawn;
    }

    /** Keeps one decision's orders; answers, by proxy, what each joined one concerned is to be told. */
    public TreeMap<Integer, List<Frame.Order>> ordersByProxy(List<Action> actions) {
        TreeMap<Integer, List<Frame.Order>> messages = new TreeMap<>();
        for (Action action : actions) {
            if (action instanceof SetLine a) {
                store.setLine(a.table(), a.backend(), a.weight());
                Frame.Line line = new Frame.Line(a.backend(), a.weight());
                toUsers(messages, a.table(), new Frame.SetLine(a.table(), line));
            } else if (action instanceof Withdraw a) {
                withdraw(messages, a);
            } else if (action instanceof Admit a) {
                store.admit(a.table(), a);
                toUsers(messages, a.table(), new Frame.Admit(a.table(), TableStore.levelFrame(a, classes)));
            } else if (action instanceof Bind a && peers.containsKey(a.proxy())) {
                bind(messages, a);
            } else if (action instanceof Mark a) {
                messages.values().forEach(orders -> orders.add(new Frame.Mark(a.number())));
            }
        }
        return messages;
    }

    private void withdraw(TreeMap<Integer, List<Frame.Order>> messages, Withdraw a) {
        store.withdraw(a.backend(), a.withdrawn());
        if (!a.withdrawn() && listed.get(a.backend()) == Availability.GONE) {
            listed.remove(a.backend()); // the module has let it go
        }
        peers.forEach((proxy, peer) -> {
            if (peer.holds(store, a.backend(), a.boundOnly())) {
                add(messages, proxy, new Frame.Withdraw(a.backend(), a.withdrawn()));
            }
        });
    }

    private void bind(TreeMap<Integer, List<Frame.Order>> messages, Bind bind) {
        Peer peer = peers.get(bind.proxy());
        int set = bind.classMask() == 0 ? (1 << classes) - 1 : bind.classMask();
        for (int c = 0; c < classes; c++) {
            if ((set >> c & 1) == 1) {
                peer.tables[c] = bind.table();
            }
        }
        add(messages, bind.proxy(), new Frame.Bind(set, store.snapshot(bind.table()),
                store.withdrawnIn(bind.table())));
        bind.readmitted().forEach(b -> add(messages, bind.proxy(), new Frame.Withdraw(b, false)));
    }

    private static void add(TreeMap<Integer, List<Frame.Order>> messages, int proxy, Frame.Order order) {
        messages.computeIfAbsent(proxy, p -> new ArrayList<>()).add(order);
    }

    private void toUsers(TreeMap<Integer, List<Frame.Order>> messages, int table, Frame.Order order) {
        peers.forEach((proxy, peer) -> {
            if (peer.classesOn(table) != 0) {
                add(messages, proxy, order);
            }
        });
    }
}
