package rowanmoor.cli;

import java.io.Closeable;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rowanmoor.config.ConfigException;
import rowanmoor.config.ControllerConfig;
import rowanmoor.config.Section;
import rowanmoor.config.Site;
import rowanmoor.controller.Controller;
import rowanmoor.controller.Trace;
import rowanmoor.emulator.Emulator;
import rowanmoor.emulator.Outcome;
import rowanmoor.lab.BenchDayConverter;
import rowanmoor.lab.DayFile;
import rowanmoor.lab.DayReport;
import rowanmoor.lab.DayResult;
import rowanmoor.lab.DayRunner;
import rowanmoor.lab.EmulatorModels;
import rowanmoor.lab.Experiment;
import rowanmoor.lab.Fuzzer;
import rowanmoor.lab.ProxyBenchmark;
import rowanmoor.lab.SoakRunner;
import rowanmoor.net.Loop;
import rowanmoor.platform.PlatformServer;
import rowanmoor.proxy.Proxy;
import rowanmoor.proxy.ProxyConfig;
import rowanmoor.proxy.Tap;
import rowanmoor.proxy.TapFile;

/** Subcommands of the command line. Exit codes: 0 success, 1 failure, 2 invalid arguments. */
@Command(name = "rowanmoor", mixinStandardHelpOptions = true, version = "rowanmoor 0.2.0-SNAPSHOT",
        description = "Publishes routing tables to a fleet of proxies.",
        subcommands = {CommandLine.HelpCommand.class, CaptureCommands.class, PlanCommand.class})
public final class Commands {

    private static final double WARM_UP_REQUESTS_PER_SECOND = 2000;
    private static final double WARM_UP_SECONDS = 4;
    /** Longer than the maximum of {@code stop-within}, 1 h. */
    private static final int STOP_TIMEOUT_SECONDS = 3700;
    /** Time for the last messages to be sent before the loop stops. */
    private static final long FLUSH_NS = 200_000_000L;
    static final String LOG_LEVEL_PROPERTY = "rowanmoor.log.level";

    @Spec
    private CommandSpec spec;

    private Commands() { }

    static int run(String... args) {
        try {
            return commandLine().execute(args);
        } finally {
            stopLogging();
        }
    }

    /** Stops logging, which flushes the queue of the appender thread so that no last lines are lost. */
    private static void stopLogging() {
        if (org.slf4j.LoggerFactory.getILoggerFactory() instanceof ch.qos.logback.classic.LoggerContext log) {
            log.stop();
        }
    }

    static CommandLine commandLine() {
        return new CommandLine(new Commands()).registerConverter(Fuzzer.Target.class,
                Commands::parseTarget).setExecutionExceptionHandler((e, line, parsed) -> {
            // picocli wraps exceptions that are thrown by a command method.
            Throwable cause = e instanceof CommandLine.ExecutionException && e.getCause() != null
                    ? e.getCause() : e;
            line.getErr().println("rowanmoor: " + (cause instanceof ConfigException
                    || cause instanceof IOException
                    ? cause.getMessage() : cause.toString()));
            return 1;
        });
    }

