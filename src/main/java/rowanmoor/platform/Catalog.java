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
 */
final class Catalog {

    /** What its owner does with what the catalog says. */
    interface Owner {

        /** The version to follow from. */
        long generation();

        /** Takes an object in; throws if it makes no sense. */
        void take(Map<String, Object> object) throws IOException;

        /** A watch is over; answers whether to begin another without being asked. */
        boolean broken(String why);
    }

    private static final long MILLI = 1_000_000L;
    private static final long CONNECT_WITHIN = 700 * MILLI;
    /** A line comes every 2 s; one that is so late will not come. What is told counts as told after 6 s. */
    private static final long SILENT_AFTER = 2_700 * MILLI;
    private static final long FIRST_WAIT = 20 * MILLI;
    private static final long LONGEST_WAIT = 500 * MILLI;
    private static final int LINE_MOST = 4 << 20;

    private final Loop loop;
    private final Owner owner;
    private final SplittableRandom random;
    private InetSocketAddress at;
    private Watch current;
    private Watch next;
    private Timer again;
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
            if (next != null) {
                Watch stale = next;
                next = null;
                stale.stop();
            }
            begin();
        }
    }

    private void begin() {
        if (again != null) {
            again.cancel();
        }
        next = new Watch();
        next.open();
    }

    private void over(Watch watch, String why) {
        if (watch != current && watch != next) {
            return; // replaced, or stopped
        }
        boolean wasNext = watch == next;
        if (wasNext) {
            next = null;
        } else {
            current = null;
        }
        if (next != null) {
            return; // the old address has closed; the new one is being asked
        }
        if (owner.broken(why)) {
            long most = wait + random.nextLong(wait);
            wait = Math.min(2 * wait, LONGEST_WAIT);
            again = loop.after(most, this::begin);
        }
    }

    /** One connection's worth of following. */
    private final class Watch implements ClientStream.Answer {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private ClientStream stream;
        private Timer silence;
        private long heardAt;

        void open() {
            heardAt = loop.now();
            stream = ClientStream.open(loop, null, at, Connection.Options.usual()
                    .connectWithin(CONNECT_WITHIN), Limits.usual(), gone -> { });
            stream.ask(new Part.RequestHead("GET", "/catalog/members?follow=1&since=" + owner.generation(), 1,
                    Fields.of("Host", at.getHostString() + ":" + at.getPort()), 0), this);
            stream.end(new Fields());
            watchSilence();
        }

        private void watchSilence() {
            long left = heardAt + SILENT_AFTER - loop.now();
            if (left <= 0) {
                stop();
                over(this, "silent");
            } else {
                silence = loop.after(left, this::watchSilence);
            }
        }

        void stop() {
            if (silence != null) {
                silence.cancel();
            }
            stream.cancel();
        }

        @Override
        public void head(Part.ResponseHead head) {
            heardAt = loop.now();
            if (head.status() != 200) {
                stop();
                over(this, "status " + head.status());
            }
        }

        @Override
        public void content(ByteBuffer bytes) {
            heardAt = loop.now();
            while (bytes.hasRemaining()) {
                byte b = bytes.get();
                if (b != '\n') {
                    line.write(b);
                    if (line.size() > LINE_MOST) {
                        unreadable("a line of more than " + LINE_MOST + " bytes");
                        return;
                    }
                } else if (!take()) {
                    return;
                }
            }
        }

        private boolean take() {
            byte[] bytes = line.toByteArray();
            line.reset();
            boolean cr = bytes.length > 0 && bytes[bytes.length - 1] == '\r';
            int length = cr ? bytes.length - 1 : bytes.length;
            stands();
            if (length == 0) {
                return true;
            }
            try {
                owner.take(Json.object(bytes, 0, length));
                return true;
            } catch (IOException e) {
                unreadable(String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
                return false;
            }
        }

        /** Its first line has come: it takes the place of the one before. */
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
            stop();
            over(this, "cannot be read: " + why);
        }

        @Override
        public void whole(Fields trailers) {
            silence.cancel();
            over(this, "ended");
        }

        @Override
        public void failed(boolean neverRan, Close why, String detail) {
            if (silence != null) {
                silence.cancel();
            }
            over(this, why + ": " + detail);
        }
    }
}
