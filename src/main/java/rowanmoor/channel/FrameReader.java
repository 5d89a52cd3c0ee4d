package rowanmoor.channel;

import java.nio.ByteBuffer;

/**
 * Splits a byte stream into frames, regardless of how the bytes are fragmented. Unusable after the first
 * error, because the next frame boundary is then unknown.
 */
public final class FrameReader {

    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final int LENGTH_PREFIX_BYTES = 4;

    private final ChannelLimits limits;
    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    private int frameLength = -1;
    private boolean failed;

    public FrameReader(ChannelLimits limits) {
        this.limits = limits;
    }

    /** Returns whether part of a frame has been received and the rest is outstanding. */
    public boolean hasPartialFrame() {
        return frameLength >= 0 || buffer.position() > 0;
    }

    /**
     * Consumes bytes up to the end of the next frame.
     *
     * @return the frame, or null if {@code bytes} ran out before the frame was complete
     * @throws ChannelException if the frame is malformed or too long, or if an earlier call failed
     */
    public Frame next(ByteBuffer bytes) throws ChannelException {
        if (failed) {
            throw new ChannelException("the stream is no longer framed");
        }
        if (frameLength < 0) {
            fillBuffer(bytes, LENGTH_PREFIX_BYTES);
            if (buffer.position() < LENGTH_PREFIX_BYTES) {
                return null;
            }
            long declaredLength = buffer.getInt(0) & 0xffffffffL;
            if (declaredLength < 1 || declaredLength > limits.maxFrameBytes()) {
                failed = true;
                throw new ChannelException("a frame of " + declaredLength + " bytes");
            }
            frameLength = (int) declaredLength;
            buffer.clear();
        }
        fillBuffer(bytes, frameLength);
        if (buffer.position() < frameLength) {
            return null;
        }
        frameLength = -1;
        ByteBuffer frameBytes = buffer.flip();
        try {
            return Codec.decode(frameBytes, limits);
        } catch (ChannelException e) {
            failed = true;
            throw e;
        } finally {
            buffer.clear();
        }
    }

    /**
     * Moves bytes into the buffer until it holds {@code targetBytes}. The buffer grows with the bytes
     * received, never with the declared frame length alone.
     */
    private void fillBuffer(ByteBuffer bytes, int targetBytes) {
        int count = Math.min(targetBytes - buffer.position(), bytes.remaining());
        if (count > buffer.remaining()) {
            int capacity = Math.min(targetBytes, Math.max(buffer.capacity() * 2, buffer.position() + count));
            buffer = ByteBuffer.allocate(capacity).put(buffer.flip());
        }
        buffer.put(bytes.slice(bytes.position(), count));
        bytes.position(bytes.position() + count);
    }
}
