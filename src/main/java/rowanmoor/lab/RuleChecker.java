package rowanmoor.lab;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Channel;
import rowanmoor.ControlApi.ClassSpec;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.DedupScope;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Rules;
import rowanmoor.channel.ChannelException;
import rowanmoor.channel.ChannelLimits;
import rowanmoor.channel.Frame;
import rowanmoor.channel.FrameReader;
import rowanmoor.config.Site;
import rowanmoor.standin.Ledger;
import rowanmoor.standin.RosterServer;

/**
 * Judges the five rules from {@link Evidence} alone: bytes that proxies read, what backends wrote down, what
 * the roster answered. Each verdict has its worst figure beside its limit.
 */
public final class RuleChecker {

    /**
     * One rule's verdict.
     *
     * @param first tells of the first break, or is empty
     * @param firstAt when that was, nanoseconds from the day's start; -1 for never
     * @param met how often the run put the rule to work; with 0, that it is kept says nothing
     */
    public record Verdict(String rule, String unit, double limit, double worst, boolean broken,
            String first, long firstAt, long met) { }

    /** The first break of a rule, as it is met. */
    private final class First {
        private String text = "";
        private long at = -1;

        void note(long when, String what) {
            if (at < 0) {
                at = Math.max(0, when - evidence.start());
                text = what;
            }
        }
    }

    private static final double SECOND = 1e9;
    private static final double KNOWING = 2.0 / 3;

    /** A proxy's time on one stream, and the messages of it. */
    private static final class Stay {
        private final int proxy;
        private final int rank;
        private final long from;
        private long to = Long.MAX_VALUE;
        private final List<Long> messages = new ArrayList<>();

        Stay(int proxy, int rank, long from) {
            this.proxy = proxy;
            this.rank = rank;
            this.from = from;
        }
    }

    /** An update as it was read. */
    private record Message(long epoch, long orderedAt, long arrivedAt, double lines, long waiting) { }

    private final Evidence evidence;
    private final Site site;
    private final Rules rules;
    private final Channel channel;
    private final Map<Integer, List<Stay>> stays = new TreeMap<>();
    private final List<Message> messages = new ArrayList<>();
    private final Map<Integer, List<RosterServer.SentAnswer>> told = new TreeMap<>();
    private double worstBare;
    private long bareMet;
    private final First firstBare = new First();
    private int misnumbered;
    private final First firstMisnumbered = new First();

    public RuleChecker(Evidence evidence) {
        this.evidence = evidence;
        this.site = evidence.site();
        this.rules = site.rules();
        this.channel = site.channel();
        for (RosterServer.SentAnswer answer : evidence.answers()) {
            int dash = answer.userAgent().lastIndexOf('-');
            told.computeIfAbsent(Integer.parseInt(answer.userAgent().substring(dash + 1)),
                    r -> new ArrayList<>()).add(answer);
        }
    }

    /** All verdicts: the five rules, and the numbering of messages. */
    public List<Verdict> verdicts() {
        Map<Integer, List<Evidence.Tapped>> byProxy = new TreeMap<>();
        evidence.taps().forEach(t -> byProxy.computeIfAbsent(t.proxy(), p -> new ArrayList<>()).add(t));
        byProxy.forEach(this::follow);
        List<Verdict> all = new ArrayList<>(List.of(new Verdict("no proxy without a backend", "s",
                        rules.maxTimeWithoutBackend() / SECOND, worstBare / SECOND, worstBare > rules.maxTimeWithoutBackend(),
                        firstBare.text, firstBare.at, bareMet),
                repeats(), drains(), falls(), queue(),
                new Verdict("messages numbered without gaps", "gaps", 0, misnumbered, misnumbered > 0,
                        firstMisnumbered.text, firstMisnumbered.at, messages.size())));
        if (channel.maxMessages() > 0) {
            all.add(budget());
        }
        return List.copyOf(all);
    }

    private String time(long at) {
        return String.format("%.3f s", (at - evidence.start()) / SECOND);
    }

    // ---- what proxies held ---------------------------------------------------------------------------

