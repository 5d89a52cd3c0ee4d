package rowanmoor.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.AdmissionMode;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Channel;
import rowanmoor.ControlApi.ClassSpec;
import rowanmoor.ControlApi.DedupScope;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.MarkAt;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probe;
import rowanmoor.ControlApi.Probed;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.ReportColumns;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.ControlApi.Rules;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.Timer;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.ControlApi.Usage;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.ControlApi.WithdrawAt;

/**
 * The format of trace files stays the same byte for byte, whatever the Java names are. The lines below were
 * written before components of {@link rowanmoor.ControlApi} were renamed.
 */
class TraceFormatTest {

    private static final String SETTINGS = "{\"instances\":2,\"zones\":3,\"classes\":["
            + "{\"aim\":700000000,\"deadline\":2000000000,\"worth\":4.0,\"lateWorth\":0.3,"
            + "\"effect\":\"KEYED\",\"group\":\"ZONE\",\"window\":1500000000,\"write\":true,"
            + "\"ownZone\":false,\"onlyZones\":[1],\"onlyKinds\":[]},"
            + "{\"aim\":900000000,\"deadline\":3000000000,\"worth\":1.0,\"lateWorth\":0.2,"
            + "\"effect\":\"SAFE\",\"group\":\"ALL\",\"window\":5000000000,\"write\":false,"
            + "\"ownZone\":true,\"onlyZones\":[],\"onlyKinds\":[2]}],"
            + "\"mustAsk\":true,\"mayProbe\":false,\"admission\":\"RATE\",\"ejects\":5,\"proxies\":8,"
            + "\"slices\":4,\"period\":1000000000,\"hearsPerSecond\":200.5,\"crossZonePrice\":0.05,"
            + "\"columns\":{\"queue\":-1,\"busy\":1},"
            + "\"rules\":{\"bareLimit\":3000000000,\"drainGrace\":2500000000,\"coldFor\":9000000000,"
            + "\"coldFrom\":0.2,\"fallMultiple\":3.5,\"fallSpan\":1000000000,\"askWithin\":10000000000},"
            + "\"channel\":{\"linesPerSecond\":3000.0,\"head\":7.0,\"backlog\":5000.0,\"messagesMost\":12,"
            + "\"messagesOver\":10000000000,\"late\":150000000,\"latest\":400000000}}";

    private static final String EVENTS = "[{\"is\":\"ControlApi$Members\",\"kind\":\"FULL\",\"version\":41,"
            + "\"entries\":[{\"backend\":{\"id\":10999445004096},\"zone\":1,\"kind\":2,\"cell\":3,"
            + "\"listed\":\"READY\",\"weight\":1.5,\"startedAt\":7},"
            + "{\"backend\":{\"id\":10999445069632},\"zone\":0,\"kind\":0,\"cell\":0,"
            + "\"listed\":\"DRAINING\",\"weight\":1.0,\"startedAt\":0}]},"
            + "{\"is\":\"ControlApi$Timer\",\"token\":77},"
            + "{\"is\":\"ControlApi$Probed\",\"backend\":{\"id\":10999445004096},\"ok\":true,"
            + "\"status\":200,\"latency\":8,\"load\":[2.0,14.5]},"
            + "{\"is\":\"ControlApi$ProxyJoined\",\"proxy\":41,\"zone\":1,\"rate\":6.5,\"fresh\":true},"
            + "{\"is\":\"ControlApi$ProxyLeft\",\"proxy\":41},"
            + "{\"is\":\"ControlApi$Applied\",\"proxy\":41,\"mark\":12,\"took\":900},"
            + "{\"is\":\"ControlApi$Tally\",\"backend\":{\"id\":10999445004096},\"zone\":1,\"tries\":14,"
            + "\"failed\":3,\"latency\":7,\"span\":9,\"load\":[]},"
            + "{\"is\":\"ControlApi$Usage\",\"proxy\":41,\"cls\":1,\"requests\":9,\"failed\":2,\"span\":5}]";

