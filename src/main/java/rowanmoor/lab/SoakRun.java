package rowanmoor.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rowanmoor.http.Message;
import rowanmoor.http.MessageLimits;
import rowanmoor.http.ServerConnection;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;

/**
 * One seed of a soak test: a real proxy process on loopback is stopped, killed and restarted at the same
 * address while clients keep sending requests; the seed decides when and how. The result is checked by what
 * clients and backends observed.
 */
final class SoakRun implements SoakClient.Listener {

    /** How a proxy process is stopped; {@link #KILL_INSTEAD_OF_STOP} is a mutant that the run must detect. */
    enum StopMode { STOP, STOP_THEN_KILL, KILL_INSTEAD_OF_STOP }

    /**
     * The result of a seed.
     *
     * @param failures descriptions of broken rules; empty if the seed passed
     * @param startupMillis for each start, milliseconds until the proxy listens
     */
    record Result(long seed, int answered, int refused, int excused, List<Long> startupMillis,
            List<String> failures) { }

    static final String SAFE_PATH = "/preview";
    static final String UNSAFE_PATH = "/approve";
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int BACKENDS = 3;
    private static final int CLIENTS = 24;
    private static final int ROUNDS = 3;
    private static final int IDLE_CONNECTIONS = 60;
    private static final int STOP_TIMEOUT_SECONDS = 4;
    private static final int EXIT_TIMEOUT_SECONDS = STOP_TIMEOUT_SECONDS + 2;
    private static final int START_TIMEOUT_SECONDS = 30;
    private static final int KILL_AFTER_MS = 700;
    private static final int CLIENT_TIMEOUT_SECONDS = 30;
    private static final int MAX_LISTED = 5;
    private static final Pattern LISTENING_LINE = Pattern.compile("proxy 0 listens on [^/]*/[^:]*:(\\d+)");
    private static final String SETTINGS = """
            site {
                zones "a"
                kinds "k"
                class "preview" { prefix "/preview"; aim "600ms"; deadline "5s"; worth 1; effect "safe" }
                class "approve" {
                    prefix "/approve"; aim "900ms"; deadline "5s"; worth 2; effect "unsafe"; write #true
                }
                choice "round"
                retry "once"
                proxies 1
                period "1s"
                intake "100/s"
                rules {
                    bare "3s"; drain-grace "2s"; cold "10s"; cold-from 0.2; fall-multiple 4; fall-span "1.5s"
                }
                channel { pace "100/s"; head 4; backlog 4000; late "20ms"; latest "200ms" }
            }
            proxy {
                number 0
                zone "a"
                listen "127.0.0.1:%d"
                controllers "127.0.0.1:9"
                standing %s
                stop-within "%ds"
                head-within "2s"
            }
            """;

    private final long seed;
    private final SplittableRandom random;
    private final Path directory;
    private final StopMode stopMode;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger excused = new AtomicInteger();
    private final Map<String, Integer> executionsById = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> lostRequests = new ConcurrentLinkedQueue<>();
    private final List<String> failures = new ArrayList<>();
    private final List<Long> startupMillis = new ArrayList<>();
    private final List<Socket> idleSockets = new ArrayList<>();
    private volatile long killedAt = Long.MIN_VALUE;
    private volatile boolean clientsRunning = true;
    private int port;

