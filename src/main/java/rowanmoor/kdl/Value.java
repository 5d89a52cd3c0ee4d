package rowanmoor.kdl;

import java.math.BigDecimal;

/** One argument or property value, with its annotation (or null) and its place. */
public record Value(String type, Object content, int line, int column) {

    /** The three numbers that no decimal can say. */
    public enum Special { INFINITY, MINUS_INFINITY, NOT_A_NUMBER }

    public boolean isText() {
        return content instanceof String;
    }

    public boolean isNumber() {
        return content instanceof BigDecimal;
    }

    public boolean isFlag() {
        return content instanceof Boolean;
    }

    /** As it would be quoted in a message. */
    @Override
    public String toString() {
        return content == null ? "#null" : content instanceof Boolean b ? "#" + b
                : content instanceof String s ? "\"" + s + "\"" : content.toString();
    }
}
