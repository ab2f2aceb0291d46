package gatefront.registry.follower;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;

/**
 * Follows the keys below a prefix of a registry that numbers its revisions: a full read, then the changes since that
 * revision. It serves registries that send changes (etcd) and registries whose every response is a full read (Consul's
 * blocking queries). It does no I/O; each event carries the present time in microseconds.
 *
 * <p>Invariants:
 * <ul>
 * <li>The entries are those of the registry at {@link #revision()}. They change only by all changes of a revision or
 * by a full read at one revision. No failure changes them.
 * <li>No change is applied twice: changes that are not newer than the revision are ignored. None is left out: each
 * watch starts after the revision, and the events of a call arrive in order. Where either is impossible (compaction,
 * revisions out of order, another history) a full read follows, and keys that it does not contain have been deleted.
 * <li>The revision goes back only after a full read that is confirmed by a quorum. A member that merely lags is not
 * trusted.
 * <li>At most one call is in progress, and events of any other call are ignored.
 * </ul>
 *
 * <p>State: the keys, at most {@link FollowerLimits#maxKeys}, each removed by its deletion or by a full read without
 * it; and the changes of one fragmented message, at most twice as many, discarded with their call.
 */
public final class Follower {
    /** The states of a follower. */
    public enum State {
        /** A full read is needed; the previous entries stay in use until it completes. */
        LISTING,
        /** The follower watches for changes. */
        WATCHING,
        /** The entries are known up to a revision, from which a watch is to start. */
        RESUMING,
        /** The changes after the revision have been compacted, so a full read is needed. */
        COMPACTED,
        /**
         * A lower revision or another history was received. A quorum read is to verify it; the previous entries stay
         * in use until then.
         */
        VERIFYING
    }

    /** Performs the actions of a follower and receives its results. */
    public interface Actions {
        /**
         * Starts a full read at one revision.
         *
         * @param call the number of the call, passed back with each of its events
         * @param quorum whether the read must be confirmed by a quorum
         */
        void list(long call, boolean quorum);

        /**
         * Starts a watch for the changes after a revision.
         *
         * @param call the number of the call, passed back with each of its events
         * @param revision the revision up to which all changes are known
         */
        void watch(long call, long revision);

        /** Requests a progress notification from the watch. */
        void requestProgress(long call);

        /**
         * Ends the call in progress.
         *
         * @param failed whether the member failed, so that the next call should go to another member
         */
        void endCall(boolean failed);

        /** Schedules a call of {@link Follower#timerFired} after a delay. */
        void scheduleTimer(long delayMicros);

        /**
         * Reports that the entries have changed; {@link Follower#entries()} returns all of them.
         *
         * @param full whether a full read caused the changes; they are then the differences that it shows
         * @param changes the changes in the order of their revisions; deletions found by a full read carry its
         *     revision
         */
        void changed(boolean full, List<KeyChange> changes);

        /** Reports that the entries have become stale, or that they are confirmed again. */
        void staleChanged(boolean isStale);

        /** Writes a log line. */
        void log(String line);
    }

    private final FollowerLimits limits;
    private final Actions actions;
    /** Returns a random number from 0 up to its argument, inclusive. */
    private final LongUnaryOperator jitter;

    private final TreeMap<String, KeyEntry> entries = new TreeMap<>();
    private State state = State.LISTING;
    /** The identity of the history that the revisions belong to; 0 while none is known. */
    private long history;
    /** The revision up to which all changes are known; negative while none is. */
    private long revision = -1;

    /** The number of the latest call; events of other calls are ignored. */
    private long call;

    private boolean callInProgress;
    /** Whether the latest call is a watch. */
    private boolean watchCall;
    /**
     * Times in microseconds, on the clock of the events: of the next call, of the last data received for the call in
     * progress, and of the last progress request.
     */
    private long nextCallMicros;

    private long lastReceivedMicros;
    private long lastProgressRequestMicros;
    /** When, in microseconds, the entries were last confirmed to be the registry's. */
    private long lastConfirmedMicros;

    /** When, in microseconds, the next full read is due. */
    private long nextFullReadMicros = Long.MAX_VALUE;

    private boolean stale;
    private long backoffMicros;
    /** The changes received so far of a message in fragments. */
    private final List<KeyChange> fragments = new ArrayList<>();

    private boolean closed;
    /** When, in microseconds, the earliest scheduled timer fires; earlier ones are obsolete and ignored. */
    private long nextTimerMicros = Long.MAX_VALUE;

    /**
     * Creates a follower without entries.
     *
     * @param limits the limits and intervals
     * @param seed the seed of the jitter; agents must not share it
     * @param actions performs the calls and receives the results
     */
    public Follower(FollowerLimits limits, long seed, Actions actions) {
        this(limits, uniformUpTo(new SplittableRandom(seed)), actions);
    }

