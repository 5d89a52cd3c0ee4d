package rowanmoor.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import rowanmoor.config.ConfigError;
import rowanmoor.config.Section;
import rowanmoor.emulator.Emulator;
import rowanmoor.emulator.Model;
import rowanmoor.emulator.Outcome;
import rowanmoor.plan.Interval;

/**
 * A grid of runs: rates by numbers of backends by seeds, on all cores. All variants share their seeds (common
 * random numbers), so that their differences are the variants' own. Results are kept; a rerun plays what
 * is new.
 */
public final class Experiment {

    /** One run's result. */
    public record Result(double service, double worst, double busiest, double mostLines, long offered,
            long good) { }

    /** One cell of the grid: all its seeds. */
    public record Cell(double rate, int backends, List<Result> results) {

        Interval interval(java.util.function.ToDoubleFunction<Result> figure) {
            return Interval.of(results.stream().map(r -> figure.applyAsDouble(r)).toList());
        }
    }

    /** The grid, played; how many runs were new and how many were kept from before. */
    public record Grid(String name, List<Cell> cells, int played, int kept) { }

    private static final int WINDOW = 10;

    private final String name;
    private final byte[] fleetBytes;
    private final DayFile fleet;
    private final boolean troubles;
    private final List<Double> rates;
    private final List<Integer> backends;
    private final int seeds;

    private Experiment(String name, byte[] fleetBytes, DayFile fleet, boolean troubles, List<Double> rates,
            List<Integer> backends, int seeds) {
        this.name = name;
        this.fleetBytes = fleetBytes;
        this.fleet = fleet;
        this.troubles = troubles;
        this.rates = rates;
        this.backends = backends;
        this.seeds = seeds;
    }

    /** Reads {@code experiment "name" { fleet "FILE"; rates ...; backends ...; seeds 3; troubles #true }}. */
    public static Experiment read(Path file) throws ConfigError, IOException {
        Section root = Section.read(file);
        Section e = root.section("experiment");
        String name = e.name();
        Path day = file.resolveSibling(e.text("fleet"));
        List<Double> rates = e.rates("rates", 0, 1e6);
        List<Integer> counts = e.wholes("backends", 1, 100000);
        int seeds = e.whole("seeds", 1, 1000, 3);
        boolean troubles = e.flag("troubles", true);
        e.finish();
        root.finish();
        root.check();
        DayFile fleet = DayFile.read(day);
        return new Experiment(name, Files.readAllBytes(day), fleet, troubles,
                rates.isEmpty() ? List.of(fleet.rate()) : rates,
                counts.isEmpty() ? List.of(fleet.backendCount()) : counts, seeds);
    }

    private Model model(double rate, int count) {
        Model whole = Models.of(fleet, fleet.seed()).model();
        // Troubles strike backends by place: with another count they would strike others, or none.
        boolean same = count == whole.machines().size();
        Model model = troubles && same ? whole : whole.troubles(List.of());
        return (same ? model : rowanmoor.plan.Planner.sized(model, count)).rate(rate);
    }

