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
    private static final int READS_A_TURN = 4;

    private final Loop loop;
    private final Wire wire;
    private final ConnectionHandler handler;
    private final WriteLimit bound;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private final long idleAfter;
    private State state;
    private long queuedBytes;
    private long mostQueuedBytes;
    private long writtenBytes;
    private boolean paused;
    private boolean peerEnded;
    private boolean outputEnded;
    private boolean dirty;
    private long heardAt;
    private Timer idle;
    private Timer connecting;

    Connection(Loop loop, Wire wire, ConnectionHandler handler, Options options, boolean made) {
        this.loop = loop;
        this.wire = wire;
        this.handler = handler;
        this.bound = options.writeLimit();
        this.idleAfter = options.idleTimeoutNs();
        this.state = made ? State.OPEN : State.CONNECTING;
        this.heardAt = loop.now();
        wire.attach(this::ready);
        if (!made) {
            connecting = loop.after(options.connectTimeoutNs(), () ->
                    close(CloseReason.CONNECT_TIMEOUT, "no answer from " + wire.remote()));
        }
    }

    /** Options of one connection; times in nanoseconds, 0 for never. */
    public record Options(WriteLimit writeLimit, long connectTimeoutNs, long idleTimeoutNs) {

        private static final long SECOND = 1_000_000_000L;

        /** A mebibyte and a thousand frames may wait, refused beyond; 1 s to connect; never idle. */
        public static Options defaults() {
            return new Options(new WriteLimit(1 << 20, 1024, WriteLimit.OverflowPolicy.REFUSE), SECOND, 0);
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

    void begin() {
        guard(() -> {
            handler.onOpen(this);
            watchIdle();
            wants();
        });
    }

    /** Queues a frame; it is written at the end of the loop's turn. False if it was not taken. */
    public boolean send(ByteBuffer frame) {
        if (state == State.CLOSED || state == State.ENDING) {
            return false;
        }
        if (!fits(frame)) {
            if (bound.overflowPolicy() == WriteLimit.OverflowPolicy.CLOSE) {
                close(CloseReason.OVERFLOW, queue.size() + " frames of " + queuedBytes + " bytes wait");
            }
            return false;
        }
        queue.add(frame);
        queuedBytes += frame.remaining();
        mostQueuedBytes = Math.max(mostQueuedBytes, queuedBytes);
        markDirty();
        return true;
    }

    private boolean fits(ByteBuffer frame) {
        return queue.size() < bound.maxFrames() && queuedBytes + frame.remaining() <= bound.maxBytes();
    }

    private void markDirty() {
        if (!dirty && state != State.CONNECTING) {
            dirty = true;
            loop.flushLater(this);
        }
    }

    /**
     * Reads what has come by now, out of its turn: before a connection is closed for what its peer has not
     * said, since that may wait unread. Not from within a handler of this connection.
     */
    public void readPending() {
        if (state == State.OPEN) {
            guard(this::readSome);
        }
    }

    /**
     * Whether it is open and nothing waits to be read, neither bytes nor the peer's end. A byte that does
     * may be lost by asking: this is for connections that are closed if so.
     */
    public boolean probeReusable() {
        try {
            return state == State.OPEN && !peerEnded && wire.read(loop.probe()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Reads nothing until {@link #resume}: what the peer sends waits with it. */
    public void pause() {
        paused = true;
        wants();
    }

    public void resume() {
        paused = false;
        heardAt = loop.now();
        wants();
    }

    /**
     * Writes what waits, then ends this side's bytes and, once the peer ends too, the connection. What the
     * peer sends meanwhile is read and dropped: unread bytes would make the close a reset, and the last
     * ones written could be lost by it. A peer that neither reads nor ends is waited for a second at a
     * time, and no longer.
     */
    public void closeGracefully() {
        if (state == State.OPEN) {
            beginEnding();
            markDirty();
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
        cancel(idle);
        cancel(connecting);
        wire.close(reset);
        loop.forget(this);
        try {
            handler.onClose(this, why, detail);
        } catch (RuntimeException e) {
            loop.fault(e);
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
        return mostQueuedBytes;
    }

    /** Bytes that the stream has taken so far; none of those that wait. */
    public long writtenBytes() {
        return writtenBytes;
    }

    public InetSocketAddress remote() {
        return wire.remote();
    }

    public InetSocketAddress local() {
        return wire.local();
    }

    /** Time of the last bytes read, by the loop's clock. */
    public long lastReadAt() {
        return heardAt;
    }

    private void ready(boolean read, boolean write) {
        if (state == State.CONNECTING) {
            finishConnecting();
            return;
        }
        if (read) {
            guard(this::readSome);
        }
        if (write && state != State.CLOSED) {
            flush();
        }
    }

    private void finishConnecting() {
        try {
            if (!wire.finishConnect()) {
                return;
            }
        } catch (IOException e) {
            close(CloseReason.REFUSED, e.getMessage());
            return;
        }
        cancel(connecting);
        state = State.OPEN;
        heardAt = loop.now();
        begin();
        if (state != State.CLOSED && !queue.isEmpty()) {
            markDirty();
        }
    }

    private void readSome() {
        for (int i = 0; i < READS_A_TURN && state != State.CLOSED && !paused && !peerEnded; i++) {
            ByteBuffer into = loop.scratch();
            int count;
            try {
                count = wire.read(into);
            } catch (IOException e) {
                close(CloseReason.RESET, e.getMessage());
                return;
            }
            if (count == 0) {
                return;
            }
            heardAt = loop.now();
            if (count < 0) {
                hearEnd();
                return;
            }
            into.flip();
            if (state == State.OPEN) {
                handler.onData(this, into);
            }
        }
    }

    private void hearEnd() {
        peerEnded = true;
        boolean goesOn = state == State.OPEN && handler.onInputEnd(this);
        if (!goesOn && state != State.CLOSED) {
            if (queue.isEmpty()) {
                close(CloseReason.ENDED, "the peer ended");
            } else {
                beginEnding();
            }
        }
        wants();
    }

    /** Writes what the stream takes. */
    void flush() {
        dirty = false;
        if (state == State.CLOSED || state == State.CONNECTING) {
            return;
        }
        boolean had = !queue.isEmpty();
        try {
            while (!queue.isEmpty()) {
                ByteBuffer head = queue.peek();
                int before = head.remaining();
                wire.write(head);
                queuedBytes -= before - head.remaining();
                writtenBytes += before - head.remaining();
                if (head.hasRemaining()) {
                    break;
                }
                queue.poll();
            }
            if (queue.isEmpty() && state == State.ENDING) {
                finishEnding();
            }
        } catch (IOException e) {
            close(CloseReason.RESET, e.getMessage());
            return;
        }
        wants();
        if (had && queue.isEmpty() && state == State.OPEN) {
            guard(() -> handler.onDrained(this));
        }
    }

    private void finishEnding() throws IOException {
        if (peerEnded) {
            close(CloseReason.ENDED, "both sides ended");
        } else if (!outputEnded) {
            outputEnded = true;
            wire.endOutput();
            heardAt = loop.now();
            watchEnding();
        }
    }

    private void beginEnding() {
        state = State.ENDING;
        paused = false;
        watchEnding();
    }

    /** A peer that never reads what waits, or never ends its side, must not hold the connection for good. */
    private void watchEnding() {
        cancel(idle);
        long before = writtenBytes;
        idle = loop.after(loop.lingerFor(), () -> {
            if (writtenBytes > before) {
                watchEnding();
            } else {
                close(CloseReason.LOCAL, outputEnded ? "the peer did not end its side"
                        : "the peer took none of the last " + queuedBytes + " bytes");
            }
        });
    }

    private void wants() {
        if (state == State.OPEN || state == State.ENDING) {
            wire.want(!paused && !peerEnded, !queue.isEmpty());
        }
    }

    private void watchIdle() {
        if (idleAfter > 0 && state == State.OPEN) {
            long left = heardAt + idleAfter - loop.now();
            if (left <= 0 && !paused) {
                close(CloseReason.IDLE, "nothing heard for " + idleAfter / 1_000_000 + " ms");
            } else {
                idle = loop.after(left <= 0 ? idleAfter : left, this::watchIdle);
            }
        }
    }

    /** A handler that throws costs its own connection and no other. */
    private void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            loop.fault(e);
            close(CloseReason.FAULT, e.toString());
        }
    }
}
