package rowanmoor.platform;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Handler;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;
import rowanmoor.resp.RespError;
import rowanmoor.resp.RespReader;
import rowanmoor.resp.RespWriter;

/**
 * One connection at the controller's address. States: unjoined (neither joined nor named a zone), proxy,
 * collector, over. Whatever its peer does wrong costs this connection alone.
 */
final class Peer implements Handler {

    /** What the service does with what peers bring. */
    interface Listener {

        /** A message; throws if it makes no sense. */
        void onMessage(Peer peer, List<String> parts) throws MalformedMessageException;

        /** A malformed message of a proxy or collector: it alone is dropped. */
        void onMalformed(Peer peer, MalformedMessageException why);

        /** Nothing more is heard of it. */
        void onEnded(Peer peer, String why);

        /** Its descriptor is free: at once, or after its last words were written. */
        void onClosed(Peer peer);
    }

    /** What it turned out to be. */
    enum Role { UNJOINED, PROXY, COLLECTOR }

    private static final int MAX_UNJOINED_MESSAGE_BYTES = 4096;
    private static final int MAX_MESSAGE_PARTS = 256;
    private static final int MAX_PENDING_MARKS = 512;
    /** In how long its last words have to be taken, however slowly it reads. */
    private static final long FINAL_WRITE_TIMEOUT_NS = 2_000_000_000L;

    private final Loop loop;
    private final Listener listener;
    private final long joinTimeoutNs;
    private final RespReader reader = new RespReader(MAX_UNJOINED_MESSAGE_BYTES, MAX_MESSAGE_PARTS);
    private final ArrayDeque<Integer> pendingMarks = new ArrayDeque<>();
    private Connection connection;
    private Timer deadlineTimer; // for its joining, and after it is over for its last words
    private Role role = Role.UNJOINED;
    private int number = -1;
    private boolean ended;

    Peer(Loop loop, Listener owner, long joinWithin) {
        this.loop = loop;
        this.listener = owner;
        this.joinTimeoutNs = joinWithin;
    }

    Role role() {
        return role;
    }

    /** The proxy's number, or the collector's zone. */
    int number() {
        return number;
    }

    /** From now on it is one of ours. */
    void assignRole(Role itsRole, int itsNumber) {
        role = itsRole;
        number = itsNumber;
        deadlineTimer.cancel();
        reader.allow(RespReader.MESSAGE_MOST);
    }

    /** Remembers a mark that this stream was given. */
    void addPendingMark(int mark) {
        pendingMarks.add(mark);
        if (pendingMarks.size() > MAX_PENDING_MARKS) {
            pendingMarks.poll();
        }
    }

    /** Whether this stream was given the mark and has not answered it yet. */
    boolean acknowledge(int mark) {
        return pendingMarks.remove(mark);
    }

    @Override
    public void opened(Connection its) {
        connection = its;
        deadlineTimer = loop.after(joinTimeoutNs, () -> endWithError("it has not joined"));
    }

    @Override
    public void received(Connection its, ByteBuffer bytes) {
        try {
            while (bytes.hasRemaining() && connection.isOpen()) {
                List<String> parts = reader.next(bytes);
                if (parts != null) {
                    dispatch(parts);
                }
            }
        } catch (RespError e) {
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

    /** Bytes that wait to be written to it. */
    long queuedBytes() {
        return connection.queuedBytes();
    }

    /** Says why, but to a collector, and ends. */
    void endWithError(String why) {
        if (connection.isOpen()) {
            if (role != Role.COLLECTOR) {
                send(List.of("error", "reason", why));
            }
            connection.end();
            notifyEnded(why);
            startFinalWriteTimer();
        }
    }

    /** What has come by now is heard, though no turn has read it yet. */
    void readNow() {
        connection.readNow();
    }

    private void startFinalWriteTimer() {
        if (!connection.isClosed()) {
            deadlineTimer = loop.after(FINAL_WRITE_TIMEOUT_NS, () -> abort("its last words were not taken"));
        }
    }

    /** It has left with its end of the stream, whether or not it still takes what waits for it. */
    @Override
    public boolean ended(Connection its) {
        notifyEnded("ENDED: the peer ended");
        startFinalWriteTimer();
        return false;
    }

    /** Closes at once. */
    void abort(String why) {
        connection.close(Close.LOCAL, why);
    }

    @Override
    public void closed(Connection its, Close why, String detail) {
        notifyEnded(why + ": " + detail);
        deadlineTimer.cancel();
        listener.onClosed(this);
    }

    private void notifyEnded(String why) {
        if (!ended) {
            ended = true;
            deadlineTimer.cancel();
            listener.onEnded(this, why);
        }
    }
}
