package rowanmoor.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.ChannelStatus;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probe;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.Usage;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.channel.Frame;
import rowanmoor.discovery.Prober;
import rowanmoor.host.Fanout;
import rowanmoor.host.TickRunner;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.TickScheduler;
import rowanmoor.net.WriteLimit;

/**
 * One controller of the platform: the decision module on one event loop, with its peers, its catalog client
 * and its prober.
 */
final class PlatformController implements Peer.Listener, CatalogClient.Listener {

    private static final long NS_PER_MS = 1_000_000L;
    private static final long JOIN_TIMEOUT_NS = 900 * NS_PER_MS;
    private static final long PROBE_TIMEOUT_NS = 500 * NS_PER_MS;
    private static final int MAX_CONCURRENT_PROBES = 8;
    /**
     * Descriptors not available to peers: the JVM's own, two for the catalog, the probes and the listener.
     */
    private static final int RESERVED_DESCRIPTORS = 48 + MAX_CONCURRENT_PROBES;
    private static final int MIN_UNJOINED_LIMIT = 8;
    private static final int MAX_COLLECTORS_PER_ZONE = 3;
    private static final long MAX_QUEUED_BYTES = 128 << 10;
    private static final int MAX_QUEUED_MESSAGES = 8192;
    private static final long STATS_PERIOD_NS = 5_000 * NS_PER_MS;
    private static final long MAX_PROBLEM_LINES_PER_SECOND = 5;
    /** System property that enables the {@link BackendStateLog}. */
    private static final String STATE_LOG_PROPERTY = "rowanmoor.beliefs";
    private static final long STATE_LOG_PERIOD_NS = 1_000 * NS_PER_MS;

    private final PlatformConfig config;
    private final Loop loop;
    private final LongSupplier wallClockMs;
    private final Consumer<String> log;
    private final Runnable checkConfigFile;
    private final Settings settings;
    private final Messages messages;
    private final InstanceRegistry instances = new InstanceRegistry();
    private final CatalogView catalogView;
    private final Fanout fanout;
    private final TickRunner tickRunner;
    private final Translator translator;
    private final CatalogClient catalog;
    private final Prober prober;
    private final Loop.Listener listener;
    private final BackendStateLog stateLog; // null unless enabled
    private final Map<Integer, Peer> proxies = new HashMap<>();
    private final TreeMap<Integer, ArrayDeque<Peer>> collectors = new TreeMap<>();
    private final LinkedHashSet<Peer> unjoined = new LinkedHashSet<>();
    private final TickScheduler ticks;
    private int openConnections;
    private long problemSecond;
    private long problemsThisSecond;
    private long malformedCount;
    private long rejectedCount;
    private long decisionCount;
    private long decisionTimeNs;
    private long maxDecisionTimeNs;
    private double sentLines;

    /**
     * Starts to listen; connections are served once the loop runs.
     *
     * @param wallClockMs milliseconds since 1970
     * @param checkConfigFile starts a check for a changed configuration; returns at once
     * @throws IOException if the listen address cannot be bound
     */
    PlatformController(PlatformConfig config, Loop loop, LongSupplier wallClockMs, Consumer<String> log,
            Runnable checkConfigFile) throws IOException {
        this.config = config;
        this.loop = loop;
        this.wallClockMs = wallClockMs;
        this.log = log;
        this.checkConfigFile = checkConfigFile;
        this.settings = config.namedSettings().settings();
        this.messages = new Messages(config.namedSettings());
        this.catalogView = new CatalogView(config.namedSettings(), instances);
        this.fanout = new Fanout(settings.classes().size());
        this.tickRunner = new TickRunner(settings, config.seed(), System::nanoTime);
        this.ticks = new TickScheduler(loop, config.namedSettings().tick(), this::runTick,
                tickRunner::nextTickAt);
        this.translator = new Translator(config.namedSettings().classes(), instances, fanout);
        this.listener = loop.listen(config.listenAddress(), Connection.Options.defaults()
                .bound(new WriteLimit(MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGES,
                        WriteLimit.OverflowPolicy.CLOSE)),
                c -> accept());
        this.catalog = new CatalogClient(loop, config.catalogAddress(), config.seed(), this);
        this.prober = new Prober(loop, config.namedSettings().columns().isEmpty() ? "/ping" : "/_load",
                PROBE_TIMEOUT_NS, MAX_CONCURRENT_PROBES, instances::address,
                response -> parseLoadReport(response.body()), probed -> {
                    if (fanout.isKnown(probed.backend())) {
                        tickRunner.onProbeResult(probed);
                        ticks.requestTick();
                    }
                });
        this.stateLog = Boolean.getBoolean(STATE_LOG_PROPERTY) ? new BackendStateLog(instances, log) : null;
        if (stateLog != null) {
            loop.after(STATE_LOG_PERIOD_NS, this::writeStateLog);
        }
        applyKnownInstances();
        if (!settings.catalogOnRequest()) {
            catalog.follow();
        }
        ticks.requestTick();
        loop.after(STATS_PERIOD_NS, this::logStats);
        log.accept(config.name() + " listens at " + listener.address() + ", " + instances.size()
                + " instances known, catalog at " + config.catalogAddress());
    }

