package gatefront.http;

import gatefront.transport.Transport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Estimates since when the client of a streamed request body may have written the last byte, which may lie unread in
 * sockets on the way. Three rules tell that it was still writing at some time: an empty receive queue while reading is
 * not paused; more that has been read, or is missing of a known length, than can have been written by then; and a
 * silence that ends too soon for a probe of a closed window. They rely on a system that holds no more than {@link
 * #MAX_SEND_BUFFER_BYTES}, and sends what it holds within {@link #PAUSE_EFFECT_NANOS} of a pause.
 */
final class SendProgress {
    /** What the client can have written by a time: what had arrived by then, and as much as its system can hold. */
    private record Sample(long nanos, long writtenAtMostBytes) {
        private long step() {
            return writtenAtMostBytes / SAMPLE_STEP_BYTES;
        }
    }

    /** After a pause of reading, a client's system may hold back for this long what the client has written. */
    private static final long PAUSE_EFFECT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** The most that a client's system holds of what the client has written: the largest buffer that Linux allots. */
    static final int MAX_SEND_BUFFER_BYTES = 4 << 20;
    /** Of the samples within a step only the last one is kept, which bounds their number. */
    private static final int SAMPLE_STEP_BYTES = 128 << 10;

    /** An empty receive queue that stays so for this long is no moment between two segments that are on the way. */
    private static final long MIN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /** For so long after its last segment a system that waits for a window does not probe it; Linux takes 0.2 s. */
    private static final long MAX_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /** Stands for a time that is not known. */
    private static final long UNKNOWN_NANOS = Long.MIN_VALUE;

    private final long framing;
    private final Deque<Sample> samples = new ArrayDeque<>();
    private long mayBeSentSinceNanos;
    private boolean wasPaused;
    private long lastPausedNanos;
    /** What had been read of the body when the receive queue was last looked at, or reading resumed. */
    private long arrivedBytes;

    /** A time before which the latest bytes have not arrived. */
    private long arrivedAfterNanos = UNKNOWN_NANOS;
    /** Since when nothing has arrived and nothing is unread, while reading is on. */
    private long emptySinceNanos = UNKNOWN_NANOS;
    /** When the receive queue was last seen empty while reading was on. */
    private long lastEmptyNanos = UNKNOWN_NANOS;

    /**
     * Creates the estimate for a body of which nothing has been observed.
     *
     * @param framing the length of the body; see {@link StrictHttpDecoders#framing}
     * @param startNanos the estimate until more is known: when its first part was sent
     */
    SendProgress(long framing, long startNanos) {
        this.framing = framing;
        this.mayBeSentSinceNanos = startNanos;
    }

    /** Notes that reading is paused from now on, as something has arrived. */
    void paused(long nowNanos) {
        wasPaused = true;
        lastPausedNanos = nowNanos;
        arrived(nowNanos);
    }

    /** Notes that reading was paused until now. */
    void resumed(long nowNanos, long receivedBytes) {
        lastPausedNanos = nowNanos;
        arrivedBytes = receivedBytes;
    }

    /** Returns whether reading was paused until a while ago, so that an empty receive queue is no sign by itself. */
    boolean isAfterPause(long nowNanos) {
        return wasPaused && nowNanos - lastPausedNanos < PAUSE_EFFECT_NANOS;
    }

    /**
     * Notes how much has arrived of a body whose end has not been read.
     *
     * @param receivedBytes what has been read of the body
     * @param unreadBytes what has arrived and has not been read, or {@link Transport#UNKNOWN_BYTES}
     * @param isPaused whether the body is not passed on at present
     */
    void received(long nowNanos, long receivedBytes, int unreadBytes, boolean isPaused) {
        lastPausedNanos = isPaused ? nowNanos : lastPausedNanos;
        if (isKnownToBeSending(nowNanos, receivedBytes, unreadBytes)) {
            mayBeSentSinceNanos = nowNanos;
            samples.clear();
        }
        applySamplesBelow(receivedBytes);
        if (unreadBytes >= 0) {
            addSample(new Sample(nowNanos, receivedBytes + unreadBytes + MAX_SEND_BUFFER_BYTES));
        }
    }

    /**
     * Notes the state of the receive queue while reading is on, for clients on this machine, to be called before {@link
     * #received}. If something arrives after a silence, and before a system that waits for a window would have probed
     * it, the client's system had nothing to send in the silence.
     */
    void observeQueue(long nowNanos, long receivedBytes, int unreadBytes) {
        if (receivedBytes > arrivedBytes || unreadBytes > 0) {
            arrived(nowNanos);
            arrivedBytes = receivedBytes;
        }
        if (unreadBytes == 0) {
            emptySinceNanos = emptySinceNanos == UNKNOWN_NANOS ? nowNanos : emptySinceNanos;
            lastEmptyNanos = nowNanos;
        }
    }

    private void arrived(long nowNanos) {
        if (emptySinceNanos == UNKNOWN_NANOS) {
            return;
        }
        boolean wasSilent = lastEmptyNanos - emptySinceNanos >= MIN_SILENCE_NANOS;
        boolean isProbe = arrivedAfterNanos == UNKNOWN_NANOS || nowNanos - arrivedAfterNanos >= MAX_GAP_NANOS;
        if (wasSilent && !isProbe) {
            advanceTo(lastEmptyNanos);
        }
        arrivedAfterNanos = lastEmptyNanos;
        emptySinceNanos = UNKNOWN_NANOS;
    }

    private void advanceTo(long nanos) {
        if (nanos - mayBeSentSinceNanos > 0) {
            mayBeSentSinceNanos = nanos;
        }
    }

    /** Notes that the whole body has been read. */
    void completed(long receivedBytes) {
        applySamplesBelow(receivedBytes);
        samples.clear();
    }

    long mayBeSentSinceNanos() {
        return mayBeSentSinceNanos;
    }

    /** While reading was not paused, the client was not kept from sending, and the end has not arrived. */
    private boolean isKnownToBeSending(long nowNanos, long receivedBytes, int unreadBytes) {
        return !isAfterPause(nowNanos) && unreadBytes <= 0
                || unreadBytes >= 0 && framing - receivedBytes > unreadBytes + MAX_SEND_BUFFER_BYTES;
    }

    /** Takes the client for still writing at each sample by which it cannot have written all that has been read. */
    private void applySamplesBelow(long receivedBytes) {
        while (!samples.isEmpty() && samples.peekFirst().writtenAtMostBytes() < receivedBytes) {
            advanceTo(samples.pollFirst().nanos());
        }
    }

    private void addSample(Sample sample) {
        while (!samples.isEmpty() && samples.peekLast().step() >= sample.step()) {
            samples.pollLast();
        }
        samples.addLast(sample);
    }
}
