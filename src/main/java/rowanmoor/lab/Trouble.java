package rowanmoor.lab;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A trouble: a failure that a day injects. Times are nanoseconds from the day's start.
 *
 * @param part fraction of the backends or proxies that are affected, 0 to 1
 * @param size severity, in the unit of the kind
 * @param zone the affected zone, or -1
 * @param controller the affected controller, or -1
 */
public record Trouble(Kind kind, long at, long length, double part, double size, int zone, int controller) {

    /** The kinds of trouble. */
    public enum Kind {
        /** Backends crash and come back cold. */
        CRASH,
        /** Backends are {@code size} times slower. */
        SLOW,
        /** Backends answer the fraction {@code size} of requests at once with an error. */
        FAST_ERRORS,
        /** Backends pause for {@code size} ms, once a second. */
        PAUSES,
        /** Requests arrive {@code size} times as fast. */
        BURST,
        /** A network partition between a zone and the others. */
        ZONE_CUT,
        /** All backends of a zone crash and come back cold. */
        ZONE_LOSS,
        /** The roster server refuses connections. */
        ROSTER_DOWN,
        /** The next {@code size} answers of the roster are empty. */
        ROSTER_EMPTY,
        /** Proxies cannot reach any controller. */
        PROXIES_CUT,
        /** A controller is killed without a shutdown and started again after the length. */
        CONTROLLER_KILL,
        /** A controller's process is paused. */
        CONTROLLER_STALL,
        /** Proxies read {@code size} bytes per second from the channel. */
        SLOW_READER,
        /** The fraction {@code part} of a zone's backends is listed as draining. */
        DRAIN,
        /** Backends do the work but lose the fraction {@code size} of the responses. */
        ANSWERS_LOST,
        /** Backends report {@code size} times their actual load. */
        FALSE_REPORTS;

        /** The kind's name in a day file. */
        public String configName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        static Map<String, Kind> byConfigName() {
            Map<String, Kind> kinds = new TreeMap<>();
            for (Kind kind : values()) {
                kinds.put(kind.configName(), kind);
            }
            return kinds;
        }

        boolean needsZone() {
            return this == ZONE_CUT || this == ZONE_LOSS || this == DRAIN;
        }

        boolean needsController() {
            return this == CONTROLLER_KILL || this == CONTROLLER_STALL;
        }

        boolean needsSize() {
            return this == SLOW || this == FAST_ERRORS || this == PAUSES || this == BURST
                    || this == SLOW_READER || this == ANSWERS_LOST || this == FALSE_REPORTS;
        }

        boolean needsPart() {
            return this == CRASH || this == SLOW || this == FAST_ERRORS || this == PAUSES
                    || this == PROXIES_CUT || this == SLOW_READER || this == DRAIN || this == ANSWERS_LOST
                    || this == FALSE_REPORTS;
        }
    }

    /** When it ends, nanoseconds from the day's start. */
    public long end() {
        return at + length;
    }
}
