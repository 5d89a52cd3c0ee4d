package rowanmoor.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rowanmoor.http.OrcaLoadReport;

/**
 * The metrics of a load report that are passed on to the decision module.
 *
 * @param names column names as in the settings, in the order in which their values are passed on
 */
public record LoadColumns(List<String> names) {

    private static final Map<String, String> ORCA_NAMES = Map.of(
            "busy", "cpu_utilization",
            "rate", "rps_fractional",
            "fail-rate", "eps",
            "queue", "named_metrics.queue",
            "inflight", "named_metrics.inflight",
            "latency-ms", "named_metrics.latency_ms");

    /** Returns a column's name in ORCA (Open Request Cost Aggregation) load reports. */
    public static String orcaName(String column) {
        return ORCA_NAMES.get(column);
    }

    /** Parses a response's load field; returns an empty list if it is absent or lacks one of the columns. */
    public List<Double> parse(String field) {
        Map<String, Double> metrics = OrcaLoadReport.parse(field);
        List<Double> values = new ArrayList<>(names.size());
        for (String name : names) {
            Double value = metrics.get(ORCA_NAMES.get(name));
            if (value == null) {
                return List.of();
            }
            values.add(value);
        }
        return List.copyOf(values);
    }
}
