package rowanmoor;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Members;

/**
 * Measures log volume and decision time with 364 proxies under overload, and how lines and decision time grow
 * while machines are replaced. Run by hand, not in CI.
 */
final class DecisionBenchmark {

    private DecisionBenchmark() { }

    public static void main(String[] args) {
        measureOverload(100);
        measureOverload(600);
        measureReplacedMachines(500);
        measureReplacedMachines(5000);
    }

    private static void measureOverload(int rounds) {
        PolicyHarness harness = new PolicyHarness(TestSettings.large(364)).startInOneBatch(120, 364)
                .advance20Seconds();
        double[] micros = new double[rounds];
        long lines = 0;
        long characters = 0;
        for (int i = 0; i < rounds; i++) {
            boolean calm = i < 8;
            for (int p = 0; p < 364; p++) {
                harness.reportUsage(p, 0, 12);
            }
            long before = System.nanoTime();
            harness.reportRound(120, 2, b -> calm ? 0 : 3,
                    b -> calm ? 100 * TestSettings.MS : 700 * TestSettings.MS);
            micros[i] = (System.nanoTime() - before) / 1e3;
            for (var action : harness.lastActions) {
                lines += action instanceof Log ? 1 : 0;
                characters += action instanceof Log log ? log.text().length() : 0;
            }
            harness.allActions.clear();
        }
        Arrays.sort(micros);
        System.out.printf(Locale.ROOT,
                "364 proxies limited, %d rounds: %.3f log lines a round, %.0f characters a round; "
                + "a round's events and decision p50 %.0f us, p99 %.0f us%n", rounds, (double) lines / rounds,
                (double) characters / rounds, micros[rounds / 2], micros[rounds * 99 / 100]);
    }

    private static void measureReplacedMachines(int machines) {
        PolicyHarness harness = new PolicyHarness(TestSettings.plain()).start(4, 2);
        double lastMicros = 0;
        for (int i = 4; i < machines + 4; i++) {
            harness.now += 4 * TestSettings.SECOND;
            long before = System.nanoTime();
            harness.handle(new Members(CatalogUpdateKind.DELTA, i,
                    List.of(PolicyHarness.member(i - 4, i % 2, Availability.GONE, 0),
                    PolicyHarness.member(i, i % 2, Availability.READY, 0))));
            harness.advanceOneSecond();
            lastMicros += i >= machines - 96 ? (System.nanoTime() - before) / 1e3 / 100 : 0;
            harness.allActions.clear();
        }
        long lines = harness.tables.get(harness.boundTables.get(0).get(0)).values().stream()
                .filter(w -> w > 0).count();
        System.out.printf(Locale.ROOT,
                "%d machines replaced: %d lines a table, the last hundred changes %.0f us each%n",
                machines, lines, lastMicros);
    }
}
