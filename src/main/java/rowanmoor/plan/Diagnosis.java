package rowanmoor.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import rowanmoor.ControlApi.ClassSpec;
import rowanmoor.emulator.Model;
import rowanmoor.emulator.Outcome;

/**
 * Says which resource a run was short of. Levels and late answers are consequences: what counts is what
 * was at its limit. A hard limit that turned requests away comes before cores that are merely busy; a
 * class with few backends comes before the fleet that has room; a channel that could not keep up comes
 * before the unevenness it leaves.
 */
public final class Diagnosis {

    /** Part of tries turned away at a place, from which its limit is reached. */
    private static final double TURNED_AWAY = 0.01;
    /** Part of cores' time in use, from which cores are at their limit: queues grow without bound near 1. */
    private static final double BUSY = 0.9;
    /** Up to this part of cores' time in use there is room to spare in them; from the other there is none. */
    private static final double ROOMY = 0.7;
    private static final double IN_USE = 0.8;
    private static final double UNEVEN = 1.25;

    private Diagnosis() { }

    /** All resources by pressure, the hardest pressed first; at 1 or above a resource was at its limit. */
    public static List<Finding> of(Model model, Outcome outcome) {
        List<Finding> all = new ArrayList<>();
        double span = model.durationNs() / 1e9;
        TreeMap<String, List<Integer>> groups = new TreeMap<>();
        for (int b = 0; b < model.backends().size(); b++) {
            Model.BackendSpec m = model.backends().get(b);
            groups.computeIfAbsent(model.site().kinds().get(m.kind()) + " in " + model.site().zones().get(m
                    .zone()),
                    g -> new ArrayList<>()).add(b);
        }
        double fleetBusy = mean(outcome, groups.values().stream().flatMap(List::stream).toList());
        groups.forEach((place, members) -> {
            double busy = mean(outcome, members);
            double tries = members.stream().mapToDouble(b -> tries(outcome, b)).sum();
            double full = members.stream().mapToDouble(b -> outcome.backends().get(b).rejectedFull).sum();
            double none = members.stream().mapToDouble(b -> outcome.backends().get(b).refusedConnections).sum();
            all.add(new Finding(Finding.Resource.CORES, place, busy / BUSY, text("%.0f%% of core time in use",
                    100 * busy)));
            // Where slots keep all cores in use, a backend is only ever full because they are: refusals are
            // the cores' own, unless cores were idle for much of the time and bursts alone filled it.
            boolean slotsUseCores = members.stream().map(model.backends()::get)
                    .allMatch(m -> m.slots() >= m.cores());
            double room = Math.max(0, Math.min(1, (IN_USE - busy) / (IN_USE - ROOMY)));
            double damp = slotsUseCores ? room : 1;
            double fullPart = tries == 0 ? 0 : full / tries;
            double nonePart = tries == 0 ? 0 : none / tries;
            all.add(new Finding(Finding.Resource.WAITING_ROOM, place, fullPart / TURNED_AWAY * damp,
                    text("%.2f%% of tries turned away as full; %.0f%% of core time in use", 100 * fullPart,
                            100 * busy)));
            all.add(new Finding(Finding.Resource.CONNECTIONS, place, nonePart / TURNED_AWAY * room,
                    text("%.2f%% of tries found no connection; %.0f%% of core time in use", 100 * nonePart,
                            100 * busy)));
        });
        confined(model, outcome, fleetBusy, all);
        channel(model, outcome, span, groups, all);
        all.sort(Comparator.comparingDouble((Finding f) -> -f.pressure()));
        return all;
    }

    private static double tries(Outcome outcome, int b) {
        Outcome.BackendStats met = outcome.backends().get(b);
        return met.served + met.rejectedFull + met.refusedConnections;
    }

    private static double mean(Outcome outcome, List<Integer> members) {
        return members.stream().mapToDouble(b -> outcome.backends().get(b).utilization).average().orElse(0);
    }

    /** A class that only some backends may serve, and that fails while the others have room. */
    private static void confined(Model model, Outcome outcome, double fleetBusy,
            List<Finding> all) {
        for (int c = 0; c < model.classShares().length; c++) {
            ClassSpec spec = model.site().classes().get(c);
            if (!spec.restricted()) {
                continue;
            }
            List<Integer> open = new ArrayList<>();
            for (int b = 0; b < model.backends().size(); b++) {
                Model.BackendSpec m = model.backends().get(b);
                if ((spec.onlyZones().isEmpty() || spec.onlyZones().contains(m.zone()))
                        && (spec.onlyKinds().isEmpty() || spec.onlyKinds().contains(m.kind()))) {
                    open.add(b);
                }
            }
            double busy = mean(outcome, open);
            double busiest = open.stream().mapToDouble(b -> outcome.backends().get(b).utilization).max()
                    .orElse(0);
            boolean othersHaveRoom = busy > UNEVEN * fleetBusy;
            double tries = open.stream().mapToDouble(b -> tries(outcome, b)).sum();
            double full = open.stream().mapToDouble(b -> outcome.backends().get(b).rejectedFull).sum();
            boolean slotsUseCores = open.stream().map(model.backends()::get)
                    .allMatch(m -> m.slots() >= m.cores());
            // Just above its backends' cores and, where slots use those, their waiting rooms: while others
            // have room it is the same shortage seen from the other side.
            double room = tries == 0 || !slotsUseCores ? 0 : full / tries / TURNED_AWAY;
            all.add(new Finding(Finding.Resource.CONFINED_CLASS, model.site().classNames().get(c),
                    othersHaveRoom ? Math.max(busiest / BUSY, room) * 1.05 : 0,
                            text("%d of %d backends are open to it, %.0f%% busy;"
                            + " the fleet %.0f%%", open.size(), model.backends().size(), 100 * busy,
                            100 * fleetBusy)));
        }
    }

    private static void channel(Model model, Outcome outcome, double span, TreeMap<String,
            List<Integer>> groups,
            List<Finding> all) {
        double seconds = span + model.settleNs() / 1e9;
        for (int c = 0; c < outcome.controllers().size(); c++) {
            Outcome.ControllerStats met = outcome.controllers().get(c);
            double used = met.totalQueuedLines / (model.site().channel().linesPerSecond() * seconds);
            double busiest = outcome.backends().stream().mapToDouble(b -> b.utilization).max().orElse(0);
            double mean = outcome.backends().stream().mapToDouble(b -> b.utilization).average().orElse(0);
            boolean uneven = busiest > UNEVEN * mean;
            all.add(new Finding(Finding.Resource.CHANNEL, "controller " + c,
                    used > BUSY && uneven ? 1 + used : used,
                    text("%.0f%% of its pace used; the busiest backend %.0f%%, the mean %.0f%%", 100 * used,
                            100 * busiest, 100 * mean)));
            double queue = met.maxQueuedLines / model.site().channel().maxBacklog();
            all.add(new Finding(Finding.Resource.QUEUE_RULE, "controller " + c,
                    queue > 1 ? 10 * queue : 0.9 * queue,
                    text("%.0f of %.0f lines waited", met.maxQueuedLines, model.site().channel().maxBacklog())));
            double cycle = model.site().reportLinesPerSecond() * model.site().reportIntervalNs() / 1e9;
            all.add(new Finding(Finding.Resource.INTAKE, "controller " + c, met.maxPendingReportLines / cycle / 10,
                    text("%d report lines waited, %.0f are told a period", met.maxPendingReportLines, cycle)));
        }
    }

    private static String text(String format, Object... arguments) {
        return String.format(Locale.ROOT, format, arguments);
    }
}
