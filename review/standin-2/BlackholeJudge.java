import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Measures how long each joined proxy has no line for a class while a ready and warm backend is listed. */
final class BlackholeJudge implements Runnable {

    private final Rig rig;
    private final List<PlainProxy> proxies;
    private final String cls;
    private final List<Discovery.Entry> open;
    private final long coldMs;
    private final Map<Integer, Long> longest = new TreeMap<>();
    private long waitsUntil;

    /**
     * @param open the backends that are open to the class for these proxies
     * @param coldMs how long after its start a backend is cold
     */
    BlackholeJudge(Rig rig, List<PlainProxy> proxies, String cls, List<Discovery.Entry> open, long coldMs) {
        this.rig = rig;
        this.proxies = proxies;
        this.cls = cls;
        this.open = open;
        this.coldMs = coldMs;
        Rig.daemon("blackhole-judge", this);
    }

    /** The time limit waits until then, by the clock of the case. */
    synchronized void waitUntil(long ms) {
        waitsUntil = ms;
    }

    synchronized long longest(int node) {
        return longest.getOrDefault(node, 0L);
    }

    synchronized long worst() {
        return longest.values().stream().mapToLong(l -> l).max().orElse(0);
    }

    @Override
    public void run() {
        Map<Integer, Long> since = new HashMap<>();
        while (true) {
            check(since);
            Rig.sleep(20);
        }
    }

    private synchronized void check(Map<Integer, Long> since) {
        long now = rig.ms();
        long wall = System.currentTimeMillis();
        boolean warm = open.stream().anyMatch(e -> e.lifecycle.equals("in_service")
                && e.startedAtMs >= 0 && wall - e.startedAtMs >= coldMs);
        for (PlainProxy proxy : proxies) {
            if (now >= waitsUntil && proxy.isJoined() && warm && proxy.usableLines(cls).isEmpty()) {
                long from = since.computeIfAbsent(proxy.node, node -> now);
                longest.merge(proxy.node, now - from, Math::max);
            } else {
                since.remove(proxy.node);
            }
        }
    }
}