    /** Replays what one proxy read; notes its stays, its messages and how long it was bare. */
    private void follow(int proxy, List<Evidence.Tapped> taps) {
        int classes = site.classes().size();
        ProxyStateModel mirror = new ProxyStateModel(classes, evidence.standing().get(proxy));
        FrameReader reader = null;
        Stay stay = null;
        long[] bareSince = new long[classes];
        java.util.Arrays.fill(bareSince, -1);
        for (Evidence.Tapped tap : taps) {
            if (tap.what() == Evidence.What.OPENED) {
                mirror.opened();
                reader = new FrameReader(ChannelLimits.defaults());
                stay = null;
            } else if (tap.what() == Evidence.What.CLOSED) {
                if (stay != null) {
                    stay.to = tap.at();
                    settleBare(stay, mirror, bareSince, tap.at(), true);
                    stay = null;
                }
            } else {
                ByteBuffer bytes = ByteBuffer.wrap(tap.bytes());
                while (bytes.hasRemaining() && reader != null) {
                    Frame frame = next(reader, bytes, proxy, tap.at());
                    if (frame == null) {
                        break;
                    }
                    int[] open = mirror.open();
                    String wrong = mirror.take(frame);
                    bareMet += stay == null ? 0 : mirror.fewerThan(open);
                    if (wrong != null) {
                        misnumbered++;
                        firstMisnumbered.note(tap.at(), "proxy " + proxy + " at " + time(tap.at()) + ": "
                                + wrong);
                    }
                    if (stay == null && mirror.joined()) {
                        stay = new Stay(proxy, evidence.ranks().getOrDefault(mirror.epoch(), -1), tap.at());
                        stays.computeIfAbsent(proxy, p -> new ArrayList<>()).add(stay);
                    }
                    note(frame, tap.at(), stay);
                    if (stay != null) {
                        settleBare(stay, mirror, bareSince, tap.at(), false);
                    }
                }
            }
        }
        if (stay != null) {
            settleBare(stay, mirror, bareSince, evidence.end(), true);
        }
    }

    private Frame next(FrameReader reader, ByteBuffer bytes, int proxy, long at) {
        try {
            return reader.next(bytes);
        } catch (ChannelException e) {
            bytes.position(bytes.limit());
            misnumbered++;
            firstMisnumbered.note(at, "proxy " + proxy + " read what is no frame: " + e.getMessage());
            return null;
        }
    }

    private void note(Frame frame, long at, Stay stay) {
        if (frame instanceof Frame.Update update) {
            double lines = channel.messageOverhead() + update.orders().stream().mapToInt(Frame::lineCount).sum();
            messages.add(new Message(update.epoch(), update.orderedAtNs(), at, lines, update.queuedLines()));
            if (stay != null) {
                stay.messages.add(at);
            }
        } else if (frame instanceof Frame.Snapshot s && !s.bindings().isEmpty()) {
            // One that was asked for goes through the channel; a stream's first has no bindings and does not.
            double lines = channel.messageOverhead() + s.withdrawn().size() + s.tables().stream()
                    .mapToInt(t -> 1 + t.lines().size() + t.levels().size()).sum();
            messages.add(new Message(s.epoch(), s.orderedAtNs(), at, lines, s.queuedLines()));
        }
    }

    /** Closes or opens a class's bare stretch; the part of it counts in which its controller knew better. */
    private void settleBare(Stay stay, ProxyStateModel mirror, long[] since, long now, boolean over) {
        for (int cls = 0; cls < since.length; cls++) {
            boolean bare = mirror.bare(cls);
            if (since[cls] >= 0 && (!bare || over)) {
                double longest = longestKnown(stay, cls, Math.max(since[cls], stay.from), now);
                worstBare = Math.max(worstBare, longest);
                since[cls] = -1;
            }
            if (bare && !over && since[cls] < 0) {
                since[cls] = now;
            }
        }
    }

    /** Longest stretch within a span in which the controller's list had a warm backend open to the class. */
    private double longestKnown(Stay stay, int cls, long from, long to) {
        double longest = 0;
        long since = -1;
        List<Long> times = new ArrayList<>(List.of(from));
        List<RosterServer.SentAnswer> answers = told.getOrDefault(stay.rank, List.of());
        // A backend gets warm between two answers as well.
        java.util.stream.Stream.concat(answers.stream().map(RosterServer.SentAnswer::at), answers.stream()
                .flatMap(a -> a.instances().stream()).map(i -> i.startedAtNs() + rules.warmUpTime()))
                .filter(t -> t > from && t < to).distinct().sorted().forEach(times::add);
        for (long time : times) {
            boolean known = anyWarm(stay.rank, cls, time);
            since = !known ? -1 : since < 0 ? time : since;
            long next = times.stream().filter(t -> t > time).findFirst().orElse(to);
            if (since >= 0 && next - since > rules.maxTimeWithoutBackend()) {
                firstBare.note(since + rules.maxTimeWithoutBackend(), "proxy " + stay.proxy + ", class "
                        + site.classNames().get(cls) + ", from " + time(since) + " to " + time(next));
            }
            longest = Math.max(longest, since < 0 ? 0 : next - since);
        }
        return longest;
    }

