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
    private final Runnable tablesChanged;
    private final ReportQueue reports;
    private final Runnable reportsChanged;
    private final Set<Integer> oldControllers = new HashSet<>(); // places of those that refused this version
    private final Redial redial;
    private final long incarnation;
    private final Tap tap;
    private FrameReader reader;
    private Connection connection;
    private Timer firstSnapshot;
    private boolean up;
    private boolean hasBeenUp;
    private boolean unasked;
    private boolean stopped;
    private int streams;
    private int calling; // place of the controller that is called or joined
    private int protocol;

    /** @param reportsChanged called when the stream comes up and when reports were acknowledged */
    ChannelClient(Loop loop, ProxyConfig config, Router router, ReportQueue reports, RandomGenerator random,
            Tap tap, Runnable tablesChanged, Runnable reportsChanged) {
        this.loop = loop;
        this.config = config;
        this.router = router;
        this.tap = tap;
        this.tablesChanged = tablesChanged;
        this.reports = reports;
        this.reportsChanged = reportsChanged;
        this.incarnation = random.nextLong();
        this.redial = new Redial(config.controllers().size(), config.firstController(), config.redialWaitNs(),
                random);
    }

    void call() {
        if (stopped) {
            return;
        }
        calling = redial.controller();
        protocol = oldControllers.contains(calling) ? Frame.MIN_PROTOCOL_VERSION : Frame.PROTOCOL_VERSION;
        InetSocketAddress to = config.controllers().get(calling);
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

    boolean up() {
        return up;
    }

    /** Whether any stream was up since the start: if not, nobody can be told anything. */
    boolean hasBeenUp() {
        return hasBeenUp;
    }

    /** Reports what was counted by now, if the stream is up; what it does not take waits. */
    void report() {
        if (up) {
            reports.cut(loop.now());
            sendReports();
        }
    }

    private void sendReports() {
        if (protocol == Frame.MIN_PROTOCOL_VERSION) {
            reports.sendUnnumbered(this::send);
        } else {
            reports.send(this::send);
        }
    }

    private boolean send(Frame frame) {
        return connection.send(Codec.encode(frame));
    }

    @Override
    public void opened(Connection its) {
        tap.opened(config.number(), ++streams, loop.now());
        reader = new FrameReader(ChannelLimits.defaults());
        boolean fresh = router.hasOnlyStandingTable();
        router.onStreamOpened();
        unasked = false;
        reports.streamBegins();
        send(new Frame.Hello(protocol, config.number(), incarnation, config.zone(), config.requestsPerSecond(), fresh,
                router.epoch(), router.version(), config.name()));
        firstSnapshot = loop.after(config.controllerTimeoutNs(), () ->
                connection.close(Close.IDLE, "no snapshot after the hello"));
    }

    @Override
    public void received(Connection its, ByteBuffer bytes) {
        router.onControllerMessage(loop.now());
        tap.read(config.number(), streams, loop.now(), bytes.duplicate());
        try {
            while (bytes.hasRemaining() && connection.isOpen()) {
                Frame frame = reader.next(bytes);
                if (frame != null) {
                    take(frame);
                }
            }
        } catch (ChannelException e) {
            send(new Frame.Goodbye(Frame.Reason.PROTOCOL, e.getMessage()));
            connection.end();
            LOG.warn("proxy {}: the controller's stream is broken: {}", config.number(), e.getMessage());
        }
    }

    private void take(Frame frame) throws ChannelException {
        if (frame instanceof Frame.Snapshot snapshot) {
            router.apply(snapshot);
            if (!up) {
                up = true;
                hasBeenUp = true;
                redial.up();
                firstSnapshot.cancel();
                lookHomeLater();
                sendReports(); // what the last stream left without an answer
                reportsChanged.run();
            }
            tablesChanged.run();
        } else if (frame instanceof Frame.Update update) {
            take(update);
        } else if (frame instanceof Frame.Ping ping) {
            send(new Frame.Pong(ping.token()));
        } else if (frame instanceof Frame.ReportsTaken taken) {
            take(taken);
        } else if (frame instanceof Frame.Goodbye goodbye) {
            if (goodbye.reason() == Frame.Reason.VERSION) {
                oldControllers.add(calling);
            }
            LOG.info("proxy {}: the controller says goodbye: {} {}", config.number(), goodbye.reason(),
                    goodbye.text());
            connection.close(Close.LOCAL, "goodbye: " + goodbye.reason());
        } else if (!(frame instanceof Frame.Pong)) {
            throw new ChannelException("a frame that a controller may not send: "
                    + frame.getClass().getSimpleName());
        }
    }

    private void take(Frame.ReportsTaken taken) throws ChannelException {
        if (!reports.acknowledge(taken.upTo())) {
            throw new ChannelException("an acknowledgement of report " + taken.upTo() + ", which was not sent");
        }
        sendReports();
        reportsChanged.run();
    }

    private void lookHomeLater() {
        if (config.policy().rehomeIntervalNs() > 0 && !redial.atHome() && !stopped) {
            int its = streams;
            loop.after(redial.lookAfter(config.policy().rehomeIntervalNs()), () -> {
                if (up && its == streams) {
                    lookHome();
                }
            });
        }
    }

    /** Calls its first controller beside the stream that is up; that is left only for one that answers. */
    private void lookHome() {
        InetSocketAddress home = config.controllers().get(config.firstController()
                % config.controllers().size());
        int its = streams;
        loop.connect(config.localAddress(), home, Connection.Options.usual().connectWithin(config.controllerTimeoutNs()),
                new Handler() {
                    @Override
                    public void opened(Connection made) {
                        made.close(Close.LOCAL, "it is there");
                        if (up && its == streams && !stopped) {
                            LOG.info("proxy {}: moves back to its first controller", config.number());
                            redial.home();
                            send(new Frame.Goodbye(Frame.Reason.MOVING, "to its first controller"));
                            connection.end();
                        }
                    }

                    @Override
                    public void received(Connection made, ByteBuffer bytes) { }

                    @Override
                    public void closed(Connection made, Close why, String detail) {
                        if (why.neverMade() && up && its == streams) {
                            lookHomeLater();
                        }
                    }
                });
    }

    /** Asks for a snapshot; one that its own full queue refuses is asked for again with the next message. */
    private void askAnew() {
        unasked = !send(new Frame.Resync(router.epoch(), router.version()));
    }

    private void take(Frame.Update update) {
        Router.UpdateResult heed = router.apply(update);
        if (heed == Router.UpdateResult.GAP) {
            LOG.warn("proxy {}: version {}/{} does not follow on {}/{}", config.number(), update.epoch(),
                    update.version(), router.epoch(), router.version());
            askAnew();
        } else if (heed == Router.UpdateResult.SKIPPED && unasked) {
            askAnew();
        } else if (heed == Router.UpdateResult.APPLIED) {
            for (Frame.Order order : update.orders()) {
                if (order instanceof Frame.Mark mark) {
                    send(new Frame.Applied(update.epoch(), update.version(), mark.number()));
                }
            }
            tablesChanged.run();
        }
    }

    @Override
    public void closed(Connection its, Close why, String detail) {
        boolean wasUp = up;
        up = false;
        if (wasUp) {
            oldControllers.remove(calling); // it may come back with another version
        }
        if (firstSnapshot != null) {
            firstSnapshot.cancel();
        }
        if (!why.neverMade()) {
            tap.closed(config.number(), streams, loop.now());
        }
        long wait = redial.failed(wasUp);
        LOG.debug("proxy {}: stream ended, {} {}; calling again in {} ms", config.number(), why, detail,
                wait / 1_000_000);
        loop.after(wait, this::call);
    }
}
