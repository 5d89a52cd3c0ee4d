package rowanmoor;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.ControlApi.Usage;

/**
 * The state that {@link RoutingPolicy} keeps of paths, proxies, pools and the channel: plain data and sums,
 * no decisions. Times are nanoseconds of the instance's clock unless a name says otherwise.
 */
final class FleetState {

    private FleetState() { }

    /**
     * Results of the tries that the joined proxies of one region made at one backend. {@code tries}, {@code
     * failed} and {@code latencySum} (ns) are smoothed over rounds; the {@code new} fields hold what was
     * reported since the last round.
     */
    static final class PathStats {
        double tries;
        double failed;
        double latencySum;
        double newTries;
        double newFailed;
        double newLatencySum;
        double newSpanSeconds;
        double lastFailureFraction;
        double lastLatencyNs;
        /** When the current suspension ends; 0 if the path is not suspended. */
        long suspendedUntil;
        /** From when on results since the last suspension are evaluated. */
        long trialEvaluationAt;
        /** Factor on the backend's weight in this region: 0 suspended, 1 healthy. */
        double health = 1;

        static PathStats[] newArray(int regions) {
            PathStats[] paths = new PathStats[regions];
            Arrays.setAll(paths, region -> new PathStats());
            return paths;
        }

        void add(Tally tally) {
            newTries += tally.tries();
            newSpanSeconds += tally.span() / 1e9;
            newFailed += tally.failed();
            newLatencySum += (double) tally.latency() * (tally.tries() - tally.failed());
        }

        /**
         * Adds what was reported since the last round to the smoothed sums. Where the new tries are too few
         * to tell anything alone, the last values come from the sums.
         *
         * @param smoothing weight of the new round
         * @param minTries tries below which the sums tell nothing; half of it for a single round
         */
        void endRound(double smoothing, double minTries) {
            double usualFailureFraction = tries < minTries ? 0 : failed / tries;
            lastFailureFraction = newTries < minTries / 2 ? usualFailureFraction : newFailed / newTries;
            boolean few = newTries - newFailed < minTries / 2;
            double newLatency = few ? 0 : newLatencySum / (newTries - newFailed);
            tries += newTries - smoothing * tries;
            failed += newFailed - smoothing * failed;
            latencySum += newLatencySum - smoothing * latencySum;
            lastLatencyNs = few && tries - failed >= minTries / 2
                    ? latencySum / (tries - failed) : newLatency;
            newTries = 0;
            newFailed = 0;
            newLatencySum = 0;
            newSpanSeconds = 0;
        }
    }

    /** The state of one proxy. Arrays of usage and of new reports are indexed by class. */
    static final class ProxyState {
        final int number;
        int zone;
        boolean joined;
        boolean hasReported;
        /** Whether it uses tables of this instance. */
        boolean bound;
        /** Its part in the smoothed sums of reports: 0 before its first round, then towards 1. */
        double presence;
        long leftAt;
        long joinedAt;
        /** Smoothed usage, requests a second. */
        final double[] usage;
        final double[] newRequests;
        final double[] newSpanSeconds;
        /** How long the proxy has reported no request of the class. */
        final double[] silentSeconds;
        /** The pool that it uses for each group of classes. */
        final Pool[] pools;
        /** The number up to which it was told of the {@link PendingWithdrawals}. */
        long informedUpTo;
        /** Backends of which this instance told it while its tables were unknown. */
        final TreeSet<Backend> excluded = new TreeSet<>();
        /** The reply that last opened a message to it. */
        int lastMessageReply;

        ProxyState(int number, int classes, int groups) {
            this.number = number;
            usage = new double[classes];
            newRequests = new double[classes];
            newSpanSeconds = new double[classes];
            silentSeconds = new double[classes];
            pools = new Pool[groups];
        }

