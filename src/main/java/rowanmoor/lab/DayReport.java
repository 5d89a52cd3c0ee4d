package rowanmoor.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rowanmoor.standin.Clients;

/** Reports a day as text and, in a directory, as JSON lines and charts. */
public final class DayReport {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double NS_PER_SECOND = 1e9;

    private DayReport() { }

    /** The report text that the command prints. */
    public static String text(DayResult played) {
        StringBuilder text = new StringBuilder();
        DayFile day = played.day();
        line(text, "%s, seed %d: %d controllers, %d proxies, %d backends, %.0f requests a second, %.0f s",
                day.name(), day.seed(), day.controllerZones().size(), day.proxies(), day.backendCount(),
                day.rate(), day.length() / NS_PER_SECOND);
        line(text, "%n%-32s %10s %10s  %s", "rule", "limit", "worst", "");
        for (RuleChecker.Verdict v : played.verdicts()) {
            line(text, "%-32s %10.3f %10.3f  %s%s", v.rule(), v.limit(), v.worst(),
                    v.broken() ? "BROKEN " : "kept", v.broken() ? v.first() : " (" + v.unit() + ")");
        }
        line(text, "%n%-16s %8s %8s %6s %7s %8s %10s %10s", "class", "offered", "good", "late", "failed",
                "service", "p50 ms", "p99 ms");
        for (int c = 0; c < played.classTotals().size(); c++) {
            Clients.ClassStats met = played.classTotals().get(c);
            line(text, "%-16s %8d %8d %6d %7d %8.3f %10.1f %10.1f", day.site().classNames().get(c),
                    met.offered,
                    met.good, met.late, met.failed, played.service(c),
                    met.latency.getValueAtPercentile(50) / 1000.0,
                    met.latency.getValueAtPercentile(99) / 1000.0);
        }
        line(text, "%-16s %8s %8s %6s %7s %8.3f", "all, by worth", "", "", "", "", played.service(-1));
        changes(text, played);
        line(text, "most sent to a cold backend: %.2f of its capacity (it falls at %.2f)",
                played.worstColdOverload(),
                day.site().rules().overloadFactor());
        stats(text, played);
        played.faults().forEach(f -> line(text, "fault: %s", f));
        played.unmetExpectations().forEach(u -> line(text, "expectation: %s", u));
        line(text, "%n%s", played.passed() ? "passed" : "FAILED");
        return text.toString();
    }

    private static void line(StringBuilder text, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }

    private static void changes(StringBuilder text, DayResult played) {
        List<Double> took = new ArrayList<>(played.changeLatenciesMs());
        took.sort(null);
        if (!took.isEmpty()) {
            line(text, "%nfrom a roster change to the last proxy's next message: %d changes, p50 %.0f ms,"
                    + " p99 %.0f ms, max %.0f ms", took.size(), at(took, 0.5), at(took, 0.99),
                    took.get(took.size() - 1));
        }
    }

    private static double at(List<Double> sorted, double quantile) {
        return sorted.get((int) Math.min(sorted.size() - 1, Math.floor(quantile * sorted.size())));
    }

    private static void stats(StringBuilder text, DayResult played) {
        for (int rank = 0; rank < played.day().controllerZones().size(); rank++) {
            int wanted = rank;
            JsonNode last = played.stats().stream().filter(s -> s.get("rank").asInt() == wanted)
                    .reduce((a, b) -> b).orElse(null);
            if (last != null) {
                line(text, "controller %d: %d decisions, p50 %d us, p99 %d us, max %d us; CPU %d ms;"
                        + " heap %d MiB; most lines waiting %d; most report lines waiting %d", rank,
                        last.get("decides").asLong(), last.get("decideP50us").asLong(),
                        last.get("decideP99us").asLong(), last.get("decideMaxUs").asLong(),
                        last.get("cpuMs").asLong(), last.get("heapBytes").asLong() >> 20,
                        last.get("mostWaiting").asLong(), last.get("mostReportsWaiting").asLong());
            }
        }
    }

    /** Writes the text, outcomes, verdicts, statistics and charts into a directory. */
    public static void write(DayResult played, Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.writeString(directory.resolve("report.txt"), text(played));
        try (BufferedWriter out = Files.newBufferedWriter(directory.resolve("day.jsonl"))) {
            for (RuleChecker.Verdict verdict : played.verdicts()) {
                ObjectNode node = JSON.valueToTree(verdict);
                out.write(node.put("what", "verdict").toString() + "\n");
            }
            for (Clients.RequestOutcome outcome : played.outcomes()) {
                ObjectNode node = JSON.createObjectNode().put("what", "outcome")
                        .put("atMs", (outcome.arrivedAt() - played.evidence().start()) / 1e6)
                        .put("class", played.day().site().classNames().get(outcome.cls()))
                        .put("tookMs", outcome.latencyNs() / 1e6).put("answered", outcome.answered());
                out.write(node + "\n");
            }
            for (JsonNode stat : played.stats()) {
                out.write(((ObjectNode) stat.deepCopy()).put("what", "stats") + "\n");
            }
        }
        new Charts(played, directory).write();
    }
}
