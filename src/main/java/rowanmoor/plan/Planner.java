package rowanmoor.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import rowanmoor.emulator.Model;
import rowanmoor.emulator.Outcome;

/**
 * Searches for the breaking rate, the fleet size and the impact of losses. All assume that service falls with
 * load and rises with the number of backends. Variants are compared on the same seeds (common random
 * numbers), and the result of a search is validated on other seeds.
 */
public final class Planner {

    /**
     * The rate at which the goal starts to fail.
     *
     * @param rate the breaking rate over the seeds, without samples if the goal never failed
     * @param findings the resources under pressure at that rate, the highest pressure first
     * @param service service at that rate
     * @param runs simulations that the search took
     * @param note why there is no breaking rate, or empty
     */
    public record BreakingPoint(Interval rate, List<Finding> findings, double service, int runs,
            String note) { }

    /**
     * The fewest backends that meet the goal.
     *
     * @param count -1 if no number meets the goal; {@code note} then says why
     * @param service mean service on the seeds of the search
     * @param validationService mean service on other seeds
     * @param runs simulations that the search took
     */
    public record FleetSize(int count, double service, double validationService, int runs, String note) { }

    /**
     * The impact of one loss.
     *
     * @param before service before the loss
     * @param during service while it lasts
     * @param worstService service over the worst ten seconds
     * @param recoverySeconds time from its end until service is back, or -1 if it never is
     * @param metastable whether service stays low although the loss is over (metastable failure)
     * @param queueFraction longest queue of lines to the proxies over its limit
     * @param serviceBySecond service by second, each averaged over three seconds
     */
    public record LossImpact(String name, double before, double during, double worstService,
            double recoverySeconds, boolean metastable, double queueFraction, double[] serviceBySecond) { }

    /** Service at one rate. */
    public record CurvePoint(double rate, Interval service) { }

    private static final double RATE_PRECISION = 0.02;
    private static final int MAX_DOUBLINGS = 12;
    /** A run with fewer requests has a service that is mostly chance. */
    private static final double MIN_MEASURABLE_REQUESTS = 300;
    private static final int MAX_BACKENDS = 4096;
    private static final double[] CURVE_RATE_FACTORS = {0.5, 0.7, 0.8, 0.9, 0.95, 1, 1.05, 1.1, 1.2, 1.4};
    private static final double RECOVERED_FRACTION = 0.95;
    private static final long NS_PER_SECOND = 1_000_000_000L;

    private final Goal goal;
    private final SimulationRunner simulator;
    private final int seedCount;
    private int runCount;

    /**
     * A planner for one goal.
     *
     * @param seedCount number of seeds that each question is simulated with, 1 or more
     */
    public Planner(Goal goal, SimulationRunner simulator, int seedCount) {
        this.goal = goal;
        this.simulator = simulator;
        this.seedCount = seedCount;
    }

    private List<Outcome> run(Model model, List<Long> seeds) {
        runCount += seeds.size();
        return simulator.run(model, seeds);
    }

    private List<Long> searchSeeds() {
        return LongStream.rangeClosed(1, seedCount).boxed().toList();
    }

    private List<Long> validationSeeds() {
        return LongStream.rangeClosed(1001, 1000 + seedCount).boxed().toList();
    }

    // ---- what breaks first ---------------------------------------------------------------------------

