package rowanmoor.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Backend;
import rowanmoor.channel.Frame;
import rowanmoor.config.ConfigException;
import rowanmoor.config.Site;

/**
 * Explores all interleavings up to a depth of the events at a proxy while tables change and a backend drains:
 * the next update arrives, a request picks a backend, its try fails before it ran and it picks again, it ends.
 * Every pick must be in the table in force at that moment, not withdrawn and not tried before, and there must
 * be a pick whenever such a backend exists. Each path is replayed from the start on the product's router.
 */
class SwapExplorerTest {

    private static final Backend A = new Backend(1);
    private static final Backend B = new Backend(2);
    private static final Backend C = new Backend(3);
    private static final int REQUESTS = 2;
    private static final int DEPTH = 9;
    private Site site;
    private long paths;

    @BeforeEach
    void readSite() throws ConfigException {
        site = ProxyConfig.read(Path.of("conf/proxy.kdl")).get(0).site();
    }

    private static Frame.Line line(Backend backend, double weight) {
        return new Frame.Line(backend, weight);
    }

    /** The controller's updates in order: a table, a drain, a swap to another table, the end of the drain. */
    private static final List<List<Frame.Order>> UPDATES = List.of(
            List.of(new Frame.Bind(0, new Frame.Table(1, List.of(line(A, 5), line(B, 1)), List.of()), List.of())),
            List.of(new Frame.Withdraw(A, true)),
            List.of(new Frame.Bind(0, new Frame.Table(2, List.of(line(B, 1), line(C, 3)), List.of()), List.of(A))),
            List.of(new Frame.Withdraw(A, false), new Frame.SetLine(2, line(A, 9)), new Frame.SetLine(2, line(C, 0))));

    /** Backends that may be picked after 0, 1, ... updates, stated independently of the router. */
    private static final List<Set<Backend>> ELIGIBLE = List.of(Set.of(A, B), Set.of(A, B), Set.of(B), Set.of(B, C),
            Set.of(A, B));

    /** One run: a router and the state of its requests. */
    private final class Run {
        private final Router router;
        private final List<Set<Backend>> tried = new ArrayList<>();
        private final Backend[] current = new Backend[REQUESTS];
        private int updates;
        private String violation;

        Run(Function<RandomGenerator, Router> make, long seed) {
            router = make.apply(new SplittableRandom(seed));
            router.onStreamOpened();
            router.apply(new Frame.Snapshot(1, 0, 0, 0, List.of(), List.of(), List.of(), List.of()));
            for (int r = 0; r < REQUESTS; r++) {
                tried.add(new TreeSet<>());
            }
        }

        /** Performs a step; false if it is impossible in the current state. */
        boolean step(int event) {
            if (event == 0) {
                if (updates == UPDATES.size()) {
                    return false;
                }
                router.apply(new Frame.Update(1, updates + 1, 0, 0, UPDATES.get(updates++)));
                return true;
            }
            int request = (event - 1) / 2;
            boolean fails = (event - 1) % 2 == 1;
            if (current[request] == null) {
                return !fails && pick(request);
            }
            Backend ended = current[request];
            current[request] = null;
            router.onTryEnded(ended, !fails, 1);
            if (fails) {
                return pick(request);
            }
            tried.get(request).clear();
            return true;
        }

        private boolean pick(int request) {
            Set<Backend> eligible = new TreeSet<>(ELIGIBLE.get(updates));
            eligible.removeAll(tried.get(request));
            Backend picked = router.pick(0, tried.get(request), 1);
            if (picked == null ? !eligible.isEmpty() : !eligible.contains(picked)) {
                violation = "after " + updates + " updates picked " + picked + " of " + eligible;
            }
            if (picked != null) {
                router.onTrySent(picked);
                tried.get(request).add(picked);
                current[request] = picked;
            } else {
                tried.get(request).clear();
            }
            return true;
        }
    }

    /** The shortest path that ends in a violation, or null; depths increase so that it is the shortest. */
    private String explore(Function<RandomGenerator, Router> make) {
        for (int depth = 1; depth <= DEPTH; depth++) {
            String found = explore(make, new int[depth], 0);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private String explore(Function<RandomGenerator, Router> make, int[] path, int at) {
        if (at == path.length) {
            paths++;
            Run run = new Run(make, paths);
            for (int i = 0; i < path.length; i++) {
                if (!run.step(path[i])) {
                    return null;
                }
                if (run.violation != null) {
                    return java.util.Arrays.toString(path) + ": " + run.violation;
                }
            }
            return null;
        }
        for (int event = 0; event <= 2 * REQUESTS; event++) {
            if (path.length < 7 || !isImpossible(path, at, event)) {
                path[at] = event;
                String found = explore(make, path, at + 1);
                if (found != null) {
                    return found;
                }
            }
        }
        return null;
    }

    /** Prunes impossible steps: a fifth update, a failure before a pick, the second request before the first. */
    private static boolean isImpossible(int[] path, int at, int event) {
        int updates = 0;
        boolean firstSeen = false;
        boolean[] out = new boolean[REQUESTS];
        for (int i = 0; i < at; i++) {
            updates += path[i] == 0 ? 1 : 0;
            if (path[i] > 0) {
                int request = (path[i] - 1) / 2;
                firstSeen |= request == 0;
                out[request] = (path[i] - 1) % 2 == 1 || !out[request];
            }
        }
        if (event == 0) {
            return updates == UPDATES.size();
        }
        int request = (event - 1) / 2;
        return (event - 1) % 2 == 1 && !out[request] || request == 1 && !firstSeen;
    }

    @Test
    void everyInterleavingOfSwapDrainAndRetryPicksEligibleBackend() {
        assertNull(explore(random -> new Router(site, List.of(A, B), random, 0)));
        assertTrue(paths > 100_000, paths + " paths");
    }

    @Test
    void routerThatCachesPicksAcrossSwapIsDetected() {
        String found = explore(random -> new Router(site, List.of(A, B), random, 0) {
            private Backend remembered;

            @Override
            public Backend pick(int cls, Set<Backend> tried, long now) {
                if (remembered == null || tried.contains(remembered)) {
                    remembered = super.pick(cls, tried, now);
                }
                return remembered;
            }
        });
        assertNotNull(found);
    }

    @Test
    void routerThatRetriesOnWithdrawnBackendIsDetected() {
        String found = explore(random -> new Router(site, List.of(A, B), random, 0) {
            @Override
            public Backend pick(int cls, Set<Backend> tried, long now) {
                Backend picked = super.pick(cls, tried, now);
                return picked == null && !tried.contains(A) ? A : picked;
            }
        });
        assertNotNull(found);
    }
}
