import java.io.IOException;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one controller is told of requests: so many lines an interval, each in turn. The sums follow from the
 * proxies' tables and from a rate that is the same for all proxies; a backend that is not listed answers nothing.
 */
final class Reports implements Runnable {

    private final int port;
    private final List<PlainProxy> proxies;
    private final Discovery discovery;
    private final List<String> classes;
    private final double[] ratePerProxy;
    private final int linesPerInterval;
    private final long intervalMs;
    private final String metrics;
    private final Map<String, Long> reportedAt = new HashMap<>();
    private final Map<String, Socket> sockets = new HashMap<>();
    private int next;
    private final List<String> zones;

    Reports(int port, List<PlainProxy> proxies, Discovery discovery, List<String> classes, double[] ratePerProxy,
            int linesPerInterval, long intervalMs, String metrics) {
        this.zones = discovery.entries().stream().map(e -> e.zone).distinct().toList();
        this.port = port;
        this.proxies = proxies;
        this.discovery = discovery;
        this.classes = classes;
        this.ratePerProxy = ratePerProxy;
        this.linesPerInterval = linesPerInterval;
        this.intervalMs = intervalMs;
        this.metrics = metrics;
        Rig.daemon("reports-" + port, this);
    }

    @Override
    public void run() {
        while (true) {
            Rig.sleep(intervalMs);
            try {
                report();
            } catch (IOException e) {
                sockets.clear();
            }
        }
    }

    private void report() throws IOException {
        for (String zone : zones) {
            if (!sockets.containsKey(zone)) {
                Socket socket = new Socket(Rig.HOST, port);
                socket.getOutputStream().write(Resp.encode(List.of("agent", "locality", zone)));
                sockets.put(zone, socket);
            }
        }
        Map<String, TreeMap<String, Double>> rates = new HashMap<>();
        zones.forEach(zone -> rates.put(zone, new TreeMap<>()));
        List<PlainProxy> joined = proxies.stream().filter(p -> p.isJoined() && p.controller() == port).toList();
        for (PlainProxy proxy : joined) {
            for (int c = 0; c < classes.size(); c++) {
                TreeMap<String, Double> lines = proxy.usableLines(classes.get(c));
                double sum = lines.values().stream().mapToDouble(w -> w).sum();
                double rate = ratePerProxy[c];
                lines.forEach((id, weight) -> rates.get(proxy.zone).merge(id, rate * weight / sum, Double::sum));
            }
        }
        List<Discovery.Entry> entries = discovery.entries();
        int outcomes = zones.size() * entries.size();
        int kinds = outcomes + classes.size() * proxies.size();
        for (int left = linesPerInterval, tried = 0; left > 0 && tried < kinds; tried++) {
            int line = next;
            next = (next + 1) % kinds;
            if (line < outcomes) {
                String zone = zones.get(line % zones.size());
                Discovery.Entry entry = entries.get(line / zones.size());
                double seconds = secondsSince("o" + line);
                long tries = Math.round(rates.get(zone).getOrDefault(entry.id, 0.0) * seconds);
                if (tries > 0) {
                    tell(zone, entry, tries, seconds);
                    left--;
                }
            } else {
                int c = (line - outcomes) % classes.size();
                PlainProxy proxy = proxies.get((line - outcomes) / classes.size());
                double seconds = secondsSince("d" + line);
                long total = Math.round(ratePerProxy[c] * seconds);
                if (joined.contains(proxy) && total > 0) {
                    proxy.demand(classes.get(c), total, seconds * 1000);
                    left--;
                }
            }
        }
    }

    private void tell(String zone, Discovery.Entry entry, long tries, double seconds) throws IOException {
        long failed = entry.lifecycle.equals("terminated") ? tries : 0;
        List<String> words = new java.util.ArrayList<>(List.of("outcomes", "locality", zone, "endpoint", entry.id,
                "total", "" + tries, "errors", "" + failed, "rtt", "150.0", "interval", "" + seconds * 1000));
        if (!metrics.isEmpty()) {
            words.addAll(List.of("metrics", metrics));
        }
        sockets.get(zone).getOutputStream().write(Resp.encode(words));
    }

    private double secondsSince(String key) {
        long now = System.nanoTime();
        Long before = reportedAt.put(key, now);
        return before == null ? intervalMs / 1000.0 : (now - before) / 1e9;
    }
}
