package rowanmoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.TestSettings.MS;
import static rowanmoor.TestSettings.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.SetLine;

/** Totals, levels and the lease at the limits of their arithmetic: zero, nothing reported, long silences. */
class NumericEdgeCasesTest {

    private static final long HOUR = 3600 * SECOND;

    private final PolicyHarness harness = new PolicyHarness(TestSettings.plain());

    /** Runs rounds in which each of four proxies sends 15 and 5 requests a second of the two classes. */
    private void runRounds(int count, int failedOf10, long latency) {
        for (int i = 0; i < count; i++) {
            for (int proxy = 0; proxy < 4; proxy++) {
                harness.reportUsage(proxy, 0, 15);
                harness.reportUsage(proxy, 1, 5);
            }
            harness.reportRound(4, 2, b -> failedOf10, b -> latency);
        }
    }

    private void assertAllFinite() {
        for (ControlApi.Action action : harness.allActions) {
            double figure = action instanceof Admit admit ? admit.level()
                    : action instanceof SetLine line ? line.weight() : 0;
            assertTrue(Double.isFinite(figure) && figure >= 0, action.toString());
        }
    }

    @Test
    void totalOfZeroRecoversOnceRequestsAreServed() {
        harness.start(4, 4);
        runRounds(8, 10, 0);
        assertTrue(harness.level(0, 0) < 1000, "nothing is served, so levels are set");
        runRounds(60, 0, 100 * MS);
        assertTrue(harness.level(0, 0) > 1000,
                "level after a minute without overload: " + harness.level(0, 0));
    }

    @Test
    void levelsStayFiniteAfterATotalOfZeroAndHoursOfSilence() {
        harness.start(4, 4);
        runRounds(8, 10, 0);
        harness.now += 3 * HOUR;
        runRounds(4, 0, 100 * MS);
        assertAllFinite();
        runRounds(60, 6, 100 * MS);
        assertTrue(harness.level(0, 0) < 1000, "overload still lowers levels");
    }

    @Test
    void reportAfterHoursOfSilenceCountsAsOneRound() {
        double[] levels = new double[2];
        for (int silent = 0; silent < 2; silent++) {
            PolicyHarness fleet = new PolicyHarness(TestSettings.plain()).start(4, 4);
            for (int i = 0; i < 18; i++) {
                for (int proxy = 0; proxy < 4; proxy++) {
                    fleet.reportUsage(proxy, 0, 15);
                    fleet.reportUsage(proxy, 1, 5);
                }
                boolean calm = i < 5 || i == 17;
                fleet.now += i == 17 ? silent * HOUR : 0;
                fleet.reportRound(4, 2, b -> calm ? 0 : 5, b -> calm ? 100 * MS : 700 * MS);
            }
            levels[silent] = fleet.level(0, 0);
        }
        assertEquals(levels[0], levels[1], 1e-6, "the silence is not evidence of a calm time");
        assertTrue(levels[1] < 1000, "level " + levels[1]);
    }

    @Test
    void reportAfterALongSilenceIsARateOverItsOwnSpan() {
        harness.start(4, 4);
        runRounds(2, 1, 700 * MS);
        harness.now += HOUR;
        runRounds(1, 1, 700 * MS);
        assertTrue(harness.level(0, 0) > 5,
                "80 requests a second are served, not 80 an hour: " + harness.level(0, 0));
    }

    @Test
    void levelIsLiftedWithoutDemand() {
        harness.start(4, 4);
        runRounds(8, 10, 0);
        for (int i = 0; i < 40; i++) {
            harness.reportRound(4, 2, b -> 0, b -> 100 * MS); // no requests
        }
        harness.reportUsage(0, 0, 15);
        harness.advanceOneSecond();
        assertTrue(harness.level(0, 0) > 1000, "level " + harness.level(0, 0));
    }

