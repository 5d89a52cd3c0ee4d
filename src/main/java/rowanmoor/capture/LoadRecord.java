package rowanmoor.capture;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * One record. {@code at} is nanoseconds of its controller's clock; the segment's {@link Start} ties that
 * to the wall clock, so that segments of several controllers can be laid beside each other.
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

    long at();

    /** The same at another time; for cutting and scaling. */
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

    /** Requests of a class that came to a proxy over a span, ns; {@code failed} were let in, unanswered. */
    record Use(long at, int proxy, int zone, int cls, long requests, long failed, long span)
            implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Use(other, proxy, zone, cls, requests, failed, span);
        }
    }

    /** Tries of one proxy at a backend over a span; {@code latencySum} is that of the good ones, ns. */
    record Tried(long at, int proxy, int zone, String backend, long tries, long failed, long latencySum,
            long span) implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Tried(other, proxy, zone, backend, tries, failed, latencySum, span);
        }
    }

    /** A backend as the roster now lists it. {@code startedAt} is 0 for long ago. */
    record Listed(long at, String backend, int zone, int kind, String state, double weight, long startedAt)
            implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Listed(other, backend, zone, kind, state, weight, startedAt);
        }
    }

    record Joined(long at, int proxy, int zone, double rate) implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Joined(other, proxy, zone, rate);
        }
    }

    record Left(long at, int proxy) implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Left(other, proxy);
        }
    }

    /** So many records before this one found the queue full and were not written. */
    record Dropped(long at, long count) implements LoadRecord {
        @Override
        public LoadRecord at(long other) {
            return new Dropped(other, count);
        }
    }
}
