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
 * Names the resource that limited a run. Admission levels and late answers are consequences; the diagnosis
 * looks for the resource at its limit. A hard limit that rejected requests ranks before busy cores, a class
 * with few eligible backends before a fleet with spare capacity, and a saturated channel before the uneven
 * load that it causes.
 */
public final class Diagnosis {

    /** Fraction of tries rejected at a location from which its limit counts as reached. */
    private static final double REJECTED_FRACTION_LIMIT = 0.01;
    /** Utilization from which cores are at their limit: queues grow without bound near 1. */
    private static final double UTILIZATION_LIMIT = 0.9;
    /** Up to this utilization cores have spare capacity. */
    private static final double SPARE_UTILIZATION = 0.7;
    /** From this utilization cores have no spare capacity. */
    private static final double NO_SPARE_UTILIZATION = 0.8;
    /** Utilization over the mean from which load counts as uneven. */
    private static final double UNEVEN_RATIO = 1.25;

    private Diagnosis() { }

    /** All resources by pressure, the highest first; at 1 or above a resource was at its limit. */
    public static List<Finding> of(Model model, Outcome outcome) {
        List<Finding> all = new ArrayList<>();
        double loadSeconds = model.durationNs() / 1e9;
        TreeMap<String, List<Integer>> groups = new TreeMap<>();
        for (int b = 0; b < model.backends().size(); b++) {
            Model.BackendSpec m = model.backends().get(b);
            groups.computeIfAbsent(model.site().kinds().get(m.kind()) + " in " + model.site().zones().get(m
                    .zone()),
                    g -> new ArrayList<>()).add(b);
        }
        double fleetBusy = meanUtilization(outcome, groups.values().stream().flatMap(List::stream).toList());
        groups.forEach((location, members) -> {
            double busy = meanUtilization(outcome, members);
            double tries = members.stream().mapToDouble(b -> tryCount(outcome, b)).sum();
            double rejected = members.stream().mapToDouble(b -> outcome.backends().get(b).rejectedFull).sum();
            double refused = members.stream().mapToDouble(b -> outcome.backends().get(b).refusedConnections)
                    .sum();
            all.add(new Finding(Finding.Resource.CORES, location, busy / UTILIZATION_LIMIT,
                    text("%.0f%% of core time in use", 100 * busy)));
            // With at least as many slots as cores, a backend is full only because its cores are busy.
            // Rejections then count against the cores, unless these were idle much of the time and only
            // bursts filled it.
            boolean slotsUseCores = members.stream().map(model.backends()::get)
                    .allMatch(m -> m.slots() >= m.cores());
            double spare = Math.max(0, Math.min(1, (NO_SPARE_UTILIZATION - busy)
                    / (NO_SPARE_UTILIZATION - SPARE_UTILIZATION)));
            double rejectionWeight = slotsUseCores ? spare : 1;
            double fullFraction = tries == 0 ? 0 : rejected / tries;
            double refusedFraction = tries == 0 ? 0 : refused / tries;
            all.add(new Finding(Finding.Resource.WAITING_ROOM, location,
                    fullFraction / REJECTED_FRACTION_LIMIT * rejectionWeight,
                    text("%.2f%% of tries turned away as full; %.0f%% of core time in use",
                    100 * fullFraction, 100 * busy)));
            all.add(new Finding(Finding.Resource.CONNECTIONS, location,
                    refusedFraction / REJECTED_FRACTION_LIMIT * spare,
                    text("%.2f%% of tries found no connection; %.0f%% of core time in use",
                    100 * refusedFraction, 100 * busy)));
        });
        addConfinedClasses(model, outcome, fleetBusy, all);
        addControllers(model, outcome, loadSeconds, groups, all);
        all.sort(Comparator.comparingDouble((Finding f) -> -f.pressure()));
        return all;
    }

    private static double tryCount(Outcome outcome, int b) {
        Outcome.BackendStats stats = outcome.backends().get(b);
        return stats.served + stats.rejectedFull + stats.refusedConnections;
    }

    private static double meanUtilization(Outcome outcome, List<Integer> members) {
        return members.stream().mapToDouble(b -> outcome.backends().get(b).utilization).average().orElse(0);
    }

