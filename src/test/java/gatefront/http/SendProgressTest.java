package gatefront.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Since when the client of a long body may have written the last byte, as told from what has arrived. */
class SendProgressTest {
    private static final int CHUNKED = -1;
    private static final int SEND_BUFFER_BYTES = SendProgress.MAX_SEND_BUFFER_BYTES;
    private static final int UNREAD_BYTES = 500_000;
    private static final int RECEIVED_BYTES = 10_000_000;

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static SendProgress pausedAtStart(int framing) {
        SendProgress progress = new SendProgress(framing, 0);
        progress.paused(0);
        return progress;
    }

    @Test
    void clientWhoseInputIsAllReadIsSending() {
        SendProgress progress = new SendProgress(CHUNKED, 0);
        progress.received(ms(70), 100_000, 0, false);
        assertEquals(ms(70), progress.mayBeSentSinceNanos());
        progress.received(ms(90), 100_000, 1, false);
        assertEquals(ms(70), progress.mayBeSentSinceNanos());
    }

    /** Guards against taking a client for sending whose system holds back what it has written. */
    @Test
    void emptyReceiveQueueRightAfterAPauseIsNoSign() {
        SendProgress progress = new SendProgress(CHUNKED, 0);
        progress.paused(ms(100));
        progress.received(ms(399), 100_000, 0, false);
        assertEquals(0, progress.mayBeSentSinceNanos());
        progress.received(ms(400), 100_000, 0, false);
        assertEquals(ms(400), progress.mayBeSentSinceNanos());
        progress.received(ms(900), 100_000, 0, true);
        progress.received(ms(1_100), 100_000, 0, false);
        assertEquals(ms(400), progress.mayBeSentSinceNanos(), "the pause lasted until 900 ms");
    }

    @Test
    void clientIsSendingAsLongAsMoreOfALengthIsMissingThanMayBeOnTheWay() {
        int framing = RECEIVED_BYTES + UNREAD_BYTES + SEND_BUFFER_BYTES;
        SendProgress progress = pausedAtStart(framing);
        progress.received(ms(50), RECEIVED_BYTES - 1, UNREAD_BYTES, true);
        assertEquals(ms(50), progress.mayBeSentSinceNanos());
        progress.received(ms(60), RECEIVED_BYTES, UNREAD_BYTES, true);
        assertEquals(ms(50), progress.mayBeSentSinceNanos());
    }

    /** Guards against failing a request that a server reads more slowly than its client writes, while it is written. */
    @Test
    void clientOfWhichMoreArrivesThanItCouldHaveWrittenBeforeWasSending() {
        SendProgress progress = pausedAtStart(CHUNKED);
        progress.received(ms(50), RECEIVED_BYTES, UNREAD_BYTES, true);
        long onTheWayBytes = UNREAD_BYTES + SEND_BUFFER_BYTES;
        progress.received(ms(90), RECEIVED_BYTES + onTheWayBytes, UNREAD_BYTES, true);
        assertEquals(0, progress.mayBeSentSinceNanos());
        progress.received(ms(95), RECEIVED_BYTES + onTheWayBytes + 1, UNREAD_BYTES, true);
        assertEquals(ms(50), progress.mayBeSentSinceNanos());
    }

    @Test
    void lastPartOfABodyCountsToo() {
        SendProgress progress = pausedAtStart(CHUNKED);
        progress.received(ms(50), RECEIVED_BYTES, UNREAD_BYTES, true);
        progress.completed(RECEIVED_BYTES + UNREAD_BYTES + SEND_BUFFER_BYTES + 1);
        assertEquals(ms(50), progress.mayBeSentSinceNanos());
    }

    /** Guards against taking unread bytes of chunk heads, or of a further request, for parts of the body. */
    @Test
    void unreadBytesCountOnlyAsWhatMayHaveBeenWritten() {
        SendProgress progress = pausedAtStart(CHUNKED);
        progress.received(ms(50), RECEIVED_BYTES, 0, true);
        progress.received(ms(90), RECEIVED_BYTES, 2 * SEND_BUFFER_BYTES, true);
        progress.received(ms(95), RECEIVED_BYTES + SEND_BUFFER_BYTES, 2 * SEND_BUFFER_BYTES, true);
        assertEquals(0, progress.mayBeSentSinceNanos());
    }

    /** Plays two bursts, the second one at {@code secondMs}, with a pause within the first one. */
    private static SendProgress afterTwoBursts(long drainedMs, long silentMs, long secondMs) {
        SendProgress progress = new SendProgress(CHUNKED, 0);
        progress.observeQueue(ms(1), 1_000, 0);
        progress.paused(ms(10));
        progress.received(ms(11), 60_000, 10_000, true);
        progress.resumed(ms(14), 60_000);
        progress.observeQueue(ms(drainedMs), 70_000, 0);
        progress.observeQueue(ms(silentMs), 70_000, 0);
        progress.paused(ms(secondMs));
        return progress;
    }

    /** Guards against failing a request while its client writes in bursts, each of which is read at once. */
    @Test
    void silenceBetweenBurstsShowsThatNothingWasHeldBack() {
        assertEquals(ms(40), afterTwoBursts(15, 40, 45).mayBeSentSinceNanos());
    }

