package rowanmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.platform.TestPlatform.instance;
import static rowanmoor.platform.TestPlatform.list;

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

/** Ends at the wrong instant, on real loopback sockets: the peer or the catalog makes the bad order each time. */
@Timeout(120)
class SocketEndsTest {

    private ScriptedCatalog catalog;
    private SocketPlatform platform;

    @BeforeEach
    void start() throws IOException {
        catalog = new ScriptedCatalog();
        platform = new SocketPlatform(catalog, 256, list(4, true, six()));
    }

    @AfterEach
    void stop() throws IOException {
        platform.close();
        catalog.close();
    }

    private static List<Map<String, Object>> six() {
        List<Map<String, Object>> six = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            six.add(backend(i, "in_service"));
        }
        return six;
    }

    private static Map<String, Object> backend(int i, String lifecycle) {
        return instance("s-" + i, i % 2 == 0 ? "north" : "south", lifecycle, 0, "127.0.0.1:9");
    }

    // ---- peers ---------------------------------------------------------------------------------------

    /** Fills the buffers of a proxy's stream until bytes wait in the controller. */
    private void stuff(int proxy) {
        List<String> large = List.of("push", "eject", "s-" + "1".repeat(30_000));
        platform.await(() -> { // what was sent in an earlier turn and still waits, no buffer takes
            boolean waits = platform.service.unread(proxy) > 0;
            if (!waits) {
                platform.service.sendTo(proxy, large);
            }
            return waits;
        });
    }

    @Test
    void aProxyThatEndsWithOrdersUnreadHasLeftAtOnceAndItsDescriptorIsFreed() throws Exception {
        try (SocketPlatform.Peer proxy = platform.peer().join(1)) {
            proxy.hearWith("full", "1");
            stuff(1);
            proxy.socket.shutdownOutput();
            int[] open = new int[1];
            platform.await(() -> {
                open[0] = platform.service.openPeers();
                return platform.service.joinedCount() == 0;
            });
            assertEquals(1, open[0], "the leave does not wait for the descriptor");
            platform.await(() -> platform.service.openPeers() == 0);
        }
    }

    @Test
    void killedRightAfterItsHelloAProxyLeavesNothing() throws Exception {
        platform.whileItStandsStill(() -> {
            for (int i = 0; i < 40; i++) {
                platform.peer().join(i).reset();
            }
            return null;
        });
        platform.peer().join(39).close(); // and one after them, whose end tells that all were met
        platform.await(() -> platform.service.openPeers() == 0);
        assertEquals(0, platform.on(platform.service::joinedCount));
    }

    @Test
    void streamsOfAllProxiesOfADeadControllerComeInOneTurnAndAllAreBound() throws Exception {
        List<SocketPlatform.Peer> proxies = new ArrayList<>();
        platform.whileItStandsStill(() -> {
            for (int i = 0; i < 40; i++) {
                proxies.add(platform.peer().join(i));
            }
            return null;
        });
        for (SocketPlatform.Peer proxy : proxies) {
            proxy.hearWith("full", "1");
            proxy.close();
        }
        platform.await(() -> platform.service.openPeers() == 0);
        assertEquals(0, platform.on(platform.service::joinedCount));
    }

    @Test
    void aHelloInPiecesOverAResetStreamOfTheSameProxyIsTheOneThatCounts() throws Exception {
        SocketPlatform.Peer first = platform.peer().join(5);
        first.hearWith("full", "1");
        try (SocketPlatform.Peer second = platform.peer()) {
            byte[] hello = "*9\r\n$5\r\nhello\r\n$4\r\nnode\r\n$1\r\n5\r\n$8\r\nlocality\r\n$5\r\nnorth\r\n$1\r\nw\r\n$1\r\n5\r\n$4\r\ncold\r\n$1\r\n0\r\n"
                    .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
            for (int i = 0; i < hello.length; i++) {
                if (i == hello.length / 2) {
                    first.reset();
                }
                second.socket.getOutputStream().write(hello[i]);
            }
            second.hearWith("full", "1");
            platform.await(() -> platform.service.openPeers() == 1);
            assertEquals(1, platform.on(platform.service::joinedCount));
        }
    }

    // ---- the catalog's watch -------------------------------------------------------------------------

    @Test
    void aWatchWhoseAnswerEndsIsClosedThoughItsConnectionCouldStay() throws Exception {
        Watch first = catalog.watch().begin().line("");
        first.raw("0\r\n\r\n"); // the answer is whole; the connection is not ended
        assertTrue(first.isLeft(), "its descriptor is given back");
        assertTrue(catalog.watch().question.contains("since=4 "));
    }

    @Test
    void anOlderWholeListDoesNotBringBackWhatDrains() throws Exception {
        try (SocketPlatform.Peer proxy = platform.peer().join(1)) {
            Watch watch = catalog.watch().begin();
            watch.tell(6, false, List.of(backend(2, "terminating"), backend(3, "terminated")));
            proxy.hearWith("eject", "s-2");
            watch.tell(5, true, six()); // told by an agent that lags
            watch.tell(7, false, List.of(backend(4, "terminating")));
            List<String> next = proxy.hearWith("eject", "s-4");
            assertEquals(-1, next.indexOf("restore"), "nothing was let back: " + next);
        }
    }

    @Test
    void anEmptyWholeListEmptiesNoTableUntilItHasStayedSo() throws Exception {
        try (SocketPlatform.Peer proxy = platform.peer().join(1)) {
            proxy.hearWith("full", "1");
            Watch first = catalog.watch().begin().tell(9, true, List.of());
            assertTrue(first.isLeft(), "not believed");
            Watch second = catalog.watch();
            assertTrue(second.question.contains("since=4 "), "it is asked from what is held: " + second.question);
            second.begin().tell(9, true, six()).tell(10, false, List.of(backend(1, "terminating")));
            List<String> shut = proxy.hearWith("eject", "s-");
            assertEquals("s-1", shut.get(shut.indexOf("eject") + 1), "and nothing before it");
        }
    }

    @Test
    void aMoveWhileTheNewAddressFailsKeepsOneWatchAndOneOnly() throws Exception {
        Watch old = catalog.watch().begin().line("");
        try (ScriptedCatalog other = new ScriptedCatalog()) {
            platform.on(() -> {
                platform.service.reload(SocketPlatform.config(other.address(), 256, list(4, true, six())));
                return null;
            });
            Watch asked = other.watch();
            asked.raw("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
            assertTrue(asked.isLeft());
            old.tell(5, false, List.of(backend(2, "terminating"))); // the old one still counts
            Watch stands = other.watch().begin();
            stands.line("");
            assertTrue(old.isLeft(), "once the new one stands");
        }
    }

    // ---- signals -------------------------------------------------------------------------------------

    private static String configuration(ScriptedCatalog at) {
        return "{\"name\":\"n1\",\"discovery\":\"" + at.address().getAddress().getHostAddress() + ":"
                + at.address().getPort() + "\",\"seed\":\"7\",\"limits\":{\"sockets\":256},\"known\":"
                + TestPlatform.text(list(4, true, six())) + ",\"settings\":" + TestPlatform.SETTINGS + "}";
    }

    private static Map<String, String> variables(Path file) {
        return Map.of("GW_CONFIG", file.toString(), "GW_LISTEN", "127.0.0.1:0");
    }

    @Test
    void aHalfWrittenConfigurationIsNotUsedAndOfTwoSignalsAtOnceTheLastIs(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), configuration(catalog));
        try (ScriptedCatalog other = new ScriptedCatalog(); SocketPlatform its = SocketPlatform.ofFile(variables(file))) {
            catalog.watch(); // the other controller's
            Watch first = catalog.watch().begin().line("");
            Files.writeString(file, configuration(other).substring(0, 400));
            its.file.readAgain();
            assertTrue(its.log.toString().contains("configuration kept as it was: GW_CONFIG " + file), its.log::toString);
            Files.writeString(file, configuration(other));
            its.whileItStandsStill(() -> { // neither waits for the loop
                its.file.readAgain();
                its.file.readAgain();
                return null;
            });
            other.watch().begin().line("").tell(5, false, List.of(backend(2, "terminating")));
            assertTrue(first.isLeft());
            try (SocketPlatform.Peer proxy = its.peer().join(1)) {
                proxy.hearWith("eject", "s-2");
            }
        }
    }

    @Test
    void aCatalogThatMovedWithoutASignalIsFoundByTheFile(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), configuration(catalog));
        try (ScriptedCatalog other = new ScriptedCatalog(); SocketPlatform its = SocketPlatform.ofFile(variables(file))) {
            catalog.watch();
            Watch first = catalog.watch().begin().line("");
            its.await(() -> its.log.stream().anyMatch(l -> l.contains("listens")));
            Files.writeString(file, configuration(other).substring(0, 400)); // and half of it first
            catalog.close();
            its.await(() -> its.log.stream().anyMatch(l -> l.contains("kept as it was")));
            Files.writeString(file, configuration(other));
            Watch watch = other.watch().begin();
            assertTrue(watch.question.contains("since=4 "), watch.question);
            watch.tell(5, false, List.of(backend(2, "terminating")));
            try (SocketPlatform.Peer proxy = its.peer().join(1)) {
                proxy.hearWith("eject", "s-2");
            }
            assertTrue(first.isLeft());
        }
    }
}
