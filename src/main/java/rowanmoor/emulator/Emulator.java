package rowanmoor.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Idempotency;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probed;
import rowanmoor.channel.Frame;
import rowanmoor.controller.Driver;
import rowanmoor.discovery.Prober;
import rowanmoor.proxy.Router;
import rowanmoor.proxy.Tallies;

/**
 * Runs one {@link Model}. The controllers' {@link Driver} (with the decision module) and the proxies'
 * {@link Router} are the production classes; clients, network, backends and roster are simulated. Requests
 * are kept in arrays, so that none allocates memory on its way.
 */
public final class Emulator {

    // Kinds of events. The two arguments of an event depend on its kind; see dispatch.
    private static final int ARRIVAL = 0;
    private static final int AT_PROXY = 1;
    private static final int AT_BACKEND = 2;
    private static final int BACKEND_TIMER = 3;
    private static final int ANSWERED = 4;
    private static final int REFUSED = 5;
    private static final int LOST = 6;
    private static final int CLIENT_TIMEOUT = 7;
    private static final int CLIENT_RETRY = 8;
    private static final int PROXY_REPORT = 9;
    private static final int CONTROLLER_TICK = 10;
    private static final int MESSAGE_TO_PROXY = 11;
    private static final int MESSAGE_TO_CONTROLLER = 12;
    private static final int PROBE_RESULT = 13;
    private static final int FAULT_BEGIN = 14;
    private static final int FAULT_END = 15;
    private static final int ROSTER_ANSWER = 16;
    private static final int PROXY_CONNECT = 17;
    private static final int MEASURE_UTILIZATION = 18;
    private static final int CONNECT_FAILED = 19;
    private static final int TRY_TIMEOUT = 20;

    private static final long START_NS = 1_000_000_000_000_000L;
    private static final long NS_PER_MS = 1_000_000L;
    private static final double NS_PER_SECOND = 1e9;
    /** Backends report an exponentially weighted mean latency; each answer has the weight 1 / this. */
    private static final double LATENCY_SAMPLES = 8;
    private static final long MIN_TICK_INTERVAL_NS = 5 * NS_PER_MS;
    private static final long REDIAL_DELAY_NS = 300 * NS_PER_MS;
    private static final long SILENCE_TIMEOUT_NS = 3000 * NS_PER_MS;
    private static final long IDLE_CONNECTION_TIMEOUT_NS = 15_000 * NS_PER_MS;
    /** With more proxy-backend pairs, connections are not tracked and their limits do not apply. */
    private static final int MAX_CONNECTION_PAIRS = 8_000_000;
    /** Time after the end of the load within which the remaining requests may end. */
    private static final long MAX_TAIL_NS = 30_000 * NS_PER_MS;

    private final Model model;
    private final EventQueue eventQueue = new EventQueue();
    private final SplittableRandom arrivalRandom;
    private final SplittableRandom workRandom;
    private final SplittableRandom delayRandom;
    private final SimulatedBackend[] servers;
    private final Backend[] backends;
    private final Availability[] availability;
    private final long[] startedAt;
    private final Router[] routers;
    private final Tallies[] tallies;
    private final int[] controllerOf;
    private final boolean[] partitioned;
    private final long[] lastDeliveryAt;
    private final int[] streamNumber;
    private final Driver[] drivers;
    private final boolean[] controllerDown;
    private final long[] nextTickAt;
    private final long[] lastTickAt;
    private final long[] utilizationSampledAt;
    private final double[] sampledBusySeconds;
    private final double[] sampledUtilization;
    private final double[] meanLatencyMs;
    private final double[] errorFraction;
    private final double[] cumulativeProxyWeights;
    // The peak is the time from the end of the ramp-up to the end of the load.
    private final double[] busySecondsAtPeakStart;
    private long peakStartedAt;
    // Objects that events refer to by index, such as frames in transit.
    private final List<Object> payloads = new ArrayList<>();
    private final List<Integer> freePayloads = new ArrayList<>();
    private final Outcome outcome;
    private final double[] goodWorth;
    private final double[] offeredWorth;
    private long now = START_NS;
    private boolean rosterDown;
    private double burstFactor = 1;
    private long lastEpoch;
    private long rosterVersion = 1;
    // Sum over all jobs of the time that each spent at its backend, queued or running.
    private double totalStaySeconds;
    private long eventCount;

    // Requests, by number; numbers of ended requests are reused.
    private int[] requestClass = new int[1024];
    private int[] requestProxy = new int[1024];
    private int[] requestBackend = new int[1024];
    private int[] firstTried = new int[1024];
    private int[] lastTried = new int[1024];
    private int[] tryId = new int[1024];
    private long[] tryDeadline = new long[1024];
    private int[] proxyTries = new int[1024];
    private int[] clientTries = new int[1024];
    private int[] clientTryId = new int[1024];
    private long[] arrivedAt = new long[1024];
    private long[] sentAt = new long[1024];
    private double[] requestWork = new double[1024];
    private boolean[] tryPending = new boolean[1024];
    private boolean[] connected = new boolean[1024];
    private int[] freeRequests = new int[1024];
    private int freeRequestCount;
    private int usedRequests;

    // A job is one request's stay at a backend; it may outlast the try that it was for.
    private int[] currentJob = new int[1024];
    private int[] jobRequest = new int[1024];
    private int[] jobTryId = new int[1024];
    private long[] jobArrivedAt = new long[1024];
    private double[] jobWork = new double[1024];
    private int[] freeJobs = new int[1024];
    private int freeJobCount;
    private int usedJobs;