    /** Classes that only some backends may serve and that fail while other backends have spare capacity. */
    private static void addConfinedClasses(Model model, Outcome outcome, double fleetBusy,
            List<Finding> all) {
        for (int c = 0; c < model.classShares().length; c++) {
            ClassSpec spec = model.site().classes().get(c);
            if (!spec.restricted()) {
                continue;
            }
            List<Integer> eligible = new ArrayList<>();
            for (int b = 0; b < model.backends().size(); b++) {
                Model.BackendSpec m = model.backends().get(b);
                if ((spec.onlyZones().isEmpty() || spec.onlyZones().contains(m.zone()))
                        && (spec.onlyKinds().isEmpty() || spec.onlyKinds().contains(m.kind()))) {
                    eligible.add(b);
                }
            }
            double busy = meanUtilization(outcome, eligible);
            double busiest = eligible.stream().mapToDouble(b -> outcome.backends().get(b).utilization).max()
                    .orElse(0);
            boolean othersHaveCapacity = busy > UNEVEN_RATIO * fleetBusy;
            double tries = eligible.stream().mapToDouble(b -> tryCount(outcome, b)).sum();
            double rejected = eligible.stream().mapToDouble(b -> outcome.backends().get(b).rejectedFull)
                    .sum();
            boolean slotsUseCores = eligible.stream().map(model.backends()::get)
                    .allMatch(m -> m.slots() >= m.cores());
            // Ranked just above its backends' cores and, with at least as many slots as cores, their queues:
            // while other backends have spare capacity those are the same shortage seen from the other side.
            double spare = tries == 0 || !slotsUseCores ? 0 : rejected / tries / REJECTED_FRACTION_LIMIT;
            all.add(new Finding(Finding.Resource.CONFINED_CLASS, model.site().classNames().get(c),
                    othersHaveCapacity ? Math.max(busiest / UTILIZATION_LIMIT, spare) * 1.05 : 0,
                            text("%d of %d backends are open to it, %.0f%% busy;"
                            + " the fleet %.0f%%", eligible.size(), model.backends().size(), 100 * busy,
                            100 * fleetBusy)));
        }
    }

    private static void addControllers(Model model, Outcome outcome, double loadSeconds, TreeMap<String,
            List<Integer>> groups,
            List<Finding> all) {
        double seconds = loadSeconds + model.settleNs() / 1e9;
        for (int c = 0; c < outcome.controllers().size(); c++) {
            Outcome.ControllerStats stats = outcome.controllers().get(c);
            double used = stats.totalQueuedLines / (model.site().channel().linesPerSecond() * seconds);
            double busiest = outcome.backends().stream().mapToDouble(b -> b.utilization).max().orElse(0);
            double mean = outcome.backends().stream().mapToDouble(b -> b.utilization).average().orElse(0);
            boolean uneven = busiest > UNEVEN_RATIO * mean;
            all.add(new Finding(Finding.Resource.CHANNEL, "controller " + c,
                    used > UTILIZATION_LIMIT && uneven ? 1 + used : used,
                    text("%.0f%% of its pace used; the busiest backend %.0f%%, the mean %.0f%%", 100 * used,
                            100 * busiest, 100 * mean)));
            double queue = stats.maxQueuedLines / model.site().channel().maxBacklog();
            all.add(new Finding(Finding.Resource.QUEUE_RULE, "controller " + c,
                    queue > 1 ? 10 * queue : 0.9 * queue, text("%.0f of %.0f lines waited",
                    stats.maxQueuedLines, model.site().channel().maxBacklog())));
            double cycle = model.site().reportLinesPerSecond() * model.site().reportIntervalNs() / 1e9;
            all.add(new Finding(Finding.Resource.INTAKE, "controller " + c,
                    stats.maxPendingReportLines / cycle / 10, text(
                    "%d report lines waited, %.0f are told a period", stats.maxPendingReportLines, cycle)));
        }
    }

    private static String text(String format, Object... arguments) {
        return String.format(Locale.ROOT, format, arguments);
    }
}
