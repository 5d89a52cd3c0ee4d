package rowanmoor;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntToLongFunction;
import java.util.stream.Collectors;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Settings;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.Usage;
import rowanmoor.ControlApi.Withdraw;

/**
 * Feeds events to one {@link RoutingPolicy} and keeps the state that its orders lead to at the proxies. Time
 * is simulated.
 */
final class PolicyHarness {

    final Settings settings;
    final RoutingPolicy policy;
    long now = 1000 * TestSettings.SECOND;
    final List<Action> allActions = new ArrayList<>();
    /** Weights by table and backend. */
    final Map<Integer, Map<Backend, Double>> tables = new HashMap<>();
    /** Table numbers by proxy and class. */
    final Map<Integer, Map<Integer, Integer>> boundTables = new HashMap<>();
    /** Levels by class and table. */
    final Map<Integer, Map<Integer, Admit>> sentLevels = new HashMap<>();
    final Map<Backend, Boolean> withdrawn = new HashMap<>();
    List<Action> lastActions = List.of();
    private final Map<Integer, Double> lastLinesByProxy = new HashMap<>();

    PolicyHarness(Settings settings) {
        this.settings = settings;
        this.policy = new RoutingPolicy(settings, 7);
    }

    static Backend backend(int i) {
        return new Backend(0x0a000000_1f40L + ((long) i << 16));
    }

    static Member member(int i, int zone, Availability availability, long startedAt) {
        return new Member(backend(i), zone, i % 2, 0, availability, 1, startedAt);
    }

    /**
     * Lists backends 0 to n-1 and lets proxies join one by one; even numbers are in zone 0, odd ones in zone
     * 1.
     */
    PolicyHarness start(int backendCount, int proxyCount) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < backendCount; i++) {
            members.add(member(i, i % 2, Availability.READY, 0));
        }
        handle(new Members(CatalogUpdateKind.CACHED, 1, members));
        for (int p = 0; p < proxyCount; p++) {
            handle(new ProxyJoined(p, p % 2, 20, true));
        }
        return this;
    }

    /** Like {@link #start}, but all proxies join before the next decision. */
    PolicyHarness startInOneBatch(int backendCount, int proxyCount) {
        start(backendCount, 0);
        for (int p = 0; p < proxyCount; p++) {
            policy.handle(now, new ProxyJoined(p, p % 2, 20, true));
        }
        decide();
        return this;
    }

    List<Action> handle(Event... events) {
        for (Event event : events) {
            policy.handle(now, event);
        }
        return decide();
    }

    List<Action> decide() {
        lastActions = policy.decide(now);
        allActions.addAll(lastActions);
        lastLinesByProxy.clear();
        for (Action action : lastActions) {
            countLines(action);
            apply(action);
        }
        return lastActions;
    }

    private void apply(Action action) {
        if (action instanceof SetLine line) {
            tables.computeIfAbsent(line.table(), t -> new HashMap<>()).put(line.backend(), line.weight());
        } else if (action instanceof Bind bind) {
            for (int c = 0; c < settings.classes().size(); c++) {
                if (bind.classMask() == 0 || (bind.classMask() >> c & 1) == 1) {
                    boundTables.computeIfAbsent(bind.proxy(), p -> new HashMap<>()).put(c, bind.table());
                }
            }
        } else if (action instanceof Withdraw withdraw) {
            withdrawn.put(withdraw.backend(), withdraw.withdrawn());
        } else if (action instanceof Admit admit) {
            for (int c = 0; c < settings.classes().size(); c++) {
                if ((admit.classMask() >> c & 1) == 1) {
                    sentLevels.computeIfAbsent(c, k -> new HashMap<>()).put(admit.table(), admit);
                }
            }
        }
    }

    /** The fraction of a proxy's requests of a class that its table sends to a backend. */
    double share(int proxy, int cls, int i) {
        Map<Backend, Double> lines = tables.get(boundTables.get(proxy).get(cls));
        double sum = lines.entrySet().stream().filter(e -> !withdrawn.getOrDefault(e.getKey(), false))
                .mapToDouble(Map.Entry::getValue).sum();
        return withdrawn.getOrDefault(backend(i), false) ? 0 : lines.getOrDefault(backend(i), 0.0) / sum;
    }

    /** The lines that the last reply puts into the channel, message heads included. */
    double lastLines() {
        return lastLinesByProxy.values().stream()
                .mapToDouble(n -> n + settings.channel().messageOverhead() + 1).sum();
    }

    /** The proxies that the last reply sends a message to. */
    Set<Integer> lastRecipients() {
        return lastLinesByProxy.keySet();
    }

    /** Counts an order's lines for each proxy that it goes to, by the tables bound at that time. */
    private void countLines(Action action) {
        if (action instanceof Bind bind) {
            double classes = Integer.bitCount(bind.classMask());
            Map<Backend, Double> table = tables.getOrDefault(bind.table(), Map.of());
            double excluded = table.keySet().stream().filter(b -> withdrawn.getOrDefault(b, false)).count();
            lastLinesByProxy.merge(bind.proxy(), 1 + table.size() + excluded + classes, Double::sum);
            return;
        }
        int table = action instanceof SetLine line ? line.table()
                : action instanceof Admit admit ? admit.table() : -1;
        boundTables.forEach((proxy, tablesOf) -> {
            if (tablesOf.containsValue(table) || action instanceof Withdraw) {
                lastLinesByProxy.merge(proxy, 1.0, Double::sum);
            }
        });
    }

    /** The fraction of all requests of a class that goes to a backend if all proxies send equally many. */
    double meanShare(int cls, int i) {
        return boundTables.keySet().stream().mapToDouble(p -> share(p, cls, i)).average().orElse(0);
    }

    /** The tables in use for a class, with the number of proxies that use each. */
    Map<Integer, Long> tablesInUse(int cls) {
        return boundTables.values().stream().collect(Collectors.groupingBy(bound -> bound.get(cls),
                Collectors.counting()));
    }

    /** Lets 20 seconds pass; by then all proxies of the tests are bound and pools are settled. */
    PolicyHarness advance20Seconds() {
        for (int i = 0; i < 20; i++) {
            advanceOneSecond();
        }
        return this;
    }

    double level(int proxy, int cls) {
        return sentLevels.get(cls).get(boundTables.get(proxy).get(cls)).level();
    }

    /** Answers the marks of the last reply, then lets a second pass. */
    void advanceOneSecond() {
        lastActions.stream().filter(Mark.class::isInstance).map(Mark.class::cast)
                .forEach(m -> policy.handle(now, new Applied(0, m.number(), TestSettings.SECOND / 5)));
        now += TestSettings.SECOND;
        decide();
    }

    /** Reports ten tries of each zone at each backend, then lets a second pass, which ends the round. */
    void reportRound(int backends, int zones, IntToLongFunction failedOf10,
            IntToLongFunction latencyNs) {
        for (int zone = 0; zone < zones; zone++) {
            for (int i = 0; i < backends; i++) {
                policy.handle(now, new Tally(backend(i), zone, 10, failedOf10.applyAsLong(i),
                        latencyNs.applyAsLong(i), TestSettings.SECOND, List.of()));
            }
        }
        advanceOneSecond();
    }

    void reportUsage(int proxy, int cls, int requests) {
        policy.handle(now, new Usage(proxy, cls, requests, 0, TestSettings.SECOND));
    }
}
