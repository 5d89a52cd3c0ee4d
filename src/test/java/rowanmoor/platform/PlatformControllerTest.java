package rowanmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.platform.InMemoryPlatform.MS;
import static rowanmoor.platform.InMemoryPlatform.WALL_MS;
import static rowanmoor.platform.InMemoryPlatform.catalogObject;
import static rowanmoor.platform.InMemoryPlatform.instance;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rowanmoor.platform.InMemoryPlatform.FakePeer;

/** One complete controller on an in-memory network, with well-behaved and misbehaving peers. */
class PlatformControllerTest {

    private static final long SECOND = 1000 * MS;

    private final InMemoryPlatform platform = new InMemoryPlatform();

    @AfterEach
    void noLoopFaults() {
        assertEquals(List.of(), platform.faults);
    }

    private void runFor(long nanos) {
        platform.net.runFor(nanos);
    }

    private FakePeer joined(int number) {
        FakePeer peer = platform.connectPeer().join(number, number % 2 == 0 ? "north" : "south", 1);
        runFor(20 * MS);
        return peer;
    }

    // ---- serving ------------------------------------------------------------------------------------

    @Test
    void answersLivenessProbesAndServesProxies() {
        platform.start();
        FakePeer probe = platform.connectPeer().send("probe");
        runFor(20 * MS);
        assertEquals(List.of(List.of("alive")), probe.messages);
        FakePeer proxy = platform.connectPeer().join(3, "south", 1);
        runFor(200 * MS);
        assertEquals(new TreeSet<>(platform.instances.keySet()), proxy.table().keySet());
        assertEquals("1", proxy.pushes().get(0).get("full"));
        assertTrue(proxy.pushes().get(0).containsKey("nonce_out"));
        runFor(20 * SECOND);
        assertTrue(platform.probesAnswered >= 5, "probes answered: " + platform.probesAnswered);
        assertNull(proxy.closeReason);
    }

    @Test
    void knownInstancesServeWhileTheCatalogIsDownAtStartup() {
        platform.catalog.firstLine = "";
        platform.catalog.keepAlive = false;
        platform.start();
        FakePeer proxy = joined(1);
        runFor(8 * SECOND);
        assertEquals(6, proxy.table().size());
        assertTrue(platform.catalog.requestLines.size() >= 2, "a silent catalog is queried again");
    }

    @Test
    void withoutKnownInstancesNothingIsPushedUntilAListArrives() {
        platform.start(256, catalogObject(0, true, List.of()));
        FakePeer proxy = joined(1);
        runFor(SECOND);
        assertEquals(List.of(), proxy.pushes());
        platform.catalog.send(1, true, List.copyOf(platform.instances.values()));
        runFor(SECOND);
        assertEquals(6, proxy.table().size());
    }

    // ---- discovery ----------------------------------------------------------------------------------

    @Test
    void drainIsPushedAtOnceAndRevokedWhenTheInstanceReturns() {
        platform.start();
        FakePeer proxy = joined(1);
        runFor(3 * SECOND);
        platform.catalog.send(2, false, List.of(instance("s-2", "north", "terminating", 0, "127.0.0.1:1")));
        runFor(200 * MS);
        assertEquals(List.of("s-2"), proxy.ejected());
        platform.catalog.send(3, false, List.of(instance("s-2", "north", "in_service", 0, "127.0.0.1:1")));
        runFor(2 * SECOND);
        assertEquals(List.of(), proxy.ejected());
    }

    @Test
    void silentWatchIsReplacedAndTheNextContinuesFromTheVersionHeld() {
        platform.start();
        platform.catalog.send(7, false, List.of(instance("s-2", "north", "terminating", 0, "127.0.0.1:1")));
        runFor(100 * MS);
        int before = platform.catalog.requestLines.size();
        platform.catalog.keepAlive = false;
        runFor(3 * SECOND);
        assertEquals(before + 1, platform.catalog.requestLines.size());
        assertTrue(platform.catalog.requestLines.get(before).contains("since=7 "),
                platform.catalog.requestLines.get(before));
    }

