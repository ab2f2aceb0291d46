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
 * A writer thread that owns a store, for threads that must not block on the disk. They submit records through a bounded
 * queue; the writer collects the waiting records, up to a number of records and bytes, appends them as one frame,
 * forces it as the policy says, and reports the result to each record's listener on the writer thread.
 *
 * <p>State: the queue, bounded by {@link Settings#queueCapacity()}; the submitter counts the records that a full queue
 * refuses. A record is queued for at most the time to write and force two groups plus the time that a group waits for
 * more records.
 */
public final class GroupCommit implements Closeable {
    /** When appended records are forced to the disk. */
    public enum Policy {
        /** Each record is forced by itself before its listener is called. */
        EACH,
        /** All records of a group are forced together before their listeners are called. */
        GROUP,
        /** The operating system decides; records reported as stored may be lost on a power failure. */
        NONE
    }

    /**
     * How groups are formed.
     *
     * @param policy when they are forced to the disk
     * @param waitMicros how long the first record of a group waits for more, in microseconds
     * @param maxGroupRecords the largest number of records in a group
     * @param queueCapacity the largest number of queued records, a power of two
     */
    public record Settings(Policy policy, long waitMicros, int maxGroupRecords, int queueCapacity) {}

    /** Receives the result for one record, on the writer thread. */
    public interface Listener {
        /** The record was stored under this number, with the durability of the policy. */
        void stored(long number);

        /** The record was not stored. */
        void failed(IOException cause);
    }

    /** A queued record with its listener, or a task to run on the store. */
    private record Item(byte[] record, Listener listener, Consumer<Store> task) {}

    private static final int MAX_GROUP_BYTES = 1 << 20;
    private static final long IDLE_WAIT_NANOS = 1_000_000_000L;

    private final Store store;
    private final Settings settings;
    private final LongSupplier nanoClock;
    private final MpscArrayQueue<Item> queue;
    private final AtomicInteger activeOffers = new AtomicInteger();
    private final Thread thread;
    private volatile boolean writerParked;
    private volatile boolean closed;
    /** An item that was taken from the queue but did not fit into the current group. */
    private Item deferred;

    /** Starts a writer thread, which owns the store from now on. */
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
     * Submits a record, from any thread. Returns false if the queue is full or this writer is closed; the listener is
     * not called then.
     *
     * @throws IllegalArgumentException if the record is too large for a frame
     */
    public boolean offer(byte[] record, Listener listener) {
        if (Frame.encodedSize(record) > Frame.MAX_BODY_BYTES) {
            throw new IllegalArgumentException(
                    "record of " + record.length + " bytes exceeds the frame limit of " + Frame.MAX_BODY_BYTES);
        }
        return offer(new Item(record, listener, null));
    }

    /** Queues a task that runs on the store, on the writer thread; returns false like {@link #offer}. */
    public boolean run(Consumer<Store> task) {
        return offer(new Item(null, null, task));
    }

    private boolean offer(Item item) {
        // The writer ends only while no thread is between the check of closed and the insertion into the queue.
        activeOffers.incrementAndGet();
        try {
            if (closed || !queue.offer(item)) {
                return false;
            }
        } finally {
            activeOffers.decrementAndGet();
        }
        if (writerParked) {
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

    /** Takes the next item, waiting up to this time; with a negative time, until woken or idle for a second. */
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
        // A thread that offers an item after the second poll sees the flag and unparks the writer.
        writerParked = true;
        next = queue.poll();
        if (next == null) {
            LockSupport.parkNanos(this, waitNanos < 0 ? IDLE_WAIT_NANOS : Math.min(waitNanos, IDLE_WAIT_NANOS));
            next = queue.poll();
        }
        writerParked = false;
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

    /** Guards against an exception of one listener or task that would leave all others without a result. */
    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
        }
    }

    /** Refuses further items, writes the queued ones and closes the store. */
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
