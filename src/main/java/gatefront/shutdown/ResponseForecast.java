package gatefront.shutdown;

import java.util.ArrayList;
import java.util.List;

/**
 * Predicts from the bytes that have arrived of a response when the rest will have arrived. Bytes are counted by bursts:
 * one that is still arriving says nothing of the rate yet, nor does the first one, as a server, or the sockets between,
 * may have had much ready at the start.
 */
public final class ResponseForecast {
    /** What can be said of the end of a response. */
    public enum Verdict {
        /** It will be complete in time. */
        IN_TIME,
        /** More has to arrive before it can be told. */
        OPEN,
        /** It will not be complete in time. */
        TOO_LATE
    }

    /** Bytes that arrived without a gap: when the last of them came, and how many had arrived in all by then. */
    private record Burst(long endNanos, long totalBytes) {}

    /** Stands for a length that the response does not tell. */
    public static final long UNKNOWN_LENGTH = -1;

    private static final long NANOS_PER_MS = 1_000_000;
    /** A burst ends when nothing arrives for this long. */
    private static final long BURST_GAP_NANOS = 20 * NANOS_PER_MS;
    /** Longest time that counts as one burst where bytes keep arriving. */
    private static final long MAX_BURST_NANOS = 50 * NANOS_PER_MS;
    /** Shortest time between the first and the last burst for a guess. */
    private static final long MIN_GUESS_NANOS = 50 * NANOS_PER_MS;
    /** Shortest time between the first and the last burst for a verdict. */
    private static final long MIN_VERDICT_NANOS = 150 * NANOS_PER_MS;
    /** A response of unknown length that has taken so long is guessed to be too late. */
    private static final long MAX_UNKNOWN_LENGTH_NANOS = 300 * NANOS_PER_MS;
    /** The rest may take this multiple of its predicted time. */
    private static final double SAFETY_FACTOR = 1.2;
    /** Within this multiple of its predicted time the rest is not expected. */
    private static final double REJECTION_FACTOR = 0.85;
    /** Fewer bytes than this say nothing of a rate. */
    private static final long MIN_FAST_BYTES = 256 << 10;
    /** What comes at the speed of the network so far is taken to be this much slower in all. */
    private static final double FIRST_BURST_FACTOR = 4;

    private final long lengthBytes;
    private final long endNanos;
    private final List<Burst> bursts = new ArrayList<>();
    private long firstNanos;
    private long burstStartNanos;
    private long lastNanos;
    private long receivedBytes;

    /**
     * Creates a forecast for a response of which nothing has arrived.
     *
     * @param lengthBytes its length, or {@link #UNKNOWN_LENGTH}
     * @param endNanos when it has to be complete
     */
    public ResponseForecast(long lengthBytes, long endNanos) {
        this.lengthBytes = lengthBytes;
        this.endNanos = endNanos;
    }

    /** Notes that bytes have arrived. */
    public void received(long nowNanos, int bytes) {
        if (receivedBytes == 0) {
            firstNanos = nowNanos;
            burstStartNanos = nowNanos;
        } else if (hasBurstEnded(nowNanos) || nowNanos - burstStartNanos >= MAX_BURST_NANOS) {
            bursts.add(new Burst(lastNanos, receivedBytes));
            burstStartNanos = nowNanos;
        }
        lastNanos = nowNanos;
        receivedBytes += bytes;
    }

    /** Returns what is all but certain of the end; the end of a response of unknown length stays open. */
    public Verdict verdict(long nowNanos) {
        long leftNanos = endNanos - nowNanos;
        if (leftNanos <= 0) {
            return Verdict.TOO_LATE;
        }
        Burst last = lastBurst(nowNanos);
        if (lengthBytes < 0 || observedNanos(last) < MIN_VERDICT_NANOS) {
            return Verdict.OPEN;
        }
        double averageNanos = restNanos(bursts.get(0), last, nowNanos);
        double recentNanos = restNanos(burstAt(last.endNanos - observedNanos(last) / 2), last, nowNanos);
        double latestNanos = restNanos(burstAt(last.endNanos - 1), last, nowNanos);
        if (SAFETY_FACTOR * Math.max(averageNanos, Math.max(recentNanos, latestNanos)) <= leftNanos) {
            return Verdict.IN_TIME;
        }
        return REJECTION_FACTOR * Math.min(averageNanos, recentNanos) > leftNanos ? Verdict.TOO_LATE : Verdict.OPEN;
    }

    /** Returns what is likelier of the end, for when little more can be observed; open while too little is known. */
    public Verdict guess(long nowNanos) {
        if (lengthBytes < 0) {
            return nowNanos - firstNanos >= MAX_UNKNOWN_LENGTH_NANOS ? Verdict.TOO_LATE : Verdict.OPEN;
        }
        Burst last = lastBurst(nowNanos);
        if (observedNanos(last) < MIN_GUESS_NANOS) {
            return Verdict.OPEN;
        }
        return restNanos(bursts.get(0), last, nowNanos) <= endNanos - nowNanos ? Verdict.IN_TIME : Verdict.TOO_LATE;
    }

    /**
     * Returns whether a response that has brought much since its first bytes may be expected in time, for when nothing
     * more can be observed and {@link #guess} is open.
     */
    public boolean isFastEnough(long nowNanos) {
        long tookNanos = nowNanos - firstNanos;
        double restNanos =
                lengthBytes < 0 ? tookNanos : (double) tookNanos * (lengthBytes - receivedBytes) / receivedBytes;
        return receivedBytes >= MIN_FAST_BYTES && FIRST_BURST_FACTOR * restNanos <= endNanos - nowNanos;
    }

    private boolean hasBurstEnded(long nowNanos) {
        return nowNanos - lastNanos >= BURST_GAP_NANOS;
    }

    /** Returns the last burst that has ended, or null. */
    private Burst lastBurst(long nowNanos) {
        if (receivedBytes > 0 && hasBurstEnded(nowNanos)) {
            return new Burst(lastNanos, receivedBytes);
        }
        return bursts.isEmpty() ? null : bursts.get(bursts.size() - 1);
    }

    private long observedNanos(Burst last) {
        return last == null || bursts.isEmpty() ? 0 : last.endNanos - bursts.get(0).endNanos;
    }

    /** Returns the last burst that had ended by a moment, or the first one. */
    private Burst burstAt(long nanos) {
        int index = bursts.size() - 1;
        while (index > 0 && bursts.get(index).endNanos - nanos > 0) {
            index--;
        }
        return bursts.get(index);
    }

    /** Returns how long the rest takes from now on at the rate between two bursts. */
    private double restNanos(Burst from, Burst last, long nowNanos) {
        double nanosPerByte = (double) (last.endNanos - from.endNanos) / (last.totalBytes - from.totalBytes);
        return (lengthBytes - last.totalBytes) * nanosPerByte - (nowNanos - last.endNanos);
    }
}
