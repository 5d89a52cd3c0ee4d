package rowanmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rowanmoor.ControlApi.Idempotency;

/** What is missing or makes no sense at the start is named in one line, and nothing starts. */
class PlatformConfigTest {

    private static final String GOOD = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\","
            + "\"discovery\":\"127.0.0.1:8500\",\"seed\":\"8c1f30d27a5be964\","
            + "\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":256},"
            + "\"known\":{\"generation\":4,\"reset\":true,\"instances\":[]},\"settings\":"
            + TestPlatform.SETTINGS + "}";

    @TempDir
    private Path folder;

    private PlatformConfig read(String text) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        return PlatformConfig.read(Map.of("GW_CONFIG", file.toString(), "GW_LISTEN", "127.0.0.1:3000"));
    }

    @Test
    void aGoodFileIsRead() throws IOException {
        PlatformConfig config = read(GOOD);
        assertEquals(3000, config.listen().getPort());
        assertEquals(8500, config.discovery().getPort());
        assertEquals(256, config.sockets());
        assertEquals(2, config.told().settings().classes().size());
        assertEquals(Idempotency.UNSAFE, config.told().settings().classes().get(1).idempotency());
        assertTrue(config.told().settings().classes().get(1).mutating());
        assertEquals(0, config.told().settings().reportColumns().queue());
        assertEquals("pay", config.told().classes().get(1));
        assertEquals(5_000_000, config.told().tick());
    }

    @Test
    void whatIsWrongNamesFileAndKey() {
        String[][] wrong = {{"\"seed\":\"8c", "\"seed\":\"xx", "seed"}, {"\"sockets\":256", "\"sockets\":1",
            "limits.sockets"}, {"127.0.0.1:8500", "discovery.example:8500", "discovery"},
            {"\"ejects\":5", "\"ejects\":\"x\"", "extra.ejects"}, {"\"proxy_count\":40,", "", "extra.proxy_count"},
            {"\"aim_ns\":800000000,", "", "classes.0.aim_ns"}, {"\"name\":\"pay\",", "", "classes.1.name"},
            {"\"known\":{", "\"seen\":{", "known"}, {"{\"name\"", "[{\"name\"", "not a JSON object"},
            {"\"tick_ns\":5000000}", "\"tick_ns\":5000000", "cannot be read"}};
        for (String[] change : wrong) {
            assertTrue(GOOD.contains(change[0]), change[0]);
            IOException told = assertThrows(IOException.class, () -> read(GOOD.replace(change[0], change[1])),
                    change[0]);
            assertTrue(told.getMessage().contains("config.json") && told.getMessage().contains(change[2]),
                    told.getMessage());
            assertEquals(1, told.getMessage().lines().count(), told.getMessage());
        }
    }

    @Test
    void aStartWithoutItsVariablesEndsWithOneLine() throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, GOOD);
        for (Map<String, String> env : java.util.List.of(Map.<String, String>of(),
                Map.of("GW_CONFIG", file.toString()),
                Map.of("GW_CONFIG", folder.resolve("none").toString(), "GW_LISTEN", "127.0.0.1:0"),
                Map.of("GW_CONFIG", file.toString(), "GW_LISTEN", "here"))) {
            ByteArrayOutputStream err = new ByteArrayOutputStream();
            assertEquals(1, PlatformServer.run(env, new PrintStream(err)));
            String told = err.toString(StandardCharsets.UTF_8);
            assertEquals(1, told.lines().count(), told);
            assertTrue(told.contains("GW_"), told);
        }
    }
}
