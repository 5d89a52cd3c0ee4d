package rowanmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.platform.TestPlatform.MS;
import static rowanmoor.platform.TestPlatform.WALL;
import static rowanmoor.platform.TestPlatform.instance;
import static rowanmoor.platform.TestPlatform.list;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rowanmoor.platform.TestPlatform.Client;

/** One controller of the platform whole, in memory, with peers that do anything. */
class ServiceTest {

    private static final long SECOND = 1000 * MS;

    private final TestPlatform platform = new TestPlatform();

    @AfterEach
    void nothingThrew() {
        assertEquals(List.of(), platform.faults);
    }

    private void run(long nanos) {
        platform.net.runFor(nanos);
    }

    private Client joined(int number) {
        Client client = platform.client().join(number, number % 2 == 0 ? "north" : "south", 1);
        run(20 * MS);
        return client;
    }

    // ---- serving -------------------------------------------------------------------------------------

    @Test
    void itAnswersASignOfLifeAndServesProxies() {
        platform.serve();
        Client probe = platform.client().say("probe");
        run(20 * MS);
        assertEquals(List.of(List.of("alive")), probe.heard);
        Client proxy = platform.client().join(3, "south", 1);
        run(200 * MS);
        assertEquals(new TreeSet<>(platform.instances.keySet()), proxy.table().keySet());
        assertEquals("1", proxy.pushes().get(0).get("full"));
        assertTrue(proxy.pushes().get(0).containsKey("nonce_out"));
        run(20 * SECOND);
        assertTrue(platform.probesAnswered >= 5, "backends were probed: " + platform.probesAnswered);
        assertNull(proxy.over);
    }

    @Test
    void discoveryDownAtTheStartTheKnownListServes() {
        platform.catalog.first = "";
        platform.catalog.beats = false;
        platform.serve();
        Client proxy = joined(1);
        run(8 * SECOND);
        assertEquals(6, proxy.table().size());
        assertTrue(platform.catalog.asked.size() >= 2, "a silent catalog is asked anew");
    }

    @Test
    void withNothingKnownProxiesKeepWhatTheyHoldUntilTheListComes() {
        platform.serve(256, list(0, true, List.of()));
        Client proxy = joined(1);
        run(SECOND);
        assertEquals(List.of(), proxy.pushes());
        platform.catalog.tell(1, true, List.copyOf(platform.instances.values()));
        run(SECOND);
        assertEquals(6, proxy.table().size());
    }

    // ---- discovery -----------------------------------------------------------------------------------

    @Test
    void aDrainReachesProxiesAtOnceAndAReturnBringsItBack() {
        platform.serve();
        Client proxy = joined(1);
        run(3 * SECOND);
        platform.catalog.tell(2, false, List.of(instance("s-2", "north", "terminating", 0, "127.0.0.1:1")));
        run(200 * MS);
        assertEquals(List.of("s-2"), proxy.shutOut());
        platform.catalog.tell(3, false, List.of(instance("s-2", "north", "in_service", 0, "127.0.0.1:1")));
        run(2 * SECOND);
        assertEquals(List.of(), proxy.shutOut());
    }

    @Test
    void aSilentWatchIsLeftInTimeAndTheNextFollowsFromWhatIsHeld() {
        platform.serve();
        platform.catalog.tell(7, false, List.of(instance("s-2", "north", "terminating", 0, "127.0.0.1:1")));
        run(100 * MS);
        int before = platform.catalog.asked.size();
        platform.catalog.beats = false;
        run(3 * SECOND);
        assertEquals(before + 1, platform.catalog.asked.size());
        assertTrue(platform.catalog.asked.get(before).contains("since=7 "), platform.catalog.asked.get(before));
    }

    @Test
    void objectsSplitAnywhereAreRead() {
        platform.net.setFaults(new rowanmoor.net.MemoryNet.Faults(1, 1000, 1000, 0, 0));
        platform.serve();
        Client proxy = joined(1);
        run(2 * SECOND);
        platform.catalog.tell(2, false, List.of(instance("s-2", "north", "terminating", 0, "127.0.0.1:1")));
        run(SECOND);
        assertEquals(List.of("s-2"), proxy.shutOut());
    }

    @Test
    void aWatchThatCannotBeReadIsBegunAnew() {
        platform.serve();
        for (String bad : List.of("{\"generation\":\n", "[]\n", "{}\n",
                "{\"generation\":0,\"reset\":false,\"instances\":[]}\n")) {
            int before = platform.catalog.asked.size();
            platform.catalog.tell(bad);
            run(400 * MS);
            assertEquals(before + 1, platform.catalog.asked.size(), bad);
        }
    }

