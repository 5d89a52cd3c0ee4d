package rowanmoor.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Function;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rowanmoor.capture.Capture;
import rowanmoor.config.ConfigException;
import rowanmoor.emulator.Emulator;
import rowanmoor.emulator.Model;
import rowanmoor.lab.DayFile;
import rowanmoor.lab.DrawnFleet;
import rowanmoor.lab.Models;
import rowanmoor.lab.PlanReport;
import rowanmoor.lab.Verifier;
import rowanmoor.plan.Estimator;
import rowanmoor.plan.Finding;
import rowanmoor.plan.Goal;
import rowanmoor.plan.Planner;
import rowanmoor.plan.Runs;
import rowanmoor.plan.Trial;

/** {@code rowanmoor plan}: capacity planning for a fleet by runs of the emulator. */
@Command(name = "plan",
        description = "Finds what breaks first, how many backends the load needs, and the effect of losses.",
        mixinStandardHelpOptions = true)
final class PlanCommand implements Callable<Integer> {

    private static final long NS_PER_SECOND = 1_000_000_000L;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FLEET", arity = "1..*",
            description = "day files; their troubles are ignored; more than one only with --verify")
    private List<Path> dayFiles;

    @Option(names = "--verify", description = "forecasts, then raises the load in steps on stand-ins, proxies"
            + " and controllers on this machine, and prints the errors of the forecasts")
    private boolean verify;

    @Option(names = "--drawn", paramLabel = "SEED",
            description = "--verify: adds two fleets drawn from a seed")
    private Long drawnFleetsSeed;

    @Option(names = "--simulated", description = "--verify: runs in memory and in simulated time")
    private boolean simulated;

    @Option(names = "--abreast", defaultValue = "2", paramLabel = "N",
            description = "--verify: fleets played in parallel; default ${DEFAULT-VALUE}")
    private int parallelFleets;

    @Option(names = "--report", paramLabel = "DIR", description = "directory for the report")
    private Path reportDirectory;

    @Option(names = "--load", paramLabel = "CAPTURE",
            description = "estimates rate, mix, proxies, work and retries from captured load")
    private Path captureFile;

    @Option(names = "--rate", paramLabel = "RATE", description = "requests per second; replaces the file's")
    private Double requestsPerSecond;

    @Option(names = "--service", defaultValue = "0.95", paramLabel = "FRACTION",
            description = "minimum fraction of the worth answered in time; default ${DEFAULT-VALUE}")
    private double minService;

    @Option(names = "--worst", defaultValue = "0", paramLabel = "FRACTION",
            description = "the same for the worst ten seconds; default ${DEFAULT-VALUE}")
    private double minWorstService;

    @Option(names = "--seeds", defaultValue = "3", paramLabel = "N",
            description = "number of seeds per measurement; default ${DEFAULT-VALUE}")
    private int seeds;

    @Option(names = "--seconds", defaultValue = "30", paramLabel = "SECONDS",
            description = "length of a run; default ${DEFAULT-VALUE}")
    private int seconds;

    @Option(names = "--zones-lost", description = "sizes the fleet for the loss of each zone in turn")
    private boolean withZoneLoss;

    @Option(names = "--sensitivity",
            description = "varies one input at a time to see its effect on the breaking rate")
    private boolean sensitivity;

    @Override
    public Integer call() throws ConfigException, IOException, InterruptedException {
        if (verify) {
            return verifyForecasts();
        }
        if (dayFiles.size() > 1) {
            throw new CommandLine.ParameterException(spec.commandLine(),
                    "plan takes one FLEET, or several with --verify");
        }
        return plan();
    }

    private int plan() throws ConfigException, IOException {
        Path fleet = dayFiles.get(0);
        DayFile day = DayFile.read(fleet);
        Model model = Models.of(day, 1).model().troubles(List.of()).length(seconds * NS_PER_SECOND);
        Runs runs = (m, which) -> which.parallelStream().map(s -> Emulator.play(m, s)).toList();
        printLine("goal: service %.3f%s", minService, minWorstService > 0
                ? String.format(Locale.ROOT, ", worst 10 s %.3f", minWorstService) : "");
        List<Estimator.Estimate> estimates = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        if (captureFile != null) {
            Capture capture = Capture.read(captureFile);
            capture.problems().forEach(p -> notes.add("capture: " + p));
            Estimator.Estimated estimated = new Estimator(model, runs, 1).from(capture.records());
            model = estimated.model();
            estimates.addAll(estimated.estimates());
            notes.addAll(estimated.notes());
        }
        if (requestsPerSecond != null) {
            model = model.rate(requestsPerSecond);
        }
        List<String[]> given = givenInputs(model, fleet, estimates);
        estimates.forEach(e -> printLine("%-34s %9.3f %-2s (%.3f to %.3f) from %s: %s", e.what(), e.value(),
                e.unit(), e.low(), e.high(), captureFile, e.from()));
        given.forEach(g -> printLine("%-34s %s, from %s", g[0], g[1], g[2]));
        notes.forEach(n -> printLine("note: %s", n));
        Planner planner = new Planner(new Goal(minService, minWorstService), runs, seeds);
        Planner.Breaks breaks = printBreakingRate(planner, model);
        boolean broken = breaks.rate().count() > 0 && breaks.rate().mean() > 0;
        List<Planner.Sensitivity> moves = (sensitivity || reportDirectory != null) && broken
                ? planner.sensitivity(model, breaks.rate().mean()) : List.of();
        moves.forEach(s -> printLine("  the breaking rate moves by %+.0f%% with %s", 100 * s.change(),
                s.input()));
        Planner.Enough enough = printBackendCount(planner, model);
        List<Planner.Loss> losses = planner.losses(model.length(50 * NS_PER_SECOND), 10 * NS_PER_SECOND,
                15 * NS_PER_SECOND);
        for (Planner.Loss l : losses) {
            printLine("loss of %-32s before %.3f, during %.3f, worst 10 s %.3f, back after %s%s;"
                    + " queue at %.0f%% of limit",
                    l.what(), l.before(), l.during(), l.worst(),
                    l.recovery() < 0 ? "never" : Math.round(l.recovery()) + " s",
                    l.jammed() ? ", STAYS JAMMED" : "",
                    100 * l.queueOfLimit());
        }
        if (reportDirectory != null) {
            System.setProperty("java.awt.headless", "true");
            PlanReport.write(new PlanReport.Plan(day.name(), new Goal(minService, minWorstService),
                    model.rate(), model.machines().size(), given, estimates, notes, breaks,
                    broken ? planner.curve(model, breaks.rate().mean()) : List.of(), enough, withZoneLoss,
                    losses, moves), reportDirectory);
            printLine("report: %s", reportDirectory.resolve("plan.html"));
        }
        return 0;
    }

    /**
     * Returns the inputs that were not estimated but taken from the file or the command line: name, value and
     * source.
     */
    private List<String[]> givenInputs(Model model, Path fleet, List<Estimator.Estimate> estimates) {
        List<String[]> all = new ArrayList<>();
        String file = fleet.toString();
        if (requestsPerSecond != null || estimates.isEmpty()) {
            all.add(new String[] {"rate", format("%.1f/s", model.rate()),
                requestsPerSecond != null ? "--rate" : file});
        }
        boolean workEstimated = estimates.stream().anyMatch(e -> e.what().startsWith("work of"));
        for (int c = 0; c < model.shares().length; c++) {
            String name = model.site().classNames().get(c);
            if (!workEstimated) {
                all.add(new String[] {"work of " + name, format("%.1f ms, spread %.2f",
                        1000 * model.work()[c], model.cv()[c]), file});
            }
            if (estimates.isEmpty()) {
                all.add(new String[] {"share of " + name, format("%.3f", model.shares()[c]), file});
            }
            var spec = model.site().classes().get(c);
            all.add(new String[] {name, format("worth %.1f, aim %d ms, deadline %d ms, %s", spec.worth(),
                    spec.aim() / 1_000_000, spec.deadline() / 1_000_000, spec.idempotency()), file});
        }
        all.add(new String[] {"clients",
                format("up to %d repeats after %d ms, a try up to %.2f of the deadline",
                model.retries(), model.backoff() / 1_000_000, model.tryShare()), file});
        java.util.TreeMap<String, Integer> counts = new java.util.TreeMap<>();
        for (Model.Machine m : model.machines()) {
            counts.merge(format(
                    "%s in %s: %d cores of speed %.2f, %d slots, room for %d more, %s connections",
                    model.site().kinds().get(m.kind()), model.site().zones().get(m.zone()), m.cores(),
                    m.speed(), m.slots(), m.queue(), m.connections() == 0 ? "any number of"
                            : Integer.toString(m.connections())), 1, Integer::sum);
        }
        counts.forEach((machine, n) -> all.add(new String[] {"backends", n + " " + machine, file}));
        all.add(new String[] {"channel", format("%.0f lines a second, at most %.0f waiting",
                model.site().channel().linesPerSecond(), model.site().channel().maxBacklog()), file});
        return all;
    }

    private static String format(String format, Object... arguments) {
        return String.format(Locale.ROOT, format, arguments);
    }

    private int verifyForecasts() throws ConfigException, IOException, InterruptedException {
        Path directory = reportDirectory == null ? Files.createTempDirectory("rowanmoor-verify")
                : reportDirectory;
        Files.createDirectories(directory);
        List<Path> all = new ArrayList<>(dayFiles);
        for (int n = 1; drawnFleetsSeed != null && n <= 2; n++) {
            Path file = directory.resolve("drawn-" + n + ".kdl");
            Files.writeString(file, DrawnFleet.draw("drawn " + n, 2 * drawnFleetsSeed + n));
            all.add(file);
        }
        if (System.getProperty(Commands.LOG_LEVEL_PROPERTY) == null) {
            System.setProperty(Commands.LOG_LEVEL_PROPERTY, "OFF");
        }
        List<Trial> trials = new Verifier(new Goal(minService, minWorstService),
                simulated ? Verifier.Ways.SIMULATED : Verifier.Ways.SOCKETS, seconds * NS_PER_SECOND,
                parallelFleets, directory, line -> printLine("%s", line)).run(all);
        String table = Verifier.table(trials);
        Files.writeString(directory.resolve("accuracy.txt"), table);
        printLine("%n%s", table.stripTrailing());
        printLine("forecasts.json (written first), verified.json and the runs are in %s", directory);
        return 0;
    }

    private void printLine(String format, Object... arguments) {
        PrintWriter out = spec.commandLine().getOut();
        out.printf(Locale.ROOT, format + "%n", arguments);
        out.flush();
    }

    private Planner.Breaks printBreakingRate(Planner planner, Model model) {
        Planner.Breaks breaks = planner.whatBreaks(model);
        if (breaks.rate().count() == 0) {
            printLine("what breaks first: %s", breaks.note());
            return breaks;
        }
        printLine("breaks at %.0f requests a second (95%%: %.0f to %.0f over %d seeds; %d runs);"
                + " the rate now is %.0f%s",
                breaks.rate().mean(), breaks.rate().low(), breaks.rate().high(), breaks.rate().count(),
                breaks.runs(), model.rate(), breaks.note().isEmpty() ? "" : "; " + breaks.note());
        for (int i = 0; i < Math.min(3, breaks.findings().size()); i++) {
            Finding f = breaks.findings().get(i);
            printLine("  %d. %s, %s: %s (pressure %.2f)", i + 1, f.resource(), f.place(), f.evidence(),
                    f.pressure());
        }
        return breaks;
    }

    private Planner.Enough printBackendCount(Planner planner, Model model) {
        List<Function<Model, List<Model.Trouble>>> lost = new ArrayList<>();
        for (int z = 0; withZoneLoss && z < model.site().zones().size(); z++) {
            int zone = z;
            lost.add(m -> List.of(new Model.Trouble(Model.Kind.BACKENDS_DIE, 5 * NS_PER_SECOND,
                    15 * NS_PER_SECOND, Planner.zone(m, zone), 1)));
        }
        Planner.Enough enough = planner.howMany(model, lost);
        if (enough.count() < 0 || !enough.note().isEmpty()) {
            printLine("how many: %s (%d runs)", enough.note(), enough.runs());
        } else {
            printLine("how many: %d backends hold %.0f/s%s; service %.3f, on fresh seeds %.3f"
                    + " (%d runs; there are %d now)",
                    enough.count(), model.rate(), withZoneLoss ? " with each zone lost in turn" : "",
                    enough.service(), enough.freshService(), enough.runs(), model.machines().size());
        }
        return enough;
    }
}
