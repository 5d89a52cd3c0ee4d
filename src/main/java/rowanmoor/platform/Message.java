package rowanmoor.platform;

import java.util.List;

/** What a peer may say at the controller's address. Times and spans are nanoseconds. */
sealed interface Message {

    /** Asks for a sign of life. */
    record Probe() implements Message { }

    /** A collector names its zone. */
    record Agent(int zone) implements Message { }

    /** A proxy joins: its usual requests a second, and whether it holds no table that was ordered. */
    record Hello(int proxy, int zone, double rate, boolean fresh) implements Message { }

    record Ack(int proxy, int mark, long latency) implements Message { }

    /** What a zone's proxies met at an instance; {@code latency} is 0 where no try was good. */
    record Outcomes(String instance, int zone, long tries, long failed, long latency, long span,
            List<Double> load) implements Message { }

    record Demand(int proxy, int cls, long requests, long failed, long span) implements Message { }
}