        void join(int newZone, long now) {
            zone = newZone;
            joinedAt = now;
            joined = true;
            // Late reports of the time before are dropped.
            Arrays.fill(newRequests, 0);
            Arrays.fill(newSpanSeconds, 0);
            hasReported = false;
            bound = false;
            informedUpTo = 0;
            excluded.clear();
        }

        /**
         * Whether the proxy may hold a line of a backend. The tables of a proxy that is not bound yet are not
         * known: it may hold any backend, unless only bound proxies count.
         */
        boolean mayHold(Backend backend, boolean boundOnly) {
            return joined && (bound
                    ? Arrays.stream(pools).anyMatch(pool -> pool.sentWeights.containsKey(backend))
                    : !boundOnly);
        }

        void leave(int number, long now) {
            leftAt = joined ? now : leftAt;
            joined = false;
            for (Pool pool : pools) {
                pool.proxies.remove(number);
            }
        }

        void add(Usage report) {
            newRequests[report.classIndex()] += report.requests();
            newSpanSeconds[report.classIndex()] += report.span() / 1e9;
        }

        /**
         * Adds a round's reports to the smoothed usage, as rates over the span that a report states. Where a
         * cycle of all reports takes longer than a round, the usage of a proxy without a report is unknown,
         * not zero, until it has been silent for two cycles.
         *
         * @param seconds length of the round
         * @param cycleSeconds time in which every proxy and backend reports once
         * @param smoothing weight of a round
         */
        void endRound(double seconds, double cycleSeconds, double smoothing) {
            for (int cls = 0; cls < usage.length; cls++) {
                silentSeconds[cls] = newRequests[cls] > 0 ? 0 : silentSeconds[cls] + seconds;
                boolean unknown = cycleSeconds > seconds && silentSeconds[cls] < 2 * cycleSeconds;
                if (newRequests[cls] > 0 || !unknown) {
                    double span = cycleSeconds > seconds ? Math.max(seconds, newSpanSeconds[cls]) : seconds;
                    double weight = 1 - Math.pow(1 - smoothing, span / seconds);
                    usage[cls] += weight * (newRequests[cls] / span - usage[cls]);
                }
                newRequests[cls] = 0;
                newSpanSeconds[cls] = 0;
            }
        }

        void moveTo(int number, Pool pool) {
            if (pools[pool.group] != null) {
                pools[pool.group].proxies.remove(number);
            }
            pools[pool.group] = pool;
            pool.proxies.put(number, this);
        }
    }

    /** A table shared by several proxies for one group of classes. */
    static final class Pool {
        final int table;
        final int group;
        final TreeSet<Backend> members = new TreeSet<>();
        /** The table's lines as they were sent. */
        final TreeMap<Backend, Double> sentWeights = new TreeMap<>();
        final TreeMap<Integer, ProxyState> proxies = new TreeMap<>();
        /** The levels as they were sent, by class. */
        final Map<Integer, Double> sentLevels = new TreeMap<>();
        /** The retry rule as it was sent with the levels. */
        ControlApi.RetryPolicy sentRetry;

        /** How many pools of this set hold each backend; one map for the whole set. */
        final Map<Backend, Integer> poolCounts;

        /** Work rate of its proxies when tables were last computed. */
        double demand = 1;

        Pool(int table, int group) {
            this(table, group, new TreeMap<>());
        }

        private Pool(int table, int group, Map<Backend, Integer> poolCounts) {
            this.table = table;
            this.group = group;
            this.poolCounts = poolCounts;
        }

        /** Returns a further pool of the same set. */
        Pool sibling(int siblingTable) {
            return new Pool(siblingTable, group, poolCounts);
        }

        void add(Backend backend) {
            if (members.add(backend)) {
                poolCounts.merge(backend, 1, Integer::sum);
            }
        }

        void remove(Backend backend) {
            if (members.remove(backend)) {
                poolCounts.computeIfPresent(backend, (key, count) -> count == 1 ? null : count - 1);
            }
        }

        /** How many pools of its set hold a backend. */
        int poolCount(Backend backend) {
            return poolCounts.getOrDefault(backend, 0);
        }

