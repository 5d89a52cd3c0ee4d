package rowanmoor.config;

import java.util.List;

/** All that is wrong with a file. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1L;
    private final List<String> problems;

    public ConfigException(List<String> problems) {
        super(String.join("\n", problems));
        this.problems = List.copyOf(problems);
    }

    /** One line each: {@code file:line:column: key: what}. */
    public List<String> problems() {
        return problems;
    }
}
