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
    private final long length;
    private final long grace;
    private long open;
    private long closing;

    /**
     * Begins where an instance stands.
     *
     * @param lengthMicros of a period
     * @param graceMicros how long after its end a period still takes entries of what ended in it
     * @param open the period that was open when its ledger was last written; 0 for a new one
     * @param now the wall clock in microseconds since 1970
     */
    public PeriodClock(long lengthMicros, long graceMicros, long open, long now) {
        if (lengthMicros <= 0 || graceMicros < 0 || graceMicros >= lengthMicros) {
            throw new IllegalArgumentException("a period has a length, and a grace shorter than that");
        }
        this.length = lengthMicros;
        this.grace = graceMicros;
        this.open = Math.max(open, now / lengthMicros);
        this.closing = this.open;
    }

    /** The period in which what ends now counts. */
    public long open() {
        return open;
    }

    /** The first period that may still take entries; all before it are closed. */
    public long closing() {
        return closing;
    }

    /** Time has gone on, or jumped; returns whether a period more is closed now. */
    public boolean at(long now) {
        open = Math.max(open, now / length);
        long before = closing;
        closing = Math.max(closing, now % length >= grace || now / length < open ? open : open - 1);
        closing = Math.min(closing, open);
        return closing > before;
    }

    /** When to look again at the latest: the next end of a period, or of its grace. */
    public long next(long now) {
        long begun = now - now % length;
        return now % length < grace ? begun + grace : begun + length;
    }
}
