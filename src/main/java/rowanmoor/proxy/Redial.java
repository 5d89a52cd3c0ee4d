package rowanmoor.proxy;

import java.util.random.RandomGenerator;

/** When and whom to call after a stream has ended: jittered waits that grow, each controller in turn. */
final class Redial {

    private static final double GROWTH = 2;
    private static final int DOUBLINGS_MOST = 4;

    private final int controllers;
    private final int first;
    private final long least;
    private final RandomGenerator random;
    private int at;
    private int failures;

    /** @param least the shortest mean wait, ns; the longest is 16 times that */
    Redial(int controllers, int first, long least, RandomGenerator random) {
        this.controllers = controllers;
        this.first = first % controllers;
        this.at = this.first;
        this.least = least;
        this.random = random;
    }

    /** Place of the controller to call now. */
    int controller() {
        return at;
    }

    /** Whether the controller to call is its first. */
    boolean atHome() {
        return at == first;
    }

    /** Its first controller is to be called next. */
    void home() {
        at = first;
        failures = 0;
    }

    /** When to look for the first controller again: jittered, so that proxies do not move all at once. */
    long lookAfter(long mean) {
        return (long) (mean * (0.5 + random.nextDouble()));
    }

    /** The stream was up: the next wait starts small again, with the same controller. */
    void up() {
        failures = 0;
    }

    /** A call failed, or a stream that was up ended; answers how long to wait. */
    long failed(boolean wasUp) {
        if (!wasUp) {
            at = (at + 1) % controllers;
        }
        double mean = least * Math.pow(GROWTH, Math.min(failures++ / controllers, DOUBLINGS_MOST));
        return (long) (mean * (0.5 + random.nextDouble()));
    }
}
