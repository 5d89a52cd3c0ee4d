package rowanmoor.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import rowanmoor.emulator.Outcome;

/** Runs the controllers of a day, in child processes or on loops of an in-memory network. */
interface Controllers {

    /** Is notified, on any thread, when a controller has started: of its listening address and its epoch. */
    interface StartListener {
        void started(int rank, InetSocketAddress at, long epoch);
    }

    /** Starts the controller of a rank with this roster server. */
    void start(int rank, InetSocketAddress roster, StartListener listener) throws IOException;

    /** Kills the controller without a shutdown. */
    void kill(int rank);

    /** Pauses or resumes the controller. */
    void setPaused(int rank, boolean paused) throws IOException;

    /** Each controller's totals, by rank, as far as they are known. */
    List<Outcome.ControllerStats> totals();

    /** Stops all controllers. */
    void close();
}
