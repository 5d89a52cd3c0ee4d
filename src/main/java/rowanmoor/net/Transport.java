package rowanmoor.net;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Where a loop's streams come from and how it waits: selectors, or pipes in memory on a manual clock. */
interface Transport extends AutoCloseable {

    /** A listening address. */
    interface Acceptor {
        void setListener(Runnable ready);

        /** The next stream that waits, or null; throws when the process has no descriptor left. */
        ByteStream accept() throws IOException;

        void setAccepting(boolean accept);

        InetSocketAddress address();

        void close();
    }

    /** Starts to connect; {@code from} is the local address to use, or null. */
    ByteStream connect(InetSocketAddress from, InetSocketAddress to) throws IOException;

    Acceptor listen(InetSocketAddress at, int backlog) throws IOException;

    /** Waits at most so long for readiness, and reports it. 0 does not wait. */
    void poll(long nanos) throws IOException;

    /** Ends a wait; from any thread. */
    void wakeup();

    @Override
    void close();
}
