import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Half of the backends are replaced in two steps, then a new configuration moves discovery to an agent that hears
 * everything later. Nobody may lack a backend for the class that keeps to the proxy's zone.
 */
public final class Case6 {

    private static final int PROXIES = 6;
    private static final long BLACKHOLE_MS = 3000 + 300;
    private static final long COLD_MS = 6000;
    private static final long GRACE_MS = 3000;
    private static final long LATE_MS = 3000;
    private static final long LISTED_AFTER_MS = 1000;
    private static final List<String> CLASSES = List.of("read", "edit", "order");

    private Case6() { }

    public static void main(String[] args) {
        Rig.run(args, Case6::play);
    }

    private static int play(Rig rig) throws Exception {
        Discovery discovery = new Discovery(rig);
        Set<String> listed = new TreeSet<>();
        List<Discovery.Entry> old = new ArrayList<>();
        List<Discovery.Entry> fresh = new ArrayList<>();
        Map<String, Backend> backends = new TreeMap<>();
        for (int i = 0; i < 8; i++) {
            Backend backend = new Backend();
            Discovery.Entry entry = new Discovery.Entry("s-" + (i + 1), backend.port, i < 4 ? "hall-a" : "hall-b",
                    i % 2 == 0 ? "std" : "wide");
            listed.add(entry.id);
            backends.put(entry.id, backend);
            discovery.add(entry);
            if (i < 4) {
                old.add(entry);
                Backend successor = new Backend();
                Discovery.Entry next = new Discovery.Entry("t-" + (i + 1), successor.port, entry.zone, entry.kind);
                backends.put(next.id, successor);
                next.lifecycle = "not listed yet";
                fresh.add(next);
                listed.add("t-" + (i + 1));
            }
        }
        Discovery moved = discovery.follower(LATE_MS);
        int port = Rig.freePort();
        String known = discovery.whole();
        String settings = Settings.json(false, 1, PROXIES, 2400, 3600, 3000, GRACE_MS, COLD_MS, 250);
        Process controller = rig.startController("n1", port, discovery.port(), known, settings);
        final long begun = rig.ms();
        Channel channel = new Channel(2400, 250);
        List<PlainProxy> proxies = new ArrayList<>();
        Map<Integer, AtomicLong> refused = new TreeMap<>();
        Map<Integer, AtomicLong> answered = new TreeMap<>();
        for (int i = 0; i < PROXIES; i++) {
            String zone = i < 3 ? "hall-a" : "hall-b";
            List<String> standing = discovery.entries().stream().filter(e -> e.zone.equals(zone)).map(e -> e.id)
                    .toList();
            PlainProxy proxy = new PlainProxy(rig, i, zone, CLASSES, listed, standing, 10);
            proxies.add(proxy);
            proxy.start(Map.of(port, channel));
            refused.put(i, new AtomicLong());
            answered.put(i, new AtomicLong());
            Rig.daemon("clients-" + i, () -> clients(proxy, backends, refused.get(proxy.node),
                    answered.get(proxy.node)));
        }
        new Reports(port, proxies, discovery, CLASSES, new double[] {4, 4, 4}, 150, 500,
                "util:0.45,inflight:2,latency_ms:55");
        BlackholeJudge judge = new BlackholeJudge(rig, proxies.subList(0, 3), "edit", fresh, COLD_MS);
        rig.sleepUntil(begun + 6000);
        for (int step = 0; step < 2; step++) {
            discovery.set(fresh.subList(2 * step, 2 * step + 2), "in_service",
                    System.currentTimeMillis() - LISTED_AFTER_MS);
            Rig.sleep(600);
            discovery.set(old.subList(2 * step, 2 * step + 2), "terminating", 0);
            Rig.sleep(600);
        }
        if (rig.trouble) {
            rig.writeConfig("n1", port, moved.port(), known, settings);
            judge.waitUntil(rig.ms() + 4000); // time limits wait for 4 s after SIGHUP
            rig.signal(controller, "HUP");
            discovery.end();
        }
        rig.sleepUntil(begun + 35000);
        for (PlainProxy proxy : proxies) {
            rig.note(proxy.state());
            rig.note("proxy " + proxy.node + ": " + answered.get(proxy.node) + " edit requests answered, "
                    + refused.get(proxy.node) + " refused since it had no backend to pick, longest time without one "
                    + judge.longest(proxy.node) + " ms");
        }
        backends.forEach((id, backend) -> rig.note(id + " served " + backend.served));
        rig.requireAlive(List.of(controller), proxies);
        if (proxies.stream().anyMatch(p -> p.resets > 0)) {
            throw new Rig.CannotRun("a proxy could not use an order");
        }
        return rig.verdict(judge.worst() > BLACKHOLE_MS, "longest time of a joined proxy without a backend for edit "
                + "while an open, warm one was listed: " + judge.worst() + " ms, limit " + BLACKHOLE_MS + " ms");
    }

    /** Four requests a second of each class. */
    private static void clients(PlainProxy proxy, Map<String, Backend> backends, AtomicLong refused,
            AtomicLong answered) {
        while (true) {
            for (String cls : CLASSES) {
                String id = proxy.pick(cls);
                boolean good = id != null && Backend.ask(backends.get(id).port, "/" + cls);
                if (cls.equals("edit") && (id == null || good)) {
                    (id == null ? refused : answered).incrementAndGet();
                }
            }
            Rig.sleep(250);
        }
    }
}
