package rowanmoor.http;

/** Which characters may stand where (RFC 9110, 5.5 and 5.6.2). */
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

    /** Whether all are visible ASCII characters. */
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

    /** Visible, space, tab, or beyond ASCII; never a control. */
    static boolean isValueChar(int c) {
        return c == '\t' || c >= ' ' && c != 127;
    }

    /** Refuses to write a field that would be read as something else: a caller's fault, not the peer's. */
    static void checkField(String name, String value) {
        if (!isToken(name) || !value.chars().allMatch(c -> isValueChar(c) && c < 256)) {
            throw new IllegalArgumentException("not a header field: " + name + ": " + value);
        }
    }
}
