package rowanmoor.proxy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import rowanmoor.ControlApi.Backend;
import rowanmoor.http.ClientStream;
import rowanmoor.http.Fields;
import rowanmoor.http.Orca;
import rowanmoor.http.Part;
import rowanmoor.http.ServerStream;
import rowanmoor.net.Close;
import rowanmoor.net.Timer;

/**
 * One request on its way: its tries, one after the other, and its answer, passed on as it comes. Content is
 * held, up to a bound, so that another try can send it; longer content goes once. Once the answer has begun
 * there is no other try: if it breaks off, so does the client's.
 */
final class ForwardedRequest implements ServerStream.Body, ClientStream.Answer {

    /** An answer that another try follows, up to this, is read and dropped to keep its connection. */
    private static final long MAX_DISCARDED_BYTES = 1 << 16;

    private final Proxy proxy;
    private final int cls;
    private final ServerStream.Exchange exchange;
    private final Set<Backend> tried = new TreeSet<>();
    private final long deadlineNs;
    private final Timer deadlineTimer;
    private List<ByteBuffer> replayBuffer = new ArrayList<>();
    private int replayBytes;
    private Fields requestTrailers;
    private Timer tryTimer;
    private ClientStream stream;
    private Backend backend;
    private long trySentNs;
    private List<Double> load = List.of();
    private boolean responseGood;
    private boolean responseBegun;
    private boolean finished;
    private long responseBegunNs;
    /** Time of the last byte that moved in either direction. */
    long lastProgressNs;

    ForwardedRequest(Proxy proxy, int cls, ServerStream.Exchange exchange, long within) {
        this.proxy = proxy;
        this.cls = cls;
        this.exchange = exchange;
        this.lastProgressNs = proxy.now();
        this.deadlineNs = lastProgressNs + within;
        this.deadlineTimer = proxy.loop().at(deadlineNs, this::onDeadline);
    }

    void start() {
        exchange.to(this);
        if (exchange.asked()) {
            requestTrailers = new Fields();
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
        if (stream == null) { // this proxy's own bound: not held against the backend
            proxy.router().onTryAbandoned(backend);
            backend = null;
            if (mayRetry(true)) {
                startTry();
            } else {
                fail(503, "as many connections as may be");
            }
            return;
        }
        long within = proxy.router().tryTimeoutNs(cls);
        if (within > 0) {
            tryTimer = proxy.loop().after(within, () -> {
                endTry(false, true);
                retryOrFail(false, "no answer in time");
            });
        }
        stream.ask(proxy.backendRequestHead(exchange.head(), backend, deadlineNs - proxy.now()), this);
        for (ByteBuffer piece : replayBuffer == null ? List.<ByteBuffer>of() : replayBuffer) {
            stream.write(piece.duplicate());
        }
        if (requestTrailers != null) {
            stream.end(requestTrailers);
        }
    }

    /** What has been sent is not held any more: no other try can send it. */
    private boolean canReplay() {
        return replayBuffer != null;
    }

    /** Asked in this order, for what lets a try follow may spend a credit: none without another backend. */
    private boolean mayRetry(boolean neverRan) {
        return canReplay() && proxy.router().hasUntriedBackend(cls, tried)
                && proxy.router().mayRetry(cls, tried.size(), neverRan, deadlineNs - proxy.now());
    }

    private void retryOrFail(boolean neverRan, String why) {
        if (finished) {
            return;
        }
        if (mayRetry(neverRan)) {
            startTry();
        } else {
            fail(502, "the last try failed: " + why);
        }
    }

    /** Books the end of the try in work. */
    private void endTry(boolean itsGood, boolean cancel) {
        if (backend == null) {
            return;
        }
        if (tryTimer != null) {
            tryTimer.cancel();
            tryTimer = null;
        }
        Backend its = backend;
        backend = null;
        proxy.router().onTryEnded(its, itsGood, proxy.now());
        proxy.tallies().onTryEnded(its, itsGood, proxy.now() - trySentNs, load);
        load = List.of();
        if (cancel && stream != null) {
            ClientStream left = stream;
            stream = null;
            left.cancel();
        }
    }

    /** An answer of the proxy's own, as the last word. */
    private void fail(int status, String why) {
        if (!finished) {
            markFinished();
            proxy.tallies().onUnanswered(cls);
            if (exchange.begun()) {
                exchange.breakOff();
            } else {
                proxy.answerDirectly(exchange, status, why);
            }
        }
    }

    private void markFinished() {
        finished = true;
        deadlineTimer.cancel();
        replayBuffer = null;
        proxy.onRequestEnded(this);
    }

    /** The client is gone: its try is cancelled and counts for nothing. */
    void abandon() {
        if (finished) {
            return;
        }
        markFinished();
        abandonTry();
        proxy.tallies().onUnanswered(cls);
    }

    /** The proxy stops: the client gets an answer, unless one has begun, which breaks off. */
    void stop() {
        if (!finished) {
            abandonTry();
            fail(503, "the proxy stops");
        }
    }

    /** Cancels the try in work, which counts neither for nor against its backend. */
    private void abandonTry() {
        if (tryTimer != null) {
            tryTimer.cancel();
            tryTimer = null;
        }
        if (stream != null) {
            ClientStream left = stream;
            stream = null;
            left.cancel();
        }
        if (backend != null) {
            proxy.router().onTryAbandoned(backend);
            backend = null;
        }
    }

    /** Looks whether it stands still or has taken too long; called now and then. */
    void checkTimeouts(long now) {
        boolean still = now - lastProgressNs > proxy.policy().stallTimeoutNs();
        if (responseBegun && (still || now - responseBegunNs > proxy.policy().responseTimeoutNs())) {
            endTry(false, true);
            fail(504, "stands still");
        }
    }

    // ---- the request's content -----------------------------------------------------------------------

    @Override
    public void piece(ByteBuffer bytes) {
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
            exchange.pause(true);
        }
    }

