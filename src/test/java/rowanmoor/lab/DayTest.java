package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rowanmoor.config.ConfigException;

/** Whole days in simulated time: real controllers, proxies and stand-ins on a network in memory. */
class DayTest {

    private static DayResult kept(DayFile day) throws IOException {
        DayResult played = DayRunner.simulate(day);
        assertTrue(played.passed(), DayReport.text(played));
        return played;
    }

    @Test
    void theBadDayBreaksNoRuleOnThreeSeeds() throws IOException, ConfigException {
        for (long seed = 1; seed <= 3; seed++) {
            DayResult played = kept(TestDays.of(TestDays.text()).seed(seed));
            assertTrue(played.evidence().ledger().entries().size() > 4000);
            assertEquals(3, played.evidence().ranks().size(), "two controllers, one started again");
        }
    }

    @Test
    void theSameSeedGivesTheSameBytes() throws IOException, ConfigException {
        DayFile day = TestDays.with("12s", "crash { at \"2s\"; for \"4s\"; part 0.2 }");
        assertEquals(digest(day), digest(day));
        assertTrue(digest(day) != digest(day.seed(9)));
    }

    private static int digest(DayFile day) throws IOException {
        int digest = 1;
        for (Evidence.Tapped tap : DayRunner.simulate(day).evidence().taps()) {
            digest = 31 * digest + Arrays.hashCode(tap.bytes()) + (int) tap.at();
        }
        return digest;
    }

    @Test
    void allBackendsDrainAtOnce() throws IOException, ConfigException {
        DayResult played = kept(TestDays.with("16s", "drain { at \"4s\"; for \"6s\"; zone \"north\"; part 1 }; "
                + "drain { at \"4s\"; for \"6s\"; zone \"south\"; part 1 }"));
        long then = played.evidence().start() + 7_000_000_000L;
        assertTrue(played.evidence().ledger().entries().stream().noneMatch(e -> e.arrivedAt > then
                && e.arrivedAt < then + 2_000_000_000L), "drained backends were sent to");
        assertTrue(played.outcomes().stream().anyMatch(o -> o.answered() && o.arrivedAt() > then
                + 5_000_000_000L), "nothing is served once they are back");
    }

    @Test
    void theRosterEmptiesForOneAnswerAndNothingIsWithdrawn() throws IOException, ConfigException {
        DayResult played = kept(TestDays.with("10s", "roster-empty { at \"3s\"; size 2 }"));
        assertTrue(played.evidence().answers().stream().anyMatch(a -> a.instances().isEmpty()));
        assertTrue(played.service(-1) > 0.97, DayReport.text(played));
    }

    @Test
    void aControllerIsKilledBetweenTwoMessagesOfOneMarkAndItsProxiesGoOn() throws IOException, ConfigException {
        // A change at the moment of the kill: some proxies have its message, some do not.
        DayResult played = kept(TestDays.with("14s", "drain { at \"4s\"; for \"5s\"; zone \"south\"; part 0.5 }; "
                + "controller-kill { at \"4.03s\"; for \"2s\"; controller 0 }; "
                + "controller-kill { at \"4.03s\"; for \"2s\"; controller 1 }"));
        long drained = played.evidence().start() + 4_000_000_000L;
        long told = played.evidence().taps().stream().filter(t -> t.what() == Evidence.What.READ
                && t.bytes().length > 60 && t.at() > drained && t.at() < drained + 35_000_000L)
                .map(Evidence.Tapped::proxy).distinct().count();
        assertTrue(told >= 1 && told < played.day().proxies(), told + " proxies had the message");
        assertTrue(played.service(-1) > 0.9, DayReport.text(played));
        assertEquals(4, played.evidence().ranks().size());
    }

    @Test
    void aStandingControllerLosesItsProxiesToTheOther() throws IOException, ConfigException {
        DayResult played = kept(TestDays.with("16s", "controller-stall { at \"3s\"; for \"8s\"; controller 0 }; "
                + "proxies-cut { at \"12s\"; for \"3s\"; part 0.5 }"));
        assertTrue(played.service(-1) > 0.95, DayReport.text(played));
    }

    @Test
    void aReaderOfOneByteASecondHoldsUpNobody() throws IOException, ConfigException {
        DayResult played = kept(TestDays.with("14s", "slow-reader { at \"2s\"; for \"12s\"; part 0.1; size 1 }; "
                + "drain { at \"6s\"; for \"5s\"; zone \"north\"; part 0.4 }"));
        assertTrue(played.service(-1) > 0.95, DayReport.text(played));
    }

    @Test
    void everyKindOfTroubleCanBePlayed() throws IOException, ConfigException {
        DayResult played = DayRunner.simulate(TestDays.with("12s", String.join("; ", List.of(
                "zone-loss { at \"1s\"; for \"3s\"; zone \"south\" }", "pauses { at \"1s\"; for \"3s\"; part 0.3; size 200 }",
                "answers-lost { at \"2s\"; for \"3s\"; part 0.2; size 0.5 }", "burst { at \"5s\"; for \"2s\"; size 1.2 }",
                "false-reports { at \"2s\"; for \"3s\"; part 0.2; size 0.1 }",
                "fast-errors { at \"2s\"; for \"3s\"; part 0.2; size 0.5 }", "slow { at \"2s\"; for \"3s\"; part 0.2; size 3 }",
                "roster-down { at \"5s\"; for \"2s\" }"))));
        assertTrue(played.rulesKept() && played.faults().isEmpty(), DayReport.text(played));
    }
}
