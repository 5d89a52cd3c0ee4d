package rowanmoor.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import rowanmoor.ControlApi.Backend;
import rowanmoor.discovery.Addresses;
import rowanmoor.discovery.LoadColumns;
import rowanmoor.http.ClientStream;
import rowanmoor.http.Fields;
import rowanmoor.http.Limits;
import rowanmoor.http.Message;
import rowanmoor.http.Orca;
import rowanmoor.http.Part;
import rowanmoor.http.ServerStream;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Handler;
import rowanmoor.net.Loop;

/**
 * Takes requests, forwards them by the tables, reports. Content is passed on as it comes, no faster than the
 * slower side takes it. A request that cannot be served gets its final answer at once: refused by its level
 * or a bound, no backend, a last try that failed, its deadline.
 */
public final class Proxy implements ServerStream.Service {

    /** Set by a backend on a refusal: proof that it did nothing for this request. */
    public static final String NEVER_RAN_FIELD = ServerStream.NEVER_RAN;
    /** Says, on what a proxy answers itself, why. */
    public static final String REASON_FIELD = "x-rowanmoor";
    /** Names the proxy in what it sends to backends. */
    public static final String PROXY_NUMBER_FIELD = "x-rowanmoor-proxy";
    /** Names a request through all its tries; made here if the client names none. */
    public static final String REQUEST_ID_FIELD = "x-request-id";

    private static final List<String> HOP_BY_HOP = List.of("connection", "keep-alive", "proxy-connection",
            "te", "transfer-encoding", "upgrade", "content-length");
    /** A client's connection may be idle for so many times as long as one to a backend. */
    private static final int IDLE_TIMES = 4;
    private static final long WATCH_EVERY = 500_000_000L;
    private static final long MILLI = 1_000_000L;
    /** Clients without room that are told so at once; beyond it they are cut off. */
    private static final int TURNED_AWAY_MOST = 64;
    /** A stopping proxy waits so long for the next request on a kept connection, ns. */
    private static final long STOP_IDLE = 500_000_000L;
    /** The time that its last report has to be acknowledged, ns. */
    private static final long STOP_LAST_REPORT = 400_000_000L;
    /** Within its bound, the time that the last answers have to be read, ns. */
    private static final long STOP_LAST_ANSWERS = 1_000_000_000L;

    private final ProxyConfig config;
    private final Loop loop;
    private final Router router;
    private final Tallies tallies;
    private final ReportQueue reports;
    private final ChannelClient channel;
    private final LoadColumns columns;
    private final Limits limits = Limits.usual();
    private final Loop.Listener listener;
    private final Pool<ClientStream> pool;
    private final Set<ServerStream> clients = new LinkedHashSet<>();
    private final Map<InetAddress, Integer> byAddress = new HashMap<>();
    private final Set<Forward> working = new LinkedHashSet<>();
    private int turnedAway;
    private final String idStem;
    private long ids;
    private boolean stopping;
    private boolean leaving;
    private Runnable stopped;

    /** Listens and calls its controller. */
    public Proxy(ProxyConfig config, Loop loop, Router router, RandomGenerator random, Tap tap)
            throws IOException {
        this.config = config;
        this.loop = loop;
        this.router = router;
        this.tallies = new Tallies(loop.now());
        this.reports = new ReportQueue(tallies);
        this.columns = new LoadColumns(config.site().columns());
        this.pool = new Pool<>(new Ways(), conduct().maxConnectionsPerBackend(), conduct().maxIdlePerBackend());
        this.idStem = config.number() + "-" + Long.toHexString(random.nextLong()) + "-";
        this.listener = loop.listen(config.listen(), ServerStream.options(), this::accept);
        this.channel = new ChannelClient(loop, config, router, reports, random, tap,
                () -> pool.closeIdle(router::uses), this::leaveIfReported);
        // Proxies started together must not report together for good.
        loop.after((long) (config.site().period() * random.nextDouble()), this::report);
        loop.after(config.backendIdleTimeoutNs() / 4 + 1, this::closeOld);
        loop.after(WATCH_EVERY, this::watch);
        channel.call();
    }

    /** A proxy with a router of its own. */
    public static Proxy start(ProxyConfig config, Loop loop, RandomGenerator random, Tap tap)
            throws IOException {
        Router router = new Router(config.site(), config.policy(),
                config.standingBackends().stream().map(Addresses::toBackend).toList(),
                random, loop.now());
        return new Proxy(config, loop, router, random, tap);
    }