    @Override
    public void end(Fields trailers) {
        requestTrailers = trailers;
        if (stream != null) {
            stream.end(trailers);
        }
    }

    // ---- the answer ----------------------------------------------------------------------------------

    @Override
    public void interim(Part.ResponseHead head) {
        exchange.interim(head);
    }

    @Override
    public void head(Part.ResponseHead head) {
        lastProgressNs = proxy.now();
        boolean unrun = (head.status() == 503 || head.status() == 408)
                && head.fields().get(Proxy.NEVER_RAN_FIELD) != null;
        responseGood = head.status() < 500 && !unrun;
        load = proxy.columns().parse(head.fields().get(Orca.FIELD));
        if (!responseGood && mayRetry(unrun)) {
            ClientStream left = stream;
            Backend of = backend;
            stream = null;
            endTry(false, false);
            discardResponse(left, of, head.length());
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
        ClientStream its = stream;
        exchange.drained(() -> its.pause(false));
        exchange.begin(Proxy.clientResponseHead(head));
    }

    /** Reads an answer that nobody waits for to its end, or closes its connection. */
    private void discardResponse(ClientStream left, Backend of, long length) {
        if (length < 0 || length > MAX_DISCARDED_BYTES) {
            left.cancel();
            return;
        }
        left.hand(new ClientStream.Answer() {
            @Override
            public void head(Part.ResponseHead head) { }

            @Override
            public void content(ByteBuffer bytes) { }

            @Override
            public void whole(Fields trailers) {
                proxy.releaseConnection(of, left);
            }

            @Override
            public void failed(boolean neverRan, Close why, String detail) { }
        });
    }

    @Override
    public void content(ByteBuffer bytes) {
        lastProgressNs = proxy.now();
        if (!exchange.write(bytes) && stream != null) {
            stream.pause(true);
        }
    }

    @Override
    public void whole(Fields trailers) {
        ClientStream its = stream;
        Backend of = backend;
        stream = null;
        endTry(responseGood, false);
        if (!finished) {
            markFinished();
            if (!responseGood) {
                proxy.tallies().onUnanswered(cls);
            }
            exchange.end(trailers);
        }
        proxy.releaseConnection(of, its);
    }

    @Override
    public void failed(boolean neverRan, Close why, String detail) {
        if (stream == null) {
            return;
        }
        stream = null;
        endTry(false, false);
        if (responseBegun) {
            fail(502, "the answer broke off");
        } else {
            retryOrFail(neverRan, why + ": " + detail);
        }
    }

    @Override
    public void drained() {
        exchange.pause(false);
    }
}
