package rowanmoor.emulator;

import java.util.List;
import rowanmoor.config.Site;

/**
 * The fleet, load and faults to emulate. Times are nanoseconds; those of faults count from the start of the
 * load.
 *
 * @param settleNs time for proxies to connect before the load begins
 * @param durationNs how long requests arrive
 * @param rampNs time over which the rate rises from {@link #RAMP_START_FRACTION} of itself to its full value;
 *     0 for at once
 * @param controllerZones a controller's zone, by rank
 * @param proxyZones a proxy's zone, by number
 * @param proxyWeights a proxy's relative part of the requests, by number
 * @param rosterDelayNs delay until the roster shows that a backend died or started
 * @param sameZoneDelayNs mean one-way delay within a zone
 * @param crossZoneDelayNs mean one-way delay between zones
 * @param requestsPerSecond requests per second of all classes
 * @param classShares by class: its relative part of the requests
 * @param workSeconds by class: mean work of a request, seconds on a core of speed 1
 * @param workCv by class: coefficient of variation of the work: 1 exponential, 0 constant, otherwise
 *     lognormal
 * @param maxClientRetries how often a client repeats a failed request
 * @param retryBackoffNs how long a client waits before it repeats
 * @param tryTimeoutFraction fraction of the deadline after which a client abandons a try
 */
public record Model(Site site, long settleNs, long durationNs, long rampNs, List<Integer> controllerZones,
        int[] proxyZones, double[] proxyWeights, List<BackendSpec> backends, long rosterDelayNs,
        long sameZoneDelayNs, long crossZoneDelayNs, double requestsPerSecond, double[] classShares,
        double[] workSeconds, double[] workCv, int maxClientRetries, long retryBackoffNs,
        double tryTimeoutFraction, List<Fault> faults) {

    /** Fraction of the full rate at which a ramp begins. */
    public static final double RAMP_START_FRACTION = 0.3;

    /**
     * One backend.
     *
     * @param speed work that a core does per second
     * @param slots requests in work at once
     * @param queueCapacity requests that may wait beyond those
     * @param maxConnections the most connections that it accepts; 0 for no limit
     * @param coldSpeedFraction fraction of its speed right after a start
     * @param warmUpNs time from a start until full speed
     */
    public record BackendSpec(int zone, int kind, double weight, int cores, double speed, int slots,
            int queueCapacity, int maxConnections, double coldSpeedFraction, long warmUpNs) { }

    /**
     * What goes wrong. Failing backends fail a fraction of their requests at once, without doing the work.
     */
    public enum FaultKind { BACKENDS_DIE, BACKENDS_SLOW, BACKENDS_FAIL, BACKENDS_DRAIN, CONTROLLER_DIES,
            ROSTER_DOWN, PROXIES_CUT, BURST }

    /**
     * One fault.
     *
     * @param startNs from the start of the load
     * @param targets numbers of backends or proxies, or the rank of one controller, by kind
     * @param magnitude slow-down factor, fraction of failing requests or rate factor, by kind
     */
    public record Fault(FaultKind kind, long startNs, long durationNs, int[] targets, double magnitude) { }

    /** Work per second that all backends together can do when warm. */
    public double capacity() {
        return backends.stream().mapToDouble(m -> m.cores() * m.speed()).sum();
    }

    /** Mean work of a request over all classes, seconds. */
    public double meanWorkSeconds() {
        double sum = 0;
        double all = 0;
        for (int c = 0; c < classShares.length; c++) {
            sum += classShares[c] * workSeconds[c];
            all += classShares[c];
        }
        return sum / all;
    }

    /** This model at another rate. */
    public Model withRequestsPerSecond(double other) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, proxyZones, proxyWeights,
                backends, rosterDelayNs, sameZoneDelayNs, crossZoneDelayNs, other, classShares, workSeconds,
                workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction, faults);
    }

    /** Fraction of the full rate at a time after the start of the load, nanoseconds. */
    public double rateFraction(long since) {
        return since >= rampNs ? 1 : RAMP_START_FRACTION + (1 - RAMP_START_FRACTION) * since / rampNs;
    }

    /** This model with other faults. */
    public Model withFaults(List<Fault> others) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, proxyZones, proxyWeights,
                backends, rosterDelayNs, sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond, classShares,
                workSeconds, workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction,
                List.copyOf(others));
    }

    /** This model with other backends. */
    public Model withBackends(List<BackendSpec> others) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, proxyZones, proxyWeights,
                List.copyOf(others), rosterDelayNs, sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond,
                classShares, workSeconds, workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction,
                faults);
    }

    /** This model with other shares of the classes. */
    public Model withClassShares(double[] others) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, proxyZones, proxyWeights,
                backends, rosterDelayNs, sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond, others,
                workSeconds, workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction, faults);
    }

    /** This model with other proxies. */
    public Model withProxies(int[] zones, double[] weights) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, zones, weights, backends,
                rosterDelayNs, sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond, classShares, workSeconds,
                workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction, faults);
    }

    /** This model with other mean work of requests and another variation of it. */
    public Model withWork(double[] otherWork, double[] otherCv) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, proxyZones, proxyWeights,
                backends, rosterDelayNs, sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond, classShares,
                otherWork, otherCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction, faults);
    }

    /** This model for another duration. */
    public Model withDurationNs(long other) {
        return new Model(site, settleNs, other, rampNs, controllerZones, proxyZones, proxyWeights, backends,
                rosterDelayNs, sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond, classShares, workSeconds,
                workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction, faults);
    }
}
