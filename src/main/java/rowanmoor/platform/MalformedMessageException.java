package rowanmoor.platform;

/** A message with valid framing but invalid content; the text names the message's kind and field. */
final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message, null, false, false); // no stack trace: one is thrown for every bad message
    }
}
