package rowanmoor.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * One controller: the {@code controller} block beside a {@code site} block.
 *
 * @param rank its number among the site's controllers, from 0
 * @param minTickNs shortest time between two decisions, ns
 * @param helloTimeoutNs how long a new stream may say nothing, ns
 * @param proxyTimeoutNs a stream on which nothing is heard for so long has broken, ns
 * @param serviceName the roster's name of the backends' service
 * @param rosterWaitNs how long the roster may hold a question open, ns
 * @param emptyRosterHoldNs how long the roster must go on saying that there are no backends to be believed, ns
 * @param probePath where backends answer probes
 * @param traceFile file for what was heard and ordered, or null
 * @param capture where load is captured, or null
 */
public record ControllerConfig(Site site, int rank, int instances, int zoneIndex, InetSocketAddress listenAddress,
        long minTickNs,
        long helloTimeoutNs, long proxyTimeoutNs, int maxStreams, long maxQueuedBytes, InetSocketAddress rosterAddress,
        String serviceName, long rosterWaitNs, long emptyRosterHoldNs, String probePath, long probeTimeoutNs, int maxConcurrentProbes,
        Path traceFile, CaptureConfig capture, long statsIntervalNs) {

    public static ControllerConfig read(Path file) throws ConfigException {
        return read(Section.read(file));
    }

    static ControllerConfig read(Section root) throws ConfigException {
        Site site = Site.of(root);
        Section c = root.section("controller");
        int instances = c.integer("instances", 1, 64, 1);
        int rank = c.integer("rank", 0, 63, 0);
        if (rank >= instances) {
            c.addProblem("rank", "is not below instances (" + instances + ")");
        }
        String zone = c.string("zone");
        if (!site.zones().contains(zone)) {
            c.addProblem("zone", "is not a zone of the site: " + zone);
        }
        Section r = c.section("roster");
        Section p = c.has("probes") ? c.section("probes") : null;
        String trace = c.string("trace", "");
        ControllerConfig config = new ControllerConfig(site, rank, instances,
                Math.max(0, site.zones().indexOf(zone)), c.address("listen"),
                c.durationNs("tick", "1ms", "1s", "5ms"), c.durationNs("hello-within", "100ms", "60s", "5s"),
                c.durationNs("silent-after", "200ms", "60s", "3s"), c.integer("streams-most", 1, 65535, 4096),
                c.integer("queue-bytes", 1024, 1 << 30, 1 << 20), r.address("at"), r.string("service"),
                r.durationNs("wait", "100ms", "10min", "10s"), r.durationNs("empty-hold", "0s", "10min", "5s"),
                p == null ? "/load" : p.string("path", "/load"),
                p == null ? Section.parseDurationNs("250ms") : p.durationNs("within", "10ms", "60s", "250ms"),
                p == null ? 16 : p.integer("at-once", 1, 4096, 16),
                trace.isEmpty() ? null : Path.of(trace),
                c.has("capture") ? CaptureConfig.read(c.section("capture")) : null,
                c.durationNs("stats-every", "100ms", "1h", "10s"));
        r.rejectUnknownKeys();
        if (p != null) {
            p.rejectUnknownKeys();
        }
        c.rejectUnknownKeys();
        root.rejectUnknownKeys();
        root.throwIfInvalid();
        return config;
    }
}
