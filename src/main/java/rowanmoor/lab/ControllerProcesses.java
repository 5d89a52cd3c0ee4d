package rowanmoor.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import rowanmoor.config.Section;
import rowanmoor.emulator.Outcome;

/**
 * Runs controllers in child processes of this program. Their log lines are kept in files; one of the lines
 * tells where the controller listens. Only processes started here are ever signalled.
 */
final class ControllerProcesses implements Controllers {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final DayFile day;
    private final Path dayFile;
    private final Path directory;
    private final Map<Integer, ChildProcess> running = new ConcurrentHashMap<>();
    private final List<ChildProcess> all = Collections.synchronizedList(new ArrayList<>());
    private final List<JsonNode> stats = Collections.synchronizedList(new ArrayList<>());
    private int starts;

    /** @param directory for the controllers' settings, traces and logs */
    ControllerProcesses(DayFile day, Path dayFile, Path directory) {
        this.day = day;
        this.dayFile = dayFile;
        this.directory = directory;
    }

    @Override
    public void start(int rank, InetSocketAddress roster, StartListener listener) throws IOException {
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
                    capture { dir "%s" }
                    roster { at "%s:%d"; service "backends"; wait "%dms"; empty-hold "%dms" }
                }
                """.formatted(quoted(dayFile.toAbsolutePath()), rank, day.controllerZones().size(), zone,
                quoted(directory.resolve(name + ".trace").toAbsolutePath()),
                quoted(directory.resolve("capture").toAbsolutePath()), roster.getHostString(),
                roster.getPort(), day.rosterWait() / 1_000_000, day.emptyHold() / 1_000_000));
        ChildProcess child = ChildProcess.start(name, "1g", directory.resolve(name + ".log"),
                line -> handleLogLine(rank, line, listener),
                "controller", "--config", config.toString(), "--seed",
                        Long.toString(day.seed() * 31 + start));
        running.put(rank, child);
        all.add(child);
    }

    static String quoted(Path path) {
        return path.toString().replace("\\", "\\\\").replace("\"", "\\\"");
    }

    private void handleLogLine(int rank, String text, StartListener listener) {
        if (!text.startsWith("{")) {
            return;
        }
        JsonNode line;
        try {
            line = JSON.readTree(text);
        } catch (IOException e) {
            return; // truncated when the process ended
        }
        if (line.has("at") && line.has("epoch")) {
            String at = line.get("at").asText();
            InetSocketAddress address = Section.parseAddress(at.replace("localhost", "127.0.0.1"));
            listener.started(rank, address, line.get("epoch").asLong());
        } else if (line.has("decideP99us")) {
            ((ObjectNode) line).put("rank", rank);
            stats.add(line);
        }
    }

    /** The statistics lines that the controllers logged, each with its rank. */
    List<JsonNode> stats() {
        return List.copyOf(stats);
    }

    @Override
    public List<Outcome.ControllerStats> totals() {
        List<Outcome.ControllerStats> all = new ArrayList<>();
        for (int rank = 0; rank < day.controllerZones().size(); rank++) {
            all.add(new Outcome.ControllerStats());
        }
        for (JsonNode line : stats()) { // in order: the last line of a rank wins
            Outcome.ControllerStats met = all.get(line.get("rank").asInt());
            met.totalQueuedLines = line.get("lines").asDouble();
            met.maxQueuedLines = Math.max(met.maxQueuedLines, line.get("mostWaiting").asDouble());
            met.maxPendingReportLines = Math.max(met.maxPendingReportLines,
                    line.get("mostReportsWaiting").asInt());
        }
        return all;
    }

    @Override
    public void kill(int rank) {
        ChildProcess child = running.remove(rank);
        if (child != null) {
            child.kill();
        }
    }

    @Override
    public void setPaused(int rank, boolean paused) throws IOException {
        ChildProcess child = running.get(rank);
        if (child != null) {
            child.setPaused(paused);
        }
    }

    @Override
    public void close() {
        running.values().forEach(ChildProcess::terminate);
        running.clear();
        all.forEach(ChildProcess::awaitExit);
        all.clear();
    }
}
