package gatefront.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

class ClassLimitsTest {
    private static final long MINUTE = 60_000_000;

    private final ClassLimits limits = new ClassLimits(2);

    private int taken(int tries) {
        int taken = 0;
        for (int i = 0; i < tries; i++) {
            if (limits.hasCapacity(0)) {
                limits.requestStarted(0);
                taken++;
            }
        }
        return taken;
    }

    @Test
    void withoutALimitAllAreTaken() {
        assertEquals(10_000, taken(10_000));
    }

    @Test
    void asManyAsTheLimitAreInProgressAndOneMoreForEachThatEnds() {
        limits.setLimits(Map.of(0, 3));
        assertEquals(3, taken(10));
        assertTrue(limits.hasCapacity(1), "another class has none");
        limits.requestEnded(0);
        assertEquals(1, taken(10));
    }

    @Test
    void aLimitBelowWhatIsInProgressLetsThemEndFirst() {
        taken(5);
        limits.setLimits(Map.of(0, 2));
        for (int left = 5; left > 2; left--) {
            assertFalse(limits.hasCapacity(0));
            limits.requestEnded(0);
        }
        assertFalse(limits.hasCapacity(0));
        limits.requestEnded(0);
        assertTrue(limits.hasCapacity(0));
        limits.setLimits(Map.of());
        assertEquals(50, taken(50));
    }

    @Test
    void itIsSaidOnceAMinuteWithAllThatWereTurnedAway() {
        limits.setLimits(Map.of(0, 0));
        assertEquals(0, limits.takeRefusalsToReport(0, 0), "nothing was turned away");
        taken(1);
        assertEquals(1, limits.takeRefusalsToReport(0, 0));
        taken(7);
        assertEquals(0, limits.takeRefusalsToReport(MINUTE - 1, 0));
        assertEquals(7, limits.takeRefusalsToReport(MINUTE, 0));
        taken(1);
        assertEquals(0, limits.takeRefusalsToReport(MINUTE + 1, 0));
    }
}
