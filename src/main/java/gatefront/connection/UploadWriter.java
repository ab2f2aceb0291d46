package gatefront.connection;

import gatefront.engine.BodyStream;
import gatefront.silence.UploadSilence;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Writes the body of a streamed request to a server as it arrives. The last bytes are held back until more, or the end,
 * has arrived, so that the last byte is sent only if the client is still there. Confined to the event loop.
 */
final class UploadWriter implements BodyStream.Consumer {
    /** Bytes at the end of what has arrived that are held back until more arrives. */
    private static final int HELD_BACK_BYTES = 256;

    /** The attempt that the body belongs to. */
    interface Owner {
        /** Returns whether the client is still waiting; asked before the last byte is sent. */
        boolean isStillWanted();

        /** Returns the message to write for a chunk. */
        Object chunkMessage(ByteBuf chunk);

        /** Returns the message to write after the last chunk. */
        Object endMessage();

        /** The last byte has been sent, or could not be. */
        void written(boolean complete);

        /** The body will not be complete, or is no longer wanted. */
        void cancelled();

        /** The server has taken nothing for too long. */
        void serverStoppedReading(long takenBytes);
    }

    private final EventLoop loop;
    private final Channel channel;
    private final BodyStream upload;
    private final Owner owner;
    private final UploadSilence silence = new UploadSilence();
    /** The end of what has arrived, or null. */
    private ByteBuf heldChunk;

    private boolean stopped;
    private boolean isWritten;

    /** Creates a writer that writes nothing before {@link #start()}. */
    UploadWriter(EventLoop loop, Channel channel, BodyStream upload, Owner owner) {
        this.loop = loop;
        this.channel = channel;
        this.upload = upload;
        this.owner = owner;
    }

    /** Starts to write what arrives. */
    void start() {
        scheduleCheck();
        upload.attach(this);
    }

    /** Writes nothing more. */
    void stop() {
        stopped = true;
        if (heldChunk != null) {
            heldChunk.release();
            heldChunk = null;
        }
    }

    @Override
    public void onChunk(ByteBuf chunk) {
        if (stopped) {
            chunk.release();
            return;
        }
        ByteBuf previous = heldChunk;
        int writable = chunk.readableBytes() - HELD_BACK_BYTES;
        ByteBuf beginning = writable > 0 ? chunk.readRetainedSlice(writable) : null;
        heldChunk = chunk; // before writing, which may deliver the next chunk
        writeChunk(previous);
        writeChunk(beginning);
    }

    private void writeChunk(ByteBuf chunk) {
        if (chunk != null) {
            int bytes = chunk.readableBytes();
            channel.writeAndFlush(owner.chunkMessage(chunk)).addListener(done -> {
                silence.taken(bytes);
                upload.chunkWritten(bytes);
            });
        }
    }

    @Override
    public void onComplete() {
        if (!owner.isStillWanted()) {
            owner.cancelled();
            return;
        }
        ByteBuf last = heldChunk;
        heldChunk = null;
        writeChunk(last);
        channel.writeAndFlush(owner.endMessage()).addListener(done -> {
            isWritten = true;
            owner.written(done.isSuccess());
        });
    }

    @Override
    public void onAbort() {
        owner.cancelled();
    }

    /**
     * Guards against holding connections for ever for a server that has stopped reading a request. Its client may have
     * left unnoticed, as it is not read meanwhile.
     */
    private void scheduleCheck() {
        loop.schedule(this::check, UploadSilence.CHECK_NANOS, TimeUnit.NANOSECONDS);
    }

    private void check() {
        if (stopped || isWritten) {
            return;
        }
        if (silence.check(upload.isPaused())) {
            owner.serverStoppedReading(silence.takenBytes());
        } else {
            scheduleCheck();
        }
    }
}
