package rowanmoor.kdl;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads a whole document. Nesting is bounded, so that hostile text cannot exhaust the stack. */
public final class KdlParser {

    private static final int DEPTH_MOST = 128;
    private static final int EXPONENT_DIGITS = 4;
    private static final int END = -1;
    private static final Set<String> BARE_KEYWORDS = Set.of("true", "false", "null", "inf", "-inf", "nan");
    private static final String NOT_IN_IDENTIFIERS = "\\/(){};[]\"#=";

    private final int[] text;
    private int at;
    private int depth;

    private KdlParser(String source) {
        text = source.codePoints().toArray();
    }

    /** The nodes of a document. */
    public static List<Node> parse(String source) throws KdlException {
        KdlParser parser = new KdlParser(source);
        parser.checkCharacters();
        if (parser.peek() == 0xfeff) {
            parser.at++;
        }
        List<Node> nodes = parser.nodes(false);
        if (parser.peek() != END) {
            throw parser.error("a closing brace without its opening one");
        }
        return nodes;
    }

    // ---- characters -------------------------------------------------------------------------------------

    private int peek() {
        return peek(0);
    }

    private int peek(int ahead) {
        return at + ahead < text.length ? text[at + ahead] : END;
    }

    private boolean starts(String what) {
        for (int i = 0; i < what.length(); i++) {
            if (peek(i) != what.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private KdlException error(String what) {
        return error(at, what);
    }

    private KdlException error(int place, String what) {
        return new KdlException(line(place), column(place), what);
    }

    private int line(int place) {
        int line = 1;
        for (int i = 0; i < Math.min(place, text.length); i++) {
            boolean crLf = text[i] == '\r' && i + 1 < text.length && text[i + 1] == '\n';
            line += isNewline(text[i]) && !crLf ? 1 : 0;
        }
        return line;
    }

    private int column(int place) {
        int column = 1;
        for (int i = Math.min(place, text.length) - 1; i >= 0 && !isNewline(text[i]); i--) {
            column++;
        }
        return column;
    }

    private void checkCharacters() throws KdlException {
        for (int i = 0; i < text.length; i++) {
            int c = text[i];
            boolean banned = c < 9 || c > 13 && c < 32 || c == 0x7f || c >= 0xd800 && c <= 0xdfff
                    || c == 0x200e || c == 0x200f || c >= 0x202a && c <= 0x202e
                    || c >= 0x2066 && c <= 0x2069 || c == 0xfeff && i > 0;
            if (banned) {
                throw error(i, String.format("the character U+%04X may not stand in a document", c));
            }
        }
    }

    static boolean isNewline(int c) {
        return c >= 0x0a && c <= 0x0d || c == 0x85 || c == 0x2028 || c == 0x2029;
    }

    static boolean isSpace(int c) {
        return c == 9 || c == ' ' || c == 0xa0 || c == 0x1680 || c >= 0x2000 && c <= 0x200a || c == 0x202f
                || c == 0x205f || c == 0x3000;
    }

    private static boolean isIdentifierChar(int c) {
        return c != END && !isSpace(c) && !isNewline(c) && NOT_IN_IDENTIFIERS.indexOf(c) < 0;
    }

    private static boolean isDigit(int c) {
        return c >= '0' && c <= '9';
    }

    // ---- space and comments -----------------------------------------------------------------------------

    private void newline() {
        at += peek() == '\r' && peek(1) == '\n' ? 2 : 1;
    }

    /** Spaces and block comments; true if there were any. */
    private boolean space() throws KdlException {
        int from = at;
        while (true) {
            if (isSpace(peek())) {
                at++;
            } else if (starts("/*")) {
                blockComment();
            } else {
                return at > from;
            }
        }
    }

    /** Space within a node: also lines continued by a backslash. */
    private boolean nodeSpace() throws KdlException {
        int from = at;
        while (space() || peek() == '\\') {
            if (peek() == '\\') {
                continueLine();
            }
        }
        return at > from;
    }

    private void continueLine() throws KdlException {
        int from = at++;
        space();
        if (starts("//")) {
            lineComment();
        }
        if (isNewline(peek())) {
            newline();
        } else if (peek() != END) {
            throw error(from, "after a backslash the line must end");
        }
    }

    /** Space between nodes: also newlines and whole-line comments. */
    private void lineSpace() throws KdlException {
        while (true) {
            if (isNewline(peek())) {
                newline();
            } else if (starts("//")) {
                lineComment();
            } else if (!nodeSpace()) {
                return;
            }
        }
    }

    private void lineComment() {
        while (peek() != END && !isNewline(peek())) {
            at++;
        }
    }

    private void blockComment() throws KdlException {
        int from = at;
        at += 2;
        for (int open = 1; open > 0;) {
            if (starts("*/")) {
                open--;
                at += 2;
            } else if (starts("/*")) {
                open++;
                at += 2;
            } else if (peek() == END) {
                throw error(from, "a comment is not closed");
            } else {
                at++;
            }
        }
    }

    // ---- nodes ------------------------------------------------------------------------------------------

    private List<Node> nodes(boolean inBlock) throws KdlException {
        if (++depth > DEPTH_MOST) {
            throw error("blocks are nested more than " + DEPTH_MOST + " deep");
        }
        List<Node> nodes = new ArrayList<>();
        while (true) {
            lineSpace();
            if (peek() == END || peek() == '}') {
                break;
            }
            boolean dropped = slashDash();
            Node node = node(inBlock);
            if (!dropped) {
                nodes.add(node);
            }
        }
        depth--;
        return nodes;
    }

    private boolean slashDash() throws KdlException {
        if (!starts("/-")) {
            return false;
        }
        at += 2;
        lineSpace();
        return true;
    }

    private Node node(boolean inBlock) throws KdlException {
        String type = annotation();
        int from = at;
        String name = string("a node's name");
        List<Value> arguments = new ArrayList<>();
        Map<String, Value> properties = new LinkedHashMap<>();
        List<Node> children = null;
        boolean blockSeen = false;
        while (true) {
            boolean spaced = nodeSpace();
            boolean dropped = slashDash();
            int c = peek();
            if (c == '{') {
                List<Node> block = block();
                if (!dropped && children != null) {
                    throw error("a second block of children");
                }
                children = dropped ? children : block;
                blockSeen = true;
            } else if (!dropped && endsNode(inBlock)) {
                return new Node(type, name, arguments, properties, children == null ? List.of() : children,
                        line(from), column(from));
            } else {
                if (blockSeen) {
                    throw error("after a node's children the node must end");
                }
                if (!spaced && !dropped) {
                    throw error("a space is missing before " + shown());
                }
                entry(arguments, properties, dropped);
            }
        }
    }

    private boolean endsNode(boolean inBlock) {
        int c = peek();
        if (c == END || inBlock && c == '}') {
            return true;
        }
        if (c == ';') {
            at++;
            return true;
        }
        if (isNewline(c)) {
            newline();
            return true;
        }
        if (starts("//")) {
            lineComment();
            return true;
        }
        return false;
    }

    private List<Node> block() throws KdlException {
        int from = at++;
        List<Node> children = nodes(true);
        if (peek() != '}') {
            throw error(from, "a block is not closed");
        }
        at++;
        return children;
    }

    private String shown() {
        return peek() == END ? "the end" : "'" + Character.toString(peek()) + "'";
    }

    private String annotation() throws KdlException {
        if (peek() != '(') {
            return null;
        }
        at++;
        nodeSpace();
        String type = string("a type");
        nodeSpace();
        if (peek() != ')') {
            throw error("a type annotation is not closed");
        }
        at++;
        nodeSpace();
        return type;
    }

    private void entry(List<Value> arguments, Map<String, Value> properties, boolean dropped)
            throws KdlException {
        int from = at;
        boolean annotated = peek() == '(';
        Value value = value();
        int end = at;
        if (!annotated && value.isText()) {
            nodeSpace();
            if (peek() == '=') {
                at++;
                nodeSpace();
                Value its = value();
                if (!dropped) {
                    properties.put((String) value.content(), its);
                }
                return;
            }
            at = end;
        }
        if (peek() == '=') {
            throw error(from, "a property's name must be a string without annotation");
        }
        if (!dropped) {
            arguments.add(value);
        }
    }

    // ---- values -----------------------------------------------------------------------------------------

    private Value value() throws KdlException {
        String type = annotation();
        int from = at;
        Object content;
        int sign = peek() == '+' || peek() == '-' ? 1 : 0;
        if (isDigit(peek(sign))) {
            content = number();
        } else if (peek() == '#' && peek(1) != '"' && peek(1) != '#') {
            content = keyword();
        } else {
            content = string("a value");
        }
        return new Value(type, content, line(from), column(from));
    }

    private Object keyword() throws KdlException {
        int from = at++;
        StringBuilder word = new StringBuilder();
        while (isIdentifierChar(peek())) {
            word.appendCodePoint(text[at++]);
        }
        return switch (word.toString()) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            case "inf" -> Value.Special.INFINITY;
            case "-inf" -> Value.Special.MINUS_INFINITY;
            case "nan" -> Value.Special.NOT_A_NUMBER;
            default -> throw error(from, "an unknown keyword: #" + word);
        };
    }

    private Object number() throws KdlException {
        int from = at;
        StringBuilder word = new StringBuilder();
        while (isIdentifierChar(peek())) {
            word.appendCodePoint(text[at++]);
        }
        String all = word.toString();
        boolean minus = all.startsWith("-");
        String digits = minus || all.startsWith("+") ? all.substring(1) : all;
        int radix = digits.startsWith("0x") ? 16 : digits.startsWith("0o") ? 8
                : digits.startsWith("0b") ? 2 : 10;
        if (radix == 10) {
            if (!digits.matches("[0-9][0-9_]*(\\.[0-9][0-9_]*)?([eE][+-]?[0-9][0-9_]*)?")) {
                throw error(from, "not a number: " + all);
            }
            int e = digits.toLowerCase(java.util.Locale.ROOT).indexOf('e');
            if (e >= 0 && digits.substring(e + 1).replaceAll("[+_-]", "").length() > EXPONENT_DIGITS) {
                throw error(from, "an exponent of more than " + EXPONENT_DIGITS + " digits");
            }
            BigDecimal size = new BigDecimal(digits.replace("_", ""));
            return minus ? size.negate() : size;
        }
        String body = digits.substring(2);
        String allowed = radix == 16 ? "0123456789abcdefABCDEF" : radix == 8 ? "01234567" : "01";
        boolean fits = !body.isEmpty() && body.charAt(0) != '_'
                && body.chars().allMatch(c -> c == '_' || allowed.indexOf(c) >= 0);
        if (!fits) {
            throw error(from, "not a number: " + all);
        }
        BigDecimal size = new BigDecimal(new BigInteger(body.replace("_", ""), radix));
        return minus ? size.negate() : size;
    }

    private String string(String what) throws KdlException {
        if (peek() == '"') {
            return starts("\"\"\"") ? multiLine(0) : quoted();
        }
        if (peek() == '#') {
            return raw();
        }
        return identifier(what);
    }

    private String identifier(String what) throws KdlException {
        int from = at;
        StringBuilder word = new StringBuilder();
        while (isIdentifierChar(peek())) {
            word.appendCodePoint(text[at++]);
        }
        String all = word.toString();
        if (all.isEmpty()) {
            throw error("here stands " + shown() + " and not " + what);
        }
        if (BARE_KEYWORDS.contains(all)) {
            throw error(from, "the bare word " + all + " is reserved: write #" + all + " or quote it");
        }
        if (all.matches("[+-]?\\.?[0-9].*")) {
            throw error(from, "a bare word may not look like a number: " + all);
        }
        return all;
    }

    private String quoted() throws KdlException {
        int from = at++;
        StringBuilder out = new StringBuilder();
        while (peek() != '"') {
            if (peek() == END || isNewline(peek())) {
                throw error(from, "a string is not closed on its line");
            }
            if (peek() == '\\') {
                if (!skipEscapedSpace()) {
                    escape(out);
                }
            } else {
                out.appendCodePoint(text[at++]);
            }
        }
        at++;
        return out.toString();
    }

    /** A backslash before white space stands for none of it. */
    private boolean skipEscapedSpace() {
        if (!isSpace(peek(1)) && !isNewline(peek(1))) {
            return false;
        }
        at++;
        while (isSpace(peek()) || isNewline(peek())) {
            at++;
        }
        return true;
    }

    private void escape(StringBuilder out) throws KdlException {
        int from = at++;
        int c = peek();
        at++;
        switch (c) {
            case 'n' -> out.append('\n');
            case 'r' -> out.append('\r');
            case 't' -> out.append('\t');
            case 'b' -> out.append('\b');
            case 'f' -> out.append('\f');
            case 's' -> out.append(' ');
            case '"' -> out.append('"');
            case '\\' -> out.append('\\');
            case 'u' -> out.appendCodePoint(unicode(from));
            default -> throw error(from, "an unknown escape");
        }
    }

    private int unicode(int from) throws KdlException {
        int close = at + 1;
        while (close < text.length && Character.digit(text[close], 16) >= 0 && text[close] < 128) {
            close++;
        }
        int digits = close - at - 1;
        if (peek() != '{' || digits < 1 || digits > 6 || close >= text.length || text[close] != '}') {
            throw error(from, "an escape is not \\u{1 to 6 hexadecimal digits}");
        }
        int code = Integer.parseInt(new String(text, at + 1, digits), 16);
        if (code > 0x10ffff || code >= 0xd800 && code <= 0xdfff) {
            throw error(from, "an escape names no character");
        }
        at = close + 1;
        return code;
    }

    private String raw() throws KdlException {
        int from = at;
        int hashes = 0;
        while (peek() == '#') {
            hashes++;
            at++;
        }
        if (peek() != '"') {
            throw error(from, "a raw string has no opening quote");
        }
        if (starts("\"\"\"")) {
            return multiLine(hashes);
        }
        at++;
        StringBuilder out = new StringBuilder();
        while (!closes(1, hashes)) {
            if (peek() == END || isNewline(peek())) {
                throw error(from, "a raw string is not closed on its line");
            }
            out.appendCodePoint(text[at++]);
        }
        at += 1 + hashes;
        return out.toString();
    }

    private boolean closes(int quotes, int hashes) {
        for (int i = 0; i < quotes + hashes; i++) {
            if (peek(i) != (i < quotes ? '"' : '#')) {
                return false;
            }
        }
        return true;
    }

    /** A string over lines; the white space before its closing quotes is taken off each line. */
    private String multiLine(int hashes) throws KdlException {
        int from = at;
        at += 3;
        if (!isNewline(peek())) {
            throw error(from, "after three quotes the line must end");
        }
        newline();
        List<StringBuilder> lines = new ArrayList<>(List.of(new StringBuilder()));
        while (!closes(3, hashes)) {
            StringBuilder last = lines.get(lines.size() - 1);
            if (peek() == END) {
                throw error(from, "a string over lines is not closed");
            } else if (isNewline(peek())) {
                newline();
                lines.add(new StringBuilder());
            } else if (hashes == 0 && peek() == '\\') {
                // White space goes before lines are measured, other escapes after.
                if (!skipEscapedSpace()) {
                    last.appendCodePoint(text[at++]);
                    if (peek() != END) {
                        last.appendCodePoint(text[at++]);
                    }
                }
            } else {
                last.appendCodePoint(text[at++]);
            }
        }
        at += 3 + hashes;
        String indent = lines.remove(lines.size() - 1).toString();
        if (!indent.codePoints().allMatch(KdlParser::isSpace)) {
            throw error(from, "only white space may stand before the closing quotes of a string over lines");
        }
        List<String> dedented = new ArrayList<>();
        for (StringBuilder line : lines) {
            dedented.add(dedent(line.toString(), indent, from));
        }
        String joined = String.join("\n", dedented);
        return hashes > 0 ? joined : unescape(joined, from);
    }

    private String dedent(String line, String indent, int from) throws KdlException {
        if (line.codePoints().allMatch(KdlParser::isSpace)) {
            return "";
        }
        if (!line.startsWith(indent)) {
            throw error(from, "a line of this string is indented less than its closing quotes");
        }
        return line.substring(indent.length());
    }

    private String unescape(String body, int from) throws KdlException {
        KdlParser inner = new KdlParser(body);
        StringBuilder out = new StringBuilder();
        while (inner.peek() != END) {
            if (inner.peek() == '\\') {
                try {
                    inner.escape(out);
                } catch (KdlException e) {
                    throw error(from, "a string over lines has an unknown escape");
                }
            } else {
                out.appendCodePoint(inner.text[inner.at++]);
            }
        }
        return out.toString();
    }
}
