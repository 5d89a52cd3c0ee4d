package rowanmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.platform.TestPlatform.MS;
import static rowanmoor.platform.TestPlatform.instance;
import static rowanmoor.platform.TestPlatform.list;

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
import rowanmoor.platform.TestPlatform.Catalogue;
import rowanmoor.platform.TestPlatform.Client;

/**
 * Seeded interleavings of accepting, joining, bytes split anywhere, resets, half-closes, silence, list changes,
 * moves of the catalog and ends. Whatever the order: no descriptor or timer is left, each leave is told once,
 * nothing is ordered to one that has gone, and every wait ends.
 */
class EndPathsTest {

    private static final long SECOND = 1000 * MS;
    private static final int STEPS = 120;
    private static final int PROXIES = 6;

    /** One run of random steps, and what has to hold after them. */
    private static final class Run {
        private final SplittableRandom random;
        private final TestPlatform platform;
        private final List<Catalogue> catalogs = new ArrayList<>();
        private final List<Client> clients = new ArrayList<>();
        private final Set<Client> ended = new HashSet<>();
        private long generation = 1;
        private int at;

        Run(long seed) {
            random = new SplittableRandom(seed);
            platform = new TestPlatform(seed);
            platform.net.setFaults(new MemoryNet.Faults(1 + random.nextInt(200), MS / 10, random.nextInt(1, 30) * MS, 0,
                    0));
            platform.serve(64 + 8 * random.nextInt(4), list(1, true, List.copyOf(platform.instances.values())));
            catalogs.add(platform.catalog);
            catalogs.add(platform.new Catalogue(TestPlatform.ANY));
        }

        void play() {
            for (int i = 0; i < STEPS; i++) {
                step();
                if (random.nextInt(3) > 0) {
                    platform.net.runFor(random.nextLong(120 * MS));
                }
            }
        }

        private void step() {
            switch (random.nextInt(12)) {
                case 0 -> clients.add(platform.client());
                case 1, 2, 3 -> join();
                case 4 -> clients.add(platform.client().raw("*9\r\n$5\r\nhello\r\n$4\r\nno"));
                case 5 -> end(false);
                case 6 -> end(true);
                case 7 -> {
                    if (!clients.isEmpty()) {
                        clients.get(random.nextInt(clients.size())).connection.pause(); // reads nothing
                    }
                }
                case 8 -> change();
                case 9 -> breakWatch();
                case 10 -> move(random.nextInt(3));
                default -> catalogs.forEach(c -> c.beats = random.nextBoolean());
            }
        }

        private void join() {
            int number = random.nextInt(PROXIES);
            clients.add(platform.client().join(number, number % 2 == 0 ? "north" : "south", random.nextInt(2)));
        }

        private void end(boolean reset) {
            if (clients.isEmpty()) {
                return;
            }
            Client client = clients.get(random.nextInt(clients.size()));
            if (reset) {
                client.connection.reset("the test");
            } else {
                client.connection.closeGracefully();
            }
            ended.add(client);
        }

        private void change() {
            List<Map<String, Object>> some = new ArrayList<>();
            for (int i = random.nextInt(3); i < 6; i += 3) {
                some.add(instance("s-" + i, i % 2 == 0 ? "north" : "south",
                        random.nextBoolean() ? "in_service" : "terminating", 0, "127.0.0.1:1"));
            }
            generation += random.nextInt(2);
            boolean whole = random.nextInt(4) == 0;
            catalogs.get(at % 2).tell(Math.max(0, generation - (whole ? random.nextInt(3) : 0)), whole, some);
        }

        private void breakWatch() {
            for (Catalogue catalog : catalogs) {
                List.copyOf(catalog.watches).forEach(w -> {
                    switch (random.nextInt(4)) {
                        case 0 -> w.reset("the test");
                        case 1 -> w.send(TestPlatform.ascii("0\r\n\r\n"));
                        case 2 -> w.send(TestPlatform.ascii("3\r\n{\"g\r\n"));
                        default -> w.send(TestPlatform.ascii("nonsense"));
                    }
                });
            }
        }

        /** To one of the two catalogs, or to an address where nobody is. */
        private void move(int where) {
            at = where;
            InetSocketAddress to = where < 2 ? catalogs.get(where).address
                    : new InetSocketAddress(TestPlatform.ANY.getAddress(), 9);
            platform.service.reload(new PlatformConfig("n1", TestPlatform.ANY, to, 7, 64, list(1, true, List.of()),
                    TestPlatform.told()));
        }

        void judge(String name) {
            catalogs.forEach(c -> c.beats = true);
            move(0);
            platform.net.runFor(4 * SECOND);
            assertEquals(platform.service.joinedCount(), platform.service.openPeers(),
                    name + ": only who has joined holds a descriptor, though some read nothing");
            List<Integer> heard = ended.stream().map(c -> c.heard.size()).toList();
            clients.stream().filter(c -> c.connection.isOpen() && !ended.contains(c)).forEach(c ->
                    c.connection.resume());
            platform.net.runFor(6 * SECOND);
            assertEquals(heard, ended.stream().map(c -> c.heard.size()).toList(),
                    name + ": nothing is ordered to one that has gone");
            assertEquals(1, catalogs.get(0).watches.size(), name + ": one watch, at the right address");
            assertEquals(0, catalogs.get(1).watches.size(), name);
            List<String> there = clients.stream().filter(c -> c.over == null && c.node != null && !ended.contains(c))
                    .map(c -> c.node).toList();
            assertEquals(new TreeSet<>(there).size(), there.size(), name + ": a stream for each proxy");
            assertEquals(there.size(), platform.service.joinedCount(), name + ": who is there is counted");
            assertEquals(there.size(), platform.service.openPeers(), name + ": and nobody else holds a descriptor");
            clients.forEach(c -> c.connection.reset("the end"));
            platform.net.runFor(3 * SECOND);
            assertEquals(0, platform.service.joinedCount(), name);
            assertEquals(0, platform.service.openPeers(), name);
            assertEquals(List.of(), platform.faults, name + ": a leave told twice, or a join over one, throws");
            // Both ends of the watch; its silence, two beats, the statistics, the next turn, probes under way.
            assertTrue(platform.net.openConnectionCount(platform.loop) <= 2 + 2 * 8, name + ": "
                    + platform.net.openConnectionCount(platform.loop) + " connections");
            assertTrue(platform.net.liveTimerCount(platform.loop) <= 5 + 2 * 8, name + ": "
                    + platform.net.liveTimerCount(platform.loop) + " timers");
        }
    }

    @Test
    void whateverTheOrderNothingIsOwedInTheEnd() {
        for (long seed = 1; seed <= 120; seed++) {
            Run run = new Run(seed);
            run.play();
            run.judge("seed " + seed);
        }
    }
}
