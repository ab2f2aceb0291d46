package gatefront.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the limits on the requests of a class in progress. */
class ClassLimitsTest {
    private static final long MINUTE = 60_000_000;

    private final ClassLimits limits = new ClassLimits(2);

    private int accepted(int attempts) {
        int accepted = 0;
        for (int i = 0; i < attempts; i++) {
            if (limits.hasCapacity(0)) {
                limits.requestStarted(0);
                accepted++;
            }
        }
        return accepted;
    }

    @Test
    void allRequestsAreAcceptedWithoutALimit() {
        assertEquals(10_000, accepted(10_000));
    }

    @Test
    void requestsInProgressNeverExceedTheLimit() {
        limits.setLimits(Map.of(0, 3));
        assertEquals(3, accepted(10));
        assertTrue(limits.hasCapacity(1), "the other class has no limit");
        limits.requestEnded(0);
        assertEquals(1, accepted(10));
    }

    @Test
    void loweredLimitRefusesUntilEnoughRequestsHaveEnded() {
        accepted(5);
        limits.setLimits(Map.of(0, 2));
        for (int left = 5; left > 2; left--) {
            assertFalse(limits.hasCapacity(0));
            limits.requestEnded(0);
        }
        assertFalse(limits.hasCapacity(0));
        limits.requestEnded(0);
        assertTrue(limits.hasCapacity(0));
        limits.setLimits(Map.of());
        assertEquals(50, accepted(50));
    }

    @Test
    void refusalsAreReportedOnceAMinuteWithTheirCount() {
        limits.setLimits(Map.of(0, 0));
        assertEquals(0, limits.takeRefusalsToReport(0, 0), "nothing was refused");
        accepted(1);
        assertEquals(1, limits.takeRefusalsToReport(0, 0));
        accepted(7);
        assertEquals(0, limits.takeRefusalsToReport(MINUTE - 1, 0));
        assertEquals(7, limits.takeRefusalsToReport(MINUTE, 0));
        accepted(1);
        assertEquals(0, limits.takeRefusalsToReport(MINUTE + 1, 0));
    }
}
