package gatefront.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;

/**
 * Allocates the buffers of all connections on the heap. The memory outside the heap is limited, and the JDK lets the
 * thread that finds it exhausted sleep, which would be the event loop. On the heap, what waits for a slow peer is
 * bounded by the accounts of {@link gatefront.budget.ResourceBudget}. Outside it the JDK keeps only a temporary copy of
 * what is read or written by one system call.
 */
public final class HeapBufferAllocator extends PooledByteBufAllocator {
    /** Shared by all connections. */
    public static final HeapBufferAllocator INSTANCE = new HeapBufferAllocator();

    /** Released buffers of each size up to 28 KiB that a thread keeps for its next allocations. */
    private static final int SMALL_CACHE_SIZE = 32;
    /** The same for larger buffers. */
    private static final int NORMAL_CACHE_SIZE = 0;

    private HeapBufferAllocator() {
        super(
                false,
                defaultNumHeapArena(),
                0,
                defaultPageSize(),
                defaultMaxOrder(),
                SMALL_CACHE_SIZE,
                NORMAL_CACHE_SIZE,
                defaultUseCacheForAllThreads());
    }

    @Override
    public ByteBuf ioBuffer() {
        return heapBuffer();
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity) {
        return heapBuffer(initialCapacity);
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity, int maxCapacity) {
        return heapBuffer(initialCapacity, maxCapacity);
    }
}
