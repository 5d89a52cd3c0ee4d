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

/** What one instance keeps of its proxies, pools and channel: plain state and sums, no decision. */
final class FleetState {

    private FleetState() { }

    /** How the joined proxies of one region fare at one backend. */
    static final class PathStats {
        double tries;
        double failed;
        double latencySum;
        double newTries;
        double newFailed;
        double newLatencySum;
        double newSpanSeconds; // seconds
        double lastFailureFraction;
        double lastLatencyNs;
        long suspendedUntil;
        long trialEvaluationAt;
        double health = 1;

        static PathStats[] newArray(int regions) {
            PathStats[] fresh = new PathStats[regions];
            Arrays.setAll(fresh, r -> new PathStats());
            return fresh;
        }

        void add(Tally tally) {
            newTries += tally.tries();
            newSpanSeconds += tally.span() / 1e9;
            newFailed += tally.failed();
            newLatencySum += (double) tally.latency() * (tally.tries() - tally.failed());
        }

        /** Takes what came since the last round into the smoothed sums; too few tries tell nothing alone. */
        void endRound(double smooth, double enough) {
            double usual = tries < enough ? 0 : failed / tries;
            lastFailureFraction = newTries < enough / 2 ? usual : newFailed / newTries;
            boolean few = newTries - newFailed < enough / 2;
            double lately = few ? 0 : newLatencySum / (newTries - newFailed);
            tries += newTries - smooth * tries;
            failed += newFailed - smooth * failed;
            latencySum += newLatencySum - smooth * latencySum;
            lastLatencyNs = few && tries - failed >= enough / 2 ? latencySum / (tries - failed) : lately;
            newTries = 0;
            newFailed = 0;
            newLatencySum = 0;
            newSpanSeconds = 0;
        }
    }

    /** One proxy. Usage and what is new of it go by class; spans and silences are seconds. */
    static final class ProxyState {
        int zone;
        boolean joined;
        boolean hasReported;
        boolean bound;
        double presence; // its part in the smoothed sums of reports: 0 before its first round, towards 1
        long leftAt;
        long joinedAt;
        final double[] usage;
        final double[] newRequests;
        final double[] newSpanSeconds;
        final double[] silentSeconds;
        final Pool[] pools;
        int lastMessageReply;

        ProxyState(int classes, int groups) {
            usage = new double[classes];
            newRequests = new double[classes];
            newSpanSeconds = new double[classes];
            silentSeconds = new double[classes];
            pools = new Pool[groups];
        }

        void join(int itsZone, long now) {
            zone = itsZone;
            joinedAt = now;
            joined = true;
            Arrays.fill(newRequests, 0); // what was told late of its time before
            Arrays.fill(newSpanSeconds, 0);
            hasReported = false;
            bound = false;
        }