        /**
         * Its members' part of the flows, each divided among the pools that hold the member, over its demand.
         */
        double supplyRatio(Map<Backend, Double> flows) {
            return members.stream()
                    .mapToDouble(backend -> flows.getOrDefault(backend, 0.0) / poolCount(backend))
                    .sum() / demand;
        }

        List<ProxyState> boundProxies() {
            return proxies.values().stream().filter(proxy -> proxy.bound).toList();
        }
    }

    /** A line's weight as it should be and as it was sent. */
    record WeightChange(Pool pool, Backend backend, double weight, double sentWeight) {

        /** The size of the change, relative to the larger of the two weights. */
        double relativeSize() {
            return Math.abs(weight - sentWeight) / Math.max(1e-9, Math.max(sentWeight, weight));
        }
    }

    /**
     * The due times of all kinds of timers, so that one wait has one timer however many decisions it spans.
     */
    static final class Timers {
        static final int ROUND = 0;
        static final int ASK = 1;
        static final int SEND = 2;
        static final int BIND = 3;

        private final long[] dueAt = new long[BIND + 1];

        /** Orders a timer of a kind, unless a pending one is due as early. */
        void set(long now, long time, int kind, List<Action> orders) {
            if (dueAt[kind] <= now || time < dueAt[kind]) {
                dueAt[kind] = time;
                orders.add(new TimerAt(time, kind));
            }
        }
    }

    /** A marked reply: the lines sent before it, its lines for each message, and how many were answered. */
    static final class SentMark {
        final int number;
        final double linesBefore;
        final double linesPerMessage;
        final int messages;
        /** Where only some messages are marked: all lines up to each of these, by proxy. */
        final Map<Integer, Double> linesThrough;
        int answers;

        SentMark(int number, double linesBefore, double linesPerMessage, int messages,
                Map<Integer, Double> linesThrough) {
            this.messages = messages;
            this.number = number;
            this.linesBefore = linesBefore;
            this.linesPerMessage = linesPerMessage;
            this.linesThrough = linesThrough;
        }

        /** Takes in the answer of one proxy; returns the lines that have left the channel by it. */
        double confirmedBy(int proxy) {
            answers++;
            int messagesSent = answers >= messages ? messages : answers - 1;
            return linesThrough.isEmpty() ? linesBefore + linesPerMessage * messagesSent
                    : linesThrough.getOrDefault(proxy, linesBefore);
        }
    }

    /** Estimates how many lines wait in the channel, from what was ordered and which marks were answered. */
    static final class ChannelBacklog {
        /** Mark numbers wrap around here. */
        private static final int MARK_NUMBERS = 65536;
        private static final int MAX_PENDING_MARKS = 4096;

        private final ArrayDeque<SentMark> pendingMarks = new ArrayDeque<>();
        /** Lines of all closed replies. */
        private double sentLines;
        /** Of those, the lines that answered marks show to have left the channel. */
        private double confirmedLines;
        /** Lines assumed to have left since the last mark that confirmed more. */
        private double assumedLines;
        private double replyLines;
        int replyCount = 1;
        /** The lines of the reply's messages by proxy, which is the order in which they are sent. */
        private final TreeMap<Integer, Double> replyMessages = new TreeMap<>();
        private double linesSinceMark;

        /**
         * Adds an order of this reply to one proxy.
         *
         * @param lines the order's own lines
         * @param messageOverhead the lines that a message itself takes; counted with the proxy's first order
         */
        void add(ProxyState proxy, double lines, double messageOverhead) {
            boolean first = proxy.lastMessageReply != replyCount;
            proxy.lastMessageReply = replyCount;
            double added = lines + (first ? messageOverhead : 0);
            replyMessages.merge(proxy.number, added, Double::sum);
            replyLines += added;
        }

        /** Whether the reply sends anything. */
        boolean hasReply() {
            return replyLines > 0;
        }

