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

/** The lines of KNOWN-RED.txt: tests that fail for a real fault, each with its cause and its issue. */
record RedList(List<Line> lines, List<String> faults) {

    static final int LINES_MOST = 3;
    static final RedList OF_PROJECT = read(Path.of("KNOWN-RED.txt"));

    /** @param test a class and a method of it, joined by # */
    record Line(String test, String cause, String issue) { }

    private static RedList read(Path file) {
        try {
            return of(Files.exists(file) ? Files.readAllLines(file) : List.of());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static RedList of(List<String> text) {
        List<Line> lines = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        for (String line : text) {
            List<String> parts = Arrays.stream(line.split(";", -1)).map(String::trim).toList();
            if (parts.size() != 3 || parts.get(1).isEmpty() || !parts.get(2).matches("issue \\d+")) {
                faults.add("not 'class#method; cause; issue N': " + line);
            } else if (!isTest(parts.get(0))) {
                faults.add("names no test: " + line);
            } else {
                lines.add(new Line(parts.get(0), parts.get(1), parts.get(2)));
            }
        }
        if (text.size() > LINES_MOST) {
            faults.add(text.size() + " lines, " + LINES_MOST + " at most");
        }
        return new RedList(List.copyOf(lines), List.copyOf(faults));
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
