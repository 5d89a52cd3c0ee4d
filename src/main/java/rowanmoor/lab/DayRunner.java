package rowanmoor.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiFunction;
import java.util.function.Function;
import rowanmoor.emulator.Outcome;
import rowanmoor.net.Loop;
import rowanmoor.net.MemoryNet;
import rowanmoor.proxy.Router;
import rowanmoor.standin.Clients;

/** Runs days: on loopback sockets with child processes, or simulated on an in-memory network. */
public final class DayRunner {

    private static final long NS_PER_MS = 1_000_000L;
    private static final long NS_PER_SECOND = 1000 * NS_PER_MS;
    private static final long DRAIN_TIME_NS = 2 * NS_PER_SECOND;
    private static final long SIMULATED_START_NS = 1_000_000 * NS_PER_SECOND;

    private DayRunner() { }

    private static Router router(ProxyLoops.RouterParts parts) {
        return new Router(parts.site(), parts.standing(), parts.random(), parts.now());
    }

    /**
     * A fault that is put into a run on purpose, for the rule checker to detect.
     *
     * @param controllersDay the day that the controllers are configured by
     * @param controllerWrapper wraps the controllers, to stand between them and the proxies
     */
    record Mutant(DayFile controllersDay, Function<ProxyLoops.RouterParts, Router> routers,
            BiFunction<Loop, Controllers, Controllers> controllerWrapper) {

        static Mutant none(DayFile day) {
            return new Mutant(day, DayRunner::router, (loop, controllers) -> controllers);
        }
    }

    /** Runs a day on an in-memory network; the same day and seed always give the same bytes. */
    public static DayResult simulate(DayFile day) throws IOException {
        return simulate(day, Mutant.none(day));
    }

    static DayResult simulate(DayFile day, Mutant mutant) throws IOException {
        List<String> faults = new ArrayList<>();
        MemoryNet net = new MemoryNet(SIMULATED_START_NS, day.seed());
        Loop mainLoop = net.newLoop(e -> faults.add(e.toString()));
        Controllers controllers = mutant.controllerWrapper().apply(mainLoop, new ControllerLoops(net,
                mutant.controllersDay(), e -> faults.add(e.toString())));
        TestBed testBed = new TestBed(day, mainLoop, mainLoop, new ProxyLoops(mainLoop, mutant.routers()),
                controllers,
                () -> net.now() / NS_PER_MS);
        long end = testBed.start() + day.length();
        net.runUntil(end, () -> false);
        net.runUntil(end + 60 * NS_PER_SECOND, testBed::isDone);
        net.runFor(DRAIN_TIME_NS);
        List<Outcome.ControllerStats> met = controllers.totals();
        controllers.close();
        return result(day, testBed, net.now(), List.of(), met, faults);
    }

    /** Runs a day on loopback sockets in real time; the files of the run go into the directory. */
    public static DayResult runOnSockets(DayFile day, Path file, Path directory) throws IOException,
            InterruptedException {
        List<String> faults = Collections.synchronizedList(new ArrayList<>());
        Loop mainLoop = Loop.onSockets(e -> faults.add(e.toString()));
        Loop clientLoop = Loop.onSockets(e -> faults.add(e.toString()));
        ProxyProcesses proxies = new ProxyProcesses(file, directory);
        ControllerProcesses controllers = new ControllerProcesses(day, file, directory);
        try {
            TestBed testBed = new TestBed(day, mainLoop, clientLoop, proxies, controllers,
                    System::currentTimeMillis);
            List<Loop> loops = List.of(mainLoop, clientLoop);
            List<Thread> threads = new ArrayList<>();
            for (Loop loop : loops) {
                Thread thread = new Thread(loop, "loop-" + threads.size());
                threads.add(thread);
                thread.start();
            }
            awaitEnd(day, testBed, clientLoop);
            long end = mainLoop.now();
            proxies.close();
            loops.forEach(Loop::stop);
            for (Thread thread : threads) {
                thread.join();
            }
            controllers.close();
            return result(day, testBed, end, controllers.stats(), controllers.totals(), faults);
        } finally {
            proxies.close();
            controllers.close();
        }
    }

    private static void awaitEnd(DayFile day, TestBed testBed, Loop clientLoop) throws InterruptedException {
        long latest = testBed.start() + day.length() + 60 * NS_PER_SECOND;
        AtomicBoolean done = new AtomicBoolean();
        while (!done.get() && clientLoop.now() < latest) {
            Thread.sleep(100);
            clientLoop.post(() -> done.set(testBed.isDone()));
        }
        Thread.sleep(DRAIN_TIME_NS / NS_PER_MS);
    }

    /** The run as an emulator outcome, from the counts of clients, backends and controllers. */
    private static Outcome outcome(DayFile day, TestBed testBed, List<Outcome.ControllerStats> controllers) {
        int seconds = (int) (day.length() / NS_PER_SECOND) + 1;
        double[] good = new double[seconds];
        double[] offered = new double[seconds];
        for (Clients.RequestOutcome o : testBed.clients().outcomes()) {
            var spec = day.site().classes().get(o.cls());
            int second = (int) Math.max(0, Math.min(seconds - 1, (o.arrivedAt() - testBed.start())
                    / NS_PER_SECOND));
            offered[second] += spec.worth();
            good[second] += !o.answered() ? 0 : o.latencyNs() <= spec.aim() ? spec.worth()
                    : spec.worth() * spec.lateWorth();
        }
        List<Outcome.ClassStats> classes = new ArrayList<>();
        for (Clients.ClassStats met : testBed.clients().classStats()) {
            Outcome.ClassStats totals = new Outcome.ClassStats();
            totals.offered = met.offered;
            totals.good = met.good;
            totals.late = met.late;
            totals.failed = met.failed;
            totals.tries = met.tries;
            classes.add(totals);
        }
        return new Outcome(classes, testBed.backendTotals(), controllers, good, offered, 0, 0);
    }

    private static DayResult result(DayFile day, TestBed testBed, long end,
            List<com.fasterxml.jackson.databind.JsonNode> stats, List<Outcome.ControllerStats> controllers,
            List<String> faults) throws IOException {
        Evidence evidence = testBed.evidence(end);
        RuleChecker checker = new RuleChecker(evidence);
        return new DayResult(day, evidence, checker.verdicts(), testBed.clients().classStats(),
                testBed.clients().outcomes(), checker.changeLatenciesMs(),
                testBed.worstColdOverload(), stats, List.copyOf(faults), outcome(day, testBed, controllers));
    }
}
