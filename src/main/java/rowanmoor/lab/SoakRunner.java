package rowanmoor.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** Runs seeds of {@link SoakRun}, several at a time, and reports one line for each. */
public final class SoakRunner {

    private static final long STARTUP_TARGET_MS = 10_000;
    private static final double STARTUP_TARGET_FRACTION = 0.9;

    private final Path directory;
    private final Consumer<String> out;

    /** @param directory for the settings and logs of the processes */
    public SoakRunner(Path directory, Consumer<String> out) {
        this.directory = directory;
        this.out = out;
    }

    /** Runs the seeds from first to last, both included; returns whether all passed. */
    public boolean run(long first, long last, int lanes) throws InterruptedException {
        return run(first, last, lanes, SoakRun.StopMode.STOP);
    }

    boolean run(long first, long last, int lanes, SoakRun.StopMode stopMode) throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(lanes);
        List<Future<SoakRun.Result>> runs = new ArrayList<>();
        for (long seed = first; seed <= last; seed++) {
            SoakRun run = new SoakRun(seed, directory, stopMode);
            runs.add(pool.submit(run::run));
        }
        pool.shutdown();
        List<Long> startups = new ArrayList<>();
        int failed = 0;
        for (int i = 0; i < runs.size(); i++) {
            failed += reportRun(first + i, runs.get(i), startups) ? 0 : 1;
        }
        long onTarget = startups.stream().filter(millis -> millis <= STARTUP_TARGET_MS).count();
        boolean startsOnTarget = onTarget >= STARTUP_TARGET_FRACTION * startups.size();
        out.accept(runs.size() - failed + " of " + runs.size() + " seeds passed; " + onTarget + " of "
                + startups.size() + " starts ready within 10 s, the longest after "
                + (startups.isEmpty() ? 0 : Collections.max(startups)) + " ms");
        return failed == 0 && startsOnTarget;
    }

    private boolean reportRun(long seed, Future<SoakRun.Result> run, List<Long> startups)
            throws InterruptedException {
        List<String> failures;
        String figures = "";
        try {
            SoakRun.Result result = run.get();
            startups.addAll(result.startupMillis());
            failures = result.failures();
            figures = result.answered() + " answered, " + result.refused() + " refused, " + result.excused()
                    + " lost to a kill";
        } catch (ExecutionException e) {
            failures = List.of(e.getCause() instanceof IOException ? e.getCause().getMessage()
                    : String.valueOf(e.getCause()));
        }
        out.accept("seed " + seed + ": " + (failures.isEmpty() ? "passed, " : "FAILED, ") + figures);
        failures.forEach(failure -> out.accept("  " + failure));
        if (!failures.isEmpty()) {
            out.accept("  again: ./rowanmoor soak --seeds " + seed + ".." + seed);
        }
        return failures.isEmpty();
    }
}
