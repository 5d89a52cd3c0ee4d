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
    static final int MAX_PIPELINED_BYTES = 1 << 16;
    /**
     * A client that opens a connection for a request sends it along with the handshake's last packet: one
     * that has sent nothing for so long was opened in advance. It is not waited for when the server stops,
     * ns.
     */
    private static final long FIRST_REQUEST_TIMEOUT_NS = 50_000_000L;
    /** An answered request's content up to this is read to its end, so that the connection can be kept. */
    private static final long MAX_DISCARDED_BYTES = 1 << 16;
    private static final BodyConsumer DISCARD = new BodyConsumer() {
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
        static final Timeouts NONE = new Timeouts(0, 0);
    }

    /** What is waited for from the client. */
    private enum ClientDuty { NOTHING, REQUEST, HEAD, REST_OF_CONTENT }

    /** Takes a request's content. */
    public interface BodyConsumer {

        /** The bytes are the reader's own: what is kept must be copied. */
        void onRequestContent(ByteBuffer bytes);

        void onRequestEnd(HttpFields trailers);
    }

    /** One request and its answer's way back. */
    public final class Exchange {
        private final MessagePart.RequestHead head;
        private final MessageWriter writer = new MessageWriter(connection);
        private BodyConsumer bodyConsumer = DISCARD;
        private Runnable onDrained = () -> { };
        private boolean requestComplete;
        private boolean responseBegun;
        private boolean finished;
        private boolean untilClose;
        private boolean withoutContent;
        private boolean closeAfterResponse;
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
            bodyConsumer = itsBody;
        }

        /** Whether the request's content is whole. */
        public boolean isRequestComplete() {
            return requestComplete;
        }

        /** Whether the answer's head has gone out. */
        public boolean hasResponseBegun() {
            return responseBegun;
        }

        public boolean isFinished() {
            return finished;
        }

        /** Reads no more of the content, or goes on. */
        public void setPaused(boolean on) {
            if (current == this && !finished) {
                if (on) {
                    connection.pause();
                } else {
                    connection.resume();
                }
            }
        }

        /** Called when all that was written has gone out. */
        public void onDrained(Runnable then) {
            onDrained = then;
        }

        /** An interim answer (1xx); a client of HTTP/1.0 must not see one (RFC 9110, 15.2). */
        public void interim(MessagePart.ResponseHead interim) {
            if (!finished && !responseBegun && head.minorVersion() == 1) {
                connection.send(MessageWriter.encode(statusLine(interim.status(), interim.reason()), interim.fields()));
            }
        }

        /** A whole answer of the server's own; false if an answer has begun. */
        public boolean respond(int status, String text, String... fields) {
            byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            if (!beginResponse(new MessagePart.ResponseHead(status, ReasonPhrases.of(status), 1, HttpFields.of(fields),
                    bytes.length))) {
                return false;
            }
            write(ByteBuffer.wrap(bytes));
            endResponse(new HttpFields());
            return true;
        }

        /** Begins an answer: its fields say nothing of framing but for HEAD and 304. False if too late. */
        public boolean beginResponse(MessagePart.ResponseHead answer) {
            if (finished || responseBegun) {
                return false;
            }
            responseBegun = true;
            int status = answer.status();
            withoutContent = head.method().equals("HEAD") || status == 204 || status == 304;
            HttpFields fields = answer.fields().copy();
            long length = withoutContent ? 0 : answer.contentLength();
            if (length < 0) {
                untilClose = head.minorVersion() == 0;
                length = untilClose ? MessagePart.UNTIL_CLOSE : MessagePart.CHUNKED;
            }
            if (!withoutContent) {
                fields.remove("Content-Length");
                if (length >= 0) {
                    fields.set("Content-Length", Long.toString(length));
                }
            }
            fields.remove("Transfer-Encoding");
            if (length == MessagePart.CHUNKED) {
                fields.set("Transfer-Encoding", "chunked");
            }
            closeAfterResponse = untilClose || head.minorVersion() == 0 || answer.fields().hasToken("connection",
                    "close") || !head.isKeepAlive() || stopping
                    || !requestComplete && !canDiscardRest();
            if (closeAfterResponse) {
                fields.set("Connection", "close");
            }
            writer.writeHead(statusLine(status, answer.reason()), fields, length);
            return true;
        }

        private boolean canDiscardRest() {
            // A client that waits for 100 may leave its content out: what came next would be read as content.
            return head.contentLength() >= 0 && head.contentLength() <= MAX_DISCARDED_BYTES && head.fields().get("expect") == null;
        }

        /** Some of the answer's content, copied; false if the writer should pause until drained. */
        public boolean write(ByteBuffer bytes) {
            if (finished || withoutContent) {
                return true;
            }
            if (!writer.writeContent(bytes)) {
                abort();
                return true;
            }
            return !writer.isAboveHighWater();
        }

        /** Ends the answer. */
        public void endResponse(HttpFields trailers) {
            if (finished) {
                return;
            }
            if (!withoutContent && !writer.isContentComplete()) {
                abort(); // a length was promised: the client must see that it is not kept
                return;
            }
            finished = true;
            if (!withoutContent) {
                writer.writeEnd(trailers);
            }
            if (closeAfterResponse) {
                current = null;
                connection.closeGracefully();
            } else if (requestComplete) {
                current = null;
                nextRequest();
            } else {
                connection.resume(); // the rest of the content is read and dropped
                updateTimer();
            }
        }

        /** Breaks the connection off: the client sees that its answer is not whole. */
        public void abort() {
            finished = true;
            if (current == this) {
                current = null;
            }
            connection.reset("an answer broke off");
        }
    }

    private final Loop loop;
    private final Service service;
    private final MessagePartParser parser;
    private final Timeouts timeouts;
    private Connection connection;
    private ByteBuffer pipelined;
    private Exchange current;
    private ClientDuty armedFor = ClientDuty.NOTHING;
    private Timer timer;
    private long requestCount;
    private long requestCountWhenArmed;
    private boolean parsing;
    private boolean stopping;
    private long stoppingIdleTimeoutNs;

    public ServerStream(Loop loop, MessageLimits limits, Timeouts patience, Service service) {
        this.loop = loop;
        this.parser = MessagePartParser.forRequests(limits).withoutBodyLimit();
        this.timeouts = patience;
        this.service = service;
    }

    /** Content within the limits, and no bound on how long a head takes: for stand-ins and whole messages. */
    ServerStream(MessageLimits limits, Service service) {
        this.loop = null;
        this.parser = MessagePartParser.forRequests(limits);
        this.timeouts = Timeouts.NONE;
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
        stoppingIdleTimeoutNs = idleWithin;
        cancelTimer();
        updateTimer();
    }

    /** Ends, unless a request is in work. */
    public void closeIfIdle() {
        if (connection != null && connection.isOpen() && current == null) {
            rejectWithTimeout("the server stops");
        }
    }

    private static String statusLine(int status, String reason) {
        return "HTTP/1.1 " + status + " " + reason;
    }

    @Override
    public void onOpen(Connection itsConnection) {
        connection = itsConnection;
        updateTimer();
    }

    @Override
    public void onData(Connection itsConnection, ByteBuffer bytes) {
        if (pipelined == null && !isRequestComplete()) {
            parse(bytes);
        }
        if (bytes.hasRemaining() && connection.isOpen()) {
            bufferPipelined(bytes);
        }
        updateTimer();
    }

    /** Whether the next bytes belong to a later request. */
    private boolean isRequestComplete() {
        return current != null && current.requestComplete;
    }

    private void bufferPipelined(ByteBuffer bytes) {
        int before = pipelined == null ? 0 : pipelined.remaining();
        ByteBuffer joined = ByteBuffer.allocate(before + bytes.remaining());
        if (pipelined != null) {
            joined.put(pipelined);
        }
        pipelined = joined.put(bytes).flip();
        if (pipelined.remaining() > MAX_PIPELINED_BYTES) {
            connection.pause();
        }
    }

    /** The request in work is over: on with what waits. */
    private void nextRequest() {
        if (parsing) {
            return; // the loop in pump goes on by itself
        }
        if (pipelined != null) {
            ByteBuffer waiting = pipelined;
            pipelined = null;
            parse(waiting);
            if (waiting.hasRemaining() && connection.isOpen()) {
                pipelined = waiting.slice();
            }
        }
        if (connection.isOpen() && (pipelined == null || pipelined.remaining() <= MAX_PIPELINED_BYTES)) {
            connection.resume();
        }
        updateTimer();
    }

    private void parse(ByteBuffer bytes) {
        parsing = true;
        try {
            while (connection.isOpen() && !isRequestComplete()) {
                MessagePart part = parser.next(bytes);
                if (part == null) {
                    break;
                }
                handlePart(part);
            }
        } catch (HttpError e) {
            rejectMalformed(e);
        } finally {
            parsing = false;
        }
    }

    private void handlePart(MessagePart part) {
        if (part instanceof MessagePart.RequestHead head) {
            requestCount++;
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
        if (part instanceof MessagePart.Content piece) {
            if (!its.finished) {
                its.bodyConsumer.onRequestContent(piece.bytes());
            }
            return;
        }
        its.requestComplete = true;
        if (its.head.contentLength() == 0) {
            service.onRequest(its);
        }
        if (its.finished) {
            current = null; // its answer was whole before
        } else {
            its.bodyConsumer.onRequestEnd(((MessagePart.End) part).trailers());
        }
    }

    private void rejectMalformed(HttpError e) {
        Exchange its = current;
        if (its != null && !its.finished && its.responseBegun) {
            abortExchange();
            connection.reset(e.getMessage());
            return;
        }
        abortExchange();
        connection.send(Message.Response.of(e.status(), e.getMessage() + "\n", "Connection", "close")
                .encode(false));
        connection.closeGracefully();
    }

    /**
     * Ends the connection under a request that has not come whole: whatever of it is on its way
     * never ran.
     */
    private void rejectWithTimeout(String why) {
        connection.send(Message.Response.of(408, why + "\n", "Connection", "close", NEVER_RAN_FIELD, "1")
                .encode(false));
        connection.closeGracefully();
    }

    // ---- how long the client is waited for -------------------------------------------------------------

    private ClientDuty currentDuty() {
        if (connection == null || !connection.isOpen()) {
            return ClientDuty.NOTHING;
        }
        if (current != null) {
            return current.finished ? ClientDuty.REST_OF_CONTENT : ClientDuty.NOTHING;
        }
        return parser.inMessage() || pipelined != null ? ClientDuty.HEAD : ClientDuty.REQUEST;
    }

    /** Sets the timer for what the client owes by now, unless it is set already. */
    private void updateTimer() {
        ClientDuty now = currentDuty();
        if (now == armedFor && requestCount == requestCountWhenArmed) {
            return;
        }
        cancelTimer();
        armedFor = now;
        requestCountWhenArmed = requestCount;
        long within = switch (now) {
            case NOTHING -> 0;
            case HEAD, REST_OF_CONTENT -> timeouts.headNs();
            case REQUEST -> requestTimeoutNs();
        };
        if (within > 0) {
            timer = loop.after(within, this::onTimeout);
        }
    }

    private long requestTimeoutNs() {
        if (!stopping) {
            return timeouts.idleNs();
        }
        return requestCount == 0 ? Math.min(FIRST_REQUEST_TIMEOUT_NS, stoppingIdleTimeoutNs) : stoppingIdleTimeoutNs;
    }

    private void cancelTimer() {
        armedFor = ClientDuty.NOTHING;
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    private void onTimeout() {
        switch (currentDuty()) {
            case REQUEST -> rejectWithTimeout(stopping ? "the server stops" : "no request for too long");
            case HEAD -> rejectWithTimeout("a head took too long");
            case REST_OF_CONTENT -> connection.closeGracefully();
            case NOTHING -> { }
        }
    }

    @Override
    public void onDrained(Connection its) {
        if (current != null) {
            current.onDrained.run();
        }
    }

    @Override
    public boolean onInputEnd(Connection itsConnection) {
        abortExchange();
        return false;
    }

    @Override
    public void onClose(Connection itsConnection, CloseReason why, String detail) {
        cancelTimer();
        abortExchange();
    }

    private void abortExchange() {
        Exchange unanswered = current;
        current = null;
        if (unanswered != null && !unanswered.finished) {
            unanswered.finished = true;
            service.onAborted(unanswered);
        }
    }
}
