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
import rowanmoor.kdl.Node;
import rowanmoor.kdl.KdlParser;
import rowanmoor.kdl.Value;

/**
 * A node read as a set of keys: each child is a key with its values as arguments, or a section of its own.
 * What is wrong is noted and reading goes on with a harmless value, so that one look finds everything;
 * {@link #rejectUnknownKeys} notes keys that nobody asked for.
 */
public final class Section {

    private static final Pattern DURATION = Pattern.compile("([0-9]+(?:\\.[0-9]+)?) ?(ns|us|ms|s|min|h)");
    private static final Pattern RATE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?) ?/ ?(s|min|h)");
    private static final Map<String, Double> NANOS = Map.of("ns", 1.0, "us", 1e3, "ms", 1e6, "s", 1e9,
            "min", 60e9, "h", 3600e9);
    private static final Pattern ADDRESS = Pattern.compile(
            "([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final int PORT_MOST = 65535;

    private final String file;
    private final Node node;
    private final String path;
    private final List<String> problems;
    private final Set<String> asked = new HashSet<>();

    private Section(String file, Node node, String path, List<String> problems) {
        this.file = file;
        this.node = node;
        this.path = path;
        this.problems = problems;
    }

    /** The document of a file as one section. */
    public static Section read(Path file) throws ConfigException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new ConfigException(List.of(file + ": cannot be read: " + e.getMessage()));
        }
    }

    /** A document's text as one section; the name is for messages. */
    public static Section parse(String file, String text) throws ConfigException {
        try {
            Node root = new Node(null, "", List.of(), Map.of(), KdlParser.parse(text), 1, 1);
            return new Section(file, root, "", new ArrayList<>());
        } catch (KdlException e) {
            throw new ConfigException(List.of(file + ":" + e.getMessage()));
        }
    }

    private void note(int line, int column, String key, String what) {
        String at = path.isEmpty() ? key : key.isEmpty() ? path : path + "." + key;
        problems.add(file + ":" + line + ":" + column + ": " + at + ": " + what);
    }

    /** Notes something wrong with a key of this section. */
    public void addProblem(String key, String what) {
        Node child = find(key);
        Node at = child == null ? node : child;
        note(at.line(), at.column(), key, what);
    }

    private Node find(String key) {
        return node.children().stream().filter(n -> n.name().equals(key)).findFirst().orElse(null);
    }

    public boolean has(String key) {
        return find(key) != null;
    }

    /** The file's name as messages have it. */
    public String fileName() {
        return file;
    }

    public int line() {
        return node.line();
    }

    /** This section's first argument, as in {@code class "preview" { }}; noted if there is none. */
    public String label() {
        if (node.arguments().size() != 1 || !node.arguments().get(0).isText()) {
            note(node.line(), node.column(), "", "needs a name: " + node.name() + " \"...\"");
            return "";
        }
        return (String) node.arguments().get(0).content();
    }

    // ---- values --------------------------------------------------------------------------------------

    /** The one value of a key; null, noted if it must be there, where it is not. */
    private Value one(String key, boolean required) {
        List<Value> values = many(key, required);
        if (values.size() > 1) {
            note(values.get(1).line(), values.get(1).column(), key, "has more than one value");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    private List<Value> many(String key, boolean required) {
        asked.add(key);
        List<Node> all = node.children().stream().filter(n -> n.name().equals(key)).toList();
        if (all.isEmpty()) {
            if (required) {
                note(node.line(), node.column(), key, "is missing");
            }
            return List.of();
        }
        Node child = all.get(0);
        all.stream().skip(1).forEach(n -> note(n.line(), n.column(), key, "stands here a second time"));
        if (!child.children().isEmpty() || !child.properties().isEmpty()) {
            note(child.line(), child.column(), key, "takes values, not properties or a block");
        }
        if (child.arguments().isEmpty()) {
            note(child.line(), child.column(), key, "has no value");
        }
        return child.arguments();
    }

    private void wrong(Value value, String key, String wanted) {
        note(value.line(), value.column(), key, "takes " + wanted + ", not " + value);
    }

    public String string(String key) {
        return string(one(key, true), key, "");
    }

    public String string(String key, String otherwise) {
        return string(one(key, false), key, otherwise);
    }

    private String string(Value value, String key, String otherwise) {
        if (value == null) {
            return otherwise;
        }
        if (!value.isText()) {
            wrong(value, key, "a string");
            return otherwise;
        }
        return (String) value.content();
    }

    /** All values of a key, which must be strings; empty where it is left out. */
    public List<String> strings(String key, boolean required) {
        return many(key, required).stream().map(v -> string(v, key, "")).toList();
    }

    public boolean bool(String key, boolean otherwise) {
        Value value = one(key, false);
        if (value != null && !value.isFlag()) {
            wrong(value, key, "#true or #false");
            return otherwise;
        }
        return value == null ? otherwise : (Boolean) value.content();
    }

    /** A word from a choice. */
    public <T> T oneOf(String key, Map<String, T> words, T otherwise) {
        Value value = one(key, otherwise == null);
        T meaning = value == null ? otherwise : words.get(String.valueOf(value.content()));
        if (meaning == null) {
            if (value != null) {
                wrong(value, key, "one of " + String.join(", ", words.keySet().stream().sorted().toList()));
            }
            return otherwise == null ? words.values().iterator().next() : otherwise;
        }
        return meaning;
    }

    public double number(String key, double least, double most) {
        return number(one(key, true), key, least, most, least);
    }

    public double number(String key, double least, double most, double otherwise) {
        return number(one(key, false), key, least, most, otherwise);
    }

    private double number(Value value, String key, double least, double most, double otherwise) {
        if (value == null) {
            return otherwise;
        }
        if (!value.isNumber()) {
            wrong(value, key, "a number");
            return otherwise;
        }
        return inRange(((BigDecimal) value.content()).doubleValue(), value, key, least, most, otherwise,
                plain(least) + " to " + plain(most));
    }

    private double inRange(double number, Value value, String key, double least, double most,
            double otherwise, String range) {
        if (number < least || number > most) {
            note(value.line(), value.column(), key, "is out of range: " + value + ", not within " + range);
            return otherwise;
        }
        return number;
    }

    public int integer(String key, int least, int most) {
        return integer(one(key, true), key, least, most, least);
    }

    public int integer(String key, int least, int most, int otherwise) {
        return integer(one(key, false), key, least, most, otherwise);
    }

    private int integer(Value value, String key, int least, int most, int otherwise) {
        double number = number(value, key, least, most, otherwise);
        if (number != Math.rint(number)) {
            wrong(value, key, "a whole number");
            return otherwise;
        }
        return (int) number;
    }

    /** A time with its unit, {@code "250ms"}, as nanoseconds. */
    public long durationNs(String key, String least, String most) {
        return durationNs(one(key, true), key, least, most, parseDurationNs(least));
    }

    public long durationNs(String key, String least, String most, String otherwise) {
        return durationNs(one(key, false), key, least, most, parseDurationNs(otherwise));
    }

    private long durationNs(Value value, String key, String least, String most, long otherwise) {
        if (value == null) {
            return otherwise;
        }
        Matcher matcher = DURATION.matcher(String.valueOf(value.content()));
        if (!value.isText() || !matcher.matches()) {
            wrong(value, key, "a time with its unit, such as \"250ms\" (ns, us, ms, s, min, h)");
            return otherwise;
        }
        return (long) inRange(parseDurationNs(value.content().toString()), value, key, parseDurationNs(least), parseDurationNs(most),
                otherwise, least + " to " + most);
    }

    static long parseDurationNs(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("not a duration: " + text);
        }
        return Math.round(Double.parseDouble(matcher.group(1)) * NANOS.get(matcher.group(2)));
    }

    /** A rate with its unit, {@code "1200/s"}, as a number a second. */
    public double ratePerSecond(String key, double least, double most) {
        return ratePerSecond(one(key, true), key, least, most, least);
    }

    public double ratePerSecond(String key, double least, double most, double otherwise) {
        return ratePerSecond(one(key, false), key, least, most, otherwise);
    }

    private double ratePerSecond(Value value, String key, double least, double most, double otherwise) {
        if (value == null) {
            return otherwise;
        }
        Matcher matcher = RATE.matcher(String.valueOf(value.content()));
        if (!value.isText() || !matcher.matches()) {
            wrong(value, key, "a rate with its unit, such as \"1200/s\" (s, min, h)");
            return otherwise;
        }
        double aSecond = Double.parseDouble(matcher.group(1)) * 1e9 / NANOS.get(matcher.group(2));
        return inRange(aSecond, value, key, least, most, otherwise,
                plain(least) + "/s to " + plain(most) + "/s");
    }

    /** All values of a key as rates a second; empty where it is left out. */
    public List<Double> ratesPerSecond(String key, double least, double most) {
        return many(key, false).stream().map(v -> ratePerSecond(v, key, least, most, least)).toList();
    }

    /** All values of a key as whole numbers; empty where it is left out. */
    public List<Integer> integers(String key, int least, int most) {
        return many(key, false).stream().map(v -> integer(v, key, least, most, least)).toList();
    }

    /** An IPv4 address and port; port 0 lets the system choose. */
    public InetSocketAddress address(String key) {
        return address(one(key, true), key);
    }

    public List<InetSocketAddress> addresses(String key, boolean required) {
        return many(key, required).stream().map(v -> address(v, key)).toList();
    }

    private InetSocketAddress address(Value value, String key) {
        if (value == null) {
            return new InetSocketAddress(0);
        }
        InetSocketAddress address = value.isText() ? parseAddress((String) value.content()) : null;
        if (address == null) {
            wrong(value, key, "an IPv4 address and port, such as \"127.0.0.1:8500\"");
            return new InetSocketAddress(0);
        }
        return address;
    }

    /** Four numbers and a port, or null; no name is ever looked up. */
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
        return port > PORT_MOST ? null
                : new InetSocketAddress(text.substring(0, text.indexOf(':')), port);
    }

    private static String plain(double number) {
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }

    // ---- sections ------------------------------------------------------------------------------------

    /** The one section of a name; noted, and empty, if it is missing. */
    public Section section(String key) {
        List<Section> all = sections(key);
        if (all.isEmpty()) {
            note(node.line(), node.column(), key, "is missing");
            return new Section(file, new Node(null, key, List.of(), Map.of(), List.of(), node.line(),
                    node.column()), path.isEmpty() ? key : path + "." + key, new ArrayList<>());
        }
        all.stream().skip(1).forEach(s -> s.note(s.node.line(), s.node.column(), "", "stands here again"));
        return all.get(0);
    }

    public List<Section> sections(String key) {
        asked.add(key);
        return node.children().stream().filter(n -> n.name().equals(key)).map(this::child).toList();
    }

    /** All children as sections, in order: for lists of many kinds. */
    public List<Section> children() {
        node.children().forEach(n -> asked.add(n.name()));
        return node.children().stream().map(this::child).toList();
    }

    private Section child(Node its) {
        Section section = new Section(file, its, path.isEmpty() ? its.name() : path + "." + its.name(),
                problems);
        its.properties().forEach((key, value) -> section.note(value.line(), value.column(), key,
                "properties are not used: put the key into the block"));
        return section;
    }

    public String nodeName() {
        return node.name();
    }

    /** Notes each key that nothing has asked for; call it last. */
    public void rejectUnknownKeys() {
        Map<String, Node> unknown = new LinkedHashMap<>();
        node.children().stream().filter(n -> !asked.contains(n.name()))
                .forEach(n -> unknown.putIfAbsent(n.name(), n));
        unknown.forEach((key, child) -> note(child.line(), child.column(), key,
                "is not a key here; there are "
                + String.join(", ", asked.stream().sorted().toList())));
    }

    /** Throws if anything is wrong with the document so far. */
    public void throwIfInvalid() throws ConfigException {
        if (!problems.isEmpty()) {
            throw new ConfigException(problems);
        }
    }
}
