package rowanmoor.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;

/**
 * Streaming HTTP client on one connection, one request at a time. The connection is reused only if request
 * and response were complete, the response keeps it alive and no bytes followed the response.
 */
public final class ClientStream implements ConnectionHandler {

    /** Receives the response to a request, part by part. */
    public interface ResponseHandler {

        /** The head of an interim response (1xx). */
        default void onInterimHead(MessagePart.ResponseHead head) { }

        void onResponseHead(MessagePart.ResponseHead head);

        /** Some of the response's content; the buffer is the parser's, copy what must outlive the call. */
        void onResponseContent(ByteBuffer bytes);

        /** The response is complete. */
        void onResponseEnd(HttpFields trailers);

        /**
         * The request failed without a complete response.
         *
         * @param neverRan whether not a byte of the request was written
         */
        void onFailure(boolean neverRan, CloseReason reason, String detail);

        /** All request bytes written so far have been sent. */
        default void onRequestDrained() { }
    }

    private final Loop loop;
    private final MessagePartParser parser;
    private final Consumer<ClientStream> onClosed;
    private Connection connection;
    private MessageWriter writer;
    private ResponseHandler responseHandler;
    private boolean requestComplete = true;
    private boolean unusable;
    private boolean keepAlive;
    private long writtenBefore;
    private long idleSince;
    private boolean inInterimResponse;

    private ClientStream(Loop loop, MessagePartParser parser, Consumer<ClientStream> onClosed) {
        this.loop = loop;
        this.parser = parser;
        this.onClosed = onClosed;
    }

    /** Opens a connection; {@code onClosed} is called once when it is closed. */
    public static ClientStream open(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, MessageLimits limits, Consumer<ClientStream> onClosed) {
        return open(loop, from, to, options, MessagePartParser.forResponses(limits).withoutBodyLimit(),
                onClosed);
    }

    /** The same, with response bodies of at most {@link MessageLimits#maxBodyBytes}. */
    static ClientStream openWithBodyLimit(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, MessageLimits limits, Consumer<ClientStream> onClosed) {
        return open(loop, from, to, options, MessagePartParser.forResponses(limits), onClosed);
    }

    private static ClientStream open(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, MessagePartParser parser, Consumer<ClientStream> onClosed) {
        ClientStream client = new ClientStream(loop, parser, onClosed);
        client.connection = loop.connect(from, to, options, client);
        client.writer = new MessageWriter(client.connection);
        client.idleSince = loop.now();
        return client;
    }

    /**
     * Sends a request head. Framing fields are set from the content length; those of the head are dropped.
     *
     * @throws IllegalStateException if the connection is not {@link #isAvailable}
     */
    public void sendHead(MessagePart.RequestHead head, ResponseHandler newHandler) {
        if (!isAvailable()) {
            throw new IllegalStateException("the connection is in use or cannot be reused");
        }
        responseHandler = newHandler;
        requestComplete = false;
        parser.expectResponseTo(head.method());
        writtenBefore = connection.writtenBytes();
        HttpFields fields = head.fields().copy();
        fields.remove("Content-Length");
        fields.remove("Transfer-Encoding");
        if (head.contentLength() == MessagePart.CHUNKED) {
            fields.set("Transfer-Encoding", "chunked");
        } else if (head.contentLength() > 0
                || !head.method().equals("GET") && !head.method().equals("HEAD")) {
            fields.set("Content-Length", Long.toString(head.contentLength()));
        }
        writer.writeHead(head.method() + " " + head.target() + " HTTP/1.1", fields, head.contentLength());
    }

    /** Writes and copies some of the request's content; false if the caller should pause until drained. */
    public boolean write(ByteBuffer bytes) {
        if (connection.isClosed() || responseHandler == null) {
            return true;
        }
        if (!writer.writeContent(bytes)) {
            connection.close(CloseReason.OVERFLOW, "content beyond its bound");
            return true;
        }
        return !writer.isAboveHighWater();
    }

    /** Completes the request. */
    public void endRequest(HttpFields trailers) {
        if (!connection.isClosed() && !requestComplete) {
            requestComplete = true;
            writer.writeEnd(trailers);
        }
    }

