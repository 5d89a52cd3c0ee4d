package rowanmoor.config;

import java.nio.file.Path;

/**
 * Directory and limits of captured load: the {@code capture} block of a controller.
 *
 * @param maxSegmentBytes size at which a segment is closed
 * @param maxSegmentNs age at which a segment is closed
 * @param maxTotalBytes total size beyond which the oldest segments are deleted
 * @param queueCapacity maximum number of records waiting to be written
 */
public record CaptureConfig(Path directory, long maxSegmentBytes, long maxSegmentNs, long maxTotalBytes,
        int queueCapacity) {

    static CaptureConfig read(Section section) {
        CaptureConfig config = new CaptureConfig(Path.of(section.string("dir")),
                section.integer("segment-bytes", 1024, 1 << 30, 16 << 20),
                section.durationNs("segment-for", "1s", "24h", "10min"),
                (long) section.number("total-bytes", 1024, 1e15, 1 << 30),
                section.integer("queue", 1, 1 << 20, 16384));
        section.rejectUnknownKeys();
        return config;
    }
}
