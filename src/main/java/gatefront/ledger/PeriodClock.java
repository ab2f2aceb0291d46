package gatefront.ledger;

/**
 * Which period it is, by the wall clock, which may jump. A period is a number: the time since 1970 divided by its
 * length. What is open never goes back: a clock set back over a period's end leaves what was open open, until it has
 * come there again. A clock that jumps ahead closes what it passes; those periods hold what was used up to the jump,
 * and nothing is spread over them.
 *
 * <p>Pure, one thread. State: two numbers.
 */
public final class PeriodClock {
    private final long lengthMicros;
    private final long graceMicros;
    private long open;
    private long firstUnclosed;

    /**
     * Begins where an instance stands.
     *
     * @param lengthMicros of a period
     * @param graceMicros how long after its end a period still takes entries of what ended in it
     * @param open the period that was open when its ledger was last written; 0 for a new one
     * @param nowMicros the wall clock in microseconds since 1970
     */
    public PeriodClock(long lengthMicros, long graceMicros, long open, long nowMicros) {
        if (lengthMicros <= 0 || graceMicros < 0 || graceMicros >= lengthMicros) {
            throw new IllegalArgumentException("a period has a length, and a grace shorter than that");
        }
        this.lengthMicros = lengthMicros;
        this.graceMicros = graceMicros;
        this.open = Math.max(open, nowMicros / lengthMicros);
        this.firstUnclosed = this.open;
    }

    /** The period in which what ends now counts. */
    public long open() {
        return open;
    }

    /** The first period that may still take entries; all before it are closed. */
    public long firstUnclosed() {
        return firstUnclosed;
    }

    /** Time has gone on, or jumped; returns whether a period more is closed now. */
    public boolean advanceTo(long nowMicros) {
        open = Math.max(open, nowMicros / lengthMicros);
        long before = firstUnclosed;
        firstUnclosed = Math.max(
                firstUnclosed,
                nowMicros % lengthMicros >= graceMicros || nowMicros / lengthMicros < open ? open : open - 1);
        firstUnclosed = Math.min(firstUnclosed, open);
        return firstUnclosed > before;
    }

    /** When to look again at the latest: the next end of a period, or of its grace. */
    public long nextBoundaryMicros(long nowMicros) {
        long periodStart = nowMicros - nowMicros % lengthMicros;
        return nowMicros % lengthMicros < graceMicros ? periodStart + graceMicros : periodStart + lengthMicros;
    }
}
