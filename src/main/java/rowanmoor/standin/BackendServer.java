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
import rowanmoor.http.MessageLimits;
import rowanmoor.http.Message;
import rowanmoor.http.OrcaLoadReport;
import rowanmoor.http.ServerConnection;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;
import rowanmoor.proxy.Proxy;

/**
 * An HTTP/1.1 backend whose work is done by timers. A request states its work in {@value #WORK} (seconds on a
 * core of speed 1). Its load is in every answer and at {@code /load}, in ORCA's form.
 */
public final class BackendServer implements ServerConnection.Service {

    public static final String WORK_FIELD = "x-work";
    public static final String REQUEST_ID_FIELD = "x-request-id";
    private static final double SECOND = 1e9;
    private static final long BUSY_SPAN = 500_000_000L;

    private final Loop loop;
    private final BackendModel model;
    private final int connectionsMost;
    private final RandomGenerator random;
    private final Ledger ledger;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<Long, ServerConnection.Exchange> working = new HashMap<>();
    private final Map<Long, Ledger.Entry> entries = new HashMap<>();
    private InetSocketAddress at;
    private Backend backend;
    private Loop.Listener listener;
    private Timer next;
    private long number;
    private long turnedAway;
    private double failing;
    private double lost;
    private double broken;
    private double loadFactor = 1;
    private double busy;
    private double busyBefore;
    private double latency;
    private java.util.function.Predicate<InetSocketAddress> cut = a -> false;

    public BackendServer(Loop loop, InetSocketAddress at, BackendModel.Spec spec, int connectionsMost,
            RandomGenerator random, Ledger ledger) throws IOException {
        this.loop = loop;
        this.model = new BackendModel(spec, loop.now());
        this.connectionsMost = connectionsMost;
        this.random = random;
        this.ledger = ledger;
        this.at = at;
        listen();
        this.backend = Addresses.toBackend(this.at);
        loop.after(BUSY_SPAN, this::measure);
    }

    private void listen() throws IOException {
        listener = loop.listen(at, Connection.Options.defaults(), connection -> {
            if (connections.size() >= connectionsMost) {
                turnedAway++;
                return null;
            }
            connections.add(connection);
            return new ServerConnection(MessageLimits.defaults(), this) {
                @Override
                public void onOpen(Connection its) {
                    super.onOpen(its);
                    if (cut.test(its.remote())) {
                        its.pause(); // made by the system, and silent
                    }
                }

                @Override
                public void onClose(Connection its, CloseReason why, String detail) {
                    connections.remove(its);
                    super.onClose(its, why, detail);
                }
            };
        });
        at = listener.address();
    }

    public Backend backend() {
        return backend;
    }

    public BackendModel model() {
        return model;
    }

    /** Connections that it did not take since it was made, because it held as many as it may. */
    public long refusedConnections() {
        return turnedAway;
    }

    // ---- troubles ------------------------------------------------------------------------------------

    /** The process dies: its address refuses, its connections break, its work is gone. */
    public void crash() {
        if (listener == null) {
            return;
        }
        listener.close();
        listener = null;
        entries.values().forEach(e -> e.close(Ledger.End.LOST, loop.now()));
        entries.clear();
        working.clear();
        model.stop(loop.now());
        List.copyOf(connections).forEach(c -> c.reset("crashed"));
    }

    /** The process starts again, cold, at the same address. */
    public void restart() throws IOException {
        if (listener == null) {
            model.start(loop.now());
            listen();
        }
    }

    public boolean isRunning() {
        return listener != null;
    }

    public void setSlowdown(double factor) {
        model.setSlowdown(loop.now(), factor);
        schedule();
    }

    public void setStalled(boolean on) {
        model.setStalled(loop.now(), on);
        schedule();
    }

    /** This share of requests is answered 500 at once. */
    public void setErrorFraction(double share) {
        failing = share;
    }

    /** This share of requests is done and never answered. */
    public void setLostAnswerFraction(double share) {
        lost = share;
    }

    /** This share of requests is broken off in mid-answer. */
    public void setTruncatedAnswerFraction(double share) {
        broken = share;
    }

