package rowanmoor.proxy;

import java.nio.ByteBuffer;

/** Sees what crosses a proxy's stream, on the proxy's loop; for auditing. Times are the loop's. */
public interface Tap {

    Tap NONE = new Tap() { };

    /** A stream to a controller is made; {@code stream} tells it from those before and after it. */
    default void opened(int proxy, int stream, long now) { }

    /** Bytes as they were read. The buffer may not be kept. */
    default void read(int proxy, int stream, long now, ByteBuffer bytes) { }

    default void closed(int proxy, int stream, long now) { }
}
