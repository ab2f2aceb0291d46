package gatefront.registry.follower;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.world.KeyValueStore;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Runs random histories of a registry with all faults of the registry and the network, on virtual time. The changes
 * that the follower applies are compared with those of a copy of the registry that is never compacted: none may be
 * missing or repeated.
 */
class FollowerModelTest {
    private static final int HISTORIES = 10_000;
    private static final String PREFIX = "a/";
    private static final String END = KeyValueStore.prefixEnd(PREFIX);
    private static final long MS = 1_000;
    private static final FollowerLimits LIMITS =
            new FollowerLimits(50 * MS, 1_000 * MS, 0, 2_000 * MS, 6_000 * MS, 15_000 * MS, 60_000 * MS, 1_000);

    /** How often each fault occurred in all histories: a fault that never occurs is not tested. */
    private final Map<String, Integer> faultCounts = new TreeMap<>();

    @Test
    void eachChangeIsAppliedOnceAndInOrderWithWatches() {
        for (int seed = 0; seed < HISTORIES; seed++) {
            new World(seed, faultCounts, 0).runHistory();
        }
        for (String fault : List.of(
                "compacted",
                "dropped",
                "silent",
                "repeated",
                "fragments",
                "lagging",
                "restored",
                "restored under the same name",
                "full with changes",
                "changes",
                "not believed",
                "deleted and made again")) {
            assertTrue(
                    faultCounts.getOrDefault(fault, 0) > 200,
                    fault + " was met " + faultCounts.get(fault) + " times of " + faultCounts);
        }
    }

    /** The same where each call ends with its response, as blocking queries do. */
    @Test
    void noChangeIsLostWithBlockingQueries() {
        for (int seed = 0; seed < HISTORIES / 5; seed++) {
            new World(seed, faultCounts, 100 * MS).runHistory();
        }
        assertTrue(faultCounts.get("full with changes") > 10_000, faultCounts.toString());
    }

    /** A registry, a follower, and the network between them. */
    private static final class World implements Follower.Actions {
        private record Event(long at, long order, Runnable action) {}

        private final SplittableRandom random;
        private final Map<String, Integer> faultCounts;
        private final long pause;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
        private final Follower follower;
        private KeyValueStore store = new KeyValueStore(1);
        private KeyValueStore uncompactedStore = new KeyValueStore(1);
        private KeyValueStore backup = store.backup();
        private KeyValueStore uncompactedBackup = uncompactedStore.backup();
        private final Map<String, String> applied = new TreeMap<>();
        private long now;
        private long nextEventOrder;
        private boolean faultsEnded;
        /**
         * The active watch: its call, the revision up to which changes were sent, and by how many revisions its member
         * lags.
         */
        private long activeWatch = -1;

        private long sentRevision;
        private long memberLag;
        private long lastArrival;
        /**
         * The revision up to which the changes were compared with the uncompacted copy, and whether the follower's
         * history may differ from that copy's.
         */
        private long verifiedRevision = -1;

        private boolean historyUncertain;
        private long historyCount = 1;

        World(long seed, Map<String, Integer> faultCounts, long pause) {
            this.random = new SplittableRandom(seed);
            this.faultCounts = faultCounts;
            this.pause = pause;
            this.follower = new Follower(
                    new FollowerLimits(
                            LIMITS.minBackoffMicros(),
                            LIMITS.maxBackoffMicros(),
                            pause,
                            pause > 0 ? 0 : LIMITS.progressIntervalMicros(),
                            LIMITS.silenceTimeoutMicros(),
                            LIMITS.staleAfterMicros(),
                            LIMITS.fullReadIntervalMicros(),
                            LIMITS.maxKeys()),
                    seed,
                    this);
        }

        void runHistory() {
            for (int i = 0; i < 3; i++) {
                write();
            }
            follower.start(0);
            schedule(0, this::injectFault);
            run(30_000 * MS);
            faultsEnded = true;
            run(30_000 * MS + 2 * LIMITS.fullReadIntervalMicros() + 2 * LIMITS.silenceTimeoutMicros());
            // A periodic full read is in progress.
            if (follower.state() == Follower.State.LISTING) {
                run(now + 1_000 * MS);
            }
            assertEquals(
                    entries(store.range(PREFIX, END, store.revision())),
                    List.copyOf(follower.entries().values()),
                    "the final entries are those of the registry");
            assertEquals(Follower.State.WATCHING, follower.state());
            assertTrue(follower.unconfirmedMicros(now) < LIMITS.staleAfterMicros());
        }

