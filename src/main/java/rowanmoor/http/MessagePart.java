package rowanmoor.http;

import java.nio.ByteBuffer;

/** A part of an HTTP/1.1 message, in the order of arrival: one head, any number of contents, one end. */
public sealed interface MessagePart {

    /** Chunked transfer coding: the length of the content is not known in advance. */
    long CHUNKED = -1;
    /** The content ends when the connection closes (responses only; RFC 9112, 6.3). */
    long UNTIL_CLOSE = -2;

    /** A head. {@code contentLength} is in bytes, or {@link #CHUNKED} or {@link #UNTIL_CLOSE}. */
    sealed interface Head extends MessagePart permits RequestHead, ResponseHead {

        int minorVersion();

        HttpFields fields();

        long contentLength();

        /** Whether the connection stays open after this message (RFC 9112, 9.3). */
        default boolean isKeepAlive() {
            return contentLength() != UNTIL_CLOSE && (minorVersion() == 1
                    ? !fields().hasToken("connection", "close")
                    : fields().hasToken("connection", "keep-alive"));
        }
    }

    /** The request line and header fields of a request. */
    record RequestHead(String method, String target, int minorVersion, HttpFields fields, long contentLength)
            implements Head {

        /** The target without its query. */
        public String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }
    }

    /** The status line and header fields of a response. */
    record ResponseHead(int status, String reason, int minorVersion, HttpFields fields, long contentLength)
            implements Head { }

    /** Some content; the buffer is part of the parser's input, copy what must outlive the call. */
    record Content(ByteBuffer bytes) implements MessagePart { }

    /** The end of the message. {@code trailers} are empty unless the content was chunked. */
    record End(HttpFields trailers) implements MessagePart { }
}
