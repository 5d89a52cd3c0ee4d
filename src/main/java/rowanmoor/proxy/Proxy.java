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
import rowanmoor.http.HttpFields;
import rowanmoor.http.Message;
import rowanmoor.http.MessageLimits;
import rowanmoor.http.MessagePart;
import rowanmoor.http.OrcaLoadReport;
import rowanmoor.http.ServerStream;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;

/**
 * Accepts requests, forwards them by the routing tables and reports to the controller. Content is streamed
 * with backpressure, no faster than the slower side takes it. A request that cannot be served gets its final
 * answer at once: refused by its level or a limit, no backend, failure of the last try, deadline exceeded.
 */
public final class Proxy implements ServerStream.Service {

    /** Field that a backend sets on a refusal: proof that it did nothing for this request. */
    public static final String NEVER_RAN_FIELD = ServerStream.NEVER_RAN_FIELD;
    /** Field with the reason of an answer that the proxy gives itself. */
    public static final String REASON_FIELD = "x-rowanmoor";
    /** Field of requests to backends with the number of the proxy. */
    public static final String PROXY_NUMBER_FIELD = "x-rowanmoor-proxy";
    /** Field that identifies a request in all its tries; generated here if the client sends none. */
    public static final String REQUEST_ID_FIELD = "x-request-id";

    private static final List<String> HOP_BY_HOP_FIELDS = List.of("connection", "keep-alive",
            "proxy-connection", "te", "transfer-encoding", "upgrade", "content-length");
    /** Idle time-out of client connections, as a multiple of that of backend connections. */
    private static final int CLIENT_IDLE_FACTOR = 4;
    private static final long TIMEOUT_CHECK_INTERVAL_NS = 500_000_000L;
    private static final long NS_PER_MS = 1_000_000L;
    /** Connections over the limit that are answered with 503 at a time; more are closed without an answer. */
    private static final int MAX_REJECTED_CONNECTIONS = 64;
    /** How long a stopping proxy waits for the next request on a keep-alive connection. */
    private static final long STOP_IDLE_TIMEOUT_NS = 500_000_000L;
    /** Time for the last report to be acknowledged. */
    private static final long STOP_LAST_REPORT_NS = 400_000_000L;
    /** Part of the stop time-out that is left for clients to read the last answers. */
    private static final long STOP_LAST_ANSWERS_NS = 1_000_000_000L;

    private final ProxyConfig config;
    private final Loop loop;
    private final Router router;
    private final Tallies tallies;
    private final ReportQueue reports;
    private final ChannelClient channel;
    private final LoadColumns columns;
    private final MessageLimits limits = MessageLimits.defaults();
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

    /** Starts to listen and connects to a controller. */
    public Proxy(ProxyConfig config, Loop loop, Router router, RandomGenerator random, Tap tap)
            throws IOException {
        this.config = config;
        this.loop = loop;
        this.router = router;
        this.tallies = new Tallies(loop.now());
        this.reports = new ReportQueue(tallies);
        this.columns = new LoadColumns(config.site().loadColumns());
        this.pool = new ConnectionPool<>(new ClientStreamOperations(), policy().maxConnectionsPerBackend(),
                policy().maxIdlePerBackend());
        this.requestIdPrefix = config.number() + "-" + Long.toHexString(random.nextLong()) + "-";
        this.listener = loop.listen(config.listen(), ServerStream.options(), this::accept);
        this.channel = new ChannelClient(loop, config, router, reports, random, tap,
                () -> pool.closeIdleExcept(router::uses), this::completeStopIfReported);
        // A random first delay, so that proxies started together do not always report together.
        loop.after((long) (config.site().reportIntervalNs() * random.nextDouble()), this::sendReport);
        loop.after(config.backendIdleTimeoutNs() / 4 + 1, this::closeIdleConnections);
        loop.after(TIMEOUT_CHECK_INTERVAL_NS, this::checkTimeouts);
        channel.connect();
    }

