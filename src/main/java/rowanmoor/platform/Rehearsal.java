package rowanmoor.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;
import rowanmoor.resp.RespWriter;
import rowanmoor.settings.SettingsReader;

/**
 * Training run for the class-data archive: a controller serves a few scripted peers on loopback for 2.5 s and
 * ends. The build runs it to record which classes a start loads; with the archive, {@code run} starts in half
 * the time. Not used by {@code serve}.
 */
final class Rehearsal {

    private static final InetSocketAddress LOOPBACK =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final long NS_PER_MS = 1_000_000L;
    private static final long DURATION_NS = 2_500 * NS_PER_MS;
    private static final int PROXY_COUNT = 8;
    private static final String SCRIPT_RESOURCE = "/rowanmoor/rehearsal.json";

    private final Loop loop;
    private final Map<String, Object> script;

    private Rehearsal(Loop loop, Map<String, Object> script) {
        this.loop = loop;
        this.script = script;
    }

    /** Runs for {@code DURATION_NS}; throws if the script is unreadable or a port cannot be opened. */
    static void run(AsyncLineLog log) throws IOException {
        byte[] bytes;
        try (InputStream in = Rehearsal.class.getResourceAsStream(SCRIPT_RESOURCE)) {
            bytes = in.readAllBytes();
        }
        Loop loop = Loop.onSockets(cause -> log.log("fault: " + cause));
        new Rehearsal(loop, Json.parseObject(bytes, 0, bytes.length)).start(log);
        loop.after(DURATION_NS, loop::stop);
        loop.run();
    }

    @SuppressWarnings("unchecked")
    private void start(AsyncLineLog log) throws IOException {
        InetSocketAddress catalog = loop.listen(LOOPBACK, Connection.Options.defaults(), c -> respondWith(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")).address();
        InetSocketAddress backend = loop.listen(LOOPBACK, Connection.Options.defaults(), c -> respondWith(
                "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nqueue=2,latency_ms=9")).address();
        Map<String, Object> known = (Map<String, Object>) script.get("known");
        for (Object entry : (List<Object>) known.get("instances")) {
            ((Map<String, Object>) entry).put("hostPort", "127.0.0.1:" + backend.getPort());
        }
        PlatformConfig config = new PlatformConfig("rehearsal", LOOPBACK, catalog, 1, 256, known,
                SettingsReader.fromTree((Map<String, Object>) script.get("settings")));
        PlatformController controller = new PlatformController(config, loop, System::currentTimeMillis,
                log::log, () -> { });
        for (int proxy = 0; proxy < PROXY_COUNT; proxy++) {
            new ScriptedProxy(controller.address(), proxy);
        }
    }

    private static ConnectionHandler respondWith(String text) {
        return new ConnectionHandler() {
            @Override
            public void onData(Connection connection, ByteBuffer bytes) {
                connection.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
            }
        };
    }

    /** A proxy that joins and sends the script's reports every 100 ms. */
    private final class ScriptedProxy implements ConnectionHandler {
        private final int number;
        private Connection connection;

        ScriptedProxy(InetSocketAddress address, int number) {
            this.number = number;
            loop.connect(null, address, Connection.Options.defaults(), this);
        }

        @Override
        public void onOpen(Connection source) {
            connection = source;
            send("probe");
            String zone = number % 2 == 0 ? "north" : "south";
            send("hello node " + number + " locality " + zone + " w 5.5 cold 1");
            sendReports();
        }

        private void sendReports() {
            for (Object line : (List<?>) script.get("says")) {
                send(line.toString().replace("NODE", Integer.toString(number)));
            }
            loop.after(100 * NS_PER_MS, this::sendReports);
        }

        private void send(String words) {
            connection.send(RespWriter.encode(List.of(words.split(" "))));
        }

        @Override
        public void onData(Connection source, ByteBuffer bytes) {
            // pushes are ignored
        }
    }
}
