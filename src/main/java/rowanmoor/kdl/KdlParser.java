package rowanmoor.kdl;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Recursive-descent parser. Nesting is limited, so that malicious text cannot exhaust the stack. */
public final class KdlParser {

    private static final int MAX_DEPTH = 128;
    private static final int MAX_EXPONENT_DIGITS = 4;
    private static final int END_OF_TEXT = -1;
    private static final Set<String> RESERVED_WORDS = Set.of("true", "false", "null", "inf", "-inf", "nan");
    private static final String NON_IDENTIFIER_CHARS = "\\/(){};[]\"#=";

    private final int[] text;
    private int position;
    private int depth;

    private KdlParser(String source) {
        text = source.codePoints().toArray();
    }

    /**
     * Returns the top-level nodes of a document.
     *
     * @throws KdlException if the text is not a valid KDL 2.0 document
     */
    public static List<Node> parse(String source) throws KdlException {
        KdlParser parser = new KdlParser(source);
        parser.checkCharacters();
        if (parser.peek() == 0xfeff) {
            parser.position++;
        }
        List<Node> nodes = parser.parseNodes(false);
        if (parser.peek() != END_OF_TEXT) {
            throw parser.error("a closing brace without an opening brace");
        }
        return nodes;
    }

    // ---- characters -------------------------------------------------------------------------------------

    private int peek() {
        return peek(0);
    }

    private int peek(int ahead) {
        return position + ahead < text.length ? text[position + ahead] : END_OF_TEXT;
    }

