package rowanmoor.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.UnaryOperator;
import rowanmoor.channel.ChannelException;
import rowanmoor.channel.ChannelLimits;
import rowanmoor.channel.Codec;
import rowanmoor.channel.Frame;
import rowanmoor.channel.FrameReader;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;

/** Stands before controllers and changes what they send: mutants for the judge to catch. */
final class FrameRelay implements Controllers {

    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final Loop loop;
    private final Controllers real;
    private final UnaryOperator<Frame> change;

    FrameRelay(Loop loop, Controllers real, UnaryOperator<Frame> change) {
        this.loop = loop;
        this.real = real;
        this.change = change;
    }

    @Override
    public void start(int rank, InetSocketAddress roster, Up up) throws IOException {
        real.start(rank, roster, (its, at, epoch) -> {
            try {
                up.up(its, loop.listen(ANY, Connection.Options.defaults(), c -> new Near(at)).address(), epoch);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    @Override
    public java.util.List<rowanmoor.emulator.Outcome.ControllerStats> met() {
        return real.met();
    }

    @Override
    public void kill(int rank) {
        real.kill(rank);
    }

    @Override
    public void stall(int rank, boolean on) throws IOException {
        real.stall(rank, on);
    }

    @Override
    public void close() {
        real.close();
    }

    private final class Near implements ConnectionHandler {
        private final InetSocketAddress to;
        private Connection far;

        Near(InetSocketAddress to) {
            this.to = to;
        }

        @Override
        public void onOpen(Connection near) {
            FrameReader reader = new FrameReader(ChannelLimits.defaults());
            far = loop.connect(null, to, Connection.Options.defaults(), new ConnectionHandler() {
                @Override
                public void onData(Connection its, ByteBuffer bytes) {
                    try {
                        while (bytes.hasRemaining()) {
                            Frame frame = reader.next(bytes);
                            if (frame != null) {
                                near.send(Codec.encode(change.apply(frame)));
                            }
                        }
                    } catch (ChannelException e) {
                        throw new IllegalStateException(e);
                    }
                }

                @Override
                public void onClose(Connection its, CloseReason why, String detail) {
                    near.close(CloseReason.LOCAL, "the controller's side is over");
                }
            });
        }

        @Override
        public void onData(Connection near, ByteBuffer bytes) {
            far.send(ByteBuffer.allocate(bytes.remaining()).put(bytes).flip());
        }

        @Override
        public void onClose(Connection near, CloseReason why, String detail) {
            far.close(CloseReason.LOCAL, "the proxy's side is over");
        }
    }
}
