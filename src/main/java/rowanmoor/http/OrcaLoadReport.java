package rowanmoor.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Load reports in answers: the {@code endpoint-load-metrics} field of ORCA (Open Request Cost Aggregation)
 * in its TEXT form, {@code TEXT cpu_utilization=0.3, rps_fractional=12, named_metrics.queue=4}.
 */
public final class OrcaLoadReport {

    public static final String HEADER_NAME = "endpoint-load-metrics";
    private static final String FORM = "TEXT ";
    private static final int ENTRIES_MOST = 32;

    private OrcaLoadReport() { }

    /** The figures by name; empty for another form. What is no finite, non-negative number is left out. */
    public static Map<String, Double> parse(String field) {
        Map<String, Double> figures = new LinkedHashMap<>();
        if (field == null || !field.startsWith(FORM)) {
            return figures;
        }
        for (String entry : field.substring(FORM.length()).split(",", ENTRIES_MOST + 1)) {
            int equals = entry.indexOf('=');
            if (equals > 0 && figures.size() < ENTRIES_MOST) {
                try {
                    double value = Double.parseDouble(entry.substring(equals + 1).trim());
                    if (Double.isFinite(value) && value >= 0) {
                        figures.put(entry.substring(0, equals).trim(), value);
                    }
                } catch (NumberFormatException e) {
                    // a figure that cannot be read is one that was not reported
                }
            }
        }
        return figures;
    }

    /** The field's value for these figures. */
    public static String format(Map<String, Double> figures) {
        StringBuilder text = new StringBuilder(FORM);
        figures.forEach((name, value) -> text.append(text.length() > FORM.length() ? ", " : "")
                .append(name).append('=').append(value));
        return text.toString();
    }
}
