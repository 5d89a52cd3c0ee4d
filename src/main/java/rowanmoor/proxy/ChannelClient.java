package rowanmoor.proxy;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rowanmoor.channel.ChannelException;
import rowanmoor.channel.ChannelLimits;
import rowanmoor.channel.Codec;
import rowanmoor.channel.Frame;
import rowanmoor.channel.FrameReader;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/**
 * A proxy's end of the channel: connects to a controller, sends a hello, handles messages in order, and
 * reconnects when the stream ends. States: connecting, open (hello sent), up (snapshot received), waiting to
 * reconnect.
 */
final class ChannelClient implements ConnectionHandler {

    private static final Logger LOG = LoggerFactory.getLogger(ChannelClient.class);

    private final Loop loop;
    private final ProxyConfig config;
    private final Router router;
    private final Runnable onTablesChanged;
    private final ReportQueue reports;
    private final Runnable onReportsChanged;
    /** Indexes of the controllers that refused the current protocol version. */
    private final Set<Integer> oldProtocolControllers = new HashSet<>();
    private final Redial redial;
    private final long incarnation;
    private final Tap tap;
    private FrameReader reader;
    private Connection connection;
    private Timer snapshotTimer;
    private boolean up;
    private boolean hasBeenUp;
    /** Whether the outbound queue refused the last request for a snapshot. */
    private boolean resyncPending;
    private boolean stopped;
    /** Number of streams opened so far, which is the number of the latest. */
    private int streamNumber;
    /** Index of the controller that it connects to or is connected to. */
    private int controllerIndex;
    private int protocolVersion;

    /**
     * Does not connect yet.
     *
     * @param onTablesChanged called after each applied snapshot or update
     * @param onReportsChanged called when the stream comes up and when reports were acknowledged
     */
    ChannelClient(Loop loop, ProxyConfig config, Router router, ReportQueue reports, RandomGenerator random,
            Tap tap, Runnable onTablesChanged, Runnable onReportsChanged) {
        this.loop = loop;
        this.config = config;
        this.router = router;
        this.tap = tap;
        this.onTablesChanged = onTablesChanged;
        this.reports = reports;
        this.onReportsChanged = onReportsChanged;
        this.incarnation = random.nextLong();
        this.redial = new Redial(config.controllers().size(), config.firstController(), config.redialWaitNs(),
                random);
    }

    void connect() {
        if (stopped) {
            return;
        }
        controllerIndex = redial.currentController();
        protocolVersion = oldProtocolControllers.contains(controllerIndex) ? Frame.MIN_PROTOCOL_VERSION
                : Frame.PROTOCOL_VERSION;
        InetSocketAddress address = config.controllers().get(controllerIndex);
        connection = loop.connect(config.localAddress(), address, Connection.Options.defaults()
                .connectWithin(config.controllerTimeoutNs()).idleAfter(config.controllerTimeoutNs()), this);
    }

    void stop() {
        stopped = true;
        if (connection != null) {
            send(new Frame.Goodbye(Frame.Reason.STOPPING, "the proxy stops"));
            connection.closeGracefully();
        }
    }

    boolean isUp() {
        return up;
    }

    /** Whether any stream has been up since the start; if not, there is no controller to report to. */
    boolean hasBeenUp() {
        return hasBeenUp;
    }

    /** Reports the counts so far if the stream is up; reports that it cannot take yet wait. */
    void sendReport() {
        if (up) {
            reports.enqueueReport(loop.now());
            sendPendingReports();
        }
    }

    private void sendPendingReports() {
        if (protocolVersion == Frame.MIN_PROTOCOL_VERSION) {
            reports.sendUnnumbered(this::send);
        } else {
            reports.sendPending(this::send);
        }
    }

    private boolean send(Frame frame) {
        return connection.send(Codec.encode(frame));
    }

    @Override
    public void onOpen(Connection stream) {
        tap.opened(config.number(), ++streamNumber, loop.now());
        reader = new FrameReader(ChannelLimits.defaults());
        boolean onlyStandingTable = router.hasOnlyStandingTable();
        router.onStreamOpened();
        resyncPending = false;
        reports.onStreamOpened();
        send(new Frame.Hello(protocolVersion, config.number(), incarnation, config.zone(),
                config.requestsPerSecond(), onlyStandingTable, router.epoch(), router.version(),
                config.name()));
        snapshotTimer = loop.after(config.controllerTimeoutNs(), () ->
                connection.close(CloseReason.IDLE, "no snapshot received after the hello"));
    }

    @Override
    public void onData(Connection stream, ByteBuffer bytes) {
        router.onControllerMessage(loop.now());
        tap.read(config.number(), streamNumber, loop.now(), bytes.duplicate());
        try {
            while (bytes.hasRemaining() && connection.isOpen()) {
                Frame frame = reader.next(bytes);
                if (frame != null) {
                    handle(frame);
                }
            }
        } catch (ChannelException e) {
            send(new Frame.Goodbye(Frame.Reason.PROTOCOL, e.getMessage()));
            connection.closeGracefully();
            LOG.warn("proxy {}: protocol error on the controller stream: {}", config.number(),
                    e.getMessage());
        }
    }