    /** Load reports are so many times the truth. */
    public void setLoadReportFactor(double factor) {
        loadFactor = factor;
    }

    /** Hears nothing from, and says nothing to, the addresses that this holds of; null ends it. */
    public void partitionFrom(java.util.function.Predicate<InetSocketAddress> from) {
        cut = from == null ? a -> false : from;
        for (Connection connection : List.copyOf(connections)) {
            if (cut.test(connection.remote())) {
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
        double work = seconds(request.fields().get(WORK_FIELD, "0"));
        String id = request.fields().get(REQUEST_ID_FIELD, "?");
        int proxy = (int) seconds(request.fields().get(Proxy.PROXY_NUMBER_FIELD, "-1"));
        Ledger.Entry entry = ledger.open(backend, id, request.path(), proxy, work, loop.now());
        if (failing > 0 && random.nextDouble() < failing) {
            entry.close(Ledger.End.FAILED, loop.now());
            exchange.respond(withLoad(500, "failed\n"));
            return;
        }
        long job = ++number;
        boolean fallen = model.isFallen();
        BackendModel.Offer offer = model.offer(loop.now(), job, work);
        if (offer == BackendModel.Offer.TAKEN) {
            exchange.attachment = job;
            working.put(job, exchange);
            entries.put(job, entry);
        } else {
            entry.close(offer == BackendModel.Offer.FULL ? Ledger.End.FULL : Ledger.End.DOWN, loop.now());
            if (!fallen && model.isFallen()) {
                ledger.fell(backend, model.startedAt(), loop.now());
                entries.values().forEach(e -> e.close(Ledger.End.LOST, loop.now()));
                entries.clear();
                List.copyOf(working.values()).forEach(ServerConnection.Exchange::abort);
                working.clear();
            }
            exchange.respond(withLoad(503, "full\n", Proxy.NEVER_RAN_FIELD, "1"));
        }
        schedule();
    }

    private static double seconds(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    @Override
    public void onAborted(ServerConnection.Exchange exchange) {
        if (exchange.attachment instanceof Long job && working.remove(job) != null
                && model.cancel(loop.now(), job, false)) {
            entries.remove(job).close(Ledger.End.CANCELLED, loop.now());
            schedule();
        }
    }

    private void finishSome() {
        for (long job : model.ended(loop.now())) {
            Ledger.Entry entry = entries.remove(job);
            ServerConnection.Exchange exchange = working.remove(job);
            if (entry == null) {
                continue;
            }
            latency += ((loop.now() - entry.arrivedAt) / 1e6 - latency) / 8;
            entry.close(Ledger.End.SERVED, loop.now());
            if (exchange == null || lost > 0 && random.nextDouble() < lost) {
                continue;
            }
            if (broken > 0 && random.nextDouble() < broken) {
                exchange.abort();
            } else if (!cut.test(exchange.connection().remote())) {
                exchange.respond(withLoad(200, "done\n"));
            }
        }
        schedule();
    }

    private void schedule() {
        if (next != null) {
            next.cancel();
        }
        long time = model.nextAt();
        next = time == Long.MAX_VALUE ? null : loop.at(time, this::finishSome);
    }

    private void measure() {
        double now = model.busySeconds();
        busy = Math.min(1, (now - busyBefore) / (BUSY_SPAN / SECOND) / model.spec().cores());
        busyBefore = now;
        loop.after(BUSY_SPAN, this::measure);
    }

    private Message.Response withLoad(int status, String text, String... more) {
        Map<String, Double> load = new TreeMap<>();
        load.put(LoadColumns.orcaName("busy"), busy * loadFactor);
        load.put(LoadColumns.orcaName("queue"), model.queued() * loadFactor);
        load.put(LoadColumns.orcaName("inflight"), model.inflight() * loadFactor);
        load.put(LoadColumns.orcaName("latency-ms"), latency * loadFactor);
        List<String> fields = new ArrayList<>(List.of(more));
        fields.add(OrcaLoadReport.HEADER_NAME);
        fields.add(OrcaLoadReport.format(load));
        return Message.Response.of(status, text, fields.toArray(new String[0]));
    }
}
