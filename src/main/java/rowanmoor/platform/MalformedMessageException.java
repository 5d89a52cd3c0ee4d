package rowanmoor.platform;

/** A message that was framed well and makes no sense; the text names its kind and field. */
final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message, null, false, false); // one a bad message: no stack is worth its cost
    }
}
