package gatefront.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.Consumer;

/**
 * Joins the small chunks of a streamed body that one read has brought; those that it passes on keep little more memory
 * than they have bytes. Guards against a peer that sends chunks of a few
 * bytes at full speed: each would be written by itself, which costs far more than reading it.
 */
public final class ChunkCollector {
    private final Consumer<ByteBuf> receiver;
    private ByteBuf collected = Unpooled.EMPTY_BUFFER;

    /** Creates a collector; {@code receiver} takes ownership of the chunks that it gets. */
    public ChunkCollector(Consumer<ByteBuf> receiver) {
        this.receiver = receiver;
    }

    /** Adds a chunk that remains the caller's; it is passed on at the latest by the next {@link #flush()}. */
    public void add(ByteBuf chunk) {
        if (chunk.readableBytes() >= BufferLimits.MIN_RETAINED_BYTES) {
            flush();
            receiver.accept(chunk.retain());
            return;
        }
        if (!collected.isReadable()) {
            collected = Unpooled.buffer(chunk.readableBytes());
        }
        collected.writeBytes(chunk);
        if (collected.readableBytes() >= BufferLimits.MIN_RETAINED_BYTES) {
            flush();
        }
    }

    /** Passes on what has been collected. To be called at the end of each read, and of the body. */
    public void flush() {
        if (collected.isReadable()) {
            ByteBuf chunk = collected;
            collected = Unpooled.EMPTY_BUFFER;
            receiver.accept(chunk);
        }
    }
}
