package rowanmoor.http;

import java.nio.ByteBuffer;
import rowanmoor.net.Bound;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Handler;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/**
 * Serves one connection part by part: a request is handed over with its head, its content as it comes, and
 * answered in parts too. One request at a time and in order; what a client sends ahead waits, at most
 * {@value #AHEAD_MOST} bytes and one read of it. Content is read no faster than it is taken. A client that
 * ends its bytes while its request is in work has given up.
 */
public class ServerStream implements Handler {

    static final int AHEAD_MOST = 1 << 16;
    /** An answered request's content up to this is read to its end, so that the connection can be kept. */
    private static final long DRAIN_MOST = 1 << 16;
    private static final Body NOBODY = new Body() {
        @Override
        public void piece(ByteBuffer bytes) { }

        @Override
        public void end(Fields trailers) { }
    };

    /** Serves requests. */
    public interface Service {

        /** A request's head came. What its content goes to must be set now. */
        void begun(Exchange exchange);

        /** The client is gone before its answer was whole. */
        void gone(Exchange exchange);
    }

    /** Takes a request's content. */
    public interface Body {

        /** The bytes are the reader's own: what is kept must be copied. */
        void piece(ByteBuffer bytes);

        void end(Fields trailers);
    }

    /** One request and its answer's way back. */
    public final class Exchange {
        private final Part.RequestHead head;
        private final Out out = new Out(connection);
        private Body body = NOBODY;
        private Runnable drained = () -> { };
        private boolean asked;
        private boolean begun;
        private boolean over;
        private boolean untilEnd;
        private boolean bare;
        private boolean closes;
        /** Free for the service's own use. */
        public Object tag;

        private Exchange(Part.RequestHead head) {
            this.head = head;
        }

        public Part.RequestHead head() {
            return head;
        }

        public Connection connection() {
            return connection;
        }

        /** Where the request's content goes; without it, nowhere. */
        public void to(Body itsBody) {
            body = itsBody;
        }

        /** Whether the request's content is whole. */
        public boolean asked() {
            return asked;
        }

        /** Whether the answer's head has gone out. */
        public boolean begun() {
            return begun;
        }

        public boolean over() {
            return over;
        }

        /** Reads no more of the content, or goes on. */
        public void pause(boolean on) {
            if (current == this && !over) {
                if (on) {
                    connection.pause();
                } else {
                    connection.resume();
                }
            }
        }

        /** Called when all that was written has gone out. */
        public void drained(Runnable then) {
            drained = then;
        }

        /** An interim answer (1xx); a client of HTTP/1.0 must not see one (RFC 9110, 15.2). */
        public void interim(Part.ResponseHead interim) {
            if (!over && !begun && head.minor() == 1) {
                connection.send(Out.encode(start(interim.status(), interim.reason()), interim.fields()));
            }
        }

        /** A whole answer of the server's own; false if an answer has begun. */
        public boolean answer(int status, String text, String... fields) {
            byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            if (!begin(new Part.ResponseHead(status, Reason.of(status), 1, Fields.of(fields),
                    bytes.length))) {
                return false;
            }
            write(ByteBuffer.wrap(bytes));
            end(new Fields());
            return true;
        }

        /** Begins an answer: its fields say nothing of framing but for HEAD and 304. False if too late. */
        public boolean begin(Part.ResponseHead answer) {
            if (over || begun) {
                return false;
            }
            begun = true;
            int status = answer.status();
            bare = head.method().equals("HEAD") || status == 204 || status == 304;
            Fields fields = answer.fields().copy();
            long length = bare ? 0 : answer.length();
            if (length < 0) {
                untilEnd = head.minor() == 0;
                length = untilEnd ? Part.UNTIL_END : Part.CHUNKED;
            }
            if (!bare) {
                fields.remove("Content-Length");
                if (length >= 0) {
                    fields.set("Content-Length", Long.toString(length));
                }
            }
            fields.remove("Transfer-Encoding");
            if (length == Part.CHUNKED) {
                fields.set("Transfer-Encoding", "chunked");
            }
            closes = untilEnd || head.minor() == 0 || answer.fields().holds("connection",
                    "close") || !head.keepsAlive() || stopping
                    || !asked && !mayDrain();
            if (closes) {
                fields.set("Connection", "close");
            }
            out.head(start(status, answer.reason()), fields, length);
            return true;
        }

        private boolean mayDrain() {
            // A client that waits for 100 may leave its content out: what came next would be read as content.
            return head.length() >= 0 && head.length() <= DRAIN_MOST && head.fields().get("expect") == null;
        }

        /** Some of the answer's content, copied; false if the writer should pause until drained. */
        public boolean write(ByteBuffer bytes) {
            if (over || bare) {
                return true;
            }
            if (!out.piece(bytes)) {
                breakOff();
                return true;
            }
            return !out.enough();
        }

        /** Ends the answer. */
        public void end(Fields trailers) {
            if (over) {
                return;
            }
            if (!bare && !out.whole()) {
                breakOff(); // a length was promised: the client must see that it is not kept
                return;
            }
            over = true;
            if (!bare) {
                out.end(trailers);
            }
            if (closes) {
                current = null;
                connection.end();
            } else if (asked) {
                current = null;
                goOn();
            } else {
                connection.resume(); // the rest of the content is read and dropped
            }
        }

