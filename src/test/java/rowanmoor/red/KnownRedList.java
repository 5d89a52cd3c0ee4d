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
 * The entries of KNOWN-RED.txt, one per line, with fields separated by semicolons. An entry for a test that fails
 * because of a real fault has three fields: class and method, cause, issue. An entry for a case that is run by a
 * command has four: command, seed, symptom, issue. Any other line is an error in the list and fails the build.
 *
 * @param tests listed tests
 * @param cases listed cases that are run by a command
 * @param errors problems with the list, one text per invalid entry
 */
record KnownRedList(List<ListedTest> tests, List<ListedCase> cases, List<String> errors) {

    static final int MAX_ENTRIES = 12;
    private static final int TEST_FIELDS = 3;
    private static final int CASE_FIELDS = 4;
    private static final Pattern ISSUE_PATTERN = Pattern.compile("issue \\d+");
    private static final Pattern SEED_PATTERN = Pattern.compile("seeds? \\d+(, \\d+)*( to \\d+)?");
    /** A program of the project, or of the bench in its usual directory next to the checkout, with arguments. */
    private static final Pattern COMMAND_PATTERN = Pattern.compile("(\\./rowanmoor|deploy/\\S+\\.sh|\\.\\./given/kit/\\S+) \\S.*");
    private static final Pattern PROJECT_FILE_PATTERN = Pattern.compile("(?<=^|\\s)(deploy|days|conf|src)/\\S+");
    static final KnownRedList PROJECT_LIST = read(Path.of("KNOWN-RED.txt"));

    /** @param testName a class and one of its methods, joined by # */
    record ListedTest(String testName, String cause, String issue) { }

    /**
     * @param command runs the case from the root of a checkout
     * @param seed seed or seeds of the case
     */
    record ListedCase(String command, String seed, String symptom, String issue) { }

    private static KnownRedList read(Path file) {
        try {
            return parse(Files.exists(file) ? Files.readAllLines(file) : List.of());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static KnownRedList parse(List<String> fileLines) {
        List<ListedTest> tests = new ArrayList<>();
        List<ListedCase> cases = new ArrayList<>();
        List<String> errors = new ArrayList<>();
        for (String line : fileLines) {
            List<String> fields = Arrays.stream(line.split(";", -1)).map(String::trim).toList();
            String error = validate(fields);
            if (error != null) {
                errors.add(error + ": " + line);
            } else if (fields.size() == TEST_FIELDS) {
                tests.add(new ListedTest(fields.get(0), fields.get(1), fields.get(2)));
            } else {
                cases.add(new ListedCase(fields.get(0), fields.get(1), fields.get(2), fields.get(3)));
            }
        }
        if (fileLines.size() > MAX_ENTRIES) {
            errors.add(fileLines.size() + " entries, at most " + MAX_ENTRIES + " are allowed");
        }
        return new KnownRedList(List.copyOf(tests), List.copyOf(cases), List.copyOf(errors));
    }

    /** Returns the problem with an entry, or null. */
    private static String validate(List<String> fields) {
        if (fields.size() == TEST_FIELDS) {
            if (fields.get(1).isEmpty() || !ISSUE_PATTERN.matcher(fields.get(2)).matches()) {
                return "not 'class#method; cause; issue N'";
            }
            return isTest(fields.get(0)) ? null : "names no test";
        }
        if (fields.size() != CASE_FIELDS || fields.get(2).isEmpty() || !ISSUE_PATTERN.matcher(fields.get(3)).matches()
                || !SEED_PATTERN.matcher(fields.get(1)).matches()) {
            return "neither 'class#method; cause; issue N' nor 'command; seed N; symptom; issue N'";
        }
        if (!COMMAND_PATTERN.matcher(fields.get(0)).matches()) {
            return "names no command of the project or the bench";
        }
        return missingFile(fields.get(0)).map(file -> "its command names a missing file, " + file)
                .orElse(null);
    }

    private static Optional<String> missingFile(String command) {
        Matcher matcher = PROJECT_FILE_PATTERN.matcher(command);
        return matcher.results().map(r -> r.group()).filter(file -> !Files.exists(Path.of(file))).findFirst();
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

    Optional<ListedTest> entryFor(Method test) {
        return tests.stream().filter(l -> l.testName().equals(test.getDeclaringClass().getName() + "#" + test.getName()))
                .findFirst();
    }
}
