package gatefront.registry.follower;

/**
 * What a follower keeps to. Times in microseconds.
 *
 * @param backoffLeast the first wait after a failure is up to this
 * @param backoffMost and the longest up to this; a registry that says that it has too much to do gets
 *     {@link #OVERLOADED} times as long
 * @param pause between the answer to one call and the next where calls end with each answer; up to as much again
 * @param ask how often a watch in which nothing happens is asked how far it is; 0 if it tells by itself
 * @param silence a call from which nothing has come for so long is broken
 * @param stale a state not confirmed for so long is stale
 * @param reread after how long at the most everything is read anew, to find what no revision shows; 0 for never
 * @param keys how many keys there may be
 */
public record FollowerLimits(
        long backoffLeast, long backoffMost, long pause, long ask, long silence, long stale, long reread, int keys) {
    /** How much longer the waits may be for a registry that has too much to do. */
    public static final int OVERLOADED = 4;
}
