package rowanmoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.TestSettings.MS;
import static rowanmoor.TestSettings.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
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

/** Decisions for fleets with several pools in a region. Test names state the behavior they guard. */
class MultiPoolFleetTest {

    private static final int BACKENDS = 80;
    private static final int PROXIES = 120;

    private final PolicyHarness harness = new PolicyHarness(TestSettings.large(PROXIES));

    @Test
    void poolsAreFewSmallAndEvenlyUsed() {
        harness.startInOneBatch(BACKENDS, PROXIES).advance20Seconds();
        Map<Integer, Long> used = harness.tablesInUse(0);
        assertTrue(used.size() > 2 && used.size() * 5 <= PROXIES, "tables " + used);
        for (Map.Entry<Integer, Long> table : used.entrySet()) {
            long lines = harness.tables.get(table.getKey()).values().stream().filter(w -> w > 0).count();
            assertTrue(lines <= 25, "lines " + lines);
            assertTrue(table.getValue() <= 2.0 * PROXIES / used.size(), "proxies by table " + used);
        }
        for (int b = 0; b < BACKENDS; b++) {
            double ratio = harness.meanShare(0, b) * BACKENDS;
            assertTrue(ratio > 0.5 && ratio < 2, "backend " + b + " has " + ratio + " times the even share");
        }
    }

