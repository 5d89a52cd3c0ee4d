package rowanmoor.kdl;

import java.math.BigDecimal;

/**
 * One argument or property value.
 *
 * @param type type annotation, or null
 * @param content a {@link String}, {@link BigDecimal}, {@link Boolean} or {@link SpecialNumber}, or null
 * @param line line of the value, from 1
 * @param column column of the value, from 1
 */
public record Value(String type, Object content, int line, int column) {

    /** Numbers that {@link BigDecimal} cannot represent. */
    public enum SpecialNumber { INFINITY, MINUS_INFINITY, NOT_A_NUMBER }

    public boolean isString() {
        return content instanceof String;
    }

    public boolean isNumber() {
        return content instanceof BigDecimal;
    }

    public boolean isBoolean() {
        return content instanceof Boolean;
    }

    /** Returns the value as error messages show it. */
    @Override
    public String toString() {
        return content == null ? "#null" : content instanceof Boolean b ? "#" + b
                : content instanceof String s ? "\"" + s + "\"" : content.toString();
    }
}
