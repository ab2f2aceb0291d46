package gatefront.limits;

import java.util.Arrays;
import java.util.Map;

/**
 * How many calls of a class may be in progress in this agent at once. Without a limit all are taken; a limit below what
 * is in progress ends nothing, and nothing new is taken until enough have ended.
 *
 * <p>State: two figures a class, as many as the settings have classes.
 */
public final class ClassLimits {
    private static final long REPORT_INTERVAL_MICROS = 60_000_000;

    private int[] inProgress;
    private int[] maxInProgress;
    /** Turned away since the limit was last said to be met, and when that was; said once a minute at the most. */
    private long[] unreportedRefusals;

    private long[] reportedAtMicros;

    /** Without limits, for so many classes. */
    public ClassLimits(int classes) {
        inProgress = new int[classes];
        maxInProgress = new int[classes];
        unreportedRefusals = new long[classes];
        reportedAtMicros = new long[classes];
        Arrays.fill(maxInProgress, Integer.MAX_VALUE);
        Arrays.fill(reportedAtMicros, Long.MIN_VALUE / 2);
    }

    /** There are so many classes now; new ones have no limit. */
    public void resize(int classes) {
        int known = maxInProgress.length;
        inProgress = Arrays.copyOf(inProgress, classes);
        maxInProgress = Arrays.copyOf(maxInProgress, classes);
        unreportedRefusals = Arrays.copyOf(unreportedRefusals, classes);
        reportedAtMicros = Arrays.copyOf(reportedAtMicros, classes);
        Arrays.fill(maxInProgress, known, classes, Integer.MAX_VALUE);
        Arrays.fill(reportedAtMicros, known, classes, Long.MIN_VALUE / 2);
    }

    /** All limits that there are now, by the class's index; the others have none. */
    public void setLimits(Map<Integer, Integer> limits) {
        Arrays.fill(maxInProgress, Integer.MAX_VALUE);
        limits.forEach((of, limit) -> maxInProgress[of] = limit);
    }

    /** Whether there is room for one more call of a class; if not, one is turned away. */
    public boolean hasCapacity(int of) {
        if (inProgress[of] >= maxInProgress[of]) {
            unreportedRefusals[of]++;
            return false;
        }
        return true;
    }

    /** A call has been taken; it is in progress until {@link #requestEnded}. */
    public void requestStarted(int of) {
        inProgress[of]++;
    }

    /** A call that was taken has ended. */
    public void requestEnded(int of) {
        inProgress[of]--;
    }

    /** Calls of a class in progress. */
    public int inProgress(int of) {
        return inProgress[of];
    }

    /** How many of a class were turned away, if staff are to hear it now; else 0. The clock is any, in microseconds. */
    public long takeRefusalsToReport(long now, int of) {
        if (unreportedRefusals[of] == 0 || now - reportedAtMicros[of] < REPORT_INTERVAL_MICROS) {
            return 0;
        }
        long turnedAway = unreportedRefusals[of];
        unreportedRefusals[of] = 0;
        reportedAtMicros[of] = now;
        return turnedAway;
    }
}
