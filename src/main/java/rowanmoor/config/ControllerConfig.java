package rowanmoor.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * One controller: the {@code controller} block beside a {@code site} block.
 *
 * @param rank its number among the site's controllers, from 0
 * @param tick shortest time between two decisions, ns
 * @param helloWithin how long a new stream may say nothing, ns
 * @param silentAfter a stream on which nothing is heard for so long has broken, ns
 * @param service the roster's name of the backends' service
 * @param rosterWait how long the roster may hold a question open, ns
 * @param emptyHold how long the roster must go on saying that there are no backends to be believed, ns
 * @param probePath where backends answer probes
 * @param trace file for what was heard and ordered, or null
 * @param capture where load is captured, or null
 */
public record ControllerConfig(Site site, int rank, int instances, int zone, InetSocketAddress listen,
        long tick,
        long helloWithin, long silentAfter, int streamsMost, long queueBytes, InetSocketAddress roster,
        String service, long rosterWait, long emptyHold, String probePath, long probeWithin, int probesAtOnce,
        Path trace, CaptureConfig capture, long statsEvery) {

    public static ControllerConfig read(Path file) throws ConfigError {
        return read(Section.read(file));
    }

    static ControllerConfig read(Section root) throws ConfigError {
        Site site = Site.of(root);
        Section c = root.section("controller");
        int instances = c.whole("instances", 1, 64, 1);
        int rank = c.whole("rank", 0, 63, 0);
        if (rank >= instances) {
            c.problem("rank", "is not below instances (" + instances + ")");
        }
        String zone = c.text("zone");
        if (!site.zones().contains(zone)) {
            c.problem("zone", "is not a zone of the site: " + zone);
        }
        Section r = c.section("roster");
        Section p = c.has("probes") ? c.section("probes") : null;
        String trace = c.text("trace", "");
        ControllerConfig config = new ControllerConfig(site, rank, instances,
                Math.max(0, site.zones().indexOf(zone)), c.address("listen"),
                c.duration("tick", "1ms", "1s", "5ms"), c.duration("hello-within", "100ms", "60s", "5s"),
                c.duration("silent-after", "200ms", "60s", "3s"), c.whole("streams-most", 1, 65535, 4096),
                c.whole("queue-bytes", 1024, 1 << 30, 1 << 20), r.address("at"), r.text("service"),
                r.duration("wait", "100ms", "10min", "10s"), r.duration("empty-hold", "0s", "10min", "5s"),
                p == null ? "/load" : p.text("path", "/load"),
                p == null ? Section.nanos("250ms") : p.duration("within", "10ms", "60s", "250ms"),
                p == null ? 16 : p.whole("at-once", 1, 4096, 16),
                trace.isEmpty() ? null : Path.of(trace),
                c.has("capture") ? CaptureConfig.read(c.section("capture")) : null,
                c.duration("stats-every", "100ms", "1h", "10s"));
        r.finish();
        if (p != null) {
            p.finish();
        }
        c.finish();
        root.finish();
        root.check();
        return config;
    }
}
