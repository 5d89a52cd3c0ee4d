package rowanmoor.controller;

import java.nio.ByteBuffer;
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
 * The controller's end of one stream. States: silent (no hello yet), joined, over. Whatever its peer does
 * wrong ends this stream alone, with a reason.
 */
final class ProxyStream implements Handler {

    /** What the controller does with what streams bring. */
    interface Owner {

        /** Takes a hello in; a reason to refuse it, or null. */
        Frame.Goodbye hello(ProxyStream stream, Frame.Hello hello);

        void heard(ProxyStream stream, Frame frame);

        /** Nothing more is heard of it; told once, though its last words may still have to be written. */
        void over(ProxyStream stream, String why);

        /** Its connection is closed; told once. */
        void closed(ProxyStream stream);
    }

    private final Loop loop;
    private final Owner owner;
    private final long helloWithin;
    private final long pingEvery;
    private final FrameReader reader = new FrameReader(ChannelLimits.defaults());
    private Connection connection;
    private Timer timer;
    private Frame.Hello hello;
    private boolean over;
    private long pings;

    ProxyStream(Loop loop, Owner owner, long helloWithin, long pingEvery) {
        this.loop = loop;
        this.owner = owner;
        this.helloWithin = helloWithin;
        this.pingEvery = pingEvery;
    }

    /** The proxy's hello, or null before it came. */
    Frame.Hello hello() {
        return hello;
    }

    Connection connection() {
        return connection;
    }

    @Override
    public void opened(Connection its) {
        connection = its;
        timer = loop.after(helloWithin, () -> end(Frame.Reason.SILENT, "no hello in time"));
    }

    @Override
    public void received(Connection its, ByteBuffer bytes) {
        try {
            while (bytes.hasRemaining() && connection.isOpen()) {
                Frame frame = reader.next(bytes);
                if (frame != null) {
                    take(frame);
                }
            }
        } catch (ChannelException e) {
            end(Frame.Reason.PROTOCOL, e.getMessage());
        }
    }

    private void take(Frame frame) {
        if (hello == null) {
            if (!(frame instanceof Frame.Hello first)) {
                end(Frame.Reason.PROTOCOL, "the first frame is not a hello");
                return;
            }
            join(first);
        } else if (frame instanceof Frame.Ping ping) {
            send(new Frame.Pong(ping.token()));
        } else if (frame instanceof Frame.Goodbye goodbye) {
            connection.close(Close.LOCAL, "the proxy says goodbye: " + goodbye.reason() + " "
                    + goodbye.text());
        } else if (frame instanceof Frame.Applied || frame instanceof Frame.Report
                || frame instanceof Frame.NumberedReport || frame instanceof Frame.Resync) {
            owner.heard(this, frame);
        } else if (!(frame instanceof Frame.Pong)) {
            end(Frame.Reason.PROTOCOL, "a frame that a proxy may not send: "
                    + frame.getClass().getSimpleName());
        }
    }

    private void join(Frame.Hello first) {
        timer.cancel();
        hello = first; // what the owner does with it may end this stream
        Frame.Goodbye refusal = owner.hello(this, first);
        if (refusal != null) {
            hello = null;
            end(refusal.reason(), refusal.text());
        } else if (!over) {
            ping();
        }
    }

    private void ping() {
        send(new Frame.Ping(++pings));
        timer = loop.after(pingEvery, this::ping);
    }

    /** Sends a frame; a stream whose queue is full is closed by the queue's bound. */
    void send(Frame frame) {
        connection.send(Codec.encode(frame));
    }

    /** Says why, and ends. */
    void end(Frame.Reason reason, String text) {
        if (connection.isOpen()) {
            String cut = text.length() > 200 ? text.substring(0, 200) : text;
            connection.send(Codec.encode(new Frame.Goodbye(reason, cut)));
            connection.end();
        }
        over(reason + ": " + text);
    }

    /** The proxy has left, whether or not it still takes what waits for it. */
    @Override
    public boolean ended(Connection its) {
        over("the proxy ended");
        return false;
    }

    @Override
    public void closed(Connection its, Close why, String detail) {
        over(why + ": " + detail);
        owner.closed(this);
    }

    private void over(String why) {
        if (!over) {
            over = true;
            if (timer != null) {
                timer.cancel();
            }
            owner.over(this, why);
        }
    }
}
