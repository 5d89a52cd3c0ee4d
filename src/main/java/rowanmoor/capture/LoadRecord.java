package rowanmoor.capture;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * One record of a capture. {@code at} is in nanoseconds of the controller's own clock; the {@link Start} of
 * the segment relates it to the wall clock, so that segments of several controllers can be merged. Component
 * names are part of the file format (CBOR) and of the JSON export.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
@JsonSubTypes({
    @JsonSubTypes.Type(value = LoadRecord.Start.class, name = "start"),
    @JsonSubTypes.Type(value = LoadRecord.Use.class, name = "use"),
    @JsonSubTypes.Type(value = LoadRecord.Tried.class, name = "tried"),
    @JsonSubTypes.Type(value = LoadRecord.Listed.class, name = "listed"),
    @JsonSubTypes.Type(value = LoadRecord.Joined.class, name = "joined"),
    @JsonSubTypes.Type(value = LoadRecord.Left.class, name = "left"),
    @JsonSubTypes.Type(value = LoadRecord.Dropped.class, name = "dropped")})
public sealed interface LoadRecord {

    /** Time of the record, nanoseconds. */
    long at();

    /** A copy at another time. */
    LoadRecord at(long other);

    /**
     * The first record of each segment.
     *
     * @param wall milliseconds since 1970 at {@code at}
     */
    record Start(long at, long wall, int rank, long epoch, List<String> zones, List<String> kinds,
            List<String> classes) implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Start(other, wall + (other - at) / 1_000_000, rank, epoch, zones, kinds, classes);
        }
    }

    /**
     * Requests of a class that a proxy received over a span, ns; {@code failed} were admitted, not answered.
     */
    record Use(long at, int proxy, int zone, int cls, long requests, long failed, long span)
            implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Use(other, proxy, zone, cls, requests, failed, span);
        }
    }

    /** Tries of a proxy at a backend over a span, ns; {@code latencySum} is of the successful ones, ns. */
    record Tried(long at, int proxy, int zone, String backend, long tries, long failed, long latencySum,
            long span) implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Tried(other, proxy, zone, backend, tries, failed, latencySum, span);
        }
    }

    /** A backend as the roster lists it. {@code startedAt} is 0 if it started long ago. */
    record Listed(long at, String backend, int zone, int kind, String state, double weight, long startedAt)
            implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Listed(other, backend, zone, kind, state, weight, startedAt);
        }
    }

    /** A proxy connected to the controller. */
    record Joined(long at, int proxy, int zone, double rate) implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Joined(other, proxy, zone, rate);
        }
    }

    /** A proxy disconnected from the controller. */
    record Left(long at, int proxy) implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Left(other, proxy);
        }
    }

    /** Number of records dropped before this one because the queue was full. */
    record Dropped(long at, long count) implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Dropped(other, count);
        }
    }
}
