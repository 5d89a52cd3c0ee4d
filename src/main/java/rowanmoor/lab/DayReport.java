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
    public static String text(DayResult result) {
        StringBuilder text = new StringBuilder();
        DayFile day = result.day();
        line(text, "%s, seed %d: %d controllers, %d proxies, %d backends, %.0f requests a second, %.0f s",
                day.name(), day.seed(), day.controllerZones().size(), day.proxies(), day.backendCount(),
                day.rate(), day.length() / NS_PER_SECOND);
        line(text, "%n%-32s %10s %10s  %s", "rule", "limit", "worst", "");
        for (RuleChecker.Verdict verdict : result.verdicts()) {
            line(text, "%-32s %10.3f %10.3f  %s%s", verdict.rule(), verdict.limit(), verdict.worst(),
                    verdict.broken() ? "BROKEN " : "kept",
                    verdict.broken() ? verdict.first() : " (" + verdict.unit() + ")");
        }
        line(text, "%n%-16s %8s %8s %6s %7s %8s %10s %10s", "class", "offered", "good", "late", "failed",
                "service", "p50 ms", "p99 ms");
        for (int cls = 0; cls < result.classTotals().size(); cls++) {
            Clients.ClassStats stats = result.classTotals().get(cls);
            line(text, "%-16s %8d %8d %6d %7d %8.3f %10.1f %10.1f", day.site().classNames().get(cls),
                    stats.offered, stats.good, stats.late, stats.failed, result.service(cls),
                    stats.latency.getValueAtPercentile(50) / 1000.0,
                    stats.latency.getValueAtPercentile(99) / 1000.0);
        }
        line(text, "%-16s %8s %8s %6s %7s %8.3f", "all, by worth", "", "", "", "", result.service(-1));
        appendChangeLatencies(text, result);
        line(text, "most sent to a cold backend: %.2f of its capacity (it falls at %.2f)",
                result.worstColdOverload(), day.site().rules().overloadFactor());
        appendControllerStats(text, result);
        result.faults().forEach(fault -> line(text, "fault: %s", fault));
        result.unmetExpectations().forEach(unmet -> line(text, "expectation: %s", unmet));
        line(text, "%n%s", result.passed() ? "passed" : "FAILED");
        return text.toString();
    }

    private static void line(StringBuilder text, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }

    private static void appendChangeLatencies(StringBuilder text, DayResult result) {
        List<Double> latenciesMs = new ArrayList<>(result.changeLatenciesMs());
        latenciesMs.sort(null);
        if (!latenciesMs.isEmpty()) {
            line(text, "%nfrom a roster change to the last proxy's next message: %d changes, p50 %.0f ms,"
                    + " p99 %.0f ms, max %.0f ms", latenciesMs.size(), quantile(latenciesMs, 0.5),
                    quantile(latenciesMs, 0.99), latenciesMs.get(latenciesMs.size() - 1));
        }
    }

    private static double quantile(List<Double> sorted, double fraction) {
        return sorted.get((int) Math.min(sorted.size() - 1, Math.floor(fraction * sorted.size())));
    }

    private static void appendControllerStats(StringBuilder text, DayResult result) {
        for (int rank = 0; rank < result.day().controllerZones().size(); rank++) {
            int controllerRank = rank;
            JsonNode last = result.stats().stream().filter(stat -> stat.get("rank").asInt() == controllerRank)
                    .reduce((earlier, later) -> later).orElse(null);
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
    public static void write(DayResult result, Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.writeString(directory.resolve("report.txt"), text(result));
        try (BufferedWriter out = Files.newBufferedWriter(directory.resolve("day.jsonl"))) {
            for (RuleChecker.Verdict verdict : result.verdicts()) {
                ObjectNode node = JSON.valueToTree(verdict);
                out.write(node.put("what", "verdict").toString() + "\n");
            }
            for (Clients.RequestOutcome outcome : result.outcomes()) {
                ObjectNode node = JSON.createObjectNode().put("what", "outcome")
                        .put("atMs", (outcome.arrivedAt() - result.evidence().start()) / 1e6)
                        .put("class", result.day().site().classNames().get(outcome.cls()))
                        .put("tookMs", outcome.latencyNs() / 1e6).put("answered", outcome.answered());
                out.write(node + "\n");
            }
            for (JsonNode stat : result.stats()) {
                out.write(((ObjectNode) stat.deepCopy()).put("what", "stats") + "\n");
            }
        }
        new Charts(result, directory).write();
    }
}
