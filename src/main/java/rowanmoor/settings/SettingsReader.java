package rowanmoor.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import rowanmoor.ControlApi.AdmissionMode;
import rowanmoor.ControlApi.Channel;
import rowanmoor.ControlApi.ClassSpec;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.DedupScope;
import rowanmoor.ControlApi.ReportColumns;
import rowanmoor.ControlApi.Rules;
import rowanmoor.ControlApi.Settings;

/**
 * Turns what an instance is told at its start into {@link Settings}: the path=value lines of the bench, or
 * the platform's nested object, flattened to the same paths. Keys it does not know are skipped.
 */
public final class SettingsReader {

    /**
     * The settings, and the names that the platform's messages use where the module counts.
     *
     * @param columns names of the load report's figures, in the settings' own words
     * @param tick least time between two decisions, ns
     */
    public record NamedSettings(Settings settings, List<String> zones, List<String> kinds, List<String> classes,
            List<String> columns, long tick) { }

    private final Map<String, String> values;

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** Reads path=value lines. */
    public static Settings parseLines(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
        return new SettingsReader(values).settings();
    }

    /** Reads a nested object of maps, lists, texts, numbers and truths. */
    public static NamedSettings fromTree(Map<String, Object> tree) {
        Map<String, String> values = new HashMap<>();
        tree.forEach((key, value) -> flatten(key, value, values));
        SettingsReader reader = new SettingsReader(values);
        Settings settings = reader.settings();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < settings.classes().size(); i++) {
            names.add(reader.text("classes." + i + ".name"));
        }
        return new NamedSettings(settings, reader.list("dcs"), reader.list("kinds"), List.copyOf(names),
                reader.list("report.columns"), Math.max(1, reader.time("tick_ns")));
    }

    /** The same paths as the bench's lines have: plain lists joined by commas, objects counted. */
    private static void flatten(String path, Object value, Map<String, String> into) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, inner) -> flatten(path + "." + key, inner, into));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            into.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), into);
            }
        } else if (value instanceof List<?> list) {
            into.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else {
            into.put(path, String.valueOf(value));
        }
    }

    private Settings settings() {
        List<ClassSpec> classes = new ArrayList<>();
        int count = whole("classes.count");
        if (count < 1 || count > 16) {
            throw new InvalidSettingsException("setting classes.count is out of range: " + count);
        }
        for (int i = 0; i < count; i++) {
            classes.add(classSpec(i));
        }
        return new Settings(whole("balancers"), list("dcs").size(), List.copyOf(classes),
                word("registry_mode", Map.of("pushed", false, "on_request", true)), flag("limits.probes"),
                word("extra.admission", Map.of("fraction", AdmissionMode.SHARE, "per_second", AdmissionMode.RATE,
                        "off", AdmissionMode.OFF)),
                whole("extra.ejects"), whole("extra.proxy_count"), whole("extra.key_ranges"),
                time("extra.interval_ns"), number("extra.hears_per_s"), number("penalties.cross_zone"),
                columns(), rules(), channel());
    }

    private ClassSpec classSpec(int i) {
        String at = "classes." + i + ".";
        return new ClassSpec(time(at + "aim_ns"), time(at + "deadline_ns"), number(at + "credit"),
                number(at + "late_worth"),
                word(at + "effect", Map.of("retryable", Idempotency.SAFE, "dedup", Idempotency.KEYED,
                        "fragile", Idempotency.UNSAFE)),
                word(at + "key_scope", Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell", DedupScope.CELL)),
                time(at + "window_ns"), listFlag("extra.mutating", i), listFlag("extra.home_only", i),
                places(at + "only_zones"), places(at + "only_kinds"));
    }

    private ReportColumns columns() {
        List<String> names = list("report.columns");
        return new ReportColumns(names.indexOf("q"), names.indexOf("busy"));
    }

    private Rules rules() {
        return new Rules(time("extra.blackhole_ns"), time("rules.drain_grace_ns"),
                time("rules.cold_ns"), number("rules.cold_from"),
                number("rules.overload_factor"), time("rules.fall_ns"),
                values.containsKey("rules.must_ask_in_ns") ? time("rules.must_ask_in_ns") : Long.MAX_VALUE);
    }

    private Channel channel() {
        return new Channel(number("extra.egress_per_s"), number("extra.per_message"),
                number("extra.most_waiting"), whole("extra.messages_most"), time("extra.update_window_ns"),
                time("extra.late_ns"), time("extra.transit_max_ns"));
    }

    private String text(String key) {
        String value = values.get(key);
        if (value == null) {
            throw new InvalidSettingsException("setting " + key + " is missing");
        }
        return value;
    }

    private double number(String key) {
        String value = text(key);
        try {
            double parsed = Double.parseDouble(value);
            if (Double.isFinite(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below, with the key
        }
        throw new InvalidSettingsException("setting " + key + " is not a number: " + value);
    }

    private int whole(String key) {
        double value = number(key);
        if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
            throw new InvalidSettingsException("setting " + key + " is not a whole number: " + text(key));
        }
        return (int) value;
    }

    private long time(String key) {
        return Math.round(number(key));
    }

    private boolean flag(String key) {
        return word(key, Map.of("true", true, "false", false));
    }

    private <T> T word(String key, Map<String, T> words) {
        T meaning = words.get(text(key));
        if (meaning == null) {
            throw new InvalidSettingsException("setting " + key + " has an unknown value: " + text(key));
        }
        return meaning;
    }

    private List<String> list(String key) {
        String value = text(key);
        return value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }

    private boolean listFlag(String key, int i) {
        List<String> flags = list(key);
        return i < flags.size() && flags.get(i).equals("true");
    }

    private Set<Integer> places(String key) {
        Set<Integer> places = new TreeSet<>();
        for (String value : values.getOrDefault(key, "").split(",")) {
            if (!value.isEmpty()) {
                try {
                    places.add(Integer.valueOf(value));
                } catch (NumberFormatException e) {
                    throw new InvalidSettingsException("setting " + key + " is not a list of places: " + value);
                }
            }
        }
        return places;
    }
}