    /** Plays what the store does not hold, on all cores. */
    public Grid run(Path storeFile, Consumer<String> progress) throws IOException {
        record Run(double rate, int count, long seed, String key) { }
        try (ResultStore store = new ResultStore(storeFile)) {
            List<Run> all = new ArrayList<>();
            Map<String, Result> results = new ConcurrentHashMap<>();
            List<Run> open = new ArrayList<>();
            for (int count : backends) {
                for (double rate : rates) {
                    for (long seed = 1; seed <= seeds; seed++) {
                        Run run = new Run(rate, count, seed, store.key(fleetBytes, rate + "/" + count + "/"
                                + troubles, seed));
                        all.add(run);
                        Result known = store.get(run.key());
                        if (known == null) {
                            open.add(run);
                        } else {
                            results.put(run.key(), known);
                        }
                    }
                }
            }
            AtomicInteger done = new AtomicInteger();
            open.parallelStream().forEach(run -> {
                Result result = play(model(run.rate(), run.count()), run.seed());
                results.put(run.key(), result);
                try {
                    store.put(run.key(), result);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                progress.accept(done.incrementAndGet() + " of " + open.size() + " runs");
            });
            Map<String, Cell> cells = new LinkedHashMap<>();
            for (Run run : all) {
                cells.computeIfAbsent(run.rate() + "/" + run.count(), k -> new Cell(run.rate(), run.count(),
                        new ArrayList<>())).results().add(results.get(run.key()));
            }
            return new Grid(name, List.copyOf(cells.values()), open.size(), all.size() - open.size());
        }
    }

    private static Result play(Model model, long seed) {
        Outcome o = Emulator.play(model, seed);
        return new Result(o.service(), o.worst(WINDOW),
                o.backends().stream().mapToDouble(b -> b.busy).max().orElse(0),
                o.controllers().stream().mapToDouble(c -> c.mostLines).max().orElse(0),
                o.classes().stream().mapToLong(c -> c.offered).sum(),
                o.classes().stream().mapToLong(c -> c.good).sum());
    }

    // ---- what came of it -----------------------------------------------------------------------------

    /** A table for people. */
    public static String table(Grid grid) {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
                "%s: %d runs played, %d kept from before%n",
                grid.name(), grid.played(), grid.kept()));
        text.append(String.format("%9s %10s %26s %10s %9s %10s%n", "backends", "rate", "service (95%)",
                "worst 10 s",
                "busiest", "lines"));
        for (Cell c : grid.cells()) {
            Interval service = c.interval(Result::service);
            text.append(String.format(Locale.ROOT, "%9d %8.1f/s %10.4f (%.4f..%.4f) %10.3f %9.2f %10.0f%n",
                    c.backends(), c.rate(), service.mean(), service.low(), service.high(),
                    c.interval(Result::worst).mean(), c.interval(Result::busiest).mean(),
                    c.interval(Result::mostLines).mean()));
        }
        return text.toString();
    }

    /** CSV, a line for each run; and a chart of service over the rate, a line for each number of backends. */
    public static void write(Grid grid, Path directory) throws IOException {
        Files.createDirectories(directory);
        StringBuilder csv = new StringBuilder("backends,rate,seed,service,worst_10s,busiest,most_lines,"
                + "offered,good\n");
        Map<Integer, List<Cell>> byCount = new LinkedHashMap<>();
        for (Cell cell : grid.cells()) {
            byCount.computeIfAbsent(cell.backends(), b -> new ArrayList<>()).add(cell);
            for (int s = 0; s < cell.results().size(); s++) {
                Result r = cell.results().get(s);
                csv.append(String.format(Locale.ROOT, "%d,%.3f,%d,%.6f,%.6f,%.4f,%.0f,%d,%d%n",
                        cell.backends(),
                        cell.rate(), s + 1, r.service(), r.worst(), r.busiest(), r.mostLines(), r.offered(),
                        r.good()));
            }
        }
        Files.writeString(directory.resolve("experiment.csv"), csv);
        XYChart chart = new XYChartBuilder().width(900).height(450).title(grid.name())
                .xAxisTitle("requests a second").yAxisTitle("service, 95% interval over seeds").build();
        byCount.forEach((count, cells) -> {
            double[] x = cells.stream().mapToDouble(Cell::rate).toArray();
            double[] y = cells.stream().mapToDouble(c -> c.interval(Result::service).mean()).toArray();
            double[] error = cells.stream().mapToDouble(c -> {
                Interval i = c.interval(Result::service);
                return i.high() - i.mean();
            }).toArray();
            chart.addSeries(count + " backends", x, y, error);
        });
        VectorGraphicsEncoder.saveVectorGraphic(chart, directory.resolve("service").toString(),
                VectorGraphicsFormat.SVG);
    }
}
