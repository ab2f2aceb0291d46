package gatefront.engine;

import gatefront.budget.StreamWindow;
import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A request or response body that is passed in chunks from the connection it arrives on to the connection it leaves by.
 * The producer pauses while as many bytes as the {@link StreamWindow} allows wait to be written, so the bytes held are
 * bounded by the window plus one read, whatever the size of the body. Not thread-safe: all calls are made on one event
 * loop. Each chunk is released by whoever owns it when the stream ends; a closed stream owns none.
 */
public final class BodyStream {
    /** The source of the chunks, as the stream calls it back. */
    public interface Producer {
        /** This many bytes are no longer held: they were written or discarded. */
        void onConsumed(int bytes);

        /** The stream can take chunks again after {@link #write} returned false. */
        void onResume();

        /** The consumer needs no further chunks. */
        void onCancel();

        /**
         * Returns since when the sender may have sent the whole body, on the clock of the transport: now if it is known
         * to be still sending.
         */
        long mayBeSentSinceNanos();
    }

    /**
     * The destination of the chunks. Its methods are called in order, and none after {@code onComplete} or {@code
     * onAbort}.
     */
    public interface Consumer {
        /** Takes ownership of a chunk; {@link #chunkWritten} has to be called once it is written. */
        void onChunk(ByteBuf chunk);

        /** The body is complete. */
        void onComplete();

        /** The body has ended before it was complete. */
        void onAbort();
    }

    /** Keeps chunks back until a consumer is attached; bounds what is held. */
    public interface Holder {
        /** This many more bytes are held. */
        void onHeld(int bytes);

        /** The body has ended, complete or not, before a consumer was attached. */
        void onEnd(boolean complete);
    }

    private enum State {
        OPEN,
        COMPLETED,
        ABORTED,
        CLOSED
    }

    private final Producer producer;
    private final StreamWindow window;
    /** Chunks that wait for a consumer to be attached. */
    private final Deque<ByteBuf> pending = new ArrayDeque<>();
    /** Bytes that were received and have not been written, pending or with the consumer. */
    private int unwrittenBytes;

    private long transferredBytes;
    private Consumer consumer;
    /** Bounds what is held in place of the window; null unless the body is held back. */
    private Holder holder;

    private boolean producerPaused;
    private State state = State.OPEN;

    /** Creates an empty stream that is fed by {@code producer}. */
    public BodyStream(Producer producer, StreamWindow window) {
        this.producer = producer;
        this.window = window;
    }

    /** Takes ownership of a chunk; returns false if the producer has to pause until {@link Producer#onResume()}. */
    public boolean write(ByteBuf chunk) {
        if (state != State.OPEN) {
            chunk.release();
            return false;
        }
        pending.add(chunk);
        unwrittenBytes += chunk.readableBytes();
        if (holder != null) {
            holder.onHeld(chunk.readableBytes());
        } else {
            deliver();
        }
        producerPaused = state == State.OPEN && holder == null && unwrittenBytes >= window.bytes();
        return !producerPaused;
    }

    /** Holds the body back until a consumer is attached; the window does not count before. */
    public void hold(Holder newHolder) {
        holder = newHolder;
    }

    /** Called by the producer when it has written all chunks. */
    public void complete() {
        finish(State.COMPLETED);
    }

    /** Ends the body before it is complete; pending chunks are discarded. */
    public void abort() {
        if (state == State.OPEN) {
            discardUnwritten();
        }
        finish(State.ABORTED);
    }

    private void finish(State endState) {
        if (state == State.OPEN) {
            state = endState;
            if (holder != null) {
                holder.onEnd(endState == State.COMPLETED);
            } else {
                deliver();
            }
        }
    }

    /** Sets the consumer of all pending and further chunks. */
    public void attach(Consumer newConsumer) {
        holder = null;
        consumer = newConsumer;
        deliver();
    }

    /** Called by the consumer when bytes of chunks were written, or will never be. */
    public void chunkWritten(int bytes) {
        int released = Math.min(bytes, unwrittenBytes); // after a cancellation all have been released
        unwrittenBytes -= released;
        producer.onConsumed(released);
        if (producerPaused && unwrittenBytes < window.bytes() && state == State.OPEN) {
            producerPaused = false;
            producer.onResume();
        }
    }

    /** Discards the rest of the body; the producer is notified unless it has already ended. */
    public void cancel() {
        boolean wasOpen = state == State.OPEN;
        state = State.CLOSED;
        discardUnwritten();
        if (wasOpen) {
            producer.onCancel();
        }
    }

    /**
     * Returns since when the sender may have sent the whole body, on the clock of the transport. Bytes that it has sent
     * may not have been read, as the producer pauses while the consumer is slow.
     */
    public long mayBeSentSinceNanos() {
        return producer.mayBeSentSinceNanos();
    }

    /** Returns the number of bytes passed to the consumer so far. */
    public long transferredBytes() {
        return transferredBytes;
    }

    /** Returns whether the producer may still write. */
    public boolean isOpen() {
        return state == State.OPEN;
    }

    /** Returns whether the producer has been told to pause. */
    public boolean isPaused() {
        return producerPaused;
    }

    private void deliver() {
        while (consumer != null && !pending.isEmpty()) {
            ByteBuf chunk = pending.poll();
            transferredBytes += chunk.readableBytes();
            consumer.onChunk(chunk);
        }
        if (consumer != null && pending.isEmpty() && (state == State.COMPLETED || state == State.ABORTED)) {
            boolean complete = state == State.COMPLETED;
            state = State.CLOSED;
            if (complete) {
                consumer.onComplete();
            } else {
                consumer.onAbort();
            }
        }
    }

    /** Releases the pending chunks, and counts those that the consumer has not written as released. */
    private void discardUnwritten() {
        for (ByteBuf chunk = pending.poll(); chunk != null; chunk = pending.poll()) {
            chunk.release();
        }
        int discarded = unwrittenBytes;
        unwrittenBytes = 0;
        producer.onConsumed(discarded);
    }
}