    @Test
    void fewFailingTriesDoNotEndAnOverload() {
        harness.start(4, 4);
        runRounds(8, 10, 0);
        double before = harness.level(0, 0);
        for (int i = 0; i < 10; i++) {
            for (int proxy = 0; proxy < 4; proxy++) {
                harness.reportUsage(proxy, 0, 15);
                harness.reportUsage(proxy, 1, 5);
            }
            for (int b = 0; b < 4; b++) {
                harness.policy.handle(harness.now,
                        new ControlApi.Tally(PolicyHarness.backend(b), 0, 1, 1, 0, SECOND, List.of()));
            }
            harness.advanceOneSecond();
        }
        assertTrue(harness.allActions.stream().noneMatch(a -> a instanceof ControlApi.Log l
                && l.text().startsWith("overload ends")), "the end of the overload cannot be seen");
        assertTrue(harness.level(0, 0) < before + 1, "from " + before + " to " + harness.level(0, 0));
    }

    @Test
    void ordersAreFiniteWithoutProxiesAndBackends() {
        harness.start(0, 0);
        for (int i = 0; i < 5; i++) {
            harness.advanceOneSecond();
        }
        harness.handle(new ProxyJoined(0, 0, 20, true));
        harness.advanceOneSecond();
        harness.handle(new Members(CatalogUpdateKind.FULL, 2,
                List.of(PolicyHarness.member(0, 0, Availability.READY, 0))));
        harness.advanceOneSecond();
        assertAllFinite();
        assertEquals(1, harness.share(0, 0, 0), 1e-9);
    }

    @Test
    void oneClassAndACatalogAfterTheFirstJoinAreSupported() {
        PolicyHarness oneClass =
                new PolicyHarness(TestSettings.with(List.of(TestSettings.spec(ControlApi.Idempotency.SAFE, 1,
                Set.of())), false, 0, 0));
        oneClass.handle(new ProxyJoined(0, 0, 20, true));
        oneClass.advanceOneSecond();
        oneClass.handle(new Members(CatalogUpdateKind.FULL, 1,
                List.of(PolicyHarness.member(0, 0, Availability.READY, 0),
                PolicyHarness.member(1, 1, Availability.READY, 0))));
        for (int i = 0; i < 20; i++) {
            boolean calm = i < 6;
            oneClass.reportUsage(0, 0, 60);
            oneClass.reportRound(2, 2, b -> calm ? 0 : 3, b -> calm ? 100 * MS : 700 * MS);
        }
        assertEquals(1, oneClass.share(0, 0, 0) + oneClass.share(0, 0, 1), 1e-9);
        assertTrue(oneClass.level(0, 0) > 6 && oneClass.level(0, 0) < 60, "level " + oneClass.level(0, 0));
    }

    @Test
    void proxyThatJoinsAfterAllOthersLeftIsNotLimited() {
        harness.start(4, 4);
        runRounds(3, 0, 100 * MS);
        runRounds(8, 3, 700 * MS);
        for (int proxy = 0; proxy < 4; proxy++) {
            harness.handle(new ProxyLeft(proxy));
        }
        harness.now += HOUR;
        harness.reportRound(4, 2, b -> 0, b -> 100 * MS);
        harness.handle(new ProxyJoined(9, 0, 20, true));
        harness.reportUsage(9, 0, 5);
        harness.reportRound(4, 2, b -> 0, b -> 100 * MS);
        assertAllFinite();
        assertTrue(harness.level(9, 0) > 1000, "level " + harness.level(9, 0));
    }

    @Test
    void singleProxyGetsTheWholeRate() {
        harness.start(4, 1);
        for (int i = 0; i < 12; i++) {
            int failed = i < 5 ? 0 : 1;
            harness.reportUsage(0, 0, 60);
            harness.reportUsage(0, 1, 20);
            harness.reportRound(4, 2, b -> failed, b -> failed == 0 ? 100 * MS : 700 * MS);
        }
        assertAllFinite();
        assertTrue(harness.level(0, 0) > 6 && harness.level(0, 0) < 60, "level " + harness.level(0, 0));
    }