    /** The address at which it listens. */
    InetSocketAddress address() {
        return listener.address();
    }

    private void applyKnownInstances() {
        try {
            applyCatalogObject(config.knownInstances(), true);
        } catch (IOException e) {
            log.accept("known instances of the configuration not used: " + e.getMessage());
            tickRunner.onCatalog(new Members(CatalogUpdateKind.CACHED, 0, List.of()));
        }
    }

    private List<Double> parseLoadReport(byte[] body) {
        try {
            return Messages.parseLoad("load report", new String(body, StandardCharsets.UTF_8).trim(), "=",
                    config.namedSettings().columns());
        } catch (MalformedMessageException e) {
            malformedCount++;
            logProblem(e.getMessage());
            return List.of();
        }
    }

    /** Logs a problem; lines beyond {@code MAX_PROBLEM_LINES_PER_SECOND} are omitted. */
    private void logProblem(String problem) {
        long second = loop.now() / (1000 * NS_PER_MS);
        if (second != problemSecond) {
            problemSecond = second;
            problemsThisSecond = 0;
        }
        if (problemsThisSecond++ < MAX_PROBLEM_LINES_PER_SECOND) {
            log.accept(problem);
        }
    }

    // ---- peers --------------------------------------------------------------------------------------

    private Peer accept() {
        // Genuine peers join at once, so the connection that has been unjoined longest is closed first. Its
        // message may have arrived without being read yet, and it may have joined by that.
        while (!unjoined.isEmpty() && (isFull()
                || unjoined.size() >= Math.max(MIN_UNJOINED_LIMIT, config.maxSockets() / 2))) {
            Peer oldest = unjoined.iterator().next();
            oldest.readNow();
            if (unjoined.contains(oldest)) {
                rejectedCount++;
                oldest.abort("too many unjoined connections");
            }
        }
        if (isFull()) {
            rejectedCount++;
            return null;
        }
        Peer peer = new Peer(loop, this, JOIN_TIMEOUT_NS);
        unjoined.add(peer);
        openConnections++;
        return peer;
    }

    private boolean isFull() {
        return openConnections >= config.maxSockets() - RESERVED_DESCRIPTORS;
    }

    @Override
    public void onMessage(Peer peer, List<String> parts) throws MalformedMessageException {
        Message message = messages.parse(parts);
        if (message instanceof Message.Probe) {
            peer.send(List.of("alive"));
        } else if (message instanceof Message.Hello hello) {
            requireRole(peer, Peer.Role.UNJOINED, "hello");
            joinProxy(peer, hello);
        } else if (message instanceof Message.Agent agent) {
            requireRole(peer, Peer.Role.UNJOINED, "agent");
            joinCollector(peer, agent.zone());
        } else if (message instanceof Message.Ack ack) {
            requireRole(peer, Peer.Role.PROXY, "ack");
            if (ack.proxy() != peer.number() || !peer.acknowledge(ack.mark())) {
                throw new MalformedMessageException("ack node or nonce: not this stream's");
            }
            tickRunner.onStreamEvent(new Applied(ack.proxy(), ack.mark(), ack.latency()));
            ticks.requestTick();
        } else {
            handleReport(peer, message);
        }
    }

    private static void requireRole(Peer peer, Peer.Role role, String kind) throws MalformedMessageException {
        if (peer.role() != role) {
            throw new MalformedMessageException(kind + ": not from "
                    + (role == Peer.Role.UNJOINED ? "an unjoined connection" : "a proxy"));
        }
    }

