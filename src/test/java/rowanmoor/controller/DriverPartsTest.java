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
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.Usage;
import rowanmoor.channel.Frame;
import rowanmoor.config.ConfigError;
import rowanmoor.config.ControllerConfig;

/** The driver's parts, and the driver whole, on a clock that the test moves. */
class DriverPartsTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long START = 1_000_000 * SECOND;

    private static Frame.Report report(int tries, int requests) {
        return new Frame.Report(List.of(new Frame.Tally(new Backend(1), tries, 1, (tries - 1) * 10L, SECOND,
                List.of(0.5))), List.of(new Frame.Use(0, requests, 0, SECOND)));
    }

    @Test
    void reportsAreSummedByBackendAndZoneAndByProxyAndClass() {
        Intake intake = new Intake(100, SECOND, START);
        intake.hear(1, 0, report(5, 7));
        intake.hear(2, 0, report(6, 8));
        intake.hear(3, 1, report(7, 9));
        List<Event> told = new ArrayList<>();
        intake.release(START + SECOND / 2, told::add);
        assertEquals(0, told.size(), "before the period is over");
        intake.release(START + SECOND, told::add);
        assertEquals(5, told.size());
        assertEquals(new Tally(new Backend(1), 0, 11, 2, 10, SECOND, List.of(0.5)), told.get(0));
        assertEquals(new Usage(2, 0, 8, 0, SECOND), told.get(3));
    }

    @Test
    void intakeIsBoundedTakesTheOldestFirstAndTheRestAddsUp() {
        Intake intake = new Intake(2, SECOND, START);
        List<Event> told = new ArrayList<>();
        for (int second = 1; second <= 3; second++) {
            for (int proxy = 0; proxy < 4; proxy++) {
                intake.hear(proxy, 0, new Frame.Report(List.of(), List.of(new Frame.Use(0, 10, 0, SECOND))));
            }
            intake.release(START + second * SECOND, told::add);
        }
        assertEquals(6, told.size(), "two lines a second");
        assertEquals(List.of(0, 1, 2, 3, 0, 1), told.stream().map(e -> ((Usage) e).proxy()).toList());
        assertEquals(new Usage(2, 0, 20, 0, 2 * SECOND), told.get(2), "what waited was added to");
        long requests = told.stream().mapToLong(e -> ((Usage) e).requests()).sum();
        assertEquals(4, intake.mostWaiting());
        for (int second = 4; second < 8; second++) {
            intake.release(START + second * SECOND, told::add);
        }
        requests = told.stream().mapToLong(e -> ((Usage) e).requests()).sum();
        assertEquals(120, requests, "nothing is lost");
    }

    @Test
    void theChannelSendsAtItsPaceAndCountsWhatWaits() {
        Outbox<String> outbox = new Outbox<>(10, START);
        outbox.add(START, 1, "a", 5);
        assertEquals(15, outbox.add(START, 2, "b", 10).waitingThen());
        assertNull(outbox.poll(START + SECOND / 4));
        assertEquals("a", outbox.poll(START + SECOND / 2).message());
        assertEquals(10, outbox.waiting());
        assertEquals(START + SECOND * 3 / 2, outbox.nextAt());
        outbox.drop(2);
        assertEquals(0, outbox.waiting());
        assertEquals(Long.MAX_VALUE, outbox.nextAt());
        outbox.add(START + 9 * SECOND, 1, "c", 10);
        assertNull(outbox.poll(START + 9 * SECOND), "an idle channel saves nothing up");
        assertNotNull(outbox.poll(START + 10 * SECOND));
        assertEquals(15, outbox.mostWaiting());
    }

    /** Plays the same minute into a driver; answers all that it was fed, ordered and sent. */
    private static List<String> minute(long seed, Trace trace) throws ConfigError {
        Settings settings = ControllerConfig.read(Path.of("conf/controller.kdl")).site().settings(1);
        List<String> story = new ArrayList<>();
        Driver driver = new Driver(settings, seed, 5, START, new Driver.Environment() {
            @Override
            public void watch(boolean on) {
                story.add("watch " + on);
            }

            @Override
            public void probe(Backend backend) {
                story.add("probe " + backend);
            }

            @Override
            public void send(int proxy, Frame frame) {
                story.add(proxy + " " + frame);
            }

            @Override
            public void log(String text) {
                story.add(text);
            }

            @Override
            public void onDecision(long now, List<Event> events, List<Action> actions, long took) {
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
            driver.onProxyJoined(START, new Frame.Hello(1, p, p, p % 2, 5, true, 0, 0, "p"));
        }
        for (long now = START; now < START + 20 * SECOND; now += SECOND / 10) {
            if ((now - START) % SECOND == 0) {
                for (int p = 0; p < 10; p++) {
                    driver.onReport(p, new Frame.Report(List.of(new Frame.Tally(new Backend(100 + p % 8), 20, p,
                            30 * SECOND / 10, SECOND, List.of())), List.of(new Frame.Use(0, 20, 0, SECOND))));
                }
            }
            if (now == START + 5 * SECOND) {
                driver.onProxyLeft(3);
                driver.onMembers(new Members(CatalogUpdateKind.DELTA, 2, List.of(members.get(2).asGone())));
            }
            driver.tick(now);
        }
        return story;
    }

    @Test
    void theSameEventsGiveTheSameOrders() throws ConfigError {
        List<String> first = minute(3, null);
        assertTrue(first.size() > 50, first.size() + " lines");
        assertEquals(first, minute(3, null));
    }

    @Test
    void aTraceIsReplayedToTheSameOrdersAndACutOrChangedOneIsTold(@TempDir Path dir)
            throws IOException, ConfigError {
        Path file = dir.resolve("t.trace");
        Settings settings = ControllerConfig.read(Path.of("conf/controller.kdl")).site().settings(1);
        try (Trace trace = new Trace(file, settings, 3, why -> { })) {
            minute(3, trace);
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
    void marksOfAnotherEpochAreNotPassedOn() throws ConfigError {
        Settings settings = ControllerConfig.read(Path.of("conf/controller.kdl")).site().settings(1);
        List<Event> fed = new ArrayList<>();
        Driver driver = new Driver(settings, 1, 5, START, new Silent() {
            @Override
            public void onDecision(long now, List<Event> events, List<Action> actions, long took) {
                fed.addAll(events);
            }
        }, () -> 0);
        driver.onProxyJoined(START, new Frame.Hello(1, 1, 1, 0, 5, true, 0, 0, "p"));
        driver.tick(START);
        driver.onApplied(START, 1, new Frame.Applied(4, 1, 1));
        driver.onApplied(START, 1, new Frame.Applied(5, 1, 60000));
        driver.tick(START + SECOND);
        assertTrue(fed.stream().noneMatch(e -> e instanceof rowanmoor.ControlApi.Applied), fed.toString());
    }

    private static class Silent implements Driver.Environment {
        @Override
        public void watch(boolean on) { }

        @Override
        public void probe(Backend backend) { }

        @Override
        public void send(int proxy, Frame frame) { }

        @Override
        public void log(String text) { }
    }

    private static Driver driver() throws ConfigError {
        Settings settings = ControllerConfig.read(Path.of("conf/controller.kdl")).site().settings(1);
        return new Driver(settings, 1, 5, START, new Silent(), () -> 0);
    }

    @Test
    void machinesReplacedForYearsAreNotRememberedForGood() throws ConfigError {
        Driver driver = driver();
        long now = START;
        for (int i = 0; i < 2000; i++) {
            now += 10 * SECOND;
            driver.onMembers(new Members(i == 0 ? CatalogUpdateKind.FULL : CatalogUpdateKind.DELTA, i, List.of(
                    new Member(new Backend(100 + i), 0, 0, 0, Availability.READY, 1, 0),
                    new Member(new Backend(99 + i), 0, 0, 0, Availability.GONE, 1, 0))));
            driver.tick(now);
            driver.tick(now + 2 * SECOND);
        }
        assertTrue(driver.backendsKnown() < 100, driver.backendsKnown() + " known of 2000");
    }

    @Test
    void aProxyThatAsksForSnapshotsWithoutEndHasOneWaiting() throws ConfigError {
        Driver driver = driver();
        driver.onMembers(new Members(CatalogUpdateKind.FULL, 1, List.of(
                new Member(new Backend(100), 0, 0, 0, Availability.READY, 1, 0))));
        driver.onProxyJoined(START, new Frame.Hello(1, 1, 1, 0, 5, true, 0, 0, "p"));
        driver.tick(START);
        double before = driver.queuedLines();
        for (int i = 0; i < 1000; i++) {
            driver.onResync(START, 1);
        }
        assertTrue(driver.queuedLines() < before + 50, driver.queuedLines() + " lines wait, " + before + " before");
        driver.tick(START + 60 * SECOND);
        double sent = driver.totalQueuedLines();
        driver.onResync(START + 60 * SECOND, 1);
        assertTrue(driver.totalQueuedLines() > sent, "once it has left, another may be asked for");
    }

    @Test
    void sumsOfLatenciesNearTheirEndStayAtIt() {
        Intake intake = new Intake(100, SECOND, START);
        for (int proxy = 0; proxy < 3; proxy++) {
            intake.hear(proxy, 0, new Frame.Report(List.of(new Frame.Tally(new Backend(1), 10, 1, Long.MAX_VALUE / 2,
                    SECOND, List.of())), List.of(new Frame.Use(0, 4, 0, Long.MAX_VALUE / 2))));
            intake.hear(proxy, 0, new Frame.Report(List.of(), List.of(new Frame.Use(0, 4, 0, Long.MAX_VALUE / 2 + 9))));
        }
        List<Event> told = new ArrayList<>();
        intake.release(START + SECOND, told::add);
        assertTrue(((Tally) told.get(0)).latency() > 0, told.get(0).toString());
        assertTrue(((Usage) told.get(1)).span() > 0, told.get(1).toString());
    }
}
