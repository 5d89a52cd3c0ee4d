package rowanmoor.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.Usage;
import rowanmoor.channel.Frame;
import rowanmoor.config.ConfigException;
import rowanmoor.config.ControllerConfig;

/** The driver and its parts, on a clock that the test advances. */
class DriverPartsTest {

    private static final long NS_PER_SECOND = 1_000_000_000L;
    private static final long START_NS = 1_000_000 * NS_PER_SECOND;

    private static Frame.Report report(int tries, int requests) {
        return new Frame.Report(List.of(new Frame.Tally(new Backend(1), tries, 1, (tries - 1) * 10L, NS_PER_SECOND,
                List.of(0.5))), List.of(new Frame.Use(0, requests, 0, NS_PER_SECOND)));
    }

    @Test
    void reportsAreSummedByBackendAndZoneAndByProxyAndClass() {
        Intake intake = new Intake(100, NS_PER_SECOND, START_NS);
        intake.addReport(1, 0, report(5, 7));
        intake.addReport(2, 0, report(6, 8));
        intake.addReport(3, 1, report(7, 9));
        List<Event> released = new ArrayList<>();
        intake.release(START_NS + NS_PER_SECOND / 2, released::add);
        assertEquals(0, released.size(), "released before the end of the period");
        intake.release(START_NS + NS_PER_SECOND, released::add);
        assertEquals(5, released.size());
        assertEquals(new Tally(new Backend(1), 0, 11, 2, 10, NS_PER_SECOND, List.of(0.5)), released.get(0));
        assertEquals(new Usage(2, 0, 8, 0, NS_PER_SECOND), released.get(3));
    }

    @Test
    void intakeReleasesTheOldestLinesFirstAtItsRateAndAggregatesTheRest() {
        Intake intake = new Intake(2, NS_PER_SECOND, START_NS);
        List<Event> released = new ArrayList<>();
        for (int second = 1; second <= 3; second++) {
            for (int proxy = 0; proxy < 4; proxy++) {
                intake.addReport(proxy, 0, new Frame.Report(List.of(),
                        List.of(new Frame.Use(0, 10, 0, NS_PER_SECOND))));
            }
            intake.release(START_NS + second * NS_PER_SECOND, released::add);
        }
        assertEquals(6, released.size(), "2 lines per second");
        assertEquals(List.of(0, 1, 2, 3, 0, 1), released.stream().map(e -> ((Usage) e).proxy()).toList());
        assertEquals(new Usage(2, 0, 20, 0, 2 * NS_PER_SECOND), released.get(2), "pending lines must be aggregated");
        long requests = released.stream().mapToLong(e -> ((Usage) e).requests()).sum();
        assertEquals(4, intake.maxPendingLines());
        for (int second = 4; second < 8; second++) {
            intake.release(START_NS + second * NS_PER_SECOND, released::add);
        }
        requests = released.stream().mapToLong(e -> ((Usage) e).requests()).sum();
        assertEquals(120, requests, "no request may be lost");
    }

    @Test
    void outboxSendsAtTheLineRateAndCountsQueuedLines() {
        Outbox<String> outbox = new Outbox<>(10, START_NS);
        outbox.add(START_NS, 1, "a", 5);
        assertEquals(15, outbox.add(START_NS, 2, "b", 10).queuedLines());
        assertNull(outbox.poll(START_NS + NS_PER_SECOND / 4));
        assertEquals("a", outbox.poll(START_NS + NS_PER_SECOND / 2).message());
        assertEquals(10, outbox.queuedLines());
        assertEquals(START_NS + NS_PER_SECOND * 3 / 2, outbox.nextSendAt());
        outbox.discard(2);
        assertEquals(0, outbox.queuedLines());
        assertEquals(Long.MAX_VALUE, outbox.nextSendAt());
        outbox.add(START_NS + 9 * NS_PER_SECOND, 1, "c", 10);
        assertNull(outbox.poll(START_NS + 9 * NS_PER_SECOND), "an idle channel must not accumulate credit");
        assertNotNull(outbox.poll(START_NS + 10 * NS_PER_SECOND));
        assertEquals(15, outbox.maxQueuedLines());
    }

