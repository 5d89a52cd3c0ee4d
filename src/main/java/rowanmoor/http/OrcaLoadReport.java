package rowanmoor.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Load reports in responses: the {@code endpoint-load-metrics} field of ORCA (Open Request Cost Aggregation)
 * in its TEXT form, {@code TEXT cpu_utilization=0.3, rps_fractional=12, named_metrics.queue=4}.
 */
public final class OrcaLoadReport {

    /** The name of the header field. */
    public static final String HEADER_NAME = "endpoint-load-metrics";
    private static final String TEXT_PREFIX = "TEXT ";
    private static final int MAX_ENTRIES = 32;

    private OrcaLoadReport() { }

    /** The metrics by name; empty for another format. Skips what is not a finite, non-negative number. */
    public static Map<String, Double> parse(String field) {
        Map<String, Double> metrics = new LinkedHashMap<>();
        if (field == null || !field.startsWith(TEXT_PREFIX)) {
            return metrics;
        }
        for (String entry : field.substring(TEXT_PREFIX.length()).split(",", MAX_ENTRIES + 1)) {
            int equals = entry.indexOf('=');
            if (equals > 0 && metrics.size() < MAX_ENTRIES) {
                try {
                    double value = Double.parseDouble(entry.substring(equals + 1).trim());
                    if (Double.isFinite(value) && value >= 0) {
                        metrics.put(entry.substring(0, equals).trim(), value);
                    }
                } catch (NumberFormatException e) {
                    // an unreadable metric counts as not reported
                }
            }
        }
        return metrics;
    }

    /** The header field's value for these metrics. */
    public static String format(Map<String, Double> metrics) {
        StringBuilder text = new StringBuilder(TEXT_PREFIX);
        metrics.forEach((name, value) -> text.append(text.length() > TEXT_PREFIX.length() ? ", " : "")
                .append(name).append('=').append(value));
        return text.toString();
    }
}
