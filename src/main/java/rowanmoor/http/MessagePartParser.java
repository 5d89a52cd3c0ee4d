package rowanmoor.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Parses successive messages part by part from input split at any point. Strict where leniency allows
 * request smuggling: lines end in CR LF only; no bare CR, no folded lines, no space before a colon; at most
 * one Content-Length, and none together with a chunked coding (RFC 9112, 5 to 7). All sizes are bounded by
 * {@link MessageLimits}. A parser that has thrown must not be used again.
 */
public final class MessagePartParser {

    private enum Step { START, FIELDS, FIXED, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, UNTIL_END, BROKEN }

    private static final int MAX_LENGTH_DIGITS = 15;
    private static final int MAX_CHUNK_SIZE_DIGITS = 7;
    private static final int MAX_CHUNK_LINE_BYTES = 256;
    private static final int MAX_BLANK_LINES = 2;
    private static final int INITIAL_LINE_BYTES = 256;

    private final boolean requests;
    private final MessageLimits limits;
    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int lineLength;
    private Step step = Step.START;
    private boolean sawCr;
    private int blankLines;
    private int headBytes;
    private int fieldCount;
    private long remainingBytes;
    private long bodyBytes;
    private long maxBodyBytes;
    private HttpFields fields = new HttpFields();
    private HttpFields trailers = new HttpFields();
    private String method;
    private String target;
    private String reason;
    private int status;
    private int minor;
    private String requestMethod = "GET";
    private MessagePart pendingPart;
    private boolean endPending;

    private MessagePartParser(boolean requests, MessageLimits limits) {
        this.requests = requests;
        this.limits = limits;
        this.maxBodyBytes = limits.maxBodyBytes();
    }

    public static MessagePartParser forRequests(MessageLimits limits) {
        return new MessagePartParser(true, limits);
    }

    public static MessagePartParser forResponses(MessageLimits limits) {
        return new MessagePartParser(false, limits);
    }

    /** Removes the limit of the content's length, for a caller that streams it; returns this. */
    public MessagePartParser withoutBodyLimit() {
        maxBodyBytes = Long.MAX_VALUE;
        return this;
    }

    /** Sets the request method of the next response: a response to HEAD has no content (RFC 9112, 6.3). */
    public void expectResponseTo(String newRequestMethod) {
        requestMethod = newRequestMethod;
    }

    /** Whether a message has begun and is incomplete. */
    public boolean inMessage() {
        return step != Step.START || lineLength > 0 || sawCr;
    }

    /** The next part, or null if it is incomplete. A content part holds as much content as is available. */
    public MessagePart next(ByteBuffer bytes) throws HttpError {
        if (step == Step.BROKEN) {
            throw new HttpError(400, "the connection's bytes are no longer framed");
        }
        try {
            while (pendingPart == null && !endPending && bytes.hasRemaining()) {
                parseSome(bytes);
            }
        } catch (HttpError e) {
            step = Step.BROKEN;
            throw e;
        }
        return pollPart();
    }

    private MessagePart pollPart() {
        MessagePart part = pendingPart;
        pendingPart = null;
        if (part == null && endPending) {
            endPending = false;
            part = new MessagePart.End(trailers);
            trailers = new HttpFields();
        }
        return part;
    }

    /** Signals the end of input; returns the end part that it completes, or null if no message had begun. */
    public MessagePart end() throws HttpError {
        if (step == Step.UNTIL_END) {
            finishMessage();
            return pollPart();
        }
        if (inMessage()) {
            step = Step.BROKEN;
            throw new HttpError(400, "the bytes end within a message");
        }
        return null;
    }

    private void parseSome(ByteBuffer bytes) throws HttpError {
        switch (step) {
            case FIXED, CHUNK -> parseBody(bytes, (int) Math.min(remainingBytes, bytes.remaining()));
            case UNTIL_END -> {
                remainingBytes = bytes.remaining();
                parseBody(bytes, bytes.remaining());
            }
            default -> parseLineByte(bytes.get() & 0xff);
        }
    }

    private void parseBody(ByteBuffer bytes, int count) throws HttpError {
        if (count > maxBodyBytes - bodyBytes) {
            throw new HttpError(413, "content of more than " + maxBodyBytes + " bytes");
        }
        pendingPart = new MessagePart.Content(bytes.slice(bytes.position(), count));
        bytes.position(bytes.position() + count);
        bodyBytes += count;
        remainingBytes -= count;
        if (remainingBytes == 0 && step == Step.FIXED) {
            finishMessage();
        } else if (remainingBytes == 0 && step == Step.CHUNK) {
            step = Step.CHUNK_END;
        }
    }

