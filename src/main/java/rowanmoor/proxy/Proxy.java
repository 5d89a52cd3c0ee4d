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

    private static final List<String> HOP_BY_HOP_FIELDS = List.of("connection", "keep-alive", "proxy-connection",
            "te", "transfer-encoding", "upgrade", "content-length");
    /** A client's connection may be idle for so many times as long as one to a backend. */
    private static final int CLIENT_IDLE_FACTOR = 4;
    private static final long TIMEOUT_CHECK_INTERVAL_NS = 500_000_000L;
    private static final long NS_PER_MS = 1_000_000L;
    /** Clients without room that are told so at once; beyond it they are cut off. */
    private static final int MAX_REJECTED_CONNECTIONS = 64;
    /** A stopping proxy waits so long for the next request on a kept connection, ns. */
    private static final long STOP_IDLE_TIMEOUT_NS = 500_000_000L;
    /** The time that its last report has to be acknowledged, ns. */
    private static final long STOP_LAST_REPORT_NS = 400_000_000L;
    /** Within its bound, the time that the last answers have to be read, ns. */
    private static final long STOP_LAST_ANSWERS_NS = 1_000_000_000L;

    private final ProxyConfig config;
    private final Loop loop;
    private final Router router;
    private final Tallies tallies;
    private final ReportQueue reports;
    private final ChannelClient channel;
    private final LoadColumns columns;
    private final Limits limits = Limits.usual();
    private final Loop.Listener listener;
    private final ConnectionPool<ClientStream> pool;
    private final Set<ServerStream> clients = new LinkedHashSet<>();
    private final Map<InetAddress, Integer> connectionsByAddress = new HashMap<>();
    private final Set<ForwardedRequest> activeRequests = new LinkedHashSet<>();
    private int rejectedConnections;
    private final String requestIdPrefix;
    private long lastRequestId;
    private boolean stopping;
    private boolean finishing;
    private Runnable onStopped;

    /** Listens and calls its controller. */
    public Proxy(ProxyConfig config, Loop loop, Router router, RandomGenerator random, Tap tap)
            throws IOException {
        this.config = config;
        this.loop = loop;
        this.router = router;
        this.tallies = new Tallies(loop.now());
        this.reports = new ReportQueue(tallies);
        this.columns = new LoadColumns(config.site().columns());
        this.pool = new ConnectionPool<>(new ClientStreamOperations(), policy().maxConnectionsPerBackend(), policy().maxIdlePerBackend());
        this.requestIdPrefix = config.number() + "-" + Long.toHexString(random.nextLong()) + "-";
        this.listener = loop.listen(config.listen(), ServerStream.options(), this::accept);
        this.channel = new ChannelClient(loop, config, router, reports, random, tap,
                () -> pool.closeIdleExcept(router::uses), this::completeStopIfReported);
        // Proxies started together must not report together for good.
        loop.after((long) (config.site().period() * random.nextDouble()), this::sendReport);
        loop.after(config.backendIdleTimeoutNs() / 4 + 1, this::closeIdleConnections);
        loop.after(TIMEOUT_CHECK_INTERVAL_NS, this::checkTimeouts);
        channel.connect();
    }

    /** A proxy with a router of its own. */
    public static Proxy start(ProxyConfig config, Loop loop, RandomGenerator random, Tap tap)
            throws IOException {
        Router router = new Router(config.site(), config.policy(),
                config.standingBackends().stream().map(Addresses::toBackend).toList(),
                random, loop.now());
        return new Proxy(config, loop, router, random, tap);
    }

    private static final class ClientStreamOperations implements ConnectionPool.Operations<ClientStream> {
        @Override
        public boolean isUsable(ClientStream connection) {
            return connection.free();
        }

        @Override
        public boolean isUsableAfterIdle(ClientStream connection) {
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
        return channel.isUp();
    }

    /** Epoch and version of what it holds. */
    public String epochAndVersion() {
        return router.epoch() + "/" + router.version();
    }

    /** Requests in work. */
    public int requestsInFlight() {
        return activeRequests.size();
    }

    /** Connections to backends, idle and in use. */
    public int backendConnections() {
        return pool.openCount();
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
        onStopped = then;
        listener.close();
        long within = policy().stopTimeoutNs();
        long idleWithin = Math.min(STOP_IDLE_TIMEOUT_NS, within / 4);
        List.copyOf(clients).forEach(c -> c.stop(idleWithin));
        loop.after(within - Math.min(STOP_LAST_ANSWERS_NS, within / 2), this::answerRemaining);
        loop.after(within - lastReportTimeoutNs(), this::finishStop);
        loop.after(within, this::completeStop);
        finishStopIfDone();
    }

    private void answerRemaining() {
        List.copyOf(activeRequests).forEach(ForwardedRequest::stop);
        List.copyOf(clients).forEach(ServerStream::endUnlessInWork);
    }

    private void finishStopIfDone() {
        if (stopping && clients.isEmpty()) {
            finishStop();
        }
    }

    private long lastReportTimeoutNs() {
        return Math.min(STOP_LAST_REPORT_NS, policy().stopTimeoutNs() / 4);
    }

    /** No request is in work any more: what was counted is told, and must have been taken. */
    private void finishStop() {
        if (!finishing) {
            finishing = true;
            List.copyOf(activeRequests).forEach(ForwardedRequest::abandon);
            loop.after(lastReportTimeoutNs(), this::completeStop);
            completeStopIfReported();
        }
    }

    private void completeStopIfReported() {
        if (finishing) {
            channel.sendReport();
            if (reports.isSettled() || !channel.hasBeenUp()) {
                completeStop();
            }
        }
    }

    private void completeStop() {
        Runnable then = onStopped;
        onStopped = null;
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

    ForwardingPolicy policy() {
        return config.policy();
    }

    LoadColumns columns() {
        return columns;
    }

    /** A connection that is free, or a new one, or null if there are as many as may be. */
    ClientStream acquireConnection(Backend backend) {
        ClientStream kept = pool.take(backend);
        if (kept != null || !pool.canOpen(backend)) {
            return kept;
        }
        pool.onOpened(backend);
        return ClientStream.open(loop, config.localAddress(), Addresses.toSocketAddress(backend),
                ServerStream.options().connectWithin(config.connectTimeoutNs()), limits,
                gone -> pool.onClosed(backend, gone));
    }

    /** A request's answer was whole: its connection is kept if the tables still name its backend. */
    void releaseConnection(Backend backend, ClientStream connection) {
        if (router.uses(backend)) {
            pool.release(backend, connection);
        } else {
            connection.cancel();
        }
    }

    void onRequestEnded(ForwardedRequest forward) {
        activeRequests.remove(forward);
    }

    /** An answer of the proxy's own. */
    void answerDirectly(ServerStream.Exchange exchange, int status, String why) {
        exchange.answer(status, why + "\n", REASON_FIELD, why, "Content-Type", "text/plain");
    }

    Part.RequestHead backendRequestHead(Part.RequestHead head, Backend backend, long left) {
        Fields fields = endToEndFields(head.fields());
        fields.set("Host", backend.toString());
        fields.set(PROXY_NUMBER_FIELD, Integer.toString(config.number()));
        fields.add("Via", "1." + head.minor() + " " + config.name());
        if (fields.get(REQUEST_ID_FIELD) == null) {
            fields.set(REQUEST_ID_FIELD, requestIdPrefix + ++lastRequestId);
        }
        fields.set(policy().deadlineField(), Long.toString(Math.max(1, left / NS_PER_MS)));
        return new Part.RequestHead(head.method(), head.target(), 1, fields, head.length());
    }

    static Part.ResponseHead clientResponseHead(Part.ResponseHead head) {
        Fields fields = endToEndFields(head.fields());
        String length = head.fields().get("content-length");
        if (head.length() == 0 && length != null) {
            fields.set("Content-Length", length); // of an answer to HEAD, or 304
        }
        fields.remove(Orca.FIELD);
        return new Part.ResponseHead(head.status(), head.reason(), 1, fields, head.length());
    }

    /** Without what belongs to one connection only (RFC 9110, 7.6.1). */
    private static Fields endToEndFields(Fields all) {
        Fields fields = all.copy();
        String named = all.get("connection", "");
        for (String name : named.split(",")) {
            fields.remove(name.trim());
        }
        HOP_BY_HOP_FIELDS.forEach(fields::remove);
        return fields;
    }

    // ---- requests ------------------------------------------------------------------------------------

    private Handler accept(Connection connection) {
        InetAddress from = connection.remote().getAddress();
        int its = connectionsByAddress.getOrDefault(from, 0);
        if (clients.size() >= config.maxClientConnections() || its >= policy().maxConnectionsPerClient()) {
            return rejectedConnections < MAX_REJECTED_CONNECTIONS ? new RejectedClient() : null;
        }
        connectionsByAddress.put(from, its + 1);
        ServerStream.Patience patience = new ServerStream.Patience(policy().headTimeoutNs(),
                CLIENT_IDLE_FACTOR * config.backendIdleTimeoutNs());
        ServerStream stream = new ServerStream(loop, limits, patience, this) {
            @Override
            public void closed(Connection itsConnection, Close why, String detail) {
                clients.remove(this);
                connectionsByAddress.computeIfPresent(from, (a, n) -> n == 1 ? null : n - 1);
                super.closed(itsConnection, why, detail);
                finishStopIfDone();
            }
        };
        clients.add(stream);
        return stream;
    }

    /** A client without room: it is told so, whatever it has asked by then, and its connection ends. */
    private final class RejectedClient implements Handler {

        RejectedClient() {
            rejectedConnections++;
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
            rejectedConnections--;
        }
    }

    @Override
    public void begun(ServerStream.Exchange exchange) {
        Part.RequestHead head = exchange.head();
        int cls = config.site().classOf(head.path());
        if (cls < 0) {
            answerDirectly(exchange, 404, "no class has this path");
            return;
        }
        tallies.onRequest(cls);
        long within = config.site().classes().get(cls).deadline();
        String stated = head.fields().get(policy().deadlineField());
        long millis = stated == null ? 0 : parseMillis(stated);
        if (millis < 0) {
            answerDirectly(exchange, 400, policy().deadlineField() + " is not a number of milliseconds");
            return;
        }
        within = stated == null ? within : Math.min(within, millis * NS_PER_MS);
        if (activeRequests.size() >= policy().maxRequestsInFlight()) { // asked before its level, which would spend a token
            refuse(exchange, "as many requests in work as may be");
            return;
        }
        if (!router.tryAdmit(cls, loop.now())) {
            refuse(exchange, "refused by its level");
            return;
        }
        ForwardedRequest forward = new ForwardedRequest(this, cls, exchange, within);
        exchange.tag = forward;
        activeRequests.add(forward);
        forward.start();
    }

    private static long parseMillis(String text) {
        return text.matches("[0-9]{1,9}") ? Long.parseLong(text) : -1;
    }

    private void refuse(ServerStream.Exchange exchange, String why) {
        exchange.answer(policy().refusalStatus(), why + "\n", REASON_FIELD, why, "Content-Type", "text/plain",
                "Retry-After", Integer.toString(policy().retryAfterSeconds()));
    }

    @Override
    public void gone(ServerStream.Exchange exchange) {
        if (exchange.tag instanceof ForwardedRequest forward) {
            forward.abandon();
        }
    }

    // ---- now and then --------------------------------------------------------------------------------

    private void checkTimeouts() {
        long now = loop.now();
        List.copyOf(activeRequests).forEach(f -> f.checkTimeouts(now));
        loop.after(TIMEOUT_CHECK_INTERVAL_NS, this::checkTimeouts);
    }

    private void closeIdleConnections() {
        pool.closeIdleBefore(loop.now() - config.backendIdleTimeoutNs());
        loop.after(config.backendIdleTimeoutNs() / 4 + 1, this::closeIdleConnections);
    }

    private void sendReport() {
        channel.sendReport();
        loop.after(config.site().period(), this::sendReport);
    }
}
