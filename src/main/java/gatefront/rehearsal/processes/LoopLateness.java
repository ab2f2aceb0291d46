package gatefront.rehearsal.processes;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Measures how late the event loops of the rig run, with a periodic tick on each of them. The checks allow for these
 * delays, so that an agent is not blamed for what the rig itself did late. Times are microseconds of the monotonic
 * clock, which all processes of the machine share.
 *
 * <p>Keeps the last {@link #MAX_DELAYS} delays, and the maximum over the whole run.
 */
public final class LoopLateness {
    private static final long TICK_MICROS = 2_000;
    /** Shorter delays are ordinary timer inaccuracy and are not recorded. */
    private static final long MIN_DELAY_MICROS = 3_000;

    private static final int MAX_DELAYS = 20_000;

    /** The time between a tick's due time and the time at which it ran. */
    private record Delay(long from, long until) {}

    private final Deque<Delay> delays = new ArrayDeque<>();
    private long maxMicros;

    /** Measures a loop until it shuts down. */
    public void watch(EventLoop loop) {
        loop.execute(() -> tick(loop, nowMicros()));
    }

    private static long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    private void tick(EventLoop loop, long due) {
        long now = nowMicros();
        record(due, now);
        long next = Math.max(due + TICK_MICROS, now);
        if (!loop.isShuttingDown()) {
            loop.schedule(() -> tick(loop, next), next - now, TimeUnit.MICROSECONDS);
        }
    }

    /** Records when a tick was due and when it ran. */
    synchronized void record(long due, long ran) {
        if (ran - due >= MIN_DELAY_MICROS) {
            maxMicros = Math.max(maxMicros, ran - due);
            delays.addLast(new Delay(due, ran));
            if (delays.size() > MAX_DELAYS) {
                delays.removeFirst();
            }
        }
    }

    /** Discards all delays so far; called when traffic starts, since earlier delays affect no request. */
    public synchronized void reset() {
        delays.clear();
        maxMicros = 0;
    }

    /** Returns the longest delay that overlaps a period, or 0 if none does. */
    public synchronized long maxBetween(long from, long until) {
        long longest = 0;
        for (Delay delay : delays) {
            if (delay.until >= from && delay.from <= until) {
                longest = Math.max(longest, delay.until - delay.from);
            }
        }
        return longest;
    }

    /** Returns the longest delay since the last reset. */
    public synchronized long maxMicros() {
        return maxMicros;
    }

    /** Returns how many of the kept delays exceeded a threshold. */
    public synchronized long countOver(long micros) {
        return delays.stream()
                .filter(delay -> delay.until - delay.from > micros)
                .count();
    }
}
