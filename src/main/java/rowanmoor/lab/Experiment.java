package rowanmoor.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import rowanmoor.config.ConfigException;
import rowanmoor.config.Section;
import rowanmoor.emulator.Emulator;
import rowanmoor.emulator.Outcome;
import rowanmoor.plan.Bisection;
import rowanmoor.plan.Interval;

/**
 * Runs an experiment over fleets, mixes, troubles, numbers of backends, rates and seeds: a grid, or for each
 * variant a search for the rate at which a goal fails. Runs execute in the emulator on all cores, or live:
 * one after the other, with real proxies and controllers on stand-ins. All variants share their seeds (common
 * random numbers), so that differences are due to the variants alone. Results are stored; a rerun executes
 * only what is new.
 */
public final class Experiment {

    /** The result of one run. */
    public record Result(double service, double worst, double busiest, double mostLines, long offered,
            long good) { }

    /** A variant to compare; it has no rate and no seed. */
    public record Variant(String fleet, String mix, boolean troubles, int backends) {

        @Override
        public String toString() {
            return fleet + (mix.isEmpty() ? "" : ", " + mix) + (troubles ? ", troubles" : "") + ", "
                    + backends + " backends";
        }
    }

    /** The results of one variant at one rate, over all seeds. */
    public record Cell(Variant variant, double rate, List<Result> results) {

        Interval interval(java.util.function.ToDoubleFunction<Result> figure) {
            return Interval.of(results.stream().map(r -> figure.applyAsDouble(r)).toList());
        }
    }

    /**
     * The results of an experiment.
     *
     * @param failingRates the rate that each variant's search found; empty without a search
     * @param executed number of runs that were executed, not taken from the store
     * @param cached number of results that were taken from the store
     */
    public record Grid(String name, List<Cell> cells, Map<Variant, Double> failingRates, int executed,
            int cached) { }

    private record Fleet(String name, Path file, byte[] bytes, DayFile day) { }

    private record Search(double from, double to, double service, double within) { }

    private record Run(Variant variant, double rate, long seed, String key) { }

    private static final int WORST_WINDOW_SECONDS = 10;

    private final String name;
    private final List<Fleet> fleets = new ArrayList<>();
    private final Map<String, double[]> mixes = new LinkedHashMap<>();
    private final List<Boolean> troubles = new ArrayList<>();
    private final List<Double> rates;
    private final Search search;
    private final List<Integer> backends;
    private final int seeds;
    private final long length;

    private Experiment(Section e, Path file) throws ConfigException, IOException {
        name = e.label();
        List<String> files = e.strings("fleet", true);
        rates = e.ratesPerSecond("rates", 0, 1e6);
        backends = e.integers("backends", 1, 100000);
        seeds = e.integer("seeds", 1, 1000, 3);
        length = e.durationNs("length", "0s", "1h", "0s");
        List<String> words = e.strings("troubles", false);
        for (String word : words.isEmpty() ? List.of("with") : words) {
            if (!word.equals("with") && !word.equals("without")) {
                e.addProblem("troubles", "is \"with\", \"without\" or both");
            }
            troubles.add(word.equals("with"));
        }
        search = e.has("search") ? search(e.section("search")) : null;
        if (search != null && !rates.isEmpty()) {
            e.addProblem("search", "and rates exclude each other");
        }
        List<Section> mixSections = e.sections("mix");
        e.rejectUnknownKeys();
        for (String one : files) {
            Path path = file.resolveSibling(one);
            DayFile day = DayFile.read(path);
            fleets.add(new Fleet(day.name(), path, Files.readAllBytes(path), day));
        }
        for (Section mix : mixSections) {
            mixes.put(mix.label(), shares(mix, fleets.isEmpty() ? null : fleets.get(0).day()));
        }
        if (mixes.isEmpty()) {
            mixes.put("", null);
        }
    }

    private static Search search(Section s) {
        Search search = new Search(s.ratePerSecond("from", 0.1, 1e6), s.ratePerSecond("to", 0.1, 1e6),
                s.number("service", 0.01, 1), s.number("within", 0.001, 0.5, 0.02));
        if (search.to() <= search.from()) {
            s.addProblem("to", "is not above from");
        }
        s.rejectUnknownKeys();
        return search;
    }

    private double[] shares(Section mix, DayFile day) {
        double[] shares = new double[day == null ? 0 : day.shares().length];
        for (Section c : mix.sections("class")) {
            int cls = day == null ? -1 : day.site().classNames().indexOf(c.label());
            double share = c.number("share", 0, 1);
            if (cls < 0) {
                c.addProblem("", "is not a class of the first fleet's site");
            } else {
                shares[cls] = share;
            }
            c.rejectUnknownKeys();
        }
        if (Arrays.stream(shares).sum() <= 0) {
            mix.addProblem("class", "no class has a share");
        }
        mix.rejectUnknownKeys();
        return shares;
    }

