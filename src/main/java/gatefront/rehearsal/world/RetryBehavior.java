package gatefront.rehearsal.world;

/**
 * Decides whether and when clients retry. As the protocol says, a safe request is retried after any failure, a keyed
 * request that all nodos recognize also after any failure within its window, and any other request only after a
 * refusal or if no agent could be reached.
 */
public final class RetryBehavior {
    /** How a try ended. */
    public enum TryOutcome {
        /** A response was served, in time or late. */
        SERVED,
        /** Status 429 or 503. */
        REFUSED,
        /** Any other status. */
        FAILED,
        /** No response before the client's deadline. */
        TIMED_OUT,
        /** No connection, or one that closed without a response. */
        UNREACHABLE
    }

    /** When a request may be retried. */
    public enum RetrySafety {
        /** Always. */
        SAFE,
        /** Within the window in which all nodos drop duplicates. */
        KEYED_ALL_NODOS,
        /** Only if it certainly did not run. */
        ONLY_IF_NOT_RUN
    }

    /** Returned when there is no further try. */
    public static final long NEVER = -1;

    private final int maxRetries;
    private final double backoffMicros;
    private final double retryAfterShare;
    private final RandomStream random;

    /**
     * Creates the retry behavior of the clients of one run.
     *
     * @param maxRetries maximum number of retries
     * @param backoffMicros mean backoff before the first retry, in microseconds; doubles with each retry
     * @param retryAfterShare share of the clients' retries that respect a Retry-After
     * @param random the source of random numbers
     */
    public RetryBehavior(int maxRetries, double backoffMicros, double retryAfterShare, RandomStream random) {
        this.maxRetries = maxRetries;
        this.backoffMicros = backoffMicros;
        this.retryAfterShare = retryAfterShare;
        this.random = random;
    }

    /**
     * Returns when a client tries again.
     *
     * @param now the time, in microseconds
     * @param tries number of tries made
     * @param outcome how the last try ended
     * @param safety when its class may be retried
     * @param windowEndMicros time until which nodos drop duplicates of it, in microseconds
     * @param giveUpMicros time at which the client gives up, in microseconds
     * @param retryAfterMicros wait advised by the response, in microseconds; 0 for none
     * @return the time of the next try in microseconds, or {@link #NEVER}
     */
    public long nextTryMicros(
            long now,
            int tries,
            TryOutcome outcome,
            RetrySafety safety,
            long windowEndMicros,
            long giveUpMicros,
            long retryAfterMicros) {
        if (outcome == TryOutcome.SERVED || tries > maxRetries) {
            return NEVER;
        }
        boolean retryable = outcome == TryOutcome.REFUSED
                || outcome == TryOutcome.UNREACHABLE
                || safety == RetrySafety.SAFE
                || safety == RetrySafety.KEYED_ALL_NODOS && now < windowEndMicros;
        if (!retryable) {
            return NEVER;
        }
        double waitMicros = backoffMicros * (1 << tries - 1) * random.uniform(0.5, 1.5);
        if (retryAfterMicros > 0 && random.nextDouble() < retryAfterShare) {
            waitMicros = Math.max(waitMicros, retryAfterMicros);
        }
        long nextTry = now + (long) waitMicros;
        return nextTry < giveUpMicros ? nextTry : NEVER;
    }
}
