package rowanmoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.TestSettings.MS;
import static rowanmoor.TestSettings.SECOND;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Members;

/** The operators' pages quote only log lines that the program emits. */
class DocsTest {

    @Test
    void everyQuotedLogLineIsEmitted() throws IOException {
        TreeSet<String> quoted = new TreeSet<>();
        for (String line : Files.readAllLines(Path.of("docs/on-call.md"))) {
            String[] cells = line.split("\\|");
            Matcher matcher = Pattern.compile("`([^`]+)`").matcher(cells.length > 2 ? cells[2] : "");
            while (matcher.find()) {
                quoted.add(matcher.group(1));
            }
        }
        assertEquals(10, quoted.size(), quoted.toString());
        String emitted = emittedLogLines();
        for (String words : quoted) {
            assertTrue(emitted.contains(words), words + " is not in:\n" + emitted);
        }
    }

    /** Checks docs/running.md against the log statements in the source. */
    @Test
    void everyLogLineOfTheOperatorsPageIsLogged() throws IOException {
        StringBuilder sources = new StringBuilder();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                sources.append(Files.readString(file));
            }
        }
        int lines = 0;
        for (String line : Files.readAllLines(Path.of("docs/running.md"))) {
            Matcher matcher = Pattern.compile("^\\| `([^`]+)` \\|").matcher(line);
            if (matcher.find()) {
                lines++;
                String statement = "((LOG|getLogger\\([^)]*\\))\\.[a-z]+\\(|Level.WARN, )\""
                        + matcher.group(1);
                assertTrue(Pattern.compile(statement).matcher(sources).find(),
                        matcher.group(1) + " is never logged");
            }
        }
        assertEquals(12, lines);
    }

    /**
     * What the module logs for a failing backend, an overload, a backend that goes and comes back, and a drain
     * that is too much for the channel.
     */
    private static String emittedLogLines() {
        PolicyHarness harness = new PolicyHarness(TestSettings.plain()).start(8, 4);
        for (int i = 0; i < 4; i++) {
            harness.reportRound(8, 2, b -> b == 2 ? 9 : 0, b -> 100 * MS);
        }
        for (int i = 0; i < 50; i++) {
            boolean calm = i >= 8;
            for (int p = 0; p < 4; p++) {
                harness.reportUsage(p, 0, 50);
            }
            harness.reportRound(8, 2, b -> calm ? 0 : 4, b -> calm ? 100 * MS : 900 * MS);
        }
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2,
                List.of(PolicyHarness.member(3, 1, Availability.GONE, 0))));
        harness.advanceOneSecond();
        harness.handle(new Members(CatalogUpdateKind.DELTA, 3,
                List.of(PolicyHarness.member(3, 1, Availability.READY, harness.now))));
        for (int i = 0; i < 10; i++) {
            harness.advanceOneSecond();
        }
        SimulatedFleet fleet = new SimulatedFleet(TestSettings.herd(400, 0), 30).joinOver(0, 400, 4 * SECOND);
        fleet.list(CatalogUpdateKind.DELTA, Availability.DRAINING, 0, 0, 15);
        StringBuilder text = new StringBuilder(String.join("\n", fleet.run(4 * SECOND).log)).append('\n');
        harness.allActions.stream().filter(Log.class::isInstance).forEach(a ->
                text.append(((Log) a).text()).append('\n'));
        return text.toString();
    }
}
