package rowanmoor.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rowanmoor.settings.SettingsReader.NamedSettings;

/**
 * Parses received field lists into typed messages. A list is the kind followed by alternating field names and
 * values. Errors name the bad field; unknown fields are ignored. No I/O.
 */
final class Messages {

    private static final double NS_PER_MS = 1e6;
    private static final double MAX_DURATION_MS = 3_600_000; // one hour; no valid span or latency is longer
    private static final double MAX_REQUESTS_PER_SECOND = 1e6;
    private static final long MAX_COUNT = 100_000_000;
    private static final int MARK_COUNT = 65536;

    /** Load report columns as the settings name them, and as they are named on the wire. */
    private static final Map<String, String> WIRE_METRIC_NAMES = Map.of(
            "q", "queue", "rif", "inflight", "busy", "util",
            "lat_ms", "latency_ms", "rate", "qps", "fail_rate", "eps");

    private final NamedSettings namedSettings;

    Messages(NamedSettings namedSettings) {
        this.namedSettings = namedSettings;
    }

    /** Parses one message of at least one part; throws if the kind is unknown or a field is invalid. */
    Message parse(List<String> parts) throws MalformedMessageException {
        String kind = parts.get(0);
        if (parts.size() % 2 == 0) {
            throw new MalformedMessageException(sanitize(kind) + ": a field without a value");
        }
        Map<String, String> values = new HashMap<>();
        for (int i = 1; i < parts.size(); i += 2) {
            if (values.put(parts.get(i), parts.get(i + 1)) != null) {
                throw new MalformedMessageException(
                        sanitize(kind) + " " + sanitize(parts.get(i)) + ": given twice");
            }
        }
        Fields fields = new Fields(kind, values);
        return switch (kind) {
            case "probe" -> new Message.Probe();
            case "agent" -> new Message.Agent(fields.indexIn("locality", namedSettings.zones()));
            case "hello" -> new Message.Hello(fields.proxy(),
                    fields.indexIn("locality", namedSettings.zones()),
                    fields.decimal("w", MAX_REQUESTS_PER_SECOND), fields.integer("cold", 1) == 1);
            case "ack" -> new Message.Ack(fields.proxy(), (int) fields.integer("nonce", MARK_COUNT - 1),
                    fields.durationNs("latency"));
            case "outcomes" -> outcomes(fields);
            case "demand" -> demand(fields);
            default -> throw new MalformedMessageException("no kind that is heard here: " + sanitize(kind));
        };
    }

    private Message outcomes(Fields fields) throws MalformedMessageException {
        long tries = fields.integer("total", MAX_COUNT);
        long failed = fields.integer("errors", tries);
        long latency = tries > failed || fields.has("rtt") ? fields.durationNs("rtt") : 0;
        List<Double> load = fields.has("metrics")
                ? parseLoad(fields.kind, fields.text("metrics"), ":", namedSettings.columns()) : List.of();
        return new Message.Outcomes(fields.text("endpoint"),
                fields.indexIn("locality", namedSettings.zones()), tries, failed,
                tries > failed ? latency : 0, fields.intervalNs(), load);
    }

    private Message demand(Fields fields) throws MalformedMessageException {
        long requests = fields.integer("total", MAX_COUNT);
        // Not bounded by the total: a request may arrive in one interval and fail in the next.
        return new Message.Demand(fields.proxy(), fields.indexIn("route", namedSettings.classes()), requests,
                fields.integer("errors", MAX_COUNT), fields.intervalNs());
    }

    /**
     * Parses a load report into values in the settings' column order; empty if one of them is missing.
     *
     * @param source what sent the report, for error texts
     * @param separator what stands between a name and its value
     */
    static List<Double> parseLoad(String source, String text, String separator, List<String> columns)
            throws MalformedMessageException {
        Map<String, Double> metrics = new HashMap<>();
        for (String pair : text.isEmpty() ? new String[0] : text.split(",")) {
            int at = pair.indexOf(separator);
            if (at <= 0) {
                throw new MalformedMessageException(
                        source + " metrics: not a name and a value: " + sanitize(pair));
            }
            metrics.put(pair.substring(0, at).trim(),
                    parseNumber(source + " metrics", pair.substring(at + 1).trim(), Double.MAX_VALUE));
        }
        List<Double> values = new ArrayList<>(columns.size());
        for (String column : columns) {
            Double value = metrics.getOrDefault(WIRE_METRIC_NAMES.getOrDefault(column, column),
                    metrics.get(column));
            if (value == null) {
                return List.of();
            }
            values.add(value);
        }
        return List.copyOf(values);
    }

    private static double parseNumber(String source, String text, double max)
            throws MalformedMessageException {
        double value = Double.NaN;
        // Java parses 1f, 0x1p3 and NaN as numbers, but the platform's protocol does not allow them.
        if (text.length() <= 40 && text.chars().allMatch(c -> "0123456789.+-eE".indexOf(c) >= 0)) {
            try {
                value = Double.parseDouble(text);
            } catch (NumberFormatException e) {
                // reported below, with the field
            }
        }
        if (!(value >= 0 && value <= max)) {
            throw new MalformedMessageException(source + ": no number, or out of range: " + sanitize(text));
        }
        return value;
    }

    /** Cuts text from a peer to 40 characters and replaces all but printable ASCII, for logs and errors. */
    static String sanitize(String text) {
        String plain = text.length() > 40 ? text.substring(0, 40) + "..." : text;
        return plain.replaceAll("[^\\x20-\\x7e]", "?");
    }

    /** Typed access to a message's fields; all getters throw if the field is missing or invalid. */
    private final class Fields {
        private final String kind;
        private final Map<String, String> values;

        Fields(String kind, Map<String, String> values) {
            this.kind = kind;
            this.values = values;
        }

        boolean has(String field) {
            return values.containsKey(field);
        }

        String text(String field) throws MalformedMessageException {
            String value = values.get(field);
            if (value == null) {
                throw new MalformedMessageException(kind + " " + field + ": missing");
            }
            return value;
        }

        double decimal(String field, double max) throws MalformedMessageException {
            return parseNumber(kind + " " + field, text(field), max);
        }

        long integer(String field, long max) throws MalformedMessageException {
            String text = text(field);
            if (text.isEmpty() || text.length() > 10 || !text.chars().allMatch(c -> c >= '0' && c <= '9')
                    || Long.parseLong(text) > max) {
                throw new MalformedMessageException(
                        kind + " " + field + ": no whole number, or out of range: " + sanitize(text));
            }
            return Long.parseLong(text);
        }

        int proxy() throws MalformedMessageException {
            return (int) integer("node", namedSettings.settings().proxies() - 1);
        }

        int indexIn(String field, List<String> names) throws MalformedMessageException {
            int index = names.indexOf(text(field));
            if (index < 0) {
                throw new MalformedMessageException(
                        kind + " " + field + ": unknown: " + sanitize(text(field)));
            }
            return index;
        }

        long durationNs(String field) throws MalformedMessageException {
            return Math.round(decimal(field, MAX_DURATION_MS) * NS_PER_MS);
        }

        long intervalNs() throws MalformedMessageException {
            long span = durationNs("interval");
            if (span <= 0) {
                throw new MalformedMessageException(kind + " interval: nothing was counted over no time");
            }
            return span;
        }
    }
}
