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
 * <p>State: the queue, bounded by {@link Settings#queueMost()}; what a full one turns away, the caller counts. No
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
     * @param recordsMost records of a group
     * @param queueMost records that wait, a power of two
     */
    public record Settings(Policy policy, long waitMicros, int recordsMost, int queueMost) {}

    /** Who is told. */
    public interface Told {
        /** The record has this number, and is kept as the policy says. */
        void kept(long number);

        /** It is not kept. */
        void lost(IOException why);
    }

    /** A record, or something to be done with the store. */
    private record Item(byte[] record, Told told, Consumer<Store> task) {}

    private static final int BYTES_MOST = 1 << 20;
    private static final long IDLE_NANOS = 1_000_000_000L;

    private final Store store;
    private final Settings settings;
    private final LongSupplier nanos;
    private final MpscArrayQueue<Item> queue;
    private final AtomicInteger offering = new AtomicInteger();
    private final Thread thread;
    private volatile boolean sleeping;
    private volatile boolean ended;
    private Item kept; // taken from the queue, for the next group

    /** A thread for a store, which is its own from now on. */
    public GroupCommit(Store store, Settings settings, LongSupplier nanos, String name) {
        this.store = store;
        this.settings = settings;
        this.nanos = nanos;
        this.queue = new MpscArrayQueue<>(settings.queueMost);
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Hands a record over, from any thread; false if too many wait, or it has ended, and nobody is told then.
     *
     * @throws IllegalArgumentException if no frame could hold it
     */
    public boolean offer(byte[] record, Told told) {
        if (Frame.room(record) > Frame.BODY_MOST) {
            throw new IllegalArgumentException("a record of " + record.length + " bytes is too large");
        }
        return offer(new Item(record, told, null));
    }

    /** Has something done with the store, in its turn. */
    public boolean run(Consumer<Store> task) {
        return offer(new Item(null, null, task));
    }

    private boolean offer(Item item) {
        offering.incrementAndGet(); // the thread ends only when nobody is between the look and the queue
        try {
            if (ended || !queue.offer(item)) {
                return false;
            }
        } finally {
            offering.decrementAndGet();
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
                if (ended && offering.get() == 0 && queue.isEmpty()) {
                    return;
                }
                continue;
            }
            if (first.task != null) {
                guarded(() -> first.task.accept(store));
                continue;
            }
            gather(group, first);
            write(group);
            group.clear();
        }
    }

    private void gather(List<Item> group, Item first) {
        group.add(first);
        long until = nanos.getAsLong() + 1000 * settings.waitMicros;
        int bytes = first.record.length;
        int most = settings.policy == Policy.EACH ? 1 : settings.recordsMost;
        while (group.size() < most && bytes < BYTES_MOST) {
            Item next = take(ended ? 0 : Math.max(0, until - nanos.getAsLong()));
            if (next == null) {
                return;
            }
            if (next.task != null || bytes + next.record.length > BYTES_MOST) {
                kept = next;
                return;
            }
            group.add(next);
            bytes += next.record.length;
        }
    }

    /** The next in the queue; waits so long for it, or until there is something to look at if negative. */
    private Item take(long waitNanos) {
        if (kept != null) {
            Item next = kept;
            kept = null;
            return next;
        }
        Item next = queue.poll();
        if (next != null || waitNanos == 0 || ended) {
            return next;
        }
        sleeping = true; // who offers after this look sees it, and wakes the thread
        next = queue.poll();
        if (next == null) {
            LockSupport.parkNanos(this, waitNanos < 0 ? IDLE_NANOS : Math.min(waitNanos, IDLE_NANOS));
            next = queue.poll();
        }
        sleeping = false;
        return next;
    }

    private void write(List<Item> group) {
        long number = -1;
        IOException why = null;
        try {
            store.append(group.stream().map(Item::record).toList(), settings.policy != Policy.NONE);
            number = store.next() - group.size();
        } catch (IOException e) {
            why = e;
        }
        for (Item each : group) {
            long its = number++;
            IOException lost = why;
            guarded(() -> {
                if (lost == null) {
                    each.told.kept(its);
                } else {
                    each.told.lost(lost);
                }
            });
        }
    }

    /** Guards against a fault of one who is told, or asks, that would leave all others without an answer. */
    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
        }
    }

    /** Takes no more, writes what waits and closes the store. */
    @Override
    public void close() throws IOException {
        ended = true;
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
