package rowanmoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.TestSettings.MS;
import static rowanmoor.TestSettings.SECOND;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.ListKind;
import rowanmoor.ControlApi.Listed;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.SetLine;

/** Totals, levels and the lease at the edges of their arithmetic. */
class NumericEdgeCasesTest {

    private static final long HOUR = 3600 * SECOND;

    private final PolicyHarness stand = new PolicyHarness(TestSettings.plain());

    /** Rounds in which four proxies ask 15 and 5 a second of the two classes. */
    private void rounds(int count, int failedOf10, long latency) {
        for (int i = 0; i < count; i++) {
            for (int proxy = 0; proxy < 4; proxy++) {
                stand.reportUsage(proxy, 0, 15);
                stand.reportUsage(proxy, 1, 5);
            }
            stand.reportRound(4, 2, b -> failedOf10, b -> latency);
        }
    }

    private void allFinite() {
        for (ControlApi.Action action : stand.allActions) {
            double figure = action instanceof Admit a ? a.level() : action instanceof SetLine l ? l.weight() : 0;
            assertTrue(Double.isFinite(figure) && figure >= 0, action.toString());
        }
    }

    @Test
    void aTotalOfZeroIsLeftAgainOnceSomethingIsServed() {
        stand.start(4, 4);
        rounds(8, 10, 0);
        assertTrue(stand.level(0, 0) < 1000, "nothing is served: levels are set");
        rounds(60, 0, 100 * MS);
        assertTrue(stand.level(0, 0) > 1000, "level after a calm minute: " + stand.level(0, 0));
    }

    @Test
    void hoursOfSilenceAfterATotalOfZeroGiveNoLevelThatIsNoNumber() {
        stand.start(4, 4);
        rounds(8, 10, 0);
        stand.now += 3 * HOUR;
        rounds(4, 0, 100 * MS);
        allFinite();
        rounds(60, 6, 100 * MS);
        assertTrue(stand.level(0, 0) < 1000, "overload is still met with levels");
    }

    @Test
    void oneCalmReportAfterHoursOfSilenceCountsAsOneCalmRound() {
        double[] levels = new double[2];
        for (int silent = 0; silent < 2; silent++) {
            PolicyHarness its = new PolicyHarness(TestSettings.plain()).start(4, 4);
            for (int i = 0; i < 18; i++) {
                for (int proxy = 0; proxy < 4; proxy++) {
                    its.reportUsage(proxy, 0, 15);
                    its.reportUsage(proxy, 1, 5);
                }
                boolean calm = i < 5 || i == 17;
                its.now += i == 17 ? silent * HOUR : 0;
                its.reportRound(4, 2, b -> calm ? 0 : 5, b -> calm ? 100 * MS : 700 * MS);
            }
            levels[silent] = its.level(0, 0);
        }
        assertEquals(levels[0], levels[1], 1e-6, "the silence itself proves nothing");
        assertTrue(levels[1] < 1000, "level " + levels[1]);
    }

    @Test
    void aReportAfterALongSilenceIsARateOverItsOwnSpan() {
        stand.start(4, 4);
        rounds(2, 1, 700 * MS);
        stand.now += HOUR;
        rounds(1, 1, 700 * MS);
        assertTrue(stand.level(0, 0) > 5, "80 a second are served, not 80 an hour: " + stand.level(0, 0));
    }

    @Test
    void theLiftOfALevelNeedsNoDemand() {
        stand.start(4, 4);
        rounds(8, 10, 0);
        for (int i = 0; i < 40; i++) {
            stand.reportRound(4, 2, b -> 0, b -> 100 * MS); // nobody asks
        }
        stand.reportUsage(0, 0, 15);
        stand.advanceOneSecond();
        assertTrue(stand.level(0, 0) > 1000, "level " + stand.level(0, 0));
    }

    @Test
    void fewFailingTriesAreNoCalm() {
        stand.start(4, 4);
        rounds(8, 10, 0);
        double before = stand.level(0, 0);
        for (int i = 0; i < 10; i++) {
            for (int proxy = 0; proxy < 4; proxy++) {
                stand.reportUsage(proxy, 0, 15);
                stand.reportUsage(proxy, 1, 5);
            }
            for (int b = 0; b < 4; b++) {
                stand.policy.handle(stand.now, new ControlApi.Tally(PolicyHarness.backend(b), 0, 1, 1, 0, SECOND, List.of()));
            }
            stand.advanceOneSecond();
        }
        assertTrue(stand.allActions.stream().noneMatch(a -> a instanceof ControlApi.Log l
                && l.text().startsWith("overload ends")), "no calm was seen");
        assertTrue(stand.level(0, 0) < before + 1, "from " + before + " to " + stand.level(0, 0));
    }

    @Test
    void noProxyAndNoBackendAtAll() {
        stand.start(0, 0);
        for (int i = 0; i < 5; i++) {
            stand.advanceOneSecond();
        }
        stand.handle(new ProxyJoined(0, 0, 20, true));
        stand.advanceOneSecond();
        stand.handle(new Members(ListKind.FULL, 2, List.of(PolicyHarness.member(0, 0, Listed.READY, 0))));
        stand.advanceOneSecond();
        allFinite();
        assertEquals(1, stand.share(0, 0, 0), 1e-9);
    }

