package rowanmoor.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** One byte stream that never blocks: a socket, or a pipe in memory. */
interface ByteStream {

    /** What to call, from the loop's thread, when the stream is ready for what was wanted. */
    void setListener(ReadinessListener ready);

    /** Which kinds of readiness are reported from now on. */
    void setInterest(boolean read, boolean write);

    /** Whether the connection is made; throws if it was refused. */
    boolean finishConnect() throws IOException;

    /** Bytes read, 0 when none are there, -1 after the peer's last. */
    int read(ByteBuffer into) throws IOException;

    /** Bytes taken; may be fewer than are there, or none. */
    int write(ByteBuffer from) throws IOException;

    /** Sends the end of this side's bytes; the other direction stays open. */
    void endOutput() throws IOException;

    /** Closes both directions; with a reset, what the peer has not read is dropped. */
    void close(boolean reset);

    InetSocketAddress local();

    InetSocketAddress remote();

    /** Readiness. A stream that is connecting reports {@code write} when that is over. */
    @FunctionalInterface
    interface ReadinessListener {
        void onReady(boolean read, boolean write);
    }
}
