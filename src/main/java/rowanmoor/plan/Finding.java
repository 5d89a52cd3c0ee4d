package rowanmoor.plan;

/**
 * How close a resource was to its limit.
 *
 * @param location a kind in a zone, a class or a controller
 * @param pressure use relative to its limit; 1 is the limit
 * @param evidence the figures behind it, as text
 */
public record Finding(Resource resource, String location, double pressure, String evidence) {

    /** The resources that can run out. */
    public enum Resource {
        CORES("cores"), WAITING_ROOM("slots and waiting room"), CONNECTIONS("connections"),
        CONFINED_CLASS("backends open to a class"), CHANNEL("lines of the channel"),
        INTAKE("report intake"), QUEUE_RULE("the rule on the queue"), NOTHING("nothing");

        private final String words;

        Resource(String words) {
            this.words = words;
        }

        @Override
        public String toString() {
            return words;
        }
    }
}