    /** Reads {@code experiment "name" { fleet "FILE"; rates ...; backends ...; seeds 3 }}. */
    public static Experiment read(Path file) throws ConfigException, IOException {
        Section root = Section.read(file);
        Section e = root.section("experiment");
        root.throwIfInvalid();
        Experiment experiment = new Experiment(e, file);
        root.rejectUnknownKeys();
        root.throwIfInvalid();
        return experiment;
    }

    // ---- execution -----------------------------------------------------------------------------------

    /** Plays the runs that the store does not hold, in the emulator on all cores. */
    public Grid run(Path storeFile, Consumer<String> progress) throws IOException {
        return new Execution(null, progress).run(storeFile);
    }

    /** The same on sockets, one run after the other; the files of the runs go into the directory. */
    public Grid runLive(Path storeFile, Path directory, Consumer<String> progress) throws IOException {
        return new Execution(directory, progress).run(storeFile);
    }

    private List<Variant> variants() {
        List<Variant> all = new ArrayList<>();
        for (Fleet fleet : fleets) {
            for (String mix : mixes.keySet()) {
                for (boolean with : troubles) {
                    List<Integer> counts = backends.isEmpty() ? List.of(fleet.day().backendCount())
                            : backends;
                    counts.forEach(count -> all.add(new Variant(fleet.name(), mix, with, count)));
                }
            }
        }
        return all;
    }

    private Fleet fleet(Variant variant) {
        return fleets.stream().filter(f -> f.name().equals(variant.fleet())).findFirst().orElseThrow();
    }

    private DayFile day(Variant v, double rate) {
        DayFile day = fleet(v).day();
        return day.withVariant(rate, length == 0 ? day.length() : length, v.mix().isEmpty() ? day.shares()
                : mixes.get(v.mix()), v.backends(), v.troubles());
    }

    /** One execution: results found in the store, and runs that are executed. */
    private final class Execution {
        private final Path liveDirectory;
        private final Consumer<String> progress;
        private final AtomicInteger executed = new AtomicInteger();
        private final AtomicInteger cached = new AtomicInteger();
        private ResultStore store;

        Execution(Path live, Consumer<String> progress) {
            this.liveDirectory = live;
            this.progress = progress;
        }

        Grid run(Path storeFile) throws IOException {
            try (ResultStore open = new ResultStore(storeFile)) {
                store = open;
                List<Cell> cells = new ArrayList<>();
                Map<Variant, Double> found = new LinkedHashMap<>();
                if (search == null) {
                    grid(cells);
                } else {
                    for (Variant variant : variants()) {
                        found.put(variant, search(variant, cells));
                    }
                }
                return new Grid(name, List.copyOf(cells), found, executed.get(), cached.get());
            } catch (UncheckedIOException e) {
                throw e.getCause();
            }
        }

        private void grid(List<Cell> cells) throws IOException {
            List<Run> all = new ArrayList<>();
            for (Variant variant : variants()) {
                List<Double> variantRates = rates.isEmpty() ? List.of(fleet(variant).day().rate()) : rates;
                variantRates.forEach(rate -> all.addAll(runs(variant, rate)));
            }
            List<Result> results = executeRuns(all);
            for (int i = 0; i < all.size(); i += seeds) {
                cells.add(new Cell(all.get(i).variant(), all.get(i).rate(), results.subList(i, i + seeds)));
            }
        }

        private double search(Variant variant, List<Cell> cells) throws IOException {
            Bisection bisection = new Bisection(search.from(), search.to(), search.within());
            for (double rate = bisection.nextRate(); rate > 0; rate = bisection.nextRate()) {
                Cell cell = new Cell(variant, rate, executeRuns(runs(variant, rate)));
                cells.add(cell);
                bisection.recordResult(rate, cell.interval(Result::service).mean() >= search.service());
            }
            return bisection.result();
        }

        private List<Run> runs(Variant v, double rate) {
            Fleet fleet = fleet(v);
            String text = (liveDirectory == null ? "" : "live/") + rate + "/" + v.backends() + "/"
                    + v.troubles() + "/" + length + "/" + Arrays.toString(mixes.get(v.mix()));
            return IntStream.rangeClosed(1, seeds).mapToObj(seed -> new Run(v, rate, seed,
                    store.key(fleet.bytes(), text, seed))).toList();
        }

