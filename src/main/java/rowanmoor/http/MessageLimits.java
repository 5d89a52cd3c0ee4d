package rowanmoor.http;

/**
 * Bounds of one message, all in bytes but {@code fields}.
 *
 * @param startLine request or status line
 * @param head all field lines together; trailers have the same bound again
 * @param fields how many field lines
 * @param body the content after decoding
 */
public record MessageLimits(int maxStartLineBytes, int maxHeadBytes, int maxFieldCount, int maxBodyBytes) {

    /** 4 KiB, 16 KiB, 64 fields, 1 MiB. */
    public static MessageLimits defaults() {
        return new MessageLimits(4096, 16384, 64, 1 << 20);
    }

    public MessageLimits body(int other) {
        return new MessageLimits(maxStartLineBytes, maxHeadBytes, maxFieldCount, other);
    }
}
