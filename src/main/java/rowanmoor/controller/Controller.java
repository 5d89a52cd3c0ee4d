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
import rowanmoor.http.OrcaLoadReport;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.TickScheduler;
import rowanmoor.net.WriteLimit;

/** The controller process: a {@link Driver} on an event loop, with the proxy streams, roster and prober. */
public final class Controller implements Driver.Environment, ProxyStream.Owner {

    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final int MAX_QUEUED_FRAMES = 65536;
    private static final long MAX_RECORDED_DECISION_NS = 60_000_000_000L;

    private final ControllerConfig config;
    private final Loop loop;
    private final Driver driver;
    private final RosterClient roster;
    private final Prober prober;
    private final Trace trace;
    private final CaptureWriter capture;
    private final Loop.Listener listener;
    private final Map<Integer, ProxyStream> streams = new TreeMap<>();
    private final ReportReceiver reportReceiver = new ReportReceiver();
    private final Histogram decisionTimesNs = new Histogram(MAX_RECORDED_DECISION_NS, 3);
    private final TickScheduler ticks;
    private int openStreams;

    /**
     * Starts listening.
     *
     * @param seed seed of the policy's random numbers
     * @param epoch identifies this start; must differ at every start
     * @param wallClockMs wall clock in milliseconds since 1970, to which the roster's start times refer
     * @throws IOException if the address cannot be bound or an output file cannot be opened
     */
    public Controller(ControllerConfig config, Loop loop, long seed, long epoch, LongSupplier wallClockMs)
            throws IOException {
        this.config = config;
        this.loop = loop;
        Settings settings = config.site().settings(config.instances());
        this.trace = config.traceFile() == null ? null : new Trace(config.traceFile(), settings, seed,
                reason -> LOG.error("trace ended {}", kv("why", reason)));
        this.capture = config.capture() == null ? null : new CaptureWriter(config.capture(),
                new LoadRecord.Start(loop.now(), wallClockMs.getAsLong(), config.rank(), epoch,
                        config.site().zones(), config.site().kinds(), config.site().classNames()),
                text -> LOG.error("capture {}", kv("what", text)));
        this.ticks = new TickScheduler(loop, config.minTickNs(), now -> driver().tick(now),
                () -> driver().nextTickAt());
        this.driver = new Driver(settings, seed, epoch, loop.now(), this, System::nanoTime);
        this.roster = new RosterClient(loop, config.rosterAddress(), config.serviceName(),
                "rowanmoor-" + config.rank(), config.rosterWaitNs(), config.emptyRosterHoldNs(),
                config.site().zones(), config.site().kinds(), wallClockMs, members -> {
                    driver.onMembers(members);
                    members.entries().forEach(this::captureMember);
                    ticks.requestTick();
                }, text -> LOG.warn("roster {}", kv("what", text)));
        LoadColumns columns = new LoadColumns(config.site().loadColumns());
        this.prober = new Prober(loop, config.probePath(), config.probeTimeoutNs(),
                config.maxConcurrentProbes(), Addresses::toSocketAddress,
                answer -> columns.parse(answer.fields().get(OrcaLoadReport.HEADER_NAME)), probed -> {
                    driver.onProbeResult(probed);
                    ticks.requestTick();
                });
        this.listener = loop.listen(config.listenAddress(), connectionOptions(), this::accept);
        driver.onMembers(roster.view().initialMembers());
        ticks.requestTick();
        logStats();
        LOG.info("listening {} {}", kv("at", address().getAddress().getHostAddress() + ":"
                + address().getPort()), kv("epoch", epoch));
    }

    private Connection.Options connectionOptions() {
        // A proxy that does not read is disconnected: when it joins again, one message restores its state.
        return Connection.Options.defaults().idleAfter(config.proxyTimeoutNs())
                .bound(new WriteLimit(config.maxQueuedBytes(), MAX_QUEUED_FRAMES,
                        WriteLimit.OverflowPolicy.CLOSE));
    }

    /** Returns the address on which proxies connect. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Returns the driver, for tests and statistics. */
    public Driver driver() {
        return driver;
    }

    private ProxyStream accept(Connection connection) {
        if (openStreams >= config.maxStreams()) {
            LOG.warn("stream refused: too many {}", kv("open", openStreams));
            return null;
        }
        openStreams++;
        return new ProxyStream(loop, this, config.helloTimeoutNs(), config.proxyTimeoutNs() / 3);
    }

    // ---- streams -------------------------------------------------------------------------------------

    @Override
    public Frame.Goodbye onHello(ProxyStream stream, Frame.Hello hello) {
        if (hello.protocolVersion() < Frame.MIN_PROTOCOL_VERSION
                || hello.protocolVersion() > Frame.PROTOCOL_VERSION) {
            return new Frame.Goodbye(Frame.Reason.VERSION, "this side speaks versions "
                    + Frame.MIN_PROTOCOL_VERSION + " to " + Frame.PROTOCOL_VERSION + ", not "
                    + hello.protocolVersion());
        }
        if (hello.zone() >= config.site().zones().size()) {
            return new Frame.Goodbye(Frame.Reason.PROTOCOL, "zone " + hello.zone() + " does not exist");
        }
        ProxyStream existing = streams.get(hello.proxy());
        if (existing != null && existing.hello().incarnation() != hello.incarnation()) {
            // Two processes claim the same number. The existing stream stays: if its process is dead, the
            // idle timeout ends the stream and the new process succeeds when it connects again.
            return new Frame.Goodbye(Frame.Reason.ID_IN_USE, "proxy " + hello.proxy()
                    + " is joined from " + existing.connection().remote());
        }
        if (existing != null) {
            existing.end(Frame.Reason.MOVING, "the same proxy has joined again");
        }
        streams.put(hello.proxy(), stream);
        reportReceiver.streamOpened(hello.proxy(), hello.incarnation());
        driver.onProxyJoined(loop.now(), hello);
        capture(new LoadRecord.Joined(loop.now(), hello.proxy(), hello.zone(), hello.requestsPerSecond()));
        LOG.info("proxy joined {} {} {}", kv("proxy", hello.proxy()), kv("name", hello.name()),
                kv("held", hello.epoch() + "/" + hello.version()));
        ticks.requestTick();
        return null;
    }