    @Test
    void oneClassAndAListOnlyAfterTheFirstJoin() {
        PolicyHarness one = new PolicyHarness(TestSettings.with(List.of(TestSettings.spec(ControlApi.Effect.SAFE, 1,
                java.util.Set.of())), false, 0, 0));
        one.handle(new ProxyJoined(0, 0, 20, true));
        one.advanceOneSecond();
        one.handle(new Members(ListKind.FULL, 1, List.of(PolicyHarness.member(0, 0, Listed.READY, 0),
                PolicyHarness.member(1, 1, Listed.READY, 0))));
        for (int i = 0; i < 20; i++) {
            boolean calm = i < 6;
            one.reportUsage(0, 0, 60);
            one.reportRound(2, 2, b -> calm ? 0 : 3, b -> calm ? 100 * MS : 700 * MS);
        }
        assertEquals(1, one.share(0, 0, 0) + one.share(0, 0, 1), 1e-9);
        assertTrue(one.level(0, 0) > 6 && one.level(0, 0) < 60, "level " + one.level(0, 0));
    }

    @Test
    void theLastProxyLeavesUnderOverloadAndAnotherIsLetInWhole() {
        stand.start(4, 4);
        rounds(3, 0, 100 * MS);
        rounds(8, 3, 700 * MS);
        for (int proxy = 0; proxy < 4; proxy++) {
            stand.handle(new ProxyLeft(proxy));
        }
        stand.now += HOUR;
        stand.reportRound(4, 2, b -> 0, b -> 100 * MS);
        stand.handle(new ProxyJoined(9, 0, 20, true));
        stand.reportUsage(9, 0, 5);
        stand.reportRound(4, 2, b -> 0, b -> 100 * MS);
        allFinite();
        assertTrue(stand.level(9, 0) > 1000, "level " + stand.level(9, 0));
    }

    @Test
    void oneProxyAloneGetsTheWholePart() {
        stand.start(4, 1);
        for (int i = 0; i < 12; i++) {
            int failed = i < 5 ? 0 : 1;
            stand.reportUsage(0, 0, 60);
            stand.reportUsage(0, 1, 20);
            stand.reportRound(4, 2, b -> failed, b -> failed == 0 ? 100 * MS : 700 * MS);
        }
        allFinite();
        assertTrue(stand.level(0, 0) > 6 && stand.level(0, 0) < 60, "level " + stand.level(0, 0));
    }

    @Test
    void backendsWhoseWeightsAreAllZeroAreUsedAlike() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            members.add(new Member(PolicyHarness.backend(i), i % 2, 0, 0, Listed.READY, 0, 0));
        }
        stand.handle(new Members(ListKind.FULL, 1, members));
        stand.handle(new ProxyJoined(0, 0, 20, true));
        stand.advanceOneSecond();
        allFinite();
        assertEquals(1, stand.share(0, 0, 0) + stand.share(0, 0, 1) + stand.share(0, 0, 2) + stand.share(0, 0, 3),
                1e-6);
    }

    @Test
    void aProxyThatLeavesTwiceCountsForOneLease() {
        FleetState.ProxyState proxy = new FleetState.ProxyState(2, 0);
        proxy.join(0, 0);
        proxy.leave(1, 5 * SECOND);
        proxy.leave(1, 12 * SECOND);
        assertEquals(5 * SECOND, proxy.leftAt);
    }

    @Test
    void aReportThatComesAfterItsProxyLeftIsNotCountedWhenItReturns() {
        FleetState.ProxyState proxy = new FleetState.ProxyState(2, 0);
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
    void aProxyThatReturnsWithinTheLeaseIsCountedOnce() {
        stand.start(4, 4);
        rounds(3, 0, 100 * MS);
        rounds(4, 1, 700 * MS);
        double before = stand.level(0, 0);
        stand.handle(new ProxyLeft(3));
        stand.now += SECOND;
        stand.handle(new ProxyJoined(3, 0, 20, false));
        rounds(1, 1, 700 * MS);
        assertEquals(before, stand.level(0, 0), 0.3 * before, "its zone is another, its part the same");
    }

    @Test
    void theLeaseEndsAtItsEdgeAndNotBefore() {
        double[] levels = new double[2];
        for (int late = 0; late < 2; late++) {
            PolicyHarness its = new PolicyHarness(TestSettings.plain()).start(4, 4);
            for (int i = 0; i < 22; i++) {
                boolean calm = i < 5;
                for (int proxy = 0; proxy < (i < 12 ? 4 : 3); proxy++) {
                    its.reportUsage(proxy, 0, 20);
                }
                if (i == 12) { // ten rounds follow: the last is 10 s after the leave, or 0.1 s more
                    its.policy.handle(its.now - late * 100 * MS, new ProxyLeft(3));
                }
                its.reportRound(4, 2, b -> calm ? 0 : 3, b -> calm ? 100 * MS : 700 * MS);
            }
            levels[late] = its.level(0, 0);
        }
        assertEquals(4.0 / 3, levels[1] / levels[0], 0.05, levels[0] + " and " + levels[1]);
    }

    @Test
    void aProxySilentForHoursWhileJoinedIsIdleAndCountedAndHeardAgain() {
        stand.start(4, 4);
        rounds(5, 0, 100 * MS);
        for (int i = 0; i < 4000; i++) { // proxy 3 says nothing for over an hour of overload
            for (int proxy = 0; proxy < 3; proxy++) {
                stand.reportUsage(proxy, 0, 15);
                stand.reportUsage(proxy, 1, 5);
            }
            stand.reportRound(4, 2, b -> 2, b -> 700 * MS);
            stand.allActions.clear();
        }
        rounds(1, 2, 700 * MS);
        allFinite();
        assertTrue(stand.level(3, 0) > 0 && stand.level(3, 0) == stand.level(0, 0), "one even level for all");
        rounds(80, 0, 100 * MS);
        assertTrue(stand.level(3, 0) > 1000, "level " + stand.level(3, 0));
    }
}