    @Test
    void anotherCatalogIsFollowedBeforeTheOldOneIsLeftAndNoTableMoves() throws Exception {
        platform.serve();
        Client proxy = joined(1);
        run(5 * SECOND);
        int pushes = proxy.heard.size();
        TestPlatform.Catalogue other = platform.new Catalogue(TestPlatform.ANY);
        other.first = ""; // says nothing yet
        PlatformConfig moved = new PlatformConfig("n1", TestPlatform.ANY, other.address, 7, 256,
                list(1, true, List.of()), TestPlatform.told());
        platform.service.reload(moved);
        run(100 * MS);
        assertEquals(1, platform.catalog.watches.size(), "the old watch still stands");
        other.tell("\n");
        run(100 * MS);
        assertEquals(0, platform.catalog.watches.size());
        other.tell(2, false, List.of(instance("s-2", "north", "terminating", 0, "127.0.0.1:1")));
        run(200 * MS);
        assertEquals(List.of("s-2"), proxy.shutOut());
        assertTrue(proxy.heard.size() <= pushes + 2, "nothing else moved");
        platform.service.reload(moved);
        run(SECOND);
        assertEquals(1, other.asked.size(), "read again without a change");
        assertNull(proxy.over);
    }

    @Test
    void theOldWatchEndingWhileTheNewAddressIsRedialledLeavesOneWatch() {
        InetSocketAddress later = new InetSocketAddress(TestPlatform.ANY.getAddress(), 9);
        for (int ms = 0; ms < 600; ms += 20) {
            TestPlatform its = new TestPlatform(3 + ms).serve();
            its.service.reload(new PlatformConfig("n1", TestPlatform.ANY, later, 7, 256, list(1, true, List.of()),
                    TestPlatform.told()));
            its.net.runFor(5 * SECOND + ms * MS); // refused again and again, the old one stands
            assertEquals(1, its.catalog.watches.size());
            its.catalog.watches.get(0).reset("gone");
            its.net.runFor(MS);
            TestPlatform.Catalogue other = its.new Catalogue(later);
            its.net.runFor(4 * SECOND);
            assertEquals(1, other.watches.size(), "at " + ms + " ms");
            assertEquals(1, other.asked.size(), "at " + ms + " ms");
            assertEquals(List.of(), its.faults);
        }
    }

    @Test
    void aLineThatNeverEndsIsNoSignOfLife() {
        platform.serve();
        platform.catalog.beats = false;
        for (int i = 0; i < 10 && platform.catalog.asked.size() < 2; i++) {
            platform.catalog.tell("{");
            run(SECOND);
        }
        assertEquals(2, platform.catalog.asked.size());
    }

    // ---- streams -------------------------------------------------------------------------------------

    @Test
    void aSecondStreamTakesThePlaceOfTheFirst() {
        platform.serve();
        Client first = joined(4);
        Client second = platform.client().join(4, "north", 0);
        run(200 * MS);
        assertTrue(first.over != null && second.over == null);
        assertEquals(6, second.table().size(), "bound anew");
        first.raw("*1\r\n$5\r\nprobe\r\n");
        run(SECOND);
        assertNull(second.over);
        assertEquals(1, platform.service.joinedCount());
    }

    @Test
    void nothingIsEverWrittenToACollector() {
        platform.serve();
        Client collector = platform.client().say("agent locality north");
        run(10 * MS);
        collector.say("outcomes locality north endpoint s-1 total 5 errors 0 rtt 9 interval 1000")
                .say("outcomes locality north endpoint s-1 total x errors 0 rtt 9 interval 1000")
                .say("demand node 99 route read total 5 errors 0 interval 1000").say("nonsense");
        run(5 * SECOND);
        assertNull(collector.over, "malformed reports are dropped alone");
        assertEquals(3, platform.service.malformed());
        collector.raw("?");
        run(SECOND);
        assertTrue(collector.over != null);
        assertEquals(List.of(), collector.heard);
    }

    @Test
    void aMalformedMessageOfAProxyIsDroppedAlone() {
        platform.serve();
        Client proxy = joined(2);
        proxy.say("ack node 2 nonce 60000 latency 5").say("ack node 3 nonce 1 latency 5").say("hello node 2")
                .say("demand node 2 route read total 5 errors 0 interval -1").say("push full 1");
        run(SECOND);
        assertNull(proxy.over);
        assertEquals(5, platform.service.malformed());
    }

    @Test
    void aProxyThatDoesNotReadCostsItsStreamAlone() {
        platform.serve();
        Client deaf = joined(2);
        Client other = joined(3);
        deaf.connection.pause();
        for (int i = 0; i < 8000 && deaf.over == null; i++) {
            platform.service.sendTo(2, List.of("push", "eject", "s-" + "1".repeat(100)));
            if (i % 100 == 0) {
                run(MS);
            }
        }
        run(SECOND);
        assertEquals(1, platform.service.joinedCount());
        assertNull(other.over);
    }

