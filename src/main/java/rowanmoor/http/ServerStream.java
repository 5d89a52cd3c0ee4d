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
 *
 * <p>A connection without a request in work is never just closed, since a request may be on its way: it ends
 * with a 408 that names {@link #NEVER_RAN_FIELD}, and what comes after that is read and dropped (RFC 9110, 15.5.9).
 */
public class ServerStream implements Handler {

    /** Set on a refusal: proof that nothing was done for the request. */
    public static final String NEVER_RAN = "x-never-ran";
    static final int AHEAD_MOST = 1 << 16;
    /**
     * A client that opens a connection for a request sends it along with the handshake's last packet: one
     * that has sent nothing for so long was opened in advance. It is not waited for when the server stops,
     * ns.
     */
    private static final long FIRST_REQUEST_WITHIN = 50_000_000L;
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

    /**
     * How long a client is waited for, in nanoseconds; 0 for no bound.
     *
     * @param head from a head's first byte to its last; also for the rest of content that nobody takes any
     *     more
     * @param idle between two requests
     */
    public record Patience(long head, long idle) {

        /** No bound at all. */
        static final Patience ENDLESS = new Patience(0, 0);
    }

    /** What is waited for from the client. */
    private enum Awaited { NOTHING, REQUEST, HEAD, REST_OF_CONTENT }

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
                awaitClient();
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
    private final Patience patience;
    private Connection connection;
    private ByteBuffer ahead;
    private Exchange current;
    private Awaited awaited = Awaited.NOTHING;
    private Timer timer;
    private long requests;
    private long requestsWhenArmed;
    private boolean pumping;
    private boolean stopping;
    private long idleWhenStopping;

    public ServerStream(Loop loop, Limits limits, Patience patience, Service service) {
        this.loop = loop;
        this.parser = PartParser.ofRequests(limits).anyLength();
        this.patience = patience;
        this.service = service;
    }

    /** Content within the limits, and no bound on how long a head takes: for stand-ins and whole messages. */
    ServerStream(Limits limits, Service service) {
        this.loop = null;
        this.parser = PartParser.ofRequests(limits);
        this.patience = Patience.ENDLESS;
        this.service = service;
    }

    /** Options for connections that are served in parts: what waits is bounded well above a pause. */
    public static Connection.Options options() {
        return Connection.Options.usual().bound(new Bound(1 << 22, 1 << 16, Bound.Policy.REFUSE));
    }

    /**
     * Goes on serving and says with each answer that the connection closes. Without a request for {@code
     * idleWithin} nanoseconds it ends.
     */
    public void stop(long idleWithin) {
        stopping = true;
        idleWhenStopping = idleWithin;
        disarm();
        awaitClient();
    }

    /** Ends, unless a request is in work. */
    public void endUnlessInWork() {
        if (connection != null && connection.isOpen() && current == null) {
            refuseLate("the server stops");
        }
    }

    private static String start(int status, String reason) {
        return "HTTP/1.1 " + status + " " + reason;
    }

    @Override
    public void opened(Connection itsConnection) {
        connection = itsConnection;
        awaitClient();
    }

    @Override
    public void received(Connection itsConnection, ByteBuffer bytes) {
        if (ahead == null && !waits()) {
            pump(bytes);
        }
        if (bytes.hasRemaining() && connection.isOpen()) {
            keep(bytes);
        }
        awaitClient();
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
        awaitClient();
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
            requests++;
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

    /**
     * Ends the connection under a request that has not come whole: whatever of it is on its way
     * never ran.
     */
    private void refuseLate(String why) {
        connection.send(Message.Response.of(408, why + "\n", "Connection", "close", NEVER_RAN, "1")
                .encode(false));
        connection.end();
    }

    // ---- how long the client is waited for -------------------------------------------------------------

    private Awaited awaitedNow() {
        if (connection == null || !connection.isOpen()) {
            return Awaited.NOTHING;
        }
        if (current != null) {
            return current.over ? Awaited.REST_OF_CONTENT : Awaited.NOTHING;
        }
        return parser.inMessage() || ahead != null ? Awaited.HEAD : Awaited.REQUEST;
    }

    /** Sets the timer for what the client owes by now, unless it is set already. */
    private void awaitClient() {
        Awaited now = awaitedNow();
        if (now == awaited && requests == requestsWhenArmed) {
            return;
        }
        disarm();
        awaited = now;
        requestsWhenArmed = requests;
        long within = switch (now) {
            case NOTHING -> 0;
            case HEAD, REST_OF_CONTENT -> patience.head();
            case REQUEST -> requestWithin();
        };
        if (within > 0) {
            timer = loop.after(within, this::late);
        }
    }

    private long requestWithin() {
        if (!stopping) {
            return patience.idle();
        }
        return requests == 0 ? Math.min(FIRST_REQUEST_WITHIN, idleWhenStopping) : idleWhenStopping;
    }

    private void disarm() {
        awaited = Awaited.NOTHING;
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    private void late() {
        switch (awaitedNow()) {
            case REQUEST -> refuseLate(stopping ? "the server stops" : "no request for too long");
            case HEAD -> refuseLate("a head took too long");
            case REST_OF_CONTENT -> connection.end();
            case NOTHING -> { }
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
        disarm();
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
