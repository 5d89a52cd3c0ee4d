package rowanmoor.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;

/**
 * Asks over one connection, part by part, one request at a time. The connection can be asked again only if
 * request and answer were whole, the answer left it open and nothing came after it.
 */
public final class ClientStream implements ConnectionHandler {

    /** Hears what becomes of a request. */
    public interface ResponseHandler {

        /** An interim answer (1xx). */
        default void onInterimHead(MessagePart.ResponseHead head) { }

        void onResponseHead(MessagePart.ResponseHead head);

        /** Some of the answer's content; the bytes are the reader's own. */
        void onResponseContent(ByteBuffer bytes);

        /** The answer is whole. */
        void onResponseEnd(HttpFields trailers);

        /** No whole answer will come. {@code neverRan}: not a byte of the request was written. */
        void onFailure(boolean neverRan, CloseReason why, String detail);

        /** All that was written of the request has gone out. */
        default void onRequestDrained() { }
    }

    private final Loop loop;
    private final MessagePartParser parser;
    private final Consumer<ClientStream> onGone;
    private Connection connection;
    private Out out;
    private ResponseHandler waiting;
    private boolean asked = true;
    private boolean spent;
    private boolean keeps;
    private long writtenBefore;
    private long idleSince;
    private boolean interim;

    private ClientStream(Loop loop, MessagePartParser parser, Consumer<ClientStream> onGone) {
        this.loop = loop;
        this.parser = parser;
        this.onGone = onGone;
    }

    /** Opens a connection; {@code onGone} hears once that it is over. */
    public static ClientStream open(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, MessageLimits limits, Consumer<ClientStream> onGone) {
        return open(loop, from, to, options, MessagePartParser.forResponses(limits).withoutBodyLimit(), onGone);
    }

    /** The same, with answers within {@link MessageLimits#maxBodyBytes} only. */
    static ClientStream openWhole(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, MessageLimits limits, Consumer<ClientStream> onGone) {
        return open(loop, from, to, options, MessagePartParser.forResponses(limits), onGone);
    }

    private static ClientStream open(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, MessagePartParser parser, Consumer<ClientStream> onGone) {
        ClientStream client = new ClientStream(loop, parser, onGone);
        client.connection = loop.connect(from, to, options, client);
        client.out = new Out(client.connection);
        client.idleSince = loop.now();
        return client;
    }

    /** Sends a head; the connection must be {@link #isAvailable}. Its fields say nothing of framing. */
    public void sendHead(MessagePart.RequestHead head, ResponseHandler answer) {
        if (!isAvailable()) {
            throw new IllegalStateException("the connection is in use or over");
        }
        waiting = answer;
        asked = false;
        parser.expectResponseTo(head.method());
        writtenBefore = connection.writtenBytes();
        HttpFields fields = head.fields().copy();
        fields.remove("Content-Length");
        fields.remove("Transfer-Encoding");
        if (head.contentLength() == MessagePart.CHUNKED) {
            fields.set("Transfer-Encoding", "chunked");
        } else if (head.contentLength() > 0 || !head.method().equals("GET") && !head.method().equals("HEAD")) {
            fields.set("Content-Length", Long.toString(head.contentLength()));
        }
        out.head(head.method() + " " + head.target() + " HTTP/1.1", fields, head.contentLength());
    }

    /** Some of the request's content, copied; false if the writer should pause until drained. */
    public boolean write(ByteBuffer bytes) {
        if (connection.isClosed() || waiting == null) {
            return true;
        }
        if (!out.piece(bytes)) {
            connection.close(CloseReason.OVERFLOW, "content beyond its bound");
            return true;
        }
        return !out.enough();
    }

    /** The request is whole. */
    public void endRequest(HttpFields trailers) {
        if (!connection.isClosed() && !asked) {
            asked = true;
            out.end(trailers);
        }
    }

    /** Reads no more of the answer, or goes on. */
    public void setPaused(boolean on) {
        if (connection.isOpen()) {
            if (on) {
                connection.pause();
            } else {
                connection.resume();
            }
        }
    }

    /** Whether a request can be sent. */
    public boolean isAvailable() {
        return waiting == null && asked && !spent && !connection.isClosed();
    }

    /** Whether a request can be sent, going by all that has arrived, read or not: the peer may have ended. */
    public boolean probeAvailable() {
        return isAvailable() && connection.probeReusable();
    }

    public boolean isClosed() {
        return connection.isClosed();
    }

    /** Whether any byte of the request in work was written: if not, it never ran. */
    public boolean nothingWritten() {
        return connection.writtenBytes() == writtenBefore;
    }

    /** When it last became free, by the loop's clock. */
    public long idleSince() {
        return idleSince;
    }

    /** Gives the request in work up: nothing more is heard of it, and the connection closes. */
    public void cancel() {
        waiting = null;
        spent = true;
        connection.close(CloseReason.LOCAL, "given up");
    }

    /** Answers what is in work from now on to another. */
    public void setResponseHandler(ResponseHandler other) {
        waiting = other;
    }

    @Override
    public void onData(Connection its, ByteBuffer bytes) {
        try {
            while (connection.isOpen()) {
                MessagePart part = parser.next(bytes);
                if (part == null) {
                    break;
                }
                take(part, bytes);
            }
        } catch (HttpError e) {
            connection.close(CloseReason.PROTOCOL, e.getMessage());
        }
    }

    private void take(MessagePart part, ByteBuffer bytes) {
        if (waiting == null) {
            connection.close(CloseReason.PROTOCOL, "an answer that nothing asked for");
        } else if (part instanceof MessagePart.ResponseHead head) {
            keeps = head.isKeepAlive();
            if (head.status() == 101) {
                connection.close(CloseReason.PROTOCOL, "a change of protocol that nothing asked for");
            } else if (head.status() < 200) {
                interim = true;
                waiting.onInterimHead(head);
            } else {
                interim = false;
                waiting.onResponseHead(head);
            }
        } else if (part instanceof MessagePart.Piece piece) {
            waiting.onResponseContent(piece.bytes());
        } else if (interim) {
            interim = false; // the end of an interim answer
        } else {
            whole(((MessagePart.End) part).trailers(), bytes);
        }
    }

    private void whole(HttpFields trailers, ByteBuffer bytes) {
        ResponseHandler answer = waiting;
        waiting = null;
        idleSince = loop.now();
        // Bytes after an answer belong to no request; an answer before the request was whole leaves its rest.
        spent = !keeps || bytes.hasRemaining() || !asked;
        if (spent) {
            connection.close(CloseReason.LOCAL, "not kept alive");
        } else {
            connection.resume(); // its last piece may have paused it: the next answer must be read
        }
        answer.onResponseEnd(trailers);
    }

    @Override
    public boolean onInputEnd(Connection its) {
        try {
            MessagePart last = parser.end();
            if (last instanceof MessagePart.End end && waiting != null) {
                keeps = false;
                whole(end.trailers(), ByteBuffer.allocate(0));
            }
        } catch (HttpError e) {
            connection.close(CloseReason.PROTOCOL, e.getMessage());
        }
        return false;
    }

    @Override
    public void onDrained(Connection its) {
        if (waiting != null) {
            waiting.onRequestDrained();
        }
    }

    @Override
    public void onClose(Connection its, CloseReason why, String detail) {
        spent = true;
        ResponseHandler answer = waiting;
        waiting = null;
        if (answer != null) {
            answer.onFailure(why.neverConnected() || nothingWritten(), why, detail);
        }
        onGone.accept(this);
    }
}
