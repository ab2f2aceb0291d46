package gatefront.rehearsal.processes;

/**
 * What is done to one direction of a link.
 *
 * @param blocked whether bytes stay where they are, in silence, as on a cut cable; they arrive after it is healed
 * @param delayMicros by how much later they arrive
 * @param bytesPerSecond how many pass in a second; 0 for any number
 */
public record LinkConditions(boolean blocked, long delayMicros, long bytesPerSecond) {
    /** As if there were nothing in between. */
    public static final LinkConditions CLEAR = new LinkConditions(false, 0, 0);
    /** Nothing passes. */
    public static final LinkConditions BLOCKED = new LinkConditions(true, 0, 0);
}
