package gatefront.ledger;

import java.util.SplittableRandom;

/**
 * When to send which of an instance's entries to the receiver, and from where on after an answer. Entries are
 * numbered from 0 in the order in which they were made. The receiver answers how many it has taken, the first ones
 * without a gap; it takes each number once, whoever sends it and however often. So each entry is sent at least once,
 * and has its effect exactly once.
 *
 * <p>Whatever the receiver says, nothing is left out: if it tells fewer than before, it has forgotten some, and they
 * are sent again; if it tells more than were ever made, that is no answer.
 *
 * <p>Pure, one thread. State: a few numbers. One batch is out at a time, for {@link Settings#timeout()} at the most.
 */
public final class ExportSchedule {
    /**
     * How it goes about it; times in microseconds.
     *
     * @param batchMost entries sent at once
     * @param timeout how long an answer is waited for
     * @param backOffLeast the first wait after a failure, doubled with each in a row and drawn from that range
     * @param backOffMost the longest
     * @param ask how often the receiver is asked what it has, where there is nothing to send
     */
    public record Settings(int batchMost, long timeout, long backOffLeast, long backOffMost, long ask) {}

    /** Entries to be sent: from this number on, so many; none, to ask what the receiver has. */
    public record Batch(long from, int count) {}

    private static final int DOUBLINGS = 20;

    private final Settings settings;
    private final SplittableRandom random;
    private long taken;
    private long next; // when something may be sent
    private Batch out;
    private long outUntil;
    private int failures;

    /** Goes on from what the receiver was last known to have taken. */
    public ExportSchedule(Settings settings, long taken, long seed) {
        this.settings = settings;
        this.taken = taken;
        this.random = new SplittableRandom(seed);
    }

    /** How many the receiver has taken, as far as is known. */
    public long taken() {
        return taken;
    }

    /** How many failures there were in a row. */
    public int failures() {
        return failures;
    }

    /** What is to be sent now, so many entries having been made; null if nothing is. */
    public Batch due(long now, long made) {
        if (out != null && now >= outUntil) {
            failed(now);
        }
        if (out != null || now < next && (failures > 0 || taken >= made)) {
            return null;
        }
        out = new Batch(taken, (int) Math.min(settings.batchMost, Math.max(0, made - taken)));
        outUntil = now + settings.timeout;
        return out;
    }

    /** When to look again at the latest. */
    public long wake(long now, long made) {
        return out != null ? outUntil : failures == 0 && taken < made ? now : Math.max(now, next);
    }

    /** The receiver tells how many it has; returns whether that is more, or less, than was known. */
    public boolean answered(long now, long has, long made) {
        if (has < 0 || has > made) {
            failed(now);
            return false;
        }
        boolean changed = has != taken;
        boolean stuck = out != null && out.count > 0 && has <= out.from; // it took none of what was sent
        taken = has;
        out = null;
        if (stuck) {
            back(now);
        } else {
            failures = 0;
            next = now + settings.ask;
        }
        return changed;
    }

    /** No answer came, or one that makes no sense, or it takes nothing for now. */
    public void failed(long now) {
        out = null;
        back(now);
    }

    private void back(long now) {
        long most = Math.min(settings.backOffMost, settings.backOffLeast << Math.min(DOUBLINGS, failures));
        failures++;
        next = now + most / 2 + random.nextLong(most / 2 + 1);
    }
}
