package rowanmoor.capture;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.Writer;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The records of a capture from all controllers, in order of time. Times are nanoseconds since 1970, by the
 * wall clock of each controller at the start of the segment.
 *
 * @param problems damaged or missing data, dropped records, and gaps in a controller's records
 */
public record Capture(List<LoadRecord> records, List<String> problems) {

    /** Totals of a capture. */
    public record Info(int records, long startNs, long endNs, int controllers, long requests, long tries,
            int proxies,
            int backends, long dropped, Map<String, Long> requestsByClass) { }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long NS_PER_MS = 1_000_000L;
    /** Proxies report about every second: a longer time without records of a controller counts as a gap. */
    private static final long MIN_GAP_NS = 10_000_000_000L;

    /**
     * Reads a segment or a directory of segments. Damage is listed in {@link #problems}.
     *
     * @throws IOException if a file cannot be read
     */
    public static Capture read(Path path) throws IOException {
        List<Path> files = Files.isDirectory(path) ? CaptureWriter.listSegments(path) : List.of(path);
        List<LoadRecord> all = new ArrayList<>();
        List<String> problems = new ArrayList<>();
        if (files.isEmpty()) {
            problems.add(path + ": holds no segment");
        }
        Map<Integer, Long> lastByRank = new TreeMap<>();
        for (Path file : files) {
            Segment.ReadResult read = Segment.read(file);
            problems.addAll(read.problems());
            if (read.records().isEmpty() || !(read.records().get(0) instanceof LoadRecord.Start start)) {
                problems.add(file + ": skipped: without a start record its times cannot be converted");
                continue;
            }
            long offset = start.wall() * NS_PER_MS - start.at();
            for (LoadRecord record : read.records()) {
                LoadRecord shifted = record.at(record.at() + offset);
                checkGap(file, lastByRank, start.rank(), shifted.at(), problems);
                if (record instanceof LoadRecord.Dropped dropped) {
                    problems.add(file + ": " + dropped.count()
                            + " records were dropped because the queue was full");
                }
                all.add(shifted instanceof LoadRecord.Start s ? new LoadRecord.Start(s.at(), start.wall(),
                        s.rank(), s.epoch(), s.zones(), s.kinds(), s.classes()) : shifted);
            }
        }
        all.sort(Comparator.comparingLong(LoadRecord::at));
        return new Capture(List.copyOf(all), List.copyOf(problems));
    }

    private static void checkGap(Path file, Map<Integer, Long> lastByRank, int rank, long at,
            List<String> problems) {
        Long last = lastByRank.put(rank, Math.max(at, lastByRank.getOrDefault(rank, at)));
        if (last != null && at - last > MIN_GAP_NS) {
            problems.add(String.format("%s: controller %d has no record for %.1f s", file, rank,
                    (at - last) / 1e9));
        }
    }

    /** The first start record, with the names of zones, kinds and classes; null if there is none. */
    public LoadRecord.Start start() {
        return records.stream().filter(LoadRecord.Start.class::isInstance).map(LoadRecord.Start.class::cast)
                .findFirst().orElse(null);
    }

    /** Counts what the capture holds. */
    public Info info() {
        long requests = 0;
        long tries = 0;
        long dropped = 0;
        var proxies = new java.util.TreeSet<Integer>();
        var backends = new java.util.TreeSet<String>();
        var ranks = new java.util.TreeSet<Integer>();
        Map<String, Long> byClass = new TreeMap<>();
        LoadRecord.Start start = start();
        for (LoadRecord record : records) {
            if (record instanceof LoadRecord.Use use) {
                requests += use.requests();
                proxies.add(use.proxy());
                byClass.merge(start.classes().get(use.cls()), use.requests(), Long::sum);
            } else if (record instanceof LoadRecord.Tried tried) {
                tries += tried.tries();
                backends.add(tried.backend());
            } else if (record instanceof LoadRecord.Dropped lost) {
                dropped += lost.count();
            } else if (record instanceof LoadRecord.Start s) {
                ranks.add(s.rank());
            }
        }
        long from = records.isEmpty() ? 0 : records.get(0).at();
        long to = records.isEmpty() ? 0 : records.get(records.size() - 1).at();
        return new Info(records.size(), from, to, ranks.size(), requests, tries, proxies.size(),
                backends.size(), dropped, byClass);
    }

