import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The discovery agent: the whole list on request, and watches. Every change is told at once. */
final class Discovery {

    /** One backend as listed. */
    static final class Entry {
        final String id;
        final int port;
        final String zone;
        final String kind;
        volatile String lifecycle = "in_service";
        volatile long startedAtMs;

        private Entry copy() {
            Entry copy = new Entry(id, port, zone, kind);
            copy.lifecycle = lifecycle;
            copy.startedAtMs = startedAtMs;
            return copy;
        }

        Entry(String id, int port, String zone, String kind) {
            this.id = id;
            this.port = port;
            this.zone = zone;
            this.kind = kind;
        }

        String json() {
            return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + Rig.HOST + ":" + port + "\",\"zone\":\""
                    + zone + "\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                    + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
        }
    }

    private final Rig rig;
    private final ServerSocket server;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<OutputStream> watches = new ArrayList<>();
    private long generation = 41;
    private Discovery follower;
    private long followerLateMs;

    Discovery(Rig rig) throws IOException {
        this.rig = rig;
        server = new ServerSocket(0, 64, InetAddress.getByName(Rig.HOST));
        Rig.daemon("discovery", this::accept);
        Rig.daemon("discovery-pulse", () -> {
            while (true) {
                Rig.sleep(2000);
                write("\n");
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    void add(Entry entry) {
        entries.put(entry.id, entry);
    }

    List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    synchronized String whole() {
        List<String> listed = entries.values().stream().filter(e -> !e.lifecycle.equals("terminated"))
                .map(Entry::json).toList();
        return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
                + String.join(",", listed) + "]}";
    }

    /** An agent at another address that is told everything so much later than this one. */
    Discovery follower(long lateMs) throws IOException {
        follower = new Discovery(rig);
        followerLateMs = lateMs;
        entries.values().forEach(e -> follower.add(e.copy()));
        return follower;
    }

    /** Ends this agent: no new connection, and those that are open are closed after 1.5 s. */
    void end() throws IOException {
        server.close();
        Rig.daemon("discovery-end", () -> {
            Rig.sleep(1500);
            synchronized (this) {
                watches.forEach(out -> {
                    try {
                        out.close();
                    } catch (IOException e) {
                        // closed already
                    }
                });
            }
        });
    }

    /** Sets the state of backends, listed so far or new, and tells all watches in one object. */
    synchronized void set(List<Entry> changed, String lifecycle, long startedAtMs) {
        for (Entry entry : changed) {
            entries.putIfAbsent(entry.id, entry);
            entry.lifecycle = lifecycle;
            if (startedAtMs > 0) {
                entry.startedAtMs = startedAtMs;
            }
        }
        tell(changed.stream().map(Entry::copy).toList());
    }

    private synchronized void tell(List<Entry> changed) {
        changed.forEach(e -> entries.put(e.id, entries.containsKey(e.id) ? entries.get(e.id) : e));
        for (Entry entry : changed) {
            entries.get(entry.id).lifecycle = entry.lifecycle;
            entries.get(entry.id).startedAtMs = entry.startedAtMs;
        }
        if (follower != null) {
            Rig.daemon("discovery-follower", () -> {
                Rig.sleep(followerLateMs);
                follower.tell(changed);
            });
        }
        generation++;
        write("{\"generation\":" + generation + ",\"reset\":false,\"instances\":["
                + String.join(",", changed.stream().map(Entry::json).toList()) + "]}\n");
        rig.note("agent " + port() + " tells version " + generation + ": "
                + changed.stream().map(e -> e.id + " " + e.lifecycle).toList());
    }

    private synchronized void write(String text) {
        byte[] chunk = chunk(text);
        watches.removeIf(out -> {
            try {
                out.write(chunk);
                out.flush();
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    private static byte[] chunk(String text) {
        return (Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Rig.daemon("discovery-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
            String request = in.readLine();
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                continue;
            }
            OutputStream out = socket.getOutputStream();
            if (request == null) {
                socket.close();
            } else if (request.contains("follow=1")) {
                synchronized (this) {
                    out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    out.write(chunk(whole() + "\n"));
                    out.flush();
                    watches.add(out);
                    rig.note("agent " + port() + ": " + request + ", answers with the whole list, version "
                            + generation);
                }
            } else {
                byte[] body = whole().getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                socket.close();
            }
        } catch (IOException e) {
            // the controller went away
        }
    }
}
