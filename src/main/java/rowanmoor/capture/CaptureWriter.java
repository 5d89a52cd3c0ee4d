package rowanmoor.capture;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;
import rowanmoor.config.CaptureConfig;

/**
 * Writes records on a separate thread. {@link #offer} never blocks: if the queue is full the record is
 * dropped, and the number of dropped records is written before the next record.
 */
public final class CaptureWriter implements Closeable {

    private static final String SUFFIX = ".rwc";
    private static final long POLL_MS = 100;
    private static final LoadRecord STOP_MARKER = new LoadRecord.Left(Long.MIN_VALUE, -1);

    private final CaptureConfig config;
    private final LoadRecord.Start start;
    private final Consumer<String> log;
    private final ArrayBlockingQueue<LoadRecord> queue;
    private final AtomicLong droppedSinceWrite = new AtomicLong();
    private final AtomicLong totalDropped = new AtomicLong();
    private final Thread thread;
    private FileChannel segment;
    private long bytesWritten;
    private long segmentOpenedAt;
    private int segmentNumber;
    private volatile boolean failed;

    /**
     * Opens the first segment and starts the writing thread.
     *
     * @param start first record of each segment, with its time and wall clock adjusted
     * @param log receives a line when writing fails
     * @throws IOException if the directory or the first segment cannot be created
     */
    public CaptureWriter(CaptureConfig config, LoadRecord.Start start, Consumer<String> log)
            throws IOException {
        this.config = config;
        this.start = start;
        this.log = log;
        this.queue = new ArrayBlockingQueue<>(config.queueCapacity());
        Files.createDirectories(config.directory());
        openSegment(start.at());
        this.thread = new Thread(this::run, "capture");
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues a record, or drops and counts it; never blocks. */
    public void offer(LoadRecord record) {
        if (failed || !queue.offer(record)) {
            droppedSinceWrite.incrementAndGet();
            totalDropped.incrementAndGet();
        }
    }

    /** Number of records dropped since the start. */
    public long droppedRecords() {
        return totalDropped.get();
    }

    private void run() {
        try {
            while (true) {
                LoadRecord record = queue.poll(POLL_MS, TimeUnit.MILLISECONDS);
                if (record == STOP_MARKER) {
                    break;
                }
                if (record != null) {
                    rollSegmentIfDue(record.at());
                    long count = droppedSinceWrite.getAndSet(0);
                    if (count > 0) {
                        write(new LoadRecord.Dropped(record.at(), count));
                    }
                    write(record);
                }
            }
            segment.close();
        } catch (IOException e) {
            failed = true;
            log.accept("capture: writing stopped: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void rollSegmentIfDue(long at) throws IOException {
        if (bytesWritten >= config.maxSegmentBytes() || at - segmentOpenedAt >= config.maxSegmentNs()) {
            segment.close();
            openSegment(at);
            deleteOldest();
        }
    }

    private void openSegment(long at) throws IOException {
        String name = String.format("load-%d-%020d-%06d%s", start.rank(), start.epoch(), ++segmentNumber,
                SUFFIX);
        segment = FileChannel.open(config.directory().resolve(name), StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE);
        segment.write(ByteBuffer.wrap(Segment.FILE_HEADER));
        bytesWritten = 0;
        segmentOpenedAt = at;
        write(start.at(at));
    }

    private void write(LoadRecord record) throws IOException {
        ByteBuffer bytes = Segment.encode(record);
        bytesWritten += bytes.remaining();
        while (bytes.hasRemaining()) {
            segment.write(bytes);
        }
    }

    private void deleteOldest() throws IOException {
        List<Path> files = listSegments(config.directory());
        long total = 0;
        for (Path file : files) {
            total += Files.size(file);
        }
        for (Path file : files) {
            if (total <= config.maxTotalBytes() || file.equals(files.get(files.size() - 1))) {
                return;
            }
            total -= Files.size(file);
            Files.delete(file);
        }
    }

    /** The segments of a directory, for each controller the oldest first. */
    static List<Path> listSegments(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList();
        }
    }

    /** Writes the queued records and stops; waits at most 1 s for the queue and 5 s for the thread. */
    @Override
    public void close() throws IOException {
        try {
            if (queue.offer(STOP_MARKER, 1, TimeUnit.SECONDS)) {
                thread.join(5000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
