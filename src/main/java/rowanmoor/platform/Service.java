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
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Availability;
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
import rowanmoor.net.WriteLimit;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.TickScheduler;

/** One real controller of the platform: a module on one loop, with its peers, its catalog and its probes. */
final class Service implements Peer.Owner, Catalog.Owner {

    private static final long MILLI = 1_000_000L;
    private static final long JOIN_WITHIN = 900 * MILLI;
    private static final long PROBE_WITHIN = 500 * MILLI;
    private static final int PROBES_AT_ONCE = 8;
    /** Descriptors kept back: the JVM's own, the catalog's two, probes, and the listener. */
    private static final int KEPT_BACK = 48 + PROBES_AT_ONCE;
    private static final int UNJOINED_LEAST = 8;
    private static final int COLLECTORS_A_ZONE = 3;
    private static final long UNREAD_MOST = 128 << 10;
    private static final int MESSAGES_UNREAD_MOST = 8192;
    private static final long STATS_EVERY = 5_000 * MILLI;
    private static final long TROUBLES_A_SECOND = 5;
    /** The JVM's property that switches the record of beliefs on. */
    private static final String BELIEFS = "rowanmoor.beliefs";
    private static final long BELIEFS_EVERY = 1_000 * MILLI;

    private final PlatformConfig config;
    private final Loop loop;
    private final LongSupplier wall;
    private final Consumer<String> log;
    private final Runnable lookAgain;
    private final Settings settings;
    private final Messages messages;
    private final Names names = new Names();
    private final CatalogView view;
    private final Fanout fanout;
    private final TickRunner turns;
    private final Translator translator;
    private final Catalog catalog;
    private final Prober prober;
    private final Loop.Listener listener;
    private final Beliefs beliefs; // null unless it is switched on
    private final Map<Integer, Peer> proxies = new HashMap<>();
    private final TreeMap<Integer, ArrayDeque<Peer>> collectors = new TreeMap<>();
    private final LinkedHashSet<Peer> unjoined = new LinkedHashSet<>();
    private final TickScheduler ticks;
    private int open;
    private long troubleSecond;
    private long troublesTold;
    private long malformed;
    private long turnedAway;
    private long decides;
    private long decideTime;
    private long longestDecide;
    private double lines;

    /**
     * Listens at once; answers as soon as the loop turns.
     *
     * @param wall milliseconds since 1970
     * @param lookAgain looks whether there is another configuration; returns at once
     */
    Service(PlatformConfig config, Loop loop, LongSupplier wall, Consumer<String> log, Runnable lookAgain)
            throws IOException {
        this.config = config;
        this.loop = loop;
        this.wall = wall;
        this.log = log;
        this.lookAgain = lookAgain;
        this.settings = config.told().settings();
        this.messages = new Messages(config.told());
        this.view = new CatalogView(config.told(), names);
        this.fanout = new Fanout(settings.classes().size());
        this.turns = new TickRunner(settings, config.seed(), System::nanoTime);
        this.ticks = new TickScheduler(loop, config.told().tick(), this::turn, turns::nextTickAt);
        this.translator = new Translator(config.told().classes(), names, fanout);
        this.listener = loop.listen(config.listen(), Connection.Options.defaults()
                .bound(new WriteLimit(UNREAD_MOST, MESSAGES_UNREAD_MOST, WriteLimit.OverflowPolicy.CLOSE)), c -> accept());
        this.catalog = new Catalog(loop, config.discovery(), config.seed(), this);
        this.prober = new Prober(loop, config.told().columns().isEmpty() ? "/ping" : "/_load", PROBE_WITHIN,
                PROBES_AT_ONCE, names::address, answer -> load(answer.body()), probed -> {
                    if (fanout.isKnown(probed.backend())) {
                        turns.onProbeResult(probed);
                        ticks.requestTick();
                    }
                });
        this.beliefs = Boolean.getBoolean(BELIEFS) ? new Beliefs(names, log) : null;
        if (beliefs != null) {
            loop.after(BELIEFS_EVERY, this::believe);
        }
        takeKnown();
        if (!settings.catalogOnRequest()) {
            catalog.follow();
        }
        ticks.requestTick();
        loop.after(STATS_EVERY, this::stats);
        log.accept(config.name() + " listens at " + listener.address() + ", " + names.count()
                + " instances known, catalog at " + config.discovery());
    }

    InetSocketAddress address() {
        return listener.address();
    }

    private void takeKnown() {
        try {
            tell(config.known(), true);
        } catch (IOException e) {
            log.accept("known list not used: " + e.getMessage());
            turns.onCatalog(new Members(CatalogUpdateKind.CACHED, 0, List.of()));
        }
    }

    private List<Double> load(byte[] body) {
        try {
            return Messages.load("load report", new String(body, StandardCharsets.UTF_8).trim(), "=",
                    config.told().columns());
        } catch (MalformedMessageException e) {
            malformed++;
            trouble(e.getMessage());
            return List.of();
        }
    }