    private void parseLineByte(int c) throws HttpError {
        if (sawCr) {
            if (c != '\n') {
                throw new HttpError(400, "a CR without its LF");
            }
            sawCr = false;
            String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1);
            lineLength = 0;
            parseLine(text);
        } else if (c == '\r') {
            sawCr = true;
        } else if (c == '\n') {
            throw new HttpError(400, "an LF without its CR");
        } else {
            if (lineLength == line.length) {
                line = Arrays.copyOf(line, 2 * lineLength); // limited by checkLineLength
            }
            line[lineLength++] = (byte) c;
            checkLineLength();
        }
    }

    private void checkLineLength() throws HttpError {
        if (step == Step.START && lineLength > limits.maxStartLineBytes()) {
            throw new HttpError(requests ? 414 : 400, "a first line of more than "
                    + limits.maxStartLineBytes() + " bytes");
        }
        if (step == Step.CHUNK_END || step == Step.CHUNK_SIZE && lineLength > MAX_CHUNK_LINE_BYTES) {
            throw new HttpError(400, "a chunk is not framed");
        }
        if ((step == Step.FIELDS || step == Step.TRAILERS) && ++headBytes > limits.maxHeadBytes()) {
            throw new HttpError(431, "fields of more than " + limits.maxHeadBytes() + " bytes");
        }
    }

    private void parseLine(String text) throws HttpError {
        switch (step) {
            case START -> parseStartLine(text);
            case FIELDS -> {
                if (text.isEmpty()) {
                    finishHead();
                } else {
                    parseField(text, fields);
                }
            }
            case CHUNK_SIZE -> parseChunkSize(text);
            case CHUNK_END -> step = Step.CHUNK_SIZE;
            case TRAILERS -> {
                if (text.isEmpty()) {
                    finishMessage();
                } else {
                    parseField(text, trailers);
                }
            }
            default -> throw new IllegalStateException("a line in step " + step);
        }
    }

    private void parseStartLine(String text) throws HttpError {
        if (text.isEmpty()) {
            // A server should ignore an empty line before a request (RFC 9112, 2.2), but not any number.
            if (!requests || ++blankLines > MAX_BLANK_LINES) {
                throw new HttpError(400, "empty lines before a message");
            }
            return;
        }
        if (requests) {
            parseRequestLine(text);
        } else {
            parseStatusLine(text);
        }
        step = Step.FIELDS;
    }

    private void parseRequestLine(String text) throws HttpError {
        int first = text.indexOf(' ');
        int last = text.lastIndexOf(' ');
        if (first <= 0 || last <= first + 1 || text.indexOf(' ', first + 1) != last) {
            throw new HttpError(400, "a request line is not METHOD TARGET VERSION");
        }
        method = text.substring(0, first);
        target = text.substring(first + 1, last);
        if (!Syntax.isToken(method)) {
            throw new HttpError(400, "a method is not a token");
        }
        if (!Syntax.isTarget(target)) {
            throw new HttpError(400, "a request target has a character that may not stand there");
        }
        parseVersion(text.substring(last + 1));
    }

    private void parseStatusLine(String text) throws HttpError {
        boolean wellFormed = text.length() >= 12 && text.charAt(8) == ' '
                && (text.length() == 12 || text.charAt(12) == ' ')
                && text.substring(9, 12).chars().allMatch(c -> c >= '0' && c <= '9');
        if (!wellFormed) {
            throw new HttpError(400, "a status line is not VERSION CODE REASON");
        }
        parseVersion(text.substring(0, 8));
        status = Integer.parseInt(text.substring(9, 12));
        reason = text.length() > 13 ? text.substring(13) : "";
        if (status < 100 || status > 599 || !Syntax.isValue(reason)) {
            throw new HttpError(400, "a status line has no valid code and reason");
        }
    }

    private void parseVersion(String text) throws HttpError {
        if (!text.startsWith("HTTP/")) {
            throw new HttpError(400, "a first line names no HTTP version");
        }
        if (!text.equals("HTTP/1.1") && !text.equals("HTTP/1.0")) {
            throw new HttpError(505, "an HTTP version other than 1.0 and 1.1");
        }
        minor = text.charAt(7) - '0';
    }

    private void parseField(String text, HttpFields into) throws HttpError {
        char first = text.charAt(0);
        if (first == ' ' || first == '\t') {
            throw new HttpError(400, "a folded field line");
        }
        int colon = text.indexOf(':');
        if (colon <= 0 || !Syntax.isToken(text.substring(0, colon))) {
            throw new HttpError(400, "a field name is empty, no token, or has a space before its colon");
        }
        if (++fieldCount > limits.maxFieldCount()) {
            throw new HttpError(431, "more than " + limits.maxFieldCount() + " fields");
        }
        String value = trim(text.substring(colon + 1));
        if (!Syntax.isValue(value)) {
            throw new HttpError(400, "a field value has a control character");
        }
        into.add(text.substring(0, colon), value);
    }

    /** Strips spaces and tabs only: {@code String.trim} would drop controls, which must be rejected. */
    private static String trim(String text) {
        int from = 0;
        int to = text.length();
        while (from < to && (text.charAt(from) == ' ' || text.charAt(from) == '\t')) {
            from++;
        }
        while (to > from && (text.charAt(to - 1) == ' ' || text.charAt(to - 1) == '\t')) {
            to--;
        }
        return text.substring(from, to);
    }

    private void finishHead() throws HttpError {
        if (requests && minor == 1 && fields.count("host") != 1) {
            throw new HttpError(400, "a request without exactly one Host");
        }
        int lengths = fields.count("content-length");
        int codings = fields.count("transfer-encoding");
        if (lengths > 1 || lengths == 1 && codings > 0) {
            throw new HttpError(400, "two lengths, or a length beside a transfer coding");
        }
        bodyBytes = 0;
        boolean withoutContent = !requests && (status < 200 || status == 204 || status == 304
                || requestMethod.equals("HEAD"));
        if (codings > 0) {
            checkTransferCoding(withoutContent);
        } else if (lengths == 1) {
            remainingBytes = parseContentLength(fields.get("content-length"));
            if (remainingBytes > maxBodyBytes && !withoutContent) {
                throw new HttpError(413, "content of " + remainingBytes + " bytes");
            }
            step = Step.FIXED;
        } else {
            remainingBytes = 0;
            step = requests ? Step.FIXED : Step.UNTIL_END;
        }
        long length = withoutContent ? 0 : step == Step.CHUNK_SIZE ? MessagePart.CHUNKED
                : step == Step.UNTIL_END ? MessagePart.UNTIL_CLOSE : remainingBytes;
        pendingPart = requests ? new MessagePart.RequestHead(method, target, minor, fields, length)
                : new MessagePart.ResponseHead(status, reason, minor, fields, length);
        fields = new HttpFields();
        fieldCount = 0;
        if (withoutContent || step == Step.FIXED && remainingBytes == 0) {
            finishMessage();
        }
    }

    private void checkTransferCoding(boolean withoutContent) throws HttpError {
        if (fields.count("transfer-encoding") > 1
                || !fields.get("transfer-encoding").equalsIgnoreCase("chunked")) {
            throw new HttpError(501, "a transfer coding other than chunked");
        }
        // A response to HEAD and a 304 may name the coding that the content would have had (RFC 9112, 6.1).
        boolean mayNameCoding = withoutContent && status >= 200 && status != 204;
        if (minor == 0 || withoutContent && !mayNameCoding) {
            throw new HttpError(400, "a transfer coding where none may be");
        }
        step = Step.CHUNK_SIZE;
    }

    private static long parseContentLength(String digits) throws HttpError {
        boolean valid = !digits.isEmpty() && digits.length() <= MAX_LENGTH_DIGITS
                && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!valid) {
            throw new HttpError(400, "a content length is not a number");
        }
        return Long.parseLong(digits);
    }

    private void parseChunkSize(String text) throws HttpError {
        int semicolon = text.indexOf(';');
        String digits = semicolon < 0 ? text : text.substring(0, semicolon);
        boolean hex = !digits.isEmpty() && digits.length() <= MAX_CHUNK_SIZE_DIGITS
                && digits.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128);
        if (!hex || !Syntax.isValue(text)) {
            throw new HttpError(400, "a chunk size is not a hexadecimal number");
        }
        remainingBytes = Long.parseLong(digits, 16);
        if (remainingBytes > maxBodyBytes - bodyBytes) {
            throw new HttpError(413, "content of more than " + maxBodyBytes + " bytes");
        }
        headBytes = 0;
        step = remainingBytes == 0 ? Step.TRAILERS : Step.CHUNK;
    }

    private void finishMessage() {
        endPending = true;
        headBytes = 0;
        fieldCount = 0;
        blankLines = 0;
        remainingBytes = 0;
        step = Step.START;
    }
}
