package rowanmoor.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import rowanmoor.config.ConfigException;
import rowanmoor.emulator.Emulator;
import rowanmoor.emulator.Model;
import rowanmoor.plan.Diagnosis;
import rowanmoor.plan.Finding;
import rowanmoor.plan.Goal;
import rowanmoor.plan.Planner;
import rowanmoor.plan.Trial;

/**
 * Holds the planner's forecasts against stand-ins, proxies and controllers that run. All forecasts are made
 * and written down, with a hash of each fleet's file, before the first step is played.
 */
public final class ForecastVerifier {

    /** How steps are played: on loopback sockets with processes, or on the network in memory. */
    public enum RunMode { SOCKETS, SIMULATED }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int FORECAST_SEEDS = 3;
    private static final int LISTED = 3;

    private final Goal goal;
    private final RunMode ways;
    private final long length;
    private final int abreast;
    private final Path directory;
    private final Consumer<String> progress;

    /**
     * @param length of a step, ns
     * @param abreast how many fleets are played at a time
     * @param directory for forecasts, results and what the runs leave
     */
    public ForecastVerifier(Goal goal, RunMode ways, long length, int abreast, Path directory,
            Consumer<String> progress) {
        this.goal = goal;
        this.ways = ways;
        this.length = length;
        this.abreast = abreast;
        this.directory = directory;
        this.progress = progress;
    }

    private record Fleet(Path file, DayFile day) { }

