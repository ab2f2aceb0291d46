package gatefront.registry.follower;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;

/** Measurements for the design note. Run them manually: {@code mvn test -Dtest=RegistryFigures}. */
class RegistryFigures {
    private static final int KEYS = 10_000;
    private static final FollowerLimits LIMITS =
            new FollowerLimits(50_000, 1_000_000, 0, 2_000_000, 8_000_000, 30_000_000, 0, 20_000);

    private static final class Quiet extends IgnoringActions {
        private long call;
        private int calls;
        private long timerAt = -1;
        private long now;

        @Override
        public void list(long newCall, boolean quorum) {
            call = newCall;
            calls++;
        }

        @Override
        public void watch(long newCall, long revision) {
            call = newCall;
            calls++;
        }

        @Override
        public void scheduleTimer(long delay) {
            timerAt = now + delay;
        }
    }

    private static List<KeyEntry> entries() {
        List<KeyEntry> all = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            all.add(new KeyEntry(
                    "oaxaca/nodos/nodo-" + i,
                    "{\"address\":\"10.1.0." + i % 250 + ":3000\",\"zone\":\"a\","
                            + "\"type\":\"m2\",\"group\":3,\"status\":\"Ready\",\"weight\":1.0,\"since_ms\":0}",
                    1,
                    1 + i));
        }
        return all;
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    @Test
    void changeRateAndMemory() {
        long before = usedHeapBytes();
        Quiet quiet = new Quiet();
        Follower follower = new Follower(LIMITS, 1, quiet);
        follower.start(0);
        follower.listReceived(0, quiet.call, 1, KEYS + 1, true, entries());
        System.out.printf("memory for %d nodos: %.1f MB%n", KEYS, (usedHeapBytes() - before) / 1e6);
        for (int round = 0; round < 5; round++) {
            long began = System.nanoTime();
            int n = 1_000_000;
            long from = follower.revision();
            for (int i = 1; i <= n; i++) {
                follower.changesReceived(
                        0,
                        quiet.call,
                        List.of(new KeyChange("oaxaca/nodos/nodo-" + i % KEYS, "x", 1, from + i)),
                        false);
            }
            System.out.printf("changes a second, one a message: %.0f%n", n / ((System.nanoTime() - began) / 1e9));
            began = System.nanoTime();
            for (int i = 0; i < 20; i++) {
                follower.revisionCompacted(0, quiet.call, 1);
                quiet.now += 1_000_000;
                follower.timerFired(quiet.now);
                follower.listReceived(quiet.now, quiet.call, 1, follower.revision() + 1, true, entries());
            }
            System.out.printf("a full read of %d taken in: %.1f ms%n", KEYS, (System.nanoTime() - began) / 20 / 1e6);
        }
    }

    /**
     * All agents lose the registry at the same time; it is back after 20 s. Prints the maximum number of calls in a
     * tenth of a second after that.
     */
    @Test
    void reconnectRateAfterAnOutage() {
        for (int agents : new int[] {100, 1_000}) {
            for (boolean jitter : new boolean[] {false, true}) {
                int[] calls = new int[50];
                for (int i = 0; i < agents; i++) {
                    SplittableRandom random = new SplittableRandom(i);
                    LongUnaryOperator wait = jitter ? max -> random.nextLong(max + 1) : max -> max;
                    Quiet quiet = new Quiet();
                    Follower follower = new Follower(LIMITS, wait, quiet);
                    follower.start(0);
                    follower.listReceived(0, quiet.call, 1, 5, true, List.of());
                    while (quiet.now < 22_000_000) {
                        int before = quiet.calls;
                        follower.callFailed(quiet.now, quiet.call, "down", false);
                        while (quiet.calls == before) {
                            quiet.now = quiet.timerAt;
                            follower.timerFired(quiet.now);
                        }
                        if (quiet.now >= 20_000_000) {
                            calls[(int) Math.min(49, (quiet.now - 20_000_000) / 100_000)]++;
                            // The call succeeds.
                            break;
                        }
                    }
                }
                int busiest = 0;
                for (int callCount : calls) {
                    busiest = Math.max(busiest, callCount);
                }
                System.out.printf(
                        "%d agents, %s jitter: %d calls in the fullest tenth of a second%n",
                        agents, jitter ? "with" : "without", busiest);
            }
        }
    }
}