    @Test
    void losingOneBackendChangesFewTables() {
        harness.startInOneBatch(BACKENDS, PROXIES).advance20Seconds();
        Map<Integer, TreeSet<Backend>> before = tableMembers();
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2,
                List.of(PolicyHarness.member(4, 0, Availability.GONE, 0))));
        harness.advance20Seconds();
        int changed = 0;
        for (Map.Entry<Integer, TreeSet<Backend>> table : tableMembers().entrySet()) {
            TreeSet<Backend> added = new TreeSet<>(table.getValue());
            added.removeAll(before.get(table.getKey()));
            changed += added.size();
        }
        assertTrue(changed <= 2, "lines added " + changed);
        assertEquals(0, harness.meanShare(0, 4));
    }

    @Test
    void newBackendIsAssignedToAPoolOnceItIsWarm() {
        harness.startInOneBatch(BACKENDS, PROXIES).advance20Seconds();
        Member fresh = PolicyHarness.member(BACKENDS, 0, Availability.READY, harness.now);
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2, List.of(fresh)));
        harness.advance20Seconds();
        double ratio = harness.meanShare(0, BACKENDS) * BACKENDS;
        assertTrue(ratio > 0.4 && ratio < 2, ratio + " times the even share");
    }

    private Map<Integer, TreeSet<Backend>> tableMembers() {
        Map<Integer, TreeSet<Backend>> members = new HashMap<>();
        for (int table : harness.tablesInUse(0).keySet()) {
            TreeSet<Backend> tableMembers = members.computeIfAbsent(table, t -> new TreeSet<>());
            harness.tables.get(table).forEach((b, w) -> {
                if (w > 0) {
                    tableMembers.add(b);
                }
            });
        }
        return members;
    }

    @Test
    void noPoolIsEmptyAfterAZoneIsLost() {
        harness.startInOneBatch(BACKENDS, PROXIES).advance20Seconds();
        List<Member> lost = new ArrayList<>();
        for (int b = 0; b < BACKENDS; b += 2) {
            lost.add(PolicyHarness.member(b, 0, Availability.GONE, 0));
        }
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2, lost));
        harness.advanceOneSecond();
        for (int table : harness.tablesInUse(0).keySet()) {
            long left = harness.tables.get(table).entrySet().stream().filter(e -> e.getValue() > 0
                    && !harness.withdrawn.getOrDefault(e.getKey(), false)).count();
            assertTrue(left >= 2, "lines left in table " + table + ": " + left);
        }
        harness.advance20Seconds();
        for (int b = 1; b < BACKENDS; b += 2) {
            assertTrue(harness.meanShare(0, b) * BACKENDS / 2 < 2.5, "backend " + b
                    + " gets at most 2.5 times the even share");
        }
    }

    @Test
    void shareOfAColdBackendOverAllPoolsStaysWithinItsRamp() {
        harness.startInOneBatch(BACKENDS, PROXIES).advance20Seconds();
        harness.handle(new Members(CatalogUpdateKind.DELTA, 2,
                List.of(PolicyHarness.member(2, 0, Availability.READY, harness.now))));
        for (int second = 0; second < 10; second++) {
            double warmth = 0.2 + 0.08 * second;
            assertTrue(harness.meanShare(0, 2) * BACKENDS < 4 * warmth, "second " + second);
            harness.advanceOneSecond();
        }
    }

    /**
     * Guards against binds that overflow the channel. Drained backends stay in tables, and each costs a bind
     * one line more; seen with a release on real sockets.
     */
    @Test
    void joinStormAfterADrainStaysWithinTheBacklog() {
        PolicyHarness drainedFleet = new PolicyHarness(TestSettings.large(300)).startInOneBatch(30, 75)
                .advance20Seconds();
        List<Member> drained = new ArrayList<>();
        for (int b = 0; b < 20; b++) {
            drained.add(PolicyHarness.member(b, b % 2, Availability.DRAINING, 0));
        }
        drainedFleet.handle(new Members(CatalogUpdateKind.DELTA, 2, drained));
        drainedFleet.advance20Seconds();
        ControlApi.Event[] joins = new ControlApi.Event[150];
        for (int p = 0; p < 150; p++) {
            joins[p] = new ProxyJoined(75 + p, p % 2, 8, false);
        }
        drainedFleet.handle(joins);
        double most = drainedFleet.lastLines();
        for (int i = 0; i < 3; i++) { // no mark is answered in this time, and few lines leave
            drainedFleet.now += MS;
            drainedFleet.decide();
            most += drainedFleet.lastLines();
        }
        assertTrue(drainedFleet.policy.channelStatus(drainedFleet.now).waitingBinds() > 0,
                "more proxies join than can be bound at once");
        double graceLines = 2 * drainedFleet.settings.channel().linesPerSecond();
        double drainLines = 225 * (drainedFleet.settings.channel().messageOverhead() + 2);
        assertTrue(most > 0 && most + drainLines <= graceLines,
                most + " lines wait, too many for a drain behind them to reach all 225 proxies within the grace");
    }

    @Test
    void joinStormStaysWithinTheBacklogAndAllProxiesAreBound() {
        harness.start(BACKENDS, 0);
        ControlApi.Event[] joins = new ControlApi.Event[PROXIES];
        for (int p = 0; p < PROXIES; p++) {
            joins[p] = new ProxyJoined(p, p % 2, 8, false);
        }
        harness.handle(joins);
        double waiting = harness.lastLines();
        for (int i = 0; i < 200; i++) {
            assertTrue(waiting <= harness.settings.channel().maxBacklog(), "waiting " + waiting);
            for (Action action : harness.lastActions) {
                if (action instanceof Mark mark) {
                    harness.policy.handle(harness.now, new Applied(0, mark.number(), SECOND / 5));
                }
            }
            harness.now += 50 * MS;
            waiting = Math.max(0, waiting - 60);
            harness.decide();
            waiting += harness.lastLines();
        }
        assertEquals(PROXIES, harness.boundTables.size());
    }

    @Test
    void catalogChangesDoNotStarveProxiesThatWaitToBeBound() {
        harness.startInOneBatch(BACKENDS, 0);
        for (int p = 0; p < PROXIES; p++) {
            harness.policy.handle(harness.now, new ProxyJoined(p, p % 2, 8, false));
        }
        harness.decide();
        for (int i = 0; i < 100 && harness.boundTables.size() < PROXIES; i++) {
            for (Action action : harness.lastActions) {
                if (action instanceof Mark mark) {
                    harness.policy.handle(harness.now, new Applied(0, mark.number(), SECOND / 5));
                }
            }
            harness.now += 50 * MS;
            Availability availability = i % 2 == 0 ? Availability.GONE : Availability.READY;
            harness.handle(new Members(CatalogUpdateKind.DELTA, i + 2,
                    List.of(PolicyHarness.member(i % BACKENDS, i % 2, availability, 0))));
        }
        assertEquals(PROXIES, harness.boundTables.size());
    }

    @Test
    void ordinaryChangesOfAFullSizeFleetKeepToTheirAllowance() {
        PolicyHarness fullSize = new PolicyHarness(TestSettings.large(364)).startInOneBatch(120, 364)
                .advance20Seconds();
        double lines = 0;
        for (int i = 0; i < 20; i++) {
            int round = i;
            for (int p = 0; p < 364; p++) {
                fullSize.reportUsage(p, 0, 2 + (p + round) % 5);
            }
            fullSize.reportRound(120, 2, b -> 0, b -> 100 * MS + (b * 37 + round * 61) % 900 * MS);
            lines += fullSize.lastLines();
        }
        double pace = fullSize.settings.channel().linesPerSecond();
        double allowed = 0.4 * fullSize.settings.channel().maxBacklog() + 20 * 0.15 * pace;
        assertTrue(lines > 0 && lines < allowed, "lines " + lines + " of " + allowed);
    }

    @Test
    void heavyProxySharesItsPoolWithFewerProxies() {
        harness.startInOneBatch(BACKENDS, PROXIES).advance20Seconds();
        for (int i = 0; i < 30; i++) {
            for (int p = i % 3; p < PROXIES; p += 3) {
                harness.policy.handle(harness.now, new Usage(p, 0, p == 0 ? 300 : 24, 0, 3 * SECOND));
            }
            harness.reportRound(BACKENDS, 2, b -> 0, b -> 100 * MS);
        }
        int heavyTable = harness.boundTables.get(0).get(0);
        long proxiesOfHeavyPool = harness.tablesInUse(0).get(heavyTable);
        long most = harness.tablesInUse(0).values().stream().mapToLong(n -> n).max().orElse(0);
        assertTrue(proxiesOfHeavyPool < most,
                "a proxy with a hundred requests a second shares its pool with fewer: " + proxiesOfHeavyPool);
    }

    @Test
    void pausedControllerNeitherShedsLoadNorWithdrawsBackends() {
        harness.startInOneBatch(BACKENDS, PROXIES).advance20Seconds();
        for (int i = 0; i < 6; i++) {
            reportSteadyLoad(1);
        }
        harness.now += 2 * SECOND;
        reportSteadyLoad(3);
        for (int i = 0; i < 3; i++) {
            reportSteadyLoad(1);
        }
        assertTrue(harness.level(0, 0) > 1000);
        assertTrue(harness.allActions.stream().noneMatch(Withdraw.class::isInstance));
    }

    private void reportSteadyLoad(int seconds) {
        for (int p = 0; p < PROXIES; p++) {
            harness.policy.handle(harness.now, new Usage(p, 0, 6L * seconds, 0, seconds * SECOND));
        }
        for (int b = 0; b < BACKENDS; b++) {
            harness.policy.handle(harness.now, new Tally(PolicyHarness.backend(b), b % 2, 9L * seconds, 0,
                    100 * MS, seconds * SECOND, List.of()));
        }
        harness.advanceOneSecond();
    }

    @Test
    void unusualInputGivesValidOrdersOrNone() {
        PolicyHarness fleet = new PolicyHarness(TestSettings.large(0));
        fleet.handle(new Members(CatalogUpdateKind.CACHED, 1, List.of()));
        fleet.handle(new ProxyJoined(7, 0, 0, true));
        fleet.advanceOneSecond();
        fleet.handle(new Usage(99, 0, 5, 0, 0), new Usage(7, 0, 5, 0, 0), new ProxyLeft(98),
                new Tally(PolicyHarness.backend(3), 0, 5, 5, 0, 0, List.of()));
        fleet.advanceOneSecond();
        List<Member> members = new ArrayList<>();
        for (int b = 0; b < 40; b++) {
            members.add(PolicyHarness.member(b, b % 2, Availability.READY, 0));
        }
        fleet.handle(new Members(CatalogUpdateKind.FULL, 2, members));
        fleet.handle(new ProxyJoined(8, 1, Double.NaN, true));
        fleet.advance20Seconds();
        assertTrue(fleet.share(7, 0, 0) > 0);
        List<Member> draining = new ArrayList<>();
        for (int b = 0; b < 40; b++) {
            draining.add(PolicyHarness.member(b, b % 2, Availability.DRAINING, 0));
        }
        fleet.handle(new Members(CatalogUpdateKind.FULL, 3, draining));
        fleet.advance20Seconds();
        assertEquals(40, fleet.withdrawn.values().stream().filter(withdrawn -> withdrawn).count());
        for (Action action : fleet.allActions) {
            if (action instanceof SetLine line) {
                assertTrue(line.weight() >= 0 && Double.isFinite(line.weight()), line.toString());
                assertTrue(line.table() >= 0 && line.table() < ControlApi.ALL_TABLES);
            }
        }
    }

    @Test
    void usageIsARateOverItsSpanWhenReportsAccumulate() {
        double[] lines = new double[2];
        for (int accumulated = 0; accumulated < 2; accumulated++) {
            PolicyHarness fleet = new PolicyHarness(TestSettings.large(60)).startInOneBatch(60, 60)
                    .advance20Seconds();
            for (int i = 0; i < 30; i++) {
                for (int p = 0; p < 60; p++) {
                    if (accumulated == 0) {
                        fleet.reportUsage(p, 0, 20);
                    // all proxies of a pool report in the same round
                    } else if (fleet.boundTables.get(p).get(0) % 3 == i % 3) {
                        fleet.policy.handle(fleet.now, new Usage(p, 0, 60, 0, 3 * SECOND));
                    }
                }
                fleet.reportRound(60, 2, b -> 0, b -> 100 * MS);
                lines[accumulated] += i < 6 ? 0 : fleet.lastLines();
            }
        }
        // Divided by the round instead, the demand of a pool would seem to change threefold: 5,769 lines.
        assertTrue(lines[0] == 0 && lines[1] < 2000,
                "lines ordered " + lines[0] + ", and with accumulated reports " + lines[1]);
    }

    @Test
    void answeredMarksMakeRoomForFurtherBinds() {
        int[] boundProxies = new int[2];
        for (int answered = 0; answered < 2; answered++) {
            PolicyHarness fleet = new PolicyHarness(TestSettings.large(364)).startInOneBatch(120, 364);
            for (int i = 0; i < 40; i++) {
                if (answered == 1) {
                    fleet.lastActions.stream().filter(ControlApi.Mark.class::isInstance)
                            .map(ControlApi.Mark.class::cast)
                            .forEach(m -> {
                                for (int p = 0; p < 364; p++) {
                                    fleet.policy.handle(fleet.now, new ControlApi.Applied(p, m.number(), 1));
                                }
                            });
                }
                fleet.now += SECOND / 10;
                fleet.decide();
            }
            boundProxies[answered] = fleet.boundTables.size();
        }
        assertTrue(boundProxies[1] > 1.5 * boundProxies[0],
                boundProxies[0] + " bound without answers, " + boundProxies[1] + " with answers");
    }

    /**
     * Guards against drains that wait behind binds. Seen on real sockets: with a deep channel it took 14 s
     * until the proxies learned of a drain that was ordered after the binds of a whole fleet.
     */
    @Test
    void drainDoesNotWaitBehindBindsInADeepChannel() {
        Settings settings = TestSettings.withEjection();
        ControlApi.Channel deep = new ControlApi.Channel(1300, 4, 17_500, 0, 10 * SECOND, 125 * MS, 312 * MS,
                false);
        ControlApi.Rules rules = new ControlApi.Rules(20 * SECOND, 14 * SECOND, 18 * SECOND, 0.16, 4,
                3 * SECOND / 2, 10 * SECOND);
        PolicyHarness fleet = new PolicyHarness(new Settings(5, 2, settings.classes(), false, false,
                settings.admission(), 5, 872, 0, SECOND, 500, 0.05, settings.reportColumns(), rules, deep))
                .startInOneBatch(60, 872);
        assertTrue(!fleet.boundTables.isEmpty() && fleet.lastLines() <= 2 * 1300,
                fleet.lastLines() + " lines before the drain");
        fleet.now += 10 * MS;
        fleet.handle(new Members(CatalogUpdateKind.DELTA, 2, List.of(PolicyHarness.member(3, 1,
                Availability.DRAINING, 0), PolicyHarness.member(4, 0, Availability.DRAINING, 0))));
        List<Withdraw> withdrawals = fleet.lastActions.stream().filter(Withdraw.class::isInstance)
                .map(Withdraw.class::cast).toList();
        assertEquals(List.of(PolicyHarness.backend(3), PolicyHarness.backend(4)),
                withdrawals.stream().map(Withdraw::backend).toList());
        assertTrue(withdrawals.stream().allMatch(Withdraw::boundOnly),
                "proxies that wait to be bound learn it from their new table");
        double most = 0;
        // the channel keeps its pace, and marks are answered
        for (int i = 0; i < 400 && fleet.boundTables.size() < 872; i++) {
            fleet.lastActions.stream().filter(Mark.class::isInstance).map(Mark.class::cast).forEach(m -> {
                for (int p = 0; p < 872; p++) {
                    fleet.policy.handle(fleet.now, new Applied(p, m.number(), 1));
                }
            });
            fleet.now += SECOND;
            fleet.decide();
            most = Math.max(most, fleet.lastLines());
        }
        assertEquals(872, fleet.boundTables.size());
        assertTrue(most <= 2 * 1300, most + " lines in one reply");
    }

    @Test
    void poolMovesAndCatalogChangesStayWithinTheMessageBudget() {
        Settings settings = TestSettings.large(60);
        PolicyHarness fleet = new PolicyHarness(new Settings(1, 2, settings.classes(), false, false,
                settings.admission(), 0, 60, 0, SECOND, 500, 0.05, settings.reportColumns(), settings.rules(),
                new ControlApi.Channel(1e6, 4, 1e6, 20, 10 * SECOND, 200 * MS, 500 * MS,
                        false)))
                .startInOneBatch(60, 60).advance20Seconds();
        Random random = new Random(5);
        Map<Integer, List<Long>> sentAt = new HashMap<>();
        int most = 0;
        for (int i = 0; i < 1200; i++) {
            fleet.now += 50 * MS;
            if (i % 20 == 0) { // a round; other proxies are heavy each time
                for (int p = 0; p < 60; p++) {
                    fleet.reportUsage(p, 0, random.nextInt(10) == 0 ? 400 : 5);
                }
                for (int b = 0; b < 60; b++) {
                    long latency = 100 * MS + random.nextInt(400) * MS;
                    fleet.policy.handle(fleet.now, new Tally(PolicyHarness.backend(b), b % 2, 10, 0, latency,
                            SECOND, List.of()));
                }
            }
            if (i % 3 == 0) {
                int b = random.nextInt(60);
                Availability availability = random.nextBoolean() ? Availability.READY : Availability.GONE;
                fleet.policy.handle(fleet.now, new Members(CatalogUpdateKind.DELTA, i,
                        List.of(PolicyHarness.member(b, b % 2, availability, 0))));
            }
            fleet.decide();
            for (int p : fleet.lastRecipients()) {
                List<Long> times = sentAt.computeIfAbsent(p, k -> new ArrayList<>());
                times.add(fleet.now);
                most = Math.max(most, (int) times.stream().filter(t -> t > fleet.now - 10 * SECOND).count());
            }
        }
        assertTrue(most > 10 && most <= 20, most + " messages to one proxy within 10 s");
    }

    @Test
    void lostBackendIsWithdrawnWhileProxiesWaitToBeBound() {
        PolicyHarness fleet = new PolicyHarness(TestSettings.large(364)).startInOneBatch(120, 364);
        int waited = -1;
        for (int i = 0; i < 400 && waited < 0; i++) {
            fleet.now += 50 * MS;
            fleet.policy.handle(fleet.now, new ControlApi.Timer(3));
            if (i == 20) {
                fleet.policy.handle(fleet.now, new Members(CatalogUpdateKind.DELTA, 2,
                        List.of(PolicyHarness.member(7, 1, Availability.GONE, 0))));
            }
            fleet.decide();
            waited = i >= 20 && fleet.withdrawn.getOrDefault(PolicyHarness.backend(7), false) ? i - 20 : -1;
        }
        assertTrue(fleet.boundTables.size() < 364, "proxies still wait to be bound");
        assertTrue(waited >= 0, "withdrawn while they wait");
    }
}
