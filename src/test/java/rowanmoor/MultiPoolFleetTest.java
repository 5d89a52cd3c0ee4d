package rowanmoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.TestSettings.MS;
import static rowanmoor.TestSettings.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.ListKind;
import rowanmoor.ControlApi.Listed;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.Usage;
import rowanmoor.ControlApi.Withdraw;

/** Fleets of several pools. Each test names the failure that it holds against. */
class MultiPoolFleetTest {

    private static final int BACKENDS = 80;
    private static final int PROXIES = 120;

    private final PolicyHarness stand = new PolicyHarness(TestSettings.large(PROXIES));

    @Test
    void poolsAreFewSmallAndEvenlyUsed() {
        stand.startInOneBatch(BACKENDS, PROXIES).advanceUntilBound();
        Map<Integer, Long> used = stand.tablesInUse(0);
        assertTrue(used.size() > 2 && used.size() * 5 <= PROXIES, "tables " + used);
        for (Map.Entry<Integer, Long> table : used.entrySet()) {
            long lines = stand.tables.get(table.getKey()).values().stream().filter(w -> w > 0).count();
            assertTrue(lines <= 25, "lines " + lines);
            assertTrue(table.getValue() <= 2.0 * PROXIES / used.size(), "users " + used);
        }
        for (int b = 0; b < BACKENDS; b++) {
            double part = stand.meanShare(0, b) * BACKENDS;
            assertTrue(part > 0.5 && part < 2, "backend " + b + " has " + part + " of an even part");
        }
    }