    /**
     * The records within an interval, nanoseconds from the beginning of the capture. Start records, the last
     * listing of each backend and the proxies that had joined before the interval are kept, moved to its
     * start.
     */
    public Capture cut(long from, long to) {
        long firstAt = records.isEmpty() ? 0 : records.get(0).at();
        List<LoadRecord> kept = new ArrayList<>();
        Map<String, LoadRecord> lists = new TreeMap<>();
        Map<Integer, LoadRecord> joins = new TreeMap<>();
        for (LoadRecord record : records) {
            long at = record.at() - firstAt;
            if (at < from) {
                if (record instanceof LoadRecord.Start) {
                    kept.add(record.at(firstAt + from));
                } else if (record instanceof LoadRecord.Listed listed) {
                    lists.put(listed.backend(), record.at(firstAt + from));
                } else if (record instanceof LoadRecord.Joined joined) {
                    joins.put(joined.proxy(), record.at(firstAt + from));
                } else if (record instanceof LoadRecord.Left left) {
                    joins.remove(left.proxy());
                }
            } else if (at < to) {
                kept.add(record);
            }
        }
        kept.addAll(lists.values());
        kept.addAll(joins.values());
        kept.sort(Comparator.comparingLong(LoadRecord::at));
        return new Capture(List.copyOf(kept), problems);
    }

    /** This capture with requests and tries multiplied, rounded so that totals are kept. */
    public Capture scale(double factor) {
        List<LoadRecord> scaled = new ArrayList<>();
        double[] remainders = new double[2];
        for (LoadRecord record : records) {
            if (record instanceof LoadRecord.Use u) {
                long requests = roundWithCarry(u.requests() * factor, remainders, 0);
                scaled.add(new LoadRecord.Use(u.at(), u.proxy(), u.zone(), u.cls(), requests,
                        Math.min(requests, Math.round(u.failed() * factor)), u.span()));
            } else if (record instanceof LoadRecord.Tried t) {
                long tries = roundWithCarry(t.tries() * factor, remainders, 1);
                long failed = Math.min(tries, Math.round(t.failed() * factor));
                double mean = t.tries() == t.failed() ? 0
                        : t.latencySum() / (double) (t.tries() - t.failed());
                scaled.add(new LoadRecord.Tried(t.at(), t.proxy(), t.zone(), t.backend(), tries, failed,
                        Math.round(mean * (tries - failed)), t.span()));
            } else {
                scaled.add(record);
            }
        }
        return new Capture(List.copyOf(scaled), problems);
    }

    /** Rounds down and carries the remainder over to the next call. */
    private static long roundWithCarry(double exact, double[] remainders, int index) {
        long rounded = (long) Math.floor(exact + remainders[index]);
        remainders[index] += exact - rounded;
        return rounded;
    }

    /**
     * Writes the records as one segment.
     *
     * @throws IOException if the file exists or cannot be written
     */
    public void write(Path file) throws IOException {
        LoadRecord.Start first = start();
        long offset = first == null ? 0 : first.wall() * NS_PER_MS;
        try (FileChannel out = FileChannel.open(file, StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE)) {
            out.write(ByteBuffer.wrap(Segment.FILE_HEADER));
            for (LoadRecord record : records) {
                LoadRecord relative = record instanceof LoadRecord.Start s
                        ? new LoadRecord.Start(s.at() - offset, s.at() / NS_PER_MS, s.rank(), s.epoch(),
                        s.zones(), s.kinds(), s.classes()) : record.at(record.at() - offset);
                ByteBuffer bytes = Segment.encode(relative);
                while (bytes.hasRemaining()) {
                    out.write(bytes);
                }
            }
        }
    }

    /** Writes one JSON object per line. */
    public void exportJson(Writer out) throws IOException {
        for (LoadRecord record : records) {
            out.write(JSON.writerFor(LoadRecord.class).writeValueAsString(record));
            out.write('\n');
        }
    }

    /** Writes requests by second, zone and class as CSV. */
    public void exportCsv(Writer out) throws IOException {
        out.write("second,zone,class,requests,failed\n");
        LoadRecord.Start start = start();
        if (start == null) {
            return;
        }
        long firstAt = records.get(0).at();
        TreeMap<String, long[]> rows = new TreeMap<>();
        for (LoadRecord record : records) {
            if (record instanceof LoadRecord.Use use) {
                String key = String.format("%09d,%s,%s", (use.at() - firstAt) / 1_000_000_000L,
                        start.zones().get(use.zone()), start.classes().get(use.cls()));
                long[] sums = rows.computeIfAbsent(key, k -> new long[2]);
                sums[0] += use.requests();
                sums[1] += use.failed();
            }
        }
        for (Map.Entry<String, long[]> row : rows.entrySet()) {
            out.write(row.getKey().replaceFirst("^0+(?=[0-9])", "") + "," + row.getValue()[0] + ","
                    + row.getValue()[1] + "\n");
        }
    }
}
