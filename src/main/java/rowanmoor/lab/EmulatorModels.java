package rowanmoor.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import rowanmoor.emulator.Model;

/**
 * Converts a day file into a model for the emulator, and lists the troubles that the emulator does not
 * support.
 */
public final class EmulatorModels {

    private static final long NS_PER_MS = 1_000_000L;

    private EmulatorModels() { }

    /** A model, and one line for each trouble that was skipped. */
    public record Conversion(Model model, List<String> skippedTroubles) { }

    /** Converts the day with its troubles; the affected backends and proxies are drawn from the seed. */
    public static Conversion of(DayFile day, long seed) {
        int zones = day.site().zones().size();
        List<Model.BackendSpec> machines = new ArrayList<>();
        int number = 0;
        for (DayFile.BackendGroup group : day.groups()) {
            for (int i = 0; i < group.count(); i++) {
                int zone = group.zone() >= 0 ? group.zone() : number % zones;
                number++;
                var spec = group.spec();
                machines.add(new Model.BackendSpec(zone, group.kind(), group.weight(), spec.cores(),
                        spec.speed(), spec.slots(), spec.queueCapacity(), group.connections(),
                        spec.coldSpeedFraction(),
                        spec.warmUpNs()));
            }
        }
        Random random = new Random(day.seed() * 1_000_003 + 3);
        double[] weights = IntStream.range(0, day.proxies()).mapToDouble(i -> Math.exp(day.proxySkew()
                * random.nextGaussian())).toArray();
        int[] proxyZones = IntStream.range(0, day.proxies()).map(p -> p % zones).toArray();
        double[] cv = new double[day.shares().length];
        Arrays.fill(cv, 1);
        List<String> skipped = new ArrayList<>();
        List<Model.Fault> troubles = new ArrayList<>();
        Random affected = new Random(seed);
        for (Trouble t : day.troubles()) {
            Model.Fault converted = toFault(t, machines, proxyZones, affected);
            if (converted == null) {
                skipped.add(t.kind().configName() + ": the emulator does not play it");
            } else {
                troubles.add(converted);
            }
        }
        return new Conversion(new Model(day.site(), day.settle(), day.length(), day.rise(),
                day.controllerZones(),
                proxyZones,
                weights, List.copyOf(machines), day.notice(), NS_PER_MS / 5, NS_PER_MS, day.rate(),
                day.shares(), day.work(), cv, day.habits().maxRetries(), day.habits().backoffNs(),
                day.habits().tryTimeoutFraction(),
                List.copyOf(troubles)), List.copyOf(skipped));
    }

    private static Model.Fault toFault(Trouble t, List<Model.BackendSpec> machines, int[] proxyZones,
            Random random) {
        int[] all = IntStream.range(0, machines.size()).toArray();
        int[] zone = Arrays.stream(all).filter(b -> machines.get(b).zone() == t.zone()).toArray();
        int[] proxies = IntStream.range(0, proxyZones.length).toArray();
        return switch (t.kind()) {
            case CRASH -> newFault(Model.FaultKind.BACKENDS_DIE, t, sample(all, t.part(), random));
            case ZONE_LOSS -> newFault(Model.FaultKind.BACKENDS_DIE, t, zone);
            case SLOW -> newFault(Model.FaultKind.BACKENDS_SLOW, t, sample(all, t.part(), random));
            case FAST_ERRORS -> newFault(Model.FaultKind.BACKENDS_FAIL, t, sample(all, t.part(), random));
            case DRAIN -> newFault(Model.FaultKind.BACKENDS_DRAIN, t, sample(zone, t.part(), random));
            case CONTROLLER_KILL -> newFault(Model.FaultKind.CONTROLLER_DIES, t, new int[] {t.controller()});
            case ROSTER_DOWN -> newFault(Model.FaultKind.ROSTER_DOWN, t, new int[0]);
            case PROXIES_CUT -> newFault(Model.FaultKind.PROXIES_CUT, t, sample(proxies, t.part(), random));
            case BURST -> newFault(Model.FaultKind.BURST, t, new int[0]);
            default -> null;
        };
    }

    private static Model.Fault newFault(Model.FaultKind kind, Trouble t, int[] affected) {
        return new Model.Fault(kind, t.at(), t.length(), affected, t.size());
    }

    private static int[] sample(int[] all, double part, Random random) {
        List<Integer> shuffled = new ArrayList<>(Arrays.stream(all).boxed().toList());
        java.util.Collections.shuffle(shuffled, random);
        return shuffled.stream().limit(Math.max(1,
                Math.round(part * all.length))).mapToInt(i -> i).sorted().toArray();
    }
}
