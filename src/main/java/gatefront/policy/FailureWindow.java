package gatefront.policy;

import java.util.Arrays;

/** Failures and totals of one server over a sliding window of equal slots. */
final class FailureWindow {
    private static final int SLOTS = 10;

    private final int[] failures = new int[SLOTS];
    private final int[] totals = new int[SLOTS];
    private long slot;
    int failed;
    int total;

    /** Counts one outcome. */
    void add(long now, long length, boolean failure) {
        slideTo(now, length);
        int i = (int) (slot % SLOTS);
        totals[i]++;
        total++;
        if (failure) {
            failures[i]++;
            failed++;
        }
    }

    /** Forgets what is older than the window of this length. */
    void slideTo(long now, long length) {
        long newest = now / (length / SLOTS);
        for (long s = Math.max(slot + 1, newest - SLOTS + 1); s <= newest; s++) {
            int i = (int) (s % SLOTS);
            total -= totals[i];
            failed -= failures[i];
            totals[i] = 0;
            failures[i] = 0;
        }
        slot = newest;
    }

    void clear() {
        Arrays.fill(failures, 0);
        Arrays.fill(totals, 0);
        failed = 0;
        total = 0;
    }
}
