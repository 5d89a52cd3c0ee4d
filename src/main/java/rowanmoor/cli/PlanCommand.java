package rowanmoor.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Function;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rowanmoor.capture.Capture;
import rowanmoor.config.ConfigError;
import rowanmoor.emulator.Emulator;
import rowanmoor.emulator.Model;
import rowanmoor.lab.DayFile;
import rowanmoor.lab.Models;
import rowanmoor.plan.Finding;
import rowanmoor.plan.Goal;
import rowanmoor.plan.Planner;
import rowanmoor.plan.Runs;

/** {@code rowanmoor plan}: asks the planner about a fleet, in the emulator. */
@Command(name = "plan",
        description = "Tells what breaks first, how many backends hold the load, what a loss does.",
        mixinStandardHelpOptions = true)
final class PlanCommand implements Callable<Integer> {

    private static final long SECOND = 1_000_000_000L;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FLEET", description = "a day file; its troubles are not played")
    private Path fleet;

    @Option(names = "--load", paramLabel = "CAPTURE", description = "takes rate and mix from captured load")
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
    public Integer call() throws ConfigError, IOException {
        DayFile day = DayFile.read(fleet);
        Model model = Models.of(day, 1).model().troubles(List.of()).length(seconds * SECOND);
        say("goal: service %.3f%s", service, worst > 0 ? String.format(Locale.ROOT, ", worst 10 s %.3f",
                worst) : "");
        say("from %s: fleet, work of classes, spread (exponential), clients' retries", fleet);
        model = load == null ? model : captured(model);
        if (rate != null) {
            model = model.rate(rate);
            say("from --rate: %.1f requests a second", rate);
        }
        Runs runs = (m, which) -> which.parallelStream().map(s -> Emulator.play(m, s)).toList();
        Planner planner = new Planner(new Goal(service, worst), runs, seeds);
        Planner.Breaks found = breaks(planner, model);
        if (sensitivity && found.rate().count() > 0) {
            planner.sensitivity(model,
                    found.rate().mean()).forEach(s -> say("  the breaking rate moves by %+.0f%%"
                    + " with %s", 100 * s.change(), s.input()));
        }
        howMany(planner, model);
        for (Planner.Loss l : planner.losses(model.length(50 * SECOND), 10 * SECOND, 15 * SECOND)) {
            say("loss of %-32s before %.3f, during %.3f, worst 10 s %.3f, back after %s%s;"
                    + " queue at %.0f%% of limit",
                    l.what(), l.before(), l.during(), l.worst(), l.recovery() < 0 ? "never"
                            : Math.round(l.recovery()) + " s", l.jammed() ? ", STAYS JAMMED" : "",
                    100 * l.queueOfLimit());
        }
        return 0;
    }

    private void say(String format, Object... arguments) {
        PrintWriter out = spec.commandLine().getOut();
        out.printf(Locale.ROOT, format + "%n", arguments);
        out.flush();
    }

    /** Rate and mix as captured: requests that came to proxies, clients' repeats among them. */
    private Model captured(Model model) throws IOException {
        Capture capture = Capture.read(load);
        capture.problems().forEach(p -> say("capture: %s", p));
        Capture.Info info = capture.info();
        double span = (info.to() - info.from()) / 1e9;
        double[] shares = new double[model.shares().length];
        for (int c = 0; c < shares.length; c++) {
            shares[c] = info.requestsByClass().getOrDefault(model.site().classNames().get(c), 0L);
        }
        if (info.requests() == 0 || span <= 0) {
            say("from %s: no request; the rate is 0", load);
            return model.rate(0);
        }
        say("from %s: %.1f requests a second over %.1f s, mix %s", load, info.requests() / span, span,
                info.requestsByClass());
        return model.shares(shares).rate(info.requests() / span);
    }

    private Planner.Breaks breaks(Planner planner, Model model) {
        Planner.Breaks breaks = planner.whatBreaks(model);
        if (breaks.rate().count() == 0) {
            say("what breaks first: %s", breaks.note());
            return breaks;
        }
        say("breaks at %.0f requests a second (95%%: %.0f to %.0f over %d seeds; %d runs);"
                + " the rate now is %.0f%s",
                breaks.rate().mean(), breaks.rate().low(), breaks.rate().high(), breaks.rate().count(),
                breaks.runs(), model.rate(), breaks.note().isEmpty() ? "" : "; " + breaks.note());
        for (int i = 0; i < Math.min(3, breaks.findings().size()); i++) {
            Finding f = breaks.findings().get(i);
            say("  %d. %s, %s: %s (pressure %.2f)", i + 1, f.resource(), f.place(), f.evidence(),
                    f.pressure());
        }
        return breaks;
    }

    private void howMany(Planner planner, Model model) {
        List<Function<Model, List<Model.Trouble>>> lost = new ArrayList<>();
        for (int z = 0; zonesLost && z < model.site().zones().size(); z++) {
            int zone = z;
            lost.add(m -> List.of(new Model.Trouble(Model.Kind.BACKENDS_DIE, 5 * SECOND, 15 * SECOND,
                    Planner.zone(m, zone), 1)));
        }
        Planner.Enough enough = planner.howMany(model, lost);
        if (enough.count() < 0 || !enough.note().isEmpty()) {
            say("how many: %s (%d runs)", enough.note(), enough.runs());
        } else {
            say("how many: %d backends hold %.0f/s%s; service %.3f, on fresh seeds %.3f"
                    + " (%d runs; there are %d now)",
                    enough.count(), model.rate(), zonesLost ? " with each zone lost in turn" : "",
                            enough.service(),
                    enough.freshService(), enough.runs(), model.machines().size());
        }
    }
}
