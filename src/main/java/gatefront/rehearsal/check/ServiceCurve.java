package gatefront.rehearsal.check;

import java.util.Arrays;

/**
 * Worth requested and worth served in time, by quarter second of the first try. Compared with a run of the same plan
 * without its fault (the twin), it tells when full service was restored. Seconds count from the opening of the
 * traffic.
 */
public final class ServiceCurve {
    /** Bins per second. */
    public static final int BINS_PER_SECOND = 4;
    /** Service counts as full when it reaches {@link #FULL_SERVICE_SHARE} of the twin's for this many seconds. */
    private static final int WINDOW_SECONDS = 5;

    private static final double FULL_SERVICE_SHARE = 0.95;

    private final double[] requestedWorth;
    private final double[] inTimeWorth;

    /** Creates the curve of a run of {@code seconds} seconds. */
    public ServiceCurve(int seconds) {
        requestedWorth = new double[seconds * BINS_PER_SECOND];
        inTimeWorth = new double[seconds * BINS_PER_SECOND];
    }

    /** Records the result of an operation that started {@code sinceOpeningMicros} after the opening. */
    public void record(long sinceOpeningMicros, double worth, boolean inTime) {
        int bin = (int)
                Math.max(0, Math.min(requestedWorth.length - 1, sinceOpeningMicros * BINS_PER_SECOND / 1_000_000));
        requestedWorth[bin] += worth;
        inTimeWorth[bin] += inTime ? worth : 0;
    }

    private static double sum(double[] values, int from, int until) {
        return Arrays.stream(values, from, until).sum();
    }

    /**
     * Returns the seconds from {@code fromSeconds} until full service: the worth served in time in the following five
     * seconds is at least 0.95 of the twin's. Negative if that does not happen within the run.
     */
    public double secondsUntilFull(double fromSeconds, ServiceCurve twin) {
        int firstBin = (int) Math.floor(fromSeconds * BINS_PER_SECOND);
        for (int i = firstBin; i + WINDOW_SECONDS * BINS_PER_SECOND <= inTimeWorth.length; i++) {
            if (sum(inTimeWorth, i, i + WINDOW_SECONDS * BINS_PER_SECOND)
                    >= FULL_SERVICE_SHARE * sum(twin.inTimeWorth, i, i + WINDOW_SECONDS * BINS_PER_SECOND)) {
                return Math.max(0, (double) i / BINS_PER_SECOND - fromSeconds);
            }
        }
        return -1;
    }

    /**
     * Returns the share of the requested worth that was served in time between two seconds, or 1 if nothing was
     * requested.
     */
    public double servedShare(double fromSeconds, double untilSeconds) {
        int firstBin = (int) Math.floor(fromSeconds * BINS_PER_SECOND);
        int endBin = Math.min(requestedWorth.length, (int) Math.ceil(untilSeconds * BINS_PER_SECOND));
        double requested = sum(requestedWorth, firstBin, endBin);
        return requested == 0 ? 1 : sum(inTimeWorth, firstBin, endBin) / requested;
    }
}
