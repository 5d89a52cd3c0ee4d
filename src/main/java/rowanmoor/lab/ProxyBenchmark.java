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
import rowanmoor.http.MessageLimits;
import rowanmoor.http.Message;
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
 * What a proxy costs, on loopback sockets of this machine: one loop for backends that answer at once, one for
 * the proxy, one for clients. Requests come at a fixed rate, whatever has become of those before (open loop),
 * and each goes straight to a backend and over the proxy too, so that both meet the same moment.
 */
public final class ProxyBenchmark {

    /**
     * What one step came to. Latencies are microseconds from the time at which a request was due.
     *
     * @param cpuMicros of the proxy's thread, a request over it
     * @param allocated bytes of the proxy's thread, a request over it
     * @param seconds until the last answer
     */
    public record Step(int lines, double rate, Histogram direct, Histogram over, long failed,
            double cpuMicros,
            double allocated, double seconds) {

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%6d lines %8.0f/s  direct p50 %6d p99 %7d p99.9 %7d us"
                    + "  over p50 %6d p99 %7d p99.9 %7d us  added p50 %6d p99 %7d us  good %9.1f/s"
                    + "  failed %d  CPU %.1f us (%.0f/s a core)  %.0f bytes a request",
                    lines, rate, direct.getValueAtPercentile(50), direct.getValueAtPercentile(99),
                    direct.getValueAtPercentile(99.9), over.getValueAtPercentile(50),
                    over.getValueAtPercentile(99), over.getValueAtPercentile(99.9),
                    over.getValueAtPercentile(50) - direct.getValueAtPercentile(50),
                    over.getValueAtPercentile(99) - direct.getValueAtPercentile(99),
                    over.getTotalCount() / seconds, failed, cpuMicros, 1e6 / cpuMicros, allocated);
        }

    }

    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final long SECOND = 1_000_000_000L;
    private static final int BACKENDS = 4;
    /** Requests over the proxy that may be unanswered; those beyond it are lost and counted as failed. */
    private static final int OUT_MOST = 2000;
    private static final long MOST_MICROS = 60_000_000L;

    private final int lines;
    private final List<Throwable> faults = Collections.synchronizedList(new ArrayList<>());
    private final Loop far = Loop.onSockets(faults::add);
    private final Loop middle = Loop.onSockets(faults::add);
    private final Loop near = Loop.onSockets(faults::add);
    private final List<InetSocketAddress> backends = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final Proxy proxy;
    private final ArrayDeque<ClientConnection> straight = new ArrayDeque<>();
    private final ArrayDeque<ClientConnection> over = new ArrayDeque<>();
    private final boolean straightToo;
    private int overOut;

    /**
     * @param lines of the proxy's table; those beyond the few real backends have next to no weight
     * @param straightToo whether each request also goes straight; without, the proxy is the first limit
     */
    public ProxyBenchmark(int lines, boolean straightToo) throws IOException, ConfigException {
        this.lines = lines;
        this.straightToo = straightToo;
        for (int b = 0; b < BACKENDS; b++) {
            backends.add(far.listen(ANY, Connection.Options.defaults(),
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
                60 * SECOND, 60 * SECOND, backends, 15 * SECOND, SECOND, 1 << 16, ForwardingPolicy.defaults());
        SplittableRandom random = new SplittableRandom(1);
        Router router = new Router(site, List.of(), random, middle.now());
        router.apply(new Frame.Snapshot(1, 0, 0, 0, List.of(new Frame.Table(0, table(), List.of())),
                List.of(new Frame.Binding(0, 0)), List.of(), List.of()));
        proxy = new Proxy(config, middle, router, random, Tap.NONE);
        for (Loop loop : List.of(far, middle, near)) {
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

    /** Plays a step; the first one of a process also compiles and should not be counted. */
    public Step step(double rate, double seconds) throws InterruptedException {
        Histogram direct = new Histogram(MOST_MICROS, 3);
        Histogram passed = new Histogram(MOST_MICROS, 3);
        long[] failed = new long[1];
        long count = (long) (rate * seconds);
        CountDownLatch done = new CountDownLatch((int) (2 * count));
        var threadBean = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long id = threads.get(1).getId();
        long cpu = threadBean.getThreadCpuTime(id);
        long bytes = threadBean.getThreadAllocatedBytes(id);
        long began = near.now();
        near.post(() -> due(near.now(), 0, count, (long) (SECOND / rate), direct, passed, failed, done));
        done.await((long) (seconds + 60), TimeUnit.SECONDS);
        double used = (threadBean.getThreadCpuTime(id) - cpu) / 1000.0;
        double allocated = threadBean.getThreadAllocatedBytes(id) - bytes;
        return new Step(lines, rate, direct, passed, failed[0], used / count, allocated / count,
                Math.max(seconds, (near.now() - began) / 1e9));
    }

    private void due(long from, long number, long count, long gap, Histogram direct, Histogram passed,
            long[] failed, CountDownLatch done) {
        long next = number;
        for (; next < count && from + next * gap <= near.now(); next++) {
            long at = from + next * gap;
            if (straightToo) {
                ask(straight, backends.get((int) (next % BACKENDS)), at, direct, failed, done);
            } else {
                done.countDown();
            }
            ask(over, proxy.address(), at, passed, failed, done);
        }
        long on = next;
        if (on < count) {
            near.at(from + on * gap, () -> due(from, on, count, gap, direct, passed, failed, done));
        }
    }

    private void ask(ArrayDeque<ClientConnection> idle, InetSocketAddress to, long at, Histogram took,
            long[] failed, CountDownLatch done) {
        if (idle == over && overOut >= OUT_MOST) {
            failed[0]++; // its clients wait for nobody: what cannot be asked is lost
            done.countDown();
            return;
        }
        overOut += idle == over ? 1 : 0;
        ClientConnection kept = idle.pollLast();
        while (kept != null && !kept.isAvailable()) {
            kept = idle.pollLast();
        }
        ClientConnection connection = kept != null ? kept : ClientConnection.open(near, null, to,
                Connection.Options.defaults(), MessageLimits.defaults(), c -> { });
        connection.send(Message.Request.get("/x", "Host", "h"), new ClientConnection.ResponseHandler() {
            @Override
            public void onResponse(Message.Response response) {
                if (response.status() == 200) {
                    took.recordValue(Math.min(MOST_MICROS, Math.max(0, (near.now() - at) / 1000)));
                } else {
                    failed[0]++;
                }
                overOut -= idle == over ? 1 : 0;
                idle.addLast(connection);
                done.countDown();
            }

            @Override
            public void onFailure(boolean neverRan, CloseReason why, String detail) {
                overOut -= idle == over ? 1 : 0;
                failed[0]++;
                done.countDown();
            }
        });
    }

    /** What was thrown on a loop; must be nothing. */
    public List<Throwable> faults() {
        return List.copyOf(faults);
    }

    public void close() throws InterruptedException {
        List.of(far, middle, near).forEach(Loop::stop);
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
