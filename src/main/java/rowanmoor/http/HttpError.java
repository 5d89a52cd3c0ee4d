package rowanmoor.http;

/** The input is not an HTTP message that the parser accepts. */
public final class HttpError extends Exception {

    private static final long serialVersionUID = 1L;
    private final int status;

    HttpError(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The status that a server responds with before it closes: 400, 413, 414, 431, 501 or 505. */
    public int status() {
        return status;
    }
}
