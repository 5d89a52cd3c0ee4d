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
 * The rule checker over histories that the project's real controller, module, channel and proxies play on a network
 * in memory. It is given evidence alone. A history that does not meet its rules is an error.
 */
class HistoriesTest {

    private static final List<String> RULES = List.of("no proxy without a backend", "no effect twice", "drains kept",
            "no cold backend pushed over", "a short queue");
    private static final int SEEDS = 16;

    static Stream<Path> recorded() throws IOException {
        return Histories.files().stream();
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private static RuleChecker.Verdict verdict(String rule, List<RuleChecker.Verdict> all) {
        return all.stream().filter(v -> v.rule().equals(rule)).findFirst().orElseThrow(() ->
                new AssertionError("there is no rule " + rule));
    }

    private static void accepted(DayResult played, List<String> meets) {
        assertTrue(played.passed(), () -> DayReport.text(played));
        for (String rule : meets) {
            assertTrue(verdict(rule, played.verdicts()).met() > 0, () -> played.day().name() + ": " + rule
                    + " was never put to work");
        }
    }

    @ParameterizedTest
    @MethodSource("recorded")
    void aRecordedHistoryIsAcceptedAndWithItsFaultRejectedAtTheRightMoment(Path file) throws IOException, ConfigException {
        Histories.History history = Histories.read(file);
        accepted(DayRunner.simulate(history.day()), history.meets());
        for (Histories.Rejected one : history.rejects()) {
            RuleChecker.Verdict broken = verdict(one.rule(), DayRunner.simulate(history.day(), one.fault()).verdicts());
            assertTrue(broken.broken(), "with its fault: " + broken);
            assertFalse(broken.first().isEmpty());
            assertTrue(broken.firstAt() >= one.from() && broken.firstAt() <= one.to(), broken.toString());
        }
    }

    @Test
    void eachRuleHasAHistoryThatIsRejectedForIt() throws IOException, ConfigException {
        TreeSet<String> rejected = new TreeSet<>();
        for (Path file : Histories.files()) {
            Histories.read(file).rejects().forEach(r -> rejected.add(r.rule()));
        }
        assertTrue(rejected.containsAll(RULES), rejected.toString());
    }

    /** A fleet and its troubles, drawn: 1 to 12 proxies, 1 to 3 controllers; each meets all five rules. */
    private static DayFile drawn(long seed) throws ConfigException, IOException {
        SplittableRandom random = new SplittableRandom(seed);
        int proxies = seed % 4 == 0 ? 1 : 2 + random.nextInt(11);
        String controllers = List.of("\"north\"", "\"north\" \"south\"", "\"north\" \"south\" \"north\"")
                .get(random.nextInt(3));
        int queue = 2 + random.nextInt(4);
        String more = List.of("zone-cut { at \"5s\"; for \"3s\"; zone \"south\" }", "proxies-cut { at \"4s\"; for \"3s\"; "
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
                1 + 8 * random.nextDouble(), random.nextBoolean() ? "north" : "south", more);
        return TestDays.of(text);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void aSeededHistoryKeepsAllRulesAndMeetsThem(long seed) throws IOException, ConfigException {
        DayFile day = drawn(seed);
        // One proxy's messages seldom wait for one another.
        accepted(DayRunner.simulate(day), day.proxies() > 1 ? RULES : RULES.subList(0, 4));
    }

    @Test
    void theSameSeedGivesTheSameBytesOfEvidence() throws IOException, ConfigException {
        assertEquals(digest(3), digest(3));
        assertNotEquals(digest(3), digest(4));
    }

    private static long digest(long seed) throws IOException, ConfigException {
        Evidence seen = DayRunner.simulate(drawn(seed)).evidence();
        long digest = 1;
        for (Evidence.Tapped tap : seen.taps()) {
            digest = 31 * digest + Arrays.hashCode(tap.bytes()) + tap.at() + tap.proxy();
        }
        for (var entry : seen.ledger().entries()) {
            digest = 31 * digest + entry.id.hashCode() + entry.arrivedAt + entry.endedAt + entry.end.ordinal();
        }
        return 31 * digest + seen.answers().hashCode();
    }

    @Test
    void aHistoryThatIsCutOrMalformedIsRefusedWithFileAndLine() throws IOException {
        Path file = Histories.FOLDER.resolve("one-proxy.kdl");
        String text = Files.readString(file);
        ConfigException cut = assertThrows(ConfigException.class, () -> Histories.read("h.kdl", text.substring(0,
                text.indexOf("troubles {") + 30)));
        assertTrue(cut.problems().get(0).matches("h\\.kdl:[0-9]+:[0-9]+: .*"), cut.problems().toString());
        ConfigException unknown = assertThrows(ConfigException.class, () -> Histories.read(file.toString(),
                text.replace("crash {", "crush {")));
        assertTrue(unknown.problems().get(0).contains("one-proxy.kdl:") && unknown.problems().get(0).contains("crush"),
                unknown.problems().toString());
        ConfigException without = assertThrows(ConfigException.class, () -> Histories.read(file.toString(),
                text.replace("meets", "means")));
        assertTrue(without.problems().get(0).contains("meets"), without.problems().toString());
    }
}
