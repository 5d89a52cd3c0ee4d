package rowanmoor.proxy;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rowanmoor.channel.ChannelError;
import rowanmoor.channel.ChannelLimits;
import rowanmoor.channel.Codec;
import rowanmoor.channel.Frame;
import rowanmoor.channel.FrameReader;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Handler;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/**
 * A proxy's end of the channel: calls a controller, says hello, takes messages in order, and calls again
 * when the stream ends. States: calling, open (hello sent), up (snapshot taken), waiting to call.
 */
final class ChannelClient implements Handler {

    private static final Logger LOG = LoggerFactory.getLogger(ChannelClient.class);

    private final Loop loop;
    private final ProxyConfig config;
    private final Router router;
    private final Runnable onTablesChanged;
    private final ReportQueue reports;
    private final Runnable onReportsChanged;
    private final Set<Integer> oldProtocolControllers = new HashSet<>(); // places of those that refused this version
    private final Redial redial;
    private final long incarnation;
    private final Tap tap;
    private FrameReader reader;
    private Connection connection;
    private Timer snapshotTimer;
    private boolean up;
    private boolean hasBeenUp;
    private boolean resyncPending;
    private boolean stopped;
    private int streamNumber;
    private int controllerIndex; // place of the controller that is called or joined
    private int protocolVersion;

    /** @param reportsChanged called when the stream comes up and when reports were acknowledged */
    ChannelClient(Loop loop, ProxyConfig config, Router router, ReportQueue reports, RandomGenerator random,
            Tap tap, Runnable tablesChanged, Runnable reportsChanged) {
        this.loop = loop;
        this.config = config;
        this.router = router;
        this.tap = tap;
        this.onTablesChanged = tablesChanged;
        this.reports = reports;
        this.onReportsChanged = reportsChanged;
        this.incarnation = random.nextLong();
        this.redial = new Redial(config.controllers().size(), config.firstController(), config.redialWaitNs(),
                random);
    }

    void connect() {
        if (stopped) {
            return;
        }
        controllerIndex = redial.currentController();
        protocolVersion = oldProtocolControllers.contains(controllerIndex) ? Frame.OLDEST_PROTOCOL : Frame.PROTOCOL;
        InetSocketAddress to = config.controllers().get(controllerIndex);
        connection = loop.connect(config.localAddress(), to, Connection.Options.usual()
                .connectWithin(config.controllerTimeoutNs()).idleAfter(config.controllerTimeoutNs()), this);
    }

    void stop() {
        stopped = true;
        if (connection != null) {
            send(new Frame.Goodbye(Frame.Reason.STOPPING, "the proxy stops"));
            connection.end();
        }
    }

    boolean isUp() {
        return up;
    }

    /** Whether any stream was up since the start: if not, nobody can be told anything. */
    boolean hasBeenUp() {
        return hasBeenUp;
    }

    /** Reports what was counted by now, if the stream is up; what it does not take waits. */
    void sendReport() {
        if (up) {
            reports.enqueueReport(loop.now());
            sendPendingReports();
        }
    }

    private void sendPendingReports() {
        if (protocolVersion == Frame.OLDEST_PROTOCOL) {
            reports.sendUnnumbered(this::send);
        } else {
            reports.sendPending(this::send);
        }
    }

    private boolean send(Frame frame) {
        return connection.send(Codec.encode(frame));
    }

    @Override
    public void opened(Connection its) {
        tap.opened(config.number(), ++streamNumber, loop.now());
        reader = new FrameReader(ChannelLimits.usual());
        boolean fresh = router.hasOnlyStandingTable();
        router.onStreamOpened();
        resyncPending = false;
        reports.onStreamOpened();
        send(new Frame.Hello(protocolVersion, config.number(), incarnation, config.zone(), config.requestsPerSecond(), fresh,
                router.epoch(), router.version(), config.name()));
        snapshotTimer = loop.after(config.controllerTimeoutNs(), () ->
                connection.close(Close.IDLE, "no snapshot after the hello"));
    }

    @Override
    public void received(Connection its, ByteBuffer bytes) {
        router.onControllerMessage(loop.now());
        tap.read(config.number(), streamNumber, loop.now(), bytes.duplicate());
        try {
            while (bytes.hasRemaining() && connection.isOpen()) {
                Frame frame = reader.next(bytes);
                if (frame != null) {
                    handle(frame);
                }
            }
        } catch (ChannelError e) {
            send(new Frame.Goodbye(Frame.Reason.PROTOCOL, e.getMessage()));
            connection.end();
            LOG.warn("proxy {}: the controller's stream is broken: {}", config.number(), e.getMessage());
        }
    }

