package gatefront.shutdown;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests when an agent that was told to end does what. */
class ShutdownScheduleTest {
    @ParameterizedTest
    @ValueSource(longs = {100, 500, 1_000, 2_000, 3_000, 60_000})
    void everythingHappensInOrderBeforeTheKill(long longestDeadlineMs) {
        ShutdownSchedule schedule = ShutdownSchedule.of(longestDeadlineMs);
        long killMs = Math.min(3_000, longestDeadlineMs) + 700;
        assertTrue(schedule.closeConnectionsMs() < schedule.lastResponseMs(), schedule.toString());
        assertTrue(schedule.lastResponseMs() < killMs && schedule.lastBodyMs() < killMs, schedule.toString());
        assertTrue(schedule.closeConnectionsMs() < schedule.stalledResponsesMs(), schedule.toString());
        assertTrue(schedule.stalledResponsesMs() < schedule.lastResponseMs(), schedule.toString());
        assertTrue(schedule.lateRequestsMs() < 700, "what comes later than 0.7 s after the signal has to be complete");
    }

    @Test
    void agentServesForTwoSecondsIfItsDeadlinesAllowThat() {
        assertEquals(new ShutdownSchedule(650, 2_000, 2_500, 2_650), ShutdownSchedule.of(2_000));
    }
}
