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
 * Writes records on a thread of its own. {@link #offer} never waits: with the queue full a record is
 * dropped and counted, and the count is written down as soon as there is room.
 */
public final class CaptureWriter implements Closeable {

    private static final String SUFFIX = ".rwc";
    private static final long POLL_MS = 100;
    private static final LoadRecord END = new LoadRecord.Left(Long.MIN_VALUE, -1);

    private final CaptureConfig config;
    private final LoadRecord.Start start;
    private final Consumer<String> log;
    private final ArrayBlockingQueue<LoadRecord> queue;
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong totalDropped = new AtomicLong();
    private final Thread thread;
    private FileChannel segment;
    private long written;
    private long openedAt;
    private int number;
    private volatile boolean broken;

    /** @param start begins each segment, with its time and wall clock moved on */
    public CaptureWriter(CaptureConfig config, LoadRecord.Start start, Consumer<String> log)
            throws IOException {
        this.config = config;
        this.start = start;
        this.log = log;
        this.queue = new ArrayBlockingQueue<>(config.queueCapacity());
        Files.createDirectories(config.directory());
        open(start.at());
        this.thread = new Thread(this::run, "capture");
        thread.setDaemon(true);
        thread.start();
    }

    /** Takes a record, or drops and counts it; never waits. */
    public void offer(LoadRecord record) {
        if (broken || !queue.offer(record)) {
            dropped.incrementAndGet();
            totalDropped.incrementAndGet();
        }
    }

    /** Records that were never written. */
    public long droppedRecords() {
        return totalDropped.get();
    }

    private void run() {
        try {
            while (true) {
                LoadRecord record = queue.poll(POLL_MS, TimeUnit.MILLISECONDS);
                if (record == END) {
                    break;
                }
                if (record != null) {
                    roll(record.at());
                    long lost = dropped.getAndSet(0);
                    if (lost > 0) {
                        write(new LoadRecord.Dropped(record.at(), lost));
                    }
                    write(record);
                }
            }
            segment.close();
        } catch (IOException e) {
            broken = true;
            log.accept("capture: no more is written: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void roll(long at) throws IOException {
        if (written >= config.maxSegmentBytes() || at - openedAt >= config.maxSegmentNs()) {
            segment.close();
            open(at);
            deleteOldest();
        }
    }

    private void open(long at) throws IOException {
        String name = String.format("load-%d-%020d-%06d%s", start.rank(), start.epoch(), ++number, SUFFIX);
        segment = FileChannel.open(config.directory().resolve(name), StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE);
        segment.write(ByteBuffer.wrap(Segment.HEAD));
        written = 0;
        openedAt = at;
        write(start.at(at));
    }

    private void write(LoadRecord record) throws IOException {
        ByteBuffer bytes = Segment.encode(record);
        written += bytes.remaining();
        while (bytes.hasRemaining()) {
            segment.write(bytes);
        }
    }

    private void deleteOldest() throws IOException {
        List<Path> files = segments(config.directory());
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

    /** A directory's segments, the oldest first for each controller. */
    static List<Path> segments(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList();
        }
    }

    /** Writes what waits and ends; waits for that at most five seconds. */
    @Override
    public void close() throws IOException {
        try {
            if (queue.offer(END, 1, TimeUnit.SECONDS)) {
                thread.join(5000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
