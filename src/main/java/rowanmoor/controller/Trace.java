package rowanmoor.controller;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Settings;
import rowanmoor.RoutingPolicy;

/**
 * What a module was told and what it ordered, tick by tick, as JSON lines: enough to feed another instance
 * the same and compare. The first line has the settings and the seed. It is written beside the loop
 * ({@link AsyncLineWriter}): a disk that stalls or is full ends the trace, and nothing else.
 */
public final class Trace implements Closeable {

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
    private interface Named { }

    private static final ObjectMapper JSON = mapper();
    private static final long CHARS_MOST = 1 << 25;
    private final AsyncLineWriter out;

    private static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper();
        mapper.addMixIn(Event.class, Named.class);
        mapper.addMixIn(Action.class, Named.class);
        for (Class<?> kind : Event.class.getPermittedSubclasses()) {
            mapper.registerSubtypes(kind);
        }
        for (Class<?> kind : Action.class.getPermittedSubclasses()) {
            mapper.registerSubtypes(kind);
        }
        return mapper;
    }

    /** @param lost hears once, on any thread, why the trace has ended before its time */
    Trace(Path file, Settings settings, long seed, Consumer<String> lost) throws IOException {
        out = new AsyncLineWriter(Files.newBufferedWriter(file), CHARS_MOST, lost);
        ObjectNode head = JSON.createObjectNode();
        head.put("seed", seed);
        head.set("settings", JSON.valueToTree(settings));
        line(head);
    }

    void write(long now, List<Event> events, List<Action> actions) {
        if (!out.isOpen()) {
            return;
        }
        ObjectNode tick = JSON.createObjectNode();
        tick.put("at", now);
        tick.set("events", tree(events, new TypeReference<List<Event>>() { }));
        tick.set("actions", tree(actions, new TypeReference<List<Action>>() { }));
        line(tick);
    }

    private static <T> JsonNode tree(List<T> items, TypeReference<List<T>> type) {
        try {
            return JSON.readTree(JSON.writerFor(type).writeValueAsString(items));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void line(JsonNode node) {
        try {
            out.offer(JSON.writeValueAsString(node));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // what was decided is always JSON
        }
    }

    @Override
    public void close() {
        out.close();
    }

    /**
     * What a replay found. {@code difference} is null if all orders are the same; a cut last line is
     * told.
     */
    public record ReplayResult(int ticks, int events, int actions, boolean truncated, String difference) { }

    /** Feeds a trace's events to a new instance and compares what it orders with what was ordered. */
    public static ReplayResult replay(Path file) throws IOException {
        int ticks = 0;
        int events = 0;
        int actions = 0;
        try (BufferedReader in = Files.newBufferedReader(file)) {
            JsonNode head = JSON.readTree(in.readLine());
            RoutingPolicy logic = new RoutingPolicy(JSON.treeToValue(head.get("settings"), Settings.class),
                    head.get("seed").asLong());
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                JsonNode tick;
                try {
                    tick = JSON.readTree(line);
                } catch (IOException e) {
                    return new ReplayResult(ticks, events, actions, true, null);
                }
                long now = tick.get("at").asLong();
                List<Event> heard = JSON.readerFor(new TypeReference<List<Event>>() { })
                        .readValue(tick.get("events"));
                heard.forEach(event -> logic.handle(now, event));
                JsonNode ordered = tree(logic.decide(now), new TypeReference<List<Action>>() { });
                ticks++;
                events += heard.size();
                actions += ordered.size();
                if (!ordered.equals(tick.get("actions"))) {
                    return new ReplayResult(ticks, events, actions, false, "tick " + ticks + " at " + now
                            + ": ordered " + tick.get("actions") + ", replayed " + ordered);
                }
            }
        }
        return new ReplayResult(ticks, events, actions, false, null);
    }
}
