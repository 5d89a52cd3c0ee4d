import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A proxy that follows its tables: it joins a controller, applies what is pushed, answers marks, keeps its tables
 * and shut-out backends over a change of streams, and dials again after a break.
 */
final class PlainProxy {

    final int node;
    final String zone;
    private final Rig rig;
    private final Map<Integer, Channel> channels = new LinkedHashMap<>();
    private final double head;
    private final List<String> classes;
    private final Set<String> listed;
    private final Random random;
    private final Map<String, TreeMap<String, Double>> tables = new LinkedHashMap<>();
    private final Set<String> shutOut = new TreeSet<>();
    private boolean cold = true;
    private volatile int port;
    private volatile boolean joined;
    private volatile long joinedAt;
    private volatile Socket socket;
    private int stream;
    int resets;
    double mostAtOnce;

    PlainProxy(Rig rig, int node, String zone, List<String> classes, Set<String> listed, List<String> standing,
            double head) {
        this.rig = rig;
        this.node = node;
        this.zone = zone;
        this.classes = classes;
        this.listed = listed;
        this.head = head;
        this.random = new Random(node);
        for (String cls : classes) {
            TreeMap<String, Double> table = new TreeMap<>();
            standing.forEach(id -> table.put(id, 1.0));
            tables.put(cls, table);
        }
    }

    /** Joins the first of the controllers, given by port; after a break it dials the next one. */
    void start(Map<Integer, Channel> controllers) {
        channels.putAll(controllers);
        port = channels.keySet().iterator().next();
        Rig.daemon("proxy-" + node, this::run);
    }

    /** The port of the controller that it has joined or dials. */
    int controller() {
        return port;
    }

    boolean isJoined() {
        return joined;
    }

    long joinedAt() {
        return joinedAt;
    }

    private static void closeHard(Socket which) {
        try {
            which.setSoLinger(true, 0);
            which.close();
        } catch (IOException e) {
            // closed already
        }
    }

    private void run() {
        while (true) {
            serveStream();
            joined = false;
            List<Integer> ports = List.copyOf(channels.keySet());
            port = ports.get((ports.indexOf(port) + 1) % ports.size());
            Rig.sleep(200 + random.nextInt(800)); // notices and dials again
        }
    }

    private void serveStream() {
        Socket opened = new Socket();
        try {
            opened.connect(new InetSocketAddress(Rig.HOST, port), 1000);
            opened.setTcpNoDelay(true);
            int number;
            synchronized (this) {
                number = ++stream;
                socket = opened;
            }
            send("hello", "node", "" + node, "locality", zone, "w", "5.0", "cold", cold ? "1" : "0");
            joinedAt = rig.ms();
            rig.note("proxy " + node + " joins at " + port);
            joined = true;
            DataInputStream in = new DataInputStream(new BufferedInputStream(opened.getInputStream()));
            List<Map<String, String>> parts = new ArrayList<>();
            while (true) {
                List<String> words = Resp.read(in);
                if (!words.get(0).equals("push")) {
                    throw new IOException("not a push: " + words);
                }
                Map<String, String> part = new HashMap<>();
                for (int i = 1; i < words.size(); i += 2) {
                    part.put(words.get(i), words.get(i + 1));
                }
                parts.add(part);
                if (!"1".equals(part.get("continued"))) {
                    List<Map<String, String>> message = List.copyOf(parts);
                    parts.clear();
                    double lines = head + message.stream().mapToDouble(PlainProxy::lines).sum();
                    mostAtOnce = Math.max(mostAtOnce, lines);
                    double waiting = channels.get(port).enter(lines, () -> deliver(number, message));
                    rig.note("proxy " + node + " is sent " + lines + " lines, " + waiting + " wait: " + message);
                }
            }
        } catch (IOException e) {
            // dials again
        } finally {
            synchronized (this) {
                stream++; // what is under way to it is lost
            }
            closeHard(opened);
        }
    }

