package rowanmoor.net;

import java.nio.ByteBuffer;

/** Callbacks for the events of one connection, called on its loop's thread. */
public interface ConnectionHandler {

    /** The connection is established. Not called if it never is. */
    default void onOpen(Connection connection) { }

    /** Bytes were read. The buffer belongs to the loop and is reused: copy what must outlive the call. */
    void onData(Connection connection, ByteBuffer bytes);

    /** The peer closed its side. True keeps this side open for writing; false closes it after the queue. */
    default boolean onInputEnd(Connection connection) {
        return false;
    }

    /** The write queue has become empty. */
    default void onDrained(Connection connection) { }

    /** The connection is closed. Called once, also if it was never established; no callback follows. */
    default void onClose(Connection connection, CloseReason reason, String detail) { }
}
