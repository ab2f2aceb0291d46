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
 * <p>Pure, one thread. State: a few numbers. One batch is outstanding at a time, for at most
 * {@link Settings#timeoutMicros()}.
 */
public final class ExportSchedule {
    /**
     * How it goes about it; times in microseconds.
     *
     * @param maxBatchEntries entries sent at once
     * @param timeoutMicros how long an answer is waited for
     * @param minBackoffMicros the first wait after a failure, doubled with each in a row and drawn from that range
     * @param maxBackoffMicros the longest
     * @param pollIntervalMicros how often the receiver is asked what it has, where there is nothing to send
     */
    public record Settings(
            int maxBatchEntries,
            long timeoutMicros,
            long minBackoffMicros,
            long maxBackoffMicros,
            long pollIntervalMicros) {}

    /** Entries to be sent: from this number on, so many; none, to ask what the receiver has. */
    public record Batch(long from, int count) {}

    private static final int MAX_DOUBLINGS = 20;

    private final Settings settings;
    private final SplittableRandom random;
    private long acknowledged;
    private long nextSendMicros; // when something may be sent
    private Batch pendingBatch;
    private long pendingDeadlineMicros;
    private int failures;

    /** Goes on from what the receiver was last known to have taken. */
    public ExportSchedule(Settings settings, long acknowledged, long seed) {
        this.settings = settings;
        this.acknowledged = acknowledged;
        this.random = new SplittableRandom(seed);
    }

    /** How many the receiver has taken, as far as is known. */
    public long acknowledged() {
        return acknowledged;
    }

    /** How many failures there were in a row. */
    public int failures() {
        return failures;
    }

    /** What is to be sent now, so many entries having been made; null if nothing is. */
    public Batch nextBatch(long nowMicros, long created) {
        if (pendingBatch != null && nowMicros >= pendingDeadlineMicros) {
            onFailure(nowMicros);
        }
        if (pendingBatch != null || nowMicros < nextSendMicros && (failures > 0 || acknowledged >= created)) {
            return null;
        }
        pendingBatch =
                new Batch(acknowledged, (int) Math.min(settings.maxBatchEntries, Math.max(0, created - acknowledged)));
        pendingDeadlineMicros = nowMicros + settings.timeoutMicros;
        return pendingBatch;
    }

    /** When to look again at the latest. */
    public long nextWakeMicros(long nowMicros, long created) {
        return pendingBatch != null
                ? pendingDeadlineMicros
                : failures == 0 && acknowledged < created ? nowMicros : Math.max(nowMicros, nextSendMicros);
    }

    /** The receiver tells how many it has; returns whether that is more, or less, than was known. */
    public boolean onAnswer(long nowMicros, long received, long created) {
        if (received < 0 || received > created) {
            onFailure(nowMicros);
            return false;
        }
        boolean changed = received != acknowledged;
        boolean refused = pendingBatch != null
                && pendingBatch.count > 0
                && received <= pendingBatch.from; // it took none of what was sent
        acknowledged = received;
        pendingBatch = null;
        if (refused) {
            backOff(nowMicros);
        } else {
            failures = 0;
            nextSendMicros = nowMicros + settings.pollIntervalMicros;
        }
        return changed;
    }

    /** No answer came, or one that makes no sense, or it takes nothing for now. */
    public void onFailure(long nowMicros) {
        pendingBatch = null;
        backOff(nowMicros);
    }

    private void backOff(long nowMicros) {
        long maxWaitMicros =
                Math.min(settings.maxBackoffMicros, settings.minBackoffMicros << Math.min(MAX_DOUBLINGS, failures));
        failures++;
        nextSendMicros = nowMicros + maxWaitMicros / 2 + random.nextLong(maxWaitMicros / 2 + 1);
    }
}