    private static double lines(Map<String, String> part) {
        double lines = 0;
        for (String field : List.of("endpoints", "eject", "restore")) {
            lines += part.containsKey(field) ? part.get(field).split(",").length : 0;
        }
        for (String field : List.of("admit", "nonce_out")) {
            lines += part.containsKey(field) ? 1 : 0;
        }
        return lines + ("1".equals(part.get("full")) ? 1 : 0);
    }

    private void deliver(int number, List<Map<String, String>> message) {
        String mark = null;
        synchronized (this) {
            if (number != stream) {
                return; // the stream has broken meanwhile
            }
            for (Map<String, String> part : message) {
                if (!usable(part)) {
                    resets++;
                    rig.note("proxy " + node + " can't use " + part + " and resets its stream");
                    closeHard(socket);
                    return;
                }
                apply(part);
                mark = part.getOrDefault("nonce_out", mark);
            }
            cold = false;
        }
        if (mark != null) {
            try {
                rig.note("proxy " + node + " answers mark " + mark);
                send("ack", "node", "" + node, "nonce", mark, "latency", "200.0");
            } catch (IOException e) {
                // the reader dials again
            }
        }
    }

    private List<String> routes(Map<String, String> part) {
        return part.containsKey("routes") ? List.of(part.get("routes").split("\\+", -1)) : classes;
    }

    private boolean usable(Map<String, String> part) {
        boolean known = classes.containsAll(routes(part));
        for (String field : List.of("endpoints", "eject", "restore")) {
            for (String item : part.containsKey(field) ? part.get(field).split(",") : new String[0]) {
                known &= listed.contains(item.split(":")[0]);
            }
        }
        return known;
    }

    private void apply(Map<String, String> part) {
        for (String cls : routes(part)) {
            TreeMap<String, Double> table = tables.get(cls);
            if ("1".equals(part.get("full"))) {
                table.clear();
            }
            for (String line : part.containsKey("endpoints") ? part.get("endpoints").split(",")
                    : new String[0]) {
                double weight = Double.parseDouble(line.split(":")[1]);
                if (weight > 0) {
                    table.put(line.split(":")[0], weight);
                } else {
                    table.remove(line.split(":")[0]);
                }
            }
        }
        if (part.containsKey("eject")) {
            shutOut.addAll(List.of(part.get("eject").split(",")));
        }
        if (part.containsKey("restore")) {
            shutOut.removeAll(List.of(part.get("restore").split(",")));
        }
    }

    /** The lines that it may pick for a class, by backend. */
    synchronized TreeMap<String, Double> usableLines(String cls) {
        TreeMap<String, Double> lines = new TreeMap<>(tables.get(cls));
        lines.keySet().removeAll(shutOut);
        return lines;
    }

    synchronized String state() {
        return "proxy " + node + (joined ? " joined" : " not joined") + ", tables " + tables + ", shut out "
                + shutOut;
    }

    /** A backend for a request of a class, drawn by weight; null if there is no line to pick. */
    String pick(String cls) {
        TreeMap<String, Double> lines = usableLines(cls);
        double at = random.nextDouble() * lines.values().stream().mapToDouble(w -> w).sum();
        for (Map.Entry<String, Double> line : lines.entrySet()) {
            at -= line.getValue();
            if (at <= 0) {
                return line.getKey();
            }
        }
        return lines.isEmpty() ? null : lines.lastKey();
    }

    /** Reports on its stream, if that is up. */
    void demand(String cls, long total, double intervalMs) {
        if (joined) {
            try {
                send("demand", "node", "" + node, "route", cls, "total", "" + total, "errors", "0", "interval",
                        "" + intervalMs);
            } catch (IOException e) {
                // the reader dials again
            }
        }
    }

    private synchronized void send(String... words) throws IOException {
        socket.getOutputStream().write(Resp.encode(List.of(words)));
    }
}
