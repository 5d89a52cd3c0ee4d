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
import rowanmoor.lab.Experiment;
import rowanmoor.lab.Fuzzer;
import rowanmoor.lab.EmulatorModels;
import rowanmoor.lab.DayResult;
import rowanmoor.lab.DayRunner;
import rowanmoor.lab.ProxyBenchmark;
import rowanmoor.lab.DayReport;
import rowanmoor.lab.SoakRunner;
import rowanmoor.net.Loop;
import rowanmoor.platform.PlatformServer;
import rowanmoor.proxy.Proxy;
import rowanmoor.proxy.ProxyConfig;
import rowanmoor.proxy.Tap;
import rowanmoor.proxy.TapFile;

/** The command line's sub-commands. Exit codes: 0 well, 1 it failed, 2 the arguments are wrong. */
@Command(name = "rowanmoor", mixinStandardHelpOptions = true, version = "rowanmoor 0.2.0-SNAPSHOT",
        description = "Publishes routing tables to a fleet of plain proxies.",
        subcommands = {CommandLine.HelpCommand.class, CaptureCommands.class, PlanCommand.class})
public final class Commands {

    private static final double WARM_SECONDS = 4;
    private static final int STOP_SECONDS = 3700;
    static final String LOG_LEVEL = "rowanmoor.log.level";

    @Spec
    private CommandSpec spec;

    private Commands() { }

    static int run(String... args) {
        try {
            return commandLine().execute(args);
        } finally {
            endLog();
        }
    }

    /** What is logged is written by a thread of its own: its last lines must not be lost. */
    private static void endLog() {
        if (org.slf4j.LoggerFactory.getILoggerFactory() instanceof ch.qos.logback.classic.LoggerContext log) {
            log.stop();
        }
    }

    static CommandLine commandLine() {
        return new CommandLine(new Commands()).registerConverter(Fuzzer.Target.class,
                Commands::target).setExecutionExceptionHandler((e, line, parsed) -> {
            // What a command's method throws comes wrapped.
            Throwable cause = e instanceof CommandLine.ExecutionException && e.getCause() != null ? e
                    .getCause() : e;
            line.getErr().println("rowanmoor: " + (cause instanceof ConfigException
                    || cause instanceof IOException
                    ? cause.getMessage() : cause.toString()));
            return 1;
        });
    }

