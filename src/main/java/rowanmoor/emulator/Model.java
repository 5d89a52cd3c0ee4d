package rowanmoor.emulator;

import java.util.List;
import rowanmoor.config.Site;

/**
 * What is emulated. Times are nanoseconds, of troubles from the run's beginning.
 *
 * @param settleNs how long proxies have to be bound before the load begins
 * @param durationNs how long load arrives
 * @param rampNs over this load rises from {@link #RAMP_START_FRACTION} of its rate to the rate; 0 for at once
 * @param controllerZones a controller's zone, by rank
 * @param proxyZones a proxy's zone, by number
 * @param proxyWeights a proxy's part of the requests, in any unit
 * @param rosterDelayNs how long the roster takes to notice
 * @param sameZoneDelayNs one way within a zone
 * @param crossZoneDelayNs one way between zones
 * @param requestsPerSecond requests a second of all classes
 * @param classShares by class: its part of the requests
 * @param workSeconds by class: mean work, seconds on a core of speed 1
 * @param workCv by class: the work's coefficient of variation: 1 exponential, 0 fixed, else lognormal
 * @param maxClientRetries how often a client repeats
 * @param retryBackoffNs how long it waits before
 * @param tryTimeoutFraction a client's try is given up after this part of the deadline
 */
public record Model(Site site, long settleNs, long durationNs, long rampNs, List<Integer> controllerZones,
        int[] proxyZones,
        double[] proxyWeights, List<BackendSpec> backends, long rosterDelayNs, long sameZoneDelayNs, long crossZoneDelayNs,
                double requestsPerSecond,
        double[] classShares, double[] workSeconds, double[] workCv, int maxClientRetries, long retryBackoffNs, double tryTimeoutFraction,
        List<Fault> faults) {

    /** Part of the rate at which rising load begins. */
    public static final double RAMP_START_FRACTION = 0.3;

    /**
     * One backend.
     *
     * @param connections the most that it accepts; 0 for no bound
     */
    public record BackendSpec(int zone, int kind, double weight, int cores, double speed, int slots, int queueCapacity,
            int maxConnections, double coldSpeedFraction, long warmUpNs) { }

    /** What goes wrong. Failing backends answer a part of their requests with an error, at once. */
    public enum FaultKind { BACKENDS_DIE, BACKENDS_SLOW, BACKENDS_FAIL, BACKENDS_DRAIN, CONTROLLER_DIES,
            ROSTER_DOWN, PROXIES_CUT, BURST }

    /**
     * One trouble; {@code struck} are backends or proxies, or one controller; {@code size} the kind's
     * own.
     */
    public record Fault(FaultKind kind, long startNs, long durationNs, int[] targets, double magnitude) { }

    /** Work a second that all backends together can do when warm. */
    public double capacity() {
        return backends.stream().mapToDouble(m -> m.cores() * m.speed()).sum();
    }

    /** Mean work of a request, seconds. */
    public double meanWorkSeconds() {
        double sum = 0;
        double all = 0;
        for (int c = 0; c < classShares.length; c++) {
            sum += classShares[c] * workSeconds[c];
            all += classShares[c];
        }
        return sum / all;
    }

    /** The same at another rate. */
    public Model withRequestsPerSecond(double other) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, proxyZones, proxyWeights, backends,
                rosterDelayNs,
                sameZoneDelayNs, crossZoneDelayNs, other, classShares, workSeconds, workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction, faults);
    }

    /** Part of its rate that load has reached so long after its beginning. */
    public double risen(long since) {
        return since >= rampNs ? 1 : RAMP_START_FRACTION + (1 - RAMP_START_FRACTION) * since / rampNs;
    }

    /** The same with other troubles. */
    public Model withFaults(List<Fault> others) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, proxyZones, proxyWeights, backends,
                rosterDelayNs,
                sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond, classShares, workSeconds, workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction, List.copyOf(others));
    }

    /** The same with other backends. */
    public Model withBackends(List<BackendSpec> others) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, proxyZones, proxyWeights,
                List.copyOf(others),
                rosterDelayNs, sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond, classShares, workSeconds, workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction, faults);
    }

    /** The same with other shares of the classes. */
    public Model withClassShares(double[] others) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, proxyZones, proxyWeights, backends,
                rosterDelayNs,
                sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond, others, workSeconds, workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction, faults);
    }

    /** The same with other proxies. */
    public Model withProxies(int[] zones, double[] weights) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, zones, weights, backends, rosterDelayNs,
                sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond, classShares, workSeconds, workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction, faults);
    }

    /** The same with other work of requests and another spread of it. */
    public Model withWork(double[] otherWork, double[] otherCv) {
        return new Model(site, settleNs, durationNs, rampNs, controllerZones, proxyZones, proxyWeights, backends,
                rosterDelayNs, sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond, classShares, otherWork, otherCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction,
                faults);
    }

    /** The same for another length. */
    public Model withDurationNs(long other) {
        return new Model(site, settleNs, other, rampNs, controllerZones, proxyZones, proxyWeights, backends,
                rosterDelayNs,
                sameZoneDelayNs, crossZoneDelayNs, requestsPerSecond, classShares, workSeconds, workCv, maxClientRetries, retryBackoffNs, tryTimeoutFraction, faults);
    }
}
