package gatefront.rehearsal.processes;

/**
 * The network conditions that a relay imposes on one direction of a link.
 *
 * @param blocked whether bytes are held back without notice to either side, as on a cut cable; they are delivered once
 *     the link is restored
 * @param delayMicros added latency
 * @param bytesPerSecond bandwidth limit; 0 for none
 */
public record LinkConditions(boolean blocked, long delayMicros, long bytesPerSecond) {
    /** Traffic passes unchanged. */
    public static final LinkConditions CLEAR = new LinkConditions(false, 0, 0);
    /** No traffic passes. */
    public static final LinkConditions BLOCKED = new LinkConditions(true, 0, 0);
}