    private static final class Ways implements Pool.Ways<ClientStream> {
        @Override
        public boolean usable(ClientStream connection) {
            return connection.free();
        }

        @Override
        public boolean stillUsable(ClientStream connection) {
            return connection.stillFree();
        }

        @Override
        public long idleSince(ClientStream connection) {
            return connection.idleSince();
        }

        @Override
        public void close(ClientStream connection) {
            connection.cancel();
        }
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Whether its stream is up. */
    public boolean isJoined() {
        return channel.up();
    }

    /** Epoch and version of what it holds. */
    public String epochAndVersion() {
        return router.epoch() + "/" + router.version();
    }

    /** Requests in work. */
    public int requestsInFlight() {
        return working.size();
    }

    /** Connections to backends, idle and in use. */
    public int backendConnections() {
        return pool.open();
    }

    /** Connections of clients. */
    public int clientConnections() {
        return clients.size();
    }

    /**
     * Takes no more connections and serves those it has until their clients know: each answer says that its
     * connection closes, and one on which nothing comes is ended. Once the last is closed and all that was
     * counted is acknowledged, or the bound for that is over, says goodbye to its controller and runs {@code
     * then}. Only the first call counts.
     */
    public void stop(Runnable then) {
        if (stopping) {
            return;
        }
        stopping = true;
        stopped = then;
        listener.close();
        long within = conduct().stopTimeoutNs();
        long idleWithin = Math.min(STOP_IDLE, within / 4);
        List.copyOf(clients).forEach(c -> c.stop(idleWithin));
        loop.after(within - Math.min(STOP_LAST_ANSWERS, within / 2), this::answerTheRest);
        loop.after(within - lastReportWithin(), this::finishStop);
        loop.after(within, this::leave);
        finishStopIfDone();
    }

    private void answerTheRest() {
        List.copyOf(working).forEach(Forward::stop);
        List.copyOf(clients).forEach(ServerStream::endUnlessInWork);
    }

    private void finishStopIfDone() {
        if (stopping && clients.isEmpty()) {
            finishStop();
        }
    }

    private long lastReportWithin() {
        return Math.min(STOP_LAST_REPORT, conduct().stopTimeoutNs() / 4);
    }

    /** No request is in work any more: what was counted is told, and must have been taken. */
    private void finishStop() {
        if (!leaving) {
            leaving = true;
            List.copyOf(working).forEach(Forward::giveUp);
            loop.after(lastReportWithin(), this::leave);
            leaveIfReported();
        }
    }

    private void leaveIfReported() {
        if (leaving) {
            channel.report();
            if (reports.isSettled() || !channel.hasBeenUp()) {
                leave();
            }
        }
    }

    private void leave() {
        Runnable then = stopped;
        stopped = null;
        if (then != null) {
            channel.stop();
            then.run();
        }
    }

    // ---- what a request needs ------------------------------------------------------------------------

    long now() {
        return loop.now();
    }

    Loop loop() {
        return loop;
    }

    Router router() {
        return router;
    }

    Tallies tallies() {
        return tallies;
    }

    ForwardingPolicy conduct() {
        return config.policy();
    }

    LoadColumns columns() {
        return columns;
    }

    /** A connection that is free, or a new one, or null if there are as many as may be. */
    ClientStream connection(Backend backend) {
        ClientStream kept = pool.take(backend);
        if (kept != null || !pool.mayOpen(backend)) {
            return kept;
        }
        pool.opened(backend);
        return ClientStream.open(loop, config.localAddress(), Addresses.toSocketAddress(backend),
                ServerStream.options().connectWithin(config.connectTimeoutNs()), limits,
                gone -> pool.gone(backend, gone));
    }

    /** A request's answer was whole: its connection is kept if the tables still name its backend. */
    void keep(Backend backend, ClientStream connection) {
        if (router.uses(backend)) {
            pool.keep(backend, connection);
        } else {
            connection.cancel();
        }
    }

    void ended(Forward forward) {
        working.remove(forward);
    }

    /** An answer of the proxy's own. */
    void own(ServerStream.Exchange exchange, int status, String why) {
        exchange.answer(status, why + "\n", REASON_FIELD, why, "Content-Type", "text/plain");
    }

    Part.RequestHead forwarded(Part.RequestHead head, Backend backend, long left) {
        Fields fields = endToEnd(head.fields());
        fields.set("Host", backend.toString());
        fields.set(PROXY_NUMBER_FIELD, Integer.toString(config.number()));
        fields.add("Via", "1." + head.minor() + " " + config.name());
        if (fields.get(REQUEST_ID_FIELD) == null) {
            fields.set(REQUEST_ID_FIELD, idStem + ++ids);
        }
        fields.set(conduct().deadlineField(), Long.toString(Math.max(1, left / MILLI)));
        return new Part.RequestHead(head.method(), head.target(), 1, fields, head.length());
    }