    @Test
    void objectsSplitAtAnyByteAreRead() {
        platform.net.setFaults(new rowanmoor.net.MemoryNet.Faults(1, 1000, 1000, 0, 0));
        platform.start();
        FakePeer proxy = joined(1);
        runFor(2 * SECOND);
        platform.catalog.send(2, false, List.of(instance("s-2", "north", "terminating", 0, "127.0.0.1:1")));
        runFor(SECOND);
        assertEquals(List.of("s-2"), proxy.ejected());
    }

    @Test
    void unreadableWatchIsReopened() {
        platform.start();
        for (String malformed : List.of("{\"generation\":\n", "[]\n", "{}\n",
                "{\"generation\":0,\"reset\":false,\"instances\":[]}\n")) {
            int before = platform.catalog.requestLines.size();
            platform.catalog.send(malformed);
            runFor(400 * MS);
            assertEquals(before + 1, platform.catalog.requestLines.size(), malformed);
        }
    }

    @Test
    void newCatalogIsEstablishedBeforeTheOldWatchCloses() throws Exception {
        platform.start();
        FakePeer proxy = joined(1);
        runFor(5 * SECOND);
        int pushes = proxy.messages.size();
        InMemoryPlatform.FakeCatalog other = platform.new FakeCatalog(InMemoryPlatform.LOOPBACK);
        other.firstLine = ""; // sends no line yet
        PlatformConfig moved = new PlatformConfig("n1", InMemoryPlatform.LOOPBACK, other.address, 7, 256,
                catalogObject(1, true, List.of()), InMemoryPlatform.namedSettings());
        platform.controller.reload(moved);
        runFor(100 * MS);
        assertEquals(1, platform.catalog.watches.size(), "the old watch is still open");
        other.send("\n");
        runFor(100 * MS);
        assertEquals(0, platform.catalog.watches.size());
        other.send(2, false, List.of(instance("s-2", "north", "terminating", 0, "127.0.0.1:1")));
        runFor(200 * MS);
        assertEquals(List.of("s-2"), proxy.ejected());
        assertTrue(proxy.messages.size() <= pushes + 2, "no other pushes");
        platform.controller.reload(moved);
        runFor(SECOND);
        assertEquals(1, other.requestLines.size(), "the configuration was reloaded without a change");
        assertNull(proxy.closeReason);
    }

    /** The old watch ends at various times while the client redials a new address that refuses connections. */
    @Test
    void oneWatchRemainsWhenTheOldOneEndsDuringRedials() {
        InetSocketAddress later = new InetSocketAddress(InMemoryPlatform.LOOPBACK.getAddress(), 9);
        for (int ms = 0; ms < 600; ms += 20) {
            InMemoryPlatform moved = new InMemoryPlatform(3 + ms).start();
            moved.controller.reload(new PlatformConfig("n1", InMemoryPlatform.LOOPBACK, later, 7, 256,
                    catalogObject(1, true, List.of()), InMemoryPlatform.namedSettings()));
            moved.net.runFor(5 * SECOND + ms * MS); // connections are refused; the old watch stays open
            assertEquals(1, moved.catalog.watches.size());
            moved.catalog.watches.get(0).reset("gone");
            moved.net.runFor(MS);
            InMemoryPlatform.FakeCatalog other = moved.new FakeCatalog(later);
            moved.net.runFor(4 * SECOND);
            assertEquals(1, other.watches.size(), "at " + ms + " ms");
            assertEquals(1, other.requestLines.size(), "at " + ms + " ms");
            assertEquals(List.of(), moved.faults);
        }
    }

