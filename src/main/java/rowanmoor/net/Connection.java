package rowanmoor.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * One connection of a {@link Loop}: reads as its handler lets it, writes from a bounded queue, and is
 * closed exactly once. States: connecting, open, ending (its last bytes are being written), closed.
 */
public final class Connection {

    private enum State { CONNECTING, OPEN, ENDING, CLOSED }

    /** Reads of one readiness before other connections have their turn. */
    private static final int MAX_READS_PER_TURN = 4;

    private final Loop loop;
    private final ByteStream stream;
    private final ConnectionHandler handler;
    private final WriteLimit writeLimit;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private final long idleTimeoutNs;
    private State state;
    private long queuedBytes;
    private long peakQueuedBytes;
    private long writtenBytes;
    private boolean paused;
    private boolean inputEnded;
    private boolean outputEnded;
    private boolean flushScheduled;
    private long lastReadAt;
    private Timer idleTimer;
    private Timer connectTimer;

    Connection(Loop loop, ByteStream wire, ConnectionHandler handler, Options options, boolean made) {
        this.loop = loop;
        this.stream = wire;
        this.handler = handler;
        this.writeLimit = options.writeLimit();
        this.idleTimeoutNs = options.idleTimeoutNs();
        this.state = made ? State.OPEN : State.CONNECTING;
        this.lastReadAt = loop.now();
        wire.setListener(this::onReady);
        if (!made) {
            connectTimer = loop.after(options.connectTimeoutNs(), () ->
                    close(CloseReason.CONNECT_TIMEOUT, "no answer from " + wire.remote()));
        }
    }

    /** Options of one connection; times in nanoseconds, 0 for never. */
    public record Options(WriteLimit writeLimit, long connectTimeoutNs, long idleTimeoutNs) {

        private static final long SECOND_NS = 1_000_000_000L;

        /** A mebibyte and a thousand frames may wait, refused beyond; 1 s to connect; never idle. */
        public static Options defaults() {
            return new Options(new WriteLimit(1 << 20, 1024, WriteLimit.OverflowPolicy.REFUSE), SECOND_NS, 0);
        }

        public Options idleAfter(long nanos) {
            return new Options(writeLimit, connectTimeoutNs, nanos);
        }

        public Options connectWithin(long nanos) {
            return new Options(writeLimit, nanos, idleTimeoutNs);
        }

        public Options bound(WriteLimit other) {
            return new Options(other, connectTimeoutNs, idleTimeoutNs);
        }
    }

    void open() {
        runGuarded(() -> {
            handler.onOpen(this);
            startIdleTimer();
            updateInterest();
        });
    }

    /** Queues a frame; it is written at the end of the loop's turn. False if it was not taken. */
    public boolean send(ByteBuffer frame) {
        if (state == State.CLOSED || state == State.ENDING) {
            return false;
        }
        if (!fits(frame)) {
            if (writeLimit.overflowPolicy() == WriteLimit.OverflowPolicy.CLOSE) {
                close(CloseReason.OVERFLOW, queue.size() + " frames of " + queuedBytes + " bytes wait");
            }
            return false;
        }
        queue.add(frame);
        queuedBytes += frame.remaining();
        peakQueuedBytes = Math.max(peakQueuedBytes, queuedBytes);
        scheduleFlush();
        return true;
    }

    private boolean fits(ByteBuffer frame) {
        return queue.size() < writeLimit.maxFrames() && queuedBytes + frame.remaining() <= writeLimit.maxBytes();
    }

    private void scheduleFlush() {
        if (!flushScheduled && state != State.CONNECTING) {
            flushScheduled = true;
            loop.flushLater(this);
        }
    }

    /**
     * Reads what has come by now, out of its turn: before a connection is closed for what its peer has not
     * said, since that may wait unread. Not from within a handler of this connection.
     */
    public void readPending() {
        if (state == State.OPEN) {
            runGuarded(this::readAvailable);
        }
    }

