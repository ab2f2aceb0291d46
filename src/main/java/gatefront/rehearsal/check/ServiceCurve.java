package gatefront.rehearsal.check;

import java.util.Arrays;

/**
 * Worth asked for and worth answered in time, by quarters of a second of the asking. Compared with a twin day's, it
 * tells when full service was back. Pure; seconds count from the opening.
 */
public final class ServiceCurve {
    /** Bins of a second. */
    public static final int BINS = 4;
    /** For how long service is to be full, in seconds, and how full. */
    private static final int WINDOW = 5;

    private static final double PART = 0.95;

    private final double[] asked;
    private final double[] inTime;

    /** A day of so many seconds. */
    public ServiceCurve(int seconds) {
        asked = new double[seconds * BINS];
        inTime = new double[seconds * BINS];
    }

    /** Somebody who asked at this time of the day has been served in time, or not. */
    public void settled(long sinceOpening, double worth, boolean served) {
        int bin = (int) Math.max(0, Math.min(asked.length - 1, sinceOpening * BINS / 1_000_000));
        asked[bin] += worth;
        inTime[bin] += served ? worth : 0;
    }

    private static double sum(double[] of, int from, int until) {
        return Arrays.stream(of, from, until).sum();
    }

    /**
     * Seconds after a time until service was full again: for the five seconds from then on, worth in time was at least
     * 0.95 of the twin's. Negative where that never came within the day.
     */
    public double fullAfter(double from, ServiceCurve twin) {
        int first = (int) Math.floor(from * BINS);
        for (int i = first; i + WINDOW * BINS <= inTime.length; i++) {
            if (sum(inTime, i, i + WINDOW * BINS) >= PART * sum(twin.inTime, i, i + WINDOW * BINS)) {
                return Math.max(0, (double) i / BINS - from);
            }
        }
        return -1;
    }

    /** The part of the worth that was answered in time between two seconds; 1 where nothing was asked. */
    public double part(double from, double until) {
        int first = (int) Math.floor(from * BINS);
        int last = Math.min(asked.length, (int) Math.ceil(until * BINS));
        double all = sum(asked, first, last);
        return all == 0 ? 1 : sum(inTime, first, last) / all;
    }
}
