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
 * The planner's searches. All rest on monotonicity: more load never serves better, more backends never worse;
 * variants are compared on the same seeds (common random numbers), and what a search found is tried on
 * seeds that it did not see.
 */
public final class Planner {

    /**
     * The rate at which the goal fails first, and what was short then; {@code rate} is infinite if
     * nothing fails.
     */
    public record BreakingPoint(Interval rate, List<Finding> findings, double service, int runs, String note) { }

    /** Fewest backends; {@code count} is -1 if no number reaches the goal, and {@code note} says why. */
    public record FleetSize(int count, double service, double validationService, int runs, String note) { }

    /**
     * What one loss does.
     *
     * @param during service while it lasts
     * @param recovery seconds after its end until service is back, or -1 if it never is
     * @param jammed whether service stays down although the trouble is gone
     */
    public record LossImpact(String name, double before, double during, double worstService, double recoverySeconds,
            boolean metastable,
            double queueFraction, double[] serviceBySecond) { }

    /** Service at a rate. */
    public record CurvePoint(double rate, Interval service) { }

    private static final double PRECISION = 0.02;
    private static final int DOUBLINGS_MOST = 12;
    /** Requests in a run below which its service is mostly chance. */
    private static final double MEASURABLE = 300;
    private static final int BACKENDS_MOST = 4096;
    private static final double[] CURVE = {0.5, 0.7, 0.8, 0.9, 0.95, 1, 1.05, 1.1, 1.2, 1.4};
    private static final double RECOVERED = 0.95;
    private static final long SECOND = 1_000_000_000L;

    private final Goal goal;
    private final SimulationRunner runs;
    private final int seeds;
    private int played;

    /** @param seeds how many seeds each question is asked on, 1 or more */
    public Planner(Goal goal, SimulationRunner runs, int seeds) {
        this.goal = goal;
        this.runs = runs;
        this.seeds = seeds;
    }

    private List<Outcome> play(Model model, List<Long> which) {
        played += which.size();
        return runs.run(model, which);
    }

    private List<Long> seen() {
        return LongStream.rangeClosed(1, seeds).boxed().toList();
    }

    private List<Long> fresh() {
        return LongStream.rangeClosed(1001, 1000 + seeds).boxed().toList();
    }

    // ---- what breaks first ---------------------------------------------------------------------------

    /** Raises the load, mix as it is, until the goal fails. */
    public BreakingPoint findBreakingPoint(Model model) {
        played = 0;
        if (!(model.capacity() > 0) || !(model.meanWorkSeconds() > 0)) {
            return new BreakingPoint(Interval.of(List.of()), List.of(), 1, 0,
                    "nothing is asked for or there is no fleet");
        }
        double full = model.capacity() / model.meanWorkSeconds();
        List<Double> rates = new ArrayList<>();
        List<Finding> findings = List.of();
        double serviceAt = 1;
        for (long seed : seen()) {
            double held = 0;
            double broken = full;
            int doublings = 0;
            while (kept(model.withRequestsPerSecond(broken), seed)) {
                held = broken;
                broken *= 2;
                if (++doublings > DOUBLINGS_MOST) {
                    return new BreakingPoint(Interval.of(List.of()), List.of(), 1, played,
                            "the goal holds at every rate tried, up to " + Math.round(broken) + "/s");
                }
            }
            while (broken - held > PRECISION * broken) {
                double middle = (held + broken) / 2;
                if (kept(model.withRequestsPerSecond(middle), seed)) {
                    held = middle;
                } else {
                    broken = middle;
                }
                if (held == 0 && broken * model.durationNs() / SECOND < MEASURABLE) {
                    Outcome at = play(model.withRequestsPerSecond(broken), List.of(seed)).get(0);
                    return new BreakingPoint(new Interval(0, 0, 0, 1), Diagnosis.of(model.withRequestsPerSecond(broken), at),
                            at.service(),
                            played, "the goal fails at any rate");
                }
            }
            rates.add((held + broken) / 2);
            if (findings.isEmpty()) {
                Outcome at = play(model.withRequestsPerSecond(broken), List.of(seed)).get(0);
                findings = Diagnosis.of(model.withRequestsPerSecond(broken), at);
                serviceAt = at.service();
            }
        }
        return new BreakingPoint(Interval.of(rates), findings, serviceAt, played, "");
    }

    /** Service at rates about one at which the goal fails. */
    public List<CurvePoint> serviceCurve(Model model, double around) {
        List<CurvePoint> points = new ArrayList<>();
        for (double part : CURVE) {
            points.add(new CurvePoint(part * around, Interval.of(play(model.withRequestsPerSecond(part * around), seen()).stream()
                    .map(Outcome::service).toList())));
        }
        return points;
    }

