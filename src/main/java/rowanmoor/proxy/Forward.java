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
final class Forward implements ServerStream.Body, ClientStream.Answer {

    /** An answer that another try follows, up to this, is read and dropped to keep its connection. */
    private static final long DROP_MOST = 1 << 16;

    private final Proxy proxy;
    private final int cls;
    private final ServerStream.Exchange exchange;
    private final Set<Backend> tried = new TreeSet<>();
    private final long deadline;
    private final Timer patience;
    private List<ByteBuffer> held = new ArrayList<>();
    private int heldBytes;
    private Fields requestEnd;
    private Timer tryPatience;
    private ClientStream stream;
    private Backend backend;
    private long sentAt;
    private List<Double> load = List.of();
    private boolean good;
    private boolean begun;
    private boolean over;
    private long begunAt;
    /** Time of the last byte that moved in either direction. */
    long movedAt;

    Forward(Proxy proxy, int cls, ServerStream.Exchange exchange, long within) {
        this.proxy = proxy;
        this.cls = cls;
        this.exchange = exchange;
        this.movedAt = proxy.now();
        this.deadline = movedAt + within;
        this.patience = proxy.loop().at(deadline, this::late);
    }

    void begin() {
        exchange.to(this);
        if (exchange.asked()) {
            requestEnd = new Fields();
        }
        tryOne();
    }

    private void late() {
        if (!begun) {
            endTry(false, true);
            finish(504, "no answer before its deadline");
        }
    }

    // ---- tries ---------------------------------------------------------------------------------------

    private void tryOne() {
        backend = proxy.router().pick(cls, tried, proxy.now());
        if (backend == null) {
            finish(503, "no backend");
            return;
        }
        tried.add(backend);
        proxy.router().onTrySent(backend);
        sentAt = proxy.now();
        stream = proxy.connection(backend);
        if (stream == null) { // this proxy's own bound: not held against the backend
            proxy.router().onTryAbandoned(backend);
            backend = null;
            if (mayFollow(true)) {
                tryOne();
            } else {
                finish(503, "as many connections as may be");
            }
            return;
        }
        long within = proxy.router().tryTimeoutNs(cls);
        if (within > 0) {
            tryPatience = proxy.loop().after(within, () -> {
                endTry(false, true);
                follow(false, "no answer in time");
            });
        }
        stream.ask(proxy.forwarded(exchange.head(), backend, deadline - proxy.now()), this);
        for (ByteBuffer piece : held == null ? List.<ByteBuffer>of() : held) {
            stream.write(piece.duplicate());
        }
        if (requestEnd != null) {
            stream.end(requestEnd);
        }
    }

    /** What has been sent is not held any more: no other try can send it. */
    private boolean canRepeat() {
        return held != null;
    }

    /** Asked in this order, for what lets a try follow may spend a credit: none without another backend. */
    private boolean mayFollow(boolean neverRan) {
        return canRepeat() && proxy.router().hasUntriedBackend(cls, tried)
                && proxy.router().mayRetry(cls, tried.size(), neverRan, deadline - proxy.now());
    }

    private void follow(boolean neverRan, String why) {
        if (over) {
            return;
        }
        if (mayFollow(neverRan)) {
            tryOne();
        } else {
            finish(502, "the last try failed: " + why);
        }
    }

    /** Books the end of the try in work. */
    private void endTry(boolean itsGood, boolean cancel) {
        if (backend == null) {
            return;
        }
        if (tryPatience != null) {
            tryPatience.cancel();
            tryPatience = null;
        }
        Backend its = backend;
        backend = null;
        proxy.router().onTryEnded(its, itsGood, proxy.now());
        proxy.tallies().onTryEnded(its, itsGood, proxy.now() - sentAt, load);
        load = List.of();
        if (cancel && stream != null) {
            ClientStream left = stream;
            stream = null;
            left.cancel();
        }
    }