    /** Guards against taking a client for sending whose system probes a closed window. */
    @Test
    void arrivalThatMayBeAProbeShowsNothing() {
        assertEquals(ms(140), afterTwoBursts(15, 140, 150).mayBeSentSinceNanos());
        assertEquals(0, afterTwoBursts(15, 140, 151).mayBeSentSinceNanos());
        assertEquals(0, afterTwoBursts(15, 140, 215).mayBeSentSinceNanos());
    }

    @Test
    void momentBetweenTwoSegmentsIsNoSilence() {
        assertEquals(ms(20), afterTwoBursts(15, 20, 22).mayBeSentSinceNanos());
        assertEquals(0, afterTwoBursts(15, 19, 22).mayBeSentSinceNanos());
    }

    @Test
    void burstThatIsReadLateCountsFromWhenItWasSeenUnread() {
        SendProgress progress = afterTwoBursts(15, 40, 45);
        progress.resumed(ms(50), 140_000);
        progress.observeQueue(ms(51), 140_000, 0);
        progress.observeQueue(ms(90), 140_000, 0);
        progress.observeQueue(ms(100), 140_000, 1);
        assertEquals(ms(90), progress.mayBeSentSinceNanos());
    }

    /** Guards against a rule that knows less taking back what another one has told. */
    @Test
    void estimateDoesNotGoBack() {
        SendProgress progress = afterTwoBursts(15, 40, 45);
        progress.completed(11_000 + 60_000 + SEND_BUFFER_BYTES);
        assertEquals(ms(40), progress.mayBeSentSinceNanos());
    }

    /** Guards against one sample for each read of a long body. */
    @Test
    void samplesOfOneStepAreJoined() {
        SendProgress progress = pausedAtStart(CHUNKED);
        progress.received(ms(50), RECEIVED_BYTES, UNREAD_BYTES, true);
        progress.received(ms(60), RECEIVED_BYTES + 1, UNREAD_BYTES, true);
        int firstSampleBytes = RECEIVED_BYTES + UNREAD_BYTES + SEND_BUFFER_BYTES;
        progress.received(ms(70), firstSampleBytes + 1, UNREAD_BYTES, true);
        assertEquals(0, progress.mayBeSentSinceNanos(), "the first sample is gone");
        progress.received(ms(80), firstSampleBytes + 2, UNREAD_BYTES, true);
        assertEquals(ms(60), progress.mayBeSentSinceNanos());
    }

    /** Bytes that lay unread in a pause may have arrived long before, and a probe is due that much earlier. */
    @Test
    void bytesThatLayUnreadInAPauseDoNotCountAsArrivedAfterIt() {
        SendProgress progress = new SendProgress(CHUNKED, 0);
        progress.observeQueue(ms(1), 1_000, 0);
        progress.paused(ms(10));
        progress.resumed(ms(140), 60_000);
        progress.observeQueue(ms(141), 65_000, 5_000);
        progress.observeQueue(ms(142), 70_000, 0);
        progress.observeQueue(ms(200), 70_000, 0);
        progress.observeQueue(ms(211), 100_000, 0);
        assertEquals(0, progress.mayBeSentSinceNanos());
    }

    /**
     * A client writes into a buffer, from which a receive queue is filled, which the agent reads by turns, and a slower
     * server takes what the agent reads. The estimate is never late, and advances as the body does.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void estimateIsNeverLateAndKeepsUpWithTheServer(int seed) {
        Random random = new Random(seed);
        long bodyBytes = 20_000_000 + random.nextInt(40_000_000);
        long sendBufferBytes = 100_000 + random.nextInt(SEND_BUFFER_BYTES - 100_000);
        long receiveQueueBytes = 100_000 + random.nextInt(6_000_000);
        long serverBytesPerMs = 4_000 + random.nextInt(60_000);
        SendProgress progress = pausedAtStart(random.nextBoolean() ? CHUNKED : (int) bodyBytes);
        long writtenBytes = 0;
        long arrivedBytes = 0;
        long readBytes = 0;
        long writtenAtMs = Long.MAX_VALUE;
        long longestLagMs = 0;
        for (long nowMs = 1; readBytes < bodyBytes; nowMs++) {
            readBytes = Math.min(arrivedBytes, readBytes + random.nextInt((int) (2 * serverBytesPerMs)));
            arrivedBytes = Math.min(writtenBytes, readBytes + receiveQueueBytes);
            writtenBytes = Math.min(bodyBytes, arrivedBytes + sendBufferBytes);
            writtenAtMs = writtenBytes == bodyBytes ? Math.min(writtenAtMs, nowMs) : writtenAtMs;
            progress.received(ms(nowMs), readBytes, (int) (arrivedBytes - readBytes), true);
            long estimateNanos = progress.mayBeSentSinceNanos();
            assertTrue(writtenAtMs == Long.MAX_VALUE || estimateNanos <= ms(writtenAtMs), "it is never late");
            longestLagMs = Math.max(longestLagMs, nowMs - TimeUnit.NANOSECONDS.toMillis(estimateNanos));
        }
        progress.completed(bodyBytes);
        assertTrue(progress.mayBeSentSinceNanos() <= ms(writtenAtMs), "it is not late at the end");
        long onTheWayMs = (receiveQueueBytes + SEND_BUFFER_BYTES) / serverBytesPerMs;
        assertTrue(longestLagMs <= 2 * onTheWayMs + 20, longestLagMs + " of " + onTheWayMs + " ms");
    }
}
