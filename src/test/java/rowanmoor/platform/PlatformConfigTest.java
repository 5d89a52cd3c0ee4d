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

/** A missing or invalid setting is named in a one-line error, and the controller does not start. */
class PlatformConfigTest {

    private static final String VALID = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\","
            + "\"discovery\":\"127.0.0.1:8500\",\"seed\":\"8c1f30d27a5be964\","
            + "\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":256},"
            + "\"known\":{\"generation\":4,\"reset\":true,\"instances\":[]},\"settings\":"
            + InMemoryPlatform.SETTINGS + "}";

    @TempDir
    private Path folder;

    private PlatformConfig read(String text) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        return PlatformConfig.read(Map.of("GW_CONFIG", file.toString(), "GW_LISTEN", "127.0.0.1:3000"));
    }

    @Test
    void validFileIsRead() throws IOException {
        PlatformConfig config = read(VALID);
        assertEquals(3000, config.listenAddress().getPort());
        assertEquals(8500, config.catalogAddress().getPort());
        assertEquals(256, config.maxSockets());
        assertEquals(2, config.namedSettings().settings().classes().size());
        assertEquals(Idempotency.UNSAFE, config.namedSettings().settings().classes().get(1).idempotency());
        assertTrue(config.namedSettings().settings().classes().get(1).mutating());
        assertEquals(0, config.namedSettings().settings().reportColumns().queue());
        assertEquals("pay", config.namedSettings().classes().get(1));
        assertEquals(5_000_000, config.namedSettings().tick());
    }

    @Test
    void errorNamesFileAndKey() {
        String[][] changes = {{"\"seed\":\"8c", "\"seed\":\"xx", "seed"}, {"\"sockets\":256", "\"sockets\":1",
            "limits.sockets"}, {"127.0.0.1:8500", "discovery.example:8500", "discovery"},
            {"\"ejects\":5", "\"ejects\":\"x\"", "extra.ejects"}, {"\"proxy_count\":40,", "", "extra.proxy_count"},
            {"\"aim_ns\":800000000,", "", "classes.0.aim_ns"}, {"\"name\":\"pay\",", "", "classes.1.name"},
            {"\"known\":{", "\"seen\":{", "known"}, {"{\"name\"", "[{\"name\"", "not a JSON object"},
            {"\"tick_ns\":5000000}", "\"tick_ns\":5000000", "cannot be read"}};
        for (String[] change : changes) {
            assertTrue(VALID.contains(change[0]), change[0]);
            IOException thrown = assertThrows(IOException.class, () -> read(VALID.replace(change[0], change[1])),
                    change[0]);
            assertTrue(thrown.getMessage().contains("config.json") && thrown.getMessage().contains(change[2]),
                    thrown.getMessage());
            assertEquals(1, thrown.getMessage().lines().count(), thrown.getMessage());
        }
    }

    @Test
    void missingVariablesEndTheStartWithOneLine() throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, VALID);
        for (Map<String, String> env : java.util.List.of(Map.<String, String>of(),
                Map.of("GW_CONFIG", file.toString()),
                Map.of("GW_CONFIG", folder.resolve("none").toString(), "GW_LISTEN", "127.0.0.1:0"),
                Map.of("GW_CONFIG", file.toString(), "GW_LISTEN", "here"))) {
            ByteArrayOutputStream err = new ByteArrayOutputStream();
            assertEquals(1, PlatformServer.run(env, new PrintStream(err)));
            String output = err.toString(StandardCharsets.UTF_8);
            assertEquals(1, output.lines().count(), output);
            assertTrue(output.contains("GW_"), output);
        }
    }
}
