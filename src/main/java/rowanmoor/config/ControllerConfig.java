package rowanmoor.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * Configuration of one controller: the {@code controller} block next to a {@code site} block.
 *
 * @param rank number of the controller within the site, from 0
 * @param instances number of controllers in the site
 * @param zoneIndex index of the controller's zone in the site's list of zones
 * @param listenAddress address on which proxies connect
 * @param minTickNs minimum time between two decisions
 * @param helloTimeoutNs time within which a new stream must send its first message
 * @param proxyTimeoutNs time without data after which a stream is considered broken
 * @param maxStreams maximum number of streams from proxies
 * @param maxQueuedBytes maximum number of bytes queued for a proxy that does not read
 * @param serviceName name of the backends' service in the roster
 * @param rosterWaitNs how long the roster may hold a blocking query open
 * @param emptyRosterHoldNs how long the roster must report no backends before that is accepted
 * @param probePath request path at which backends answer probes
 * @param probeTimeoutNs time within which a backend must answer a probe
 * @param traceFile file for a trace of events and actions, or null
 * @param capture where load is captured, or null
 * @param statsIntervalNs time between two log lines with statistics
 */
public record ControllerConfig(Site site, int rank, int instances, int zoneIndex,
        InetSocketAddress listenAddress, long minTickNs, long helloTimeoutNs, long proxyTimeoutNs,
        int maxStreams, long maxQueuedBytes, InetSocketAddress rosterAddress, String serviceName,
        long rosterWaitNs, long emptyRosterHoldNs, String probePath, long probeTimeoutNs,
        int maxConcurrentProbes, Path traceFile, CaptureConfig capture, long statsIntervalNs) {

    /**
     * Reads a controller's configuration from a file.
     *
     * @throws ConfigException with all problems of the file
     */
    public static ControllerConfig read(Path file) throws ConfigException {
        return read(Section.read(file));
    }

    static ControllerConfig read(Section root) throws ConfigException {
        Site site = Site.of(root);
        Section controller = root.section("controller");
        int instances = controller.integer("instances", 1, 64, 1);
        int rank = controller.integer("rank", 0, 63, 0);
        if (rank >= instances) {
            controller.addProblem("rank", "must be less than instances (" + instances + ")");
        }
        String zone = controller.string("zone");
        if (!site.zones().contains(zone)) {
            controller.addProblem("zone", "is not a zone of the site: " + zone);
        }
        Section roster = controller.section("roster");
        Section probes = controller.has("probes") ? controller.section("probes") : null;
        String traceFile = controller.string("trace", "");
        ControllerConfig config = new ControllerConfig(site, rank, instances,
                Math.max(0, site.zones().indexOf(zone)), controller.address("listen"),
                controller.durationNs("tick", "1ms", "1s", "5ms"),
                controller.durationNs("hello-within", "100ms", "60s", "5s"),
                controller.durationNs("silent-after", "200ms", "60s", "3s"),
                controller.integer("streams-most", 1, 65535, 4096),
                controller.integer("queue-bytes", 1024, 1 << 30, 1 << 20), roster.address("at"),
                roster.string("service"), roster.durationNs("wait", "100ms", "10min", "10s"),
                roster.durationNs("empty-hold", "0s", "10min", "5s"),
                probes == null ? "/load" : probes.string("path", "/load"),
                probes == null ? Section.parseDurationNs("250ms")
                        : probes.durationNs("within", "10ms", "60s", "250ms"),
                probes == null ? 16 : probes.integer("at-once", 1, 4096, 16),
                traceFile.isEmpty() ? null : Path.of(traceFile),
                controller.has("capture") ? CaptureConfig.read(controller.section("capture")) : null,
                controller.durationNs("stats-every", "100ms", "1h", "10s"));
        roster.rejectUnknownKeys();
        if (probes != null) {
            probes.rejectUnknownKeys();
        }
        controller.rejectUnknownKeys();
        root.rejectUnknownKeys();
        root.throwIfInvalid();
        return config;
    }
}
