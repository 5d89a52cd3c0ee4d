package rowanmoor.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rowanmoor.config.CaptureConfig;

/** Captures written and read back: time line, damage, gaps, rolling, dropped records, cutting and scaling. */
class CaptureTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long WALL_MS = 1_700_000_000_000L;

    @TempDir
    private Path dir;

    private static LoadRecord.Start start(int rank, long at, long wall) {
        return new LoadRecord.Start(at, wall, rank, 7, List.of("north", "south"), List.of("fast"),
                List.of("read", "pay"));
    }

    private static LoadRecord.Use use(long at, long requests) {
        return new LoadRecord.Use(at, 3, 1, 0, requests, 1, SECOND);
    }

    private CaptureWriter writer(LoadRecord.Start start, long segmentBytes, long total, int queue)
            throws IOException {
        return new CaptureWriter(new CaptureConfig(dir, segmentBytes, 3600 * SECOND, total, queue), start,
                text -> {
                    throw new AssertionError(text);
                });
    }

    private Path writeCapture(int count) throws IOException {
        try (CaptureWriter writer = writer(start(0, 100 * SECOND, WALL_MS), 1 << 20, 1 << 30, 4096)) {
            writer.offer(new LoadRecord.Listed(101 * SECOND, "10.0.0.1:80", 0, 0, "READY", 2, 0));
            writer.offer(new LoadRecord.Joined(101 * SECOND, 3, 1, 5));
            for (int i = 0; i < count; i++) {
                writer.offer(use((102 + i) * SECOND, 10));
            }
        }
        return CaptureWriter.listSegments(dir).get(0);
    }

    @Test
    void recordsAreReadBackInWallClockTime() throws IOException {
        writeCapture(5);
        Capture capture = Capture.read(dir);
        assertEquals(List.of(), capture.problems());
        Capture.Info info = capture.info();
        assertEquals(50, info.requests());
        assertEquals(WALL_MS * 1_000_000, info.startNs());
        assertEquals(6 * SECOND, info.endNs() - info.startNs());
    }

    @Test
    void truncatedRecordIsReportedAndAllOthersAreRead() throws IOException {
        Path file = writeCapture(5);
        byte[] bytes = Files.readAllBytes(file);
        for (int lost = 1; lost < 30; lost += 7) {
            Files.write(file, java.util.Arrays.copyOf(bytes, bytes.length - lost));
            Capture capture = Capture.read(file);
            assertEquals(40, capture.info().requests(), lost + " bytes lost");
            assertTrue(capture.problems().get(0).contains("cut off or damaged from byte"));
        }
    }

    @Test
    void damagedRecordIsSkippedAndReported() throws IOException {
        Path file = writeCapture(5);
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 0x40;
        Files.write(file, bytes);
        Capture capture = Capture.read(file);
        assertEquals(1, capture.problems().size(), capture.problems().toString());
        assertTrue(capture.problems().get(0).contains("are damaged and skipped"));
        assertEquals(7, capture.records().size());
    }

    @Test
    void gapIsReported() throws IOException {
        try (CaptureWriter writer = writer(start(0, 100 * SECOND, WALL_MS), 1 << 20, 1 << 30, 100)) {
            writer.offer(use(101 * SECOND, 1));
            writer.offer(use(160 * SECOND, 1));
        }
        assertTrue(Capture.read(dir).problems().get(0).contains("has no record for 59.0 s"));
    }

    @Test
    void controllersWithDifferentClocksAreMergedByWallClock() throws IOException {
        try (CaptureWriter one = writer(start(0, 5 * SECOND, WALL_MS), 1 << 20, 1 << 30, 100);
                CaptureWriter other = writer(start(1, 900 * SECOND, WALL_MS + 1000), 1 << 20, 1 << 30, 100)) {
            one.offer(use(7 * SECOND, 1));
            other.offer(use(900 * SECOND + SECOND / 2, 2));
        }
        List<Long> order = new ArrayList<>();
        Capture capture = Capture.read(dir);
        capture.records().stream().filter(LoadRecord.Use.class::isInstance).forEach(r ->
                order.add(((LoadRecord.Use) r).requests()));
        assertEquals(List.of(2L, 1L), order, "1.5 s and 2 s after the first start");
        assertEquals(2, capture.info().controllers());
    }

    @Test
    void segmentsRollAndOldestAreDeleted() throws IOException {
        try (CaptureWriter writer = writer(start(0, 0, WALL_MS), 2000, 9000, 100_000)) {
            for (int i = 0; i < 1000; i++) {
                writer.offer(use(i * SECOND / 10, 1));
            }
        }
        List<Path> files = CaptureWriter.listSegments(dir);
        assertTrue(files.size() >= 3 && files.size() <= 6, files.size() + " segments");
        assertTrue(!files.get(0).toString().contains("000001"));
        Capture capture = Capture.read(dir);
        assertEquals(List.of(), capture.problems());
        assertTrue(capture.info().requests() > 50);
    }

    @Test
    void fullQueueDropsRecordsAndRecordsTheirNumber() throws IOException {
        long dropped;
        try (CaptureWriter writer = writer(start(0, 0, WALL_MS), 1 << 20, 1 << 30, 4)) {
            for (int i = 0; i < 50_000; i++) {
                writer.offer(use(SECOND, 1));
            }
            dropped = writer.droppedRecords();
            while (Capture.read(dir).info().dropped() < dropped) {
                writer.offer(use(2 * SECOND, 0));
                dropped = writer.droppedRecords();
                Thread.onSpinWait();
            }
        }
        assertTrue(dropped > 0);
        Capture.Info info = Capture.read(dir).info();
        assertEquals(50_000, info.requests() + Math.min(50_000 - info.requests(), info.dropped()));
    }

    @Test
    void cutAndScaledCaptureIsReadBack() throws IOException {
        writeCapture(10);
        Capture capture = Capture.read(dir);
        Capture part = capture.cut(4 * SECOND, 8 * SECOND);
        assertEquals(40, part.info().requests());
        assertTrue(part.records().stream().anyMatch(LoadRecord.Listed.class::isInstance));
        assertTrue(part.records().stream().anyMatch(LoadRecord.Joined.class::isInstance));
        Path file = dir.resolve("part.rwc");
        part.scale(1.25).write(file);
        Capture back = Capture.read(file);
        assertEquals(50, back.info().requests());
        assertEquals(part.info().endNs() - part.info().startNs(), back.info().endNs() - back.info().startNs());
        StringWriter csv = new StringWriter();
        back.exportCsv(csv);
        assertEquals(5, csv.toString().lines().count(), csv.toString());
        StringWriter json = new StringWriter();
        back.exportJson(json);
        assertEquals(back.records().size(), json.toString().lines().count());
    }
}
