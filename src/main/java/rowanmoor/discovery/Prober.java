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
import rowanmoor.http.Message;
import rowanmoor.http.MessageLimits;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/** Probes backends by HTTP GET with bounded concurrency; further probes are queued. */
public final class Prober {

    /** Status of a probe answered with HTTP 200. */
    public static final int STATUS_OK = 10;
    private static final int STATUS_ERROR = 20;
    private static final int STATUS_OVERLOADED = 30;
    private static final int STATUS_TIMEOUT = 40;
    /** Status of a probe whose request was never sent: no address, or no connection. */
    public static final int STATUS_UNREACHABLE = 50;
    /** Status of a probe whose connection failed after the request was sent. */
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
     * @param path path of the GET request
     * @param timeoutNs limit for a whole probe, connecting included
     * @param maxConcurrent maximum number of probes in progress
     * @param addressOf returns a backend's current address, or null if it has none
     * @param loadParser returns a response's load report, or an empty list
     * @param onProbed receives each result
     */
    public Prober(Loop loop, String path, long timeoutNs, int maxConcurrent,
            Function<Backend, InetSocketAddress> addressOf,
            Function<Message.Response, List<Double>> loadParser, Consumer<Probed> onProbed) {
        this.loop = loop;
        this.path = path;
        this.timeoutNs = timeoutNs;
        this.maxConcurrent = maxConcurrent;
        this.addressOf = addressOf;
        this.loadParser = loadParser;
        this.onProbed = onProbed;
    }

    /** Probes a backend as soon as the concurrency limit allows; does nothing if it is queued already. */
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
        long startedAt = loop.now();
        InetSocketAddress address = addressOf.apply(backend);
        if (address == null) {
            loop.after(0, () -> finish(address,
                    new Probed(backend, false, STATUS_UNREACHABLE, 0, List.of())));
            return;
        }
        ClientConnection connection = ClientConnection.open(loop, null, address,
                Connection.Options.defaults().connectWithin(timeoutNs),
                MessageLimits.defaults().body(MAX_BODY_BYTES), c -> { });
        Timer timeout = loop.after(timeoutNs, () -> {
            connection.cancel();
            finish(address, new Probed(backend, false, STATUS_TIMEOUT, loop.now() - startedAt, List.of()));
        });
        connection.send(Message.Request.get(path, "Host", address.getHostString() + ":" + address.getPort(),
                "Connection", "close"),
                new ClientConnection.ResponseHandler() {
                    @Override
                    public void onResponse(Message.Response response) {
                        timeout.cancel();
                        connection.cancel(); // a backend may leave it open despite "Connection: close"
                        int status = response.status() == 200 ? STATUS_OK
                                : response.status() == 503 ? STATUS_OVERLOADED : STATUS_ERROR;
                        finish(address, new Probed(backend, status == STATUS_OK, status,
                                loop.now() - startedAt, loadParser.apply(response)));
                    }

                    @Override
                    public void onFailure(boolean neverRan, CloseReason reason, String detail) {
                        timeout.cancel();
                        int status = reason == CloseReason.CONNECT_TIMEOUT ? STATUS_TIMEOUT
                                : neverRan ? STATUS_UNREACHABLE : STATUS_CONNECTION_LOST;
                        finish(address,
                                new Probed(backend, false, status, loop.now() - startedAt, List.of()));
                    }
                });
    }

    /**
     * Reports the result, unless the backend has moved: a result from its old address says nothing about it.
     */
    private void finish(InetSocketAddress address, Probed probed) {
        active.remove(probed.backend());
        if (Objects.equals(address, addressOf.apply(probed.backend()))) {
            onProbed.accept(probed);
        }
        startQueued();
    }
}
