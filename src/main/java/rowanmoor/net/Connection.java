package rowanmoor.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * One connection of a {@link Loop}: reads unless its handler has paused it, writes from a bounded queue, and
 * is closed exactly once. States: connecting, open, closing (the last bytes are being written), closed.
 */
public final class Connection {

    private enum State { CONNECTING, OPEN, CLOSING, CLOSED }

    /** Reads per readiness event, so that one busy connection does not starve the others. */
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

    Connection(Loop loop, ByteStream stream, ConnectionHandler handler, Options options,
            boolean established) {
        this.loop = loop;
        this.stream = stream;
        this.handler = handler;
        this.writeLimit = options.writeLimit();
        this.idleTimeoutNs = options.idleTimeoutNs();
        this.state = established ? State.OPEN : State.CONNECTING;
        this.lastReadAt = loop.now();
        stream.setListener(this::onReady);
        if (!established) {
            connectTimer = loop.after(options.connectTimeoutNs(), () ->
                    close(CloseReason.CONNECT_TIMEOUT, "no answer from " + stream.remote()));
        }
    }

    /**
     * Options of one connection.
     *
     * @param writeLimit limit of the write queue
     * @param connectTimeoutNs the longest connection attempt, ns
     * @param idleTimeoutNs closes the connection if nothing is read for so long, ns; 0 for never
     */
    public record Options(WriteLimit writeLimit, long connectTimeoutNs, long idleTimeoutNs) {

        private static final long SECOND_NS = 1_000_000_000L;

        /** At most 1 MiB and 1024 frames queued, further ones refused; 1 s to connect; no idle time-out. */
        public static Options defaults() {
            return new Options(new WriteLimit(1 << 20, 1024, WriteLimit.OverflowPolicy.REFUSE), SECOND_NS, 0);
        }

        /** A copy with another idle time-out, ns. */
        public Options idleAfter(long timeoutNs) {
            return new Options(writeLimit, connectTimeoutNs, timeoutNs);
        }

        /** A copy with another connect time-out, ns. */
        public Options connectWithin(long timeoutNs) {
            return new Options(writeLimit, timeoutNs, idleTimeoutNs);
        }

        /** A copy with another write limit. */
        public Options bound(WriteLimit newLimit) {
            return new Options(newLimit, connectTimeoutNs, idleTimeoutNs);
        }
    }

    void open() {
        runGuarded(() -> {
            handler.onOpen(this);
            startIdleTimer();
            updateInterest();
        });
    }

    /** Queues a frame, to be written at the end of the loop's turn. False if it was not accepted. */
    public boolean send(ByteBuffer frame) {
        if (state == State.CLOSED || state == State.CLOSING) {
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
        return queue.size() < writeLimit.maxFrames()
                && queuedBytes + frame.remaining() <= writeLimit.maxBytes();
    }

    private void scheduleFlush() {
        if (!flushScheduled && state != State.CONNECTING) {
            flushScheduled = true;
            loop.flushLater(this);
        }
    }

    /**
     * Reads what has arrived, without waiting for readiness to be reported. Call it before closing a
     * connection because its peer is silent: data may have arrived and not been read yet. Must not be called
     * from within a handler of this connection.
     */
    public void readPending() {
        if (state == State.OPEN) {
            runGuarded(this::readAvailable);
        }
    }

    /**
     * Whether the connection is open and nothing is waiting to be read, neither bytes nor the peer's end of
     * stream. The probe may consume a byte that is waiting, so the caller must close the connection on false.
     */
    public boolean probeReusable() {
        try {
            return state == State.OPEN && !inputEnded && stream.read(loop.probeBuffer()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Stops reading until {@link #resume}, so that flow control holds the peer back. */
    public void pause() {
        paused = true;
        updateInterest();
    }

    /** Reads again after {@link #pause}; the idle time-out starts anew. */
    public void resume() {
        paused = false;
        lastReadAt = loop.now();
        updateInterest();
    }

    /**
     * Writes the queue, shuts down the output and closes the connection once the peer closes its side too.
     * What the peer sends meanwhile is read and discarded: closing with unread bytes would send a reset, by
     * which the peer could lose the last bytes written. The connection is closed when for a second the peer
     * has neither taken bytes nor closed its side.
     */
    public void closeGracefully() {
        if (state == State.OPEN) {
            startClosing();
            scheduleFlush();
        } else if (state == State.CONNECTING) {
            close(CloseReason.LOCAL, "ended before it was made");
        }
    }

    /** Closes at once; queued frames are dropped. */
    public void close(CloseReason reason, String detail) {
        close(reason, detail, false);
    }

    /** Closes at once with a reset, which the peer sees as an aborted connection. */
    public void reset(String detail) {
        close(CloseReason.LOCAL, detail, true);
    }

    private void close(CloseReason reason, String detail, boolean reset) {
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
            handler.onClose(this, reason, detail);
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

    /** The most bytes ever queued at once. */
    public long peakQueuedBytes() {
        return peakQueuedBytes;
    }

    /** Bytes that the stream has accepted so far; queued bytes are not counted. */
    public long writtenBytes() {
        return writtenBytes;
    }

    public InetSocketAddress remote() {
        return stream.remote();
    }

    public InetSocketAddress local() {
        return stream.local();
    }

    /** Time of the last read, by the loop's clock. */
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
        boolean staysOpen = state == State.OPEN && handler.onInputEnd(this);
        if (!staysOpen && state != State.CLOSED) {
            if (queue.isEmpty()) {
                close(CloseReason.ENDED, "the peer ended");
            } else {
                startClosing();
            }
        }
        updateInterest();
    }

    /** Writes as much of the queue as the stream accepts. */
    void flush() {
        flushScheduled = false;
        if (state == State.CLOSED || state == State.CONNECTING) {
            return;
        }
        boolean hadFrames = !queue.isEmpty();
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
            if (queue.isEmpty() && state == State.CLOSING) {
                finishClosing();
            }
        } catch (IOException e) {
            close(CloseReason.RESET, e.getMessage());
            return;
        }
        updateInterest();
        if (hadFrames && queue.isEmpty() && state == State.OPEN) {
            runGuarded(() -> handler.onDrained(this));
        }
    }

    private void finishClosing() throws IOException {
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
        state = State.CLOSING;
        paused = false;
        startLingerTimer();
    }

    /** Bounds the wait for a peer that does not read the last bytes or does not close its side. */
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
        if (state == State.OPEN || state == State.CLOSING) {
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

    /** Runs a handler call; if it throws, only this connection is closed. */
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            loop.reportFault(e);
            close(CloseReason.FAULT, e.toString());
        }
    }
}