    /** An answer of the proxy's own, as the last word. */
    private void finish(int status, String why) {
        if (!over) {
            over();
            proxy.tallies().onUnanswered(cls);
            if (exchange.begun()) {
                exchange.breakOff();
            } else {
                proxy.own(exchange, status, why);
            }
        }
    }

    private void over() {
        over = true;
        patience.cancel();
        held = null;
        proxy.ended(this);
    }

    /** The client is gone: its try is cancelled and counts for nothing. */
    void giveUp() {
        if (over) {
            return;
        }
        over();
        leaveTry();
        proxy.tallies().onUnanswered(cls);
    }

    /** The proxy stops: the client gets an answer, unless one has begun, which breaks off. */
    void stop() {
        if (!over) {
            leaveTry();
            finish(503, "the proxy stops");
        }
    }

    /** Cancels the try in work, which counts neither for nor against its backend. */
    private void leaveTry() {
        if (tryPatience != null) {
            tryPatience.cancel();
            tryPatience = null;
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
    void watch(long now) {
        boolean still = now - movedAt > proxy.conduct().stallTimeoutNs();
        if (begun && (still || now - begunAt > proxy.conduct().responseTimeoutNs())) {
            endTry(false, true);
            finish(504, "stands still");
        }
    }

    // ---- the request's content -----------------------------------------------------------------------

    @Override
    public void piece(ByteBuffer bytes) {
        movedAt = proxy.now();
        if (backend == null && stream == null && held == null) {
            return;
        }
        if (held != null) {
            if (heldBytes + bytes.remaining() <= proxy.conduct().maxReplayBytes()) {
                heldBytes += bytes.remaining();
                held.add(ByteBuffer.allocate(bytes.remaining()).put(bytes.duplicate()).flip());
            } else {
                held = null;
            }
        }
        if (stream != null && !stream.write(bytes)) {
            exchange.pause(true);
        }
    }

    @Override
    public void end(Fields trailers) {
        requestEnd = trailers;
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
        movedAt = proxy.now();
        boolean unrun = (head.status() == 503 || head.status() == 408)
                && head.fields().get(Proxy.NEVER_RAN_FIELD) != null;
        good = head.status() < 500 && !unrun;
        load = proxy.columns().parse(head.fields().get(Orca.FIELD));
        if (!good && mayFollow(unrun)) {
            ClientStream left = stream;
            Backend of = backend;
            stream = null;
            endTry(false, false);
            drop(left, of, head.length());
            tryOne();
            return;
        }
        begun = true;
        begunAt = proxy.now();
        held = null;
        patience.cancel();
        if (tryPatience != null) {
            tryPatience.cancel();
            tryPatience = null;
        }
        ClientStream its = stream;
        exchange.drained(() -> its.pause(false));
        exchange.begin(Proxy.backward(head));
    }

    /** Reads an answer that nobody waits for to its end, or closes its connection. */
    private void drop(ClientStream left, Backend of, long length) {
        if (length < 0 || length > DROP_MOST) {
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
                proxy.keep(of, left);
            }

            @Override
            public void failed(boolean neverRan, Close why, String detail) { }
        });
    }

    @Override
    public void content(ByteBuffer bytes) {
        movedAt = proxy.now();
        if (!exchange.write(bytes) && stream != null) {
            stream.pause(true);
        }
    }

    @Override
    public void whole(Fields trailers) {
        ClientStream its = stream;
        Backend of = backend;
        stream = null;
        endTry(good, false);
        if (!over) {
            over();
            if (!good) {
                proxy.tallies().onUnanswered(cls);
            }
            exchange.end(trailers);
        }
        proxy.keep(of, its);
    }

    @Override
    public void failed(boolean neverRan, Close why, String detail) {
        if (stream == null) {
            return;
        }
        stream = null;
        endTry(false, false);
        if (begun) {
            finish(502, "the answer broke off");
        } else {
            follow(neverRan, why + ": " + detail);
        }
    }

    @Override
    public void drained() {
        exchange.pause(false);
    }
}
