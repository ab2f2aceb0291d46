package gatefront.budget;

/**
 * Detects slow growth from the minimum amount held in each window, which is what is never released. Under a varying
 * load that minimum rises and falls; under a leak it only rises.
 */
public final class LeakTrend {
    private final long windowMicros;
    private final int windowsBeforeReport;
    private long windowEndMicros;
    private long windowMinimum = Long.MAX_VALUE;
    private long previousMinimum = -1;
    private long minimumBeforeRise;
    private int risingWindows;

    /**
     * Creates a trend without observations.
     *
     * @param windowMicros the length of a window, in microseconds
     * @param windowsBeforeReport the number of consecutive windows, each with a higher minimum than the one before,
     *     after which the growth is reported
     */
    public LeakTrend(long windowMicros, int windowsBeforeReport) {
        this.windowMicros = windowMicros;
        this.windowsBeforeReport = windowsBeforeReport;
    }

    /**
     * Records the amount held at {@code now}, in microseconds.
     *
     * @return by how much the minimum has risen, if that is due to be reported: after the given number of consecutive
     *     rising windows, and after each further such number; 0 otherwise
     */
    public long observe(long now, long amount) {
        if (windowEndMicros == 0) {
            windowEndMicros = now + windowMicros;
        }
        long growth = 0;
        if (now >= windowEndMicros) {
            if (previousMinimum >= 0 && windowMinimum > previousMinimum) {
                risingWindows++;
                if (risingWindows % windowsBeforeReport == 0) {
                    growth = windowMinimum - minimumBeforeRise;
                }
            } else {
                risingWindows = 0;
                minimumBeforeRise = windowMinimum;
            }
            previousMinimum = windowMinimum;
            windowMinimum = Long.MAX_VALUE;
            windowEndMicros = now + windowMicros;
        }
        windowMinimum = Math.min(windowMinimum, amount);
        return growth;
    }
}
