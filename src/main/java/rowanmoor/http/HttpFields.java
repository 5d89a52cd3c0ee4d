package rowanmoor.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BiConsumer;

/** Header or trailer fields in order; names are compared case-insensitively (RFC 9110, 5.1). */
public final class HttpFields {

    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    /** Fields from alternating names and values. */
    public static HttpFields of(String... namesAndValues) {
        HttpFields fields = new HttpFields();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            fields.add(namesAndValues[i], namesAndValues[i + 1]);
        }
        return fields;
    }

    /** Appends a field and returns this. */
    public HttpFields add(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /** The first value of a field, or null. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** The first value of a field, or a default. */
    public String get(String name, String defaultValue) {
        String value = get(name);
        return value == null ? defaultValue : value;
    }

    /** The number of field lines with a name. */
    public int count(String name) {
        return (int) names.stream().filter(n -> n.equalsIgnoreCase(name)).count();
    }

    /** Whether a comma-separated field contains a token, which is given in lower case; ignores case. */
    public boolean hasToken(String name, String token) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                for (String part : values.get(i).split(",")) {
                    if (part.trim().toLowerCase(Locale.ROOT).equals(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Removes all field lines with a name. */
    public void remove(String name) {
        for (int i = names.size() - 1; i >= 0; i--) {
            if (names.get(i).equalsIgnoreCase(name)) {
                names.remove(i);
                values.remove(i);
            }
        }
    }

    /** Replaces all field lines with a name by one, at the end, and returns this. */
    public HttpFields set(String name, String value) {
        remove(name);
        return add(name, value);
    }

    /** Calls an action with each name and value, in order. */
    public void forEach(BiConsumer<String, String> action) {
        for (int i = 0; i < names.size(); i++) {
            action.accept(names.get(i), values.get(i));
        }
    }

    public int size() {
        return names.size();
    }

    public HttpFields copy() {
        HttpFields copy = new HttpFields();
        forEach(copy::add);
        return copy;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof HttpFields f && f.names.equals(names) && f.values.equals(values);
    }

    @Override
    public int hashCode() {
        return names.hashCode() * 31 + values.hashCode();
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        forEach((n, v) -> text.append(n).append(": ").append(v).append('\n'));
        return text.toString();
    }
}
