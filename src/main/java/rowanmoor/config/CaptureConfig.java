package rowanmoor.config;

import java.nio.file.Path;

/**
 * Where and how much load is captured: the {@code capture} block of a controller.
 *
 * @param segmentBytes a segment is closed at this size
 * @param segmentFor and after this time, ns
 * @param totalBytes the oldest segments are deleted beyond this
 * @param queue records that may wait to be written
 */
public record CaptureConfig(Path directory, long segmentBytes, long segmentFor, long totalBytes, int queue) {

    static CaptureConfig read(Section c) {
        CaptureConfig config = new CaptureConfig(Path.of(c.text("dir")),
                c.whole("segment-bytes", 1024, 1 << 30, 16 << 20),
                c.duration("segment-for", "1s", "24h", "10min"),
                (long) c.number("total-bytes", 1024, 1e15, 1 << 30), c.whole("queue", 1, 1 << 20, 16384));
        c.finish();
        return config;
    }
}
