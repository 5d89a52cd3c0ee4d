package rowanmoor.controller;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Settings;
import rowanmoor.Logic;

/**
 * What a module was told and what it ordered, tick by tick, as JSON lines: enough to feed another instance
 * the same and compare. The first line has the settings and the seed.
 */
public final class Trace implements Closeable {

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
    private interface Named { }

    private static final ObjectMapper JSON = mapper();
    private final BufferedWriter out;

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

    Trace(Path file, Settings settings, long seed) throws IOException {
        out = Files.newBufferedWriter(file);
        ObjectNode head = JSON.createObjectNode();
        head.put("seed", seed);
        head.set("settings", JSON.valueToTree(settings));
        line(head);
    }

    void write(long now, List<Event> events, List<Action> actions) {
        ObjectNode tick = JSON.createObjectNode();
        tick.put("at", now);
        tick.set("events", tree(events, new TypeReference<List<Event>>() { }));
        tick.set("actions", tree(actions, new TypeReference<List<Action>>() { }));
        try {
            line(tick);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static <T> JsonNode tree(List<T> items, TypeReference<List<T>> type) {
        try {
            return JSON.readTree(JSON.writerFor(type).writeValueAsString(items));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void line(JsonNode node) throws IOException {
        out.write(JSON.writeValueAsString(node));
        out.write('\n');
    }

    /** Pushes what is buffered out to the file. */
    void flush() {
        try {
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        out.close();
    }

    /**
     * What a replay found. {@code difference} is null if all orders are the same; a cut last line is
     * told.
     */
    public record Replay(int ticks, int events, int actions, boolean cut, String difference) { }

    /** Feeds a trace's events to a new instance and compares what it orders with what was ordered. */
    public static Replay replay(Path file) throws IOException {
        int ticks = 0;
        int events = 0;
        int actions = 0;
        try (BufferedReader in = Files.newBufferedReader(file)) {
            JsonNode head = JSON.readTree(in.readLine());
            Logic logic = new Logic(JSON.treeToValue(head.get("settings"), Settings.class),
                    head.get("seed").asLong());
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                JsonNode tick;
                try {
                    tick = JSON.readTree(line);
                } catch (IOException e) {
                    return new Replay(ticks, events, actions, true, null);
                }
                long now = tick.get("at").asLong();
                List<Event> heard = JSON.readerFor(new TypeReference<List<Event>>() { })
                        .readValue(tick.get("events"));
                heard.forEach(event -> logic.on(now, event));
                JsonNode ordered = tree(logic.decide(now), new TypeReference<List<Action>>() { });
                ticks++;
                events += heard.size();
                actions += ordered.size();
                if (!ordered.equals(tick.get("actions"))) {
                    return new Replay(ticks, events, actions, false, "tick " + ticks + " at " + now
                            + ": ordered " + tick.get("actions") + ", replayed " + ordered);
                }
            }
        }
        return new Replay(ticks, events, actions, false, null);
    }
}
