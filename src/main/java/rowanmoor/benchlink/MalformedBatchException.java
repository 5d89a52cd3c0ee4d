package rowanmoor.benchlink;

/** The input does not follow the protocol; the message is one line that says how. */
public final class MalformedBatchException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    public MalformedBatchException(String message) {
        super(message);
    }
}
