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

/** Tests how restored state is validated, and which recovery stage an agent reports. */
class RecoveryTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 1_000_000 * SECOND;
    private static final StateValidator.Bounds BOUNDS =
            new StateValidator.Bounds(30 * SECOND, 600 * SECOND, 5 * SECOND);

    private static TrustLevel trustOf(StateKind kind, StateSource source, String instance, long age, boolean damaged) {
        return StateValidator.validate(
                        new RestoredState(kind, source, instance, NOW - age * SECOND, damaged), "a", NOW, BOUNDS)
                .trust();
    }

    @Test
    void manualDrainsNeverExpireAndAServerListIsNeverTrusted() {
        assertEquals(TrustLevel.TRUSTED, trustOf(StateKind.BANS, StateSource.STORE, "a", 29, false));
        assertEquals(
                TrustLevel.UNCONFIRMED,
                trustOf(StateKind.BANS, StateSource.STORE, "a", 31, false),
                "written too long before the start");
        assertEquals(
                TrustLevel.UNCONFIRMED,
                trustOf(StateKind.BANS, StateSource.STORE, "a", 1_000_000, false),
                "at any age");
        assertEquals(TrustLevel.TRUSTED, trustOf(StateKind.BANS, StateSource.STORE, "a", -4, false));
        assertEquals(
                TrustLevel.UNCONFIRMED,
                trustOf(StateKind.BANS, StateSource.STORE, "a", -86_400, false),
                "ahead of the clock");
        assertEquals(TrustLevel.UNCONFIRMED, trustOf(StateKind.BANS, StateSource.STORE, "a", 1, true), "damaged");
        assertEquals(
                TrustLevel.DISCARDED, trustOf(StateKind.BANS, StateSource.STORE, "b", 1, false), "of another instance");
        assertEquals(
                TrustLevel.DISCARDED,
                trustOf(StateKind.BANS, StateSource.STORE, "b", 1, true),
                "of another instance and damaged");
        assertEquals(TrustLevel.TRUSTED, trustOf(StateKind.BANS, StateSource.PREVIOUS_PROCESS, null, 1_000, false));
        assertEquals(TrustLevel.UNCONFIRMED, trustOf(StateKind.SERVER_LIST, StateSource.STORE, "a", 599, false));
        assertEquals(TrustLevel.DISCARDED, trustOf(StateKind.SERVER_LIST, StateSource.STORE, "a", 601, false));
        assertEquals(TrustLevel.DISCARDED, trustOf(StateKind.SERVER_LIST, StateSource.STORE, "a", -6, false));
        assertEquals(TrustLevel.DISCARDED, trustOf(StateKind.SERVER_LIST, StateSource.STORE, "b", 1, false));
        assertEquals(TrustLevel.DISCARDED, trustOf(StateKind.SERVER_LIST, StateSource.STORE, "a", 1, true));
        assertEquals(TrustLevel.UNCONFIRMED, trustOf(StateKind.SERVER_LIST, StateSource.CONFIGURATION, null, 0, false));
    }

    @Test
    void lostStoreIsReportedAndStaysReported() {
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
    void intactStoreAndServerListCompleteTheRecovery() {
        Recovery recovery = new Recovery("a", BOUNDS, NOW);
        recovery.storeOpened(StoreStatus.INTACT, "life 2", NOW);
        recovery.validate(new RestoredState(StateKind.BANS, StateSource.STORE, "a", NOW - SECOND, false), NOW);
        recovery.servingStarted(NOW);
        assertEquals(Stage.RESTORED, recovery.stage(), "no source has confirmed the restored state");
        recovery.serverListReceived(NOW + 1);
        assertEquals(Stage.COMPLETE, recovery.stage());
        assertFalse(recovery.stateLost());
    }

    /**
     * 10,000 random sequences of events: a loss, once recorded, stays reported, and the stage never goes back. Guards
     * against an agent that lost manual drains and reports itself complete.
     */
    @Test
    void lossIsReportedInEveryRandomSequence() {
        for (int seed = 0; seed < 10_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Recovery recovery = new Recovery("a", BOUNDS, NOW);
            long now = NOW;
            boolean lost = false;
            boolean listed = false;
            boolean serves = false;
            int previousStage = 0;
            List<String> lines = new ArrayList<>();
            for (int step = 0; step < 12; step++) {
                now += random.nextLong(-3 * SECOND, 10 * SECOND); // the wall clock may be set back
                switch (random.nextInt(4)) {
                    case 0 -> {
                        StoreStatus state = StoreStatus.values()[random.nextInt(StoreStatus.values().length)];
                        recovery.storeOpened(state, "x", now);
                        lost |= state != StoreStatus.INTACT && state != StoreStatus.IN_USE;
                    }
                    case 1 -> {
                        RestoredState restored = new RestoredState(
                                StateKind.values()[random.nextInt(2)],
                                StateSource.values()[random.nextInt(3)],
                                List.of("a", "b").get(random.nextInt(2)),
                                now + random.nextLong(-2_000 * SECOND, 100 * SECOND),
                                random.nextInt(5) == 0);
                        TrustLevel trust = recovery.validate(restored, now).trust();
                        lost |= restored.kind() == StateKind.BANS && trust != TrustLevel.TRUSTED;
                        assertTrue(restored.instance().equals("a") || trust == TrustLevel.DISCARDED);
                        assertTrue(restored.writtenUntilMicros() <= now + BOUNDS.maxClockLeadMicros()
                                || trust != TrustLevel.TRUSTED
                                || restored.source() == StateSource.PREVIOUS_PROCESS);
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
                assertTrue(stage >= previousStage, "seed " + seed);
                previousStage = stage;
            }
            assertTrue(
                    !lost
                            || lines.stream()
                                    .anyMatch(line -> line.contains("store")
                                            || line.contains("doubted")
                                            || line.contains("dropped")),
                    "seed " + seed + ": " + lines);
        }
    }

    @Test
    void stallAwaitsServerListUntilReceivedOrTimedOut() {
        StallDetector detector = new StallDetector(400, 300);
        assertFalse(detector.recordEvent(0));
        assertFalse(detector.recordEvent(400));
        assertTrue(detector.recordEvent(801));
        assertTrue(detector.awaitingServerList(802));
        assertFalse(detector.recordEvent(900));
        assertTrue(detector.awaitingServerList(1_100));
        assertFalse(detector.awaitingServerList(1_101), "no server list received in time");
        assertTrue(detector.recordEvent(2_000));
        detector.serverListReceived();
        assertFalse(detector.awaitingServerList(2_001));
        assertEquals(1_100, detector.lastGapMicros());
    }

    /** Compares 10,000 random sequences with the rule: the last stall is recent, and no server list followed it. */
    @Test
    void stallDetectorMatchesReferenceRule() {
        for (int seed = 0; seed < 10_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            StallDetector detector = new StallDetector(400, 300);
            long now = 0;
            long resumedAt = -1;
            detector.recordEvent(0);
            for (int step = 0; step < 30; step++) {
                long gap = random.nextInt(4) == 0 ? random.nextLong(2_000) : random.nextLong(100);
                now += gap;
                resumedAt = gap > 400 ? now : resumedAt;
                assertEquals(gap > 400, detector.recordEvent(now));
                if (random.nextInt(6) == 0) {
                    detector.serverListReceived();
                    resumedAt = -1;
                }
                assertEquals(resumedAt >= 0 && now - resumedAt < 300, detector.awaitingServerList(now), "seed " + seed);
            }
        }
    }
}
