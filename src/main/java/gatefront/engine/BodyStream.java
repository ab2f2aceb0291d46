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
    /** Bytes that wait at the most before the giver is to stop. */
    static final int HIGH_WATER_MARK_BYTES = 32 << 10;

    /** Where the pieces come from. */
    public interface Producer {
        /** So many bytes have left for the taker. */
        void onConsumed(int bytes);

        /** There is room again. */
        void onResume();

        /** Nothing more is wanted. */
        void onCancel();
    }

    /** Where the pieces go; told in order, and nothing after an end. */
    public interface Consumer {
        /** A piece, now the taker's; false if there is no room for another until {@link #resume()}. */
        boolean onChunk(ByteBuf chunk);

        /** It is whole. */
        void onComplete();

        /** It never will be. */
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

    /** Empty, from this giver. */
    public BodyStream(Producer producer) {
        this.producer = producer;
    }

    /** A piece, now the flow's; false if the giver is to stop until {@link Producer#onResume()}. */
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

    /** All pieces have been given. */
    public void complete() {
        finish(State.COMPLETED);
    }

    /** It breaks off: what waits is dropped. */
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

    /** From now on the pieces go there. */
    public void attach(Consumer newConsumer) {
        consumer = newConsumer;
        deliver();
    }

    /** The taker has room again. */
    public void resume() {
        consumerBlocked = false;
        deliver();
        if (producerPaused && pendingBytes < HIGH_WATER_MARK_BYTES && state == State.OPEN) {
            producerPaused = false;
            producer.onResume();
        }
    }

    /** Nothing more is wanted; the giver is told unless it had ended. */
    public void cancel() {
        boolean wasOpen = state == State.OPEN;
        state = State.CLOSED;
        discardPending();
        if (wasOpen) {
            producer.onCancel();
        }
    }

    /** How many bytes have passed. */
    public long transferredBytes() {
        return transferredBytes;
    }

    /** Whether its giver may still give. */
    public boolean isOpen() {
        return state == State.OPEN;
    }

    /** Whether the giver has stopped for want of room. */
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
            boolean whole = state == State.COMPLETED;
            state = State.CLOSED;
            if (whole) {
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
