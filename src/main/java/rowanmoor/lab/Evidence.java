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
 * The record of a run as observed from outside; nothing in it comes from a controller's own memory.
 *
 * @param backends zone and kind of each backend
 * @param standingTables each proxy's standing table, by proxy number
 * @param tapEvents what each proxy read from its streams, ordered by time within each proxy
 * @param ranksByEpoch the controller's rank by epoch, as reported when its process started
 */
public record Evidence(Site site, long start, long end, Map<Backend, Placement> backends,
        List<List<Backend>> standingTables, List<TapEvent> tapEvents, Map<Long, Integer> ranksByEpoch,
        Ledger ledger,
        List<RosterServer.SentAnswer> answers) {

    /** A backend's zone and kind, as indices into the site's lists. */
    public record Placement(int zone, int kind) { }

    /** One event on a proxy's stream. Times are nanoseconds. */
    public record TapEvent(int proxy, int stream, long at, TapEventType type, byte[] bytes) { }

    /** What happened on the stream. */
    public enum TapEventType { OPENED, READ, CLOSED }

    /** Records the events of a tap. */
    static final class Recorder implements Tap {
        private final List<TapEvent> events = new ArrayList<>();

        List<TapEvent> events() {
            return events;
        }

        @Override
        public void opened(int proxy, int stream, long now) {
            events.add(new TapEvent(proxy, stream, now, TapEventType.OPENED, new byte[0]));
        }

        @Override
        public void read(int proxy, int stream, long now, ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            events.add(new TapEvent(proxy, stream, now, TapEventType.READ, copy));
        }

        @Override
        public void closed(int proxy, int stream, long now) {
            events.add(new TapEvent(proxy, stream, now, TapEventType.CLOSED, new byte[0]));
        }
    }
}
