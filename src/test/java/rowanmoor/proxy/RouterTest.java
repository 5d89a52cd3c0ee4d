package rowanmoor.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.channel.Frame;
import rowanmoor.config.ConfigException;
import rowanmoor.config.Site;

/** Tests routing state and decisions of a proxy. Class 0 is safe to repeat, class 1 is not. */
class RouterTest {

    private static final long SECOND = 1_000_000_000L;
    private static final Backend A = new Backend(1);
    private static final Backend B = new Backend(2);
    private static final Backend C = new Backend(3);
    private Site site;
    private Router router;

    @BeforeEach
    void createRouter() throws ConfigException {
        site = ProxyConfig.read(Path.of("conf/proxy.kdl")).get(0).site();
        router = new Router(site, List.of(A, B), new SplittableRandom(1), 0);
    }

    private static Frame.Table table(int number, Frame.Level level, Backend... backends) {
        return new Frame.Table(number, java.util.Arrays.stream(backends).map(b -> new Frame.Line(b, 1)).toList(),
                level == null ? List.of() : List.of(level));
    }

    private static Frame.Snapshot emptySnapshot(long epoch) {
        return new Frame.Snapshot(epoch, 0, 0, 0, List.of(), List.of(), List.of(), List.of());
    }

    private Router.UpdateResult update(long epoch, long version, Frame.Order... orders) {
        return router.apply(new Frame.Update(epoch, version, 0, 0, List.of(orders)));
    }

    private Set<Backend> picks(int cls) {
        Set<Backend> picks = new java.util.TreeSet<>();
        for (int i = 0; i < 200; i++) {
            Backend pick = router.pick(cls, Set.of(), SECOND);
            if (pick != null) {
                picks.add(pick);
            }
        }
        return picks;
    }

    private void joinStream() {
        router.onStreamOpened();
        router.apply(emptySnapshot(9));
    }

    @Test
    void standingTableIsUsedUntilClassIsBound() {
        assertTrue(router.hasOnlyStandingTable());
        joinStream();
        assertEquals(Set.of(A, B), picks(0));
        assertEquals(Router.UpdateResult.APPLIED, update(9, 1, new Frame.Bind(1, table(4, null, C), List.of())));
        assertEquals(Set.of(C), picks(0));
        assertEquals(Set.of(A, B), picks(1));
        assertFalse(router.hasOnlyStandingTable());
    }

    @Test
    void updatesAfterVersionGapAreSkippedUntilSnapshot() {
        joinStream();
        update(9, 1, new Frame.Bind(0, table(4, null, C), List.of()));
        assertEquals(Router.UpdateResult.GAP, update(9, 3, new Frame.Clear(4)));
        assertEquals(Router.UpdateResult.SKIPPED, update(9, 4, new Frame.Clear(4)));
        assertEquals(Set.of(C), picks(0));
        router.apply(new Frame.Snapshot(9, 7, 0, 0, List.of(table(4, null, A, B)),
                List.of(new Frame.Binding(4, 3)), List.of(B), List.of()));
        assertEquals(Set.of(A), picks(1));
        assertEquals(Router.UpdateResult.GAP, update(8, 8));
    }

    @Test
    void tablesSurviveStreamAndTableNumbersAreScopedToStream() {
        joinStream();
        update(9, 1, new Frame.Bind(0, table(0, null, A), List.of()));
        router.onStreamOpened();
        router.apply(emptySnapshot(10));
        assertEquals(Set.of(A), picks(0));
        update(10, 1, new Frame.Bind(2, table(0, null, C), List.of()));
        assertEquals(Set.of(A), picks(0), "class 0 still uses the table of the previous stream");
        assertEquals(Set.of(C), picks(1));
    }

    @Test
    void withdrawalsCoverAllTablesUntilFirstBindOfNextStream() {
        joinStream();
        update(9, 1, new Frame.Withdraw(A, true));
        assertEquals(Set.of(B), picks(0));
        router.onStreamOpened();
        router.apply(emptySnapshot(10));
        assertEquals(Set.of(B), picks(0));
        update(10, 1, new Frame.Bind(1, table(0, null, A, C), List.of(C)));
        assertEquals(Set.of(A), picks(0));
        assertEquals(Set.of(A, B), picks(1));
    }

    @Test
    void emptiedTableYieldsNoBackend() {
        joinStream();
        update(9, 1, new Frame.Bind(0, table(0, null, A), List.of()),
                new Frame.SetLine(0, new Frame.Line(A, 0)));
        assertNull(router.pick(0, Set.of(), SECOND));
    }

