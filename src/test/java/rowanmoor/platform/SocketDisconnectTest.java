package rowanmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.platform.InMemoryPlatform.catalogObject;
import static rowanmoor.platform.InMemoryPlatform.instance;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rowanmoor.platform.SocketPlatform.ScriptedCatalog;
import rowanmoor.platform.SocketPlatform.Watch;

/**
 * Disconnects at critical moments on real loopback sockets. In each test the peer or the catalog forces the
 * problematic order of events.
 */
@Timeout(120)
class SocketDisconnectTest {

    private ScriptedCatalog catalog;
    private SocketPlatform platform;

    @BeforeEach
    void start() throws IOException {
        catalog = new ScriptedCatalog();
        platform = new SocketPlatform(catalog, 256, catalogObject(4, true, sixInstances()));
    }

    @AfterEach
    void stop() throws IOException {
        platform.close();
        catalog.close();
    }

    private static List<Map<String, Object>> sixInstances() {
        List<Map<String, Object>> six = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            six.add(numberedInstance(i, "in_service"));
        }
        return six;
    }

    private static Map<String, Object> numberedInstance(int i, String lifecycle) {
        return instance("s-" + i, i % 2 == 0 ? "north" : "south", lifecycle, 0, "127.0.0.1:9");
    }

    // ---- peers --------------------------------------------------------------------------------------

    /** Fills the buffers of a proxy's stream until bytes are queued in the controller. */
    private void fillSendBuffers(int proxy) {
        List<String> large = List.of("push", "eject", "s-" + "1".repeat(30_000));
        platform.awaitOnLoop(() -> { // bytes still queued after a turn fit in no socket buffer
            boolean waits = platform.controller.queuedBytes(proxy) > 0;
            if (!waits) {
                platform.controller.send(proxy, large);
            }
            return waits;
        });
    }

    /** Proxies that join again and wait for their binds learned of an earlier drain only then. */
    @Test
    void proxiesThatWaitForTheirBindsAreToldOfAnEarlierDrainFirst() throws Exception {
        List<SocketPlatform.SocketPeer> peers = new ArrayList<>();
        try {
            catalog.acceptWatch().sendHead().sendObject(5, false, List.of(numberedInstance(2, "terminating")));
            platform.awaitOnLoop(() -> platform.log.stream().anyMatch(l -> l.contains("withdrawn: s-2")));
            for (int round = 0; round < 5; round++) { // the binds of five joins are more than may wait
                for (int i = 0; i < 40; i++) {
                    peers.add(platform.connectPeer());
                }
                List<SocketPlatform.SocketPeer> latest = peers.subList(peers.size() - 40, peers.size());
                platform.whileLoopIsBlocked(() -> { // all join in one turn
                    for (int i = 0; i < 40; i++) {
                        latest.get(i).join(i);
                    }
                    return null;
                });
                platform.awaitOnLoop(() -> platform.controller.openConnections() == 40
                        && platform.controller.joinedProxies() == 40);
            }
            int toldFirst = 0;
            // None acknowledges, so the channel counts as slow.
            for (SocketPlatform.SocketPeer peer : peers.subList(160, 200)) {
                List<String> first = peer.receive();
                boolean bound = first.contains("full");
                assertFalse(bound && first.toString().contains("s-2"), first::toString);
                assertTrue(bound || first.get(first.indexOf("eject") + 1).equals("s-2"), first::toString);
                toldFirst += bound ? 0 : 1;
            }
            assertTrue(toldFirst > 0, "not all can be bound at once");
        } finally {
            for (SocketPlatform.SocketPeer peer : peers) {
                peer.close();
            }
        }
    }

    @Test
    void proxyThatEndsWithUnreadOrdersLeavesAtOnceAndFreesItsDescriptor() throws Exception {
        try (SocketPlatform.SocketPeer proxy = platform.connectPeer().join(1)) {
            proxy.receiveWith("full", "1");
            fillSendBuffers(1);
            proxy.socket.shutdownOutput();
            int[] open = new int[1];
            platform.awaitOnLoop(() -> {
                open[0] = platform.controller.openConnections();
                return platform.controller.joinedProxies() == 0;
            });
            assertEquals(1, open[0], "the proxy leaves before its descriptor is freed");
            platform.awaitOnLoop(() -> platform.controller.openConnections() == 0);
        }
    }

    @Test
    void proxyKilledRightAfterItsHelloLeavesNothingBehind() throws Exception {
        platform.whileLoopIsBlocked(() -> {
            for (int i = 0; i < 40; i++) {
                platform.connectPeer().join(i).reset();
            }
            return null;
        });
        platform.connectPeer().join(39).close(); // its end shows that the earlier ones were handled
        platform.awaitOnLoop(() -> platform.controller.openConnections() == 0);
        assertEquals(0, platform.callOnLoop(platform.controller::joinedProxies));
    }

    /** When another controller fails, all its proxies may join here within one turn of the loop. */
    @Test
    void fortyProxiesThatJoinInOneTurnAreAllBound() throws Exception {
        List<SocketPlatform.SocketPeer> proxies = new ArrayList<>();
        platform.whileLoopIsBlocked(() -> {
            for (int i = 0; i < 40; i++) {
                proxies.add(platform.connectPeer().join(i));
            }
            return null;
        });
        for (SocketPlatform.SocketPeer proxy : proxies) {
            proxy.receiveWith("full", "1");
            proxy.close();
        }
        platform.awaitOnLoop(() -> platform.controller.openConnections() == 0);
        assertEquals(0, platform.callOnLoop(platform.controller::joinedProxies));
    }

    @Test
    void helloInPiecesReplacesAResetStreamOfTheSameProxy() throws Exception {
        SocketPlatform.SocketPeer first = platform.connectPeer().join(5);
        first.receiveWith("full", "1");
        try (SocketPlatform.SocketPeer second = platform.connectPeer()) {
            byte[] hello = ("*9\r\n$5\r\nhello\r\n$4\r\nnode\r\n$1\r\n5\r\n"
                    + "$8\r\nlocality\r\n$5\r\nnorth\r\n$1\r\nw\r\n$1\r\n5\r\n$4\r\ncold\r\n$1\r\n0\r\n")
                    .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
            for (int i = 0; i < hello.length; i++) {
                if (i == hello.length / 2) {
                    first.reset();
                }
                second.socket.getOutputStream().write(hello[i]);
            }
            second.receiveWith("full", "1");
            platform.awaitOnLoop(() -> platform.controller.openConnections() == 1);
            assertEquals(1, platform.callOnLoop(platform.controller::joinedProxies));
        }
    }

    // ---- catalog watch ------------------------------------------------------------------------------

    @Test
    void watchWhoseResponseEndsIsClosedDespiteKeepAlive() throws Exception {
        Watch first = catalog.acceptWatch().sendHead().sendLine("");
        first.sendRaw("0\r\n\r\n"); // the response is complete; the connection stays open
        assertTrue(first.isClosedByController(), "its descriptor is freed");
        assertTrue(catalog.acceptWatch().requestLine.contains("since=4 "));
    }

    @Test
    void olderFullListDoesNotUndoADrain() throws Exception {
        try (SocketPlatform.SocketPeer proxy = platform.connectPeer().join(1)) {
            proxy.receiveWith("full", "1"); // a table that is bound later has no line for them
            Watch watch = catalog.acceptWatch().sendHead();
            watch.sendObject(6, false, List.of(numberedInstance(2, "terminating"), numberedInstance(3, "terminated")));
            proxy.receiveWith("eject", "s-2");
            watch.sendObject(5, true, sixInstances()); // from a catalog agent that lags behind
            watch.sendObject(7, false, List.of(numberedInstance(4, "terminating")));
            List<String> next = proxy.receiveWith("eject", "s-4");
            assertEquals(-1, next.indexOf("restore"), "no instance was restored: " + next);
        }
    }

    @Test
    void emptyFullListIsNotAcceptedAtOnce() throws Exception {
        try (SocketPlatform.SocketPeer proxy = platform.connectPeer().join(1)) {
            proxy.receiveWith("full", "1");
            Watch first = catalog.acceptWatch().sendHead().sendObject(9, true, List.of());
            assertTrue(first.isClosedByController(), "the empty list is not accepted");
            Watch second = catalog.acceptWatch();
            assertTrue(second.requestLine.contains("since=4 "),
                    "the next watch continues from the version held: " + second.requestLine);
            second.sendHead().sendObject(9, true, sixInstances())
                    .sendObject(10, false, List.of(numberedInstance(1, "terminating")));
            List<String> ejection = proxy.receiveWith("eject", "s-");
            assertEquals("s-1", ejection.get(ejection.indexOf("eject") + 1), "no instance was ejected before");
        }
    }

    @Test
    void oldWatchStaysWhileTheNewAddressFails() throws Exception {
        Watch oldWatch = catalog.acceptWatch().sendHead()
                .sendObject(5, false, List.of(numberedInstance(3, "terminating")));
        // A watch whose first line has not been read yet is replaced at once.
        platform.awaitOnLoop(() -> platform.log.stream().anyMatch(l -> l.contains("catalog: DELTA 5")));
        try (ScriptedCatalog other = new ScriptedCatalog()) {
            platform.callOnLoop(() -> {
                platform.controller.reload(
                        SocketPlatform.config(other.address(), 256, catalogObject(4, true, sixInstances())));
                return null;
            });
            Watch failing = other.acceptWatch();
            failing.sendRaw("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
            assertTrue(failing.isClosedByController());
            oldWatch.sendObject(6, false, List.of(numberedInstance(2, "terminating"))); // still followed
            Watch established = other.acceptWatch().sendHead();
            established.sendLine("");
            assertTrue(oldWatch.isClosedByController(), "closed once the new watch is established");
        }
    }

    // ---- configuration reload -----------------------------------------------------------------------

    private static String configText(ScriptedCatalog at) {
        return "{\"name\":\"n1\",\"discovery\":\"" + at.address().getAddress().getHostAddress() + ":"
                + at.address().getPort() + "\",\"seed\":\"7\",\"limits\":{\"sockets\":256},\"known\":"
                + InMemoryPlatform.toJson(catalogObject(4, true, sixInstances())) + ",\"settings\":"
                + InMemoryPlatform.SETTINGS + "}";
    }

    private static Map<String, String> environment(Path file) {
        return Map.of("GW_CONFIG", file.toString(), "GW_LISTEN", "127.0.0.1:0");
    }

    /** The drain of the second catalog is known: a proxy that joins now gets no line for the instance. */
    private static void assertTableWithoutInstance2(SocketPlatform platform) throws Exception {
        platform.awaitOnLoop(() -> platform.log.stream().anyMatch(l -> l.contains("withdrawn: s-2")));
        try (SocketPlatform.SocketPeer proxy = platform.connectPeer().join(1)) {
            List<String> table = proxy.receiveWith("full", "1");
            String endpoints = table.get(table.indexOf("endpoints") + 1);
            assertTrue(endpoints.contains("s-1:") && !endpoints.contains("s-2:"), endpoints);
        }
    }

    @Test
    void halfWrittenConfigurationIsIgnoredAndTheLastOfTwoReloadsApplies(@TempDir Path folder)
            throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), configText(catalog));
        try (ScriptedCatalog other = new ScriptedCatalog();
                SocketPlatform fromFile = SocketPlatform.fromFile(environment(file))) {
            catalog.acceptWatch(); // of the controller started for every test
            Watch first = catalog.acceptWatch().sendHead().sendLine("");
            Files.writeString(file, configText(other).substring(0, 400));
            fromFile.configFile.reload();
            assertTrue(fromFile.log.toString().contains("configuration kept as it was: GW_CONFIG " + file),
                    fromFile.log::toString);
            Files.writeString(file, configText(other));
            fromFile.whileLoopIsBlocked(() -> { // reloading does not wait for the loop
                fromFile.configFile.reload();
                fromFile.configFile.reload();
                return null;
            });
            other.acceptWatch().sendHead().sendLine("").sendObject(5, false, List.of(numberedInstance(2, "terminating")));
            assertTrue(first.isClosedByController());
            assertTableWithoutInstance2(fromFile);
        }
    }

    @Test
    void catalogMovedWithoutASignalIsFoundInTheFile(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), configText(catalog));
        try (ScriptedCatalog other = new ScriptedCatalog();
                SocketPlatform fromFile = SocketPlatform.fromFile(environment(file))) {
            catalog.acceptWatch();
            Watch first = catalog.acceptWatch().sendHead().sendLine("");
            fromFile.awaitOnLoop(() -> fromFile.log.stream().anyMatch(l -> l.contains("listens")));
            Files.writeString(file, configText(other).substring(0, 400)); // half written
            catalog.close();
            fromFile.awaitOnLoop(() -> fromFile.log.stream().anyMatch(l -> l.contains("kept as it was")));
            Files.writeString(file, configText(other));
            Watch watch = other.acceptWatch().sendHead();
            assertTrue(watch.requestLine.contains("since=4 "), watch.requestLine);
            watch.sendObject(5, false, List.of(numberedInstance(2, "terminating")));
            assertTableWithoutInstance2(fromFile);
            assertTrue(first.isClosedByController());
        }
    }
}