    private boolean lookingAt(String expected) {
        for (int i = 0; i < expected.length(); i++) {
            if (peek(i) != expected.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private KdlException error(String problem) {
        return error(position, problem);
    }

    private KdlException error(int offset, String problem) {
        return new KdlException(line(offset), column(offset), problem);
    }

    private int line(int offset) {
        int line = 1;
        for (int i = 0; i < Math.min(offset, text.length); i++) {
            boolean crLf = text[i] == '\r' && i + 1 < text.length && text[i + 1] == '\n';
            line += isNewline(text[i]) && !crLf ? 1 : 0;
        }
        return line;
    }

    private int column(int offset) {
        int column = 1;
        for (int i = Math.min(offset, text.length) - 1; i >= 0 && !isNewline(text[i]); i--) {
            column++;
        }
        return column;
    }

    private void checkCharacters() throws KdlException {
        for (int i = 0; i < text.length; i++) {
            int c = text[i];
            boolean forbidden = c < 9 || c > 13 && c < 32 || c == 0x7f || c >= 0xd800 && c <= 0xdfff
                    || c == 0x200e || c == 0x200f || c >= 0x202a && c <= 0x202e
                    || c >= 0x2066 && c <= 0x2069 || c == 0xfeff && i > 0;
            if (forbidden) {
                throw error(i, String.format("character U+%04X is not allowed in a document", c));
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
        return c != END_OF_TEXT && !isSpace(c) && !isNewline(c) && NON_IDENTIFIER_CHARS.indexOf(c) < 0;
    }

    private static boolean isDigit(int c) {
        return c >= '0' && c <= '9';
    }

    // ---- white space and comments -----------------------------------------------------------------------

    private void skipNewline() {
        position += peek() == '\r' && peek(1) == '\n' ? 2 : 1;
    }

    /** Skips spaces and block comments; returns whether there were any. */
    private boolean skipSpace() throws KdlException {
        int start = position;
        while (true) {
            if (isSpace(peek())) {
                position++;
            } else if (lookingAt("/*")) {
                skipBlockComment();
            } else {
                return position > start;
            }
        }
    }

    /** Skips space within a node, including line continuations (a backslash at the end of a line). */
    private boolean skipNodeSpace() throws KdlException {
        int start = position;
        while (skipSpace() || peek() == '\\') {
            if (peek() == '\\') {
                skipLineContinuation();
            }
        }
        return position > start;
    }

    private void skipLineContinuation() throws KdlException {
        int start = position++;
        skipSpace();
        if (lookingAt("//")) {
            skipLineComment();
        }
        if (isNewline(peek())) {
            skipNewline();
        } else if (peek() != END_OF_TEXT) {
            throw error(start, "a backslash must be at the end of its line");
        }
    }

    /** Skips space between nodes, including newlines and single-line comments. */
    private void skipLineSpace() throws KdlException {
        while (true) {
            if (isNewline(peek())) {
                skipNewline();
            } else if (lookingAt("//")) {
                skipLineComment();
            } else if (!skipNodeSpace()) {
                return;
            }
        }
    }

    private void skipLineComment() {
        while (peek() != END_OF_TEXT && !isNewline(peek())) {
            position++;
        }
    }

    private void skipBlockComment() throws KdlException {
        int start = position;
        position += 2;
        for (int open = 1; open > 0;) {
            if (lookingAt("*/")) {
                open--;
                position += 2;
            } else if (lookingAt("/*")) {
                open++;
                position += 2;
            } else if (peek() == END_OF_TEXT) {
                throw error(start, "comment is not closed");
            } else {
                position++;
            }
        }
    }

    // ---- nodes ------------------------------------------------------------------------------------------

    private List<Node> parseNodes(boolean inBlock) throws KdlException {
        if (++depth > MAX_DEPTH) {
            throw error("blocks are nested more than " + MAX_DEPTH + " levels deep");
        }
        List<Node> nodes = new ArrayList<>();
        while (true) {
            skipLineSpace();
            if (peek() == END_OF_TEXT || peek() == '}') {
                break;
            }
            boolean skipped = skipSlashDash();
            Node node = parseNode(inBlock);
            if (!skipped) {
                nodes.add(node);
            }
        }
        depth--;
        return nodes;
    }

    private boolean skipSlashDash() throws KdlException {
        if (!lookingAt("/-")) {
            return false;
        }
        position += 2;
        skipLineSpace();
        return true;
    }

    private Node parseNode(boolean inBlock) throws KdlException {
        String type = parseAnnotation();
        int start = position;
        String name = parseString("a node name");
        List<Value> arguments = new ArrayList<>();
        Map<String, Value> properties = new LinkedHashMap<>();
        List<Node> children = null;
        boolean blockSeen = false;
        while (true) {
            boolean spaced = skipNodeSpace();
            boolean skipped = skipSlashDash();
            int c = peek();
            if (c == '{') {
                List<Node> block = parseBlock();
                if (!skipped && children != null) {
                    throw error("a node has more than one block of children");
                }
                children = skipped ? children : block;
                blockSeen = true;
            } else if (!skipped && skipNodeEnd(inBlock)) {
                return new Node(type, name, arguments, properties, children == null ? List.of() : children,
                        line(start), column(start));
            } else {
                if (blockSeen) {
                    throw error("a node must end after its children");
                }
                if (!spaced && !skipped) {
                    throw error("missing space before " + describeCurrent());
                }
                parseEntry(arguments, properties, skipped);
            }
        }
    }

    private boolean skipNodeEnd(boolean inBlock) {
        int c = peek();
        if (c == END_OF_TEXT || inBlock && c == '}') {
            return true;
        }
        if (c == ';') {
            position++;
            return true;
        }
        if (isNewline(c)) {
            skipNewline();
            return true;
        }
        if (lookingAt("//")) {
            skipLineComment();
            return true;
        }
        return false;
    }

    private List<Node> parseBlock() throws KdlException {
        int start = position++;
        List<Node> children = parseNodes(true);
        if (peek() != '}') {
            throw error(start, "block is not closed");
        }
        position++;
        return children;
    }

    private String describeCurrent() {
        return peek() == END_OF_TEXT ? "the end of the document" : "'" + Character.toString(peek()) + "'";
    }

    private String parseAnnotation() throws KdlException {
        if (peek() != '(') {
            return null;
        }
        position++;
        skipNodeSpace();
        String type = parseString("a type");
        skipNodeSpace();
        if (peek() != ')') {
            throw error("type annotation is not closed");
        }
        position++;
        skipNodeSpace();
        return type;
    }

    private void parseEntry(List<Value> arguments, Map<String, Value> properties, boolean skipped)
            throws KdlException {
        int start = position;
        boolean annotated = peek() == '(';
        Value value = parseValue();
        int end = position;
        if (!annotated && value.isString()) {
            skipNodeSpace();
            if (peek() == '=') {
                position++;
                skipNodeSpace();
                Value propertyValue = parseValue();
                if (!skipped) {
                    properties.put((String) value.content(), propertyValue);
                }
                return;
            }
            position = end;
        }
        if (peek() == '=') {
            throw error(start, "a property name must be a string without type annotation");
        }
        if (!skipped) {
            arguments.add(value);
        }
    }

    // ---- values -----------------------------------------------------------------------------------------

    private Value parseValue() throws KdlException {
        String type = parseAnnotation();
        int start = position;
        Object content;
        int sign = peek() == '+' || peek() == '-' ? 1 : 0;
        if (isDigit(peek(sign))) {
            content = parseNumber();
        } else if (peek() == '#' && peek(1) != '"' && peek(1) != '#') {
            content = parseKeyword();
        } else {
            content = parseString("a value");
        }
        return new Value(type, content, line(start), column(start));
    }

    private Object parseKeyword() throws KdlException {
        int start = position++;
        StringBuilder word = new StringBuilder();
        while (isIdentifierChar(peek())) {
            word.appendCodePoint(text[position++]);
        }
        return switch (word.toString()) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            case "inf" -> Value.SpecialNumber.INFINITY;
            case "-inf" -> Value.SpecialNumber.MINUS_INFINITY;
            case "nan" -> Value.SpecialNumber.NOT_A_NUMBER;
            default -> throw error(start, "unknown keyword: #" + word);
        };
    }

    private Object parseNumber() throws KdlException {
        int start = position;
        StringBuilder word = new StringBuilder();
        while (isIdentifierChar(peek())) {
            word.appendCodePoint(text[position++]);
        }
        String all = word.toString();
        boolean minus = all.startsWith("-");
        String digits = minus || all.startsWith("+") ? all.substring(1) : all;
        int radix = digits.startsWith("0x") ? 16 : digits.startsWith("0o") ? 8
                : digits.startsWith("0b") ? 2 : 10;
        if (radix == 10) {
            if (!digits.matches("[0-9][0-9_]*(\\.[0-9][0-9_]*)?([eE][+-]?[0-9][0-9_]*)?")) {
                throw error(start, "not a number: " + all);
            }
            int e = digits.toLowerCase(java.util.Locale.ROOT).indexOf('e');
            if (e >= 0 && digits.substring(e + 1).replaceAll("[+_-]", "").length() > MAX_EXPONENT_DIGITS) {
                throw error(start, "exponent has more than " + MAX_EXPONENT_DIGITS + " digits");
            }
            BigDecimal magnitude = new BigDecimal(digits.replace("_", ""));
            return minus ? magnitude.negate() : magnitude;
        }
        String body = digits.substring(2);
        String allowed = radix == 16 ? "0123456789abcdefABCDEF" : radix == 8 ? "01234567" : "01";
        boolean valid = !body.isEmpty() && body.charAt(0) != '_'
                && body.chars().allMatch(c -> c == '_' || allowed.indexOf(c) >= 0);
        if (!valid) {
            throw error(start, "not a number: " + all);
        }
        BigDecimal magnitude = new BigDecimal(new BigInteger(body.replace("_", ""), radix));
        return minus ? magnitude.negate() : magnitude;
    }

    private String parseString(String expected) throws KdlException {
        if (peek() == '"') {
            return lookingAt("\"\"\"") ? parseMultiLine(0) : parseQuoted();
        }
        if (peek() == '#') {
            return parseRaw();
        }
        return parseIdentifier(expected);
    }

    private String parseIdentifier(String expected) throws KdlException {
        int start = position;
        StringBuilder word = new StringBuilder();
        while (isIdentifierChar(peek())) {
            word.appendCodePoint(text[position++]);
        }
        String all = word.toString();
        if (all.isEmpty()) {
            throw error("expected " + expected + ", found " + describeCurrent());
        }
        if (RESERVED_WORDS.contains(all)) {
            throw error(start, "reserved word " + all + ": write #" + all + " or quote it");
        }
        if (all.matches("[+-]?\\.?[0-9].*")) {
            throw error(start, "an identifier must not look like a number: " + all);
        }
        return all;
    }

    private String parseQuoted() throws KdlException {
        int start = position++;
        StringBuilder out = new StringBuilder();
        while (peek() != '"') {
            if (peek() == END_OF_TEXT || isNewline(peek())) {
                throw error(start, "string is not closed on its line");
            }
            if (peek() == '\\') {
                if (!skipEscapedSpace()) {
                    parseEscape(out);
                }
            } else {
                out.appendCodePoint(text[position++]);
            }
        }
        position++;
        return out.toString();
    }

    /** Skips a backslash and the white space after it, which are not part of the string. */
    private boolean skipEscapedSpace() {
        if (!isSpace(peek(1)) && !isNewline(peek(1))) {
            return false;
        }
        position++;
        while (isSpace(peek()) || isNewline(peek())) {
            position++;
        }
        return true;
    }

    private void parseEscape(StringBuilder out) throws KdlException {
        int start = position++;
        int c = peek();
        position++;
        switch (c) {
            case 'n' -> out.append('\n');
            case 'r' -> out.append('\r');
            case 't' -> out.append('\t');
            case 'b' -> out.append('\b');
            case 'f' -> out.append('\f');
            case 's' -> out.append(' ');
            case '"' -> out.append('"');
            case '\\' -> out.append('\\');
            case 'u' -> out.appendCodePoint(parseUnicodeEscape(start));
            default -> throw error(start, "unknown escape sequence");
        }
    }

    private int parseUnicodeEscape(int start) throws KdlException {
        int close = position + 1;
        while (close < text.length && Character.digit(text[close], 16) >= 0 && text[close] < 128) {
            close++;
        }
        int digits = close - position - 1;
        if (peek() != '{' || digits < 1 || digits > 6 || close >= text.length || text[close] != '}') {
            throw error(start, "invalid escape sequence: expected \\u{1 to 6 hexadecimal digits}");
        }
        int code = Integer.parseInt(new String(text, position + 1, digits), 16);
        if (code > 0x10ffff || code >= 0xd800 && code <= 0xdfff) {
            throw error(start, "escape sequence is not a Unicode scalar value");
        }
        position = close + 1;
        return code;
    }

    private String parseRaw() throws KdlException {
        int start = position;
        int hashes = 0;
        while (peek() == '#') {
            hashes++;
            position++;
        }
        if (peek() != '"') {
            throw error(start, "raw string has no opening quote");
        }
        if (lookingAt("\"\"\"")) {
            return parseMultiLine(hashes);
        }
        position++;
        StringBuilder out = new StringBuilder();
        while (!atClosingDelimiter(1, hashes)) {
            if (peek() == END_OF_TEXT || isNewline(peek())) {
                throw error(start, "raw string is not closed on its line");
            }
            out.appendCodePoint(text[position++]);
        }
        position += 1 + hashes;
        return out.toString();
    }

    private boolean atClosingDelimiter(int quotes, int hashes) {
        for (int i = 0; i < quotes + hashes; i++) {
            if (peek(i) != (i < quotes ? '"' : '#')) {
                return false;
            }
        }
        return true;
    }

    /** Parses a multi-line string; the white space before its closing quotes is removed from each line. */
    private String parseMultiLine(int hashes) throws KdlException {
        int start = position;
        position += 3;
        if (!isNewline(peek())) {
            throw error(start, "a multi-line string must start with a newline after its quotes");
        }
        skipNewline();
        List<StringBuilder> lines = new ArrayList<>(List.of(new StringBuilder()));
        while (!atClosingDelimiter(3, hashes)) {
            StringBuilder last = lines.get(lines.size() - 1);
            if (peek() == END_OF_TEXT) {
                throw error(start, "multi-line string is not closed");
            } else if (isNewline(peek())) {
                skipNewline();
                lines.add(new StringBuilder());
            } else if (hashes == 0 && peek() == '\\') {
                // Escaped white space is removed before dedenting; other escapes are resolved after it.
                if (!skipEscapedSpace()) {
                    last.appendCodePoint(text[position++]);
                    if (peek() != END_OF_TEXT) {
                        last.appendCodePoint(text[position++]);
                    }
                }
            } else {
                last.appendCodePoint(text[position++]);
            }
        }
        position += 3 + hashes;
        String indent = lines.remove(lines.size() - 1).toString();
        if (!indent.codePoints().allMatch(KdlParser::isSpace)) {
            throw error(start, "only white space may precede the closing quotes of a multi-line string");
        }
        List<String> dedented = new ArrayList<>();
        for (StringBuilder line : lines) {
            dedented.add(dedent(line.toString(), indent, start));
        }
        String joined = String.join("\n", dedented);
        return hashes > 0 ? joined : unescape(joined, start);
    }

    private String dedent(String line, String indent, int start) throws KdlException {
        if (line.codePoints().allMatch(KdlParser::isSpace)) {
            return "";
        }
        if (!line.startsWith(indent)) {
            throw error(start, "a line of the string is indented less than its closing quotes");
        }
        return line.substring(indent.length());
    }

    private String unescape(String body, int start) throws KdlException {
        KdlParser inner = new KdlParser(body);
        StringBuilder out = new StringBuilder();
        while (inner.peek() != END_OF_TEXT) {
            if (inner.peek() == '\\') {
                try {
                    inner.parseEscape(out);
                } catch (KdlException e) {
                    throw error(start, "multi-line string has an unknown escape sequence");
                }
            } else {
                out.appendCodePoint(inner.text[inner.position++]);
            }
        }
        return out.toString();
    }
}
