package rowanmoor.http;

import java.nio.ByteBuffer;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;
import rowanmoor.net.WriteLimit;

/**
 * Streaming HTTP server on one connection: requests are delivered and responses written part by part.
 * Requests are served one at a time and in order; pipelined input is buffered, at most
 * {@value #MAX_PIPELINED_BYTES} bytes and one further read. Content is read only as fast as it is consumed. A
 * client that closes its side while its request is in progress has given up.
 *
 * <p>A connection without a request in progress is never simply closed, since a request may be in transit:
 * the server sends a 408 with {@link #NEVER_RAN_FIELD}, then reads and discards what still arrives
 * (RFC 9110, 15.5.9).
 */
public class ServerStream implements ConnectionHandler {

    /** Header field of a rejection: guarantees that the request was not processed. */
    public static final String NEVER_RAN_FIELD = "x-never-ran";
    static final int MAX_PIPELINED_BYTES = 1 << 16;
    /**
     * How long a stopping server waits for the first request of a connection. A client that opens a
     * connection for a request sends it along with the handshake's last packet; a connection without a
     * request after this time was opened in advance.
     */
    private static final long FIRST_REQUEST_TIMEOUT_NS = 50_000_000L;
    /** Most content that is read and discarded after an early response to keep the connection alive. */
    private static final long MAX_DISCARDED_BYTES = 1 << 16;
    private static final BodyConsumer DISCARD = new BodyConsumer() {
        @Override
        public void onRequestContent(ByteBuffer bytes) { }

        @Override
        public void onRequestEnd(HttpFields trailers) { }
    };

    /** Handles requests. */
    public interface Service {

        /** A request's head has arrived. The consumer of its content must be set during this call. */
        void onRequest(Exchange exchange);

        /** The client disconnected before the response was complete. */
        void onAborted(Exchange exchange);
    }

    /**
     * How long to wait for a client, in nanoseconds; 0 for no limit.
     *
     * @param headNs from a head's first byte to its last; also for the rest of content that is discarded
     * @param idleNs between two requests
     */
    public record Timeouts(long headNs, long idleNs) {

        /** No time-outs. */
        static final Timeouts NONE = new Timeouts(0, 0);
    }

    /** What the client has to send next. */
    private enum ClientDuty { NOTHING, REQUEST, HEAD, REST_OF_CONTENT }

    /** Receives a request's content. */
    public interface BodyConsumer {

        /** Some content; the buffer is the parser's, copy what must outlive the call. */
        void onRequestContent(ByteBuffer bytes);

        void onRequestEnd(HttpFields trailers);
    }

    /** One request, and the means to respond to it. */
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
        /** For the service's own use. */
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

        /** Sets the consumer of the request's content; without one, the content is discarded. */
        public void setBodyConsumer(BodyConsumer newConsumer) {
            bodyConsumer = newConsumer;
        }

        /** Whether the request has arrived completely. */
        public boolean isRequestComplete() {
            return requestComplete;
        }

        /** Whether the response's head has been written. */
        public boolean hasResponseBegun() {
            return responseBegun;
        }

        /** Whether the response is complete or the exchange was aborted. */
        public boolean isFinished() {
            return finished;
        }

        /** Pauses or resumes reading of the content. */
        public void setPaused(boolean on) {
            if (current == this && !finished) {
                if (on) {
                    connection.pause();
                } else {
                    connection.resume();
                }
            }
        }

        /** Sets what to call when all response bytes written so far have been sent. */
        public void onDrained(Runnable callback) {
            onDrained = callback;
        }

        /** Sends an interim response (1xx), but never to an HTTP/1.0 client (RFC 9110, 15.2). */
        public void interim(MessagePart.ResponseHead interim) {
            if (!finished && !responseBegun && head.minorVersion() == 1) {
                connection.send(MessageWriter.encode(statusLine(interim.status(), interim.reason()),
                        interim.fields()));
            }
        }

        /** Sends a whole response with a text; false if a response has begun. */
        public boolean respond(int status, String text, String... fields) {
            byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            if (!beginResponse(new MessagePart.ResponseHead(status, ReasonPhrases.of(status), 1,
                    HttpFields.of(fields), bytes.length))) {
                return false;
            }
            write(ByteBuffer.wrap(bytes));
            endResponse(new HttpFields());
            return true;
        }

        /**
         * Begins a response. Framing fields are set here, from the content length; those of the head are kept
         * only where there is no content (HEAD, 204 and 304), and only Content-Length.
         *
         * @return false if a response has begun or the exchange is finished
         */
        public boolean beginResponse(MessagePart.ResponseHead responseHead) {
            if (finished || responseBegun) {
                return false;
            }
            responseBegun = true;
            int status = responseHead.status();
            withoutContent = head.method().equals("HEAD") || status == 204 || status == 304;
            HttpFields fields = responseHead.fields().copy();
            long length = withoutContent ? 0 : responseHead.contentLength();
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
            closeAfterResponse = untilClose || head.minorVersion() == 0
                    || responseHead.fields().hasToken("connection", "close")
                    || !head.isKeepAlive() || stopping
                    || !requestComplete && !canDiscardRest();
            if (closeAfterResponse) {
                fields.set("Connection", "close");
            }
            writer.writeHead(statusLine(status, responseHead.reason()), fields, length);
            return true;
        }

        private boolean canDiscardRest() {
            // A client that awaits 100 may omit its content: what came next would be read as content.
            return head.contentLength() >= 0 && head.contentLength() <= MAX_DISCARDED_BYTES
                    && head.fields().get("expect") == null;
        }

        /** Writes and copies some response content; false if the caller should pause until drained. */
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

