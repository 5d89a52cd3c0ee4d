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
 * A child process that runs a command of this program. A reader thread writes its standard output and error
 * to a log file and passes each line to a consumer. Only processes started here are ever signalled.
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
            // the process has ended; the lines read so far are kept
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process (SIGKILL). */
    void kill() {
        process.destroyForcibly();
    }

    /** Pauses (SIGSTOP) or resumes (SIGCONT) the process. */
    void setPaused(boolean paused) throws IOException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", paused ? "-STOP" : "-CONT", Long.toString(process.pid())).start();
        }
    }

    /** Requests termination (SIGTERM); {@link #awaitExit} waits for it. */
    void terminate() {
        process.destroy();
    }

    /** Waits up to the given milliseconds for the process to exit; returns whether it has. */
    boolean exitsWithin(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Waits for the process to exit; kills it after {@value #EXIT_TIMEOUT_SECONDS} s. */
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
