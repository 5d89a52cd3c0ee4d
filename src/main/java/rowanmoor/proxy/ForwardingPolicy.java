package rowanmoor.proxy;

import rowanmoor.config.Section;

/**
 * Limits and time-outs of a proxy for connections and requests. Times are in nanoseconds; 0 means no limit
 * unless stated otherwise.
 *
 * @param headTimeoutNs time for a client's request head, from its first byte
 * @param stallTimeoutNs a response that makes no progress for this long is aborted
 * @param responseTimeoutNs total time for a response that has begun
 * @param maxReplayBytes request content buffered so that a retry can send it again; a request with longer
 *     content is tried once
 * @param maxConnectionsPerBackend limit of connections to one backend
 * @param maxIdlePerBackend limit of idle connections kept to one backend
 * @param maxRequestsInFlight limit of requests in flight; beyond it the answer is {@code refusalStatus} at
 *     once
 * @param maxConnectionsPerClient limit of connections from one client address
 * @param retryBudget allowed retries as a fraction of first tries; 1 or more for as many as are ordered
 * @param refusalStatus status for a request over its level: 429 or 503
 * @param retryAfterSeconds value of {@code RetryPolicy-After} in a refusal
 * @param leaseNs how long levels are kept after the last message from any controller
 * @param safeLevel requests per second and class that are admitted after the lease has expired (the paper's
 *     safe capacity); negative to keep the levels
 * @param deadlineField name of the field with the milliseconds left, read from clients and sent to backends
 * @param stopTimeoutNs how long a stopping proxy waits for requests in flight
 * @param rehomeIntervalNs mean interval at which a proxy joined to another controller than its first probes
 *     that one, to move back; 0 to stay
 */
public record ForwardingPolicy(long headTimeoutNs, long stallTimeoutNs, long responseTimeoutNs,
        int maxReplayBytes, int maxConnectionsPerBackend, int maxIdlePerBackend, int maxRequestsInFlight,
        int maxConnectionsPerClient, double retryBudget, int refusalStatus, int retryAfterSeconds,
        long leaseNs, double safeLevel, String deadlineField, long stopTimeoutNs, long rehomeIntervalNs) {

    private static final long NS_PER_SECOND = 1_000_000_000L;

    /** The policy in force where settings state nothing else. */
    public static ForwardingPolicy defaults() {
        return new ForwardingPolicy(10 * NS_PER_SECOND, 30 * NS_PER_SECOND, 300 * NS_PER_SECOND, 1 << 16,
                1024, 256, 4096, 1 << 20, 1, 503, 1, 30 * NS_PER_SECOND, -1, "x-deadline-ms",
                10 * NS_PER_SECOND, 0);
    }

    /** Reads the policy's keys of a {@code proxy} block; absent keys take their defaults. */
    static ForwardingPolicy of(Section section) {
        ForwardingPolicy defaults = defaults();
        int refusal = section.integer("refusal", 429, 503, defaults.refusalStatus);
        if (refusal != 429 && refusal != 503) {
            section.addProblem("refusal", "must be 429 or 503");
        }
        return new ForwardingPolicy(section.durationNs("head-within", "10ms", "1h", "10s"),
                section.durationNs("move-within", "10ms", "1h", "30s"),
                section.durationNs("whole-within", "10ms", "24h", "300s"),
                section.integer("hold-most", 0, 1 << 30, defaults.maxReplayBytes),
                section.integer("per-backend-most", 1, 1 << 20, defaults.maxConnectionsPerBackend),
                section.integer("idle-most", 0, 1 << 20, defaults.maxIdlePerBackend),
                section.integer("inflight-most", 1, 1 << 24, defaults.maxRequestsInFlight),
                section.integer("per-client-most", 1, 1 << 20, defaults.maxConnectionsPerClient),
                section.number("retry-budget", 0, 100, defaults.retryBudget), refusal,
                section.integer("retry-after", 0, 3600, defaults.retryAfterSeconds),
                section.durationNs("lease", "100ms", "24h", "30s"),
                section.has("safe-level") ? section.number("safe-level", 0, 1e9) : defaults.safeLevel,
                section.string("deadline-field", defaults.deadlineField),
                section.durationNs("stop-within", "0s", "1h", "10s"),
                section.durationNs("home-after", "0s", "24h", "0s"));
    }
}
