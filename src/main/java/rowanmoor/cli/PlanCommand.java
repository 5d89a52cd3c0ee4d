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
import rowanmoor.lab.RandomFleet;
import rowanmoor.lab.EmulatorModels;
import rowanmoor.lab.PlanReport;
import rowanmoor.lab.ForecastVerifier;
import rowanmoor.plan.Estimator;
import rowanmoor.plan.Finding;
import rowanmoor.plan.Goal;
import rowanmoor.plan.Planner;
import rowanmoor.plan.SimulationRunner;
import rowanmoor.plan.Trial;

/** {@code rowanmoor plan}: asks the planner about a fleet, in the emulator. */
@Command(name = "plan",
        description = "Tells what breaks first, how many backends hold the load, what a loss does.",
        mixinStandardHelpOptions = true)
final class PlanCommand implements Callable<Integer> {

    private static final long SECOND = 1_000_000_000L;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FLEET", arity = "1..*",
            description = "day files; their troubles are not played."
            + " More than one only with --verify")
    private List<Path> fleets;

    @Option(names = "--verify", description = "forecasts, then raises load in steps on stand-ins, proxies and"
            + " controllers that run here, and says how far off the forecasts were")
    private boolean verify;

    @Option(names = "--drawn", paramLabel = "SEED", description = "--verify: two fleets drawn by a seed, too")
    private Long drawn;

    @Option(names = "--simulated", description = "--verify: in memory and simulated time instead of sockets")
    private boolean simulated;

    @Option(names = "--abreast", defaultValue = "2", description = "--verify: fleets played at a time")
    private int abreast;

    @Option(names = "--report", paramLabel = "DIR", description = "writes the report there")
    private Path report;

    @Option(names = "--load", paramLabel = "CAPTURE",
            description = "estimates rate, mix, proxies, work and repeats from captured load")
    private Path load;

    @Option(names = "--rate", description = "requests a second, in place of the file's")
    private Double rate;

    @Option(names = "--service", defaultValue = "0.95",
            description = "least part of the worth answered in time")
    private double service;

    @Option(names = "--worst", defaultValue = "0", description = "the same over the worst ten seconds")
    private double worst;

    @Option(names = "--seeds", defaultValue = "3")
    private int seeds;

    @Option(names = "--seconds", defaultValue = "30", description = "length of a run")
    private int seconds;

    @Option(names = "--zones-lost", description = "how many backends: with each zone lost in turn, too")
    private boolean zonesLost;

    @Option(names = "--sensitivity", description = "how the breaking rate moves with one input at a time")
    private boolean sensitivity;

    @Override
    public Integer call() throws ConfigException, IOException, InterruptedException {
        if (verify) {
            return verified();
        }
        if (fleets.size() > 1) {
            throw new CommandLine.ParameterException(spec.commandLine(),
                    "one FLEET is planned for at a time");
        }
        return planned();
    }

    private int planned() throws ConfigException, IOException {
        Path fleet = fleets.get(0);
        DayFile day = DayFile.read(fleet);
        Model model = EmulatorModels.of(day, 1).model().withFaults(List.of()).withDurationNs(seconds * SECOND);
        SimulationRunner runs = (m, which) -> which.parallelStream().map(s -> Emulator.run(m, s)).toList();
        say("goal: service %.3f%s", service, worst > 0 ? String.format(Locale.ROOT, ", worst 10 s %.3f",
                worst) : "");
        List<Estimator.Estimate> estimates = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        if (load != null) {
            Capture capture = Capture.read(load);
            capture.problems().forEach(p -> notes.add("capture: " + p));
            Estimator.Result found = new Estimator(model, runs, 1).estimate(capture.records());
            model = found.model();
            estimates.addAll(found.estimates());
            notes.addAll(found.notes());
        }
        if (rate != null) {
            model = model.withRequestsPerSecond(rate);
        }
        List<String[]> given = given(model, fleet, estimates);
        estimates.forEach(e -> say("%-34s %9.3f %-2s (%.3f to %.3f) from %s: %s", e.name(), e.value(),
                e.unit(),
                e.low(), e.high(), load, e.source()));
        given.forEach(g -> say("%-34s %s, from %s", g[0], g[1], g[2]));
        notes.forEach(n -> say("note: %s", n));
        Planner planner = new Planner(new Goal(service, worst), runs, seeds);
        Planner.BreakingPoint breaks = breaks(planner, model);
        boolean broken = breaks.rate().sampleCount() > 0 && breaks.rate().mean() > 0;
        List<Planner.Sensitivity> moves = (sensitivity || report != null) && broken
                ? planner.sensitivity(model, breaks.rate().mean()) : List.of();
        moves.forEach(s -> say("  the breaking rate moves by %+.0f%% with %s", 100 * s.relativeChange(), s.input()));
        Planner.FleetSize enough = howMany(planner, model);
        List<Planner.LossImpact> losses = planner.evaluateLosses(model.withDurationNs(50 * SECOND), 10 * SECOND, 15 * SECOND);
        for (Planner.LossImpact l : losses) {
            say("loss of %-32s before %.3f, during %.3f, worst 10 s %.3f, back after %s%s;"
                    + " queue at %.0f%% of limit",
                    l.name(), l.before(), l.during(), l.worstService(), l.recoverySeconds() < 0 ? "never"
                            : Math.round(l.recoverySeconds()) + " s", l.metastable() ? ", STAYS JAMMED" : "",
                    100 * l.queueFraction());
        }
        if (report != null) {
            System.setProperty("java.awt.headless", "true");
            PlanReport.write(new PlanReport.Plan(day.name(), new Goal(service, worst), model.requestsPerSecond(),
                    model.backends().size(), given, estimates, notes, breaks, broken
                            ? planner.serviceCurve(model, breaks.rate().mean()) : List.of(), enough, zonesLost,
                    losses, moves), report);
            say("report: %s", report.resolve("plan.html"));
        }
        return 0;
    }

    /** What was not estimated: figures of the file or of the command line. */
    private List<String[]> given(Model model, Path fleet, List<Estimator.Estimate> estimates) {
        List<String[]> all = new ArrayList<>();
        String file = fleet.toString();
        if (rate != null || estimates.isEmpty()) {
            all.add(new String[] {"rate", text("%.1f/s", model.requestsPerSecond()), rate != null ? "--rate" : file});
        }
        boolean worked = estimates.stream().anyMatch(e -> e.name().startsWith("work of"));
        for (int c = 0; c < model.classShares().length; c++) {
            String name = model.site().classNames().get(c);
            if (!worked) {
                all.add(new String[] {"work of " + name, text("%.1f ms, spread %.2f", 1000 * model.workSeconds()[c],
                        model.workCv()[c]), file});
            }
            if (estimates.isEmpty()) {
                all.add(new String[] {"share of " + name, text("%.3f", model.classShares()[c]), file});
            }
            var its = model.site().classes().get(c);
            all.add(new String[] {name, text("worth %.1f, aim %d ms, deadline %d ms, %s", its.worth(),
                    its.aim() / 1_000_000, its.deadline() / 1_000_000, its.idempotency()), file});
        }
        all.add(new String[] {"clients",
                text("up to %d repeats after %d ms, a try up to %.2f of the deadline",
                model.maxClientRetries(), model.retryBackoffNs() / 1_000_000, model.tryTimeoutFraction()), file});
        java.util.TreeMap<String, Integer> counts = new java.util.TreeMap<>();
        for (Model.BackendSpec m : model.backends()) {
            counts.merge(text("%s in %s: %d cores of speed %.2f, %d slots, room for %d more, %s connections",
                    model.site().kinds().get(m.kind()), model.site().zones().get(m.zone()), m.cores(),
                    m.speed(), m.slots(), m.queueCapacity(), m.maxConnections() == 0 ? "any number of"
                            : Integer.toString(m.maxConnections())), 1, Integer::sum);
        }
        counts.forEach((what, n) -> all.add(new String[] {"backends", n + " " + what, file}));
        all.add(new String[] {"channel", text("%.0f lines a second, at most %.0f waiting",
                model.site().channel().linesPerSecond(), model.site().channel().maxBacklog()), file});
        return all;
    }

    private static String text(String format, Object... arguments) {
        return String.format(Locale.ROOT, format, arguments);
    }

    private int verified() throws ConfigException, IOException, InterruptedException {
        Path directory = report == null ? Files.createTempDirectory("rowanmoor-verify") : report;
        Files.createDirectories(directory);
        List<Path> all = new ArrayList<>(fleets);
        for (int n = 1; drawn != null && n <= 2; n++) {
            Path file = directory.resolve("drawn-" + n + ".kdl");
            Files.writeString(file, RandomFleet.generate("drawn " + n, 2 * drawn + n));
            all.add(file);
        }
        if (System.getProperty(Commands.LOG_LEVEL) == null) {
            System.setProperty(Commands.LOG_LEVEL, "OFF");
        }
        List<Trial> trials = new ForecastVerifier(new Goal(service, worst), simulated ? ForecastVerifier.RunMode.SIMULATED
                : ForecastVerifier.RunMode.SOCKETS, seconds * SECOND, abreast, directory, line -> say("%s",
                        line)).run(all);
        String table = ForecastVerifier.table(trials);
        Files.writeString(directory.resolve("accuracy.txt"), table);
        say("%n%s", table.stripTrailing());
        say("forecasts.json (written first), verified.json and the runs are in %s", directory);
        return 0;
    }

    private void say(String format, Object... arguments) {
        PrintWriter out = spec.commandLine().getOut();
        out.printf(Locale.ROOT, format + "%n", arguments);
        out.flush();
    }

    private Planner.BreakingPoint breaks(Planner planner, Model model) {
        Planner.BreakingPoint breaks = planner.findBreakingPoint(model);
        if (breaks.rate().sampleCount() == 0) {
            say("what breaks first: %s", breaks.note());
            return breaks;
        }
        say("breaks at %.0f requests a second (95%%: %.0f to %.0f over %d seeds; %d runs);"
                + " the rate now is %.0f%s",
                breaks.rate().mean(), breaks.rate().low(), breaks.rate().high(), breaks.rate().sampleCount(),
                breaks.runs(), model.requestsPerSecond(), breaks.note().isEmpty() ? "" : "; " + breaks.note());
        for (int i = 0; i < Math.min(3, breaks.findings().size()); i++) {
            Finding f = breaks.findings().get(i);
            say("  %d. %s, %s: %s (pressure %.2f)", i + 1, f.resource(), f.location(), f.evidence(),
                    f.pressure());
        }
        return breaks;
    }

    private Planner.FleetSize howMany(Planner planner, Model model) {
        List<Function<Model, List<Model.Fault>>> lost = new ArrayList<>();
        for (int z = 0; zonesLost && z < model.site().zones().size(); z++) {
            int zone = z;
            lost.add(m -> List.of(new Model.Fault(Model.FaultKind.BACKENDS_DIE, 5 * SECOND, 15 * SECOND,
                    Planner.backendsInZone(m, zone), 1)));
        }
        Planner.FleetSize enough = planner.findFleetSize(model, lost);
        if (enough.count() < 0 || !enough.note().isEmpty()) {
            say("how many: %s (%d runs)", enough.note(), enough.runs());
        } else {
            say("how many: %d backends hold %.0f/s%s; service %.3f, on fresh seeds %.3f"
                    + " (%d runs; there are %d now)",
                    enough.count(), model.requestsPerSecond(), zonesLost ? " with each zone lost in turn" : "",
                            enough.service(),
                    enough.validationService(), enough.runs(), model.backends().size());
        }
        return enough;
    }
}
