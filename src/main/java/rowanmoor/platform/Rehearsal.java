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
 * A controller that serves a few invented peers of its own, on loopback, for a moment, and ends. The build
 * runs it to record which classes a start needs (class-data archive): {@code run} then starts in half the
 * time. Nothing of it runs under {@code serve} itself.
 */
final class Rehearsal {

    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final long MILLI = 1_000_000L;
    private static final long LENGTH = 2_500 * MILLI;
    private static final int PROXIES = 8;
    private static final String SCRIPT = "/rowanmoor/rehearsal.json";

    private final Loop loop;
    private final Map<String, Object> script;

    private Rehearsal(Loop loop, Map<String, Object> script) {
        this.loop = loop;
        this.script = script;
    }

    static void run(LineLog log) throws IOException {
        byte[] bytes;
        try (InputStream in = Rehearsal.class.getResourceAsStream(SCRIPT)) {
            bytes = in.readAllBytes();
        }
        Loop loop = Loop.onSockets(cause -> log.line("fault: " + cause));
        new Rehearsal(loop, Json.object(bytes, 0, bytes.length)).begin(log);
        loop.after(LENGTH, loop::stop);
        loop.run();
    }

    @SuppressWarnings("unchecked")
    private void begin(LineLog log) throws IOException {
        InetSocketAddress catalog = loop.listen(ANY, Connection.Options.defaults(), c -> answer(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")).address();
        InetSocketAddress backend = loop.listen(ANY, Connection.Options.defaults(), c -> answer(
                "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nqueue=2,latency_ms=9")).address();
        Map<String, Object> known = (Map<String, Object>) script.get("known");
        for (Object entry : (List<Object>) known.get("instances")) {
            ((Map<String, Object>) entry).put("hostPort", "127.0.0.1:" + backend.getPort());
        }
        PlatformConfig config = new PlatformConfig("rehearsal", ANY, catalog, 1, 256, known,
                SettingsReader.fromTree((Map<String, Object>) script.get("settings")));
        Service service = new Service(config, loop, System::currentTimeMillis, log::line, () -> { });
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            new Guest(service.address(), proxy);
        }
    }

    private static ConnectionHandler answer(String text) {
        return new ConnectionHandler() {
            @Override
            public void onData(Connection connection, ByteBuffer bytes) {
                connection.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
            }
        };
    }

    /** A proxy that says what the script has for it, over and over. */
    private final class Guest implements ConnectionHandler {
        private final int number;
        private Connection connection;

        Guest(InetSocketAddress at, int number) {
            this.number = number;
            loop.connect(null, at, Connection.Options.defaults(), this);
        }

        @Override
        public void onOpen(Connection its) {
            connection = its;
            say("probe");
            String zone = number % 2 == 0 ? "north" : "south";
            say("hello node " + number + " locality " + zone + " w 5.5 cold 1");
            speak();
        }

        private void speak() {
            for (Object line : (List<?>) script.get("says")) {
                say(line.toString().replace("NODE", Integer.toString(number)));
            }
            loop.after(100 * MILLI, this::speak);
        }

        private void say(String words) {
            connection.send(RespWriter.encode(List.of(words.split(" "))));
        }

        @Override
        public void onData(Connection its, ByteBuffer bytes) {
            // orders are not followed here
        }
    }
}
