package gatefront.engine;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A request or response body that is passed in chunks from the connection it arrives on to the connection it leaves by.
 * The producer pauses while the consumer cannot take more, so the bytes held are bounded by
 * {@link #HIGH_WATER_MARK_BYTES} plus one read, whatever the size of the body. Not thread-safe: all calls are made on
 * one event loop. Each chunk is released by whoever owns it when the stream ends; a closed stream owns none.
 */
public final class BodyStream {
    /** Pending bytes at which the producer has to pause. */
    static final int HIGH_WATER_MARK_BYTES = 32 << 10;

    /** The source of the chunks, as the stream calls it back. */
    public interface Producer {
        /** This many bytes are no longer held by the stream: they were passed to the consumer or discarded. */
        void onConsumed(int bytes);

        /** The stream can take chunks again after {@link #write} returned false. */
        void onResume();

        /** The consumer needs no further chunks. */
        void onCancel();
    }

    /**
     * The destination of the chunks. Its methods are called in order, and none after {@code onComplete} or {@code
     * onAbort}.
     */
    public interface Consumer {
        /** Takes ownership of a chunk; returns false if it can take no other until {@link #resume()} is called. */
        boolean onChunk(ByteBuf chunk);

        /** The body is complete. */
        void onComplete();

        /** The body has ended before it was complete. */
        void onAbort();
    }

    private enum State {
        OPEN,
        COMPLETED,
        ABORTED,
        CLOSED
    }

    private final Producer producer;
    private final Deque<ByteBuf> pending = new ArrayDeque<>();
    private int pendingBytes;
    private long transferredBytes;
    private Consumer consumer;
    private boolean consumerBlocked;
    private boolean producerPaused;
    private State state = State.OPEN;

    /** Creates an empty stream that is fed by {@code producer}. */
    public BodyStream(Producer producer) {
        this.producer = producer;
    }

    /** Takes ownership of a chunk; returns false if the producer has to pause until {@link Producer#onResume()}. */
    public boolean write(ByteBuf chunk) {
        if (state != State.OPEN) {
            chunk.release();
            return false;
        }
        pending.add(chunk);
        pendingBytes += chunk.readableBytes();
        deliver();
        producerPaused = state == State.OPEN && pendingBytes >= HIGH_WATER_MARK_BYTES;
        return !producerPaused;
    }

    /** Called by the producer when it has written all chunks. */
    public void complete() {
        finish(State.COMPLETED);
    }

    /** Ends the body before it is complete; pending chunks are discarded. */
    public void abort() {
        if (state == State.OPEN) {
            discardPending();
        }
        finish(State.ABORTED);
    }

    private void finish(State endState) {
        if (state == State.OPEN) {
            state = endState;
            deliver();
        }
    }

    /** Sets the consumer of all pending and further chunks. */
    public void attach(Consumer newConsumer) {
        consumer = newConsumer;
        deliver();
    }

    /** Called by the consumer when it can take chunks again. */
    public void resume() {
        consumerBlocked = false;
        deliver();
        if (producerPaused && pendingBytes < HIGH_WATER_MARK_BYTES && state == State.OPEN) {
            producerPaused = false;
            producer.onResume();
        }
    }

    /** Discards the rest of the body; the producer is notified unless it has already ended. */
    public void cancel() {
        boolean wasOpen = state == State.OPEN;
        state = State.CLOSED;
        discardPending();
        if (wasOpen) {
            producer.onCancel();
        }
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
        while (consumer != null && !consumerBlocked && !pending.isEmpty()) {
            ByteBuf chunk = pending.poll();
            int bytes = chunk.readableBytes();
            pendingBytes -= bytes;
            transferredBytes += bytes;
            consumerBlocked = !consumer.onChunk(chunk);
            producer.onConsumed(bytes);
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

    private void discardPending() {
        for (ByteBuf chunk = pending.poll(); chunk != null; chunk = pending.poll()) {
            int bytes = chunk.readableBytes();
            pendingBytes -= bytes;
            chunk.release();
            producer.onConsumed(bytes);
        }
    }
}
