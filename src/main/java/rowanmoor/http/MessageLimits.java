package rowanmoor.http;

/**
 * Size limits of one message.
 *
 * @param maxStartLineBytes request or status line
 * @param maxHeadBytes all field lines together; the trailers have the same limit separately
 * @param maxFieldCount number of field lines
 * @param maxBodyBytes the content after decoding
 */
public record MessageLimits(int maxStartLineBytes, int maxHeadBytes, int maxFieldCount, int maxBodyBytes) {

    /** 4 KiB, 16 KiB, 64 fields, 1 MiB. */
    public static MessageLimits defaults() {
        return new MessageLimits(4096, 16384, 64, 1 << 20);
    }

    /** A copy with another limit of the content, in bytes. */
    public MessageLimits body(int bytes) {
        return new MessageLimits(maxStartLineBytes, maxHeadBytes, maxFieldCount, bytes);
    }
}
