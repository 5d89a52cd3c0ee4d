package rowanmoor.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rowanmoor.settings.SettingsReader.NamedSettings;

/**
 * Field lists to typed messages: the kind, then names and values in turn. A bad field names itself; fields
 * of other names are skipped. No I/O.
 */
final class Messages {

    private static final double MILLI = 1e6;
    private static final double MILLIS_MOST = 3_600_000; // an hour: no honest span or latency is longer
    private static final double RATE_MOST = 1e6;
    private static final long COUNT_MOST = 100_000_000;
    private static final int MARKS = 65536;

    /** The settings' words for a load report's figures, and the sockets'. */
    private static final Map<String, String> FIGURES = Map.of("q", "queue", "rif", "inflight", "busy", "util",
            "lat_ms", "latency_ms", "rate", "qps", "fail_rate", "eps");

    private final NamedSettings told;

    Messages(NamedSettings told) {
        this.told = told;
    }

    Message read(List<String> parts) throws MalformedMessageException {
        String kind = parts.get(0);
        if (parts.size() % 2 == 0) {
            throw new MalformedMessageException(cut(kind) + ": a field without a value");
        }
        Map<String, String> fields = new HashMap<>();
        for (int i = 1; i < parts.size(); i += 2) {
            if (fields.put(parts.get(i), parts.get(i + 1)) != null) {
                throw new MalformedMessageException(cut(kind) + " " + cut(parts.get(i)) + ": given twice");
            }
        }
        From from = new From(kind, fields);
        return switch (kind) {
            case "probe" -> new Message.Probe();
            case "agent" -> new Message.Agent(from.place("locality", told.zones()));
            case "hello" -> new Message.Hello(from.proxy(), from.place("locality", told.zones()),
                    from.number("w", RATE_MOST), from.whole("cold", 1) == 1);
            case "ack" -> new Message.Ack(from.proxy(), (int) from.whole("nonce", MARKS - 1),
                    from.time("latency"));
            case "outcomes" -> outcomes(from);
            case "demand" -> demand(from);
            default -> throw new MalformedMessageException("no kind that is heard here: " + cut(kind));
        };
    }

    private Message outcomes(From from) throws MalformedMessageException {
        long tries = from.whole("total", COUNT_MOST);
        long failed = from.whole("errors", tries);
        long latency = tries > failed || from.has("rtt") ? from.time("rtt") : 0;
        List<Double> load = from.has("metrics")
                ? load(from.kind, from.text("metrics"), ":", told.columns()) : List.of();
        return new Message.Outcomes(from.text("endpoint"), from.place("locality", told.zones()), tries,
                failed, tries > failed ? latency : 0, from.span(), load);
    }

    private Message demand(From from) throws MalformedMessageException {
        long requests = from.whole("total", COUNT_MOST);
        // What came in one interval may fail in the next: errors are not bounded by the total.
        return new Message.Demand(from.proxy(), from.place("route", told.classes()), requests,
                from.whole("errors", COUNT_MOST), from.span());
    }

    /** A load report's figures in the settings' order; empty if one of them is missing. */
    static List<Double> load(String what, String text, String between, List<String> columns)
            throws MalformedMessageException {
        Map<String, Double> figures = new HashMap<>();
        for (String pair : text.isEmpty() ? new String[0] : text.split(",")) {
            int at = pair.indexOf(between);
            if (at <= 0) {
                throw new MalformedMessageException(what + " metrics: not a name and a value: " + cut(pair));
            }
            figures.put(pair.substring(0, at).trim(),
                    figure(what + " metrics", pair.substring(at + 1).trim(), Double.MAX_VALUE));
        }
        List<Double> values = new ArrayList<>(columns.size());
        for (String column : columns) {
            Double value = figures.getOrDefault(FIGURES.getOrDefault(column, column), figures.get(column));
            if (value == null) {
                return List.of();
            }
            values.add(value);
        }
        return List.copyOf(values);
    }

    private static double figure(String what, String text, double most) throws MalformedMessageException {
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
            throw new MalformedMessageException(what + ": no number, or out of range: " + cut(text));
        }
        return value;
    }

    /** What peers sent, short enough and plain enough for a log. */
    static String cut(String text) {
        String plain = text.length() > 40 ? text.substring(0, 40) + "..." : text;
        return plain.replaceAll("[^\\x20-\\x7e]", "?");
    }

    /** A message's fields. */
    private final class From {
        private final String kind;
        private final Map<String, String> fields;

        From(String kind, Map<String, String> fields) {
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

        double number(String field, double most) throws MalformedMessageException {
            return figure(kind + " " + field, text(field), most);
        }

        long whole(String field, long most) throws MalformedMessageException {
            String text = text(field);
            if (text.isEmpty() || text.length() > 10 || !text.chars().allMatch(c -> c >= '0' && c <= '9')
                    || Long.parseLong(text) > most) {
                throw new MalformedMessageException(
                        kind + " " + field + ": no whole number, or out of range: " + cut(text));
            }
            return Long.parseLong(text);
        }

        int proxy() throws MalformedMessageException {
            return (int) whole("node", told.settings().proxies() - 1);
        }

        int place(String field, List<String> names) throws MalformedMessageException {
            int place = names.indexOf(text(field));
            if (place < 0) {
                throw new MalformedMessageException(kind + " " + field + ": unknown: " + cut(text(field)));
            }
            return place;
        }

        long time(String field) throws MalformedMessageException {
            return Math.round(number(field, MILLIS_MOST) * MILLI);
        }

        long span() throws MalformedMessageException {
            long span = time("interval");
            if (span <= 0) {
                throw new MalformedMessageException(kind + " interval: nothing was counted over no time");
            }
            return span;
        }
    }
}
