package rowanmoor.http;

import java.nio.ByteBuffer;
import rowanmoor.net.WriteLimit;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
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
public class ServerStream implements ConnectionHandler {

    /** Set on a refusal: proof that nothing was done for the request. */
    public static final String NEVER_RAN_FIELD = "x-never-ran";
    static final int AHEAD_MOST = 1 << 16;
    /**
     * A client that opens a connection for a request sends it along with the handshake's last packet: one
     * that has sent nothing for so long was opened in advance. It is not waited for when the server stops,
     * ns.
     */
    private static final long FIRST_REQUEST_WITHIN = 50_000_000L;
    /** An answered request's content up to this is read to its end, so that the connection can be kept. */
    private static final long DRAIN_MOST = 1 << 16;
    private static final BodyConsumer NOBODY = new BodyConsumer() {
        @Override
        public void onRequestContent(ByteBuffer bytes) { }

        @Override
        public void onRequestEnd(HttpFields trailers) { }
    };

    /** Serves requests. */
    public interface Service {

        /** A request's head came. What its content goes to must be set now. */
        void onRequest(Exchange exchange);

        /** The client is gone before its answer was whole. */
        void onAborted(Exchange exchange);
    }

    /**
     * How long a client is waited for, in nanoseconds; 0 for no bound.
     *
     * @param head from a head's first byte to its last; also for the rest of content that nobody takes any
     *     more
     * @param idle between two requests
     */
    public record Timeouts(long headNs, long idleNs) {

        /** No bound at all. */
        static final Timeouts ENDLESS = new Timeouts(0, 0);
    }

    /** What is waited for from the client. */
    private enum Awaited { NOTHING, REQUEST, HEAD, REST_OF_CONTENT }

    /** Takes a request's content. */
    public interface BodyConsumer {

        /** The bytes are the reader's own: what is kept must be copied. */
        void onRequestContent(ByteBuffer bytes);

        void onRequestEnd(HttpFields trailers);
    }

    /** One request and its answer's way back. */
    public final class Exchange {
        private final MessagePart.RequestHead head;
        private final Out out = new Out(connection);
        private BodyConsumer body = NOBODY;
        private Runnable drained = () -> { };
        private boolean asked;
        private boolean begun;
        private boolean over;
        private boolean untilEnd;
        private boolean bare;
        private boolean closes;
        /** Free for the service's own use. */
        public Object attachment;

        private Exchange(MessagePart.RequestHead head) {
            this.head = head;
        }

        public MessagePart.RequestHead head() {
            return head;
        }

        public Connection connection() {
            return connection;
        }

        /** Where the request's content goes; without it, nowhere. */
        public void setBodyConsumer(BodyConsumer itsBody) {
            body = itsBody;
        }

        /** Whether the request's content is whole. */
        public boolean isRequestComplete() {
            return asked;
        }

        /** Whether the answer's head has gone out. */
        public boolean hasResponseBegun() {
            return begun;
        }

        public boolean isFinished() {
            return over;
        }

        /** Reads no more of the content, or goes on. */
        public void setPaused(boolean on) {
            if (current == this && !over) {
                if (on) {
                    connection.pause();
                } else {
                    connection.resume();
                }
            }
        }

        /** Called when all that was written has gone out. */
        public void onDrained(Runnable then) {
            drained = then;
        }

        /** An interim answer (1xx); a client of HTTP/1.0 must not see one (RFC 9110, 15.2). */
        public void interim(MessagePart.ResponseHead interim) {
            if (!over && !begun && head.minorVersion() == 1) {
                connection.send(Out.encode(start(interim.status(), interim.reason()), interim.fields()));
            }
        }

        /** A whole answer of the server's own; false if an answer has begun. */
        public boolean respond(int status, String text, String... fields) {
            byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            if (!beginResponse(new MessagePart.ResponseHead(status, Reason.of(status), 1, HttpFields.of(fields),
                    bytes.length))) {
                return false;
            }
            write(ByteBuffer.wrap(bytes));
            endResponse(new HttpFields());
            return true;
        }

        /** Begins an answer: its fields say nothing of framing but for HEAD and 304. False if too late. */
        public boolean beginResponse(MessagePart.ResponseHead answer) {
            if (over || begun) {
                return false;
            }
            begun = true;
            int status = answer.status();
            bare = head.method().equals("HEAD") || status == 204 || status == 304;
            HttpFields fields = answer.fields().copy();
            long length = bare ? 0 : answer.contentLength();
            if (length < 0) {
                untilEnd = head.minorVersion() == 0;
                length = untilEnd ? MessagePart.UNTIL_CLOSE : MessagePart.CHUNKED;
            }
            if (!bare) {
                fields.remove("Content-Length");
                if (length >= 0) {
                    fields.set("Content-Length", Long.toString(length));
                }
            }
            fields.remove("Transfer-Encoding");
            if (length == MessagePart.CHUNKED) {
                fields.set("Transfer-Encoding", "chunked");
            }
            closes = untilEnd || head.minorVersion() == 0 || answer.fields().hasToken("connection",
                    "close") || !head.isKeepAlive() || stopping
                    || !asked && !mayDrain();
            if (closes) {
                fields.set("Connection", "close");
            }
            out.head(start(status, answer.reason()), fields, length);
            return true;
        }

