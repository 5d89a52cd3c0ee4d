package rowanmoor.channel;

/** Signals a malformed frame or one that exceeds the {@link ChannelLimits}; the stream must be closed. */
public final class ChannelException extends Exception {

    private static final long serialVersionUID = 1L;

    public ChannelException(String message) {
        super(message);
    }
}
