package gatefront.budget;

/**
 * Finds what rises slowly: the least that was held in each window, since that is what never goes away. A load that
 * comes and goes has a floor that comes and goes too; a leak's only rises.
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
     * Nothing seen yet.
     *
     * @param window how long a window is, in microseconds
     * @param windows after how many in a row, each with a higher floor than the one before, it says so
     */
    public LeakTrend(long window, int windows) {
        this.windowMicros = window;
        this.windowsBeforeReport = windows;
    }

    /**
     * So much is held.
     *
     * @return by how much the floor has risen, when that is to be said: at the given number of windows in a row, and
     *     each time as many again; else 0
     */
    public long observe(long now, long held) {
        if (windowEndMicros == 0) {
            windowEndMicros = now + windowMicros;
        }
        long risen = 0;
        if (now >= windowEndMicros) {
            if (previousMinimum >= 0 && windowMinimum > previousMinimum) {
                risingWindows++;
                if (risingWindows % windowsBeforeReport == 0) {
                    risen = windowMinimum - minimumBeforeRise;
                }
            } else {
                risingWindows = 0;
                minimumBeforeRise = windowMinimum;
            }
            previousMinimum = windowMinimum;
            windowMinimum = Long.MAX_VALUE;
            windowEndMicros = now + windowMicros;
        }
        windowMinimum = Math.min(windowMinimum, held);
        return risen;
    }
}
