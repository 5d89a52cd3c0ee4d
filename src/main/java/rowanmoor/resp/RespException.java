package rowanmoor.resp;

/** What came is not a RESP2 array of bulk strings, or one too large; nothing after it can be read. */
public final class RespException extends Exception {

    private static final long serialVersionUID = 1;

    public RespException(String message) {
        super(message);
    }
}