        /** Whether it may hold a line of a backend; of one not bound yet nothing is known. */
        boolean mayHold(Backend backend, boolean boundOnly) {
            return joined && (bound ? Arrays.stream(pools).anyMatch(p -> p.sentWeights.containsKey(backend))
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
            newRequests[report.cls()] += report.requests();
            newSpanSeconds[report.cls()] += report.span() / 1e9;
        }

        /**
         * A round's usage, smoothed: rates by the span that a report states. Where a cycle of all reports
         * takes more than a round, a proxy without a line is unknown, not idle. Times in seconds.
         */
        void endRound(double seconds, double cycle, double smooth) {
            for (int c = 0; c < usage.length; c++) {
                silentSeconds[c] = newRequests[c] > 0 ? 0 : silentSeconds[c] + seconds;
                boolean unknown = cycle > seconds && silentSeconds[c] < 2 * cycle;
                if (newRequests[c] > 0 || !unknown) {
                    double span = cycle > seconds ? Math.max(seconds, newSpanSeconds[c]) : seconds;
                    double fresh = 1 - Math.pow(1 - smooth, span / seconds);
                    usage[c] += fresh * (newRequests[c] / span - usage[c]);
                }
                newRequests[c] = 0;
                newSpanSeconds[c] = 0;
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

    /** A shared table of a group of classes: its backends, the lines and levels sent, the proxies on it. */
    static final class Pool {
        final int table;
        final int group;
        final TreeSet<Backend> members = new TreeSet<>();
        final TreeMap<Backend, Double> sentWeights = new TreeMap<>();
        final TreeMap<Integer, ProxyState> proxies = new TreeMap<>();
        final Map<Integer, Double> sentLevels = new TreeMap<>();
        ControlApi.Retry sentRetry; // as sent with them

        final Map<Backend, Integer> poolCounts; // of its set: how many pools hold each backend

        double demand = 1; // as of the last laying of tables

        Pool(int table, int group) {
            this(table, group, new TreeMap<>());
        }

        private Pool(int table, int group, Map<Backend, Integer> holders) {
            this.table = table;
            this.group = group;
            this.poolCounts = holders;
        }

        /** One more pool of the same set. */
        Pool sibling(int itsTable) {
            return new Pool(itsTable, group, poolCounts);
        }

        void add(Backend backend) {
            if (members.add(backend)) {
                poolCounts.merge(backend, 1, Integer::sum);
            }
        }

        void remove(Backend backend) {
            if (members.remove(backend)) {
                poolCounts.computeIfPresent(backend, (b, n) -> n == 1 ? null : n - 1);
            }
        }

        /** How many pools of its set hold a backend. */
        int poolCount(Backend backend) {
            return poolCounts.getOrDefault(backend, 0);
        }

        /** Its members' part of the flows, shared with the pools that hold them too, over its demand. */
        double supplyRatio(Map<Backend, Double> flows) {
            return members.stream().mapToDouble(b -> flows.getOrDefault(b, 0.0) / poolCount(b)).sum() / demand;
        }

        List<ProxyState> boundProxies() {
            return proxies.values().stream().filter(p -> p.bound).toList();
        }
    }

    /** A line as it should be and as it was sent. */
    record WeightChange(Pool pool, Backend backend, double weight, double sentWeight) {

        /** How far it is off, relative to the larger of the two. */
        double relativeSize() {
            return Math.abs(weight - sentWeight) / Math.max(1e-9, Math.max(sentWeight, weight));
        }
    }

    /** When each kind of timer is due, so that one wait has one timer however often its module decides. */
    static final class Timers {
        static final int ROUND = 0;
        static final int ASK = 1;
        static final int SEND = 2;
        static final int BIND = 3;

        private final long[] dueAt = new long[BIND + 1];

        /** Orders a timer of a kind, unless one that is still to come is due as early. */
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
        int answers;

        SentMark(int number, double linesBefore, double linesEach, int messages) {
            this.messages = messages;
            this.number = number;
            this.linesBefore = linesBefore;
            this.linesPerMessage = linesEach;
        }
    }

    /** Books what the channel was given and, by the marks answered, what has surely left it. */
    static final class ChannelBacklog {
        private static final int MARK_NUMBERS = 65536;
        private static final int MAX_PENDING_MARKS = 4096;

        private final ArrayDeque<SentMark> pendingMarks = new ArrayDeque<>();
        private double sentLines;
        private double confirmedLines; // of that, what marks have told to have left
        private double assumedLines; // and what is taken to have left since the last that told more
        private double replyLines;
        int replyCount = 1;
        private int replyMessages;

        /** One more order of this reply, with lines of its own; the first for a proxy opens its message. */
        void add(ProxyState proxy, double lines, double head) {
            boolean first = proxy.lastMessageReply != replyCount;
            proxy.lastMessageReply = replyCount;
            replyMessages += first ? 1 : 0;
            replyLines += lines + (first ? head : 0);
        }

        /** The number to mark this reply with, or -1 if it sends nothing. */
        int closeReply() {
            if (replyLines == 0) {
                return -1;
            }
            int number = Math.floorMod(replyCount++, MARK_NUMBERS);
            pendingMarks.add(new SentMark(number, sentLines, replyMessages == 0 ? 0 : replyLines / replyMessages, replyMessages));
            if (pendingMarks.size() > MAX_PENDING_MARKS) {
                pendingMarks.poll(); // nobody answers; an answer to a later one counts for it
            }
            sentLines += replyLines;
            replyLines = 0;
            replyMessages = 0;
            return number;
        }

        int pendingMarkCount() {
            return pendingMarks.size();
        }

        /** Assumed to have left, until a mark tells: a channel may run slower still than is assumed. */
        void assumeSent(double lines) {
            assumedLines = Math.min(sentLines - confirmedLines, assumedLines + lines);
        }

        /**
         * A mark answered: all before it has left, and so has its part of the reply. Which messages of the
         * reply these were is not known, so that one is held back until the last has answered.
         */
        void markApplied(int mark) {
            if (pendingMarks.stream().anyMatch(m -> m.number == mark)) {
                while (pendingMarks.peek().number != mark) {
                    pendingMarks.poll();
                }
                SentMark first = pendingMarks.peek();
                first.answers++;
                int left = first.answers >= first.messages ? first.messages : first.answers - 1;
                double by = first.linesBefore + first.linesPerMessage * left;
                if (by > confirmedLines) {
                    confirmedLines = by;
                    assumedLines = 0;
                }
            }
        }

        /** The most lines that may still be in the channel, this reply's among them. */
        double waitingLines() {
            return sentLines - confirmedLines - assumedLines + replyLines;
        }
    }

    static double sum(Collection<Double> values) {
        return values.stream().mapToDouble(v -> v).sum();
    }

    static double median(Collection<Double> values) {
        return values.isEmpty() ? 0 : values.stream().sorted().skip(values.size() / 2).findFirst().orElse(0d);
    }
}
