package gatefront.budget;

/**
 * Finds what rises slowly: the least that was held in each window, since that is what never goes away. A load that
 * comes and goes has a floor that comes and goes too; a leak's only rises.
 */
public final class LeakTrend {
    private final long window;
    private final int windows;
    private long windowEnds;
    private long least = Long.MAX_VALUE;
    private long floor = -1;
    private long began;
    private int rising;

    /**
     * Nothing seen yet.
     *
     * @param window how long a window is, in microseconds
     * @param windows after how many in a row, each with a higher floor than the one before, it says so
     */
    public LeakTrend(long window, int windows) {
        this.window = window;
        this.windows = windows;
    }

    /**
     * So much is held.
     *
     * @return by how much the floor has risen, when that is to be said: at the given number of windows in a row, and
     *     each time as many again; else 0
     */
    public long seen(long now, long held) {
        if (windowEnds == 0) {
            windowEnds = now + window;
        }
        long risen = 0;
        if (now >= windowEnds) {
            if (floor >= 0 && least > floor) {
                rising++;
                if (rising % windows == 0) {
                    risen = least - began;
                }
            } else {
                rising = 0;
                began = least;
            }
            floor = least;
            least = Long.MAX_VALUE;
            windowEnds = now + window;
        }
        least = Math.min(least, held);
        return risen;
    }
}
