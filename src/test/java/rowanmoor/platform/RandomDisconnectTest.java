package rowanmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.platform.InMemoryPlatform.MS;
import static rowanmoor.platform.InMemoryPlatform.catalogObject;
import static rowanmoor.platform.InMemoryPlatform.instance;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import rowanmoor.net.MemoryNet;
import rowanmoor.platform.InMemoryPlatform.FakeCatalog;
import rowanmoor.platform.InMemoryPlatform.FakePeer;

/**
 * Seeded random sequences of accepts, joins, bytes split anywhere, resets, half-closes, silence, list changes, moves
 * of the catalog and disconnects. In any order: no descriptor or timer leaks, each leave is reported once, nothing
 * is sent to a proxy that has left, and every wait ends.
 */
class RandomDisconnectTest {

    private static final long SECOND = 1000 * MS;
    private static final int STEPS = 120;
    private static final int PROXIES = 6;

    /** One sequence of random steps, and the checks after it. */
    private static final class Run {
        private final SplittableRandom random;
        private final InMemoryPlatform platform;
        private final List<FakeCatalog> catalogs = new ArrayList<>();
        private final List<FakePeer> peers = new ArrayList<>();
        private final Set<FakePeer> ended = new HashSet<>();
        private long generation = 1;
        private int configuredCatalog;

        Run(long seed) {
            random = new SplittableRandom(seed);
            platform = new InMemoryPlatform(seed);
            platform.net.setFaults(new MemoryNet.Faults(1 + random.nextInt(200), MS / 10, random.nextInt(1, 30) * MS, 0,
                    0));
            platform.start(64 + 8 * random.nextInt(4), catalogObject(1, true, List.copyOf(platform.instances.values())));
            catalogs.add(platform.catalog);
            catalogs.add(platform.new FakeCatalog(InMemoryPlatform.LOOPBACK));
        }

        void runSteps() {
            for (int i = 0; i < STEPS; i++) {
                step();
                if (random.nextInt(3) > 0) {
                    platform.net.runFor(random.nextLong(120 * MS));
                }
            }
        }

        private void step() {
            switch (random.nextInt(12)) {
                case 0 -> peers.add(platform.connectPeer());
                case 1, 2, 3 -> joinPeer();
                case 4 -> peers.add(platform.connectPeer().sendRaw("*9\r\n$5\r\nhello\r\n$4\r\nno"));
                case 5 -> endRandomPeer(false);
                case 6 -> endRandomPeer(true);
                case 7 -> {
                    if (!peers.isEmpty()) {
                        peers.get(random.nextInt(peers.size())).connection.pause(); // stops reading
                    }
                }
                case 8 -> changeInstances();
                case 9 -> breakWatches();
                case 10 -> moveCatalog(random.nextInt(3));
                default -> catalogs.forEach(c -> c.keepAlive = random.nextBoolean());
            }
        }

        private void joinPeer() {
            int number = random.nextInt(PROXIES);
            peers.add(platform.connectPeer().join(number, number % 2 == 0 ? "north" : "south", random.nextInt(2)));
        }

        private void endRandomPeer(boolean reset) {
            if (peers.isEmpty()) {
                return;
            }
            FakePeer peer = peers.get(random.nextInt(peers.size()));
            if (reset) {
                peer.connection.reset("the test");
            } else {
                peer.connection.closeGracefully();
            }
            ended.add(peer);
        }

        private void changeInstances() {
            List<Map<String, Object>> entries = new ArrayList<>();
            for (int i = random.nextInt(3); i < 6; i += 3) {
                entries.add(instance("s-" + i, i % 2 == 0 ? "north" : "south",
                        random.nextBoolean() ? "in_service" : "terminating", 0, "127.0.0.1:1"));
            }
            generation += random.nextInt(2);
            boolean full = random.nextInt(4) == 0;
            catalogs.get(configuredCatalog % 2).send(Math.max(0, generation - (full ? random.nextInt(3) : 0)),
                    full, entries);
        }

        private void breakWatches() {
            for (FakeCatalog catalog : catalogs) {
                List.copyOf(catalog.watches).forEach(w -> {
                    switch (random.nextInt(4)) {
                        case 0 -> w.reset("the test");
                        case 1 -> w.send(InMemoryPlatform.asciiBytes("0\r\n\r\n"));
                        case 2 -> w.send(InMemoryPlatform.asciiBytes("3\r\n{\"g\r\n"));
                        default -> w.send(InMemoryPlatform.asciiBytes("nonsense"));
                    }
                });
            }
        }

        /** Moves to one of the two catalogs, or, for 2, to an address where nothing listens. */
        private void moveCatalog(int target) {
            configuredCatalog = target;
            InetSocketAddress address = target < 2 ? catalogs.get(target).address
                    : new InetSocketAddress(InMemoryPlatform.LOOPBACK.getAddress(), 9);
            platform.controller.reload(new PlatformConfig("n1", InMemoryPlatform.LOOPBACK, address, 7, 64,
                    catalogObject(1, true, List.of()), InMemoryPlatform.namedSettings()));
        }

        void verify(String name) {
            catalogs.forEach(c -> c.keepAlive = true);
            moveCatalog(0);
            platform.net.runFor(4 * SECOND);
            assertEquals(platform.controller.joinedProxies(), platform.controller.openConnections(),
                    name + ": only joined peers hold a descriptor, although some do not read");
            List<Integer> messagesBefore = ended.stream().map(c -> c.messages.size()).toList();
            peers.stream().filter(c -> c.connection.isOpen() && !ended.contains(c)).forEach(c ->
                    c.connection.resume());
            platform.net.runFor(6 * SECOND);
            assertEquals(messagesBefore, ended.stream().map(c -> c.messages.size()).toList(),
                    name + ": nothing is sent to a peer that has left");
            assertEquals(1, catalogs.get(0).watches.size(), name + ": one watch, at the configured address");
            assertEquals(0, catalogs.get(1).watches.size(), name);
            List<String> present = peers.stream().filter(c -> c.closeReason == null && c.nodeId != null && !ended.contains(c))
                    .map(c -> c.nodeId).toList();
            assertEquals(new TreeSet<>(present).size(), present.size(), name + ": one stream per proxy");
            assertEquals(present.size(), platform.controller.joinedProxies(), name + ": joined proxies are counted");
            assertEquals(present.size(), platform.controller.openConnections(), name + ": no other peer holds a descriptor");
            peers.forEach(c -> c.connection.reset("the end"));
            platform.net.runFor(3 * SECOND);
            assertEquals(0, platform.controller.joinedProxies(), name);
            assertEquals(0, platform.controller.openConnections(), name);
            assertEquals(List.of(), platform.faults, name + ": a leave reported twice, or a join of a joined proxy, throws");
            // Connections: both ends of the watch, probes in progress. Timers: the watch's silence, two keep-alives,
            // statistics, the next tick, probes.
            assertTrue(platform.net.openConnectionCount(platform.loop) <= 2 + 2 * 8, name + ": "
                    + platform.net.openConnectionCount(platform.loop) + " connections");
            assertTrue(platform.net.liveTimerCount(platform.loop) <= 5 + 2 * 8, name + ": "
                    + platform.net.liveTimerCount(platform.loop) + " timers");
        }
    }

    @Test
    void randomDisconnectsLeakNothing() {
        for (long seed = 1; seed <= 120; seed++) {
            Run run = new Run(seed);
            run.runSteps();
            run.verify("seed " + seed);
        }
    }
}
