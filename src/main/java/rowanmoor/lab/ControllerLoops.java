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

/** Controllers on loops of a network in memory: the daemon's own code, on a manual clock. */
final class ControllerLoops implements Controllers {

    private static final long MILLI = 1_000_000L;

    private final MemoryNet net;
    private final DayFile day;
    private final Consumer<Throwable> onFault;
    private final Map<Integer, Loop> running = new TreeMap<>();
    private final Map<Integer, Controller> newest = new TreeMap<>();
    private long starts;

    ControllerLoops(MemoryNet net, DayFile day, Consumer<Throwable> onFault) {
        this.net = net;
        this.day = day;
        this.onFault = onFault;
    }

    @Override
    public void start(int rank, InetSocketAddress roster, Up up) throws IOException {
        Loop loop = net.newLoop(onFault);
        running.put(rank, loop);
        long epoch = ++starts;
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        ControllerConfig config = new ControllerConfig(day.site(), rank, day.controllerZones().size(),
                day.controllerZones().get(rank), any, 5 * MILLI, 5000 * MILLI, 3000 * MILLI, 65535, 1 << 20,
                roster, "backends", day.rosterWait(), day.emptyHold(), "/load", 250 * MILLI, 16, null, null,
                1000 * MILLI);
        Controller controller = new Controller(config, loop, day.seed() * 31 + epoch, epoch,
                () -> net.now() / MILLI);
        newest.put(rank, controller);
        up.up(rank, controller.address(), epoch);
    }

    @Override
    public void kill(int rank) {
        Loop loop = running.remove(rank);
        if (loop != null) {
            net.killLoop(loop);
        }
    }

    @Override
    public void stall(int rank, boolean on) {
        if (running.containsKey(rank)) {
            net.setFrozen(running.get(rank), on);
        }
    }

    @Override
    public List<Outcome.ControllerStats> met() {
        List<Outcome.ControllerStats> all = new ArrayList<>();
        for (int rank = 0; rank < day.controllerZones().size(); rank++) {
            Outcome.ControllerStats met = new Outcome.ControllerStats();
            if (newest.containsKey(rank)) {
                var driver = newest.get(rank).driver();
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
