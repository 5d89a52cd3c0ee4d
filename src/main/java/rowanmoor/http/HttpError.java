package rowanmoor.http;

/** Bytes that are no HTTP message as this parser takes it. */
public final class HttpError extends Exception {

    private static final long serialVersionUID = 1L;
    private final int status;

    HttpError(int status, String what) {
        super(what);
        this.status = status;
    }

    /** What a server answers before it closes: 400, 413, 414, 431, 501 or 505. */
    public int status() {
        return status;
    }
}