        private void run(long until) {
            while (!events.isEmpty() && events.peek().at <= until) {
                Event next = events.poll();
                now = next.at;
                next.action.run();
            }
            now = until;
        }

        private void schedule(long timeMicros, Runnable action) {
            events.add(new Event(Math.max(now, timeMicros), nextEventOrder++, action));
        }

        private void count(String fault) {
            faultCounts.merge(fault, 1, Integer::sum);
        }

        /** Injects a random change or fault into the registry. */
        private void injectFault() {
            if (faultsEnded) {
                return;
            }
            int choice = random.nextInt(40);
            if (choice < 28) {
                write();
            } else if (choice < 31) {
                store.compact(store.revision() - random.nextInt(4));
            } else if (choice == 31) {
                backup = store.backup();
                uncompactedBackup = uncompactedStore.backup();
            } else if (choice == 32 && random.nextInt(4) == 0) {
                restore();
            } else if (choice < 36 && activeWatch >= 0) {
                long call = activeWatch;
                activeWatch = -1;
                if (random.nextInt(3) == 0) {
                    count("silent");
                } else {
                    count("dropped");
                    deliver(() -> follower.callFailed(now, call, "dropped", random.nextInt(4) == 0));
                }
            }
            schedule(now + random.nextLong(300 * MS), this::injectFault);
            schedule(now + random.nextLong(100 * MS), this::sendChanges);
        }

        private void write() {
            Map<String, String> changes = new TreeMap<>();
            for (int i = random.nextInt(3); i >= 0; i--) {
                String key = (random.nextInt(4) == 0 ? "b/" : PREFIX) + random.nextInt(8);
                changes.put(key, random.nextInt(3) == 0 ? null : "v" + random.nextInt(1_000_000));
            }
            store.commit(changes);
            uncompactedStore.commit(changes);
            if (random.nextInt(10) == 0) {
                String key = PREFIX + random.nextInt(8);
                store.delete(key);
                uncompactedStore.delete(key);
                store.put(key, "again");
                uncompactedStore.put(key, "again");
                count("deleted and made again");
            }
        }

        private void restore() {
            boolean newHistory = random.nextBoolean();
            count(newHistory ? "restored" : "restored under the same name");
            store = backup.backup();
            KeyValueStore restored = uncompactedBackup.backup();
            if (newHistory) {
                store.changeClusterId(++historyCount);
                restored.changeClusterId(historyCount);
            }
            uncompactedStore = restored;
            historyUncertain = true;
            // All members have been restarted.
            activeWatch = -1;
        }

        private void deliver(Runnable action) {
            lastArrival = Math.max(lastArrival + 1, now + random.nextLong(20 * MS));
            schedule(lastArrival, action);
        }

        private static KeyChange change(KeyValueStore.Event event) {
            return event.after() == null
                    ? KeyChange.deleted(event.key(), event.revision())
                    : new KeyChange(
                            event.key(), event.after().value(), event.after().createRevision(), event.revision());
        }

        private List<KeyEntry> entries(List<KeyValueStore.KeyValue> all) {
            return all.stream()
                    .map(entry -> new KeyEntry(entry.key(), entry.value(), entry.createRevision(), entry.modRevision()))
                    .toList();
        }

        @Override
        public void list(long call, boolean quorum) {
            boolean succeeds = faultsEnded || random.nextInt(8) > 0;
            boolean linearizable = quorum || random.nextBoolean();
            boolean stale = !faultsEnded && !linearizable && random.nextInt(3) == 0;
            schedule(now + random.nextLong(50 * MS), () -> {
                if (!succeeds) {
                    deliver(() -> follower.callFailed(now, call, "dropped", false));
                    return;
                }
                long revision = stale
                        ? Math.max(store.oldestRevision() - 1, store.revision() - random.nextInt(5))
                        : store.revision();
                read(call, revision, linearizable);
            });
        }

        private void read(long call, long revision, boolean linearizable) {
            List<KeyEntry> entries = entries(store.range(PREFIX, END, revision));
            KeyValueStore readStore = uncompactedStore;
            long history = store.clusterId();
            deliver(() -> {
                follower.listReceived(now, call, history, revision, linearizable, entries);
                if (follower.revision() == revision
                        && follower.history() == history
                        && readStore == uncompactedStore
                        && List.copyOf(follower.entries().values()).equals(entries)) {
                    verifiedRevision = revision;
                    historyUncertain = false;
                }
            });
        }

