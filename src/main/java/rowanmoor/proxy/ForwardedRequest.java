package rowanmoor.proxy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import rowanmoor.ControlApi.Backend;
import rowanmoor.http.ClientStream;
import rowanmoor.http.HttpFields;
import rowanmoor.http.MessagePart;
import rowanmoor.http.OrcaLoadReport;
import rowanmoor.http.ServerStream;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Timer;

/**
 * One request in flight: its sequential tries and its response, streamed to the client. Request content is
 * buffered up to a limit so that a retry can send it again; a request with longer content is not retried
 * once the limit is exceeded. There is no retry after the response has begun: if the response breaks off, so
 * does the client's.
 */
final class ForwardedRequest implements ServerStream.BodyConsumer, ClientStream.ResponseHandler {

    /** A failed response up to this length is read and discarded before a retry, to keep its connection. */
    private static final long MAX_DISCARDED_BYTES = 1 << 16;

    private final Proxy proxy;
    private final int cls;
    private final ServerStream.Exchange exchange;
    private final Set<Backend> tried = new TreeSet<>();
    private final long deadlineNs;
    private final Timer deadlineTimer;
    private List<ByteBuffer> replayBuffer = new ArrayList<>();
    private int replayBytes;
    private HttpFields requestTrailers;
    private Timer tryTimer;
    private ClientStream stream;
    private Backend backend;
    private long trySentNs;
    private List<Double> load = List.of();
    private boolean responseGood;
    private boolean responseBegun;
    private boolean finished;
    private long responseBegunNs;
    /** Time of the last byte transferred in either direction, ns. */
    long lastProgressNs;

    ForwardedRequest(Proxy proxy, int cls, ServerStream.Exchange exchange, long timeoutNs) {
        this.proxy = proxy;
        this.cls = cls;
        this.exchange = exchange;
        this.lastProgressNs = proxy.now();
        this.deadlineNs = lastProgressNs + timeoutNs;
        this.deadlineTimer = proxy.loop().at(deadlineNs, this::onDeadline);
    }

    void start() {
        exchange.setBodyConsumer(this);
        if (exchange.isRequestComplete()) {
            requestTrailers = new HttpFields();
        }
        startTry();
    }

    private void onDeadline() {
        if (!responseBegun) {
            endTry(false, true);
            fail(504, "no answer before its deadline");
        }
    }

    // ---- tries ---------------------------------------------------------------------------------------

    private void startTry() {
        backend = proxy.router().pick(cls, tried, proxy.now());
        if (backend == null) {
            fail(503, "no backend");
            return;
        }
        tried.add(backend);
        proxy.router().onTrySent(backend);
        trySentNs = proxy.now();
        stream = proxy.acquireConnection(backend);
        if (stream == null) { // this proxy's own limit, not a failure of the backend
            proxy.router().onTryAbandoned(backend);
            backend = null;
            if (mayRetry(true)) {
                startTry();
            } else {
                fail(503, "as many connections as may be");
            }
            return;
        }
        long tryTimeoutNs = proxy.router().tryTimeoutNs(cls);
        if (tryTimeoutNs > 0) {
            tryTimer = proxy.loop().after(tryTimeoutNs, () -> {
                endTry(false, true);
                retryOrFail(false, "no answer in time");
            });
        }
        stream.sendHead(proxy.backendRequestHead(exchange.head(), backend, deadlineNs - proxy.now()), this);
        for (ByteBuffer piece : replayBuffer == null ? List.<ByteBuffer>of() : replayBuffer) {
            stream.write(piece.duplicate());
        }
        if (requestTrailers != null) {
            stream.endRequest(requestTrailers);
        }
    }

    /** Whether all request content received so far is still buffered, so that a retry can send it. */
    private boolean canReplay() {
        return replayBuffer != null;
    }

    /** The router is asked last, as it may spend a retry credit: none is spent without another backend. */
    private boolean mayRetry(boolean neverRan) {
        return canReplay() && proxy.router().hasUntriedBackend(cls, tried)
                && proxy.router().mayRetry(cls, tried.size(), neverRan, deadlineNs - proxy.now());
    }

    private void retryOrFail(boolean neverRan, String reason) {
        if (finished) {
            return;
        }
        if (mayRetry(neverRan)) {
            startTry();
        } else {
            fail(502, "the last try failed: " + reason);
        }
    }

    /** Records the end of the current try, if there is one. */
    private void endTry(boolean good, boolean cancel) {
        if (backend == null) {
            return;
        }
        if (tryTimer != null) {
            tryTimer.cancel();
            tryTimer = null;
        }
        Backend triedBackend = backend;
        backend = null;
        proxy.router().onTryEnded(triedBackend, good, proxy.now());
        proxy.tallies().onTryEnded(triedBackend, good, proxy.now() - trySentNs, load);
        load = List.of();
        if (cancel && stream != null) {
            ClientStream cancelled = stream;
            stream = null;
            cancelled.cancel();
        }
    }

    /** Ends the request with an error answer of the proxy, or breaks off a response that has begun. */
    private void fail(int status, String reason) {
        if (!finished) {
            markFinished();
            proxy.tallies().onUnanswered(cls);
            if (exchange.hasResponseBegun()) {
                exchange.abort();
            } else {
                proxy.answerDirectly(exchange, status, reason);
            }
        }
    }

