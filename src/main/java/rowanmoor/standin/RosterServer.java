package rowanmoor.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.http.Message;
import rowanmoor.http.MessageLimits;
import rowanmoor.http.ServerConnection;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;

/** The part of Consul's HTTP API that controllers use: the health of one service, with blocking queries. */
public final class RosterServer implements ServerConnection.Service {

    /**
     * One instance in the roster.
     *
     * @param startedAtMs start in milliseconds since 1970, 0 for long ago
     * @param startedAtNs the same in ns of the roster's loop; not part of answers
     */
    public record Instance(Backend backend, String zone, String kind, double weight,
            Availability availability, long startedAtMs, long startedAtNs) {

        /** A copy with another availability. */
        public Instance withAvailability(Availability other) {
            return new Instance(backend, zone, kind, weight, other, startedAtMs, startedAtNs);
        }

        /** A ready copy with another start. */
        public Instance restarted(long wall, long at) {
            return new Instance(backend, zone, kind, weight, Availability.READY, wall, at);
        }
    }

    /**
     * An answer that was sent: to which user agent, when (loop time, ns), and the instances that it listed.
     */
    public record SentAnswer(String userAgent, long at, List<Instance> instances) { }

    private record PendingQuery(ServerConnection.Exchange exchange, String userAgent, long index) { }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MAX_WAIT_NS = 600_000_000_000L;

    private final Loop loop;
    private final InetSocketAddress address;
    private final String path;
    private final TreeMap<Backend, Instance> instances = new TreeMap<>();
    private final Set<PendingQuery> pendingQueries = new LinkedHashSet<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final List<SentAnswer> answers = new ArrayList<>();
    private Loop.Listener listener;
    private long index = 1;
    private long answerDelayNs;
    private boolean failing;
    private int emptyAnswers;

    /**
     * Starts an empty roster.
     *
     * @param at address to listen on, port 0 for any
     * @param service name of the service that it lists
     * @throws IOException if the address cannot be bound
     */
    public RosterServer(Loop loop, InetSocketAddress at, String service) throws IOException {
        this.loop = loop;
        this.path = "/v1/health/service/" + service;
        listener = listen(at);
        this.address = listener.address();
    }

    private Loop.Listener listen(InetSocketAddress where) throws IOException {
        return loop.listen(where, Connection.Options.defaults(), connection -> {
            connections.add(connection);
            return new ServerConnection(MessageLimits.defaults(), this) {
                @Override
                public void onClose(Connection closing, CloseReason reason, String detail) {
                    connections.remove(closing);
                    super.onClose(closing, reason, detail);
                }
            };
        });
    }

    /** The address on which it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** All answers sent so far, in order. */
    public List<SentAnswer> answers() {
        return answers;
    }

    /** The listed instance of a backend, or null. */
    public Instance instance(Backend backend) {
        return instances.get(backend);
    }

    /**
     * Adds or replaces an instance, or removes it if {@link Availability#GONE}; pending queries are answered.
     */
    public void update(Instance instance) {
        if (instance.availability() == Availability.GONE) {
            instances.remove(instance.backend());
        } else {
            instances.put(instance.backend(), instance);
        }
        bumpIndex();
    }

    private void bumpIndex() {
        index++;
        for (PendingQuery query : List.copyOf(pendingQueries)) {
            answerPending(query);
        }
    }

    // ---- faults --------------------------------------------------------------------------------------

    /**
     * Closes its port and resets all connections, or listens again.
     *
     * @throws IOException if the address cannot be bound
     */
    public void setDown(boolean on) throws IOException {
        if (on && listener != null) {
            listener.close();
            listener = null;
            pendingQueries.clear();
            List.copyOf(connections).forEach(c -> c.reset("the roster is down"));
        } else if (!on && listener == null) {
            listener = listen(address);
        }
    }

    /** Answers all requests with 500, or ends that. */
    public void setFailing(boolean on) {
        failing = on;
    }

    /** Delays answers, ns. */
    public void setAnswerDelay(long delayNs) {
        answerDelayNs = delayNs;
    }

    /** Makes the next answers, this many, list no instance. */
    public void setEmptyAnswers(int count) {
        emptyAnswers = count;
        bumpIndex();
    }

    // ---- requests ------------------------------------------------------------------------------------

    @Override
    public void onRequest(Message.Request request, ServerConnection.Exchange exchange) {
        if (!request.path().equals(path)) {
            exchange.respond(Message.Response.of(404, "no such service\n"));
            return;
        }
        if (failing) {
            exchange.respond(Message.Response.of(500, "rpc error\n"));
            return;
        }
        String userAgent = request.fields().get("user-agent", "?");
        long knownIndex = parseIndex(request.queryParameter("index"));
        PendingQuery query = new PendingQuery(exchange, userAgent, knownIndex);
        exchange.attachment = query;
        pendingQueries.add(query);
        if (knownIndex != index) {
            answerPending(query);
        } else {
            loop.after(parseWaitNs(request.queryParameter("wait")), () -> answerPending(query));
        }
    }

    @Override
    public void onAborted(ServerConnection.Exchange exchange) {
        if (exchange.attachment instanceof PendingQuery query) {
            pendingQueries.remove(query);
        }
    }

    private void answerPending(PendingQuery query) {
        if (pendingQueries.remove(query)) {
            if (answerDelayNs > 0) {
                loop.after(answerDelayNs, () -> answer(query));
            } else {
                answer(query);
            }
        }
    }

    private void answer(PendingQuery query) {
        List<Instance> instancesNow = emptyAnswers > 0 ? List.of() : List.copyOf(instances.values());
        emptyAnswers = Math.max(0, emptyAnswers - 1);
        ArrayNode list = JSON.createArrayNode();
        instancesNow.forEach(i -> list.add(json(i)));
        boolean sent = query.exchange().respond(Message.Response.of(200, list.toString(),
                "Content-Type", "application/json", "X-Consul-Index", Long.toString(index)));
        if (sent) {
            answers.add(new SentAnswer(query.userAgent(), loop.now(), instancesNow));
        }
    }

    private static ObjectNode json(Instance instance) {
        ObjectNode root = JSON.createObjectNode();
        root.putObject("Node").put("Node", instance.zone());
        ObjectNode service = root.putObject("Service");
        String text = instance.backend().toString();
        service.put("ID", text);
        service.put("Address", text.substring(0, text.indexOf(':')));
        service.put("Port", Integer.parseInt(text.substring(text.indexOf(':') + 1)));
        ArrayNode tags = service.putArray("Tags");
        if (instance.availability() == Availability.DRAINING) {
            tags.add("draining");
        }
        ObjectNode meta = service.putObject("Meta");
        meta.put("zone", instance.zone()).put("kind", instance.kind());
        if (instance.startedAtMs() > 0) {
            meta.put("started", Long.toString(instance.startedAtMs()));
        }
        service.putObject("Weights").put("Passing", instance.weight()).put("Warning", 1);
        root.putArray("Checks").addObject().put("Status", "passing");
        return root;
    }

    private static long parseIndex(String text) {
        try {
            return text == null ? 0 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static long parseWaitNs(String text) {
        if (text == null || !text.endsWith("ms")) {
            return MAX_WAIT_NS / 2;
        }
        return Math.min(MAX_WAIT_NS, parseIndex(text.substring(0, text.length() - 2)) * 1_000_000);
    }
}
