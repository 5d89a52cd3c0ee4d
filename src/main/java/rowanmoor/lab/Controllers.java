package rowanmoor.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import rowanmoor.emulator.Outcome;

/** The controllers of a run: processes of their own, or loops on a network in memory. */
interface Controllers {

    /** Hears that a controller has come up: where it listens, and its epoch. From any thread. */
    interface Up {
        void up(int rank, InetSocketAddress at, long epoch);
    }

    /** Starts a controller that follows this roster. */
    void start(int rank, InetSocketAddress roster, Up up) throws IOException;

    /** Kills it outright. */
    void kill(int rank);

    /** Makes it stand still, or go on. */
    void stall(int rank, boolean on) throws IOException;

    /** What each came to, by rank, so far as it has told. */
    List<Outcome.ControllerStats> met();

    /** Ends all. */
    void close();
}
