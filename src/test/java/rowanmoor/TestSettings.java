package rowanmoor;

import java.util.List;
import java.util.Set;
import rowanmoor.ControlApi.AdmissionMode;
import rowanmoor.ControlApi.Channel;
import rowanmoor.ControlApi.ClassSpec;
import rowanmoor.ControlApi.DedupScope;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.ReportColumns;
import rowanmoor.ControlApi.Rules;
import rowanmoor.ControlApi.Settings;

/** Settings of artificial sites. */
public final class TestSettings {

    public static final long MS = 1_000_000L;
    public static final long SECOND = 1000 * MS;

    private TestSettings() { }

    static ClassSpec spec(Idempotency idempotency, double worth, Set<Integer> onlyZones) {
        return new ClassSpec(SECOND, 3 * SECOND, worth, 0.2, idempotency, DedupScope.ZONE, 2 * SECOND,
                idempotency != Idempotency.SAFE, false, onlyZones, Set.of());
    }

    /**
     * A safe class of worth 1 and an unsafe class of worth 5, both open to all backends; two zones with
     * tables of their own.
     */
    public static Settings plain() {
        return with(List.of(spec(Idempotency.SAFE, 1, Set.of()), spec(Idempotency.UNSAFE, 5, Set.of())),
                false, 0, 0);
    }

    static Settings with(List<ClassSpec> classes, boolean catalogOnRequest, int maxMessages, int keyRanges) {
        return of(classes, catalogOnRequest, keyRanges, 8, 500, -1, 0,
                new Channel(2000, 5, 3000, maxMessages, 10 * SECOND, 200 * MS, 500 * MS, false));
    }

    /** Like {@link #plain}, but backends report the utilization of their cores. */
    static Settings reportingUtilization() {
        return of(plain().classes(), false, 0, 8, 500, 0, 0, plain().channel());
    }

    /** Like {@link #plain}, but proxies eject a backend after five failed tries in a row. */
    static Settings withEjection() {
        return of(plain().classes(), false, 0, 8, 500, -1, 5, plain().channel());
    }

    /** Like {@link #plain}, with many proxies and few report lines a second. */
    static Settings large(int proxies) {
        return of(plain().classes(), false, 0, proxies, 100, -1, 0,
                new Channel(1200, 4, 2600, 0, 10 * SECOND, 200 * MS, 500 * MS, false));
    }

    /** Like {@link #plain}, with many proxies that can be told one by one, and a channel of two seconds. */
    static Settings herd(int proxies, int keyRanges) {
        return of(plain().classes(), false, keyRanges, proxies, 120, -1, 5,
                new Channel(1200, 4, 2400, 0, 10 * SECOND, 300 * MS, 1075 * MS, true));
    }

    private static Settings of(List<ClassSpec> classes, boolean catalogOnRequest, int keyRanges, int proxies,
            double reportLinesPerSecond, int utilizationColumn, int ejectAfterFailures, Channel channel) {
        return new Settings(1, 2, classes, catalogOnRequest, false, AdmissionMode.RATE, ejectAfterFailures,
                proxies, keyRanges, SECOND, reportLinesPerSecond, 0.05,
                new ReportColumns(-1, utilizationColumn),
                new Rules(3 * SECOND, 2 * SECOND, 10 * SECOND, 0.2, 4, 2 * SECOND, 10 * SECOND),
                channel);
    }
}