    @Test
    void oneBackendLessTouchesFewTables() {
        stand.startInOneBatch(BACKENDS, PROXIES).advanceUntilBound();
        Map<Integer, TreeSet<Backend>> before = members();
        stand.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(4, 0, Listed.GONE, 0))));
        stand.advanceUntilBound();
        int changed = 0;
        for (Map.Entry<Integer, TreeSet<Backend>> table : members().entrySet()) {
            TreeSet<Backend> added = new TreeSet<>(table.getValue());
            added.removeAll(before.get(table.getKey()));
            changed += added.size();
        }
        assertTrue(changed <= 2, "lines added " + changed);
        assertEquals(0, stand.meanShare(0, 4));
    }

    @Test
    void aNewBackendIsSeatedOnceItIsWarm() {
        stand.startInOneBatch(BACKENDS, PROXIES).advanceUntilBound();
        Member fresh = PolicyHarness.member(BACKENDS, 0, Listed.READY, stand.now);
        stand.handle(new Members(ListKind.DELTA, 2, List.of(fresh)));
        stand.advanceUntilBound();
        double part = stand.meanShare(0, BACKENDS) * BACKENDS;
        assertTrue(part > 0.4 && part < 2, "part " + part);
    }

    private Map<Integer, TreeSet<Backend>> members() {
        Map<Integer, TreeSet<Backend>> members = new HashMap<>();
        for (int table : stand.tablesInUse(0).keySet()) {
            TreeSet<Backend> of = members.computeIfAbsent(table, t -> new TreeSet<>());
            stand.tables.get(table).forEach((b, w) -> {
                if (w > 0) {
                    of.add(b);
                }
            });
        }
        return members;
    }

    @Test
    void noPoolIsBareAfterAZoneIsGone() {
        stand.startInOneBatch(BACKENDS, PROXIES).advanceUntilBound();
        List<Member> lost = new ArrayList<>();
        for (int b = 0; b < BACKENDS; b += 2) {
            lost.add(PolicyHarness.member(b, 0, Listed.GONE, 0));
        }
        stand.handle(new Members(ListKind.DELTA, 2, lost));
        stand.advanceOneSecond();
        for (int table : stand.tablesInUse(0).keySet()) {
            long left = stand.tables.get(table).entrySet().stream().filter(e -> e.getValue() > 0
                    && !stand.withdrawn.getOrDefault(e.getKey(), false)).count();
            assertTrue(left >= 2, "lines left in table " + table + ": " + left);
        }
        stand.advanceUntilBound();
        for (int b = 1; b < BACKENDS; b += 2) {
            assertTrue(stand.meanShare(0, b) * BACKENDS / 2 < 2.5, "backend " + b + " is not run over");
        }
    }

    @Test
    void aColdBackendsPartOverAllPoolsStaysWithinItsRamp() {
        stand.startInOneBatch(BACKENDS, PROXIES).advanceUntilBound();
        stand.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(2, 0, Listed.READY, stand.now))));
        for (int second = 0; second < 10; second++) {
            double warmth = 0.2 + 0.08 * second;
            assertTrue(stand.meanShare(0, 2) * BACKENDS < 4 * warmth, "second " + second);
            stand.advanceOneSecond();
        }
    }

    /** A release on the bench's sockets: what has drained stays in tables, and costs a bind one line more. */
    @Test
    void aJoinStormAfterHalfHaveDrainedStaysInsideTheBacklog() {
        PolicyHarness few = new PolicyHarness(TestSettings.large(300)).startInOneBatch(30, 75).advanceUntilBound();
        List<Member> drained = new ArrayList<>();
        for (int b = 0; b < 20; b++) {
            drained.add(PolicyHarness.member(b, b % 2, Listed.DRAINING, 0));
        }
        few.handle(new Members(ListKind.DELTA, 2, drained));
        few.advanceUntilBound();
        ControlApi.Event[] joins = new ControlApi.Event[150];
        for (int p = 0; p < 150; p++) {
            joins[p] = new ProxyJoined(75 + p, p % 2, 8, false);
        }
        few.handle(joins);
        double most = few.lastLines();
        for (int i = 0; i < 3; i++) { // no mark is answered in this time, and little leaves
            few.now += MS;
            few.decide();
            most += few.lastLines();
        }
        assertTrue(most > few.settings.channel().backlog() / 2, "a storm: " + most);
        assertTrue(most <= few.settings.channel().backlog(), most + " lines wait");
    }

    @Test
    void aJoinStormOfAllProxiesStaysInsideTheBacklogAndAllAreBound() {
        stand.start(BACKENDS, 0);
        ControlApi.Event[] joins = new ControlApi.Event[PROXIES];
        for (int p = 0; p < PROXIES; p++) {
            joins[p] = new ProxyJoined(p, p % 2, 8, false);
        }
        stand.handle(joins);
        double waiting = stand.lastLines();
        for (int i = 0; i < 200; i++) {
            assertTrue(waiting <= stand.settings.channel().backlog(), "waiting " + waiting);
            for (Action action : stand.lastActions) {
                if (action instanceof Mark mark) {
                    stand.policy.handle(stand.now, new Applied(0, mark.number(), SECOND / 5));
                }
            }
            stand.now += 50 * MS;
            waiting = Math.max(0, waiting - 60);
            stand.decide();
            waiting += stand.lastLines();
        }
        assertEquals(PROXIES, stand.boundTables.size());
    }

    @Test
    void listChangesDoNotStarveProxiesThatWaitToBeBound() {
        stand.startInOneBatch(BACKENDS, 0);
        for (int p = 0; p < PROXIES; p++) {
            stand.policy.handle(stand.now, new ProxyJoined(p, p % 2, 8, false));
        }
        stand.decide();
        for (int i = 0; i < 100 && stand.boundTables.size() < PROXIES; i++) {
            for (Action action : stand.lastActions) {
                if (action instanceof Mark mark) {
                    stand.policy.handle(stand.now, new Applied(0, mark.number(), SECOND / 5));
                }
            }
            stand.now += 50 * MS;
            Listed listed = i % 2 == 0 ? Listed.GONE : Listed.READY;
            stand.handle(new Members(ListKind.DELTA, i + 2, List.of(PolicyHarness.member(i % BACKENDS, i % 2, listed, 0))));
        }
        assertEquals(PROXIES, stand.boundTables.size());
    }

    @Test
    void aRoundOfAFullSizeFleetKeepsToItsAllowance() {
        PolicyHarness full = new PolicyHarness(TestSettings.large(364)).startInOneBatch(120, 364).advanceUntilBound();
        double lines = 0;
        for (int i = 0; i < 20; i++) {
            int round = i;
            for (int p = 0; p < 364; p++) {
                full.reportUsage(p, 0, 2 + (p + round) % 5);
            }
            full.reportRound(120, 2, b -> 0, b -> 100 * MS + (b * 37 + round * 61) % 900 * MS);
            lines += full.lastLines();
        }
        double pace = full.settings.channel().linesPerSecond();
        double allowed = 0.4 * full.settings.channel().backlog() + 20 * 0.15 * pace;
        assertTrue(lines > 0 && lines < allowed, "lines " + lines + " of " + allowed);
    }

    @Test
    void aHeavyProxySharesItsPoolWithFewer() {
        stand.startInOneBatch(BACKENDS, PROXIES).advanceUntilBound();
        for (int i = 0; i < 30; i++) {
            for (int p = i % 3; p < PROXIES; p += 3) {
                stand.policy.handle(stand.now, new Usage(p, 0, p == 0 ? 300 : 24, 0, 3 * SECOND));
            }
            stand.reportRound(BACKENDS, 2, b -> 0, b -> 100 * MS);
        }
        int heavy = stand.boundTables.get(0).get(0);
        long with = stand.tablesInUse(0).get(heavy);
        long most = stand.tablesInUse(0).values().stream().mapToLong(n -> n).max().orElse(0);
        assertTrue(with < most, "a proxy of a hundred a second shares its pool with fewer: " + with);
    }

    @Test
    void aControllerThatStoodStillNeitherShedsNorForgets() {
        stand.startInOneBatch(BACKENDS, PROXIES).advanceUntilBound();
        for (int i = 0; i < 6; i++) {
            steady(1);
        }
        stand.now += 2 * SECOND;
        steady(3);
        for (int i = 0; i < 3; i++) {
            steady(1);
        }
        assertTrue(stand.level(0, 0) > 1000);
        assertTrue(stand.allActions.stream().noneMatch(Withdraw.class::isInstance));
    }

    private void steady(int seconds) {
        for (int p = 0; p < PROXIES; p++) {
            stand.policy.handle(stand.now, new Usage(p, 0, 6L * seconds, 0, seconds * SECOND));
        }
        for (int b = 0; b < BACKENDS; b++) {
            stand.policy.handle(stand.now, new Tally(PolicyHarness.backend(b), b % 2, 9L * seconds, 0, 100 * MS,
                    seconds * SECOND, List.of()));
        }
        stand.advanceOneSecond();
    }

    @Test
    void oddInputGivesLegalOrdersOrNone() {
        PolicyHarness odd = new PolicyHarness(TestSettings.large(0));
        odd.handle(new Members(ListKind.CACHED, 1, List.of()));
        odd.handle(new ProxyJoined(7, 0, 0, true));
        odd.advanceOneSecond();
        odd.handle(new Usage(99, 0, 5, 0, 0), new Usage(7, 0, 5, 0, 0), new ProxyLeft(98),
                new Tally(PolicyHarness.backend(3), 0, 5, 5, 0, 0, List.of()));
        odd.advanceOneSecond();
        List<Member> members = new ArrayList<>();
        for (int b = 0; b < 40; b++) {
            members.add(PolicyHarness.member(b, b % 2, Listed.READY, 0));
        }
        odd.handle(new Members(ListKind.FULL, 2, members));
        odd.handle(new ProxyJoined(8, 1, Double.NaN, true));
        odd.advanceUntilBound();
        assertTrue(odd.share(7, 0, 0) > 0);
        List<Member> draining = new ArrayList<>();
        for (int b = 0; b < 40; b++) {
            draining.add(PolicyHarness.member(b, b % 2, Listed.DRAINING, 0));
        }
        odd.handle(new Members(ListKind.FULL, 3, draining));
        odd.advanceUntilBound();
        assertEquals(40, odd.withdrawn.values().stream().filter(out -> out).count());
        for (Action action : odd.allActions) {
            if (action instanceof SetLine line) {
                assertTrue(line.weight() >= 0 && Double.isFinite(line.weight()), line.toString());
                assertTrue(line.table() >= 0 && line.table() < ControlApi.ALL_TABLES);
            }
        }
    }

    @Test
    void usageIsReadByItsSpanWhenReportsPileUp() {
        double[] lines = new double[2];
        for (int piled = 0; piled < 2; piled++) {
            PolicyHarness its = new PolicyHarness(TestSettings.large(60)).startInOneBatch(60, 60).advanceUntilBound();
            for (int i = 0; i < 30; i++) {
                for (int p = 0; p < 60; p++) {
                    if (piled == 0) {
                        its.reportUsage(p, 0, 20);
                    } else if (its.boundTables.get(p).get(0) % 3 == i % 3) { // a pool's proxies together
                        its.policy.handle(its.now, new Usage(p, 0, 60, 0, 3 * SECOND));
                    }
                }
                its.reportRound(60, 2, b -> 0, b -> 100 * MS);
                lines[piled] += i < 6 ? 0 : its.lastLines();
            }
        }
        // Read by the round instead, a pool's demand would seem to swing by three: 5,769 lines.
        assertTrue(lines[0] == 0 && lines[1] < 2000, "lines ordered " + lines[0] + ", and piled up " + lines[1]);
    }

    @Test
    void whatMarksTellMakesRoomForTheNextBinds() {
        int[] bound = new int[2];
        for (int answered = 0; answered < 2; answered++) {
            PolicyHarness its = new PolicyHarness(TestSettings.large(364)).startInOneBatch(120, 364);
            for (int i = 0; i < 40; i++) {
                if (answered == 1) {
                    its.lastActions.stream().filter(ControlApi.Mark.class::isInstance).map(ControlApi.Mark.class::cast)
                            .forEach(m -> {
                                for (int p = 0; p < 364; p++) {
                                    its.policy.handle(its.now, new ControlApi.Applied(p, m.number(), 1));
                                }
                            });
                }
                its.now += SECOND / 10;
                its.decide();
            }
            bound[answered] = its.boundTables.size();
        }
        assertTrue(bound[1] > 1.5 * bound[0], bound[0] + " bound unanswered, " + bound[1] + " answered");
    }

    /** A day on sockets: a deep channel took 14 s to tell a drain that came behind the binds of a whole fleet. */
    @Test
    void aDrainIsNotBehindTheBindsOfAWholeFleetHoweverDeepTheChannelIs() {
        Settings s = TestSettings.withEjection();
        ControlApi.Channel deep = new ControlApi.Channel(1300, 4, 17_500, 0, 10 * SECOND, 125 * MS, 312 * MS);
        PolicyHarness its = new PolicyHarness(new Settings(5, 2, s.classes(), false, false, s.admission(), 5, 872, 0, SECOND, 500, 0.05,
                s.columns(), new ControlApi.Rules(20 * SECOND, 14 * SECOND, 18 * SECOND, 0.16, 4, 3 * SECOND / 2,
                10 * SECOND), deep)).startInOneBatch(60, 872);
        assertTrue(!its.boundTables.isEmpty() && its.lastLines() <= 2 * 1300, its.lastLines() + " lines before the drain");
        its.now += 10 * MS;
        its.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(3, 1,
                Listed.DRAINING, 0), PolicyHarness.member(4, 0, Listed.DRAINING, 0))));
        List<Withdraw> told = its.lastActions.stream().filter(Withdraw.class::isInstance)
                .map(Withdraw.class::cast).toList();
        assertEquals(List.of(PolicyHarness.backend(3), PolicyHarness.backend(4)), told.stream().map(Withdraw::backend)
                .toList());
        assertTrue(told.stream().allMatch(Withdraw::boundOnly), "who waits for a new table is told by it");
        double most = 0;
        for (int i = 0; i < 400 && its.boundTables.size() < 872; i++) { // the channel keeps its pace, marks come back
            its.lastActions.stream().filter(Mark.class::isInstance).map(Mark.class::cast).forEach(m -> {
                for (int p = 0; p < 872; p++) {
                    its.policy.handle(its.now, new Applied(p, m.number(), 1));
                }
            });
            its.now += SECOND;
            its.decide();
            most = Math.max(most, its.lastLines());
        }
        assertEquals(872, its.boundTables.size());
        assertTrue(most <= 2 * 1300, most + " lines in one reply");
    }

    @Test
    void movesBetweenPoolsAndReturnsKeepToTheMessageBudget() {
        Settings s = TestSettings.large(60);
        PolicyHarness its = new PolicyHarness(new Settings(1, 2, s.classes(), false, false, s.admission(), 0, 60, 0, SECOND, 500, 0.05,
                s.columns(), s.rules(), new ControlApi.Channel(1e6, 4, 1e6, 20, 10 * SECOND, 200 * MS, 500 * MS)))
                .startInOneBatch(60, 60).advanceUntilBound();
        java.util.Random random = new java.util.Random(5);
        java.util.Map<Integer, List<Long>> told = new java.util.HashMap<>();
        int most = 0;
        for (int i = 0; i < 1200; i++) {
            its.now += 50 * MS;
            if (i % 20 == 0) { // a round: who is heavy changes all the time
                for (int p = 0; p < 60; p++) {
                    its.reportUsage(p, 0, random.nextInt(10) == 0 ? 400 : 5);
                }
                for (int b = 0; b < 60; b++) {
                    its.policy.handle(its.now, new Tally(PolicyHarness.backend(b), b % 2, 10, 0, 100 * MS + random.nextInt(400) * MS,
                            SECOND, List.of()));
                }
            }
            if (i % 3 == 0) {
                int b = random.nextInt(60);
                its.policy.handle(its.now, new Members(ListKind.DELTA, i, List.of(PolicyHarness.member(b, b % 2,
                        random.nextBoolean() ? Listed.READY : Listed.GONE, 0))));
            }
            its.decide();
            for (int p : its.lastRecipients()) {
                List<Long> times = told.computeIfAbsent(p, k -> new java.util.ArrayList<>());
                times.add(its.now);
                most = Math.max(most, (int) times.stream().filter(t -> t > its.now - 10 * SECOND).count());
            }
        }
        assertTrue(most > 10 && most <= 20, most + " messages to one proxy within 10 s");
    }

    @Test
    void aLossWhileProxiesWaitToBeBoundIsWithdrawnBeforeTheNextBinds() {
        PolicyHarness its = new PolicyHarness(TestSettings.large(364)).startInOneBatch(120, 364);
        int waited = -1;
        for (int i = 0; i < 400 && waited < 0; i++) {
            its.now += 50 * MS;
            its.policy.handle(its.now, new ControlApi.Timer(3));
            if (i == 20) {
                its.policy.handle(its.now, new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(7, 1, Listed.GONE, 0))));
            }
            its.decide();
            waited = i >= 20 && its.withdrawn.getOrDefault(PolicyHarness.backend(7), false) ? i - 20 : -1;
        }
        assertTrue(its.boundTables.size() < 364, "proxies still wait");
        assertTrue(waited >= 0, "withdrawn while they do");
    }
}