        @Override
        public void watch(long call, long revision) {
            schedule(now + random.nextLong(30 * MS), () -> {
                if (!faultsEnded && random.nextInt(8) == 0) {
                    deliver(() -> follower.callFailed(now, call, "no connection", false));
                    return;
                }
                activeWatch = call;
                sentRevision = revision;
                memberLag = faultsEnded ? 0 : random.nextInt(3) == 0 ? random.nextInt(4) : 0;
                if (memberLag > 0) {
                    count("lagging");
                }
                long history = store.clusterId();
                long header = store.revision() - memberLag;
                if (pause == 0) {
                    deliver(() -> follower.watchCreated(now, call, history, header));
                } else if (faultsEnded) {
                    schedule(now + 1_000 * MS, () -> endBlockingQuery(call));
                }
                sendChanges();
            });
        }

        /** Ends a blocking query whose wait time is over. */
        private void endBlockingQuery(long call) {
            if (activeWatch == call) {
                activeWatch = -1;
                read(call, store.revision(), false);
            }
        }

        /** Sends the pending changes of the active watch. */
        private void sendChanges() {
            if (activeWatch < 0) {
                return;
            }
            long call = activeWatch;
            if (pause > 0) {
                if (sentRevision != store.revision()) {
                    activeWatch = -1;
                    read(call, Math.max(store.oldestRevision() - 1, store.revision() - memberLag), false);
                }
                return;
            }
            List<KeyValueStore.Event> pending = store.changesAfter(PREFIX, END, sentRevision);
            if (pending == null) {
                count("compacted");
                long oldest = store.oldestRevision();
                activeWatch = -1;
                deliver(() -> follower.revisionCompacted(now, call, oldest));
                return;
            }
            long visibleRevision = faultsEnded ? store.revision() : store.revision() - memberLag;
            List<KeyValueStore.Event> visible = pending.stream()
                    .filter(event -> event.revision() <= visibleRevision)
                    .toList();
            if (visible.isEmpty()) {
                return;
            }
            if (!faultsEnded && random.nextInt(5) == 0 && store.changesAfter(PREFIX, END, sentRevision - 3) != null) {
                count("repeated");
                visible = store.changesAfter(PREFIX, END, sentRevision - 3).stream()
                        .filter(event -> event.revision() <= visibleRevision)
                        .toList();
            }
            sentRevision = visible.get(visible.size() - 1).revision();
            List<KeyChange> changes = visible.stream().map(World::change).toList();
            int fragmentEnd = random.nextInt(changes.size() + 1);
            if (fragmentEnd > 0 && fragmentEnd < changes.size()) {
                count("fragments");
                deliver(() -> follower.changesReceived(now, call, changes.subList(0, fragmentEnd), true));
            }
            deliver(() -> follower.changesReceived(
                    now,
                    call,
                    fragmentEnd < changes.size() ? changes.subList(fragmentEnd, changes.size()) : changes,
                    false));
        }

        @Override
        public void requestProgress(long call) {
            sendChanges();
            if (activeWatch == call) {
                long history = store.clusterId();
                long upTo = Math.max(sentRevision, store.revision() - (faultsEnded ? 0 : memberLag));
                if (store.changesAfter(PREFIX, END, sentRevision) != null
                        && store.changesAfter(PREFIX, END, sentRevision).stream()
                                .noneMatch(change -> change.revision() <= upTo)) {
                    deliver(() -> follower.progressReceived(now, call, history, upTo));
                }
            }
        }

        @Override
        public void endCall(boolean failed) {
            activeWatch = -1;
        }

        @Override
        public void scheduleTimer(long delay) {
            schedule(now + delay, () -> follower.timerFired(now));
        }

        @Override
        public void changed(boolean full, List<KeyChange> changes) {
            count(full ? "full with changes" : "changes");
            for (KeyChange change : changes) {
                if (change.value() == null) {
                    assertNotNull(applied.remove(change.key()), "deleted twice: " + change);
                } else {
                    assertFalse(
                            change.value().equals(applied.put(change.key(), change.value() + change.modRevision())),
                            "again");
                }
            }
            Map<String, String> expected = new TreeMap<>();
            follower.entries()
                    .values()
                    .forEach(change -> expected.put(change.key(), change.value() + change.modRevision()));
            assertEquals(expected, applied, "the changes add up to the entries");
            if (!full && !historyUncertain) {
                long revision = follower.revision();
                assertEquals(
                        uncompactedStore.changesAfter(PREFIX, END, verifiedRevision).stream()
                                .filter(change -> change.revision() <= revision)
                                .map(World::change)
                                .toList(),
                        changes);
                verifiedRevision = revision;
            }
        }

        @Override
        public void staleChanged(boolean now) {}

        @Override
        public void log(String line) {
            if (line.contains("not believed")) {
                count("not believed");
            }
        }
    }
}
