package rowanmoor.standin;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import rowanmoor.ControlApi.ClassSpec;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.config.Site;
import rowanmoor.http.ClientConnection;
import rowanmoor.http.MessageLimits;
import rowanmoor.http.Message;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/**
 * Open-loop clients: all arrivals are drawn ahead from a seed and come when they come, whatever became of
 * those before. Times count from the drawn arrival, so that a stall is not left out of the figures
 * (coordinated omission). A client repeats what failed: what is safe, or what was refused before it ran.
 */
public final class Clients {

    /** Which request, when, to which proxy, how much work (seconds on a core of speed 1). */
    public record Arrival(long offsetNs, int cls, int proxy, double workSeconds) { }

    /** How clients repeat: so many times, after a wait, each try given up after this part of the deadline. */
    public record RetryPolicy(int maxRetries, long backoffNs, double tryTimeoutFraction) { }

    /** What came of the requests of one class. Latencies are microseconds of good and late answers. */
    public static final class ClassStats {
        public long offered;
        public long good;
        public long late;
        public long failed;
        public long tries;
        public final Histogram latency = new Histogram(3_600_000_000L, 3);
    }

    /** What came of one request. */
    public record RequestOutcome(long arrivedAt, int cls, long latencyNs, boolean answered) { }

    private static final long MICRO = 1000;

    private final Loop loop;
    private final Site site;
    private final List<InetSocketAddress> proxies;
    private final List<Arrival> arrivals;
    private final RetryPolicy habits;
    private final long start;
    private final Map<Integer, ArrayDeque<ClientConnection>> idle = new HashMap<>();
    private final List<ClassStats> met = new ArrayList<>();
    private final List<RequestOutcome> outcomes = new ArrayList<>();
    private int nextArrival;
    private int open;

    /** @param start the loop's time that arrivals count from */
    public Clients(Loop loop, Site site, List<InetSocketAddress> proxies, List<Arrival> arrivals,
            RetryPolicy habits,
            long start) {
        this.loop = loop;
        this.site = site;
        this.proxies = proxies;
        this.arrivals = arrivals;
        this.habits = habits;
        this.start = start;
        site.classes().forEach(c -> met.add(new ClassStats()));
        next();
    }

    private void next() {
        if (nextArrival < arrivals.size()) {
            loop.at(start + arrivals.get(nextArrival).offsetNs(), () -> {
                long now = loop.now();
                while (nextArrival < arrivals.size() && start + arrivals.get(nextArrival).offsetNs() <= now) {
                    new Asking(nextArrival, arrivals.get(nextArrival)).tryOnce();
                    nextArrival++;
                }
                next();
            });
        }
    }

    /** Whether every request has come and got its end. */
    public boolean isDone() {
        return nextArrival == arrivals.size() && open == 0;
    }

    public List<ClassStats> classStats() {
        return met;
    }

    public List<RequestOutcome> outcomes() {
        return outcomes;
    }

    /** One client with one request. */
    private final class Asking {
        private final int number;
        private final Arrival arrival;
        private final ClassSpec spec;
        private final long arrivedAt;
        private int tries;

        Asking(int number, Arrival arrival) {
            this.number = number;
            this.arrival = arrival;
            this.spec = site.classes().get(arrival.cls());
            this.arrivedAt = start + arrival.offsetNs();
            open++;
            met.get(arrival.cls()).offered++;
        }

        void tryOnce() {
            tries++;
            met.get(arrival.cls()).tries++;
            ClientConnection connection = connection(arrival.proxy());
            long left = arrivedAt + spec.deadline() - loop.now();
            long within = Math.min(left, (long) (habits.tryTimeoutFraction() * spec.deadline()));
            Timer patience = loop.after(Math.max(1, within), () -> {
                connection.cancel();
                tryFailed(false);
            });
            String path = site.pathPrefixes().get(arrival.cls()) + "/" + number;
            connection.send(Message.Request.get(path, "Host", "rowanmoor.test", BackendServer.WORK_FIELD,
                    Double.toString(arrival.workSeconds()), BackendServer.REQUEST_ID_FIELD, number + "." + tries),
                    new ClientConnection.ResponseHandler() {
                        @Override
                        public void onResponse(Message.Response response) {
                            patience.cancel();
                            keep(arrival.proxy(), connection);
                            if (response.status() == 200) {
                                finish(true);
                            } else {
                                tryFailed(response.status() == 503);
                            }
                        }

                        @Override
                        public void onFailure(boolean neverRan, CloseReason why, String detail) {
                            patience.cancel();
                            tryFailed(neverRan);
                        }
                    });
        }

        private void tryFailed(boolean refused) {
            boolean may = refused || spec.idempotency() == Idempotency.SAFE;
            boolean time = loop.now() + habits.backoffNs() < arrivedAt + spec.deadline();
            if (may && time && tries <= habits.maxRetries()) {
                loop.after(habits.backoffNs(), this::tryOnce);
            } else {
                finish(false);
            }
        }

        private void finish(boolean answered) {
            open--;
            long took = loop.now() - arrivedAt;
            ClassStats its = met.get(arrival.cls());
            if (!answered) {
                its.failed++;
            } else if (took <= spec.aim()) {
                its.good++;
            } else {
                its.late++;
            }
            if (answered) {
                its.latency.recordValue(Math.min(took / MICRO, its.latency.getHighestTrackableValue()));
            }
            outcomes.add(new RequestOutcome(arrivedAt, arrival.cls(), took, answered));
        }
    }

    private ClientConnection connection(int proxy) {
        ArrayDeque<ClientConnection> free = idle.computeIfAbsent(proxy, p -> new ArrayDeque<>());
        while (!free.isEmpty()) {
            ClientConnection last = free.pollLast();
            if (last.isAvailable()) {
                return last;
            }
        }
        return ClientConnection.open(loop, null, proxies.get(proxy), Connection.Options.defaults(),
                MessageLimits.defaults(), c -> { });
    }

    private void keep(int proxy, ClientConnection connection) {
        if (connection.isAvailable()) {
            idle.computeIfAbsent(proxy, p -> new ArrayDeque<>()).addLast(connection);
        }
    }

    /** Draws arrivals: Poisson in time, classes by share, proxies by weight, exponential work. */
    public static List<Arrival> drawArrivals(RandomGenerator random, long length, ArrivalRate rate, double[] shares,
            double[] meanWork, double[] proxyWeights) {
        List<Arrival> arrivals = new ArrayList<>();
        double most = rate.maxPerSecond();
        double at = 0;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / most * 1e9;
            if (at >= length) {
                return arrivals;
            }
            if (random.nextDouble() * most < rate.perSecondAt((long) at)) {
                int cls = pick(random, shares);
                double work = -Math.log(1 - random.nextDouble()) * meanWork[cls];
                arrivals.add(new Arrival((long) at, cls, pick(random, proxyWeights), work));
            }
        }
    }

    /** Requests a second over time. */
    public interface ArrivalRate {

        double perSecondAt(long time);

        /** Never less than any answer of {@link #perSecondAt}. */
        double maxPerSecond();
    }

    private static int pick(RandomGenerator random, double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double at = random.nextDouble() * sum;
        for (int i = 0; i < weights.length; i++) {
            at -= weights[i];
            if (at < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }
}
