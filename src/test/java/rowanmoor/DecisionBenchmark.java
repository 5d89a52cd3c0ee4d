package rowanmoor;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import rowanmoor.ControlApi.ListKind;
import rowanmoor.ControlApi.Listed;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Members;

/** Measured by hand, not in CI: the record and the time of a decision with all proxies held, and growth. */
final class DecisionBenchmark {

    private DecisionBenchmark() { }

    public static void main(String[] args) {
        held(100);
        held(600);
        replaced(500);
        replaced(5000);
    }

    private static void held(int rounds) {
        PolicyHarness stand = new PolicyHarness(TestSettings.large(364)).startInOneBatch(120, 364).advanceUntilBound();
        double[] took = new double[rounds];
        long lines = 0;
        long chars = 0;
        for (int i = 0; i < rounds; i++) {
            boolean calm = i < 8;
            for (int p = 0; p < 364; p++) {
                stand.reportUsage(p, 0, 12);
            }
            long before = System.nanoTime();
            stand.reportRound(120, 2, b -> calm ? 0 : 3, b -> calm ? 100 * TestSettings.MS : 700 * TestSettings.MS);
            took[i] = (System.nanoTime() - before) / 1e3;
            for (var action : stand.lastActions) {
                lines += action instanceof Log ? 1 : 0;
                chars += action instanceof Log log ? log.text().length() : 0;
            }
            stand.allActions.clear();
        }
        Arrays.sort(took);
        System.out.printf(Locale.ROOT, "364 proxies held, %d rounds: %.3f log lines a round, %.0f characters a round; "
                + "a round's events and decision p50 %.0f us, p99 %.0f us%n", rounds, (double) lines / rounds,
                (double) chars / rounds, took[rounds / 2], took[rounds * 99 / 100]);
    }

    private static void replaced(int machines) {
        PolicyHarness stand = new PolicyHarness(TestSettings.plain()).start(4, 2);
        double last = 0;
        for (int i = 4; i < machines + 4; i++) {
            stand.now += 4 * TestSettings.SECOND;
            long before = System.nanoTime();
            stand.handle(new Members(ListKind.DELTA, i, List.of(PolicyHarness.member(i - 4, i % 2, Listed.GONE, 0),
                    PolicyHarness.member(i, i % 2, Listed.READY, 0))));
            stand.advanceOneSecond();
            last += i >= machines - 96 ? (System.nanoTime() - before) / 1e3 / 100 : 0;
            stand.allActions.clear();
        }
        long lines = stand.tables.get(stand.boundTables.get(0).get(0)).values().stream().filter(w -> w > 0).count();
        System.out.printf(Locale.ROOT, "%d machines replaced: %d lines a table, the last hundred changes %.0f us each%n",
                machines, lines, last);
    }
}
