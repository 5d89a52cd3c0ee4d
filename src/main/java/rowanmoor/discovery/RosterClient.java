package rowanmoor.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rowanmoor.ControlApi.Members;
import rowanmoor.http.ClientConnection;
import rowanmoor.http.Limits;
import rowanmoor.http.Message;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/**
 * Asks a roster over Consul's HTTP API, with blocking queries while it is watched. When to ask again after
 * a failure is the module's to say: this client tells of it and stops.
 */
public final class RosterClient {

    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final long RESPONSE_SLACK_NS = 1_000_000_000L;
    private static final long CONNECT_TIMEOUT_NS = 1_000_000_000L;
    private static final long MIN_QUERY_GAP_NS = 20_000_000L;

    private final Loop loop;
    private final InetSocketAddress address;
    private final String path;
    private final String userAgent;
    private final long waitNs;
    private final List<String> zones;
    private final List<String> kinds;
    private final RosterView view;
    private final LongSupplier wall;
    private final Consumer<Members> onMembers;
    private final Consumer<String> log;
    private ClientConnection connection;
    private Timer responseTimer;
    private boolean watching;
    private boolean queryPending;
    private long index;

    public RosterClient(Loop loop, InetSocketAddress at, String service, String asker, long wait,
            long emptyHold,
            List<String> zones, List<String> kinds, LongSupplier wall, Consumer<Members> told,
            Consumer<String> log) {
        this.loop = loop;
        this.address = at;
        this.path = "/v1/health/service/" + service;
        this.userAgent = asker;
        this.waitNs = wait;
        this.zones = zones;
        this.kinds = kinds;
        this.view = new RosterView(emptyHold);
        this.wall = wall;
        this.onMembers = told;
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
        if (on && !queryPending) {
            sendQuery();
        } else if (!on) {
            stop();
        }
    }

    private void stop() {
        if (responseTimer != null) {
            responseTimer.cancel();
        }
        queryPending = false;
        if (connection != null) {
            connection.cancel();
            connection = null;
        }
    }

    private void sendQuery() {
        queryPending = true;
        if (connection == null || !connection.free()) {
            connection = ClientConnection.open(loop, null, address, Connection.Options.usual()
                    .connectWithin(CONNECT_TIMEOUT_NS), Limits.usual().body(MAX_RESPONSE_BYTES), c -> { });
        }
        String query = index == 0 ? "" : "?index=" + index + "&wait=" + waitNs / 1_000_000 + "ms";
        // A roster may hold a question a sixteenth longer than asked (Consul, Blocking Queries).
        long most = (index == 0 ? 0 : waitNs + waitNs / 16) + RESPONSE_SLACK_NS;
        ClientConnection asked = connection;
        responseTimer = loop.after(most, () -> {
            asked.cancel();
            fail("no answer within " + most / 1_000_000 + " ms");
        });
        asked.ask(Message.Request.get(path + query, "Host", address.getHostString() + ":" + address.getPort(),
                "User-Agent", userAgent),
                new ClientConnection.Answer() {
                    @Override
                    public void answered(Message.Response response) {
                        responseTimer.cancel();
                        handleResponse(response);
                    }

                    @Override
                    public void failed(boolean neverRan, Close why, String detail) {
                        responseTimer.cancel();
                        fail(why + ": " + detail);
                    }
                });
    }

    private void fail(String why) {
        queryPending = false;
        connection = null;
        watching = false;
        log.accept("roster: " + why);
        onMembers.accept(view.failed());
    }

    private void handleResponse(Message.Response response) {
        queryPending = false;
        if (response.status() != 200) {
            fail("status " + response.status());
            return;
        }
        RosterResponse answer;
        long newIndex;
        try {
            answer = RosterResponse.parse(response.body(), zones, kinds);
            newIndex = Long.parseLong(response.fields().get("x-consul-index", "0"));
        } catch (IOException | NumberFormatException e) {
            fail("an answer that cannot be read: " + e.getMessage());
            return;
        }
        answer.problems().forEach(p -> log.accept("roster: " + p));
        RosterView.Result step = view.apply(loop.now(), wall.getAsLong(), newIndex, answer);
        if (!step.accepted()) {
            fail("an empty list, not believed yet");
            return;
        }
        index = step.index();
        if (step.event() != null) {
            onMembers.accept(step.event());
        }
        if (watching) {
            // A roster that answers at once each time must not be asked in a spin.
            loop.after(MIN_QUERY_GAP_NS, () -> {
                if (watching && !queryPending) {
                    sendQuery();
                }
            });
        }
    }
}
