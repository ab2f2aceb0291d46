package gatefront.silence;

/**
 * What is known of a server that has fallen silent in a response: whether it is active on other connections meanwhile,
 * and whether it has gone on with such responses before. Not thread-safe.
 */
public final class ServerRecord {
    /** A longer pause between two signs of life counts as a silence of the server as a whole. */
    static final long MAX_PAUSE_NANOS = 2_000_000_000L;
    /** After so many unfinished responses, with none that it went on with between them, it is not trusted. */
    static final int MAX_UNFINISHED = 3;
    /** How long unfinished responses are remembered. */
    static final long MEMORY_NANOS = 60_000_000_000L;

    private boolean hasBeenHeard;
    private long activeSinceNanos;
    private long lastHeardNanos;
    private int unfinished;
    private long lastUnfinishedNanos;

    /** Notes that some of a response to a request has arrived, on any connection. */
    public void heard(long nowNanos) {
        if (!hasBeenHeard || nowNanos - lastHeardNanos > MAX_PAUSE_NANOS) {
            activeSinceNanos = nowNanos;
        }
        hasBeenHeard = true;
        lastHeardNanos = nowNanos;
    }

    /** Notes that the server has gone on with a stalled response. */
    public void wentOn() {
        unfinished = 0;
    }

    /** Notes that the server was active and did not go on with a stalled response while that was waited for. */
    public void didNotGoOn(long nowNanos) {
        unfinished = isForgotten(nowNanos) ? 1 : unfinished + 1;
        lastUnfinishedNanos = nowNanos;
    }

    /** Returns whether the server may be expected to go on with stalled responses. */
    public boolean isTrusted(long nowNanos) {
        return unfinished < MAX_UNFINISHED || isForgotten(nowNanos);
    }

    private boolean isForgotten(long nowNanos) {
        return nowNanos - lastUnfinishedNanos > MEMORY_NANOS;
    }

    /** Returns for how long since {@code sinceNanos} the server has been active, up to its last sign of life. */
    public long activeNanosSince(long sinceNanos) {
        return hasBeenHeard ? Math.max(0, lastHeardNanos - Math.max(activeSinceNanos, sinceNanos)) : 0;
    }
}
