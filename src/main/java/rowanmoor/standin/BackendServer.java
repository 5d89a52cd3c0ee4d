package rowanmoor.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import rowanmoor.ControlApi.Backend;
import rowanmoor.discovery.Addresses;
import rowanmoor.discovery.LoadColumns;
import rowanmoor.http.Message;
import rowanmoor.http.MessageLimits;
import rowanmoor.http.OrcaLoadReport;
import rowanmoor.http.ServerConnection;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;
import rowanmoor.proxy.Proxy;

/**
 * An HTTP/1.1 backend that simulates work with timers. A request states its work in {@value #WORK_FIELD}
 * (seconds on a core of speed 1). Every answer carries the load in ORCA format, and so does {@code /load}.
 */
public final class BackendServer implements ServerConnection.Service {

    /** Request field with the work, seconds on a core of speed 1. */
    public static final String WORK_FIELD = "x-work";
    /** Request field with an id for the ledger. */
    public static final String REQUEST_ID_FIELD = "x-request-id";
    private static final double NS_PER_SECOND = 1e9;
    private static final long UTILIZATION_WINDOW_NS = 500_000_000L;

    private final Loop loop;
    private final BackendModel model;
    private final int maxConnections;
    private final RandomGenerator random;
    private final Ledger ledger;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<Long, ServerConnection.Exchange> exchanges = new HashMap<>();
    private final Map<Long, Ledger.Entry> ledgerEntries = new HashMap<>();
    private InetSocketAddress address;
    private Backend backend;
    private Loop.Listener listener;
    private Timer workTimer;
    private long lastJob;
    private long refusedConnections;
    private double errorFraction;
    private double lostAnswerFraction;
    private double truncatedAnswerFraction;
    private double loadReportFactor = 1;
    private double utilization;
    private double lastBusySeconds;
    private double meanLatencyMs;
    private java.util.function.Predicate<InetSocketAddress> partitioned = a -> false;

    /**
     * Starts a warm backend.
     *
     * @param at address to listen on, port 0 for any
     * @param maxConnections connections that it holds at most
     * @throws IOException if the address cannot be bound
     */
    public BackendServer(Loop loop, InetSocketAddress at, BackendModel.Spec spec, int maxConnections,
            RandomGenerator random, Ledger ledger) throws IOException {
        this.loop = loop;
        this.model = new BackendModel(spec, loop.now());
        this.maxConnections = maxConnections;
        this.random = random;
        this.ledger = ledger;
        this.address = at;
        listen();
        this.backend = Addresses.toBackend(this.address);
        loop.after(UTILIZATION_WINDOW_NS, this::measureUtilization);
    }

    private void listen() throws IOException {
        listener = loop.listen(address, Connection.Options.defaults(), connection -> {
            if (connections.size() >= maxConnections) {
                refusedConnections++;
                return null;
            }
            connections.add(connection);
            return new ServerConnection(MessageLimits.defaults(), this) {
                @Override
                public void onOpen(Connection accepted) {
                    super.onOpen(accepted);
                    if (partitioned.test(accepted.remote())) {
                        accepted.pause(); // the operating system made the connection; it stays silent
                    }
                }

                @Override
                public void onClose(Connection accepted, CloseReason reason, String detail) {
                    connections.remove(accepted);
                    super.onClose(accepted, reason, detail);
                }
            };
        });
        address = listener.address();
    }

    /** Its address as the controllers know it. */
    public Backend backend() {
        return backend;
    }

    /** Its capacity model. */
    public BackendModel model() {
        return model;
    }

    /** Connections refused since it was created because it was at its limit. */
    public long refusedConnections() {
        return refusedConnections;
    }

    // ---- faults --------------------------------------------------------------------------------------

    /** The process crashes: its address refuses connections, its connections are reset, its work is lost. */
    public void crash() {
        if (listener == null) {
            return;
        }
        listener.close();
        listener = null;
        ledgerEntries.values().forEach(e -> e.close(Ledger.End.LOST, loop.now()));
        ledgerEntries.clear();
        exchanges.clear();
        model.stop(loop.now());
        List.copyOf(connections).forEach(c -> c.reset("crashed"));
    }

    /**
     * The process starts again, cold, at the same address.
     *
     * @throws IOException if the address cannot be bound
     */
    public void restart() throws IOException {
        if (listener == null) {
            model.start(loop.now());
            listen();
        }
    }

    /** Whether the process runs. */
    public boolean isRunning() {
        return listener != null;
    }

    /** Divides the backend's speed by a factor; 1 ends it. */
    public void setSlowdown(double factor) {
        model.setSlowdown(loop.now(), factor);
        schedule();
    }

    /** Stops all work while the connections stay open, or resumes it. */
    public void setStalled(boolean on) {
        model.setStalled(loop.now(), on);
        schedule();
    }

    /** Answers this fraction of the requests with 500 at once. */
    public void setErrorFraction(double fraction) {
        errorFraction = fraction;
    }

    /** Runs this fraction of the requests and never answers them. */
    public void setLostAnswerFraction(double fraction) {
        lostAnswerFraction = fraction;
    }

