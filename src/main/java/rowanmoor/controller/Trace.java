package rowanmoor.controller;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
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
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.Channel;
import rowanmoor.ControlApi.ClassSpec;
import rowanmoor.ControlApi.DedupScope;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.ReportColumns;
import rowanmoor.ControlApi.Rules;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.Usage;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.RoutingPolicy;

/**
 * The events and actions of a controller's {@link RoutingPolicy}, tick by tick, as JSON lines. The first line
 * holds the settings and the seed, so that {@link #replay} can run the same ticks again and compare the
 * actions. Lines are written off the event loop ({@link AsyncLineWriter}): a disk that stalls or is full ends
 * the trace and affects nothing else.
 */
public final class Trace implements Closeable {

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
    private interface TypeName { }

    // The format of trace files: the names of components there, where they differ from those in Java.

    private interface MemberNames {
        @JsonProperty("listed") Availability availability();
    }

    private interface AppliedNames {
        @JsonProperty("took") long roundTrip();
    }

    private interface UsageNames {
        @JsonProperty("cls") int classIndex();
    }

    private interface WithdrawNames {
        @JsonProperty("out") boolean withdrawn();
    }

    private interface AdmitNames {
        @JsonProperty("classes") int classMask();
    }

    private interface BindNames {
        @JsonProperty("classes") int classMask();

        @JsonProperty("letBack") List<Backend> readmitted();
    }

    private interface ClassSpecNames {
        @JsonProperty("effect") Idempotency idempotency();

        @JsonProperty("group") DedupScope dedupScope();

        @JsonProperty("window") long dedupWindow();

        @JsonProperty("write") boolean mutating();

        @JsonProperty("ownZone") boolean ownZoneOnly();
    }

    private interface ReportColumnsNames {
        @JsonProperty("busy") int utilization();
    }

    private interface RulesNames {
        @JsonProperty("bareLimit") long maxTimeWithoutBackend();

        @JsonProperty("coldFor") long warmUpTime();

        @JsonProperty("coldFrom") double initialWarmth();

        @JsonProperty("fallMultiple") double overloadFactor();

        @JsonProperty("fallSpan") long overloadSpan();

        @JsonProperty("askWithin") long maxCatalogRetryDelay();
    }

    private interface ChannelNames {
        @JsonProperty("head") double messageOverhead();

        @JsonProperty("backlog") double maxBacklog();

        @JsonProperty("messagesMost") int maxMessages();

        @JsonProperty("messagesOver") long messageWindow();

        @JsonProperty("late") long typicalDelay();

        @JsonProperty("latest") long maxDelay();

        /** Left out where it is false, as in traces from before there was one. */
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean addressable();
    }

    private interface SettingsNames {
        @JsonProperty("mustAsk") boolean catalogOnRequest();

        @JsonProperty("mayProbe") boolean probesAllowed();

        @JsonProperty("ejects") int ejectAfterFailures();

        @JsonProperty("slices") int keyRanges();

        @JsonProperty("period") long reportInterval();

        @JsonProperty("hearsPerSecond") double reportLinesPerSecond();

        @JsonProperty("columns") ReportColumns reportColumns();
    }

    private static final ObjectMapper JSON = mapper();
    private static final long MAX_QUEUED_CHARS = 1 << 25;
    private final AsyncLineWriter out;

    static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper();
        mapper.addMixIn(Event.class, TypeName.class);
        mapper.addMixIn(Action.class, TypeName.class);
        for (Class<?> type : Event.class.getPermittedSubclasses()) {
            mapper.registerSubtypes(type);
        }
        for (Class<?> type : Action.class.getPermittedSubclasses()) {
            mapper.registerSubtypes(type);
        }
        mapper.addMixIn(Member.class, MemberNames.class);
        mapper.addMixIn(Applied.class, AppliedNames.class);
        mapper.addMixIn(Usage.class, UsageNames.class);
        mapper.addMixIn(Withdraw.class, WithdrawNames.class);
        mapper.addMixIn(Admit.class, AdmitNames.class);
        mapper.addMixIn(Bind.class, BindNames.class);
        mapper.addMixIn(ClassSpec.class, ClassSpecNames.class);
        mapper.addMixIn(ReportColumns.class, ReportColumnsNames.class);
        mapper.addMixIn(Rules.class, RulesNames.class);
        mapper.addMixIn(Channel.class, ChannelNames.class);
        mapper.addMixIn(Settings.class, SettingsNames.class);
        return mapper;
    }

    /**
     * Creates the file and writes its first line.
     *
     * @param onEnd called once, on any thread, with the reason if the trace ends early
     * @throws IOException if the file cannot be created
     */
    Trace(Path file, Settings settings, long seed, Consumer<String> onEnd) throws IOException {
        out = new AsyncLineWriter(Files.newBufferedWriter(file), MAX_QUEUED_CHARS, onEnd);
        ObjectNode header = JSON.createObjectNode();
        header.put("seed", seed);
        header.set("settings", JSON.valueToTree(settings));
        writeLine(header);
    }

    /** Writes one tick; does nothing if the trace has ended. */
    void write(long now, List<Event> events, List<Action> actions) {
        if (!out.isOpen()) {
            return;
        }
        ObjectNode tick = JSON.createObjectNode();
        tick.put("at", now);
        tick.set("events", toTree(events, new TypeReference<List<Event>>() { }));
        tick.set("actions", toTree(actions, new TypeReference<List<Action>>() { }));
        writeLine(tick);
    }

    private static <T> JsonNode toTree(List<T> items, TypeReference<List<T>> type) {
        try {
            return JSON.readTree(JSON.writerFor(type).writeValueAsString(items));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void writeLine(JsonNode node) {
        try {
            out.offer(JSON.writeValueAsString(node));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // cannot happen: a JSON tree can always be written
        }
    }

    @Override
    public void close() {
        out.close();
    }

    /**
     * The result of a replay.
     *
     * @param ticks ticks that were replayed
     * @param truncated whether the last line is cut off
     * @param difference the first tick whose actions differ, or null if all are the same
     */
    public record ReplayResult(int ticks, int events, int actions, boolean truncated, String difference) { }

    /**
     * Feeds the events of a trace to a new instance and compares its actions with those in the trace.
     *
     * @throws IOException if the file cannot be read or its first line is not valid
     */
    public static ReplayResult replay(Path file) throws IOException {
        int ticks = 0;
        int events = 0;
        int actions = 0;
        try (BufferedReader in = Files.newBufferedReader(file)) {
            JsonNode header = JSON.readTree(in.readLine());
            RoutingPolicy policy = new RoutingPolicy(JSON.treeToValue(header.get("settings"), Settings.class),
                    header.get("seed").asLong());
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                JsonNode tick;
                try {
                    tick = JSON.readTree(line);
                } catch (IOException e) {
                    return new ReplayResult(ticks, events, actions, true, null);
                }
                long now = tick.get("at").asLong();
                List<Event> replayedEvents = JSON.readerFor(new TypeReference<List<Event>>() { })
                        .readValue(tick.get("events"));
                replayedEvents.forEach(event -> policy.handle(now, event));
                JsonNode replayed = toTree(policy.decide(now), new TypeReference<List<Action>>() { });
                ticks++;
                events += replayedEvents.size();
                actions += replayed.size();
                if (!replayed.equals(tick.get("actions"))) {
                    return new ReplayResult(ticks, events, actions, false, "tick " + ticks + " at " + now
                            + ": ordered " + tick.get("actions") + ", replayed " + replayed);
                }
            }
        }
        return new ReplayResult(ticks, events, actions, false, null);
    }
}
