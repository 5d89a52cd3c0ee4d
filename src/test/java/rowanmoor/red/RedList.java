package rowanmoor.red;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The entries of KNOWN-RED.txt, one a line, fields separated by semicolons. A test that fails for a real fault has
 * three fields: class and method, cause, issue. A case that a command plays has four: command, seed, what was seen,
 * issue. Whatever is neither is a fault of the list and fails the build.
 *
 * @param lines the listed tests
 * @param cases the listed cases played by command
 * @param faults what is wrong with the list, one text an entry
 */
record RedList(List<Line> lines, List<Case> cases, List<String> faults) {

    static final int ENTRIES_MOST = 12;
    private static final int TEST_FIELDS = 3;
    private static final int CASE_FIELDS = 4;
    private static final Pattern ISSUE = Pattern.compile("issue \\d+");
    private static final Pattern SEED = Pattern.compile("seeds? \\d+(, \\d+)*( to \\d+)?");
    /** A program of the project, or the bench under its usual place beside the checkout, with arguments. */
    private static final Pattern COMMAND = Pattern.compile("(\\./rowanmoor|deploy/\\S+\\.sh|\\.\\./given/kit/\\S+) \\S.*");
    private static final Pattern PROJECT_FILE = Pattern.compile("(?<=^|\\s)(deploy|days|conf|src)/\\S+");
    static final RedList OF_PROJECT = read(Path.of("KNOWN-RED.txt"));

    /** @param test a class and a method of it, joined by # */
    record Line(String test, String cause, String issue) { }

    /** @param command plays the case from the root of a checkout; {@code seed} names its seed or seeds */
    record Case(String command, String seed, String seen, String issue) { }

    private static RedList read(Path file) {
        try {
            return of(Files.exists(file) ? Files.readAllLines(file) : List.of());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static RedList of(List<String> text) {
        List<Line> lines = new ArrayList<>();
        List<Case> cases = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        for (String line : text) {
            List<String> fields = Arrays.stream(line.split(";", -1)).map(String::trim).toList();
            String fault = fault(fields);
            if (fault != null) {
                faults.add(fault + ": " + line);
            } else if (fields.size() == TEST_FIELDS) {
                lines.add(new Line(fields.get(0), fields.get(1), fields.get(2)));
            } else {
                cases.add(new Case(fields.get(0), fields.get(1), fields.get(2), fields.get(3)));
            }
        }
        if (text.size() > ENTRIES_MOST) {
            faults.add(text.size() + " entries, " + ENTRIES_MOST + " at most");
        }
        return new RedList(List.copyOf(lines), List.copyOf(cases), List.copyOf(faults));
    }

    /** What is wrong with an entry, or null. */
    private static String fault(List<String> fields) {
        if (fields.size() == TEST_FIELDS) {
            if (fields.get(1).isEmpty() || !ISSUE.matcher(fields.get(2)).matches()) {
                return "not 'class#method; cause; issue N'";
            }
            return isTest(fields.get(0)) ? null : "names no test";
        }
        if (fields.size() != CASE_FIELDS || fields.get(2).isEmpty() || !ISSUE.matcher(fields.get(3)).matches()
                || !SEED.matcher(fields.get(1)).matches()) {
            return "not 'class#method; cause; issue N' nor 'command; seed N; seen; issue N'";
        }
        if (!COMMAND.matcher(fields.get(0)).matches()) {
            return "names no command of the project or the bench";
        }
        return missingFile(fields.get(0)).map(file -> "its command names a file that is not there, " + file)
                .orElse(null);
    }

    private static Optional<String> missingFile(String command) {
        Matcher named = PROJECT_FILE.matcher(command);
        return named.results().map(r -> r.group()).filter(file -> !Files.exists(Path.of(file))).findFirst();
    }

    private static boolean isTest(String name) {
        int hash = name.indexOf('#');
        try {
            return hash > 0 && Arrays.stream(Class.forName(name.substring(0, hash)).getDeclaredMethods())
                    .anyMatch(m -> m.getName().equals(name.substring(hash + 1))
                            && m.isAnnotationPresent(org.junit.jupiter.api.Test.class));
        } catch (ClassNotFoundException e) {
            return false;
        }
    }

    Optional<Line> lineOf(Method test) {
        return lines.stream().filter(l -> l.test().equals(test.getDeclaringClass().getName() + "#" + test.getName()))
                .findFirst();
    }
}