    private void handle(Frame frame) throws ChannelException {
        if (frame instanceof Frame.Snapshot snapshot) {
            router.apply(snapshot);
            if (!up) {
                up = true;
                hasBeenUp = true;
                redial.onStreamUp();
                snapshotTimer.cancel();
                scheduleFirstControllerProbe();
                sendPendingReports(); // those that the last stream left unacknowledged
                onReportsChanged.run();
            }
            onTablesChanged.run();
        } else if (frame instanceof Frame.Update update) {
            handle(update);
        } else if (frame instanceof Frame.Ping ping) {
            send(new Frame.Pong(ping.token()));
        } else if (frame instanceof Frame.ReportsTaken taken) {
            handle(taken);
        } else if (frame instanceof Frame.Goodbye goodbye) {
            if (goodbye.reason() == Frame.Reason.VERSION) {
                oldProtocolControllers.add(controllerIndex);
            }
            LOG.info("proxy {}: controller sent goodbye: {} {}", config.number(), goodbye.reason(),
                    goodbye.text());
            connection.close(CloseReason.LOCAL, "goodbye: " + goodbye.reason());
        } else if (!(frame instanceof Frame.Pong)) {
            throw new ChannelException("a frame that a controller may not send: "
                    + frame.getClass().getSimpleName());
        }
    }

    private void handle(Frame.ReportsTaken taken) throws ChannelException {
        if (!reports.acknowledge(taken.upTo())) {
            throw new ChannelException("an acknowledgement of report " + taken.upTo()
                    + ", which was not sent");
        }
        sendPendingReports();
        onReportsChanged.run();
    }

    private void scheduleFirstControllerProbe() {
        if (config.policy().rehomeIntervalNs() > 0 && !redial.isAtFirstController() && !stopped) {
            int probedStream = streamNumber;
            loop.after(redial.jitteredProbeDelayNs(config.policy().rehomeIntervalNs()), () -> {
                if (up && probedStream == streamNumber) {
                    probeFirstController();
                }
            });
        }
    }

    /**
     * Tries to connect to the first controller beside the stream that is up. That stream is closed only if
     * the first controller accepts the connection.
     */
    private void probeFirstController() {
        InetSocketAddress first = config.controllers().get(config.firstController()
                % config.controllers().size());
        int probedStream = streamNumber;
        loop.connect(config.localAddress(), first,
                Connection.Options.defaults().connectWithin(config.controllerTimeoutNs()),
                new ConnectionHandler() {
                    @Override
                    public void onOpen(Connection probe) {
                        probe.close(CloseReason.LOCAL, "the first controller is reachable");
                        if (up && probedStream == streamNumber && !stopped) {
                            LOG.info("proxy {}: moving back to its first controller", config.number());
                            redial.returnToFirstController();
                            send(new Frame.Goodbye(Frame.Reason.MOVING, "to its first controller"));
                            connection.closeGracefully();
                        }
                    }

                    @Override
                    public void onData(Connection probe, ByteBuffer bytes) { }

                    @Override
                    public void onClose(Connection probe, CloseReason reason, String detail) {
                        if (reason.neverConnected() && up && probedStream == streamNumber) {
                            scheduleFirstControllerProbe();
                        }
                    }
                });
    }

    /** Requests a snapshot; if the full outbound queue refuses that, the next update requests it again. */
    private void requestSnapshot() {
        resyncPending = !send(new Frame.Resync(router.epoch(), router.version()));
    }

    private void handle(Frame.Update update) {
        Router.UpdateResult result = router.apply(update);
        if (result == Router.UpdateResult.GAP) {
            LOG.warn("proxy {}: update {}/{} does not follow {}/{}; requesting a snapshot", config.number(),
                    update.epoch(), update.version(), router.epoch(), router.version());
            requestSnapshot();
        } else if (result == Router.UpdateResult.SKIPPED && resyncPending) {
            requestSnapshot();
        } else if (result == Router.UpdateResult.APPLIED) {
            for (Frame.Order order : update.orders()) {
                if (order instanceof Frame.Mark mark) {
                    send(new Frame.Applied(update.epoch(), update.version(), mark.number()));
                }
            }
            onTablesChanged.run();
        }
    }

    @Override
    public void onClose(Connection stream, CloseReason reason, String detail) {
        boolean wasUp = up;
        up = false;
        if (wasUp) {
            oldProtocolControllers.remove(controllerIndex); // it may restart with another version
        }
        if (snapshotTimer != null) {
            snapshotTimer.cancel();
        }
        if (!reason.neverConnected()) {
            tap.closed(config.number(), streamNumber, loop.now());
        }
        long waitNs = redial.onStreamEnded(wasUp);
        LOG.debug("proxy {}: stream ended, {} {}; reconnecting in {} ms", config.number(), reason, detail,
                waitNs / 1_000_000);
        loop.after(waitNs, this::connect);
    }
}
