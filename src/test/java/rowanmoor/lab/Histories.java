package rowanmoor.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.channel.Frame;
import rowanmoor.config.ConfigException;
import rowanmoor.config.Section;
import rowanmoor.proxy.Router;

/** Recorded histories: small day files that state which rules they exercise, and which fault breaks a rule. */
final class Histories {

    static final Path FOLDER = Path.of("src/test/resources/histories");

    /** A rule that a fault breaks; the first violation is between two times (ns from the day's start). */
    record Rejection(String rule, DayRunner.Mutant fault, long from, long to) { }

    record History(DayFile day, List<String> exercisedRules, List<Rejection> rejections) { }

    private Histories() { }

    static List<Path> files() throws IOException {
        List<Path> days = new ArrayList<>();
        try (Stream<Path> files = Files.list(FOLDER)) {
            for (Path file : files.sorted().toList()) {
                if (Files.readString(file).contains("history {")) {
                    days.add(file);
                }
            }
        }
        return days;
    }

    static History read(Path file) throws ConfigException, IOException {
        return read(file.toString(), Files.readString(file));
    }

    static History read(String file, String text) throws ConfigException {
        Section root = Section.parse(file, text);
        Section h = root.section("history");
        List<String> meets = h.strings("meets", true);
        List<Section> rejects = h.sections("rejects");
        h.rejectUnknownKeys();
        List<Object[]> parsed = new ArrayList<>();
        for (Section r : rejects) {
            String fault = r.string("fault");
            if (!fault.equals("told-other") && !FAULTS.containsKey(fault)) {
                r.addProblem("fault", "unknown fault: " + fault);
            }
            String site = r.has("site") ? r.string("site") : null;
            parsed.add(new Object[] {r.label(), fault, site, r.durationNs("from", "0s", "1h"), r.durationNs("to", "0s", "1h")});
            r.rejectUnknownKeys();
        }
        DayFile day = DayFile.read(root);
        List<Rejection> faults = new ArrayList<>();
        for (Object[] a : parsed) {
            faults.add(new Rejection((String) a[0], a[1].equals("told-other") ? otherSite(day, file, text, (String) a[2])
                    : FAULTS.get(a[1]).apply(day), (long) a[3], (long) a[4]));
        }
        return new History(day, meets, faults);
    }

    /** Configures the controllers with another site than the one that their rules are checked against. */
    private static DayRunner.Mutant otherSite(DayFile day, String file, String text, String site) throws ConfigException {
        Section other = Section.parse(file, text.replaceFirst("site-from \"[^\"]*\"", "site-from \"" + site + "\""));
        other.section("history"); // its keys were checked when the history was read
        DayRunner.Mutant none = DayRunner.Mutant.none(day);
        return new DayRunner.Mutant(DayFile.read(other), none.routers(), none.controllerWrapper());
    }

    private static final Map<String, Function<DayFile, DayRunner.Mutant>> FAULTS = Map.of(
            "empties-tables", day -> rewriteOrders(day, order -> order instanceof Frame.Bind b
                    ? new Frame.Bind(b.classMask(), new Frame.Table(b.table().number(), List.of(),
                            b.table().levels()), List.of())
                    : order instanceof Frame.SetLine s ? new Frame.Clear(s.table()) : order),
            "drops-withdrawals", day -> rewriteOrders(day, order -> order instanceof Frame.Withdraw w && w.withdrawn()
                    || order instanceof Frame.SetLine s && s.line().weight() == 0 ? new Frame.Mark(65535)
                    : order instanceof Frame.Bind b ? new Frame.Bind(b.classMask(), b.table(), List.of()) : order),
            "repeats-unsafe", day -> {
                DayRunner.Mutant retriesAllowed = rewriteOrders(day, order -> order instanceof Frame.Bind b
                        ? new Frame.Bind(b.classMask(), new Frame.Table(b.table().number(), b.table().lines(),
                                List.of(new Frame.Level(0, 1e6, RetryPolicy.ONCE))), b.withdrawn()) : order);
                return new DayRunner.Mutant(day, parts -> new Router(parts.site(), parts.standing(), parts.random(),
                        parts.now()) {
                    @Override
                    protected boolean isSafeToRepeat(int cls) {
                        return true;
                    }
                }, retriesAllowed.controllerWrapper());
            });

    private static DayRunner.Mutant rewriteOrders(DayFile day, Function<Frame.Order, Frame.Order> change) {
        return new DayRunner.Mutant(day, DayRunner.Mutant.none(day).routers(), (loop, real) -> new FrameRelay(loop, real,
                frame -> frame instanceof Frame.Update u ? new Frame.Update(u.epoch(), u.version(), u.orderedAtNs(),
                        u.queuedLines(), u.orders().stream().map(change).toList()) : frame));
    }
}
