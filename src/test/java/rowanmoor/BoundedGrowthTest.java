package rowanmoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanmoor.TestSettings.MS;
import static rowanmoor.TestSettings.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.Effect;
import rowanmoor.ControlApi.ListKind;
import rowanmoor.ControlApi.Listed;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.TimerAt;

/** What must not grow with time: tables, marks, timers, table numbers. */
class BoundedGrowthTest {

    @Test
    void machinesReplacedForGoodLeaveTheTables() {
        PolicyHarness stand = new PolicyHarness(TestSettings.plain()).start(4, 2);
        for (int i = 4; i < 604; i++) {
            stand.now += 4 * SECOND;
            stand.handle(new Members(ListKind.DELTA, i, List.of(PolicyHarness.member(i - 4, i % 2, Listed.GONE, 0),
                    PolicyHarness.member(i, i % 2, Listed.READY, 0))));
            stand.advanceOneSecond();
        }
        long lines = stand.tables.get(stand.boundTables.get(0).get(0)).values().stream().filter(w -> w > 0).count();
        assertTrue(lines >= 4 && lines < 150, lines + " lines after 600 machines, four at a time");
        assertTrue(stand.share(0, 0, 602) > 0.1, "the newest are used");
    }

    @Test
    void lettingAMachineGoBooksNothingThatNobodyIsSent() {
        PolicyHarness stand = new PolicyHarness(TestSettings.plain()).start(4, 2);
        stand.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(0, 0, Listed.GONE, 0))));
        boolean let = false;
        for (int i = 0; i < 140 && !let; i++) {
            stand.advanceOneSecond();
            let = stand.lastActions.contains(new ControlApi.Withdraw(PolicyHarness.backend(0), false));
        }
        assertTrue(let, "it is let go");
        assertTrue(stand.lastActions.stream().noneMatch(ControlApi.Mark.class::isInstance),
                "a mark that no message carries is answered by nobody: its lines would wait for good");
    }

    @Test
    void aMarkAnsweredTwiceFreesItsPartOnce() {
        FleetState.ChannelBacklog sent = new FleetState.ChannelBacklog();
        FleetState.ProxyState one = new FleetState.ProxyState(1, 0);
        FleetState.ProxyState two = new FleetState.ProxyState(1, 0);
        sent.add(one, 10, 5);
        sent.add(two, 10, 5);
        int mark = sent.closeReply();
        for (int i = 0; i < 50; i++) {
            sent.markApplied(mark);
        }
        assertTrue(sent.waitingLines() >= 0, "waiting " + sent.waitingLines());
    }

    /** A churn day on the bench's sockets: the channel ran at 0.14 of its pace, slower than is assumed. */
    @Test
    void whatMarksTellOfASlowChannelIsNotOutrunByWhatIsAssumed() {
        FleetState.ChannelBacklog sent = new FleetState.ChannelBacklog();
        FleetState.ProxyState one = new FleetState.ProxyState(1, 0);
        java.util.ArrayDeque<Integer> marks = new java.util.ArrayDeque<>();
        for (int i = 0; i < 200; i++) {
            sent.add(one, 5, 5);
            marks.add(sent.closeReply());
        }
        for (int second = 0; second < 20; second++) {
            for (int tenth = 0; tenth < 10; tenth++) {
                sent.assumeSent(10);
            }
            sent.markApplied(marks.poll()); // ten lines have surely left, a hundred were assumed to have
        }
        assertEquals(2000 - 20 * 10, sent.waitingLines(), 1);
        sent.assumeSent(500);
        assertEquals(2000 - 20 * 10 - 500, sent.waitingLines(), 1, "in silence it goes by what is assumed");
        sent.assumeSent(50_000);
        assertEquals(0, sent.waitingLines(), 0);
    }

    @Test
    void marksThatNobodyAnswersDoNotPileUp() {
        FleetState.ChannelBacklog sent = new FleetState.ChannelBacklog();
        FleetState.ProxyState one = new FleetState.ProxyState(1, 0);
        for (int i = 0; i < 200_000; i++) {
            sent.add(one, 1, 1);
            sent.closeReply();
        }
        assertTrue(sent.pendingMarkCount() <= 4096, sent.pendingMarkCount() + " marks");
    }

    @Test
    void markNumbersStayInRangeWhenTheCountOfRepliesWraps() {
        FleetState.ChannelBacklog sent = new FleetState.ChannelBacklog();
        sent.replyCount = Integer.MAX_VALUE - 2;
        FleetState.ProxyState one = new FleetState.ProxyState(1, 0);
        for (int i = 0; i < 6; i++) {
            sent.add(one, 1, 1);
            int mark = sent.closeReply();
            assertTrue(mark >= 0 && mark < 65536, "mark " + mark);
            assertEquals(-1, sent.closeReply(), "nothing more was sent");
        }
    }

    @Test
    void oneTimerIsEnoughWhileOrdersWaitForTheirBudget() {
        PolicyHarness limited = new PolicyHarness(TestSettings.with(TestSettings.plain().classes(), false, 20, 0)).start(8, 4);
        limited.now += 600 * MS;
        limited.handle(new Members(ListKind.DELTA, 2, List.of(PolicyHarness.member(0, 0, Listed.GONE, 0))));
        int timers = 0;
        for (int i = 0; i < 80; i++) {
            limited.now += 5 * MS;
            limited.handle(new Members(ListKind.DELTA, 3 + i, List.of(PolicyHarness.member(1, 1, Listed.GONE, i))));
            timers += limited.lastActions.stream().filter(a -> a instanceof TimerAt t && t.token() == 2).count();
        }
        assertTrue(timers >= 1 && timers <= 2, timers + " timers for one wait");
    }

    @Test
    void tableNumbersOfManyZonesAndGroupsDoNotCollide() {
        int zones = 64;
        List<ControlApi.ClassSpec> classes = new ArrayList<>();
        for (int c = 0; c < 16; c++) {
            classes.add(TestSettings.spec(Effect.SAFE, 1, c == 0 ? Set.of() : Set.of(c, c + 16)));
        }
        Settings s = TestSettings.plain();
        PolicyHarness stand = new PolicyHarness(new Settings(1, zones, classes, false, false, s.admission(), 0, 100, 0, SECOND, 500,
                0.05, s.columns(), s.rules(), new ControlApi.Channel(1e6, 5, 1e6, 0, SECOND, 0, 0)));
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 2 * zones; i++) {
            members.add(new Member(PolicyHarness.backend(i), i % zones, 0, 0, Listed.READY, 1, 0));
        }
        stand.handle(new Members(ListKind.FULL, 1, members));
        for (int p = 0; p < zones; p++) {
            stand.handle(new ProxyJoined(p, p, 20, true));
        }
        Map<Integer, String> owners = new HashMap<>();
        for (ControlApi.Action action : stand.allActions) {
            if (action instanceof Bind bind) {
                assertTrue(bind.table() >= 0 && bind.table() < ControlApi.ALL_TABLES, action.toString());
                String owner = bind.proxy() + "/" + bind.classes();
                assertEquals(owner, owners.computeIfAbsent(bind.table(), t -> owner), "table " + bind.table());
            } else if (action instanceof SetLine line) {
                assertTrue(line.table() >= 0 && line.table() < ControlApi.ALL_TABLES, action.toString());
            }
        }
        assertEquals(16 * zones, owners.size());
    }
}
