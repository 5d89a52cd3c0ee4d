package rowanmoor.controller;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Settings;
import rowanmoor.capture.CaptureWriter;
import rowanmoor.capture.LoadRecord;
import rowanmoor.channel.Frame;
import rowanmoor.channel.ReportReceiver;
import rowanmoor.config.ControllerConfig;
import rowanmoor.discovery.Addresses;
import rowanmoor.discovery.LoadColumns;
import rowanmoor.discovery.Prober;
import rowanmoor.discovery.RosterClient;
import rowanmoor.http.Orca;
import rowanmoor.net.Bound;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Ticks;

/** The daemon: one {@link Driver} on one loop, with its streams, its roster and its probes. */
public final class Controller implements Driver.Environment, ProxyStream.Owner {

    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final int FRAMES_MOST = 65536;
    private static final long HIGHEST_TIMED = 60_000_000_000L;

    private final ControllerConfig config;
    private final Loop loop;
    private final Driver driver;
    private final RosterClient roster;
    private final Prober prober;
    private final Trace trace;
    private final CaptureWriter capture;
    private final Loop.Listener listener;
    private final Map<Integer, ProxyStream> streams = new TreeMap<>();
    private final ReportReceiver reports = new ReportReceiver();
    private final Histogram decided = new Histogram(HIGHEST_TIMED, 3);
    private final Ticks ticks;
    private int open;

    /**
     * Listens at once.
     *
     * @param seed seeds the module
     * @param epoch names this start; another at every start
     * @param wall milliseconds since 1970, by which the roster states when backends started
     */
    public Controller(ControllerConfig config, Loop loop, long seed, long epoch, LongSupplier wall)
            throws IOException {
        this.config = config;
        this.loop = loop;
        Settings settings = config.site().settings(config.instances());
        this.trace = config.trace() == null ? null : new Trace(config.trace(), settings, seed,
                why -> LOG.error("trace ended {}", kv("why", why)));
        this.capture = config.capture() == null ? null : new CaptureWriter(config.capture(),
                new LoadRecord.Start(loop.now(), wall.getAsLong(), config.rank(), epoch,
                        config.site().zones(),
                        config.site().kinds(), config.site().classNames()), text -> LOG.error("capture {}",
                                kv("what", text)));
        this.ticks = new Ticks(loop, config.tick(), now -> driver().tick(now), () -> driver().nextTickAt());
        this.driver = new Driver(settings, seed, epoch, loop.now(), this, System::nanoTime);
        this.roster = new RosterClient(loop, config.roster(), config.service(), "rowanmoor-" + config.rank(),
                config.rosterWait(),
                config.emptyHold(), config.site().zones(), config.site().kinds(), wall, members -> {
                    driver.onMembers(members);
                    members.entries().forEach(this::captureListed);
                    ticks.soon();
                }, text -> LOG.warn("roster {}", kv("what", text)));
        LoadColumns columns = new LoadColumns(config.site().columns());
        this.prober = new Prober(loop, config.probePath(), config.probeWithin(), config.probesAtOnce(),
                Addresses::toSocketAddress, answer -> columns.parse(answer.fields().get(Orca.FIELD)), probed -> {
                    driver.onProbeResult(probed);
                    ticks.soon();
                });
        this.listener = loop.listen(config.listen(), options(), this::accept);
        driver.onMembers(roster.view().initialMembers());
        ticks.soon();
        stats();
        LOG.info("listening {} {}", kv("at", address().getAddress().getHostAddress() + ":"
                + address().getPort()), kv("epoch", epoch));
    }