    // Idle connections of each proxy-backend pair, as a linked list with the most recently used first.
    // Null if no backend limits its connections or if there are more than MAX_CONNECTION_PAIRS pairs.
    private final int[] newestIdle;
    private int[] idleNext = new int[1024];
    private long[] idleSince = new long[1024];
    private int freeIdle = -1;
    private int usedIdle;
    private final int[] openConnections;

    private Emulator(Model model, long seed) {
        this.model = model;
        SplittableRandom root = new SplittableRandom(seed);
        this.arrivalRandom = root.split();
        this.workRandom = root.split();
        this.delayRandom = root.split();
        SplittableRandom choices = root.split();
        int count = model.backends().size();
        int proxies = model.proxyZones().length;
        this.servers = new SimulatedBackend[count];
        this.backends = new Backend[count];
        this.availability = new Availability[count];
        this.startedAt = new long[count];
        for (int b = 0; b < count; b++) {
            servers[b] = new SimulatedBackend(model.backends().get(b), START_NS);
            backends[b] = new Backend(0x0a0000000000L + ((long) b << 16) + 80);
            availability[b] = Availability.READY;
        }
        this.utilizationSampledAt = new long[count];
        Arrays.fill(utilizationSampledAt, START_NS);
        this.sampledBusySeconds = new double[count];
        this.sampledUtilization = new double[count];
        this.meanLatencyMs = new double[count];
        this.errorFraction = new double[count];
        this.busySecondsAtPeakStart = new double[count];
        this.openConnections = new int[count];
        boolean limited = model.backends().stream().anyMatch(m -> m.maxConnections() > 0);
        boolean tracked = limited && (long) proxies * count <= MAX_CONNECTION_PAIRS;
        this.newestIdle = tracked ? new int[proxies * count] : null;
        if (tracked) {
            Arrays.fill(newestIdle, -1);
        }
        this.routers = new Router[proxies];
        this.tallies = new Tallies[proxies];
        this.controllerOf = new int[proxies];
        this.partitioned = new boolean[proxies];
        this.lastDeliveryAt = new long[proxies];
        this.streamNumber = new int[proxies];
        this.cumulativeProxyWeights = new double[proxies];
        double sum = 0;
        for (int p = 0; p < proxies; p++) {
            routers[p] = new Router(model.site(), standingTable(model.proxyZones()[p], choices),
                    choices.split(), START_NS);
            tallies[p] = new Tallies(START_NS);
            controllerOf[p] = -1;
            sum += model.proxyWeights()[p];
            cumulativeProxyWeights[p] = sum;
        }
        int controllers = model.controllerZones().size();
        this.drivers = new Driver[controllers];
        this.controllerDown = new boolean[controllers];
        this.nextTickAt = new long[controllers];
        this.lastTickAt = new long[controllers];
        int seconds = (int) (model.durationNs() / 1_000_000_000L) + 1;
        this.goodWorth = new double[seconds];
        this.offeredWorth = new double[seconds];
        this.outcome = new Outcome(newList(model.classShares().length, Outcome.ClassStats::new),
                newList(count, Outcome.BackendStats::new), newList(controllers, Outcome.ControllerStats::new),
                goodWorth, offeredWorth, 0, 0);
        for (int c = 0; c < controllers; c++) {
            startController(c, choices.nextLong());
        }
        for (int p = 0; p < proxies; p++) {
            // Proxies of each zone are spread over the controllers, so that each controller has proxies of
            // all zones.
            int first = p / model.site().zones().size() % controllers;
            eventQueue.add(START_NS + (long) (choices.nextDouble() * NS_PER_MS * 500), PROXY_CONNECT, p,
                    first);
            eventQueue.add(START_NS + (long) (choices.nextDouble() * model.site().reportIntervalNs()),
                    PROXY_REPORT, p, 0);
        }
        for (int t = 0; t < model.faults().size(); t++) {
            eventQueue.add(loadStart() + model.faults().get(t).startNs(), FAULT_BEGIN, t, 0);
        }
        eventQueue.add(loadStart(), ARRIVAL, 0, 0);
        eventQueue.add(loadStart() + Math.min(model.rampNs(), model.durationNs() / 2), MEASURE_UTILIZATION, 0,
                0);
        eventQueue.add(loadStart() + model.durationNs(), MEASURE_UTILIZATION, 1, 0);
    }

