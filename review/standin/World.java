import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A small platform on loopback sockets and the real clock: discovery, backends, collectors, proxies with clients of
 * their own, and real controllers started by the deploy file's {@code run}. Proxies do as PROTOCOL.md and WIRE.md say.
 * Checks rules 1 (a backend to pick), 3 (drains), 4 (cold backends) and 5 (the channel) as those pages state them.
 */
public final class World implements AutoCloseable {

    // ---- settings of the day ---------------------------------------------------------------------------

    public static class Config {
        public String[] zones = {"bilbao", "oviedo"};
        public String[] classes = {"payslip-preview", "run-approve"};
        public String[] effects = {"retryable", "fragile"};
        public boolean[] homeOnly = {false, false};
        public int controllers = 2;
        public int proxies = 8;
        public int backends = 10;
        public double linesPerSecond = 1200;
        public double mostWaiting = 2400;
        public double perMessage = 4;
        public int messagesMost = 0;
        public double blackholeMs = 3400;
        public double graceMs = 3300;
        public double coldMs = 18000;
        public double coldFrom = 0.16;
        public double fallMultiple = 4;
        public double fallMs = 1500;
        public double lateMs = 430;
        public double lateMostMs = 1075;
        public double crossPrice = 0.06;
        public int ejects = 5;
        public double[] aimMs = {1200, 1000};
        public double[] deadlineMs = {3000, 3000};
        public double[] credits = {2, 6};
        public String[] kinds = {"fast-3", "std-4"};
        public String[] columns = {"q", "lat_ms"};
        public String registryMode = "pushed";
        public double requestsPerProxy = 6;
        public double load = 0.6;             // of what all backends can do
        public double redialMinMs = 190;
        public double redialMaxMs = 1600;
        public double noticeMinMs = 530;      // discovery hears of a change after so long
        public double noticeMaxMs = 2000;
        public double serviceMs = 30;
        public long seed = 1;
        public boolean keepsShutOut = true;   // PROTOCOL.md; false only to look for other faults

        /** Requests a second that a warm backend can do. */
        public double capacity() {
            return proxies * requestsPerProxy / (load * backends);
        }
    }

