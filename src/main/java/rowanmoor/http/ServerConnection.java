package rowanmoor.http;

import java.nio.ByteBuffer;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Handler;

/**
 * Serves one connection: requests are answered one at a time and in order, those that a client sends
 * ahead wait, at most {@value #AHEAD_MOST} bytes of them. A client that ends its bytes while its request
 * is in work has given up.
 */
public class ServerConnection implements Handler {

    static final int AHEAD_MOST = 1 << 16;

    /** Answers requests. */
    public interface Service {

        /** A request came; answer it through the exchange, now or later. */
        void request(Message.Request request, Exchange exchange);

        /** The client of an unanswered exchange is gone. */
        default void abandoned(Exchange exchange) { }
    }

    /** One request's way back. */
    public final class Exchange {
        private final Message.Request request;
        private boolean over;
        /** Free for the service's own use. */
        public Object tag;

        private Exchange(Message.Request request) {
            this.request = request;
        }

        public Connection connection() {
            return connection;
        }

        /** Answers; only the first call counts. False if the client is gone or was answered. */
        public boolean answer(Message.Response response) {
            if (over || current != this) {
                return false;
            }
            over = true;
            current = null;
            boolean goesOn = request.keepsAlive() && response.keepsAlive();
            connection.send(response.encode(request.method().equals("HEAD")));
            if (goesOn) {
                takeWaiting();
            } else {
                connection.end();
            }
            return true;
        }

        /** Sends these bytes as they are and breaks the connection: for stand-ins that fail on purpose. */
        public void breakOff() {
            over = true;
            current = null;
            connection.reset("broken off on purpose");
        }
    }

    private final Service service;
    private final Parser parser;
    private Connection connection;
    private ByteBuffer ahead = ByteBuffer.allocate(0);
    private Exchange current;
    private boolean taking;

    public ServerConnection(Limits limits, Service service) {
        this.parser = Parser.ofRequests(limits);
        this.service = service;
    }

    @Override
    public void opened(Connection itsConnection) {
        connection = itsConnection;
    }

    @Override
    public void received(Connection itsConnection, ByteBuffer bytes) {
        if (current == null && !ahead.hasRemaining()) {
            take(bytes);
        }
        if (bytes.hasRemaining() && connection.isOpen()) {
            keep(bytes);
        }
    }

    private void keep(ByteBuffer bytes) {
        ByteBuffer joined = ByteBuffer.allocate(ahead.remaining() + bytes.remaining());
        ahead = joined.put(ahead).put(bytes).flip();
        if (ahead.remaining() > AHEAD_MOST) {
            connection.pause();
        }
    }

    private void takeWaiting() {
        if (taking) {
            return; // the loop below goes on by itself
        }
        taking = true;
        while (current == null && ahead.hasRemaining() && connection.isOpen()) {
            take(ahead);
        }
        taking = false;
        if (ahead.remaining() <= AHEAD_MOST && connection.isOpen()) {
            connection.resume();
        }
    }

    private void take(ByteBuffer bytes) {
        try {
            boolean outer = !taking;
            taking = true;
            while (current == null && bytes.hasRemaining() && connection.isOpen()) {
                Message message = parser.next(bytes);
                if (message instanceof Message.Request request) {
                    current = new Exchange(request);
                    service.request(request, current);
                }
            }
            taking = !outer;
        } catch (HttpError e) {
            taking = false;
            connection.send(Message.Response.of(e.status(), e.getMessage() + "\n", "Connection", "close")
                    .encode(false));
            connection.end();
        }
    }

    @Override
    public boolean ended(Connection itsConnection) {
        abandon();
        return false;
    }

    @Override
    public void closed(Connection itsConnection, Close why, String detail) {
        abandon();
    }

    private void abandon() {
        Exchange unanswered = current;
        current = null;
        if (unanswered != null) {
            unanswered.over = true;
            service.abandoned(unanswered);
        }
    }
}
