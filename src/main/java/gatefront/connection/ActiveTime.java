package gatefront.connection;

/**
 * Counts the time during which the event loop was running. The loop advances it at short intervals; a longer gap means
 * that the process was suspended or starved, together with its peers perhaps, and counts only as {@code maxGapNanos}.
 * Confined to one thread.
 */
final class ActiveTime {
    private final long maxGapNanos;
    private long lastAdvanceNanos;
    private long elapsedNanos;
    private boolean running;

    /** Creates a stopped counter at zero. */
    ActiveTime(long maxGapNanos) {
        this.maxGapNanos = maxGapNanos;
    }

    /** Starts counting at {@code nowNanos}. */
    void start(long nowNanos) {
        running = true;
        lastAdvanceNanos = nowNanos;
    }

    /** Stops counting. */
    void stop() {
        running = false;
    }

    boolean isRunning() {
        return running;
    }

    /** Counts the time since the last call. */
    void advance(long nowNanos) {
        elapsedNanos += Math.min(nowNanos - lastAdvanceNanos, maxGapNanos);
        lastAdvanceNanos = nowNanos;
    }

    /** Returns the time counted up to the last advance, in nanoseconds. */
    long elapsedNanos() {
        return elapsedNanos;
    }
}
