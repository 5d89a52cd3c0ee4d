import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The collector of one zone: sums up tries and passes them on once an interval. */
final class Collector {

    private final String zone;
    private final int port;
    private final long intervalMs;
    private final Map<String, long[]> sums = new TreeMap<>();
    private Socket socket;

    Collector(String zone, int port, long intervalMs) {
        this.zone = zone;
        this.port = port;
        this.intervalMs = intervalMs;
        Rig.daemon("collector-" + zone, this::run);
    }

    synchronized void add(String backend, long tries, long failed) {
        long[] sum = sums.computeIfAbsent(backend, id -> new long[2]);
        sum[0] += tries;
        sum[1] += failed;
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
                    "60.0", "interval", intervalMs + ".0", "metrics",
                    "util:0.45,inflight:2,latency_ms:55")));
        }
        sums.clear();
    }
}
