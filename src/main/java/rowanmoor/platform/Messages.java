package rowanmoor.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rowanmoor.settings.SettingsReader.Told;

/**
 * Field lists to typed messages: the kind, then names and values in turn. A bad field names itself; fields
 * of other names are skipped. No I/O.
 */
final class Messages {

    private static final double NS_PER_MS = 1e6;
    private static final double MAX_DURATION_MS = 3_600_000; // an hour: no honest span or latency is longer
    private static final double MAX_REQUESTS_PER_SECOND = 1e6;
    private static final long MAX_COUNT = 100_000_000;
    private static final int MARK_COUNT = 65536;

    /** The settings' words for a load report's figures, and the sockets'. */
    private static final Map<String, String> WIRE_METRIC_NAMES = Map.of("q", "queue", "rif", "inflight", "busy", "util",
            "lat_ms", "latency_ms", "rate", "qps", "fail_rate", "eps");

    private final Told parsedSettings;

    Messages(Told told) {
        this.parsedSettings = told;
    }

    Message parse(List<String> parts) throws MalformedMessageException {
        String kind = parts.get(0);
        if (parts.size() % 2 == 0) {
            throw new MalformedMessageException(sanitize(kind) + ": a field without a value");
        }
        Map<String, String> fields = new HashMap<>();
        for (int i = 1; i < parts.size(); i += 2) {
            if (fields.put(parts.get(i), parts.get(i + 1)) != null) {
                throw new MalformedMessageException(sanitize(kind) + " " + sanitize(parts.get(i)) + ": given twice");
            }
        }
        Fields from = new Fields(kind, fields);
        return switch (kind) {
            case "probe" -> new Message.Probe();
            case "agent" -> new Message.Agent(from.indexIn("locality", parsedSettings.zones()));
            case "hello" -> new Message.Hello(from.proxy(), from.indexIn("locality", parsedSettings.zones()),
                    from.decimal("w", MAX_REQUESTS_PER_SECOND), from.integer("cold", 1) == 1);
            case "ack" -> new Message.Ack(from.proxy(), (int) from.integer("nonce", MARK_COUNT - 1),
                    from.durationNs("latency"));
            case "outcomes" -> outcomes(from);
            case "demand" -> demand(from);
            default -> throw new MalformedMessageException("no kind that is heard here: " + sanitize(kind));
        };
    }

    private Message outcomes(Fields from) throws MalformedMessageException {
        long tries = from.integer("total", MAX_COUNT);
        long failed = from.integer("errors", tries);
        long latency = tries > failed || from.has("rtt") ? from.durationNs("rtt") : 0;
        List<Double> load = from.has("metrics")
                ? parseLoad(from.kind, from.text("metrics"), ":", parsedSettings.columns()) : List.of();
        return new Message.Outcomes(from.text("endpoint"), from.indexIn("locality", parsedSettings.zones()), tries,
                failed, tries > failed ? latency : 0, from.intervalNs(), load);
    }

    private Message demand(Fields from) throws MalformedMessageException {
        long requests = from.integer("total", MAX_COUNT);
        // What came in one interval may fail in the next: errors are not bounded by the total.
        return new Message.Demand(from.proxy(), from.indexIn("route", parsedSettings.classes()), requests,
                from.integer("errors", MAX_COUNT), from.intervalNs());
    }

    /** A load report's figures in the settings' order; empty if one of them is missing. */
    static List<Double> parseLoad(String what, String text, String between, List<String> columns)
            throws MalformedMessageException {
        Map<String, Double> figures = new HashMap<>();
        for (String pair : text.isEmpty() ? new String[0] : text.split(",")) {
            int at = pair.indexOf(between);
            if (at <= 0) {
                throw new MalformedMessageException(what + " metrics: not a name and a value: " + sanitize(pair));
            }
            figures.put(pair.substring(0, at).trim(),
                    parseNumber(what + " metrics", pair.substring(at + 1).trim(), Double.MAX_VALUE));
        }
        List<Double> values = new ArrayList<>(columns.size());
        for (String column : columns) {
            Double value = figures.getOrDefault(WIRE_METRIC_NAMES.getOrDefault(column, column), figures.get(column));
            if (value == null) {
                return List.of();
            }
            values.add(value);
        }
        return List.copyOf(values);
    }

    private static double parseNumber(String what, String text, double most) throws MalformedMessageException {
        double value = Double.NaN;
        // Letters would let in what Java takes for numbers and the platform does not: 1f, 0x1p3, NaN.
        if (text.length() <= 40 && text.chars().allMatch(c -> "0123456789.+-eE".indexOf(c) >= 0)) {
            try {
                value = Double.parseDouble(text);
            } catch (NumberFormatException e) {
                // told below, with the field
            }
        }
        if (!(value >= 0 && value <= most)) {
            throw new MalformedMessageException(what + ": no number, or out of range: " + sanitize(text));
        }
        return value;
    }

    /** What peers sent, short enough and plain enough for a log. */
    static String sanitize(String text) {
        String plain = text.length() > 40 ? text.substring(0, 40) + "..." : text;
        return plain.replaceAll("[^\\x20-\\x7e]", "?");
    }

    /** A message's fields. */
    private final class Fields {
        private final String kind;
        private final Map<String, String> fields;

        Fields(String kind, Map<String, String> fields) {
            this.kind = kind;
            this.fields = fields;
        }

        boolean has(String field) {
            return fields.containsKey(field);
        }

        String text(String field) throws MalformedMessageException {
            String value = fields.get(field);
            if (value == null) {
                throw new MalformedMessageException(kind + " " + field + ": missing");
            }
            return value;
        }

        double decimal(String field, double most) throws MalformedMessageException {
            return parseNumber(kind + " " + field, text(field), most);
        }

        long integer(String field, long most) throws MalformedMessageException {
            String text = text(field);
            if (text.isEmpty() || text.length() > 10 || !text.chars().allMatch(c -> c >= '0' && c <= '9')
                    || Long.parseLong(text) > most) {
                throw new MalformedMessageException(
                        kind + " " + field + ": no whole number, or out of range: " + sanitize(text));
            }
            return Long.parseLong(text);
        }

        int proxy() throws MalformedMessageException {
            return (int) integer("node", parsedSettings.settings().proxies() - 1);
        }

        int indexIn(String field, List<String> names) throws MalformedMessageException {
            int place = names.indexOf(text(field));
            if (place < 0) {
                throw new MalformedMessageException(kind + " " + field + ": unknown: " + sanitize(text(field)));
            }
            return place;
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