    private static LongUnaryOperator uniformUpTo(SplittableRandom random) {
        return max -> random.nextLong(max + 1);
    }

    /** Creates a follower with the given jitter function. */
    Follower(FollowerLimits limits, LongUnaryOperator jitter, Actions actions) {
        this.limits = limits;
        this.actions = actions;
        this.jitter = jitter;
        this.backoffMicros = limits.minBackoffMicros();
    }

    // ---- Events ----

    /**
     * Restores entries that were stored earlier; must be called before {@link #start}. The entries are stale until the
     * registry has confirmed them.
     *
     * @param restoredHistory the history that the revisions belong to
     * @param restoredRevision the revision up to which all changes were known
     * @param restoredEntries the entries at that revision
     */
    public void restore(long restoredHistory, long restoredRevision, List<KeyEntry> restoredEntries) {
        history = restoredHistory;
        revision = restoredRevision;
        state = State.RESUMING;
        restoredEntries.forEach(entry -> entries.put(entry.key(), entry));
        stale = true;
    }

    /** Starts to follow the registry. */
    public void start(long now) {
        lastConfirmedMicros = now;
        beginCall(now);
    }

    /** Stops following; no further call is made. */
    public void close() {
        closed = true;
        endCall(false);
    }

    /** Records that data of a call has arrived that is not yet an event, such as a page of a read. */
    public void dataReceived(long now, long eventCall) {
        if (isCurrentCall(eventCall)) {
            lastReceivedMicros = now;
        }
    }

    /**
     * Handles the result of a full read, which is of one revision.
     *
     * @param readHistory the history that the revisions belong to, never 0; 1 for a registry that does not identify it
     * @param quorum whether a quorum has confirmed the read
     */
    public void listReceived(
            long now, long eventCall, long readHistory, long readRevision, boolean quorum, List<KeyEntry> readEntries) {
        if (!isCurrentCall(eventCall)) {
            return;
        }
        if (readEntries.size() > limits.maxKeys()) {
            callFailed(
                    now,
                    eventCall,
                    readEntries.size() + " keys, more than the " + limits.maxKeys() + " keys that are kept",
                    true);
            return;
        }
        boolean first = revision < 0;
        boolean historyRegressed = !first && (readHistory != history || readRevision < revision);
        if (historyRegressed && !quorum) {
            requestQuorumRead(now, readHistory, readRevision);
            return;
        }
        List<KeyChange> changes = difference(readEntries, readRevision);
        if (historyRegressed) {
            actions.log("the registry has another history: " + describe(readHistory, readRevision) + " after "
                    + describe(history, revision) + "; its full read is taken");
        } else if (readRevision == revision && !changes.isEmpty()) {
            actions.log("a full read at the same revision " + revision + " shows " + changes.size()
                    + " changes that were not told; it is taken");
        }
        history = readHistory;
        revision = readRevision;
        state = State.WATCHING;
        nextFullReadMicros = limits.fullReadIntervalMicros() == 0
                ? Long.MAX_VALUE
                : now + limits.fullReadIntervalMicros() / 2 + jitter.applyAsLong(limits.fullReadIntervalMicros() / 2);
        markConfirmed(now);
        endCall(false);
        if (first || !changes.isEmpty()) {
            entries.clear();
            readEntries.forEach(entry -> entries.put(entry.key(), entry));
            actions.changed(true, changes);
        }
        scheduleCall(
                now, limits.pauseMicros() == 0 ? 0 : limits.pauseMicros() + jitter.applyAsLong(limits.pauseMicros()));
    }

    /** Returns the differences between the entries and a full read, in the order of revisions. */
    private List<KeyChange> difference(List<KeyEntry> readEntries, long readRevision) {
        Map<String, KeyEntry> missing = new TreeMap<>(entries);
        List<KeyChange> changes = new ArrayList<>();
        for (KeyEntry entry : readEntries) {
            if (!entry.equals(missing.remove(entry.key()))) {
                changes.add(KeyChange.put(entry));
            }
        }
        missing.keySet().forEach(key -> changes.add(KeyChange.deleted(key, readRevision)));
        changes.sort(Comparator.comparingLong(KeyChange::modRevision).thenComparing(KeyChange::key));
        return changes;
    }

