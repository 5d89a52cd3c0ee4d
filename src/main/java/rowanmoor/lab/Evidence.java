package rowanmoor.lab;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rowanmoor.ControlApi.Backend;
import rowanmoor.config.Site;
import rowanmoor.proxy.Tap;
import rowanmoor.standin.Ledger;
import rowanmoor.standin.RosterServer;

/**
 * What was seen of a run from outside: nothing of it comes from a controller's own memory.
 *
 * @param backends zone and kind by backend
 * @param standing each proxy's standing table, by number
 * @param taps what each proxy read from its streams, in order of time for each proxy
 * @param ranks the controller's rank by epoch, as it was told when the process came up
 */
public record Evidence(Site site, long start, long end, Map<Backend, Place> backends,
        List<List<Backend>> standing, List<Tapped> taps, Map<Long, Integer> ranks, Ledger ledger,
        List<RosterServer.SentAnswer> answers) {

    /** Where a backend stands and of which kind it is, by place in the site's lists. */
    public record Place(int zone, int kind) { }

    /** A stream opened, brought bytes, or closed. */
    public record Tapped(int proxy, int stream, long at, What what, byte[] bytes) { }

    /** What was seen. */
    public enum What { OPENED, READ, CLOSED }

    /** Writes down what passes a tap. */
    static final class Recorder implements Tap {
        private final List<Tapped> seen = new ArrayList<>();

        List<Tapped> seen() {
            return seen;
        }

        @Override
        public void opened(int proxy, int stream, long now) {
            seen.add(new Tapped(proxy, stream, now, What.OPENED, new byte[0]));
        }

        @Override
        public void read(int proxy, int stream, long now, ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            seen.add(new Tapped(proxy, stream, now, What.READ, copy));
        }

        @Override
        public void closed(int proxy, int stream, long now) {
            seen.add(new Tapped(proxy, stream, now, What.CLOSED, new byte[0]));
        }
    }
}
