package rowanmoor.platform;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;
import rowanmoor.net.MemoryNet;
import rowanmoor.resp.RespException;
import rowanmoor.resp.RespReader;
import rowanmoor.resp.RespWriter;
import rowanmoor.settings.SettingsReader;
import rowanmoor.settings.SettingsReader.NamedSettings;

/**
 * A controller with catalog, backends and peers on an in-memory network whose clock the test advances. Peers can
 * send arbitrary bytes.
 */
final class InMemoryPlatform {

    static final long MS = 1_000_000;
    static final long START_NS = 1_000_000_000_000_000L;
    static final long WALL_MS = 1_700_000_000_000L;
    static final InetSocketAddress LOOPBACK = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    static final String SETTINGS = """
            {"balancers":2,"dcs":["north","south"],"kinds":["big","small"],"registry_mode":"pushed",
             "classes":[{"name":"read","aim_ns":800000000,"deadline_ns":2000000000,"credit":1.0,
               "late_worth":0.1,"effect":"retryable","key_scope":"all","window_ns":5000000000},
              {"name":"pay","aim_ns":900000000,"deadline_ns":2000000000,"credit":4.0,
               "late_worth":0.1,"effect":"fragile","key_scope":"all","window_ns":5000000000}],
             "limits":{"probes":true},"penalties":{"cross_zone":0.06},"report":{"columns":["q","lat_ms"]},
             "extra":{"admission":"per_second","ejects":5,"proxy_count":40,"key_ranges":0,
               "interval_ns":1000000000,"hears_per_s":120.0,"mutating":[false,true],
               "home_only":[false,false],"blackhole_ns":3000000000,"egress_per_s":1200.0,
               "per_message":4.0,"most_waiting":2400.0,"messages_most":0,"update_window_ns":10000000000,
               "late_ns":150000000,"transit_max_ns":400000000},
             "rules":{"drain_grace_ns":2500000000,"cold_ns":12000000000,"cold_from":0.2,
               "overload_factor":4.0,"fall_ns":1500000000},"tick_ns":5000000}""";

    final MemoryNet net;
    final List<Throwable> faults = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final Loop loop;
    final TreeMap<String, Map<String, Object>> instances = new TreeMap<>();
    final FakeCatalog catalog;
    long probesAnswered;
    PlatformController controller;

    static Map<String, Object> parseJson(String text) {
        try {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            return Json.parseObject(bytes, 0, bytes.length);
        } catch (java.io.IOException e) {
            throw new AssertionError(text, e);
        }
    }

    static NamedSettings namedSettings() {
        return SettingsReader.fromTree(parseJson(SETTINGS));
    }

