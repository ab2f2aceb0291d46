package gatefront.registry.follower;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sequences of events that a correct registry does not produce. */
class FollowerTest {
    private static final FollowerLimits LIMITS =
            new FollowerLimits(50_000, 1_000_000, 0, 2_000_000, 8_000_000, 30_000_000, 0, 100);

    private final List<String> actions = new ArrayList<>();
    private final List<KeyChange> reported = new ArrayList<>();
    private final Follower follower = new Follower(LIMITS, max -> max, new IgnoringActions() {
        @Override
        public void list(long newCall, boolean quorum) {
            call = newCall;
            actions.add(quorum ? "list by quorum" : "list");
        }

        @Override
        public void watch(long newCall, long revision) {
            call = newCall;
            actions.add("watch " + revision);
        }

        @Override
        public void scheduleTimer(long delay) {
            nextTimer = now + delay;
        }

        @Override
        public void changed(boolean full, List<KeyChange> changes) {
            reported.addAll(changes);
        }

        @Override
        public void staleChanged(boolean isStale) {
            actions.add(isStale ? "stale" : "confirmed");
        }
    });
    private long call;
    private long now;
    private long nextTimer;

    private static KeyChange put(String key, long revision) {
        return new KeyChange(key, "v" + revision, revision, revision);
    }

    private void fireNextTimer() {
        now = nextTimer;
        follower.timerFired(now);
    }

    @BeforeEach
    void startWatchAtRevisionFive() {
        follower.start(now);
        follower.listReceived(now, call, 1, 5, true, List.of());
        fireNextTimer();
        follower.watchCreated(now, call, 1, 5);
        actions.clear();
    }

    @Test
    void progressBetweenFragmentsLosesNoChange() {
        follower.changesReceived(now, call, List.of(put("a", 6)), true);
        follower.progressReceived(now, call, 1, 9);
        follower.changesReceived(now, call, List.of(put("b", 6)), false);
        assertEquals(List.of(put("a", 6), put("b", 6)), reported);
        assertEquals(6, follower.revision());
    }

    @Test
    void fragmentsOfAnEndedCallAreDiscarded() {
        follower.changesReceived(now, call, List.of(put("a", 6)), true);
        follower.callFailed(now, call, "cut", false);
        fireNextTimer();
        assertEquals(List.of("watch 5"), actions);
        follower.changesReceived(now, call, List.of(put("a", 6), put("b", 6)), false);
        assertEquals(List.of(put("a", 6), put("b", 6)), reported);
    }

    @Test
    void eventsOfAnEarlierCallAreIgnored() {
        long earlierCall = call;
        follower.callFailed(now, call, "cut", false);
        fireNextTimer();
        follower.changesReceived(now, earlierCall, List.of(put("a", 9)), false);
        follower.revisionCompacted(now, earlierCall, 9);
        follower.callFailed(now, earlierCall, "late", false);
        follower.progressReceived(now, earlierCall, 1, 12);
        follower.listReceived(now, earlierCall, 1, 3, true, List.of());
        assertEquals(5, follower.revision());
        assertEquals(List.of("watch 5"), actions, "the call in progress continues");
        follower.changesReceived(now, call, List.of(put("b", 6)), false);
        assertEquals(List.of(put("b", 6)), reported);
    }

    @Test
    void revisionsOutOfOrderCauseAFullRead() {
        follower.changesReceived(now, call, List.of(put("a", 8), put("b", 7)), false);
        assertEquals(List.of(), reported);
        fireNextTimer();
        assertEquals(List.of("list"), actions);
        follower.listReceived(
                now, call, 1, 8, true, List.of(new KeyEntry("a", "v8", 8, 8), new KeyEntry("b", "v7", 7, 7)));
        assertEquals(List.of(put("b", 7), put("a", 8)), reported, "in the order of their revisions");
    }

    /** The compacted changes may include a drain, so the full read must not wait for another long backoff. */
    @Test
    void compactionAfterALongOutageCausesAFullReadWithoutLongBackoff() {
        for (int i = 0; i < 10; i++) {
            follower.callFailed(now, call, "down", false);
            fireNextTimer();
        }
        follower.revisionCompacted(now, call, 9);
        assertEquals(50_000, nextTimer - now);
        fireNextTimer();
        assertEquals("list", actions.get(actions.size() - 1));
    }

    @Test
    void closedFollowerDoesNothing() {
        follower.close();
        follower.changesReceived(now, call, List.of(put("a", 6)), false);
        now += 60_000_000;
        follower.timerFired(now);
        assertEquals(List.of(), actions);
        assertEquals(List.of(), reported);
    }

    @Test
    void silentWatchIsAbandonedBeforeTheStateBecomesStale() {
        for (int i = 0; i < 100 && actions.isEmpty(); i++) {
            fireNextTimer();
        }
        assertEquals(List.of("watch 5"), actions);
        for (int i = 0; i < 1_000 && !actions.contains("stale"); i++) {
            fireNextTimer();
        }
        assertEquals(30_000_000, now);
        follower.progressReceived(now, call, 1, 5);
        assertEquals("confirmed", actions.get(actions.size() - 1));
    }
}
