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

/** A platform in memory, on a clock that the test moves: catalog, backends, and peers that say anything. */
final class TestPlatform {

    static final long MS = 1_000_000;
    static final long START = 1_000_000_000_000_000L;
    static final long WALL = 1_700_000_000_000L;
    static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
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
    final Catalogue catalog;
    long probesAnswered;
    Service service;

    static Map<String, Object> json(String text) {
        try {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            return Json.object(bytes, 0, bytes.length);
        } catch (java.io.IOException e) {
            throw new AssertionError(text, e);
        }
    }

    static NamedSettings told() {
        return SettingsReader.fromTree(json(SETTINGS));
    }

    /** An entry of the catalog's. */
    static Map<String, Object> instance(String id, String zone, String lifecycle, long startedAtMs, String at) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("instanceId", id);
        entry.put("hostPort", at);
        entry.put("zone", zone);
        entry.put("machineType", "big");
        entry.put("cell", 1L);
        entry.put("lifecycle", lifecycle);
        entry.put("weight", 4.0);
        entry.put("startedAtMs", startedAtMs);
        return entry;
    }

    static Map<String, Object> list(long generation, boolean reset, List<Map<String, Object>> entries) {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("generation", generation);
        object.put("reset", reset);
        object.put("instances", entries);
        return object;
    }

    static String text(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> all = new ArrayList<>();
            map.forEach((k, v) -> all.add("\"" + k + "\":" + text(v)));
            return "{" + String.join(",", all) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(TestPlatform::text).toList()) + "]";
        }
        return value instanceof String s ? "\"" + s + "\"" : String.valueOf(value);
    }

    /** Six instances, the even ones in the north, all of which answer probes. */
    TestPlatform() {
        this(11);
    }

    TestPlatform(long seed) {
        net = new MemoryNet(START, seed);
        loop = net.newLoop(faults::add);
        catalog = new Catalogue(ANY);
        for (int i = 0; i < 6; i++) {
            put("s-" + i, i % 2 == 0 ? "north" : "south", "in_service", 0);
        }
    }

    void put(String id, String zone, String lifecycle, long startedAtMs) {
        instances.put(id, instance(id, zone, lifecycle, startedAtMs, hostPort(backend())));
    }

    private static String hostPort(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    private InetSocketAddress backend() {
        return listen(connection -> new ConnectionHandler() {
            @Override
            public void onData(Connection its, ByteBuffer bytes) {
                probesAnswered++;
                its.send(ascii("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nqueue=2,latency_ms=9"));
            }
        });
    }

    InetSocketAddress listen(java.util.function.Function<Connection, ConnectionHandler> accept) {
        return listen(ANY, accept);
    }

    private InetSocketAddress listen(InetSocketAddress at,
            java.util.function.Function<Connection, ConnectionHandler> accept) {
        try {
            return loop.listen(at, Connection.Options.defaults(), accept).address();
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    TestPlatform serve() {
        return serve(256, list(1, true, List.copyOf(instances.values())));
    }

    TestPlatform serve(int sockets, Map<String, Object> known) {
        try {
            service = new Service(new PlatformConfig("n1", ANY, catalog.address, 7, sockets, known, told()),
                    loop, () -> WALL + (net.now() - START) / MS, log::add, () -> { });
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
        net.runFor(50 * MS);
        return this;
    }

    /** The catalog: keeps every watch open and tells them what it is told to. */
    final class Catalogue {
        final InetSocketAddress address;
        final List<Connection> watches = new ArrayList<>();
        final List<String> asked = new ArrayList<>();
        boolean beats = true;
        String first;

        Catalogue(InetSocketAddress at) {
            address = listen(at, connection -> new ConnectionHandler() {
                @Override
                public void onData(Connection its, ByteBuffer bytes) {
                    if (watches.contains(its)) {
                        return; // the rest of a question that came in pieces
                    }
                    byte[] all = new byte[bytes.remaining()];
                    bytes.get(all);
                    asked.add(new String(all, StandardCharsets.ISO_8859_1).lines().findFirst().orElse(""));
                    watches.add(its);
                    its.send(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                    if (first == null || !first.isEmpty()) { // an empty chunk would end the answer
                        write(its, first == null ? "\n" : first);
                    }
                }

                @Override
                public void onClose(Connection its, CloseReason why, String detail) {
                    watches.remove(its);
                }
            });
            loop.after(1900 * MS, this::beat);
        }

        private void beat() {
            if (beats) {
                watches.forEach(w -> write(w, "\n"));
            }
            loop.after(1900 * MS, this::beat);
        }

        private static void write(Connection to, String text) {
            to.send(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        }

        void tell(String line) {
            watches.forEach(w -> write(w, line));
        }

        void tell(long generation, boolean reset, List<Map<String, Object>> entries) {
            tell(text(list(generation, reset, entries)) + "\n");
        }
    }

    /** One connection to the controller's address. */
    final class Client implements ConnectionHandler {
        final List<List<String>> heard = new ArrayList<>();
        private final RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES, 64);
        final Connection connection;
        CloseReason over;

        Client() {
            connection = loop.connect(null, service.address(), Connection.Options.defaults(), this);
        }

        Client say(String words) {
            return say(List.of(words.split(" ")));
        }

        Client say(List<String> parts) {
            connection.send(RespWriter.encode(parts));
            return this;
        }

        Client raw(String bytes) {
            connection.send(ascii(bytes));
            return this;
        }

        @Override
        public void onData(Connection its, ByteBuffer bytes) {
            try {
                for (List<String> m = reader.next(bytes); m != null; m = reader.next(bytes)) {
                    heard.add(m);
                    int mark = m.indexOf("nonce_out");
                    if (m.get(0).equals("push") && mark >= 0 && node != null) {
                        say("ack node " + node + " nonce " + m.get(mark + 1) + " latency 12.5");
                    }
                }
            } catch (RespException e) {
                throw new AssertionError(e);
            }
        }

        String node;

        Client join(int number, String zone, int cold) {
            node = Integer.toString(number);
            return say("hello node " + number + " locality " + zone + " w 5.0 cold " + cold);
        }

        @Override
        public void onClose(Connection its, CloseReason why, String detail) {
            over = why;
        }

        /** The pushes heard, as maps. */
        List<Map<String, String>> pushes() {
            List<Map<String, String>> all = new ArrayList<>();
            for (List<String> m : heard) {
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

        /** The table that all pushes add up to, for all classes alike. */
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

        /** The instances that it shuts out by now. */
        List<String> shutOut() {
            java.util.TreeSet<String> out = new java.util.TreeSet<>();
            for (Map<String, String> push : pushes()) {
                out.addAll(List.of(push.getOrDefault("eject", "").split(",")));
                out.removeAll(List.of(push.getOrDefault("restore", "").split(",")));
            }
            out.remove("");
            return List.copyOf(out);
        }
    }

    Client client() {
        return new Client();
    }
}
