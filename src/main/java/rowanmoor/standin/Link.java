package rowanmoor.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;
import rowanmoor.net.WriteLimit;

/**
 * A network link: a TCP relay that can be partitioned. A partition is silent: bytes wait, new connections are
 * accepted and stay silent, and connections that outlast it continue.
 */
public final class Link {

    private static final WriteLimit WRITE_LIMIT = new WriteLimit(1 << 20, 4096,
            WriteLimit.OverflowPolicy.REFUSE);

    private final Loop loop;
    private InetSocketAddress target;
    private final Loop.Listener listener;
    private final Set<LinkEnd> ends = new LinkedHashSet<>();
    private boolean partitioned;
    private long returnBytesPerSecond;

    /**
     * Listens on an address.
     *
     * @param target the target, or null while there is none: connections are then refused
     * @throws IOException if the address cannot be bound
     */
    public Link(Loop loop, InetSocketAddress at, InetSocketAddress target) throws IOException {
        this.loop = loop;
        this.target = target;
        this.listener = loop.listen(at, Connection.Options.defaults().bound(WRITE_LIMIT), connection -> {
            if (this.target == null && !partitioned) {
                return null;
            }
            LinkEnd accepted = new LinkEnd();
            accepted.connection = connection;
            return accepted;
        });
    }

    /** The address on which it listens. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Sets the target of new connections, or null to refuse them. */
    public void setTarget(InetSocketAddress newTarget) {
        target = newTarget;
    }

    /** Limits the bytes per second that the target side sends back; 0 for no limit. */
    public void limitReturnRate(long bytesPerSecond) {
        returnBytesPerSecond = bytesPerSecond;
        if (bytesPerSecond == 0) {
            setPartitioned(partitioned);
        }
    }

    /**
     * Begins or ends a partition. At its end, connections that were closed on one side close on the other.
     */
    public void setPartitioned(boolean on) {
        partitioned = on;
        for (LinkEnd linkEnd : List.copyOf(ends)) {
            if (on) {
                linkEnd.connection.pause();
            } else {
                linkEnd.connection.resume();
                if (linkEnd.peer == null || linkEnd.peer.closed) {
                    linkEnd.connection.close(CloseReason.LOCAL, "the other side has closed");
                }
            }
        }
    }

    private final class LinkEnd implements ConnectionHandler {
        private Connection connection;
        private LinkEnd peer;
        private boolean closed;
        private boolean targetSide;

        @Override
        public void onOpen(Connection from) {
            ends.add(this);
            if (peer == null) {
                from.pause();
                if (target == null) {
                    return; // made during a partition while there is no target: it stays silent
                }
                peer = new LinkEnd();
                peer.peer = this;
                peer.targetSide = true;
                peer.connection = loop.connect(null, target, Connection.Options.defaults().bound(WRITE_LIMIT),
                        peer);
            } else if (!partitioned) {
                peer.connection.resume();
            }
            if (partitioned) {
                from.pause();
            }
        }

        @Override
        public void onData(Connection from, ByteBuffer bytes) {
            ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
            if (peer.closed || !peer.connection.send(copy)) {
                from.close(CloseReason.LOCAL, "the other side closed or its write queue is full");
            } else if (targetSide && returnBytesPerSecond > 0) {
                from.pause();
                loop.after(copy.capacity() * 1_000_000_000L / returnBytesPerSecond, this::resumeReading);
            } else if (peer.connection.queuedBytes() > WRITE_LIMIT.maxBytes() / 2) {
                from.pause();
            }
        }

        private void resumeReading() {
            if (!partitioned && !closed) {
                connection.resume();
            }
        }

        @Override
        public void onDrained(Connection from) {
            if (!partitioned && peer != null && !peer.closed
                    && !(peer.targetSide && returnBytesPerSecond > 0)) {
                peer.connection.resume();
            }
        }

        @Override
        public void onClose(Connection from, CloseReason reason, String detail) {
            closed = true;
            ends.remove(this);
            if (peer != null && !peer.closed && !partitioned) {
                peer.connection.closeGracefully();
            }
        }
    }
}
