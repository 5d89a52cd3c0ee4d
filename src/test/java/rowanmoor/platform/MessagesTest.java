package rowanmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Parsing of field lists: units, absent values, and errors that name the bad field. */
class MessagesTest {

    private static final String OUTCOMES =
            "outcomes locality south endpoint s-1 total 212 errors 3 rtt 41.7 interval 1000.0 metrics queue:7,latency_ms:0.6";

    private final Messages messages = new Messages(InMemoryPlatform.namedSettings());

    private Message parse(String message) throws MalformedMessageException {
        return messages.parse(List.of(message.split(" ")));
    }

    @Test
    void fieldsAndUnitsAreConverted() throws MalformedMessageException {
        assertEquals(new Message.Hello(17, 0, 21.5, true), parse("hello node 17 locality north w 21.5 cold 1"));
        assertEquals(new Message.Ack(17, 905, 310_400_000), parse("ack node 17 nonce 905 latency 310.4"));
        assertEquals(new Message.Outcomes("s-1", 1, 212, 3, 41_700_000, 1_000_000_000, List.of(7.0, 0.6)),
                parse(OUTCOMES));
        assertEquals(new Message.Demand(17, 1, 19, 0, 1_000_000_000),
                parse("demand node 17 route pay total 19 errors 0 interval 1000.0"));
        assertEquals(new Message.Demand(17, 1, 0, 1, 1_000_000_000),
                parse("demand node 17 route pay total 0 errors 1 interval 1000.0"), "the request arrived before the interval");
        assertEquals(new Message.Agent(1), parse("agent locality south"));
        assertEquals(new Message.Probe(), parse("probe"));
    }

    @Test
    void absentMetricsAreNotReadAsZero() throws MalformedMessageException {
        assertEquals(List.of(), ((Message.Outcomes) parse(OUTCOMES.replaceAll(" metrics .*", ""))).load());
        assertEquals(List.of(), ((Message.Outcomes) parse(OUTCOMES.replace("latency_ms", "other"))).load(),
                "a report without one of the configured columns is ignored");
        assertEquals(0, ((Message.Outcomes) parse(OUTCOMES.replace(" rtt 41.7", "").replace("errors 3",
                "errors 212"))).latency(), "no successful try, no mean latency");
        assertThrows(MalformedMessageException.class, () -> parse(OUTCOMES.replace(" rtt 41.7", "")),
                "successful tries without a mean latency");
    }

    @Test
    void errorNamesTheMalformedField() {
        String[][] malformed = {{"endpoint s-1", "endpoint"}, {"total 212", "total"}, {"errors 3", "errors"},
            {"rtt 41.7", "rtt"}, {"interval 1000.0", "interval"}, {"locality south", "locality"},
            {"queue:7", "metrics"}};
        for (String[] field : malformed) {
            for (String bad : List.of("-1", "NaN", "Infinity", "x", "1e300", "0x1p3", "1f", "")) {
                if (field[1].equals("endpoint")) { // any text may be an ID
                    continue;
                }
                String value = field[1].equals("metrics") ? "queue:" + bad : field[1] + " " + bad;
                boolean valid = field[1].equals("metrics") && bad.equals("1e300");
                List<String> parts = new ArrayList<>(List.of(OUTCOMES.replace(field[0], value).split(" ")));
                if (bad.isEmpty()) {
                    parts = new ArrayList<>(List.of(OUTCOMES.split(" ")));
                    int at = parts.indexOf(field[1]) + 1;
                    parts.set(at, field[1].equals("metrics") ? "queue:" : "");
                }
                List<String> sent = parts;
                if (!valid) {
                    MalformedMessageException thrown = assertThrows(MalformedMessageException.class,
                            () -> messages.parse(sent), sent.toString());
                    assertTrue(thrown.getMessage().startsWith("outcomes " + field[1]), thrown.getMessage());
                }
            }
        }
        assertThrows(MalformedMessageException.class, () -> parse("demand node 40 route pay total 1 errors 0 interval 1"));
        assertThrows(MalformedMessageException.class, () -> parse("demand node 1 route none total 1 errors 0 interval 1"));
        assertThrows(MalformedMessageException.class, () -> parse("demand node 1 route pay total 1 errors 0 interval 0"));
        assertThrows(MalformedMessageException.class, () -> parse("hello node 1 locality west w 1 cold 0"));
        assertThrows(MalformedMessageException.class, () -> parse("hello node 1 locality north w 1 cold 2"));
        assertThrows(MalformedMessageException.class, () -> parse("hello node 1 locality north w 1"));
        assertThrows(MalformedMessageException.class, () -> parse("hello node 1 node 2 locality north w 1 cold 0"));
        assertThrows(MalformedMessageException.class, () -> parse("ack node 1 nonce 65536 latency 1"));
        assertThrows(MalformedMessageException.class, () -> parse("ack node 1 nonce 5 latency"));
        assertThrows(MalformedMessageException.class, () -> parse("push endpoints s-1:1"));
    }

    @Test
    void randomlyChangedMessagesAreParsedOrRefusedAsMalformed() {
        Random random = new Random(5);
        List<String> words = List.of("outcomes", "demand", "hello", "ack", "agent", "probe", "node", "locality",
                "endpoint", "total", "errors", "rtt", "interval", "metrics", "route", "w", "cold", "nonce", "north",
                "pay", "s-1", "", "0", "1", "-1", "1e9", "9".repeat(30), "queue:1,latency_ms:2", ":", ",", "=", "\u0000",
                "+");
        int parsed = 0;
        for (int i = 0; i < 100_000; i++) {
            List<String> parts = new ArrayList<>(List.of(i % 2 == 0 ? OUTCOMES.split(" ")
                    : "demand node 17 route pay total 19 errors 0 interval 1000.0".split(" ")));
            for (int n = random.nextInt(3); n >= 0; n--) {
                parts.set(random.nextInt(parts.size()), words.get(random.nextInt(words.size())));
            }
            try {
                messages.parse(parts);
                parsed++;
            } catch (MalformedMessageException e) {
                assertTrue(e.getMessage().length() < 200, e.getMessage());
            }
        }
        assertTrue(parsed > 1000 && parsed < 50_000, parsed + " were parsed");
    }
}