    private boolean anyWarm(int rank, int cls, long time) {
        List<RosterServer.Instance> list = listAt(rank, time);
        ClassSpec spec = site.classes().get(cls);
        return list.stream().anyMatch(i -> {
            Evidence.Place place = evidence.backends().get(i.backend());
            boolean open = (spec.onlyZones().isEmpty() || spec.onlyZones().contains(place.zone()))
                    && (spec.onlyKinds().isEmpty() || spec.onlyKinds().contains(place.kind()));
            return i.availability() == Availability.READY && open && time - i.startedAtNs() >= rules.warmUpTime();
        });
    }

    /** The list as a controller was last told it by a time. */
    private List<RosterServer.Instance> listAt(int rank, long time) {
        List<RosterServer.Instance> list = List.of();
        for (RosterServer.SentAnswer answer : told.getOrDefault(rank, List.of())) {
            if (answer.at() > time) {
                break;
            }
            list = answer.instances();
        }
        return list;
    }

    // ---- 2. no effect twice --------------------------------------------------------------------------

    private Verdict repeats() {
        Map<String, List<Ledger.Entry>> byId = new HashMap<>();
        Map<String, Integer> triesOf = new HashMap<>();
        evidence.ledger().entries().forEach(e -> triesOf.merge(e.id, 1, Integer::sum));
        evidence.ledger().entries().stream().filter(Ledger.Entry::mayHaveRun)
                .forEach(e -> byId.computeIfAbsent(e.id, i -> new ArrayList<>()).add(e));
        int worst = 1;
        String first = "";
        long firstAt = Long.MAX_VALUE;
        for (Map.Entry<String, List<Ledger.Entry>> one : byId.entrySet()) {
            List<Ledger.Entry> tries = one.getValue();
            int harmful = harmful(tries);
            worst = Math.max(worst, harmful);
            if (harmful > 1 && tries.get(1).arrivedAt < firstAt) {
                firstAt = tries.get(1).arrivedAt;
                first = "request " + one.getKey() + " at " + tries.stream().map(t -> t.backend.toString())
                        .toList() + " by " + time(firstAt);
            }
        }
        return new Verdict("no effect twice", "effects", 1, worst, worst > 1, first,
                worst > 1 ? firstAt - evidence.start() : -1,
                triesOf.values().stream().filter(n -> n > 1).count());
    }

    /** How many of a try's runs may each have taken effect. */
    private int harmful(List<Ledger.Entry> tries) {
        int cls = site.classIndex(tries.get(0).path);
        if (cls < 0 || site.classes().get(cls).idempotency() == Idempotency.SAFE) {
            return 1;
        }
        ClassSpec spec = site.classes().get(cls);
        if (spec.idempotency() == Idempotency.UNSAFE) {
            return tries.size();
        }
        Ledger.Entry head = tries.get(0);
        return 1 + (int) tries.stream().skip(1).filter(t -> t.arrivedAt - head.arrivedAt > spec.dedupWindow()
                || spec.dedupScope() != DedupScope.ALL && zone(t.backend) != zone(head.backend)).count();
    }

    private int zone(Backend backend) {
        return evidence.backends().get(backend).zone();
    }

    // ---- 3. drains -----------------------------------------------------------------------------------

    private Verdict drains() {
        double worst = 0;
        First first = new First();
        for (Ledger.Entry entry : evidence.ledger().entries()) {
            Stay stay = stayAt(entry.proxy, entry.arrivedAt);
            if (stay == null) {
                continue;
            }
            long since = toldNotReady(stay.rank, entry.backend, entry.arrivedAt);
            if (since < 0) {
                continue;
            }
            long clock = Math.max(since, stay.from);
            if (entry.arrivedAt - clock > rules.drainGrace()) {
                first.note(entry.arrivedAt, "proxy " + entry.proxy + " sent to " + entry.backend + " at "
                        + time(entry.arrivedAt) + ", told at " + time(since));
            }
            worst = Math.max(worst, entry.arrivedAt - clock);
        }
        return new Verdict("drains kept", "s", rules.drainGrace() / SECOND, worst / SECOND,
                worst > rules.drainGrace(), first.text, first.at, drainsTold());
    }

