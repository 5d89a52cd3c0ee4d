package rowanmoor.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads one message after another, part by part, from bytes that come in any pieces. Strict where leniency
 * has let
 * requests be smuggled: lines end in CR LF and nothing else; no bare CR, no folded line, no space before
 * a colon; one length at most, and never a length beside a chunked coding (RFC 9112, 5 to 7). Everything
 * is bounded by {@link MessageLimits}. A parser that has thrown is of no further use.
 */
public final class MessagePartParser {

    private enum Step { START, FIELDS, FIXED, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, UNTIL_END, BROKEN }

    private static final int LENGTH_DIGITS = 15;
    private static final int CHUNK_DIGITS = 7;
    private static final int CHUNK_LINE = 256;
    private static final int BLANK_LINES = 2;
    private static final int FIRST_LINE = 256;

    private final boolean requests;
    private final MessageLimits limits;
    private byte[] line = new byte[FIRST_LINE];
    private int lineLength;
    private Step step = Step.START;
    private boolean sawCr;
    private int blanks;
    private int headBytes;
    private int fieldCount;
    private long left;
    private long bodyBytes;
    private long bodyMost;
    private HttpFields fields = new HttpFields();
    private HttpFields trailers = new HttpFields();
    private String method;
    private String target;
    private String reason;
    private int status;
    private int minor;
    private String answerTo = "GET";
    private MessagePart done;
    private boolean endDue;

    private MessagePartParser(boolean requests, MessageLimits limits) {
        this.requests = requests;
        this.limits = limits;
        this.bodyMost = limits.maxBodyBytes();
    }

    public static MessagePartParser forRequests(MessageLimits limits) {
        return new MessagePartParser(true, limits);
    }

    public static MessagePartParser forResponses(MessageLimits limits) {
        return new MessagePartParser(false, limits);
    }

    /** Content of any length: for one who passes it on piece by piece. */
    public MessagePartParser withoutBodyLimit() {
        bodyMost = Long.MAX_VALUE;
        return this;
    }

    /** Which method the next response answers: one to HEAD has no content (RFC 9112, 6.3). */
    public void expectResponseTo(String itsMethod) {
        answerTo = itsMethod;
    }

    /** Whether a message has begun and is not whole. */
    public boolean inMessage() {
        return step != Step.START || lineLength > 0 || sawCr;
    }

    /** The next part, or null if the bytes end before it does. A piece is as much content as there is. */
    public MessagePart next(ByteBuffer bytes) throws HttpError {
        if (step == Step.BROKEN) {
            throw new HttpError(400, "the connection's bytes are no longer framed");
        }
        try {
            while (done == null && !endDue && bytes.hasRemaining()) {
                take(bytes);
            }
        } catch (HttpError e) {
            step = Step.BROKEN;
            throw e;
        }
        return taken();
    }

    private MessagePart taken() {
        MessagePart part = done;
        done = null;
        if (part == null && endDue) {
            endDue = false;
            part = new MessagePart.End(trailers);
            trailers = new HttpFields();
        }
        return part;
    }

    /** The peer has ended its bytes: the end that this makes, or null if no message had begun. */
    public MessagePart end() throws HttpError {
        if (step == Step.UNTIL_END) {
            finish();
            return taken();
        }
        if (inMessage()) {
            step = Step.BROKEN;
            throw new HttpError(400, "the bytes end within a message");
        }
        return null;
    }

    private void take(ByteBuffer bytes) throws HttpError {
        switch (step) {
            case FIXED, CHUNK -> takeBody(bytes, (int) Math.min(left, bytes.remaining()));
            case UNTIL_END -> {
                left = bytes.remaining();
                takeBody(bytes, bytes.remaining());
            }
            default -> takeLineByte(bytes.get() & 0xff);
        }
    }

    private void takeBody(ByteBuffer bytes, int count) throws HttpError {
        if (count > bodyMost - bodyBytes) {
            throw new HttpError(413, "content of more than " + bodyMost + " bytes");
        }
        done = new MessagePart.Piece(bytes.slice(bytes.position(), count));
        bytes.position(bytes.position() + count);
        bodyBytes += count;
        left -= count;
        if (left == 0 && step == Step.FIXED) {
            finish();
        } else if (left == 0 && step == Step.CHUNK) {
            step = Step.CHUNK_END;
        }
    }

