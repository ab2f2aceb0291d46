package gatefront.transport;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Holds an event loop up at a chosen point, as a suspended process or a starved thread does. */
public final class HeldLoop {
    private final CountDownLatch entered = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    private HeldLoop() {}

    /** Holds {@code loop} up until released, and then runs an action in the same task. */
    public static HeldLoop hold(EventLoop loop, Runnable afterwards) throws InterruptedException {
        HeldLoop held = new HeldLoop();
        loop.execute(() -> {
            held.block();
            afterwards.run();
        });
        held.entered.await();
        return held;
    }

    /** Releases an earlier hold, and holds {@code loop} up again after the tasks that were queued meanwhile. */
    public static HeldLoop hold(EventLoop loop, HeldLoop earlier) throws InterruptedException {
        HeldLoop held = new HeldLoop();
        loop.execute(held::block);
        earlier.release();
        held.entered.await();
        return held;
    }

    /**
     * Holds {@code loop} up at a point after it has polled its sockets and before the timers run that become due within
     * the next {@code millis}.
     */
    public static HeldLoop holdBeforeTimers(EventLoop loop, long millis) throws InterruptedException {
        HeldLoop untilDue = new HeldLoop();
        HeldLoop beforeTimers = new HeldLoop();
        loop.execute(() -> {
            loop.schedule(beforeTimers::block, 0, TimeUnit.MILLISECONDS);
            untilDue.block();
        });
        untilDue.entered.await();
        TimeUnit.MILLISECONDS.sleep(millis);
        untilDue.release();
        beforeTimers.entered.await();
        return beforeTimers;
    }

    private void block() {
        entered.countDown();
        try {
            released.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Lets the loop go on. */
    public void release() {
        released.countDown();
    }
}
