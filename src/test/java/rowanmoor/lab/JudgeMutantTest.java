package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Retry;
import rowanmoor.channel.Frame;
import rowanmoor.config.ConfigError;
import rowanmoor.proxy.Router;

/** Each rule's judge against a mutant that breaks the rule, and against the same day without it. */
class JudgeMutantTest {

    private static void caught(String rule, DayFile day, Player.Mutant mutant) throws IOException {
        Judge.Verdict kept = verdict(rule, Player.simulate(day));
        assertFalse(kept.broken(), "without the mutant: " + kept);
        Judge.Verdict broken = verdict(rule, Player.simulate(day, mutant));
        assertTrue(broken.broken(), "with the mutant: " + broken);
        assertFalse(broken.first().isEmpty());
    }

    private static Judge.Verdict verdict(String rule, Played played) {
        return played.verdicts().stream().filter(v -> v.rule().equals(rule)).findFirst().orElseThrow();
    }

    private static Player.Mutant frames(DayFile day, Function<Frame.Order, Frame.Order> change) {
        Player.Mutant none = Player.Mutant.none(day);
        return new Player.Mutant(day, none.routers(), (loop, real) -> new FrameRelay(loop, real, frame -> {
            if (frame instanceof Frame.Update u) {
                List<Frame.Order> orders = u.orders().stream().map(change).toList();
                return new Frame.Update(u.epoch(), u.version(), u.orderedAt(), u.waiting(), orders);
            }
            return frame;
        }));
    }

    @Test
    void aDriverThatEmptiesATableIsCaught() throws IOException, ConfigError {
        DayFile day = TestDays.with("8s", "");
        caught("no proxy without a backend", day, frames(day, order -> order instanceof Frame.Bind b
                ? new Frame.Bind(b.classes(), new Frame.Table(b.table().number(), List.of(),
                        b.table().levels()), List.of())
                : order instanceof Frame.SetLine s ? new Frame.Clear(s.table()) : order));
    }

    @Test
    void aProxyThatRepeatsAnUnsafeTryIsCaught() throws IOException, ConfigError {
        DayFile day = TestDays.with("10s", "answers-lost { at \"2s\"; for \"6s\"; part 0.3; size 0.5 }");
        Player.Mutant orders = frames(day, order -> {
            if (order instanceof Frame.Bind b) {
                List<Frame.Level> levels = List.of(new Frame.Level(0, 1e6, Retry.ONCE));
                return new Frame.Bind(b.classes(), new Frame.Table(b.table().number(), b.table().lines(),
                        levels), b.withdrawn());
            }
            return order;
        });
        caught("no effect twice", day, new Player.Mutant(day, parts -> new Router(parts.site(), parts.standing(),
                parts.random(), parts.now()) {
            @Override
            protected boolean repeatable(int cls) {
                return true;
            }
        }, orders.between()));
    }

    @Test
    void aDriverThatDropsWithdrawalsIsCaught() throws IOException, ConfigError {
        DayFile day = TestDays.with("14s", "drain { at \"3s\"; for \"10s\"; zone \"north\"; part 0.5 }");
        caught("drains kept", day, frames(day, order -> order instanceof Frame.Withdraw w && w.out()
                || order instanceof Frame.SetLine s && s.line().weight() == 0 ? new Frame.Mark(65535)
                : order instanceof Frame.Bind b ? new Frame.Bind(b.classes(), b.table(), List.of()) : order));
    }

    @Test
    void aDriverThatSendsAColdBackendItsWholeShareIsCaught() throws IOException, ConfigError {
        String troubles = "crash { at \"2s\"; for \"3s\"; part 0.1 }";
        String cold = TestDays.text().substring(0, TestDays.text().indexOf("troubles {"))
                .replace("length \"40s\"", "length \"14s\"").replace("cold-from 0.2\n", "cold-from 0.02\n")
                .replace("cold-from 0.25; cold \"6s\"", "cold-from 0.02; cold \"30s\"")
                .replace("cold \"8s\"", "cold \"40s\"").replace("fall-multiple 4", "fall-multiple 1") + "troubles { " + troubles + " }";
        DayFile day = TestDays.of(cold);
        DayFile warm = TestDays.of(cold.replace("cold \"40s\"\n        cold-from 0.02",
                "cold \"1ms\"\n        cold-from 1"));
        Player.Mutant none = Player.Mutant.none(day);
        caught("no cold backend pushed over", day, new Player.Mutant(warm, none.routers(), none.between()));
    }

    @Test
    void aDriverThatFloodsItsChannelIsCaught() throws IOException, ConfigError {
        String slow = TestDays.text().substring(0, TestDays.text().indexOf("troubles {"))
                .replace("length \"40s\"", "length \"10s\"")
                .replace("pace \"1200/s\"; head 4; backlog 1800", "pace \"60/s\"; head 4; backlog 100")
                + "troubles { crash { at \"3s\"; for \"3s\"; part 0.4 } }";
        DayFile day = TestDays.of(slow);
        DayFile fast = TestDays.of(slow.replace("pace \"60/s\"; head 4; backlog 100",
                "pace \"100000/s\"; head 4; backlog 100000"));
        Player.Mutant none = Player.Mutant.none(day);
        caught("a short queue", day, new Player.Mutant(fast, none.routers(), none.between()));
    }
}