    @Test
    void unfinishedLineDoesNotKeepAWatchAlive() {
        platform.start();
        platform.catalog.keepAlive = false;
        for (int i = 0; i < 10 && platform.catalog.requestLines.size() < 2; i++) {
            platform.catalog.send("{");
            runFor(SECOND);
        }
        assertEquals(2, platform.catalog.requestLines.size());
    }

    // ---- streams ------------------------------------------------------------------------------------

    @Test
    void secondStreamOfAProxyReplacesTheFirst() {
        platform.start();
        FakePeer first = joined(4);
        FakePeer second = platform.connectPeer().join(4, "north", 0);
        runFor(200 * MS);
        assertTrue(first.closeReason != null && second.closeReason == null);
        assertEquals(6, second.table().size(), "the new stream is bound");
        first.sendRaw("*1\r\n$5\r\nprobe\r\n");
        runFor(SECOND);
        assertNull(second.closeReason);
        assertEquals(1, platform.controller.joinedProxies());
    }

    @Test
    void nothingIsWrittenToACollector() {
        platform.start();
        FakePeer collector = platform.connectPeer().send("agent locality north");
        runFor(10 * MS);
        collector.send("outcomes locality north endpoint s-1 total 5 errors 0 rtt 9 interval 1000")
                .send("outcomes locality north endpoint s-1 total x errors 0 rtt 9 interval 1000")
                .send("demand node 99 route read total 5 errors 0 interval 1000").send("nonsense");
        runFor(5 * SECOND);
        assertNull(collector.closeReason, "only the malformed reports are dropped");
        assertEquals(3, platform.controller.malformedCount());
        collector.sendRaw("?");
        runFor(SECOND);
        assertTrue(collector.closeReason != null);
        assertEquals(List.of(), collector.messages);
    }

    @Test
    void malformedMessagesOfAProxyDoNotCloseItsStream() {
        platform.start();
        FakePeer proxy = joined(2);
        proxy.send("ack node 2 nonce 60000 latency 5").send("ack node 3 nonce 1 latency 5").send("hello node 2")
                .send("demand node 2 route read total 5 errors 0 interval -1").send("push full 1");
        runFor(SECOND);
        assertNull(proxy.closeReason);
        assertEquals(5, platform.controller.malformedCount());
    }

    @Test
    void onlyTheStreamOfAProxyThatDoesNotReadIsClosed() {
        platform.start();
        FakePeer blocked = joined(2);
        FakePeer other = joined(3);
        blocked.connection.pause();
        for (int i = 0; i < 8000 && blocked.closeReason == null; i++) {
            platform.controller.send(2, List.of("push", "eject", "s-" + "1".repeat(100)));
            if (i % 100 == 0) {
                runFor(MS);
            }
        }
        runFor(SECOND);
        assertEquals(1, platform.controller.joinedProxies());
        assertNull(other.closeReason);
    }

    // ---- unjoined -----------------------------------------------------------------------------------

    @Test
    void unjoinedConnectionsGetAnErrorOrAreClosedWithinOneSecond() {
        platform.start();
        List<FakePeer> unjoined = new ArrayList<>();
        unjoined.add(platform.connectPeer());
        for (String raw : List.of("GET / HTTP/1.1\r\n\r\n", "*1\r\n$5\r\nprobe", "*99999999\r\n", "\u0000\u0001",
                "*2\r\n$5\r\nhello\r\n$4\r\n", "*300\r\n", "x".repeat(100_000))) {
            unjoined.add(platform.connectPeer().sendRaw(raw));
        }
        for (String message : List.of("hello node 40 locality north w 1 cold 1", "agent locality west",
                "hello node -1 locality north w 1 cold 1", "demand node 1 route read total 1 errors 0 interval 1",
                "outcomes locality north endpoint s-1 total 1 errors 0 rtt 1 interval 1", "push full 1", "eh",
                "ack node 1 nonce 1 latency 1", "probe")) {
            unjoined.add(platform.connectPeer().send(message));
        }
        runFor(1100 * MS);
        for (FakePeer peer : unjoined) {
            boolean error = peer.messages.stream().anyMatch(m -> m.get(0).equals("error"));
            assertTrue(error || peer.closeReason != null, unjoined.indexOf(peer) + " " + peer.messages);
        }
        runFor(2 * SECOND);
        assertEquals(0, platform.controller.openConnections(), "all descriptors are free again");
    }

