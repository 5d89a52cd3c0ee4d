package rowanmoor.http;

/** Character classes of the HTTP grammar (RFC 9110, 5.5 and 5.6.2). */
final class Syntax {

    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private Syntax() { }

    static boolean isTokenChar(int c) {
        return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
                || c > 0 && TOKEN_PUNCTUATION.indexOf(c) >= 0;
    }

    static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isTokenChar(text.charAt(i))) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Whether all characters are visible ASCII. */
    static boolean isTarget(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) >= 127) {
                return false;
            }
        }
        return true;
    }

    static boolean isValue(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isValueChar(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    /** Visible characters, space, tab and characters beyond ASCII; no other controls. */
    static boolean isValueChar(int c) {
        return c == '\t' || c >= ' ' && c != 127;
    }

    /**
     * Prevents header injection by a caller.
     *
     * @throws IllegalArgumentException if the field would not be parsed as the one that was written
     */
    static void checkField(String name, String value) {
        if (!isToken(name) || !value.chars().allMatch(c -> isValueChar(c) && c < 256)) {
            throw new IllegalArgumentException("invalid header field: " + name + ": " + value);
        }
    }
}
