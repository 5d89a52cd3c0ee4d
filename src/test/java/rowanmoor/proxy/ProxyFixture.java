package rowanmoor.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import rowanmoor.config.ConfigException;
import rowanmoor.config.Section;
import rowanmoor.config.Site;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;
import rowanmoor.net.MemoryNet;

/** A proxy between scripted clients and backends that send literal bytes, on an in-memory network. */
abstract class ProxyFixture {

    static final long MS = 1_000_000;
    static final long SECOND = 1000 * MS;
    static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    final MemoryNet net = new MemoryNet(SECOND, 5);
    final Loop loop = net.newLoop(e -> {
        throw new AssertionError(e);
    });
    final List<BackendConnection> backendConnections = new ArrayList<>();

    /** The backend's end of one accepted connection. */
    final class BackendConnection implements ConnectionHandler {
        private final int backend;
        final StringBuilder received = new StringBuilder();
        Connection connection;
        boolean closed;

        BackendConnection(int backend, Connection connection) {
            this.backend = backend;
            this.connection = connection;
            backendConnections.add(this);
        }

        @Override
        public void onData(Connection from, ByteBuffer bytes) {
            received.append(StandardCharsets.ISO_8859_1.decode(bytes));
        }

        @Override
        public void onClose(Connection from, CloseReason reason, String detail) {
            closed = true;
        }

        void send(String text) {
            connection.send(bytes(text));
            net.runFor(20 * MS);
        }
    }

    /** One client with its connection to the proxy. */
    final class ClientConnection implements ConnectionHandler {
        final StringBuilder received = new StringBuilder();
        final Connection connection;
        boolean closed;

        ClientConnection(Proxy proxy) {
            connection = loop.connect(null, proxy.address(), Connection.Options.defaults(), this);
        }

        @Override
        public void onData(Connection from, ByteBuffer bytes) {
            received.append(StandardCharsets.ISO_8859_1.decode(bytes));
        }

        @Override
        public void onClose(Connection from, CloseReason reason, String detail) {
            closed = true;
        }

        /**
         * The received responses without a final 408 that only announces the close of the connection, with the
         * field that says that nothing ran. Nothing may follow it.
         */
        String responsesBeforeTimeout() {
            String all = received.toString();
            int last = all.lastIndexOf("HTTP/1.1 408 ");
            return closed && last > 0 && all.substring(last).toLowerCase().contains(Proxy.NEVER_RAN_FIELD)
                    ? all.substring(0, last) : all;
        }

        ClientConnection send(String text) {
            connection.send(bytes(text));
            net.runFor(20 * MS);
            return this;
        }
    }

    static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Starts a backend and returns its address. */
    InetSocketAddress startBackend(int number) throws IOException {
        return loop.listen(ANY, Connection.Options.defaults(), c -> new BackendConnection(number, c)).address();
    }

    /** An address that refuses connections. */
    InetSocketAddress refusingAddress() throws IOException {
        Loop.Listener listener = loop.listen(ANY, Connection.Options.defaults(), c -> null);
        listener.close();
        return listener.address();
    }

    static Site site() throws ConfigException {
        return Site.of(Section.parse("test.kdl", """
                site {
                    zones "a"
                    kinds "k"
                    class "read" { prefix "/r"; aim "600ms"; deadline "1.5s"; worth 1; effect "safe" }
                    class "pay" { prefix "/p"; aim "900ms"; deadline "2s"; worth 1; effect "unsafe"; write #true }
                    choice "round"
                    retry "once"
                    proxies 5
                    period "1s"
                    intake "500/s"
                    rules {
                        bare "3s"; drain-grace "2s"; cold "10s"; cold-from 0.2; fall-multiple 4; fall-span "1.5s"
                    }
                    channel { pace "100/s"; head 4; backlog 4000; late "20ms"; latest "200ms" }
                }
                """));
    }

    Proxy startProxy(UnaryOperator<ForwardingPolicy> policy, InetSocketAddress... standing)
            throws IOException, ConfigException {
        return Proxy.start(new ProxyConfig(site(), 0, "p0", 0, 10, ANY, null, List.of(refusingAddress()), 0,
                300 * MS, 3 * SECOND, List.of(standing), 15 * SECOND, 250 * MS, 1000,
                policy.apply(ForwardingPolicy.defaults())), loop, new SplittableRandom(1), Tap.NONE);
    }

    Proxy startProxy(InetSocketAddress... standing) throws IOException, ConfigException {
        return startProxy(c -> c, standing);
    }

    static String getRequest(String target, String... fields) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + String.join("", fields) + "\r\n";
    }

    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
}
