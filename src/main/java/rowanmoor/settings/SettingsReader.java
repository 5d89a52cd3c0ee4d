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
import rowanmoor.ControlApi.DedupScope;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.ReportColumns;
import rowanmoor.ControlApi.Rules;
import rowanmoor.ControlApi.Settings;

/**
 * Reads {@link Settings} from the path=value lines of the test bench, or from the nested object of the
 * platform, which is flattened to the same paths. Unknown keys are ignored.
 */
public final class SettingsReader {

    /**
     * The settings, and the names that stand in the platform's messages for the indices in the settings.
     *
     * @param columns names of the figures in load reports, in order
     * @param tick minimum time between two decisions, ns
     */
    public record NamedSettings(Settings settings, List<String> zones, List<String> kinds,
            List<String> classes, List<String> columns, long tick) { }

    private final Map<String, String> values;
    /** Whether withdrawals can be sent to single proxies: the bench's protocol has none that can. */
    private final boolean addressable;

    private SettingsReader(Map<String, String> values, boolean addressable) {
        this.values = values;
        this.addressable = addressable;
    }

    /**
     * Reads path=value lines.
     *
     * @throws InvalidSettingsException if a setting is missing or invalid
     */
    public static Settings parseLines(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
        return new SettingsReader(values, false).settings();
    }

    /**
     * Reads a nested object of maps, lists, strings, numbers and booleans.
     *
     * @throws InvalidSettingsException if a setting is missing or invalid
     */
    public static NamedSettings fromTree(Map<String, Object> tree) {
        Map<String, String> values = new HashMap<>();
        tree.forEach((key, value) -> flatten(key, value, values));
        SettingsReader reader = new SettingsReader(values, true);
        Settings settings = reader.settings();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < settings.classes().size(); i++) {
            names.add(reader.text("classes." + i + ".name"));
        }
        return new NamedSettings(settings, reader.list("dcs"), reader.list("kinds"), List.copyOf(names),
                reader.list("report.columns"), Math.max(1, reader.nanoseconds("tick_ns")));
    }

    /** Flattens a value to the paths of the bench: joins lists by commas, gives lists of objects a count. */
    private static void flatten(String path, Object value, Map<String, String> values) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, inner) -> flatten(path + "." + key, inner, values));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            values.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), values);
            }
        } else if (value instanceof List<?> list) {
            values.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else {
            values.put(path, String.valueOf(value));
        }
    }

    private Settings settings() {
        List<ClassSpec> classes = new ArrayList<>();
        int count = integer("classes.count");
        if (count < 1 || count > 16) {
            throw new InvalidSettingsException("setting classes.count is out of range: " + count);
        }
        for (int i = 0; i < count; i++) {
            classes.add(classSpec(i));
        }
        return new Settings(integer("balancers"), list("dcs").size(), List.copyOf(classes),
                oneOf("registry_mode", Map.of("pushed", false, "on_request", true)), flag("limits.probes"),
                oneOf("extra.admission", Map.of("fraction", AdmissionMode.SHARE,
                        "per_second", AdmissionMode.RATE, "off", AdmissionMode.OFF)),
                integer("extra.ejects"), integer("extra.proxy_count"), integer("extra.key_ranges"),
                nanoseconds("extra.interval_ns"), number("extra.hears_per_s"), number("penalties.cross_zone"),
                columns(), rules(), channel());
    }

    private ClassSpec classSpec(int index) {
        String prefix = "classes." + index + ".";
        return new ClassSpec(nanoseconds(prefix + "aim_ns"), nanoseconds(prefix + "deadline_ns"),
                number(prefix + "credit"), number(prefix + "late_worth"),
                oneOf(prefix + "effect", Map.of("retryable", Idempotency.SAFE, "dedup", Idempotency.KEYED,
                        "fragile", Idempotency.UNSAFE)),
                oneOf(prefix + "key_scope", Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE,
                        "cell", DedupScope.CELL)),
                nanoseconds(prefix + "window_ns"), flagAt("extra.mutating", index),
                flagAt("extra.home_only", index),
                indices(prefix + "only_zones"), indices(prefix + "only_kinds"));
    }

    private ReportColumns columns() {
        List<String> names = list("report.columns");
        return new ReportColumns(names.indexOf("q"), names.indexOf("busy"));
    }

    private Rules rules() {
        return new Rules(nanoseconds("extra.blackhole_ns"), nanoseconds("rules.drain_grace_ns"),
                nanoseconds("rules.cold_ns"), number("rules.cold_from"),
                number("rules.overload_factor"), nanoseconds("rules.fall_ns"),
                values.containsKey("rules.must_ask_in_ns")
                        ? nanoseconds("rules.must_ask_in_ns") : Long.MAX_VALUE);
    }

    private Channel channel() {
        return new Channel(number("extra.egress_per_s"), number("extra.per_message"),
                number("extra.most_waiting"), integer("extra.messages_most"),
                nanoseconds("extra.update_window_ns"), nanoseconds("extra.late_ns"),
                nanoseconds("extra.transit_max_ns"), addressable);
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
            // the exception below names the key
        }
        throw new InvalidSettingsException("setting " + key + " is not a number: " + value);
    }

    private int integer(String key) {
        double value = number(key);
        if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
            throw new InvalidSettingsException("setting " + key + " is not an integer: " + text(key));
        }
        return (int) value;
    }

    private long nanoseconds(String key) {
        return Math.round(number(key));
    }

    private boolean flag(String key) {
        return oneOf(key, Map.of("true", true, "false", false));
    }

    private <T> T oneOf(String key, Map<String, T> meanings) {
        T meaning = meanings.get(text(key));
        if (meaning == null) {
            throw new InvalidSettingsException("setting " + key + " has an unknown value: " + text(key));
        }
        return meaning;
    }

    private List<String> list(String key) {
        String value = text(key);
        return value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }

    private boolean flagAt(String key, int index) {
        List<String> flags = list(key);
        return index < flags.size() && flags.get(index).equals("true");
    }

    private Set<Integer> indices(String key) {
        Set<Integer> indices = new TreeSet<>();
        for (String value : values.getOrDefault(key, "").split(",")) {
            if (!value.isEmpty()) {
                try {
                    indices.add(Integer.valueOf(value));
                } catch (NumberFormatException e) {
                    throw new InvalidSettingsException(
                            "setting " + key + " is not a list of indices: " + value);
                }
            }
        }
        return indices;
    }
}
