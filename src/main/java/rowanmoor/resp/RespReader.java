package rowanmoor.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Reads one array of bulk strings after another (RESP2: {@code *2 CR LF $3 CR LF foo CR LF ...}). Strict:
 * lengths are plain decimal digits, lines end in CR LF, no other type, no null, no empty array. Memory grows
 * with the bytes that came, never with a length that was only announced. A reader that has thrown is of no
 * further use.
 */
public final class RespReader {

    /** The most bytes of one message, its framing included. */
    public static final int MAX_MESSAGE_BYTES = 1 << 20;

    private static final int LENGTH_DIGITS = 7;
    private static final int FIRST_BYTES = 32;

    private enum Step { TYPE, LENGTH, LENGTH_END, BYTES, BYTES_CR, BYTES_LF, BROKEN }

    private final int partsMost;
    private int bytesMost;
    private Step step = Step.TYPE;
    private boolean array = true;
    private int digits;
    private int length;
    private int partsLeft;
    private int taken;
    private byte[] part = new byte[FIRST_BYTES];
    private int partLength;
    private List<String> parts = new ArrayList<>();

    /**
     * @param bytesMost bytes of one message, up to {@link #MAX_MESSAGE_BYTES}
     * @param partsMost strings in one message
     */
    public RespReader(int bytesMost, int partsMost) {
        this.bytesMost = bytesMost;
        this.partsMost = partsMost;
    }

    /** From the next message on (and for the rest of one begun), so many bytes are allowed. */
    public void setMaxMessageBytes(int bytes) {
        bytesMost = bytes;
    }

    /** Whether a message has begun and is not whole. */
    public boolean inMessage() {
        return taken > 0;
    }

    /** Reads up to the end of one message and leaves the rest; null if the bytes end before it does. */
    public List<String> next(ByteBuffer bytes) throws RespException {
        while (bytes.hasRemaining()) {
            if (step == Step.BYTES) {
                copy(bytes);
            } else if (take(bytes.get())) {
                List<String> whole = parts;
                parts = new ArrayList<>(whole.size());
                taken = 0;
                array = true;
                return whole;
            }
        }
        return null;
    }

    /** Takes one byte of framing; true if it ends a message. */
    private boolean take(byte b) throws RespException {
        count(1);
        switch (step) {
            case TYPE -> {
                if (b != (array ? '*' : '$')) {
                    throw broken(array ? "no array of bulk strings" : "a part is no bulk string");
                }
                digits = 0;
                length = 0;
                step = Step.LENGTH;
            }
            case LENGTH -> {
                if (b == '\r' && digits > 0) {
                    step = Step.LENGTH_END;
                } else if (b < '0' || b > '9' || ++digits > LENGTH_DIGITS) {
                    throw broken("a length is no number, or impossible");
                } else {
                    length = length * 10 + b - '0';
                }
            }
            case LENGTH_END -> {
                expect(b, '\n');
                begin();
            }
            case BYTES_CR -> {
                expect(b, '\r');
                step = Step.BYTES_LF;
            }
            case BYTES_LF -> {
                expect(b, '\n');
                parts.add(new String(part, 0, partLength, StandardCharsets.UTF_8));
                step = Step.TYPE;
                return --partsLeft == 0;
            }
            default -> throw broken("already unreadable");
        }
        return false;
    }

    private void begin() throws RespException {
        if (array) {
            if (length < 1 || length > partsMost) {
                throw broken("an array of " + length + " parts");
            }
            partsLeft = length;
            array = false;
            step = Step.TYPE;
            return;
        }
        if (length > bytesMost - taken) {
            throw broken("a message of more than " + bytesMost + " bytes");
        }
        partLength = 0;
        if (part.length > 16 * FIRST_BYTES) {
            part = new byte[FIRST_BYTES]; // a long part's room is not kept
        }
        step = length == 0 ? Step.BYTES_CR : Step.BYTES;
    }

    private void copy(ByteBuffer bytes) throws RespException {
        int some = Math.min(length - partLength, bytes.remaining());
        count(some);
        if (part.length < partLength + some) {
            part = Arrays.copyOf(part, Math.min(length, Math.max(partLength + some, 2 * part.length)));
        }
        bytes.get(part, partLength, some);
        partLength += some;
        step = partLength == length ? Step.BYTES_CR : Step.BYTES;
    }

    private void count(int bytes) throws RespException {
        taken += bytes;
        if (taken > bytesMost) {
            throw broken("a message of more than " + bytesMost + " bytes");
        }
    }

    private void expect(byte b, char wanted) throws RespException {
        if (b != wanted) {
            throw broken("a line or a part does not end where it should");
        }
    }

    private RespException broken(String why) {
        step = Step.BROKEN;
        return new RespException(why);
    }
}