    private static Fuzzer.Target parseTarget(String word) {
        for (Fuzzer.Target target : Fuzzer.Target.values()) {
            if (target.toString().equals(word)) {
                return target;
            }
        }
        throw new CommandLine.TypeConversionException("must be one of " + List.of(Fuzzer.Target.values()));
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    @Command(name = "benchlink", description = "Serves the bench's protocol on standard input and output.")
    int benchlink() {
        return Main.benchlink(System.in, System.out, System.err);
    }

    @Command(name = "serve",
            description = "Runs a controller of the platform with the configuration file in GW_CONFIG.")
    int serve() {
        return PlatformServer.run(System.getenv(), System.err);
    }

    @Command(name = "rehearse",
            description = "Serves simulated peers for a short time; the build records the loaded classes.")
    int rehearse() {
        return PlatformServer.rehearse(System.err);
    }

    @Command(name = "check", description = "Reads settings and day files and lists all problems.")
    int check(@Parameters(paramLabel = "FILE", arity = "1..*") List<Path> files) throws IOException {
        List<String> problems = new ArrayList<>();
        for (Path file : files) {
            try {
                String kind = checkFile(file);
                out().println(file + ": " + kind + ", nothing wrong");
            } catch (ConfigException e) {
                problems.addAll(e.problems());
            }
        }
        problems.forEach(spec.commandLine().getErr()::println);
        out().flush();
        return problems.isEmpty() ? 0 : 1;
    }

    private static String checkFile(Path file) throws ConfigException, IOException {
        Section root = Section.read(file);
        if (root.has("day")) {
            DayFile.read(file);
            return "a day";
        }
        if (root.has("controller")) {
            ControllerConfig.read(file);
            return "a controller";
        }
        if (root.has("proxy")) {
            ProxyConfig.read(file);
            return "a proxy";
        }
        if (root.has("experiment")) {
            Experiment.read(file);
            return "an experiment";
        }
        if (root.has("site")) {
            Site.of(root);
            root.rejectUnknownKeys();
            root.throwIfInvalid();
            return "a site";
        }
        throw new ConfigException(
                List.of(file + ":1:1: has no day, controller, proxy, experiment or site block"));
    }

    @Command(name = "controller", description = "Runs a controller until the process is stopped.")
    int controller(@Option(names = "--config", required = true, paramLabel = "FILE") Path file,
            @Option(names = "--seed", paramLabel = "SEED",
                    description = "seed for decisions; random by default") Long seed)
            throws ConfigException, IOException {
        ControllerConfig config = ControllerConfig.read(file);
        Loop loop = Loop.onSockets(Commands::logHandlerFailure);
        // Two starts of a controller must never share an epoch, so it combines the clock and random bits.
        long epoch = System.currentTimeMillis() << 20 | new SplittableRandom().nextInt(1 << 20);
        Controller controller = new Controller(config, loop, seed == null ? epoch : seed, epoch,
                System::currentTimeMillis);
        runUntilStopped(loop, whenDone -> {
            controller.stop();
            whenDone.run();
        }, controller::closeFiles);
        return 0;
    }

    @Command(name = "proxy",
            description = "Runs the proxies of a file on one event loop until the process is stopped.")
    int proxy(@Option(names = "--config", required = true, paramLabel = "FILE") Path file,
            @Option(names = "--seed", paramLabel = "SEED",
                    description = "seed for the choice of backends; random by default") Long seed,
            @Option(names = "--tap", paramLabel = "FILE",
                    description = "records the messages that are read from the channel") Path
                    tapFile) throws ConfigException, IOException {
        List<ProxyConfig> configs = ProxyConfig.read(file);
        Loop loop = Loop.onSockets(Commands::logHandlerFailure);
        SplittableRandom random = seed == null ? new SplittableRandom() : new SplittableRandom(seed);
        TapFile tap = tapFile == null ? null : new TapFile(tapFile);
        List<Proxy> proxies = new ArrayList<>();
        for (ProxyConfig config : configs) {
            Proxy proxy = Proxy.start(config, loop, random.split(), tap == null ? Tap.NONE : tap);
            proxies.add(proxy);
            out().println("proxy " + config.number() + " listens on " + proxy.address());
        }
        out().flush();
        runUntilStopped(loop, whenDone -> {
            int[] open = {proxies.size()};
            proxies.forEach(p -> p.stop(() -> {
                if (--open[0] == 0) {
                    whenDone.run();
                }
            }));
        }, tap == null ? () -> { } : tap);
        return 0;
    }

    private static void logHandlerFailure(Throwable cause) {
        org.slf4j.LoggerFactory.getLogger(Loop.class).error("a handler threw", cause);
    }

    /**
     * Runs an event loop on this thread until the process is asked to end. {@code stop} then starts the
     * shutdown and calls its argument when it is done; 0.2 s later, which lets the last messages be sent, the
     * loop stops and {@code files} is closed.
     */
    private static void runUntilStopped(Loop loop, Consumer<Runnable> stop, Closeable files)
            throws IOException {
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            loop.post(() -> stop.accept(() -> loop.after(FLUSH_NS, loop::stop)));
            try {
                ended.await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        loop.run();
        files.close();
        stopLogging(); // the process exits as soon as its shutdown hooks end
        ended.countDown();
    }

    @Command(name = "day",
            description = "Plays a day on stand-ins and judges it by the traffic on the sockets.")
    int day(@Parameters(paramLabel = "FILE", arity = "0..1") Path file,
            @Option(names = "--from-bench", paramLabel = "DAY.json",
                    description = "plays a day generated by the bench")
                    Path benchDay,
            @Option(names = "--scale", defaultValue = "0.3", paramLabel = "FRACTION",
                    description = "fraction of the bench day's fleet and rate, above 0 and up to 1;"
                            + " default ${DEFAULT-VALUE}") double scale,
            @Option(names = "--seed", paramLabel = "SEED", description = "replaces the seed of the file")
                    Long seed,
            @Option(names = "--report", paramLabel = "DIR",
                    description = "directory for tables, JSON lines and charts") Path report,
            @Option(names = "--simulated", description = "runs in memory and in simulated time")
                    boolean simulated)
            throws ConfigException, IOException, InterruptedException {
        // Controllers log to files; log lines of the proxies in this process would clutter the report.
        if (System.getProperty(LOG_LEVEL_PROPERTY) == null) {
            System.setProperty(LOG_LEVEL_PROPERTY, "OFF");
        }
        if ((file == null) == (benchDay == null) || !(scale > 0 && scale <= 1)) {
            throw new CommandLine.ParameterException(spec.commandLine(),
                    "day takes a FILE or --from-bench DAY.json, and --scale above 0 and up to 1");
        }
        Path directory = report == null ? Files.createTempDirectory("rowanmoor-day") : report;
        Files.createDirectories(directory);
        Path dayFile = file == null ? writeBenchDay(benchDay, scale, directory) : file;
        DayFile day = DayFile.read(dayFile);
        DayFile seeded = seed == null ? day : day.seed(seed);
        DayResult result = simulated ? DayRunner.simulate(seeded)
                : DayRunner.runOnSockets(seeded, dayFile, directory);
        out().print(DayReport.text(result));
        out().flush();
        if (report != null) {
            System.setProperty("java.awt.headless", "true");
            DayReport.write(result, report);
        }
        return result.passed() ? 0 : 1;
    }

    @Command(name = "soak",
            description = "Stops, kills and restarts proxy processes under load, as drawn from seeds.")
    int soak(@Option(names = "--seeds", defaultValue = "1..4", paramLabel = "A..B",
                    description = "range of seeds; default ${DEFAULT-VALUE}") String seeds,
            @Option(names = "--lanes", defaultValue = "2", paramLabel = "N",
                    description = "seeds run in parallel; default ${DEFAULT-VALUE}") int lanes,
            @Option(names = "--report", paramLabel = "DIR",
                    description = "directory for settings and logs") Path report)
            throws IOException, InterruptedException {
        if (!seeds.matches("\\d{1,9}\\.\\.\\d{1,9}") || lanes < 1) {
            throw new CommandLine.ParameterException(spec.commandLine(),
                    "soak takes --seeds A..B and --lanes of 1 or more");
        }
        String[] ends = seeds.split("\\.\\.");
        Path directory = report == null ? Files.createTempDirectory("rowanmoor-soak") : report;
        Files.createDirectories(directory);
        boolean passed = new SoakRunner(directory, line -> {
            out().println(line);
            out().flush();
        }).run(Long.parseLong(ends[0]), Long.parseLong(ends[1]), lanes);
        return passed ? 0 : 1;
    }

    @Command(name = "experiment",
            description = "Plays all combinations of fleets, mixes, rates and seeds, or searches for a rate.")
    int experiment(@Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--store", defaultValue = "results.mv", paramLabel = "FILE",
                    description = "file that keeps results for later runs; default ${DEFAULT-VALUE}")
                    Path store,
            @Option(names = "--report", paramLabel = "DIR",
                    description = "directory for CSV and a chart") Path report,
            @Option(names = "--live",
                    description = "runs stand-ins, proxies and controllers instead of the emulator")
                    boolean live)
            throws ConfigException, IOException {
        PrintWriter err = spec.commandLine().getErr();
        Consumer<String> progress = line -> {
            err.print("\r" + line);
            err.flush();
        };
        Experiment experiment = Experiment.read(file);
        if (live && System.getProperty(LOG_LEVEL_PROPERTY) == null) {
            System.setProperty(LOG_LEVEL_PROPERTY, "OFF");
        }
        Experiment.Grid grid = live
                ? experiment.runLive(store, Files.createTempDirectory("rowanmoor-live"), progress)
                : experiment.run(store, progress);
        err.println();
        out().print(Experiment.table(grid));
        out().flush();
        if (report != null) {
            System.setProperty("java.awt.headless", "true");
            Experiment.write(grid, report);
        }
        return 0;
    }

    @Command(name = "emulate",
            description = "Plays a day file in the emulator and prints the outcome for clients.")
    int emulate(@Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--seed", defaultValue = "1", paramLabel = "SEED",
                    description = "default ${DEFAULT-VALUE}") long seed) throws ConfigException {
        EmulatorModels.Conversion modelled = EmulatorModels.of(DayFile.read(file), seed);
        modelled.skippedTroubles().forEach(l -> out().println("left out: " + l));
        long start = System.nanoTime();
        Outcome outcome = Emulator.run(modelled.model(), seed);
        double seconds = (System.nanoTime() - start) / 1e9;
        double simulatedSeconds = (modelled.model().settleNs() + modelled.model().durationNs()) / 1e9;
        for (int c = 0; c < outcome.classes().size(); c++) {
            Outcome.ClassStats met = outcome.classes().get(c);
            out().printf("%-16s offered %d, good %d, late %d, failed %d; by level %d, no line %d;"
                    + " p50 %.1f ms, p99 %.1f ms%n", modelled.model().site().classNames().get(c),
                    met.offered, met.good, met.late, met.failed, met.rejectedByLevel, met.noBackend,
                    met.latency.getValueAtPercentile(50) / 1000.0,
                    met.latency.getValueAtPercentile(99) / 1000.0);
        }
        out().printf("service by worth %.3f, worst 10 s %.3f; most lines waiting %.0f;"
                + " held time off by %.1e%n",
                outcome.service(), outcome.worstService(10), outcome.controllers().stream().mapToDouble(m ->
                        m.maxQueuedLines).max().orElse(0), outcome.littlesLawError());
        out().printf("%d events, %.1f times as fast as the day%n", outcome.events(),
                simulatedSeconds / seconds);
        out().flush();
        return 0;
    }

