package rowanmoor.proxy;

import java.nio.ByteBuffer;

/**
 * Observes the bytes that a proxy receives on its stream, for audits. Called on the proxy's loop; times are
 * those of the loop, ns.
 */
public interface Tap {

    /** Ignores everything. */
    Tap NONE = new Tap() { };

    /** A stream to a controller was opened; {@code stream} is its number within the proxy. */
    default void opened(int proxy, int stream, long nowNs) { }

    /** Bytes were read. The buffer is valid during the call only. */
    default void read(int proxy, int stream, long nowNs, ByteBuffer bytes) { }

    /** The stream has closed. */
    default void closed(int proxy, int stream, long nowNs) { }
}
