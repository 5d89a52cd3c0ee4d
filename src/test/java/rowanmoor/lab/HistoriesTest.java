package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import rowanmoor.config.ConfigException;

/**
 * Runs the rule checker on histories that the real controller, policy, channel and proxies play on an in-memory
 * network. The checker gets the evidence alone. A history that does not exercise its rules fails the test.
 */
class HistoriesTest {

    private static final List<String> RULES = List.of("no proxy without a backend", "no effect twice", "drains kept",
            "no cold backend pushed over", "a short queue");
    private static final int SEEDS = 16;

    static Stream<Path> recordedFiles() throws IOException {
        return Histories.files().stream();
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private static RuleChecker.Verdict verdict(String rule, List<RuleChecker.Verdict> all) {
        return all.stream().filter(v -> v.rule().equals(rule)).findFirst().orElseThrow(() ->
                new AssertionError("there is no rule " + rule));
    }

    private static void assertAccepted(DayResult result, List<String> exercisedRules) {
        assertTrue(result.passed(), () -> DayReport.text(result));
        for (String rule : exercisedRules) {
            assertTrue(verdict(rule, result.verdicts()).met() > 0, () -> result.day().name() + ": " + rule
                    + " was never exercised");
        }
    }

    @ParameterizedTest
    @MethodSource("recordedFiles")
    void recordedHistoryIsAcceptedAndRejectedInTimeWithItsFault(Path file) throws IOException, ConfigException {
        Histories.History history = Histories.read(file);
        assertAccepted(DayRunner.simulate(history.day()), history.exercisedRules());
        for (Histories.Rejection rejection : history.rejections()) {
            RuleChecker.Verdict broken = verdict(rejection.rule(), DayRunner.simulate(history.day(), rejection.fault()).verdicts());
            assertTrue(broken.broken(), "with its fault: " + broken);
            assertFalse(broken.first().isEmpty());
            assertTrue(broken.firstAt() >= rejection.from() && broken.firstAt() <= rejection.to(), broken.toString());
        }
    }

    @Test
    void everyRuleHasARejectedHistory() throws IOException, ConfigException {
        TreeSet<String> rejected = new TreeSet<>();
        for (Path file : Histories.files()) {
            Histories.read(file).rejections().forEach(r -> rejected.add(r.rule()));
        }
        assertTrue(rejected.containsAll(RULES), rejected.toString());
    }

    /** Draws a fleet and its troubles: 1 to 12 proxies, 1 to 3 controllers; each day exercises all five rules. */
    private static DayFile generatedDay(long seed) throws ConfigException, IOException {
        SplittableRandom random = new SplittableRandom(seed);
        int proxies = seed % 4 == 0 ? 1 : 2 + random.nextInt(11);
        String controllers = List.of("\"north\"", "\"north\" \"south\"", "\"north\" \"south\" \"north\"")
                .get(random.nextInt(3));
        int queue = 2 + random.nextInt(4);
        String extraTrouble = List.of("zone-cut { at \"5s\"; for \"3s\"; zone \"south\" }", "proxies-cut { at \"4s\"; for \"3s\"; "
                + "part 0.5 }", "controller-kill { at \"4s\"; for \"2s\"; controller 0 }", "roster-down { at \"4s\"; "
                + "for \"4s\" }", "slow { at \"3s\"; for \"4s\"; part 0.3; size 4 }", "controller-stall { at \"4s\"; "
                + "for \"2s\"; controller 0 }", "slow-reader { at \"2s\"; for \"6s\"; part 0.3; size 20 }",
                "answers-lost { at \"3s\"; for \"4s\"; part 0.3; size 0.4 }").get(random.nextInt(8));
        String text = String.format(Locale.ROOT, """
                day "drawn %d" { seed %d; length "14s"; settle "3s" }
                site-from "%s"
                fleet {
                    controllers %s
                    proxies %d
                    proxy-skew 0.5
                    backends "fast" { count %d; cores 3; speed 1.5; slots 6; queue %d; weight 4.5; cold-from 0.25; cold "6s" }
                    backends "wide" { count %d; cores 4; speed 1; slots 8; queue %d; weight 4; cold-from 0.25; cold "6s" }
                }
                roster { notice "%dms"; wait "2s" }
                load {
                    rate "130/s"
                    class "preview" { share 0.6; work "120ms" }
                    class "approve" { share 0.4; work "80ms" }
                }
                clients { retries 1; backoff "150ms"; try-share 0.9 }
                troubles {
                    crash { at "2s"; for "3s"; part 0.2 }
                    burst { at "6s"; for "2s"; size 2.2 }
                    drain { at "%.1fs"; for "3s"; zone "%s"; part 0.4 }
                    %s
                }
                """, seed, seed, Histories.FOLDER.resolve("site.kdl").toAbsolutePath(), controllers, proxies,
                4 + random.nextInt(4), queue, 3 + random.nextInt(3), queue, 300 + random.nextInt(700),
                1 + 8 * random.nextDouble(), random.nextBoolean() ? "north" : "south", extraTrouble);
        return TestDays.parse(text);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void generatedHistoryKeepsAndExercisesAllRules(long seed) throws IOException, ConfigException {
        DayFile day = generatedDay(seed);
        // The messages of a single proxy seldom wait for one another.
        assertAccepted(DayRunner.simulate(day), day.proxies() > 1 ? RULES : RULES.subList(0, 4));
    }

    @Test
    void sameSeedGivesIdenticalEvidence() throws IOException, ConfigException {
        assertEquals(digest(3), digest(3));
        assertNotEquals(digest(3), digest(4));
    }

    private static long digest(long seed) throws IOException, ConfigException {
        Evidence evidence = DayRunner.simulate(generatedDay(seed)).evidence();
        long digest = 1;
        for (Evidence.TapEvent tap : evidence.tapEvents()) {
            digest = 31 * digest + Arrays.hashCode(tap.bytes()) + tap.at() + tap.proxy();
        }
        for (var entry : evidence.ledger().entries()) {
            digest = 31 * digest + entry.id.hashCode() + entry.arrivedAt + entry.endedAt + entry.end.ordinal();
        }
        return 31 * digest + evidence.answers().hashCode();
    }

    @Test
    void truncatedOrMalformedHistoryIsRefusedWithFileAndLine() throws IOException {
        Path file = Histories.FOLDER.resolve("one-proxy.kdl");
        String text = Files.readString(file);
        ConfigException truncated = assertThrows(ConfigException.class, () -> Histories.read("h.kdl", text.substring(0,
                text.indexOf("troubles {") + 30)));
        assertTrue(truncated.problems().get(0).matches("h\\.kdl:[0-9]+:[0-9]+: .*"), truncated.problems().toString());
        ConfigException unknown = assertThrows(ConfigException.class, () -> Histories.read(file.toString(),
                text.replace("crash {", "crush {")));
        assertTrue(unknown.problems().get(0).contains("one-proxy.kdl:") && unknown.problems().get(0).contains("crush"),
                unknown.problems().toString());
        ConfigException withoutMeets = assertThrows(ConfigException.class, () -> Histories.read(file.toString(),
                text.replace("meets", "means")));
        assertTrue(withoutMeets.problems().get(0).contains("meets"), withoutMeets.problems().toString());
    }
}
