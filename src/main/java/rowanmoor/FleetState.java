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
        double newSpan; // seconds
        double lastFailing;
        double lastLatency;
        long restUntil;
        long trialFrom;
        double health = 1;

        static PathStats[] fresh(int regions) {
            PathStats[] fresh = new PathStats[regions];
            Arrays.setAll(fresh, r -> new PathStats());
            return fresh;
        }

        void hear(Tally tally) {
            newTries += tally.tries();
            newSpan += tally.span() / 1e9;
            newFailed += tally.failed();
            newLatencySum += (double) tally.latency() * (tally.tries() - tally.failed());
        }

        /** Takes what came since the last round into the smoothed sums; too few tries tell nothing alone. */
        void learn(double smooth, double enough) {
            double usual = tries < enough ? 0 : failed / tries;
            lastFailing = newTries < enough / 2 ? usual : newFailed / newTries;
            boolean few = newTries - newFailed < enough / 2;
            double lately = few ? 0 : newLatencySum / (newTries - newFailed);
            tries += newTries - smooth * tries;
            failed += newFailed - smooth * failed;
            latencySum += newLatencySum - smooth * latencySum;
            lastLatency = few && tries - failed >= enough / 2 ? latencySum / (tries - failed) : lately;
            newTries = 0;
            newFailed = 0;
            newLatencySum = 0;
            newSpan = 0;
        }
    }

    /** One proxy. Usage and what is new of it go by class; spans and silences are seconds. */
    static final class ProxyState {
        int zone;
        boolean joined;
        boolean heard;
        boolean bound;
        double present; // its part in the smoothed sums of reports: 0 before its first round, towards 1
        long leftAt;
        long joinedAt;
        final double[] usage;
        final double[] newUsage;
        final double[] newSpan;
        final double[] silent;
        final Pool[] pools;
        int messageOf;

        ProxyState(int classes, int groups) {
            usage = new double[classes];
            newUsage = new double[classes];
            newSpan = new double[classes];
            silent = new double[classes];
            pools = new Pool[groups];
        }

        void join(int itsZone, long now) {
            zone = itsZone;
            joinedAt = now;
            joined = true;
            Arrays.fill(newUsage, 0); // what was told late of its time before
            Arrays.fill(newSpan, 0);
            heard = false;
            bound = false;
        }

        /** Whether it may hold a line of a backend; of one not bound yet nothing is known. */
        boolean mayHold(Backend backend, boolean boundOnly) {
            return joined && (bound ? Arrays.stream(pools).anyMatch(p -> p.sent.containsKey(backend))
                    : !boundOnly);
        }

        void leave(int number, long now) {
            leftAt = joined ? now : leftAt;
            joined = false;
            for (Pool pool : pools) {
                pool.users.remove(number);
            }
        }

        void hear(Usage report) {
            newUsage[report.classIndex()] += report.requests();
            newSpan[report.classIndex()] += report.span() / 1e9;
        }

        /**
         * A round's usage, smoothed: rates by the span that a report states. Where a cycle of all reports
         * takes more than a round, a proxy without a line is unknown, not idle. Times in seconds.
         */
        void learn(double seconds, double cycle, double smooth) {
            for (int c = 0; c < usage.length; c++) {
                silent[c] = newUsage[c] > 0 ? 0 : silent[c] + seconds;
                boolean unknown = cycle > seconds && silent[c] < 2 * cycle;
                if (newUsage[c] > 0 || !unknown) {
                    double span = cycle > seconds ? Math.max(seconds, newSpan[c]) : seconds;
                    double fresh = 1 - Math.pow(1 - smooth, span / seconds);
                    usage[c] += fresh * (newUsage[c] / span - usage[c]);
                }
                newUsage[c] = 0;
                newSpan[c] = 0;
            }
        }

        void use(int number, Pool pool) {
            if (pools[pool.group] != null) {
                pools[pool.group].users.remove(number);
            }
            pools[pool.group] = pool;
            pool.users.put(number, this);
        }
    }

    /** A shared table of a group of classes: its backends, the lines and levels sent, the proxies on it. */
    static final class Pool {
        final int table;
        final int group;
        final TreeSet<Backend> members = new TreeSet<>();
        final TreeMap<Backend, Double> sent = new TreeMap<>();
        final TreeMap<Integer, ProxyState> users = new TreeMap<>();
        final Map<Integer, Double> levels = new TreeMap<>();
        ControlApi.RetryPolicy retry; // as sent with them

        final Map<Backend, Integer> holders; // of its set: how many pools hold each backend

        double demand = 1; // as of the last laying of tables

        Pool(int table, int group) {
            this(table, group, new TreeMap<>());
        }

        private Pool(int table, int group, Map<Backend, Integer> holders) {
            this.table = table;
            this.group = group;
            this.holders = holders;
        }

        /** One more pool of the same set. */
        Pool sibling(int itsTable) {
            return new Pool(itsTable, group, holders);
        }

        void add(Backend backend) {
            if (members.add(backend)) {
                holders.merge(backend, 1, Integer::sum);
            }
        }

        void remove(Backend backend) {
            if (members.remove(backend)) {
                holders.computeIfPresent(backend, (b, n) -> n == 1 ? null : n - 1);
            }
        }

        /** How many pools of its set hold a backend. */
        int holding(Backend backend) {
            return holders.getOrDefault(backend, 0);
        }

        /** Its members' part of the flows, shared with the pools that hold them too, over its demand. */
        double supply(Map<Backend, Double> flows) {
            return members.stream().mapToDouble(b -> flows.getOrDefault(b, 0.0) / holding(b)).sum() / demand;
        }

        List<ProxyState> bound() {
            return users.values().stream().filter(p -> p.bound).toList();
        }
    }

    /** A line as it should be and as it was sent. */
    record Change(Pool pool, Backend backend, double weight, double was) {

        /** How far it is off, relative to the larger of the two. */
        double size() {
            return Math.abs(weight - was) / Math.max(1e-9, Math.max(was, weight));
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
        final double linesEach;
        final int messages;
        int answered;

        SentMark(int number, double linesBefore, double linesEach, int messages) {
            this.messages = messages;
            this.number = number;
            this.linesBefore = linesBefore;
            this.linesEach = linesEach;
        }
    }

    /** Books what the channel was given and, by the marks answered, what has surely left it. */
    static final class Sent {
        private static final int MARKS = 65536;
        private static final int MARKS_KEPT = 4096;

        private final ArrayDeque<SentMark> marks = new ArrayDeque<>();
        private double sent;
        private double told; // of that, what marks have told to have left
        private double assumed; // and what is taken to have left since the last that told more
        private double reply;
        int replies = 1;
        private int messages;

        /** One more order of this reply, with lines of its own; the first for a proxy opens its message. */
        void book(ProxyState proxy, double lines, double head) {
            boolean first = proxy.messageOf != replies;
            proxy.messageOf = replies;
            messages += first ? 1 : 0;
            reply += lines + (first ? head : 0);
        }

        /** The number to mark this reply with, or -1 if it sends nothing. */
        int closeReply() {
            if (reply == 0) {
                return -1;
            }
            int number = Math.floorMod(replies++, MARKS);
            marks.add(new SentMark(number, sent, messages == 0 ? 0 : reply / messages, messages));
            if (marks.size() > MARKS_KEPT) {
                marks.poll(); // nobody answers; an answer to a later one counts for it
            }
            sent += reply;
            reply = 0;
            messages = 0;
            return number;
        }

        int marksKept() {
            return marks.size();
        }

        /** Assumed to have left, until a mark tells: a channel may run slower still than is assumed. */
        void drain(double lines) {
            assumed = Math.min(sent - told, assumed + lines);
        }

        /**
         * A mark answered: all before it has left, and so has its part of the reply. Which messages of the
         * reply these were is not known, so that one is held back until the last has answered.
         */
        void applied(int mark) {
            if (marks.stream().anyMatch(m -> m.number == mark)) {
                while (marks.peek().number != mark) {
                    marks.poll();
                }
                SentMark first = marks.peek();
                first.answered++;
                int left = first.answered >= first.messages ? first.messages : first.answered - 1;
                double by = first.linesBefore + first.linesEach * left;
                if (by > told) {
                    told = by;
                    assumed = 0;
                }
            }
        }

        /** The most lines that may still be in the channel, this reply's among them. */
        double waiting() {
            return sent - told - assumed + reply;
        }
    }

    static double sum(Collection<Double> values) {
        return values.stream().mapToDouble(v -> v).sum();
    }

    static double median(Collection<Double> values) {
        return values.isEmpty() ? 0 : values.stream().sorted().skip(values.size() / 2).findFirst().orElse(0d);
    }
}
