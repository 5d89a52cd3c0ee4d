package rowanmoor.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Handler;
import rowanmoor.net.Loop;

/**
 * Asks over one connection, part by part, one request at a time. The connection can be asked again only if
 * request and answer were whole, the answer left it open and nothing came after it.
 */
public final class ClientStream implements Handler {

    /** Hears what becomes of a request. */
    public interface Answer {

        /** An interim answer (1xx). */
        default void interim(Part.ResponseHead head) { }

        void head(Part.ResponseHead head);

        /** Some of the answer's content; the bytes are the reader's own. */
        void content(ByteBuffer bytes);

        /** The answer is whole. */
        void whole(Fields trailers);

        /** No whole answer will come. {@code neverRan}: not a byte of the request was written. */
        void failed(boolean neverRan, Close why, String detail);

        /** All that was written of the request has gone out. */
        default void drained() { }
    }

    private final Loop loop;
    private final PartParser parser;
    private final Consumer<ClientStream> onGone;
    private Connection connection;
    private Out out;
    private Answer waiting;
    private boolean asked = true;
    private boolean spent;
    private boolean keeps;
    private long writtenBefore;
    private long idleSince;
    private boolean interim;

    private ClientStream(Loop loop, PartParser parser, Consumer<ClientStream> onGone) {
        this.loop = loop;
        this.parser = parser;
        this.onGone = onGone;
    }

    /** Opens a connection; {@code onGone} hears once that it is over. */
    public static ClientStream open(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, Limits limits, Consumer<ClientStream> onGone) {
        return open(loop, from, to, options, PartParser.ofResponses(limits).anyLength(), onGone);
    }

    /** The same, with answers within {@link Limits#body} only. */
    static ClientStream openWhole(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, Limits limits, Consumer<ClientStream> onGone) {
        return open(loop, from, to, options, PartParser.ofResponses(limits), onGone);
    }

    private static ClientStream open(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, PartParser parser, Consumer<ClientStream> onGone) {
        ClientStream client = new ClientStream(loop, parser, onGone);
        client.connection = loop.connect(from, to, options, client);
        client.out = new Out(client.connection);
        client.idleSince = loop.now();
        return client;
    }

    /** Sends a head; the connection must be {@link #free}. Its fields say nothing of framing. */
    public void ask(Part.RequestHead head, Answer answer) {
        if (!free()) {
            throw new IllegalStateException("the connection is in use or over");
        }
        waiting = answer;
        asked = false;
        parser.expectAnswerTo(head.method());
        writtenBefore = connection.writtenBytes();
        Fields fields = head.fields().copy();
        fields.remove("Content-Length");
        fields.remove("Transfer-Encoding");
        if (head.length() == Part.CHUNKED) {
            fields.set("Transfer-Encoding", "chunked");
        } else if (head.length() > 0 || !head.method().equals("GET") && !head.method().equals("HEAD")) {
            fields.set("Content-Length", Long.toString(head.length()));
        }
        out.head(head.method() + " " + head.target() + " HTTP/1.1", fields, head.length());
    }

    /** Some of the request's content, copied; false if the writer should pause until drained. */
    public boolean write(ByteBuffer bytes) {
        if (connection.isClosed() || waiting == null) {
            return true;
        }
        if (!out.piece(bytes)) {
            connection.close(Close.OVERFLOW, "content beyond its bound");
            return true;
        }
        return !out.enough();
    }

    /** The request is whole. */
    public void end(Fields trailers) {
        if (!connection.isClosed() && !asked) {
            asked = true;
            out.end(trailers);
        }
    }

    /** Reads no more of the answer, or goes on. */
    public void pause(boolean on) {
        if (connection.isOpen()) {
            if (on) {
                connection.pause();
            } else {
                connection.resume();
            }
        }
    }

    /** Whether a request can be sent. */
    public boolean free() {
        return waiting == null && asked && !spent && !connection.isClosed();
    }

    /** Whether a request can be sent, going by all that has arrived, read or not: the peer may have ended. */
    public boolean stillFree() {
        return free() && connection.isQuiet();
    }

    public boolean isClosed() {
        return connection.isClosed();
    }

    /** Whether any byte of the request in work was written: if not, it never ran. */
    public boolean untouched() {
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
        connection.close(Close.LOCAL, "given up");
    }

    /** Answers what is in work from now on to another. */
    public void hand(Answer other) {
        waiting = other;
    }

    @Override
    public void received(Connection its, ByteBuffer bytes) {
        try {
            while (connection.isOpen()) {
                Part part = parser.next(bytes);
                if (part == null) {
                    break;
                }
                take(part, bytes);
            }
        } catch (HttpError e) {
            connection.close(Close.PROTOCOL, e.getMessage());
        }
    }

    private void take(Part part, ByteBuffer bytes) {
        if (waiting == null) {
            connection.close(Close.PROTOCOL, "an answer that nothing asked for");
        } else if (part instanceof Part.ResponseHead head) {
            keeps = head.keepsAlive();
            if (head.status() == 101) {
                connection.close(Close.PROTOCOL, "a change of protocol that nothing asked for");
            } else if (head.status() < 200) {
                interim = true;
                waiting.interim(head);
            } else {
                interim = false;
                waiting.head(head);
            }
        } else if (part instanceof Part.Piece piece) {
            waiting.content(piece.bytes());
        } else if (interim) {
            interim = false; // the end of an interim answer
        } else {
            whole(((Part.End) part).trailers(), bytes);
        }
    }

    private void whole(Fields trailers, ByteBuffer bytes) {
        Answer answer = waiting;
        waiting = null;
        idleSince = loop.now();
        // Bytes after an answer belong to no request; an answer before the request was whole leaves its rest.
        spent = !keeps || bytes.hasRemaining() || !asked;
        if (spent) {
            connection.close(Close.LOCAL, "not kept alive");
        } else {
            connection.resume(); // its last piece may have paused it: the next answer must be read
        }
        answer.whole(trailers);
    }

    @Override
    public boolean ended(Connection its) {
        try {
            Part last = parser.end();
            if (last instanceof Part.End end && waiting != null) {
                keeps = false;
                whole(end.trailers(), ByteBuffer.allocate(0));
            }
        } catch (HttpError e) {
            connection.close(Close.PROTOCOL, e.getMessage());
        }
        return false;
    }

    @Override
    public void drained(Connection its) {
        if (waiting != null) {
            waiting.drained();
        }
    }

    @Override
    public void closed(Connection its, Close why, String detail) {
        spent = true;
        Answer answer = waiting;
        waiting = null;
        if (answer != null) {
            answer.failed(why.neverMade() || untouched(), why, detail);
        }
        onGone.accept(this);
    }
}
