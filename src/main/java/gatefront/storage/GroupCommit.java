package gatefront.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jctools.queues.MpscArrayQueue;

/**
 * The thread that a store belongs to, for those who may not wait for a disk. They hand records over by a bounded queue;
 * the thread takes all that is there, up to a number of records and bytes, adds them as one frame, forces it as the
 * policy says, and tells each what came of it, on its own thread.
 *
 * <p>State: the queue, bounded by {@link Settings#queueCapacity()}; what a full one turns away, the caller counts. No
 * record is in it longer than it takes to write and force two groups, and the time that a group waits for more.
 */
public final class GroupCommit implements Closeable {
    /** When what was added is forced to the disk. */
    public enum Policy {
        /** Before anybody is told, each record by itself. */
        EACH,
        /** Before anybody is told, all of a group at once. */
        GROUP,
        /** When the system likes; who is told that a record is kept may lose it with the power. */
        NONE
    }

    /**
     * How groups are made.
     *
     * @param policy when they are forced
     * @param waitMicros how long the first record of a group waits for more
     * @param maxGroupRecords records of a group
     * @param queueCapacity records that wait, a power of two
     */
    public record Settings(Policy policy, long waitMicros, int maxGroupRecords, int queueCapacity) {}

    /** Who is told. */
    public interface Listener {
        /** The record has this number, and is kept as the policy says. */
        void stored(long number);

        /** It is not kept. */
        void failed(IOException cause);
    }

    /** A record, or something to be done with the store. */
    private record Item(byte[] record, Listener listener, Consumer<Store> task) {}

    private static final int MAX_GROUP_BYTES = 1 << 20;
    private static final long IDLE_WAIT_NANOS = 1_000_000_000L;

    private final Store store;
    private final Settings settings;
    private final LongSupplier nanoClock;
    private final MpscArrayQueue<Item> queue;
    private final AtomicInteger activeOffers = new AtomicInteger();
    private final Thread thread;
    private volatile boolean sleeping;
    private volatile boolean closed;
    private Item deferred; // taken from the queue, for the next group

    /** A thread for a store, which is its own from now on. */
    public GroupCommit(Store store, Settings settings, LongSupplier nanoClock, String threadName) {
        this.store = store;
        this.settings = settings;
        this.nanoClock = nanoClock;
        this.queue = new MpscArrayQueue<>(settings.queueCapacity);
        this.thread = new Thread(this::run, threadName);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Hands a record over, from any thread; false if too many wait, or it has ended, and nobody is told then.
     *
     * @throws IllegalArgumentException if no frame could hold it
     */
    public boolean offer(byte[] record, Listener listener) {
        if (Frame.encodedSize(record) > Frame.MAX_BODY_BYTES) {
            throw new IllegalArgumentException("a record of " + record.length + " bytes is too large");
        }
        return offer(new Item(record, listener, null));
    }

    /** Has something done with the store, in its turn. */
    public boolean run(Consumer<Store> task) {
        return offer(new Item(null, null, task));
    }

    private boolean offer(Item item) {
        activeOffers.incrementAndGet(); // the thread ends only when nobody is between the look and the queue
        try {
            if (closed || !queue.offer(item)) {
                return false;
            }
        } finally {
            activeOffers.decrementAndGet();
        }
        if (sleeping) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    private void run() {
        List<Item> group = new ArrayList<>();
        while (true) {
            Item first = take(-1);
            if (first == null) {
                if (closed && activeOffers.get() == 0 && queue.isEmpty()) {
                    return;
                }
                continue;
            }
            if (first.task != null) {
                runGuarded(() -> first.task.accept(store));
                continue;
            }
            collectGroup(group, first);
            write(group);
            group.clear();
        }
    }

    private void collectGroup(List<Item> group, Item first) {
        group.add(first);
        long deadlineNanos = nanoClock.getAsLong() + 1000 * settings.waitMicros;
        int bytes = first.record.length;
        int maxRecords = settings.policy == Policy.EACH ? 1 : settings.maxGroupRecords;
        while (group.size() < maxRecords && bytes < MAX_GROUP_BYTES) {
            Item next = take(closed ? 0 : Math.max(0, deadlineNanos - nanoClock.getAsLong()));
            if (next == null) {
                return;
            }
            if (next.task != null || bytes + next.record.length > MAX_GROUP_BYTES) {
                deferred = next;
                return;
            }
            group.add(next);
            bytes += next.record.length;
        }
    }

    /** The next in the queue; waits so long for it, or until there is something to look at if negative. */
    private Item take(long waitNanos) {
        if (deferred != null) {
            Item next = deferred;
            deferred = null;
            return next;
        }
        Item next = queue.poll();
        if (next != null || waitNanos == 0 || closed) {
            return next;
        }
        sleeping = true; // who offers after this look sees it, and wakes the thread
        next = queue.poll();
        if (next == null) {
            LockSupport.parkNanos(this, waitNanos < 0 ? IDLE_WAIT_NANOS : Math.min(waitNanos, IDLE_WAIT_NANOS));
            next = queue.poll();
        }
        sleeping = false;
        return next;
    }

    private void write(List<Item> group) {
        long recordNumber = -1;
        IOException failure = null;
        try {
            store.append(group.stream().map(Item::record).toList(), settings.policy != Policy.NONE);
            recordNumber = store.nextRecord() - group.size();
        } catch (IOException e) {
            failure = e;
        }
        for (Item item : group) {
            long itemNumber = recordNumber++;
            IOException cause = failure;
            runGuarded(() -> {
                if (cause == null) {
                    item.listener.stored(itemNumber);
                } else {
                    item.listener.failed(cause);
                }
            });
        }
    }

    /** Guards against a fault of one who is told, or asks, that would leave all others without an answer. */
    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
        }
    }

    /** Takes no more, writes what waits and closes the store. */
    @Override
    public void close() throws IOException {
        closed = true;
        LockSupport.unpark(thread);
        boolean interrupted = false;
        while (thread.isAlive()) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
