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
import rowanmoor.http.Message;
import rowanmoor.http.MessageLimits;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/**
 * Open-loop clients: all arrivals are drawn ahead from a seed and do not depend on the fate of earlier
 * requests. Latency counts from the drawn arrival, so that stalls are not left out of the figures
 * (coordinated omission). A client repeats a failed request if it is safe or was refused before it ran.
 */
public final class Clients {

    /** One request: its time from the start, ns, class, proxy and work, seconds on a core of speed 1. */
    public record Arrival(long offsetNs, int cls, int proxy, double workSeconds) { }

    /**
     * How clients retry.
     *
     * @param maxRetries retries of a request
     * @param backoffNs wait before a retry
     * @param tryTimeoutFraction fraction of the deadline after which a try is abandoned
     */
    public record RetryPolicy(int maxRetries, long backoffNs, double tryTimeoutFraction) { }

    /** Results of the requests of one class. Latencies are microseconds of good and late answers. */
    public static final class ClassStats {
        public long offered;
        public long good;
        public long late;
        public long failed;
        public long tries;
        public final Histogram latency = new Histogram(3_600_000_000L, 3);
    }

    /** The result of one request; {@code latencyNs} counts from its drawn arrival. */
    public record RequestOutcome(long arrivedAt, int cls, long latencyNs, boolean answered) { }

    private static final long NS_PER_US = 1000;

    private final Loop loop;
    private final Site site;
    private final List<InetSocketAddress> proxies;
    private final List<Arrival> arrivals;
    private final RetryPolicy retryPolicy;
    private final long startNs;
    private final Map<Integer, ArrayDeque<ClientConnection>> idle = new HashMap<>();
    private final List<ClassStats> classStats = new ArrayList<>();
    private final List<RequestOutcome> outcomes = new ArrayList<>();
    private int nextArrival;
    private int pendingRequests;

    /**
     * Clients that start sending at once.
     *
     * @param startNs loop time from which arrivals count, ns
     */
    public Clients(Loop loop, Site site, List<InetSocketAddress> proxies, List<Arrival> arrivals,
            RetryPolicy retryPolicy, long startNs) {
        this.loop = loop;
        this.site = site;
        this.proxies = proxies;
        this.arrivals = arrivals;
        this.retryPolicy = retryPolicy;
        this.startNs = startNs;
        site.classes().forEach(c -> classStats.add(new ClassStats()));
        scheduleNextArrival();
    }

    private void scheduleNextArrival() {
        if (nextArrival < arrivals.size()) {
            loop.at(startNs + arrivals.get(nextArrival).offsetNs(), () -> {
                long now = loop.now();
                while (nextArrival < arrivals.size()
                        && startNs + arrivals.get(nextArrival).offsetNs() <= now) {
                    new ClientRequest(nextArrival, arrivals.get(nextArrival)).sendTry();
                    nextArrival++;
                }
                scheduleNextArrival();
            });
        }
    }

    /** Whether every request has been sent and has ended. */
    public boolean isDone() {
        return nextArrival == arrivals.size() && pendingRequests == 0;
    }

    /** Results by class. */
    public List<ClassStats> classStats() {
        return classStats;
    }

    /** Results of all requests that have ended, in the order of their ends. */
    public List<RequestOutcome> outcomes() {
        return outcomes;
    }

    /** One client with one request and its retries. */
    private final class ClientRequest {
        private final int number;
        private final Arrival arrival;
        private final ClassSpec spec;
        private final long arrivedAt;
        private int tries;

        ClientRequest(int number, Arrival arrival) {
            this.number = number;
            this.arrival = arrival;
            this.spec = site.classes().get(arrival.cls());
            this.arrivedAt = startNs + arrival.offsetNs();
            pendingRequests++;
            classStats.get(arrival.cls()).offered++;
        }

        void sendTry() {
            tries++;
            classStats.get(arrival.cls()).tries++;
            ClientConnection connection = acquireConnection(arrival.proxy());
            long remaining = arrivedAt + spec.deadline() - loop.now();
            long timeout = Math.min(remaining, (long) (retryPolicy.tryTimeoutFraction() * spec.deadline()));
            Timer tryTimeout = loop.after(Math.max(1, timeout), () -> {
                connection.cancel();
                onTryFailed(false);
            });
            String path = site.pathPrefixes().get(arrival.cls()) + "/" + number;
            connection.send(Message.Request.get(path, "Host", "rowanmoor.test", BackendServer.WORK_FIELD,
                    Double.toString(arrival.workSeconds()), BackendServer.REQUEST_ID_FIELD,
                    number + "." + tries), new ClientConnection.ResponseHandler() {
                        @Override
                        public void onResponse(Message.Response response) {
                            tryTimeout.cancel();
                            returnToPool(arrival.proxy(), connection);
                            if (response.status() == 200) {
                                finish(true);
                            } else {
                                onTryFailed(response.status() == 503);
                            }
                        }

                        @Override
                        public void onFailure(boolean neverRan, CloseReason reason, String detail) {
                            tryTimeout.cancel();
                            onTryFailed(neverRan);
                        }
                    });
        }

        private void onTryFailed(boolean refused) {
            boolean allowed = refused || spec.idempotency() == Idempotency.SAFE;
            boolean timeLeft = loop.now() + retryPolicy.backoffNs() < arrivedAt + spec.deadline();
            if (allowed && timeLeft && tries <= retryPolicy.maxRetries()) {
                loop.after(retryPolicy.backoffNs(), this::sendTry);
            } else {
                finish(false);
            }
        }

        private void finish(boolean answered) {
            pendingRequests--;
            long latency = loop.now() - arrivedAt;
            ClassStats stats = classStats.get(arrival.cls());
            if (!answered) {
                stats.failed++;
            } else if (latency <= spec.aim()) {
                stats.good++;
            } else {
                stats.late++;
            }
            if (answered) {
                stats.latency.recordValue(Math.min(latency / NS_PER_US,
                        stats.latency.getHighestTrackableValue()));
            }
            outcomes.add(new RequestOutcome(arrivedAt, arrival.cls(), latency, answered));
        }
    }

    private ClientConnection acquireConnection(int proxy) {
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

    private void returnToPool(int proxy, ClientConnection connection) {
        if (connection.isAvailable()) {
            idle.computeIfAbsent(proxy, p -> new ArrayDeque<>()).addLast(connection);
        }
    }

    /** Draws arrivals: a Poisson process, classes by share, proxies by weight, exponential work. */
    public static List<Arrival> drawArrivals(RandomGenerator random, long length, ArrivalRate rate,
            double[] shares, double[] meanWork, double[] proxyWeights) {
        List<Arrival> arrivals = new ArrayList<>();
        double maxRate = rate.maxPerSecond();
        double time = 0;
        while (true) {
            time += -Math.log(1 - random.nextDouble()) / maxRate * 1e9;
            if (time >= length) {
                return arrivals;
            }
            if (random.nextDouble() * maxRate < rate.perSecondAt((long) time)) {
                int cls = pickWeighted(random, shares);
                double work = -Math.log(1 - random.nextDouble()) * meanWork[cls];
                arrivals.add(new Arrival((long) time, cls, pickWeighted(random, proxyWeights), work));
            }
        }
    }

    /** Rate of arrivals over time. */
    public interface ArrivalRate {

        /** Requests per second at a time from the start, ns. */
        double perSecondAt(long time);

        /** Never less than any answer of {@link #perSecondAt}. */
        double maxPerSecond();
    }

    private static int pickWeighted(RandomGenerator random, double[] weights) {
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