    /** @param stopMode how a planned stop is done: {@link StopMode#STOP}, or another one for a mutant */
    SoakRun(long seed, Path directory, StopMode stopMode) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.directory = directory;
        this.stopMode = stopMode;
    }

    /** Runs the seed; everything that it has started is stopped when it returns. */
    Result run() throws IOException, InterruptedException {
        Loop loop = Loop.onSockets(cause -> lostRequests.add("exception in a stand-in: " + cause));
        List<InetSocketAddress> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            backends.add(startBackend(loop, random.split()));
        }
        Thread standIns = new Thread(loop, "soak-backends-" + seed);
        standIns.start();
        try {
            runRounds(backends);
        } finally {
            clientsRunning = false;
            loop.stop();
            standIns.join();
            for (Socket socket : idleSockets) {
                socket.close();
            }
        }
        checkRules();
        return new Result(seed, answered.get(), refused.get(), excused.get(), startupMillis, failures);
    }

    private InetSocketAddress startBackend(Loop loop, SplittableRandom workRandom) throws IOException {
        ServerConnection.Service service = (request, exchange) -> {
            String id = request.fields().get("x-request-id");
            if (request.target().startsWith(UNSAFE_PATH)) {
                executionsById.merge(id, 1, Integer::sum);
            }
            long work = TimeUnit.MILLISECONDS.toNanos(1 + workRandom.nextInt(150));
            loop.after(work, () -> exchange.respond(Message.Response.of(200, "done\n")));
        };
        return loop.listen(ANY, Connection.Options.defaults(),
                c -> new ServerConnection(MessageLimits.defaults(), service)).address();
    }

    private void runRounds(List<InetSocketAddress> backends) throws IOException, InterruptedException {
        ChildProcess proxy = startProxy(backends);
        List<Thread> clients = new ArrayList<>();
        try {
            InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            for (int i = 0; i < CLIENTS; i++) {
                Thread client = new Thread(new SoakClient(seed + "-" + i, at, random.split(), this,
                        () -> clientsRunning), "soak-client-" + i);
                clients.add(client);
                client.start();
            }
            for (int round = 0; round < ROUNDS; round++) {
                if (random.nextBoolean()) {
                    openIdleConnections(at);
                }
                Thread.sleep(500 + random.nextInt(1000));
                stopProxy(proxy);
                proxy = startProxy(backends);
            }
            clientsRunning = false;
            awaitClients(clients);
        } finally {
            clientsRunning = false;
            proxy.terminate();
            proxy.awaitExit();
        }
    }

    /** Opens connections that send nothing, or half a request head, and stay open. */
    private void openIdleConnections(InetSocketAddress at) throws IOException {
        for (int i = 0; i < IDLE_CONNECTIONS; i++) {
            Socket socket = new Socket(at.getAddress(), at.getPort());
            idleSockets.add(socket);
            if (random.nextBoolean()) {
                byte[] half = "GET /preview HTTP/1.1\r\nHo".getBytes(StandardCharsets.US_ASCII);
                socket.getOutputStream().write(half);
            }
        }
    }

    private ChildProcess startProxy(List<InetSocketAddress> backends) throws IOException,
            InterruptedException {
        StringBuilder standing = new StringBuilder();
        backends.forEach(b -> standing.append("\"127.0.0.1:").append(b.getPort()).append("\" "));
        Path settings = directory.resolve("proxy-" + seed + ".kdl");
        Files.writeString(settings, SETTINGS.formatted(port, standing, STOP_TIMEOUT_SECONDS));
        CompletableFuture<Integer> listens = new CompletableFuture<>();
        long from = System.nanoTime();
        Path log = directory.resolve("proxy-" + seed + "-" + startupMillis.size() + ".log");
        ChildProcess child = ChildProcess.start("soak-proxy-" + seed, "64m", log, line -> {
            Matcher matcher = LISTENING_LINE.matcher(line);
            if (matcher.matches()) {
                listens.complete(Integer.parseInt(matcher.group(1)));
            }
        }, "proxy", "--config", settings.toString(), "--seed", Long.toString(seed));
        try {
            port = listens.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            child.kill();
            throw new IOException("seed " + seed + ": the proxy did not listen within "
                    + START_TIMEOUT_SECONDS + " s; see " + log, e);
        }
        startupMillis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from));
        return child;
    }

    private void stopProxy(ChildProcess proxy) throws InterruptedException {
        StopMode ending = random.nextInt(4) == 0 ? StopMode.STOP_THEN_KILL : stopMode;
        int signals = 1 + random.nextInt(3);
        if (ending == StopMode.KILL_INSTEAD_OF_STOP) {
            proxy.kill();
        } else {
            for (int i = 0; i < signals; i++) {
                proxy.terminate();
                Thread.sleep(random.nextInt(100));
            }
        }
        if (ending == StopMode.STOP_THEN_KILL && !proxy.exitsWithin(KILL_AFTER_MS)) {
            killedAt = System.nanoTime();
            proxy.kill();
        }
        if (!proxy.exitsWithin(TimeUnit.SECONDS.toMillis(EXIT_TIMEOUT_SECONDS))) {
            failures.add("still running " + EXIT_TIMEOUT_SECONDS + " s after SIGTERM");
            killedAt = System.nanoTime();
            proxy.kill();
        }
        proxy.awaitExit();
    }

    private void awaitClients(List<Thread> clients) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(CLIENT_TIMEOUT_SECONDS);
        for (Thread client : clients) {
            client.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
            if (client.isAlive()) {
                failures.add(client.getName() + " still waits for a response");
            }
        }
    }

    // ---- events from clients -------------------------------------------------------------------------

    @Override
    public void answered(String id, int status) {
        (status < 400 ? answered : refused).incrementAndGet();
    }

    /** Excused only if the proxy process was killed (SIGKILL) after the connection was made. */
    @Override
    public void unanswered(String id, long connectedAt, String why) {
        if (killedAt != Long.MIN_VALUE && connectedAt - killedAt < 0) {
            excused.incrementAndGet();
        } else {
            lostRequests.add(id + ": " + why);
        }
    }

    private void checkRules() {
        if (!lostRequests.isEmpty()) {
            failures.add(lostRequests.size() + " requests written and never answered, first "
                    + lostRequests.stream().limit(MAX_LISTED).toList());
        }
        List<String> repeated = executionsById.entrySet().stream().filter(e -> e.getValue() > 1)
                .map(Map.Entry::getKey)
                .sorted().toList();
        if (!repeated.isEmpty()) {
            failures.add(repeated.size() + " unsafe requests ran more than once, first "
                    + repeated.stream().limit(MAX_LISTED).toList());
        }
        if (answered.get() == 0) {
            failures.add("no request was answered successfully");
        }
    }
}
