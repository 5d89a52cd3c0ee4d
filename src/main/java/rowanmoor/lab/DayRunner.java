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

/** Plays days: on sockets with controllers in processes of their own, or simulated. */
public final class DayRunner {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1000 * MILLI;
    private static final long AFTERWARDS = 2 * SECOND;
    private static final long SIMULATED_START = 1_000_000 * SECOND;

    private DayRunner() { }

    private static Router router(ProxyLoops.RouterParts parts) {
        return new Router(parts.site(), parts.standing(), parts.random(), parts.now());
    }

    /**
     * What a mutant changes.
     *
     * @param controllersDay the day by which controllers are set up
     * @param between what stands between controllers and proxies
     */
    record Mutant(DayFile controllersDay, Function<ProxyLoops.RouterParts, Router> routers,
            BiFunction<Loop, Controllers, Controllers> between) {

        static Mutant none(DayFile day) {
            return new Mutant(day, DayRunner::router, (loop, controllers) -> controllers);
        }
    }

    /** Plays a day on a network in memory; the same day and seed always give the same bytes. */
    public static DayResult simulate(DayFile day) throws IOException {
        return simulate(day, Mutant.none(day));
    }

    static DayResult simulate(DayFile day, Mutant mutant) throws IOException {
        List<String> faults = new ArrayList<>();
        MemoryNet net = new MemoryNet(SIMULATED_START, day.seed());
        Loop stage = net.newLoop(e -> faults.add(e.toString()));
        Controllers controllers = mutant.between().apply(stage, new ControllerLoops(net,
                mutant.controllersDay(), e -> faults.add(e.toString())));
        Ground ground = new Ground(day, stage, stage, new ProxyLoops(stage, mutant.routers()), controllers,
                () -> net.now() / MILLI);
        long end = ground.start() + day.length();
        net.runUntil(end, () -> false);
        net.runUntil(end + 60 * SECOND, ground::done);
        net.runFor(AFTERWARDS);
        List<Outcome.ControllerStats> met = controllers.met();
        controllers.close();
        return played(day, ground, net.now(), List.of(), met, faults);
    }

    /** Plays a day on loopback sockets in real time. */
    public static DayResult runOnSockets(DayFile day, Path file, Path directory) throws IOException,
            InterruptedException {
        List<String> faults = Collections.synchronizedList(new ArrayList<>());
        Loop stage = Loop.onSockets(e -> faults.add(e.toString()));
        Loop clientLoop = Loop.onSockets(e -> faults.add(e.toString()));
        ProxyProcesses proxies = new ProxyProcesses(file, directory);
        ControllerProcesses controllers = new ControllerProcesses(day, file, directory);
        try {
            Ground ground = new Ground(day, stage, clientLoop, proxies, controllers,
                    System::currentTimeMillis);
            List<Loop> loops = List.of(stage, clientLoop);
            List<Thread> threads = new ArrayList<>();
            for (Loop loop : loops) {
                Thread thread = new Thread(loop, "loop-" + threads.size());
                threads.add(thread);
                thread.start();
            }
            awaitEnd(day, ground, clientLoop);
            long end = stage.now();
            proxies.close();
            loops.forEach(Loop::stop);
            for (Thread thread : threads) {
                thread.join();
            }
            controllers.close();
            return played(day, ground, end, controllers.stats(), controllers.met(), faults);
        } finally {
            proxies.close();
            controllers.close();
        }
    }

    private static void awaitEnd(DayFile day, Ground ground, Loop clientLoop) throws InterruptedException {
        long latest = ground.start() + day.length() + 60 * SECOND;
        AtomicBoolean done = new AtomicBoolean();
        while (!done.get() && clientLoop.now() < latest) {
            Thread.sleep(100);
            clientLoop.post(() -> done.set(ground.done()));
        }
        Thread.sleep(AFTERWARDS / MILLI);
    }

    /** The run in the emulator's terms, from what clients, backends and controllers counted. */
    private static Outcome seen(DayFile day, Ground ground, List<Outcome.ControllerStats> controllers) {
        int seconds = (int) (day.length() / SECOND) + 1;
        double[] good = new double[seconds];
        double[] asked = new double[seconds];
        for (Clients.RequestOutcome o : ground.clients().outcomes()) {
            var spec = day.site().classes().get(o.cls());
            int second = (int) Math.max(0, Math.min(seconds - 1, (o.arrivedAt() - ground.start()) / SECOND));
            asked[second] += spec.worth();
            good[second] += !o.answered() ? 0 : o.latencyNs() <= spec.aim() ? spec.worth()
                    : spec.worth() * spec.lateWorth();
        }
        List<Outcome.ClassStats> classes = new ArrayList<>();
        for (Clients.ClassStats met : ground.clients().classStats()) {
            Outcome.ClassStats its = new Outcome.ClassStats();
            its.offered = met.offered;
            its.good = met.good;
            its.late = met.late;
            its.failed = met.failed;
            its.tries = met.tries;
            classes.add(its);
        }
        return new Outcome(classes, ground.backendsMet(), controllers, good, asked, 0, 0);
    }

    private static DayResult played(DayFile day, Ground ground, long end,
            List<com.fasterxml.jackson.databind.JsonNode> stats, List<Outcome.ControllerStats> controllers,
            List<String> faults) throws IOException {
        Evidence evidence = ground.evidence(end);
        RuleChecker judge = new RuleChecker(evidence);
        return new DayResult(day, evidence, judge.verdicts(), ground.clients().classStats(),
                ground.clients().outcomes(),
                judge.changeToAppliedMillis(), ground.worstPush(), stats, List.copyOf(faults),
                seen(day, ground, controllers));
    }
}