    private void joinProxy(Peer peer, Message.Hello hello) {
        unjoined.remove(peer);
        Peer previous = proxies.get(hello.proxy());
        if (previous != null) {
            removeProxy(previous);
            previous.abort("replaced by a newer connection of the same proxy");
        }
        peer.assignRole(Peer.Role.PROXY, hello.proxy());
        proxies.put(hello.proxy(), peer);
        fanout.join(hello.proxy());
        tickRunner.onStreamEvent(new ProxyJoined(hello.proxy(), hello.zone(), hello.rate(), hello.fresh()));
        ticks.requestTick();
    }

    private void joinCollector(Peer peer, int zone) {
        unjoined.remove(peer);
        peer.assignRole(Peer.Role.COLLECTOR, zone);
        ArrayDeque<Peer> zoneCollectors = collectors.computeIfAbsent(zone, z -> new ArrayDeque<>());
        zoneCollectors.add(peer);
        if (zoneCollectors.size() > MAX_COLLECTORS_PER_ZONE) {
            zoneCollectors.peek().abort("replaced by a newer collector of the same zone");
        }
    }

    private void handleReport(Peer peer, Message message) throws MalformedMessageException {
        if (peer.role() == Peer.Role.UNJOINED) {
            throw new MalformedMessageException("a report from one that has not joined");
        }
        if (message instanceof Message.Outcomes o) {
            Backend backend = instances.find(o.instance());
            if (backend == null || !fanout.isKnown(backend)) {
                throw new MalformedMessageException(
                        "outcomes endpoint: unknown: " + Messages.sanitize(o.instance()));
            }
            Tally tally = new Tally(backend, o.zone(), o.tries(), o.failed(), o.latency(), o.span(),
                    o.load());
            if (stateLog != null) {
                stateLog.record(tally);
            }
            tickRunner.onReport(tally);
        } else if (message instanceof Message.Demand d) {
            tickRunner.onReport(new Usage(d.proxy(), d.cls(), d.requests(), d.failed(), d.span()));
        }
        ticks.requestTick();
    }

    @Override
    public void onMalformed(Peer peer, MalformedMessageException exception) {
        malformedCount++;
        logProblem("dropped: " + exception.getMessage());
    }

    @Override
    public void onClosed(Peer peer) {
        openConnections--;
    }

    @Override
    public void onEnded(Peer peer, String reason) {
        switch (peer.role()) {
            case UNJOINED -> unjoined.remove(peer);
            case COLLECTOR -> collectors.get(peer.number()).remove(peer);
            case PROXY -> removeProxy(peer);
        }
        if (peer.role() != Peer.Role.UNJOINED) {
            logProblem(peer.role() + " " + peer.number() + " left: " + reason);
        }
    }

    private void removeProxy(Peer peer) {
        if (proxies.remove(peer.number(), peer)) {
            fanout.leave(peer.number());
            tickRunner.onStreamEvent(new ProxyLeft(peer.number()));
            ticks.requestTick();
        }
    }

    // ---- catalog ------------------------------------------------------------------------------------

    @Override
    public long generation() {
        return catalogView.generation();
    }

    @Override
    public void onObject(Map<String, Object> object) throws IOException {
        applyCatalogObject(object, false);
    }

    private void applyCatalogObject(Map<String, Object> object, boolean known) throws IOException {
        List<String> problems = new ArrayList<>();
        Members members = catalogView.apply(loop.now(), wallClockMs.getAsLong(), object, known, problems);
        problems.forEach(p -> logProblem("catalog: " + p));
        if (members != null) {
            log.accept("catalog: " + members.kind() + " " + members.version() + ": " + countByState(members));
            fanout.onCatalog(members);
            tickRunner.onCatalog(members);
            ticks.requestTick();
        }
    }

    /** The number of entries in each state, to log a list of any length in one line. */
    private static String countByState(Members members) {
        TreeMap<Availability, Integer> counts = new TreeMap<>();
        members.entries().forEach(m -> counts.merge(m.availability(), 1, Integer::sum));
        return counts.toString();
    }