    private static Fuzzer.Target target(String word) {
        for (Fuzzer.Target target : Fuzzer.Target.values()) {
            if (target.toString().equals(word)) {
                return target;
            }
        }
        throw new CommandLine.TypeConversionException("there are " + List.of(Fuzzer.Target.values()));
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    @Command(name = "benchlink", description = "Decides on the bench's wire, on standard input and output.")
    int benchlink() {
        return Main.benchlink(System.in, System.out, System.err);
    }

    @Command(name = "serve", description = "Runs one controller of the platform, as GW_CONFIG says.")
    int serve() {
        return PlatformServer.run(System.getenv(), System.err);
    }

    @Command(name = "rehearse",
            description = "Serves invented peers for a moment; the build records what a start needs.")
    int rehearse() {
        return PlatformServer.rehearse(System.err);
    }

    @Command(name = "check", description = "Reads settings and days, and tells everything that is wrong.")
    int check(@Parameters(paramLabel = "FILE", arity = "1..*") List<Path> files) throws IOException {
        List<String> problems = new ArrayList<>();
        for (Path file : files) {
            try {
                String kind = checkOne(file);
                out().println(file + ": " + kind + ", nothing wrong");
            } catch (ConfigException e) {
                problems.addAll(e.problems());
            }
        }
        problems.forEach(spec.commandLine().getErr()::println);
        out().flush();
        return problems.isEmpty() ? 0 : 1;
    }

    private static String checkOne(Path file) throws ConfigException, IOException {
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
        throw new ConfigException(List.of(file + ":1:1: has no day, controller, proxy or site"));
    }

    @Command(name = "controller", description = "Runs a controller until it is stopped.")
    int controller(@Option(names = "--config", required = true, paramLabel = "FILE") Path file,
            @Option(names = "--seed", description = "seeds the decisions; drawn if left out") Long seed)
            throws ConfigException, IOException {
        ControllerConfig config = ControllerConfig.read(file);
        Loop loop = Loop.onSockets(Commands::onFault);
        // Two starts of one controller must never share an epoch: the clock and chance together see to it.
        long epoch = System.currentTimeMillis() << 20 | new SplittableRandom().nextInt(1 << 20);
        Controller controller = new Controller(config, loop, seed == null ? epoch : seed, epoch,
                System::currentTimeMillis);
        runUntilStopped(loop, then -> {
            controller.stop();
            then.run();
        }, controller::closeFiles);
        return 0;
    }

    @Command(name = "proxy", description = "Runs a file's proxies, on one loop, until they are stopped.")
    int proxy(@Option(names = "--config", required = true, paramLabel = "FILE") Path file,
            @Option(names = "--seed", description = "seeds their choices; drawn if left out") Long seed,
            @Option(names = "--tap", paramLabel = "FILE",
                    description = "keeps what is read of the channel") Path
                    taps) throws ConfigException, IOException {
        List<ProxyConfig> configs = ProxyConfig.read(file);
        Loop loop = Loop.onSockets(Commands::onFault);
        SplittableRandom random = seed == null ? new SplittableRandom() : new SplittableRandom(seed);
        TapFile tap = taps == null ? null : new TapFile(taps);
        List<Proxy> proxies = new ArrayList<>();
        for (ProxyConfig config : configs) {
            Proxy proxy = Proxy.start(config, loop, random.split(), tap == null ? Tap.NONE : tap);
            proxies.add(proxy);
            out().println("proxy " + config.number() + " listens on " + proxy.address());
        }
        out().flush();
        runUntilStopped(loop, then -> {
            int[] open = {proxies.size()};
            proxies.forEach(p -> p.stop(() -> {
                if (--open[0] == 0) {
                    then.run();
                }
            }));
        }, tap == null ? () -> { } : tap);
        return 0;
    }

    private static void onFault(Throwable cause) {
        org.slf4j.LoggerFactory.getLogger(Loop.class).error("a handler threw", cause);
    }

    /**
     * Runs a loop on this thread. When the process is asked to end, what stops it says when it is done; its
     * last words have a fifth of a second, then the loop ends and the last things are done.
     */
    private static void runUntilStopped(Loop loop, Consumer<Runnable> stop, Closeable last)
            throws IOException {
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            loop.post(() -> stop.accept(() -> loop.after(200_000_000L, loop::stop)));
            try {
                ended.await(STOP_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        loop.run();
        last.close();
        endLog(); // the process ends as soon as its hooks have
        ended.countDown();
    }

    @Command(name = "day",
            description = "Plays a day on stand-ins and judges it by what crossed the sockets.")
    int day(@Parameters(paramLabel = "FILE", arity = "0..1") Path file,
            @Option(names = "--from-bench", paramLabel = "DAY.json",
                    description = "plays a day drawn by the bench")
                    Path bench,
            @Option(names = "--scale", defaultValue = "0.3",
                    description = "part of that day's fleet and rate") double
                    scale,
            @Option(names = "--seed", description = "in place of the file's") Long seed,
            @Option(names = "--report", paramLabel = "DIR",
                    description = "keeps tables, JSON lines, charts") Path
                    report,
            @Option(names = "--simulated", description = "in memory and in simulated time") boolean simulated)
            throws ConfigException, IOException, InterruptedException {
        // Controllers' own lines go to files; what proxies here would log drowns the report.
        if (System.getProperty(LOG_LEVEL) == null) {
            System.setProperty(LOG_LEVEL, "OFF");
        }
        if ((file == null) == (bench == null) || !(scale > 0 && scale <= 1)) {
            throw new CommandLine.ParameterException(spec.commandLine(),
                    "day takes a FILE or --from-bench DAY.json, and --scale above 0 and up to 1");
        }
        Path directory = report == null ? Files.createTempDirectory("rowanmoor-day") : report;
        Files.createDirectories(directory);
        Path dayFile = file == null ? convert(bench, scale, directory) : file;
        DayFile day = DayFile.read(dayFile);
        DayFile seeded = seed == null ? day : day.seed(seed);
        DayResult played = simulated ? DayRunner.simulate(seeded) : DayRunner.runOnSockets(seeded, dayFile, directory);
        out().print(DayReport.text(played));
        out().flush();
        if (report != null) {
            System.setProperty("java.awt.headless", "true");
            DayReport.write(played, report);
        }
        return played.passed() ? 0 : 1;
    }

    @Command(name = "soak",
            description = "Stops, kills and starts real proxy processes under load, as seeds draw it.")
    int soak(@Option(names = "--seeds", defaultValue = "1..4", paramLabel = "A..B") String seeds,
            @Option(names = "--lanes", defaultValue = "2", description = "seeds at a time") int lanes,
            @Option(names = "--report", paramLabel = "DIR",
                    description = "keeps settings and logs") Path report)
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
        }).play(Long.parseLong(ends[0]), Long.parseLong(ends[1]), lanes);
        return passed ? 0 : 1;
    }

