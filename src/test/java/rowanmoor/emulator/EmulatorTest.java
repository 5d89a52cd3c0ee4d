package rowanmoor.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rowanmoor.config.ConfigException;
import rowanmoor.config.Section;
import rowanmoor.config.Site;

/** The emulator against queueing theory, and the effect of load, faults and limits on small fleets. */
class EmulatorTest {

    private static final long SECOND = 1_000_000_000L;

    private static Site site(String deadline, String admission) throws ConfigException {
        return Site.of(Section.parse("test.kdl", """
                site {
                    zones "a" "b"
                    kinds "k"
                    class "read" { prefix "/r"; aim "%1$s"; deadline "%1$s"; effect "safe" }
                    class "pay" { prefix "/p"; aim "%1$s"; deadline "%1$s"; worth 5; effect "unsafe"; write #true }
                    probes #false
                    choice "two"
                    admission "%2$s"
                    proxies 50
                    intake "500/s"
                    rules {
                        bare "3s"; drain-grace "2s"; cold "10s"; cold-from 0.2; fall-multiple 4; fall-span "1.5s"
                    }
                    channel { pace "2000/s"; head 4; backlog 4000; late "20ms"; latest "200ms" }
                }
                """.formatted(deadline, admission)));
    }

    /** A textbook queue: one proxy, one backend, no network delay. */
    private static Model queue(int cores, double rate, double work, double cv, long seconds) throws ConfigException {
        return new Model(site("1h", "off"), SECOND, seconds * SECOND, 7 * SECOND, List.of(0), new int[] {0},
                new double[] {1}, List.of(new Model.BackendSpec(0, 0, 1, cores, 1, cores, 1 << 30, 0, 1, 0)), SECOND, 0,
                0, rate, new double[] {1, 0}, new double[] {work, work}, new double[] {cv, cv}, 0, 0, 1, List.of());
    }

    /** Mean waiting time over three seeds, seconds. Also checks Little's law on each run. */
    private static double meanWait(Model model, double work) {
        double sum = 0;
        for (int seed = 1; seed <= 3; seed++) {
            Outcome outcome = Emulator.run(model, seed);
            Outcome.ClassStats stats = outcome.classes().get(0);
            assertEquals(stats.offered, stats.stayCount);
            assertTrue(outcome.littlesLawError() < 1e-9, "relative error of Little's law: "
                    + outcome.littlesLawError());
            sum += stats.totalStaySeconds / stats.stayCount - work;
        }
        return sum / 3;
    }

    /** Probability that an arrival waits in M/M/c (Erlang C formula). */
    private static double erlangC(int servers, double load) {
        double inverse = 1;
        for (int k = 1; k <= servers; k++) {
            inverse = 1 + inverse * k / load; // reciprocal of Erlang B
        }
        double blocked = 1 / inverse;
        return servers * blocked / (servers - load * (1 - blocked));
    }

    @ParameterizedTest
    @CsvSource({"1, 0.5", "3, 0.7", "8, 0.8"})
    void meanWaitWithManyServersMatchesErlangC(int cores, double utilization) throws ConfigException {
        double work = 0.1;
        double rate = cores * utilization / work;
        double expected = erlangC(cores, cores * utilization) * work / (cores * (1 - utilization));
        double actual = meanWait(queue(cores, rate, work, 1, (long) (400_000 / rate)), work);
        assertEquals(expected, actual, 0.03 * expected);
    }

    @ParameterizedTest
    @CsvSource({"0, 0.7", "0.5, 0.6", "1.5, 0.5"})
    void meanWaitWithOneServerMatchesPollaczekKhinchine(double cv, double utilization) throws ConfigException {
        double work = 0.05;
        double expected = utilization * work * (1 + cv * cv) / 2 / (1 - utilization);
        double actual = meanWait(queue(1, utilization / work, work, cv, (long) (150_000 / (utilization / work))), work);
        assertEquals(expected, actual, 0.03 * expected);
    }

    private static Model fleet(double rate, List<Model.Fault> faults) throws ConfigException {
        int[] zones = new int[20];
        Arrays.setAll(zones, p -> p % 2);
        double[] weights = new double[20];
        Arrays.fill(weights, 1);
        List<Model.BackendSpec> machines = new java.util.ArrayList<>();
        for (int b = 0; b < 10; b++) {
            machines.add(new Model.BackendSpec(b % 2, 0, 2, 2, 1, 4, 20, 200, 0.25, 8 * SECOND));
        }
        return new Model(site("2s", "rate"), 3 * SECOND, 40 * SECOND, 7 * SECOND, List.of(0, 1), zones, weights,
                machines, SECOND, 200_000, 1_000_000, rate, new double[] {0.6, 0.4}, new double[] {0.1, 0.1},
                new double[] {1, 1}, 1, 100_000_000, 0.9, faults);
    }

