package rowanmoor.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import rowanmoor.config.ControllerConfig;
import rowanmoor.controller.Controller;
import rowanmoor.emulator.Outcome;
import rowanmoor.net.Loop;
import rowanmoor.net.MemoryNet;

/** Runs controllers, with the code of the daemon, on loops of an in-memory network with a manual clock. */
final class ControllerLoops implements Controllers {

    private static final long NS_PER_MS = 1_000_000L;

    private final MemoryNet net;
    private final DayFile day;
    private final Consumer<Throwable> onFault;
    private final Map<Integer, Loop> running = new TreeMap<>();
    private final Map<Integer, Controller> latestByRank = new TreeMap<>();
    private long starts;

    ControllerLoops(MemoryNet net, DayFile day, Consumer<Throwable> onFault) {
        this.net = net;
        this.day = day;
        this.onFault = onFault;
    }

    @Override
    public void start(int rank, InetSocketAddress roster, StartListener listener) throws IOException {
        Loop loop = net.newLoop(onFault);
        running.put(rank, loop);
        long epoch = ++starts;
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        ControllerConfig config = new ControllerConfig(day.site(), rank, day.controllerZones().size(),
                day.controllerZones().get(rank), any, 5 * NS_PER_MS, 5000 * NS_PER_MS, 3000 * NS_PER_MS,
                65535, 1 << 20, roster, "backends", day.rosterWait(), day.emptyHold(), "/load",
                250 * NS_PER_MS, 16, null, null, 1000 * NS_PER_MS);
        Controller controller = new Controller(config, loop, day.seed() * 31 + epoch, epoch,
                () -> net.now() / NS_PER_MS);
        latestByRank.put(rank, controller);
        listener.started(rank, controller.address(), epoch);
    }

    @Override
    public void kill(int rank) {
        Loop loop = running.remove(rank);
        if (loop != null) {
            net.killLoop(loop);
        }
    }

    @Override
    public void setPaused(int rank, boolean paused) {
        if (running.containsKey(rank)) {
            net.setFrozen(running.get(rank), paused);
        }
    }

    @Override
    public List<Outcome.ControllerStats> totals() {
        List<Outcome.ControllerStats> all = new ArrayList<>();
        for (int rank = 0; rank < day.controllerZones().size(); rank++) {
            Outcome.ControllerStats met = new Outcome.ControllerStats();
            if (latestByRank.containsKey(rank)) {
                var driver = latestByRank.get(rank).driver();
                met.totalQueuedLines = driver.totalQueuedLines();
                met.maxQueuedLines = driver.maxQueuedLines();
                met.maxPendingReportLines = driver.maxPendingReportLines();
            }
            all.add(met);
        }
        return all;
    }

    @Override
    public void close() {
        Map.copyOf(running).keySet().forEach(this::kill);
    }
}
