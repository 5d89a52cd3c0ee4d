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
import rowanmoor.http.MessageLimits;
import rowanmoor.http.Message;
import rowanmoor.http.ServerConnection;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;

/**
 * One seed of a soak: a real proxy process on loopback is stopped, killed and started again at the same
 * address while clients go on, all as the seed draws it. Judged by what clients and backends saw.
 */
final class SoakRun implements SoakClient.Listener {

    /** How a process is ended; {@link #KILL_TAKEN_FOR_STOP} is a mutant that the judge has to catch. */
    enum Ending { STOP, STOP_THEN_KILL, KILL_TAKEN_FOR_STOP }

    /**
     * What a seed came to.
     *
     * @param failures what broke a rule, one text each; none if the seed passed
     * @param readyMillis from each start to the first connection taken, ms
     */
    record Result(long seed, int answered, int refused, int excused, List<Long> readyMillis,
            List<String> failures) { }

    static final String SAFE_PATH = "/preview";
    static final String UNSAFE_PATH = "/approve";
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int BACKENDS = 3;
    private static final int CLIENTS = 24;
    private static final int ROUNDS = 3;
    private static final int CROWD = 60;
    private static final int STOP_WITHIN_SECONDS = 4;
    private static final int ENDED_WITHIN_SECONDS = STOP_WITHIN_SECONDS + 2;
    private static final int STARTED_WITHIN_SECONDS = 30;
    private static final int KILL_AFTER_MS = 700;
    private static final int CLIENTS_DONE_WITHIN_SECONDS = 30;
    private static final int LISTED = 5;
    private static final Pattern LISTENS = Pattern.compile("proxy 0 listens on [^/]*/[^:]*:(\\d+)");
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
    private final Ending stop;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger excused = new AtomicInteger();
    private final Map<String, Integer> effects = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();
    private final List<String> failures = new ArrayList<>();
    private final List<Long> readyMillis = new ArrayList<>();
    private final List<Socket> crowd = new ArrayList<>();
    private volatile long killedAt = Long.MIN_VALUE;
    private volatile boolean clientsGoOn = true;
    private int port;