    @Test
    void sameSeedGivesSameOutcomeAndAnotherSeedDoesNot() throws ConfigException {
        List<Model.Fault> faults = List.of(new Model.Fault(Model.FaultKind.BACKENDS_DIE, 5 * SECOND, 5 * SECOND,
                new int[] {0, 1}, 1), new Model.Fault(Model.FaultKind.CONTROLLER_DIES, 12 * SECOND, 3 * SECOND,
                        new int[] {0}, 1));
        Model model = fleet(120, faults);
        assertEquals(digest(Emulator.run(model, 3)), digest(Emulator.run(model, 3)));
        assertTrue(!digest(Emulator.run(model, 3)).equals(digest(Emulator.run(model, 4))));
    }

    private static String digest(Outcome o) {
        return o.events() + Arrays.toString(o.goodBySecond()) + o.classes().get(1).latency.getMean();
    }

    @Test
    void lightLoadIsServedAndOverloadIsShedByLevel() throws ConfigException {
        Outcome light = Emulator.run(fleet(100, List.of()), 1);
        assertTrue(light.service() > 0.98, "service " + light.service());
        assertTrue(light.backends().stream().allMatch(b -> b.utilization > 0.2 && b.utilization < 0.8));
        Outcome overload = Emulator.run(fleet(320, List.of()), 1);
        assertTrue(overload.classes().get(0).rejectedByLevel > 1000,
                "rejected by level: " + overload.classes().get(0).rejectedByLevel);
        assertTrue(overload.service(1) > overload.service(0), "the class of higher worth is served first");
        assertTrue(overload.littlesLawError() < 1e-9);
    }

    @Test
    void faultsReduceServiceAndServiceRecovers() throws ConfigException {
        int[] all = {0, 2, 4, 6, 8};
        for (Model.Fault fault : List.of(
                new Model.Fault(Model.FaultKind.BACKENDS_DIE, 8 * SECOND, 8 * SECOND, all, 1),
                new Model.Fault(Model.FaultKind.BACKENDS_SLOW, 8 * SECOND, 8 * SECOND, all, 6),
                new Model.Fault(Model.FaultKind.BURST, 8 * SECOND, 8 * SECOND, new int[0], 3))) {
            Outcome outcome = Emulator.run(fleet(130, List.of(fault)), 1);
            double during = serviceBetween(outcome, 8, 16);
            double after = serviceBetween(outcome, 30, 40);
            assertTrue(during < after - 0.02, fault.kind() + ": " + during + " during, " + after + " after");
            assertTrue(after > 0.95, fault.kind() + ": " + after + " after");
        }
        for (Model.Fault fault : List.of(
                new Model.Fault(Model.FaultKind.CONTROLLER_DIES, 8 * SECOND, 5 * SECOND, new int[] {0}, 1),
                new Model.Fault(Model.FaultKind.ROSTER_DOWN, 8 * SECOND, 8 * SECOND, new int[0], 1),
                new Model.Fault(Model.FaultKind.PROXIES_CUT, 8 * SECOND, 8 * SECOND, all, 1))) {
            double service = Emulator.run(fleet(100, List.of(fault)), 1).service();
            assertTrue(service > 0.97, fault.kind() + ": " + service);
        }
    }

    private static double serviceBetween(Outcome outcome, int from, int to) {
        double good = 0;
        double offered = 0;
        for (int s = from; s < to; s++) {
            good += outcome.goodBySecond()[s];
            offered += outcome.offeredBySecond()[s];
        }
        return good / offered;
    }

    @Test
    void zeroLoadAndSingleBackendRun() throws ConfigException {
        Outcome noLoad = Emulator.run(fleet(0, List.of()), 1);
        assertEquals(0, noLoad.classes().get(0).offered);
        assertEquals(1.0, noLoad.service());
        Model one = fleet(10, List.of()).withBackends(Collections.nCopies(1, new Model.BackendSpec(0, 0, 1, 2, 1, 4, 20,
                200, 0.25, SECOND)));
        assertTrue(Emulator.run(one, 1).service() > 0.95);
    }

    @Test
    void connectionLimitOfBackendIsNotExceeded() throws ConfigException {
        Model limited = fleet(200, List.of()).withBackends(Collections.nCopies(10,
                new Model.BackendSpec(0, 0, 2, 2, 1, 40, 200, 12, 0.25, SECOND)));
        Outcome outcome = Emulator.run(limited, 1);
        assertTrue(outcome.backends().stream().allMatch(b -> b.maxConnections <= 12));
        assertTrue(outcome.backends().stream().anyMatch(b -> b.refusedConnections > 0));
    }
}