    /** One line of trouble; so many a second, the rest is only counted. */
    private void trouble(String what) {
        long second = loop.now() / (1000 * MILLI);
        if (second != troubleSecond) {
            troubleSecond = second;
            troublesTold = 0;
        }
        if (troublesTold++ < TROUBLES_A_SECOND) {
            log.accept(what);
        }
    }

    // ---- peers ---------------------------------------------------------------------------------------

    private Peer accept() {
        // Real peers say who they are at once: who has been silent longest goes first. What it has said may
        // not have been read yet, and it may have joined by it.
        while (!unjoined.isEmpty() && (isFull()
                || unjoined.size() >= Math.max(UNJOINED_LEAST, config.sockets() / 2))) {
            Peer oldest = unjoined.iterator().next();
            oldest.hearNow();
            if (unjoined.contains(oldest)) {
                turnedAway++;
                oldest.drop("too many that have not joined");
            }
        }
        if (isFull()) {
            turnedAway++;
            return null;
        }
        Peer peer = new Peer(loop, this, JOIN_WITHIN);
        unjoined.add(peer);
        open++;
        return peer;
    }

    private boolean isFull() {
        return open >= config.sockets() - KEPT_BACK;
    }

    @Override
    public void heard(Peer peer, List<String> parts) throws MalformedMessageException {
        Message message = messages.read(parts);
        if (message instanceof Message.Probe) {
            peer.send(List.of("alive"));
        } else if (message instanceof Message.Hello hello) {
            expect(peer, Peer.Role.UNJOINED, "hello");
            join(peer, hello);
        } else if (message instanceof Message.Agent agent) {
            expect(peer, Peer.Role.UNJOINED, "agent");
            collect(peer, agent.zone());
        } else if (message instanceof Message.Ack ack) {
            expect(peer, Peer.Role.PROXY, "ack");
            if (ack.proxy() != peer.number() || !peer.answers(ack.mark())) {
                throw new MalformedMessageException("ack node or nonce: not this stream's");
            }
            turns.onStreamEvent(new Applied(ack.proxy(), ack.mark(), ack.latency()));
            ticks.requestTick();
        } else {
            report(peer, message);
        }
    }

    private static void expect(Peer peer, Peer.Role role, String kind) throws MalformedMessageException {
        if (peer.role() != role) {
            throw new MalformedMessageException(kind + ": not from "
                    + (role == Peer.Role.UNJOINED ? "an unjoined connection" : "a proxy"));
        }
    }

    private void join(Peer peer, Message.Hello hello) {
        unjoined.remove(peer);
        Peer old = proxies.get(hello.proxy());
        if (old != null) {
            left(old);
            old.drop("the same proxy has joined again");
        }
        peer.is(Peer.Role.PROXY, hello.proxy());
        proxies.put(hello.proxy(), peer);
        fanout.join(hello.proxy());
        turns.onStreamEvent(new ProxyJoined(hello.proxy(), hello.zone(), hello.rate(), hello.fresh()));
        ticks.requestTick();
    }

    private void collect(Peer peer, int zone) {
        unjoined.remove(peer);
        peer.is(Peer.Role.COLLECTOR, zone);
        ArrayDeque<Peer> ofZone = collectors.computeIfAbsent(zone, z -> new ArrayDeque<>());
        ofZone.add(peer);
        if (ofZone.size() > COLLECTORS_A_ZONE) {
            ofZone.peek().drop("newer collectors of its zone have come");
        }
    }

    private void report(Peer peer, Message message) throws MalformedMessageException {
        if (peer.role() == Peer.Role.UNJOINED) {
            throw new MalformedMessageException("a report from one that has not joined");
        }
        if (message instanceof Message.Outcomes o) {
            Backend backend = names.known(o.instance());
            if (backend == null || !fanout.isKnown(backend)) {
                throw new MalformedMessageException(
                        "outcomes endpoint: unknown: " + Messages.cut(o.instance()));
            }
            Tally tally = new Tally(backend, o.zone(), o.tries(), o.failed(), o.latency(), o.span(),
                    o.load());
            if (beliefs != null) {
                beliefs.hear(tally);
            }
            turns.onReport(tally);
        } else if (message instanceof Message.Demand d) {
            turns.onReport(new Usage(d.proxy(), d.cls(), d.requests(), d.failed(), d.span()));
        }
        ticks.requestTick();
    }

    @Override
    public void dropped(Peer peer, MalformedMessageException why) {
        malformed++;
        trouble("dropped: " + why.getMessage());
    }

    @Override
    public void closed(Peer peer) {
        open--;
    }

    @Override
    public void over(Peer peer, String why) {
        switch (peer.role()) {
            case UNJOINED -> unjoined.remove(peer);
            case COLLECTOR -> collectors.get(peer.number()).remove(peer);
            case PROXY -> left(peer);
        }
        if (peer.role() != Peer.Role.UNJOINED) {
            trouble(peer.role() + " " + peer.number() + " over: " + why);
        }
    }

