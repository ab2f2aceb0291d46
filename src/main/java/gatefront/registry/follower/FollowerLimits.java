package gatefront.registry.follower;

/**
 * The limits and intervals of a follower, in microseconds.
 *
 * @param minBackoffMicros the upper bound of the first delay after a failure
 * @param maxBackoffMicros the upper bound of the longest delay; for a registry that reports overload it is {@link
 *     #OVERLOAD_BACKOFF_FACTOR} times as long
 * @param pauseMicros the minimum delay between a response and the next call where calls end with each response; up to
 *     the same again is added as jitter
 * @param progressIntervalMicros how often progress is requested from an idle watch; 0 if the registry reports it
 *     unasked
 * @param silenceTimeoutMicros a call for which nothing has been received for this long has failed
 * @param staleAfterMicros entries that have not been confirmed for this long are stale
 * @param fullReadIntervalMicros the maximum time between full reads, which find changes that no revision shows; 0 for
 *     none
 * @param maxKeys the maximum number of keys
 */
public record FollowerLimits(
        long minBackoffMicros,
        long maxBackoffMicros,
        long pauseMicros,
        long progressIntervalMicros,
        long silenceTimeoutMicros,
        long staleAfterMicros,
        long fullReadIntervalMicros,
        int maxKeys) {
    /** The factor by which the longest delay grows for a registry that reports overload. */
    public static final int OVERLOAD_BACKOFF_FACTOR = 4;
}
