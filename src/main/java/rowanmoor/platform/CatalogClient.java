package rowanmoor.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.SplittableRandom;
import rowanmoor.http.ClientStream;
import rowanmoor.http.Fields;
import rowanmoor.http.Limits;
import rowanmoor.http.Part;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/**
 * Follows the catalog: one watch, begun anew when it breaks, falls silent or brings what cannot be read.
 * When the catalog moves, the new watch stands before the old one ends.
 *
 * <p>At any time there is at most one watch that stands ({@code current}), and at most one of: a watch that
 * is being begun ({@code next}), a redial to come ({@code redial}). Only the two watches are listened to.
 */
final class CatalogClient {

    /** What its owner does with what the catalog says. */
    interface Listener {

        /** The version to follow from. */
        long generation();

        /** Takes an object in; throws if it makes no sense. */
        void onObject(Map<String, Object> object) throws IOException;

        /** No watch stands any more; answers whether to begin another without being asked. */
        boolean onWatchLost(String why);
    }

    private static final long NS_PER_MS = 1_000_000L;
    private static final long CONNECT_TIMEOUT_NS = 700 * NS_PER_MS;
    /** A line comes every 2 s; one that is so late will not come. */
    private static final long SILENCE_TIMEOUT_NS = 2_700 * NS_PER_MS;
    /** In how long a line that has begun has to end; looked at as often as silence is. */
    private static final long LINE_TIMEOUT_NS = 3_000 * NS_PER_MS;
    private static final long MIN_REDIAL_DELAY_NS = 20 * NS_PER_MS;
    private static final long MAX_REDIAL_DELAY_NS = 500 * NS_PER_MS;
    private static final int MAX_LINE_BYTES = 4 << 20;

    private final Loop loop;
    private final Listener listener;
    private final SplittableRandom random;
    private InetSocketAddress address;
    private Watch activeWatch;
    private Watch pendingWatch;
    private Timer redialTimer; // null unless one is to come
    private long redialDelay = MIN_REDIAL_DELAY_NS;

    CatalogClient(Loop loop, InetSocketAddress at, long seed, Listener owner) {
        this.loop = loop;
        this.address = at;
        this.random = new SplittableRandom(seed);
        this.listener = owner;
    }

    /** Begins to follow, unless it does. */
    void follow() {
        if (activeWatch == null && pendingWatch == null) {
            startWatch();
        }
    }

    /** The catalog is elsewhere from now on. */
    void setAddress(InetSocketAddress other) {
        if (!other.equals(address)) {
            address = other;
            redialDelay = MIN_REDIAL_DELAY_NS;
            startWatch();
        }
    }

    private void startWatch() {
        if (redialTimer != null) {
            redialTimer.cancel();
            redialTimer = null;
        }
        if (pendingWatch != null) {
            pendingWatch.stop();
        }
        pendingWatch = new Watch();
        pendingWatch.open();
    }

    private void watchEnded(Watch watch, String why) {
        watch.stop();
        if (watch == pendingWatch) {
            pendingWatch = null;
            if (activeWatch != null || listener.onWatchLost(why)) {
                scheduleRedial();
            }
        } else if (watch == activeWatch) {
            activeWatch = null;
            // While another is being asked, or is about to be, that one decides what comes of it.
            if (pendingWatch == null && redialTimer == null && listener.onWatchLost(why)) {
                scheduleRedial();
            }
        }
    }

    private void scheduleRedial() {
        long delay = redialDelay + random.nextLong(redialDelay);
        redialDelay = Math.min(2 * redialDelay, MAX_REDIAL_DELAY_NS);
        redialTimer = loop.after(delay, this::startWatch);
    }

    /** One connection's worth of following. */
    private final class Watch implements ClientStream.Answer {
        private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
        private ClientStream stream;
        private Timer silenceTimer;
        private long lastReceivedAt;
        private long lineStartedAt; // when the line begun last began

        void open() {
            lastReceivedAt = loop.now();
            stream = ClientStream.open(loop, null, address, Connection.Options.usual()
                    .connectWithin(CONNECT_TIMEOUT_NS), Limits.usual(), gone -> { });
            stream.ask(new Part.RequestHead("GET", "/catalog/members?follow=1&since=" + listener.generation(), 1,
                    Fields.of("Host", address.getHostString() + ":" + address.getPort()), 0), this);
            stream.end(new Fields());
            checkSilence();
        }

        private void checkSilence() {
            long left = lastReceivedAt + SILENCE_TIMEOUT_NS - loop.now();
            if (left <= 0) {
                watchEnded(this, "silent");
            } else if (lineBuffer.size() > 0 && loop.now() - lineStartedAt > LINE_TIMEOUT_NS) {
                watchEnded(this, "a line that does not end");
            } else {
                silenceTimer = loop.after(left, this::checkSilence);
            }
        }

        /** Nothing more is heard of it, and its connection is closed; harmless if it is over. */
        void stop() {
            if (silenceTimer != null) {
                silenceTimer.cancel();
            }
            stream.cancel();
        }

        private boolean isAttached() {
            return this == activeWatch || this == pendingWatch;
        }

        @Override
        public void head(Part.ResponseHead head) {
            lastReceivedAt = loop.now();
            if (head.status() != 200) {
                watchEnded(this, "status " + head.status());
            }
        }

        @Override
        public void content(ByteBuffer bytes) {
            lastReceivedAt = loop.now();
            while (bytes.hasRemaining() && isAttached()) {
                byte b = bytes.get();
                if (b != '\n') {
                    lineStartedAt = lineBuffer.size() == 0 ? loop.now() : lineStartedAt;
                    lineBuffer.write(b);
                    if (lineBuffer.size() > MAX_LINE_BYTES) {
                        endUnreadable("a line of more than " + MAX_LINE_BYTES + " bytes");
                    }
                } else {
                    processLine();
                }
            }
        }

        private void processLine() {
            byte[] bytes = lineBuffer.toByteArray();
            lineBuffer.reset();
            boolean cr = bytes.length > 0 && bytes[bytes.length - 1] == '\r';
            int length = cr ? bytes.length - 1 : bytes.length;
            try {
                if (length > 0) {
                    listener.onObject(Json.parseObject(bytes, 0, length));
                }
                activate();
            } catch (IOException e) {
                endUnreadable(String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            }
        }

        /** Its first line has come and can be read: it takes the place of the one before. */
        private void activate() {
            if (pendingWatch == this) {
                Watch old = activeWatch;
                activeWatch = this;
                pendingWatch = null;
                redialDelay = MIN_REDIAL_DELAY_NS;
                if (old != null) {
                    old.stop();
                }
            }
        }

        private void endUnreadable(String why) {
            watchEnded(this, "cannot be read: " + why);
        }

        @Override
        public void whole(Fields trailers) {
            watchEnded(this, "ended"); // closes it too: an answer that ends leaves its connection open
        }

        @Override
        public void failed(boolean neverRan, Close why, String detail) {
            watchEnded(this, why + ": " + detail);
        }
    }
}
