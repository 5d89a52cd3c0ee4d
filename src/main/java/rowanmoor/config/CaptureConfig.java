package rowanmoor.config;

import java.nio.file.Path;

/**
 * Where and how much load is captured: the {@code capture} block of a controller.
 *
 * @param maxSegmentBytes a segment is closed at this size
 * @param maxSegmentNs and after this time, ns
 * @param maxTotalBytes the oldest segments are deleted beyond this
 * @param queueCapacity records that may wait to be written
 */
public record CaptureConfig(Path directory, long maxSegmentBytes, long maxSegmentNs, long maxTotalBytes, int queueCapacity) {

    static CaptureConfig read(Section c) {
        CaptureConfig config = new CaptureConfig(Path.of(c.string("dir")),
                c.integer("segment-bytes", 1024, 1 << 30, 16 << 20),
                c.durationNs("segment-for", "1s", "24h", "10min"),
                (long) c.number("total-bytes", 1024, 1e15, 1 << 30), c.integer("queue", 1, 1 << 20, 16384));
        c.rejectUnknownKeys();
        return config;
    }
}
