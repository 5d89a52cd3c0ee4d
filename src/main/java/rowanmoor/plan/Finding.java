package rowanmoor.plan;

/**
 * A resource under pressure.
 *
 * @param location where: a kind, a zone, a class, a controller
 * @param pressure how hard it is pressed; 1 is its limit
 * @param evidence the figures that say so
 */
public record Finding(Resource resource, String location, double pressure, String evidence) {

    /** What can run out. */
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