    /**
     * Whether it is open and nothing waits to be read, neither bytes nor the peer's end. A byte that does
     * may be lost by asking: this is for connections that are closed if so.
     */
    public boolean probeReusable() {
        try {
            return state == State.OPEN && !inputEnded && stream.read(loop.probeBuffer()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Reads nothing until {@link #resume}: what the peer sends waits with it. */
    public void pause() {
        paused = true;
        updateInterest();
    }

    public void resume() {
        paused = false;
        lastReadAt = loop.now();
        updateInterest();
    }

    /**
     * Writes what waits, then ends this side's bytes and, once the peer ends too, the connection. What the
     * peer sends meanwhile is read and dropped: unread bytes would make the close a reset, and the last
     * ones written could be lost by it. A peer that neither reads nor ends is waited for a second at a
     * time, and no longer.
     */
    public void closeGracefully() {
        if (state == State.OPEN) {
            startClosing();
            scheduleFlush();
        } else if (state == State.CONNECTING) {
            close(CloseReason.LOCAL, "ended before it was made");
        }
    }

    /** Closes at once; what waits is dropped. */
    public void close(CloseReason why, String detail) {
        close(why, detail, false);
    }

    /** Closes at once and resets: the peer sees the connection break. */
    public void reset(String detail) {
        close(CloseReason.LOCAL, detail, true);
    }

    private void close(CloseReason why, String detail, boolean reset) {
        if (state == State.CLOSED) {
            return;
        }
        state = State.CLOSED;
        queue.clear();
        queuedBytes = 0;
        cancel(idleTimer);
        cancel(connectTimer);
        stream.close(reset);
        loop.forget(this);
        try {
            handler.onClose(this, why, detail);
        } catch (RuntimeException e) {
            loop.reportFault(e);
        }
    }

    private static void cancel(Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }

    public boolean isOpen() {
        return state == State.OPEN;
    }

    public boolean isClosed() {
        return state == State.CLOSED;
    }

    public long queuedBytes() {
        return queuedBytes;
    }

    public int queuedFrames() {
        return queue.size();
    }

    /** The most bytes that ever waited at once. */
    public long peakQueuedBytes() {
        return peakQueuedBytes;
    }

    /** Bytes that the stream has taken so far; none of those that wait. */
    public long writtenBytes() {
        return writtenBytes;
    }

    public InetSocketAddress remote() {
        return stream.remote();
    }

    public InetSocketAddress local() {
        return stream.local();
    }

    /** Time of the last bytes read, by the loop's clock. */
    public long lastReadAt() {
        return lastReadAt;
    }

    private void onReady(boolean read, boolean write) {
        if (state == State.CONNECTING) {
            finishConnecting();
            return;
        }
        if (read) {
            runGuarded(this::readAvailable);
        }
        if (write && state != State.CLOSED) {
            flush();
        }
    }

    private void finishConnecting() {
        try {
            if (!stream.finishConnect()) {
                return;
            }
        } catch (IOException e) {
            close(CloseReason.REFUSED, e.getMessage());
            return;
        }
        cancel(connectTimer);
        state = State.OPEN;
        lastReadAt = loop.now();
        open();
        if (state != State.CLOSED && !queue.isEmpty()) {
            scheduleFlush();
        }
    }

    private void readAvailable() {
        for (int i = 0; i < MAX_READS_PER_TURN && state != State.CLOSED && !paused && !inputEnded; i++) {
            ByteBuffer into = loop.readBuffer();
            int count;
            try {
                count = stream.read(into);
            } catch (IOException e) {
                close(CloseReason.RESET, e.getMessage());
                return;
            }
            if (count == 0) {
                return;
            }
            lastReadAt = loop.now();
            if (count < 0) {
                handleInputEnd();
                return;
            }
            into.flip();
            if (state == State.OPEN) {
                handler.onData(this, into);
            }
        }
    }

    private void handleInputEnd() {
        inputEnded = true;
        boolean goesOn = state == State.OPEN && handler.onInputEnd(this);
        if (!goesOn && state != State.CLOSED) {
            if (queue.isEmpty()) {
                close(CloseReason.ENDED, "the peer ended");
            } else {
                startClosing();
            }
        }
        updateInterest();
    }

    /** Writes what the stream takes. */
    void flush() {
        flushScheduled = false;
        if (state == State.CLOSED || state == State.CONNECTING) {
            return;
        }
        boolean had = !queue.isEmpty();
        try {
            while (!queue.isEmpty()) {
                ByteBuffer head = queue.peek();
                int before = head.remaining();
                stream.write(head);
                queuedBytes -= before - head.remaining();
                writtenBytes += before - head.remaining();
                if (head.hasRemaining()) {
                    break;
                }
                queue.poll();
            }
            if (queue.isEmpty() && state == State.ENDING) {
                shutDownOutput();
            }
        } catch (IOException e) {
            close(CloseReason.RESET, e.getMessage());
            return;
        }
        updateInterest();
        if (had && queue.isEmpty() && state == State.OPEN) {
            runGuarded(() -> handler.onDrained(this));
        }
    }

    private void shutDownOutput() throws IOException {
        if (inputEnded) {
            close(CloseReason.ENDED, "both sides ended");
        } else if (!outputEnded) {
            outputEnded = true;
            stream.endOutput();
            lastReadAt = loop.now();
            startLingerTimer();
        }
    }

    private void startClosing() {
        state = State.ENDING;
        paused = false;
        startLingerTimer();
    }

    /** A peer that never reads what waits, or never ends its side, must not hold the connection for good. */
    private void startLingerTimer() {
        cancel(idleTimer);
        long before = writtenBytes;
        idleTimer = loop.after(loop.lingerTimeoutNs(), () -> {
            if (writtenBytes > before) {
                startLingerTimer();
            } else {
                close(CloseReason.LOCAL, outputEnded ? "the peer did not end its side"
                        : "the peer took none of the last " + queuedBytes + " bytes");
            }
        });
    }

    private void updateInterest() {
        if (state == State.OPEN || state == State.ENDING) {
            stream.setInterest(!paused && !inputEnded, !queue.isEmpty());
        }
    }

    private void startIdleTimer() {
        if (idleTimeoutNs > 0 && state == State.OPEN) {
            long left = lastReadAt + idleTimeoutNs - loop.now();
            if (left <= 0 && !paused) {
                close(CloseReason.IDLE, "nothing heard for " + idleTimeoutNs / 1_000_000 + " ms");
            } else {
                idleTimer = loop.after(left <= 0 ? idleTimeoutNs : left, this::startIdleTimer);
            }
        }
    }

    /** A handler that throws costs its own connection and no other. */
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            loop.reportFault(e);
            close(CloseReason.FAULT, e.toString());
        }
    }
}
