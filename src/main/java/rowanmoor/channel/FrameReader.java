package rowanmoor.channel;

import java.nio.ByteBuffer;

/** Cuts a stream into frames, however its bytes come. After an error it is of no further use. */
public final class FrameReader {

    private static final int INITIAL_BUFFER_BYTES = 512;

    private final ChannelLimits limits;
    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    private int frameLength = -1;
    private boolean failed;

    public FrameReader(ChannelLimits limits) {
        this.limits = limits;
    }

    /** Whether a frame has begun and is not whole. */
    public boolean hasPartialFrame() {
        return frameLength >= 0 || buffer.position() > 0;
    }

    /** The next whole frame, or null if the bytes end before it does; leaves the bytes behind it. */
    public Frame next(ByteBuffer bytes) throws ChannelException {
        if (failed) {
            throw new ChannelException("the stream is no longer framed");
        }
        if (frameLength < 0) {
            fillBuffer(bytes, 4);
            if (buffer.position() < 4) {
                return null;
            }
            long stated = buffer.getInt(0) & 0xffffffffL;
            if (stated < 1 || stated > limits.maxFrameBytes()) {
                failed = true;
                throw new ChannelException("a frame of " + stated + " bytes");
            }
            frameLength = (int) stated;
            buffer.clear();
        }
        fillBuffer(bytes, frameLength);
        if (buffer.position() < frameLength) {
            return null;
        }
        frameLength = -1;
        ByteBuffer whole = buffer.flip();
        try {
            return Codec.decode(whole, limits);
        } catch (ChannelException e) {
            failed = true;
            throw e;
        } finally {
            buffer.clear();
        }
    }

    /** Holds bytes up to a count. Room grows with what has come, never ahead of it. */
    private void fillBuffer(ByteBuffer bytes, int upTo) {
        int count = Math.min(upTo - buffer.position(), bytes.remaining());
        if (count > buffer.remaining()) {
            int room = Math.min(upTo, Math.max(buffer.capacity() * 2, buffer.position() + count));
            buffer = ByteBuffer.allocate(room).put(buffer.flip());
        }
        buffer.put(bytes.slice(bytes.position(), count));
        bytes.position(bytes.position() + count);
    }
}
