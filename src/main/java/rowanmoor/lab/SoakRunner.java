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

/** Plays seeds of {@link SoakRun}, so many at a time, and tells a line for each. */
public final class SoakRunner {

    private static final long READY_SOON_MS = 10_000;
    private static final double SOON_PART = 0.9;

    private final Path directory;
    private final Consumer<String> out;

    /** @param directory keeps settings and logs of the processes */
    public SoakRunner(Path directory, Consumer<String> out) {
        this.directory = directory;
        this.out = out;
    }

    /** Plays the seeds from one to another, both included; true if all passed. */
    public boolean play(long first, long last, int lanes) throws InterruptedException {
        return play(first, last, lanes, SoakRun.Ending.STOP);
    }

    boolean play(long first, long last, int lanes, SoakRun.Ending stop) throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(lanes);
        List<Future<SoakRun.Result>> runs = new ArrayList<>();
        for (long seed = first; seed <= last; seed++) {
            SoakRun run = new SoakRun(seed, directory, stop);
            runs.add(pool.submit(run::play));
        }
        pool.shutdown();
        List<Long> ready = new ArrayList<>();
        int failed = 0;
        for (int i = 0; i < runs.size(); i++) {
            failed += tell(first + i, runs.get(i), ready) ? 0 : 1;
        }
        long soon = ready.stream().filter(millis -> millis <= READY_SOON_MS).count();
        boolean readySoon = soon >= SOON_PART * ready.size();
        out.accept(runs.size() - failed + " of " + runs.size() + " seeds passed; " + soon + " of "
                + ready.size() + " starts ready within 10 s, the longest after "
                + (ready.isEmpty() ? 0 : Collections.max(ready)) + " ms");
        return failed == 0 && readySoon;
    }

    private boolean tell(long seed, Future<SoakRun.Result> run, List<Long> ready)
            throws InterruptedException {
        List<String> failures;
        String figures = "";
        try {
            SoakRun.Result result = run.get();
            ready.addAll(result.readyMillis());
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