    /** Feeds 20 s of scripted events to a driver; returns all of its side effects in order. */
    private static List<String> runScenario(long seed, Trace trace) throws ConfigException {
        Settings settings = ControllerConfig.read(Path.of("conf/controller.kdl")).site().settings(1);
        List<String> effects = new ArrayList<>();
        Driver driver = new Driver(settings, seed, 5, START_NS, new Driver.Environment() {
            @Override
            public void watch(boolean on) {
                effects.add("watch " + on);
            }

            @Override
            public void probe(Backend backend) {
                effects.add("probe " + backend);
            }

            @Override
            public void send(int proxy, Frame frame) {
                effects.add(proxy + " " + frame);
            }

            @Override
            public void log(String text) {
                effects.add(text);
            }

            @Override
            public void onDecision(long now, List<Event> events, List<Action> actions, long durationNs) {
                if (trace != null) {
                    trace.write(now, events, actions);
                }
            }
        }, () -> 0);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            members.add(new Member(new Backend(100 + i), i % 2, 0, 0, Availability.READY, 1, 0));
        }
        driver.onMembers(new Members(CatalogUpdateKind.FULL, 1, members));
        for (int p = 0; p < 10; p++) {
            driver.onProxyJoined(START_NS, new Frame.Hello(1, p, p, p % 2, 5, true, 0, 0, "p"));
        }
        for (long now = START_NS; now < START_NS + 20 * NS_PER_SECOND; now += NS_PER_SECOND / 10) {
            if ((now - START_NS) % NS_PER_SECOND == 0) {
                for (int p = 0; p < 10; p++) {
                    driver.onReport(p, new Frame.Report(List.of(new Frame.Tally(new Backend(100 + p % 8), 20, p,
                            30 * NS_PER_SECOND / 10, NS_PER_SECOND, List.of())),
                            List.of(new Frame.Use(0, 20, 0, NS_PER_SECOND))));
                }
            }
            if (now == START_NS + 5 * NS_PER_SECOND) {
                driver.onProxyLeft(3);
                driver.onMembers(new Members(CatalogUpdateKind.DELTA, 2, List.of(members.get(2).asGone())));
            }
            driver.tick(now);
        }
        return effects;
    }

    @Test
    void sameEventsGiveTheSameEffects() throws ConfigException {
        List<String> first = runScenario(3, null);
        assertTrue(first.size() > 50, first.size() + " lines");
        assertEquals(first, runScenario(3, null));
    }

    @Test
    void replayDetectsTruncatedAndModifiedTraces(@TempDir Path dir)
            throws IOException, ConfigException {
        Path file = dir.resolve("t.trace");
        Settings settings = ControllerConfig.read(Path.of("conf/controller.kdl")).site().settings(1);
        try (Trace trace = new Trace(file, settings, 3, reason -> { })) {
            runScenario(3, trace);
        }
        Trace.ReplayResult replay = Trace.replay(file);
        assertNull(replay.difference());
        assertTrue(replay.ticks() > 10 && !replay.truncated());
        String text = Files.readString(file);
        Files.writeString(file, text.substring(0, text.length() - 40));
        assertTrue(Trace.replay(file).truncated());
        Files.writeString(file, text.replaceFirst("\"seed\":3", "\"seed\":4")
                .replaceFirst("\"listed\":\"READY\"", "\"listed\":\"DRAINING\""));
        assertNotNull(Trace.replay(file).difference());
    }

    @Test
    void marksOfAnotherEpochAndUnknownMarksAreIgnored() throws ConfigException {
        Settings settings = ControllerConfig.read(Path.of("conf/controller.kdl")).site().settings(1);
        List<Event> fedEvents = new ArrayList<>();
        Driver driver = new Driver(settings, 1, 5, START_NS, new NoEffects() {
            @Override
            public void onDecision(long now, List<Event> events, List<Action> actions, long durationNs) {
                fedEvents.addAll(events);
            }
        }, () -> 0);
        driver.onProxyJoined(START_NS, new Frame.Hello(1, 1, 1, 0, 5, true, 0, 0, "p"));
        driver.tick(START_NS);
        driver.onApplied(START_NS, 1, new Frame.Applied(4, 1, 1));
        driver.onApplied(START_NS, 1, new Frame.Applied(5, 1, 60000));
        driver.tick(START_NS + NS_PER_SECOND);
        assertTrue(fedEvents.stream().noneMatch(e -> e instanceof rowanmoor.ControlApi.Applied), fedEvents.toString());
    }

    private static class NoEffects implements Driver.Environment {
        @Override
        public void watch(boolean on) { }

        @Override
        public void probe(Backend backend) { }

        @Override
        public void send(int proxy, Frame frame) { }

        @Override
        public void log(String text) { }
    }

    private static Driver newDriver() throws ConfigException {
        Settings settings = ControllerConfig.read(Path.of("conf/controller.kdl")).site().settings(1);
        return new Driver(settings, 1, 5, START_NS, new NoEffects(), () -> 0);
    }

    @Test
    void replacedBackendsAreEventuallyForgotten() throws ConfigException {
        Driver driver = newDriver();
        long now = START_NS;
        for (int i = 0; i < 2000; i++) {
            now += 10 * NS_PER_SECOND;
            driver.onMembers(new Members(i == 0 ? CatalogUpdateKind.FULL : CatalogUpdateKind.DELTA, i, List.of(
                    new Member(new Backend(100 + i), 0, 0, 0, Availability.READY, 1, 0),
                    new Member(new Backend(99 + i), 0, 0, 0, Availability.GONE, 1, 0))));
            driver.tick(now);
            driver.tick(now + 2 * NS_PER_SECOND);
        }
        assertTrue(driver.knownBackendCount() < 100, driver.knownBackendCount() + " of 2000 backends still known");
    }

    @Test
    void repeatedResyncsQueueOneSnapshot() throws ConfigException {
        Driver driver = newDriver();
        driver.onMembers(new Members(CatalogUpdateKind.FULL, 1, List.of(
                new Member(new Backend(100), 0, 0, 0, Availability.READY, 1, 0))));
        driver.onProxyJoined(START_NS, new Frame.Hello(1, 1, 1, 0, 5, true, 0, 0, "p"));
        driver.tick(START_NS);
        double linesBefore = driver.queuedLines();
        for (int i = 0; i < 1000; i++) {
            driver.onResync(START_NS, 1);
        }
        assertTrue(driver.queuedLines() < linesBefore + 50,
                driver.queuedLines() + " lines queued, " + linesBefore + " before");
        driver.tick(START_NS + 60 * NS_PER_SECOND);
        double totalBefore = driver.totalQueuedLines();
        driver.onResync(START_NS + 60 * NS_PER_SECOND, 1);
        assertTrue(driver.totalQueuedLines() > totalBefore, "after the first snapshot has left, another is queued");
    }

    @Test
    void sumsOfDurationsSaturate() {
        Intake intake = new Intake(100, NS_PER_SECOND, START_NS);
        for (int proxy = 0; proxy < 3; proxy++) {
            intake.addReport(proxy, 0, new Frame.Report(List.of(new Frame.Tally(new Backend(1), 10, 1,
                    Long.MAX_VALUE / 2, NS_PER_SECOND, List.of())),
                    List.of(new Frame.Use(0, 4, 0, Long.MAX_VALUE / 2))));
            intake.addReport(proxy, 0, new Frame.Report(List.of(),
                    List.of(new Frame.Use(0, 4, 0, Long.MAX_VALUE / 2 + 9))));
        }
        List<Event> released = new ArrayList<>();
        intake.release(START_NS + NS_PER_SECOND, released::add);
        assertTrue(((Tally) released.get(0)).latency() > 0, released.get(0).toString());
        assertTrue(((Usage) released.get(1)).span() > 0, released.get(1).toString());
    }
}
