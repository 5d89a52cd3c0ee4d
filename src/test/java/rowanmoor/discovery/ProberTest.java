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

/** Probes whose answers come at the wrong instant. */
class ProberTest {

    private static final long MS = 1_000_000;
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Backend BACKEND = new Backend(1);

    private final List<Throwable> faults = new ArrayList<>();
    private final MemoryNet net = new MemoryNet(1, 3);
    private final Loop near = net.newLoop(faults::add);
    private final Loop far = net.newLoop(faults::add);
    private final Map<Backend, InetSocketAddress> where = new HashMap<>();
    private final List<Probed> told = new ArrayList<>();
    private final List<Connection> asked = new ArrayList<>();
    private final Prober prober = new Prober(near, "/ping", 500 * MS, 2, where::get, r -> List.of(), told::add);

    private InetSocketAddress backend() throws IOException {
        return far.listen(ANY, Connection.Options.defaults(), c -> new ConnectionHandler() {
            @Override
            public void onData(Connection its, ByteBuffer bytes) {
                asked.add(its);
            }
        }).address();
    }

    private void answer(int which) {
        asked.get(which).send(ByteBuffer.wrap("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1)));
    }

    @Test
    void anAnswerAndItsTimeOutInOneTurnAreToldOnce() throws IOException {
        where.put(BACKEND, backend());
        prober.probe(BACKEND);
        net.runFor(100 * MS);
        net.setFrozen(near, true);
        answer(0);
        net.runFor(600 * MS); // the answer has come and the time is over when it looks again
        net.setFrozen(near, false);
        net.runFor(100 * MS);
        assertEquals(1, told.size());
        prober.probe(BACKEND);
        net.runFor(700 * MS);
        answer(1); // too late
        net.runFor(100 * MS);
        assertEquals(2, told.size());
        assertEquals(List.of(true, false), told.stream().map(Probed::ok).toList());
        assertEquals(0, net.liveTimerCount(near));
        assertEquals(0, net.openConnectionCount(near));
        assertEquals(List.of(), faults);
    }

    @Test
    void whatIsSaidAtAnAddressThatWasLeftMeanwhileIsNotTold() throws IOException {
        where.put(BACKEND, backend());
        prober.probe(BACKEND);
        net.runFor(100 * MS);
        where.put(BACKEND, backend());
        answer(0);
        net.runFor(100 * MS);
        assertEquals(List.of(), told);
        prober.probe(BACKEND);
        net.runFor(100 * MS);
        answer(1);
        net.runFor(100 * MS);
        assertEquals(1, told.size());
        where.remove(BACKEND);
        prober.probe(BACKEND);
        net.runFor(100 * MS);
        assertEquals(2, told.size(), "one without an address is down");
        assertEquals(0, net.openConnectionCount(near));
    }
}