    /** Pauses or resumes reading of the response. */
    public void setPaused(boolean on) {
        if (connection.isOpen()) {
            if (on) {
                connection.pause();
            } else {
                connection.resume();
            }
        }
    }

    /** Whether a request can be sent, as far as has been read from the connection. */
    public boolean isAvailable() {
        return responseHandler == null && requestComplete && !unusable && !connection.isClosed();
    }

    /**
     * Whether a request can be sent, also considering what has arrived and not been read: the peer may have
     * closed its side. If not, the connection must be closed.
     */
    public boolean probeAvailable() {
        return isAvailable() && connection.probeReusable();
    }

    public boolean isClosed() {
        return connection.isClosed();
    }

    /** Whether no byte of the request in progress has been written, so that it never ran. */
    public boolean nothingWritten() {
        return connection.writtenBytes() == writtenBefore;
    }

    /** When the connection last became available, by the loop's clock. */
    public long idleSince() {
        return idleSince;
    }

    /** Cancels the request in progress: its handler is not called again, and the connection closes. */
    public void cancel() {
        responseHandler = null;
        unusable = true;
        connection.close(CloseReason.LOCAL, "given up");
    }

    /** Replaces the handler of the request in progress. */
    public void setResponseHandler(ResponseHandler newHandler) {
        responseHandler = newHandler;
    }

    @Override
    public void onData(Connection ignored, ByteBuffer bytes) {
        try {
            while (connection.isOpen()) {
                MessagePart part = parser.next(bytes);
                if (part == null) {
                    break;
                }
                handlePart(part, bytes);
            }
        } catch (HttpError e) {
            connection.close(CloseReason.PROTOCOL, e.getMessage());
        }
    }

    private void handlePart(MessagePart part, ByteBuffer bytes) {
        if (responseHandler == null) {
            connection.close(CloseReason.PROTOCOL, "an answer that nothing asked for");
        } else if (part instanceof MessagePart.ResponseHead head) {
            keepAlive = head.isKeepAlive();
            if (head.status() == 101) {
                connection.close(CloseReason.PROTOCOL, "a change of protocol that nothing asked for");
            } else if (head.status() < 200) {
                inInterimResponse = true;
                responseHandler.onInterimHead(head);
            } else {
                inInterimResponse = false;
                responseHandler.onResponseHead(head);
            }
        } else if (part instanceof MessagePart.Content content) {
            responseHandler.onResponseContent(content.bytes());
        } else if (inInterimResponse) {
            inInterimResponse = false; // the end of an interim response
        } else {
            finishResponse(((MessagePart.End) part).trailers(), bytes);
        }
    }

    private void finishResponse(HttpFields trailers, ByteBuffer bytes) {
        ResponseHandler finishedHandler = responseHandler;
        responseHandler = null;
        idleSince = loop.now();
        // Bytes after a response belong to no request; an early response leaves the request incomplete.
        unusable = !keepAlive || bytes.hasRemaining() || !requestComplete;
        if (unusable) {
            connection.close(CloseReason.LOCAL, "not kept alive");
        } else {
            connection.resume(); // the handler may have paused it: the next response must be read
        }
        finishedHandler.onResponseEnd(trailers);
    }

    @Override
    public boolean onInputEnd(Connection ignored) {
        try {
            MessagePart last = parser.end();
            if (last instanceof MessagePart.End end && responseHandler != null) {
                keepAlive = false;
                finishResponse(end.trailers(), ByteBuffer.allocate(0));
            }
        } catch (HttpError e) {
            connection.close(CloseReason.PROTOCOL, e.getMessage());
        }
        return false;
    }

    @Override
    public void onDrained(Connection ignored) {
        if (responseHandler != null) {
            responseHandler.onRequestDrained();
        }
    }

    @Override
    public void onClose(Connection ignored, CloseReason reason, String detail) {
        unusable = true;
        ResponseHandler finishedHandler = responseHandler;
        responseHandler = null;
        if (finishedHandler != null) {
            finishedHandler.onFailure(reason.neverConnected() || nothingWritten(), reason, detail);
        }
        onClosed.accept(this);
    }
}