    /** Searches for the rate at which the goal fails, with the class mix unchanged. */
    public BreakingPoint findBreakingPoint(Model model) {
        runCount = 0;
        if (!(model.capacity() > 0) || !(model.meanWorkSeconds() > 0)) {
            return new BreakingPoint(Interval.of(List.of()), List.of(), 1, 0,
                    "nothing is asked for or there is no fleet");
        }
        double capacityRate = model.capacity() / model.meanWorkSeconds();
        List<Double> rates = new ArrayList<>();
        List<Finding> findings = List.of();
        double serviceAtBreak = 1;
        for (long seed : searchSeeds()) {
            double metRate = 0;
            double failedRate = capacityRate;
            int doublings = 0;
            while (goalMet(model.withRequestsPerSecond(failedRate), seed)) {
                metRate = failedRate;
                failedRate *= 2;
                if (++doublings > MAX_DOUBLINGS) {
                    return new BreakingPoint(Interval.of(List.of()), List.of(), 1, runCount,
                            "the goal holds at every rate tried, up to " + Math.round(failedRate) + "/s");
                }
            }
            while (failedRate - metRate > RATE_PRECISION * failedRate) {
                double middle = (metRate + failedRate) / 2;
                if (goalMet(model.withRequestsPerSecond(middle), seed)) {
                    metRate = middle;
                } else {
                    failedRate = middle;
                }
                if (metRate == 0 && failedRate * model.durationNs() / NS_PER_SECOND
                        < MIN_MEASURABLE_REQUESTS) {
                    Outcome at = run(model.withRequestsPerSecond(failedRate), List.of(seed)).get(0);
                    return new BreakingPoint(new Interval(0, 0, 0, 1),
                            Diagnosis.of(model.withRequestsPerSecond(failedRate), at), at.service(), runCount,
                            "the goal fails at any rate");
                }
            }
            rates.add((metRate + failedRate) / 2);
            if (findings.isEmpty()) {
                Outcome at = run(model.withRequestsPerSecond(failedRate), List.of(seed)).get(0);
                findings = Diagnosis.of(model.withRequestsPerSecond(failedRate), at);
                serviceAtBreak = at.service();
            }
        }
        return new BreakingPoint(Interval.of(rates), findings, serviceAtBreak, runCount, "");
    }

    /** Service at several rates around the one at which the goal fails. */
    public List<CurvePoint> serviceCurve(Model model, double around) {
        List<CurvePoint> points = new ArrayList<>();
        for (double factor : CURVE_RATE_FACTORS) {
            points.add(new CurvePoint(factor * around, Interval.of(
                    run(model.withRequestsPerSecond(factor * around), searchSeeds()).stream()
                    .map(Outcome::service).toList())));
        }
        return points;
    }

    private boolean goalMet(Model model, long seed) {
        return goal.isMet(run(model, List.of(seed)).get(0));
    }

    // ---- how many ------------------------------------------------------------------------------------

    /**
     * Searches for the fewest backends that meet the goal at the model's rate, in the present proportions of
     * kinds and zones.
     *
     * @param losses sets of faults, under each of which the goal must also be met; may be empty
     */
    public FleetSize findFleetSize(Model model, List<java.util.function.Function<Model,
            List<Model.Fault>>> losses) {
        runCount = 0;
        if (model.requestsPerSecond() <= 0) {
            return new FleetSize(0, 1, 1, 0, "nothing is asked for");
        }
        int now = model.backends().size();
        int low = 0;
        int high = Math.max(1, (int) Math.ceil(now * model.requestsPerSecond() * model.meanWorkSeconds()
                / model.capacity()));
        double before = -1;
        while (!goalMetWithLosses(withBackendCount(model, high), losses, searchSeeds())) {
            double service = meanService(withBackendCount(model, high), searchSeeds());
            // If more backends do not improve service, the limit is elsewhere.
            if (high >= MAX_BACKENDS || before >= 0 && service < before + 0.001 && high > 4 * now) {
                return new FleetSize(-1, service, 0, runCount,
                        explainUnreachable(withBackendCount(model, high), losses));
            }
            before = service;
            low = high;
            high = high * 2;
        }
        while (high - low > 1) {
            int middle = (low + high) / 2;
            if (goalMetWithLosses(withBackendCount(model, middle), losses, searchSeeds())) {
                high = middle;
            } else {
                low = middle;
            }
        }
        // The search is fitted to its seeds, so its result must also meet the goal on others.
        while (!goalMetWithLosses(withBackendCount(model, high), losses, validationSeeds())
                && high < MAX_BACKENDS) {
            high++;
        }
        return new FleetSize(high, meanService(withBackendCount(model, high), searchSeeds()),
                meanService(withBackendCount(model, high), validationSeeds()), runCount, "");
    }

