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
 * Follows the catalog: one watch, begun anew when it breaks, falls silent or brings what cannot be read.
 * When the catalog moves, the new watch stands before the old one ends.
 *
 * <p>At any time there is at most one watch that stands ({@code current}), and at most one of: a watch that
 * is being begun ({@code next}), a redial to come ({@code redial}). Only the two watches are listened to.
 */
final class Catalog {

    /** What its owner does with what the catalog says. */
    interface Owner {

        /** The version to follow from. */
        long generation();

        /** Takes an object in; throws if it makes no sense. */
        void take(Map<String, Object> object) throws IOException;

        /** No watch stands any more; answers whether to begin another without being asked. */
        boolean broken(String why);
    }

    private static final long MILLI = 1_000_000L;
    private static final long CONNECT_WITHIN = 700 * MILLI;
    /** A line comes every 2 s; one that is so late will not come. */
    private static final long SILENT_AFTER = 2_700 * MILLI;
    /** In how long a line that has begun has to end; looked at as often as silence is. */
    private static final long LINE_WITHIN = 3_000 * MILLI;
    private static final long FIRST_WAIT = 20 * MILLI;
    private static final long LONGEST_WAIT = 500 * MILLI;
    private static final int LINE_MOST = 4 << 20;

    private final Loop loop;
    private final Owner owner;
    private final SplittableRandom random;
    private InetSocketAddress at;
    private Watch current;
    private Watch next;
    private Timer redial; // null unless one is to come
    private long wait = FIRST_WAIT;

    Catalog(Loop loop, InetSocketAddress at, long seed, Owner owner) {
        this.loop = loop;
        this.at = at;
        this.random = new SplittableRandom(seed);
        this.owner = owner;
    }

    /** Begins to follow, unless it does. */
    void follow() {
        if (current == null && next == null) {
            begin();
        }
    }

    /** The catalog is elsewhere from now on. */
    void moveTo(InetSocketAddress other) {
        if (!other.equals(at)) {
            at = other;
            wait = FIRST_WAIT;
            begin();
        }
    }

    private void begin() {
        if (redial != null) {
            redial.cancel();
            redial = null;
        }
        if (next != null) {
            next.stop();
        }
        next = new Watch();
        next.open();
    }

    private void over(Watch watch, String why) {
        watch.stop();
        if (watch == next) {
            next = null;
            if (current != null || owner.broken(why)) {
                redialLater();
            }
        } else if (watch == current) {
            current = null;
            // While another is being asked, or is about to be, that one decides what comes of it.
            if (next == null && redial == null && owner.broken(why)) {
                redialLater();
            }
        }
    }

    private void redialLater() {
        long delay = wait + random.nextLong(wait);
        wait = Math.min(2 * wait, LONGEST_WAIT);
        redial = loop.after(delay, this::begin);
    }

    /** One connection's worth of following. */
    private final class Watch implements ClientStream.ResponseHandler {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private ClientStream stream;
        private Timer silence;
        private long heardAt;
        private long lineSince; // when the line begun last began

        void open() {
            heardAt = loop.now();
            stream = ClientStream.open(loop, null, at, Connection.Options.defaults()
                    .connectWithin(CONNECT_WITHIN), MessageLimits.defaults(), gone -> { });
            stream.sendHead(new MessagePart.RequestHead("GET", "/catalog/members?follow=1&since=" + owner.generation(), 1,
                    HttpFields.of("Host", at.getHostString() + ":" + at.getPort()), 0), this);
            stream.endRequest(new HttpFields());
            watchSilence();
        }

        private void watchSilence() {
            long left = heardAt + SILENT_AFTER - loop.now();
            if (left <= 0) {
                over(this, "silent");
            } else if (line.size() > 0 && loop.now() - lineSince > LINE_WITHIN) {
                over(this, "a line that does not end");
            } else {
                silence = loop.after(left, this::watchSilence);
            }
        }

        /** Nothing more is heard of it, and its connection is closed; harmless if it is over. */
        void stop() {
            if (silence != null) {
                silence.cancel();
            }
            stream.cancel();
        }

        private boolean isHeard() {
            return this == current || this == next;
        }

        @Override
        public void onResponseHead(MessagePart.ResponseHead head) {
            heardAt = loop.now();
            if (head.status() != 200) {
                over(this, "status " + head.status());
            }
        }

        @Override
        public void onResponseContent(ByteBuffer bytes) {
            heardAt = loop.now();
            while (bytes.hasRemaining() && isHeard()) {
                byte b = bytes.get();
                if (b != '\n') {
                    lineSince = line.size() == 0 ? loop.now() : lineSince;
                    line.write(b);
                    if (line.size() > LINE_MOST) {
                        unreadable("a line of more than " + LINE_MOST + " bytes");
                    }
                } else {
                    take();
                }
            }
        }

        private void take() {
            byte[] bytes = line.toByteArray();
            line.reset();
            boolean cr = bytes.length > 0 && bytes[bytes.length - 1] == '\r';
            int length = cr ? bytes.length - 1 : bytes.length;
            try {
                if (length > 0) {
                    owner.take(Json.object(bytes, 0, length));
                }
                stands();
            } catch (IOException e) {
                unreadable(String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            }
        }

        /** Its first line has come and can be read: it takes the place of the one before. */
        private void stands() {
            if (next == this) {
                Watch old = current;
                current = this;
                next = null;
                wait = FIRST_WAIT;
                if (old != null) {
                    old.stop();
                }
            }
        }

        private void unreadable(String why) {
            over(this, "cannot be read: " + why);
        }

        @Override
        public void onResponseEnd(HttpFields trailers) {
            over(this, "ended"); // closes it too: an answer that ends leaves its connection open
        }

        @Override
        public void onFailure(boolean neverRan, CloseReason why, String detail) {
            over(this, why + ": " + detail);
        }
    }
}
