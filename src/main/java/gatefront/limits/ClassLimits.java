package gatefront.limits;

import java.util.Arrays;
import java.util.Map;

/**
 * Limits the requests of a class that may be in progress in this agent at once. A class has no limit by default. A
 * limit below the present number ends no request; new ones are refused until enough have ended.
 *
 * <p>State: four numbers for each class in the settings.
 */
public final class ClassLimits {
    private static final long REPORT_INTERVAL_MICROS = 60_000_000;

    private int[] inProgress;
    private int[] maxInProgress;
    /** Requests refused since refusals of the class were last reported; reported at most once a minute. */
    private long[] unreportedRefusals;

    private long[] reportedAtMicros;

    /** Creates limits for the given number of classes; none is limited. */
    public ClassLimits(int classes) {
        inProgress = new int[classes];
        maxInProgress = new int[classes];
        unreportedRefusals = new long[classes];
        reportedAtMicros = new long[classes];
        Arrays.fill(maxInProgress, Integer.MAX_VALUE);
        Arrays.fill(reportedAtMicros, Long.MIN_VALUE / 2);
    }

    /** Raises the number of classes; the new ones have no limit. */
    public void resize(int classes) {
        int known = maxInProgress.length;
        inProgress = Arrays.copyOf(inProgress, classes);
        maxInProgress = Arrays.copyOf(maxInProgress, classes);
        unreportedRefusals = Arrays.copyOf(unreportedRefusals, classes);
        reportedAtMicros = Arrays.copyOf(reportedAtMicros, classes);
        Arrays.fill(maxInProgress, known, classes, Integer.MAX_VALUE);
        Arrays.fill(reportedAtMicros, known, classes, Long.MIN_VALUE / 2);
    }

    /** Replaces all limits, by the index of the class; classes that are not named have none. */
    public void setLimits(Map<Integer, Integer> limits) {
        Arrays.fill(maxInProgress, Integer.MAX_VALUE);
        limits.forEach((requestClass, limit) -> maxInProgress[requestClass] = limit);
    }

    /** Returns whether one more request of a class may start; if not, counts a refusal. */
    public boolean hasCapacity(int requestClass) {
        if (inProgress[requestClass] >= maxInProgress[requestClass]) {
            unreportedRefusals[requestClass]++;
            return false;
        }
        return true;
    }

    /** Records that a request has been accepted; it is in progress until {@link #requestEnded}. */
    public void requestStarted(int requestClass) {
        inProgress[requestClass]++;
    }

    /** Records that an accepted request has ended. */
    public void requestEnded(int requestClass) {
        inProgress[requestClass]--;
    }

    /** Returns the number of requests of a class in progress. */
    public int inProgress(int requestClass) {
        return inProgress[requestClass];
    }

    /**
     * Returns the number of refused requests of a class if it is due to be reported to operators, and resets it; 0
     * otherwise.
     *
     * @param now microseconds of any clock, the same at each call
     */
    public long takeRefusalsToReport(long now, int requestClass) {
        if (unreportedRefusals[requestClass] == 0 || now - reportedAtMicros[requestClass] < REPORT_INTERVAL_MICROS) {
            return 0;
        }
        long refusals = unreportedRefusals[requestClass];
        unreportedRefusals[requestClass] = 0;
        reportedAtMicros[requestClass] = now;
        return refusals;
    }
}