    /**
     * Explains why more backends do not help: another resource is short, or a loss costs too much before it
     * is detected.
     */
    private String explainUnreachable(Model model, List<java.util.function.Function<Model,
            List<Model.Fault>>> losses) {
        Outcome at = run(model, searchSeeds().subList(0, 1)).get(0);
        String begin = "no number of backends does: with " + model.backends().size();
        if (goal.isMet(at) && !losses.isEmpty()) {
            double worst = losses.stream().mapToDouble(l ->
                    meanService(model.withFaults(l.apply(model)), searchSeeds())).min().orElse(0);
            return String.format(Locale.ROOT,
                    "%s service is %.3f while nothing is lost, but %.3f over a run in which a"
                    + " loss is met: what is lost until it is noticed costs more than the goal allows", begin,
                    at.service(), worst);
        }
        Finding first = Diagnosis.of(model, at).get(0);
        return String.format(Locale.ROOT, "%s service is %.3f; hardest pressed are %s (%s)", begin,
                at.service(), first.resource(), first.evidence());
    }

    private boolean goalMetWithLosses(Model model, List<java.util.function.Function<Model,
            List<Model.Fault>>> losses, List<Long> seeds) {
        if (!run(model, seeds).stream().allMatch(goal::isMet)) {
            return false;
        }
        return losses.stream().allMatch(l -> run(model.withFaults(l.apply(model)), seeds).stream()
                .allMatch(goal::isMet));
    }

    private double meanService(Model model, List<Long> seeds) {
        return run(model, seeds).stream().mapToDouble(Outcome::service).average().orElse(0);
    }

    /** The model with this many backends, with kinds and zones in nearly the same proportions. */
    public static Model withBackendCount(Model model, int count) {
        List<Model.BackendSpec> backends = new ArrayList<>();
        int present = model.backends().size();
        for (int i = 0; i < count; i++) {
            backends.add(model.backends().get((int) ((long) i * present / count)));
        }
        return model.withBackends(backends);
    }

    // ---- what a loss does ----------------------------------------------------------------------------

    /**
     * Simulates the loss of each zone, each controller, the roster and a third of the proxies, one at a time.
     *
     * @param at start of the loss from the start of the load, nanoseconds
     * @param length duration of the loss, nanoseconds
     */
    public List<LossImpact> evaluateLosses(Model model, long at, long length) {
        List<LossImpact> all = new ArrayList<>();
        for (int z = 0; z < model.site().zones().size(); z++) {
            int[] targets = backendsInZone(model, z);
            if (targets.length > 0) {
                all.add(evaluateLoss("zone " + model.site().zones().get(z), model, new Model.Fault(
                        Model.FaultKind.BACKENDS_DIE, at, length, targets, 1)));
            }
        }
        for (int c = 0; c < model.controllerZones().size(); c++) {
            all.add(evaluateLoss("controller " + c, model,
                    new Model.Fault(Model.FaultKind.CONTROLLER_DIES, at, length, new int[] {c}, 1)));
        }
        all.add(evaluateLoss("roster", model, new Model.Fault(Model.FaultKind.ROSTER_DOWN, at, length,
                new int[0], 1)));
        int[] third = IntStream.range(0, model.proxyZones().length).filter(p -> p % 3 == 0).toArray();
        all.add(evaluateLoss("a third of the proxies cut off", model,
                new Model.Fault(Model.FaultKind.PROXIES_CUT, at, length, third, 1)));
        return all;
    }

    /** The numbers of a zone's backends. */
    public static int[] backendsInZone(Model model, int zone) {
        return IntStream.range(0, model.backends().size()).filter(b -> model.backends().get(b).zone() == zone)
                .toArray();
    }

