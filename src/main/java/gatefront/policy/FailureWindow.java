package gatefront.policy;

import java.util.Arrays;

/** Counts the outcomes and failures of a server in a sliding window, which is divided into slots of equal length. */
final class FailureWindow {
    private static final int SLOTS = 10;

    private final int[] failuresBySlot = new int[SLOTS];
    private final int[] totalsBySlot = new int[SLOTS];
    /** Number of the newest slot, counted from time 0. */
    private long newestSlot;
    /** Failures in the window. */
    int failed;
    /** Outcomes in the window. */
    int total;

    /** Adds an outcome; {@code length} is the length of the window in microseconds. */
    void add(long now, long length, boolean failure) {
        slideTo(now, length);
        int i = (int) (newestSlot % SLOTS);
        totalsBySlot[i]++;
        total++;
        if (failure) {
            failuresBySlot[i]++;
            failed++;
        }
    }

    /** Drops the outcomes that are older than a window of {@code length} microseconds. */
    void slideTo(long now, long length) {
        long newest = now / (length / SLOTS);
        for (long s = Math.max(newestSlot + 1, newest - SLOTS + 1); s <= newest; s++) {
            int i = (int) (s % SLOTS);
            total -= totalsBySlot[i];
            failed -= failuresBySlot[i];
            totalsBySlot[i] = 0;
            failuresBySlot[i] = 0;
        }
        newestSlot = newest;
    }

    void clear() {
        Arrays.fill(failuresBySlot, 0);
        Arrays.fill(totalsBySlot, 0);
        failed = 0;
        total = 0;
    }
}
