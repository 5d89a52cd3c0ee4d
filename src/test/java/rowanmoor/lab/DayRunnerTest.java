package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rowanmoor.config.ConfigException;

/** Whole days in simulated time: real controllers, proxies and stand-ins on an in-memory network. */
class DayRunnerTest {

    private static DayResult runAndAssertPassed(DayFile day) throws IOException {
        DayResult result = DayRunner.simulate(day);
        assertTrue(result.passed(), DayReport.text(result));
        return result;
    }

    @Test
    void badDayBreaksNoRuleOnThreeSeeds() throws IOException, ConfigException {
        for (long seed = 1; seed <= 3; seed++) {
            DayResult result = runAndAssertPassed(TestDays.parse(TestDays.sampleText()).seed(seed));
            assertTrue(result.evidence().ledger().entries().size() > 4000);
            assertEquals(3, result.evidence().ranksByEpoch().size(), "two controllers, one of them restarted");
        }
    }

    @Test
    void sameSeedGivesIdenticalBytes() throws IOException, ConfigException {
        DayFile day = TestDays.sampleWithTroubles("12s", "crash { at \"2s\"; for \"4s\"; part 0.2 }");
        assertEquals(digest(day), digest(day));
        assertTrue(digest(day) != digest(day.seed(9)));
    }

    private static int digest(DayFile day) throws IOException {
        int digest = 1;
        for (Evidence.TapEvent tap : DayRunner.simulate(day).evidence().tapEvents()) {
            digest = 31 * digest + Arrays.hashCode(tap.bytes()) + (int) tap.at();
        }
        return digest;
    }

    @Test
    void allBackendsCanDrainAtOnce() throws IOException, ConfigException {
        DayResult result = runAndAssertPassed(TestDays.sampleWithTroubles("16s",
                "drain { at \"4s\"; for \"6s\"; zone \"north\"; part 1 }; "
                + "drain { at \"4s\"; for \"6s\"; zone \"south\"; part 1 }"));
        long drainedBy = result.evidence().start() + 7_000_000_000L;
        assertTrue(result.evidence().ledger().entries().stream().noneMatch(e -> e.arrivedAt > drainedBy
                && e.arrivedAt < drainedBy + 2_000_000_000L), "requests were sent to drained backends");
        assertTrue(result.outcomes().stream().anyMatch(o -> o.answered() && o.arrivedAt() > drainedBy
                + 5_000_000_000L), "no request is served after the drain");
    }

    @Test
    void emptyRosterAnswerWithdrawsNothing() throws IOException, ConfigException {
        DayResult result = runAndAssertPassed(TestDays.sampleWithTroubles("10s", "roster-empty { at \"3s\"; size 2 }"));
        assertTrue(result.evidence().answers().stream().anyMatch(a -> a.instances().isEmpty()));
        assertTrue(result.service(-1) > 0.97, DayReport.text(result));
    }

    @Test
    void proxiesContinueWhenControllersAreKilledInTheMiddleOfAChange() throws IOException, ConfigException {
        // A change at the moment of the kill: only some of the proxies have received its message.
        DayResult result = runAndAssertPassed(TestDays.sampleWithTroubles("14s",
                "drain { at \"4s\"; for \"5s\"; zone \"south\"; part 0.5 }; "
                + "controller-kill { at \"4.03s\"; for \"2s\"; controller 0 }; "
                + "controller-kill { at \"4.03s\"; for \"2s\"; controller 1 }"));
        long drained = result.evidence().start() + 4_000_000_000L;
        long informed = result.evidence().tapEvents().stream().filter(t -> t.type() == Evidence.TapEventType.READ
                && t.bytes().length > 60 && t.at() > drained && t.at() < drained + 35_000_000L)
                .map(Evidence.TapEvent::proxy).distinct().count();
        assertTrue(informed >= 1 && informed < result.day().proxies(), informed + " proxies had the message");
        assertTrue(result.service(-1) > 0.9, DayReport.text(result));
        assertEquals(4, result.evidence().ranksByEpoch().size());
    }

    @Test
    void proxiesOfAPausedControllerMoveToTheOther() throws IOException, ConfigException {
        DayResult result = runAndAssertPassed(TestDays.sampleWithTroubles("16s",
                "controller-stall { at \"3s\"; for \"8s\"; controller 0 }; "
                + "proxies-cut { at \"12s\"; for \"3s\"; part 0.5 }"));
        assertTrue(result.service(-1) > 0.95, DayReport.text(result));
    }

    @Test
    void slowReaderDoesNotDelayOtherProxies() throws IOException, ConfigException {
        DayResult result = runAndAssertPassed(TestDays.sampleWithTroubles("14s",
                "slow-reader { at \"2s\"; for \"12s\"; part 0.1; size 1 }; "
                + "drain { at \"6s\"; for \"5s\"; zone \"north\"; part 0.4 }"));
        assertTrue(result.service(-1) > 0.95, DayReport.text(result));
    }

    @Test
    void otherKindsOfTroubleKeepAllRules() throws IOException, ConfigException {
        DayResult result = DayRunner.simulate(TestDays.sampleWithTroubles("12s", String.join("; ", List.of(
                "zone-loss { at \"1s\"; for \"3s\"; zone \"south\" }", "pauses { at \"1s\"; for \"3s\"; part 0.3; size 200 }",
                "answers-lost { at \"2s\"; for \"3s\"; part 0.2; size 0.5 }", "burst { at \"5s\"; for \"2s\"; size 1.2 }",
                "false-reports { at \"2s\"; for \"3s\"; part 0.2; size 0.1 }",
                "fast-errors { at \"2s\"; for \"3s\"; part 0.2; size 0.5 }", "slow { at \"2s\"; for \"3s\"; part 0.2; size 3 }",
                "roster-down { at \"5s\"; for \"2s\" }"))));
        assertTrue(result.rulesKept() && result.faults().isEmpty(), DayReport.text(result));
    }
}
