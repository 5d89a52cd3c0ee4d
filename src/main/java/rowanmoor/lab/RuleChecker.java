package rowanmoor.lab;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Channel;
import rowanmoor.ControlApi.ClassSpec;
import rowanmoor.ControlApi.DedupScope;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.Rules;
import rowanmoor.channel.ChannelException;
import rowanmoor.channel.ChannelLimits;
import rowanmoor.channel.Frame;
import rowanmoor.channel.FrameReader;
import rowanmoor.config.Site;
import rowanmoor.standin.Ledger;
import rowanmoor.standin.RosterServer;

/**
 * Checks the five rules from {@link Evidence} alone: the bytes that proxies read, the ledger of the backends,
 * and the answers of the roster. Each verdict states its worst value next to the limit.
 */
public final class RuleChecker {

    /**
     * The verdict on one rule.
     *
     * @param first describes the first violation, or is empty
     * @param firstAt time of the first violation, nanoseconds from the day's start; -1 for none
     * @param met how often the run exercised the rule; with 0 a kept rule proves nothing
     */
    public record Verdict(String rule, String unit, double limit, double worst, boolean broken,
            String first, long firstAt, long met) { }

    /** The first violation of a rule. */
    private final class FirstViolation {
        private String text = "";
        private long at = -1;

        void record(long when, String description) {
            if (at < 0) {
                at = Math.max(0, when - evidence.start());
                text = description;
            }
        }
    }

    private static final double NS_PER_SECOND = 1e9;
    private static final double MIN_INFORMED_FRACTION = 2.0 / 3;

    /** The time that a proxy spent on one stream, and when it read messages. */
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

    /** An update or requested snapshot as it was read. */
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
    private long longestDrainedLine;
    private long keptLineCount;
    private final FirstViolation firstDrainedLine = new FirstViolation();
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

