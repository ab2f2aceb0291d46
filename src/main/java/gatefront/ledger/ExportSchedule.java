package gatefront.ledger;

import java.util.SplittableRandom;

/**
 * Schedules the export of an instance's entries to the receiver. Entries are numbered from 0 in the order of their
 * creation. The receiver responds with the number of entries it has, counted from the first without a gap, and accepts
 * each number once, however often it is sent. So each entry is sent at least once and takes effect exactly once.
 *
 * <p>No response can make the schedule skip an entry. If the receiver reports fewer entries than before, it has lost
 * some, and they are sent again; if it reports more than were ever created, the response counts as a failure.
 *
 * <p>Pure; not safe for use by several threads. State: a few numbers. One batch is outstanding at a time, for at most
 * {@link Settings#timeoutMicros()}.
 */
public final class ExportSchedule {
    /**
     * The settings of a schedule; times in microseconds.
     *
     * @param maxBatchEntries the largest number of entries in a batch
     * @param timeoutMicros how long to wait for a response
     * @param minBackoffMicros the upper bound of the first wait after a failure, doubled with each consecutive failure;
     *     the wait is drawn from the upper half of that range
     * @param maxBackoffMicros the upper bound of all waits
     * @param pollIntervalMicros how often to ask the receiver for its count while there is nothing to send
     */
    public record Settings(
            int maxBatchEntries,
            long timeoutMicros,
            long minBackoffMicros,
            long maxBackoffMicros,
            long pollIntervalMicros) {}

    /** A range of entries to send; an empty one asks the receiver how many entries it has. */
    public record Batch(long from, int count) {}

    private static final int MAX_DOUBLINGS = 20;

    private final Settings settings;
    private final SplittableRandom random;
    private long acknowledged;
    /** The time before which nothing is sent after a failure, or polled after a response. */
    private long nextSendMicros;

    private Batch pendingBatch;
    private long pendingDeadlineMicros;
    private int failures;

    /** Creates a schedule that continues after the last known number of acknowledged entries. */
    public ExportSchedule(Settings settings, long acknowledged, long seed) {
        this.settings = settings;
        this.acknowledged = acknowledged;
        this.random = new SplittableRandom(seed);
    }

    /** Returns the number of entries that the receiver has acknowledged, as far as is known. */
    public long acknowledged() {
        return acknowledged;
    }

    /** Returns the number of consecutive failures. */
    public int failures() {
        return failures;
    }

    /** Returns the batch to send now, given the number of entries created so far; null if none. */
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

    /** Returns the latest time at which {@link #nextBatch} must be called again. */
    public long nextWakeMicros(long nowMicros, long created) {
        return pendingBatch != null
                ? pendingDeadlineMicros
                : failures == 0 && acknowledged < created ? nowMicros : Math.max(nowMicros, nextSendMicros);
    }

    /** Handles a response with the receiver's number of entries; returns whether it differs from the known number. */
    public boolean onResponse(long nowMicros, long received, long created) {
        if (received < 0 || received > created) {
            onFailure(nowMicros);
            return false;
        }
        boolean changed = received != acknowledged;
        boolean refused = pendingBatch != null
                && pendingBatch.count > 0
                && received <= pendingBatch.from; // it accepted no entry of the batch
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

    /** Handles a missing or invalid response, or a refusal by the receiver. */
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
