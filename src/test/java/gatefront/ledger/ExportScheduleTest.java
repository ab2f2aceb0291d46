package gatefront.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** What is sent after an answer that makes no sense, and after none. */
class ExportScheduleTest {
    private final ExportSchedule export =
            new ExportSchedule(new ExportSchedule.Settings(5, 1_000, 100, 2_000, 500), 0, 1);

    @Test
    void aReceiverThatTellsMoreThanWasMadeIsNotBelieved() {
        assertEquals(new ExportSchedule.Batch(0, 3), export.due(0, 3));
        assertFalse(export.answered(10, 4, 3));
        assertEquals(0, export.taken());
        assertEquals(1, export.failures());
        assertEquals(new ExportSchedule.Batch(0, 3), export.due(200, 3));
    }

    @Test
    void aBatchWithoutAnAnswerIsSentAgainAfterItsTimeAndAWait() {
        assertNotNull(export.due(0, 3));
        assertNull(export.due(999, 3), "one at a time");
        assertNull(export.due(1_000, 3), "its time is up: back off first");
        assertEquals(new ExportSchedule.Batch(0, 3), export.due(1_100, 3));
    }
}
