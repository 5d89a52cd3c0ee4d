package rowanmoor.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import rowanmoor.net.WriteLimit;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;

/**
 * A stretch of network between two sides: passes bytes on, both ways, until it is cut. A cut says nothing to
 * either side: bytes wait, new connections are made and stay silent; what was cut and joins again goes on.
 */
public final class Link {

    private static final WriteLimit BOUND = new WriteLimit(1 << 20, 4096, WriteLimit.OverflowPolicy.REFUSE);

    private final Loop loop;
    private InetSocketAddress to;
    private final Loop.Listener listener;
    private final Set<Half> halves = new LinkedHashSet<>();
    private boolean cut;
    private long bytesPerSecond;

    /** @param to the far side, or null while there is none: connections are then refused */
    public Link(Loop loop, InetSocketAddress at, InetSocketAddress to) throws IOException {
        this.loop = loop;
        this.to = to;
        this.listener = loop.listen(at, Connection.Options.defaults().bound(BOUND), connection -> {
            if (this.to == null && !cut) {
                return null;
            }
            Half near = new Half();
            near.connection = connection;
            return near;
        });
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Where new connections lead from now on, or null to refuse them. */
    public void setTarget(InetSocketAddress other) {
        to = other;
    }

    /** Lets only so many bytes a second come back from the far side; 0 for no such limit. */
    public void limitReturnRate(long bytes) {
        bytesPerSecond = bytes;
        if (bytes == 0) {
            setPartitioned(cut);
        }
    }

    /** Cuts, or joins again. Streams that were broken meanwhile on one side then break on the other. */
    public void setPartitioned(boolean on) {
        cut = on;
        for (Half half : List.copyOf(halves)) {
            if (on) {
                half.connection.pause();
            } else {
                half.connection.resume();
                if (half.other == null || half.other.gone) {
                    half.connection.close(CloseReason.LOCAL, "the other side is gone");
                }
            }
        }
    }

    private final class Half implements ConnectionHandler {
        private Connection connection;
        private Half other;
        private boolean gone;
        private boolean far;

        @Override
        public void onOpen(Connection its) {
            halves.add(this);
            if (other == null) {
                its.pause();
                if (to == null) {
                    return; // made during a cut to a side that is not there: it stays silent
                }
                other = new Half();
                other.other = this;
                other.far = true;
                other.connection = loop.connect(null, to, Connection.Options.defaults().bound(BOUND), other);
            } else if (!cut) {
                other.connection.resume();
            }
            if (cut) {
                its.pause();
            }
        }

        @Override
        public void onData(Connection its, ByteBuffer bytes) {
            ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
            if (other.gone || !other.connection.send(copy)) {
                its.close(CloseReason.LOCAL, "the other side does not take it");
            } else if (far && bytesPerSecond > 0) {
                its.pause();
                loop.after(copy.capacity() * 1_000_000_000L / bytesPerSecond, this::goOn);
            } else if (other.connection.queuedBytes() > BOUND.maxBytes() / 2) {
                its.pause();
            }
        }

        private void goOn() {
            if (!cut && !gone) {
                connection.resume();
            }
        }

        @Override
        public void onDrained(Connection its) {
            if (!cut && other != null && !other.gone && !(other.far && bytesPerSecond > 0)) {
                other.connection.resume();
            }
        }

        @Override
        public void onClose(Connection its, CloseReason why, String detail) {
            gone = true;
            halves.remove(this);
            if (other != null && !other.gone && !cut) {
                other.connection.closeGracefully();
            }
        }
    }
}
