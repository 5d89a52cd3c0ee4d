package rowanmoor.channel;

/**
 * Bounds on what a peer may send.
 *
 * @param maxFrameBytes bytes of one frame after its length
 * @param maxListEntries entries of any one list within a frame
 * @param maxTextBytes bytes of one text
 */
public record ChannelLimits(int maxFrameBytes, int maxListEntries, int maxTextBytes) {

    /** A mebibyte, 8192 entries, 256 bytes. */
    public static ChannelLimits defaults() {
        return new ChannelLimits(1 << 20, 8192, 256);
    }
}
