package rowanmoor.config;

import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rowanmoor.kdl.KdlException;
import rowanmoor.kdl.KdlParser;
import rowanmoor.kdl.Node;
import rowanmoor.kdl.Value;

/**
 * A node read as a set of keys: each child is a key with its values as arguments, or a nested section.
 * A problem is recorded and reading continues with a valid value, so that one pass finds all problems;
 * {@link #rejectUnknownKeys} records keys that have not been read, and {@link #throwIfInvalid} reports all
 * that was recorded. Accessors without a default value require the key; values outside a given range
 * are problems.
 */
public final class Section {

    private static final Pattern DURATION = Pattern.compile("([0-9]+(?:\\.[0-9]+)?) ?(ns|us|ms|s|min|h)");
    private static final Pattern RATE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?) ?/ ?(s|min|h)");
    private static final Map<String, Double> NS_PER_UNIT = Map.of("ns", 1.0, "us", 1e3, "ms", 1e6, "s", 1e9,
            "min", 60e9, "h", 3600e9);
    private static final Pattern ADDRESS = Pattern.compile(
            "([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final int MAX_PORT = 65535;

    private final String file;
    private final Node node;
    private final String path;
    private final List<String> problems;
    private final Set<String> knownKeys = new HashSet<>();

    private Section(String file, Node node, String path, List<String> problems) {
        this.file = file;
        this.node = node;
        this.path = path;
        this.problems = problems;
    }

    /**
     * Reads the document of a file as one section.
     *
     * @throws ConfigException if the file cannot be read or is not a KDL document
     */
    public static Section read(Path file) throws ConfigException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new ConfigException(List.of(file + ": cannot be read: " + e.getMessage()));
        }
    }

    /**
     * Reads the text of a document as one section.
     *
     * @param file file name for error messages
     * @throws ConfigException if the text is not a KDL document
     */
    public static Section parse(String file, String text) throws ConfigException {
        try {
            Node root = new Node(null, "", List.of(), Map.of(), KdlParser.parse(text), 1, 1);
            return new Section(file, root, "", new ArrayList<>());
        } catch (KdlException e) {
            throw new ConfigException(List.of(file + ":" + e.getMessage()));
        }
    }

    private void addProblemAt(int line, int column, String key, String problem) {
        String keyPath = path.isEmpty() ? key : key.isEmpty() ? path : path + "." + key;
        problems.add(file + ":" + line + ":" + column + ": " + keyPath + ": " + problem);
    }

    /** Records a problem with a key of this section. */
    public void addProblem(String key, String problem) {
        Node child = firstChild(key);
        Node problemNode = child == null ? node : child;
        addProblemAt(problemNode.line(), problemNode.column(), key, problem);
    }

    private Node firstChild(String key) {
        return node.children().stream().filter(n -> n.name().equals(key)).findFirst().orElse(null);
    }

    /** Returns whether the key is present, without reading it. */
    public boolean has(String key) {
        return firstChild(key) != null;
    }

    /** Returns the file name as given to {@link #read} or {@link #parse}. */
    public String fileName() {
        return file;
    }

    /** Returns the line of the section in its file, from 1. */
    public int line() {
        return node.line();
    }

    /** Returns the section's only argument, as in {@code class "preview" { }}; a problem if it is missing. */
    public String label() {
        if (node.arguments().size() != 1 || !node.arguments().get(0).isString()) {
            addProblemAt(node.line(), node.column(), "", "requires a name: " + node.name() + " \"...\"");
            return "";
        }
        return (String) node.arguments().get(0).content();
    }

    // ---- values --------------------------------------------------------------------------------------

    /** Returns the only value of a key, or null if it is missing, a problem if it is required. */
    private Value singleValue(String key, boolean required) {
        List<Value> values = values(key, required);
        if (values.size() > 1) {
            addProblemAt(values.get(1).line(), values.get(1).column(), key, "has more than one value");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    private List<Value> values(String key, boolean required) {
        knownKeys.add(key);
        List<Node> all = node.children().stream().filter(n -> n.name().equals(key)).toList();
        if (all.isEmpty()) {
            if (required) {
                addProblemAt(node.line(), node.column(), key, "is missing");
            }
            return List.of();
        }
        Node child = all.get(0);
        all.stream().skip(1).forEach(n -> addProblemAt(n.line(), n.column(), key, "is given more than once"));
        if (!child.children().isEmpty() || !child.properties().isEmpty()) {
            addProblemAt(child.line(), child.column(), key, "must have values, not properties or a block");
        }
        if (child.arguments().isEmpty()) {
            addProblemAt(child.line(), child.column(), key, "has no value");
        }
        return child.arguments();
    }

    private void addTypeProblem(Value value, String key, String expected) {
        addProblemAt(value.line(), value.column(), key, "must be " + expected + ", not " + value);
    }

    /** Returns the string value of a key. */
    public String string(String key) {
        return string(singleValue(key, true), key, "");
    }

    /** Returns the string value of a key, or the default value if the key is missing. */
    public String string(String key, String defaultValue) {
        return string(singleValue(key, false), key, defaultValue);
    }

    private String string(Value value, String key, String defaultValue) {
        if (value == null) {
            return defaultValue;
        }
        if (!value.isString()) {
            addTypeProblem(value, key, "a string");
            return defaultValue;
        }
        return (String) value.content();
    }

    /** Returns all values of a key, which must be strings; empty if the key is missing. */
    public List<String> strings(String key, boolean required) {
        return values(key, required).stream().map(v -> string(v, key, "")).toList();
    }

    /** Returns the boolean value of a key, or the default value if the key is missing. */
    public boolean bool(String key, boolean defaultValue) {
        Value value = singleValue(key, false);
        if (value != null && !value.isBoolean()) {
            addTypeProblem(value, key, "#true or #false");
            return defaultValue;
        }
        return value == null ? defaultValue : (Boolean) value.content();
    }

    /**
     * Returns what the word of a key stands for.
     *
     * @param words allowed words and their meanings
     * @param defaultValue meaning of a missing key; null if the key is required
     */
    public <T> T oneOf(String key, Map<String, T> words, T defaultValue) {
        Value value = singleValue(key, defaultValue == null);
        T meaning = value == null ? defaultValue : words.get(String.valueOf(value.content()));
        if (meaning == null) {
            if (value != null) {
                addTypeProblem(value, key,
                        "one of " + String.join(", ", words.keySet().stream().sorted().toList()));
            }
            return defaultValue == null ? words.values().iterator().next() : defaultValue;
        }
        return meaning;
    }

    /** Returns the numeric value of a key, from {@code min} to {@code max}. */
    public double number(String key, double min, double max) {
        return number(singleValue(key, true), key, min, max, min);
    }

    /** Returns the numeric value of a key, or the default value if the key is missing. */
    public double number(String key, double min, double max, double defaultValue) {
        return number(singleValue(key, false), key, min, max, defaultValue);
    }

    private double number(Value value, String key, double min, double max, double defaultValue) {
        if (value == null) {
            return defaultValue;
        }
        if (!value.isNumber()) {
            addTypeProblem(value, key, "a number");
            return defaultValue;
        }
        return checkRange(((BigDecimal) value.content()).doubleValue(), value, key, min, max, defaultValue,
                formatNumber(min) + " to " + formatNumber(max));
    }

    private double checkRange(double number, Value value, String key, double min, double max,
            double defaultValue, String range) {
        if (number < min || number > max) {
            addProblemAt(value.line(), value.column(), key,
                    "is out of range: " + value + " is not within " + range);
            return defaultValue;
        }
        return number;
    }

    /** Returns the integer value of a key, from {@code min} to {@code max}. */
    public int integer(String key, int min, int max) {
        return integer(singleValue(key, true), key, min, max, min);
    }

    /** Returns the integer value of a key, or the default value if the key is missing. */
    public int integer(String key, int min, int max, int defaultValue) {
        return integer(singleValue(key, false), key, min, max, defaultValue);
    }

    private int integer(Value value, String key, int min, int max, int defaultValue) {
        double number = number(value, key, min, max, defaultValue);
        if (number != Math.rint(number)) {
            addTypeProblem(value, key, "an integer");
            return defaultValue;
        }
        return (int) number;
    }

    /** Returns a duration with a unit, such as {@code "250ms"}, in nanoseconds. */
    public long durationNs(String key, String min, String max) {
        return durationNs(singleValue(key, true), key, min, max, parseDurationNs(min));
    }

    /** Returns a duration in nanoseconds, or the default value if the key is missing. */
    public long durationNs(String key, String min, String max, String defaultValue) {
        return durationNs(singleValue(key, false), key, min, max, parseDurationNs(defaultValue));
    }

    private long durationNs(Value value, String key, String min, String max, long defaultValue) {
        if (value == null) {
            return defaultValue;
        }
        Matcher matcher = DURATION.matcher(String.valueOf(value.content()));
        if (!value.isString() || !matcher.matches()) {
            addTypeProblem(value, key, "a duration with a unit, such as \"250ms\" (ns, us, ms, s, min, h)");
            return defaultValue;
        }
        return (long) checkRange(parseDurationNs(value.content().toString()), value, key,
                parseDurationNs(min), parseDurationNs(max), defaultValue, min + " to " + max);
    }

    static long parseDurationNs(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("not a duration: " + text);
        }
        return Math.round(Double.parseDouble(matcher.group(1)) * NS_PER_UNIT.get(matcher.group(2)));
    }

    /** Returns a rate with a unit, such as {@code "1200/s"}, per second. */
    public double ratePerSecond(String key, double min, double max) {
        return ratePerSecond(singleValue(key, true), key, min, max, min);
    }

    /** Returns a rate per second, or the default value if the key is missing. */
    public double ratePerSecond(String key, double min, double max, double defaultValue) {
        return ratePerSecond(singleValue(key, false), key, min, max, defaultValue);
    }

    private double ratePerSecond(Value value, String key, double min, double max, double defaultValue) {
        if (value == null) {
            return defaultValue;
        }
        Matcher matcher = RATE.matcher(String.valueOf(value.content()));
        if (!value.isString() || !matcher.matches()) {
            addTypeProblem(value, key, "a rate with a unit, such as \"1200/s\" (s, min, h)");
            return defaultValue;
        }
        double perSecond = Double.parseDouble(matcher.group(1)) * 1e9 / NS_PER_UNIT.get(matcher.group(2));
        return checkRange(perSecond, value, key, min, max, defaultValue,
                formatNumber(min) + "/s to " + formatNumber(max) + "/s");
    }

    /** Returns all values of a key as rates per second; empty if the key is missing. */
    public List<Double> ratesPerSecond(String key, double min, double max) {
        return values(key, false).stream().map(v -> ratePerSecond(v, key, min, max, min)).toList();
    }

    /** Returns all values of a key as integers; empty if the key is missing. */
    public List<Integer> integers(String key, int min, int max) {
        return values(key, false).stream().map(v -> integer(v, key, min, max, min)).toList();
    }

    /** Returns an IPv4 address and port; port 0 lets the system choose. */
    public InetSocketAddress address(String key) {
        return address(singleValue(key, true), key);
    }

    /** Returns all values of a key as addresses; empty if the key is missing. */
    public List<InetSocketAddress> addresses(String key, boolean required) {
        return values(key, required).stream().map(v -> address(v, key)).toList();
    }

    private InetSocketAddress address(Value value, String key) {
        if (value == null) {
            return new InetSocketAddress(0);
        }
        InetSocketAddress address = value.isString() ? parseAddress((String) value.content()) : null;
        if (address == null) {
            addTypeProblem(value, key, "an IPv4 address and port, such as \"127.0.0.1:8500\"");
            return new InetSocketAddress(0);
        }
        return address;
    }

    /** Parses an IPv4 address and port, or returns null; never resolves a host name. */
    public static InetSocketAddress parseAddress(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        for (int i = 1; i <= 4; i++) {
            if (Integer.parseInt(matcher.group(i)) > 255) {
                return null;
            }
        }
        int port = Integer.parseInt(matcher.group(5));
        return port > MAX_PORT ? null
                : new InetSocketAddress(text.substring(0, text.indexOf(':')), port);
    }

    private static String formatNumber(double number) {
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }

    // ---- sections ------------------------------------------------------------------------------------

    /** Returns the only section with a name; a problem, and an empty section, if it is missing. */
    public Section section(String key) {
        List<Section> all = sections(key);
        if (all.isEmpty()) {
            addProblemAt(node.line(), node.column(), key, "is missing");
            return new Section(file, new Node(null, key, List.of(), Map.of(), List.of(), node.line(),
                    node.column()), path.isEmpty() ? key : path + "." + key, new ArrayList<>());
        }
        all.stream().skip(1).forEach(s -> s.addProblemAt(s.node.line(), s.node.column(), "",
                "is given more than once"));
        return all.get(0);
    }

    /** Returns all sections with a name, in order. */
    public List<Section> sections(String key) {
        knownKeys.add(key);
        return node.children().stream().filter(n -> n.name().equals(key)).map(this::childSection).toList();
    }

    /** Returns all children as sections, in order; for lists of different keys. */
    public List<Section> children() {
        node.children().forEach(n -> knownKeys.add(n.name()));
        return node.children().stream().map(this::childSection).toList();
    }

    private Section childSection(Node child) {
        Section section = new Section(file, child, path.isEmpty() ? child.name() : path + "." + child.name(),
                problems);
        child.properties().forEach((key, value) -> section.addProblemAt(value.line(), value.column(), key,
                "properties are not allowed: put the key into the block"));
        return section;
    }

    /** Returns the name of this section's node. */
    public String nodeName() {
        return node.name();
    }

    /** Records a problem for each key that has not been read; called after all keys have been read. */
    public void rejectUnknownKeys() {
        Map<String, Node> unknown = new LinkedHashMap<>();
        node.children().stream().filter(n -> !knownKeys.contains(n.name()))
                .forEach(n -> unknown.putIfAbsent(n.name(), n));
        unknown.forEach((key, child) -> addProblemAt(child.line(), child.column(), key,
                "is not a known key; known keys: "
                + String.join(", ", knownKeys.stream().sorted().toList())));
    }

    /** Throws if any problem has been recorded for the document. */
    public void throwIfInvalid() throws ConfigException {
        if (!problems.isEmpty()) {
            throw new ConfigException(problems);
        }
    }
}