    @Test
    void levelAdmitsItsRateAndZeroAdmitsNothing() {
        joinStream();
        update(9, 1, new Frame.Bind(0, table(0, new Frame.Level(3, 10, RetryPolicy.NEVER), A), List.of()));
        int admitted = 0;
        for (long now = 0; now < 10 * SECOND; now += SECOND / 100) {
            admitted += router.tryAdmit(0, now) ? 1 : 0;
        }
        assertTrue(admitted >= 99 && admitted <= 103, admitted + " admitted of about 100");
        update(9, 2, new Frame.Admit(0, new Frame.Level(1, 0, RetryPolicy.NEVER)));
        assertFalse(router.tryAdmit(0, 100 * SECOND) && router.tryAdmit(0, 100 * SECOND));
    }

    @Test
    void retriesFollowOrdersAndUnsafeClassesNeedProof() {
        long left = site.classes().get(0).deadline();
        assertTrue(router.mayRetry(1, 1, true, left), "default: one retry, with proof that the try never ran");
        assertFalse(router.mayRetry(1, 1, false, left));
        assertFalse(router.mayRetry(1, 2, true, left));
        assertFalse(router.mayRetry(1, 1, true, left / 20), "too little of the deadline remains");
        joinStream();
        update(9, 1, new Frame.Bind(0, table(0, new Frame.Level(3, 1e6, RetryPolicy.TWICE), A, B), List.of()));
        assertTrue(router.mayRetry(0, 2, false, left));
        assertFalse(router.mayRetry(1, 1, false, left), "an unsafe class needs proof, whatever is ordered");
        assertTrue(router.tryTimeoutNs(0) > 0);
        assertEquals(0, router.tryTimeoutNs(1));
        update(9, 2, new Frame.Admit(0, new Frame.Level(3, 1e6, RetryPolicy.NEVER)));
        assertFalse(router.mayRetry(0, 1, true, left));
    }

    @Test
    void backendWithConsecutiveFailuresIsEjectedWhileOthersExist() {
        for (int i = 0; i < site.ejectAfterFailures(); i++) {
            router.onTrySent(A);
            router.onTryEnded(A, false, SECOND);
        }
        assertEquals(Set.of(B), picks(0));
        assertEquals(A, router.pick(0, Set.of(B), SECOND), "an ejected backend is used if there is no other");
        assertTrue(router.pick(0, Set.of(B), SECOND + site.ejectNs()) == A);
    }

    @Test
    void twoChoicesPreferBackendWithFewerTriesInFlight() {
        router.onTrySent(A);
        router.onTrySent(A);
        int picksOfB = 0;
        for (int i = 0; i < 1000; i++) {
            picksOfB += router.pick(0, Set.of(), SECOND) == B ? 1 : 0;
        }
        assertTrue(picksOfB > 680 && picksOfB < 820, picksOfB + " picks of about 750");
    }

    @Test
    void reconnectWaitsAreJitteredAndGrowAndControllersRotate() {
        Redial redial = new Redial(2, 1, SECOND, new SplittableRandom(1));
        assertEquals(1, redial.currentController());
        long first = redial.onStreamEnded(true);
        assertEquals(1, redial.currentController(), "a controller whose stream was up is tried first");
        assertTrue(first >= SECOND / 2 && first <= SECOND * 3 / 2);
        redial.onStreamEnded(false);
        assertEquals(0, redial.currentController());
        long last = 0;
        for (int i = 0; i < 20; i++) {
            last = redial.onStreamEnded(false);
        }
        assertTrue(last >= 8 * SECOND && last <= 24 * SECOND, last + " ns");
        redial.onStreamUp();
        assertTrue(redial.onStreamEnded(true) <= SECOND * 3 / 2);
    }

    private Router routerWith(double retryBudget, double safeLevel) {
        ForwardingPolicy defaults = ForwardingPolicy.defaults();
        return new Router(site, new ForwardingPolicy(defaults.headTimeoutNs(), defaults.stallTimeoutNs(),
                defaults.responseTimeoutNs(), defaults.maxReplayBytes(), 9, 9, 9, 9, retryBudget, 503, 1, 10 * SECOND,
                safeLevel, defaults.deadlineField(), 0, 0), List.of(A, B), new SplittableRandom(1), 0);
    }

