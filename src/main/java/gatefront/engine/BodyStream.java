package gatefront.engine;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A body that passes in pieces from the connection it comes on to the one it leaves by. Its giver stops reading while
 * the taker has no room, so what it holds is bounded by {@link #MOST} and one read more, whatever the body's size. One
 * thread. Pieces are released by whoever has them when it ends; a flow that is over holds none.
 */
public final class BodyStream {
    /** Bytes that wait at the most before the giver is to stop. */
    static final int MOST = 32 << 10;

    /** Where the pieces come from. */
    public interface Giver {
        /** So many bytes have left for the taker. */
        void passed(int bytes);

        /** There is room again. */
        void more();

        /** Nothing more is wanted. */
        void unwanted();
    }

    /** Where the pieces go; told in order, and nothing after an end. */
    public interface Taker {
        /** A piece, now the taker's; false if there is no room for another until {@link #resume()}. */
        boolean piece(ByteBuf piece);

        /** It is whole. */
        void ended();

        /** It never will be. */
        void broken();
    }

    private enum State {
        OPEN,
        ENDED,
        BROKEN,
        OVER
    }

    private final Giver giver;
    private final Deque<ByteBuf> waiting = new ArrayDeque<>();
    private int held;
    private long passed;
    private Taker taker;
    private boolean full;
    private boolean stopped;
    private State state = State.OPEN;

    /** Empty, from this giver. */
    public BodyStream(Giver giver) {
        this.giver = giver;
    }

    /** A piece, now the flow's; false if the giver is to stop until {@link Giver#more()}. */
    public boolean give(ByteBuf piece) {
        if (state != State.OPEN) {
            piece.release();
            return false;
        }
        waiting.add(piece);
        held += piece.readableBytes();
        pass();
        stopped = state == State.OPEN && held >= MOST;
        return !stopped;
    }

    /** All pieces have been given. */
    public void end() {
        finish(State.ENDED);
    }

    /** It breaks off: what waits is dropped. */
    public void breakOff() {
        if (state == State.OPEN) {
            drop();
        }
        finish(State.BROKEN);
    }

    private void finish(State to) {
        if (state == State.OPEN) {
            state = to;
            pass();
        }
    }

    /** From now on the pieces go there. */
    public void to(Taker next) {
        taker = next;
        pass();
    }

    /** The taker has room again. */
    public void resume() {
        full = false;
        pass();
        if (stopped && held < MOST && state == State.OPEN) {
            stopped = false;
            giver.more();
        }
    }

    /** Nothing more is wanted; the giver is told unless it had ended. */
    public void cancel() {
        boolean open = state == State.OPEN;
        state = State.OVER;
        drop();
        if (open) {
            giver.unwanted();
        }
    }

    /** How many bytes have passed. */
    public long passed() {
        return passed;
    }

    /** Whether its giver may still give. */
    public boolean isOpen() {
        return state == State.OPEN;
    }

    /** Whether the giver has stopped for want of room. */
    public boolean isStopped() {
        return stopped;
    }

    private void pass() {
        while (taker != null && !full && !waiting.isEmpty()) {
            ByteBuf piece = waiting.poll();
            int bytes = piece.readableBytes();
            held -= bytes;
            passed += bytes;
            full = !taker.piece(piece);
            giver.passed(bytes);
        }
        if (taker != null && waiting.isEmpty() && (state == State.ENDED || state == State.BROKEN)) {
            boolean whole = state == State.ENDED;
            state = State.OVER;
            if (whole) {
                taker.ended();
            } else {
                taker.broken();
            }
        }
    }

    private void drop() {
        for (ByteBuf each = waiting.poll(); each != null; each = waiting.poll()) {
            int bytes = each.readableBytes();
            held -= bytes;
            each.release();
            giver.passed(bytes);
        }
    }
}
