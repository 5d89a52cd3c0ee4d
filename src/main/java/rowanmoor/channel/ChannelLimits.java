package rowanmoor.channel;

/**
 * Upper bounds on the size of received frames.
 *
 * @param maxFrameBytes size of one frame, without its length prefix
 * @param maxListEntries entries of any one list within a frame
 * @param maxTextBytes size of one text field, encoded as UTF-8
 */
public record ChannelLimits(int maxFrameBytes, int maxListEntries, int maxTextBytes) {

    /** The limits used in production: 1 MiB per frame, 8192 list entries, 256 bytes per text. */
    public static ChannelLimits defaults() {
        return new ChannelLimits(1 << 20, 8192, 256);
    }
}
