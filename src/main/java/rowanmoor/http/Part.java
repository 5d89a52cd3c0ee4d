package rowanmoor.http;

import java.nio.ByteBuffer;

/** A part of an HTTP/1.1 message, as it comes: one head, any number of pieces, one end. */
public sealed interface Part {

    /** Content is in chunks: its length is not known ahead. */
    long CHUNKED = -1;
    /** Content ends with the connection (responses only; RFC 9112, 6.3). */
    long UNTIL_END = -2;

    /** A head. {@code length} is the content's, in bytes, or {@link #CHUNKED} or {@link #UNTIL_END}. */
    sealed interface Head extends Part permits RequestHead, ResponseHead {

        int minor();

        Fields fields();

        long length();

        /** Whether the connection stays open after this message (RFC 9112, 9.3). */
        default boolean keepsAlive() {
            return length() != UNTIL_END && (minor() == 1 ? !fields().holds("connection", "close")
                    : fields().holds("connection", "keep-alive"));
        }
    }

    record RequestHead(String method, String target, int minor, Fields fields, long length)
            implements Head {

        /** The target up to its query. */
        public String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }
    }

    record ResponseHead(int status, String reason, int minor, Fields fields, long length)
            implements Head { }

    /** Some content; the bytes are the reader's buffer and must be copied to be kept. */
    record Piece(ByteBuffer bytes) implements Part { }

    /** The message is whole. {@code trailers} are empty but after chunks. */
    record End(Fields trailers) implements Part { }
}