    private void handle(Frame frame) throws ChannelError {
        if (frame instanceof Frame.Snapshot snapshot) {
            router.apply(snapshot);
            if (!up) {
                up = true;
                hasBeenUp = true;
                redial.onStreamUp();
                snapshotTimer.cancel();
                scheduleFirstControllerProbe();
                sendPendingReports(); // what the last stream left without an answer
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
            LOG.info("proxy {}: the controller says goodbye: {} {}", config.number(), goodbye.reason(),
                    goodbye.text());
            connection.close(Close.LOCAL, "goodbye: " + goodbye.reason());
        } else if (!(frame instanceof Frame.Pong)) {
            throw new ChannelError("a frame that a controller may not send: "
                    + frame.getClass().getSimpleName());
        }
    }

    private void handle(Frame.ReportsTaken taken) throws ChannelError {
        if (!reports.acknowledge(taken.upTo())) {
            throw new ChannelError("an acknowledgement of report " + taken.upTo() + ", which was not sent");
        }
        sendPendingReports();
        onReportsChanged.run();
    }

    private void scheduleFirstControllerProbe() {
        if (config.policy().rehomeIntervalNs() > 0 && !redial.isAtFirstController() && !stopped) {
            int its = streamNumber;
            loop.after(redial.jitteredProbeDelayNs(config.policy().rehomeIntervalNs()), () -> {
                if (up && its == streamNumber) {
                    probeFirstController();
                }
            });
        }
    }

    /** Calls its first controller beside the stream that is up; that is left only for one that answers. */
    private void probeFirstController() {
        InetSocketAddress home = config.controllers().get(config.firstController()
                % config.controllers().size());
        int its = streamNumber;
        loop.connect(config.localAddress(), home, Connection.Options.usual().connectWithin(config.controllerTimeoutNs()),
                new Handler() {
                    @Override
                    public void opened(Connection made) {
                        made.close(Close.LOCAL, "it is there");
                        if (up && its == streamNumber && !stopped) {
                            LOG.info("proxy {}: moves back to its first controller", config.number());
                            redial.returnToFirstController();
                            send(new Frame.Goodbye(Frame.Reason.MOVING, "to its first controller"));
                            connection.end();
                        }
                    }

                    @Override
                    public void received(Connection made, ByteBuffer bytes) { }

                    @Override
                    public void closed(Connection made, Close why, String detail) {
                        if (why.neverMade() && up && its == streamNumber) {
                            scheduleFirstControllerProbe();
                        }
                    }
                });
    }

    /** Asks for a snapshot; one that its own full queue refuses is asked for again with the next message. */
    private void requestSnapshot() {
        resyncPending = !send(new Frame.Resync(router.epoch(), router.version()));
    }

    private void handle(Frame.Update update) {
        Router.UpdateResult heed = router.apply(update);
        if (heed == Router.UpdateResult.GAP) {
            LOG.warn("proxy {}: version {}/{} does not follow on {}/{}", config.number(), update.epoch(),
                    update.version(), router.epoch(), router.version());
            requestSnapshot();
        } else if (heed == Router.UpdateResult.SKIPPED && resyncPending) {
            requestSnapshot();
        } else if (heed == Router.UpdateResult.APPLIED) {
            for (Frame.Order order : update.orders()) {
                if (order instanceof Frame.Mark mark) {
                    send(new Frame.Applied(update.epoch(), update.version(), mark.number()));
                }
            }
            onTablesChanged.run();
        }
    }

    @Override
    public void closed(Connection its, Close why, String detail) {
        boolean wasUp = up;
        up = false;
        if (wasUp) {
            oldProtocolControllers.remove(controllerIndex); // it may come back with another version
        }
        if (snapshotTimer != null) {
            snapshotTimer.cancel();
        }
        if (!why.neverMade()) {
            tap.closed(config.number(), streamNumber, loop.now());
        }
        long wait = redial.onStreamEnded(wasUp);
        LOG.debug("proxy {}: stream ended, {} {}; calling again in {} ms", config.number(), why, detail,
                wait / 1_000_000);
        loop.after(wait, this::connect);
    }
}
