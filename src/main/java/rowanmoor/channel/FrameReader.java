package rowanmoor.channel;

import java.nio.ByteBuffer;

/** Cuts a stream into frames, however its bytes come. After an error it is of no further use. */
public final class FrameReader {

    private static final int FIRST_ROOM = 512;

    private final ChannelLimits limits;
    private ByteBuffer held = ByteBuffer.allocate(FIRST_ROOM);
    private int length = -1;
    private boolean broken;

    public FrameReader(ChannelLimits limits) {
        this.limits = limits;
    }

    /** Whether a frame has begun and is not whole. */
    public boolean hasPartialFrame() {
        return length >= 0 || held.position() > 0;
    }

    /** The next whole frame, or null if the bytes end before it does; leaves the bytes behind it. */
    public Frame next(ByteBuffer bytes) throws ChannelException {
        if (broken) {
            throw new ChannelException("the stream is no longer framed");
        }
        if (length < 0) {
            take(bytes, 4);
            if (held.position() < 4) {
                return null;
            }
            long stated = held.getInt(0) & 0xffffffffL;
            if (stated < 1 || stated > limits.maxFrameBytes()) {
                broken = true;
                throw new ChannelException("a frame of " + stated + " bytes");
            }
            length = (int) stated;
            held.clear();
        }
        take(bytes, length);
        if (held.position() < length) {
            return null;
        }
        length = -1;
        ByteBuffer whole = held.flip();
        try {
            return Codec.decode(whole, limits);
        } catch (ChannelException e) {
            broken = true;
            throw e;
        } finally {
            held.clear();
        }
    }

    /** Holds bytes up to a count. Room grows with what has come, never ahead of it. */
    private void take(ByteBuffer bytes, int upTo) {
        int count = Math.min(upTo - held.position(), bytes.remaining());
        if (count > held.remaining()) {
            int room = Math.min(upTo, Math.max(held.capacity() * 2, held.position() + count));
            held = ByteBuffer.allocate(room).put(held.flip());
        }
        held.put(bytes.slice(bytes.position(), count));
        bytes.position(bytes.position() + count);
    }
}
