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
 * A capture that was read: records of all controllers on one time line, nanoseconds since 1970 by each
 * one's own wall clock at its segment's start.
 *
 * @param problems what could not be read, what was dropped, and where a controller's time line has a gap
 */
public record Capture(List<LoadRecord> records, List<String> problems) {

    /** What a capture holds, in figures. */
    public record Info(int records, long startNs, long endNs, int controllers, long requests, long tries,
            int proxies,
            int backends, long dropped, Map<String, Long> requestsByClass) { }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLI = 1_000_000L;
    /** Reports come every second or so: a longer silence of a controller with proxies is told as a gap. */
    private static final long GAP = 10_000_000_000L;

    /** Reads a segment or a directory of them. */
    public static Capture read(Path path) throws IOException {
        List<Path> files = Files.isDirectory(path) ? CaptureWriter.segments(path) : List.of(path);
        List<LoadRecord> all = new ArrayList<>();
        List<String> problems = new ArrayList<>();
        if (files.isEmpty()) {
            problems.add(path + ": holds no segment");
        }
        Map<Integer, Long> lastOf = new TreeMap<>();
        for (Path file : files) {
            Segment.Read read = Segment.read(file);
            problems.addAll(read.problems());
            if (read.records().isEmpty() || !(read.records().get(0) instanceof LoadRecord.Start start)) {
                problems.add(file + ": has no start and is left out: its times mean nothing");
                continue;
            }
            long offset = start.wall() * MILLI - start.at();
            for (LoadRecord record : read.records()) {
                LoadRecord shifted = record.at(record.at() + offset);
                gap(file, lastOf, start.rank(), shifted.at(), problems);
                if (record instanceof LoadRecord.Dropped dropped) {
                    problems.add(file + ": " + dropped.count() + " records were dropped when they came");
                }
                all.add(shifted instanceof LoadRecord.Start s ? new LoadRecord.Start(s.at(), start.wall(),
                        s.rank(), s.epoch(), s.zones(), s.kinds(), s.classes()) : shifted);
            }
        }
        all.sort(Comparator.comparingLong(LoadRecord::at));
        return new Capture(List.copyOf(all), List.copyOf(problems));
    }

    private static void gap(Path file, Map<Integer, Long> lastOf, int rank, long at, List<String> problems) {
        Long last = lastOf.put(rank, Math.max(at, lastOf.getOrDefault(rank, at)));
        if (last != null && at - last > GAP) {
            problems.add(String.format("%s: controller %d has no record for %.1f s", file, rank,
                    (at - last) / 1e9));
        }
    }

    /** Names of zones, kinds and classes, as the first start has them. */
    public LoadRecord.Start start() {
        return records.stream().filter(LoadRecord.Start.class::isInstance).map(LoadRecord.Start.class::cast)
                .findFirst().orElse(null);
    }

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
     * What lies within a stretch from the capture's beginning, ns; starts and the last list before it
     * stay.
     */
    public Capture cut(long from, long to) {
        long zero = records.isEmpty() ? 0 : records.get(0).at();
        List<LoadRecord> kept = new ArrayList<>();
        Map<String, LoadRecord> lists = new TreeMap<>();
        Map<Integer, LoadRecord> joins = new TreeMap<>();
        for (LoadRecord record : records) {
            long at = record.at() - zero;
            if (at < from) {
                if (record instanceof LoadRecord.Start) {
                    kept.add(record.at(zero + from));
                } else if (record instanceof LoadRecord.Listed listed) {
                    lists.put(listed.backend(), record.at(zero + from));
                } else if (record instanceof LoadRecord.Joined joined) {
                    joins.put(joined.proxy(), record.at(zero + from));
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

    /** The same with so many times the requests and tries, rounded so that sums are kept. */
    public Capture scale(double factor) {
        List<LoadRecord> scaled = new ArrayList<>();
        double[] rest = new double[2];
        for (LoadRecord record : records) {
            if (record instanceof LoadRecord.Use u) {
                long requests = whole(u.requests() * factor, rest, 0);
                scaled.add(new LoadRecord.Use(u.at(), u.proxy(), u.zone(), u.cls(), requests,
                        Math.min(requests, Math.round(u.failed() * factor)), u.span()));
            } else if (record instanceof LoadRecord.Tried t) {
                long tries = whole(t.tries() * factor, rest, 1);
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

    /** A whole number; what rounding takes away is carried to the next. */
    private static long whole(double exact, double[] rest, int which) {
        long whole = (long) Math.floor(exact + rest[which]);
        rest[which] += exact - whole;
        return whole;
    }

    /** Writes one segment. */
    public void write(Path file) throws IOException {
        LoadRecord.Start first = start();
        long offset = first == null ? 0 : first.wall() * MILLI;
        try (FileChannel out = FileChannel.open(file, StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE)) {
            out.write(ByteBuffer.wrap(Segment.HEAD));
            for (LoadRecord record : records) {
                LoadRecord its = record instanceof LoadRecord.Start s ? new LoadRecord.Start(s.at() - offset,
                        s.at() / MILLI, s.rank(), s.epoch(), s.zones(), s.kinds(),
                        s.classes()) : record.at(record.at() - offset);
                ByteBuffer bytes = Segment.encode(its);
                while (bytes.hasRemaining()) {
                    out.write(bytes);
                }
            }
        }
    }

    /** One JSON object a line. */
    public void exportJson(Writer out) throws IOException {
        for (LoadRecord record : records) {
            out.write(JSON.writerFor(LoadRecord.class).writeValueAsString(record));
            out.write('\n');
        }
    }

    /** Requests by second, zone and class. */
    public void exportCsv(Writer out) throws IOException {
        out.write("second,zone,class,requests,failed\n");
        LoadRecord.Start start = start();
        if (start == null) {
            return;
        }
        long zero = records.get(0).at();
        TreeMap<String, long[]> rows = new TreeMap<>();
        for (LoadRecord record : records) {
            if (record instanceof LoadRecord.Use use) {
                String key = String.format("%09d,%s,%s", (use.at() - zero) / 1_000_000_000L,
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