    /** @param stop how a planned stop is done: {@link Ending#STOP} but for a mutant */
    SoakRun(long seed, Path directory, Ending stop) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.directory = directory;
        this.stop = stop;
    }

    /** Plays the seed; nothing that it has started goes on after it. */
    Result play() throws IOException, InterruptedException {
        Loop loop = Loop.onSockets(cause -> lost.add("a stand-in threw: " + cause));
        List<InetSocketAddress> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            backends.add(backend(loop, random.split()));
        }
        Thread standIns = new Thread(loop, "soak-backends-" + seed);
        standIns.start();
        try {
            playRounds(backends);
        } finally {
            clientsGoOn = false;
            loop.stop();
            standIns.join();
            for (Socket socket : crowd) {
                socket.close();
            }
        }
        judge();
        return new Result(seed, answered.get(), refused.get(), excused.get(), readyMillis, failures);
    }

    private InetSocketAddress backend(Loop loop, SplittableRandom its) throws IOException {
        ServerConnection.Service service = (request, exchange) -> {
            String id = request.fields().get("x-request-id");
            if (request.target().startsWith(UNSAFE_PATH)) {
                effects.merge(id, 1, Integer::sum);
            }
            long work = TimeUnit.MILLISECONDS.toNanos(1 + its.nextInt(150));
            loop.after(work, () -> exchange.respond(Message.Response.of(200, "done\n")));
        };
        return loop.listen(ANY, Connection.Options.defaults(),
                c -> new ServerConnection(MessageLimits.defaults(), service)).address();
    }

    private void playRounds(List<InetSocketAddress> backends) throws IOException, InterruptedException {
        Child proxy = start(backends);
        List<Thread> clients = new ArrayList<>();
        try {
            InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            for (int i = 0; i < CLIENTS; i++) {
                Thread client = new Thread(new SoakClient(seed + "-" + i, at, random.split(), this,
                        () -> clientsGoOn), "soak-client-" + i);
                clients.add(client);
                client.start();
            }
            for (int round = 0; round < ROUNDS; round++) {
                if (random.nextBoolean()) {
                    crowdIn(at);
                }
                Thread.sleep(500 + random.nextInt(1000));
                end(proxy);
                proxy = start(backends);
            }
            clientsGoOn = false;
            awaitAll(clients);
        } finally {
            clientsGoOn = false;
            proxy.end();
            proxy.awaitEnd();
        }
    }

    /** Connections that say nothing, or half a head, and stay. */
    private void crowdIn(InetSocketAddress at) throws IOException {
        for (int i = 0; i < CROWD; i++) {
            Socket socket = new Socket(at.getAddress(), at.getPort());
            crowd.add(socket);
            if (random.nextBoolean()) {
                byte[] half = "GET /preview HTTP/1.1\r\nHo".getBytes(StandardCharsets.US_ASCII);
                socket.getOutputStream().write(half);
            }
        }
    }

    private Child start(List<InetSocketAddress> backends) throws IOException, InterruptedException {
        StringBuilder standing = new StringBuilder();
        backends.forEach(b -> standing.append("\"127.0.0.1:").append(b.getPort()).append("\" "));
        Path settings = directory.resolve("proxy-" + seed + ".kdl");
        Files.writeString(settings, SETTINGS.formatted(port, standing, STOP_WITHIN_SECONDS));
        CompletableFuture<Integer> listens = new CompletableFuture<>();
        long from = System.nanoTime();
        Path log = directory.resolve("proxy-" + seed + "-" + readyMillis.size() + ".log");
        Child child = Child.start("soak-proxy-" + seed, "64m", log, line -> {
            Matcher matcher = LISTENS.matcher(line);
            if (matcher.matches()) {
                listens.complete(Integer.parseInt(matcher.group(1)));
            }
        }, "proxy", "--config", settings.toString(), "--seed", Long.toString(seed));
        try {
            port = listens.get(STARTED_WITHIN_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            child.kill();
            throw new IOException("seed " + seed + ": the proxy did not start; see " + log, e);
        }
        readyMillis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from));
        return child;
    }

    private void end(Child proxy) throws InterruptedException {
        Ending ending = random.nextInt(4) == 0 ? Ending.STOP_THEN_KILL : stop;
        int signals = 1 + random.nextInt(3);
        if (ending == Ending.KILL_TAKEN_FOR_STOP) {
            proxy.kill();
        } else {
            for (int i = 0; i < signals; i++) {
                proxy.end();
                Thread.sleep(random.nextInt(100));
            }
        }
        if (ending == Ending.STOP_THEN_KILL && !proxy.endsWithin(KILL_AFTER_MS)) {
            killedAt = System.nanoTime();
            proxy.kill();
        }
        if (!proxy.endsWithin(TimeUnit.SECONDS.toMillis(ENDED_WITHIN_SECONDS))) {
            failures.add("still there " + ENDED_WITHIN_SECONDS + " s after SIGTERM");
            killedAt = System.nanoTime();
            proxy.kill();
        }
        proxy.awaitEnd();
    }

    private void awaitAll(List<Thread> clients) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(CLIENTS_DONE_WITHIN_SECONDS);
        for (Thread client : clients) {
            client.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
            if (client.isAlive()) {
                failures.add(client.getName() + " still waits for an answer");
            }
        }
    }

    // ---- what clients tell ---------------------------------------------------------------------------

    @Override
    public void answered(String id, int status) {
        (status < 400 ? answered : refused).incrementAndGet();
    }

    /** Excused only where its process was killed outright after the connection was made. */
    @Override
    public void unanswered(String id, long connectedAt, String why) {
        if (killedAt != Long.MIN_VALUE && connectedAt - killedAt < 0) {
            excused.incrementAndGet();
        } else {
            lost.add(id + ": " + why);
        }
    }

    private void judge() {
        if (!lost.isEmpty()) {
            failures.add(lost.size() + " requests written and never answered, first "
                    + lost.stream().limit(LISTED).toList());
        }
        List<String> twice = effects.entrySet().stream().filter(e -> e.getValue() > 1).map(Map.Entry::getKey)
                .sorted().toList();
        if (!twice.isEmpty()) {
            failures.add(twice.size() + " unsafe requests ran more than once, first "
                    + twice.stream().limit(LISTED).toList());
        }
        if (answered.get() == 0) {
            failures.add("no request was served at all");
        }
    }
}
