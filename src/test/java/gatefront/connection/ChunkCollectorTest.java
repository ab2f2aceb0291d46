package gatefront.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is kept and passed on of the chunks that a read has brought. */
class ChunkCollectorTest {
    private static final int READ_BYTES = 16 << 10;

    private final List<ByteBuf> passedOn = new ArrayList<>();
    private final ChunkCollector collector = new ChunkCollector(passedOn::add);
    private final ByteBuf read = Unpooled.buffer(READ_BYTES).writeZero(READ_BYTES);

    /** Guards against few bytes that keep the whole buffer that they were read into. */
    @Test
    void smallChunkDoesNotKeepTheBufferThatItWasReadInto() {
        collector.add(read.slice(0, 100));
        collector.flush();
        assertEquals(1, read.refCnt());
        assertEquals(100, passedOn.get(0).capacity());
        collector.add(read.slice(0, READ_BYTES - 100));
        assertEquals(2, read.refCnt());
        passedOn.get(1).release();
    }

    @Test
    void chunksOfOneByteArePassedOnTogetherInTheirOrder() {
        for (int i = 0; i < READ_BYTES; i++) {
            read.setByte(i, i);
            collector.add(read.slice(i, 1));
        }
        collector.flush();
        assertTrue(passedOn.size() <= 2, passedOn.size() + " chunks of " + READ_BYTES + " bytes");
        ByteBuf all = Unpooled.wrappedBuffer(passedOn.toArray(new ByteBuf[0]));
        assertEquals(read, all);
    }

    @Test
    void largeChunkDoesNotOvertakeASmallOne() {
        collector.add(read.setByte(0, 1).slice(0, 1));
        collector.add(read.slice(1, READ_BYTES - 1));
        collector.flush();
        assertEquals(1, passedOn.get(0).readableBytes());
        assertEquals(READ_BYTES - 1, passedOn.get(1).readableBytes());
        collector.flush();
        assertEquals(2, passedOn.size());
    }
}