    @Override
    public boolean onWatchLost(String reason) {
        logProblem("catalog: watch over: " + reason);
        checkConfigFile.run(); // the catalog may have moved
        if (settings.catalogOnRequest()) {
            tickRunner.onCatalog(new Members(CatalogUpdateKind.FAILED, catalogView.generation(), List.of()));
            ticks.requestTick();
        }
        return !settings.catalogOnRequest();
    }

    /** Applies a new configuration: only the catalog's address; all other changes need a restart. */
    void reload(PlatformConfig newConfig) {
        log.accept("configuration read again, catalog at " + newConfig.catalogAddress());
        catalog.setAddress(newConfig.catalogAddress());
    }

    // ---- ticks --------------------------------------------------------------------------------------

    private void runTick(long now) {
        TickRunner.TickResult result = tickRunner.runTick(now);
        if (result != null) {
            decisionCount++;
            decisionTimeNs += result.decisionTime();
            maxDecisionTimeNs = Math.max(maxDecisionTimeNs, result.decisionTime());
            execute(result.actions());
        }
    }

    private void execute(List<Action> actions) {
        fanout.ordersByProxy(actions).forEach(this::sendOrders);
        for (Action action : actions) {
            if (action instanceof Probe a) {
                prober.probe(a.backend());
            } else if (action instanceof Watch a && a.on()) {
                catalog.follow();
            } else if (action instanceof Log a) {
                log.accept(instances.withInstanceIds(a.text()));
            } else if (action instanceof Withdraw a && !a.withdrawn() && !fanout.isKnown(a.backend())) {
                catalogView.forget(a.backend());
            }
        }
    }

    private void sendOrders(int proxy, List<Frame.Order> orders) {
        Peer peer = proxies.get(proxy);
        if (peer != null) {
            for (Frame.Order order : orders) {
                if (order instanceof Frame.Mark mark) {
                    peer.addPendingMark(mark.number());
                }
            }
            sentLines += settings.channel().messageOverhead();
            for (List<String> part : translator.pushMessages(proxy, orders)) {
                sentLines += Translator.lineCount(part);
                send(proxy, part);
            }
        }
    }

    private void writeStateLog() {
        stateLog.write(tickRunner.backendEstimates(loop.now()), fanout.pickShares());
        loop.after(STATE_LOG_PERIOD_NS, this::writeStateLog);
    }

    // ---- statistics, for the log and for tests ------------------------------------------------------

    /** Proxies that have joined and not left. */
    int joinedProxies() {
        return proxies.size();
    }

    /** Connections of peers whose descriptors are still held. */
    int openConnections() {
        return openConnections;
    }

    /** Malformed messages and load reports so far. */
    long malformedCount() {
        return malformedCount;
    }

    /** Size of the largest map of backends, to detect leaks. */
    int trackedCount() {
        return Math.max(Math.max(instances.size(), catalogView.trackedCount()), fanout.knownBackendCount());
    }

    /** Bytes queued for a joined proxy. */
    long queuedBytes(int proxy) {
        return proxies.get(proxy).queuedBytes();
    }

    /** Sends a message to a proxy; does nothing if it has not joined. */
    void send(int proxy, List<String> message) {
        Peer peer = proxies.get(proxy);
        if (peer != null) {
            peer.send(message);
        }
    }

    private void logStats() {
        Runtime runtime = Runtime.getRuntime();
        ChannelStatus channel = tickRunner.channelStatus(loop.now());
        log.accept("stats: " + proxies.size() + " proxies, " + unjoined.size() + " unjoined, "
                + openConnections + " open, " + instances.size() + " instances, " + catalogView.trackedCount()
                + " listed, " + malformedCount + " malformed, " + Math.round(sentLines) + " lines sent, "
                + Math.round(channel.waitingLines()) + " lines waiting, " + channel.waitingBinds()
                + " binds waiting, " + channel.uninformedProxies() + " uninformed for up to "
                + channel.oldestUninformed() / NS_PER_MS + " ms, " + rejectedCount + " rejected, "
                + decisionCount + " decisions, mean "
                + decisionTimeNs / Math.max(1, decisionCount) / 1000 + " us, max "
                + maxDecisionTimeNs / 1000 + " us, heap "
                + (runtime.totalMemory() - runtime.freeMemory()) / 1024 + " KiB");
        decisionCount = 0;
        decisionTimeNs = 0;
        maxDecisionTimeNs = 0;
        sentLines = 0;
        loop.after(STATS_PERIOD_NS, this::logStats);
    }
}
