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
    private static final long SAY_EVERY = 60_000_000;

    private int[] inProgress;
    private int[] most;
    /** Turned away since the limit was last said to be met, and when that was; said once a minute at the most. */
    private long[] refused;

    private long[] saidAt;

    /** Without limits, for so many classes. */
    public ClassLimits(int classes) {
        inProgress = new int[classes];
        most = new int[classes];
        refused = new long[classes];
        saidAt = new long[classes];
        Arrays.fill(most, Integer.MAX_VALUE);
        Arrays.fill(saidAt, Long.MIN_VALUE / 2);
    }

    /** There are so many classes now; new ones have no limit. */
    public void grow(int classes) {
        int known = most.length;
        inProgress = Arrays.copyOf(inProgress, classes);
        most = Arrays.copyOf(most, classes);
        refused = Arrays.copyOf(refused, classes);
        saidAt = Arrays.copyOf(saidAt, classes);
        Arrays.fill(most, known, classes, Integer.MAX_VALUE);
        Arrays.fill(saidAt, known, classes, Long.MIN_VALUE / 2);
    }

    /** All limits that there are now, by the class's index; the others have none. */
    public void set(Map<Integer, Integer> limits) {
        Arrays.fill(most, Integer.MAX_VALUE);
        limits.forEach((of, limit) -> most[of] = limit);
    }

    /** Whether there is room for one more call of a class; if not, one is turned away. */
    public boolean room(int of) {
        if (inProgress[of] >= most[of]) {
            refused[of]++;
            return false;
        }
        return true;
    }

    /** A call has been taken; it is in progress until {@link #ended}. */
    public void begun(int of) {
        inProgress[of]++;
    }

    /** A call that was taken has ended. */
    public void ended(int of) {
        inProgress[of]--;
    }

    /** Calls of a class in progress. */
    public int inProgress(int of) {
        return inProgress[of];
    }

    /** How many of a class were turned away, if staff are to hear it now; else 0. The clock is any, in microseconds. */
    public long met(long now, int of) {
        if (refused[of] == 0 || now - saidAt[of] < SAY_EVERY) {
            return 0;
        }
        long turnedAway = refused[of];
        refused[of] = 0;
        saidAt[of] = now;
        return turnedAway;
    }
}
