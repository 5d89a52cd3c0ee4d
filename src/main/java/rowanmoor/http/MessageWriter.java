package rowanmoor.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import rowanmoor.net.Connection;

/**
 * Writes one message part by part: a head, its content in the framing of the head, an end. It reports when
 * the write queue is above its high-water mark; content is still accepted up to the connection's write limit.
 */
final class MessageWriter {

    /** Queued bytes or frames from which the caller should pause. */
    static final long HIGH_WATER_BYTES = 1 << 16;
    static final int HIGH_WATER_FRAMES = 512;
    private static final byte[] LAST_CHUNK = "0\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final int CHUNK_OVERHEAD_BYTES = 12;

    private final Connection connection;
    private boolean chunked;
    private long remainingBytes;

    MessageWriter(Connection connection) {
        this.connection = connection;
    }

    /**
     * Writes a head.
     *
     * @param length the content's length in bytes, {@link MessagePart#CHUNKED} or
     *     {@link MessagePart#UNTIL_CLOSE}
     */
    boolean writeHead(String start, HttpFields fields, long length) {
        chunked = length == MessagePart.CHUNKED;
        remainingBytes = length >= 0 ? length : Long.MAX_VALUE;
        return connection.send(encode(start, fields));
    }

    static ByteBuffer encode(String start, HttpFields fields) {
        StringBuilder head = new StringBuilder(256).append(start).append("\r\n");
        fields.forEach((name, value) -> {
            Syntax.checkField(name, value);
            head.append(name).append(": ").append(value).append("\r\n");
        });
        return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes and copies some content. False if the connection did not accept it. */
    boolean writeContent(ByteBuffer bytes) {
        int count = bytes.remaining();
        if (count == 0) {
            return true;
        }
        if (count > remainingBytes) {
            throw new IllegalStateException("more content than the length in the head: " + count
                    + " bytes where " + remainingBytes + " are left");
        }
        remainingBytes -= count;
        ByteBuffer copy;
        if (chunked) {
            byte[] size = Integer.toHexString(count).getBytes(StandardCharsets.ISO_8859_1);
            copy = ByteBuffer.allocate(count + CHUNK_OVERHEAD_BYTES).put(size);
            copy.put((byte) '\r').put((byte) '\n');
            copy.put(bytes).put((byte) '\r').put((byte) '\n');
        } else {
            copy = ByteBuffer.allocate(count).put(bytes);
        }
        return connection.send(copy.flip());
    }

    /** Ends the message; trailers are sent only with chunked coding (RFC 9112, 7.1.2). */
    boolean writeEnd(HttpFields trailers) {
        if (!chunked) {
            return true;
        }
        ByteBuffer fields = encode("0", trailers);
        return connection.send(trailers.size() == 0 ? ByteBuffer.allocate(LAST_CHUNK.length
                + 2).put(LAST_CHUNK)
                .put((byte) '\r').put((byte) '\n').flip() : fields);
    }

    /** Whether all the content of the length in the head was written. */
    boolean isContentComplete() {
        return remainingBytes == 0 || remainingBytes > Long.MAX_VALUE / 2;
    }

    boolean isAboveHighWater() {
        return connection.queuedBytes() >= HIGH_WATER_BYTES || connection.queuedFrames() >= HIGH_WATER_FRAMES;
    }
}
