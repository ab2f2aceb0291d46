package gatefront.rehearsal.world;

/**
 * How callers take an answer that is none: whether and when they ask again. As in the protocol, a safe request
 * is asked again after any failure, a keyed one that all nodos know likewise within its window, and any other
 * only after a refusal or when no agent was to be reached.
 */
public final class RetryBehavior {
    /** How a try ended. */
    public enum Fate {
        /** In time or late. */
        SERVED,
        /** 429 or 503. */
        REFUSED,
        /** Any other answer. */
        FAILED,
        /** No answer when the try was given up. */
        TIMED_OUT,
        /** No connection, or it ended unanswered. */
        UNREACHED
    }

    /** What may be asked again. */
    public enum Repeat {
        /** Any number of times. */
        SAFE,
        /** All nodos drop repeats for a while. */
        KEYED_EVERYWHERE,
        /** Only what surely did not run. */
        CAREFUL
    }

    /** Never again. */
    public static final long NEVER = -1;

    private final int retries;
    private final double backoffMicros;
    private final double honour;
    private final RandomStream draw;

    /**
     * Callers of one day.
     *
     * @param retries how often one asks again at the most
     * @param backoffMicros the mean wait before the first repeat; it doubles
     * @param honour the part that waits as long as a Retry-After says
     * @param draw their random numbers
     */
    public RetryBehavior(int retries, double backoffMicros, double honour, RandomStream draw) {
        this.retries = retries;
        this.backoffMicros = backoffMicros;
        this.honour = honour;
        this.draw = draw;
    }

    /**
     * When a caller asks again.
     *
     * @param now the time
     * @param tries how many tries it has made
     * @param fate how the last one ended
     * @param repeat what its class permits
     * @param windowEnd until when nodos drop repeats of it
     * @param giveUp when it wants no answer any more
     * @param retryAfter what the answer advised, in microseconds; 0 for nothing
     * @return the time of the next try, or {@link #NEVER}
     */
    public long again(long now, int tries, Fate fate, Repeat repeat, long windowEnd, long giveUp, long retryAfter) {
        if (fate == Fate.SERVED || tries > retries) {
            return NEVER;
        }
        boolean harmless = fate == Fate.REFUSED
                || fate == Fate.UNREACHED
                || repeat == Repeat.SAFE
                || repeat == Repeat.KEYED_EVERYWHERE && now < windowEnd;
        if (!harmless) {
            return NEVER;
        }
        double wait = backoffMicros * (1 << tries - 1) * draw.between(0.5, 1.5);
        if (retryAfter > 0 && draw.unit() < honour) {
            wait = Math.max(wait, retryAfter);
        }
        long at = now + (long) wait;
        return at < giveUp ? at : NEVER;
    }
}
