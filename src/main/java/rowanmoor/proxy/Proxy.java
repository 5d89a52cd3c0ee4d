package rowanmoor.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import rowanmoor.ControlApi.Backend;
import rowanmoor.channel.Frame;
import rowanmoor.discovery.Addresses;
import rowanmoor.discovery.LoadColumns;
import rowanmoor.http.ClientConnection;
import rowanmoor.http.Fields;
import rowanmoor.http.Limits;
import rowanmoor.http.Message;
import rowanmoor.http.Orca;
import rowanmoor.http.ServerConnection;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/**
 * Takes requests, forwards them by the tables, reports. Bodies are held whole, within a bound. A request that
 * cannot be served gets its final answer at once: refused by its level, no backend, a last try that failed,
 * its deadline.
 */
public final class Proxy implements ServerConnection.Service {

    /** Set by a backend on a refusal: proof that it did nothing for this request. */
    public static final String NEVER_RAN = "x-never-ran";
    /** Says, on what a proxy answers itself, why. */
    public static final String REASON = "x-rowanmoor";
    /** Names the proxy in what it sends to backends. */
    public static final String VIA = "x-rowanmoor-proxy";

    private static final List<String> HOP_BY_HOP = List.of("connection", "keep-alive", "proxy-connection",
            "te", "trailer", "transfer-encoding", "upgrade", "content-length");

    private final ProxyConfig config;
    private final Loop loop;
    private final Router router;
    private final Tallies tallies;
    private final ChannelClient channel;
    private final LoadColumns columns;
    private final Limits limits;
    private final Loop.Listener listener;
    private final Map<Backend, ArrayDeque<ClientConnection>> idle = new TreeMap<>();
    private int clients;

    /** Listens and calls its controller. */
    public Proxy(ProxyConfig config, Loop loop, Router router, RandomGenerator random, Tap tap)
            throws IOException {
        this.config = config;
        this.loop = loop;
        this.router = router;
        this.tallies = new Tallies(loop.now());
        this.columns = new LoadColumns(config.site().columns());
        this.limits = Limits.usual().body(config.bodyMost());
        this.listener = loop.listen(config.listen(), Connection.Options.usual()
                .idleAfter(4 * config.idleFor()), this::accept);
        this.channel = new ChannelClient(loop, config, router, random, tap, this::dropUnused);
        // Proxies started together must not report together for good.
        loop.after((long) (config.site().period() * random.nextDouble()), this::report);
        loop.after(config.idleFor(), this::dropIdle);
        channel.call();
    }