    private void markFinished() {
        finished = true;
        deadlineTimer.cancel();
        replayBuffer = null;
        proxy.onRequestEnded(this);
    }

    /** The client has disconnected: cancels the try, which counts neither for nor against its backend. */
    void abandon() {
        if (finished) {
            return;
        }
        markFinished();
        abandonTry();
        proxy.tallies().onUnanswered(cls);
    }

    /** The proxy stops: answers the client with 503, or breaks off a response that has begun. */
    void stop() {
        if (!finished) {
            abandonTry();
            fail(503, "the proxy stops");
        }
    }

    /** Cancels the current try, which counts neither for nor against its backend. */
    private void abandonTry() {
        if (tryTimer != null) {
            tryTimer.cancel();
            tryTimer = null;
        }
        if (stream != null) {
            ClientStream cancelled = stream;
            stream = null;
            cancelled.cancel();
        }
        if (backend != null) {
            proxy.router().onTryAbandoned(backend);
            backend = null;
        }
    }

    /** Ends a response that has stalled or takes too long; called periodically. */
    void checkTimeouts(long nowNs) {
        boolean stalled = nowNs - lastProgressNs > proxy.policy().stallTimeoutNs();
        if (responseBegun && (stalled || nowNs - responseBegunNs > proxy.policy().responseTimeoutNs())) {
            endTry(false, true);
            fail(504, "stands still");
        }
    }

    // ---- request content -----------------------------------------------------------------------------

    @Override
    public void onRequestContent(ByteBuffer bytes) {
        lastProgressNs = proxy.now();
        if (backend == null && stream == null && replayBuffer == null) {
            return;
        }
        if (replayBuffer != null) {
            if (replayBytes + bytes.remaining() <= proxy.policy().maxReplayBytes()) {
                replayBytes += bytes.remaining();
                replayBuffer.add(ByteBuffer.allocate(bytes.remaining()).put(bytes.duplicate()).flip());
            } else {
                replayBuffer = null;
            }
        }
        if (stream != null && !stream.write(bytes)) {
            exchange.setPaused(true);
        }
    }

    @Override
    public void onRequestEnd(HttpFields trailers) {
        requestTrailers = trailers;
        if (stream != null) {
            stream.endRequest(trailers);
        }
    }

    // ---- response ------------------------------------------------------------------------------------

    @Override
    public void onInterimHead(MessagePart.ResponseHead head) {
        exchange.interim(head);
    }

    @Override
    public void onResponseHead(MessagePart.ResponseHead head) {
        lastProgressNs = proxy.now();
        boolean neverRan = (head.status() == 503 || head.status() == 408)
                && head.fields().get(Proxy.NEVER_RAN_FIELD) != null;
        responseGood = head.status() < 500 && !neverRan;
        load = proxy.columns().parse(head.fields().get(OrcaLoadReport.HEADER_NAME));
        if (!responseGood && mayRetry(neverRan)) {
            ClientStream failed = stream;
            Backend target = backend;
            stream = null;
            endTry(false, false);
            discardResponse(failed, target, head.contentLength());
            startTry();
            return;
        }
        responseBegun = true;
        responseBegunNs = proxy.now();
        replayBuffer = null;
        deadlineTimer.cancel();
        if (tryTimer != null) {
            tryTimer.cancel();
            tryTimer = null;
        }
        ClientStream current = stream;
        exchange.onDrained(() -> current.setPaused(false));
        exchange.beginResponse(Proxy.clientResponseHead(head));
    }

    /** Reads a response that is not forwarded to its end, or closes its connection if it is too long. */
    private void discardResponse(ClientStream discarded, Backend target, long length) {
        if (length < 0 || length > MAX_DISCARDED_BYTES) {
            discarded.cancel();
            return;
        }
        discarded.setResponseHandler(new ClientStream.ResponseHandler() {
            @Override
            public void onResponseHead(MessagePart.ResponseHead head) { }

            @Override
            public void onResponseContent(ByteBuffer bytes) { }

            @Override
            public void onResponseEnd(HttpFields trailers) {
                proxy.releaseConnection(target, discarded);
            }

            @Override
            public void onFailure(boolean neverRan, CloseReason reason, String detail) { }
        });
    }

    @Override
    public void onResponseContent(ByteBuffer bytes) {
        lastProgressNs = proxy.now();
        if (!exchange.write(bytes) && stream != null) {
            stream.setPaused(true);
        }
    }

    @Override
    public void onResponseEnd(HttpFields trailers) {
        ClientStream completed = stream;
        Backend target = backend;
        stream = null;
        endTry(responseGood, false);
        if (!finished) {
            markFinished();
            if (!responseGood) {
                proxy.tallies().onUnanswered(cls);
            }
            exchange.endResponse(trailers);
        }
        proxy.releaseConnection(target, completed);
    }

    @Override
    public void onFailure(boolean neverRan, CloseReason reason, String detail) {
        if (stream == null) {
            return;
        }
        stream = null;
        endTry(false, false);
        if (responseBegun) {
            fail(502, "the answer broke off");
        } else {
            retryOrFail(neverRan, reason + ": " + detail);
        }
    }

    @Override
    public void onRequestDrained() {
        exchange.setPaused(false);
    }
}
