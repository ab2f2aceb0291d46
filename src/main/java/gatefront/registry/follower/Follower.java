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
 * Follows the keys below a prefix of a registry that numbers its states: a full read, then what has changed since. For
 * registries that send changes (etcd) and for those whose every answer is a full read that waited for one (Consul).
 * No I/O; the time is told with each event, in microseconds.
 *
 * <p>What always holds:
 * <ul>
 * <li>The state is that of the registry at {@link #revision()}: it changes only by a whole revision's changes, or
 * by a full read at one revision. A failure of whatever kind leaves it as it is.
 * <li>No change is applied twice: what is not newer than the revision is passed over. None is left out: each watch
 * begins behind the revision, a call's events come in their order, and where either cannot be had (compacted, out of
 * order, another history) everything is read anew; what that read lacks has been deleted.
 * <li>The revision goes back only by a full read that a quorum answers for. A member that is merely behind is not
 * believed.
 * <li>One call is out at the most, and events of any other are passed over.
 * </ul>
 *
 * <p>State: the keys, at most {@link FollowerLimits#keys}, each removed by its deletion or by a full read without it;
 * the changes of one message in fragments, at most twice as many, dropped with their call.
 */
public final class Follower {
    /** Where it stands. */
    public enum State {
        /** Everything is to be read; what was known before stays until then. */
        LISTING,
        /** Told of what changes. */
        WATCHING,
        /** The state is known up to a revision; a watch from there on is to begin. */
        RESUMING,
        /** The same, since the registry no longer has what changed after the revision. */
        COMPACTED,
        /** A lower revision or another history was seen; a quorum is to tell, and until then the old state stays. */
        DOUBTING
    }

    /** What it wants done, and what it has found. */
    public interface Actions {
        /**
         * Reads everything at one revision.
         *
         * @param call comes back with each event of it
         * @param quorum whether a member's own word will not do
         */
        void list(long call, boolean quorum);

        /**
         * Waits for what has changed behind a revision.
         *
         * @param call comes back with each event of it
         * @param revision up to which all is known
         */
        void watch(long call, long revision);

        /** Asks the watch how far it is. */
        void ask(long call);

        /**
         * Ends the call that is out.
         *
         * @param failed whether the member is to blame, and the next call is better made to another
         */
        void drop(boolean failed);

        /** Asks for {@link Follower#timer}. */
        void timer(long delay);

        /**
         * The state has changed; {@link Follower#entries()} has it whole.
         *
         * @param full whether by a full read; the changes are then those that it shows
         * @param changes in the order of their revisions; what a full read lacks has that read's revision
         */
        void changed(boolean full, List<KeyChange> changes);

        /** The state has become stale, or is no longer. */
        void stale(boolean now);

        /** One plain line for staff. */
        void log(String line);
    }

    private final FollowerLimits bounds;
    private final Actions actions;
    /** A moment of chance from 0 up to its argument. */
    private final LongUnaryOperator jitter;

    private final TreeMap<String, KeyEntry> entries = new TreeMap<>();
    private State state = State.LISTING;
    /** Of which registry the revisions are; 0 while none is known. */
    private long history;
    /** Up to which all is known; negative while nothing is. */
    private long revision = -1;

    private long call;
    /** Whether a call is out, and whether that is a watch. */
    private boolean out;

    private boolean watch;
    /** When the next call is made; when something last came of the one that is out; when that was last asked. */
    private long callAt;

    private long heardAt;
    private long askedAt;
    /** When the state was last known to be that of the registry. */
    private long freshAt;

    private long rereadAt = Long.MAX_VALUE;
    private boolean stale;
    private long backoff;
    private final List<KeyChange> fragments = new ArrayList<>();
    private boolean closed;
    /** The earliest timer asked for; one that comes before it is an older one. */
    private long timerAt = Long.MAX_VALUE;

    /**
     * One that knows nothing.
     *
     * @param bounds what it keeps to
     * @param seed for its jitter; agents must not share it
     * @param actions what it wants done
     */
    public Follower(FollowerLimits bounds, long seed, Actions actions) {
        this(bounds, most(new SplittableRandom(seed)), actions);
    }

    private static LongUnaryOperator most(SplittableRandom random) {
        return most -> random.nextLong(most + 1);
    }

    /** With another jitter. */
    Follower(FollowerLimits bounds, LongUnaryOperator jitter, Actions actions) {
        this.bounds = bounds;
        this.actions = actions;
        this.jitter = jitter;
        this.backoff = bounds.backoffLeast();
    }

    // ---- Events ----

    /**
     * Goes on from a state kept earlier; before {@link #start}. It is stale until the registry has confirmed it.
     *
     * @param ofHistory whose revisions they are
     * @param atRevision up to which all was known
     * @param kept the keys then
     */
    public void restore(long ofHistory, long atRevision, List<KeyEntry> kept) {
        history = ofHistory;
        revision = atRevision;
        state = State.RESUMING;
        kept.forEach(each -> entries.put(each.key(), each));
        stale = true;
    }

    /** Begins. */
    public void start(long now) {
        freshAt = now;
        begin(now);
    }

    /** Ends; nothing is asked for any more. */
    public void close() {
        closed = true;
        end(false);
    }

    /** Something has come that is not yet an event: a page of a read. */
    public void heard(long now, long ofCall) {
        if (mine(ofCall)) {
            heardAt = now;
        }
    }

    /**
     * A full read has been answered, all of it as of one revision.
     *
     * @param ofHistory whose revisions these are, never 0; a registry that has no name for it gives 1
     * @param quorum whether a quorum answers for it
     */
    public void listed(long now, long ofCall, long ofHistory, long atRevision, boolean quorum, List<KeyEntry> all) {
        if (!mine(ofCall)) {
            return;
        }
        if (all.size() > bounds.keys()) {
            failed(now, ofCall, all.size() + " keys, more than the " + bounds.keys() + " keys that are kept", true);
            return;
        }
        boolean first = revision < 0;
        boolean back = !first && (ofHistory != history || atRevision < revision);
        if (back && !quorum) {
            doubt(now, ofHistory, atRevision);
            return;
        }
        List<KeyChange> changes = difference(all, atRevision);
        if (back) {
            actions.log("the registry has another history: " + named(ofHistory, atRevision) + " after "
                    + named(history, revision) + "; its full read is taken");
        } else if (atRevision == revision && !changes.isEmpty()) {
            actions.log("a full read at the same revision " + revision + " shows " + changes.size()
                    + " changes that were not told; it is taken");
        }
        history = ofHistory;
        revision = atRevision;
        state = State.WATCHING;
        rereadAt = bounds.reread() == 0
                ? Long.MAX_VALUE
                : now + bounds.reread() / 2 + jitter.applyAsLong(bounds.reread() / 2);
        fresh(now);
        end(false);
        if (first || !changes.isEmpty()) {
            entries.clear();
            all.forEach(each -> entries.put(each.key(), each));
            actions.changed(true, changes);
        }
        after(now, bounds.pause() == 0 ? 0 : bounds.pause() + jitter.applyAsLong(bounds.pause()));
    }

    /** What tells the state known from a full read, in the order of revisions. */
    private List<KeyChange> difference(List<KeyEntry> all, long atRevision) {
        Map<String, KeyEntry> lacking = new TreeMap<>(entries);
        List<KeyChange> changes = new ArrayList<>();
        for (KeyEntry each : all) {
            if (!each.equals(lacking.remove(each.key()))) {
                changes.add(KeyChange.put(each));
            }
        }
        lacking.keySet().forEach(key -> changes.add(KeyChange.deleted(key, atRevision)));
        changes.sort(Comparator.comparingLong(KeyChange::modified).thenComparing(KeyChange::key));
        return changes;
    }

    /**
     * The watch stands; what has changed will come.
     *
     * @param ofHistory whose revisions these are
     * @param atRevision how far the member is that watches
     */
    public void watching(long now, long ofCall, long ofHistory, long atRevision) {
        if (mine(ofCall) && !behind(now, ofHistory, atRevision)) {
            heardAt = now;
            state = State.WATCHING;
            if (bounds.ask() > 0) {
                askedAt = now;
                actions.ask(call); // so that what has changed meanwhile, or that nothing has, is known soon
            }
        }
    }

    /**
     * Changes, in the order of their revisions; those of one revision come together.
     *
     * @param more whether the rest of the last revision is still to come
     */
    public void changes(long now, long ofCall, List<KeyChange> some, boolean more) {
        if (!mine(ofCall)) {
            return;
        }
        heardAt = now;
        fragments.addAll(some);
        if (fragments.size() > 2 * bounds.keys()) {
            failed(now, ofCall, "a message of more than " + 2 * bounds.keys() + " changes", false);
            return;
        }
        if (more) {
            return;
        }
        List<KeyChange> changes = new ArrayList<>(fragments.size());
        long last = revision;
        for (KeyChange each : fragments) {
            if (each.modified() > revision) { // else it has been applied: a watch may begin too early, or tell twice
                if (each.modified() < last) {
                    actions.log("revision " + each.modified() + " came after " + last + "; everything is read anew");
                    reread(now, State.LISTING, true);
                    return;
                }
                last = each.modified();
                changes.add(each);
            }
        }
        fragments.clear();
        long added = changes.stream()
                .filter(each -> each.value() != null && !entries.containsKey(each.key()))
                .map(KeyChange::key)
                .distinct()
                .count();
        if (entries.size() + added > bounds.keys()) {
            failed(now, ofCall, "more than the " + bounds.keys() + " keys that are kept", true);
            return;
        }
        changes.removeIf(each -> !apply(each));
        revision = last;
        fresh(now);
        if (!changes.isEmpty()) {
            actions.changed(false, changes);
        }
    }

    /** Takes in a change; whether it is one: a key that is not there cannot go. */
    private boolean apply(KeyChange change) {
        if (change.value() == null) {
            return entries.remove(change.key()) != null;
        }
        entries.put(change.key(), new KeyEntry(change.key(), change.value(), change.created(), change.modified()));
        return true;
    }

    /** All up to a revision has been told. */
    public void progress(long now, long ofCall, long ofHistory, long atRevision) {
        if (mine(ofCall) && fragments.isEmpty() && !behind(now, ofHistory, atRevision)) {
            heardAt = now;
            revision = atRevision;
            fresh(now);
        }
    }

    /**
     * What has changed since the revision is no longer to be had.
     *
     * @param oldest the first revision that is
     */
    public void compacted(long now, long ofCall, long oldest) {
        if (mine(ofCall)) {
            actions.log("revision " + revision + " has been compacted, the oldest is " + oldest
                    + "; everything is read anew");
            // Not another of the long waits: the call has just waited one, and a drain may be among what is lacking.
            state = State.COMPACTED;
            end(false);
            after(now, jitter.applyAsLong(bounds.backoffLeast()));
        }
    }

    /**
     * A call has ended, or could not be made.
     *
     * @param overloaded whether the registry says that it has too much to do
     */
    public void failed(long now, long ofCall, String why, boolean overloaded) {
        if (!mine(ofCall)) {
            return;
        }
        actions.log(why);
        if (state == State.WATCHING) {
            state = State.RESUMING;
        }
        end(true);
        backOff(now, overloaded);
    }

    /** A timer has come due. */
    public void timer(long now) {
        if (closed || now < timerAt) {
            return;
        }
        timerAt = Long.MAX_VALUE;
        if (!stale && now - freshAt >= bounds.stale()) {
            stale = true;
            actions.log("not confirmed for " + (now - freshAt) / 1_000_000 + " s; what is known goes on being used");
            actions.stale(true);
        }
        if (!out && now >= callAt) {
            begin(now);
        } else if (out && now - heardAt >= bounds.silence()) {
            failed(now, call, "nothing came for " + (now - heardAt) / 1_000_000 + " s", false);
        } else if (out && watch && now >= rereadAt) {
            reread(now, State.LISTING, false);
        } else if (out && watch && bounds.ask() > 0 && now - askedAt >= bounds.ask()) {
            askedAt = now;
            actions.ask(call);
        }
        arm(now);
    }

    // ---- What it knows ----

    /** The keys with their values, as of the revision. */
    public Map<String, KeyEntry> entries() {
        return Collections.unmodifiableMap(entries);
    }

    /** Up to which all is known; negative while nothing is. */
    public long revision() {
        return revision;
    }

    /** Whose revisions they are; 0 while nothing is known. */
    public long history() {
        return history;
    }

    /** Where it stands. */
    public State state() {
        return state;
    }

    /** For how long the state has not been confirmed. */
    public long age(long now) {
        return now - freshAt;
    }

    // ---- Calls ----

    private boolean mine(long ofCall) {
        return out && ofCall == call && !closed;
    }

    /** Whether a member's revision is before ours or of another history: it may lag, or all may have gone back. */
    private boolean behind(long now, long ofHistory, long atRevision) {
        if (ofHistory == history && atRevision >= revision) {
            return false;
        }
        doubt(now, ofHistory, atRevision);
        return true;
    }

    private void doubt(long now, long ofHistory, long atRevision) {
        actions.log(named(ofHistory, atRevision) + " is not believed after " + named(history, revision)
                + "; a quorum is asked");
        reread(now, State.DOUBTING, true);
    }

    private static String named(long ofHistory, long atRevision) {
        return "revision " + atRevision + " of " + Long.toHexString(ofHistory);
    }

    /** Everything is to be read; not by all agents at one moment, for what makes one do it makes all. */
    private void reread(long now, State why, boolean elsewhere) {
        state = why;
        end(elsewhere);
        backOff(now, false);
    }

    private void end(boolean failed) {
        out = false;
        call++;
        fragments.clear();
        actions.drop(failed);
    }

    /** Full jitter: doubled steps alone would keep those that began together in step for ever. */
    private void backOff(long now, boolean overloaded) {
        long wait = jitter.applyAsLong(backoff);
        backoff = Math.min(2 * backoff, bounds.backoffMost() * (overloaded ? FollowerLimits.OVERLOADED : 1));
        after(now, wait);
    }

    private void after(long now, long wait) {
        callAt = now + wait;
        arm(now);
    }

    private void begin(long now) {
        call++;
        out = true;
        heardAt = now;
        askedAt = now;
        watch = revision >= 0 && (state == State.WATCHING || state == State.RESUMING);
        if (watch) {
            actions.watch(call, revision);
        } else {
            actions.list(call, state == State.DOUBTING);
        }
        arm(now);
    }

    private void fresh(long now) {
        heardAt = now;
        freshAt = now;
        backoff = Math.max(bounds.backoffLeast(), backoff / 2); // one answer does not end the crowd
        if (stale) {
            stale = false;
            actions.stale(false);
        }
    }

    private void arm(long now) {
        long at = out ? heardAt + bounds.silence() : callAt;
        if (out && watch) {
            at = Math.min(at, rereadAt);
            at = bounds.ask() > 0 ? Math.min(at, askedAt + bounds.ask()) : at;
        }
        at = stale ? at : Math.min(at, freshAt + bounds.stale());
        if (at < timerAt && !closed) {
            timerAt = at;
            actions.timer(Math.max(0, at - now));
        }
    }
}
