package rowanmoor.channel;

/**
 * Bounds on what a peer may send.
 *
 * @param frame bytes of one frame after its length
 * @param items entries of any one list within a frame
 * @param text bytes of one text
 */
public record ChannelLimits(int frame, int items, int text) {

    /** A mebibyte, 8192 entries, 256 bytes. */
    public static ChannelLimits usual() {
        return new ChannelLimits(1 << 20, 8192, 256);
    }
}