        private List<Result> executeRuns(List<Run> runs) throws IOException {
            Map<String, Result> results = new TreeMap<>();
            List<Run> missing = new ArrayList<>();
            for (Run run : runs) {
                Result known = store.get(run.key());
                if (known == null) {
                    missing.add(run);
                } else {
                    results.put(run.key(), known);
                }
            }
            cached.addAndGet(results.size());
            AtomicInteger done = new AtomicInteger();
            var stream = liveDirectory == null ? missing.parallelStream() : missing.stream();
            List<Result> fresh = stream.map(run -> {
                Result result = liveDirectory == null ? emulated(run) : live(run);
                try {
                    store.put(run.key(), result);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                progress.accept(done.incrementAndGet() + " of " + missing.size() + " runs");
                return result;
            }).toList();
            for (int i = 0; i < missing.size(); i++) {
                results.put(missing.get(i).key(), fresh.get(i));
            }
            executed.addAndGet(missing.size());
            return runs.stream().map(run -> results.get(run.key())).toList();
        }

        private Result emulated(Run run) {
            DayFile day = day(run.variant(), run.rate());
            return result(Emulator.run(EmulatorModels.of(day, run.seed()).model(), run.seed()));
        }

        private Result live(Run run) {
            try {
                Path runDirectory = Files.createTempDirectory(liveDirectory, "run");
                DayResult dayResult = DayRunner.runOnSockets(day(run.variant(), run.rate()).seed(run.seed()),
                        fleet(run.variant()).file(), runDirectory);
                if (!dayResult.faults().isEmpty()) {
                    throw new IOException(dayResult.faults().get(0));
                }
                return result(dayResult.outcome());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new UncheckedIOException(new IOException("interrupted", e));
            }
        }
    }

    private static Result result(Outcome o) {
        return new Result(o.service(), o.worstService(WORST_WINDOW_SECONDS),
                o.backends().stream().mapToDouble(b -> b.utilization).max().orElse(0),
                o.controllers().stream().mapToDouble(c -> c.maxQueuedLines).max().orElse(0),
                o.classes().stream().mapToLong(c -> c.offered).sum(),
                o.classes().stream().mapToLong(c -> c.good).sum());
    }

    // ---- results ------------------------------------------------------------------------------------

    /** Formats the results as a text table. */
    public static String table(Grid grid) {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
                "%s: %d runs played, %d kept from before%n", grid.name(), grid.executed(), grid.cached()));
        text.append(String.format("%-44s %10s %26s %10s %9s %8s%n", "variant", "rate", "service (95%)",
                "worst 10 s", "busiest", "lines"));
        for (Cell c : grid.cells()) {
            Interval service = c.interval(Result::service);
            text.append(String.format(Locale.ROOT, "%-44s %8.1f/s %10.4f (%.4f..%.4f) %10.3f %9.2f %8.0f%n",
                    c.variant(), c.rate(), service.mean(), service.low(), service.high(),
                    c.interval(Result::worst).mean(), c.interval(Result::busiest).mean(),
                    c.interval(Result::mostLines).mean()));
        }
        grid.failingRates().forEach((variant, rate) -> text.append(String.format(Locale.ROOT,
                "%-44s %s%n", variant, rate == 0 ? "fails at the lowest rate"
                        : rate == Double.POSITIVE_INFINITY
                        ? "holds at the highest rate" : String.format(Locale.ROOT, "fails at %.1f/s",
                                rate))));
        return text.toString();
    }

    /** Writes a CSV file, one line per run, and a chart of service over rate, one line per variant. */
    public static void write(Grid grid, Path directory) throws IOException {
        Files.createDirectories(directory);
        StringBuilder csv = new StringBuilder("fleet,mix,troubles,backends,rate,seed,service,worst_10s,"
                + "busiest,most_lines,offered,good\n");
        Map<Variant, List<Cell>> byVariant = new LinkedHashMap<>();
        for (Cell cell : grid.cells()) {
            byVariant.computeIfAbsent(cell.variant(), v -> new ArrayList<>()).add(cell);
            Variant v = cell.variant();
            for (int s = 0; s < cell.results().size(); s++) {
                Result r = cell.results().get(s);
                csv.append(String.format(Locale.ROOT, "%s,%s,%b,%d,%.3f,%d,%.6f,%.6f,%.4f,%.0f,%d,%d%n",
                        quoted(v.fleet()), quoted(v.mix()), v.troubles(), v.backends(), cell.rate(), s + 1,
                        r.service(), r.worst(), r.busiest(), r.mostLines(), r.offered(), r.good()));
            }
        }
        Files.writeString(directory.resolve("experiment.csv"), csv);
        XYChart chart = new XYChartBuilder().width(900).height(450).title(grid.name())
                .xAxisTitle("requests a second").yAxisTitle("service, 95% interval over seeds").build();
        byVariant.forEach((variant, all) -> {
            List<Cell> cells = all.stream().sorted((a, b) -> Double.compare(a.rate(), b.rate())).toList();
            chart.addSeries(variant.toString(), cells.stream().mapToDouble(Cell::rate).toArray(),
                    cells.stream().mapToDouble(c -> c.interval(Result::service).mean()).toArray(),
                    cells.stream().mapToDouble(c -> {
                        Interval i = c.interval(Result::service);
                        return i.high() - i.mean();
                    }).toArray());
        });
        VectorGraphicsEncoder.saveVectorGraphic(chart, directory.resolve("service").toString(),
                VectorGraphicsFormat.SVG);
    }

    /** Quotes a CSV field as in RFC 4180, section 2. */
    private static String quoted(String field) {
        return field.matches("[^,\"\\r\\n]*") ? field : "\"" + field.replace("\"", "\"\"") + "\"";
    }
}