    /** Converts a bench day to a day file and prints what of it cannot be played. */
    private Path writeBenchDay(Path benchDay, double scale, Path directory) throws IOException {
        BenchDayConverter.Conversion converted = BenchDayConverter.convert(benchDay, scale);
        Path file = directory.resolve("from-bench.kdl");
        Files.writeString(file, converted.text());
        out().println("day file: " + file);
        converted.skippedTroubles().forEach(l -> out().println("left out: " + l));
        out().flush();
        return file;
    }

    @Command(name = "fuzz",
            description = "Feeds mutants of valid inputs to a parser until it fails or the time is up.")
    int fuzz(@Parameters(paramLabel = "PARSER", description = "${COMPLETION-CANDIDATES}")
                    Fuzzer.Target target,
            @Option(names = "--seconds", defaultValue = "10", paramLabel = "SECONDS",
                    description = "length of the run; default ${DEFAULT-VALUE}") int seconds,
            @Option(names = "--seed", defaultValue = "1", paramLabel = "SEED",
                    description = "default ${DEFAULT-VALUE}") long seed) {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        Fuzzer.Result found = new Fuzzer(target, seed).run(Long.MAX_VALUE, () -> System.nanoTime() < end);
        out().printf("%s, seed %d: %d inputs, %d refused, at most %d bytes allocated for one%n", target, seed,
                found.inputs(), found.rejected(), found.maxAllocatedBytes());
        found.rejections().forEach((reason, count) -> out().printf("%10d  %s%n", count, reason));
        out().println(found.failure() == null ? "nothing found" : "FAILED: " + found.failure());
        out().flush();
        return found.failure() == null ? 0 : 1;
    }

