package gatefront.connection;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** What a connection of either side may have on its way, so that many with large bodies fit in little memory. */
final class BufferLimits {
    /** Read at once at the most: a piece that waits keeps the whole of what it was read with. */
    private static final int READ_MOST = 16 << 10;

    private static final int READ_LEAST = 64;
    private static final int READ_FIRST = 2 << 10;
    /** Written and not yet taken by the system: from twice a read on nothing more is, until it is one again. */
    static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(READ_MOST, 2 * READ_MOST);

    private BufferLimits() {}

    static RecvByteBufAllocator reads() {
        return new AdaptiveRecvByteBufAllocator(READ_LEAST, READ_FIRST, READ_MOST);
    }
}
