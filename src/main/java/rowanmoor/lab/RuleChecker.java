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
    private final class FirstViolation {
        private String text = "";
        private long at = -1;

        void record(long when, String what) {
            if (at < 0) {
                at = Math.max(0, when - evidence.start());
                text = what;
            }
        }
    }

    private static final double NS_PER_SECOND = 1e9;
    private static final double MIN_INFORMED_FRACTION = 2.0 / 3;

    /** A proxy's time on one stream, and the messages of it. */
    private static final class StreamSession {
        private final int proxy;
        private final int rank;
        private final long fromNs;
        private long toNs = Long.MAX_VALUE;
        private final List<Long> messageTimes = new ArrayList<>();

        StreamSession(int proxy, int rank, long from) {
            this.proxy = proxy;
            this.rank = rank;
            this.fromNs = from;
        }
    }

    /** An update as it was read. */
    private record ReceivedMessage(long epoch, long orderedAt, long arrivedAt, double lines, long waiting) { }

    private final Evidence evidence;
    private final Site site;
    private final Rules rules;
    private final Channel channel;
    private final Map<Integer, List<StreamSession>> sessions = new TreeMap<>();
    private final List<ReceivedMessage> messages = new ArrayList<>();
    private final Map<Integer, List<RosterServer.SentAnswer>> answersByRank = new TreeMap<>();
    private double longestWithoutBackend;
    private long backendLossCount;
    private final FirstViolation firstWithoutBackend = new FirstViolation();
    private int numberingErrors;
    private final FirstViolation firstNumberingError = new FirstViolation();

    public RuleChecker(Evidence evidence) {
        this.evidence = evidence;
        this.site = evidence.site();
        this.rules = site.rules();
        this.channel = site.channel();
        for (RosterServer.SentAnswer answer : evidence.answers()) {
            int dash = answer.userAgent().lastIndexOf('-');
            answersByRank.computeIfAbsent(Integer.parseInt(answer.userAgent().substring(dash + 1)),
                    r -> new ArrayList<>()).add(answer);
        }
    }

    /** All verdicts: the five rules, and the numbering of messages. */
    public List<Verdict> verdicts() {
        Map<Integer, List<Evidence.TapEvent>> byProxy = new TreeMap<>();
        evidence.tapEvents().forEach(t -> byProxy.computeIfAbsent(t.proxy(), p -> new ArrayList<>()).add(t));
        byProxy.forEach(this::replay);
        List<Verdict> all = new ArrayList<>(List.of(new Verdict("no proxy without a backend", "s",
                        rules.maxTimeWithoutBackend() / NS_PER_SECOND, longestWithoutBackend / NS_PER_SECOND, longestWithoutBackend > rules.maxTimeWithoutBackend(),
                        firstWithoutBackend.text, firstWithoutBackend.at, backendLossCount),
                checkEffects(), checkDrains(), checkColdOverloads(), checkQueue(),
                new Verdict("messages numbered without gaps", "gaps", 0, numberingErrors, numberingErrors > 0,
                        firstNumberingError.text, firstNumberingError.at, messages.size())));
        if (channel.maxMessages() > 0) {
            all.add(checkMessageLimit());
        }
        return List.copyOf(all);
    }

    private String formatTime(long at) {
        return String.format("%.3f s", (at - evidence.start()) / NS_PER_SECOND);
    }

    // ---- what proxies held ---------------------------------------------------------------------------

    /** Replays what one proxy read; notes its stays, its messages and how long it was bare. */
    private void replay(int proxy, List<Evidence.TapEvent> taps) {
        int classes = site.classes().size();
        ProxyStateModel mirror = new ProxyStateModel(classes, evidence.standingTables().get(proxy));
        FrameReader reader = null;
        StreamSession stay = null;
        long[] bareSince = new long[classes];
        java.util.Arrays.fill(bareSince, -1);
        for (Evidence.TapEvent tap : taps) {
            if (tap.type() == Evidence.TapEventType.OPENED) {
                mirror.streamOpened();
                reader = new FrameReader(ChannelLimits.defaults());
                stay = null;
            } else if (tap.type() == Evidence.TapEventType.CLOSED) {
                if (stay != null) {
                    stay.toNs = tap.at();
                    updateWithoutBackend(stay, mirror, bareSince, tap.at(), true);
                    stay = null;
                }
            } else {
                ByteBuffer bytes = ByteBuffer.wrap(tap.bytes());
                while (bytes.hasRemaining() && reader != null) {
                    Frame frame = readFrame(reader, bytes, proxy, tap.at());
                    if (frame == null) {
                        break;
                    }
                    int[] open = mirror.availableCounts();
                    String wrong = mirror.apply(frame);
                    backendLossCount += stay == null ? 0 : mirror.countDecreases(open);
                    if (wrong != null) {
                        numberingErrors++;
                        firstNumberingError.record(tap.at(), "proxy " + proxy + " at " + formatTime(tap.at()) + ": "
                                + wrong);
                    }
                    if (stay == null && mirror.joined()) {
                        stay = new StreamSession(proxy, evidence.ranksByEpoch().getOrDefault(mirror.epoch(), -1), tap.at());
                        sessions.computeIfAbsent(proxy, p -> new ArrayList<>()).add(stay);
                    }
                    recordMessage(frame, tap.at(), stay);
                    if (stay != null) {
                        updateWithoutBackend(stay, mirror, bareSince, tap.at(), false);
                    }
                }
            }
        }
        if (stay != null) {
            updateWithoutBackend(stay, mirror, bareSince, evidence.end(), true);
        }
    }

    private Frame readFrame(FrameReader reader, ByteBuffer bytes, int proxy, long at) {
        try {
            return reader.next(bytes);
        } catch (ChannelException e) {
            bytes.position(bytes.limit());
            numberingErrors++;
            firstNumberingError.record(at, "proxy " + proxy + " read what is no frame: " + e.getMessage());
            return null;
        }
    }

    private void recordMessage(Frame frame, long at, StreamSession stay) {
        if (frame instanceof Frame.Update update) {
            double lines = channel.messageOverhead() + update.orders().stream().mapToInt(Frame::lineCount).sum();
            messages.add(new ReceivedMessage(update.epoch(), update.orderedAtNs(), at, lines, update.queuedLines()));
            if (stay != null) {
                stay.messageTimes.add(at);
            }
        } else if (frame instanceof Frame.Snapshot s && !s.bindings().isEmpty()) {
            // One that was asked for goes through the channel; a stream's first has no bindings and does not.
            double lines = channel.messageOverhead() + s.withdrawn().size() + s.tables().stream()
                    .mapToInt(t -> 1 + t.lines().size() + t.levels().size()).sum();
            messages.add(new ReceivedMessage(s.epoch(), s.orderedAtNs(), at, lines, s.queuedLines()));
        }
    }

    /** Closes or opens a class's bare stretch; the part of it counts in which its controller knew better. */
    private void updateWithoutBackend(StreamSession stay, ProxyStateModel mirror, long[] since, long now, boolean over) {
        for (int cls = 0; cls < since.length; cls++) {
            boolean bare = mirror.hasNoBackend(cls);
            if (since[cls] >= 0 && (!bare || over)) {
                double longest = longestAvoidable(stay, cls, Math.max(since[cls], stay.fromNs), now);
                longestWithoutBackend = Math.max(longestWithoutBackend, longest);
                since[cls] = -1;
            }
            if (bare && !over && since[cls] < 0) {
                since[cls] = now;
            }
        }
    }

    /** Longest stretch within a span in which the controller's list had a warm backend open to the class. */
    private double longestAvoidable(StreamSession stay, int cls, long from, long to) {
        double longest = 0;
        long since = -1;
        List<Long> times = new ArrayList<>(List.of(from));
        List<RosterServer.SentAnswer> answers = answersByRank.getOrDefault(stay.rank, List.of());
        // A backend gets warm between two answers as well.
        java.util.stream.Stream.concat(answers.stream().map(RosterServer.SentAnswer::at), answers.stream()
                .flatMap(a -> a.instances().stream()).map(i -> i.startedAtNs() + rules.warmUpTime()))
                .filter(t -> t > from && t < to).distinct().sorted().forEach(times::add);
        for (long time : times) {
            boolean known = hasWarmBackend(stay.rank, cls, time);
            since = !known ? -1 : since < 0 ? time : since;
            long next = times.stream().filter(t -> t > time).findFirst().orElse(to);
            if (since >= 0 && next - since > rules.maxTimeWithoutBackend()) {
                firstWithoutBackend.record(since + rules.maxTimeWithoutBackend(), "proxy " + stay.proxy + ", class "
                        + site.classNames().get(cls) + ", from " + formatTime(since) + " to " + formatTime(next));
            }
            longest = Math.max(longest, since < 0 ? 0 : next - since);
        }
        return longest;
    }

    private boolean hasWarmBackend(int rank, int cls, long time) {
        List<RosterServer.Instance> list = listAt(rank, time);
        ClassSpec spec = site.classes().get(cls);
        return list.stream().anyMatch(i -> {
            Evidence.Placement place = evidence.backends().get(i.backend());
            boolean open = (spec.onlyZones().isEmpty() || spec.onlyZones().contains(place.zone()))
                    && (spec.onlyKinds().isEmpty() || spec.onlyKinds().contains(place.kind()));
            return i.availability() == Availability.READY && open && time - i.startedAtNs() >= rules.warmUpTime();
        });
    }

    /** The list as a controller was last told it by a time. */
    private List<RosterServer.Instance> listAt(int rank, long time) {
        List<RosterServer.Instance> list = List.of();
        for (RosterServer.SentAnswer answer : answersByRank.getOrDefault(rank, List.of())) {
            if (answer.at() > time) {
                break;
            }
            list = answer.instances();
        }
        return list;
    }

    // ---- 2. no effect twice --------------------------------------------------------------------------

    private Verdict checkEffects() {
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
            int harmful = possibleEffects(tries);
            worst = Math.max(worst, harmful);
            if (harmful > 1 && tries.get(1).arrivedAt < firstAt) {
                firstAt = tries.get(1).arrivedAt;
                first = "request " + one.getKey() + " at " + tries.stream().map(t -> t.backend.toString())
                        .toList() + " by " + formatTime(firstAt);
            }
        }
        return new Verdict("no effect twice", "effects", 1, worst, worst > 1, first,
                worst > 1 ? firstAt - evidence.start() : -1,
                triesOf.values().stream().filter(n -> n > 1).count());
    }

    /** How many of a try's runs may each have taken effect. */
    private int possibleEffects(List<Ledger.Entry> tries) {
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

    private Verdict checkDrains() {
        double worst = 0;
        FirstViolation first = new FirstViolation();
        for (Ledger.Entry entry : evidence.ledger().entries()) {
            StreamSession stay = sessionAt(entry.proxy, entry.arrivedAt);
            if (stay == null) {
                continue;
            }
            long since = notReadySince(stay.rank, entry.backend, entry.arrivedAt);
            if (since < 0) {
                continue;
            }
            long clock = Math.max(since, stay.fromNs);
            if (entry.arrivedAt - clock > rules.drainGrace()) {
                first.record(entry.arrivedAt, "proxy " + entry.proxy + " sent to " + entry.backend + " at "
                        + formatTime(entry.arrivedAt) + ", told at " + formatTime(since));
            }
            worst = Math.max(worst, entry.arrivedAt - clock);
        }
        return new Verdict("drains kept", "s", rules.drainGrace() / NS_PER_SECOND, worst / NS_PER_SECOND,
                worst > rules.drainGrace(), first.text, first.at, countDrainNotices());
    }

    /** Backends that a controller was told to be draining or gone, each with the proxies it had then. */
    private long countDrainNotices() {
        long met = 0;
        for (Map.Entry<Integer, List<RosterServer.SentAnswer>> one : answersByRank.entrySet()) {
            TreeSet<Backend> ready = new TreeSet<>();
            for (RosterServer.SentAnswer answer : one.getValue()) {
                TreeSet<Backend> now = new TreeSet<>();
                answer.instances().stream().filter(i -> i.availability() == Availability.READY)
                        .forEach(i -> now.add(i.backend()));
                boolean empty = answer.instances().isEmpty();
                long lost = empty ? 0 : ready.stream().filter(b -> !now.contains(b)).count();
                met += lost * sessions.values().stream().flatMap(List::stream).filter(s -> s.rank == one.getKey()
                        && s.fromNs <= answer.at() && answer.at() < s.toNs).count();
                ready = empty ? ready : now;
            }
        }
        return met;
    }

    private StreamSession sessionAt(int proxy, long time) {
        return sessions.getOrDefault(proxy, List.of()).stream().filter(s -> s.fromNs <= time && time < s.toNs)
                .findFirst().orElse(null);
    }

    /** Since when a controller has been told that a backend is draining or gone; -1 if it is ready. */
    private long notReadySince(int rank, Backend backend, long time) {
        long since = -1;
        boolean wasListed = false;
        for (RosterServer.SentAnswer answer : answersByRank.getOrDefault(rank, List.of())) {
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

    private Verdict checkColdOverloads() {
        double worst = 0;
        boolean broken = false;
        FirstViolation first = new FirstViolation();
        for (Ledger.Fall fall : evidence.ledger().falls()) {
            double known = 0;
            double all = 0;
            for (Ledger.Entry entry : evidence.ledger().entries()) {
                boolean within = entry.backend.equals(fall.backend()) && entry.arrivedAt <= fall.at()
                        && entry.arrivedAt >= fall.at() - rules.overloadSpan();
                if (within) {
                    all += entry.work;
                    known += wasInformed(entry, fall) ? entry.work : 0;
                }
            }
            worst = Math.max(worst, all == 0 ? 0 : known / all);
            if (all > 0 && known / all >= MIN_INFORMED_FRACTION) {
                broken = true;
                first.record(fall.at(), fall.backend() + " fell at " + formatTime(fall.at()));
            }
        }
        return new Verdict("no cold backend pushed over", "part of a fall's load that knew", MIN_INFORMED_FRACTION, worst,
                broken, first.text, first.at, countColdRequests());
    }

    /** Requests that came to a backend while, going by what the roster said of its start, it was cold. */
    private long countColdRequests() {
        Map<Backend, TreeSet<Long>> starts = new HashMap<>();
        evidence.answers().forEach(a -> a.instances().stream().filter(i -> i.startedAtMs() > 0).forEach(i ->
                starts.computeIfAbsent(i.backend(), b -> new TreeSet<>()).add(i.startedAtNs())));
        return evidence.ledger().entries().stream().filter(e -> starts.containsKey(e.backend)).filter(e -> {
            Long start = starts.get(e.backend).floor(e.arrivedAt);
            return start != null && e.arrivedAt - start < rules.warmUpTime();
        }).count();
    }

    /** Whether a request came from a proxy, or under a controller, that knew of the start. */
    private boolean wasInformed(Ledger.Entry entry, Ledger.Fall fall) {
        StreamSession stay = sessionAt(entry.proxy, entry.arrivedAt);
        if (stay == null) {
            return false;
        }
        long since = -1;
        for (RosterServer.SentAnswer answer : answersByRank.getOrDefault(stay.rank, List.of())) {
            boolean tells = answer.at() >= fall.startedAt() && answer.at() <= entry.arrivedAt
                    && answer.instances().stream().anyMatch(i -> i.backend().equals(fall.backend())
                            && i.startedAtMs() > 0);
            if (tells && since < 0) {
                since = answer.at();
            }
        }
        long heard = since;
        return since >= 0 && (entry.arrivedAt - since > rules.drainGrace()
                || stay.messageTimes.stream().anyMatch(m -> m > heard && m <= entry.arrivedAt));
    }

    // ---- 5. the queue --------------------------------------------------------------------------------

    /**
     * Lines that waited: what a controller's messages say of their order times, played through a queue of the
     * stated pace. And the pace itself: over any stretch no more may arrive than that pace allows, give or
     * take what the way may hold back.
     */
    private Verdict checkQueue() {
        Map<Long, List<ReceivedMessage>> byEpoch = new TreeMap<>();
        messages.forEach(m -> byEpoch.computeIfAbsent(m.epoch(), e -> new ArrayList<>()).add(m));
        double worst = 0;
        FirstViolation first = new FirstViolation();
        for (List<ReceivedMessage> all : byEpoch.values()) {
            all.sort(Comparator.comparingLong(ReceivedMessage::orderedAt));
            double waiting = 0;
            long before = all.get(0).orderedAt();
            for (ReceivedMessage message : all) {
                waiting = Math.max(0, waiting - (message.orderedAt() - before) / NS_PER_SECOND
                        * channel.linesPerSecond()) + message.lines();
                before = message.orderedAt();
                worst = Math.max(worst, Math.max(waiting, message.waiting()));
                if (worst > channel.maxBacklog()) {
                    first.record(message.orderedAt(), Math.round(worst) + " lines waited at "
                            + formatTime(message.orderedAt()));
                }
            }
            double ahead = excessOverPace(all);
            worst = Math.max(worst, ahead);
            if (ahead > channel.maxBacklog()) {
                first.record(all.get(0).orderedAt(), Math.round(ahead) + " lines came faster than the pace");
            }
        }
        return new Verdict("a short queue", "lines", channel.maxBacklog(), worst, worst > channel.maxBacklog(),
                first.text, first.at, messages.stream().filter(m -> m.waiting() > m.lines()).count());
    }

    /** Messages to one proxy over the stated span, where they are limited; counted anew with each stream. */
    private Verdict checkMessageLimit() {
        int worst = 0;
        FirstViolation first = new FirstViolation();
        for (List<StreamSession> all : sessions.values()) {
            for (StreamSession stay : all) {
                int from = 0;
                for (int i = 0; i < stay.messageTimes.size(); i++) {
                    while (stay.messageTimes.get(i) - stay.messageTimes.get(from) >= channel.messageWindow()) {
                        from++;
                    }
                    worst = Math.max(worst, i - from + 1);
                    if (i - from + 1 > channel.maxMessages()) {
                        long at = stay.messageTimes.get(i);
                        first.record(at, "proxy " + stay.proxy + " at " + formatTime(at));
                    }
                }
            }
        }
        return new Verdict("messages within their limit", "messages", channel.maxMessages(), worst,
                first.at >= 0, first.text, first.at, messages.size());
    }

    /** Most lines by which arrivals over any stretch were ahead of the pace and of what the way holds. */
    private double excessOverPace(List<ReceivedMessage> all) {
        List<ReceivedMessage> byArrival = new ArrayList<>(all);
        byArrival.sort(Comparator.comparingLong(ReceivedMessage::arrivedAt));
        double allowed = channel.linesPerSecond() * channel.maxDelay() / NS_PER_SECOND;
        double bucket = 0;
        double worst = 0;
        long before = byArrival.get(0).arrivedAt();
        for (ReceivedMessage message : byArrival) {
            bucket = Math.max(0, bucket - (message.arrivedAt() - before) / NS_PER_SECOND * channel.linesPerSecond());
            bucket += message.lines();
            before = message.arrivedAt();
            worst = Math.max(worst, bucket - allowed - message.lines());
        }
        return worst;
    }

    // ---- how long a change took ----------------------------------------------------------------------

    /** For each change of the list: from the answer to the last message read that any proxy got next. */
    public List<Double> changeLatenciesMs() {
        List<Double> took = new ArrayList<>();
        answersByRank.forEach((rank, answers) -> {
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
        for (List<StreamSession> all : sessions.values()) {
            for (StreamSession stay : all) {
                if (stay.rank == rank && stay.fromNs <= after && stay.toNs > after) {
                    long next = stay.messageTimes.stream().filter(m -> m > after).findFirst().orElse(-1L);
                    last = next < most ? Math.max(last, next) : last;
                }
            }
        }
        return last < 0 ? java.util.OptionalLong.empty() : java.util.OptionalLong.of(last);
    }
}
