package rowanmoor.net;

import java.nio.ByteBuffer;

/** Hears what happens on one connection, on its loop's thread. */
public interface ConnectionHandler {

    /** The connection is made. Not called for one that never is. */
    default void onOpen(Connection connection) { }

    /** Bytes came. The buffer is the loop's: what is not copied now is lost. */
    void onData(Connection connection, ByteBuffer bytes);

    /** The peer sends no more. True keeps this side open for writing; false closes once all is written. */
    default boolean onInputEnd(Connection connection) {
        return false;
    }

    /** All that waited to be written is written. */
    default void onDrained(Connection connection) { }

    /** The connection is over; called once, for one never made as well. Nothing is heard after it. */
    default void onClose(Connection connection, CloseReason why, String detail) { }
}