    /** Starts a proxy with a router made from its configuration. */
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
            return connection.isAvailable();
        }

        @Override
        public boolean isUsableAfterIdle(ClientStream connection) {
            return connection.probeAvailable();
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

    /** Address on which it listens. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Whether the stream to a controller is up. */
    public boolean isJoined() {
        return channel.isUp();
    }

    /** Epoch and version of the routing state in force, separated by a slash. */
    public String epochAndVersion() {
        return router.epoch() + "/" + router.version();
    }

    /** Number of requests in flight. */
    public int requestsInFlight() {
        return activeRequests.size();
    }

    /** Number of connections to backends, idle and in use. */
    public int backendConnections() {
        return pool.openCount();
    }

    /** Number of connections of clients. */
    public int clientConnections() {
        return clients.size();
    }

    /**
     * Stops gracefully. Accepts no more connections; each further answer announces that its connection
     * closes, and idle connections are closed. Once the last is closed and all counts are acknowledged, or
     * the time-out for that has passed, says goodbye to the controller and runs {@code then}. Calls after the
     * first have no effect.
     */
    public void stop(Runnable then) {
        if (stopping) {
            return;
        }
        stopping = true;
        onStopped = then;
        listener.close();
        long timeoutNs = policy().stopTimeoutNs();
        long idleTimeoutNs = Math.min(STOP_IDLE_TIMEOUT_NS, timeoutNs / 4);
        List.copyOf(clients).forEach(c -> c.stop(idleTimeoutNs));
        loop.after(timeoutNs - Math.min(STOP_LAST_ANSWERS_NS, timeoutNs / 2), this::answerRemaining);
        loop.after(timeoutNs - lastReportTimeoutNs(), this::finishStop);
        loop.after(timeoutNs, this::completeStop);
        finishStopIfDone();
    }

    private void answerRemaining() {
        List.copyOf(activeRequests).forEach(ForwardedRequest::stop);
        List.copyOf(clients).forEach(ServerStream::closeIfIdle);
    }

    private void finishStopIfDone() {
        if (stopping && clients.isEmpty()) {
            finishStop();
        }
    }

    private long lastReportTimeoutNs() {
        return Math.min(STOP_LAST_REPORT_NS, policy().stopTimeoutNs() / 4);
    }

    /** Ends all requests and sends the last counts, which the controller should acknowledge. */
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

    // ---- services for forwarded requests -------------------------------------------------------------

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

    /** An idle connection or a new one, or null if the backend's connection limit is reached. */
    ClientStream acquireConnection(Backend backend) {
        ClientStream idle = pool.take(backend);
        if (idle != null || !pool.canOpen(backend)) {
            return idle;
        }
        pool.onOpened(backend);
        return ClientStream.open(loop, config.localAddress(), Addresses.toSocketAddress(backend),
                ServerStream.options().connectWithin(config.connectTimeoutNs()), limits,
                closed -> pool.onClosed(backend, closed));
    }

    /** Keeps a connection whose response is complete, or closes it if no table names its backend any more. */
    void releaseConnection(Backend backend, ClientStream connection) {
        if (router.uses(backend)) {
            pool.release(backend, connection);
        } else {
            connection.cancel();
        }
    }

    void onRequestEnded(ForwardedRequest request) {
        activeRequests.remove(request);
    }

    /** Answers a request without a backend. */
    void answerDirectly(ServerStream.Exchange exchange, int status, String reason) {
        exchange.respond(status, reason + "\n", REASON_FIELD, reason, "Content-Type", "text/plain");
    }

    /** The head to send to a backend; {@code remainingNs} is the time to the deadline. */
    MessagePart.RequestHead backendRequestHead(MessagePart.RequestHead head, Backend backend,
            long remainingNs) {
        HttpFields fields = endToEndFields(head.fields());
        fields.set("Host", backend.toString());
        fields.set(PROXY_NUMBER_FIELD, Integer.toString(config.number()));
        fields.add("Via", "1." + head.minorVersion() + " " + config.name());
        if (fields.get(REQUEST_ID_FIELD) == null) {
            fields.set(REQUEST_ID_FIELD, requestIdPrefix + ++lastRequestId);
        }
        fields.set(policy().deadlineField(), Long.toString(Math.max(1, remainingNs / NS_PER_MS)));
        return new MessagePart.RequestHead(head.method(), head.target(), 1, fields, head.contentLength());
    }

    /** The head to send to the client for a backend's response. */
    static MessagePart.ResponseHead clientResponseHead(MessagePart.ResponseHead head) {
        HttpFields fields = endToEndFields(head.fields());
        String length = head.fields().get("content-length");
        if (head.contentLength() == 0 && length != null) {
            fields.set("Content-Length", length); // in a response to HEAD, or a 304
        }
        fields.remove(OrcaLoadReport.HEADER_NAME);
        return new MessagePart.ResponseHead(head.status(), head.reason(), 1, fields, head.contentLength());
    }

    /** The fields without those that concern a single connection only (RFC 9110, 7.6.1). */
    private static HttpFields endToEndFields(HttpFields all) {
        HttpFields fields = all.copy();
        String connectionOptions = all.get("connection", "");
        for (String name : connectionOptions.split(",")) {
            fields.remove(name.trim());
        }
        HOP_BY_HOP_FIELDS.forEach(fields::remove);
        return fields;
    }

    // ---- requests ------------------------------------------------------------------------------------

    private ConnectionHandler accept(Connection connection) {
        InetAddress from = connection.remote().getAddress();
        int existing = connectionsByAddress.getOrDefault(from, 0);
        if (clients.size() >= config.maxClientConnections()
                || existing >= policy().maxConnectionsPerClient()) {
            return rejectedConnections < MAX_REJECTED_CONNECTIONS ? new RejectedClient() : null;
        }
        connectionsByAddress.put(from, existing + 1);
        ServerStream.Timeouts timeouts = new ServerStream.Timeouts(policy().headTimeoutNs(),
                CLIENT_IDLE_FACTOR * config.backendIdleTimeoutNs());
        ServerStream stream = new ServerStream(loop, limits, timeouts, this) {
            @Override
            public void onClose(Connection itsConnection, CloseReason reason, String detail) {
                clients.remove(this);
                connectionsByAddress.computeIfPresent(from, (a, n) -> n == 1 ? null : n - 1);
                super.onClose(itsConnection, reason, detail);
                finishStopIfDone();
            }
        };
        clients.add(stream);
        return stream;
    }

    /** Answers a connection over the limit with 503, whatever it has sent, and closes it. */
    private final class RejectedClient implements ConnectionHandler {

        RejectedClient() {
            rejectedConnections++;
        }

        @Override
        public void onOpen(Connection connection) {
            connection.send(Message.Response.of(503, "as many connections as may be\n", "Connection", "close",
                    REASON_FIELD, "as many connections as may be", NEVER_RAN_FIELD, "1").encode(false));
            connection.closeGracefully();
        }

        @Override
        public void onData(Connection connection, ByteBuffer bytes) { }

        @Override
        public void onClose(Connection connection, CloseReason reason, String detail) {
            rejectedConnections--;
        }
    }

    @Override
    public void onRequest(ServerStream.Exchange exchange) {
        MessagePart.RequestHead head = exchange.head();
        int cls = config.site().classIndex(head.path());
        if (cls < 0) {
            answerDirectly(exchange, 404, "no class has this path");
            return;
        }
        tallies.onRequest(cls);
        long timeoutNs = config.site().classes().get(cls).deadline();
        String stated = head.fields().get(policy().deadlineField());
        long millis = stated == null ? 0 : parseMillis(stated);
        if (millis < 0) {
            answerDirectly(exchange, 400, policy().deadlineField() + " is not a number of milliseconds");
            return;
        }
        timeoutNs = stated == null ? timeoutNs : Math.min(timeoutNs, millis * NS_PER_MS);
        // Checked before admission by level, which would use up a token.
        if (activeRequests.size() >= policy().maxRequestsInFlight()) {
            refuse(exchange, "as many requests in work as may be");
            return;
        }
        if (!router.tryAdmit(cls, loop.now())) {
            refuse(exchange, "refused by its level");
            return;
        }
        ForwardedRequest request = new ForwardedRequest(this, cls, exchange, timeoutNs);
        exchange.attachment = request;
        activeRequests.add(request);
        request.start();
    }

    private static long parseMillis(String text) {
        return text.matches("[0-9]{1,9}") ? Long.parseLong(text) : -1;
    }

    private void refuse(ServerStream.Exchange exchange, String reason) {
        exchange.respond(policy().refusalStatus(), reason + "\n", REASON_FIELD, reason,
                "Content-Type", "text/plain", "Retry-After", Integer.toString(policy().retryAfterSeconds()));
    }

    @Override
    public void onAborted(ServerStream.Exchange exchange) {
        if (exchange.attachment instanceof ForwardedRequest request) {
            request.abandon();
        }
    }

    // ---- periodic work -------------------------------------------------------------------------------

    private void checkTimeouts() {
        long nowNs = loop.now();
        List.copyOf(activeRequests).forEach(f -> f.checkTimeouts(nowNs));
        loop.after(TIMEOUT_CHECK_INTERVAL_NS, this::checkTimeouts);
    }

    private void closeIdleConnections() {
        pool.closeIdleBefore(loop.now() - config.backendIdleTimeoutNs());
        loop.after(config.backendIdleTimeoutNs() / 4 + 1, this::closeIdleConnections);
    }

    private void sendReport() {
        channel.sendReport();
        loop.after(config.site().reportIntervalNs(), this::sendReport);
    }
}
