package gatefront.policy;

import java.util.Arrays;

/** Failures and totals of one server over a sliding window of equal slots. */
final class FailureWindow {
    private static final int SLOTS = 10;

    private final int[] failuresBySlot = new int[SLOTS];
    private final int[] totalsBySlot = new int[SLOTS];
    private long newestSlot;
    int failed;
    int total;

    /** Counts one outcome. */
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

    /** Forgets what is older than the window of this length. */
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
