import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A backend with so much capacity: requests wait in line, and one that finds the line full is declined with 503. After
 * a start its capacity rises evenly from the cold share to the full. Counts what arrives, declined or not.
 */
final class LoadedBackend {

    private record Arrival(long atMs, double capacity) { }

    private static final ExecutorService WORKERS = Executors.newCachedThreadPool(body -> {
        Thread thread = new Thread(null, body, "backend", 128 << 10);
        thread.setDaemon(true);
        return thread;
    });

    final int port;
    private final double warmPerSecond;
    private final double coldFrom;
    private final long coldMs;
    private final long spanMs;
    private final int queueMost;
    private final ArrayDeque<Arrival> recent = new ArrayDeque<>();
    private HttpServer server;
    private long startedAtMs;
    private double freeAtMs;
    private long arrived;
    private double worstRatio;
    private String worst = "";

    /**
     * @param warmPerSecond requests a second that it can do when warm
     * @param spanMs the span over which arrivals are compared with the capacity
     */
    LoadedBackend(double warmPerSecond, double coldFrom, long coldMs, long spanMs, int queueMost)
            throws IOException {
        this.port = Rig.freePort();
        this.warmPerSecond = warmPerSecond;
        this.coldFrom = coldFrom;
        this.coldMs = coldMs;
        this.spanMs = spanMs;
        this.queueMost = queueMost;
        start(0);
    }

    /** @param wallMs the time of the start; 0 for long ago */
    void start(long wallMs) throws IOException {
        synchronized (this) {
            startedAtMs = wallMs;
            freeAtMs = 0;
            recent.clear();
        }
        server = HttpServer.create(new InetSocketAddress(Rig.HOST, port), 128);
        server.setExecutor(WORKERS);
        server.createContext("/", exchange -> {
            long wait = arrive();
            if (wait < 0) {
                exchange.getResponseHeaders().add("Srv-Declined", "1");
                exchange.sendResponseHeaders(503, -1);
            } else {
                Rig.sleep(wait);
                exchange.sendResponseHeaders(200, -1);
            }
            exchange.close();
        });
        server.start();
    }

    void stop() {
        server.stop(0);
    }

    private double capacity(long wallMs) {
        double age = startedAtMs == 0 ? 1 : (wallMs - startedAtMs) / (double) coldMs;
        return warmPerSecond * Math.min(1, coldFrom + (1 - coldFrom) * age);
    }

    /** Takes in a request; returns the time that it takes, or -1 if it is declined. */
    private synchronized long arrive() {
        long now = System.currentTimeMillis();
        double capacity = capacity(now);
        arrived++;
        recent.add(new Arrival(now, capacity));
        while (recent.peek().atMs() <= now - spanMs) {
            recent.poll();
        }
        if (startedAtMs > 0 && now - startedAtMs < coldMs) {
            // The capacity of now is the highest of the span.
            double ratio = recent.size() / (capacity * spanMs / 1000);
            if (ratio > worstRatio) {
                worstRatio = ratio;
                worst = recent.size() + " requests within " + spanMs + " ms, " + (now - startedAtMs)
                        + " ms after its start, when it can do " + Math.round(capacity * 10) / 10.0 + " a second";
            }
        }
        double begin = Math.max(now, freeAtMs);
        if ((begin - now) / 1000 * capacity > queueMost) {
            return -1;
        }
        freeAtMs = begin + 1000 / capacity;
        return Math.max(1, (long) (freeAtMs - now));
    }

    /** The share of its capacity that is in use. */
    synchronized double utilization() {
        long now = System.currentTimeMillis();
        long inSpan = recent.stream().filter(a -> a.atMs() > now - spanMs).count();
        return Math.min(1, inSpan / (capacity(now) * spanMs / 1000));
    }

    /** The most that was sent while it was cold, as a multiple of what it could do. */
    synchronized double worstRatio() {
        return worstRatio;
    }

    synchronized String worst() {
        return worst;
    }

    synchronized long arrived() {
        return arrived;
    }
}