    private LossImpact evaluateLoss(String name, Model model, Model.Fault fault) {
        Outcome o = run(model.withFaults(List.of(fault)), searchSeeds().subList(0, 1)).get(0);
        int from = (int) (fault.startNs() / NS_PER_SECOND);
        int to = (int) ((fault.startNs() + fault.durationNs()) / NS_PER_SECOND);
        int end = (int) (model.durationNs() / NS_PER_SECOND);
        double before = serviceBetween(o, 0, from);
        double recovery = -1;
        for (int s = to; s + 3 <= end && recovery < 0; s++) {
            recovery = serviceBetween(o, s, s + 3) >= RECOVERED_FRACTION * before ? s - to : -1;
        }
        double last = serviceBetween(o, Math.max(to, end - 10), end);
        double queue = o.controllers().stream().mapToDouble(c -> c.maxQueuedLines).max().orElse(0)
                / model.site().channel().maxBacklog();
        return new LossImpact(name, before, serviceBetween(o, from, to), o.worstService(10), recovery,
                last < RECOVERED_FRACTION * before, queue, smoothedServiceBySecond(o, end));
    }

    /** Service by second, each averaged over three seconds. */
    private static double[] smoothedServiceBySecond(Outcome o, int end) {
        double[] all = new double[end];
        Arrays.setAll(all, s -> serviceBetween(o, Math.max(0, s - 1), Math.min(end, s + 2)));
        return all;
    }

    private static double serviceBetween(Outcome o, int from, int to) {
        double good = Arrays.stream(o.goodBySecond(), from, Math.min(to, o.goodBySecond().length)).sum();
        double offered = Arrays.stream(o.offeredBySecond(), from, Math.min(to, o.offeredBySecond().length))
                .sum();
        return offered == 0 ? 1 : good / offered;
    }

    // ---- what would change the answer ----------------------------------------------------------------

    /** Relative change of the breaking rate when one input at a time is raised, most by a fifth. */
    public List<Sensitivity> sensitivity(Model model, double rate) {
        List<Sensitivity> all = new ArrayList<>();
        all.add(measureSensitivity("a fifth more work in each request", model, rate,
                m -> withClients(m, scaled(m.workSeconds(), 1.2), m.workCv(), m.maxClientRetries())));
        all.add(measureSensitivity("a fifth more spread of work", model, rate,
                m -> withClients(m, m.workSeconds(), scaled(m.workCv(), 1.2), m.maxClientRetries())));
        all.add(measureSensitivity("one more retry of clients", model, rate,
                m -> withClients(m, m.workSeconds(), m.workCv(), m.maxClientRetries() + 1)));
        all.add(measureSensitivity("a fifth more waiting room", model, rate,
                m -> m.withBackends(m.backends().stream().map(x ->
                new Model.BackendSpec(x.zone(), x.kind(), x.weight(), x.cores(), x.speed(), x.slots(),
                (int) Math.ceil(x.queueCapacity() * 1.2), x.maxConnections(), x.coldSpeedFraction(),
                x.warmUpNs())).toList())));
        all.sort((x, y) -> Double.compare(Math.abs(y.relativeChange()), Math.abs(x.relativeChange())));
        return all;
    }

    /** Relative change of the breaking rate with one input. */
    public record Sensitivity(String input, double relativeChange) { }

    private Sensitivity measureSensitivity(String input, Model model, double rate,
            java.util.function.UnaryOperator<Model> change) {
        Planner planner = new Planner(goal, simulator, 1);
        BreakingPoint moved = planner.findBreakingPoint(change.apply(model));
        return new Sensitivity(input, moved.rate().sampleCount() == 0 ? 0 : moved.rate().mean() / rate - 1);
    }

    private static double[] scaled(double[] values, double factor) {
        return Arrays.stream(values).map(v -> v * factor).toArray();
    }

    private static Model withClients(Model m, double[] work, double[] cv, int retries) {
        return new Model(m.site(), m.settleNs(), m.durationNs(), m.rampNs(), m.controllerZones(),
                m.proxyZones(), m.proxyWeights(), m.backends(), m.rosterDelayNs(), m.sameZoneDelayNs(),
                m.crossZoneDelayNs(), m.requestsPerSecond(), m.classShares(), work, cv, retries,
                m.retryBackoffNs(), m.tryTimeoutFraction(), m.faults());
    }
}