    private Connection.Options options() {
        // A proxy that does not read is let go: it joins again and gets what it needs in one message.
        return Connection.Options.usual().idleAfter(config.silentAfter())
                .bound(new Bound(config.queueBytes(), FRAMES_MOST, Bound.Policy.CLOSE));
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    public Driver driver() {
        return driver;
    }

    private ProxyStream accept(Connection connection) {
        if (open >= config.streamsMost()) {
            LOG.warn("stream refused: too many {}", kv("open", open));
            return null;
        }
        open++;
        return new ProxyStream(loop, this, config.helloWithin(), config.silentAfter() / 3);
    }

    // ---- streams -------------------------------------------------------------------------------------

    @Override
    public Frame.Goodbye hello(ProxyStream stream, Frame.Hello hello) {
        if (hello.protocolVersion() < Frame.MIN_PROTOCOL_VERSION || hello.protocolVersion() > Frame.PROTOCOL_VERSION) {
            return new Frame.Goodbye(Frame.Reason.VERSION, "this side speaks versions "
                    + Frame.MIN_PROTOCOL_VERSION + " to " + Frame.PROTOCOL_VERSION + ", not " + hello.protocolVersion());
        }
        if (hello.zone() >= config.site().zones().size()) {
            return new Frame.Goodbye(Frame.Reason.PROTOCOL, "zone " + hello.zone() + " does not exist");
        }
        ProxyStream other = streams.get(hello.proxy());
        if (other != null && other.hello().incarnation() != hello.incarnation()) {
            // Two processes claim one number. The one that is here stays: if it is dead, its silence will
            // end its stream, and the newcomer's next call is taken.
            return new Frame.Goodbye(Frame.Reason.ID_IN_USE, "proxy " + hello.proxy() + " is joined from "
                    + other.connection().remote());
        }
        if (other != null) {
            other.end(Frame.Reason.MOVING, "the same proxy has joined again");
        }
        streams.put(hello.proxy(), stream);
        reports.streamOpened(hello.proxy(), hello.incarnation());
        driver.onProxyJoined(loop.now(), hello);
        capture(new LoadRecord.Joined(loop.now(), hello.proxy(), hello.zone(), hello.requestsPerSecond()));
        LOG.info("proxy joined {} {} {}", kv("proxy", hello.proxy()), kv("name", hello.name()),
                kv("held", hello.epoch() + "/" + hello.version()));
        ticks.soon();
        return null;
    }

    @Override
    public void heard(ProxyStream stream, Frame frame) {
        int proxy = stream.hello().proxy();
        if (streams.get(proxy) != stream) {
            return;
        }
        if (frame instanceof Frame.Applied applied) {
            driver.onApplied(loop.now(), proxy, applied);
        } else if (frame instanceof Frame.Report report) {
            takeReport(stream, report);
        } else if (frame instanceof Frame.NumberedReport numbered) {
            hearNumbered(stream, numbered);
        } else if (frame instanceof Frame.Resync resync) {
            LOG.warn("proxy asks for a snapshot {} {}", kv("proxy", proxy),
                    kv("held", resync.epoch() + "/" + resync.version()));
            driver.onResync(loop.now(), proxy);
        }
        ticks.soon();
    }

    private void hearNumbered(ProxyStream stream, Frame.NumberedReport numbered) {
        int proxy = stream.hello().proxy();
        ReportReceiver.Verdict verdict = reports.receive(proxy, numbered.number());
        if (verdict == ReportReceiver.Verdict.GAP) {
            stream.end(Frame.Reason.PROTOCOL, "report " + numbered.number() + " does not follow on "
                    + reports.lastAccepted(proxy));
            return;
        }
        if (verdict == ReportReceiver.Verdict.ACCEPTED) {
            takeReport(stream, numbered.report());
        }
        stream.send(new Frame.ReportsTaken(reports.lastAccepted(proxy)));
    }

    private void takeReport(ProxyStream stream, Frame.Report report) {
        driver.onReport(stream.hello().proxy(), report);
        captureReport(stream.hello(), report);
    }

    @Override
    public void over(ProxyStream stream, String why) {
        Frame.Hello hello = stream.hello();
        if (hello == null) {
            LOG.warn("stream over before it joined {} {}", kv("from", String.valueOf(
                    stream.connection() == null ? null : stream.connection().remote())), kv("why", why));
        } else if (streams.remove(hello.proxy(), stream)) {
            driver.onProxyLeft(hello.proxy());
            capture(new LoadRecord.Left(loop.now(), hello.proxy()));
            LOG.info("proxy left {} {}", kv("proxy", hello.proxy()), kv("why", why));
            ticks.soon();
        }
    }

    @Override
    public void closed(ProxyStream stream) {
        open--;
    }

    // ---- captured load -------------------------------------------------------------------------------

    private void capture(LoadRecord record) {
        if (capture != null) {
            capture.offer(record);
        }
    }

    private void captureListed(Member m) {
        capture(new LoadRecord.Listed(loop.now(), m.backend().toString(), m.zone(), m.kind(),
                m.availability().toString(), m.weight(), m.startedAt()));
    }

    private void captureReport(Frame.Hello from, Frame.Report report) {
        long now = loop.now();
        report.usages().stream().filter(u -> u.cls() < config.site().classes().size()).forEach(u ->
                capture(new LoadRecord.Use(now, from.proxy(), from.zone(), u.cls(), u.requests(), u.failed(),
                        u.span())));
        report.tallies().forEach(t -> capture(new LoadRecord.Tried(now, from.proxy(), from.zone(),
                t.backend().toString(), t.tries(), t.failed(), t.latencySum(), t.span())));
    }

    // ---- what the driver asks ------------------------------------------------------------------------

    @Override
    public void watch(boolean on) {
        roster.setWatching(on);
    }

    @Override
    public void probe(Backend backend) {
        prober.probe(backend);
    }

    @Override
    public void send(int proxy, Frame frame) {
        ProxyStream stream = streams.get(proxy);
        if (stream != null) {
            stream.send(frame);
        }
    }

    @Override
    public void log(String text) {
        LOG.info("decision {}", kv("what", text));
    }

    @Override
    public void onDecision(long now, List<Event> events, List<Action> actions, long took) {
        decided.recordValue(Math.min(took, HIGHEST_TIMED));
        if (trace != null) {
            trace.write(now, events, actions);
        }
    }

    private void stats() {
        Runtime runtime = Runtime.getRuntime();
        LOG.info("stats {} {} {} {} {} {} {} {} {} {} {} {}", kv("joined", driver.joinedProxyCount()),
                kv("waiting", Math.round(driver.queuedLines())),
                kv("mostWaiting", Math.round(driver.maxQueuedLines())),
                kv("lines", Math.round(driver.totalQueuedLines())),
                kv("mostReportsWaiting", driver.maxPendingReportLines()),
                kv("captureDropped", capture == null ? 0 : capture.dropped()), kv("decides",
                        decided.getTotalCount()),
                kv("decideP50us", decided.getValueAtPercentile(50) / 1000),
                kv("decideP99us", decided.getValueAtPercentile(99) / 1000),
                kv("decideMaxUs", decided.getMaxValue() / 1000), kv("cpuMs", cpuMillis()),
                kv("heapBytes", runtime.totalMemory() - runtime.freeMemory()));
        loop.after(config.statsEvery(), this::stats);
    }

    private static long cpuMillis() {
        return ManagementFactory.getOperatingSystemMXBean()
                instanceof com.sun.management.OperatingSystemMXBean system
                ? system.getProcessCpuTime() / 1_000_000 : -1;
    }

    /** Says goodbye to every proxy and takes no more; its loop may then be stopped. */
    public void stop() {
        listener.close();
        List.copyOf(streams.values()).forEach(s -> s.end(Frame.Reason.STOPPING, "the controller stops"));
    }

    /** Ends trace and capture; once the loop has ended. */
    public void closeFiles() throws IOException {
        if (capture != null) {
            capture.close();
        }
        if (trace != null) {
            trace.close();
        }
    }
}
