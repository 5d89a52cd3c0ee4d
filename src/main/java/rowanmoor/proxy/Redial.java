package rowanmoor.proxy;

import java.util.random.RandomGenerator;

/** Reconnection after a stream has ended: exponential backoff with jitter, controllers in rotation. */
final class Redial {

    private static final double WAIT_GROWTH_FACTOR = 2;
    private static final int MAX_DOUBLINGS = 4;

    private final int controllers;
    private final int firstController;
    private final long minMeanWaitNs;
    private final RandomGenerator random;
    private int currentController;
    private int failures;

    /**
     * Starts with the first controller and the shortest wait.
     *
     * @param controllers number of controllers
     * @param minMeanWaitNs the shortest mean wait; the longest is 16 times that
     */
    Redial(int controllers, int firstController, long minMeanWaitNs, RandomGenerator random) {
        this.controllers = controllers;
        this.firstController = firstController % controllers;
        this.currentController = this.firstController;
        this.minMeanWaitNs = minMeanWaitNs;
        this.random = random;
    }

    /** Index of the controller to connect to. */
    int currentController() {
        return currentController;
    }

    /** Whether the current controller is the first one. */
    boolean isAtFirstController() {
        return currentController == firstController;
    }

    /** Makes the first controller the next to connect to, with the shortest wait. */
    void returnToFirstController() {
        currentController = firstController;
        failures = 0;
    }

    /** Wait before a probe of the first controller; jittered, so that proxies do not all move at once. */
    long jitteredProbeDelayNs(long meanNs) {
        return (long) (meanNs * (0.5 + random.nextDouble()));
    }

    /** The stream is up: the next wait is the shortest again, and the controller stays the same. */
    void onStreamUp() {
        failures = 0;
    }

    /**
     * A connection attempt failed or a stream ended.
     *
     * @param wasUp whether the stream was up; if not, the next controller is tried
     * @return ns to wait before the next attempt
     */
    long onStreamEnded(boolean wasUp) {
        if (!wasUp) {
            currentController = (currentController + 1) % controllers;
        }
        double meanNs = minMeanWaitNs
                * Math.pow(WAIT_GROWTH_FACTOR, Math.min(failures++ / controllers, MAX_DOUBLINGS));
        return (long) (meanNs * (0.5 + random.nextDouble()));
    }
}
