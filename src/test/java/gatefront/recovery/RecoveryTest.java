package gatefront.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.recovery.Recovery.Stage;
import gatefront.recovery.Recovery.Store;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What is believed at a start, and how far an agent says that it is. */
class RecoveryTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 1_000_000 * SECOND;
    private static final StateValidator.Bounds BOUNDS =
            new StateValidator.Bounds(30 * SECOND, 600 * SECOND, 5 * SECOND);

    private static TrustLevel judged(StateKind piece, StateSource source, String instance, long age, boolean damaged) {
        return StateValidator.judge(
                        new RestoredState(piece, source, instance, NOW - age * SECOND, damaged), "a", NOW, BOUNDS)
                .verdict();
    }

    @Test
    void callsByHandNeverLapseAndAListIsOnlyAGuess() {
        assertEquals(TrustLevel.BELIEVED, judged(StateKind.BANS, StateSource.STORE, "a", 29, false));
        assertEquals(
                TrustLevel.DOUBTED,
                judged(StateKind.BANS, StateSource.STORE, "a", 31, false),
                "put back, or long dead");
        assertEquals(
                TrustLevel.DOUBTED, judged(StateKind.BANS, StateSource.STORE, "a", 1_000_000, false), "at any age");
        assertEquals(TrustLevel.BELIEVED, judged(StateKind.BANS, StateSource.STORE, "a", -4, false));
        assertEquals(
                TrustLevel.DOUBTED, judged(StateKind.BANS, StateSource.STORE, "a", -86_400, false), "from the future");
        assertEquals(TrustLevel.DOUBTED, judged(StateKind.BANS, StateSource.STORE, "a", 1, true), "damaged");
        assertEquals(TrustLevel.DROPPED, judged(StateKind.BANS, StateSource.STORE, "b", 1, false), "another's");
        assertEquals(
                TrustLevel.DROPPED, judged(StateKind.BANS, StateSource.STORE, "b", 1, true), "another's and damaged");
        assertEquals(TrustLevel.BELIEVED, judged(StateKind.BANS, StateSource.NEIGHBOUR, null, 1_000, false));
        assertEquals(TrustLevel.DOUBTED, judged(StateKind.LIST, StateSource.STORE, "a", 599, false));
        assertEquals(TrustLevel.DROPPED, judged(StateKind.LIST, StateSource.STORE, "a", 601, false));
        assertEquals(TrustLevel.DROPPED, judged(StateKind.LIST, StateSource.STORE, "a", -6, false));
        assertEquals(TrustLevel.DROPPED, judged(StateKind.LIST, StateSource.STORE, "b", 1, false));
        assertEquals(TrustLevel.DROPPED, judged(StateKind.LIST, StateSource.STORE, "a", 1, true));
        assertEquals(TrustLevel.DOUBTED, judged(StateKind.LIST, StateSource.CONFIGURATION, null, 0, false));
    }

    @Test
    void aLostStoreIsSaidAndIsNeverMadeGoodByWhatComesLater() {
        Recovery recovery = new Recovery("a", BOUNDS, NOW);
        recovery.store(Store.MISSING, "there is no folder", NOW);
        assertTrue(recovery.lost());
        assertTrue(recovery.lines().get(0).contains("no store: a first start, or it is lost"));
        recovery.claim(new RestoredState(StateKind.LIST, StateSource.CONFIGURATION, null, -1, false), NOW);
        assertEquals(Stage.KEPT, recovery.stage());
        recovery.listed(NOW + 1);
        assertEquals(Stage.LISTED, recovery.stage());
        recovery.serves(NOW + 2);
        recovery.serves(NOW + 3);
        assertEquals(Stage.LACKING, recovery.stage());
        assertEquals(NOW + 2, recovery.since());
        assertTrue(recovery.reason().startsWith("no store"), recovery.reason());
    }

    @Test
    void aWholeStoreAndAListMakeItWhole() {
        Recovery recovery = new Recovery("a", BOUNDS, NOW);
        recovery.store(Store.WHOLE, "life 2", NOW);
        recovery.claim(new RestoredState(StateKind.BANS, StateSource.STORE, "a", NOW - SECOND, false), NOW);
        recovery.serves(NOW);
        assertEquals(Stage.KEPT, recovery.stage(), "nobody has confirmed what was kept");
        recovery.listed(NOW + 1);
        assertEquals(Stage.WHOLE, recovery.stage());
        assertFalse(recovery.lost());
    }

    /** 10,000 histories: whatever comes in whatever order, what was lost stays said and no stage is gone back. */
    @Test
    void noHistoryEndsWithASilentLoss() {
        for (int seed = 0; seed < 10_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Recovery recovery = new Recovery("a", BOUNDS, NOW);
            long now = NOW;
            boolean lost = false;
            boolean listed = false;
            boolean serves = false;
            int before = 0;
            List<String> lines = new ArrayList<>();
            for (int step = 0; step < 12; step++) {
                now += random.nextLong(-3 * SECOND, 10 * SECOND); // the time of day may go back
                switch (random.nextInt(4)) {
                    case 0 -> {
                        Store state = Store.values()[random.nextInt(Store.values().length)];
                        recovery.store(state, "x", now);
                        lost |= state != Store.WHOLE && state != Store.IN_USE;
                    }
                    case 1 -> {
                        RestoredState claim = new RestoredState(
                                StateKind.values()[random.nextInt(2)],
                                StateSource.values()[random.nextInt(3)],
                                List.of("a", "b").get(random.nextInt(2)),
                                now + random.nextLong(-2_000 * SECOND, 100 * SECOND),
                                random.nextInt(5) == 0);
                        TrustLevel verdict = recovery.claim(claim, now).verdict();
                        lost |= claim.piece() == StateKind.BANS && verdict != TrustLevel.BELIEVED;
                        assertTrue(claim.instance().equals("a") || verdict == TrustLevel.DROPPED);
                        assertTrue(claim.upTo() <= now + BOUNDS.ahead()
                                || verdict != TrustLevel.BELIEVED
                                || claim.source() == StateSource.NEIGHBOUR);
                    }
                    case 2 -> {
                        recovery.listed(now);
                        listed = true;
                    }
                    default -> {
                        recovery.serves(now);
                        serves = true;
                    }
                }
                lines.addAll(recovery.lines());
                assertEquals(lost, recovery.lost(), "seed " + seed);
                assertEquals(listed && serves && !lost, recovery.stage() == Stage.WHOLE, "seed " + seed);
                int stage = Math.min(recovery.stage().ordinal(), Stage.WHOLE.ordinal());
                assertTrue(stage >= before, "seed " + seed);
                before = stage;
            }
            assertTrue(
                    !lost
                            || lines.stream()
                                    .anyMatch(each -> each.contains("store")
                                            || each.contains("doubted")
                                            || each.contains("dropped")),
                    "seed " + seed + ": " + lines);
        }
    }

    @Test
    void aStandstillIsDoubtedUntilItHasHeardOrWaitedLongEnough() {
        StallDetector waking = new StallDetector(400, 300);
        assertFalse(waking.seen(0));
        assertFalse(waking.seen(400));
        assertTrue(waking.seen(801));
        assertTrue(waking.doubts(802));
        assertFalse(waking.seen(900));
        assertTrue(waking.doubts(1_100));
        assertFalse(waking.doubts(1_101), "nobody told");
        assertTrue(waking.seen(2_000));
        waking.heard();
        assertFalse(waking.doubts(2_001));
        assertEquals(1_100, waking.gap());
    }

    /** 10,000 histories against the plain rule: the last gap too long is young, and nobody has told since. */
    @Test
    void wakingIsThePlainRule() {
        for (int seed = 0; seed < 10_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            StallDetector waking = new StallDetector(400, 300);
            long now = 0;
            long woke = -1;
            waking.seen(0);
            for (int step = 0; step < 30; step++) {
                long gap = random.nextInt(4) == 0 ? random.nextLong(2_000) : random.nextLong(100);
                now += gap;
                woke = gap > 400 ? now : woke;
                assertEquals(gap > 400, waking.seen(now));
                if (random.nextInt(6) == 0) {
                    waking.heard();
                    woke = -1;
                }
                assertEquals(woke >= 0 && now - woke < 300, waking.doubts(now), "seed " + seed);
            }
        }
    }
}