    /** Forecasts, then plays; trials in the order of the files. */
    public List<Trial> run(List<Path> files) throws IOException, ConfigException, InterruptedException {
        Files.createDirectories(directory);
        List<Fleet> fleets = new ArrayList<>();
        for (Path file : files) {
            fleets.add(new Fleet(file, DayFile.read(file)));
        }
        List<Trial> trials = new ArrayList<>();
        for (Fleet fleet : fleets) {
            trials.add(new Trial(forecast(fleet.day()), goal, fleet.day().rate()));
            progress.accept("forecast: " + words(trials.get(trials.size() - 1).forecast()));
        }
        Files.writeString(directory.resolve("forecasts.json"), forecasts(fleets, trials));
        ExecutorService players = Executors.newFixedThreadPool(abreast);
        try {
            List<Future<?>> all = new ArrayList<>();
            for (int f = 0; f < fleets.size(); f++) {
                Fleet fleet = fleets.get(f);
                Trial trial = trials.get(f);
                all.add(players.submit(() -> {
                    steps(fleet, trial);
                    return null;
                }));
            }
            for (Future<?> one : all) {
                one.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("a step could not be played: " + e.getCause(), e.getCause());
        } finally {
            players.shutdownNow();
        }
        Files.writeString(directory.resolve("verified.json"), results(trials));
        return trials;
    }

    private Model model(DayFile day, double rate) {
        return EmulatorModels.of(day.withoutTroubles(rate, length), day.seed()).model();
    }

    private Trial.Forecast forecast(DayFile day) {
        Planner planner = new Planner(goal, (m, which) -> which.parallelStream().map(s ->
                Emulator.run(m, s)).toList(), FORECAST_SEEDS);
        Planner.BreakingPoint breaks = planner.findBreakingPoint(model(day, day.rate()));
        return new Trial.Forecast(day.name(), breaks.rate(), breaks.findings());
    }

    private void steps(Fleet fleet, Trial trial) throws IOException, InterruptedException {
        int number = 0;
        for (double rate = trial.nextRate(); rate > 0; rate = trial.nextRate()) {
            DayFile day = fleet.day().withoutTroubles(rate, length).seed(fleet.day().seed() + number);
            DayResult played;
            if (ways == RunMode.SIMULATED) {
                played = DayRunner.simulate(day);
            } else {
                Path own = directory.resolve(fleet.day().name().replace(' ', '-') + "-" + number);
                Files.createDirectories(own);
                played = DayRunner.runOnSockets(day, fleet.file(), own);
            }
            number++;
            if (!played.faults().isEmpty()) {
                throw new IOException(fleet.file() + ": " + played.faults().get(0));
            }
            Trial.Step step = new Trial.Step(rate, played.outcome().service(), goal.isMet(played.outcome()),
                    Diagnosis.of(model(day, rate), played.outcome()));
            trial.recordStep(step);
            progress.accept(String.format(Locale.ROOT, "%s: %.1f/s, service %.3f, %s", fleet.day().name(),
                    rate, step.service(), words(step.findings())));
        }
    }

    // ---- what is written -----------------------------------------------------------------------------

    private String forecasts(List<Fleet> fleets, List<Trial> trials) throws IOException {
        ArrayNode all = JSON.createArrayNode();
        for (int f = 0; f < fleets.size(); f++) {
            ObjectNode one = all.addObject().put("file", fleets.get(f).file().getFileName().toString())
                    .put("sha256", hash(Files.readAllBytes(fleets.get(f).file())));
            put(one, trials.get(f).forecast());
        }
        return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(all) + "\n";
    }

    private static void put(ObjectNode one, Trial.Forecast forecast) {
        one.put("fleet", forecast.fleet()).put("rate", forecast.rate().mean())
                .put("low", forecast.rate().low()).put("high", forecast.rate().high());
        forecast.findings().stream().limit(LISTED).forEach(one.withArray("findings")::addPOJO);
    }

    private static String hash(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private static String results(List<Trial> trials) throws IOException {
        ArrayNode all = JSON.createArrayNode();
        for (Trial trial : trials) {
            ObjectNode one = all.addObject();
            put(one, trial.forecast());
            for (Trial.Step step : trial.steps()) {
                ObjectNode its = one.withArray("steps").addObject().put("rate", step.rate())
                        .put("service", step.service()).put("kept", step.goalMet());
                step.findings().stream().limit(LISTED).forEach(its.withArray("findings")::addPOJO);
            }
            one.putPOJO("verdict", trial.verdict());
        }
        return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(all) + "\n";
    }

    private static String words(Trial.Forecast forecast) {
        return String.format(Locale.ROOT, "%s breaks at %.1f/s (%.1f to %.1f): %s", forecast.fleet(),
                forecast.rate().mean(), forecast.rate().low(), forecast.rate().high(),
                words(forecast.findings()));
    }

    private static String words(List<Finding> findings) {
        return findings.isEmpty() ? "nothing" : findings.get(0).resource() + ", " + findings.get(0).location()
                + " (" + findings.get(0).evidence() + ")";
    }

    /** A table for people; misses are marked. */
    public static String table(List<Trial> trials) {
        StringBuilder text = new StringBuilder();
        text.append(String.format("%-26s %10s %8s %7s %-6s %-38s %-38s %s%n", "fleet", "forecast", "seen",
                "off", "", "named first", "seen first", ""));
        int right = 0;
        for (Trial trial : trials) {
            Trial.Verdict v = trial.verdict();
            Trial.Forecast f = trial.forecast();
            right += v.rateMatches() && v.resourceMatches() ? 1 : 0;
            text.append(String.format(Locale.ROOT, "%-26s %8.1f/s %6.1f/s %+6.1f%% %-6s %-38s %-38s %s%n",
                    f.fleet(), f.rate().mean(), v.rate(), 100 * v.relativeError(), v.rateMatches() ? "" : "MISSED",
                    name(f.findings().isEmpty() ? null : f.findings().get(0)), name(v.observed()),
                    v.resourceMatches() ? "" : "MISSED"));
        }
        return text.append(String.format("%d of %d forecasts right in rate and failure%n", right,
                trials.size())).toString();
    }

    private static String name(Finding finding) {
        return finding == null ? "nothing" : finding.resource() + ", " + finding.location();
    }
}