    private void takeLineByte(int c) throws HttpError {
        if (sawCr) {
            if (c != '\n') {
                throw new HttpError(400, "a CR without its LF");
            }
            sawCr = false;
            String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1);
            lineLength = 0;
            takeLine(text);
        } else if (c == '\r') {
            sawCr = true;
        } else if (c == '\n') {
            throw new HttpError(400, "an LF without its CR");
        } else {
            if (lineLength == line.length) {
                line = Arrays.copyOf(line, 2 * lineLength); // bounded by the check below
            }
            line[lineLength++] = (byte) c;
            checkLineLength();
        }
    }

    private void checkLineLength() throws HttpError {
        if (step == Step.START && lineLength > limits.maxStartLineBytes()) {
            throw new HttpError(requests ? 414 : 400, "a first line of more than " + limits.maxStartLineBytes()
                    + " bytes");
        }
        if (step == Step.CHUNK_END || step == Step.CHUNK_SIZE && lineLength > CHUNK_LINE) {
            throw new HttpError(400, "a chunk is not framed");
        }
        if ((step == Step.FIELDS || step == Step.TRAILERS) && ++headBytes > limits.maxHeadBytes()) {
            throw new HttpError(431, "fields of more than " + limits.maxHeadBytes() + " bytes");
        }
    }

    private void takeLine(String text) throws HttpError {
        switch (step) {
            case START -> takeStart(text);
            case FIELDS -> {
                if (text.isEmpty()) {
                    takeHead();
                } else {
                    takeField(text, fields);
                }
            }
            case CHUNK_SIZE -> takeChunkSize(text);
            case CHUNK_END -> step = Step.CHUNK_SIZE;
            case TRAILERS -> {
                if (text.isEmpty()) {
                    finish();
                } else {
                    takeField(text, trailers);
                }
            }
            default -> throw new IllegalStateException("a line in step " + step);
        }
    }

    private void takeStart(String text) throws HttpError {
        if (text.isEmpty()) {
            // A server should ignore an empty line before a request (RFC 9112, 2.2); not any number of them.
            if (!requests || ++blanks > BLANK_LINES) {
                throw new HttpError(400, "empty lines before a message");
            }
            return;
        }
        if (requests) {
            takeRequestLine(text);
        } else {
            takeStatusLine(text);
        }
        step = Step.FIELDS;
    }

    private void takeRequestLine(String text) throws HttpError {
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
        takeVersion(text.substring(last + 1));
    }

    private void takeStatusLine(String text) throws HttpError {
        boolean shaped = text.length() >= 12 && text.charAt(8) == ' '
                && (text.length() == 12 || text.charAt(12) == ' ')
                && text.substring(9, 12).chars().allMatch(c -> c >= '0' && c <= '9');
        if (!shaped) {
            throw new HttpError(400, "a status line is not VERSION CODE REASON");
        }
        takeVersion(text.substring(0, 8));
        status = Integer.parseInt(text.substring(9, 12));
        reason = text.length() > 13 ? text.substring(13) : "";
        if (status < 100 || status > 599 || !Syntax.isValue(reason)) {
            throw new HttpError(400, "a status line has no valid code and reason");
        }
    }

    private void takeVersion(String text) throws HttpError {
        if (!text.startsWith("HTTP/")) {
            throw new HttpError(400, "a first line names no HTTP version");
        }
        if (!text.equals("HTTP/1.1") && !text.equals("HTTP/1.0")) {
            throw new HttpError(505, "an HTTP version other than 1.0 and 1.1");
        }
        minor = text.charAt(7) - '0';
    }

    private void takeField(String text, HttpFields into) throws HttpError {
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

    /** Without spaces and tabs around; what else {@code String.trim} takes may not be dropped unseen. */
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

    private void takeHead() throws HttpError {
        if (requests && minor == 1 && fields.count("host") != 1) {
            throw new HttpError(400, "a request without exactly one Host");
        }
        int lengths = fields.count("content-length");
        int codings = fields.count("transfer-encoding");
        if (lengths > 1 || lengths == 1 && codings > 0) {
            throw new HttpError(400, "two lengths, or a length beside a transfer coding");
        }
        bodyBytes = 0;
        boolean bare = !requests && (status < 200 || status == 204 || status == 304
                || answerTo.equals("HEAD"));
        if (codings > 0) {
            takeCoding(bare);
        } else if (lengths == 1) {
            left = length(fields.get("content-length"));
            if (left > bodyMost && !bare) {
                throw new HttpError(413, "content of " + left + " bytes");
            }
            step = Step.FIXED;
        } else {
            left = 0;
            step = requests ? Step.FIXED : Step.UNTIL_END;
        }
        long length = bare ? 0 : step == Step.CHUNK_SIZE ? MessagePart.CHUNKED : step == Step.UNTIL_END
                ? MessagePart.UNTIL_CLOSE : left;
        done = requests ? new MessagePart.RequestHead(method, target, minor, fields, length)
                : new MessagePart.ResponseHead(status, reason, minor, fields, length);
        fields = new HttpFields();
        fieldCount = 0;
        if (bare || step == Step.FIXED && left == 0) {
            finish();
        }
    }

    private void takeCoding(boolean bare) throws HttpError {
        if (fields.count("transfer-encoding") > 1
                || !fields.get("transfer-encoding").equalsIgnoreCase("chunked")) {
            throw new HttpError(501, "a transfer coding other than chunked");
        }
        // An answer to HEAD and a 304 may name the coding that content would have had (RFC 9112, 6.1).
        boolean names = bare && status >= 200 && status != 204;
        if (minor == 0 || bare && !names) {
            throw new HttpError(400, "a transfer coding where none may be");
        }
        step = Step.CHUNK_SIZE;
    }

    private static long length(String digits) throws HttpError {
        boolean whole = !digits.isEmpty() && digits.length() <= LENGTH_DIGITS
                && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!whole) {
            throw new HttpError(400, "a content length is not a number");
        }
        return Long.parseLong(digits);
    }

    private void takeChunkSize(String text) throws HttpError {
        int semicolon = text.indexOf(';');
        String digits = semicolon < 0 ? text : text.substring(0, semicolon);
        boolean hex = !digits.isEmpty() && digits.length() <= CHUNK_DIGITS
                && digits.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128);
        if (!hex || !Syntax.isValue(text)) {
            throw new HttpError(400, "a chunk size is not a hexadecimal number");
        }
        left = Long.parseLong(digits, 16);
        if (left > bodyMost - bodyBytes) {
            throw new HttpError(413, "content of more than " + bodyMost + " bytes");
        }
        headBytes = 0;
        step = left == 0 ? Step.TRAILERS : Step.CHUNK;
    }

    private void finish() {
        endDue = true;
        headBytes = 0;
        fieldCount = 0;
        blanks = 0;
        left = 0;
        step = Step.START;
    }
}
