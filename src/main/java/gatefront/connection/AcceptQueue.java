package gatefront.connection;

import gatefront.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import java.util.function.Consumer;

/**
 * Records on each accepted connection since when it may have waited in the accept queue of the listener: the queue is
 * known to have been empty then. Several turns of the loop may pass before a long queue is empty, and accepting may be
 * paused or fail meanwhile. A handler of the listening channel, confined to the event loop.
 */
@Sharable
final class AcceptQueue extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<Long> CONNECTED_AFTER_NANOS = AttributeKey.valueOf("connectedAfterNanos");
    /** Netty accepts no more connections than this in one turn, so that the queue may not be empty after as many. */
    private static final int ACCEPTED_PER_TURN = 16;

    private final Transport transport;
    private final Consumer<Throwable> failureListener;
    /** Whether connections may be left in the queue, and since when. */
    private boolean hasBacklog;

    private long backlogSinceNanos;
    private int acceptedInTurn;

    /**
     * Creates the record of an empty queue.
     *
     * @param failureListener receives each failure to accept; it has to see to it that accepting is tried again
     */
    AcceptQueue(Transport transport, Consumer<Throwable> failureListener) {
        this.transport = transport;
        this.failureListener = failureListener;
    }

    /** Returns a time before which a connection was not made. */
    static long connectedAfterNanos(Channel accepted) {
        return accepted.attr(CONNECTED_AFTER_NANOS).get();
    }

    /** Notes that no connections are accepted for the time being. */
    void paused() {
        beginBacklog();
    }

    private void beginBacklog() {
        if (!hasBacklog) {
            hasBacklog = true;
            backlogSinceNanos = transport.arrivedAfterNanos();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object accepted) {
        beginBacklog();
        acceptedInTurn++;
        ((Channel) accepted).attr(CONNECTED_AFTER_NANOS).set(backlogSinceNanos);
        ctx.fireChannelRead(accepted);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        hasBacklog =
                acceptedInTurn >= ACCEPTED_PER_TURN || !ctx.channel().config().isAutoRead();
        acceptedInTurn = 0;
        ctx.fireChannelReadComplete();
    }

    /** Not passed on: Netty's own handler would stop accepting for a second. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        beginBacklog();
        failureListener.accept(cause);
    }
}
