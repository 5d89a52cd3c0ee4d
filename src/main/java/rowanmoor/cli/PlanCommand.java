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
import rowanmoor.lab.EmulatorModels;
import rowanmoor.lab.ForecastVerifier;
import rowanmoor.lab.PlanReport;
import rowanmoor.lab.RandomFleet;
import rowanmoor.plan.Estimator;
import rowanmoor.plan.Finding;
import rowanmoor.plan.Goal;
import rowanmoor.plan.Planner;
import rowanmoor.plan.SimulationRunner;
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
        Model model = EmulatorModels.of(day, 1).model().withFaults(List.of())
                .withDurationNs(seconds * NS_PER_SECOND);
        SimulationRunner runs = (m, which) -> which.parallelStream().map(s -> Emulator.run(m, s)).toList();
        printLine("goal: service %.3f%s", minService, minWorstService > 0
                ? String.format(Locale.ROOT, ", worst 10 s %.3f", minWorstService) : "");
        List<Estimator.Estimate> estimates = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        if (captureFile != null) {
            Capture capture = Capture.read(captureFile);
            capture.problems().forEach(p -> notes.add("capture: " + p));
            Estimator.Result estimated = new Estimator(model, runs, 1).estimate(capture.records());
            model = estimated.model();
            estimates.addAll(estimated.estimates());
            notes.addAll(estimated.notes());
        }
        if (requestsPerSecond != null) {
            model = model.withRequestsPerSecond(requestsPerSecond);
        }
        List<String[]> given = givenInputs(model, fleet, estimates);
        estimates.forEach(e -> printLine("%-34s %9.3f %-2s (%.3f to %.3f) from %s: %s", e.name(), e.value(),
                e.unit(), e.low(), e.high(), captureFile, e.source()));
        given.forEach(g -> printLine("%-34s %s, from %s", g[0], g[1], g[2]));
        notes.forEach(n -> printLine("note: %s", n));
        Planner planner = new Planner(new Goal(minService, minWorstService), runs, seeds);
        Planner.BreakingPoint breaks = printBreakingRate(planner, model);
        boolean broken = breaks.rate().sampleCount() > 0 && breaks.rate().mean() > 0;
        List<Planner.Sensitivity> moves = (sensitivity || reportDirectory != null) && broken
                ? planner.sensitivity(model, breaks.rate().mean()) : List.of();
        moves.forEach(s -> printLine("  the breaking rate moves by %+.0f%% with %s", 100 * s.relativeChange(),
                s.input()));
        Planner.FleetSize enough = printBackendCount(planner, model);
        List<Planner.LossImpact> losses = planner.evaluateLosses(
                model.withDurationNs(50 * NS_PER_SECOND), 10 * NS_PER_SECOND, 15 * NS_PER_SECOND);
        for (Planner.LossImpact l : losses) {
            printLine("loss of %-32s before %.3f, during %.3f, worst 10 s %.3f, back after %s%s;"
                    + " queue at %.0f%% of limit",
                    l.name(), l.before(), l.during(), l.worstService(),
                    l.recoverySeconds() < 0 ? "never" : Math.round(l.recoverySeconds()) + " s",
                    l.metastable() ? ", STAYS JAMMED" : "",
                    100 * l.queueFraction());
        }
        if (reportDirectory != null) {
            System.setProperty("java.awt.headless", "true");
            PlanReport.write(new PlanReport.Plan(day.name(), new Goal(minService, minWorstService),
                    model.requestsPerSecond(), model.backends().size(), given, estimates, notes, breaks,
                    broken ? planner.serviceCurve(model, breaks.rate().mean()) : List.of(), enough,
                    withZoneLoss, losses, moves), reportDirectory);
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
            all.add(new String[] {"rate", format("%.1f/s", model.requestsPerSecond()),
                requestsPerSecond != null ? "--rate" : file});
        }
        boolean workEstimated = estimates.stream().anyMatch(e -> e.name().startsWith("work of"));
        for (int c = 0; c < model.classShares().length; c++) {
            String name = model.site().classNames().get(c);
            if (!workEstimated) {
                all.add(new String[] {"work of " + name, format("%.1f ms, spread %.2f",
                        1000 * model.workSeconds()[c], model.workCv()[c]), file});
            }
            if (estimates.isEmpty()) {
                all.add(new String[] {"share of " + name, format("%.3f", model.classShares()[c]), file});
            }
            var spec = model.site().classes().get(c);
            all.add(new String[] {name, format("worth %.1f, aim %d ms, deadline %d ms, %s", spec.worth(),
                    spec.aim() / 1_000_000, spec.deadline() / 1_000_000, spec.idempotency()), file});
        }
        all.add(new String[] {"clients",
                format("up to %d repeats after %d ms, a try up to %.2f of the deadline",
                model.maxClientRetries(), model.retryBackoffNs() / 1_000_000,
                model.tryTimeoutFraction()), file});
        java.util.TreeMap<String, Integer> counts = new java.util.TreeMap<>();
        for (Model.BackendSpec m : model.backends()) {
            counts.merge(format(
                    "%s in %s: %d cores of speed %.2f, %d slots, room for %d more, %s connections",
                    model.site().kinds().get(m.kind()), model.site().zones().get(m.zone()), m.cores(),
                    m.speed(), m.slots(), m.queueCapacity(), m.maxConnections() == 0 ? "any number of"
                            : Integer.toString(m.maxConnections())), 1, Integer::sum);
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
            Files.writeString(file, RandomFleet.generate("drawn " + n, 2 * drawnFleetsSeed + n));
            all.add(file);
        }
        if (System.getProperty(Commands.LOG_LEVEL_PROPERTY) == null) {
            System.setProperty(Commands.LOG_LEVEL_PROPERTY, "OFF");
        }
        List<Trial> trials = new ForecastVerifier(new Goal(minService, minWorstService),
                simulated ? ForecastVerifier.RunMode.SIMULATED : ForecastVerifier.RunMode.SOCKETS,
                seconds * NS_PER_SECOND, parallelFleets, directory, line -> printLine("%s", line)).run(all);
        String table = ForecastVerifier.table(trials);
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

    private Planner.BreakingPoint printBreakingRate(Planner planner, Model model) {
        Planner.BreakingPoint breaks = planner.findBreakingPoint(model);
        if (breaks.rate().sampleCount() == 0) {
            printLine("what breaks first: %s", breaks.note());
            return breaks;
        }
        printLine("breaks at %.0f requests a second (95%%: %.0f to %.0f over %d seeds; %d runs);"
                + " the rate now is %.0f%s",
                breaks.rate().mean(), breaks.rate().low(), breaks.rate().high(), breaks.rate().sampleCount(),
                breaks.runs(), model.requestsPerSecond(),
                breaks.note().isEmpty() ? "" : "; " + breaks.note());
        for (int i = 0; i < Math.min(3, breaks.findings().size()); i++) {
            Finding f = breaks.findings().get(i);
            printLine("  %d. %s, %s: %s (pressure %.2f)", i + 1, f.resource(), f.location(), f.evidence(),
                    f.pressure());
        }
        return breaks;
    }

    private Planner.FleetSize printBackendCount(Planner planner, Model model) {
        List<Function<Model, List<Model.Fault>>> lost = new ArrayList<>();
        for (int z = 0; withZoneLoss && z < model.site().zones().size(); z++) {
            int zone = z;
            lost.add(m -> List.of(new Model.Fault(Model.FaultKind.BACKENDS_DIE, 5 * NS_PER_SECOND,
                    15 * NS_PER_SECOND, Planner.backendsInZone(m, zone), 1)));
        }
        Planner.FleetSize enough = planner.findFleetSize(model, lost);
        if (enough.count() < 0 || !enough.note().isEmpty()) {
            printLine("how many: %s (%d runs)", enough.note(), enough.runs());
        } else {
            printLine("how many: %d backends hold %.0f/s%s; service %.3f, on fresh seeds %.3f"
                    + " (%d runs; there are %d now)",
                    enough.count(), model.requestsPerSecond(),
                    withZoneLoss ? " with each zone lost in turn" : "",
                    enough.service(), enough.validationService(), enough.runs(), model.backends().size());
        }
        return enough;
    }
}
