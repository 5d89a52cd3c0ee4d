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
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Availability;
import rowanmoor.http.MessageLimits;
import rowanmoor.http.Message;
import rowanmoor.http.ServerConnection;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;

/** The part of Consul's HTTP API that controllers use: one service's health, with blocking queries. */
public final class RosterServer implements ServerConnection.Service {

    /**
     * One instance as listed.
     *
     * @param startedAtMs milliseconds since 1970, 0 for long ago
     * @param startedAtNs the same by the roster's loop; not told to anyone
     */
    public record Instance(Backend backend, String zone, String kind, double weight, Availability availability,
            long startedAtMs, long startedAtNs) {

        public Instance withAvailability(Availability other) {
            return new Instance(backend, zone, kind, weight, other, startedAtMs, startedAtNs);
        }

        public Instance restarted(long wall, long at) {
            return new Instance(backend, zone, kind, weight, Availability.READY, wall, at);
        }
    }

    /** An answer that was sent: to whom, when, and what it listed. */
    public record SentAnswer(String userAgent, long at, List<Instance> instances) { }

    private record Held(ServerConnection.Exchange exchange, String asker, long index) { }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long WAIT_MOST = 600_000_000_000L;

    private final Loop loop;
    private final InetSocketAddress at;
    private final String path;
    private final TreeMap<Backend, Instance> instances = new TreeMap<>();
    private final Set<Held> held = new LinkedHashSet<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final List<SentAnswer> answers = new ArrayList<>();
    private Loop.Listener listener;
    private long index = 1;
    private long delay;
    private boolean failing;
    private int emptyAnswers;

    public RosterServer(Loop loop, InetSocketAddress at, String service) throws IOException {
        this.loop = loop;
        this.path = "/v1/health/service/" + service;
        listener = listen(at);
        this.at = listener.address();
    }

    private Loop.Listener listen(InetSocketAddress where) throws IOException {
        return loop.listen(where, Connection.Options.defaults(), connection -> {
            connections.add(connection);
            return new ServerConnection(MessageLimits.defaults(), this) {
                @Override
                public void onClose(Connection its, CloseReason why, String detail) {
                    connections.remove(its);
                    super.onClose(its, why, detail);
                }
            };
        });
    }

    public InetSocketAddress address() {
        return at;
    }

    /** All answers sent so far. */
    public List<SentAnswer> answers() {
        return answers;
    }

    public Instance instance(Backend backend) {
        return instances.get(backend);
    }

    /** Lists an instance, or with {@link Availability#GONE} lists it no more; held questions are answered. */
    public void update(Instance instance) {
        if (instance.availability() == Availability.GONE) {
            instances.remove(instance.backend());
        } else {
            instances.put(instance.backend(), instance);
        }
        changed();
    }

    private void changed() {
        index++;
        for (Held one : List.copyOf(held)) {
            release(one);
        }
    }

    // ---- troubles ------------------------------------------------------------------------------------

    /** Refuses and breaks all connections, or listens again. */
    public void setDown(boolean on) throws IOException {
        if (on && listener != null) {
            listener.close();
            listener = null;
            held.clear();
            List.copyOf(connections).forEach(c -> c.reset("the roster is down"));
        } else if (!on && listener == null) {
            listener = listen(at);
        }
    }

    /** Answers 500. */
    public void setFailing(boolean on) {
        failing = on;
    }

    /** Answers so much later, ns. */
    public void setAnswerDelay(long nanos) {
        delay = nanos;
    }

    /** The next so many answers list nothing. */
    public void setEmptyAnswers(int times) {
        emptyAnswers = times;
        changed();
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
        String asker = request.fields().get("user-agent", "?");
        long known = number(request.queryParameter("index"));
        Held one = new Held(exchange, asker, known);
        exchange.attachment = one;
        held.add(one);
        if (known != index) {
            release(one);
        } else {
            loop.after(waitOf(request.queryParameter("wait")), () -> release(one));
        }
    }

    @Override
    public void onAborted(ServerConnection.Exchange exchange) {
        if (exchange.attachment instanceof Held one) {
            held.remove(one);
        }
    }

    private void release(Held one) {
        if (held.remove(one)) {
            if (delay > 0) {
                loop.after(delay, () -> answer(one));
            } else {
                answer(one);
            }
        }
    }

    private void answer(Held one) {
        List<Instance> listed = emptyAnswers > 0 ? List.of() : List.copyOf(instances.values());
        emptyAnswers = Math.max(0, emptyAnswers - 1);
        ArrayNode list = JSON.createArrayNode();
        listed.forEach(i -> list.add(json(i)));
        boolean sent = one.exchange().respond(Message.Response.of(200, list.toString(),
                "Content-Type", "application/json", "X-Consul-Index", Long.toString(index)));
        if (sent) {
            answers.add(new SentAnswer(one.asker(), loop.now(), listed));
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

    private static long number(String text) {
        try {
            return text == null ? 0 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static long waitOf(String text) {
        if (text == null || !text.endsWith("ms")) {
            return WAIT_MOST / 2;
        }
        return Math.min(WAIT_MOST, number(text.substring(0, text.length() - 2)) * 1_000_000);
    }
}