    /**
     * Handles the confirmation that the watch has been created.
     *
     * @param memberHistory the history that the revisions belong to
     * @param memberRevision the revision of the member that serves the watch
     */
    public void watchCreated(long now, long eventCall, long memberHistory, long memberRevision) {
        if (isCurrentCall(eventCall) && !requestQuorumReadIfBehind(now, memberHistory, memberRevision)) {
            lastReceivedMicros = now;
            state = State.WATCHING;
            if (limits.progressIntervalMicros() > 0) {
                lastProgressRequestMicros = now;
                // The progress response soon shows what has changed meanwhile, or that nothing has.
                actions.requestProgress(call);
            }
        }
    }

    /**
     * Handles changes, in the order of their revisions; the changes of one revision arrive together.
     *
     * @param incomplete whether further changes of the last revision follow
     */
    public void changesReceived(long now, long eventCall, List<KeyChange> received, boolean incomplete) {
        if (!isCurrentCall(eventCall)) {
            return;
        }
        lastReceivedMicros = now;
        fragments.addAll(received);
        if (fragments.size() > 2 * limits.maxKeys()) {
            callFailed(now, eventCall, "a message of more than " + 2 * limits.maxKeys() + " changes", false);
            return;
        }
        if (incomplete) {
            return;
        }
        List<KeyChange> changes = new ArrayList<>(fragments.size());
        long newestRevision = revision;
        for (KeyChange change : fragments) {
            // Older changes have been applied already: a watch may start too early or repeat changes.
            if (change.modRevision() > revision) {
                if (change.modRevision() < newestRevision) {
                    actions.log("revision " + change.modRevision() + " came after " + newestRevision
                            + "; everything is read anew");
                    scheduleFullRead(now, State.LISTING, true);
                    return;
                }
                newestRevision = change.modRevision();
                changes.add(change);
            }
        }
        fragments.clear();
        long addedKeys = changes.stream()
                .filter(change -> change.value() != null && !entries.containsKey(change.key()))
                .map(KeyChange::key)
                .distinct()
                .count();
        if (entries.size() + addedKeys > limits.maxKeys()) {
            callFailed(now, eventCall, "more than the " + limits.maxKeys() + " keys that are kept", true);
            return;
        }
        changes.removeIf(change -> !apply(change));
        revision = newestRevision;
        markConfirmed(now);
        if (!changes.isEmpty()) {
            actions.changed(false, changes);
        }
    }

    /** Applies a change and returns whether it had an effect: the deletion of an absent key has none. */
    private boolean apply(KeyChange change) {
        if (change.value() == null) {
            return entries.remove(change.key()) != null;
        }
        entries.put(
                change.key(),
                new KeyEntry(change.key(), change.value(), change.createRevision(), change.modRevision()));
        return true;
    }

    /** Handles a progress notification: all changes up to a revision have been sent. */
    public void progressReceived(long now, long eventCall, long memberHistory, long memberRevision) {
        if (isCurrentCall(eventCall)
                && fragments.isEmpty()
                && !requestQuorumReadIfBehind(now, memberHistory, memberRevision)) {
            lastReceivedMicros = now;
            revision = memberRevision;
            markConfirmed(now);
        }
    }

    /**
     * Handles a compaction: the changes after the revision are no longer available.
     *
     * @param oldestRevision the oldest revision that is available
     */
    public void revisionCompacted(long now, long eventCall, long oldestRevision) {
        if (isCurrentCall(eventCall)) {
            actions.log("revision " + revision + " has been compacted, the oldest is " + oldestRevision
                    + "; everything is read anew");
            // Does not wait for the full backoff again: the call has just waited for it, and the missing changes may
            // include a drain.
            state = State.COMPACTED;
            endCall(false);
            scheduleCall(now, jitter.applyAsLong(limits.minBackoffMicros()));
        }
    }

    /**
     * Handles the failure of a call, or of the attempt to make it.
     *
     * @param overloaded whether the registry reports that it is overloaded
     */
    public void callFailed(long now, long eventCall, String reason, boolean overloaded) {
        if (!isCurrentCall(eventCall)) {
            return;
        }
        actions.log(reason);
        if (state == State.WATCHING) {
            state = State.RESUMING;
        }
        endCall(true);
        scheduleRetry(now, overloaded);
    }

    /** Handles a timer that was scheduled with {@link Actions#scheduleTimer}. */
    public void timerFired(long now) {
        if (closed || now < nextTimerMicros) {
            return;
        }
        nextTimerMicros = Long.MAX_VALUE;
        if (!stale && now - lastConfirmedMicros >= limits.staleAfterMicros()) {
            stale = true;
            actions.log("not confirmed for " + (now - lastConfirmedMicros) / 1_000_000
                    + " s; what is known goes on being used");
            actions.staleChanged(true);
        }
        if (!callInProgress && now >= nextCallMicros) {
            beginCall(now);
        } else if (callInProgress && now - lastReceivedMicros >= limits.silenceTimeoutMicros()) {
            callFailed(now, call, "nothing came for " + (now - lastReceivedMicros) / 1_000_000 + " s", false);
        } else if (callInProgress && watchCall && now >= nextFullReadMicros) {
            scheduleFullRead(now, State.LISTING, false);
        } else if (callInProgress
                && watchCall
                && limits.progressIntervalMicros() > 0
                && now - lastProgressRequestMicros >= limits.progressIntervalMicros()) {
            lastProgressRequestMicros = now;
            actions.requestProgress(call);
        }
        armTimer(now);
    }

