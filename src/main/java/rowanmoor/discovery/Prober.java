package rowanmoor.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Function;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Probed;
import rowanmoor.http.ClientConnection;
import rowanmoor.http.Limits;
import rowanmoor.http.Message;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/** Probes backends: an HTTP GET each, at most so many at once; those ordered beyond that wait their turn. */
public final class Prober {

    public static final int STATUS_OK = 10;
    private static final int STATUS_ERROR = 20;
    private static final int STATUS_OVERLOADED = 30;
    private static final int STATUS_TIMEOUT = 40;
    public static final int STATUS_UNREACHABLE = 50;
    public static final int STATUS_CONNECTION_LOST = 60;
    private static final int MAX_BODY_BYTES = 4096;

    private final Loop loop;
    private final String path;
    private final long timeoutNs;
    private final int maxConcurrent;
    private final Function<Backend, InetSocketAddress> addressOf;
    private final Function<Message.Response, List<Double>> loadParser;
    private final Consumer<Probed> onProbed;
    private final LinkedHashSet<Backend> queued = new LinkedHashSet<>();
    private final ArrayDeque<Backend> active = new ArrayDeque<>();

    /**
     * @param where a backend's address now, or null if it has none
     * @param load an answer's load report, or nothing
     */
    public Prober(Loop loop, String path, long within, int atOnce, Function<Backend, InetSocketAddress> where,
            Function<Message.Response, List<Double>> load, Consumer<Probed> told) {
        this.loop = loop;
        this.path = path;
        this.timeoutNs = within;
        this.maxConcurrent = atOnce;
        this.addressOf = where;
        this.loadParser = load;
        this.onProbed = told;
    }

    /** Probes a backend, now or when there is room; one that already waits is not asked twice. */
    public void probe(Backend backend) {
        queued.add(backend);
        startQueued();
    }

    private void startQueued() {
        while (active.size() < maxConcurrent && !queued.isEmpty()) {
            Backend backend = queued.iterator().next();
            queued.remove(backend);
            active.add(backend);
            sendProbe(backend);
        }
    }

    private void sendProbe(Backend backend) {
        long from = loop.now();
        InetSocketAddress at = addressOf.apply(backend);
        if (at == null) {
            loop.after(0, () -> finish(at, new Probed(backend, false, STATUS_UNREACHABLE, 0, List.of())));
            return;
        }
        ClientConnection connection = ClientConnection.open(loop, null, at,
                Connection.Options.usual().connectWithin(timeoutNs), Limits.usual().body(MAX_BODY_BYTES), c -> { });
        Timer patience = loop.after(timeoutNs, () -> {
            connection.cancel();
            finish(at, new Probed(backend, false, STATUS_TIMEOUT, loop.now() - from, List.of()));
        });
        connection.ask(Message.Request.get(path, "Host", at.getHostString() + ":" + at.getPort(),
                "Connection", "close"),
                new ClientConnection.Answer() {
                    @Override
                    public void answered(Message.Response response) {
                        patience.cancel();
                        connection.cancel(); // asked to close it, a backend may still leave it open
                        int status = response.status() == 200 ? STATUS_OK : response.status() == 503 ? STATUS_OVERLOADED : STATUS_ERROR;
                        finish(at, new Probed(backend, status == STATUS_OK, status, loop.now() - from,
                                loadParser.apply(response)));
                    }

                    @Override
                    public void failed(boolean neverRan, Close why, String detail) {
                        patience.cancel();
                        int status = why == Close.CONNECT_TIMEOUT ? STATUS_TIMEOUT : neverRan ? STATUS_UNREACHABLE : STATUS_CONNECTION_LOST;
                        finish(at, new Probed(backend, false, status, loop.now() - from, List.of()));
                    }
                });
    }

    /** One that has moved meanwhile was not asked: what is said at its old address says nothing of it. */
    private void finish(InetSocketAddress at, Probed probed) {
        active.remove(probed.backend());
        if (Objects.equals(at, addressOf.apply(probed.backend()))) {
            onProbed.accept(probed);
        }
        startQueued();
    }
}