    @Test
    void backendsAreUsedIfAllWeightsAreZero() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            members.add(new Member(PolicyHarness.backend(i), i % 2, 0, 0, Availability.READY, 0, 0));
        }
        harness.handle(new Members(CatalogUpdateKind.FULL, 1, members));
        harness.handle(new ProxyJoined(0, 0, 20, true));
        harness.advanceOneSecond();
        assertAllFinite();
        assertEquals(1, harness.share(0, 0, 0) + harness.share(0, 0, 1) + harness.share(0, 0, 2)
                + harness.share(0, 0, 3), 1e-6);
    }

    @Test
    void proxyThatLeavesTwiceCountsForOneLease() {
        FleetState.ProxyState proxy = new FleetState.ProxyState(1, 2, 0);
        proxy.join(0, 0);
        proxy.leave(1, 5 * SECOND);
        proxy.leave(1, 12 * SECOND);
        assertEquals(5 * SECOND, proxy.leftAt);
    }

    @Test
    void reportAfterALeaveIsNotCountedWhenTheProxyReturns() {
        FleetState.ProxyState proxy = new FleetState.ProxyState(1, 2, 0);
        proxy.join(0, 0);
        proxy.add(new ControlApi.Usage(1, 0, 10, 0, SECOND));
        proxy.leave(1, SECOND);
        proxy.add(new ControlApi.Usage(1, 0, 10, 0, SECOND));
        proxy.join(1, 0);
        assertEquals(0, proxy.newRequests[0]);
        assertEquals(0, proxy.newSpanSeconds[0]);
        assertFalse(proxy.hasReported);
    }

    @Test
    void proxyThatReturnsWithinTheLeaseIsCountedOnce() {
        harness.start(4, 4);
        runRounds(3, 0, 100 * MS);
        runRounds(4, 1, 700 * MS);
        double before = harness.level(0, 0);
        harness.handle(new ProxyLeft(3));
        harness.now += SECOND;
        harness.handle(new ProxyJoined(3, 0, 20, false));
        runRounds(1, 1, 700 * MS);
        assertEquals(before, harness.level(0, 0), 0.3 * before, "another zone, the same share");
    }

    @Test
    void leaseEndsOnTimeAndNotBefore() {
        double[] levels = new double[2];
        for (int late = 0; late < 2; late++) {
            PolicyHarness fleet = new PolicyHarness(TestSettings.plain()).start(4, 4);
            for (int i = 0; i < 22; i++) {
                boolean calm = i < 5;
                for (int proxy = 0; proxy < (i < 12 ? 4 : 3); proxy++) {
                    fleet.reportUsage(proxy, 0, 20);
                }
                if (i == 12) { // ten rounds follow: the last one is 10 s after the leave, or 0.1 s more
                    fleet.policy.handle(fleet.now - late * 100 * MS, new ProxyLeft(3));
                }
                fleet.reportRound(4, 2, b -> calm ? 0 : 3, b -> calm ? 100 * MS : 700 * MS);
            }
            levels[late] = fleet.level(0, 0);
        }
        assertEquals(4.0 / 3, levels[1] / levels[0], 0.05, levels[0] + " and " + levels[1]);
    }

    @Test
    void proxySilentForHoursStaysCountedAndRecovers() {
        harness.start(4, 4);
        runRounds(5, 0, 100 * MS);
        for (int i = 0; i < 4000; i++) { // proxy 3 reports nothing for over an hour of overload
            for (int proxy = 0; proxy < 3; proxy++) {
                harness.reportUsage(proxy, 0, 15);
                harness.reportUsage(proxy, 1, 5);
            }
            harness.reportRound(4, 2, b -> 2, b -> 700 * MS);
            harness.allActions.clear();
        }
        runRounds(1, 2, 700 * MS);
        assertAllFinite();
        assertTrue(harness.level(3, 0) > 0 && harness.level(3, 0) == harness.level(0, 0),
                "the same level for all proxies");
        runRounds(80, 0, 100 * MS);
        assertTrue(harness.level(3, 0) > 1000, "level " + harness.level(3, 0));
    }
}
