package gatefront.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Accounts, caps, floors. */
class ResourceBudgetTest {
    private static final long MINUTE = 60_000_000;

    @Test
    void aCapHoldsAndTellsHowOften() {
        ResourceAccount account = new ResourceBudget(
                        1_000, Map.of(ResourcePurpose.CALLS, new ResourceBudget.Cap(2, 100)))
                .account(ResourcePurpose.CALLS);
        assertTrue(account.tryAcquire(60));
        assertFalse(account.tryAcquire(41), "over the bytes");
        assertTrue(account.tryAcquire(40));
        account.release(40);
        assertTrue(account.tryAcquire(1));
        assertFalse(account.tryAcquire(0), "over the entries");
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
    void aCapLoweredBelowWhatIsHeldTakesNothingNewAndLosesNothing() {
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
    void theWholeGoesByAStatedOrder() {
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
    void anAccountThatDriftsIsNamed() {
        ResourceBudget budget = new ResourceBudget(1_000, Map.of());
        budget.addRecount(ResourcePurpose.CALLS, () -> new ResourceBudget.Count(2, 10));
        budget.addRecount(ResourcePurpose.CALLS, () -> new ResourceBudget.Count(1, 0));
        budget.account(ResourcePurpose.CALLS).add(3, 10);
        assertEquals(List.of(), budget.drift());
        budget.account(ResourcePurpose.CALLS).release(0);
        assertEquals(List.of("calls has 2 entries of 10 bytes by its account, and 3 of 10 by count"), budget.drift());
    }

    /** A load that swings by the hour, and one entry a minute that never goes: said within half an hour. */
    @Test
    void aLeakOfOneAMinuteIsFoundUnderAShiftingLoad() {
        for (int seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ResourceBudget budget = new ResourceBudget(1_000, Map.of());
            ResourceAccount account = budget.account(ResourcePurpose.CALLS);
            long leaked = 0;
            long saidAfter = -1;
            for (int second = 0; second < 3 * 3_600 && saidAfter < 0; second++) {
                leaked = Math.max(0, second - 3_600) / 60;
                long load = random.nextInt(4) == 0 ? 0 : random.nextInt(50);
                account.set(leaked + load, 0);
                List<String> lines = budget.leakWarnings(second * 1_000_000L);
                if (!lines.isEmpty()) {
                    assertTrue(second > 3_600, "said before there was a leak, seed " + seed);
                    assertTrue(lines.get(0).startsWith("held for calls: the least of each minute has risen"));
                    saidAfter = second - 3_600;
                }
            }
            assertTrue(saidAfter >= 0 && saidAfter <= 1_800, "seed " + seed + ": " + saidAfter);
        }
    }

    @Test
    void aMorningThatFillsUpIsNoLeak() {
        LeakTrend trend = new LeakTrend(MINUTE, 15);
        List<Long> said = new ArrayList<>();
        for (int minute = 0; minute < 600; minute++) {
            // the load rises for hours, and with it what is held; but its least in a minute is often the same
            long held = minute / 30;
            long risen = trend.observe(minute * MINUTE, held);
            if (risen > 0) {
                said.add(risen);
            }
        }
        assertEquals(List.of(), said);
    }
}
