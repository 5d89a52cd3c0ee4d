package rowanmoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The place of the decision module and the width of source lines. */
class LimitsTest {

    private static final int MAX_LINE_LENGTH = 110;

    @Test
    void decisionModuleHasCode() throws IOException {
        long lines = Files.readAllLines(Path.of("src/main/java/rowanmoor/RoutingPolicy.java")).stream()
                .filter(line -> !line.isBlank()).count();
        assertTrue(lines > 0, "RoutingPolicy.java has " + lines + " non-blank lines");
    }

    @Test
    void noMainSourceLineIsTooLong() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                List<String> lines = Files.readAllLines(file);
                for (int i = 0; i < lines.size(); i++) {
                    assertTrue(lines.get(i).length() <= MAX_LINE_LENGTH, file + " line " + (i + 1));
                }
            }
        }
    }

    @Test
    void deploymentFileNamesTheDecisionModule() throws IOException {
        assertEquals(1, Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = [\"src/main/java/rowanmoor/RoutingPolicy.java\"]"))
                        .count());
    }
}