    // ---- unjoined -----------------------------------------------------------------------------------

    @Test
    void unjoinedConnectionsGetAnErrorOrACloseWithinTheSecond() {
        platform.serve();
        List<Client> unjoined = new ArrayList<>();
        unjoined.add(platform.client());
        for (String raw : List.of("GET / HTTP/1.1\r\n\r\n", "*1\r\n$5\r\nprobe", "*99999999\r\n", "\u0000\u0001",
                "*2\r\n$5\r\nhello\r\n$4\r\n", "*300\r\n", "x".repeat(100_000))) {
            unjoined.add(platform.client().raw(raw));
        }
        for (String words : List.of("hello node 40 locality north w 1 cold 1", "agent locality west",
                "hello node -1 locality north w 1 cold 1", "demand node 1 route read total 1 errors 0 interval 1",
                "outcomes locality north endpoint s-1 total 1 errors 0 rtt 1 interval 1", "push full 1", "eh",
                "ack node 1 nonce 1 latency 1", "probe")) {
            unjoined.add(platform.client().say(words));
        }
        run(1100 * MS);
        for (Client peer : unjoined) {
            boolean error = peer.heard.stream().anyMatch(m -> m.get(0).equals("error"));
            assertTrue(error || peer.over != null, unjoined.indexOf(peer) + " " + peer.heard);
        }
        run(2 * SECOND);
        assertEquals(0, platform.service.openPeers(), "all descriptors are free again");
    }

    @Test
    void hundredsThatSayNothingDoNotKeepAProxyOut() {
        platform.serve(128, list(1, true, List.copyOf(platform.instances.values())));
        Client before = joined(1);
        for (int wave = 0; wave < 20; wave++) {
            for (int i = 0; i < 50; i++) {
                Client silent = platform.client();
                if (i % 2 == 0) {
                    silent.raw("*1\r\n$5\r\npro");
                }
            }
            run(10 * MS);
            assertTrue(platform.service.openPeers() <= 128 - 40, "descriptors are kept back");
        }
        Client late = joined(2);
        run(300 * MS);
        assertEquals(6, late.table().size());
        assertNull(before.over);
    }

    @Test
    void aHelloThatWaitsUnreadIsHeardBeforeItsSenderIsTurnedAway() {
        platform.serve(64, list(1, true, List.copyOf(platform.instances.values())));
        List<Client> waiting = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            waiting.add(platform.client());
        }
        run(MS);
        Client oldest = waiting.get(0).join(1, "south", 1);
        platform.client(); // both arrive at once, and the door is looked at first
        run(50 * MS);
        assertNull(oldest.over, "it had joined");
        assertEquals(1, platform.service.joinedCount());
        assertNotNull(waiting.get(1).over, "the next oldest went");
    }

    @Test
    void whenAllDescriptorsAreTakenByProxiesTheNextOneIsTurnedAwayAtOnce() {
        platform.serve(64, list(1, true, List.copyOf(platform.instances.values())));
        for (int i = 0; i < 8; i++) {
            assertNull(joined(i).over);
        }
        Client ninth = joined(8);
        assertNotNull(ninth.over, "it can go to another controller");
        assertEquals(8, platform.service.openPeers());
    }

    @Test
    void withoutADescriptorAcceptingRestsAndGoesOn() {
        platform.serve();
        platform.net.limitDescriptors(0);
        Client waiting = platform.client();
        waiting.join(5, "south", 1);
        run(500 * MS);
        platform.net.limitDescriptors(100);
        run(500 * MS);
        Client later = joined(6);
        run(300 * MS);
        assertFalse(later.pushes().isEmpty());
    }

    // ---- for good ------------------------------------------------------------------------------------

    @Test
    void overReplacedBackendsAndBrokenStreamsNothingGrows() {
        platform.serve();
        platform.catalog.tell(2, true, List.copyOf(platform.instances.values()));
        long generation = 3;
        int most = 0;
        for (int i = 0; i < 1500; i++) {
            platform.catalog.tell(generation++, false, List.of(instance("n-" + i, "north", "in_service",
                    WALL + (platform.net.now() - TestPlatform.START) / MS, "127.0.0.1:1"),
                    instance("n-" + (i - 1), "north", "terminated", 0, "127.0.0.1:1")));
            Client client = platform.client().join(i % 40, "north", 0);
            run(500 * MS);
            if (i % 3 == 0) {
                client.connection.reset("gone");
            }
            if (i >= 400) { // what is gone is let go after two minutes
                most = Math.max(most, platform.service.remembered());
            }
        }
        assertTrue(most < 400, "remembered at most " + most);
        assertTrue(platform.service.openPeers() <= 45, platform.service.openPeers() + " open");
    }
}
