package rowanmoor.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** A non-blocking byte stream: a socket, or an in-memory stream. */
interface ByteStream {

    /** Sets what to call on the loop's thread when the stream is ready for an operation of interest. */
    void setListener(ReadinessListener listener);

    /** Sets which kinds of readiness are reported. */
    void setInterest(boolean read, boolean write);

    /** Whether the connection is established; throws if it was refused. */
    boolean finishConnect() throws IOException;

    /** The number of bytes read: 0 if none are available, -1 at the end of the stream. */
    int read(ByteBuffer into) throws IOException;

    /** The number of bytes written; may be fewer than remain in the buffer, or none. */
    int write(ByteBuffer from) throws IOException;

    /** Shuts down the output; the input stays open. */
    void endOutput() throws IOException;

    /** Closes both directions; with a reset, the peer loses what it has not read. */
    void close(boolean reset);

    InetSocketAddress local();

    InetSocketAddress remote();

    /** Called on readiness. A connecting stream reports {@code write} when the attempt has finished. */
    @FunctionalInterface
    interface ReadinessListener {
        void onReady(boolean read, boolean write);
    }
}