    @Command(name = "experiment",
            description = "Plays a grid of fleets, mixes, rates and seeds, or searches it.")
    int experiment(@Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--store", defaultValue = "results.mv",
                    description = "keeps results for reruns") Path
                    store,
            @Option(names = "--report", paramLabel = "DIR",
                    description = "writes CSV and a chart") Path report,
            @Option(names = "--live",
                    description = "on stand-ins, proxies and controllers that run here") boolean live)
            throws ConfigException, IOException {
        PrintWriter err = spec.commandLine().getErr();
        Consumer<String> progress = line -> {
            err.print("\r" + line);
            err.flush();
        };
        Experiment asked = Experiment.read(file);
        if (live && System.getProperty(LOG_LEVEL) == null) {
            System.setProperty(LOG_LEVEL, "OFF");
        }
        Experiment.Grid grid = live ? asked.runLive(store, Files.createTempDirectory("rowanmoor-live"),
                progress)
                : asked.run(store, progress);
        err.println();
        out().print(Experiment.table(grid));
        out().flush();
        if (report != null) {
            System.setProperty("java.awt.headless", "true");
            Experiment.write(grid, report);
        }
        return 0;
    }

    @Command(name = "emulate", description = "Plays a day file in the emulator and tells what clients met.")
    int emulate(@Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--seed", defaultValue = "1") long seed) throws ConfigException {
        EmulatorModels.Conversion modelled = EmulatorModels.of(DayFile.read(file), seed);
        modelled.skippedTroubles().forEach(l -> out().println("left out: " + l));
        long before = System.nanoTime();
        Outcome outcome = Emulator.run(modelled.model(), seed);
        double seconds = (System.nanoTime() - before) / 1e9;
        double simulated = (modelled.model().settleNs() + modelled.model().durationNs()) / 1e9;
        for (int c = 0; c < outcome.classes().size(); c++) {
            Outcome.ClassStats met = outcome.classes().get(c);
            out().printf("%-16s offered %d, good %d, late %d, failed %d; by level %d, no line %d;"
                    + " p50 %.1f ms, p99 %.1f ms%n", modelled.model().site().classNames().get(c),
                            met.offered, met.good,
                    met.late, met.failed, met.rejectedByLevel, met.noBackend,
                    met.latency.getValueAtPercentile(50) / 1000.0,
                            met.latency.getValueAtPercentile(99) / 1000.0);
        }
        out().printf("service by worth %.3f, worst 10 s %.3f; most lines waiting %.0f;"
                + " held time off by %.1e%n",
                outcome.service(), outcome.worstService(10), outcome.controllers().stream().mapToDouble(m ->
                        m.maxQueuedLines).max().orElse(0), outcome.littlesLawError());
        out().printf("%d events, %.1f times as fast as the day%n", outcome.events(), simulated / seconds);
        out().flush();
        return 0;
    }

    /** Writes the bench's day as a day file, and says what of it cannot be played. */
    private Path convert(Path bench, double scale, Path directory) throws IOException {
        BenchDayConverter.Conversion converted = BenchDayConverter.convert(bench, scale);
        Path file = directory.resolve("from-bench.kdl");
        Files.writeString(file, converted.text());
        out().println("day file: " + file);
        converted.skippedTroubles().forEach(l -> out().println("left out: " + l));
        out().flush();
        return file;
    }

    @Command(name = "fuzz",
            description = "Feeds a parser mutants of sound inputs, until it fails or time is up.")
    int fuzz(@Parameters(paramLabel = "PARSER", description = "${COMPLETION-CANDIDATES}") Fuzzer.Target target,
            @Option(names = "--seconds", defaultValue = "10") int seconds,
            @Option(names = "--seed", defaultValue = "1") long seed) {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        Fuzzer.Result found = new Fuzzer(target, seed).run(Long.MAX_VALUE, () -> System.nanoTime() < end);
        out().printf("%s, seed %d: %d inputs, %d refused, at most %d bytes allocated for one%n", target, seed,
                found.inputs(), found.rejected(), found.maxAllocatedBytes());
        found.rejections().forEach((why, times) -> out().printf("%10d  %s%n", times, why));
        out().println(found.failure() == null ? "nothing found" : "FAILED: " + found.failure());
        out().flush();
        return found.failure() == null ? 0 : 1;
    }

    @Command(name = "proxy-load",
            description = "Measures what a proxy adds, on loopback sockets, beside going straight.")
    int proxyLoad(@Option(names = "--lines", defaultValue = "16", split = ",") List<Integer> lines,
            @Option(names = "--rates", defaultValue = "1000,4000", split = ",") List<Double> rates,
            @Option(names = "--seconds", defaultValue = "5") double seconds,
            @Option(names = "--over-only", description = "nothing goes straight") boolean overOnly)
            throws IOException, ConfigException, InterruptedException {
        for (int count : lines) {
            ProxyBenchmark load = new ProxyBenchmark(count, !overOnly);
            load.step(2000, WARM_SECONDS); // compiles, and is not counted
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
            description = "Feeds a controller's trace to a new instance and compares orders.")
    int replay(@Parameters(paramLabel = "TRACE") Path trace) throws IOException {
        Trace.ReplayResult replay = Trace.replay(trace);
        out().println(replay.ticks() + " ticks, " + replay.events() + " events, " + replay.actions()
                + " orders: " + (replay.difference() == null ? "the same" : replay.difference())
                + (replay.truncated() ? "; the last line is cut off" : ""));
        out().flush();
        return replay.difference() == null ? 0 : 1;
    }
}
