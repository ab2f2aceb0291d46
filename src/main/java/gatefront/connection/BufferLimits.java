package gatefront.connection;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** Buffer sizes of connections to clients and servers, small enough that many large bodies fit in little memory. */
final class BufferLimits {
    /** Largest single read: a pending chunk keeps the whole buffer that it was read into. */
    private static final int MAX_READ_BYTES = 16 << 10;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 << 10;
    /** Channels are unwritable from two full reads of pending output until it has fallen to one. */
    static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(MAX_READ_BYTES, 2 * MAX_READ_BYTES);

    private BufferLimits() {}

    static RecvByteBufAllocator receiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }
}
