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
 * Random histories of a registry with all that it and the way to it may do wrong, on virtual time. What the follower
 * applies is held against a twin of the registry that is never compacted: change by change, without gap or repeat.
 */
class FollowerModelTest {
    private static final int HISTORIES = 10_000;
    private static final String PREFIX = "a/";
    private static final String END = KeyValueStore.prefixEnd(PREFIX);
    private static final long MS = 1_000;
    private static final FollowerLimits BOUNDS =
            new FollowerLimits(50 * MS, 1_000 * MS, 0, 2_000 * MS, 6_000 * MS, 15_000 * MS, 60_000 * MS, 1_000);

    /** What was met over all histories: a fault that never happens proves nothing. */
    private final Map<String, Integer> met = new TreeMap<>();

    @Test
    void eachChangeIsAppliedOnceAndInOrder() {
        for (int seed = 0; seed < HISTORIES; seed++) {
            new World(seed, met, 0).play();
        }
        for (String each : List.of(
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
            assertTrue(met.getOrDefault(each, 0) > 200, each + " was met " + met.get(each) + " times of " + met);
        }
    }

    /** The same where each call ends with its answer, as blocking reads do. */
    @Test
    void readsThatWaitMissNothingEither() {
        for (int seed = 0; seed < HISTORIES / 5; seed++) {
            new World(seed, met, 100 * MS).play();
        }
        assertTrue(met.get("full with changes") > 10_000, met.toString());
    }

    /** A registry, a follower, and the way between. */
    private static final class World implements Follower.Actions {
        private record Event(long at, long order, Runnable what) {}

        private final SplittableRandom random;
        private final Map<String, Integer> met;
        private final long pause;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
        private final Follower follower;
        private KeyValueStore store = new KeyValueStore(1);
        private KeyValueStore twin = new KeyValueStore(1);
        private KeyValueStore backup = store.backup();
        private KeyValueStore twinBackup = twin.backup();
        private final Map<String, String> applied = new TreeMap<>();
        private long now;
        private long order;
        private boolean calm;
        /** The watch that stands at the registry: its call, how far it has told, by how much its member lags. */
        private long watching = -1;

        private long told;
        private long lag;
        private long lastArrival;
        /** Up to which the twin's changes were applied, and whether its history may be another than theirs. */
        private long checked = -1;

        private boolean blurred;
        private long histories = 1;

        World(long seed, Map<String, Integer> met, long pause) {
            this.random = new SplittableRandom(seed);
            this.met = met;
            this.pause = pause;
            this.follower = new Follower(
                    new FollowerLimits(
                            BOUNDS.backoffLeast(),
                            BOUNDS.backoffMost(),
                            pause,
                            pause > 0 ? 0 : BOUNDS.ask(),
                            BOUNDS.silence(),
                            BOUNDS.stale(),
                            BOUNDS.reread(),
                            BOUNDS.keys()),
                    seed,
                    this);
        }

        void play() {
            for (int i = 0; i < 3; i++) {
                write();
            }
            follower.start(0);
            at(0, this::life);
            run(30_000 * MS);
            calm = true;
            run(30_000 * MS + 2 * BOUNDS.reread() + 2 * BOUNDS.silence());
            if (follower.state() == Follower.State.LISTING) { // everything is being read anew, as it is now and then
                run(now + 1_000 * MS);
            }
            assertEquals(
                    entries(store.range(PREFIX, END, store.revision())),
                    List.copyOf(follower.entries().values()),
                    "the end is the registry's");
            assertEquals(Follower.State.WATCHING, follower.state());
            assertTrue(follower.age(now) < BOUNDS.stale());
        }

        private void run(long until) {
            while (!events.isEmpty() && events.peek().at <= until) {
                Event next = events.poll();
                now = next.at;
                next.what.run();
            }
            now = until;
        }

        private void at(long when, Runnable what) {
            events.add(new Event(Math.max(now, when), order++, what));
        }

        private void count(String what) {
            met.merge(what, 1, Integer::sum);
        }

        /** Something happens to the registry. */
        private void life() {
            if (calm) {
                return;
            }
            int what = random.nextInt(40);
            if (what < 28) {
                write();
            } else if (what < 31) {
                store.compact(store.revision() - random.nextInt(4));
            } else if (what == 31) {
                backup = store.backup();
                twinBackup = twin.backup();
            } else if (what == 32 && random.nextInt(4) == 0) {
                restore();
            } else if (what < 36 && watching >= 0) {
                long call = watching;
                watching = -1;
                if (random.nextInt(3) == 0) {
                    count("silent");
                } else {
                    count("dropped");
                    arrive(() -> follower.failed(now, call, "dropped", random.nextInt(4) == 0));
                }
            }
            at(now + random.nextLong(300 * MS), this::life);
            at(now + random.nextLong(100 * MS), this::tell);
        }

        private void write() {
            Map<String, String> changes = new TreeMap<>();
            for (int i = random.nextInt(3); i >= 0; i--) {
                String key = (random.nextInt(4) == 0 ? "b/" : PREFIX) + random.nextInt(8);
                changes.put(key, random.nextInt(3) == 0 ? null : "v" + random.nextInt(1_000_000));
            }
            store.commit(changes);
            twin.commit(changes);
            if (random.nextInt(10) == 0) {
                String key = PREFIX + random.nextInt(8);
                store.delete(key);
                twin.delete(key);
                store.put(key, "again");
                twin.put(key, "again");
                count("deleted and made again");
            }
        }

        private void restore() {
            boolean named = random.nextBoolean();
            count(named ? "restored" : "restored under the same name");
            store = backup.backup();
            KeyValueStore before = twinBackup.backup();
            if (named) {
                store.changeClusterId(++histories);
                before.changeClusterId(histories);
            }
            twin = before;
            blurred = true;
            watching = -1; // all members have been started anew
        }

        private void arrive(Runnable what) {
            lastArrival = Math.max(lastArrival + 1, now + random.nextLong(20 * MS));
            at(lastArrival, what);
        }

        private static KeyChange change(KeyValueStore.Event event) {
            return event.after() == null
                    ? KeyChange.deleted(event.key(), event.revision())
                    : new KeyChange(
                            event.key(), event.after().value(), event.after().createRevision(), event.revision());
        }

        private List<KeyEntry> entries(List<KeyValueStore.KeyValue> all) {
            return all.stream()
                    .map(each -> new KeyEntry(each.key(), each.value(), each.createRevision(), each.modRevision()))
                    .toList();
        }

        @Override
        public void list(long call, boolean quorum) {
            boolean answers = calm || random.nextInt(8) > 0;
            boolean sure = quorum || random.nextBoolean();
            boolean behind = !calm && !sure && random.nextInt(3) == 0;
            at(now + random.nextLong(50 * MS), () -> {
                if (!answers) {
                    arrive(() -> follower.failed(now, call, "dropped", false));
                    return;
                }
                long revision = behind
                        ? Math.max(store.oldestRevision() - 1, store.revision() - random.nextInt(5))
                        : store.revision();
                read(call, revision, sure);
            });
        }

        private void read(long call, long revision, boolean sure) {
            List<KeyEntry> all = entries(store.range(PREFIX, END, revision));
            KeyValueStore of = twin;
            long history = store.clusterId();
            arrive(() -> {
                follower.listed(now, call, history, revision, sure, all);
                if (follower.revision() == revision
                        && follower.history() == history
                        && of == twin
                        && List.copyOf(follower.entries().values()).equals(all)) {
                    checked = revision;
                    blurred = false;
                }
            });
        }

        @Override
        public void watch(long call, long revision) {
            at(now + random.nextLong(30 * MS), () -> {
                if (!calm && random.nextInt(8) == 0) {
                    arrive(() -> follower.failed(now, call, "no connection", false));
                    return;
                }
                watching = call;
                told = revision;
                lag = calm ? 0 : random.nextInt(3) == 0 ? random.nextInt(4) : 0;
                if (lag > 0) {
                    count("lagging");
                }
                long history = store.clusterId();
                long header = store.revision() - lag;
                if (pause == 0) {
                    arrive(() -> follower.watching(now, call, history, header));
                } else if (calm) {
                    at(now + 1_000 * MS, () -> wake(call));
                }
                tell();
            });
        }

        /** A read that waits has waited for long enough. */
        private void wake(long call) {
            if (watching == call) {
                watching = -1;
                read(call, store.revision(), false);
            }
        }

        /** The watch tells what it has. */
        private void tell() {
            if (watching < 0) {
                return;
            }
            long call = watching;
            if (pause > 0) {
                if (told != store.revision()) {
                    watching = -1;
                    read(call, Math.max(store.oldestRevision() - 1, store.revision() - lag), false);
                }
                return;
            }
            List<KeyValueStore.Event> news = store.changesAfter(PREFIX, END, told);
            if (news == null) {
                count("compacted");
                long oldest = store.oldestRevision();
                watching = -1;
                arrive(() -> follower.compacted(now, call, oldest));
                return;
            }
            long until = calm ? store.revision() : store.revision() - lag;
            List<KeyValueStore.Event> due =
                    news.stream().filter(each -> each.revision() <= until).toList();
            if (due.isEmpty()) {
                return;
            }
            if (!calm && random.nextInt(5) == 0 && store.changesAfter(PREFIX, END, told - 3) != null) {
                count("repeated");
                due = store.changesAfter(PREFIX, END, told - 3).stream()
                        .filter(each -> each.revision() <= until)
                        .toList();
            }
            told = due.get(due.size() - 1).revision();
            List<KeyChange> all = due.stream().map(World::change).toList();
            int cut = random.nextInt(all.size() + 1);
            if (cut > 0 && cut < all.size()) {
                count("fragments");
                arrive(() -> follower.changes(now, call, all.subList(0, cut), true));
            }
            arrive(() -> follower.changes(now, call, cut < all.size() ? all.subList(cut, all.size()) : all, false));
        }

        @Override
        public void ask(long call) {
            tell();
            if (watching == call) {
                long history = store.clusterId();
                long upTo = Math.max(told, store.revision() - (calm ? 0 : lag));
                if (store.changesAfter(PREFIX, END, told) != null
                        && store.changesAfter(PREFIX, END, told).stream().noneMatch(each -> each.revision() <= upTo)) {
                    arrive(() -> follower.progress(now, call, history, upTo));
                }
            }
        }

        @Override
        public void drop(boolean failed) {
            watching = -1;
        }

        @Override
        public void timer(long delay) {
            at(now + delay, () -> follower.timer(now));
        }

        @Override
        public void changed(boolean full, List<KeyChange> changes) {
            count(full ? "full with changes" : "changes");
            for (KeyChange each : changes) {
                if (each.value() == null) {
                    assertNotNull(applied.remove(each.key()), "deleted twice: " + each);
                } else {
                    assertFalse(each.value().equals(applied.put(each.key(), each.value() + each.modified())), "again");
                }
            }
            Map<String, String> known = new TreeMap<>();
            follower.entries().values().forEach(each -> known.put(each.key(), each.value() + each.modified()));
            assertEquals(known, applied, "the changes add up to the state");
            if (!full && !blurred) {
                long upTo = follower.revision();
                assertEquals(
                        twin.changesAfter(PREFIX, END, checked).stream()
                                .filter(each -> each.revision() <= upTo)
                                .map(World::change)
                                .toList(),
                        changes);
                checked = upTo;
            }
        }

        @Override
        public void stale(boolean now) {}

        @Override
        public void log(String line) {
            if (line.contains("not believed")) {
                count("not believed");
            }
        }
    }
}
