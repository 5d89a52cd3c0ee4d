package rowanmoor.resp;

/** The input is not a RESP2 array of bulk strings, or exceeds a limit; the rest of the stream is unusable. */
public final class RespException extends Exception {

    private static final long serialVersionUID = 1;

    public RespException(String message) {
        super(message);
    }
}
