package gatefront.ledger;

/**
 * Determines the current accounting period from the wall clock, which may jump. A period is numbered by the time since
 * 1970 divided by the period's length. The open period never goes back: if the clock is set back over a period's end,
 * the period that was open stays open until the clock reaches it again. If the clock jumps ahead, the periods that it
 * passes are closed; usage up to the jump counts in the period that was open, and is not spread over the others.
 *
 * <p>Pure; not safe for use by several threads. State: two numbers.
 */
public final class PeriodClock {
    private final long lengthMicros;
    private final long graceMicros;
    private long open;
    private long firstUnclosed;

    /**
     * Creates a clock that continues from the last open period.
     *
     * @param lengthMicros the length of a period, in microseconds
     * @param graceMicros how long after its end a period still accepts entries, in microseconds
     * @param open the period that was open when the ledger was last written; 0 for a new ledger
     * @param nowMicros the wall clock in microseconds since 1970
     */
    public PeriodClock(long lengthMicros, long graceMicros, long open, long nowMicros) {
        if (lengthMicros <= 0 || graceMicros < 0 || graceMicros >= lengthMicros) {
            throw new IllegalArgumentException("the period must be positive and longer than its grace time; got period "
                    + lengthMicros + " us, grace " + graceMicros + " us");
        }
        this.lengthMicros = lengthMicros;
        this.graceMicros = graceMicros;
        this.open = Math.max(open, nowMicros / lengthMicros);
        this.firstUnclosed = this.open;
    }

    /** Returns the open period, in which a request that ends now counts. */
    public long open() {
        return open;
    }

    /** Returns the first period that still accepts entries; all earlier periods are closed. */
    public long firstUnclosed() {
        return firstUnclosed;
    }

    /** Updates the clock to a wall clock time, in microseconds since 1970; returns whether more periods are closed. */
    public boolean advanceTo(long nowMicros) {
        open = Math.max(open, nowMicros / lengthMicros);
        long previous = firstUnclosed;
        firstUnclosed = Math.max(
                firstUnclosed,
                nowMicros % lengthMicros >= graceMicros || nowMicros / lengthMicros < open ? open : open - 1);
        firstUnclosed = Math.min(firstUnclosed, open);
        return firstUnclosed > previous;
    }

    /** Returns the time of the next end of a period or of its grace time, in microseconds since 1970. */
    public long nextBoundaryMicros(long nowMicros) {
        long periodStart = nowMicros - nowMicros % lengthMicros;
        return nowMicros % lengthMicros < graceMicros ? periodStart + graceMicros : periodStart + lengthMicros;
    }
}