    private static int countAdmitted(Router router, long from, long to, int times) {
        int admitted = 0;
        for (int i = 0; i < times; i++) {
            admitted += router.tryAdmit(0, from + i * (to - from) / times) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void picksFollowWeightsInLargeTable() {
        joinStream();
        java.util.List<Frame.Line> lines = new java.util.ArrayList<>();
        for (int i = 1; i <= 10_000; i++) {
            lines.add(new Frame.Line(new Backend(i), i % 10 + 1));
        }
        update(9, 1, new Frame.Bind(1, new Frame.Table(9, lines, List.of()), List.of()));
        double[] sums = new double[11];
        for (int i = 0; i < 200_000; i++) {
            sums[(int) (router.pick(0, Set.of(), SECOND).id() % 10) + 1]++;
        }
        for (int w = 1; w <= 10; w++) {
            // Two choices prefer fewer tries in flight; here there are none, so that weights alone decide.
            assertEquals(w / 55.0, sums[w] / 200_000, 0.004, "weight " + w);
        }
    }

    @Test
    void raisedLevelGrantsNoBurst() {
        joinStream();
        update(9, 1, new Frame.Admit(rowanmoor.ControlApi.ALL_TABLES, new Frame.Level(0, 1, RetryPolicy.NEVER)));
        countAdmitted(router, SECOND, 2 * SECOND, 50);
        update(9, 2, new Frame.Admit(rowanmoor.ControlApi.ALL_TABLES, new Frame.Level(0, 100, RetryPolicy.NEVER)));
        int atOnce = countAdmitted(router, 10 * SECOND, 10 * SECOND + 1000, 50);
        assertTrue(atOnce <= 9, atOnce + " admitted at once after eight idle seconds at one a second");
        int after = countAdmitted(router, 11 * SECOND, 21 * SECOND, 5000);
        assertTrue(after > 950 && after < 1060, after + " in ten seconds at a hundred");
    }

    @Test
    void retryBudgetReducesOrderedRetriesAndNeverAddsAny() {
        Router bounded = routerWith(0.1, -1);
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            bounded.tryAdmit(0, i);
            retries += bounded.mayRetry(0, 1, true, 2 * SECOND) ? 1 : 0;
        }
        assertTrue(retries > 95 && retries < 120, retries + " retries of about 100");
        assertFalse(bounded.mayRetry(1, 1, false, 2 * SECOND), "an unsafe class needs proof");
        assertTrue(routerWith(1, -1).mayRetry(0, 1, true, 2 * SECOND));
    }

    @Test
    void levelsHoldForLeaseWithoutControllerThenDropToSafeLevel() {
        Router withSafeLevel = routerWith(1, 20);
        withSafeLevel.onControllerMessage(SECOND);
        assertEquals(500, countAdmitted(withSafeLevel, 2 * SECOND, 10 * SECOND, 500), "all are admitted within the lease");
        int after = countAdmitted(withSafeLevel, 12 * SECOND, 22 * SECOND, 5000);
        assertTrue(after > 190 && after < 215, after + " in ten seconds at twenty");
        withSafeLevel.onControllerMessage(23 * SECOND);
        assertEquals(500, countAdmitted(withSafeLevel, 24 * SECOND, 25 * SECOND, 500),
                "all are admitted once a controller is back");
        assertEquals(500, countAdmitted(routerWith(1, -1), 90 * SECOND, 91 * SECOND, 500),
                "without a safe level, levels are kept");
    }

    @Test
    void stateOfReplacedBackendsIsForgotten() {
        joinStream();
        update(9, 1, new Frame.Bind(0, table(4, null, A), List.of()));
        for (int i = 0; i < 20_000; i++) {
            Backend added = new Backend(1000 + i);
            update(9, 2 + i, new Frame.SetLine(4, new Frame.Line(added, 1)), new Frame.Withdraw(
                    new Backend(999 + i), true), new Frame.SetLine(4, new Frame.Line(new Backend(999 + i), 0)));
            assertTrue(picks(0).size() > 0);
        }
        assertTrue(router.rememberedBackends() < 1100, router.rememberedBackends() + " remembered of 20000");
        assertEquals(Set.of(A, new Backend(20_999)), picks(0));
    }

    @Test
    void abandonedTryLeavesFailureCountUnchanged() {
        for (int i = 0; i < 4; i++) {
            router.onTrySent(B);
            router.onTryEnded(B, false, 0);
        }
        router.onTrySent(B);
        router.onTryAbandoned(B);
        assertEquals(0, router.triesInFlight());
        assertEquals(Set.of(A, B), picks(0), "four failures eject no backend");
        router.onTrySent(B);
        router.onTryEnded(B, false, SECOND);
        assertEquals(Set.of(A), picks(0), "the fifth consecutive failure does");
    }

    @Test
    void longSilenceAccumulatesNoBurstAndLevelsStillApply() {
        long years = 90L * 365 * 86_400 * SECOND;
        joinStream();
        update(9, 1, new Frame.Admit(rowanmoor.ControlApi.ALL_TABLES, new Frame.Level(0, 20, RetryPolicy.NEVER)));
        countAdmitted(router, SECOND, 2 * SECOND, 50);
        int atOnce = countAdmitted(router, years, years + 1000, 500);
        assertTrue(atOnce <= 6, atOnce + " admitted at once, a quarter of a second's");
        int after = countAdmitted(router, years + SECOND, years + 11 * SECOND, 5000);
        assertTrue(after > 190 && after < 215, after + " in ten seconds at twenty");
        Router withSafeLevel = routerWith(1, 5);
        int atSafeLevel = countAdmitted(withSafeLevel, years, years + 10 * SECOND, 5000);
        assertTrue(atSafeLevel > 45 && atSafeLevel < 56, atSafeLevel + " in ten seconds at the safe level of five");
    }
}
