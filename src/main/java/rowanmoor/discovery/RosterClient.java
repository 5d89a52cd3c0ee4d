package rowanmoor.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rowanmoor.ControlApi.Members;
import rowanmoor.http.ClientConnection;
import rowanmoor.http.MessageLimits;
import rowanmoor.http.Message;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/**
 * Asks a roster over Consul's HTTP API, with blocking queries while it is watched. When to ask again after
 * a failure is the module's to say: this client tells of it and stops.
 */
public final class RosterClient {

    private static final int ANSWER_MOST = 16 << 20;
    private static final long SLACK = 1_000_000_000L;
    private static final long CONNECT_WITHIN = 1_000_000_000L;
    private static final long LEAST_GAP = 20_000_000L;

    private final Loop loop;
    private final InetSocketAddress at;
    private final String path;
    private final String asker;
    private final long wait;
    private final List<String> zones;
    private final List<String> kinds;
    private final RosterView view;
    private final LongSupplier wall;
    private final Consumer<Members> told;
    private final Consumer<String> log;
    private ClientConnection connection;
    private Timer patience;
    private boolean watching;
    private boolean asking;
    private long index;

    public RosterClient(Loop loop, InetSocketAddress at, String service, String asker, long wait,
            long emptyHold,
            List<String> zones, List<String> kinds, LongSupplier wall, Consumer<Members> told,
            Consumer<String> log) {
        this.loop = loop;
        this.at = at;
        this.path = "/v1/health/service/" + service;
        this.asker = asker;
        this.wait = wait;
        this.zones = zones;
        this.kinds = kinds;
        this.view = new RosterView(emptyHold);
        this.wall = wall;
        this.told = told;
        this.log = log;
    }

    public RosterView view() {
        return view;
    }

    /** Starts or stops to follow the list; starting is answered by exactly one event. */
    public void setWatching(boolean on) {
        watching = on;
        index = 0;
        view.restart();
        if (on && !asking) {
            ask();
        } else if (!on) {
            stop();
        }
    }

    private void stop() {
        if (patience != null) {
            patience.cancel();
        }
        asking = false;
        if (connection != null) {
            connection.cancel();
            connection = null;
        }
    }

    private void ask() {
        asking = true;
        if (connection == null || !connection.isAvailable()) {
            connection = ClientConnection.open(loop, null, at, Connection.Options.defaults()
                    .connectWithin(CONNECT_WITHIN), MessageLimits.defaults().body(ANSWER_MOST), c -> { });
        }
        String query = index == 0 ? "" : "?index=" + index + "&wait=" + wait / 1_000_000 + "ms";
        // A roster may hold a question a sixteenth longer than asked (Consul, Blocking Queries).
        long most = (index == 0 ? 0 : wait + wait / 16) + SLACK;
        ClientConnection asked = connection;
        patience = loop.after(most, () -> {
            asked.cancel();
            fail("no answer within " + most / 1_000_000 + " ms");
        });
        asked.send(Message.Request.get(path + query, "Host", at.getHostString() + ":" + at.getPort(),
                "User-Agent", asker),
                new ClientConnection.ResponseHandler() {
                    @Override
                    public void onResponse(Message.Response response) {
                        patience.cancel();
                        take(response);
                    }

                    @Override
                    public void onFailure(boolean neverRan, CloseReason why, String detail) {
                        patience.cancel();
                        fail(why + ": " + detail);
                    }
                });
    }

    private void fail(String why) {
        asking = false;
        connection = null;
        watching = false;
        log.accept("roster: " + why);
        told.accept(view.failed());
    }

    private void take(Message.Response response) {
        asking = false;
        if (response.status() != 200) {
            fail("status " + response.status());
            return;
        }
        RosterAnswer answer;
        long newIndex;
        try {
            answer = RosterAnswer.parse(response.body(), zones, kinds);
            newIndex = Long.parseLong(response.fields().get("x-consul-index", "0"));
        } catch (IOException | NumberFormatException e) {
            fail("an answer that cannot be read: " + e.getMessage());
            return;
        }
        answer.problems().forEach(p -> log.accept("roster: " + p));
        RosterView.Step step = view.answer(loop.now(), wall.getAsLong(), newIndex, answer);
        if (!step.usable()) {
            fail("an empty list, not believed yet");
            return;
        }
        index = step.index();
        if (step.event() != null) {
            told.accept(step.event());
        }
        if (watching) {
            // A roster that answers at once each time must not be asked in a spin.
            loop.after(LEAST_GAP, () -> {
                if (watching && !asking) {
                    ask();
                }
            });
        }
    }
}
