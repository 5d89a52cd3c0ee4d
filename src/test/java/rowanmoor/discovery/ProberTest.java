package rowanmoor.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Probed;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;
import rowanmoor.net.MemoryNet;

/** Probes whose responses arrive together with the timeout, too late, or after the backend has moved. */
class ProberTest {

    private static final long MS = 1_000_000;
    private static final InetSocketAddress LOOPBACK = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Backend BACKEND = new Backend(1);

    private final List<Throwable> faults = new ArrayList<>();
    private final MemoryNet net = new MemoryNet(1, 3);
    private final Loop proberLoop = net.newLoop(faults::add);
    private final Loop backendLoop = net.newLoop(faults::add);
    private final Map<Backend, InetSocketAddress> addresses = new HashMap<>();
    private final List<Probed> probed = new ArrayList<>();
    private final List<Connection> requests = new ArrayList<>();
    private final Prober prober = new Prober(proberLoop, "/ping", 500 * MS, 2, addresses::get, r -> List.of(), probed::add);

    private InetSocketAddress listenAsBackend() throws IOException {
        return backendLoop.listen(LOOPBACK, Connection.Options.defaults(), c -> new ConnectionHandler() {
            @Override
            public void onData(Connection source, ByteBuffer bytes) {
                requests.add(source);
            }
        }).address();
    }

    private void sendOk(int index) {
        requests.get(index).send(ByteBuffer.wrap("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1)));
    }

    @Test
    void responseAndTimeoutInOneTurnAreReportedOnce() throws IOException {
        addresses.put(BACKEND, listenAsBackend());
        prober.probe(BACKEND);
        net.runFor(100 * MS);
        net.setFrozen(proberLoop, true);
        sendOk(0);
        net.runFor(600 * MS); // when the loop runs again, the response has arrived and the timeout has passed
        net.setFrozen(proberLoop, false);
        net.runFor(100 * MS);
        assertEquals(1, probed.size());
        prober.probe(BACKEND);
        net.runFor(700 * MS);
        sendOk(1); // after the timeout
        net.runFor(100 * MS);
        assertEquals(2, probed.size());
        assertEquals(List.of(true, false), probed.stream().map(Probed::ok).toList());
        assertEquals(0, net.liveTimerCount(proberLoop));
        assertEquals(0, net.openConnectionCount(proberLoop));
        assertEquals(List.of(), faults);
    }

    @Test
    void responseFromAFormerAddressIsNotReported() throws IOException {
        addresses.put(BACKEND, listenAsBackend());
        prober.probe(BACKEND);
        net.runFor(100 * MS);
        addresses.put(BACKEND, listenAsBackend());
        sendOk(0);
        net.runFor(100 * MS);
        assertEquals(List.of(), probed);
        prober.probe(BACKEND);
        net.runFor(100 * MS);
        sendOk(1);
        net.runFor(100 * MS);
        assertEquals(1, probed.size());
        addresses.remove(BACKEND);
        prober.probe(BACKEND);
        net.runFor(100 * MS);
        assertEquals(2, probed.size(), "a backend without an address is unreachable");
        assertEquals(0, net.openConnectionCount(proberLoop));
    }
}
