package gatefront.rehearsal.processes;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * How late the rig's own loops are, by a tick on each of them: what they do not do in time must not be blamed on an
 * agent. Times in microseconds of the clock that all processes of the machine share.
 *
 * <p>State: spells of lateness, the oldest dropped beyond {@link #MAX_DELAYS}; the worst is kept for good.
 */
public final class LoopLateness {
    private static final long TICK_MICROS = 2_000;
    /** Less is what any timer has. */
    private static final long MIN_DELAY_MICROS = 3_000;

    private static final int MAX_DELAYS = 20_000;

    /** From when a tick was due until it came. */
    private record Delay(long from, long until) {}

    private final Deque<Delay> delays = new ArrayDeque<>();
    private long maxMicros;

    /** Watches a loop for as long as it runs. */
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

    /** A tick that was due has come. */
    synchronized void record(long due, long ran) {
        if (ran - due >= MIN_DELAY_MICROS) {
            maxMicros = Math.max(maxMicros, ran - due);
            delays.addLast(new Delay(due, ran));
            if (delays.size() > MAX_DELAYS) {
                delays.removeFirst();
            }
        }
    }

    /** What was before does not count: nobody was served yet. */
    public synchronized void reset() {
        delays.clear();
        maxMicros = 0;
    }

    /** The longest spell of which a part lies between two times; 0 if none does. */
    public synchronized long maxBetween(long from, long until) {
        long longest = 0;
        for (Delay each : delays) {
            if (each.until >= from && each.from <= until) {
                longest = Math.max(longest, each.until - each.from);
            }
        }
        return longest;
    }

    /** The worst of all. */
    public synchronized long maxMicros() {
        return maxMicros;
    }

    /** How often it was later than that. */
    public synchronized long countOver(long micros) {
        return delays.stream().filter(each -> each.until - each.from > micros).count();
    }
}
