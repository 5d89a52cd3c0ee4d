package rowanmoor.lab;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import rowanmoor.ControlApi.Backend;
import rowanmoor.channel.Frame;
import rowanmoor.config.ConfigException;
import rowanmoor.config.Section;
import rowanmoor.config.Site;
import rowanmoor.discovery.Addresses;
import rowanmoor.http.ClientConnection;
import rowanmoor.http.Message;
import rowanmoor.http.MessageLimits;
import rowanmoor.http.ServerConnection;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.proxy.ForwardingPolicy;
import rowanmoor.proxy.Proxy;
import rowanmoor.proxy.ProxyConfig;
import rowanmoor.proxy.Router;
import rowanmoor.proxy.Tap;

/**
 * Measures the cost of a proxy on loopback sockets of this machine: one loop for backends that respond at
 * once, one for the proxy, one for clients. Requests are sent at a fixed rate, whether earlier ones are
 * answered or not (open loop). Each is sent directly to a backend and through the proxy, so that both see the
 * same conditions.
 */
public final class ProxyBenchmark {

    /**
     * The result of one step. Latencies are microseconds from the time at which a request was due.
     *
     * @param cpuMicros CPU time of the proxy's thread per request
     * @param allocatedBytes bytes allocated by the proxy's thread per request
     * @param seconds from the first request until the last response
     */
    public record Step(int lines, double rate, Histogram direct, Histogram viaProxy, long failed,
            double cpuMicros, double allocatedBytes, double seconds) {

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%6d lines %8.0f/s  direct p50 %6d p99 %7d p99.9 %7d us"
                    + "  over p50 %6d p99 %7d p99.9 %7d us  added p50 %6d p99 %7d us  good %9.1f/s"
                    + "  failed %d  CPU %.1f us (%.0f/s a core)  %.0f bytes a request",
                    lines, rate, direct.getValueAtPercentile(50), direct.getValueAtPercentile(99),
                    direct.getValueAtPercentile(99.9), viaProxy.getValueAtPercentile(50),
                    viaProxy.getValueAtPercentile(99), viaProxy.getValueAtPercentile(99.9),
                    viaProxy.getValueAtPercentile(50) - direct.getValueAtPercentile(50),
                    viaProxy.getValueAtPercentile(99) - direct.getValueAtPercentile(99),
                    viaProxy.getTotalCount() / seconds, failed, cpuMicros, 1e6 / cpuMicros, allocatedBytes);
        }

    }

    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final long NS_PER_SECOND = 1_000_000_000L;
    private static final int BACKENDS = 4;
    /**
     * Maximum unanswered requests through the proxy; requests beyond it are dropped and counted as failed.
     */
    private static final int MAX_IN_FLIGHT = 2000;
    private static final long MAX_LATENCY_US = 60_000_000L;

    private final int lines;
    private final List<Throwable> faults = Collections.synchronizedList(new ArrayList<>());
    private final Loop backendLoop = Loop.onSockets(faults::add);
    private final Loop proxyLoop = Loop.onSockets(faults::add);
    private final Loop clientLoop = Loop.onSockets(faults::add);
    private final List<InetSocketAddress> backends = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final Proxy proxy;
    private final ArrayDeque<ClientConnection> directConnections = new ArrayDeque<>();
    private final ArrayDeque<ClientConnection> proxiedConnections = new ArrayDeque<>();
    private final boolean alsoDirect;
    private int proxiedInFlight;

    /**
     * @param lines number of lines in the proxy's table; those beyond the real backends have almost no weight
     * @param alsoDirect whether each request is also sent directly; without, the proxy is the first
     *     bottleneck
     */
    public ProxyBenchmark(int lines, boolean alsoDirect) throws IOException, ConfigException {
        this.lines = lines;
        this.alsoDirect = alsoDirect;
        for (int b = 0; b < BACKENDS; b++) {
            backends.add(backendLoop.listen(ANY, Connection.Options.defaults(),
                    c -> new ServerConnection(MessageLimits.defaults(), (request, exchange) ->
                            exchange.respond(Message.Response.of(200, "ok")))).address());
        }
        Site site = Site.of(Section.parse("proxy-load", """
                site {
                    zones "a"
                    kinds "k"
                    class "all" { prefix "/"; aim "1s"; deadline "10s"; worth 1; effect "safe" }
                    choice "two"
                    proxies 1
                    period "1s"
                    intake "100/s"
                    rules {
                        bare "3s"; drain-grace "2s"; cold "10s"; cold-from 0.2
                        fall-multiple 4; fall-span "1s"
                    }
                    channel { pace "100/s"; head 4; backlog 1000; late "1ms"; latest "10ms" }
                }
                """));
        ProxyConfig config = new ProxyConfig(site, 0, "measured", 0, 10, ANY, null, List.of(backends.get(0)),
                0,
                60 * NS_PER_SECOND, 60 * NS_PER_SECOND, backends, 15 * NS_PER_SECOND, NS_PER_SECOND, 1 << 16,
                ForwardingPolicy.defaults());
        SplittableRandom random = new SplittableRandom(1);
        Router router = new Router(site, List.of(), random, proxyLoop.now());
        router.apply(new Frame.Snapshot(1, 0, 0, 0, List.of(new Frame.Table(0, table(), List.of())),
                List.of(new Frame.Binding(0, 0)), List.of(), List.of()));
        proxy = new Proxy(config, proxyLoop, router, random, Tap.NONE);
        for (Loop loop : List.of(backendLoop, proxyLoop, clientLoop)) {
            Thread thread = new Thread(loop, "load-" + threads.size());
            threads.add(thread);
            thread.start();
        }
    }

    private List<Frame.Line> table() {
        List<Frame.Line> all = new ArrayList<>();
        for (int i = 0; i < lines; i++) {
            all.add(i < BACKENDS ? new Frame.Line(Addresses.toBackend(backends.get(i)), 1)
                    : new Frame.Line(new Backend((0x7f020000L + i << 16) + 9), 1e-12));
        }
        return all;
    }

    /**
     * Runs a step; in the first one of a process the JIT still compiles, so its figures should be discarded.
     */
    public Step step(double rate, double seconds) throws InterruptedException {
        Histogram direct = new Histogram(MAX_LATENCY_US, 3);
        Histogram viaProxy = new Histogram(MAX_LATENCY_US, 3);
        long[] failed = new long[1];
        long count = (long) (rate * seconds);
        CountDownLatch done = new CountDownLatch((int) (2 * count));
        var threadBean = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long id = threads.get(1).getId();
        long cpu = threadBean.getThreadCpuTime(id);
        long bytes = threadBean.getThreadAllocatedBytes(id);
        long began = clientLoop.now();
        clientLoop.post(() -> sendDue(clientLoop.now(), 0, count, (long) (NS_PER_SECOND / rate), direct,
                viaProxy, failed, done));
        done.await((long) (seconds + 60), TimeUnit.SECONDS);
        double used = (threadBean.getThreadCpuTime(id) - cpu) / 1000.0;
        double allocated = threadBean.getThreadAllocatedBytes(id) - bytes;
        return new Step(lines, rate, direct, viaProxy, failed[0], used / count, allocated / count,
                Math.max(seconds, (clientLoop.now() - began) / 1e9));
    }

    private void sendDue(long from, long number, long count, long gap, Histogram direct, Histogram viaProxy,
            long[] failed, CountDownLatch done) {
        long next = number;
        for (; next < count && from + next * gap <= clientLoop.now(); next++) {
            long at = from + next * gap;
            if (alsoDirect) {
                send(directConnections, backends.get((int) (next % BACKENDS)), at, direct, failed, done);
            } else {
                done.countDown();
            }
            send(proxiedConnections, proxy.address(), at, viaProxy, failed, done);
        }
        long resumeAt = next;
        if (resumeAt < count) {
            clientLoop.at(from + resumeAt * gap,
                    () -> sendDue(from, resumeAt, count, gap, direct, viaProxy, failed, done));
        }
    }

    private void send(ArrayDeque<ClientConnection> idle, InetSocketAddress to, long at, Histogram took,
            long[] failed, CountDownLatch done) {
        if (idle == proxiedConnections && proxiedInFlight >= MAX_IN_FLIGHT) {
            failed[0]++; // an open loop does not wait: a request that cannot be sent is lost
            done.countDown();
            return;
        }
        proxiedInFlight += idle == proxiedConnections ? 1 : 0;
        ClientConnection reusable = idle.pollLast();
        while (reusable != null && !reusable.isAvailable()) {
            reusable = idle.pollLast();
        }
        ClientConnection connection = reusable != null ? reusable
                : ClientConnection.open(clientLoop, null, to,
                Connection.Options.defaults(), MessageLimits.defaults(), c -> { });
        connection.send(Message.Request.get("/x", "Host", "h"), new ClientConnection.ResponseHandler() {
            @Override
            public void onResponse(Message.Response response) {
                if (response.status() == 200) {
                    took.recordValue(Math.min(MAX_LATENCY_US, Math.max(0, (clientLoop.now() - at) / 1000)));
                } else {
                    failed[0]++;
                }
                proxiedInFlight -= idle == proxiedConnections ? 1 : 0;
                idle.addLast(connection);
                done.countDown();
            }

            @Override
            public void onFailure(boolean neverRan, CloseReason why, String detail) {
                proxiedInFlight -= idle == proxiedConnections ? 1 : 0;
                failed[0]++;
                done.countDown();
            }
        });
    }

    /** Exceptions thrown on a loop; the measurement is valid only without any. */
    public List<Throwable> faults() {
        return List.copyOf(faults);
    }

    /** Stops the loops and waits for their threads. */
    public void close() throws InterruptedException {
        List.of(backendLoop, proxyLoop, clientLoop).forEach(Loop::stop);
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
