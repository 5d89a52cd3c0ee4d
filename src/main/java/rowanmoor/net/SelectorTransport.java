package rowanmoor.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Sockets of one selector. */
final class SelectorTransport implements Transport {

    private static final long NS_PER_MS = 1_000_000L;

    private final Selector selector;

    SelectorTransport() throws IOException {
        selector = Selector.open();
    }

    @Override
    public ByteStream connect(InetSocketAddress from, InetSocketAddress to) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (from != null) {
                channel.bind(from);
            }
            boolean connected = channel.connect(to);
            return new SocketStream(channel, channel.register(selector, connected ? SelectionKey.OP_WRITE
                    : SelectionKey.OP_CONNECT), to);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    @Override
    public Acceptor listen(InetSocketAddress at, int backlog) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(at, backlog);
            return new SocketAcceptor(channel, channel.register(selector, SelectionKey.OP_ACCEPT));
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    @Override
    public void poll(long nanos) throws IOException {
        if (nanos <= 0) {
            selector.selectNow();
        } else {
            // The selector waits in milliseconds: rounded up, so that the loop does not spin before a timer.
            selector.select((nanos + NS_PER_MS - 1) / NS_PER_MS);
        }
        var keys = selector.selectedKeys().iterator();
        while (keys.hasNext()) {
            SelectionKey key = keys.next();
            keys.remove();
            dispatch(key);
        }
    }

    private static void dispatch(SelectionKey key) {
        try {
            if (!key.isValid()) {
                return;
            }
            if (key.attachment() instanceof SocketAcceptor acceptor) {
                acceptor.listener.run();
            } else if (key.attachment() instanceof SocketStream stream) {
                int ops = key.readyOps();
                stream.listener.onReady((ops & SelectionKey.OP_READ) != 0,
                        (ops & (SelectionKey.OP_WRITE | SelectionKey.OP_CONNECT)) != 0);
            }
        } catch (CancelledKeyException e) {
            // closed by an earlier callback of the same poll
        }
    }

    @Override
    public void wakeup() {
        selector.wakeup();
    }

    @Override
    public void close() {
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            // a selector that cannot be closed needs no further handling
        }
    }

    private static final class SocketAcceptor implements Acceptor {
        private final ServerSocketChannel channel;
        private final SelectionKey key;
        private Runnable listener = () -> { };

        SocketAcceptor(ServerSocketChannel channel, SelectionKey key) {
            this.channel = channel;
            this.key = key;
            key.attach(this);
        }

        @Override
        public void setListener(Runnable newListener) {
            listener = newListener;
        }

        @Override
        public ByteStream accept() throws IOException {
            SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return null;
            }
            try {
                accepted.configureBlocking(false);
                accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
                return new SocketStream(accepted, accepted.register(key.selector(), SelectionKey.OP_READ),
                        (InetSocketAddress) accepted.getRemoteAddress());
            } catch (IOException | RuntimeException e) {
                accepted.close();
                throw e;
            }
        }

        @Override
        public void setAccepting(boolean accept) {
            if (key.isValid()) {
                key.interestOps(accept ? SelectionKey.OP_ACCEPT : 0);
            }
        }

        @Override
        public InetSocketAddress address() {
            return (InetSocketAddress) channel.socket().getLocalSocketAddress();
        }

        @Override
        public void close() {
            try {
                channel.close();
            } catch (IOException e) {
                // the socket is released either way
            }
        }
    }

    private static final class SocketStream implements ByteStream {
        private final SocketChannel channel;
        private final SelectionKey key;
        private final InetSocketAddress remote;
        private ReadinessListener listener = (read, write) -> { };
        private int interestOps;

        SocketStream(SocketChannel channel, SelectionKey key, InetSocketAddress remote) {
            this.channel = channel;
            this.key = key;
            this.remote = remote;
            this.interestOps = key.interestOps();
            key.attach(this);
        }

        @Override
        public void setListener(ReadinessListener newListener) {
            listener = newListener;
        }

        @Override
        public void setInterest(boolean read, boolean write) {
            int ops = (read ? SelectionKey.OP_READ : 0) | (write ? SelectionKey.OP_WRITE : 0);
            if (ops != interestOps && key.isValid()) {
                interestOps = ops;
                key.interestOps(ops);
            }
        }

        @Override
        public boolean finishConnect() throws IOException {
            return channel.finishConnect();
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            return channel.read(into);
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            return channel.write(from);
        }

        @Override
        public void endOutput() throws IOException {
            channel.shutdownOutput();
        }

        @Override
        public void close(boolean reset) {
            try {
                if (reset) {
                    channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                }
            } catch (IOException e) {
                // close without a reset
            }
            try {
                channel.close();
            } catch (IOException e) {
                // the descriptor is released either way
            }
        }

        @Override
        public InetSocketAddress local() {
            return (InetSocketAddress) channel.socket().getLocalSocketAddress();
        }

        @Override
        public InetSocketAddress remote() {
            return remote;
        }
    }
}
