package rowanmoor.net;

/** Why a connection was closed. */
public enum CloseReason {
    /** This side closed it. */
    LOCAL,
    /** The peer closed its side and nothing was left to send. */
    ENDED,
    /** The peer reset the connection, or an I/O error occurred. */
    RESET,
    /** The connection attempt failed: refused or unreachable. */
    REFUSED,
    /** The connection was not established within its time-out. */
    CONNECT_TIMEOUT,
    /** Nothing was read within the idle time-out. */
    IDLE,
    /** The write queue exceeded its limit. */
    OVERFLOW,
    /** The peer violated the protocol. */
    PROTOCOL,
    /** The handler threw an exception. */
    FAULT,
    /** The loop was stopped. */
    STOPPED;

    /** Whether the connection was never established, so that the peer cannot have read anything sent. */
    public boolean neverConnected() {
        return this == REFUSED || this == CONNECT_TIMEOUT;
    }
}
