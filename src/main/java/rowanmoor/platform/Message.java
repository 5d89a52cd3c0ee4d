package rowanmoor.platform;

import java.util.List;

/** A message from a peer to the controller. Latencies and spans are in nanoseconds. */
sealed interface Message {

    /** A liveness check. */
    record Probe() implements Message { }

    /** A collector of reports joins and states its zone. */
    record Agent(int zone) implements Message { }

    /**
     * A proxy joins.
     *
     * @param rate its usual requests per second
     * @param fresh whether it holds no table from a controller
     */
    record Hello(int proxy, int zone, double rate, boolean fresh) implements Message { }

    /** A proxy has applied the push that carried this mark; {@code latency} is what it took. */
    record Ack(int proxy, int mark, long latency) implements Message { }

    /**
     * Results of the tries that a zone's proxies sent to an instance.
     *
     * @param latency mean latency of the successful tries, 0 if there were none
     * @param span the period that the counts cover
     * @param load the instance's load report in the settings' column order; empty if there is none
     */
    record Outcomes(String instance, int zone, long tries, long failed, long latency, long span,
            List<Double> load) implements Message { }

    /** A proxy's requests of one class during {@code span}, and how many of them failed. */
    record Demand(int proxy, int cls, long requests, long failed, long span) implements Message { }
}
