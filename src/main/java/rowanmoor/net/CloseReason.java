package rowanmoor.net;

/** Why a connection ended. */
public enum CloseReason {
    /** This side closed it. */
    LOCAL,
    /** The peer ended its bytes and nothing was left to send. */
    ENDED,
    /** The peer reset it, or it broke. */
    RESET,
    /** The connection was not made: refused or unreachable. */
    REFUSED,
    /** The connection was not made in time. */
    CONNECT_TIMEOUT,
    /** Nothing was read for longer than allowed. */
    IDLE,
    /** More waited to be written than allowed. */
    OVERFLOW,
    /** The peer broke the protocol. */
    PROTOCOL,
    /** The handler threw. */
    FAULT,
    /** The loop was stopped. */
    STOPPED;

    /** Whether the peer can have read nothing that was sent: the connection was never made. */
    public boolean neverConnected() {
        return this == REFUSED || this == CONNECT_TIMEOUT;
    }
}
