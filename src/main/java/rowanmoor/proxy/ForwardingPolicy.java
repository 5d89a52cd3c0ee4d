package rowanmoor.proxy;

import rowanmoor.config.Section;

/**
 * How a proxy treats connections and requests; times in nanoseconds, 0 for no such bound unless said.
 *
 * @param headWithin a client's head may take so long from its first byte
 * @param idleWithin a request or answer under way on which nothing moves for so long is broken off
 * @param wholeWithin an answer that has begun may take so long in all
 * @param holdMost bytes of a request's content that are held so that another try can send them; what is
 *     longer is tried once
 * @param perBackendMost connections to one backend
 * @param idleMost idle connections kept to one backend
 * @param inflightMost requests in work; beyond it the answer is 503 at once
 * @param perClientMost connections of one client address
 * @param retryBudget tries that may follow, as a part of first tries; 1 or more for as many as are ordered
 * @param refusal status of a request over its level: 429 or 503
 * @param retryAfter seconds that a refusal names
 * @param lease levels are kept so long after the last word of any controller
 * @param safeLevel requests a second a class at which a proxy lets in when the lease is over; negative to
 *     keep what it had (the paper's safe capacity)
 * @param deadlineField names the field in which clients state milliseconds left, and which goes on
 * @param stopWithin a stopping proxy waits so long for requests in work
 * @param homeAfter joined to another controller than its first, it looks for that one about so often, and
 *     moves back; 0 to stay
 */
public record ForwardingPolicy(long headTimeoutNs, long stallTimeoutNs, long responseTimeoutNs, int maxReplayBytes, int maxConnectionsPerBackend,
        int maxIdlePerBackend, int maxRequestsInFlight, int maxConnectionsPerClient, double retryBudget, int refusalStatus, int retryAfterSeconds,
        long leaseNs, double safeLevel, String deadlineField, long stopTimeoutNs, long rehomeIntervalNs) {

    private static final long SECOND = 1_000_000_000L;

    public static ForwardingPolicy defaults() {
        return new ForwardingPolicy(10 * SECOND, 30 * SECOND, 300 * SECOND, 1 << 16, 1024, 256, 4096, 1 << 20, 1, 503,
                1, 30 * SECOND, -1, "x-deadline-ms", 10 * SECOND, 0);
    }

    /** Reads the block's own keys; what is left out is as usual. */
    static ForwardingPolicy of(Section p) {
        ForwardingPolicy u = defaults();
        int refusal = p.whole("refusal", 429, 503, u.refusalStatus);
        if (refusal != 429 && refusal != 503) {
            p.problem("refusal", "is 429 or 503");
        }
        return new ForwardingPolicy(p.duration("head-within", "10ms", "1h", "10s"),
                p.duration("move-within", "10ms", "1h", "30s"),
                p.duration("whole-within", "10ms", "24h", "300s"),
                p.whole("hold-most", 0, 1 << 30, u.maxReplayBytes),
                p.whole("per-backend-most", 1, 1 << 20, u.maxConnectionsPerBackend),
                p.whole("idle-most", 0, 1 << 20, u.maxIdlePerBackend),
                p.whole("inflight-most", 1, 1 << 24, u.maxRequestsInFlight),
                p.whole("per-client-most", 1, 1 << 20, u.maxConnectionsPerClient),
                p.number("retry-budget", 0, 100, u.retryBudget), refusal,
                p.whole("retry-after", 0, 3600, u.retryAfterSeconds),
                p.duration("lease", "100ms", "24h", "30s"),
                p.has("safe-level") ? p.number("safe-level", 0, 1e9) : u.safeLevel,
                p.text("deadline-field", u.deadlineField),
                p.duration("stop-within", "0s", "1h", "10s"),
                p.duration("home-after", "0s", "24h", "0s"));
    }
}