    private void left(Peer peer) {
        if (proxies.remove(peer.number(), peer)) {
            fanout.leave(peer.number());
            turns.onStreamEvent(new ProxyLeft(peer.number()));
            ticks.requestTick();
        }
    }

    // ---- catalog -------------------------------------------------------------------------------------

    @Override
    public long generation() {
        return view.generation();
    }

    @Override
    public void take(Map<String, Object> object) throws IOException {
        tell(object, false);
    }

    private void tell(Map<String, Object> object, boolean known) throws IOException {
        List<String> problems = new ArrayList<>();
        Members members = view.take(loop.now(), wall.getAsLong(), object, known, problems);
        problems.forEach(p -> trouble("catalog: " + p));
        if (members != null) {
            log.accept("catalog: " + members.kind() + " " + members.version() + ": " + count(members));
            fanout.onCatalog(members);
            turns.onCatalog(members);
            ticks.requestTick();
        }
    }

    /** How many entries there are of each kind: one line, however long the list. */
    private static String count(Members members) {
        TreeMap<Availability, Integer> counts = new TreeMap<>();
        members.entries().forEach(m -> counts.merge(m.availability(), 1, Integer::sum));
        return counts.toString();
    }

    @Override
    public boolean broken(String why) {
        trouble("catalog: watch over: " + why);
        lookAgain.run(); // it may be elsewhere
        if (settings.catalogOnRequest()) {
            turns.onCatalog(new Members(CatalogUpdateKind.FAILED, view.generation(), List.of()));
            ticks.requestTick();
        }
        return !settings.catalogOnRequest();
    }

    /** A new configuration: a changed catalog is followed; all else holds from the next start. */
    void reload(PlatformConfig other) {
        log.accept("configuration read again, catalog at " + other.discovery());
        catalog.moveTo(other.discovery());
    }

    // ---- turns ---------------------------------------------------------------------------------------

    private void turn(long now) {
        TickRunner.TickResult turn = turns.runTick(now);
        if (turn != null) {
            decides++;
            decideTime += turn.decisionTime();
            longestDecide = Math.max(longestDecide, turn.decisionTime());
            carryOut(turn.actions());
        }
    }

    private void carryOut(List<Action> actions) {
        fanout.ordersByProxy(actions).forEach(this::write);
        for (Action action : actions) {
            if (action instanceof Probe a) {
                prober.probe(a.backend());
            } else if (action instanceof Watch a && a.on()) {
                catalog.follow();
            } else if (action instanceof Log a) {
                log.accept(names.named(a.text()));
            } else if (action instanceof Withdraw a && !a.withdrawn() && !fanout.isKnown(a.backend())) {
                view.forget(a.backend());
            }
        }
    }

    private void write(int proxy, List<Frame.Order> orders) {
        Peer peer = proxies.get(proxy);
        if (peer != null) {
            for (Frame.Order order : orders) {
                if (order instanceof Frame.Mark mark) {
                    peer.marked(mark.number());
                }
            }
            lines += settings.channel().messageOverhead();
            for (List<String> part : translator.push(proxy, orders)) {
                lines += Translator.lines(part);
                sendTo(proxy, part);
            }
        }
    }

    private void believe() {
        beliefs.write(turns.backendEstimates(loop.now()), fanout.pickShares());
        loop.after(BELIEFS_EVERY, this::believe);
    }

    // ---- figures, for the log and for tests ----------------------------------------------------------

    int joinedCount() {
        return proxies.size();
    }

    /** Connections at the controller's address whose descriptors are held. */
    int openPeers() {
        return open;
    }

    long malformed() {
        return malformed;
    }

    /** The most that any book of backends holds. */
    int remembered() {
        return Math.max(Math.max(names.count(), view.remembered()), fanout.knownBackendCount());
    }

    /** Bytes that wait for a joined proxy. */
    long unread(int proxy) {
        return proxies.get(proxy).unread();
    }

    /** Writes to a proxy's stream. */
    void sendTo(int proxy, List<String> message) {
        Peer peer = proxies.get(proxy);
        if (peer != null) {
            peer.send(message);
        }
    }

    private void stats() {
        Runtime runtime = Runtime.getRuntime();
        log.accept("stats: " + proxies.size() + " proxies, " + unjoined.size() + " unjoined, " + open
                + " open, " + names.count() + " names, " + view.remembered() + " listed, " + malformed
                + " malformed, " + Math.round(lines) + " lines ordered, " + turnedAway + " turned away, "
                + decides + " decides of mean " + decideTime / Math.max(1, decides) / 1000 + " us, longest "
                + longestDecide / 1000 + " us, heap "
                + (runtime.totalMemory() - runtime.freeMemory()) / 1024 + " KiB");
        decides = 0;
        decideTime = 0;
        longestDecide = 0;
        lines = 0;
        loop.after(STATS_EVERY, this::stats);
    }
}