    public static final double SLACK_MS = 300;    // PROTOCOL.md: some limits are 300 ms longer
    private final Config c;
    private final Random random;
    private final long t0 = System.nanoTime();
    private final BufferedWriter record;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
    private final ExecutorService pool = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });
    private final Path temp;
    public final List<Backend> backends = new ArrayList<>();
    public final List<Controller> controllers = new ArrayList<>();
    public final List<Proxy> proxies = new ArrayList<>();
    public final List<String> breaks = new ArrayList<>();
    public final TreeMap<String, Integer> counts = new TreeMap<>();
    private volatile boolean closed;
    private ServerSocket lock;
    private final String network;
    private int nextBackend;
    private final Path root;
    private final String runCommand;

    public World(Config config, Path root, Path recordFile) throws IOException {
        this.c = config;
        this.random = new Random(config.seed);
        this.root = root;
        this.record = Files.newBufferedWriter(recordFile);
        this.temp = Files.createTempDirectory("review");
        this.network = takeNetwork();
        this.runCommand = runCommand(root);
        for (int i = 0; i < c.backends; i++) {
            backends.add(new Backend(String.format("s-%08x", 0x5be2a07c + 0x1234567 * i), i % c.zones.length, 0));
        }
        for (int i = 0; i < c.controllers; i++) {
            controllers.add(new Controller(i, i % c.zones.length));
        }
        for (int i = 0; i < c.proxies; i++) {
            proxies.add(new Proxy(i, i % c.zones.length));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> controllers.forEach(k -> {
            if (k.process != null) {
                k.process.destroyForcibly();
            }
        })));
        timer.scheduleAtFixedRate(guard(this::checkRules), 50, 50, TimeUnit.MILLISECONDS);
        timer.scheduleAtFixedRate(guard(this::reportAll), 1000, 1000, TimeUnit.MILLISECONDS);
    }

    /** The exit code of a case: 1 if the rule was broken, 2 if a controller or a stand-in failed, else 0. */
    public synchronized int result(String rule) {
        long broke = breaks.stream().filter(b -> b.startsWith(rule + ":")).count();
        boolean failed = counts.containsKey("stand-in faults") || breaks.stream().anyMatch(b -> b.startsWith("crash"));
        breaks.stream().limit(5).forEach(System.out::println);
        controllers.forEach(k -> log(String.format("most lines in the channel of n%d: %.0f", k.number, k.mostWaiting)));
        System.out.println(rule + (broke > 0 ? " was broken " + broke + " times; " : " held; ") + counts);
        return failed ? 2 : broke > 0 ? 1 : 0;
    }

    static String runCommand(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.matches("run\\s*=.*")) {
                int from = line.indexOf('"') + 1;
                return line.substring(from, line.indexOf('"', from));
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    public double now() {
        return (System.nanoTime() - t0) / 1e6;
    }

    public void log(String text) {
        synchronized (record) {
            try {
                record.write(String.format("%9.3f %s%n", now() / 1000, text));
                record.flush();
            } catch (IOException e) {
                // the record is closed
            }
        }
    }

    public synchronized void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    public synchronized void broken(String rule, String text) {
        if (breaks.size() < 200) {
            breaks.add(rule + ": " + text);
            log("BROKEN " + rule + ": " + text);
        }
    }

    Runnable guard(Runnable r) {
        return () -> {
            try {
                r.run();
            } catch (Throwable e) {
                if (!closed) {
                    StringBuilder at = new StringBuilder();
                    for (StackTraceElement s : e.getStackTrace()) {
                        at.append(" < ").append(s);
                        if (at.length() > 400) {
                            break;
                        }
                    }
                    log("stand-in fault: " + e + at);
                    count("stand-in faults");
                }
            }
        };
    }

    public void after(double ms, Runnable r) {
        if (!closed) {
            timer.schedule(guard(r), (long) (ms * 1000), TimeUnit.MICROSECONDS);
        }
    }

    public void sleep(double ms) {
        try {
            Thread.sleep((long) ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public void sleepUntil(double ms) {
        if (ms > now()) {
            sleep(ms - now());
        }
    }

    double between(double a, double b) {
        synchronized (random) {
            return a + (b - a) * random.nextDouble();
        }
    }

    @Override
    public void close() {
        closed = true;
        timer.shutdownNow();
        controllers.forEach(k -> {
            if (k.process != null) {
                k.process.destroyForcibly();
                try {
                    k.process.waitFor();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            closeQuietly(k.discovery.server);
        });
        pool.shutdownNow();
        backends.forEach(b -> closeQuietly(b.server));
        closeQuietly(lock);
        log("counts " + counts);
        try {
            record.close();
            for (File f : temp.toFile().listFiles()) {
                f.delete();
            }
            temp.toFile().delete();
        } catch (IOException e) {
            // nothing is left to do
        }
    }

    static void closeQuietly(AutoCloseable a) {
        try {
            if (a != null) {
                a.close();
            }
        } catch (Exception e) {
            // it is gone either way
        }
    }

    /** Takes a loopback network of its own, 127.x.y.0/24, so that no port of another process is in the way. */
    private String takeNetwork() throws IOException {
        Random any = new Random();
        for (int i = 0; i < 100; i++) {
            String net = "127." + (16 + any.nextInt(200)) + "." + any.nextInt(250) + ".";
            try {
                lock = new ServerSocket(2999, 1, InetAddress.getByName(net + "254"));
                return net;
            } catch (IOException e) {
                // another process has it
            }
        }
        throw new IOException("no free loopback network");
    }

    InetAddress address(int host) throws IOException {
        return InetAddress.getByName(network + host);
    }

    // ---- backends --------------------------------------------------------------------------------------

    public final class Backend {
        public final String id;
        public final int zone;
        public long startedAtMs;      // Unix time; 0 is long ago
        public String state = "in_service";
        public volatile boolean up = true;
        volatile ServerSocket server;
        final int host;
        final Set<Socket> open = new HashSet<>();
        final List<double[]> coldSends = new ArrayList<>();
        boolean fell;
        int taken;

        Backend(String id, int zone, long startedAtMs) throws IOException {
            this.id = id;
            this.zone = zone;
            this.startedAtMs = startedAtMs;
            this.host = nextBackend++;
            listen();
        }

        void listen() throws IOException {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(address(10 + host % 200), 3000 + host / 200), 200);
            ServerSocket mine = server;
            pool.execute(() -> {
                while (!closed) {
                    try {
                        Socket s = mine.accept();
                        pool.execute(() -> serve(s));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket s) {
            synchronized (open) {
                open.add(s);
            }
            try (s) {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    String head = readHead(in);
                    if (head == null) {
                        return;
                    }
                    String body = "";
                    if (head.startsWith("GET /_load")) {
                        body = String.format("queue=0,inflight=1,util=0.50,qps=5.0,latency_ms=%.1f", c.serviceMs);
                    } else if (!head.startsWith("GET /ping")) {
                        taken++;
                        Thread.sleep((long) c.serviceMs);
                        body = "done " + id;
                    }
                    s.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException | InterruptedException e) {
                // the connection is over
            } finally {
                synchronized (open) {
                    open.remove(s);
                }
            }
        }

        /** The process dies: connections are reset, new ones refused. Discovery hears of it later. */
        public void die() {
            up = false;
            fell = false;
            closeQuietly(server);
            synchronized (open) {
                open.forEach(s -> {
                    try {
                        s.setSoLinger(true, 0);
                    } catch (IOException e) {
                        // closed already
                    }
                    closeQuietly(s);
                });
            }
            log("backend " + id + " dies");
            after(between(c.noticeMinMs, c.noticeMaxMs), () -> list(this, "terminated", startedAtMs));
        }

        /** Starts again under its name: cold. */
        public void restart() {
            try {
                listen();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            up = true;
            long started = System.currentTimeMillis();
            log("backend " + id + " starts, cold");
            after(between(c.noticeMinMs, c.noticeMaxMs), () -> list(this, "in_service", started));
        }

        /**
         * Rule 4: what is sent within the span of a fall (and the slack of PROTOCOL.md) stays under the multiple of
         * what the backend can do, with three standard deviations for chance; two thirds of it from proxies that
         * were told of the start, or whose controller has known of it for the grace.
         */
        void onColdSend(boolean informed) {
            synchronized (coldSends) {
                double span = c.fallMs + SLACK_MS;
                coldSends.add(new double[] {now(), informed ? 1 : 0});
                coldSends.removeIf(send -> send[0] < now() - span);
                double knowing = coldSends.stream().mapToDouble(send -> send[1]).sum();
                double can = c.capacity() * warmth() * span / 1000;
                double most = c.fallMultiple * can + 3 * Math.sqrt(c.fallMultiple * can);
                if (up && !fell && coldSends.size() > most && knowing * 3 >= coldSends.size() * 2) {
                    fell = true;
                    broken("rule 4", String.format("%s falls over: %d requests in %.0f ms at warmth %.2f, at which it"
                            + " can do %.1f (%.1f times as many); %.0f of them from proxies that knew", id,
                            coldSends.size(), span, warmth(), can, coldSends.size() / can, knowing));
                }
            }
        }

        /** The fraction of its capacity that it has at least. */
        double warmth() {
            return startedAtMs == 0 ? 1 : Math.min(1, c.coldFrom + (1 - c.coldFrom)
                    * (System.currentTimeMillis() - startedAtMs) / c.coldMs);
        }

        boolean warm(long startedAt) {
            return startedAt == 0 || System.currentTimeMillis() - startedAt >= c.coldMs;
        }
    }

    /** Starts new backends; discovery lists them together. */
    public List<Backend> addBackends(int howMany, String name) throws IOException {
        List<Backend> fresh = new ArrayList<>();
        synchronized (this) {
            for (int i = 0; i < howMany; i++) {
                Backend b = new Backend(String.format("s-%s%04x", name, i), i % c.zones.length, System.currentTimeMillis());
                b.state = "terminated";
                backends.add(b);
                fresh.add(b);
            }
        }
        log(howMany + " new backends start, cold");
        after(between(c.noticeMinMs, c.noticeMaxMs), () -> list(fresh, "in_service"));
        return fresh;
    }

    public synchronized Backend addBackend(String id, int zone) throws IOException {
        Backend b = new Backend(id, zone, System.currentTimeMillis());
        b.state = "terminated";
        backends.add(b);
        log("backend " + id + " starts, cold");
        long started = b.startedAtMs;
        after(between(c.noticeMinMs, c.noticeMaxMs), () -> list(b, "in_service", started));
        return b;
    }

    /** Discovery changes an entry at all controllers, at each at its own time. */
    public void list(Backend b, String state, long startedAtMs) {
        synchronized (this) {
            b.state = state;
            b.startedAtMs = startedAtMs;
        }
        for (Controller k : controllers) {
            k.discovery.change(b, state, startedAtMs);
        }
    }

    /** Discovery changes several entries in one object. */
    public void list(List<Backend> which, String state) {
        synchronized (this) {
            which.forEach(b -> b.state = state);
        }
        for (Controller k : controllers) {
            k.discovery.change(which, state);
        }
    }

    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            out.write(b);
            matched = b == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : b == '\r' ? 1 : 0;
        }
        return out.toString(StandardCharsets.US_ASCII);
    }

    // ---- discovery: the agent on a controller's machine --------------------------------------------------

    /** What a controller has been told of a backend. */
    record Told(String state, long startedAtMs, double at) { }

    public final class Discovery {
        final Controller owner;
        volatile ServerSocket server;
        int port = 8499;
        long generation = 1;
        final LinkedHashMap<Backend, Long> changedAt = new LinkedHashMap<>();
        final HashMap<Backend, Told> entries = new HashMap<>();
        final List<Watch> watches = new ArrayList<>();

        Discovery(Controller owner) throws IOException {
            this.owner = owner;
            for (Backend b : backends) {
                changedAt.put(b, 1L);
                entries.put(b, new Told(b.state, b.startedAtMs, now()));
            }
            open();
        }

        void open() throws IOException {
            port++;
            server = new ServerSocket(port, 50, address(5 + owner.number));
            ServerSocket mine = server;
            pool.execute(() -> {
                while (!closed) {
                    try {
                        Socket s = mine.accept();
                        pool.execute(() -> serve(s));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        final class Watch {
            Socket socket;
            OutputStream out;

            void send(String line) {
                try {
                    byte[] bytes = (line + "\n").getBytes(StandardCharsets.US_ASCII);
                    ByteArrayOutputStream chunk = new ByteArrayOutputStream();
                    chunk.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    chunk.write(bytes);
                    chunk.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                    out.write(chunk.toByteArray());
                    out.flush();
                } catch (IOException e) {
                    closeQuietly(socket);
                    synchronized (Discovery.this) {
                        watches.remove(this);
                    }
                }
            }
        }

        private void serve(Socket s) {
            try {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                String head = readHead(in);
                if (head == null) {
                    s.close();
                    return;
                }
                String target = head.split(" ")[1];
                OutputStream out = s.getOutputStream();
                if (!target.contains("follow=1")) {
                    byte[] body = object(true, new ArrayList<>(entries.keySet())).getBytes(StandardCharsets.US_ASCII);
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    out.write(body);
                    s.close();
                    return;
                }
                long since = target.contains("since=") ? Long.parseLong(target.replaceAll(".*since=(\\d+).*", "$1")) : 0;
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                Watch watch = new Watch();
                watch.socket = s;
                watch.out = out;
                synchronized (this) {
                    boolean whole = since < 1 || since > generation;
                    List<Backend> news = new ArrayList<>();
                    changedAt.forEach((b, g) -> {
                        if (whole ? !entries.get(b).state().equals("terminated") : g > since) {
                            news.add(b);
                        }
                    });
                    if (whole || !news.isEmpty()) {
                        watch.send(object(whole, news));
                    }
                    watches.add(watch);
                    owner.tellAll(this);
                }
                while (in.read() >= 0) {
                    // the watcher says nothing more
                }
            } catch (IOException e) {
                // the connection is over
            } finally {
                closeQuietly(s);
            }
        }

        synchronized String object(boolean whole, List<Backend> which) {
            StringBuilder text = new StringBuilder("{\"generation\":" + generation + ",\"reset\":" + whole
                    + ",\"instances\":[");
            for (Backend b : which) {
                Told e = entries.get(b);
                text.append(text.charAt(text.length() - 1) == '[' ? "" : ",").append(String.format(
                        "{\"instanceId\":\"%s\",\"hostPort\":\"%s%d:%d\",\"zone\":\"%s\",\"machineType\":\"%s\","
                        + "\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":%d}", b.id, network, 10 + b.host % 200, 3000 + b.host / 200,
                        c.zones[b.zone], c.kinds[0], b.zone, e.state(), e.startedAtMs()));
            }
            return text + "]}";
        }

        synchronized void change(List<Backend> which, String state) {
            generation++;
            for (Backend b : which) {
                changedAt.remove(b);
                changedAt.put(b, generation);
                entries.put(b, new Told(state, b.startedAtMs, now()));
            }
            String line = object(false, which);
            List.copyOf(watches).forEach(w -> w.send(line));
            log("discovery tells n" + owner.number + ": " + which.size() + " " + state);
            if (!watches.isEmpty()) {
                owner.tellAll(this);
            }
        }

        synchronized void change(Backend b, String state, long startedAtMs) {
            generation++;
            changedAt.remove(b);
            changedAt.put(b, generation);
            entries.put(b, new Told(state, startedAtMs, now()));
            String line = object(false, List.of(b));
            List.copyOf(watches).forEach(w -> w.send(line));
            log("discovery tells n" + owner.number + ": " + b.id + " " + state
                    + (startedAtMs == 0 ? "" : " started " + (System.currentTimeMillis() - startedAtMs) + " ms ago"));
            if (!watches.isEmpty()) {
                owner.tellAll(this);
            }
        }

        synchronized void beat() {
            List.copyOf(watches).forEach(w -> w.send(""));
        }

        /** All watches break, as connections do. */
        public synchronized void breakWatches() {
            List.copyOf(watches).forEach(w -> closeQuietly(w.socket));
            watches.clear();
        }

        /** Discovery is out of reach: the agent tells nothing and takes no connection, until it is back. */
        public synchronized void down(boolean on) {
            try {
                if (on) {
                    closeQuietly(server);
                    breakWatches();
                } else {
                    port--;
                    open();
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        /** The watches fall silent: nothing more is written to them. */
        public synchronized void silence() {
            watches.clear();
        }

        /** Moves to a new address: the old one accepts no more and closes what is open after 1.5 s. */
        public synchronized void move() throws IOException {
            closeQuietly(server);
            List<Watch> old = List.copyOf(watches);
            open();
            after(1500, () -> {
                synchronized (this) {
                    old.forEach(w -> closeQuietly(w.socket));
                    watches.removeAll(old);
                }
            });
        }
    }

    // ---- controllers -----------------------------------------------------------------------------------

    public final class Controller {
        public final int number;
        public final int zone;
        public final Discovery discovery;
        public volatile Process process;
        volatile Process ended;      // the process that was last ended on purpose
        public volatile double firstAnswerAt = -1;
        /** What this process has been told; known from its configuration at first. */
        final HashMap<Backend, Told> told = new HashMap<>();
        double waitingLines;
        double channelAt;
        public volatile double channelPace = 1;
        double mostWaiting;
        String known = "{\"generation\":0,\"reset\":true,\"instances\":[]}";
        final Map<Integer, Socket> collectors = new HashMap<>();
        volatile int life;

        Controller(int number, int zone) throws IOException {
            this.number = number;
            this.zone = zone;
            this.discovery = new Discovery(this);
            synchronized (discovery) {
                known = discovery.object(true, new ArrayList<>(discovery.entries.keySet()));
            }
            timer.scheduleAtFixedRate(guard(discovery::beat), 2000, 2000, TimeUnit.MILLISECONDS);
        }

        synchronized void tellAll(Discovery d) {
            d.entries.forEach((b, e) -> {
                Told old = told.get(b);
                if (old == null || !old.state().equals(e.state()) || old.startedAtMs() != e.startedAtMs()) {
                    told.put(b, new Told(e.state(), e.startedAtMs(), now()));
                }
            });
            List<Backend> listed = new ArrayList<>();
            d.entries.forEach((b, e) -> {
                if (!e.state().equals("terminated")) {
                    listed.add(b);
                }
            });
            known = d.object(true, listed);
        }

        String listen() {
            return network + (1 + number) + ":3000";
        }

        String discovery() {
            return network + (5 + number) + ":" + discovery.port;
        }

        Socket connect() throws IOException {
            return new Socket(address(1 + number), 3000);
        }

        public Path config() {
            return temp.resolve("n" + number + ".json");
        }

        public void writeConfig() throws IOException {
            Path fresh = temp.resolve("n" + number + ".new");
            Files.writeString(fresh, String.format("{\"name\":\"n%d\",\"listen\":\"%s\","
                    + "\"discovery\":\"%s\",\"seed\":\"%016x\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                    + "\"sockets\":1024},\"known\":%s,\"settings\":%s}", number, listen(), discovery(),
                    random.nextLong(), known, settings(number, zone)));
            Files.move(fresh, config(), java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        /** Starts the process, and waits until it answers. */
        public void start() {
            try {
                writeConfig();
                synchronized (this) {
                    told.clear();
                    waitingLines = 0;
                }
                life++;
                ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand).directory(root.toFile());
                builder.environment().put("GW_NAME", "n" + number);
                builder.environment().put("GW_LISTEN", listen());
                builder.environment().put("GW_DISCOVERY", discovery());
                builder.environment().put("GW_CONFIG", config().toString());
                builder.environment().put("TMPDIR", temp.toString());
                builder.redirectErrorStream(true);
                process = builder.start();
                Process mine = process;
                log("controller n" + number + " starts, process " + mine.pid());
                pool.execute(() -> {
                    try (var lines = mine.inputReader()) {
                        for (String line; (line = lines.readLine()) != null;) {
                            if (!line.startsWith("stats:")) {
                                log("  n" + number + "| " + line);
                            }
                            if (line.startsWith("fault:")) {
                                count("fault lines");
                            }
                        }
                    } catch (IOException e) {
                        // it is over
                    }
                    if (mine != ended && !closed) {
                        broken("crash", "controller n" + number + " ended by itself");
                    }
                });
                double until = now() + 30_000;
                while (!answers()) {
                    if (now() > until || !mine.isAlive()) {
                        throw new IllegalStateException("controller n" + number + " is not ready");
                    }
                    sleep(20);
                }
                firstAnswerAt = now();
                log("controller n" + number + " answers");
                for (int z = 0; z < c.zones.length; z++) {
                    collect(z);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        private boolean answers() {
            try (Socket s = connect()) {
                s.setSoTimeout(2000);
                s.getOutputStream().write(encode("probe"));
                List<String> answer = readMessage(new BufferedInputStream(s.getInputStream()));
                return answer.get(0).equals("alive");
            } catch (IOException e) {
                return false;
            }
        }

        private void collect(int z) throws IOException {
            Socket s = connect();
            s.setTcpNoDelay(true);
            s.getOutputStream().write(encode("agent", "locality", c.zones[z]));
            synchronized (collectors) {
                collectors.put(z, s);
            }
        }

        private void ended() {
            synchronized (collectors) {
                collectors.values().forEach(World::closeQuietly);
                collectors.clear();
            }
            firstAnswerAt = -1;
        }

        /** A planned restart begins: SIGTERM, and SIGKILL no sooner than 0.7 s later. */
        public void terminate() {
            ended = process;
            log("SIGTERM to controller n" + number);
            process.destroy();
            try {
                if (!process.waitFor(700, TimeUnit.MILLISECONDS)) {
                    process.destroyForcibly().waitFor();
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            ended();
        }

        public void kill() {
            ended = process;
            log("SIGKILL to controller n" + number);
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            ended();
        }

        /** A new configuration, in which discovery has moved, and SIGHUP. */
        public void reload() throws IOException, InterruptedException {
            discovery.move();
            writeConfig();
            log("SIGHUP to controller n" + number);
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        }

        /** A message enters the channel; returns when it has left. */
        synchronized double enter(int lines) {
            double pace = c.linesPerSecond * channelPace / 1000;
            waitingLines = Math.max(0, waitingLines - (now() - channelAt) * pace) + lines;
            channelAt = now();
            double waiting = waitingLines;
            mostWaiting = Math.max(mostWaiting, waiting);
            if (waiting > c.mostWaiting) {
                broken("rule 5", String.format("%.0f lines wait in the channel of n%d", waiting, number));
            }
            return now() + waiting / pace;
        }
    }

    // ---- proxies and their clients -----------------------------------------------------------------------

    public final class Proxy {
        public final int number;
        public final int zone;
        final List<LinkedHashMap<String, Double>> tables = new ArrayList<>();
        final double[] levels = new double[c.classes.length];
        final double[] tokens = new double[c.classes.length];
        final double[] tokensAt = new double[c.classes.length];
        final int[] policies = new int[c.classes.length];
        public final Set<String> ejected = new LinkedHashSet<>();
        boolean cold = true;
        volatile Controller controller;     // the one whose stream is up
        volatile Controller dialled;
        volatile Socket stream;
        volatile double joinedAt;
        volatile boolean cutOff;            // reaches no controller
        public volatile int preferred = -1;
        final HashMap<String, Integer> inFlight = new HashMap<>();
        final HashMap<String, Integer> failures = new HashMap<>();
        final HashMap<String, Double> shunnedUntil = new HashMap<>();
        final int[] arrived = new int[c.classes.length];
        final int[] unserved = new int[c.classes.length];
        final TreeMap<String, double[]> met = new TreeMap<>();  // tries, failed, latency sum
        final double[] bareSince = new double[c.classes.length];
        final java.util.ArrayDeque<Runnable> onTheWay = new java.util.ArrayDeque<>();
        double lastApply;
        volatile double lastEntered;
        final List<Double> messageTimes = new ArrayList<>();

        Proxy(int number, int zone) {
            this.number = number;
            this.zone = zone;
            boot();
        }

        /** Starts with a table of up to 5 listed backends of its zone. */
        void boot() {
            tables.clear();
            ejected.clear();
            List<Backend> own = new ArrayList<>();
            for (Backend b : backends) {
                if (b.zone == zone && b.state.equals("in_service")) {
                    own.add(b);
                }
            }
            java.util.Collections.shuffle(own, random);
            for (int k = 0; k < c.classes.length; k++) {
                LinkedHashMap<String, Double> table = new LinkedHashMap<>();
                own.subList(0, Math.min(5, own.size())).forEach(b -> table.put(b.id, 1.0));
                tables.add(table);
                levels[k] = Double.POSITIVE_INFINITY;
                policies[k] = 1;
                bareSince[k] = -1;
            }
            cold = true;
        }

        private volatile int dialling;

        private void dial() {
            int mine = ++dialling;
            pool.execute(() -> {
                while (!closed && mine == dialling) {
                    try {
                        session(mine);
                    } catch (IOException | RuntimeException e) {
                        if (!(e instanceof IOException)) {
                            log("stand-in fault: proxy " + number + ": " + e);
                            count("stand-in faults");
                        }
                    }
                    try {
                        Thread.sleep((long) between(c.redialMinMs, c.redialMaxMs));
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
        }

        public void run() {
            dial();
            for (int k = 0; k < c.classes.length; k++) {
                int cls = k;
                double every = 1000 * c.classes.length / c.requestsPerProxy;
                after(between(0, every), new Runnable() {
                    @Override
                    public void run() {
                        request(cls);
                        after(between(0.5, 1.5) * every, this);
                    }
                });
            }
        }

        private void session(int mine) throws IOException {
            if (cutOff) {
                return;
            }
            List<Controller> order = new ArrayList<>(controllers);
            synchronized (random) {
                java.util.Collections.shuffle(order, random);
            }
            order.removeIf(k -> k.firstAnswerAt < 0); // refused: another one
            if (order.isEmpty()) {
                return;
            }
            Controller target = order.get(0);
            if (preferred >= 0 && controllers.get(preferred).firstAnswerAt >= 0) {
                target = controllers.get(preferred);
            }
            int life = target.life;
            try (Socket s = target.connect()) {
                s.setTcpNoDelay(true);
                stream = s;
                s.getOutputStream().write(encode("hello", "node", "" + number, "locality", c.zones[zone], "w",
                        String.format("%.1f", c.requestsPerProxy), "cold", cold ? "1" : "0"));
                synchronized (this) {
                    messageTimes.clear();
                    joinedAt = now();
                    lastApply = 0;
                    controller = target;
                    for (int k = 0; k < bareSince.length; k++) {
                        bareSince[k] = -1;
                    }
                }
                log("proxy " + number + " joins n" + target.number + " shut out " + ejected);
                InputStream in = new BufferedInputStream(s.getInputStream());
                List<Map<String, String>> parts = new ArrayList<>();
                while (true) {
                    List<String> message = readMessage(in);
                    if (stream != s) {
                        Thread.sleep(20_000); // silent: it stays open for so long
                        return;
                    }
                    if (!message.get(0).equals("push")) {
                        log("proxy " + number + " reads " + message);
                        throw new IOException("unusable: " + message.get(0));
                    }
                    Map<String, String> fields = new LinkedHashMap<>();
                    for (int i = 1; i + 1 < message.size(); i += 2) {
                        fields.put(message.get(i), message.get(i + 1));
                    }
                    check(fields);
                    parts.add(fields);
                    if (!"1".equals(fields.get("continued"))) {
                        receive(target, s, List.copyOf(parts));
                        parts.clear();
                    }
                }
            } catch (InterruptedException e) {
                // the day is over
            } finally {
                if (target.life == life && target.process.isAlive() && !closed) {
                    log("proxy " + number + " leaves n" + target.number);
                }
                synchronized (this) {
                    if (mine == dialling) {
                        controller = null;
                        stream = null;
                    }
                }
            }
        }

        /** Throws if a part is anything that a proxy can't use. */
        private void check(Map<String, String> fields) throws IOException {
            for (int cls : classesOf(fields)) {
                if (cls < 0) {
                    count("pushes with an unknown class");
                    log("proxy " + number + " can't use " + fields);
                    throw new IOException("unknown class: " + fields.get("routes"));
                }
            }
        }

        private int[] classesOf(Map<String, String> fields) {
            if (!fields.containsKey("routes")) {
                int[] all = new int[c.classes.length];
                for (int i = 0; i < all.length; i++) {
                    all[i] = i;
                }
                return all;
            }
            String[] names = fields.get("routes").split("\\+");
            int[] which = new int[names.length];
            for (int i = 0; i < names.length; i++) {
                which[i] = List.of(c.classes).indexOf(names[i]);
            }
            return which;
        }

        private void receive(Controller from, Socket s, List<Map<String, String>> parts) {
            double lines = c.perMessage;
            for (Map<String, String> p : parts) {
                for (String f : List.of("endpoints", "eject", "restore")) {
                    lines += p.containsKey(f) ? p.get(f).split(",").length : 0;
                }
                lines += (p.containsKey("full") ? 1 : 0) + (p.containsKey("admit") ? 1 : 0)
                        + (p.containsKey("nonce_out") ? 1 : 0);
            }
            double entered = now();
            lastEntered = entered;
            synchronized (this) {
                messageTimes.add(entered);
                messageTimes.removeIf(t -> t < entered - 10_000);
                if (c.messagesMost > 0 && messageTimes.size() > c.messagesMost) {
                    broken("rule 5", messageTimes.size() + " messages to proxy " + number + " in 10 s");
                }
            }
            double leaves = from.enter((int) lines);
            double applies;
            synchronized (this) {
                applies = Math.max(lastApply, leaves + Math.min(c.lateMostMs, c.lateMs * between(0.5, 1.5)));
                lastApply = applies;
            }
            log("proxy " + number + " < n" + from.number + " " + parts + " " + (int) lines + " lines");
            synchronized (onTheWay) {
                onTheWay.add(() -> apply(s, parts, applies - entered));
            }
            after(applies - now(), () -> {
                synchronized (onTheWay) {
                    onTheWay.poll().run(); // messages reach a proxy in order
                }
            });
        }

        private void apply(Socket s, List<Map<String, String>> parts, double took) {
            synchronized (this) {
                if (stream != s) {
                    return; // messages headed to a broken stream are lost
                }
                cold = false;
                if (!c.keepsShutOut && parts.get(0).containsKey("full")) {
                    ejected.clear();
                }
                for (Map<String, String> p : parts) {
                    for (int cls : classesOf(p)) {
                        if (p.containsKey("full")) {
                            tables.get(cls).clear();
                            levels[cls] = Double.POSITIVE_INFINITY;
                            policies[cls] = 1;
                        }
                        if (p.containsKey("endpoints")) {
                            for (String line : p.get("endpoints").split(",")) {
                                String id = line.substring(0, line.indexOf(':'));
                                double weight = Double.parseDouble(line.substring(line.indexOf(':') + 1));
                                if (weight > 0) {
                                    tables.get(cls).put(id, weight);
                                } else {
                                    tables.get(cls).remove(id);
                                }
                            }
                        }
                        if (p.containsKey("admit")) {
                            levels[cls] = Double.parseDouble(p.get("admit"));
                            policies[cls] = Integer.parseInt(p.get("policy"));
                        }
                    }
                    if (p.containsKey("eject")) {
                        ejected.addAll(List.of(p.get("eject").split(",")));
                    }
                    if (p.containsKey("restore")) {
                        ejected.removeAll(List.of(p.get("restore").split(",")));
                    }
                }
            }
            for (Map<String, String> p : parts) {
                if (p.containsKey("nonce_out") && !spoilsAcks) {
                    send(s, encode("ack", "node", "" + number, "nonce", p.get("nonce_out"), "latency",
                            String.format("%.1f", took)));
                }
            }
        }

        void send(Socket s, byte[] bytes) {
            try {
                synchronized (s) {
                    s.getOutputStream().write(bytes);
                }
            } catch (IOException e) {
                closeQuietly(s);
            }
        }

        /** The stream breaks; the proxy notices at once and dials again. */
        public void breakStream() {
            Socket s = stream;
            log("stream of proxy " + number + " breaks");
            closeQuietly(s);
        }

        public volatile boolean spoilsAcks;

        /** The stream falls silent: it stays open, the proxy notices and dials again. */
        public void silence() {
            log("stream of proxy " + number + " falls silent");
            synchronized (this) {
                stream = null;
                controller = null;
            }
            dial();
        }

        /** Reaches no controller from now on, or does again. */
        public void cut(boolean on) {
            cutOff = on;
            if (on) {
                breakStream();
            }
        }

        synchronized List<String> pickable(int cls) {
            List<String> ids = new ArrayList<>();
            tables.get(cls).keySet().forEach(id -> {
                if (!ejected.contains(id)) {
                    ids.add(id);
                }
            });
            return ids;
        }

        private synchronized String pick(int cls, Set<String> tried) {
            List<String> ids = pickable(cls);
            ids.removeAll(tried);
            List<String> good = new ArrayList<>();
            ids.forEach(id -> {
                if (shunnedUntil.getOrDefault(id, 0.0) < now()) {
                    good.add(id);
                }
            });
            List<String> from = good.isEmpty() ? ids : good;
            if (from.isEmpty()) {
                return null;
            }
            String a = draw(from, cls);
            String b = draw(from, cls);
            return inFlight.getOrDefault(b, 0) < inFlight.getOrDefault(a, 0) ? b : a;
        }

        private String draw(List<String> from, int cls) {
            double sum = from.stream().mapToDouble(id -> tables.get(cls).get(id)).sum();
            double at = between(0, sum);
            for (String id : from) {
                at -= tables.get(cls).get(id);
                if (at <= 0) {
                    return id;
                }
            }
            return from.get(from.size() - 1);
        }

        /** The process is killed and starts again at once: it holds its standing table alone. */
        public void reboot() {
            log("proxy " + number + " is killed and starts again");
            synchronized (this) {
                boot();
            }
            closeQuietly(stream);
        }

        private void request(int cls) {
            if (closed) {
                return;
            }
            synchronized (this) {
                arrived[cls]++;
                if (!Double.isInfinite(levels[cls])) {
                    tokens[cls] = Math.min(Math.max(1, levels[cls]),
                            tokens[cls] + levels[cls] * (now() - tokensAt[cls]) / 1000);
                    tokensAt[cls] = now();
                    if (tokens[cls] < 1) {
                        count("refused by its level: " + c.classes[cls]);
                        return;
                    }
                    tokens[cls]--;
                }
            }
            pool.execute(guard(() -> forward(cls)));
        }

        private void forward(int cls) {
            Set<String> tried = new HashSet<>();
            for (int attempt = 0; attempt < 2; attempt++) {
                String id = pick(cls, tried);
                if (id == null) {
                    if (attempt == 0) {
                        count("refused, no backend: " + c.classes[cls]);
                        log("proxy " + number + " has no backend for " + c.classes[cls]);
                    }
                    synchronized (this) {
                        unserved[cls]++;
                    }
                    return;
                }
                tried.add(id);
                Backend b = backend(id);
                onSent(b, cls);
                double sent = now();
                boolean neverRan = false;
                boolean good = false;
                synchronized (this) {
                    inFlight.merge(id, 1, Integer::sum);
                }
                try (Socket s = new Socket()) {
                    try {
                        s.connect(new InetSocketAddress(address(10 + b.host % 200), 3000 + b.host / 200), 250);
                    } catch (IOException e) {
                        neverRan = true;
                        throw e;
                    }
                    s.setSoTimeout(3000);
                    s.getOutputStream().write(("POST /" + c.classes[cls] + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    good = readHead(s.getInputStream()) != null;
                } catch (IOException e) {
                    good = false;
                }
                synchronized (this) {
                    inFlight.merge(id, -1, Integer::sum);
                    double[] sums = met.computeIfAbsent(id, x -> new double[3]);
                    sums[0]++;
                    sums[1] += good ? 0 : 1;
                    sums[2] += good ? now() - sent : 0;
                    failures.put(id, good ? 0 : failures.getOrDefault(id, 0) + 1);
                    if (c.ejects > 0 && failures.get(id) >= c.ejects) {
                        failures.put(id, 0);
                        shunnedUntil.put(id, now() + between(2100, 7100));
                    }
                }
                if (good) {
                    count("answered: " + c.classes[cls]);
                    return;
                }
                if (!neverRan || policies[cls] != 1) {
                    break;
                }
            }
            count("failed: " + c.classes[cls]);
            synchronized (this) {
                unserved[cls]++;
            }
        }

        /** Rule 3: nothing is sent to what the controller in charge was told of as draining or gone. */
        private void onSent(Backend b, int cls) {
            Controller k = controller;
            if (k == null || k.firstAnswerAt < 0) {
                return;
            }
            Told told;
            synchronized (k) {
                told = k.told.get(b);
            }
            if (told == null) {
                return;
            }
            if (told.state().equals("in_service")) {
                if (b.warmth() < 1) {
                    boolean informed = told.startedAtMs() == b.startedAtMs && (lastEntered > told.at()
                            || now() > Math.max(told.at(), joinedAt) + c.graceMs + SLACK_MS);
                    b.onColdSend(informed);
                }
                return;
            }
            double from = Math.max(Math.max(told.at(), joinedAt), k.firstAnswerAt + 1000);
            if (now() > from + c.graceMs + SLACK_MS) {
                broken("rule 3", String.format("proxy %d sends to %s %.0f ms after n%d was told %s", number, b.id,
                        now() - from, k.number, told.state()));
            }
        }
    }

    public Backend backend(String id) {
        synchronized (this) {
            for (Backend b : backends) {
                if (b.id.equals(id)) {
                    return b;
                }
            }
        }
        throw new IllegalStateException("no backend " + id);
    }

    /** A bad client: sends what can't be read, half a message or nothing. */
    public void stranger(Controller k, int kind) {
        pool.execute(guard(() -> {
            try (Socket s = k.connect()) {
                s.setSoTimeout(3000);
                String text = switch (kind % 5) {
                    case 0 -> "";
                    case 1 -> "GET / HTTP/1.1\r\n\r\n";
                    case 2 -> "*3\r\n$5\r\nhello\r\n$4\r\nno";
                    case 3 -> "*999999\r\n$9999999\r\n";
                    default -> new String(encode("hello", "node", "9999", "locality", "x", "w", "1", "cold", "1"),
                            StandardCharsets.US_ASCII);
                };
                s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
                double from = now();
                while (s.getInputStream().read() >= 0) {
                    // an error, or the end
                }
            } catch (java.net.SocketTimeoutException e) {
                count("strangers not closed in 3 s");
            } catch (IOException e) {
                // a reset is a close
            }
        }));
    }

    // ---- rule 1 and reports ------------------------------------------------------------------------------

    private void checkRules() {
        for (Proxy p : proxies) {
            Controller k = p.controller;
            for (int cls = 0; cls < c.classes.length; cls++) {
                boolean bare = false;
                if (k != null && k.firstAnswerAt >= 0 && now() > k.firstAnswerAt + 1000 && p.pickable(cls).isEmpty()) {
                    int which = cls;
                    synchronized (k) {
                        bare = k.told.entrySet().stream().anyMatch(e -> e.getValue().state().equals("in_service")
                                && e.getKey().warm(e.getValue().startedAtMs())
                                && (!c.homeOnly[which] || e.getKey().zone == p.zone));
                    }
                }
                synchronized (p) {
                    if (!bare) {
                        p.bareSince[cls] = -1;
                    } else if (p.bareSince[cls] < 0) {
                        p.bareSince[cls] = now();
                    } else if (now() - p.bareSince[cls] > c.blackholeMs + SLACK_MS) {
                        broken("rule 1", String.format("proxy %d has had no backend to pick for %s for %.0f ms; table %s,"
                                + " shut out %s", p.number, c.classes[cls], now() - p.bareSince[cls], p.tables.get(cls),
                                p.ejected));
                        p.bareSince[cls] = now();
                    }
                }
            }
        }
    }

    private void reportAll() {
        TreeMap<String, double[]> sums = new TreeMap<>();
        for (Proxy p : proxies) {
            Controller k = p.controller;
            synchronized (p) {
                p.met.forEach((id, m) -> {
                    if (k != null) {
                        double[] sum = sums.computeIfAbsent(k.number + " " + p.zone + " " + id, x -> new double[3]);
                        for (int i = 0; i < 3; i++) {
                            sum[i] += m[i];
                        }
                    }
                });
                p.met.clear();
                for (int cls = 0; cls < c.classes.length; cls++) {
                    Socket s = p.stream;
                    if (s != null && p.arrived[cls] > 0) {
                        byte[] line = encode("demand", "node", "" + p.number, "route", c.classes[cls], "total",
                                "" + p.arrived[cls], "errors", "" + p.unserved[cls], "interval", "1000.0");
                        after(700, () -> {
                            if (p.stream == s) {
                                p.send(s, line);
                            }
                        });
                    }
                    p.arrived[cls] = 0;
                    p.unserved[cls] = 0;
                }
            }
        }
        sums.forEach((key, m) -> {
            String[] parts = key.split(" ");
            Controller k = controllers.get(Integer.parseInt(parts[0]));
            List<String> line = new ArrayList<>(List.of("outcomes", "locality", c.zones[Integer.parseInt(parts[1])],
                    "endpoint", parts[2], "total", "" + (int) m[0], "errors", "" + (int) m[1]));
            if (m[0] > m[1]) {
                line.addAll(List.of("rtt", String.format("%.1f", m[2] / (m[0] - m[1]))));
            }
            line.addAll(List.of("interval", "1000.0"));
            byte[] bytes = encode(line.toArray(new String[0]));
            after(700, () -> {
                Socket s;
                synchronized (k.collectors) {
                    s = k.collectors.get(Integer.parseInt(parts[1]));
                }
                if (s != null) {
                    try {
                        synchronized (s) {
                            s.getOutputStream().write(bytes);
                        }
                    } catch (IOException e) {
                        // the controller is gone
                    }
                }
            });
        });
    }

    // ---- the wire ----------------------------------------------------------------------------------------

    static byte[] encode(String... parts) {
        StringBuilder text = new StringBuilder("*" + parts.length + "\r\n");
        for (String p : parts) {
            text.append('$').append(p.length()).append("\r\n").append(p).append("\r\n");
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    static List<String> readMessage(InputStream in) throws IOException {
        int n = length(in, '*');
        List<String> parts = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            int size = length(in, '$');
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size || in.read() != '\r' || in.read() != '\n') {
                throw new EOFException();
            }
            parts.add(new String(bytes, StandardCharsets.UTF_8));
        }
        return parts;
    }

    private static int length(InputStream in, char type) throws IOException {
        int b = in.read();
        if (b < 0) {
            throw new EOFException();
        }
        if (b != type) {
            throw new IOException("unreadable");
        }
        int n = 0;
        while ((b = in.read()) != '\r') {
            if (b < '0' || b > '9') {
                throw new IOException("unreadable");
            }
            n = n * 10 + b - '0';
        }
        in.read();
        return n;
    }

    private String settings(int rank, int zone) {
        StringBuilder classes = new StringBuilder();
        StringBuilder home = new StringBuilder();
        StringBuilder mutating = new StringBuilder();
        for (int i = 0; i < c.classes.length; i++) {
            boolean first = i == 0;
            classes.append(first ? "" : ",").append(String.format("{\"aim_ns\":%.0f,\"credit\":%.1f,"
                    + "\"deadline_ns\":%.0f,\"effect\":\"%s\",\"key_scope\":\"all\",\"late_worth\":0.2,"
                    + "\"name\":\"%s\",\"window_ns\":5000000000}", c.aimMs[i] * 1e6, c.credits[i],
                    c.deadlineMs[i] * 1e6, c.effects[i], c.classes[i]));
            home.append(first ? "" : ",").append(c.homeOnly[i]);
            mutating.append(first ? "" : ",").append(!c.effects[i].equals("retryable"));
        }
        return String.format("{\"balancers\":%d,\"classes\":[%s],\"dcs\":[\"%s\"],\"extra\":{\"admission\":\"per_second\","
                + "\"base_mode\":1,\"blackhole_ns\":%.0f,\"bootstrap\":5,\"choice\":\"p2c\",\"egress_per_s\":%.1f,"
                + "\"ejects\":%d,\"hears_per_s\":120.0,\"home_only\":[%s],\"interval_ns\":1000000000,"
                + "\"keeps_writing_ns\":2500000000,\"key_ranges\":0,\"late_ns\":%.0f,\"line_fee\":0.04,"
                + "\"lingers_ns\":3020000000,\"local_first\":false,\"messages_most\":%d,\"most_waiting\":%.1f,"
                + "\"mutating\":[%s],\"one_owner\":false,\"park_ns\":300000000,\"per_message\":%.1f,\"proxy_count\":%d,"
                + "\"reassign_price\":0.01,\"sockets_min\":179.0,\"transit_max_ns\":%.0f,\"try_aims\":1.2,"
                + "\"update_window_ns\":10000000000,\"warm_keys\":false},"
                + "\"goal\":{\"whole\":0.5,\"worst_class\":0.3,\"worst_tenant\":0.0,\"worst_window\":0.2},"
                + "\"kinds\":[\"%s\"],\"limits\":{\"conn_idle_ns\":15000000000,"
                + "\"connect_timeout_ns\":250000000,\"cpu_us_per_s\":375000,\"may_tell\":false,\"multiplex\":100,"
                + "\"probes\":true},\"penalties\":{\"connection\":0.02,\"cross_zone\":%.3f,\"handshake\":0.02,"
                + "\"late_fail\":0.05,\"moves\":0.0,\"peer\":0.0,\"probe\":0.02,\"registry_mode\":0.0,\"waste\":0.05},"
                + "\"rank\":%d,\"registry_mode\":\"%s\",\"report\":{\"columns\":[\"%s\"],\"via\":\"on_probe\"},"
                + "\"rules\":{\"cold_from\":%.2f,\"cold_ns\":%.0f,\"drain_grace_ns\":%.0f,\"fall_ns\":%.0f,"
                + "\"must_ask_in_ns\":10000000000,\"overload_factor\":%.1f},\"service_type\":\"control\","
                + "\"tick_ns\":5000000,\"weights\":\"nominal\",\"worth_by\":\"request\",\"zone\":%d}",
                c.controllers, classes, String.join("\",\"", c.zones), c.blackholeMs * 1e6, c.linesPerSecond, c.ejects,
                home, c.lateMs * 1e6, c.messagesMost, c.mostWaiting, mutating, c.perMessage, c.proxies,
                c.lateMostMs * 1e6, String.join("\",\"", c.kinds), c.crossPrice, rank, c.registryMode,
                String.join("\",\"", c.columns), c.coldFrom, c.coldMs * 1e6, c.graceMs * 1e6, c.fallMs * 1e6,
                c.fallMultiple, zone);
    }
}