    @Command(name = "proxy-load",
            description = "Measures the latency that a proxy adds to requests on loopback sockets.")
    int proxyLoad(@Option(names = "--lines", defaultValue = "16", split = ",", paramLabel = "N",
                    description = "lines in the proxy's table; default ${DEFAULT-VALUE}")
                    List<Integer> lines,
            @Option(names = "--rates", defaultValue = "1000,4000", split = ",", paramLabel = "RATE",
                    description = "requests per second; default ${DEFAULT-VALUE}") List<Double> rates,
            @Option(names = "--seconds", defaultValue = "5", paramLabel = "SECONDS",
                    description = "length of each step; default ${DEFAULT-VALUE}") double seconds,
            @Option(names = "--over-only", description = "sends requests through the proxy only")
                    boolean overOnly) throws IOException, ConfigException, InterruptedException {
        for (int count : lines) {
            ProxyBenchmark load = new ProxyBenchmark(count, !overOnly);
            load.step(WARM_UP_REQUESTS_PER_SECOND, WARM_UP_SECONDS); // lets the JIT compile; not reported
            for (double rate : rates) {
                out().println(load.step(rate, seconds));
                out().flush();
            }
            load.close();
            load.faults().forEach(f -> out().println("fault: " + f));
        }
        out().flush();
        return 0;
    }

    @Command(name = "replay",
            description = "Feeds a controller's trace to a new instance and compares the actions.")
    int replay(@Parameters(paramLabel = "TRACE") Path trace) throws IOException {
        Trace.ReplayResult replay = Trace.replay(trace);
        out().println(replay.ticks() + " ticks, " + replay.events() + " events, " + replay.actions()
                + " orders: " + (replay.difference() == null ? "the same" : replay.difference())
                + (replay.truncated() ? "; the last line is cut off" : ""));
        out().flush();
        return replay.difference() == null ? 0 : 1;
    }
}