    private boolean kept(Model model, long seed) {
        return goal.isMet(play(model, List.of(seed)).get(0));
    }

    // ---- how many ------------------------------------------------------------------------------------

    /**
     * Fewest backends that hold the model's rate, dealt over kinds and zones as they are now.
     *
     * @param lost troubles under each of which the goal must hold too; may be empty
     */
    public FleetSize findFleetSize(Model model, List<java.util.function.Function<Model, List<Model.Fault>>> lost) {
        played = 0;
        if (model.requestsPerSecond() <= 0) {
            return new FleetSize(0, 1, 1, 0, "nothing is asked for");
        }
        int now = model.backends().size();
        int low = 0;
        int high = Math.max(1, (int) Math.ceil(now * model.requestsPerSecond() * model.meanWorkSeconds() / model.capacity()));
        double before = -1;
        while (!holds(sized(model, high), lost, seen())) {
            double service = mean(sized(model, high), seen());
            // More backends that serve no better will not do: the limit is elsewhere.
            if (high >= BACKENDS_MOST || before >= 0 && service < before + 0.001 && high > 4 * now) {
                return new FleetSize(-1, service, 0, played, whyNone(sized(model, high), lost));
            }
            before = service;
            low = high;
            high = high * 2;
        }
        while (high - low > 1) {
            int middle = (low + high) / 2;
            if (holds(sized(model, middle), lost, seen())) {
                high = middle;
            } else {
                low = middle;
            }
        }
        // The search has fitted itself to its seeds: what it found must hold on others.
        while (!holds(sized(model, high), lost, fresh()) && high < BACKENDS_MOST) {
            high++;
        }
        return new FleetSize(high, mean(sized(model, high), seen()), mean(sized(model, high), fresh()), played,
                "");
    }

    /**
     * Why more backends do not help: a shortage elsewhere, or a loss that costs too much while it is
     * noticed.
     */
    private String whyNone(Model model, List<java.util.function.Function<Model, List<Model.Fault>>> lost) {
        Outcome at = play(model, seen().subList(0, 1)).get(0);
        String begin = "no number of backends does: with " + model.backends().size();
        if (goal.isMet(at) && !lost.isEmpty()) {
            double worst = lost.stream().mapToDouble(l -> mean(model.withFaults(l.apply(model)), seen())).min()
                    .orElse(0);
            return String.format(Locale.ROOT,
                    "%s service is %.3f while nothing is lost, but %.3f over a run in which a"
                    + " loss is met: what is lost until it is noticed costs more than the goal allows", begin,
                    at.service(), worst);
        }
        Finding first = Diagnosis.of(model, at).get(0);
        return String.format(Locale.ROOT, "%s service is %.3f; hardest pressed are %s (%s)", begin,
                at.service(),
                first.resource(), first.evidence());
    }

    private boolean holds(Model model, List<java.util.function.Function<Model, List<Model.Fault>>> lost,
            List<Long> which) {
        if (!play(model, which).stream().allMatch(goal::isMet)) {
            return false;
        }
        return lost.stream().allMatch(l -> play(model.withFaults(l.apply(model)), which).stream()
                .allMatch(goal::isMet));
    }

    private double mean(Model model, List<Long> which) {
        return play(model, which).stream().mapToDouble(Outcome::service).average().orElse(0);
    }

    /** So many backends, the kinds and zones in the same proportions as far as whole numbers allow. */
    public static Model sized(Model model, int count) {
        List<Model.BackendSpec> machines = new ArrayList<>();
        int have = model.backends().size();
        for (int i = 0; i < count; i++) {
            machines.add(model.backends().get((int) ((long) i * have / count)));
        }
        return model.withBackends(machines);
    }

    // ---- what a loss does ----------------------------------------------------------------------------

    /** Each zone, each controller, the roster and a third of the proxies, one at a time. */
    public List<LossImpact> evaluateLosses(Model model, long at, long length) {
        List<LossImpact> all = new ArrayList<>();
        for (int z = 0; z < model.site().zones().size(); z++) {
            int[] struck = backendsInZone(model, z);
            if (struck.length > 0) {
                all.add(loss("zone " + model.site().zones().get(z), model, new Model.Fault(
                        Model.FaultKind.BACKENDS_DIE, at, length, struck, 1)));
            }
        }
        for (int c = 0; c < model.controllerZones().size(); c++) {
            all.add(loss("controller " + c, model, new Model.Fault(Model.FaultKind.CONTROLLER_DIES, at, length,
                    new int[] {c}, 1)));
        }
        all.add(loss("roster", model, new Model.Fault(Model.FaultKind.ROSTER_DOWN, at, length, new int[0], 1)));
        int[] third = IntStream.range(0, model.proxyZones().length).filter(p -> p % 3 == 0).toArray();
        all.add(loss("a third of the proxies cut off", model, new Model.Fault(Model.FaultKind.PROXIES_CUT, at,
                length,
                third, 1)));
        return all;
    }