    /** One entry of a catalog object. */
    static Map<String, Object> instance(String id, String zone, String lifecycle, long startedAtMs,
            String hostPort) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("instanceId", id);
        entry.put("hostPort", hostPort);
        entry.put("zone", zone);
        entry.put("machineType", "big");
        entry.put("cell", 1L);
        entry.put("lifecycle", lifecycle);
        entry.put("weight", 4.0);
        entry.put("startedAtMs", startedAtMs);
        return entry;
    }

    static Map<String, Object> catalogObject(long generation, boolean reset, List<Map<String, Object>> entries) {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("generation", generation);
        object.put("reset", reset);
        object.put("instances", entries);
        return object;
    }

    static String toJson(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> fields = new ArrayList<>();
            map.forEach((k, v) -> fields.add("\"" + k + "\":" + toJson(v)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(InMemoryPlatform::toJson).toList()) + "]";
        }
        return value instanceof String s ? "\"" + s + "\"" : String.valueOf(value);
    }

    /** Six instances, the even ones in zone north; all answer probes. */
    InMemoryPlatform() {
        this(11);
    }

    InMemoryPlatform(long seed) {
        net = new MemoryNet(START_NS, seed);
        loop = net.newLoop(faults::add);
        catalog = new FakeCatalog(LOOPBACK);
        for (int i = 0; i < 6; i++) {
            addInstance("s-" + i, i % 2 == 0 ? "north" : "south", "in_service", 0);
        }
    }

    void addInstance(String id, String zone, String lifecycle, long startedAtMs) {
        instances.put(id, instance(id, zone, lifecycle, startedAtMs, hostPort(listenAsBackend())));
    }

    private static String hostPort(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    private InetSocketAddress listenAsBackend() {
        return listen(connection -> new ConnectionHandler() {
            @Override
            public void onData(Connection source, ByteBuffer bytes) {
                probesAnswered++;
                source.send(asciiBytes("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nqueue=2,latency_ms=9"));
            }
        });
    }

    InetSocketAddress listen(java.util.function.Function<Connection, ConnectionHandler> accept) {
        return listen(LOOPBACK, accept);
    }

    private InetSocketAddress listen(InetSocketAddress at,
            java.util.function.Function<Connection, ConnectionHandler> accept) {
        try {
            return loop.listen(at, Connection.Options.defaults(), accept).address();
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    static ByteBuffer asciiBytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    InMemoryPlatform start() {
        return start(256, catalogObject(1, true, List.copyOf(instances.values())));
    }

    InMemoryPlatform start(int sockets, Map<String, Object> known) {
        try {
            controller = new PlatformController(new PlatformConfig("n1", LOOPBACK, catalog.address, 7, sockets, known,
                    namedSettings()), loop, () -> WALL_MS + (net.now() - START_NS) / MS, log::add, () -> { });
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
        net.runFor(50 * MS);
        return this;
    }

    /** A catalog that keeps every watch open and sends the lines given by the test. */
    final class FakeCatalog {
        final InetSocketAddress address;
        final List<Connection> watches = new ArrayList<>();
        final List<String> requestLines = new ArrayList<>();
        boolean keepAlive = true;
        String firstLine;

        FakeCatalog(InetSocketAddress at) {
            address = listen(at, connection -> new ConnectionHandler() {
                @Override
                public void onData(Connection source, ByteBuffer bytes) {
                    if (watches.contains(source)) {
                        return; // the rest of a request received in pieces
                    }
                    byte[] all = new byte[bytes.remaining()];
                    bytes.get(all);
                    requestLines.add(new String(all, StandardCharsets.ISO_8859_1).lines().findFirst().orElse(""));
                    watches.add(source);
                    source.send(asciiBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                    if (firstLine == null || !firstLine.isEmpty()) { // an empty chunk would end the response
                        write(source, firstLine == null ? "\n" : firstLine);
                    }
                }

                @Override
                public void onClose(Connection source, CloseReason reason, String detail) {
                    watches.remove(source);
                }
            });
            loop.after(1900 * MS, this::sendKeepAlive);
        }

        private void sendKeepAlive() {
            if (keepAlive) {
                watches.forEach(w -> write(w, "\n"));
            }
            loop.after(1900 * MS, this::sendKeepAlive);
        }

        private static void write(Connection to, String text) {
            to.send(asciiBytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        }

        void send(String line) {
            watches.forEach(w -> write(w, line));
        }

        void send(long generation, boolean reset, List<Map<String, Object>> entries) {
            send(toJson(catalogObject(generation, reset, entries)) + "\n");
        }
    }

    /** One connection to the controller, which acknowledges pushes once it has joined. */
    final class FakePeer implements ConnectionHandler {
        final List<List<String>> messages = new ArrayList<>();
        private final RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES, 64);
        final Connection connection;
        CloseReason closeReason;

        FakePeer() {
            connection = loop.connect(null, controller.address(), Connection.Options.defaults(), this);
        }

        FakePeer send(String message) {
            return send(List.of(message.split(" ")));
        }

        FakePeer send(List<String> parts) {
            connection.send(RespWriter.encode(parts));
            return this;
        }

        FakePeer sendRaw(String bytes) {
            connection.send(asciiBytes(bytes));
            return this;
        }

        @Override
        public void onData(Connection source, ByteBuffer bytes) {
            try {
                for (List<String> m = reader.next(bytes); m != null; m = reader.next(bytes)) {
                    messages.add(m);
                    int mark = m.indexOf("nonce_out");
                    if (m.get(0).equals("push") && mark >= 0 && nodeId != null) {
                        send("ack node " + nodeId + " nonce " + m.get(mark + 1) + " latency 12.5");
                    }
                }
            } catch (RespException e) {
                throw new AssertionError(e);
            }
        }

        String nodeId;

        FakePeer join(int number, String zone, int cold) {
            nodeId = Integer.toString(number);
            return send("hello node " + number + " locality " + zone + " w 5.0 cold " + cold);
        }

        @Override
        public void onClose(Connection source, CloseReason reason, String detail) {
            closeReason = reason;
        }

        /** The pushes received, as field maps. */
        List<Map<String, String>> pushes() {
            List<Map<String, String>> all = new ArrayList<>();
            for (List<String> m : messages) {
                if (m.get(0).equals("push")) {
                    Map<String, String> fields = new LinkedHashMap<>();
                    for (int i = 1; i < m.size(); i += 2) {
                        fields.put(m.get(i), m.get(i + 1));
                    }
                    all.add(fields);
                }
            }
            return all;
        }

        /** The table that results from all pushes, taking all classes together. */
        TreeMap<String, Double> table() {
            TreeMap<String, Double> table = new TreeMap<>();
            for (Map<String, String> push : pushes()) {
                if (push.containsKey("full")) {
                    table.clear();
                }
                for (String line : push.getOrDefault("endpoints", "").split(",")) {
                    int colon = line.indexOf(':');
                    if (colon > 0) {
                        double weight = Double.parseDouble(line.substring(colon + 1));
                        table.put(line.substring(0, colon), weight);
                        table.values().removeIf(w -> w == 0);
                    }
                }
            }
            return table;
        }

        /** The instances that are ejected by now. */
        List<String> ejected() {
            java.util.TreeSet<String> ejected = new java.util.TreeSet<>();
            for (Map<String, String> push : pushes()) {
                ejected.addAll(List.of(push.getOrDefault("eject", "").split(",")));
                ejected.removeAll(List.of(push.getOrDefault("restore", "").split(",")));
            }
            ejected.remove("");
            return List.copyOf(ejected);
        }
    }

    FakePeer connectPeer() {
        return new FakePeer();
    }
}
