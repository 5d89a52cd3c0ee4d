package rowanmoor.channel;

/** Bytes that are no frame of this protocol, or one beyond its limits. The stream ends with it. */
public final class ChannelException extends Exception {

    private static final long serialVersionUID = 1L;

    public ChannelException(String what) {
        super(what);
    }
}
