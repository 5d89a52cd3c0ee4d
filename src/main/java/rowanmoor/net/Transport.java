package rowanmoor.net;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Opens a loop's streams and waits for their readiness: a selector, or memory with a manual clock. */
interface Transport extends AutoCloseable {

    /** A listening socket. */
    interface Acceptor {
        /** Sets what to call when a connection is waiting. */
        void setListener(Runnable listener);

        /** The next waiting stream, or null; throws when the process has run out of file descriptors. */
        ByteStream accept() throws IOException;

        void setAccepting(boolean accept);

        InetSocketAddress address();

        void close();
    }

    /** Starts to connect; {@code from} is the local address to use, or null for any. */
    ByteStream connect(InetSocketAddress from, InetSocketAddress to) throws IOException;

    Acceptor listen(InetSocketAddress at, int backlog) throws IOException;

    /** Waits for readiness for at most so many nanoseconds, and calls the listeners. 0 does not wait. */
    void poll(long nanos) throws IOException;

    /** Ends a wait in {@link #poll}. May be called from any thread. */
    void wakeup();

    @Override
    void close();
}
