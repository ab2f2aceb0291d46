package gatefront.engine;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.concurrent.TimeUnit;

/**
 * The ids of requests that are in progress or may have run at a server, kept for a while so that none is sent again
 * when its id comes again. A set-associative hash table in a buffer, which two processes of one agent may share while
 * one takes over from the other; times are of the machine's monotonic clock, which they have in common.
 *
 * <p>A slot holds a hash of the id and the second in which it was claimed, or 0. A claim ends by {@link #release},
 * after {@link #RETENTION_SECONDS}, or when it is the oldest of a full bucket.
 */
public final class SentRequestIds {
    /** Size of the buffer. */
    public static final int BYTES = 64 << 10;
    /** How long a claim is kept, in seconds. */
    static final int RETENTION_SECONDS = 20;

    private static final int SLOTS_PER_BUCKET = 16;
    private static final int BUCKETS = BYTES / Long.BYTES / SLOTS_PER_BUCKET;
    private static final long EMPTY = 0;
    private static final int SECONDS_BITS = 16;
    private static final int SECONDS_MASK = (1 << SECONDS_BITS) - 1;
    private static final VarHandle SLOTS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer table;

    /** Creates a view of a direct buffer of {@link #BYTES} bytes that holds such a table, or zeros. */
    public SentRequestIds(ByteBuffer table) {
        if (!table.isDirect() || table.capacity() != BYTES) {
            throw new IllegalArgumentException(
                    "a direct buffer of " + BYTES + " bytes is expected, not of " + table.capacity());
        }
        this.table = table;
    }

    /** Creates an empty table of this process alone. */
    public static SentRequestIds empty() {
        return new SentRequestIds(ByteBuffer.allocateDirect(BYTES));
    }

    /**
     * Claims an id.
     *
     * @param id the id of a request that is about to be processed
     * @param nowNanos the present time of the machine's monotonic clock
     * @return false if the id is claimed already
     */
    public boolean claim(String id, long nowNanos) {
        long hash = hash(id);
        int bucket = bucket(hash);
        long second = TimeUnit.NANOSECONDS.toSeconds(nowNanos) & SECONDS_MASK;
        long claim = hash & ~SECONDS_MASK | second;
        while (true) {
            int chosen = -1;
            long replaced = EMPTY;
            for (int slot = 0; slot < SLOTS_PER_BUCKET; slot++) {
                long present = get(bucket, slot);
                if (isClaim(present, hash, second)) {
                    return false;
                }
                if (chosen < 0 || isOlder(present, replaced, second)) {
                    chosen = slot;
                    replaced = present;
                }
            }
            if (SLOTS.compareAndSet(table, offset(bucket, chosen), replaced, claim)) {
                return confirm(hash, bucket, chosen, second);
            }
        }
    }

    /** Withdraws a claim that the other process has made, too, in another slot at the same moment. */
    private boolean confirm(long hash, int bucket, int claimed, long second) {
        for (int slot = 0; slot < SLOTS_PER_BUCKET; slot++) {
            if (slot != claimed && isClaim(get(bucket, slot), hash, second)) {
                SLOTS.setVolatile(table, offset(bucket, claimed), EMPTY);
                return false;
            }
        }
        return true;
    }

    /** Releases an id whose request has not run. */
    public void release(String id, long nowNanos) {
        long hash = hash(id);
        int bucket = bucket(hash);
        long second = TimeUnit.NANOSECONDS.toSeconds(nowNanos) & SECONDS_MASK;
        for (int slot = 0; slot < SLOTS_PER_BUCKET; slot++) {
            if (isClaim(get(bucket, slot), hash, second)) {
                SLOTS.setVolatile(table, offset(bucket, slot), EMPTY);
            }
        }
    }

    private static boolean isClaim(long present, long hash, long second) {
        return (present & ~SECONDS_MASK) == (hash & ~SECONDS_MASK) && age(present, second) <= RETENTION_SECONDS;
    }

    /** Returns whether a slot is to be replaced rather than another; an empty one comes first. */
    private static boolean isOlder(long present, long other, long second) {
        return other != EMPTY && (present == EMPTY || age(present, second) > age(other, second));
    }

    private static long age(long claim, long second) {
        return second - claim & SECONDS_MASK;
    }

    private long get(int bucket, int slot) {
        return (long) SLOTS.getVolatile(table, offset(bucket, slot));
    }

    private static int offset(int bucket, int slot) {
        return (bucket * SLOTS_PER_BUCKET + slot) * Long.BYTES;
    }

    /** The bits of the time are not part of a claim's hash, so that they choose the bucket. */
    private static int bucket(long hash) {
        return (int) (hash & SECONDS_MASK) % BUCKETS;
    }

    /** Returns a hash that has a bit set outside of the time. */
    private static long hash(String id) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
        return hash ^ hash >>> 31 | 1L << SECONDS_BITS;
    }
}
