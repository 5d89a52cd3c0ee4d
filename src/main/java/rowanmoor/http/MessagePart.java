package rowanmoor.http;

import java.nio.ByteBuffer;

/** A part of an HTTP/1.1 message, as it comes: one head, any number of pieces, one end. */
public sealed interface MessagePart {

    /** Content is in chunks: its length is not known ahead. */
    long CHUNKED = -1;
    /** Content ends with the connection (responses only; RFC 9112, 6.3). */
    long UNTIL_CLOSE = -2;

    /** A head. {@code contentLength} is the content's, in bytes, or {@link #CHUNKED} or {@link #UNTIL_CLOSE}. */
    sealed interface Head extends MessagePart permits RequestHead, ResponseHead {

        int minorVersion();

        HttpFields fields();

        long contentLength();

        /** Whether the connection stays open after this message (RFC 9112, 9.3). */
        default boolean isKeepAlive() {
            return contentLength() != UNTIL_CLOSE && (minorVersion() == 1 ? !fields().hasToken("connection", "close")
                    : fields().hasToken("connection", "keep-alive"));
        }
    }

    record RequestHead(String method, String target, int minorVersion, HttpFields fields, long contentLength)
            implements Head {

        /** The target up to its query. */
        public String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }
    }

    record ResponseHead(int status, String reason, int minorVersion, HttpFields fields, long contentLength)
            implements Head { }

    /** Some content; the bytes are the reader's buffer and must be copied to be kept. */
    record Piece(ByteBuffer bytes) implements MessagePart { }

    /** The message is whole. {@code trailers} are empty but after chunks. */
    record End(HttpFields trailers) implements MessagePart { }
}
