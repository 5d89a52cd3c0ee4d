package rowanmoor.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rowanmoor.ControlApi.Members;
import rowanmoor.http.ClientConnection;
import rowanmoor.http.Message;
import rowanmoor.http.MessageLimits;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;
import rowanmoor.net.Timer;

/**
 * Queries a roster over Consul's HTTP API, with blocking queries while the list is watched. After a failure
 * the client reports it and stops; the decision module decides when to query again.
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
    private final LongSupplier wallClockMs;
    private final Consumer<Members> onMembers;
    private final Consumer<String> log;
    private ClientConnection connection;
    private Timer responseTimer;
    private boolean watching;
    private boolean queryPending;
    private long index;

    /**
     * Creates a client that does not query yet.
     *
     * @param service name of the service whose instances are listed
     * @param userAgent value of the User-Agent field
     * @param waitNs how long the roster may hold a blocking query
     * @param emptyListHoldNs how long an empty list must persist to be accepted
     * @param wallClockMs milliseconds since 1970
     * @param onMembers receives lists, changes and failures
     */
    public RosterClient(Loop loop, InetSocketAddress address, String service, String userAgent, long waitNs,
            long emptyListHoldNs, List<String> zones, List<String> kinds, LongSupplier wallClockMs,
            Consumer<Members> onMembers, Consumer<String> log) {
        this.loop = loop;
        this.address = address;
        this.path = "/v1/health/service/" + service;
        this.userAgent = userAgent;
        this.waitNs = waitNs;
        this.zones = zones;
        this.kinds = kinds;
        this.view = new RosterView(emptyListHoldNs);
        this.wallClockMs = wallClockMs;
        this.onMembers = onMembers;
        this.log = log;
    }

    /** The translation of responses into member lists. */
    public RosterView view() {
        return view;
    }

    /** Starts or stops watching the list; a start causes exactly one event, even if nothing changed. */
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
        if (connection == null || !connection.isAvailable()) {
            connection = ClientConnection.open(loop, null, address, Connection.Options.defaults()
                    .connectWithin(CONNECT_TIMEOUT_NS), MessageLimits.defaults().body(MAX_RESPONSE_BYTES),
                    c -> { });
        }
        String query = index == 0 ? "" : "?index=" + index + "&wait=" + waitNs / 1_000_000 + "ms";
        // A roster may hold a query for a sixteenth longer than requested (Consul, Blocking Queries).
        long timeoutNs = (index == 0 ? 0 : waitNs + waitNs / 16) + RESPONSE_SLACK_NS;
        ClientConnection queried = connection;
        responseTimer = loop.after(timeoutNs, () -> {
            queried.cancel();
            fail("no response within " + timeoutNs / 1_000_000 + " ms");
        });
        queried.send(Message.Request.get(path + query,
                "Host", address.getHostString() + ":" + address.getPort(), "User-Agent", userAgent),
                new ClientConnection.ResponseHandler() {
                    @Override
                    public void onResponse(Message.Response response) {
                        responseTimer.cancel();
                        handleResponse(response);
                    }

                    @Override
                    public void onFailure(boolean neverRan, CloseReason reason, String detail) {
                        responseTimer.cancel();
                        fail(reason + ": " + detail);
                    }
                });
    }

    private void fail(String reason) {
        queryPending = false;
        connection = null;
        watching = false;
        log.accept("roster: " + reason);
        onMembers.accept(view.failed());
    }

    private void handleResponse(Message.Response response) {
        queryPending = false;
        if (response.status() != 200) {
            fail("status " + response.status());
            return;
        }
        RosterResponse parsed;
        long newIndex;
        try {
            parsed = RosterResponse.parse(response.body(), zones, kinds);
            newIndex = Long.parseLong(response.fields().get("x-consul-index", "0"));
        } catch (IOException | NumberFormatException e) {
            fail("unreadable response: " + e.getMessage());
            return;
        }
        parsed.problems().forEach(p -> log.accept("roster: " + p));
        RosterView.Result result = view.apply(loop.now(), wallClockMs.getAsLong(), newIndex, parsed);
        if (!result.accepted()) {
            fail("empty list, not accepted yet");
            return;
        }
        index = result.index();
        if (result.event() != null) {
            onMembers.accept(result.event());
        }
        if (watching) {
            // The gap prevents a busy loop with a roster that answers every query at once.
            loop.after(MIN_QUERY_GAP_NS, () -> {
                if (watching && !queryPending) {
                    sendQuery();
                }
            });
        }
    }
}