        /** Completes the response. */
        public void endResponse(HttpFields trailers) {
            if (finished) {
                return;
            }
            if (!withoutContent && !writer.isContentComplete()) {
                abort(); // shorter than its Content-Length: the client must notice
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
                connection.resume(); // the rest of the content is read and discarded
                updateTimer();
            }
        }

        /** Resets the connection, so that the client notices that its response is incomplete. */
        public void abort() {
            finished = true;
            if (current == this) {
                current = null;
            }
            connection.reset("response aborted");
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

    /** Serves content of any length. */
    public ServerStream(Loop loop, MessageLimits limits, Timeouts timeouts, Service service) {
        this.loop = loop;
        this.parser = MessagePartParser.forRequests(limits).withoutBodyLimit();
        this.timeouts = timeouts;
        this.service = service;
    }

    /** Content within the limits, and no time-outs: for stand-ins and whole messages. */
    ServerStream(MessageLimits limits, Service service) {
        this.loop = null;
        this.parser = MessagePartParser.forRequests(limits);
        this.timeouts = Timeouts.NONE;
        this.service = service;
    }

    /** Options for streaming connections: the write limit is well above the high-water mark for pausing. */
    public static Connection.Options options() {
        return Connection.Options.defaults().bound(
                new WriteLimit(1 << 22, 1 << 16, WriteLimit.OverflowPolicy.REFUSE));
    }

    /**
     * Keeps serving, but closes the connection after the next response that begins, or after
     * {@code idleTimeoutNs} without a request.
     */
    public void stop(long idleTimeoutNs) {
        stopping = true;
        stoppingIdleTimeoutNs = idleTimeoutNs;
        cancelTimer();
        updateTimer();
    }

    /** Closes the connection unless a request is in progress. */
    public void closeIfIdle() {
        if (connection != null && connection.isOpen() && current == null) {
            rejectWithTimeout("the server stops");
        }
    }

    private static String statusLine(int status, String reason) {
        return "HTTP/1.1 " + status + " " + reason;
    }

    @Override
    public void onOpen(Connection openedConnection) {
        connection = openedConnection;
        updateTimer();
    }

    @Override
    public void onData(Connection ignored, ByteBuffer bytes) {
        if (pipelined == null && !isCurrentRequestComplete()) {
            parse(bytes);
        }
        if (bytes.hasRemaining() && connection.isOpen()) {
            bufferPipelined(bytes);
        }
        updateTimer();
    }

    /** Whether the current request has arrived completely, so that further bytes belong to a later one. */
    private boolean isCurrentRequestComplete() {
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

    /** Continues with pipelined input after the current exchange has finished. */
    private void nextRequest() {
        if (parsing) {
            return; // the loop in parse continues by itself
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
            while (connection.isOpen() && !isCurrentRequestComplete()) {
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
        Exchange exchange = current;
        if (exchange == null) {
            return; // the response is complete and the connection is closing
        }
        if (part instanceof MessagePart.Content content) {
            if (!exchange.finished) {
                exchange.bodyConsumer.onRequestContent(content.bytes());
            }
            return;
        }
        exchange.requestComplete = true;
        if (exchange.head.contentLength() == 0) {
            service.onRequest(exchange);
        }
        if (exchange.finished) {
            current = null; // the response was completed earlier
        } else {
            exchange.bodyConsumer.onRequestEnd(((MessagePart.End) part).trailers());
        }
    }

    private void rejectMalformed(HttpError e) {
        Exchange exchange = current;
        if (exchange != null && !exchange.finished && exchange.responseBegun) {
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
     * Rejects a request that has not arrived completely, guaranteeing that it was not processed, and closes
     * the connection.
     */
    private void rejectWithTimeout(String message) {
        connection.send(Message.Response.of(408, message + "\n", "Connection", "close", NEVER_RAN_FIELD, "1")
                .encode(false));
        connection.closeGracefully();
    }

    // ---- Time-outs of the client -----------------------------------------------------------------------

    private ClientDuty currentDuty() {
        if (connection == null || !connection.isOpen()) {
            return ClientDuty.NOTHING;
        }
        if (current != null) {
            return current.finished ? ClientDuty.REST_OF_CONTENT : ClientDuty.NOTHING;
        }
        return parser.inMessage() || pipelined != null ? ClientDuty.HEAD : ClientDuty.REQUEST;
    }

    /** Sets the timer for what the client has to send next, unless it is set already. */
    private void updateTimer() {
        ClientDuty duty = currentDuty();
        if (duty == armedFor && requestCount == requestCountWhenArmed) {
            return;
        }
        cancelTimer();
        armedFor = duty;
        requestCountWhenArmed = requestCount;
        long timeoutNs = switch (duty) {
            case NOTHING -> 0;
            case HEAD, REST_OF_CONTENT -> timeouts.headNs();
            case REQUEST -> requestTimeoutNs();
        };
        if (timeoutNs > 0) {
            timer = loop.after(timeoutNs, this::onTimeout);
        }
    }

    private long requestTimeoutNs() {
        if (!stopping) {
            return timeouts.idleNs();
        }
        return requestCount == 0 ? Math.min(FIRST_REQUEST_TIMEOUT_NS, stoppingIdleTimeoutNs)
                : stoppingIdleTimeoutNs;
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
    public void onDrained(Connection ignored) {
        if (current != null) {
            current.onDrained.run();
        }
    }

    @Override
    public boolean onInputEnd(Connection ignored) {
        abortExchange();
        return false;
    }

    @Override
    public void onClose(Connection ignored, CloseReason reason, String detail) {
        cancelTimer();
        abortExchange();
    }

    private void abortExchange() {
        Exchange unfinished = current;
        current = null;
        if (unfinished != null && !unfinished.finished) {
            unfinished.finished = true;
            service.onAborted(unfinished);
        }
    }
}