    @Test
    void hundredsOfSilentConnectionsDoNotBlockAProxy() {
        platform.start(128, catalogObject(1, true, List.copyOf(platform.instances.values())));
        FakePeer before = joined(1);
        for (int wave = 0; wave < 20; wave++) {
            for (int i = 0; i < 50; i++) {
                FakePeer silent = platform.connectPeer();
                if (i % 2 == 0) {
                    silent.sendRaw("*1\r\n$5\r\npro");
                }
            }
            runFor(10 * MS);
            assertTrue(platform.controller.openConnections() <= 128 - 40, "descriptors are reserved");
        }
        FakePeer late = joined(2);
        runFor(300 * MS);
        assertEquals(6, late.table().size());
        assertNull(before.closeReason);
    }

    @Test
    void waitingHelloIsReadBeforeItsConnectionIsRejected() {
        platform.start(64, catalogObject(1, true, List.copyOf(platform.instances.values())));
        List<FakePeer> waiting = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            waiting.add(platform.connectPeer());
        }
        runFor(MS);
        FakePeer oldest = waiting.get(0).join(1, "south", 1);
        platform.connectPeer(); // arrives together with the hello; the loop accepts before it reads
        runFor(50 * MS);
        assertNull(oldest.closeReason, "its hello had arrived");
        assertEquals(1, platform.controller.joinedProxies());
        assertNotNull(waiting.get(1).closeReason, "the next oldest was closed");
    }

    @Test
    void connectionIsRejectedAtOnceWhenProxiesHoldAllDescriptors() {
        platform.start(64, catalogObject(1, true, List.copyOf(platform.instances.values())));
        for (int i = 0; i < 8; i++) {
            assertNull(joined(i).closeReason);
        }
        FakePeer ninth = joined(8);
        assertNotNull(ninth.closeReason, "it can join another controller");
        assertEquals(8, platform.controller.openConnections());
    }

    @Test
    void acceptingPausesWithoutDescriptorsAndResumes() {
        platform.start();
        platform.net.limitDescriptors(0);
        FakePeer waiting = platform.connectPeer();
        waiting.join(5, "south", 1);
        runFor(500 * MS);
        platform.net.limitDescriptors(100);
        runFor(500 * MS);
        FakePeer later = joined(6);
        runFor(300 * MS);
        assertFalse(later.pushes().isEmpty());
    }

    // ---- leaks --------------------------------------------------------------------------------------

    @Test
    void replacedBackendsAndBrokenStreamsLeakNothing() {
        platform.start();
        platform.catalog.send(2, true, List.copyOf(platform.instances.values()));
        long generation = 3;
        int maxTracked = 0;
        for (int i = 0; i < 1500; i++) {
            platform.catalog.send(generation++, false, List.of(instance("n-" + i, "north", "in_service",
                    WALL_MS + (platform.net.now() - InMemoryPlatform.START_NS) / MS, "127.0.0.1:1"),
                    instance("n-" + (i - 1), "north", "terminated", 0, "127.0.0.1:1")));
            FakePeer peer = platform.connectPeer().join(i % 40, "north", 0);
            runFor(500 * MS);
            if (i % 3 == 0) {
                peer.connection.reset("gone");
            }
            if (i >= 400) { // instances that are gone are removed after two minutes
                maxTracked = Math.max(maxTracked, platform.controller.trackedCount());
            }
        }
        assertTrue(maxTracked < 400, "tracked at most " + maxTracked);
        assertTrue(platform.controller.openConnections() <= 45, platform.controller.openConnections() + " open");
    }
}
