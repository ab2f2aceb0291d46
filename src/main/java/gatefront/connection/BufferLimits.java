package gatefront.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import java.util.function.IntSupplier;

/** Buffer sizes of connections to clients and servers, small enough that many large bodies fit in little memory. */
public final class BufferLimits {
    /** Largest single read. */
    private static final int MAX_READ_BYTES = 16 << 10;

    /** Reads of one channel in a turn of the loop, so that a peer that sends at full speed does not hold up others. */
    private static final int MAX_READS_PER_POLL = 4;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 << 10;
    /** From this size on, a chunk may keep the buffer that it was read into; smaller ones are copied out of it. */
    static final int MIN_RETAINED_BYTES = MAX_READ_BYTES / 2;
    /** Channels are unwritable from two full reads of pending output until it has fallen to one. */
    static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(MAX_READ_BYTES, 2 * MAX_READ_BYTES);

    private BufferLimits() {}

    /**
     * Returns an allocator of receive buffers.
     *
     * @param maxReadBytes supplies the size that a read may have at present
     */
    static RecvByteBufAllocator receiveBufferAllocator(IntSupplier maxReadBytes) {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES) {
            @Override
            @SuppressWarnings("deprecation") // Netty's own allocators still use the type
            public Handle newHandle() {
                return new LimitedHandle(super.newHandle(), maxReadBytes);
            }
        }.maxMessagesPerRead(MAX_READS_PER_POLL);
    }

    /** Limits the size of the reads that another handle predicts. */
    @SuppressWarnings("deprecation") // Netty's own allocators still use the type
    private static final class LimitedHandle extends RecvByteBufAllocator.DelegatingHandle {
        private final IntSupplier maxReadBytes;

        LimitedHandle(RecvByteBufAllocator.Handle adaptive, IntSupplier maxReadBytes) {
            super(adaptive);
            this.maxReadBytes = maxReadBytes;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public int guess() {
            return Math.min(super.guess(), maxReadBytes.getAsInt());
        }
    }
}
