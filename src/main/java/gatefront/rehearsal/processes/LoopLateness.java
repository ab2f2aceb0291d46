package gatefront.rehearsal.processes;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * How late the rig's own loops are, by a tick on each of them: what they do not do in time must not be blamed on an
 * agent. Times in microseconds of the clock that all processes of the machine share.
 *
 * <p>State: spells of lateness, the oldest dropped beyond {@link #KEPT}; the worst is kept for good.
 */
public final class LoopLateness {
    private static final long TICK = 2_000;
    /** Less is what any timer has. */
    private static final long LEAST = 3_000;

    private static final int KEPT = 20_000;

    /** From when a tick was due until it came. */
    private record Spell(long from, long until) {}

    private final Deque<Spell> spells = new ArrayDeque<>();
    private long worst;

    /** Watches a loop for as long as it runs. */
    public void watch(EventLoop loop) {
        loop.execute(() -> tick(loop, now()));
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    private void tick(EventLoop loop, long due) {
        long now = now();
        seen(due, now);
        long next = Math.max(due + TICK, now);
        if (!loop.isShuttingDown()) {
            loop.schedule(() -> tick(loop, next), next - now, TimeUnit.MICROSECONDS);
        }
    }

    /** A tick that was due has come. */
    synchronized void seen(long due, long came) {
        if (came - due >= LEAST) {
            worst = Math.max(worst, came - due);
            spells.addLast(new Spell(due, came));
            if (spells.size() > KEPT) {
                spells.removeFirst();
            }
        }
    }

    /** What was before does not count: nobody was served yet. */
    public synchronized void opens() {
        spells.clear();
        worst = 0;
    }

    /** The longest spell of which a part lies between two times; 0 if none does. */
    public synchronized long between(long from, long until) {
        long longest = 0;
        for (Spell each : spells) {
            if (each.until >= from && each.from <= until) {
                longest = Math.max(longest, each.until - each.from);
            }
        }
        return longest;
    }

    /** The worst of all. */
    public synchronized long worst() {
        return worst;
    }

    /** How often it was later than that. */
    public synchronized long over(long micros) {
        return spells.stream().filter(each -> each.until - each.from > micros).count();
    }
}
