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
import rowanmoor.http.MessageLimits;
import rowanmoor.http.Message;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/** Probes backends: an HTTP GET each, at most so many at once; those ordered beyond that wait their turn. */
public final class Prober {

    public static final int STATUS_OK = 10;
    private static final int ERROR = 20;
    private static final int FULL = 30;
    private static final int TIMEOUT = 40;
    public static final int STATUS_UNREACHABLE = 50;
    public static final int STATUS_CONNECTION_LOST = 60;
    private static final int BODY_MOST = 4096;

    private final Loop loop;
    private final String path;
    private final long within;
    private final int atOnce;
    private final Function<Backend, InetSocketAddress> where;
    private final Function<Message.Response, List<Double>> load;
    private final Consumer<Probed> told;
    private final LinkedHashSet<Backend> waiting = new LinkedHashSet<>();
    private final ArrayDeque<Backend> working = new ArrayDeque<>();

    /**
     * @param where a backend's address now, or null if it has none
     * @param load an answer's load report, or nothing
     */
    public Prober(Loop loop, String path, long within, int atOnce, Function<Backend, InetSocketAddress> where,
            Function<Message.Response, List<Double>> load, Consumer<Probed> told) {
        this.loop = loop;
        this.path = path;
        this.within = within;
        this.atOnce = atOnce;
        this.where = where;
        this.load = load;
        this.told = told;
    }

    /** Probes a backend, now or when there is room; one that already waits is not asked twice. */
    public void probe(Backend backend) {
        waiting.add(backend);
        next();
    }

    private void next() {
        while (working.size() < atOnce && !waiting.isEmpty()) {
            Backend backend = waiting.iterator().next();
            waiting.remove(backend);
            working.add(backend);
            ask(backend);
        }
    }

    private void ask(Backend backend) {
        long from = loop.now();
        InetSocketAddress at = where.apply(backend);
        if (at == null) {
            loop.after(0, () -> done(at, new Probed(backend, false, STATUS_UNREACHABLE, 0, List.of())));
            return;
        }
        ClientConnection connection = ClientConnection.open(loop, null, at,
                Connection.Options.defaults().connectWithin(within), MessageLimits.defaults().body(BODY_MOST), c -> { });
        Timer patience = loop.after(within, () -> {
            connection.cancel();
            done(at, new Probed(backend, false, TIMEOUT, loop.now() - from, List.of()));
        });
        connection.send(Message.Request.get(path, "Host", at.getHostString() + ":" + at.getPort(),
                "Connection", "close"),
                new ClientConnection.ResponseHandler() {
                    @Override
                    public void onResponse(Message.Response response) {
                        patience.cancel();
                        connection.cancel(); // asked to close it, a backend may still leave it open
                        int status = response.status() == 200 ? STATUS_OK : response.status() == 503 ? FULL : ERROR;
                        done(at, new Probed(backend, status == STATUS_OK, status, loop.now() - from,
                                load.apply(response)));
                    }

                    @Override
                    public void onFailure(boolean neverRan, CloseReason why, String detail) {
                        patience.cancel();
                        int status = why == CloseReason.CONNECT_TIMEOUT ? TIMEOUT : neverRan ? STATUS_UNREACHABLE : STATUS_CONNECTION_LOST;
                        done(at, new Probed(backend, false, status, loop.now() - from, List.of()));
                    }
                });
    }

    /** One that has moved meanwhile was not asked: what is said at its old address says nothing of it. */
    private void done(InetSocketAddress at, Probed probed) {
        working.remove(probed.backend());
        if (Objects.equals(at, where.apply(probed.backend()))) {
            told.accept(probed);
        }
        next();
    }
}
