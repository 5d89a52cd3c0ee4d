package rowanmoor;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.Settings;
import rowanmoor.channel.Frame;
import rowanmoor.host.Fanout;

/**
 * One {@link RoutingPolicy} whose messages pass through a channel of the stated pace to proxies that keep the table
 * of an earlier instance until they are told otherwise. Measures how long a proxy could send to a backend that is
 * drained or gone. Time is simulated.
 */
final class SimulatedFleet {

    private static final long TICK = 5 * TestSettings.MS;

    private static final class ProxyModel {
        final long joinedAt;
        final Set<Backend> table;
        final Set<Backend> excluded = new HashSet<>();

        ProxyModel(long joinedAt, Set<Backend> table) {
            this.joinedAt = joinedAt;
            this.table = table;
        }

        void apply(Frame.Order order) {
            if (order instanceof Frame.Bind bind) {
                table.clear();
                bind.table().lines().forEach(line -> table.add(line.backend()));
                excluded.addAll(bind.withdrawn());
            } else if (order instanceof Frame.SetLine line && line.line().weight() > 0) {
                table.add(line.line().backend());
            } else if (order instanceof Frame.SetLine line) {
                table.remove(line.line().backend());
            } else if (order instanceof Frame.Withdraw withdraw && withdraw.withdrawn()) {
                excluded.add(withdraw.backend());
            } else if (order instanceof Frame.Withdraw withdraw) {
                excluded.remove(withdraw.backend());
            }
        }
    }

    private record Delivery(long at, int proxy, ProxyModel to, List<Frame.Order> orders) { }

    final RoutingPolicy policy;
    long now = 1000 * TestSettings.SECOND;
    /** The longest time for which a proxy could send to a drained or gone backend since it should know, ns. */
    long worstNs;
    double mostLines;
    /** Binds of proxies that had been bound before on the same stream. */
    int rebinds;
    final List<String> log = new ArrayList<>();
    private final Settings settings;
    private final Fanout fanout;
    private final TreeMap<Integer, ProxyModel> proxies = new TreeMap<>();
    private final Map<Backend, Long> closedAt = new HashMap<>();
    private final Map<Backend, Member> members = new TreeMap<>();
    private final ArrayDeque<Delivery> deliveries = new ArrayDeque<>();
    private long channelFreeAt;

    SimulatedFleet(Settings settings, int backends) {
        this.settings = settings;
        this.policy = new RoutingPolicy(settings, 7);
        this.fanout = new Fanout(settings.classes().size());
        list(CatalogUpdateKind.CACHED, Availability.READY, 0, 0, backends);
    }

    /** Lists the backends from a number up to another in one state. */
    void list(CatalogUpdateKind kind, Availability availability, long startedAt, int from, int to) {
        List<Member> changed = new ArrayList<>();
        for (int i = from; i < to; i++) {
            changed.add(PolicyHarness.member(i, i % 2, availability, startedAt));
        }
        for (Member member : changed) {
            members.put(member.backend(), member);
            if (availability == Availability.READY) {
                closedAt.remove(member.backend());
            } else {
                closedAt.putIfAbsent(member.backend(), now);
            }
        }
        Members update = new Members(kind, 1, changed);
        fanout.onCatalog(update);
        policy.handle(now, update);
    }

    /** A proxy joins that holds every backend listed so far. */
    void join(int proxy) {
        fanout.join(proxy);
        proxies.put(proxy, new ProxyModel(now, new HashSet<>(members.keySet())));
        policy.handle(now, new ProxyJoined(proxy, proxy % 2, 5, false));
    }

    void leave(int proxy) {
        fanout.leave(proxy);
        proxies.remove(proxy);
        policy.handle(now, new ProxyLeft(proxy));
    }

    boolean excludes(int proxy, int backend) {
        return proxies.get(proxy).excluded.contains(PolicyHarness.backend(backend));
    }

    /** Lets proxies join one after the other, evenly over a time. */
    SimulatedFleet joinOver(int from, int to, long durationNs) {
        for (int proxy = from; proxy < to; proxy++) {
            join(proxy);
            run(durationNs / (to - from));
        }
        return this;
    }

    SimulatedFleet run(long durationNs) {
        for (long until = now + durationNs; now < until; now += TICK) {
            deliver();
            measure();
            List<Action> actions = policy.decide(now);
            rebinds += actions.stream().filter(action -> action instanceof Bind bind
                    && !fanout.bindings(bind.proxy()).isEmpty()).count();
            actions.stream().filter(Log.class::isInstance).forEach(action -> log.add(((Log) action).text()));
            fanout.ordersByProxy(actions).forEach(this::send);
        }
        return this;
    }

    private void send(int proxy, List<Frame.Order> orders) {
        double lines = settings.channel().messageOverhead() + orders.stream().mapToInt(Frame::lineCount).sum();
        channelFreeAt = Math.max(now, channelFreeAt) + (long) (lines / settings.channel().linesPerSecond() * 1e9);
        mostLines = Math.max(mostLines, (channelFreeAt - now) / 1e9 * settings.channel().linesPerSecond());
        deliveries.add(new Delivery(channelFreeAt + settings.channel().typicalDelay(), proxy, proxies.get(proxy),
                List.copyOf(orders)));
    }

    private void deliver() {
        while (!deliveries.isEmpty() && deliveries.peek().at() <= now) {
            Delivery delivery = deliveries.poll();
            if (proxies.get(delivery.proxy()) != delivery.to()) {
                continue; // lost with its stream
            }
            delivery.orders().forEach(delivery.to()::apply);
            delivery.orders().stream().filter(Frame.Mark.class::isInstance).map(Frame.Mark.class::cast)
                    .forEach(mark -> policy.handle(now, new Applied(delivery.proxy(), mark.number(), 1)));
        }
    }

    private void measure() {
        closedAt.forEach((backend, at) -> proxies.values().stream()
                .filter(proxy -> proxy.table.contains(backend) && !proxy.excluded.contains(backend))
                .forEach(proxy -> worstNs = Math.max(worstNs, now - Math.max(at, proxy.joinedAt))));
    }
}