        /** Ends the reply; returns the number to mark all of its messages with, or -1 if it sends nothing. */
        int closeReply() {
            if (replyLines == 0) {
                return -1;
            }
            int messages = replyMessages.size();
            double linesPerMessage = messages == 0 ? 0 : replyLines / messages;
            return addMark(new SentMark(nextMarkNumber(), sentLines, linesPerMessage, messages, Map.of()));
        }

        /**
         * Ends the reply, of which only some messages are marked: one whenever so many lines were sent since
         * the last mark, and one if no mark is to be answered. Each mark is a line more.
         *
         * @return the marked proxies; the number of the mark is {@link #lastMarkNumber}
         */
        List<Integer> closeReply(double linesBetweenMarks) {
            TreeMap<Integer, Double> linesThrough = new TreeMap<>();
            double lines = sentLines;
            for (Map.Entry<Integer, Double> message : replyMessages.entrySet()) {
                lines += message.getValue();
                linesSinceMark += message.getValue();
                boolean unmarked = pendingMarks.isEmpty() && linesThrough.isEmpty();
                if (unmarked || linesSinceMark >= linesBetweenMarks) {
                    lines++;
                    linesSinceMark = 0;
                    linesThrough.put(message.getKey(), lines);
                }
            }
            replyLines = lines - sentLines;
            if (linesThrough.isEmpty()) {
                replyCount += replyLines > 0 ? 1 : 0;
                endReply();
            } else {
                addMark(new SentMark(nextMarkNumber(), sentLines, 0, linesThrough.size(), linesThrough));
            }
            return List.copyOf(linesThrough.keySet());
        }

        /** The number of the last mark. */
        int lastMarkNumber() {
            return Math.floorMod(replyCount - 1, MARK_NUMBERS);
        }

        private int nextMarkNumber() {
            return Math.floorMod(replyCount++, MARK_NUMBERS);
        }

        private int addMark(SentMark mark) {
            pendingMarks.add(mark);
            if (pendingMarks.size() > MAX_PENDING_MARKS) {
                pendingMarks.poll(); // unanswered for long; an answer to a later mark covers it
            }
            endReply();
            return mark.number;
        }

        private void endReply() {
            sentLines += replyLines;
            replyLines = 0;
            replyMessages.clear();
        }

        int pendingMarkCount() {
            return pendingMarks.size();
        }

        /**
         * Assumes that lines have left, until a mark confirms more: the channel may be slower than assumed.
         */
        void assumeSent(double lines) {
            assumedLines = Math.min(sentLines - confirmedLines, assumedLines + lines);
        }

        /**
         * Takes in the answer of one proxy to a mark: all replies before it have left the channel, and so has
         * the part of its own reply up to the proxy's message. Where all messages are marked it is not known
         * which message that was: one message counts for each answer, but one until the last is answered.
         */
        void markApplied(int proxy, int mark) {
            if (pendingMarks.stream().noneMatch(pending -> pending.number == mark)) {
                return;
            }
            while (pendingMarks.peek().number != mark) {
                pendingMarks.poll();
            }
            SentMark answered = pendingMarks.peek();
            double confirmed = answered.confirmedBy(proxy);
            if (answered.answers >= answered.messages && !answered.linesThrough.isEmpty()) {
                pendingMarks.poll();
            }
            if (confirmed > confirmedLines) {
                confirmedLines = confirmed;
                assumedLines = 0;
            }
        }

        /** The most lines that may still wait in the channel, those of this reply included. */
        double waitingLines() {
            return sentLines - confirmedLines - assumedLines + replyLines;
        }
    }

    static double sum(Collection<Double> values) {
        return values.stream().mapToDouble(value -> value).sum();
    }

    /** Returns the upper median, or 0 if there are no values. */
    static double median(Collection<Double> values) {
        return values.isEmpty() ? 0 : values.stream().sorted().skip(values.size() / 2).findFirst().orElse(0d);
    }
}
