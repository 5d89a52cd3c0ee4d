package rowanmoor.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.SplittableRandom;
import rowanmoor.http.ClientStream;
import rowanmoor.http.HttpFields;
import rowanmoor.http.MessageLimits;
import rowanmoor.http.MessagePart;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/**
 * Follows the catalog by one streaming HTTP request, a watch. The watch is reopened when it fails, falls
 * silent or delivers unreadable data. When the catalog's address changes, the new watch is established before
 * the old one is closed.
 *
 * <p>At any time there is at most one established watch ({@code activeWatch}), and at most one of: a watch
 * being established ({@code pendingWatch}), a scheduled redial ({@code redialTimer}). Data of any other watch
 * is ignored.
 */
final class CatalogClient {

    /** Receives the catalog's objects. */
    interface Listener {

        /** The catalog version from which a new watch continues. */
        long generation();

        /** Handles one object; throws if it is malformed. */
        void onObject(Map<String, Object> object) throws IOException;

        /** Called when no watch is left; returns whether to open another one without a further request. */
        boolean onWatchLost(String reason);
    }

    private static final long NS_PER_MS = 1_000_000L;
    private static final long CONNECT_TIMEOUT_NS = 700 * NS_PER_MS;
    /** The catalog sends a line every 2 s; a line this late will not arrive. */
    private static final long SILENCE_TIMEOUT_NS = 2_700 * NS_PER_MS;
    /** Limit from the first byte of a line to its end; checked when silence is checked. */
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
    private Timer redialTimer; // null unless a redial is scheduled
    private long redialDelay = MIN_REDIAL_DELAY_NS;

    CatalogClient(Loop loop, InetSocketAddress address, long seed, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.random = new SplittableRandom(seed);
        this.listener = listener;
    }

    /** Starts to follow the catalog unless it is followed already. */
    void follow() {
        if (activeWatch == null && pendingWatch == null) {
            startWatch();
        }
    }

    /** Switches to the catalog at another address; does nothing if the address is unchanged. */
    void setAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
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

    private void watchEnded(Watch watch, String reason) {
        watch.stop();
        if (watch == pendingWatch) {
            pendingWatch = null;
            if (activeWatch != null || listener.onWatchLost(reason)) {
                scheduleRedial();
            }
        } else if (watch == activeWatch) {
            activeWatch = null;
            // A pending watch or scheduled redial takes over; its own result is reported instead.
            if (pendingWatch == null && redialTimer == null && listener.onWatchLost(reason)) {
                scheduleRedial();
            }
        }
    }

    private void scheduleRedial() {
        long delay = redialDelay + random.nextLong(redialDelay);
        redialDelay = Math.min(2 * redialDelay, MAX_REDIAL_DELAY_NS);
        redialTimer = loop.after(delay, this::startWatch);
    }

    /** One request to the catalog, on a connection of its own. */
    private final class Watch implements ClientStream.ResponseHandler {
        private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
        private ClientStream stream;
        private Timer silenceTimer;
        private long lastReceivedAt;
        private long lineStartedAt; // arrival of the first byte of the current line

        void open() {
            lastReceivedAt = loop.now();
            stream = ClientStream.open(loop, null, address, Connection.Options.defaults()
                    .connectWithin(CONNECT_TIMEOUT_NS), MessageLimits.defaults(), closed -> { });
            stream.sendHead(new MessagePart.RequestHead("GET",
                    "/catalog/members?follow=1&since=" + listener.generation(), 1,
                    HttpFields.of("Host", address.getHostString() + ":" + address.getPort()), 0), this);
            stream.endRequest(new HttpFields());
            checkSilence();
        }

        private void checkSilence() {
            long left = lastReceivedAt + SILENCE_TIMEOUT_NS - loop.now();
            if (left <= 0) {
                watchEnded(this, "silent");
            } else if (lineBuffer.size() > 0 && loop.now() - lineStartedAt > LINE_TIMEOUT_NS) {
                watchEnded(this, "a line did not end within " + LINE_TIMEOUT_NS / NS_PER_MS + " ms");
            } else {
                silenceTimer = loop.after(left, this::checkSilence);
            }
        }

        /** Closes the connection; no callback follows. Does nothing if the watch has ended. */
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
        public void onResponseHead(MessagePart.ResponseHead head) {
            lastReceivedAt = loop.now();
            if (head.status() != 200) {
                watchEnded(this, "status " + head.status());
            }
        }

        @Override
        public void onResponseContent(ByteBuffer bytes) {
            lastReceivedAt = loop.now();
            while (bytes.hasRemaining() && isAttached()) {
                byte b = bytes.get();
                if (b != '\n') {
                    lineStartedAt = lineBuffer.size() == 0 ? loop.now() : lineStartedAt;
                    lineBuffer.write(b);
                    if (lineBuffer.size() > MAX_LINE_BYTES) {
                        endUnreadable("a line exceeds " + MAX_LINE_BYTES + " bytes");
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

        /** Replaces the previous watch once the first line has arrived and was readable. */
        private void activate() {
            if (pendingWatch == this) {
                Watch previous = activeWatch;
                activeWatch = this;
                pendingWatch = null;
                redialDelay = MIN_REDIAL_DELAY_NS;
                if (previous != null) {
                    previous.stop();
                }
            }
        }

        private void endUnreadable(String reason) {
            watchEnded(this, "unreadable: " + reason);
        }

        @Override
        public void onResponseEnd(HttpFields trailers) {
            watchEnded(this, "ended"); // also closes the connection, which the end of a response leaves open
        }

        @Override
        public void onFailure(boolean neverRan, CloseReason reason, String detail) {
            watchEnded(this, reason + ": " + detail);
        }
    }
}
