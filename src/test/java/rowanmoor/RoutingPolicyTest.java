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
import java.util.function.IntBinaryOperator;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;

/** Decisions for small fleets, where each region has one pool. Test names state the behavior they guard. */
class RoutingPolicyTest {

    private final PolicyHarness harness = new PolicyHarness(TestSettings.plain());

    @Test
    void joiningProxyIsBoundForEveryClassInTheSameReply() {
        harness.start(4, 1);
        assertTrue(harness.lastActions.stream().anyMatch(Bind.class::isInstance));
        assertEquals(2, harness.boundTables.get(0).size());
        assertTrue(harness.share(0, 0, 0) > 0);
    }

    @Test
    void drainingBackendIsWithdrawnImmediately() {
        harness.start(2, 2);
        harness.now += 50 * MS;
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2,
                List.of(PolicyHarness.member(1, 1, Availability.DRAINING, 0))));
        assertTrue(harness.withdrawn.get(PolicyHarness.backend(1)));
        harness.now += 50 * MS;
        harness.handle(new Members(CatalogUpdateKind.DELTA, 3,
                List.of(PolicyHarness.member(0, 0, Availability.DRAINING, 0))));
        assertTrue(harness.withdrawn.get(PolicyHarness.backend(0)), "even the last backend");
    }

    @Test
    void backendMissingFromAFullCatalogIsWithdrawn() {
        harness.start(3, 2);
        harness.handle(new Members(CatalogUpdateKind.FULL, 2,
                List.of(PolicyHarness.member(0, 0, Availability.READY, 0),
                PolicyHarness.member(1, 1, Availability.READY, 0))));
        assertTrue(harness.withdrawn.get(PolicyHarness.backend(2)));
    }

    @Test
    void lateJoiningProxyGetsNoWithdrawnBackend() {
        harness.start(4, 2);
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2,
                List.of(PolicyHarness.member(2, 0, Availability.DRAINING, 0))));
        harness.advanceOneSecond();
        harness.handle(new ProxyJoined(2, 0, 20, true));
        assertEquals(0, harness.share(2, 0, 2));
    }

    @Test
    void failingBackendsNeverEmptyATable() {
        harness.start(2, 2);
        for (int i = 0; i < 12; i++) {
            harness.reportRound(2, 2, b -> 10, b -> 0);
        }
        for (int proxy = 0; proxy < 2; proxy++) {
            assertTrue(harness.share(proxy, 0, 0) + harness.share(proxy, 0, 1) > 0.99);
        }
        assertFalse(harness.withdrawn.containsValue(true));
    }

    @Test
    void fastFailingBackendIsSuspendedAndTriedAgainWithLittleWeight() {
        harness.start(8, 2);
        for (int i = 0; i < 3; i++) {
            harness.reportRound(8, 2, b -> b == 2 ? 8 : 0, b -> 100 * MS);
        }
        assertEquals(0, harness.share(0, 0, 2));
        double onTrial = 0;
        for (int i = 0; i < 8 && onTrial == 0; i++) {
            harness.reportRound(8, 2, b -> 0, b -> 100 * MS);
            onTrial = harness.share(0, 0, 2);
        }
        assertTrue(onTrial > 0 && onTrial < harness.share(0, 0, 4) / 3, "trial share " + onTrial);
    }

    @Test
    void uniformSlownessSuspendsNoBackend() {
        harness.start(6, 2);
        for (int i = 0; i < 4; i++) {
            harness.reportRound(6, 2, b -> 0, b -> 100 * MS);
        }
        for (int i = 0; i < 8; i++) {
            harness.reportRound(6, 2, b -> 4, b -> 900 * MS);
        }
        for (int b = 0; b < 6; b += 2) {
            assertTrue(harness.share(0, 0, b) > 0.1);
        }
    }

    @Test
    void muchSlowerBackendLosesMoreWeightThanCorrectionsAllow() {
        harness.start(8, 2);
        for (int i = 0; i < 6; i++) {
            harness.reportRound(8, 2, b -> 0, b -> b == 2 ? 900 * MS : 100 * MS);
        }
        assertTrue(harness.share(0, 0, 2) < harness.share(0, 0, 4) / 4);
    }

    @Test
    void timedOutTriesDoNotMakeABackendLookFast() {
        harness.start(8, 2);
        for (int i = 0; i < 6; i++) {
            harness.reportRound(8, 2, b -> b == 2 ? 4 : 0, b -> 100 * MS);
        }
        assertTrue(harness.share(0, 0, 2) < harness.share(0, 0, 4) / 3, "share " + harness.share(0, 0, 2));
    }

    @Test
    void correctionsStayBetweenHalfAndTwiceTheListedWeight() {
        harness.start(8, 2);
        for (int i = 0; i < 60; i++) {
            harness.reportRound(8, 2, b -> 0, b -> b == 2 ? 200 * MS : b == 4 ? 50 * MS : 100 * MS);
        }
        assertTrue(harness.share(0, 0, 2) < harness.share(0, 0, 6));
        assertTrue(harness.share(0, 0, 2) > 0.4 * harness.share(0, 0, 6));
        assertTrue(harness.share(0, 0, 4) < 2.3 * harness.share(0, 0, 6));
    }

    @Test
    void restartedBackendIsHeldBackWhileVeryColdAndThenGetsASmallShare() {
        harness.start(4, 4);
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2,
                List.of(PolicyHarness.member(2, 0, Availability.GONE, 0))));
        harness.advanceOneSecond();
        harness.handle(new Members(CatalogUpdateKind.DELTA, 3,
                List.of(PolicyHarness.member(2, 0, Availability.READY,
                harness.now - SECOND))));
        assertTrue(harness.withdrawn.get(PolicyHarness.backend(2)), "still too cold");
        harness.advanceOneSecond();
        harness.advanceOneSecond();
        assertFalse(harness.withdrawn.get(PolicyHarness.backend(2)));
        double sum = 0;
        for (int proxy = 0; proxy < 4; proxy++) {
            sum += harness.share(proxy, 0, 2);
        }
        assertTrue(sum > 0 && sum / 4 < 0.25 * 0.44, "mean share, usually a quarter: " + sum / 4);
        for (int i = 0; i < 12; i++) {
            harness.advanceOneSecond();
        }
        assertTrue(harness.share(0, 0, 2) > 0.4, "warm again, used in its zone");
    }

    @Test
    void coldBackendIsHeldBackLongerWhereProxiesEject() {
        for (boolean ejects : new boolean[] {false, true}) {
            Settings settings = ejects ? TestSettings.withEjection() : TestSettings.plain();
            PolicyHarness held = new PolicyHarness(settings).start(4, 4);
            held.handle(new Members(CatalogUpdateKind.DELTA, 2,
                    List.of(PolicyHarness.member(2, 0, Availability.READY, held.now))));
            for (int i = 0; i < 4; i++) {
                held.advanceOneSecond();
            }
            assertEquals(ejects, held.withdrawn.get(PolicyHarness.backend(2)),
                    "at about half of its full warmth");
        }
    }

    /**
     * Guards against own-zone classes being sent to all zones, at any cross-zone price; seen with a variant
     * deployment.
     */
    @Test
    void onlyOwnZoneClassesAreConfinedToTheirZone() {
        for (double price : new double[] {0.01, 0.05}) {
            Settings settings = TestSettings.plain();
            ControlApi.ClassSpec ownZone = settings.classes().get(0);
            ownZone = new ControlApi.ClassSpec(ownZone.aim(), ownZone.deadline(), 1, 0, Idempotency.SAFE,
                    ownZone.dedupScope(), ownZone.dedupWindow(), false, true, Set.of(), Set.of());
            PolicyHarness zones = new PolicyHarness(new Settings(1, 3,
                    List.of(ownZone, settings.classes().get(1)), false, false, settings.admission(), 0, 8, 0,
                    SECOND, 500, price, settings.reportColumns(), settings.rules(), settings.channel()));
            List<ControlApi.Member> members = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                members.add(PolicyHarness.member(i, i % 3, Availability.READY, 0));
            }
            zones.handle(new Members(CatalogUpdateKind.FULL, 1, members));
            for (int p = 0; p < 6; p++) {
                zones.handle(new ProxyJoined(p, p % 3, 20, true));
            }
            for (int i = 0; i < 20; i++) { // all backends of zone 1 fail, and one of zone 2 is drained
                zones.reportRound(9, 3, b -> b % 3 == 1 ? 10 : 0, b -> 100 * MS);
                zones.handle(new Members(CatalogUpdateKind.DELTA, 2 + i,
                        List.of(PolicyHarness.member(2, 2,
                                i < 5 ? Availability.READY : Availability.DRAINING, 0))));
            }
            for (int p = 0; p < 6; p++) {
                int zone = p % 3;
                Map<Backend, Double> lines = zones.tables.get(zones.boundTables.get(p).get(0));
                List<Backend> ownBackends = List.of(PolicyHarness.backend(zone),
                        PolicyHarness.backend(zone + 3), PolicyHarness.backend(zone + 6));
                assertTrue(ownBackends.containsAll(lines.keySet()), "proxy of zone " + zone + ": " + lines);
                assertFalse(lines.isEmpty());
                assertTrue(zones.tables.get(zones.boundTables.get(p).get(1)).size() > 3,
                        "the other class also uses other zones");
            }
        }
    }

    /**
     * Guards against retries that overload backends which have just come in, during congestion that is not
     * yet recognized as overload. Seen on a short day with a release.
     */
    @Test
    void retriesStopWhileATenthOfAllTriesFailsAndResumeBelowATwentieth() {
        harness.start(10, 4);
        int[] failedOf100 = {0, 11, 9, 11, 6, 4};
        // ms; in the second step some backends are dead and the others have room
        int[] latency = {100, 110, 200, 200, 200, 200};
        RetryPolicy[] expected = {RetryPolicy.ONCE_UNRUN, RetryPolicy.ONCE_UNRUN, RetryPolicy.ONCE_UNRUN,
            RetryPolicy.NEVER, RetryPolicy.NEVER, RetryPolicy.ONCE_UNRUN};
        for (int step = 0; step < expected.length; step++) {
            for (int i = 0; i < 10; i++) { // all failures are at one backend in ten: no overload
                int failed = i == 0 ? 10 * failedOf100[step] : 0;
                harness.policy.handle(harness.now, new Tally(PolicyHarness.backend(i), 0, 100, failed,
                        latency[step] * MS, SECOND, List.of()));
            }
            harness.advanceOneSecond();
            harness.advanceOneSecond();
            assertEquals(expected[step],
                    harness.sentLevels.get(0).get(harness.boundTables.get(0).get(0)).retry(), "step " + step);
            assertEquals(expected[step],
                    harness.sentLevels.get(1).get(harness.boundTables.get(1).get(1)).retry(), "step " + step);
        }
    }

    @Test
    void joiningProxyReadmitsBackendsThatWarmedUpWhileItWasAway() {
        harness.start(6, 4);
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2,
                List.of(PolicyHarness.member(2, 0, Availability.READY, harness.now))));
        for (int i = 0; i < 3; i++) {
            harness.advanceOneSecond();
        }
        assertFalse(harness.withdrawn.get(PolicyHarness.backend(2)), "readmitted by now");
        harness.handle(new ProxyLeft(1), new ProxyJoined(1, 0, 20, false));
        List<Backend> readmitted = harness.lastActions.stream().filter(Bind.class::isInstance)
                .map(Bind.class::cast).filter(bind -> bind.proxy() == 1)
                .flatMap(bind -> bind.readmitted().stream()).distinct().toList();
        assertEquals(List.of(PolicyHarness.backend(2)), readmitted);
        for (int i = 0; i < 10; i++) {
            harness.advanceOneSecond();
        }
        harness.handle(new ProxyLeft(1), new ProxyJoined(1, 0, 20, false));
        assertTrue(harness.lastActions.stream().filter(Bind.class::isInstance).map(Bind.class::cast)
                .allMatch(b -> b.readmitted().isEmpty()), "warm for long");
    }

    @Test
    void backendRestartedWithoutAnAbsenceIsHeldBackToo() {
        harness.start(4, 4);
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2,
                List.of(PolicyHarness.member(2, 0, Availability.READY, harness.now))));
        assertTrue(harness.withdrawn.get(PolicyHarness.backend(2)));
    }

    @Test
    void coldBackendsAreUsedWhereFewAreWarm() {
        harness.start(4, 4);
        List<ControlApi.Member> cold = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            cold.add(PolicyHarness.member(i, i % 2, Availability.READY, harness.now));
        }
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2, cold));
        assertFalse(harness.withdrawn.containsValue(true));
        assertTrue(harness.share(0, 0, 0) > 0.2);
    }

    @Test
    void regionWithoutProxiesHasTablesForAverageDemand() {
        harness.start(8, 0);
        harness.handle(new ProxyJoined(1, 1, 40, true));
        List<ControlApi.Member> cold = new ArrayList<>();
        for (int i = 0; i < 8; i += 2) {
            cold.add(PolicyHarness.member(i, 0, Availability.READY, harness.now - 4 * SECOND));
        }
        harness.advanceOneSecond();
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2, cold));
        Map<ControlApi.Backend, Double> lines = harness.tables.get(0);
        double sum = lines.values().stream().mapToDouble(w -> w).sum();
        double coldShare = cold.stream().mapToDouble(m -> lines.get(m.backend())).sum() / sum;
        assertTrue(coldShare > 0 && coldShare < 0.85, "share of cold backends " + coldShare);
    }

    @Test
    void onlyBackendOfAZoneGetsASmallShareWhileCold() {
        harness.start(8, 4);
        List<ControlApi.Member> lost = new ArrayList<>();
        for (int i = 0; i < 8; i += 2) {
            lost.add(PolicyHarness.member(i, 0, Availability.GONE, 0));
        }
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2, lost));
        for (int i = 0; i < 5; i++) {
            harness.reportUsage(1, 0, 90);
            harness.advanceOneSecond();
        }
        harness.handle(new Members(CatalogUpdateKind.DELTA, 3,
                List.of(PolicyHarness.member(0, 0, Availability.READY, harness.now))));
        harness.advanceOneSecond();
        harness.advanceOneSecond();
        assertTrue(harness.share(0, 0, 0) > 0 && harness.share(0, 0, 0) < 0.1,
                "share " + harness.share(0, 0, 0));
    }

    @Test
    void proxyWithoutReportsCountsWithTheRateItJoinedWith() {
        harness.start(8, 1);
        harness.now += 300 * MS;
        harness.handle(new ProxyJoined(1, 1, 200, true));
        for (int i = 0; i < 12; i++) {
            harness.reportUsage(0, 0, 20);
            harness.advanceOneSecond();
        }
        assertTrue(harness.share(1, 0, 0) > 0.05, "a heavy zone uses other zones before it reports: "
                + harness.share(1, 0, 0));
    }

    @Test
    void ownZoneIsPreferredWhereCrossingZonesHasAPrice() {
        harness.start(8, 2);
        assertTrue(harness.share(0, 0, 0) > 10 * harness.share(0, 0, 1));
        assertTrue(harness.share(0, 0, 1) > 0, "a small share goes to the other zone");
    }

    @Test
    void confinedClassStaysInItsZones() {
        List<ControlApi.ClassSpec> classes = List.of(TestSettings.spec(Idempotency.SAFE, 1, Set.of()),
                TestSettings.spec(Idempotency.KEYED, 2, Set.of(1)));
        PolicyHarness confined = new PolicyHarness(TestSettings.with(classes, false, 0, 0)).start(8, 2);
        assertEquals(0, confined.share(0, 1, 0));
        assertTrue(confined.share(0, 1, 1) > 0.2);
        assertTrue(confined.share(0, 0, 0) > 0, "the other class may use all zones");
    }

    @Test
    void evenLevelAddsUpToTheRateAmongUnequalProxies() {
        assertEquals(30, RoutingPolicy.evenLevel(new double[] {10, 10, 80}, 50), 1e-9);
        assertEquals(20, RoutingPolicy.evenLevel(new double[] {30, 30, 30}, 60), 1e-9);
    }

    @Test
    void overloadShedsTheLowestWorthFirstAndItsEndLiftsTheLevel() {
        runCalmThenOverload(4);
        double lowWorthLevel = harness.level(0, 0);
        assertTrue(lowWorthLevel < 15, "level of the class of lower worth " + lowWorthLevel);
        assertTrue(harness.level(0, 1) > 1000, "the class of higher worth is open");
        assertEquals(RetryPolicy.ONCE_UNRUN, harness.sentLevels.get(0).get(harness.boundTables.get(0).get(0))
                .retry());
        runCalm(30);
        assertTrue(harness.level(0, 0) > 1000);
    }

    @Test
    void levelCountsDepartedProxiesUntilTheLeaseEnds() {
        runCalmThenOverload(3);
        double before = harness.level(1, 0);
        harness.handle(new ProxyLeft(3));
        runOverload(1);
        assertTrue(harness.level(1, 0) < 1.2 * before,
                "the share of the departed proxy is not given to others at once");
    }

    @Test
    void slowNetworkPathToIdleBackendsIsNoOverload() {
        for (double busy : new double[] {0.3, 0.95}) {
            PolicyHarness used = new PolicyHarness(TestSettings.reportingUtilization()).start(4, 4);
            for (int i = 0; i < 12; i++) {
                for (int proxy = 0; proxy < 4; proxy++) {
                    used.reportUsage(proxy, 0, 15);
                    used.reportUsage(proxy, 1, 5);
                }
                long latency = i < 5 ? 100 * MS : 700 * MS;
                for (int b = 0; b < 4; b++) {
                    used.policy.handle(used.now, new ControlApi.Tally(PolicyHarness.backend(b), b % 2, 10,
                        i < 5 ? 0 : 1, latency, SECOND, List.of(busy)));
                }
                used.advanceOneSecond();
            }
            assertEquals(busy < 0.5, used.level(0, 0) > 1000, "level at utilization " + busy);
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
                used.policy.handle(used.now, new ControlApi.Tally(PolicyHarness.backend(b), b % 2, 10, 0,
                        100 * MS, SECOND, List.of(busy)));
            }
            used.advanceOneSecond();
        }
        assertTrue(used.level(0, 0) < 1000, "level " + used.level(0, 0));
    }

    @Test
    void controllerRestartedUnderCongestionSetsLevels() {
        harness.start(4, 4);
        runRounds(6, 5, 1500 * MS);
        assertTrue(harness.level(0, 0) < 1000, "level " + harness.level(0, 0));
    }

    @Test
    void fewFailuresOfAQuietFleetWithFewTriesAreNoOverload() {
        harness.start(4, 4);
        for (int i = 0; i < 12; i++) {
            for (int b = 0; b < 4; b++) {
                for (int proxy = 0; proxy < 4; proxy++) {
                    harness.reportUsage(proxy, b % 2, 2);
                }
                harness.policy.handle(harness.now, new ControlApi.Tally(PolicyHarness.backend(b), 0, 4,
                        i < 5 ? 0 : 1, 100 * MS, SECOND, List.of()));
            }
            harness.advanceOneSecond();
        }
        assertTrue(harness.level(0, 0) > 1000, "a few failed tries alone are no overload");
    }

    @Test
    void noLevelsAreSetInTheFirstRounds() {
        harness.start(4, 4);
        runOverload(2);
        assertTrue(harness.level(0, 0) > 1000);
    }

    @Test
    void lastingOverloadLeavesEachLevelAboveItsFloor() {
        runCalmThenOverload(60);
        assertTrue(harness.level(0, 0) >= 1, "level " + harness.level(0, 0));
    }

    private void runCalmThenOverload(int rounds) {
        harness.start(4, 4);
        runCalm(5);
        runOverload(rounds);
    }

    private void runCalm(int rounds) {
        runRounds(rounds, 0, 100 * MS);
    }

    private void runOverload(int rounds) {
        runRounds(rounds, 1, 700 * MS);
    }

    private void runRounds(int rounds, int failed, long latency) {
        for (int i = 0; i < rounds; i++) {
            for (int proxy = 0; proxy < 4; proxy++) {
                harness.reportUsage(proxy, 0, 15);
                harness.reportUsage(proxy, 1, 5);
            }
            harness.reportRound(4, 2, b -> failed, b -> latency);
        }
    }

    @Test
    void unsafeAndKeyedClassesAreNotRetriedAfterATryThatMayHaveRun() {
        List<ControlApi.ClassSpec> classes = List.of(TestSettings.spec(Idempotency.SAFE, 1, Set.of()),
                TestSettings.spec(Idempotency.KEYED, 2, Set.of()),
                TestSettings.spec(Idempotency.UNSAFE, 5, Set.of()));
        PolicyHarness mixed = new PolicyHarness(TestSettings.with(classes, false, 0, 0)).start(4, 2);
        for (int i = 0; i < 6; i++) {
            mixed.reportRound(4, 2, b -> b == 2 ? 9 : 0, b -> 100 * MS);
        }
        for (Action action : mixed.allActions) {
            if (action instanceof Admit admit && (admit.classMask() & 6) != 0) {
                assertEquals(RetryPolicy.ONCE_UNRUN, admit.retry());
            }
        }
    }

    @Test
    void manyCatalogChangesStayWithinTheBacklog() {
        harness.start(40, 30);
        double waiting = 0;
        for (int i = 0; i < 100; i++) {
            harness.now += 10 * MS;
            waiting = Math.max(0, waiting - 20);
            harness.handle(new Members(CatalogUpdateKind.DELTA, i + 2,
                    List.of(PolicyHarness.member(i % 40, i % 2, Availability.READY,
                    harness.now))));
            waiting += harness.lastLines();
            assertTrue(waiting < harness.settings.channel().maxBacklog(), "waiting " + waiting);
        }
    }

    @Test
    void manyCatalogChangesStayWithinTheMessageBudget() {
        PolicyHarness limited =
                new PolicyHarness(TestSettings.with(TestSettings.plain().classes(), false, 20, 0))
                        .start(8, 4);
        List<Long> written = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            limited.now += 50 * MS;
            Availability availability = i / 8 % 2 == 0 ? Availability.GONE : Availability.READY;
            limited.handle(new Members(CatalogUpdateKind.DELTA, i + 2,
                    List.of(PolicyHarness.member(i % 8, i % 2, availability, limited.now))));
            if (limited.lastActions.stream().anyMatch(a -> a instanceof SetLine || a instanceof Withdraw)) {
                written.add(limited.now);
            }
            long start = limited.now - 10 * SECOND;
            assertTrue(written.stream().filter(t -> t > start).count() <= 20);
        }
    }

    @Test
    void withdrawalsDelayedByTheMessageBudgetAreSentSoonAfter() {
        PolicyHarness limited =
                new PolicyHarness(TestSettings.with(TestSettings.plain().classes(), false, 20, 0))
                        .start(8, 4);
        limited.now += 600 * MS;
        limited.handle(new Members(CatalogUpdateKind.DELTA, 2,
                List.of(PolicyHarness.member(0, 0, Availability.GONE, 0))));
        limited.now += 50 * MS;
        limited.handle(new Members(CatalogUpdateKind.DELTA, 3,
                List.of(PolicyHarness.member(1, 1, Availability.GONE, 0))));
        long due = limited.lastActions.stream().filter(TimerAt.class::isInstance).mapToLong(a ->
                ((TimerAt) a).time())
                .min().orElseThrow();
        assertTrue(due - limited.now < SECOND);
        limited.now = due;
        limited.decide();
        assertTrue(limited.withdrawn.get(PolicyHarness.backend(1)));
    }

    @Test
    void failedCatalogRequestIsRepeatedWithinTheLimit() {
        PolicyHarness asking =
                new PolicyHarness(TestSettings.with(TestSettings.plain().classes(), true, 0, 0)).start(4, 1);
        assertTrue(asking.allActions.contains(new Watch(true)));
        for (int i = 0; i < 10; i++) {
            asking.handle(new Members(CatalogUpdateKind.FAILED, 2, List.of()));
            long due = asking.lastActions.stream().filter(TimerAt.class::isInstance).mapToLong(a ->
                    ((TimerAt) a).time())
                    .min().orElseThrow();
            assertTrue(due - asking.now <= 2500 * MS);
            asking.now = due;
            assertTrue(asking.decide().contains(new Watch(true)));
        }
    }

    @Test
    void restartedControllerBindsProxiesThatHoldOldTables() {
        harness.start(4, 0);
        harness.handle(new ProxyJoined(5, 1, 20, false));
        assertEquals(2, harness.boundTables.get(5).size());
    }

    @Test
    void sameEventsGiveTheSameActions() {
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
    void siteWithKeyRangesGetsWithdrawalsAndNoBinds() {
        PolicyHarness keyRanges =
                new PolicyHarness(TestSettings.with(TestSettings.plain().classes(), false, 0, 4)).start(4, 2);
        keyRanges.handle(new Members(CatalogUpdateKind.DELTA, 2,
                List.of(PolicyHarness.member(1, 1, Availability.DRAINING, 0))));
        assertTrue(keyRanges.withdrawn.get(PolicyHarness.backend(1)));
        assertTrue(keyRanges.boundTables.isEmpty());
        assertTrue(keyRanges.allActions.stream().noneMatch(a -> a instanceof SetLine || a instanceof Bind));
    }

    @Test
    void overloadAfterLowTrafficDoesNotCutTheTotalBelowTheProvenRate() {
        harness.start(4, 4);
        runCalm(8);
        for (int i = 0; i < 10; i++) { // then there is hardly any traffic
            harness.policy.handle(harness.now, new ControlApi.Tally(PolicyHarness.backend(0), 0, 1, 0,
                    100 * MS, SECOND, List.of()));
            harness.advanceOneSecond();
        }
        runRounds(2, 8, 700 * MS);
        assertTrue(harness.level(0, 0) > 5,
                "three quarters of the 80 requests a second served before are admitted: "
                + harness.level(0, 0));
    }

    @Test
    void deadBackendGetsNothingWhereNormalAnswersAreSlow() {
        harness.start(8, 2);
        for (int i = 0; i < 4; i++) {
            harness.reportRound(8, 2, b -> b == 2 ? 10 : 0, b -> 500 * MS);
        }
        assertEquals(0, harness.share(0, 0, 2),
                "reduced only for its failures counting as 1 s, it would keep half of its weight");
    }

    /**
     * Runs rounds with two tries of each region and backend, too few to judge a path alone, as on real
     * sockets.
     */
    private static double minShareOfBackend3(IntBinaryOperator failedOfTwo, int proxy) {
        double minShare = 1;
        PolicyHarness fewTries = new PolicyHarness(TestSettings.plain()).start(8, 8);
        for (int round = 0; round < 8; round++) {
            for (int zone = 0; zone < 2; zone++) {
                for (int b = 0; b < 8; b++) {
                    int failed = failedOfTwo.applyAsInt(b, zone);
                    fewTries.policy.handle(fewTries.now, new Tally(PolicyHarness.backend(b), zone, 2, failed,
                            failed == 2 ? 0 : 100 * MS, SECOND, List.of()));
                }
            }
            fewTries.advanceOneSecond();
            minShare = Math.min(minShare, fewTries.share(proxy, 0, 3));
        }
        return minShare;
    }

    @Test
    void backendThatFailsTheFewTriesOfEveryRegionIsSuspended() {
        assertEquals(0, minShareOfBackend3((b, zone) -> b == 3 ? 2 : 0, 1), 1e-2,
                "no path has enough tries of its own; all regions together do");
    }

    @Test
    void backendThatOneRegionCannotReachServesTheOther() {
        assertTrue(minShareOfBackend3((b, zone) -> b == 3 && zone == 0 ? 2 : 0, 1) > 0.05,
                "a few successful tries of a region count more than the failures of another");
    }

    /**
     * Guards against limits without overload after proxies have moved away. Seen on real sockets after a
     * restart: half of the proxies had moved back, and a quarter of the requests was rejected though there
     * was no overload.
     */
    @Test
    void departedProxiesDoNotLimitTheOthersWithoutOverload() {
        PolicyHarness harness = new PolicyHarness(TestSettings.plain()).start(8, 8);
        long[] triesAndFailed = {10, 0}; // tries of a path in a round, and how many of them fail
        IntConsumer round = joined -> {
            for (int p = 0; p < joined; p++) {
                harness.reportUsage(p, 0, 20);
            }
            for (int zone = 0; zone < 2; zone++) {
                for (int b = 0; b < 8; b++) {
                    harness.policy.handle(harness.now, new Tally(PolicyHarness.backend(b), zone,
                            triesAndFailed[0], triesAndFailed[1], 100 * MS, SECOND, List.of()));
                }
            }
            harness.advanceOneSecond();
        };
        for (int i = 0; i < 10; i++) {
            round.accept(8);
        }
        triesAndFailed[1] = 4;
        for (int i = 0; i < 4; i++) {
            round.accept(8); // overload, which sets a total
        }
        triesAndFailed[1] = 0;
        round.accept(8);
        for (int p = 0; p < 6; p++) {
            harness.handle(new ProxyLeft(7 - p));
        }
        triesAndFailed[0] = 3;
        StringBuilder levels = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            round.accept(2);
            levels.append(' ').append(Math.round(harness.level(0, 0)));
        }
        assertTrue(harness.level(0, 0) >= 20, "of 20 requests a second and proxy are admitted:" + levels);
    }
}