    /** The backends of a zone, by place. */
    public static int[] backendsInZone(Model model, int zone) {
        return IntStream.range(0, model.backends().size()).filter(b -> model.backends().get(b).zone() == zone)
                .toArray();
    }

    private LossImpact loss(String what, Model model, Model.Fault trouble) {
        Outcome o = play(model.withFaults(List.of(trouble)), seen().subList(0, 1)).get(0);
        int from = (int) (trouble.startNs() / SECOND);
        int to = (int) ((trouble.startNs() + trouble.durationNs()) / SECOND);
        int end = (int) (model.durationNs() / SECOND);
        double before = stretch(o, 0, from);
        double recovery = -1;
        for (int s = to; s + 3 <= end && recovery < 0; s++) {
            recovery = stretch(o, s, s + 3) >= RECOVERED * before ? s - to : -1;
        }
        double last = stretch(o, Math.max(to, end - 10), end);
        double queue = o.controllers().stream().mapToDouble(c -> c.maxQueuedLines).max().orElse(0)
                / model.site().channel().maxBacklog();
        return new LossImpact(what, before, stretch(o, from, to), o.worstService(10), recovery, last < RECOVERED * before,
                queue, bySecond(o, end));
    }

    /** Service by the second, over three seconds each. */
    private static double[] bySecond(Outcome o, int end) {
        double[] all = new double[end];
        Arrays.setAll(all, s -> stretch(o, Math.max(0, s - 1), Math.min(end, s + 2)));
        return all;
    }

    private static double stretch(Outcome o, int from, int to) {
        double good = Arrays.stream(o.goodBySecond(), from, Math.min(to, o.goodBySecond().length)).sum();
        double asked = Arrays.stream(o.offeredBySecond(), from, Math.min(to, o.offeredBySecond().length)).sum();
        return asked == 0 ? 1 : good / asked;
    }

    // ---- what would change the answer ----------------------------------------------------------------

    /** One input at a time a fifth up: how much the breaking rate moves, as a part of it. */
    public List<Sensitivity> sensitivity(Model model, double rate) {
        List<Sensitivity> all = new ArrayList<>();
        all.add(moved("a fifth more work in each request", model, rate, m -> with(m, scaled(m.workSeconds(), 1.2),
                m.workCv(),
                m.maxClientRetries())));
        all.add(moved("a fifth more spread of work", model, rate, m -> with(m, m.workSeconds(), scaled(m.workCv(), 1.2),
                m.maxClientRetries())));
        all.add(moved("one more retry of clients", model, rate, m -> with(m, m.workSeconds(), m.workCv(),
                m.maxClientRetries() + 1)));
        all.add(moved("a fifth more waiting room", model, rate, m -> m.withBackends(m.backends().stream().map(x ->
                new Model.BackendSpec(x.zone(), x.kind(), x.weight(), x.cores(), x.speed(), x.slots(),
                        (int) Math.ceil(x.queueCapacity() * 1.2), x.maxConnections(), x.coldSpeedFraction(),
                                x.warmUpNs())).toList())));
        all.sort((x, y) -> Double.compare(Math.abs(y.relativeChange()), Math.abs(x.relativeChange())));
        return all;
    }

    /** How the breaking rate moves with an input. */
    public record Sensitivity(String input, double relativeChange) { }

    private Sensitivity moved(String input, Model model, double rate,
            java.util.function.UnaryOperator<Model> change) {
        Planner one = new Planner(goal, runs, 1);
        BreakingPoint moved = one.findBreakingPoint(change.apply(model));
        return new Sensitivity(input, moved.rate().sampleCount() == 0 ? 0 : moved.rate().mean() / rate - 1);
    }

    private static double[] scaled(double[] values, double by) {
        return Arrays.stream(values).map(v -> v * by).toArray();
    }

    private static Model with(Model m, double[] work, double[] cv, int retries) {
        return new Model(m.site(), m.settleNs(), m.durationNs(), m.rampNs(), m.controllerZones(), m.proxyZones(),
                m.proxyWeights(),
                m.backends(), m.rosterDelayNs(), m.sameZoneDelayNs(), m.crossZoneDelayNs(), m.requestsPerSecond(), m.classShares(), work, cv,
                        retries,
                m.retryBackoffNs(), m.tryTimeoutFraction(), m.faults());
    }
}