    private static <T> List<T> newList(int count, java.util.function.Supplier<T> make) {
        List<T> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(make.get());
        }
        return all;
    }

    /** Runs a model to its end. The same model and seed give the same outcome. */
    public static Outcome run(Model model, long seed) {
        return new Emulator(model, seed).run();
    }

    private long loadStart() {
        return START_NS + model.settleNs();
    }

    /** Draws a proxy's backends until it receives a table; from its own zone if that has three. */
    private List<Backend> standingTable(int zone, SplittableRandom random) {
        List<Backend> own = new ArrayList<>();
        for (int b = 0; b < backends.length; b++) {
            if (model.backends().get(b).zone() == zone) {
                own.add(backends[b]);
            }
        }
        List<Backend> from = own.size() >= 3 ? own : new ArrayList<>(List.of(backends));
        List<Backend> drawn = new ArrayList<>();
        while (drawn.size() < model.site().standingBackends() && !from.isEmpty()) {
            drawn.add(from.remove(random.nextInt(from.size())));
        }
        return drawn;
    }

    private Outcome run() {
        long end = loadStart() + model.durationNs() + MAX_TAIL_NS;
        while (eventQueue.poll() && eventQueue.time <= end) {
            now = Math.max(now, eventQueue.time);
            eventCount++;
            dispatch(eventQueue.kind, eventQueue.firstArg, eventQueue.secondArg);
            if (now > loadStart() + model.durationNs() && usedRequests == freeRequestCount
                    && usedJobs == freeJobCount && eventQueue.kind != PROXY_REPORT) {
                break; // every request has ended
            }
        }
        double heldSeconds = 0;
        for (int b = 0; b < servers.length; b++) {
            Outcome.BackendStats stats = outcome.backends().get(b);
            stats.maxQueued = servers[b].maxQueued();
            heldSeconds += servers[b].heldSeconds(now);
        }
        for (int c = 0; c < drivers.length; c++) {
            collectControllerStats(c);
        }
        // The integral of held requests over time and the sum of stays must agree (Little's law).
        double littlesLawError = totalStaySeconds == 0 ? 0
                : Math.abs(heldSeconds - totalStaySeconds) / totalStaySeconds;
        return new Outcome(outcome.classes(), outcome.backends(), outcome.controllers(), goodWorth,
                offeredWorth, littlesLawError, eventCount);
    }

    /**
     * Measures the backends' utilization at full load, between the call that begins and the one that ends it.
     */
    private void measureUtilization(boolean end) {
        for (int b = 0; b < servers.length; b++) {
            double busy = servers[b].busySeconds(now);
            if (end) {
                outcome.backends().get(b).utilization = (busy - busySecondsAtPeakStart[b])
                        / servers[b].spec().cores()
                        / Math.max(1e-9, (now - peakStartedAt) / NS_PER_SECOND);
            } else {
                busySecondsAtPeakStart[b] = busy;
            }
        }
        peakStartedAt = end ? peakStartedAt : now;
    }

    private void dispatch(int kind, int a, int b) {
        switch (kind) {
            case ARRIVAL -> arrive();
            case AT_PROXY -> routeTry(a, b);
            case AT_BACKEND -> onBackendArrival(a, b);
            case BACKEND_TIMER -> onBackendTimer(a, b);
            case ANSWERED -> onAnswered(a, b);
            case REFUSED -> onTryFailed(a, b, true, true);
            case LOST -> onTryFailed(a, b, false, false);
            case CLIENT_TIMEOUT -> onClientTimeout(a, b);
            case CONNECT_FAILED -> onTryFailed(a, b, true, false);
            case TRY_TIMEOUT -> onTryTimeout(a, b);
            case CLIENT_RETRY -> sendClientTry(a);
            case PROXY_REPORT -> sendReport(a);
            case CONTROLLER_TICK -> onTick(a, b);
            case MESSAGE_TO_PROXY -> onMessageAtProxy(a, b);
            case MESSAGE_TO_CONTROLLER -> onMessageAtController(a, b);
            case PROBE_RESULT -> onProbeResult(a, b);
            case FAULT_BEGIN -> beginFault(a);
            case FAULT_END -> endFault(a);
            case ROSTER_ANSWER -> onRosterAnswer(a);
            case PROXY_CONNECT -> connectToController(a, b);
            case MEASURE_UTILIZATION -> measureUtilization(a == 1);
            default -> throw new IllegalStateException("unknown event kind: " + kind);
        }
    }

    // ---- clients -------------------------------------------------------------------------------------

    private void arrive() {
        if (now >= loadStart() + model.durationNs() || model.requestsPerSecond() <= 0) {
            return;
        }
        double rate = model.requestsPerSecond() * burstFactor * model.rateFraction(now - loadStart());
        double wait = -Math.log(1 - arrivalRandom.nextDouble()) / rate * NS_PER_SECOND;
        if (now > loadStart()) {
            int request = allocateRequest();
            requestClass[request] = pickWeighted(model.classShares(), arrivalRandom.nextDouble());
            requestProxy[request] = pickProxy(arrivalRandom.nextDouble());
            requestWork[request] = drawWork(requestClass[request]);
            arrivedAt[request] = now;
            clientTries[request] = 0;
            Outcome.ClassStats stats = outcome.classes().get(requestClass[request]);
            stats.offered++;
            offeredWorth[secondOf(now)] += model.site().classes().get(requestClass[request]).worth();
            sendClientTry(request);
        }
        eventQueue.add(now + Math.max(1, (long) wait), ARRIVAL, 0, 0);
    }

    /** The second of the load that a time falls in, at most the last. */
    private int secondOf(long time) {
        return (int) Math.min(offeredWorth.length - 1, (time - loadStart()) / 1_000_000_000L);
    }

    private static int pickWeighted(double[] parts, double at) {
        double sum = 0;
        for (double part : parts) {
            sum += part;
        }
        double left = at * sum;
        for (int i = 0; i < parts.length; i++) {
            left -= parts[i];
            if (left < 0) {
                return i;
            }
        }
        return parts.length - 1;
    }

    private int pickProxy(double at) {
        double target = at * cumulativeProxyWeights[cumulativeProxyWeights.length - 1];
        int index = Arrays.binarySearch(cumulativeProxyWeights, target);
        return Math.min(cumulativeProxyWeights.length - 1, index < 0 ? -index - 1 : index + 1);
    }

    /** Draws a request's work in seconds; the coefficient of variation selects the distribution. */
    private double drawWork(int cls) {
        double mean = model.workSeconds()[cls];
        double cv = model.workCv()[cls];
        if (cv == 0) {
            return mean;
        }
        if (cv == 1) {
            return -Math.log(1 - workRandom.nextDouble()) * mean;
        }
        double sigma2 = Math.log(1 + cv * cv);
        double normal = Math.sqrt(-2 * Math.log(1 - workRandom.nextDouble()))
                * Math.cos(2 * Math.PI * workRandom.nextDouble());
        return mean * Math.exp(Math.sqrt(sigma2) * normal - sigma2 / 2);
    }

    private int allocateRequest() {
        if (freeRequestCount > 0) {
            return freeRequests[--freeRequestCount];
        }
        if (usedRequests == requestClass.length) {
            growRequests();
        }
        return usedRequests++;
    }

    private void growRequests() {
        int capacity = 2 * usedRequests;
        requestClass = Arrays.copyOf(requestClass, capacity);
        requestProxy = Arrays.copyOf(requestProxy, capacity);
        requestBackend = Arrays.copyOf(requestBackend, capacity);
        firstTried = Arrays.copyOf(firstTried, capacity);
        lastTried = Arrays.copyOf(lastTried, capacity);
        tryId = Arrays.copyOf(tryId, capacity);
        tryDeadline = Arrays.copyOf(tryDeadline, capacity);
        proxyTries = Arrays.copyOf(proxyTries, capacity);
        clientTries = Arrays.copyOf(clientTries, capacity);
        clientTryId = Arrays.copyOf(clientTryId, capacity);
        arrivedAt = Arrays.copyOf(arrivedAt, capacity);
        sentAt = Arrays.copyOf(sentAt, capacity);
        currentJob = Arrays.copyOf(currentJob, capacity);
        requestWork = Arrays.copyOf(requestWork, capacity);
        tryPending = Arrays.copyOf(tryPending, capacity);
        connected = Arrays.copyOf(connected, capacity);
        freeRequests = Arrays.copyOf(freeRequests, capacity);
    }

    /** A client's try reaches its proxy at once, since the proxy runs next to the client. */
    private void sendClientTry(int request) {
        clientTries[request]++;
        proxyTries[request] = 0;
        requestBackend[request] = -1;
        firstTried[request] = -1;
        lastTried[request] = -1;
        tryPending[request] = false;
        currentJob[request] = -1;
        int id = ++clientTryId[request];
        outcome.classes().get(requestClass[request]).tries++;
        long deadline = model.site().classes().get(requestClass[request]).deadline();
        long left = arrivedAt[request] + deadline - now;
        eventQueue.add(now + Math.max(1, Math.min(left, (long) (model.tryTimeoutFraction() * deadline))),
                CLIENT_TIMEOUT, request, id);
        eventQueue.add(now, AT_PROXY, request, id);
    }

    private void onClientTimeout(int request, int id) {
        if (clientTryId[request] != id) {
            return;
        }
        if (tryPending[request]) {
            cancelTry(request);
            // not counted as a failure
            routers[requestProxy[request]].onTryEnded(backends[requestBackend[request]], true, now);
        }
        tallies[requestProxy[request]].onUnanswered(requestClass[request]);
        onClientTryFailed(request, false);
    }

    /** The proxy closes the connection of its try: queued work is removed, running work runs on. */
    private void cancelTry(int request) {
        int job = currentJob[request];
        if (job >= 0 && servers[requestBackend[request]].removeQueued(now, job)) {
            endJob(job);
        }
        currentJob[request] = -1;
        tryId[request]++;
        tryPending[request] = false;
        if (connected[request]) {
            releaseConnection(requestProxy[request], requestBackend[request], false);
        }
    }

    /** A try exceeded its own time limit: the proxy abandons it and may try another backend. */
    private void onTryTimeout(int request, int id) {
        if (tryId[request] == id && tryPending[request] && tryDeadline[request] == now) {
            cancelTry(request);
            Backend tried = backends[requestBackend[request]];
            routers[requestProxy[request]].onTryEnded(tried, false, now);
            tallies[requestProxy[request]].onTryEnded(tried, false, now - sentAt[request], List.of());
            retryOrFail(request, false, false);
        }
    }

    private void onClientTryFailed(int request, boolean refused) {
        clientTryId[request]++;
        tryId[request]++;
        var spec = model.site().classes().get(requestClass[request]);
        boolean mayRetry = refused || spec.idempotency() == Idempotency.SAFE;
        if (mayRetry && clientTries[request] <= model.maxClientRetries()
                && now + model.retryBackoffNs() < arrivedAt[request] + spec.deadline()) {
            eventQueue.add(now + model.retryBackoffNs(), CLIENT_RETRY, request, 0);
        } else {
            outcome.classes().get(requestClass[request]).failed++;
            releaseRequest(request);
        }
    }

    private void releaseRequest(int request) {
        clientTryId[request]++;
        tryId[request]++;
        freeRequests[freeRequestCount++] = request;
    }

    // ---- proxies -------------------------------------------------------------------------------------

    private void routeTry(int request, int id) {
        if (clientTryId[request] != id) {
            return;
        }
        int p = requestProxy[request];
        int c = requestClass[request];
        if (proxyTries[request] == 0) {
            tallies[p].onRequest(c);
            if (!routers[p].tryAdmit(c, now)) {
                outcome.classes().get(c).rejectedByLevel++;
                onClientTryFailed(request, true);
                return;
            }
        }
        Backend picked = routers[p].pick(c, tried(request), now);
        if (picked == null) {
            outcome.classes().get(c).noBackend++;
            tallies[p].onUnanswered(c);
            onClientTryFailed(request, true);
            return;
        }
        int b = (int) (picked.id() >> 16 & 0xffffff);
        requestBackend[request] = b;
        proxyTries[request]++;
        sentAt[request] = now;
        tryPending[request] = true;
        routers[p].onTrySent(picked);
        int currentTryId = ++tryId[request];
        long timeout = routers[p].tryTimeoutNs(c);
        if (timeout > 0) {
            tryDeadline[request] = now + timeout;
            eventQueue.add(now + timeout, TRY_TIMEOUT, request, currentTryId);
        }
        connected[request] = acquireConnection(p, b);
        if (!connected[request]) {
            // The operating system accepts the connection and the request, then the backend closes it: that
            // does not prove that the request never ran.
            outcome.backends().get(b).refusedConnections++;
            eventQueue.add(now + 2 * drawDelay(p, b), LOST, request, currentTryId);
            return;
        }
        eventQueue.add(now + drawDelay(p, b), AT_BACKEND, request, currentTryId);
    }

    /** The backends of the first and of the latest failed try, which the next pick avoids. */
    private Set<Backend> tried(int request) {
        int first = firstTried[request];
        int last = lastTried[request];
        return first < 0 ? Set.of() : first == last ? Set.of(backends[first])
                : Set.of(backends[first], backends[last]);
    }

    private long drawDelay(int p, int b) {
        boolean same = model.proxyZones()[p] == model.backends().get(b).zone();
        long mean = same ? model.sameZoneDelayNs() : model.crossZoneDelayNs();
        return (long) (mean * (0.75 + 0.5 * delayRandom.nextDouble()));
    }

    /** Takes an idle connection or opens one; false if the backend is at its limit. */
    private boolean acquireConnection(int p, int b) {
        if (newestIdle == null) {
            return true;
        }
        int index = p * servers.length + b;
        if (newestIdle[index] >= 0) {
            int taken = newestIdle[index];
            newestIdle[index] = idleNext[taken];
            idleNext[taken] = freeIdle;
            freeIdle = taken;
            return true;
        }
        int maxConnections = model.backends().get(b).maxConnections();
        if (maxConnections > 0 && openConnections[b] >= maxConnections) {
            return false;
        }
        openConnections[b]++;
        Outcome.BackendStats stats = outcome.backends().get(b);
        stats.maxConnections = Math.max(stats.maxConnections, openConnections[b]);
        return true;
    }

    private void releaseConnection(int p, int b, boolean reusable) {
        if (newestIdle != null && reusable && routers[p].uses(backends[b])) {
            int index = p * servers.length + b;
            int slot = freeIdle;
            if (slot >= 0) {
                freeIdle = idleNext[slot];
            } else {
                if (usedIdle == idleNext.length) {
                    idleNext = Arrays.copyOf(idleNext, 2 * usedIdle);
                    idleSince = Arrays.copyOf(idleSince, 2 * usedIdle);
                }
                slot = usedIdle++;
            }
            idleNext[slot] = newestIdle[index];
            idleSince[slot] = now;
            newestIdle[index] = slot;
        } else if (newestIdle != null) {
            openConnections[b]--;
        }
    }

    private void endTry(int request, boolean successful, boolean reusable) {
        int p = requestProxy[request];
        int b = requestBackend[request];
        tryPending[request] = false;
        routers[p].onTryEnded(backends[b], successful, now);
        tallies[p].onTryEnded(backends[b], successful, now - sentAt[request], List.of());
        if (connected[request]) {
            releaseConnection(p, b, reusable);
        }
    }

    private void onAnswered(int request, int id) {
        if (tryId[request] != id) {
            return;
        }
        endTry(request, true, true);
        var spec = model.site().classes().get(requestClass[request]);
        Outcome.ClassStats stats = outcome.classes().get(requestClass[request]);
        long latency = now - arrivedAt[request];
        if (latency <= spec.aim()) {
            stats.good++;
            goodWorth[secondOf(arrivedAt[request])] += spec.worth();
        } else {
            stats.late++;
            goodWorth[secondOf(arrivedAt[request])] += spec.worth() * spec.lateWorth();
        }
        stats.latency.recordValue(Math.min(latency / 1000, stats.latency.getHighestTrackableValue()));
        releaseRequest(request);
    }

    /**
     * A try failed.
     *
     * @param neverRan whether it is certain that the backend did not run the request
     * @param answered whether the backend answered with a 503, which the client receives if no other try
     *     follows
     */
    private void onTryFailed(int request, int id, boolean neverRan, boolean answered) {
        if (tryId[request] == id) {
            endTry(request, false, answered); // a backend that answers keeps its connection
            retryOrFail(request, neverRan, answered);
        }
    }

    private void retryOrFail(int request, boolean neverRan, boolean answered) {
        long left = arrivedAt[request] + model.site().classes().get(requestClass[request]).deadline() - now;
        if (routers[requestProxy[request]].mayRetry(requestClass[request], proxyTries[request], neverRan,
                left)) {
            lastTried[request] = requestBackend[request];
            firstTried[request] = firstTried[request] < 0 ? requestBackend[request] : firstTried[request];
            currentJob[request] = -1;
            routeTry(request, clientTryId[request]);
        } else {
            tallies[requestProxy[request]].onUnanswered(requestClass[request]);
            onClientTryFailed(request, answered);
        }
    }

    private void sendReport(int p) {
        int c = controllerOf[p];
        if (c >= 0 && !partitioned[p]) {
            Frame.Report report = tallies[p].takeReport(now);
            if (!report.tallies().isEmpty() || !report.usages().isEmpty()) {
                eventQueue.add(now + model.sameZoneDelayNs(), MESSAGE_TO_CONTROLLER, p,
                        storePayload(withLoadFigures(report)));
            }
        }
        if (newestIdle != null) {
            closeIdleConnections(p);
        }
        if (now < loadStart() + model.durationNs() + MAX_TAIL_NS) {
            eventQueue.add(now + model.site().reportIntervalNs(), PROXY_REPORT, p, 0);
        }
    }

    /**
     * Backends send load figures with their answers; here the figures at the time of the report stand for
     * them.
     */
    private Frame.Report withLoadFigures(Frame.Report report) {
        if (model.site().loadColumns().isEmpty()) {
            return report;
        }
        return new Frame.Report(report.tallies().stream().map(t -> new Frame.Tally(t.backend(), t.tries(),
                t.failed(), t.latencySum(), t.span(), t.tries() == t.failed() ? List.of()
                        : loadFigures((int) (t.backend().id() >> 16 & 0xffffff)))).toList(), report.usages());
    }

    private void closeIdleConnections(int p) {
        for (int b = 0; b < servers.length; b++) {
            int index = p * servers.length + b;
            if (newestIdle[index] >= 0) {
                long before = routers[p].uses(backends[b]) ? now - IDLE_CONNECTION_TIMEOUT_NS
                        : Long.MAX_VALUE;
                closeIdleBefore(index, b, before);
            }
        }
    }

    /** Closes a pair's connections that were last used before a time; they are at the end of its list. */
    private void closeIdleBefore(int index, int b, long before) {
        int previous = -1;
        int at = newestIdle[index];
        while (at >= 0 && idleSince[at] >= before) {
            previous = at;
            at = idleNext[at];
        }
        if (previous < 0) {
            newestIdle[index] = -1;
        } else {
            idleNext[previous] = -1;
        }
        while (at >= 0) {
            int next = idleNext[at];
            idleNext[at] = freeIdle;
            freeIdle = at;
            openConnections[b]--;
            at = next;
        }
    }

    // ---- backends ------------------------------------------------------------------------------------

    private void onBackendArrival(int request, int id) {
        if (tryId[request] != id) {
            return;
        }
        int b = requestBackend[request];
        SimulatedBackend server = servers[b];
        long answerAt = now + drawDelay(requestProxy[request], b);
        if (server.isDown()) {
            eventQueue.add(answerAt, CONNECT_FAILED, request, id);
            return;
        }
        if (errorFraction[b] > 0 && workRandom.nextDouble() < errorFraction[b]) {
            eventQueue.add(answerAt, LOST, request, id);
            return;
        }
        int job = allocateJob(request, id);
        if (!server.offer(now, job, requestWork[request])) {
            freeJobs[freeJobCount++] = job;
            outcome.backends().get(b).rejectedFull++;
            eventQueue.add(answerAt, REFUSED, request, id);
            return;
        }
        currentJob[request] = job;
        scheduleBackendTimer(b);
    }

    private int allocateJob(int request, int id) {
        if (freeJobCount == 0 && usedJobs == jobRequest.length) {
            int capacity = 2 * usedJobs;
            jobRequest = Arrays.copyOf(jobRequest, capacity);
            jobTryId = Arrays.copyOf(jobTryId, capacity);
            jobArrivedAt = Arrays.copyOf(jobArrivedAt, capacity);
            jobWork = Arrays.copyOf(jobWork, capacity);
            freeJobs = Arrays.copyOf(freeJobs, capacity);
        }
        int job = freeJobCount > 0 ? freeJobs[--freeJobCount] : usedJobs++;
        jobRequest[job] = request;
        jobTryId[job] = id;
        jobArrivedAt[job] = now;
        jobWork[job] = requestWork[request];
        return job;
    }

    private void scheduleBackendTimer(int b) {
        long next = servers[b].nextEventAt();
        if (next != Long.MAX_VALUE) {
            eventQueue.add(next, BACKEND_TIMER, b, servers[b].newTimerId());
        }
    }

    private void onBackendTimer(int b, int id) {
        SimulatedBackend server = servers[b];
        if (server.timerId() != id) {
            return;
        }
        for (int job = server.pollFinished(now); job >= 0; job = server.pollFinished(now)) {
            Outcome.BackendStats stats = outcome.backends().get(b);
            stats.served++;
            stats.staySeconds += (now - jobArrivedAt[job]) / NS_PER_SECOND;
            stats.workSeconds += jobWork[job];
            meanLatencyMs[b] += ((now - jobArrivedAt[job]) / (double) NS_PER_MS - meanLatencyMs[b])
                    / LATENCY_SAMPLES;
            int request = jobRequest[job];
            eventQueue.add(now + drawDelay(requestProxy[request], b), ANSWERED, request, jobTryId[job]);
            endJob(job);
            for (int next = server.pollQueued(); next >= 0; next = server.pollQueued()) {
                server.startQueued(next, jobWork[next]);
            }
        }
        scheduleBackendTimer(b);
    }

    /** A job has left its backend, finished or not. */
    private void endJob(int job) {
        double stay = (now - jobArrivedAt[job]) / NS_PER_SECOND;
        totalStaySeconds += stay;
        Outcome.ClassStats stats = outcome.classes().get(requestClass[jobRequest[job]]);
        stats.totalStaySeconds += stay;
        stats.stayCount++;
        freeJobs[freeJobCount++] = job;
    }

    /** A backend's load figures by the site's columns; its utilization is sampled at most every 300 ms. */
    private List<Double> loadFigures(int b) {
        SimulatedBackend server = servers[b];
        if (now - utilizationSampledAt[b] > 300 * NS_PER_MS) {
            double busy = server.busySeconds(now);
            sampledUtilization[b] = Math.min(1, (busy - sampledBusySeconds[b])
                    / ((now - utilizationSampledAt[b]) / NS_PER_SECOND)
                    / server.spec().cores());
            sampledBusySeconds[b] = busy;
            utilizationSampledAt[b] = now;
        }
        List<Double> figures = new ArrayList<>();
        for (String column : model.site().loadColumns()) {
            figures.add(switch (column) {
                case "queue" -> (double) server.queued();
                case "inflight" -> (double) server.inflight();
                case "busy" -> sampledUtilization[b];
                case "latency-ms" -> meanLatencyMs[b];
                default -> 0.0;
            });
        }
        return figures;
    }

    // ---- controllers ---------------------------------------------------------------------------------

    private int storePayload(Object object) {
        if (freePayloads.isEmpty()) {
            payloads.add(object);
            return payloads.size() - 1;
        }
        int index = freePayloads.remove(freePayloads.size() - 1);
        payloads.set(index, object);
        return index;
    }

    private Object takePayload(int index) {
        freePayloads.add(index);
        return payloads.set(index, null);
    }

    /** A frame in transit to a proxy's stream. */
    private record SentFrame(int stream, Frame frame) { }

    private final class ControllerEnvironment implements Driver.Environment {
        private final int rank;

        ControllerEnvironment(int rank) {
            this.rank = rank;
        }

        @Override
        public void watch(boolean on) {
            eventQueue.add(now + 2 * model.sameZoneDelayNs(), ROSTER_ANSWER, rank, 0);
        }

        @Override
        public void probe(Backend backend) {
            int b = (int) (backend.id() >> 16 & 0xffffff);
            eventQueue.add(now + 2 * model.sameZoneDelayNs(), PROBE_RESULT, rank, b);
        }

        @Override
        public void send(int p, Frame frame) {
            long late = (long) (model.site().channel().typicalDelay() * (0.5 + delayRandom.nextDouble()));
            lastDeliveryAt[p] = Math.max(lastDeliveryAt[p], now + late);
            eventQueue.add(lastDeliveryAt[p], MESSAGE_TO_PROXY, p,
                    storePayload(new SentFrame(streamNumber[p], frame)));
        }

        @Override
        public void log(String text) { }

        @Override
        public void onDecision(long at, List<rowanmoor.ControlApi.Event> events,
                List<rowanmoor.ControlApi.Action> actions, long elapsed) {
            outcome.controllers().get(rank).decisions++;
        }
    }

    private void startController(int rank, long seed) {
        drivers[rank] = new Driver(model.site().settings(drivers.length), seed, ++lastEpoch, now,
                new ControllerEnvironment(rank), () -> 0);
        drivers[rank].onMembers(new Members(CatalogUpdateKind.CACHED, rosterVersion, List.of()));
        controllerDown[rank] = false;
        nextTickAt[rank] = Long.MAX_VALUE;
        scheduleTick(rank, now);
    }

    private void collectControllerStats(int rank) {
        Outcome.ControllerStats stats = outcome.controllers().get(rank);
        stats.maxQueuedLines = Math.max(stats.maxQueuedLines, drivers[rank].maxQueuedLines());
        stats.totalQueuedLines += drivers[rank].totalQueuedLines();
        stats.maxPendingReportLines = Math.max(stats.maxPendingReportLines,
                drivers[rank].maxPendingReportLines());
    }

    private void scheduleTick(int rank, long time) {
        long at = Math.max(time, lastTickAt[rank] + MIN_TICK_INTERVAL_NS);
        if (!controllerDown[rank] && at < nextTickAt[rank]) {
            nextTickAt[rank] = at;
            eventQueue.add(at, CONTROLLER_TICK, rank, (int) lastEpoch);
        }
    }

    private void onTick(int rank, int epoch) {
        if (controllerDown[rank] || nextTickAt[rank] != now) {
            return; // another tick replaced it, or the process is down
        }
        nextTickAt[rank] = Long.MAX_VALUE;
        lastTickAt[rank] = now;
        drivers[rank].tick(now);
        long next = drivers[rank].nextTickAt();
        if (next != Long.MAX_VALUE) {
            scheduleTick(rank, Math.max(next, now));
        }
    }

    /** A proxy connects to a controller, or later to the next one if that is down. */
    private void connectToController(int p, int rank) {
        if (controllerOf[p] >= 0) {
            return;
        }
        if (controllerDown[rank] || partitioned[p]) {
            eventQueue.add(now + (long) (REDIAL_DELAY_NS * (0.5 + delayRandom.nextDouble())), PROXY_CONNECT,
                    p, (rank + 1) % drivers.length);
            return;
        }
        controllerOf[p] = rank;
        streamNumber[p]++;
        lastDeliveryAt[p] = now;
        boolean fresh = routers[p].hasOnlyStandingTable();
        routers[p].onStreamOpened();
        double rate = model.requestsPerSecond() * model.proxyWeights()[p]
                / cumulativeProxyWeights[cumulativeProxyWeights.length - 1];
        drivers[rank].onProxyJoined(now, new Frame.Hello(Frame.PROTOCOL_VERSION, p, p, model.proxyZones()[p],
                rate, fresh, routers[p].epoch(), routers[p].version(), "p"));
        scheduleTick(rank, now);
    }

    private void onMessageAtProxy(int p, int index) {
        SentFrame sent = (SentFrame) takePayload(index);
        if (sent.stream() != streamNumber[p] || controllerOf[p] < 0 || partitioned[p]) {
            return; // lost with its stream
        }
        if (sent.frame() instanceof Frame.Snapshot snapshot) {
            routers[p].apply(snapshot);
        } else if (sent.frame() instanceof Frame.Update update
                && routers[p].apply(update) == Router.UpdateResult.APPLIED) {
            if (newestIdle != null) {
                closeIdleConnections(p); // closes connections to backends that are no longer in any table
            }
            for (Frame.Order order : update.orders()) {
                if (order instanceof Frame.Mark mark) {
                    eventQueue.add(now + model.sameZoneDelayNs(), MESSAGE_TO_CONTROLLER, p,
                            storePayload(new Frame.Applied(update.epoch(), update.version(), mark.number())));
                }
            }
        }
    }

    private void onMessageAtController(int p, int index) {
        Frame frame = (Frame) takePayload(index);
        int rank = controllerOf[p];
        if (rank < 0 || controllerDown[rank]) {
            return;
        }
        if (frame instanceof Frame.Applied applied) {
            drivers[rank].onApplied(now, p, applied);
        } else if (frame instanceof Frame.Report report) {
            drivers[rank].onReport(p, report);
        }
        scheduleTick(rank, now);
    }

    private void onProbeResult(int rank, int b) {
        if (!controllerDown[rank]) {
            boolean down = servers[b].isDown();
            int maxConnections = model.backends().get(b).maxConnections();
            // a probe needs its own connection
            boolean full = newestIdle != null && maxConnections > 0 && openConnections[b] >= maxConnections;
            boolean up = !down && !full;
            drivers[rank].onProbeResult(new Probed(backends[b], up,
                    up ? Prober.STATUS_OK : down ? Prober.STATUS_UNREACHABLE : Prober.STATUS_CONNECTION_LOST,
                    2 * model.sameZoneDelayNs(), up ? loadFigures(b) : List.of()));
            scheduleTick(rank, now);
        }
    }

    /** A controller queries the roster, or the roster reports a change. */
    private void onRosterAnswer(int rank) {
        if (controllerDown[rank]) {
            return;
        }
        if (rosterDown) {
            drivers[rank].onMembers(new Members(CatalogUpdateKind.FAILED, rosterVersion, List.of()));
        } else {
            List<Member> members = new ArrayList<>();
            for (int b = 0; b < backends.length; b++) {
                Model.BackendSpec m = model.backends().get(b);
                if (availability[b] != Availability.GONE) {
                    members.add(new Member(backends[b], m.zone(), m.kind(), 0, availability[b], m.weight(),
                            startedAt[b]));
                }
            }
            drivers[rank].onMembers(new Members(CatalogUpdateKind.FULL, rosterVersion, members));
        }
        scheduleTick(rank, now);
    }

    // ---- faults --------------------------------------------------------------------------------------

    private void beginFault(int number) {
        Model.Fault fault = model.faults().get(number);
        eventQueue.add(now + fault.durationNs(), FAULT_END, number, 0);
        switch (fault.kind()) {
            case BACKENDS_DIE -> {
                for (int b : fault.targets()) {
                    crashBackend(b);
                }
                updateRoster(model.rosterDelayNs(), number, Availability.GONE);
            }
            case BACKENDS_FAIL -> {
                for (int b : fault.targets()) {
                    errorFraction[b] = fault.magnitude();
                }
            }
            case BACKENDS_DRAIN -> updateRoster(0, number, Availability.DRAINING);
            case BACKENDS_SLOW -> {
                for (int b : fault.targets()) {
                    servers[b].setSlowdown(now, fault.magnitude());
                    scheduleBackendTimer(b);
                }
            }
            case CONTROLLER_DIES -> {
                int rank = fault.targets()[0];
                collectControllerStats(rank);
                controllerDown[rank] = true;
                for (int p = 0; p < controllerOf.length; p++) {
                    if (controllerOf[p] == rank) {
                        breakStream(p, (rank + 1) % drivers.length, 0);
                    }
                }
            }
            case ROSTER_DOWN -> rosterDown = true;
            case PROXIES_CUT -> {
                for (int p : fault.targets()) {
                    partitioned[p] = true;
                    if (controllerOf[p] >= 0) {
                        breakStream(p, controllerOf[p], SILENCE_TIMEOUT_NS);
                    }
                }
            }
            case BURST -> burstFactor = fault.magnitude();
            default -> throw new IllegalStateException("cannot begin fault of kind " + fault.kind());
        }
    }

    /** Ends a proxy's stream; after the delay and a redial delay, it connects to controller {@code next}. */
    private void breakStream(int p, int next, long delay) {
        int rank = controllerOf[p];
        controllerOf[p] = -1;
        if (!controllerDown[rank]) {
            drivers[rank].onProxyLeft(p);
            scheduleTick(rank, now);
        }
        eventQueue.add(now + delay + (long) (REDIAL_DELAY_NS * (0.5 + delayRandom.nextDouble())),
                PROXY_CONNECT, p, next);
    }

    private void crashBackend(int b) {
        for (int job = servers[b].crashOne(now); job >= 0; job = servers[b].crashOne(now)) {
            int request = jobRequest[job];
            eventQueue.add(now + drawDelay(requestProxy[request], b), LOST, request, jobTryId[job]);
            endJob(job);
        }
        servers[b].newTimerId();
    }

    private void updateRoster(long delay, int number, Availability state) {
        Model.Fault fault = model.faults().get(number);
        for (int b : fault.targets()) {
            availability[b] = state; // controllers see it after the delay
        }
        rosterVersion++;
        for (int c = 0; c < drivers.length; c++) {
            eventQueue.add(now + delay, ROSTER_ANSWER, c, 0);
        }
    }

    private void endFault(int number) {
        Model.Fault fault = model.faults().get(number);
        switch (fault.kind()) {
            case BACKENDS_DIE -> {
                for (int b : fault.targets()) {
                    servers[b].restart(now);
                    startedAt[b] = now;
                }
                updateRoster(model.rosterDelayNs(), number, Availability.READY);
            }
            case BACKENDS_FAIL -> {
                for (int b : fault.targets()) {
                    errorFraction[b] = 0;
                }
            }
            case BACKENDS_DRAIN -> updateRoster(0, number, Availability.READY);
            case BACKENDS_SLOW -> {
                for (int b : fault.targets()) {
                    servers[b].setSlowdown(now, 1);
                    scheduleBackendTimer(b);
                }
            }
            case CONTROLLER_DIES -> startController(fault.targets()[0], number);
            case ROSTER_DOWN -> rosterDown = false;
            case PROXIES_CUT -> {
                for (int p : fault.targets()) {
                    partitioned[p] = false;
                }
            }
            case BURST -> burstFactor = 1;
            default -> throw new IllegalStateException("cannot end fault of kind " + fault.kind());
        }
    }
}
