package rowanmoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.TestSettings.MS;
import static rowanmoor.TestSettings.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.Effect;
import rowanmoor.ControlApi.ListKind;
import rowanmoor.ControlApi.Listed;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.Retry;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;

/** Each test names the failure that it holds against. */
class RoutingPolicyTest {

    private final PolicyHarness stand = new PolicyHarness(TestSettings.plain());

    @Test
    void aJoiningProxyIsBoundForEveryClassInTheSameReply() {
        stand.start(4, 1);
        assertTrue(stand.lastActions.stream().anyMatch(Bind.class::isInstance));
        assertEquals(2, stand.boundTables.get(0).size());
        assertTrue(stand.share(0, 0, 0) > 0);
    }

    @Test
    void aDrainAlwaysWithdrawsAndAtOnce() {
        stand.start(2, 2);
        stand.now += 50 * MS;
        stand.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(1, 1, Listed.DRAINING, 0))));
        assertTrue(stand.withdrawn.get(PolicyHarness.backend(1)));
        stand.now += 50 * MS;
        stand.handle(new Members(ListKind.DELTA, 3, List.of(PolicyHarness.member(0, 0, Listed.DRAINING, 0))));
        assertTrue(stand.withdrawn.get(PolicyHarness.backend(0)), "even the last one");
    }

    @Test
    void aBackendMissingFromAFullListIsGone() {
        stand.start(3, 2);
        stand.handle(new Members(ListKind.FULL, 2, List.of(PolicyHarness.member(0, 0, Listed.READY, 0),
                PolicyHarness.member(1, 1, Listed.READY, 0))));
        assertTrue(stand.withdrawn.get(PolicyHarness.backend(2)));
    }

    @Test
    void aProxyThatJoinsLateMeetsNoWithdrawnBackend() {
        stand.start(4, 2);
        stand.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(2, 0, Listed.DRAINING, 0))));
        stand.advanceOneSecond();
        stand.handle(new ProxyJoined(2, 0, 20, true));
        assertEquals(0, stand.share(2, 0, 2));
    }

    @Test
    void failingHealthNeverEmptiesATable() {
        stand.start(2, 2);
        for (int i = 0; i < 12; i++) {
            stand.reportRound(2, 2, b -> 10, b -> 0);
        }
        for (int proxy = 0; proxy < 2; proxy++) {
            assertTrue(stand.share(proxy, 0, 0) + stand.share(proxy, 0, 1) > 0.99);
        }
        assertFalse(stand.withdrawn.containsValue(true));
    }

    @Test
    void aFastFailerIsRestedAndTriedAgainGently() {
        stand.start(8, 2);
        for (int i = 0; i < 3; i++) {
            stand.reportRound(8, 2, b -> b == 2 ? 8 : 0, b -> 100 * MS);
        }
        assertEquals(0, stand.share(0, 0, 2));
        double onTrial = 0;
        for (int i = 0; i < 8 && onTrial == 0; i++) {
            stand.reportRound(8, 2, b -> 0, b -> 100 * MS);
            onTrial = stand.share(0, 0, 2);
        }
        assertTrue(onTrial > 0 && onTrial < stand.share(0, 0, 4) / 3, "trial share " + onTrial);
    }

    @Test
    void allSlowTogetherRestsNone() {
        stand.start(6, 2);
        for (int i = 0; i < 4; i++) {
            stand.reportRound(6, 2, b -> 0, b -> 100 * MS);
        }
        for (int i = 0; i < 8; i++) {
            stand.reportRound(6, 2, b -> 4, b -> 900 * MS);
        }
        for (int b = 0; b < 6; b += 2) {
            assertTrue(stand.share(0, 0, b) > 0.1);
        }
    }

    @Test
    void aMuchSlowerBackendGivesUpMoreThanTheHandOversAllow() {
        stand.start(8, 2);
        for (int i = 0; i < 6; i++) {
            stand.reportRound(8, 2, b -> 0, b -> b == 2 ? 900 * MS : 100 * MS);
        }
        assertTrue(stand.share(0, 0, 2) < stand.share(0, 0, 4) / 4);
    }

    @Test
    void aBackendWhoseTriesTimeOutDoesNotLookQuick() {
        stand.start(8, 2);
        for (int i = 0; i < 6; i++) {
            stand.reportRound(8, 2, b -> b == 2 ? 4 : 0, b -> 100 * MS);
        }
        assertTrue(stand.share(0, 0, 2) < stand.share(0, 0, 4) / 3, "share " + stand.share(0, 0, 2));
    }

    @Test
    void handOversStayWithinHalfAndTwiceListed() {
        stand.start(8, 2);
        for (int i = 0; i < 60; i++) {
            stand.reportRound(8, 2, b -> 0, b -> b == 2 ? 200 * MS : b == 4 ? 50 * MS : 100 * MS);
        }
        assertTrue(stand.share(0, 0, 2) < stand.share(0, 0, 6));
        assertTrue(stand.share(0, 0, 2) > 0.4 * stand.share(0, 0, 6));
        assertTrue(stand.share(0, 0, 4) < 2.3 * stand.share(0, 0, 6));
    }

    @Test
    void aRestartedBackendIsHeldWhileVeryColdAndThenGetsLittleFromAllProxiesTogether() {
        stand.start(4, 4);
        stand.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(2, 0, Listed.GONE, 0))));
        stand.advanceOneSecond();
        stand.handle(new Members(ListKind.DELTA, 3, List.of(PolicyHarness.member(2, 0, Listed.READY,
                stand.now - SECOND))));
        assertTrue(stand.withdrawn.get(PolicyHarness.backend(2)), "still too cold");
        stand.advanceOneSecond();
        stand.advanceOneSecond();
        assertFalse(stand.withdrawn.get(PolicyHarness.backend(2)));
        double sum = 0;
        for (int proxy = 0; proxy < 4; proxy++) {
            sum += stand.share(proxy, 0, 2);
        }
        assertTrue(sum > 0 && sum / 4 < 0.25 * 0.44, "of a usual quarter: " + sum / 4);
        for (int i = 0; i < 12; i++) {
            stand.advanceOneSecond();
        }
        assertTrue(stand.share(0, 0, 2) > 0.4, "warm again in its zone");
    }

    @Test
    void aColdBackendIsHeldLongerWhereProxiesShunThoseThatFail() {
        for (boolean shun : new boolean[] {false, true}) {
            PolicyHarness held = new PolicyHarness(shun ? TestSettings.withEjection() : TestSettings.plain()).start(4, 4);
            held.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(2, 0, Listed.READY, held.now))));
            for (int i = 0; i < 4; i++) {
                held.advanceOneSecond();
            }
            assertEquals(shun, held.withdrawn.get(PolicyHarness.backend(2)), "at half of its warmth");
        }
    }

    /** A variant of the bench's deployments: the class went everywhere, whatever crossing zones cost. */
    @Test
    void aClassThatKeepsToItsZoneHasNoLineElsewhereAndOthersMay() {
        for (double price : new double[] {0.01, 0.05}) {
            Settings s = TestSettings.plain();
            ControlApi.ClassSpec home = s.classes().get(0);
            home = new ControlApi.ClassSpec(home.aim(), home.deadline(), 1, 0, Effect.SAFE, home.group(), home.window(),
                    false, true, Set.of(), Set.of());
            PolicyHarness zones = new PolicyHarness(new Settings(1, 3, List.of(home, s.classes().get(1)), false, false, s.admission(), 0,
                    8, 0, SECOND, 500, price, s.columns(), s.rules(), s.channel()));
            List<ControlApi.Member> members = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                members.add(PolicyHarness.member(i, i % 3, Listed.READY, 0));
            }
            zones.handle(new Members(ListKind.FULL, 1, members));
            for (int p = 0; p < 6; p++) {
                zones.handle(new ProxyJoined(p, p % 3, 20, true));
            }
            for (int i = 0; i < 20; i++) { // all of one zone fail, and one is drained
                zones.reportRound(9, 3, b -> b % 3 == 1 ? 10 : 0, b -> 100 * MS);
                zones.handle(new Members(ListKind.DELTA, 2 + i, List.of(PolicyHarness.member(2, 2, i < 5 ? Listed.READY
                        : Listed.DRAINING, 0))));
            }
            for (int p = 0; p < 6; p++) {
                int zone = p % 3;
                Map<Backend, Double> lines = zones.tables.get(zones.boundTables.get(p).get(0));
                assertTrue(List.of(PolicyHarness.backend(zone), PolicyHarness.backend(zone + 3), PolicyHarness.backend(zone + 6))
                        .containsAll(lines.keySet()), "proxy of zone " + zone + ": " + lines);
                assertFalse(lines.isEmpty());
                assertTrue(zones.tables.get(zones.boundTables.get(p).get(1)).size() > 3, "the other class has a way out");
            }
        }
    }

    /** A short day of a release: second tries of a jam not seen yet pushed over those that had just come in. */
    @Test
    void secondTriesStopWhileATenthOfAllTriesFailsAndReturnUnderATwentieth() {
        stand.start(10, 4);
        int[] failedOf100 = {0, 11, 9, 11, 6, 4};
        int[] latency = {100, 110, 200, 200, 200, 200}; // ms; the second: some are dead, the others have room
        Retry[] expected = {Retry.ONCE_UNRUN, Retry.ONCE_UNRUN, Retry.ONCE_UNRUN, Retry.NEVER, Retry.NEVER,
            Retry.ONCE_UNRUN};
        for (int step = 0; step < expected.length; step++) {
            for (int i = 0; i < 10; i++) { // one backend in ten brings all of it: no overload
                stand.policy.handle(stand.now, new Tally(PolicyHarness.backend(i), 0, 100, i == 0 ? 10 * failedOf100[step] : 0,
                        latency[step] * MS, SECOND, List.of()));
            }
            stand.advanceOneSecond();
            stand.advanceOneSecond();
            assertEquals(expected[step], stand.sentLevels.get(0).get(stand.boundTables.get(0).get(0)).retry(), "step " + step);
            assertEquals(expected[step], stand.sentLevels.get(1).get(stand.boundTables.get(1).get(1)).retry(), "step " + step);
        }
    }

    @Test
    void aProxyThatComesIsToldToLetBackWhatWarmedUpWhileItWasAway() {
        stand.start(6, 4);
        stand.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(2, 0, Listed.READY, stand.now))));
        for (int i = 0; i < 3; i++) {
            stand.advanceOneSecond();
        }
        assertFalse(stand.withdrawn.get(PolicyHarness.backend(2)), "let in by now");
        stand.handle(new ProxyLeft(1), new ProxyJoined(1, 0, 20, false));
        List<Backend> letBack = stand.lastActions.stream().filter(Bind.class::isInstance).map(Bind.class::cast)
                .filter(b -> b.proxy() == 1).flatMap(b -> b.letBack().stream()).distinct().toList();
        assertEquals(List.of(PolicyHarness.backend(2)), letBack);
        for (int i = 0; i < 10; i++) {
            stand.advanceOneSecond();
        }
        stand.handle(new ProxyLeft(1), new ProxyJoined(1, 0, 20, false));
        assertTrue(stand.lastActions.stream().filter(Bind.class::isInstance).map(Bind.class::cast)
                .allMatch(b -> b.letBack().isEmpty()), "long warm");
    }

    @Test
    void aRestartHeardWithoutALossIsHeldToo() {
        stand.start(4, 4);
        stand.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(2, 0, Listed.READY, stand.now))));
        assertTrue(stand.withdrawn.get(PolicyHarness.backend(2)));
    }

    @Test
    void coldBackendsAreUsedWhereHardlyAnyIsWarm() {
        stand.start(4, 4);
        List<ControlApi.Member> cold = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            cold.add(PolicyHarness.member(i, i % 2, Listed.READY, stand.now));
        }
        stand.handle(new Members(ListKind.DELTA, 2, cold));
        assertFalse(stand.withdrawn.containsValue(true));
        assertTrue(stand.share(0, 0, 0) > 0.2);
    }

    @Test
    void proxiesBackFromALostZoneMeetNoTablesLaidForNobody() {
        stand.start(8, 0);
        stand.handle(new ProxyJoined(1, 1, 40, true));
        List<ControlApi.Member> cold = new ArrayList<>();
        for (int i = 0; i < 8; i += 2) {
            cold.add(PolicyHarness.member(i, 0, Listed.READY, stand.now - 4 * SECOND));
        }
        stand.advanceOneSecond();
        stand.handle(new Members(ListKind.DELTA, 2, cold));
        Map<ControlApi.Backend, Double> lines = stand.tables.get(0);
        double sum = lines.values().stream().mapToDouble(w -> w).sum();
        double coldShare = cold.stream().mapToDouble(m -> lines.get(m.backend())).sum() / sum;
        assertTrue(coldShare > 0 && coldShare < 0.85, "share of cold backends " + coldShare);
    }

    @Test
    void aColdBackendAloneInItsZoneGetsLittleOwnZonePreference() {
        stand.start(8, 4);
        List<ControlApi.Member> lost = new ArrayList<>();
        for (int i = 0; i < 8; i += 2) {
            lost.add(PolicyHarness.member(i, 0, Listed.GONE, 0));
        }
        stand.handle(new Members(ListKind.DELTA, 2, lost));
        for (int i = 0; i < 5; i++) {
            stand.reportUsage(1, 0, 90);
            stand.advanceOneSecond();
        }
        stand.handle(new Members(ListKind.DELTA, 3, List.of(PolicyHarness.member(0, 0, Listed.READY, stand.now))));
        stand.advanceOneSecond();
        stand.advanceOneSecond();
        assertTrue(stand.share(0, 0, 0) > 0 && stand.share(0, 0, 0) < 0.1, "share " + stand.share(0, 0, 0));
    }

    @Test
    void aProxyNotYetHeardCountsWithTheRateItJoinedWith() {
        stand.start(8, 1);
        stand.now += 300 * MS;
        stand.handle(new ProxyJoined(1, 1, 200, true));
        for (int i = 0; i < 12; i++) {
            stand.reportUsage(0, 0, 20);
            stand.advanceOneSecond();
        }
        assertTrue(stand.share(1, 0, 0) > 0.05, "a heavy zone spills over before it is heard: "
                + stand.share(1, 0, 0));
    }

    @Test
    void ownZoneIsPreferredWhereCrossingHasAPrice() {
        stand.start(8, 2);
        assertTrue(stand.share(0, 0, 0) > 10 * stand.share(0, 0, 1));
        assertTrue(stand.share(0, 0, 1) > 0, "with a trickle to the other zone");
    }

    @Test
    void aConfinedClassStaysInItsZones() {
        PolicyHarness confined = new PolicyHarness(TestSettings.with(List.of(TestSettings.spec(Effect.SAFE, 1, Set.of()),
                TestSettings.spec(Effect.KEYED, 2, Set.of(1))), false, 0, 0)).start(8, 2);
        assertEquals(0, confined.share(0, 1, 0));
        assertTrue(confined.share(0, 1, 1) > 0.2);
        assertTrue(confined.share(0, 0, 0) > 0, "while the other class is open everywhere");
    }

    @Test
    void anEvenLevelFillsThePartAmongUnequalProxies() {
        assertEquals(30, RoutingPolicy.evenLevel(new double[] {10, 10, 80}, 50), 1e-9);
        assertEquals(20, RoutingPolicy.evenLevel(new double[] {30, 30, 30}, 60), 1e-9);
    }

    @Test
    void overloadShedsTheLeastWorthFirstAndCalmLiftsIt() {
        calmThenOverload(4);
        double cheap = stand.level(0, 0);
        assertTrue(cheap < 15, "level of the cheap class " + cheap);
        assertTrue(stand.level(0, 1) > 1000, "the worthy class is open");
        assertEquals(Retry.ONCE_UNRUN, stand.sentLevels.get(0).get(stand.boundTables.get(0).get(0)).retry());
        calm(30);
        assertTrue(stand.level(0, 0) > 1000);
    }

    @Test
    void aLevelCountsDepartedProxiesUntilTheLeaseEnds() {
        calmThenOverload(3);
        double before = stand.level(1, 0);
        stand.handle(new ProxyLeft(3));
        overload(1);
        assertTrue(stand.level(1, 0) < 1.2 * before, "the departed one's part is not handed out at once");
    }

    @Test
    void aSlowWayToIdleBackendsIsNoOverload() {
        for (double busy : new double[] {0.3, 0.95}) {
            PolicyHarness used = new PolicyHarness(TestSettings.reportingUtilization()).start(4, 4);
            for (int i = 0; i < 12; i++) {
                for (int proxy = 0; proxy < 4; proxy++) {
                    used.reportUsage(proxy, 0, 15);
                    used.reportUsage(proxy, 1, 5);
                }
                long latency = i < 5 ? 100 * MS : 700 * MS;
                for (int b = 0; b < 4; b++) {
                    used.policy.handle(used.now, new ControlApi.Tally(PolicyHarness.backend(b), b % 2, 10, i < 5 ? 0 : 1,
                            latency, SECOND, List.of(busy)));
                }
                used.advanceOneSecond();
            }
            assertEquals(busy < 0.5, used.level(0, 0) > 1000, "level at use " + busy);
        }
    }

    @Test
    void fullCoresAreOverloadBeforeAnswersAreSlow() {
        PolicyHarness used = new PolicyHarness(TestSettings.reportingUtilization()).start(4, 4);
        for (int i = 0; i < 10; i++) {
            for (int proxy = 0; proxy < 4; proxy++) {
                used.reportUsage(proxy, 0, 15);
                used.reportUsage(proxy, 1, 5);
            }
            double busy = i < 5 ? 0.6 : 1;
            for (int b = 0; b < 4; b++) {
                used.policy.handle(used.now, new ControlApi.Tally(PolicyHarness.backend(b), b % 2, 10, 0, 100 * MS, SECOND,
                        List.of(busy)));
            }
            used.advanceOneSecond();
        }
        assertTrue(used.level(0, 0) < 1000, "level " + used.level(0, 0));
    }

    @Test
    void aControllerRestartedInAJamSetsLevelsThoughItNeverSawTheFleetQuiet() {
        stand.start(4, 4);
        round(6, 5, 1500 * MS);
        assertTrue(stand.level(0, 0) < 1000, "level " + stand.level(0, 0));
    }

    @Test
    void fewFailuresOfAQuietFleetWithFewTriesAreNoOverload() {
        stand.start(4, 4);
        for (int i = 0; i < 12; i++) {
            for (int b = 0; b < 4; b++) {
                for (int proxy = 0; proxy < 4; proxy++) {
                    stand.reportUsage(proxy, b % 2, 2);
                }
                stand.policy.handle(stand.now, new ControlApi.Tally(PolicyHarness.backend(b), 0, 4, i < 5 ? 0 : 1,
                        100 * MS, SECOND, List.of()));
            }
            stand.advanceOneSecond();
        }
        assertTrue(stand.level(0, 0) > 1000, "failed connects alone are no overload");
    }

    @Test
    void noLevelsAreSetInTheFirstRoundsAfterAStart() {
        stand.start(4, 4);
        overload(2);
        assertTrue(stand.level(0, 0) > 1000);
    }

    @Test
    void noLevelIsRuinousIfItStays() {
        calmThenOverload(60);
        assertTrue(stand.level(0, 0) >= 1, "level " + stand.level(0, 0));
    }

    private void calmThenOverload(int rounds) {
        stand.start(4, 4);
        calm(5);
        overload(rounds);
    }

    private void calm(int rounds) {
        round(rounds, 0, 100 * MS);
    }

    private void overload(int rounds) {
        round(rounds, 1, 700 * MS);
    }

    private void round(int rounds, int failed, long latency) {
        for (int i = 0; i < rounds; i++) {
            for (int proxy = 0; proxy < 4; proxy++) {
                stand.reportUsage(proxy, 0, 15);
                stand.reportUsage(proxy, 1, 5);
            }
            stand.reportRound(4, 2, b -> failed, b -> latency);
        }
    }

    @Test
    void anUnsafeOrKeyedClassIsNeverTriedAgainAfterATryThatMayHaveRun() {
        PolicyHarness kinds = new PolicyHarness(TestSettings.with(List.of(TestSettings.spec(Effect.SAFE, 1, Set.of()),
                TestSettings.spec(Effect.KEYED, 2, Set.of()), TestSettings.spec(Effect.UNSAFE, 5, Set.of())),
                false, 0, 0)).start(4, 2);
        for (int i = 0; i < 6; i++) {
            kinds.reportRound(4, 2, b -> b == 2 ? 9 : 0, b -> 100 * MS);
        }
        for (Action action : kinds.allActions) {
            if (action instanceof Admit admit && (admit.classes() & 6) != 0) {
                assertEquals(Retry.ONCE_UNRUN, admit.retry());
            }
        }
    }

    @Test
    void aFloodOfChangesStaysInsideTheBacklog() {
        stand.start(40, 30);
        double waiting = 0;
        for (int i = 0; i < 100; i++) {
            stand.now += 10 * MS;
            waiting = Math.max(0, waiting - 20);
            stand.handle(new Members(ListKind.DELTA, i + 2, List.of(PolicyHarness.member(i % 40, i % 2, Listed.READY,
                    stand.now))));
            waiting += stand.lastLines();
            assertTrue(waiting < stand.settings.channel().backlog(), "waiting " + waiting);
        }
    }

    @Test
    void aFloodOfChangesStaysInsideTheMessageBudget() {
        PolicyHarness limited = new PolicyHarness(TestSettings.with(TestSettings.plain().classes(), false, 20, 0)).start(8,
                4);
        List<Long> written = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            limited.now += 50 * MS;
            Listed listed = i / 8 % 2 == 0 ? Listed.GONE : Listed.READY;
            limited.handle(new Members(ListKind.DELTA, i + 2, List.of(PolicyHarness.member(i % 8, i % 2, listed,
                    limited.now))));
            if (limited.lastActions.stream().anyMatch(a -> a instanceof SetLine || a instanceof Withdraw)) {
                written.add(limited.now);
            }
            long start = limited.now - 10 * SECOND;
            assertTrue(written.stream().filter(t -> t > start).count() <= 20);
        }
    }

    @Test
    void withdrawalsWaitingForTheMessageBudgetAreSentSoonAfter() {
        PolicyHarness limited = new PolicyHarness(TestSettings.with(TestSettings.plain().classes(), false, 20, 0)).start(8,
                4);
        limited.now += 600 * MS;
        limited.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(0, 0, Listed.GONE, 0))));
        limited.now += 50 * MS;
        limited.handle(new Members(ListKind.DELTA, 3, List.of(PolicyHarness.member(1, 1, Listed.GONE, 0))));
        long due = limited.lastActions.stream().filter(TimerAt.class::isInstance).mapToLong(a ->
                ((TimerAt) a).time())
                .min().orElseThrow();
        assertTrue(due - limited.now < SECOND);
        limited.now = due;
        limited.decide();
        assertTrue(limited.withdrawn.get(PolicyHarness.backend(1)));
    }

    @Test
    void aFailedAskIsRepeatedWellInsideTheLimit() {
        PolicyHarness asking = new PolicyHarness(TestSettings.with(TestSettings.plain().classes(), true, 0, 0)).start(4, 1);
        assertTrue(asking.allActions.contains(new Watch(true)));
        for (int i = 0; i < 10; i++) {
            asking.handle(new Members(ListKind.FAILED, 2, List.of()));
            long due = asking.lastActions.stream().filter(TimerAt.class::isInstance).mapToLong(a ->
                    ((TimerAt) a).time())
                    .min().orElseThrow();
            assertTrue(due - asking.now <= 2500 * MS);
            asking.now = due;
            assertTrue(asking.decide().contains(new Watch(true)));
        }
    }

    @Test
    void aControllerThatRestartsAmongProxiesWithOldTablesBindsThemAnew() {
        stand.start(4, 0);
        stand.handle(new ProxyJoined(5, 1, 20, false));
        assertEquals(2, stand.boundTables.get(5).size());
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        List<List<Action>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            PolicyHarness again = new PolicyHarness(TestSettings.plain()).start(8, 4);
            for (int i = 0; i < 10; i++) {
                again.reportRound(8, 2, b -> b == 3 ? 7 : 0, b -> 100 * MS + b * MS);
            }
            runs.add(again.allActions);
        }
        assertEquals(runs.get(0), runs.get(1));
        assertNotEquals(0, runs.get(0).size());
    }

    @Test
    void aSiteWithSlicesGetsWithdrawalsAndNobodyIsBound() {
        PolicyHarness sliced = new PolicyHarness(TestSettings.with(TestSettings.plain().classes(), false, 0, 4)).start(4, 2);
        sliced.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(1, 1, Listed.DRAINING, 0))));
        assertTrue(sliced.withdrawn.get(PolicyHarness.backend(1)));
        assertTrue(sliced.boundTables.isEmpty());
        assertTrue(sliced.allActions.stream().noneMatch(a -> a instanceof SetLine || a instanceof Bind));
    }

    @Test
    void aTroubleThatHidesWhatBackendsCanDoDoesNotCutTheTotalBelowWhatWasProven() {
        stand.start(4, 4);
        calm(8);
        for (int i = 0; i < 10; i++) { // then hardly anybody asks
            stand.policy.handle(stand.now, new ControlApi.Tally(PolicyHarness.backend(0), 0, 1, 0, 100 * MS, SECOND, List.of()));
            stand.advanceOneSecond();
        }
        round(2, 8, 700 * MS);
        assertTrue(stand.level(0, 0) > 5, "of 80 a second served in calm three quarters are let in: "
                + stand.level(0, 0));
    }

    @Test
    void aDeadBackendGetsNothingWhereAnswersAreSlowThemselves() {
        stand.start(8, 2);
        for (int i = 0; i < 4; i++) {
            stand.reportRound(8, 2, b -> b == 2 ? 10 : 0, b -> 500 * MS);
        }
        assertEquals(0, stand.share(0, 0, 2), "lightened by its slow second alone it would keep half");
    }

    /** Two tries a round from each region: too few of a path's own, as on the bench's sockets. */
    private static double leastShare(java.util.function.IntBinaryOperator failedOfTwo, int proxy) {
        double least = 1;
        PolicyHarness thin = new PolicyHarness(TestSettings.plain()).start(8, 8);
        for (int round = 0; round < 8; round++) {
            for (int zone = 0; zone < 2; zone++) {
                for (int b = 0; b < 8; b++) {
                    int failed = failedOfTwo.applyAsInt(b, zone);
                    thin.policy.handle(thin.now, new Tally(PolicyHarness.backend(b), zone, 2, failed,
                            failed == 2 ? 0 : 100 * MS, SECOND, List.of()));
                }
            }
            thin.advanceOneSecond();
            least = Math.min(least, thin.share(proxy, 0, 3));
        }
        return least;
    }

    @Test
    void aBackendThatFailsTheFewTriesOfEveryRegionRests() {
        assertEquals(0, leastShare((b, zone) -> b == 3 ? 2 : 0, 1), 1e-2,
                "no path has enough tries of its own, all together do");
    }

    @Test
    void aBackendThatOneRegionCannotReachServesTheOther() {
        assertTrue(leastShare((b, zone) -> b == 3 && zone == 0 ? 2 : 0, 1) > 0.05,
                "few good tries of its own say more than the others' failures");
    }

    /** After a restart on the bench's sockets: a calm quarter was refused, since half had gone back. */
    @Test
    void inCalmNobodyIsHeldBackForProxiesThatWentElsewhere() {
        PolicyHarness stand = new PolicyHarness(TestSettings.plain()).start(8, 8);
        long[] per = {10, 0}; // tries a round and path, and how many fail
        java.util.function.IntConsumer round = joined -> {
            for (int p = 0; p < joined; p++) {
                stand.reportUsage(p, 0, 20);
            }
            for (int zone = 0; zone < 2; zone++) {
                for (int b = 0; b < 8; b++) {
                    stand.policy.handle(stand.now, new Tally(PolicyHarness.backend(b), zone, per[0], per[1],
                            100 * MS, SECOND, List.of()));
                }
            }
            stand.advanceOneSecond();
        };
        for (int i = 0; i < 10; i++) {
            round.accept(8);
        }
        per[1] = 4;
        for (int i = 0; i < 4; i++) {
            round.accept(8); // overload: a total is set
        }
        per[1] = 0;
        round.accept(8);
        for (int p = 0; p < 6; p++) {
            stand.handle(new ProxyLeft(7 - p));
        }
        per[0] = 3;
        StringBuilder levels = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            round.accept(2);
            levels.append(' ').append(Math.round(stand.level(0, 0)));
        }
        assertTrue(stand.level(0, 0) >= 20, "20 a second come to a proxy, and let in are" + levels);
    }
}
