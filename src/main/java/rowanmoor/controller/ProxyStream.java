package rowanmoor.controller;

import java.nio.ByteBuffer;
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
 * The controller's side of one proxy stream. States: waiting for the hello, joined, ended. A protocol error
 * of the peer ends this stream only, with a reason.
 */
final class ProxyStream implements ConnectionHandler {

    /** Receives the events of streams. */
    interface Owner {

        /** Handles the hello; returns the reason to refuse the stream, or null to accept it. */
        Frame.Goodbye onHello(ProxyStream stream, Frame.Hello hello);

        /** Handles an applied mark, a report or a resync request. */
        void onFrame(ProxyStream stream, Frame frame);

        /** Called once when no more frames are read; frames may still be waiting to be written. */
        void onStreamEnded(ProxyStream stream, String reason);

        /** Called once when the connection is closed. */
        void onStreamClosed(ProxyStream stream);
    }

    private static final int MAX_GOODBYE_CHARS = 200;

    private final Loop loop;
    private final Owner owner;
    private final long helloTimeoutNs;
    private final long pingIntervalNs;
    private final FrameReader reader = new FrameReader(ChannelLimits.defaults());
    private Connection connection;
    private Timer timer;
    private Frame.Hello hello;
    private boolean ended;
    private long lastPingToken;

    ProxyStream(Loop loop, Owner owner, long helloTimeoutNs, long pingIntervalNs) {
        this.loop = loop;
        this.owner = owner;
        this.helloTimeoutNs = helloTimeoutNs;
        this.pingIntervalNs = pingIntervalNs;
    }

    /** Returns the proxy's hello, or null if none was accepted. */
    Frame.Hello hello() {
        return hello;
    }

    /** Returns the connection, or null if it is not open yet. */
    Connection connection() {
        return connection;
    }

    @Override
    public void onOpen(Connection newConnection) {
        connection = newConnection;
        timer = loop.after(helloTimeoutNs, () -> end(Frame.Reason.SILENT, "no hello in time"));
    }

    @Override
    public void onData(Connection source, ByteBuffer bytes) {
        try {
            while (bytes.hasRemaining() && connection.isOpen()) {
                Frame frame = reader.next(bytes);
                if (frame != null) {
                    onFrame(frame);
                }
            }
        } catch (ChannelException e) {
            end(Frame.Reason.PROTOCOL, e.getMessage());
        }
    }

    private void onFrame(Frame frame) {
        if (hello == null) {
            if (!(frame instanceof Frame.Hello first)) {
                end(Frame.Reason.PROTOCOL, "the first frame is not a hello");
                return;
            }
            onHello(first);
        } else if (frame instanceof Frame.Ping ping) {
            send(new Frame.Pong(ping.token()));
        } else if (frame instanceof Frame.Goodbye goodbye) {
            connection.close(CloseReason.LOCAL, "goodbye from the proxy: " + goodbye.reason() + " "
                    + goodbye.text());
        } else if (frame instanceof Frame.Applied || frame instanceof Frame.Report
                || frame instanceof Frame.NumberedReport || frame instanceof Frame.Resync) {
            owner.onFrame(this, frame);
        } else if (!(frame instanceof Frame.Pong)) {
            end(Frame.Reason.PROTOCOL, "a frame that a proxy may not send: "
                    + frame.getClass().getSimpleName());
        }
    }

    private void onHello(Frame.Hello first) {
        timer.cancel();
        hello = first; // the owner may end this stream in its callback and then needs the hello
        Frame.Goodbye refusal = owner.onHello(this, first);
        if (refusal != null) {
            hello = null;
            end(refusal.reason(), refusal.text());
        } else if (!ended) {
            ping();
        }
    }

    private void ping() {
        send(new Frame.Ping(++lastPingToken));
        timer = loop.after(pingIntervalNs, this::ping);
    }

    /** Sends a frame. If the connection's send queue is full, the connection closes. */
    void send(Frame frame) {
        connection.send(Codec.encode(frame));
    }

    /** Sends a goodbye with the reason and ends the stream. */
    void end(Frame.Reason reason, String text) {
        if (connection.isOpen()) {
            String shortText = text.length() > MAX_GOODBYE_CHARS
                    ? text.substring(0, MAX_GOODBYE_CHARS) : text;
            connection.send(Codec.encode(new Frame.Goodbye(reason, shortText)));
            connection.closeGracefully();
        }
        notifyEnded(reason + ": " + text);
    }

    /** Treats the proxy as gone, even if it still reads the frames that are waiting to be written. */
    @Override
    public boolean onInputEnd(Connection halfClosed) {
        notifyEnded("the proxy closed its side of the stream");
        return false;
    }

    @Override
    public void onClose(Connection closedConnection, CloseReason reason, String detail) {
        notifyEnded(reason + ": " + detail);
        owner.onStreamClosed(this);
    }

    private void notifyEnded(String reason) {
        if (!ended) {
            ended = true;
            if (timer != null) {
                timer.cancel();
            }
            owner.onStreamEnded(this, reason);
        }
    }
}
