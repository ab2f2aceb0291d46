package gatefront.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests accounts, caps, pressure and leak detection. */
class ResourceBudgetTest {
    private static final long MINUTE = 60_000_000;

    @Test
    void capsAreEnforcedAndRejectionsCounted() {
        ResourceAccount account = new ResourceBudget(
                        1_000, Map.of(ResourcePurpose.CALLS, new ResourceBudget.Cap(2, 100)))
                .account(ResourcePurpose.CALLS);
        assertTrue(account.tryAcquire(60));
        assertFalse(account.tryAcquire(41), "exceeds the cap on bytes");
        assertTrue(account.tryAcquire(40));
        account.release(40);
        assertTrue(account.tryAcquire(1));
        assertFalse(account.tryAcquire(0), "exceeds the cap on entries");
        assertTrue(account.isFull());
        assertFalse(account.tryGrow(40));
        account.release(60);
        account.release(1);
        assertEquals(
                List.of(0L, 0L, 2L, 100L, 3L),
                List.of(
                        account.entries(),
                        account.bytes(),
                        account.peakEntries(),
                        account.peakBytes(),
                        account.rejections()));
    }

    @Test
    void loweredCapRejectsNewEntriesAndKeepsPresentOnes() {
        ResourceBudget budget = new ResourceBudget(1_000, Map.of());
        ResourceAccount account = budget.account(ResourcePurpose.CALLS);
        for (int i = 0; i < 10; i++) {
            assertTrue(account.tryAcquire(5));
        }
        budget.setCaps(Map.of(ResourcePurpose.CALLS, new ResourceBudget.Cap(4, -1)));
        for (int held = 10; held > 4; held--) {
            assertFalse(account.tryAcquire(5));
            account.release(5);
        }
        assertFalse(account.tryAcquire(5));
        account.release(5);
        assertTrue(account.tryAcquire(5));
    }

    @Test
    void pressureFollowsTheTotalHeld() {
        ResourceBudget budget = new ResourceBudget(1_000, Map.of());
        budget.account(ResourcePurpose.REQUESTS).add(1, 699);
        assertEquals(ResourceBudget.Pressure.NONE, budget.pressure());
        budget.account(ResourcePurpose.ANSWERS).add(1, 1);
        assertEquals(ResourceBudget.Pressure.TIGHT, budget.pressure());
        budget.account(ResourcePurpose.SERVER_ANSWERS).add(1, 200);
        assertEquals(ResourceBudget.Pressure.FULL, budget.pressure());
        budget.account(ResourcePurpose.REQUESTS).release(699);
        assertEquals(ResourceBudget.Pressure.NONE, budget.pressure());
    }

    @Test
    void driftOfAnAccountIsReported() {
        ResourceBudget budget = new ResourceBudget(1_000, Map.of());
        budget.addRecount(ResourcePurpose.CALLS, () -> new ResourceBudget.Count(2, 10));
        budget.addRecount(ResourcePurpose.CALLS, () -> new ResourceBudget.Count(1, 0));
        budget.account(ResourcePurpose.CALLS).add(3, 10);
        assertEquals(List.of(), budget.drift());
        budget.account(ResourcePurpose.CALLS).release(0);
        assertEquals(List.of("calls has 2 entries of 10 bytes by its account, and 3 of 10 by count"), budget.drift());
    }

    /** A leak of one entry a minute under a load that varies from second to second is reported within half an hour. */
    @Test
    void leakOfOneEntryPerMinuteIsFoundUnderVaryingLoad() {
        for (int seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ResourceBudget budget = new ResourceBudget(1_000, Map.of());
            ResourceAccount account = budget.account(ResourcePurpose.CALLS);
            long leaked = 0;
            long reportedAfter = -1;
            for (int second = 0; second < 3 * 3_600 && reportedAfter < 0; second++) {
                leaked = Math.max(0, second - 3_600) / 60;
                long load = random.nextInt(4) == 0 ? 0 : random.nextInt(50);
                account.set(leaked + load, 0);
                List<String> lines = budget.leakWarnings(second * 1_000_000L);
                if (!lines.isEmpty()) {
                    assertTrue(second > 3_600, "reported before there was a leak, seed " + seed);
                    assertTrue(lines.get(0).startsWith("held for calls: the minimum of each minute has risen"));
                    reportedAfter = second - 3_600;
                }
            }
            assertTrue(reportedAfter >= 0 && reportedAfter <= 1_800, "seed " + seed + ": " + reportedAfter);
        }
    }

    @Test
    void slowlyRisingLoadIsNotReportedAsLeak() {
        LeakTrend trend = new LeakTrend(MINUTE, 15);
        List<Long> reported = new ArrayList<>();
        for (int minute = 0; minute < 600; minute++) {
            // The load rises for hours, but the minimum of many consecutive minutes is the same.
            long held = minute / 30;
            long growth = trend.observe(minute * MINUTE, held);
            if (growth > 0) {
                reported.add(growth);
            }
        }
        assertEquals(List.of(), reported);
    }
}
