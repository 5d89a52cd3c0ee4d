import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * All backends of one hall are lost with its controller and come back cold; the other controller has all proxies.
 * The lines that wait in its channel may never be more than the settings allow.
 */
public final class Case7 {

    private static final int PROXIES = 179;
    private static final int BACKENDS = 115;
    private static final double LINES_PER_SECOND = 2400;
    private static final double MOST_WAITING = 3600;
    private static final int REPORT_LINES = 150; // in half a second
    private static final long LATE_MS = 250;
    private static final long LISTED_AFTER_MS = 1000;
    private static final List<String> CLASSES = List.of("read", "edit", "order");
    /** Requests a second of each class at one proxy: 950 of all. */
    private static final double[] RATES = {2.5, 1.9, 0.9};

    private Case7() { }

    public static void main(String[] args) {
        Rig.run(args, Case7::play);
    }

    private static int play(Rig rig) throws Exception {
        Discovery discovery = new Discovery(rig);
        Set<String> listed = new TreeSet<>();
        List<Discovery.Entry> lost = new ArrayList<>();
        int unused = Rig.freePort(); // nobody connects to a backend here: no probes, and sums instead of requests
        for (int i = 0; i < BACKENDS; i++) {
            Discovery.Entry entry = new Discovery.Entry(String.format("s-%03d", i), unused, i % 2 == 0 ? "hall-a"
                    : "hall-b", i % 20 < 11 ? "std" : "wide");
            listed.add(entry.id);
            discovery.add(entry);
            if (entry.zone.equals("hall-a")) {
                lost.add(entry);
            }
        }
        String settings = Settings.json(true, 2, PROXIES, LINES_PER_SECOND, MOST_WAITING, 3000, 3000, 15000, LATE_MS);
        int[] ports = {Rig.freePort(), Rig.freePort()};
        Channel[] channels = {new Channel(LINES_PER_SECOND, LATE_MS), new Channel(LINES_PER_SECOND, LATE_MS)};
        Process[] controllers = new Process[2];
        for (int i = 0; i < 2; i++) {
            controllers[i] = rig.startController("n" + (i + 1), ports[i], discovery.port(), discovery.whole(),
                    settings);
        }
        final long begun = rig.ms();
        List<PlainProxy> proxies = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            String zone = i % 2 == 0 ? "hall-a" : "hall-b";
            int from = i * 7;
            List<String> ofZone = discovery.entries().stream().filter(e -> e.zone.equals(zone)).map(e -> e.id)
                    .toList();
            List<String> standing = new ArrayList<>();
            for (int k = 0; k < 5; k++) {
                standing.add(ofZone.get((from + 11 * k) % ofZone.size()));
            }
            PlainProxy proxy = new PlainProxy(rig, i, zone, CLASSES, listed, standing, 10);
            proxies.add(proxy);
            Map<Integer, Channel> both = new LinkedHashMap<>();
            int first = i / 2 % 2;
            both.put(ports[first], channels[first]);
            both.put(ports[1 - first], channels[1 - first]);
            proxy.start(both);
        }
        for (int port : ports) {
            new Reports(port, proxies, discovery, CLASSES, RATES, REPORT_LINES, 500,
                    "util:0.55,inflight:2,latency_ms:140");
        }
        Rig.daemon("watch", () -> {
            while (true) {
                Rig.sleep(1000);
                long at1 = proxies.stream().filter(p -> p.isJoined() && p.controller() == ports[0]).count();
                long at2 = proxies.stream().filter(p -> p.isJoined() && p.controller() == ports[1]).count();
                rig.note("proxies " + at1 + " and " + at2 + ", most waiting so far " + channels[0].mostWaiting() + " and "
                        + channels[1].mostWaiting() + ", sent " + channels[0].sentLines() + " and "
                        + channels[1].sentLines());
            }
        });
        rig.sleepUntil(begun + 15000);
        if (rig.trouble) {
            controllers[0].destroyForcibly();
            rig.note("hall-a is lost: its backends and controller n1");
            rig.sleepUntil(begun + 16500);
            discovery.set(lost, "terminated", 0);
            rig.sleepUntil(begun + 30000);
            controllers[0] = rig.startController("n1", ports[0], discovery.port(), discovery.whole(), settings);
            discovery.set(lost, "in_service", System.currentTimeMillis() - LISTED_AFTER_MS);
        }
        rig.sleepUntil(begun + 50000);
        rig.note("longest message " + proxies.stream().mapToDouble(p -> p.mostAtOnce).max().orElse(0));
        if (proxies.stream().anyMatch(p -> p.resets > 0)) {
            rig.note("a proxy could not use an order");
        }
        rig.requireAlive(List.of(controllers), proxies);
        double most = Math.max(channels[0].mostWaiting(), channels[1].mostWaiting());
        return rig.verdict(most > MOST_WAITING, "most lines that waited in a channel: " + most + ", limit "
                + MOST_WAITING);
    }
}
