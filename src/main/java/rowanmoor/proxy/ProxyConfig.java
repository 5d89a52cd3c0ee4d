package rowanmoor.proxy;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import rowanmoor.config.ConfigException;
import rowanmoor.config.Section;
import rowanmoor.config.Site;

/**
 * Settings of one proxy: a {@code proxy} block beside a {@code site} block.
 *
 * @param number number of the proxy, unique within the site
 * @param name name of the proxy in {@code Via} fields and towards controllers
 * @param zone index of its zone in the site
 * @param requestsPerSecond expected request rate in normal operation
 * @param listen address on which it accepts clients
 * @param localAddress local address of its connections, or null for any
 * @param controllers addresses of the controllers, tried in rotation from index {@code firstController}
 * @param redialWaitNs mean wait before the first reconnection after a stream has ended
 * @param controllerTimeoutNs a stream on which nothing arrives for this long is taken as broken
 * @param standingBackends backends used until a controller binds a table
 * @param backendIdleTimeoutNs idle time after which a connection to a backend is closed
 * @param connectTimeoutNs how long a backend may take to accept a connection
 * @param maxClientConnections limit of client connections
 * @param policy limits, time-outs and retry budget for requests
 */
public record ProxyConfig(Site site, int number, String name, int zone, double requestsPerSecond,
        InetSocketAddress listen, InetSocketAddress localAddress, List<InetSocketAddress> controllers,
        int firstController, long redialWaitNs, long controllerTimeoutNs,
        List<InetSocketAddress> standingBackends, long backendIdleTimeoutNs, long connectTimeoutNs,
        int maxClientConnections, ForwardingPolicy policy) {

    /**
     * Reads all {@code proxy} blocks of a file; one process may run several proxies.
     *
     * @throws ConfigException with all problems of the file
     */
    public static List<ProxyConfig> read(Path file) throws ConfigException {
        Section root = Section.read(file);
        Site site = Site.of(root);
        List<ProxyConfig> all = new ArrayList<>();
        for (Section section : root.sections("proxy")) {
            all.add(read(section, site));
        }
        if (all.isEmpty()) {
            root.addProblem("proxy", "is missing");
        }
        if (all.stream().map(ProxyConfig::number).distinct().count() < all.size()) {
            root.addProblem("proxy", "has the same number as another one");
        }
        root.rejectUnknownKeys();
        root.throwIfInvalid();
        return all;
    }

    private static ProxyConfig read(Section section, Site site) {
        String zone = section.string("zone");
        if (!site.zones().contains(zone)) {
            section.addProblem("zone", "is not a zone of the site: " + zone);
        }
        int number = section.integer("number", 0, 65534);
        ProxyConfig config = new ProxyConfig(site, number, section.string("name", "proxy-" + number),
                Math.max(0, site.zones().indexOf(zone)), section.ratePerSecond("rate", 0, 1e6, 10),
                section.address("listen"), section.has("from") ? section.address("from") : null,
                section.addresses("controllers", true), section.integer("first-controller", 0, 63, 0),
                section.durationNs("redial", "10ms", "60s", "300ms"),
                section.durationNs("silent-after", "200ms", "60s", "3s"),
                section.addresses("standing", true),
                section.durationNs("idle-for", "100ms", "1h", "15s"),
                section.durationNs("connect-within", "1ms", "60s", "250ms"),
                section.integer("connections-most", 1, 1 << 20, 4096), ForwardingPolicy.of(section));
        section.rejectUnknownKeys();
        return config;
    }
}