    private static final String ACTIONS = "[{\"is\":\"ControlApi$Watch\",\"on\":true},"
            + "{\"is\":\"ControlApi$Probe\",\"backend\":{\"id\":10999445004096}},"
            + "{\"is\":\"ControlApi$SetLine\",\"table\":117,\"backend\":{\"id\":10999445004096},"
            + "\"weight\":0.75},"
            + "{\"is\":\"ControlApi$Withdraw\",\"backend\":{\"id\":10999445004096},\"out\":true,"
            + "\"boundOnly\":true},"
            + "{\"is\":\"ControlApi$Admit\",\"table\":117,\"classes\":2,\"level\":0.75,"
            + "\"retry\":\"ONCE_UNRUN\"},"
            + "{\"is\":\"ControlApi$Mark\",\"number\":12},"
            + "{\"is\":\"ControlApi$Bind\",\"proxy\":41,\"table\":117,\"classes\":3,"
            + "\"letBack\":[{\"id\":10999445069632}]},"
            + "{\"is\":\"ControlApi$TimerAt\",\"time\":7,\"token\":77},"
            + "{\"is\":\"ControlApi$Log\",\"text\":\"ab\"},"
            + "{\"is\":\"ControlApi$WithdrawAt\",\"backends\":[{\"id\":10999445069632}],\"proxies\":[41]},"
            + "{\"is\":\"ControlApi$MarkAt\",\"number\":13,\"proxies\":[41]}]";

    private static final long MS = 1_000_000L;
    private static final Backend FIRST = new Backend(0x0a0102031f40L);
    private static final Backend SECOND = new Backend(0x0a0102041f40L);

    private static Settings settings() {
        ClassSpec keyed = new ClassSpec(700 * MS, 2000 * MS, 4, 0.3, Idempotency.KEYED, DedupScope.ZONE,
                1500 * MS, true, false, Set.of(1), Set.of());
        ClassSpec safe = new ClassSpec(900 * MS, 3000 * MS, 1, 0.2, Idempotency.SAFE, DedupScope.ALL,
                5000 * MS, false, true, Set.of(), Set.of(2));
        return new Settings(2, 3, List.of(keyed, safe), true, false, AdmissionMode.RATE, 5, 8, 4, 1000 * MS,
                200.5, 0.05, new ReportColumns(-1, 1),
                new Rules(3000 * MS, 2500 * MS, 9000 * MS, 0.2, 3.5, 1000 * MS, 10_000 * MS),
                new Channel(3000, 7, 5000, 12, 10_000 * MS, 150 * MS, 400 * MS, false));
    }

    private static List<Event> events() {
        return List.of(new Members(CatalogUpdateKind.FULL, 41, List.of(
                        new Member(FIRST, 1, 2, 3, Availability.READY, 1.5, 7),
                        new Member(SECOND, 0, 0, 0, Availability.DRAINING, 1, 0))),
                new Timer(77), new Probed(FIRST, true, 200, 8, List.of(2.0, 14.5)),
                new ProxyJoined(41, 1, 6.5, true), new ProxyLeft(41), new Applied(41, 12, 900),
                new Tally(FIRST, 1, 14, 3, 7, 9, List.of()), new Usage(41, 1, 9, 2, 5));
    }

    private static List<Action> actions() {
        return List.of(new Watch(true), new Probe(FIRST), new SetLine(117, FIRST, 0.75),
                new Withdraw(FIRST, true, true), new Admit(117, 2, 0.75, RetryPolicy.ONCE_UNRUN), new Mark(12),
                new Bind(41, 117, 3, List.of(SECOND)), new TimerAt(7, 77), new Log("ab"),
                new WithdrawAt(List.of(SECOND), List.of(41)), new MarkAt(13, List.of(41)));
    }

    @Test
    void linesAreWrittenInTheSameFormat(@TempDir Path directory) throws IOException {
        Path file = directory.resolve("format.trace");
        try (Trace trace = new Trace(file, settings(), 3, reason -> { })) {
            trace.write(5, events(), actions());
        }
        assertEquals("{\"seed\":3,\"settings\":" + SETTINGS + "}\n"
                + "{\"at\":5,\"events\":" + EVENTS + ",\"actions\":" + ACTIONS + "}\n", Files.readString(file));
    }

    @Test
    void linesInTheSameFormatAreRead() throws IOException {
        ObjectMapper json = Trace.mapper();
        JsonNode settings = json.readTree(SETTINGS);
        assertEquals(settings(), json.treeToValue(settings, Settings.class));
        assertEquals(events(), json.readValue(EVENTS, new TypeReference<List<Event>>() { }));
        assertEquals(actions(), json.readValue(ACTIONS, new TypeReference<List<Action>>() { }));
    }

    @Test
    void everyEventAndActionIsCovered() {
        assertEquals(Set.of(Event.class.getPermittedSubclasses()), classesOf(events()));
        assertEquals(Set.of(Action.class.getPermittedSubclasses()), classesOf(actions()));
    }

    private static Set<Class<?>> classesOf(List<?> items) {
        return items.stream().map(Object::getClass).collect(Collectors.toSet());
    }
}