    /**
     * All verdicts: on the five rules, on the numbering of messages, and on the message limit if there is
     * one.
     */
    public List<Verdict> verdicts() {
        Map<Integer, List<Evidence.TapEvent>> byProxy = new TreeMap<>();
        evidence.tapEvents().forEach(t -> byProxy.computeIfAbsent(t.proxy(), p -> new ArrayList<>()).add(t));
        byProxy.forEach(this::replay);
        List<Verdict> all = new ArrayList<>(List.of(new Verdict("no proxy without a backend", "s",
                        rules.maxTimeWithoutBackend() / NS_PER_SECOND, longestWithoutBackend / NS_PER_SECOND,
                        longestWithoutBackend > rules.maxTimeWithoutBackend(),
                        firstWithoutBackend.text, firstWithoutBackend.at, backendLossCount),
                checkEffects(), checkDrains(), drainedLines(), checkColdOverloads(), checkQueue(),
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

    // ---- state of the proxies ------------------------------------------------------------------------

    /**
     * Replays what one proxy read; collects its stream sessions, its messages and its time without a backend.
     */
    private void replay(int proxy, List<Evidence.TapEvent> taps) {
        int classes = site.classes().size();
        ProxyStateModel state = new ProxyStateModel(classes, evidence.standingTables().get(proxy));
        FrameReader reader = null;
        StreamSession session = null;
        long[] withoutBackendSince = new long[classes];
        java.util.Arrays.fill(withoutBackendSince, -1);
        for (Evidence.TapEvent tap : taps) {
            if (tap.type() == Evidence.TapEventType.OPENED) {
                state.streamOpened();
                reader = new FrameReader(ChannelLimits.defaults());
                session = null;
            } else if (tap.type() == Evidence.TapEventType.CLOSED) {
                if (session != null) {
                    session.toNs = tap.at();
                    updateWithoutBackend(session, state, withoutBackendSince, tap.at(), true);
                    checkDrainedLines(session, state.availableBackends(), tap.at());
                    session = null;
                }
            } else {
                ByteBuffer bytes = ByteBuffer.wrap(tap.bytes());
                while (bytes.hasRemaining() && reader != null) {
                    Frame frame = readFrame(reader, bytes, proxy, tap.at());
                    if (frame == null) {
                        break;
                    }
                    int[] before = state.availableCounts();
                    TreeSet<Backend> removed = state.availableBackends();
                    String wrong = state.apply(frame);
                    backendLossCount += session == null ? 0 : state.countDecreases(before);
                    if (wrong != null) {
                        numberingErrors++;
                        firstNumberingError.record(tap.at(), "proxy " + proxy + " at " + formatTime(tap.at())
                                + ": " + wrong);
                    }
                    if (session == null && state.joined()) {
                        session = new StreamSession(proxy,
                                evidence.ranksByEpoch().getOrDefault(state.epoch(), -1), tap.at());
                        sessions.computeIfAbsent(proxy, p -> new ArrayList<>()).add(session);
                    }
                    recordMessage(frame, tap.at(), session);
                    removed.removeAll(state.availableBackends());
                    if (session != null) {
                        checkDrainedLines(session, removed, tap.at());
                        updateWithoutBackend(session, state, withoutBackendSince, tap.at(), false);
                    }
                }
            }
        }
        if (session != null) {
            updateWithoutBackend(session, state, withoutBackendSince, evidence.end(), true);
            checkDrainedLines(session, state.availableBackends(), evidence.end());
        }
    }

    /** Checks until when a joined proxy could pick backends that were not ready. */
    private void checkDrainedLines(StreamSession session, TreeSet<Backend> backends, long until) {
        for (Backend backend : backends) {
            long since = notReadySince(session.rank, backend, until);
            long held = since < 0 ? 0 : until - Math.max(since, session.fromNs);
            keptLineCount += since >= 0 && since < session.fromNs ? 1 : 0;
            longestDrainedLine = Math.max(longestDrainedLine, held);
            if (held > rules.drainGrace()) {
                firstDrainedLine.record(until - held + rules.drainGrace(), "proxy " + session.proxy
                        + " could pick " + backend + " until " + formatTime(until) + ", told at "
                        + formatTime(since));
            }
        }
    }

    /**
     * Holds whether or not a request went there, also for lines that a proxy kept from an earlier controller;
     * {@code met} counts these.
     */
    private Verdict drainedLines() {
        return new Verdict("drained backends shut out in time", "s", rules.drainGrace() / NS_PER_SECOND,
                longestDrainedLine / NS_PER_SECOND, longestDrainedLine > rules.drainGrace(),
                firstDrainedLine.text, firstDrainedLine.at, keptLineCount);
    }

    private Frame readFrame(FrameReader reader, ByteBuffer bytes, int proxy, long at) {
        try {
            return reader.next(bytes);
        } catch (ChannelException e) {
            bytes.position(bytes.limit());
            numberingErrors++;
            firstNumberingError.record(at, "proxy " + proxy + " read an invalid frame: " + e.getMessage());
            return null;
        }
    }

    private void recordMessage(Frame frame, long at, StreamSession session) {
        if (frame instanceof Frame.Update update) {
            double lines = channel.messageOverhead()
                    + update.orders().stream().mapToInt(Frame::lineCount).sum();
            messages.add(new ReceivedMessage(update.epoch(), update.orderedAtNs(), at, lines,
                    update.queuedLines()));
            if (session != null) {
                session.messageTimes.add(at);
            }
        } else if (frame instanceof Frame.Snapshot s && !s.bindings().isEmpty()) {
            // A requested snapshot goes through the channel's queue; a stream's first one has no bindings and
            // does not.
            double lines = channel.messageOverhead() + s.withdrawn().size() + s.tables().stream()
                    .mapToInt(t -> 1 + t.lines().size() + t.levels().size()).sum();
            messages.add(new ReceivedMessage(s.epoch(), s.orderedAtNs(), at, lines, s.queuedLines()));
        }
    }

    /**
     * Starts or ends the time in which a class had no backend. Only the part counts in which its controller
     * knew of a warm backend.
     */
    private void updateWithoutBackend(StreamSession session, ProxyStateModel state, long[] since, long now,
            boolean over) {
        for (int cls = 0; cls < since.length; cls++) {
            boolean without = state.hasNoBackend(cls);
            if (since[cls] >= 0 && (!without || over)) {
                double longest = longestAvoidable(session, cls, Math.max(since[cls], session.fromNs), now);
                longestWithoutBackend = Math.max(longestWithoutBackend, longest);
                since[cls] = -1;
            }
            if (without && !over && since[cls] < 0) {
                since[cls] = now;
            }
        }
    }

    /** Longest time within a span in which the controller's list had a warm backend open to the class. */
    private double longestAvoidable(StreamSession session, int cls, long from, long to) {
        double longest = 0;
        long since = -1;
        List<Long> times = new ArrayList<>(List.of(from));
        List<RosterServer.SentAnswer> answers = answersByRank.getOrDefault(session.rank, List.of());
        // A backend may also become warm between two answers.
        java.util.stream.Stream.concat(answers.stream().map(RosterServer.SentAnswer::at), answers.stream()
                .flatMap(a -> a.instances().stream()).map(i -> i.startedAtNs() + rules.warmUpTime()))
                .filter(t -> t > from && t < to).distinct().sorted().forEach(times::add);
        for (long time : times) {
            boolean known = hasWarmBackend(session.rank, cls, time);
            since = !known ? -1 : since < 0 ? time : since;
            long next = times.stream().filter(t -> t > time).findFirst().orElse(to);
            if (since >= 0 && next - since > rules.maxTimeWithoutBackend()) {
                firstWithoutBackend.record(since + rules.maxTimeWithoutBackend(), "proxy " + session.proxy
                        + ", class " + site.classNames().get(cls) + ", from " + formatTime(since) + " to "
                        + formatTime(next));
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
            return i.availability() == Availability.READY && open
                    && time - i.startedAtNs() >= rules.warmUpTime();
        });
    }

    /** The list that a controller had last received at a time. */
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

    /** How many of a request's tries may each have taken effect. */
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
            StreamSession session = sessionAt(entry.proxy, entry.arrivedAt);
            if (session == null) {
                continue;
            }
            long since = notReadySince(session.rank, entry.backend, entry.arrivedAt);
            if (since < 0) {
                continue;
            }
            long obligedSince = Math.max(since, session.fromNs);
            if (entry.arrivedAt - obligedSince > rules.drainGrace()) {
                first.record(entry.arrivedAt, "proxy " + entry.proxy + " sent to " + entry.backend + " at "
                        + formatTime(entry.arrivedAt) + ", told at " + formatTime(since));
            }
            worst = Math.max(worst, entry.arrivedAt - obligedSince);
        }
        return new Verdict("drains kept", "s", rules.drainGrace() / NS_PER_SECOND, worst / NS_PER_SECOND,
                worst > rules.drainGrace(), first.text, first.at, countDrainNotices());
    }

    /**
     * Counts the backends that a controller was told are draining or gone, once for each proxy that it had
     * then.
     */
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
                met += lost * sessions.values().stream().flatMap(List::stream)
                        .filter(s -> s.rank == one.getKey()
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

    /** Time at which a controller was told that a backend is draining or gone; -1 if it is ready. */
    private long notReadySince(int rank, Backend backend, long time) {
        long since = -1;
        boolean wasListed = false;
        for (RosterServer.SentAnswer answer : answersByRank.getOrDefault(rank, List.of())) {
            if (answer.at() > time) {
                break;
            }
            if (answer.instances().isEmpty()) {
                continue; // an empty list is not believed at once: docs/running.md, The roster empties
            }
            boolean ready = answer.instances().stream().anyMatch(i -> i.backend().equals(backend)
                    && i.availability() == Availability.READY);
            // The drain counts even if the controller never saw the backend ready.
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
        return new Verdict("no cold backend pushed over", "part of a fall's load that knew",
                MIN_INFORMED_FRACTION, worst,
                broken, first.text, first.at, countColdRequests());
    }

    /**
     * Counts the requests that reached a backend while it was cold, by the start time that the roster stated.
     */
    private long countColdRequests() {
        Map<Backend, TreeSet<Long>> starts = new HashMap<>();
        evidence.answers().forEach(a -> a.instances().stream().filter(i -> i.startedAtMs() > 0).forEach(i ->
                starts.computeIfAbsent(i.backend(), b -> new TreeSet<>()).add(i.startedAtNs())));
        return evidence.ledger().entries().stream().filter(e -> starts.containsKey(e.backend)).filter(e -> {
            Long start = starts.get(e.backend).floor(e.arrivedAt);
            return start != null && e.arrivedAt - start < rules.warmUpTime();
        }).count();
    }

    /**
     * Whether a request's proxy was informed of the backend's start: by a message since its controller heard
     * of it, or because the drain grace has passed since then.
     */
    private boolean wasInformed(Ledger.Entry entry, Ledger.Fall fall) {
        StreamSession session = sessionAt(entry.proxy, entry.arrivedAt);
        if (session == null) {
            return false;
        }
        long since = -1;
        for (RosterServer.SentAnswer answer : answersByRank.getOrDefault(session.rank, List.of())) {
            boolean tells = answer.at() >= fall.startedAt() && answer.at() <= entry.arrivedAt
                    && answer.instances().stream().anyMatch(i -> i.backend().equals(fall.backend())
                            && i.startedAtMs() > 0);
            if (tells && since < 0) {
                since = answer.at();
            }
        }
        long informedAt = since;
        return since >= 0 && (entry.arrivedAt - since > rules.drainGrace()
                || session.messageTimes.stream().anyMatch(m -> m > informedAt && m <= entry.arrivedAt));
    }

    // ---- 5. the queue --------------------------------------------------------------------------------

    /**
     * Checks the waiting lines: the messages of a controller, by the times at which they were ordered, are
     * run through a simulated queue that drains at the stated pace. Also checks the pace: over any span no
     * more may arrive than the pace allows, plus what may be delayed on the way.
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
        return new Verdict("a short queue", "lines", channel.maxBacklog(), worst,
                worst > channel.maxBacklog(),
                first.text, first.at, messages.stream().filter(m -> m.waiting() > m.lines()).count());
    }

    /**
     * Checks the number of messages to one proxy over the stated window, if limited; each stream counts anew.
     */
    private Verdict checkMessageLimit() {
        int worst = 0;
        FirstViolation first = new FirstViolation();
        for (List<StreamSession> all : sessions.values()) {
            for (StreamSession session : all) {
                int from = 0;
                for (int i = 0; i < session.messageTimes.size(); i++) {
                    while (session.messageTimes.get(i)
                            - session.messageTimes.get(from) >= channel.messageWindow()) {
                        from++;
                    }
                    worst = Math.max(worst, i - from + 1);
                    if (i - from + 1 > channel.maxMessages()) {
                        long at = session.messageTimes.get(i);
                        first.record(at, "proxy " + session.proxy + " at " + formatTime(at));
                    }
                }
            }
        }
        return new Verdict("messages within their limit", "messages", channel.maxMessages(), worst,
                first.at >= 0, first.text, first.at, messages.size());
    }

    /**
     * The most lines by which arrivals over any span exceeded the pace, plus what may be delayed on the way.
     */
    private double excessOverPace(List<ReceivedMessage> all) {
        List<ReceivedMessage> byArrival = new ArrayList<>(all);
        byArrival.sort(Comparator.comparingLong(ReceivedMessage::arrivedAt));
        double allowed = channel.linesPerSecond() * channel.maxDelay() / NS_PER_SECOND;
        double bucket = 0;
        double worst = 0;
        long before = byArrival.get(0).arrivedAt();
        for (ReceivedMessage message : byArrival) {
            bucket = Math.max(0, bucket - (message.arrivedAt() - before) / NS_PER_SECOND
                    * channel.linesPerSecond());
            bucket += message.lines();
            before = message.arrivedAt();
            worst = Math.max(worst, bucket - allowed - message.lines());
        }
        return worst;
    }

    // ---- latency of roster changes -------------------------------------------------------------------

    /**
     * For each roster change: milliseconds from the answer until the last proxy has read its next message.
     */
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

    /** When the last joined proxy read its first message after a time. */
    private java.util.OptionalLong lastApplied(int rank, long after) {
        long last = -1;
        long latest = after + rules.drainGrace() * 4;
        for (List<StreamSession> all : sessions.values()) {
            for (StreamSession session : all) {
                if (session.rank == rank && session.fromNs <= after && session.toNs > after) {
                    long next = session.messageTimes.stream().filter(m -> m > after).findFirst().orElse(-1L);
                    last = next < latest ? Math.max(last, next) : last;
                }
            }
        }
        return last < 0 ? java.util.OptionalLong.empty() : java.util.OptionalLong.of(last);
    }
}
