package rowanmoor.lab;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * One trouble of a day. Times are nanoseconds from the day's start.
 *
 * @param part share of backends or proxies that it strikes, 0 to 1
 * @param size how bad, in the kind's own measure
 * @param zone the zone that it strikes, or -1
 * @param controller the controller that it strikes, or -1
 */
public record Trouble(Kind kind, long at, long length, double part, double size, int zone, int controller) {

    /** What may befall. */
    public enum Kind {
        /** Backends die and come back cold. */
        CRASH,
        /** Backends are {@code size} times slower. */
        SLOW,
        /** Backends answer the share {@code size} of requests with an error at once. */
        FAST_ERRORS,
        /** Backends stand still for {@code size} ms, once a second. */
        PAUSES,
        /** Arrivals come {@code size} times as fast. */
        BURST,
        /** Nothing passes between a zone and the others. */
        ZONE_CUT,
        /** All backends of a zone die and come back cold. */
        ZONE_LOSS,
        /** The roster refuses. */
        ROSTER_DOWN,
        /** The roster's next answers, {@code size} of them, list nothing. */
        ROSTER_EMPTY,
        /** Proxies reach no controller. */
        PROXIES_CUT,
        /** A controller is killed outright and started again after the length. */
        CONTROLLER_KILL,
        /** A controller's process stands still. */
        CONTROLLER_STALL,
        /** Proxies read {@code size} bytes a second of the channel. */
        SLOW_READER,
        /** Backends of a zone (the {@code part} of them) are listed as draining. */
        DRAIN,
        /** Backends do their work and lose the share {@code size} of the answers. */
        ANSWERS_LOST,
        /** Backends report {@code size} times their load. */
        FALSE_REPORTS;

        /** As it stands in a day file. */
        public String configName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        static Map<String, Kind> byConfigName() {
            Map<String, Kind> words = new TreeMap<>();
            for (Kind kind : values()) {
                words.put(kind.configName(), kind);
            }
            return words;
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

    public long end() {
        return at + length;
    }
}
