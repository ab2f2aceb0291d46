package gatefront.registry.follower;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Orders of events that a well-behaved registry does not have, one by one. */
class FollowerTest {
    private static final FollowerLimits BOUNDS =
            new FollowerLimits(50_000, 1_000_000, 0, 2_000_000, 8_000_000, 30_000_000, 0, 100);

    private final List<String> did = new ArrayList<>();
    private final List<KeyChange> told = new ArrayList<>();
    private final Follower follower = new Follower(BOUNDS, most -> most, new IgnoringActions() {
        @Override
        public void list(long of, boolean quorum) {
            call = of;
            did.add(quorum ? "list by quorum" : "list");
        }

        @Override
        public void watch(long of, long revision) {
            call = of;
            did.add("watch " + revision);
        }

        @Override
        public void timer(long delay) {
            timerAt = now + delay;
        }

        @Override
        public void changed(boolean full, List<KeyChange> changes) {
            told.addAll(changes);
        }

        @Override
        public void stale(boolean is) {
            did.add(is ? "stale" : "confirmed");
        }
    });
    private long call;
    private long now;
    private long timerAt;

    private static KeyChange put(String key, long revision) {
        return new KeyChange(key, "v" + revision, revision, revision);
    }

    private void wake() {
        now = timerAt;
        follower.timer(now);
    }

    @BeforeEach
    void watchFromFive() {
        follower.start(now);
        follower.listed(now, call, 1, 5, true, List.of());
        wake();
        follower.watching(now, call, 1, 5);
        did.clear();
    }

    @Test
    void progressInTheMiddleOfFragmentsLeavesNothingOut() {
        follower.changes(now, call, List.of(put("a", 6)), true);
        follower.progress(now, call, 1, 9);
        follower.changes(now, call, List.of(put("b", 6)), false);
        assertEquals(List.of(put("a", 6), put("b", 6)), told);
        assertEquals(6, follower.revision());
    }

    @Test
    void fragmentsOfACallThatEndedDoNotMixWithTheNext() {
        follower.changes(now, call, List.of(put("a", 6)), true);
        follower.failed(now, call, "cut", false);
        wake();
        assertEquals(List.of("watch 5"), did);
        follower.changes(now, call, List.of(put("a", 6), put("b", 6)), false);
        assertEquals(List.of(put("a", 6), put("b", 6)), told);
    }

    @Test
    void whatBelongsToAnEarlierCallIsPassedOver() {
        long earlier = call;
        follower.failed(now, call, "cut", false);
        wake();
        follower.changes(now, earlier, List.of(put("a", 9)), false);
        follower.compacted(now, earlier, 9);
        follower.failed(now, earlier, "late", false);
        follower.progress(now, earlier, 1, 12);
        follower.listed(now, earlier, 1, 3, true, List.of());
        assertEquals(5, follower.revision());
        assertEquals(List.of("watch 5"), did, "the call that is out goes on");
        follower.changes(now, call, List.of(put("b", 6)), false);
        assertEquals(List.of(put("b", 6)), told);
    }

    @Test
    void revisionsOutOfOrderAreNotGuessedAt() {
        follower.changes(now, call, List.of(put("a", 8), put("b", 7)), false);
        assertEquals(List.of(), told);
        wake();
        assertEquals(List.of("list"), did);
        follower.listed(now, call, 1, 8, true, List.of(new KeyEntry("a", "v8", 8, 8), new KeyEntry("b", "v7", 7, 7)));
        assertEquals(List.of(put("b", 7), put("a", 8)), told, "in the order of their revisions");
    }

    /** A drain may be among what has been compacted: the read does not wait out another of the long back-offs. */
    @Test
    void afterALongOutageACompactedRevisionIsReadAnewAtOnce() {
        for (int i = 0; i < 10; i++) {
            follower.failed(now, call, "down", false);
            wake();
        }
        follower.compacted(now, call, 9);
        assertEquals(50_000, timerAt - now);
        wake();
        assertEquals("list", did.get(did.size() - 1));
    }

    @Test
    void afterItsEndItDoesNothing() {
        follower.close();
        follower.changes(now, call, List.of(put("a", 6)), false);
        now += 60_000_000;
        follower.timer(now);
        assertEquals(List.of(), did);
        assertEquals(List.of(), told);
    }

    @Test
    void aSilentWatchIsGivenUpAndTheStateIsStaleOnlyLater() {
        for (int i = 0; i < 100 && did.isEmpty(); i++) {
            wake();
        }
        assertEquals(List.of("watch 5"), did);
        for (int i = 0; i < 1_000 && !did.contains("stale"); i++) {
            wake();
        }
        assertEquals(30_000_000, now);
        follower.progress(now, call, 1, 5);
        assertEquals("confirmed", did.get(did.size() - 1));
    }
}
