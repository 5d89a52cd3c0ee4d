import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/** The collector of one zone: sums up tries and passes them on once an interval. */
final class Collector {

    private final String zone;
    private final int port;
    private final long intervalMs;
    /** By backend: tries, failed ones, and the time of the others in ms. */
    private final Map<String, long[]> sums = new TreeMap<>();
    private final UnaryOperator<String> metrics;
    private Socket socket;

    Collector(String zone, int port, long intervalMs) {
        this(zone, port, intervalMs, backend -> "util:0.45,inflight:2,latency_ms:55");
    }

    /** @param metrics the newest load report of a backend */
    Collector(String zone, int port, long intervalMs, UnaryOperator<String> metrics) {
        this.metrics = metrics;
        this.zone = zone;
        this.port = port;
        this.intervalMs = intervalMs;
        Rig.daemon("collector-" + zone, this::run);
    }

    synchronized void add(String backend, long tries, long failed) {
        add(backend, tries, failed, 60 * (tries - failed));
    }

    synchronized void add(String backend, long tries, long failed, long goodMs) {
        long[] sum = sums.computeIfAbsent(backend, id -> new long[3]);
        sum[0] += tries;
        sum[1] += failed;
        sum[2] += goodMs;
    }

    private void run() {
        while (true) {
            Rig.sleep(intervalMs);
            try {
                if (socket == null) {
                    socket = new Socket(Rig.HOST, port);
                    socket.getOutputStream().write(Resp.encode(List.of("agent", "locality", zone)));
                }
                report();
            } catch (IOException e) {
                socket = null;
            }
        }
    }

    private synchronized void report() throws IOException {
        for (Map.Entry<String, long[]> sum : sums.entrySet()) {
            socket.getOutputStream().write(Resp.encode(List.of("outcomes", "locality", zone, "endpoint",
                    sum.getKey(), "total", "" + sum.getValue()[0], "errors", "" + sum.getValue()[1], "rtt",
                    "" + sum.getValue()[2] / (double) Math.max(1, sum.getValue()[0] - sum.getValue()[1]),
                    "interval", intervalMs + ".0", "metrics", metrics.apply(sum.getKey()))));
        }
        sums.clear();
    }
}