        /** Breaks the connection off: the client sees that its answer is not whole. */
        public void breakOff() {
            over = true;
            if (current == this) {
                current = null;
            }
            connection.reset("an answer broke off");
        }
    }

    private final Loop loop;
    private final Service service;
    private final PartParser parser;
    private final long headWithin;
    private Connection connection;
    private ByteBuffer ahead;
    private Exchange current;
    private Timer headTimer;
    private boolean pumping;
    private boolean stopping;

    /** @param headWithin how long a head may take from its first byte, ns */
    public ServerStream(Loop loop, Limits limits, long headWithin, Service service) {
        this.loop = loop;
        this.parser = PartParser.ofRequests(limits).anyLength();
        this.headWithin = headWithin;
        this.service = service;
    }

    /** Content within the limits, and no bound on how long a head takes: for stand-ins and whole messages. */
    ServerStream(Limits limits, Service service) {
        this.loop = null;
        this.parser = PartParser.ofRequests(limits);
        this.headWithin = 0;
        this.service = service;
    }

    /** Options for connections that are served in parts: what waits is bounded well above a pause. */
    public static Connection.Options options() {
        return Connection.Options.usual().bound(new Bound(1 << 22, 1 << 16, Bound.Policy.REFUSE));
    }

    /** Closes once the request in work is answered, at once if there is none. */
    public void stop() {
        stopping = true;
        if (current == null && connection != null && !parser.inMessage()) {
            connection.end();
        }
    }

    private static String start(int status, String reason) {
        return "HTTP/1.1 " + status + " " + reason;
    }

    @Override
    public void opened(Connection itsConnection) {
        connection = itsConnection;
    }

    @Override
    public void received(Connection itsConnection, ByteBuffer bytes) {
        if (ahead == null && !waits()) {
            pump(bytes);
        }
        if (bytes.hasRemaining() && connection.isOpen()) {
            keep(bytes);
        }
        watchHead();
    }

    /** Whether the next bytes belong to a later request. */
    private boolean waits() {
        return current != null && current.asked;
    }

    private void keep(ByteBuffer bytes) {
        int before = ahead == null ? 0 : ahead.remaining();
        ByteBuffer joined = ByteBuffer.allocate(before + bytes.remaining());
        if (ahead != null) {
            joined.put(ahead);
        }
        ahead = joined.put(bytes).flip();
        if (ahead.remaining() > AHEAD_MOST) {
            connection.pause();
        }
    }

    /** The request in work is over: on with what waits. */
    private void goOn() {
        if (pumping) {
            return; // the loop in pump goes on by itself
        }
        if (ahead != null) {
            ByteBuffer waiting = ahead;
            ahead = null;
            pump(waiting);
            if (waiting.hasRemaining() && connection.isOpen()) {
                ahead = waiting.slice();
            }
        }
        if (connection.isOpen() && (ahead == null || ahead.remaining() <= AHEAD_MOST)) {
            connection.resume();
        }
        if (stopping && connection.isOpen() && current == null && !parser.inMessage()) {
            connection.end();
        }
        watchHead();
    }

    private void pump(ByteBuffer bytes) {
        pumping = true;
        try {
            while (connection.isOpen() && !waits()) {
                Part part = parser.next(bytes);
                if (part == null) {
                    break;
                }
                take(part);
            }
        } catch (HttpError e) {
            refuse(e);
        } finally {
            pumping = false;
        }
    }

    private void take(Part part) {
        if (part instanceof Part.RequestHead head) {
            current = new Exchange(head);
            if (head.length() != 0) {
                service.begun(current);
            }
            return;
        }
        Exchange its = current;
        if (its == null) {
            return; // answered and closing
        }
        if (part instanceof Part.Piece piece) {
            if (!its.over) {
                its.body.piece(piece.bytes());
            }
            return;
        }
        its.asked = true;
        if (its.head.length() == 0) {
            service.begun(its);
        }
        if (its.over) {
            current = null; // its answer was whole before
        } else {
            its.body.end(((Part.End) part).trailers());
        }
    }

    private void refuse(HttpError e) {
        Exchange its = current;
        if (its != null && !its.over && its.begun) {
            abandon();
            connection.reset(e.getMessage());
            return;
        }
        abandon();
        connection.send(Message.Response.of(e.status(), e.getMessage() + "\n", "Connection", "close")
                .encode(false));
        connection.end();
    }

    /** One byte a second must not hold a connection for good. */
    private void watchHead() {
        boolean begun = connection.isOpen() && current == null && (parser.inMessage() || ahead != null);
        if (begun && headTimer == null && headWithin > 0) {
            headTimer = loop.after(headWithin, () -> refuse(new HttpError(408, "a head took too long")));
        } else if (!begun && headTimer != null) {
            headTimer.cancel();
            headTimer = null;
        }
    }

    @Override
    public void drained(Connection its) {
        if (current != null) {
            current.drained.run();
        }
    }

    @Override
    public boolean ended(Connection itsConnection) {
        abandon();
        return false;
    }

    @Override
    public void closed(Connection itsConnection, Close why, String detail) {
        if (headTimer != null) {
            headTimer.cancel();
        }
        abandon();
    }

    private void abandon() {
        Exchange unanswered = current;
        current = null;
        if (unanswered != null && !unanswered.over) {
            unanswered.over = true;
            service.gone(unanswered);
        }
    }
}
