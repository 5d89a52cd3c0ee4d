package rowanmoor.lab;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One process of this program, started by its own command line. What it prints on both outputs is kept in a
 * file and told line by line, on a thread of its own. Only processes started here are ever signalled.
 */
final class ChildProcess {

    private static final long EXIT_TIMEOUT_SECONDS = 5;

    private final Process process;
    private final Thread reader;

    private ChildProcess(Process process, Thread reader) {
        this.process = process;
        this.reader = reader;
    }

    static ChildProcess start(String name, String heap, Path log, Consumer<String> line, String... arguments)
            throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx" + heap, "-cp",
                System.getProperty("java.class.path"), "rowanmoor.cli.Main"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        Thread reader = new Thread(() -> read(process, log, line), name);
        reader.setDaemon(true);
        reader.start();
        return new ChildProcess(process, reader);
    }

    private static void read(Process process, Path log, Consumer<String> each) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getInputStream(),
                StandardCharsets.UTF_8)); BufferedWriter out = Files.newBufferedWriter(log)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                out.write(line);
                out.write('\n');
                each.accept(line);
            }
        } catch (IOException e) {
            // its process has ended; what it said before is kept
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Kills it outright. */
    void kill() {
        process.destroyForcibly();
    }

    /** Makes it stand still, or go on. */
    void setPaused(boolean on) throws IOException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", on ? "-STOP" : "-CONT", Long.toString(process.pid())).start();
        }
    }

    /** Asks it to end; {@link #awaitExit} waits for that. */
    void terminate() {
        process.destroy();
    }

    /** Waits for its end; false if it is still there after so many milliseconds. */
    boolean exitsWithin(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    void awaitExit() {
        try {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
            reader.join(EXIT_TIMEOUT_SECONDS * 1000);
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
