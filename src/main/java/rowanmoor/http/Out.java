package rowanmoor.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import rowanmoor.net.Connection;

/**
 * Writes one message part by part: a head, its content framed as the head says, an end. It says when enough
 * waits to be written; what is written after that is still taken, up to the connection's bound.
 */
final class Out {

    /** Bytes, or frames, that wait to be written: from here on a writer should pause. */
    static final long BYTES_ENOUGH = 1 << 16;
    static final int FRAMES_ENOUGH = 512;
    private static final byte[] LAST_CHUNK = "0\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final int CHUNK_HEAD = 12;

    private final Connection connection;
    private boolean chunked;
    private long left;

    Out(Connection connection) {
        this.connection = connection;
    }

    /**
     * Writes a head.
     *
     * @param length the content's length, {@link MessagePart#CHUNKED}, or {@link MessagePart#UNTIL_CLOSE} for as it comes
     */
    boolean head(String start, HttpFields fields, long length) {
        chunked = length == MessagePart.CHUNKED;
        left = length >= 0 ? length : Long.MAX_VALUE;
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

    /** Writes some content, which is copied. False if the connection did not take it. */
    boolean piece(ByteBuffer bytes) {
        int count = bytes.remaining();
        if (count == 0) {
            return true;
        }
        if (count > left) {
            throw new IllegalStateException("more content than its head said");
        }
        left -= count;
        ByteBuffer copy;
        if (chunked) {
            byte[] size = Integer.toHexString(count).getBytes(StandardCharsets.ISO_8859_1);
            copy = ByteBuffer.allocate(count + CHUNK_HEAD).put(size).put((byte) '\r').put((byte) '\n');
            copy.put(bytes).put((byte) '\r').put((byte) '\n');
        } else {
            copy = ByteBuffer.allocate(count).put(bytes);
        }
        return connection.send(copy.flip());
    }

    /** Ends the message; trailers go only after chunks (RFC 9112, 7.1.2). */
    boolean end(HttpFields trailers) {
        if (!chunked) {
            return true;
        }
        ByteBuffer fields = encode("0", trailers);
        return connection.send(trailers.size() == 0 ? ByteBuffer.allocate(LAST_CHUNK.length
                + 2).put(LAST_CHUNK)
                .put((byte) '\r').put((byte) '\n').flip() : fields);
    }

    /** Whether all the content that the head promised was written. */
    boolean whole() {
        return left == 0 || left > Long.MAX_VALUE / 2;
    }

    boolean enough() {
        return connection.queuedBytes() >= BYTES_ENOUGH || connection.queuedFrames() >= FRAMES_ENOUGH;
    }
}