    /** Backends that a controller was told to be draining or gone, each with the proxies it had then. */
    private long drainsTold() {
        long met = 0;
        for (Map.Entry<Integer, List<RosterServer.SentAnswer>> one : told.entrySet()) {
            TreeSet<Backend> ready = new TreeSet<>();
            for (RosterServer.SentAnswer answer : one.getValue()) {
                TreeSet<Backend> now = new TreeSet<>();
                answer.instances().stream().filter(i -> i.availability() == Availability.READY)
                        .forEach(i -> now.add(i.backend()));
                boolean empty = answer.instances().isEmpty();
                long lost = empty ? 0 : ready.stream().filter(b -> !now.contains(b)).count();
                met += lost * stays.values().stream().flatMap(List::stream).filter(s -> s.rank == one.getKey()
                        && s.from <= answer.at() && answer.at() < s.to).count();
                ready = empty ? ready : now;
            }
        }
        return met;
    }

    private Stay stayAt(int proxy, long time) {
        return stays.getOrDefault(proxy, List.of()).stream().filter(s -> s.from <= time && time < s.to)
                .findFirst().orElse(null);
    }

    /** Since when a controller has been told that a backend is draining or gone; -1 if it is ready. */
    private long toldNotReady(int rank, Backend backend, long time) {
        long since = -1;
        boolean wasListed = false;
        for (RosterServer.SentAnswer answer : told.getOrDefault(rank, List.of())) {
            if (answer.at() > time) {
                break;
            }
            if (answer.instances().isEmpty()) {
                continue; // not believed at once: docs/running.md, The roster empties
            }
            boolean ready = answer.instances().stream().anyMatch(i -> i.backend().equals(backend)
                    && i.availability() == Availability.READY);
            // A controller that never saw it ready is told of its drain all the same.
            wasListed |= answer.instances().stream().anyMatch(i -> i.backend().equals(backend));
            since = ready || !wasListed ? -1 : since < 0 ? answer.at() : since;
        }
        return since;
    }

    // ---- 4. cold backends ----------------------------------------------------------------------------

    private Verdict falls() {
        double worst = 0;
        boolean broken = false;
        First first = new First();
        for (Ledger.Fall fall : evidence.ledger().falls()) {
            double known = 0;
            double all = 0;
            for (Ledger.Entry entry : evidence.ledger().entries()) {
                boolean within = entry.backend.equals(fall.backend()) && entry.arrivedAt <= fall.at()
                        && entry.arrivedAt >= fall.at() - rules.overloadSpan();
                if (within) {
                    all += entry.work;
                    known += knew(entry, fall) ? entry.work : 0;
                }
            }
            worst = Math.max(worst, all == 0 ? 0 : known / all);
            if (all > 0 && known / all >= KNOWING) {
                broken = true;
                first.note(fall.at(), fall.backend() + " fell at " + time(fall.at()));
            }
        }
        return new Verdict("no cold backend pushed over", "part of a fall's load that knew", KNOWING, worst,
                broken, first.text, first.at, coldLoaded());
    }

    /** Requests that came to a backend while, going by what the roster said of its start, it was cold. */
    private long coldLoaded() {
        Map<Backend, TreeSet<Long>> starts = new HashMap<>();
        evidence.answers().forEach(a -> a.instances().stream().filter(i -> i.startedAtMs() > 0).forEach(i ->
                starts.computeIfAbsent(i.backend(), b -> new TreeSet<>()).add(i.startedAtNs())));
        return evidence.ledger().entries().stream().filter(e -> starts.containsKey(e.backend)).filter(e -> {
            Long start = starts.get(e.backend).floor(e.arrivedAt);
            return start != null && e.arrivedAt - start < rules.warmUpTime();
        }).count();
    }

    /** Whether a request came from a proxy, or under a controller, that knew of the start. */
    private boolean knew(Ledger.Entry entry, Ledger.Fall fall) {
        Stay stay = stayAt(entry.proxy, entry.arrivedAt);
        if (stay == null) {
            return false;
        }
        long since = -1;
        for (RosterServer.SentAnswer answer : told.getOrDefault(stay.rank, List.of())) {
            boolean tells = answer.at() >= fall.startedAt() && answer.at() <= entry.arrivedAt
                    && answer.instances().stream().anyMatch(i -> i.backend().equals(fall.backend())
                            && i.startedAtMs() > 0);
            if (tells && since < 0) {
                since = answer.at();
            }
        }
        long heard = since;
        return since >= 0 && (entry.arrivedAt - since > rules.drainGrace()
                || stay.messages.stream().anyMatch(m -> m > heard && m <= entry.arrivedAt));
    }

    // ---- 5. the queue --------------------------------------------------------------------------------

