package gatefront.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Tests what is sent after an invalid response and after a timeout. */
class ExportScheduleTest {
    private final ExportSchedule export =
            new ExportSchedule(new ExportSchedule.Settings(5, 1_000, 100, 2_000, 500), 0, 1);

    @Test
    void answerAboveTheNumberOfCreatedEntriesCountsAsFailure() {
        assertEquals(new ExportSchedule.Batch(0, 3), export.nextBatch(0, 3));
        assertFalse(export.onResponse(10, 4, 3));
        assertEquals(0, export.acknowledged());
        assertEquals(1, export.failures());
        assertEquals(new ExportSchedule.Batch(0, 3), export.nextBatch(200, 3));
    }

    @Test
    void unansweredBatchIsResentAfterTimeoutAndBackoff() {
        assertNotNull(export.nextBatch(0, 3));
        assertNull(export.nextBatch(999, 3), "one batch at a time");
        assertNull(export.nextBatch(1_000, 3), "timed out: back off first");
        assertEquals(new ExportSchedule.Batch(0, 3), export.nextBatch(1_100, 3));
    }
}
