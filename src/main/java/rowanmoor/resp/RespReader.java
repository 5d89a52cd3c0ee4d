package rowanmoor.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Incremental decoder for arrays of bulk strings (RESP2: {@code *2 CR LF $3 CR LF foo CR LF ...}). Strict:
 * lengths are plain decimal digits, lines end in CR LF, no other type, no null, no empty array. Memory grows
 * with the bytes received, never with a length that is only announced. A reader that has thrown cannot be
 * used again.
 */
public final class RespReader {

    /** Upper limit on the bytes of one message, including its framing. */
    public static final int MAX_MESSAGE_BYTES = 1 << 20;

    private static final int MAX_LENGTH_DIGITS = 7;
    private static final int INITIAL_PART_BYTES = 32;

    private enum Step { TYPE, LENGTH, LENGTH_END, BYTES, BYTES_CR, BYTES_LF, BROKEN }

    private final int maxParts;
    private int maxMessageBytes;
    private Step step = Step.TYPE;
    private boolean expectArray = true;
    private int digits;
    private int length;
    private int partsLeft;
    private int messageBytes;
    private byte[] part = new byte[INITIAL_PART_BYTES];
    private int partBytes;
    private List<String> parts = new ArrayList<>();

    /**
     * Creates a reader at the start of a message.
     *
     * @param maxMessageBytes maximum bytes of one message, up to {@link #MAX_MESSAGE_BYTES}
     * @param maxParts maximum number of strings in one message
     */
    public RespReader(int maxMessageBytes, int maxParts) {
        this.maxMessageBytes = maxMessageBytes;
        this.maxParts = maxParts;
    }

    /** Changes the limit on the bytes of a message, including one that has begun. */
    public void setMaxMessageBytes(int bytes) {
        maxMessageBytes = bytes;
    }

    /** Returns whether a message has begun and is incomplete. */
    public boolean inMessage() {
        return messageBytes > 0;
    }

    /**
     * Reads to the end of one message and leaves the remaining bytes; returns null if it is incomplete.
     *
     * @throws RespException if the bytes are not valid or exceed a limit
     */
    public List<String> next(ByteBuffer bytes) throws RespException {
        while (bytes.hasRemaining()) {
            if (step == Step.BYTES) {
                copy(bytes);
            } else if (readFraming(bytes.get())) {
                List<String> message = parts;
                parts = new ArrayList<>(message.size());
                messageBytes = 0;
                expectArray = true;
                return message;
            }
        }
        return null;
    }

    /** Reads one byte of framing; returns true if it ends a message. */
    private boolean readFraming(byte b) throws RespException {
        countBytes(1);
        switch (step) {
            case TYPE -> {
                if (b != (expectArray ? '*' : '$')) {
                    throw fail(expectArray ? "no array of bulk strings" : "a part is no bulk string");
                }
                digits = 0;
                length = 0;
                step = Step.LENGTH;
            }
            case LENGTH -> {
                if (b == '\r' && digits > 0) {
                    step = Step.LENGTH_END;
                } else if (b < '0' || b > '9' || ++digits > MAX_LENGTH_DIGITS) {
                    throw fail("a length is no number, or impossible");
                } else {
                    length = length * 10 + b - '0';
                }
            }
            case LENGTH_END -> {
                expect(b, '\n');
                onLength();
            }
            case BYTES_CR -> {
                expect(b, '\r');
                step = Step.BYTES_LF;
            }
            case BYTES_LF -> {
                expect(b, '\n');
                parts.add(new String(part, 0, partBytes, StandardCharsets.UTF_8));
                step = Step.TYPE;
                return --partsLeft == 0;
            }
            default -> throw fail("already unreadable");
        }
        return false;
    }

    private void onLength() throws RespException {
        if (expectArray) {
            if (length < 1 || length > maxParts) {
                throw fail("an array of " + length + " parts");
            }
            partsLeft = length;
            expectArray = false;
            step = Step.TYPE;
            return;
        }
        if (length > maxMessageBytes - messageBytes) {
            throw fail("a message of more than " + maxMessageBytes + " bytes");
        }
        partBytes = 0;
        if (part.length > 16 * INITIAL_PART_BYTES) {
            part = new byte[INITIAL_PART_BYTES]; // releases the buffer of a long part
        }
        step = length == 0 ? Step.BYTES_CR : Step.BYTES;
    }

    private void copy(ByteBuffer bytes) throws RespException {
        int available = Math.min(length - partBytes, bytes.remaining());
        countBytes(available);
        if (part.length < partBytes + available) {
            part = Arrays.copyOf(part, Math.min(length, Math.max(partBytes + available, 2 * part.length)));
        }
        bytes.get(part, partBytes, available);
        partBytes += available;
        step = partBytes == length ? Step.BYTES_CR : Step.BYTES;
    }

    private void countBytes(int bytes) throws RespException {
        messageBytes += bytes;
        if (messageBytes > maxMessageBytes) {
            throw fail("a message of more than " + maxMessageBytes + " bytes");
        }
    }

    private void expect(byte b, char wanted) throws RespException {
        if (b != wanted) {
            throw fail("a line or a part does not end where it should");
        }
    }

    private RespException fail(String reason) {
        step = Step.BROKEN;
        return new RespException(reason);
    }
}
