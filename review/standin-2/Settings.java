import java.util.Locale;

/** Settings of a deployment with three classes, one of which may not go to every backend. */
final class Settings {

    static final String CLASSES = """
            [{"name":"read","aim_ns":600000000,"deadline_ns":1500000000,"credit":2.0,"late_worth":0.2,
              "effect":"retryable","key_scope":"all","window_ns":5000000000},
             {"name":"edit","aim_ns":600000000,"deadline_ns":1500000000,"credit":3.0,"late_worth":0.1,
              "effect":"dedup","key_scope":"zone","window_ns":1000000000%s},
             {"name":"order","aim_ns":1500000000,"deadline_ns":4000000000,"credit":5.0,"late_worth":0.2,
              "effect":"fragile","key_scope":"all","window_ns":5000000000}]""";

    private Settings() { }

    /**
     * @param byKind whether edit is open to the first kind of machine alone; else it keeps to the proxy's zone
     */
    static String json(boolean byKind, int controllers, int proxies, double linesPerSecond, double mostWaiting, long blackholeMs,
            long graceMs, long coldMs, long lateMs) {
        return String.format(Locale.ROOT, """
                {"balancers":%d,"dcs":["hall-a","hall-b"],"kinds":["std","wide"],"registry_mode":"pushed",
                 "classes":%s,"limits":{"probes":false,"may_tell":false},"penalties":{"cross_zone":0.01},
                 "report":{"columns":["busy","rif","lat_ms"],"via":"inline"},"rank":0,"zone":0,
                 "extra":{"admission":"per_second","ejects":0,"proxy_count":%d,"key_ranges":0,
                  "interval_ns":500000000,"hears_per_s":300.0,"mutating":[false,true,true],
                  "home_only":[false,%b,false],"blackhole_ns":%d000000,"egress_per_s":%.1f,"per_message":10.0,
                  "most_waiting":%.1f,"messages_most":20,"update_window_ns":10000000000,"late_ns":%d000000,
                  "transit_max_ns":900000000},
                 "rules":{"drain_grace_ns":%d000000,"cold_ns":%d000000,"cold_from":0.15,"overload_factor":2.5,
                  "fall_ns":2000000000},"tick_ns":5000000}""", controllers,
                String.format(CLASSES, byKind ? ",\"only_kinds\":[0]" : ""), proxies, !byKind, blackholeMs,
                linesPerSecond, mostWaiting, lateMs, graceMs, coldMs);
    }
}
