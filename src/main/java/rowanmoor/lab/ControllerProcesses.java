package rowanmoor.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import rowanmoor.config.Section;

/**
 * Controllers as processes of their own, started by this program's own command line. Their log lines are
 * kept; one of them tells where a controller listens. Only processes started here are ever signalled.
 */
final class ControllerProcesses implements Controllers {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final DayFile day;
    private final Path dayFile;
    private final Path directory;
    private final Map<Integer, Process> running = new ConcurrentHashMap<>();
    private final List<Thread> readers = new ArrayList<>();
    private final List<JsonNode> stats = java.util.Collections.synchronizedList(new ArrayList<>());
    private int starts;

    /** @param directory where their settings, traces and logs are put */
    ControllerProcesses(DayFile day, Path dayFile, Path directory) {
        this.day = day;
        this.dayFile = dayFile;
        this.directory = directory;
    }

    @Override
    public void start(int rank, InetSocketAddress roster, Up up) throws IOException {
        int start = ++starts;
        String name = "controller-" + rank + "-" + start;
        Path config = directory.resolve(name + ".kdl");
        String zone = day.site().zones().get(day.controllerZones().get(rank));
        Files.writeString(config, """
                site-from "%s"
                controller {
                    rank %d
                    instances %d
                    zone "%s"
                    listen "127.0.0.1:0"
                    stats-every "1s"
                    trace "%s"
                    roster { at "%s:%d"; service "backends"; wait "%dms"; empty-hold "%dms" }
                }
                """.formatted(quoted(dayFile.toAbsolutePath()), rank, day.controllerZones().size(), zone,
                quoted(directory.resolve(name + ".trace").toAbsolutePath()), roster.getHostString(),
                roster.getPort(), day.rosterWait() / 1_000_000, day.emptyHold() / 1_000_000));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process process = new ProcessBuilder(java, "-Xmx1g", "-cp", System.getProperty("java.class.path"),
                "rowanmoor.cli.Main", "controller", "--config", config.toString(), "--seed",
                Long.toString(day.seed() * 31 + start)).redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        running.put(rank, process);
        Thread reader = new Thread(() -> read(rank, process, directory.resolve(name + ".log"), up), name);
        reader.setDaemon(true);
        readers.add(reader);
        reader.start();
    }

    private static String quoted(Path path) {
        return path.toString().replace("\\", "\\\\").replace("\"", "\\\"");
    }

    private void read(int rank, Process process, Path log, Up up) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getErrorStream(),
                StandardCharsets.UTF_8)); BufferedWriter out = Files.newBufferedWriter(log)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                out.write(line);
                out.write('\n');
                if (line.startsWith("{")) {
                    hear(rank, JSON.readTree(line), up);
                }
            }
        } catch (IOException e) {
            // its process has ended; what it said before is kept
        }
    }

    private void hear(int rank, JsonNode line, Up up) {
        if (line.has("at") && line.has("epoch")) {
            // Logged as "/127.0.0.1:40001".
            String at = line.get("at").asText();
            up.up(rank, Section.parseAddress(at.substring(at.indexOf('/') + 1)), line.get("epoch").asLong());
        } else if (line.has("decideP99us")) {
            ((com.fasterxml.jackson.databind.node.ObjectNode) line).put("rank", rank);
            stats.add(line);
        }
    }

    /** The lines of figures that controllers logged, each with its rank. */
    List<JsonNode> stats() {
        return List.copyOf(stats);
    }

    @Override
    public void kill(int rank) {
        Process process = running.remove(rank);
        if (process != null) {
            process.destroyForcibly();
        }
    }

    @Override
    public void stall(int rank, boolean on) throws IOException {
        Process process = running.get(rank);
        if (process != null && process.isAlive()) {
            new ProcessBuilder("kill", on ? "-STOP" : "-CONT", Long.toString(process.pid())).start();
        }
    }

    @Override
    public void close() {
        List<Process> all = List.copyOf(running.values());
        running.clear();
        all.forEach(Process::destroy);
        try {
            for (Process process : all) {
                if (!process.waitFor(5, TimeUnit.SECONDS)) {
                    process.destroyForcibly();
                }
            }
            for (Thread reader : readers) {
                reader.join(5000);
            }
        } catch (InterruptedException e) {
            all.forEach(Process::destroyForcibly);
            Thread.currentThread().interrupt();
        }
    }
}
