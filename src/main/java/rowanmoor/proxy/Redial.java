package rowanmoor.proxy;

import java.util.random.RandomGenerator;

/** When and whom to call after a stream has ended: jittered waits that grow, each controller in turn. */
final class Redial {

    private static final double WAIT_GROWTH_FACTOR = 2;
    private static final int MAX_DOUBLINGS = 4;

    private final int controllers;
    private final int firstController;
    private final long minMeanWaitNs;
    private final RandomGenerator random;
    private int currentController;
    private int failures;

    /** @param least the shortest mean wait, ns; the longest is 16 times that */
    Redial(int controllers, int first, long least, RandomGenerator random) {
        this.controllers = controllers;
        this.firstController = first % controllers;
        this.currentController = this.firstController;
        this.minMeanWaitNs = least;
        this.random = random;
    }

    /** Place of the controller to call now. */
    int currentController() {
        return currentController;
    }

    /** Whether the controller to call is its first. */
    boolean isAtFirstController() {
        return currentController == firstController;
    }

    /** Its first controller is to be called next. */
    void returnToFirstController() {
        currentController = firstController;
        failures = 0;
    }

    /** When to look for the first controller again: jittered, so that proxies do not move all at once. */
    long jitteredProbeDelayNs(long mean) {
        return (long) (mean * (0.5 + random.nextDouble()));
    }

    /** The stream was up: the next wait starts small again, with the same controller. */
    void onStreamUp() {
        failures = 0;
    }

    /** A call failed, or a stream that was up ended; answers how long to wait. */
    long onStreamEnded(boolean wasUp) {
        if (!wasUp) {
            currentController = (currentController + 1) % controllers;
        }
        double mean = minMeanWaitNs * Math.pow(WAIT_GROWTH_FACTOR, Math.min(failures++ / controllers, MAX_DOUBLINGS));
        return (long) (mean * (0.5 + random.nextDouble()));
    }
}
