package rowanmoor.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Handler;
import rowanmoor.net.Loop;

/** One connection to a server, one request in work at a time, kept alive between them. */
public final class ClientConnection implements Handler {

    /** What came of one request; exactly one of the two is called, once. */
    public interface Answer {

        void answered(Message.Response response);

        /** No answer. {@code neverRan} is proof: no byte of the request left this side. */
        void failed(boolean neverRan, Close why, String detail);
    }

    private final Parser parser;
    private final Consumer<ClientConnection> onGone;
    private Connection connection;
    private Answer waiting;
    private long writtenBefore;
    private boolean spent;
    private long idleSince;
    private final Loop loop;

    private ClientConnection(Loop loop, Limits limits, Consumer<ClientConnection> onGone) {
        this.loop = loop;
        this.parser = Parser.ofResponses(limits);
        this.onGone = onGone;
    }

    /** Connects; {@code onGone} hears once that the connection is over. */
    public static ClientConnection open(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, Limits limits, Consumer<ClientConnection> onGone) {
        ClientConnection client = new ClientConnection(loop, limits, onGone);
        client.connection = loop.connect(from, to, options, client);
        client.idleSince = loop.now();
        return client;
    }

    /** Sends a request; the connection must be {@link #free}. */
    public void ask(Message.Request request, Answer answer) {
        if (!free()) {
            throw new IllegalStateException("the connection is in use or over");
        }
        waiting = answer;
        parser.expectAnswerTo(request.method());
        writtenBefore = connection.writtenBytes();
        if (!connection.send(request.encode())) {
            connection.close(Close.OVERFLOW, "a request larger than the queue");
        }
    }

    /** Whether a request can be sent: none is in work, and the last answer left the connection usable. */
    public boolean free() {
        return waiting == null && !spent && !connection.isClosed();
    }

    /** When it last became free, by the loop's clock. */
    public long idleSince() {
        return idleSince;
    }

    /** Gives the request in work up: nothing more is heard of it, and the connection closes. */
    public void cancel() {
        waiting = null;
        connection.close(Close.LOCAL, "given up");
    }

    public boolean isClosed() {
        return connection.isClosed();
    }

    @Override
    public void received(Connection itsConnection, ByteBuffer bytes) {
        try {
            while (bytes.hasRemaining() && connection.isOpen()) {
                Message message = parser.next(bytes);
                if (message instanceof Message.Response response && response.status() >= 200) {
                    take(response, bytes);
                }
            }
        } catch (HttpError e) {
            connection.close(Close.PROTOCOL, e.getMessage());
        }
    }

    private void take(Message.Response response, ByteBuffer bytes) {
        if (waiting == null) {
            connection.close(Close.PROTOCOL, "an answer that nothing asked for");
            return;
        }
        Answer answer = waiting;
        waiting = null;
        idleSince = loop.now();
        // Bytes after an answer belong to no request: whatever they are, they must not answer the next one.
        spent = !response.keepsAlive() || bytes.hasRemaining();
        if (spent) {
            connection.close(Close.LOCAL, "not kept alive");
        }
        answer.answered(response);
    }

    @Override
    public boolean ended(Connection itsConnection) {
        try {
            Message last = parser.end();
            if (last instanceof Message.Response response && waiting != null) {
                spent = true;
                take(response, ByteBuffer.allocate(0));
            }
        } catch (HttpError e) {
            connection.close(Close.PROTOCOL, e.getMessage());
        }
        return false;
    }

    @Override
    public void closed(Connection itsConnection, Close why, String detail) {
        spent = true;
        Answer answer = waiting;
        waiting = null;
        if (answer != null) {
            answer.failed(why.neverMade() || connection.writtenBytes() == writtenBefore, why, detail);
        }
        onGone.accept(this);
    }
}
