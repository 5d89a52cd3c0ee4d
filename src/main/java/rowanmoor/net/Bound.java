package rowanmoor.net;

/**
 * How much may wait to be written on one connection, and what happens to a frame beyond it.
 *
 * @param bytes the most bytes that wait, 1 or more; a single frame larger than that is never taken
 * @param frames the most frames that wait, 1 or more
 * @param policy what is done with a frame that does not fit
 */
public record Bound(long bytes, int frames, Policy policy) {

    /** What becomes of a frame that does not fit. */
    public enum Policy {
        /** It is not taken: {@link Connection#send} answers false. */
        REFUSE,
        /** The connection is closed with {@link Close#OVERFLOW}. */
        CLOSE
    }

    public Bound {
        if (bytes < 1 || frames < 1) {
            throw new IllegalArgumentException("a bound must be 1 or more: " + bytes + " bytes, " + frames
                    + " frames");
        }
    }
}
