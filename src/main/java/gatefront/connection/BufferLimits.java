package gatefront.connection;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** What a connection of either side may have on its way, so that many with large bodies fit in little memory. */
final class BufferLimits {
    /** Read at once at the most: a piece that waits keeps the whole of what it was read with. */
    private static final int MAX_READ_BYTES = 16 << 10;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 << 10;
    /** Written and not yet taken by the system: from twice a read on nothing more is, until it is one again. */
    static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(MAX_READ_BYTES, 2 * MAX_READ_BYTES);

    private BufferLimits() {}

    static RecvByteBufAllocator receiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }
}
