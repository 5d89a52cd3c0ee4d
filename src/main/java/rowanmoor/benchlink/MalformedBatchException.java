package rowanmoor.benchlink;

/** What came in is not the wire; the message is one plain line. */
public final class MalformedBatchException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    public MalformedBatchException(String message) {
        super(message);
    }
}
