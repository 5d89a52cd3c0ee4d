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
 * One connection at the controller's address. States: unjoined (neither joined nor named a zone), proxy,
 * collector, over. Whatever its peer does wrong costs this connection alone.
 */
final class Peer implements ConnectionHandler {

    /** What the service does with what peers bring. */
    interface Owner {

        /** A message; throws if it makes no sense. */
        void heard(Peer peer, List<String> parts) throws MalformedMessageException;

        /** A malformed message of a proxy or collector: it alone is dropped. */
        void dropped(Peer peer, MalformedMessageException why);

        /** Nothing more is heard of it. */
        void over(Peer peer, String why);

        /** Its descriptor is free: at once, or after its last words were written. */
        void closed(Peer peer);
    }

    /** What it turned out to be. */
    enum Role { UNJOINED, PROXY, COLLECTOR }

    private static final int UNJOINED_BYTES = 4096;
    private static final int PARTS_MOST = 256;
    private static final int MARKS_KEPT = 512;
    /** In how long its last words have to be taken, however slowly it reads. */
    private static final long LAST_WORDS_WITHIN = 2_000_000_000L;

    private final Loop loop;
    private final Owner owner;
    private final long joinWithin;
    private final RespReader reader = new RespReader(UNJOINED_BYTES, PARTS_MOST);
    private final ArrayDeque<Integer> marks = new ArrayDeque<>();
    private Connection connection;
    private Timer patience; // for its joining, and after it is over for its last words
    private Role role = Role.UNJOINED;
    private int number = -1;
    private boolean over;

    Peer(Loop loop, Owner owner, long joinWithin) {
        this.loop = loop;
        this.owner = owner;
        this.joinWithin = joinWithin;
    }

    Role role() {
        return role;
    }

    /** The proxy's number, or the collector's zone. */
    int number() {
        return number;
    }

    /** From now on it is one of ours. */
    void is(Role itsRole, int itsNumber) {
        role = itsRole;
        number = itsNumber;
        patience.cancel();
        reader.setMaxMessageBytes(RespReader.MAX_MESSAGE_BYTES);
    }

    /** Remembers a mark that this stream was given. */
    void marked(int mark) {
        marks.add(mark);
        if (marks.size() > MARKS_KEPT) {
            marks.poll();
        }
    }

    /** Whether this stream was given the mark and has not answered it yet. */
    boolean answers(int mark) {
        return marks.remove(mark);
    }

    @Override
    public void onOpen(Connection its) {
        connection = its;
        patience = loop.after(joinWithin, () -> end("it has not joined"));
    }

    @Override
    public void onData(Connection its, ByteBuffer bytes) {
        try {
            while (bytes.hasRemaining() && connection.isOpen()) {
                List<String> parts = reader.next(bytes);
                if (parts != null) {
                    take(parts);
                }
            }
        } catch (RespException e) {
            end(e.getMessage());
        }
    }

    private void take(List<String> parts) {
        try {
            owner.heard(this, parts);
        } catch (MalformedMessageException e) {
            if (role == Role.UNJOINED) {
                end(e.getMessage());
            } else {
                owner.dropped(this, e);
            }
        }
    }

    void send(List<String> message) {
        connection.send(RespWriter.encode(message));
    }

    /** Bytes that wait to be written to it. */
    long unread() {
        return connection.queuedBytes();
    }

    /** Says why, but to a collector, and ends. */
    void end(String why) {
        if (connection.isOpen()) {
            if (role != Role.COLLECTOR) {
                send(List.of("error", "reason", why));
            }
            connection.closeGracefully();
            over(why);
            boundLastWords();
        }
    }

    /** What has come by now is heard, though no turn has read it yet. */
    void hearNow() {
        connection.readPending();
    }

    private void boundLastWords() {
        if (!connection.isClosed()) {
            patience = loop.after(LAST_WORDS_WITHIN, () -> drop("its last words were not taken"));
        }
    }

    /** It has left with its end of the stream, whether or not it still takes what waits for it. */
    @Override
    public boolean onInputEnd(Connection its) {
        over("ENDED: the peer ended");
        boundLastWords();
        return false;
    }

    /** Closes at once. */
    void drop(String why) {
        connection.close(CloseReason.LOCAL, why);
    }

    @Override
    public void onClose(Connection its, CloseReason why, String detail) {
        over(why + ": " + detail);
        patience.cancel();
        owner.closed(this);
    }

    private void over(String why) {
        if (!over) {
            over = true;
            patience.cancel();
            owner.over(this, why);
        }
    }
}
