package gatefront.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** What connections read into. */
class BufferLimitsTest {
    private static final int READ_BYTES = 16 << 10;

    /** Guards against reads beyond what a stream may still hold. */
    @Test
    @SuppressWarnings("deprecation") // Netty's own allocators still use the type
    void readsAreNoLargerThanTheLimitAtPresent() {
        AtomicInteger limit = new AtomicInteger(READ_BYTES);
        RecvByteBufAllocator.Handle handle =
                BufferLimits.receiveBufferAllocator(limit::get).newHandle();
        for (int i = 0; i < 20; i++) { // all reads are full, so that their predicted size grows
            handle.attemptedBytesRead(handle.guess());
            handle.lastBytesRead(handle.guess());
        }
        assertEquals(READ_BYTES, handle.guess());
        limit.set(4 << 10);
        ByteBuf buffer = handle.allocate(ByteBufAllocator.DEFAULT);
        int capacity = buffer.capacity();
        buffer.release();
        assertTrue(capacity <= 4 << 10, capacity + " bytes, expected at most 4096");
    }
}