    /** A proxy with a router of its own. */
    public static Proxy start(ProxyConfig config, Loop loop, RandomGenerator random, Tap tap)
            throws IOException {
        Router router = new Router(config.site(), config.standing().stream().map(Addresses::backend).toList(),
                random, loop.now());
        return new Proxy(config, loop, router, random, tap);
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Whether its stream is up. */
    public boolean joined() {
        return channel.up();
    }

    /** Epoch and version of what it holds. */
    public String held() {
        return router.epoch() + "/" + router.version();
    }

    public void stop() {
        listener.close();
        channel.stop();
    }

    private ServerConnection accept(Connection connection) {
        if (clients >= config.connectionsMost()) {
            return null;
        }
        clients++;
        return new ServerConnection(limits, this) {
            @Override
            public void closed(Connection its, Close why, String detail) {
                clients--;
                super.closed(its, why, detail);
            }
        };
    }

    private void report() {
        if (channel.up()) {
            Frame.Report report = tallies.report(loop.now());
            if (!report.tallies().isEmpty() || !report.uses().isEmpty()) {
                channel.report(report);
            }
        }
        loop.after(config.site().period(), this::report);
    }

    // ---- requests ------------------------------------------------------------------------------------

    @Override
    public void request(Message.Request request, ServerConnection.Exchange exchange) {
        int cls = config.site().classOf(request.path());
        if (cls < 0) {
            exchange.answer(own(404, "no class has this path"));
            return;
        }
        tallies.came(cls);
        if (!router.admits(cls, loop.now())) {
            exchange.answer(own(503, "refused by its level"));
            return;
        }
        Work work = new Work(cls, request, exchange);
        exchange.tag = work;
        work.begin();
    }

    @Override
    public void abandoned(ServerConnection.Exchange exchange) {
        if (exchange.tag instanceof Work work) {
            work.giveUp();
        }
    }

    private static Message.Response own(int status, String why) {
        return Message.Response.of(status, why + "\n", REASON, why, "Content-Type", "text/plain");
    }

    /** One request on its way: its tries, one after the other, within its deadline. */
    private final class Work {
        private final int cls;
        private final Message.Request request;
        private final ServerConnection.Exchange exchange;
        private final Set<Backend> tried = new TreeSet<>();
        private final long deadline;
        private Timer patience;
        private Timer tryPatience;
        private ClientConnection connection;
        private Backend backend;
        private long sentAt;
        private boolean over;

        Work(int cls, Message.Request request, ServerConnection.Exchange exchange) {
            this.cls = cls;
            this.request = request;
            this.exchange = exchange;
            this.deadline = loop.now() + config.site().classes().get(cls).deadline();
        }

        void begin() {
            patience = loop.at(deadline, () -> {
                failTry(false);
                finish(own(504, "no answer before its deadline"), false);
            });
            tryOne();
        }

        private void tryOne() {
            backend = router.pick(cls, tried, loop.now());
            if (backend == null) {
                finish(own(503, "no backend"), false);
                return;
            }
            tried.add(backend);
            router.sent(backend);
            sentAt = loop.now();
            connection = connection(backend);
            long within = router.tryWithin(cls);
            if (within > 0) {
                tryPatience = loop.after(within, () -> failAndFollow(false, "no answer in time"));
            }
            ClientConnection asked = connection;
            Backend to = backend;
            connection.ask(forwarded(request, backend), new ClientConnection.Answer() {
                @Override
                public void answered(Message.Response response) {
                    if (connection == asked) {
                        connection = null;
                        take(response);
                        keep(to, asked);
                    }
                }

                @Override
                public void failed(boolean neverRan, Close why, String detail) {
                    if (connection == asked) {
                        connection = null;
                        failAndFollow(neverRan, why + ": " + detail);
                    }
                }
            });
        }

        private void take(Message.Response response) {
            boolean unrun = response.status() == 503 && response.fields().get(NEVER_RAN) != null;
            boolean good = response.status() < 500;
            endTry(good, columns.read(response.fields().get(Orca.FIELD)));
            if (!good && router.mayFollow(cls, tried.size(), unrun, deadline - loop.now())) {
                tryOne();
            } else {
                finish(backward(response), good);
            }
        }

        /** A try without an answer. */
        private void failAndFollow(boolean neverRan, String why) {
            failTry(true);
            if (router.mayFollow(cls, tried.size(), neverRan, deadline - loop.now())) {
                tryOne();
            } else {
                finish(own(502, "the last try failed: " + why), false);
            }
        }

        private void failTry(boolean all) {
            if (connection != null) {
                ClientConnection left = connection;
                connection = null;
                left.cancel();
                endTry(false, List.of());
            } else if (all) {
                endTry(false, List.of());
            }
        }

        private void endTry(boolean good, List<Double> load) {
            if (tryPatience != null) {
                tryPatience.cancel();
            }
            router.done(backend, good, loop.now());
            tallies.tried(backend, good, loop.now() - sentAt, load);
        }

        private void finish(Message.Response response, boolean answered) {
            if (over) {
                return;
            }
            over = true;
            patience.cancel();
            if (!answered) {
                tallies.unanswered(cls);
            }
            exchange.answer(response);
        }

        /** The client is gone: its try is cancelled and counts for nothing. */
        void giveUp() {
            over = true;
            patience.cancel();
            if (tryPatience != null) {
                tryPatience.cancel();
            }
            if (connection != null) {
                ClientConnection left = connection;
                connection = null;
                left.cancel();
                router.done(backend, true, loop.now());
            }
            tallies.unanswered(cls);
        }
    }

    private Message.Request forwarded(Message.Request request, Backend backend) {
        Fields fields = endToEnd(request.fields());
        fields.set("Host", backend.toString());
        fields.set(VIA, Integer.toString(config.number()));
        return new Message.Request(request.method(), request.target(), 1, fields, request.body());
    }

    private static Message.Response backward(Message.Response response) {
        Fields fields = endToEnd(response.fields());
        fields.remove(Orca.FIELD);
        return new Message.Response(response.status(), response.reason(), 1, fields, response.body());
    }

    /** Without what belongs to one connection only (RFC 9110, 7.6.1). */
    private static Fields endToEnd(Fields all) {
        Fields fields = all.copy();
        String named = all.get("connection", "");
        for (String name : named.split(",")) {
            fields.remove(name.trim());
        }
        HOP_BY_HOP.forEach(fields::remove);
        return fields;
    }

    // ---- connections to backends ---------------------------------------------------------------------

    private ClientConnection connection(Backend backend) {
        ArrayDeque<ClientConnection> free = idle.get(backend);
        while (free != null && !free.isEmpty()) {
            ClientConnection last = free.pollLast();
            if (last.free()) {
                return last;
            }
        }
        return ClientConnection.open(loop, config.from(), Addresses.socket(backend),
                Connection.Options.usual().connectWithin(config.connectWithin()), limits,
                        c -> forget(backend, c));
    }

    private void keep(Backend backend, ClientConnection connection) {
        if (connection.free() && router.uses(backend)) {
            idle.computeIfAbsent(backend, b -> new ArrayDeque<>()).addLast(connection);
        } else {
            connection.cancel();
        }
    }

    private void forget(Backend backend, ClientConnection connection) {
        ArrayDeque<ClientConnection> free = idle.get(backend);
        if (free != null) {
            free.remove(connection);
        }
    }

    /** Connections to backends that no table names any more are closed. */
    private void dropUnused() {
        List.copyOf(idle.keySet()).stream().filter(b -> !router.uses(b)).forEach(backend ->
                List.copyOf(idle.remove(backend)).forEach(ClientConnection::cancel));
    }

    private void dropIdle() {
        long before = loop.now() - config.idleFor();
        for (ArrayDeque<ClientConnection> free : idle.values()) {
            for (Iterator<ClientConnection> all = List.copyOf(free).iterator(); all.hasNext();) {
                ClientConnection connection = all.next();
                if (connection.idleSince() < before) {
                    free.remove(connection);
                    connection.cancel();
                }
            }
        }
        loop.after(config.idleFor() / 4 + 1, this::dropIdle);
    }
}
