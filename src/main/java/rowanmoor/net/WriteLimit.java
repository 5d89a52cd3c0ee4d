package rowanmoor.net;

/**
 * Limit of one connection's write queue, and what happens to a frame that exceeds it.
 *
 * @param maxBytes the most bytes queued, 1 or more; a single frame larger than that is never accepted
 * @param maxFrames the most frames queued, 1 or more
 * @param overflowPolicy what is done with a frame that exceeds the limit
 */
public record WriteLimit(long maxBytes, int maxFrames, OverflowPolicy overflowPolicy) {

    /** What happens to a frame that exceeds the limit. */
    public enum OverflowPolicy {
        /** The frame is rejected: {@link Connection#send} returns false. */
        REFUSE,
        /** The connection is closed with {@link CloseReason#OVERFLOW}. */
        CLOSE
    }

    public WriteLimit {
        if (maxBytes < 1 || maxFrames < 1) {
            throw new IllegalArgumentException("a write limit must be 1 or more: " + maxBytes + " bytes, "
                    + maxFrames + " frames");
        }
    }
}