    /**
     * Lines that waited: what a controller's messages say of their order times, played through a queue of the
     * stated pace. And the pace itself: over any stretch no more may arrive than that pace allows, give or
     * take what the way may hold back.
     */
    private Verdict queue() {
        Map<Long, List<Message>> byEpoch = new TreeMap<>();
        messages.forEach(m -> byEpoch.computeIfAbsent(m.epoch(), e -> new ArrayList<>()).add(m));
        double worst = 0;
        First first = new First();
        for (List<Message> all : byEpoch.values()) {
            all.sort(Comparator.comparingLong(Message::orderedAt));
            double waiting = 0;
            long before = all.get(0).orderedAt();
            for (Message message : all) {
                waiting = Math.max(0, waiting - (message.orderedAt() - before) / SECOND
                        * channel.linesPerSecond()) + message.lines();
                before = message.orderedAt();
                worst = Math.max(worst, Math.max(waiting, message.waiting()));
                if (worst > channel.maxBacklog()) {
                    first.note(message.orderedAt(), Math.round(worst) + " lines waited at "
                            + time(message.orderedAt()));
                }
            }
            double ahead = aheadOfPace(all);
            worst = Math.max(worst, ahead);
            if (ahead > channel.maxBacklog()) {
                first.note(all.get(0).orderedAt(), Math.round(ahead) + " lines came faster than the pace");
            }
        }
        return new Verdict("a short queue", "lines", channel.maxBacklog(), worst, worst > channel.maxBacklog(),
                first.text, first.at, messages.stream().filter(m -> m.waiting() > m.lines()).count());
    }

    /** Messages to one proxy over the stated span, where they are limited; counted anew with each stream. */
    private Verdict budget() {
        int worst = 0;
        First first = new First();
        for (List<Stay> all : stays.values()) {
            for (Stay stay : all) {
                int from = 0;
                for (int i = 0; i < stay.messages.size(); i++) {
                    while (stay.messages.get(i) - stay.messages.get(from) >= channel.messageWindow()) {
                        from++;
                    }
                    worst = Math.max(worst, i - from + 1);
                    if (i - from + 1 > channel.maxMessages()) {
                        long at = stay.messages.get(i);
                        first.note(at, "proxy " + stay.proxy + " at " + time(at));
                    }
                }
            }
        }
        return new Verdict("messages within their limit", "messages", channel.maxMessages(), worst,
                first.at >= 0, first.text, first.at, messages.size());
    }

    /** Most lines by which arrivals over any stretch were ahead of the pace and of what the way holds. */
    private double aheadOfPace(List<Message> all) {
        List<Message> byArrival = new ArrayList<>(all);
        byArrival.sort(Comparator.comparingLong(Message::arrivedAt));
        double allowed = channel.linesPerSecond() * channel.maxDelay() / SECOND;
        double bucket = 0;
        double worst = 0;
        long before = byArrival.get(0).arrivedAt();
        for (Message message : byArrival) {
            bucket = Math.max(0, bucket - (message.arrivedAt() - before) / SECOND * channel.linesPerSecond());
            bucket += message.lines();
            before = message.arrivedAt();
            worst = Math.max(worst, bucket - allowed - message.lines());
        }
        return worst;
    }

    // ---- how long a change took ----------------------------------------------------------------------

    /** For each change of the list: from the answer to the last message read that any proxy got next. */
    public List<Double> changeToAppliedMillis() {
        List<Double> took = new ArrayList<>();
        told.forEach((rank, answers) -> {
            TreeSet<Backend> ready = new TreeSet<>();
            boolean first = true;
            for (RosterServer.SentAnswer answer : answers) {
                TreeSet<Backend> now = new TreeSet<>();
                answer.instances().stream().filter(i -> i.availability() == Availability.READY)
                        .forEach(i -> now.add(i.backend()));
                if (!first && !now.equals(ready)) {
                    lastApplied(rank, answer.at()).ifPresent(at -> took.add((at - answer.at()) / 1e6));
                }
                ready = now;
                first = false;
            }
        });
        return took;
    }

    /** When the last joined proxy had its first message ordered after a time. */
    private java.util.OptionalLong lastApplied(int rank, long after) {
        long last = -1;
        long most = after + rules.drainGrace() * 4;
        for (List<Stay> all : stays.values()) {
            for (Stay stay : all) {
                if (stay.rank == rank && stay.from <= after && stay.to > after) {
                    long next = stay.messages.stream().filter(m -> m > after).findFirst().orElse(-1L);
                    last = next < most ? Math.max(last, next) : last;
                }
            }
        }
        return last < 0 ? java.util.OptionalLong.empty() : java.util.OptionalLong.of(last);
    }
}
