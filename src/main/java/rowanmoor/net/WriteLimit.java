package rowanmoor.net;

/**
 * How much may wait to be written on one connection, and what happens to a frame beyond it.
 *
 * @param bytes the most bytes that wait, 1 or more; a single frame larger than that is never taken
 * @param frames the most frames that wait, 1 or more
 * @param policy what is done with a frame that does not fit
 */
public record WriteLimit(long maxBytes, int maxFrames, OverflowPolicy overflowPolicy) {

    /** What becomes of a frame that does not fit. */
    public enum OverflowPolicy {
        /** It is not taken: {@link Connection#send} answers false. */
        REFUSE,
        /** The connection is closed with {@link CloseReason#OVERFLOW}. */
        CLOSE
    }

    public WriteLimit {
        if (maxBytes < 1 || maxFrames < 1) {
            throw new IllegalArgumentException("a bound must be 1 or more: " + maxBytes + " bytes, " + maxFrames
                    + " frames");
        }
    }
}