    @Override
    public void onFrame(ProxyStream stream, Frame frame) {
        int proxy = stream.hello().proxy();
        if (streams.get(proxy) != stream) {
            return;
        }
        if (frame instanceof Frame.Applied applied) {
            driver.onApplied(loop.now(), proxy, applied);
        } else if (frame instanceof Frame.Report report) {
            acceptReport(stream, report);
        } else if (frame instanceof Frame.NumberedReport numbered) {
            onNumberedReport(stream, numbered);
        } else if (frame instanceof Frame.Resync resync) {
            LOG.warn("proxy asks for a snapshot {} {}", kv("proxy", proxy),
                    kv("held", resync.epoch() + "/" + resync.version()));
            driver.onResync(loop.now(), proxy);
        }
        ticks.requestTick();
    }

    private void onNumberedReport(ProxyStream stream, Frame.NumberedReport numbered) {
        int proxy = stream.hello().proxy();
        ReportReceiver.Verdict verdict = reportReceiver.receive(proxy, numbered.number());
        if (verdict == ReportReceiver.Verdict.GAP) {
            stream.end(Frame.Reason.PROTOCOL, "report " + numbered.number() + " does not follow on "
                    + reportReceiver.lastAccepted(proxy));
            return;
        }
        if (verdict == ReportReceiver.Verdict.ACCEPTED) {
            acceptReport(stream, numbered.report());
        }
        stream.send(new Frame.ReportsTaken(reportReceiver.lastAccepted(proxy)));
    }

    private void acceptReport(ProxyStream stream, Frame.Report report) {
        driver.onReport(stream.hello().proxy(), report);
        captureReport(stream.hello(), report);
    }

    @Override
    public void onStreamEnded(ProxyStream stream, String reason) {
        Frame.Hello hello = stream.hello();
        if (hello == null) {
            LOG.warn("stream over before it joined {} {}", kv("from", String.valueOf(
                    stream.connection() == null ? null : stream.connection().remote())), kv("why", reason));
        } else if (streams.remove(hello.proxy(), stream)) {
            driver.onProxyLeft(hello.proxy());
            capture(new LoadRecord.Left(loop.now(), hello.proxy()));
            LOG.info("proxy left {} {}", kv("proxy", hello.proxy()), kv("why", reason));
            ticks.requestTick();
        }
    }

    @Override
    public void onStreamClosed(ProxyStream stream) {
        openStreams--;
    }

    // ---- load capture --------------------------------------------------------------------------------

    private void capture(LoadRecord record) {
        if (capture != null) {
            capture.offer(record);
        }
    }

    private void captureMember(Member m) {
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

    // ---- side effects of the driver ------------------------------------------------------------------

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
    public void onDecision(long now, List<Event> events, List<Action> actions, long durationNs) {
        decisionTimesNs.recordValue(Math.min(durationNs, MAX_RECORDED_DECISION_NS));
        if (trace != null) {
            trace.write(now, events, actions);
        }
    }

    private void logStats() {
        Runtime runtime = Runtime.getRuntime();
        LOG.info("stats {} {} {} {} {} {} {} {} {} {} {} {}", kv("joined", driver.joinedProxyCount()),
                kv("waiting", Math.round(driver.queuedLines())),
                kv("mostWaiting", Math.round(driver.maxQueuedLines())),
                kv("lines", Math.round(driver.totalQueuedLines())),
                kv("mostReportsWaiting", driver.maxPendingReportLines()),
                kv("captureDropped", capture == null ? 0 : capture.droppedRecords()), kv("decides",
                        decisionTimesNs.getTotalCount()),
                kv("decideP50us", decisionTimesNs.getValueAtPercentile(50) / 1000),
                kv("decideP99us", decisionTimesNs.getValueAtPercentile(99) / 1000),
                kv("decideMaxUs", decisionTimesNs.getMaxValue() / 1000), kv("cpuMs", cpuMillis()),
                kv("heapBytes", runtime.totalMemory() - runtime.freeMemory()));
        loop.after(config.statsIntervalNs(), this::logStats);
    }

    private static long cpuMillis() {
        return ManagementFactory.getOperatingSystemMXBean()
                instanceof com.sun.management.OperatingSystemMXBean system
                ? system.getProcessCpuTime() / 1_000_000 : -1;
    }

    /** Stops listening and ends all streams with a goodbye. The event loop may be stopped afterwards. */
    public void stop() {
        listener.close();
        List.copyOf(streams.values()).forEach(s ->
                s.end(Frame.Reason.STOPPING, "the controller stops"));
    }

    /** Closes the trace and capture files; must be called after the event loop has ended. */
    public void closeFiles() throws IOException {
        if (capture != null) {
            capture.close();
        }
        if (trace != null) {
            trace.close();
        }
    }
}