    // ---- State ----

    /** Returns the entries by key, as of the revision. */
    public Map<String, KeyEntry> entries() {
        return Collections.unmodifiableMap(entries);
    }

    /** Returns the revision up to which all changes are known; negative while none is. */
    public long revision() {
        return revision;
    }

    /** Returns the identity of the history that the revisions belong to; 0 while none is known. */
    public long history() {
        return history;
    }

    /** Returns the present state. */
    public State state() {
        return state;
    }

    /** Returns for how long the entries have not been confirmed, in microseconds. */
    public long unconfirmedMicros(long now) {
        return now - lastConfirmedMicros;
    }

    // ---- Calls ----

    private boolean isCurrentCall(long eventCall) {
        return callInProgress && eventCall == call && !closed;
    }

    /**
     * Requests a quorum read if a member's revision is lower or of another history: the member may lag, or the
     * registry may have been restored from a backup. Returns whether it did.
     */
    private boolean requestQuorumReadIfBehind(long now, long otherHistory, long otherRevision) {
        if (otherHistory == history && otherRevision >= revision) {
            return false;
        }
        requestQuorumRead(now, otherHistory, otherRevision);
        return true;
    }

    private void requestQuorumRead(long now, long otherHistory, long otherRevision) {
        actions.log(describe(otherHistory, otherRevision) + " is not believed after " + describe(history, revision)
                + "; a quorum is asked");
        scheduleFullRead(now, State.VERIFYING, true);
    }

    private static String describe(long otherHistory, long otherRevision) {
        return "revision " + otherRevision + " of " + Long.toHexString(otherHistory);
    }

    /** Schedules a full read with a random delay, since the same event makes every agent do so. */
    private void scheduleFullRead(long now, State nextState, boolean memberFailed) {
        state = nextState;
        endCall(memberFailed);
        scheduleRetry(now, false);
    }

    private void endCall(boolean failed) {
        callInProgress = false;
        call++;
        fragments.clear();
        actions.endCall(failed);
    }

    /** Uses full jitter: doubled delays alone would keep agents that started together synchronised. */
    private void scheduleRetry(long now, boolean overloaded) {
        long waitMicros = jitter.applyAsLong(backoffMicros);
        backoffMicros = Math.min(
                2 * backoffMicros,
                limits.maxBackoffMicros() * (overloaded ? FollowerLimits.OVERLOAD_BACKOFF_FACTOR : 1));
        scheduleCall(now, waitMicros);
    }

    private void scheduleCall(long now, long waitMicros) {
        nextCallMicros = now + waitMicros;
        armTimer(now);
    }

    private void beginCall(long now) {
        call++;
        callInProgress = true;
        lastReceivedMicros = now;
        lastProgressRequestMicros = now;
        watchCall = revision >= 0 && (state == State.WATCHING || state == State.RESUMING);
        if (watchCall) {
            actions.watch(call, revision);
        } else {
            actions.list(call, state == State.VERIFYING);
        }
        armTimer(now);
    }

    private void markConfirmed(long now) {
        lastReceivedMicros = now;
        lastConfirmedMicros = now;
        // Halves the backoff instead of resetting it: one response does not mean that the overload has ended.
        backoffMicros = Math.max(limits.minBackoffMicros(), backoffMicros / 2);
        if (stale) {
            stale = false;
            actions.staleChanged(false);
        }
    }

    private void armTimer(long now) {
        long wakeMicros = callInProgress ? lastReceivedMicros + limits.silenceTimeoutMicros() : nextCallMicros;
        if (callInProgress && watchCall) {
            wakeMicros = Math.min(wakeMicros, nextFullReadMicros);
            wakeMicros = limits.progressIntervalMicros() > 0
                    ? Math.min(wakeMicros, lastProgressRequestMicros + limits.progressIntervalMicros())
                    : wakeMicros;
        }
        wakeMicros = stale ? wakeMicros : Math.min(wakeMicros, lastConfirmedMicros + limits.staleAfterMicros());
        if (wakeMicros < nextTimerMicros && !closed) {
            nextTimerMicros = wakeMicros;
            actions.scheduleTimer(Math.max(0, wakeMicros - now));
        }
    }
}
