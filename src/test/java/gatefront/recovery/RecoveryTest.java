package gatefront.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.recovery.Recovery.Stage;
import gatefront.recovery.Recovery.StoreStatus;
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
        return StateValidator.validate(
                        new RestoredState(piece, source, instance, NOW - age * SECOND, damaged), "a", NOW, BOUNDS)
                .trust();
    }

    @Test
    void callsByHandNeverLapseAndAListIsOnlyAGuess() {
        assertEquals(TrustLevel.TRUSTED, judged(StateKind.BANS, StateSource.STORE, "a", 29, false));
        assertEquals(
                TrustLevel.UNCONFIRMED,
                judged(StateKind.BANS, StateSource.STORE, "a", 31, false),
                "put back, or long dead");
        assertEquals(
                TrustLevel.UNCONFIRMED, judged(StateKind.BANS, StateSource.STORE, "a", 1_000_000, false), "at any age");
        assertEquals(TrustLevel.TRUSTED, judged(StateKind.BANS, StateSource.STORE, "a", -4, false));
        assertEquals(
                TrustLevel.UNCONFIRMED,
                judged(StateKind.BANS, StateSource.STORE, "a", -86_400, false),
                "from the future");
        assertEquals(TrustLevel.UNCONFIRMED, judged(StateKind.BANS, StateSource.STORE, "a", 1, true), "damaged");
        assertEquals(TrustLevel.DISCARDED, judged(StateKind.BANS, StateSource.STORE, "b", 1, false), "another's");
        assertEquals(
                TrustLevel.DISCARDED, judged(StateKind.BANS, StateSource.STORE, "b", 1, true), "another's and damaged");
        assertEquals(TrustLevel.TRUSTED, judged(StateKind.BANS, StateSource.PREVIOUS_PROCESS, null, 1_000, false));
        assertEquals(TrustLevel.UNCONFIRMED, judged(StateKind.SERVER_LIST, StateSource.STORE, "a", 599, false));
        assertEquals(TrustLevel.DISCARDED, judged(StateKind.SERVER_LIST, StateSource.STORE, "a", 601, false));
        assertEquals(TrustLevel.DISCARDED, judged(StateKind.SERVER_LIST, StateSource.STORE, "a", -6, false));
        assertEquals(TrustLevel.DISCARDED, judged(StateKind.SERVER_LIST, StateSource.STORE, "b", 1, false));
        assertEquals(TrustLevel.DISCARDED, judged(StateKind.SERVER_LIST, StateSource.STORE, "a", 1, true));
        assertEquals(TrustLevel.UNCONFIRMED, judged(StateKind.SERVER_LIST, StateSource.CONFIGURATION, null, 0, false));
    }

    @Test
    void aLostStoreIsSaidAndIsNeverMadeGoodByWhatComesLater() {
        Recovery recovery = new Recovery("a", BOUNDS, NOW);
        recovery.storeOpened(StoreStatus.MISSING, "there is no folder", NOW);
        assertTrue(recovery.stateLost());
        assertTrue(recovery.takeLogLines().get(0).contains("no store: a first start, or it is lost"));
        recovery.validate(new RestoredState(StateKind.SERVER_LIST, StateSource.CONFIGURATION, null, -1, false), NOW);
        assertEquals(Stage.RESTORED, recovery.stage());
        recovery.serverListReceived(NOW + 1);
        assertEquals(Stage.LIST_RECEIVED, recovery.stage());
        recovery.servingStarted(NOW + 2);
        recovery.servingStarted(NOW + 3);
        assertEquals(Stage.INCOMPLETE, recovery.stage());
        assertEquals(NOW + 2, recovery.stageSinceMicros());
        assertTrue(recovery.reason().startsWith("no store"), recovery.reason());
    }

    @Test
    void aWholeStoreAndAListMakeItWhole() {
        Recovery recovery = new Recovery("a", BOUNDS, NOW);
        recovery.storeOpened(StoreStatus.INTACT, "life 2", NOW);
        recovery.validate(new RestoredState(StateKind.BANS, StateSource.STORE, "a", NOW - SECOND, false), NOW);
        recovery.servingStarted(NOW);
        assertEquals(Stage.RESTORED, recovery.stage(), "nobody has confirmed what was kept");
        recovery.serverListReceived(NOW + 1);
        assertEquals(Stage.COMPLETE, recovery.stage());
        assertFalse(recovery.stateLost());
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
                        StoreStatus state = StoreStatus.values()[random.nextInt(StoreStatus.values().length)];
                        recovery.storeOpened(state, "x", now);
                        lost |= state != StoreStatus.INTACT && state != StoreStatus.IN_USE;
                    }
                    case 1 -> {
                        RestoredState claim = new RestoredState(
                                StateKind.values()[random.nextInt(2)],
                                StateSource.values()[random.nextInt(3)],
                                List.of("a", "b").get(random.nextInt(2)),
                                now + random.nextLong(-2_000 * SECOND, 100 * SECOND),
                                random.nextInt(5) == 0);
                        TrustLevel verdict = recovery.validate(claim, now).trust();
                        lost |= claim.kind() == StateKind.BANS && verdict != TrustLevel.TRUSTED;
                        assertTrue(claim.instance().equals("a") || verdict == TrustLevel.DISCARDED);
                        assertTrue(claim.writtenUntilMicros() <= now + BOUNDS.maxClockLeadMicros()
                                || verdict != TrustLevel.TRUSTED
                                || claim.source() == StateSource.PREVIOUS_PROCESS);
                    }
                    case 2 -> {
                        recovery.serverListReceived(now);
                        listed = true;
                    }
                    default -> {
                        recovery.servingStarted(now);
                        serves = true;
                    }
                }
                lines.addAll(recovery.takeLogLines());
                assertEquals(lost, recovery.stateLost(), "seed " + seed);
                assertEquals(listed && serves && !lost, recovery.stage() == Stage.COMPLETE, "seed " + seed);
                int stage = Math.min(recovery.stage().ordinal(), Stage.COMPLETE.ordinal());
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
        assertFalse(waking.recordEvent(0));
        assertFalse(waking.recordEvent(400));
        assertTrue(waking.recordEvent(801));
        assertTrue(waking.awaitingServerList(802));
        assertFalse(waking.recordEvent(900));
        assertTrue(waking.awaitingServerList(1_100));
        assertFalse(waking.awaitingServerList(1_101), "nobody told");
        assertTrue(waking.recordEvent(2_000));
        waking.serverListReceived();
        assertFalse(waking.awaitingServerList(2_001));
        assertEquals(1_100, waking.lastGapMicros());
    }

    /** 10,000 histories against the plain rule: the last gap too long is young, and nobody has told since. */
    @Test
    void wakingIsThePlainRule() {
        for (int seed = 0; seed < 10_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            StallDetector waking = new StallDetector(400, 300);
            long now = 0;
            long woke = -1;
            waking.recordEvent(0);
            for (int step = 0; step < 30; step++) {
                long gap = random.nextInt(4) == 0 ? random.nextLong(2_000) : random.nextLong(100);
                now += gap;
                woke = gap > 400 ? now : woke;
                assertEquals(gap > 400, waking.recordEvent(now));
                if (random.nextInt(6) == 0) {
                    waking.serverListReceived();
                    woke = -1;
                }
                assertEquals(woke >= 0 && now - woke < 300, waking.awaitingServerList(now), "seed " + seed);
            }
        }
    }
}
