package gatefront.recovery;

/**
 * Whether this process has just started, or has stood still (stopped, swapped out, its machine asleep) for so long that
 * it may have missed a drain, and so must not send anything on before it has heard from those who know. It is told each
 * time that something happens, and by a beat when nothing does: a longer gap between two times is a standstill.
 *
 * <p>Why not by the list's age: while this process stood still nobody told it anything, and its own view of the list
 * looks as fresh as it did before. Times are microseconds of a clock that goes on while the process stands still.
 */
public final class StallDetector {
    private final long maxGapMicros;
    private final long maxWaitMicros;
    private long lastEventMicros = Long.MIN_VALUE;
    private long resumedAtMicros;
    private boolean awaitingServerList;
    private long lastGapMicros;

    /**
     * One that has just been awake.
     *
     * @param gapMost so long it may have been busy
     * @param patience so long it waits to hear, then it goes on with what it has
     */
    public StallDetector(long gapMost, long patience) {
        this.maxGapMicros = gapMost;
        this.maxWaitMicros = patience;
    }

    /** One that has just started and was told nothing yet; it notices no standstill. */
    public static StallDetector forStartup(long now, long patience) {
        StallDetector waking = new StallDetector(Long.MAX_VALUE, patience);
        waking.resumedAtMicros = now;
        waking.awaitingServerList = true;
        return waking;
    }

    /** Something happens; returns whether the process has just woken. */
    public boolean recordEvent(long now) {
        boolean woke = lastEventMicros != Long.MIN_VALUE && now - lastEventMicros > maxGapMicros;
        if (woke) {
            lastGapMicros = now - lastEventMicros;
            resumedAtMicros = now;
            awaitingServerList = true;
        }
        lastEventMicros = Math.max(lastEventMicros, now);
        return woke;
    }

    /** Whether it would notice a standstill: one that only starts has done its work once it has heard. */
    public boolean detectsStalls() {
        return maxGapMicros < Long.MAX_VALUE;
    }

    /** Those who know have told all that there is. */
    public void serverListReceived() {
        awaitingServerList = false;
    }

    /** Whether what it knows is to be doubted now. */
    public boolean awaitingServerList(long now) {
        if (awaitingServerList && now - resumedAtMicros >= maxWaitMicros) {
            awaitingServerList = false; // nobody tells: to serve nobody for as long would be worse
        }
        return awaitingServerList;
    }

    /** How long it last stood still. */
    public long lastGapMicros() {
        return lastGapMicros;
    }
}
