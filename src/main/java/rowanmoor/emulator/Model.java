package rowanmoor.emulator;

import java.util.List;
import rowanmoor.config.Site;

/**
 * What is emulated. Times are nanoseconds, of troubles from the run's beginning.
 *
 * @param settle how long proxies have to be bound before the load begins
 * @param length how long load arrives
 * @param rise over this load rises from {@link #RISE_FROM} of its rate to the rate; 0 for at once
 * @param controllerZones a controller's zone, by rank
 * @param proxyZones a proxy's zone, by number
 * @param proxyWeights a proxy's part of the requests, in any unit
 * @param notice how long the roster takes to notice
 * @param sameZone one way within a zone
 * @param crossZone one way between zones
 * @param rate requests a second of all classes
 * @param shares by class: its part of the requests
 * @param work by class: mean work, seconds on a core of speed 1
 * @param cv by class: the work's coefficient of variation: 1 exponential, 0 fixed, else lognormal
 * @param retries how often a client repeats
 * @param backoff how long it waits before
 * @param tryShare a client's try is given up after this part of the deadline
 */
public record Model(Site site, long settle, long length, long rise, List<Integer> controllerZones,
        int[] proxyZones,
        double[] proxyWeights, List<Machine> machines, long notice, long sameZone, long crossZone,
                double rate,
        double[] shares, double[] work, double[] cv, int retries, long backoff, double tryShare,
        List<Trouble> troubles) {

    /** Part of the rate at which rising load begins. */
    public static final double RISE_FROM = 0.3;

    /**
     * One backend.
     *
     * @param connections the most that it accepts; 0 for no bound
     */
    public record Machine(int zone, int kind, double weight, int cores, double speed, int slots, int queue,
            int connections, double coldFrom, long coldFor) { }

    /** What goes wrong. Failing backends answer a part of their requests with an error, at once. */
    public enum Kind { BACKENDS_DIE, BACKENDS_SLOW, BACKENDS_FAIL, BACKENDS_DRAIN, CONTROLLER_DIES,
            ROSTER_DOWN, PROXIES_CUT, BURST }

    /**
     * One trouble; {@code struck} are backends or proxies, or one controller; {@code size} the kind's
     * own.
     */
    public record Trouble(Kind kind, long at, long length, int[] struck, double size) { }

    /** Work a second that all backends together can do when warm. */
    public double capacity() {
        return machines.stream().mapToDouble(m -> m.cores() * m.speed()).sum();
    }

    /** Mean work of a request, seconds. */
    public double meanWork() {
        double sum = 0;
        double all = 0;
        for (int c = 0; c < shares.length; c++) {
            sum += shares[c] * work[c];
            all += shares[c];
        }
        return sum / all;
    }

    /** The same at another rate. */
    public Model rate(double other) {
        return new Model(site, settle, length, rise, controllerZones, proxyZones, proxyWeights, machines,
                notice,
                sameZone, crossZone, other, shares, work, cv, retries, backoff, tryShare, troubles);
    }

    /** Part of its rate that load has reached so long after its beginning. */
    public double risen(long since) {
        return since >= rise ? 1 : RISE_FROM + (1 - RISE_FROM) * since / rise;
    }

    /** The same with other troubles. */
    public Model troubles(List<Trouble> others) {
        return new Model(site, settle, length, rise, controllerZones, proxyZones, proxyWeights, machines,
                notice,
                sameZone, crossZone, rate, shares, work, cv, retries, backoff, tryShare, List.copyOf(others));
    }

    /** The same with other backends. */
    public Model machines(List<Machine> others) {
        return new Model(site, settle, length, rise, controllerZones, proxyZones, proxyWeights,
                List.copyOf(others),
                notice, sameZone, crossZone, rate, shares, work, cv, retries, backoff, tryShare, troubles);
    }

    /** The same with other shares of the classes. */
    public Model shares(double[] others) {
        return new Model(site, settle, length, rise, controllerZones, proxyZones, proxyWeights, machines,
                notice,
                sameZone, crossZone, rate, others, work, cv, retries, backoff, tryShare, troubles);
    }

    /** The same with other proxies. */
    public Model proxies(int[] zones, double[] weights) {
        return new Model(site, settle, length, rise, controllerZones, zones, weights, machines, notice,
                sameZone, crossZone, rate, shares, work, cv, retries, backoff, tryShare, troubles);
    }

    /** The same with other work of requests and another spread of it. */
    public Model work(double[] otherWork, double[] otherCv) {
        return new Model(site, settle, length, rise, controllerZones, proxyZones, proxyWeights, machines,
                notice, sameZone, crossZone, rate, shares, otherWork, otherCv, retries, backoff, tryShare,
                troubles);
    }

    /** The same for another length. */
    public Model length(long other) {
        return new Model(site, settle, other, rise, controllerZones, proxyZones, proxyWeights, machines,
                notice,
                sameZone, crossZone, rate, shares, work, cv, retries, backoff, tryShare, troubles);
    }
}