    static Part.ResponseHead backward(Part.ResponseHead head) {
        Fields fields = endToEnd(head.fields());
        String length = head.fields().get("content-length");
        if (head.length() == 0 && length != null) {
            fields.set("Content-Length", length); // of an answer to HEAD, or 304
        }
        fields.remove(Orca.FIELD);
        return new Part.ResponseHead(head.status(), head.reason(), 1, fields, head.length());
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

    // ---- requests ------------------------------------------------------------------------------------

    private Handler accept(Connection connection) {
        InetAddress from = connection.remote().getAddress();
        int its = byAddress.getOrDefault(from, 0);
        if (clients.size() >= config.maxClientConnections() || its >= conduct().maxConnectionsPerClient()) {
            return turnedAway < TURNED_AWAY_MOST ? new TurnedAway() : null;
        }
        byAddress.put(from, its + 1);
        ServerStream.Patience patience = new ServerStream.Patience(conduct().headTimeoutNs(),
                IDLE_TIMES * config.backendIdleTimeoutNs());
        ServerStream stream = new ServerStream(loop, limits, patience, this) {
            @Override
            public void closed(Connection itsConnection, Close why, String detail) {
                clients.remove(this);
                byAddress.computeIfPresent(from, (a, n) -> n == 1 ? null : n - 1);
                super.closed(itsConnection, why, detail);
                finishStopIfDone();
            }
        };
        clients.add(stream);
        return stream;
    }

    /** A client without room: it is told so, whatever it has asked by then, and its connection ends. */
    private final class TurnedAway implements Handler {

        TurnedAway() {
            turnedAway++;
        }

        @Override
        public void opened(Connection connection) {
            connection.send(Message.Response.of(503, "as many connections as may be\n", "Connection", "close",
                    REASON_FIELD, "as many connections as may be", NEVER_RAN_FIELD, "1").encode(false));
            connection.end();
        }

        @Override
        public void received(Connection connection, ByteBuffer bytes) { }

        @Override
        public void closed(Connection connection, Close why, String detail) {
            turnedAway--;
        }
    }

    @Override
    public void begun(ServerStream.Exchange exchange) {
        Part.RequestHead head = exchange.head();
        int cls = config.site().classOf(head.path());
        if (cls < 0) {
            own(exchange, 404, "no class has this path");
            return;
        }
        tallies.onRequest(cls);
        long within = config.site().classes().get(cls).deadline();
        String stated = head.fields().get(conduct().deadlineField());
        long millis = stated == null ? 0 : millis(stated);
        if (millis < 0) {
            own(exchange, 400, conduct().deadlineField() + " is not a number of milliseconds");
            return;
        }
        within = stated == null ? within : Math.min(within, millis * MILLI);
        if (working.size() >= conduct().maxRequestsInFlight()) { // asked before its level, which would spend a token
            refuse(exchange, "as many requests in work as may be");
            return;
        }
        if (!router.tryAdmit(cls, loop.now())) {
            refuse(exchange, "refused by its level");
            return;
        }
        Forward forward = new Forward(this, cls, exchange, within);
        exchange.tag = forward;
        working.add(forward);
        forward.begin();
    }

    private static long millis(String text) {
        return text.matches("[0-9]{1,9}") ? Long.parseLong(text) : -1;
    }

    private void refuse(ServerStream.Exchange exchange, String why) {
        exchange.answer(conduct().refusalStatus(), why + "\n", REASON_FIELD, why, "Content-Type", "text/plain",
                "Retry-After", Integer.toString(conduct().retryAfterSeconds()));
    }

    @Override
    public void gone(ServerStream.Exchange exchange) {
        if (exchange.tag instanceof Forward forward) {
            forward.giveUp();
        }
    }

    // ---- now and then --------------------------------------------------------------------------------

    private void watch() {
        long now = loop.now();
        List.copyOf(working).forEach(f -> f.watch(now));
        loop.after(WATCH_EVERY, this::watch);
    }

    private void closeOld() {
        pool.closeOld(loop.now() - config.backendIdleTimeoutNs());
        loop.after(config.backendIdleTimeoutNs() / 4 + 1, this::closeOld);
    }

    private void report() {
        channel.report();
        loop.after(config.site().period(), this::report);
    }
}
