package rowanmoor.platform;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;
import rowanmoor.resp.RespException;
import rowanmoor.resp.RespReader;
import rowanmoor.resp.RespWriter;

/**
 * One connection to the controller. States: unjoined (neither joined as a proxy nor named a zone), proxy,
 * collector, ended. An error of the peer affects only this connection.
 */
final class Peer implements ConnectionHandler {

    /** Receives the peers' messages and ends. */
    interface Listener {

        /** Handles one message; throws if it is malformed. */
        void onMessage(Peer peer, List<String> parts) throws MalformedMessageException;

        /** A proxy or collector sent a malformed message, which was dropped; the connection stays open. */
        void onMalformed(Peer peer, MalformedMessageException exception);

        /** The peer has ended: no further message of it follows. Called once. */
        void onEnded(Peer peer, String reason);

        /** The descriptor is free: at once, or after the final message was written. */
        void onClosed(Peer peer);
    }

    /** What the peer has joined as. */
    enum Role { UNJOINED, PROXY, COLLECTOR }

    private static final int MAX_UNJOINED_MESSAGE_BYTES = 4096;
    private static final int MAX_MESSAGE_PARTS = 256;
    private static final int MAX_PENDING_MARKS = 512;
    /** Limit for writing the final message, however slowly the peer reads. */
    private static final long FINAL_WRITE_TIMEOUT_NS = 2_000_000_000L;

    private final Loop loop;
    private final Listener listener;
    private final long joinTimeoutNs;
    private final RespReader reader = new RespReader(MAX_UNJOINED_MESSAGE_BYTES, MAX_MESSAGE_PARTS);
    private final ArrayDeque<Integer> pendingMarks = new ArrayDeque<>();
    private Connection connection;
    private Timer deadlineTimer; // for joining, and after the end for writing the final message
    private Role role = Role.UNJOINED;
    private int number = -1;
    private boolean ended;

    Peer(Loop loop, Listener listener, long joinTimeoutNs) {
        this.loop = loop;
        this.listener = listener;
        this.joinTimeoutNs = joinTimeoutNs;
    }

    Role role() {
        return role;
    }

    /** The proxy's number, or the collector's zone. */
    int number() {
        return number;
    }

    /** Marks the peer as joined and allows it messages of full size. */
    void assignRole(Role newRole, int newNumber) {
        role = newRole;
        number = newNumber;
        deadlineTimer.cancel();
        reader.setMaxMessageBytes(RespReader.MAX_MESSAGE_BYTES);
    }

    /** Adds a mark that was sent on this stream; only the newest {@code MAX_PENDING_MARKS} are kept. */
    void addPendingMark(int mark) {
        pendingMarks.add(mark);
        if (pendingMarks.size() > MAX_PENDING_MARKS) {
            pendingMarks.poll();
        }
    }

    /** Removes a pending mark; returns false if it was not sent on this stream or is acknowledged already. */
    boolean acknowledge(int mark) {
        return pendingMarks.remove(mark);
    }

    @Override
    public void onOpen(Connection source) {
        connection = source;
        deadlineTimer = loop.after(joinTimeoutNs, () -> endWithError("it has not joined"));
    }

    @Override
    public void onData(Connection source, ByteBuffer bytes) {
        try {
            while (bytes.hasRemaining() && connection.isOpen()) {
                List<String> parts = reader.next(bytes);
                if (parts != null) {
                    dispatch(parts);
                }
            }
        } catch (RespException e) {
            endWithError(e.getMessage());
        }
    }

    private void dispatch(List<String> parts) {
        try {
            listener.onMessage(this, parts);
        } catch (MalformedMessageException e) {
            if (role == Role.UNJOINED) {
                endWithError(e.getMessage());
            } else {
                listener.onMalformed(this, e);
            }
        }
    }

    void send(List<String> message) {
        connection.send(RespWriter.encode(message));
    }

    /** Bytes waiting to be written to the peer. */
    long queuedBytes() {
        return connection.queuedBytes();
    }

    /** Sends the reason, except to a collector, and ends the connection. */
    void endWithError(String reason) {
        if (connection.isOpen()) {
            if (role != Role.COLLECTOR) {
                send(List.of("error", "reason", reason));
            }
            connection.closeGracefully();
            notifyEnded(reason);
            startFinalWriteTimer();
        }
    }

    /** Reads and handles what has arrived, without waiting for the loop's next turn. */
    void readNow() {
        connection.readPending();
    }

    private void startFinalWriteTimer() {
        if (!connection.isClosed()) {
            deadlineTimer = loop.after(FINAL_WRITE_TIMEOUT_NS, () -> abort(
                    "final message not read within " + FINAL_WRITE_TIMEOUT_NS / 1_000_000 + " ms"));
        }
    }

    /** The peer has left when it ends its side, whether or not it still reads what is queued for it. */
    @Override
    public boolean onInputEnd(Connection source) {
        notifyEnded("ENDED: the peer ended");
        startFinalWriteTimer();
        return false;
    }

    /** Closes the connection at once. */
    void abort(String reason) {
        connection.close(CloseReason.LOCAL, reason);
    }

    @Override
    public void onClose(Connection source, CloseReason reason, String detail) {
        notifyEnded(reason + ": " + detail);
        deadlineTimer.cancel();
        listener.onClosed(this);
    }

    private void notifyEnded(String reason) {
        if (!ended) {
            ended = true;
            deadlineTimer.cancel();
            listener.onEnded(this, reason);
        }
    }
}
