package rowanmoor.lab;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
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
 * Compares the planner's forecasts with runs of real proxies and controllers on stand-ins. All forecasts are
 * made and written to a file, with a hash of each fleet's file, before the first step is run.
 */
public final class ForecastVerifier {

    /** How steps are run: in processes on loopback sockets, or on an in-memory network. */
    public enum RunMode { SOCKETS, SIMULATED }

    /** Keeps the field names that forecasts.json and verified.json have had. */
    static final ObjectMapper JSON = new ObjectMapper().addMixIn(Finding.class, FindingFields.class)
            .addMixIn(Trial.Verdict.class, VerdictFields.class);
    private static final int FORECAST_SEEDS = 3;
    private static final int MAX_FINDINGS = 3;

    private final Goal goal;
    private final RunMode mode;
    private final long length;
    private final int parallelism;
    private final Path directory;
    private final Consumer<String> progress;

    /**
     * @param goal the service level that a rate must keep
     * @param mode how steps are run
     * @param length duration of a step, ns
     * @param parallelism number of fleets that are run at the same time
     * @param directory for forecasts, results and the files of the runs
     */
    public ForecastVerifier(Goal goal, RunMode mode, long length, int parallelism, Path directory,
            Consumer<String> progress) {
        this.goal = goal;
        this.mode = mode;
        this.length = length;
        this.parallelism = parallelism;
        this.directory = directory;
        this.progress = progress;
    }

    private record Fleet(Path file, DayFile day) { }

    @JsonPropertyOrder({"resource", "place", "pressure", "evidence"})
    private interface FindingFields {

        @JsonProperty("place")
        String location();
    }

    @JsonPropertyOrder({"rate", "off", "rateRight", "seen", "failureRight"})
    private interface VerdictFields {

        @JsonProperty("off")
        double relativeError();

        @JsonProperty("rateRight")
        boolean rateMatches();

        @JsonProperty("seen")
        Finding observed();

        @JsonProperty("failureRight")
        boolean resourceMatches();
    }

    /** Makes all forecasts, then runs all steps; returns the trials in the order of the files. */
    public List<Trial> run(List<Path> files) throws IOException, ConfigException, InterruptedException {
        Files.createDirectories(directory);
        List<Fleet> fleets = new ArrayList<>();
        for (Path file : files) {
            fleets.add(new Fleet(file, DayFile.read(file)));
        }
        List<Trial> trials = new ArrayList<>();
        for (Fleet fleet : fleets) {
            trials.add(new Trial(forecast(fleet.day()), goal, fleet.day().rate()));
            progress.accept("forecast: " + describe(trials.get(trials.size() - 1).forecast()));
        }
        Files.writeString(directory.resolve("forecasts.json"), forecasts(fleets, trials));
        ExecutorService executor = Executors.newFixedThreadPool(parallelism);
        try {
            List<Future<?>> futures = new ArrayList<>();
            for (int f = 0; f < fleets.size(); f++) {
                Fleet fleet = fleets.get(f);
                Trial trial = trials.get(f);
                futures.add(executor.submit(() -> {
                    runSteps(fleet, trial);
                    return null;
                }));
            }
            for (Future<?> future : futures) {
                future.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("a step could not be run: " + e.getCause(), e.getCause());
        } finally {
            executor.shutdownNow();
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

    private void runSteps(Fleet fleet, Trial trial) throws IOException, InterruptedException {
        int number = 0;
        for (double rate = trial.nextRate(); rate > 0; rate = trial.nextRate()) {
            DayFile day = fleet.day().withoutTroubles(rate, length).seed(fleet.day().seed() + number);
            DayResult result;
            if (mode == RunMode.SIMULATED) {
                result = DayRunner.simulate(day);
            } else {
                Path runDirectory = directory.resolve(fleet.day().name().replace(' ', '-') + "-" + number);
                Files.createDirectories(runDirectory);
                result = DayRunner.runOnSockets(day, fleet.file(), runDirectory);
            }
            number++;
            if (!result.faults().isEmpty()) {
                throw new IOException(fleet.file() + ": " + result.faults().get(0));
            }
            Trial.Step step = new Trial.Step(rate, result.outcome().service(), goal.isMet(result.outcome()),
                    Diagnosis.of(model(day, rate), result.outcome()));
            trial.recordStep(step);
            progress.accept(String.format(Locale.ROOT, "%s: %.1f/s, service %.3f, %s", fleet.day().name(),
                    rate, step.service(), describe(step.findings())));
        }
    }

    // ---- output ---------------------------------------------------------------------------------------

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
        forecast.findings().stream().limit(MAX_FINDINGS).forEach(one.withArray("findings")::addPOJO);
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
                ObjectNode node = one.withArray("steps").addObject().put("rate", step.rate())
                        .put("service", step.service()).put("kept", step.goalMet());
                step.findings().stream().limit(MAX_FINDINGS).forEach(node.withArray("findings")::addPOJO);
            }
            one.putPOJO("verdict", trial.verdict());
        }
        return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(all) + "\n";
    }

    private static String describe(Trial.Forecast forecast) {
        return String.format(Locale.ROOT, "%s breaks at %.1f/s (%.1f to %.1f): %s", forecast.fleet(),
                forecast.rate().mean(), forecast.rate().low(), forecast.rate().high(),
                describe(forecast.findings()));
    }

    private static String describe(List<Finding> findings) {
        return findings.isEmpty() ? "nothing" : findings.get(0).resource() + ", " + findings.get(0).location()
                + " (" + findings.get(0).evidence() + ")";
    }

    /** Formats the trials as a text table; wrong forecasts are marked. */
    public static String table(List<Trial> trials) {
        StringBuilder text = new StringBuilder();
        text.append(String.format("%-26s %10s %8s %7s %-6s %-38s %-38s %s%n", "fleet", "forecast", "seen",
                "off", "", "named first", "seen first", ""));
        int correct = 0;
        for (Trial trial : trials) {
            Trial.Verdict v = trial.verdict();
            Trial.Forecast f = trial.forecast();
            correct += v.rateMatches() && v.resourceMatches() ? 1 : 0;
            text.append(String.format(Locale.ROOT, "%-26s %8.1f/s %6.1f/s %+6.1f%% %-6s %-38s %-38s %s%n",
                    f.fleet(), f.rate().mean(), v.rate(), 100 * v.relativeError(), v.rateMatches() ? ""
                    : "MISSED",
                    name(f.findings().isEmpty() ? null : f.findings().get(0)), name(v.observed()),
                    v.resourceMatches() ? "" : "MISSED"));
        }
        return text.append(String.format("%d of %d forecasts right in rate and failure%n", correct,
                trials.size())).toString();
    }

    private static String name(Finding finding) {
        return finding == null ? "nothing" : finding.resource() + ", " + finding.location();
    }
}