        private boolean mayDrain() {
            // A client that waits for 100 may leave its content out: what came next would be read as content.
            return head.contentLength() >= 0 && head.contentLength() <= DRAIN_MOST && head.fields().get("expect") == null;
        }

        /** Some of the answer's content, copied; false if the writer should pause until drained. */
        public boolean write(ByteBuffer bytes) {
            if (over || bare) {
                return true;
            }
            if (!out.piece(bytes)) {
                abort();
                return true;
            }
            return !out.enough();
        }

        /** Ends the answer. */
        public void endResponse(HttpFields trailers) {
            if (over) {
                return;
            }
            if (!bare && !out.whole()) {
                abort(); // a length was promised: the client must see that it is not kept
                return;
            }
            over = true;
            if (!bare) {
                out.end(trailers);
            }
            if (closes) {
                current = null;
                connection.closeGracefully();
            } else if (asked) {
                current = null;
                goOn();
            } else {
                connection.resume(); // the rest of the content is read and dropped
                awaitClient();
            }
        }

        /** Breaks the connection off: the client sees that its answer is not whole. */
        public void abort() {
            over = true;
            if (current == this) {
                current = null;
            }
            connection.reset("an answer broke off");
        }
    }

    private final Loop loop;
    private final Service service;
    private final MessagePartParser parser;
    private final Timeouts patience;
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

    public ServerStream(Loop loop, MessageLimits limits, Timeouts patience, Service service) {
        this.loop = loop;
        this.parser = MessagePartParser.forRequests(limits).withoutBodyLimit();
        this.patience = patience;
        this.service = service;
    }

    /** Content within the limits, and no bound on how long a head takes: for stand-ins and whole messages. */
    ServerStream(MessageLimits limits, Service service) {
        this.loop = null;
        this.parser = MessagePartParser.forRequests(limits);
        this.patience = Timeouts.ENDLESS;
        this.service = service;
    }

    /** Options for connections that are served in parts: what waits is bounded well above a pause. */
    public static Connection.Options options() {
        return Connection.Options.defaults().bound(new WriteLimit(1 << 22, 1 << 16, WriteLimit.OverflowPolicy.REFUSE));
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
    public void closeIfIdle() {
        if (connection != null && connection.isOpen() && current == null) {
            refuseLate("the server stops");
        }
    }

    private static String start(int status, String reason) {
        return "HTTP/1.1 " + status + " " + reason;
    }

    @Override
    public void onOpen(Connection itsConnection) {
        connection = itsConnection;
        awaitClient();
    }

    @Override
    public void onData(Connection itsConnection, ByteBuffer bytes) {
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
                MessagePart part = parser.next(bytes);
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

    private void take(MessagePart part) {
        if (part instanceof MessagePart.RequestHead head) {
            requests++;
            current = new Exchange(head);
            if (head.contentLength() != 0) {
                service.onRequest(current);
            }
            return;
        }
        Exchange its = current;
        if (its == null) {
            return; // answered and closing
        }
        if (part instanceof MessagePart.Piece piece) {
            if (!its.over) {
                its.body.onRequestContent(piece.bytes());
            }
            return;
        }
        its.asked = true;
        if (its.head.contentLength() == 0) {
            service.onRequest(its);
        }
        if (its.over) {
            current = null; // its answer was whole before
        } else {
            its.body.onRequestEnd(((MessagePart.End) part).trailers());
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
        connection.closeGracefully();
    }

    /**
     * Ends the connection under a request that has not come whole: whatever of it is on its way
     * never ran.
     */
    private void refuseLate(String why) {
        connection.send(Message.Response.of(408, why + "\n", "Connection", "close", NEVER_RAN_FIELD, "1")
                .encode(false));
        connection.closeGracefully();
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
            case HEAD, REST_OF_CONTENT -> patience.headNs();
            case REQUEST -> requestWithin();
        };
        if (within > 0) {
            timer = loop.after(within, this::late);
        }
    }

    private long requestWithin() {
        if (!stopping) {
            return patience.idleNs();
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
            case REST_OF_CONTENT -> connection.closeGracefully();
            case NOTHING -> { }
        }
    }

    @Override
    public void onDrained(Connection its) {
        if (current != null) {
            current.drained.run();
        }
    }

    @Override
    public boolean onInputEnd(Connection itsConnection) {
        abandon();
        return false;
    }

    @Override
    public void onClose(Connection itsConnection, CloseReason why, String detail) {
        disarm();
        abandon();
    }

    private void abandon() {
        Exchange unanswered = current;
        current = null;
        if (unanswered != null && !unanswered.over) {
            unanswered.over = true;
            service.onAborted(unanswered);
        }
    }
}
