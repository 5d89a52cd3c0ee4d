package rowanmoor.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rowanmoor.http.OrcaLoadReport;

/** Which figures of a load report are passed on, and in which order. */
public record LoadColumns(List<String> names) {

    private static final Map<String, String> ORCA_NAMES = Map.of(
            "busy", "cpu_utilization",
            "rate", "rps_fractional",
            "fail-rate", "eps",
            "queue", "named_metrics.queue",
            "inflight", "named_metrics.inflight",
            "latency-ms", "named_metrics.latency_ms");

    /** A column's name in ORCA's terms. */
    public static String orcaName(String column) {
        return ORCA_NAMES.get(column);
    }

    /** The figures of an answer's field; empty if there is none, or if one of them is missing. */
    public List<Double> parse(String field) {
        Map<String, Double> figures = OrcaLoadReport.parse(field);
        List<Double> values = new ArrayList<>(names.size());
        for (String name : names) {
            Double value = figures.get(ORCA_NAMES.get(name));
            if (value == null) {
                return List.of();
            }
            values.add(value);
        }
        return List.copyOf(values);
    }
}
