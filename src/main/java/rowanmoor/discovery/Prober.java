package rowanmoor.discovery;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.function.Consumer;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Probed;
import rowanmoor.http.ClientConnection;
import rowanmoor.http.Limits;
import rowanmoor.http.Message;
import rowanmoor.http.Orca;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/** Probes backends: an HTTP GET each, at most so many at once; those ordered beyond that wait their turn. */
public final class Prober {

    public static final int OK = 10;
    private static final int ERROR = 20;
    private static final int FULL = 30;
    private static final int TIMEOUT = 40;
    public static final int DOWN = 50;
    public static final int BROKEN = 60;
    private static final int BODY_MOST = 4096;

    private final Loop loop;
    private final String path;
    private final long within;
    private final int atOnce;
    private final LoadColumns columns;
    private final Consumer<Probed> told;
    private final LinkedHashSet<Backend> waiting = new LinkedHashSet<>();
    private final ArrayDeque<Backend> working = new ArrayDeque<>();

    public Prober(Loop loop, String path, long within, int atOnce, LoadColumns columns,
            Consumer<Probed> told) {
        this.loop = loop;
        this.path = path;
        this.within = within;
        this.atOnce = atOnce;
        this.columns = columns;
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
        ClientConnection connection = ClientConnection.open(loop, null, Addresses.socket(backend),
                Connection.Options.usual().connectWithin(within), Limits.usual().body(BODY_MOST), c -> { });
        Timer patience = loop.after(within, () -> {
            connection.cancel();
            done(new Probed(backend, false, TIMEOUT, loop.now() - from, java.util.List.of()));
        });
        connection.ask(Message.Request.get(path, "Host", backend.toString(), "Connection", "close"),
                new ClientConnection.Answer() {
                    @Override
                    public void answered(Message.Response response) {
                        patience.cancel();
                        int status = response.status() == 200 ? OK : response.status() == 503 ? FULL : ERROR;
                        done(new Probed(backend, status == OK, status, loop.now() - from,
                                columns.read(response.fields().get(Orca.FIELD))));
                    }

                    @Override
                    public void failed(boolean neverRan, Close why, String detail) {
                        patience.cancel();
                        int status = why == Close.CONNECT_TIMEOUT ? TIMEOUT : neverRan ? DOWN : BROKEN;
                        done(new Probed(backend, false, status, loop.now() - from, java.util.List.of()));
                    }
                });
    }

    private void done(Probed probed) {
        working.remove(probed.backend());
        told.accept(probed);
        next();
    }
}
