package rowanmoor.kdl;

/** Text is not a valid KDL document. Line and column count from 1; columns count code points. */
public final class KdlException extends Exception {

    private static final long serialVersionUID = 1L;
    private final int line;
    private final int column;

    KdlException(int line, int column, String problem) {
        super(line + ":" + column + ": " + problem);
        this.line = line;
        this.column = column;
    }

    public int line() {
        return line;
    }

    public int column() {
        return column;
    }
}
