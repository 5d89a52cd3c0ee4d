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

/** Relays between proxies and controllers and changes the controllers' frames: mutants for the rule checker to detect. */
final class FrameRelay implements Controllers {

    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final Loop loop;
    private final Controllers delegate;
    private final UnaryOperator<Frame> change;

    FrameRelay(Loop loop, Controllers delegate, UnaryOperator<Frame> change) {
        this.loop = loop;
        this.delegate = delegate;
        this.change = change;
    }

    @Override
    public void start(int rank, InetSocketAddress roster, StartListener listener) throws IOException {
        delegate.start(rank, roster, (startedRank, address, epoch) -> {
            try {
                listener.started(startedRank, loop.listen(ANY, Connection.Options.defaults(),
                        c -> new ProxySide(address)).address(), epoch);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    @Override
    public java.util.List<rowanmoor.emulator.Outcome.ControllerStats> totals() {
        return delegate.totals();
    }

    @Override
    public void kill(int rank) {
        delegate.kill(rank);
    }

    @Override
    public void setPaused(int rank, boolean paused) throws IOException {
        delegate.setPaused(rank, paused);
    }

    @Override
    public void close() {
        delegate.close();
    }

    private final class ProxySide implements ConnectionHandler {
        private final InetSocketAddress controllerAddress;
        private Connection controllerConnection;

        ProxySide(InetSocketAddress controllerAddress) {
            this.controllerAddress = controllerAddress;
        }

        @Override
        public void onOpen(Connection proxy) {
            FrameReader reader = new FrameReader(ChannelLimits.defaults());
            controllerConnection = loop.connect(null, controllerAddress, Connection.Options.defaults(),
                    new ConnectionHandler() {
                @Override
                public void onData(Connection controller, ByteBuffer bytes) {
                    try {
                        while (bytes.hasRemaining()) {
                            Frame frame = reader.next(bytes);
                            if (frame != null) {
                                proxy.send(Codec.encode(change.apply(frame)));
                            }
                        }
                    } catch (ChannelException e) {
                        throw new IllegalStateException(e);
                    }
                }

                @Override
                public void onClose(Connection controller, CloseReason why, String detail) {
                    proxy.close(CloseReason.LOCAL, "the controller's connection closed");
                }
            });
        }

        @Override
        public void onData(Connection proxy, ByteBuffer bytes) {
            controllerConnection.send(ByteBuffer.allocate(bytes.remaining()).put(bytes).flip());
        }

        @Override
        public void onClose(Connection proxy, CloseReason why, String detail) {
            controllerConnection.close(CloseReason.LOCAL, "the proxy's connection closed");
        }
    }
}
