package gatefront.recovery;

/**
 * Detects that this process has just started, or has stalled (stopped, swapped out, machine suspended) for so long that
 * it may have missed the drain of a server. In both cases no request may be forwarded until the server list has been
 * received. {@link #recordEvent} is called on every event, and periodically when there are none; a longer interval
 * between two calls than the maximum is a stall.
 *
 * <p>The age of the server list cannot be used for this: no updates are received during a stall, so the list looks as
 * fresh afterwards as it did before. Times are microseconds of a clock that keeps running during a stall.
 */
public final class StallDetector {
    private final long maxGapMicros;
    private final long maxWaitMicros;
    private long lastEventMicros = Long.MIN_VALUE;
    private long resumedAtMicros;
    private boolean awaitingServerList;
    private long lastGapMicros;

    /**
     * Creates a detector for a running process that is up to date.
     *
     * @param maxGapMicros the longest interval between two events that still counts as busy; a longer one is a stall
     * @param maxWaitMicros how long to wait for the server list after a stall before continuing with the present one
     */
    public StallDetector(long maxGapMicros, long maxWaitMicros) {
        this.maxGapMicros = maxGapMicros;
        this.maxWaitMicros = maxWaitMicros;
    }

    /** Creates a detector for a process that has just started and has no server list yet; it detects no stalls. */
    public static StallDetector forStartup(long now, long maxWaitMicros) {
        StallDetector detector = new StallDetector(Long.MAX_VALUE, maxWaitMicros);
        detector.resumedAtMicros = now;
        detector.awaitingServerList = true;
        return detector;
    }

    /** Records that the process is running at {@code now}; returns whether it has just resumed after a stall. */
    public boolean recordEvent(long now) {
        boolean resumed = lastEventMicros != Long.MIN_VALUE && now - lastEventMicros > maxGapMicros;
        if (resumed) {
            lastGapMicros = now - lastEventMicros;
            resumedAtMicros = now;
            awaitingServerList = true;
        }
        lastEventMicros = Math.max(lastEventMicros, now);
        return resumed;
    }

    /** Returns whether stalls are detected; a detector for startup is done once the server list has been received. */
    public boolean detectsStalls() {
        return maxGapMicros < Long.MAX_VALUE;
    }

    /** Records that a full server list has been received. */
    public void serverListReceived() {
        awaitingServerList = false;
    }

    /** Returns whether requests must wait for the server list; false once the maximum wait has passed. */
    public boolean awaitingServerList(long now) {
        if (awaitingServerList && now - resumedAtMicros >= maxWaitMicros) {
            // Without any update, serving with the present list does less harm than serving nobody any longer.
            awaitingServerList = false;
        }
        return awaitingServerList;
    }

    /** Returns the length of the last stall. */
    public long lastGapMicros() {
        return lastGapMicros;
    }
}
