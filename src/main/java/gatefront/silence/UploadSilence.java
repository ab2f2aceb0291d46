package gatefront.silence;

/**
 * The silence of a server that takes nothing more of a request that is being sent to it. It is counted in checks at
 * equal intervals, so that the time in which the agent itself was suspended does not count. Not thread-safe.
 */
public final class UploadSilence {
    /** Interval of the checks, in nanoseconds. */
    public static final long CHECK_NANOS = 1_000_000_000L;
    /** A server may take nothing for as long as it may be silent in a response. */
    static final long MAX_CHECKS = ResponseSilence.MAX_NANOS / CHECK_NANOS;

    private long takenBytes;
    private long checksWithoutProgress;

    /** Notes that the server has taken some of the request. */
    public void taken(int bytes) {
        takenBytes += bytes;
        checksWithoutProgress = 0;
    }

    /** Returns how much the server has taken. */
    public long takenBytes() {
        return takenBytes;
    }

    /**
     * Checks for silence.
     *
     * @param hasMore whether there is more of the request than the server takes; without more it is not silent
     * @return whether the server is no longer waited for
     */
    public boolean check(boolean hasMore) {
        checksWithoutProgress = hasMore ? checksWithoutProgress + 1 : 0;
        return checksWithoutProgress > MAX_CHECKS;
    }
}
