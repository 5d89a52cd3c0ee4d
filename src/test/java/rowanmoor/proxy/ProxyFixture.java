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
import rowanmoor.config.ConfigError;
import rowanmoor.config.Section;
import rowanmoor.config.Site;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Handler;
import rowanmoor.net.Loop;
import rowanmoor.net.MemoryNet;

/** A proxy between clients and backends that are written out byte by byte, on a network in memory. */
abstract class ProxyFixture {

    static final long MS = 1_000_000;
    static final long SECOND = 1000 * MS;
    static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    final MemoryNet net = new MemoryNet(SECOND, 5);
    final Loop loop = net.loop(e -> {
        throw new AssertionError(e);
    });
    final List<BackendEnd> reached = new ArrayList<>();

    /** One connection that a backend has taken. */
    final class BackendEnd implements Handler {
        private final int backend;
        final StringBuilder heard = new StringBuilder();
        Connection connection;
        boolean over;

        BackendEnd(int backend, Connection connection) {
            this.backend = backend;
            this.connection = connection;
            reached.add(this);
        }

        @Override
        public void received(Connection its, ByteBuffer bytes) {
            heard.append(StandardCharsets.ISO_8859_1.decode(bytes));
        }

        @Override
        public void closed(Connection its, Close why, String detail) {
            over = true;
        }

        void say(String text) {
            connection.send(bytes(text));
            net.runFor(20 * MS);
        }
    }

    /** One client. */
    final class ClientEnd implements Handler {
        final StringBuilder heard = new StringBuilder();
        final Connection connection;
        boolean over;

        ClientEnd(Proxy proxy) {
            connection = loop.connect(null, proxy.address(), Connection.Options.usual(), this);
        }

        @Override
        public void received(Connection its, ByteBuffer bytes) {
            heard.append(StandardCharsets.ISO_8859_1.decode(bytes));
        }

        @Override
        public void closed(Connection its, Close why, String detail) {
            over = true;
        }

        /**
         * What it heard but for a last word that its connection ends: one 408 that says that nothing ran, after which
         * nothing may come.
         */
        String answers() {
            String all = heard.toString();
            int last = all.lastIndexOf("HTTP/1.1 408 ");
            return over && last > 0 && all.substring(last).toLowerCase().contains(Proxy.NEVER_RAN_FIELD) ? all.substring(0, last) : all;
        }

        ClientEnd say(String text) {
            connection.send(bytes(text));
            net.runFor(20 * MS);
            return this;
        }
    }

    static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    InetSocketAddress backend(int number) throws IOException {
        return loop.listen(ANY, Connection.Options.usual(), c -> new BackendEnd(number, c)).address();
    }

    InetSocketAddress refusing() throws IOException {
        Loop.Listener listener = loop.listen(ANY, Connection.Options.usual(), c -> null);
        listener.close();
        return listener.address();
    }

    static Site site() throws ConfigError {
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

    Proxy proxy(UnaryOperator<ForwardingPolicy> conduct, InetSocketAddress... standing)
            throws IOException, ConfigError {
        return Proxy.start(new ProxyConfig(site(), 0, "p0", 0, 10, ANY, null, List.of(refusing()), 0,
                300 * MS, 3 * SECOND, List.of(standing), 15 * SECOND, 250 * MS, 1000,
                conduct.apply(ForwardingPolicy.defaults())), loop, new SplittableRandom(1), Tap.NONE);
    }

    Proxy proxy(InetSocketAddress... standing) throws IOException, ConfigError {
        return proxy(c -> c, standing);
    }

    static String get(String target, String... fields) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + String.join("", fields) + "\r\n";
    }

    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
}
