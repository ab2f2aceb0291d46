package gatefront.rehearsal.net;

import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * A virtual clock and the event loops that run on it, all on the thread that created it. Time stands still while a
 * task is due and then jumps to the next deadline. At one instant the loops run in the order of their creation, round
 * after round until none has a task left; within a loop, tasks run by deadline and then in the order of scheduling.
 * The order of all events therefore depends only on the seed.
 *
 * <p>Each process has its own loop, so that killing a process drops its timers, as it does in service, and the agent
 * need not know that it runs in a rehearsal.
 */
public final class VirtualTime implements Ticker {
    /** Number of tasks at one instant from which time is considered to be stuck. */
    private static final int MAX_TASKS_PER_INSTANT = 2_000_000;

    private static final long MAX_LOOP_RUN_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final List<Loop> loops = new ArrayList<>();
    private final Thread thread = Thread.currentThread();
    private long nowNanos;
    private long tasks;

    /** Thrown when time does not advance because tasks keep scheduling tasks that are due immediately. */
    public static final class LivelockException extends RuntimeException {
        private static final long serialVersionUID = 1;

        LivelockException(String loop, long nanos) {
            super(String.format(
                    Locale.ROOT,
                    "time stands still at %.6f s: the tasks of %s go on making tasks " + "that are due at once",
                    nanos / 1e9,
                    loop));
        }
    }

    /** The event loop of one process. */
    final class Loop extends ManualIoEventLoop {
        private final String name;
        private boolean dead;
        private int droppedTimers;

        private Loop(String name) {
            super(null, thread, LocalIoHandler.newFactory(), VirtualTime.this);
            this.name = name;
        }

        /** Stops the loop and drops its timers. */
        void kill() {
            dead = true;
            loops.remove(this);
            long presentNanos = nowNanos;
            nowNanos = Long.MAX_VALUE / 2; // the queue returns only tasks that are due
            while (pollScheduledTask(nowNanos) != null) {
                droppedTimers++;
            }
            nowNanos = presentNanos;
        }

        /** Returns the number of timers that were pending when the loop was killed. */
        int droppedTimers() {
            return droppedTimers;
        }

        boolean isDead() {
            return dead;
        }

        private long deadline() {
            long next = nextScheduledTaskDeadlineNanos();
            return next < 0 ? Long.MAX_VALUE : next;
        }
    }

    Loop loop(String name) {
        Loop loop = new Loop(name);
        loops.add(loop);
        return loop;
    }

    /**
     * Runs all tasks due up to and including a time, which then becomes the current time.
     *
     * @param until nanoseconds since the clock's start
     * @throws LivelockException if time does not advance
     */
    public void run(long until) {
        boolean runAll = true; // calls from outside may have left tasks on any loop
        while (true) {
            long nextDeadline = runInstant(runAll);
            runAll = false;
            if (nextDeadline > until) {
                nowNanos = Math.max(nowNanos, until);
                return;
            }
            nowNanos = Math.max(nowNanos, nextDeadline);
        }
    }

    /**
     * Runs tasks until none is due now, and returns the next deadline. A loop that has run has nothing left to do;
     * afterwards it runs only for a deadline or for a task from another loop. Only the first loop, the rehearsal's
     * own, calls into other loops, so all loops are checked after it has run.
     */
    private long runInstant(boolean runAll) {
        long taskCount = 0;
        boolean runEvery = runAll;
        while (true) {
            long next = Long.MAX_VALUE;
            boolean ranAny = false;
            boolean worldRan = false;
            for (int i = 0; i < loops.size(); i++) { // loops may be added or removed meanwhile
                Loop loop = loops.get(i);
                if (runEvery || worldRan || loop.deadline() <= nowNanos) {
                    int n = loop.runNow(MAX_LOOP_RUN_NANOS);
                    ranAny |= n > 0;
                    worldRan |= n > 0 && i == 0;
                    taskCount += n;
                    if (taskCount > MAX_TASKS_PER_INSTANT) {
                        throw new LivelockException(loop.name, nowNanos);
                    }
                }
                next = Math.min(next, loop.deadline());
            }
            if (!ranAny) {
                tasks += taskCount;
                return next;
            }
            runEvery = worldRan;
        }
    }

    /** Returns the number of tasks run so far. */
    public long tasks() {
        return tasks;
    }

    @Override
    public long initialNanoTime() {
        return 0;
    }

    @Override
    public long nanoTime() {
        return nowNanos;
    }

    @Override
    public void sleep(long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("cannot block on virtual time");
    }
}