    /** Breaks the connection in the middle of the answer to this fraction of the requests. */
    public void setTruncatedAnswerFraction(double fraction) {
        truncatedAnswerFraction = fraction;
    }

    /** Multiplies reported load by a factor; 1 ends it. */
    public void setLoadReportFactor(double factor) {
        loadReportFactor = factor;
    }

    /** Partitions it from the addresses that match: no bytes pass either way. Null ends the partition. */
    public void partitionFrom(java.util.function.Predicate<InetSocketAddress> peers) {
        partitioned = peers == null ? a -> false : peers;
        for (Connection connection : List.copyOf(connections)) {
            if (partitioned.test(connection.remote())) {
                connection.pause();
            } else {
                connection.resume();
            }
        }
    }

    // ---- requests ------------------------------------------------------------------------------------

    @Override
    public void onRequest(Message.Request request, ServerConnection.Exchange exchange) {
        if (request.path().equals("/load")) {
            exchange.respond(withLoad(200, "ok\n"));
            return;
        }
        double work = parseNumber(request.fields().get(WORK_FIELD, "0"));
        String id = request.fields().get(REQUEST_ID_FIELD, "?");
        int proxy = (int) parseNumber(request.fields().get(Proxy.PROXY_NUMBER_FIELD, "-1"));
        Ledger.Entry entry = ledger.open(backend, id, request.path(), proxy, work, loop.now());
        if (errorFraction > 0 && random.nextDouble() < errorFraction) {
            entry.close(Ledger.End.FAILED, loop.now());
            exchange.respond(withLoad(500, "failed\n"));
            return;
        }
        long job = ++lastJob;
        boolean hadFallen = model.isFallen();
        BackendModel.Offer offer = model.offer(loop.now(), job, work);
        if (offer == BackendModel.Offer.TAKEN) {
            exchange.attachment = job;
            exchanges.put(job, exchange);
            ledgerEntries.put(job, entry);
        } else {
            entry.close(offer == BackendModel.Offer.FULL ? Ledger.End.FULL : Ledger.End.DOWN, loop.now());
            if (!hadFallen && model.isFallen()) {
                ledger.recordFall(backend, model.startedAt(), loop.now());
                ledgerEntries.values().forEach(e -> e.close(Ledger.End.LOST, loop.now()));
                ledgerEntries.clear();
                List.copyOf(exchanges.values()).forEach(ServerConnection.Exchange::abort);
                exchanges.clear();
            }
            exchange.respond(withLoad(503, "full\n", Proxy.NEVER_RAN_FIELD, "1"));
        }
        schedule();
    }

    private static double parseNumber(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    @Override
    public void onAborted(ServerConnection.Exchange exchange) {
        if (exchange.attachment instanceof Long job && exchanges.remove(job) != null
                && model.cancel(loop.now(), job, false)) {
            ledgerEntries.remove(job).close(Ledger.End.CANCELLED, loop.now());
            schedule();
        }
    }

    private void finishJobs() {
        for (long job : model.pollFinished(loop.now())) {
            Ledger.Entry entry = ledgerEntries.remove(job);
            ServerConnection.Exchange exchange = exchanges.remove(job);
            if (entry == null) {
                continue;
            }
            meanLatencyMs += ((loop.now() - entry.arrivedAt) / 1e6 - meanLatencyMs) / 8;
            entry.close(Ledger.End.SERVED, loop.now());
            if (exchange == null || lostAnswerFraction > 0 && random.nextDouble() < lostAnswerFraction) {
                continue;
            }
            if (truncatedAnswerFraction > 0 && random.nextDouble() < truncatedAnswerFraction) {
                exchange.abort();
            } else if (!partitioned.test(exchange.connection().remote())) {
                exchange.respond(withLoad(200, "done\n"));
            }
        }
        schedule();
    }

    private void schedule() {
        if (workTimer != null) {
            workTimer.cancel();
        }
        long time = model.nextEventAt();
        workTimer = time == Long.MAX_VALUE ? null : loop.at(time, this::finishJobs);
    }

    private void measureUtilization() {
        double busySeconds = model.busySeconds();
        utilization = Math.min(1, (busySeconds - lastBusySeconds) / (UTILIZATION_WINDOW_NS / NS_PER_SECOND)
                / model.spec().cores());
        lastBusySeconds = busySeconds;
        loop.after(UTILIZATION_WINDOW_NS, this::measureUtilization);
    }

    private Message.Response withLoad(int status, String text, String... extraFields) {
        Map<String, Double> load = new TreeMap<>();
        load.put(LoadColumns.orcaName("busy"), utilization * loadReportFactor);
        load.put(LoadColumns.orcaName("queue"), model.queued() * loadReportFactor);
        load.put(LoadColumns.orcaName("inflight"), model.inflight() * loadReportFactor);
        load.put(LoadColumns.orcaName("latency-ms"), meanLatencyMs * loadReportFactor);
        List<String> fields = new ArrayList<>(List.of(extraFields));
        fields.add(OrcaLoadReport.HEADER_NAME);
        fields.add(OrcaLoadReport.format(load));
        return Message.Response.of(status, text, fields.toArray(new String[0]));
    }
}
