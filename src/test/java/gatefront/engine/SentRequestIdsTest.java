package gatefront.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SentRequestIdsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    /** The seconds of the clock wrap around within the tests. */
    private static final long NOW = 65_530 * SECOND;

    private static final int RACES = 2_000;

    private final SentRequestIds ids = SentRequestIds.empty();

    @Test
    void idIsClaimedOnceUntilItIsReleasedOrOld() {
        assertTrue(ids.claim("a1", NOW));
        assertFalse(ids.claim("a1", NOW));
        assertTrue(ids.claim("a2", NOW));
        ids.release("a1", NOW + SECOND);
        assertTrue(ids.claim("a1", NOW + SECOND));
        assertFalse(ids.claim("a2", NOW + SentRequestIds.RETENTION_SECONDS * SECOND));
        assertTrue(ids.claim("a2", NOW + (SentRequestIds.RETENTION_SECONDS + 1) * SECOND));
    }

    @Test
    void claimsOfTheUsualRateAreKeptForSomeSeconds() {
        int perSecond = 300;
        int seconds = 10;
        int lost = 0;
        for (int i = 0; i < perSecond * seconds; i++) {
            assertTrue(ids.claim("request-" + i, NOW + i * SECOND / perSecond), "request " + i);
        }
        for (int i = 0; i < perSecond * seconds; i++) {
            lost += ids.claim("request-" + i, NOW + seconds * SECOND) ? 1 : 0;
        }
        assertTrue(lost < perSecond * seconds / 100, lost + " of " + perSecond * seconds + " claims are lost");
    }

    @Test
    void twoProcessesThatShareTheTableClaimAnIdOnce() throws Exception {
        ByteBuffer table = ByteBuffer.allocateDirect(SentRequestIds.BYTES);
        SentRequestIds first = new SentRequestIds(table);
        SentRequestIds second = new SentRequestIds(table.duplicate());
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try {
            for (int i = 0; i < RACES; i++) {
                String id = "id" + i;
                CountDownLatch start = new CountDownLatch(1);
                Future<Boolean> claimed = threads.submit(() -> {
                    start.await();
                    return first.claim(id, NOW);
                });
                Future<Boolean> alsoClaimed = threads.submit(() -> {
                    start.await();
                    return second.claim(id, NOW);
                });
                start.countDown();
                assertEquals(1, (claimed.get() ? 1 : 0) + (alsoClaimed.get() ? 1 : 0), id);
            }
        } finally {
            threads.shutdownNow();
        }
    }
}
