package rowanmoor.proxy;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import rowanmoor.config.ConfigError;
import rowanmoor.config.Section;
import rowanmoor.config.Site;

/**
 * One proxy: the {@code proxy} block beside a {@code site} block.
 *
 * @param number its number, one to a proxy of the site
 * @param requestsPerSecond requests a second that it usually gets
 * @param localAddress local address of its connections, or null for any
 * @param controllers their addresses; it calls them in turn, beginning with {@code firstController}
 * @param redialWaitNs mean wait before the first call after a stream has ended, ns
 * @param controllerTimeoutNs a stream on which nothing is heard for so long has broken, ns
 * @param standingBackends backends used until a controller says otherwise
 * @param backendIdleTimeoutNs a connection to a backend that is not used for so long is closed, ns
 * @param maxClientConnections connections of clients
 * @param connectTimeoutNs how long a backend may take to accept a connection, ns
 */
public record ProxyConfig(Site site, int number, String name, int zone, double requestsPerSecond, InetSocketAddress listen,
        InetSocketAddress localAddress, List<InetSocketAddress> controllers, int firstController, long redialWaitNs,
        long controllerTimeoutNs, List<InetSocketAddress> standingBackends, long backendIdleTimeoutNs, long connectTimeoutNs,
        int maxClientConnections, ForwardingPolicy policy) {

    /** All {@code proxy} blocks of a file; one process may run several. */
    public static List<ProxyConfig> read(Path file) throws ConfigError {
        Section root = Section.read(file);
        Site site = Site.of(root);
        List<ProxyConfig> all = new ArrayList<>();
        for (Section p : root.sections("proxy")) {
            all.add(read(p, site));
        }
        if (all.isEmpty()) {
            root.problem("proxy", "is missing");
        }
        if (all.stream().map(ProxyConfig::number).distinct().count() < all.size()) {
            root.problem("proxy", "a number stands twice");
        }
        root.finish();
        root.check();
        return all;
    }

    private static ProxyConfig read(Section p, Site site) {
        String zone = p.text("zone");
        if (!site.zones().contains(zone)) {
            p.problem("zone", "is not a zone of the site: " + zone);
        }
        int number = p.whole("number", 0, 65534);
        ProxyConfig config = new ProxyConfig(site, number, p.text("name", "proxy-" + number),
                Math.max(0, site.zones().indexOf(zone)), p.rate("rate", 0, 1e6, 10), p.address("listen"),
                p.has("from") ? p.address("from") : null, p.addresses("controllers", true),
                p.whole("first-controller", 0, 63, 0), p.duration("redial", "10ms", "60s", "300ms"),
                p.duration("silent-after", "200ms", "60s", "3s"), p.addresses("standing", true),
                p.duration("idle-for", "100ms", "1h", "15s"),
                p.duration("connect-within", "1ms", "60s", "250ms"),
                p.whole("connections-most", 1, 1 << 20, 4096), ForwardingPolicy.of(p));
        p.finish();
        return config;
    }
}
