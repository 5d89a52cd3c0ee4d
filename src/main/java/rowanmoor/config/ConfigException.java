package rowanmoor.config;

import java.util.List;

/** All problems found in a configuration file. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1L;
    private final List<String> problems;

    public ConfigException(List<String> problems) {
        super(String.join("\n", problems));
        this.problems = List.copyOf(problems);
    }

    /** Returns one line for each problem, in the form {@code file:line:column: key: problem}. */
    public List<String> problems() {
        return problems;
    }
}
