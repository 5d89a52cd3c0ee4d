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
 * @param standingTables each proxy's standing table, by number
 * @param tapEvents what each proxy read from its streams, in order of time for each proxy
 * @param ranksByEpoch the controller's rank by epoch, as it was told when the process came up
 */
public record Evidence(Site site, long start, long end, Map<Backend, Placement> backends,
        List<List<Backend>> standingTables, List<TapEvent> tapEvents, Map<Long, Integer> ranksByEpoch, Ledger ledger,
        List<RosterServer.SentAnswer> answers) {

    /** Where a backend stands and of which kind it is, by place in the site's lists. */
    public record Placement(int zone, int kind) { }

    /** A stream opened, brought bytes, or closed. */
    public record TapEvent(int proxy, int stream, long at, TapEventType type, byte[] bytes) { }

    /** What was seen. */
    public enum TapEventType { OPENED, READ, CLOSED }

    /** Writes down what passes a tap. */
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
