package gatefront.rehearsal.processes;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A TCP relay that represents one link between two processes. It listens on a port of its own, forwards each connection
 * to the destination, and applies the {@link LinkConditions} of a plan to each direction. Everything runs on the given
 * event loop.
 *
 * <p>This is as close to a faulty network as loopback comes without privileges. A blocked link holds bytes back and
 * delivers them once it is restored, as TCP retransmits lost segments. A connection over a blocked link is established,
 * since the local kernel accepts it, but stays silent. If the destination refuses the connection, the accepted one is
 * reset at once.
 */
public final class Relay {
    /** Bytes queued for one direction of a connection before reading stops, so that the sender sees backpressure. */
    private static final int MAX_QUEUED_BYTES = 256 << 10;

    private static final int BACKLOG = 1_024;
    private static final int CONNECT_TIMEOUT_MS = 3_000;

    /** The two directions of a link. */
    public enum Flow {
        /** From the side that connects to the side that listens. */
        UPSTREAM,
        /** From the side that listens to the side that connects. */
        DOWNSTREAM
    }

    private final EventLoop loop;
    private final InetSocketAddress destination;
    private final Channel listener;
    private final LinkConditions[] conditions = {LinkConditions.CLEAR, LinkConditions.CLEAR};
    /** Open connections; each removes itself when both of its ends have closed. */
    private final Set<Connection> connections = new LinkedHashSet<>();

    private volatile boolean clear = true;
    private long connectionCount;

    /**
     * Creates a relay and starts to listen.
     *
     * @param loop the event loop that it runs on
     * @param host the address to listen on; the system chooses the port
     * @param destination where connections are forwarded to
     * @throws IOException if it cannot listen
     */
    public Relay(EventLoop loop, InetAddress host, InetSocketAddress destination) throws IOException {
        this.loop = loop;
        this.destination = destination;
        var bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel near) {
                        Connection connection = new Connection(near);
                        connections.add(connection);
                        near.pipeline().addLast(connection.ends[0]);
                    }
                })
                .bind(new InetSocketAddress(host, 0))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "relay cannot listen on " + host + ": " + bound.cause().getMessage(), bound.cause());
        }
        listener = bound.channel();
    }

    /** Returns the address that it listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Returns whether both directions pass traffic unchanged. Thread-safe. */
    public boolean isClear() {
        return clear;
    }

    /** Sets the conditions of one direction. Thread-safe. */
    public void setConditions(Flow flow, LinkConditions flowConditions) {
        if (flowConditions != LinkConditions.CLEAR) {
            clear = false;
        }
        loop.execute(() -> {
            conditions[flow.ordinal()] = flowConditions;
            clear = conditions[0] == LinkConditions.CLEAR && conditions[1] == LinkConditions.CLEAR;
            List.copyOf(connections).forEach(Connection::connectAndForward);
        });
    }

    /** Resets all connections at both ends. Thread-safe. */
    public void reset() {
        loop.execute(() -> List.copyOf(connections).forEach(Connection::reset));
    }

    /**
     * Closes the far ends of all connections without notice to the near ends, as when a machine loses its state.
     * Thread-safe.
     */
    public void halfOpen() {
        loop.execute(() -> List.copyOf(connections).forEach(Connection::halfOpen));
    }

    /** Stops listening and resets all connections. Thread-safe. */
    public void close() {
        listener.close();
        reset();
    }

    /** Returns how many connections were accepted. To be called on the event loop. */
    long connectionCount() {
        return connectionCount;
    }

    private long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(loop.ticker().nanoTime());
    }

    private static void reset(Channel channel) {
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** An item of one direction: bytes, or if they are null, the end of the stream or a reset. */
    private record Chunk(long dueMicros, ByteBuf bytes, boolean reset) {}

    /** An accepted connection and its counterpart to the destination. */
    private final class Connection {
        final End[] ends = {new End(Flow.UPSTREAM), new End(Flow.DOWNSTREAM)};
        private boolean connectStarted;
        private boolean halfOpen;

        Connection(Channel near) {
            ends[0].channel = near;
            connectionCount++;
        }

        /** Connects to the destination, unless that was done or the link is blocked, and forwards what is due. */
        void connectAndForward() {
            if (!connectStarted && !conditions[0].blocked() && !conditions[1].blocked()) {
                connectStarted = true;
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .disableResolver()
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel far) {
                                ends[1].channel = far;
                                far.pipeline().addLast(ends[1]);
                            }
                        })
                        .connect(destination)
                        .addListener(done -> {
                            if (halfOpen) {
                                return; // closed while connecting; the near end must not notice
                            }
                            if (!done.isSuccess() || !ends[0].channel.isOpen()) {
                                reset();
                            } else {
                                ends[0].setReading(true);
                                ends[1].setReading(true);
                            }
                        });
            }
            ends[0].forward();
            ends[1].forward();
        }

        void reset() {
            for (End end : ends) {
                end.discardQueue();
                Relay.reset(end.channel);
            }
            connections.remove(this);
        }

        void halfOpen() {
            halfOpen = true;
            ends[0].discardQueue();
            Relay.reset(ends[1].channel);
        }

        End other(End end) {
            return end == ends[0] ? ends[1] : ends[0];
        }

        /** Removes the connection once both ends are closed, so that nothing more can arrive or be written. */
        void removeIfClosed() {
            boolean closed = true;
            for (End end : ends) {
                closed &= end.channel == null || !end.channel.isOpen();
            }
            if (closed) {
                ends[0].discardQueue();
                ends[1].discardQueue();
                connections.remove(this);
            }
        }

        /** One end of the connection, with the queue of what was read there and not yet written to the other end. */
        private final class End extends ChannelInboundHandlerAdapter {
            private final Flow flow;
            private final TrafficShaper shaper = new TrafficShaper();
            private final Deque<Chunk> queue = new ArrayDeque<>();
            private Channel channel;
            private int queuedBytes;
            private boolean inputEnded;
            private boolean forwardScheduled;

            End(Flow flow) {
                this.flow = flow;
            }

            private void setReading(boolean enabled) {
                channel.config().setAutoRead(enabled);
            }

            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                if (flow == Flow.UPSTREAM) {
                    connectAndForward();
                }
            }

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                if (halfOpen) {
                    bytes.release(); // the far end is gone, and the near end must not notice
                    return;
                }
                int size = bytes.readableBytes();
                queuedBytes += size;
                queue.addLast(
                        new Chunk(shaper.departureTime(nowMicros(), size, conditions[flow.ordinal()]), bytes, false));
                if (queuedBytes > MAX_QUEUED_BYTES) {
                    setReading(false);
                }
                forward();
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                if (event instanceof ChannelInputShutdownEvent) {
                    endInput(false);
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                endInput(true);
                ctx.close();
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                endInput(true);
                removeIfClosed();
            }

            /** Queues the end of the stream or a reset; nothing more is read from this end. */
            private void endInput(boolean reset) {
                if (!inputEnded && !halfOpen) {
                    inputEnded = true;
                    queue.addLast(
                            new Chunk(shaper.departureTime(nowMicros(), 0, conditions[flow.ordinal()]), null, reset));
                    forward();
                }
            }

            /** Writes what is due to the other end, and schedules the next call for what is not. */
            void forward() {
                Channel to = other(this).channel;
                boolean wrote = false;
                while (!queue.isEmpty()
                        && !conditions[flow.ordinal()].blocked()
                        && to != null
                        && to.isActive()
                        && queue.peekFirst().dueMicros() <= nowMicros()) {
                    Chunk chunk = queue.removeFirst();
                    if (chunk.bytes() != null) {
                        queuedBytes -= chunk.bytes().readableBytes();
                        to.write(chunk.bytes());
                        wrote = true;
                    } else if (chunk.reset()) {
                        to.flush();
                        Relay.reset(to);
                    } else {
                        to.flush();
                        ((DuplexChannel) to).shutdownOutput().addListener(done -> removeIfClosed());
                    }
                }
                if (wrote) {
                    to.flush();
                }
                if (queuedBytes <= MAX_QUEUED_BYTES / 2
                        && !inputEnded
                        && connectStarted
                        && channel.isOpen()
                        && to != null
                        && to.isActive()
                        && !channel.config().isAutoRead()) {
                    setReading(true);
                }
                if (to != null && !to.isOpen()) {
                    discardQueue();
                } else if (!queue.isEmpty() && !conditions[flow.ordinal()].blocked() && !forwardScheduled) {
                    forwardScheduled = true;
                    long wait = Math.max(0, queue.peekFirst().dueMicros() - nowMicros());
                    loop.schedule(
                            () -> {
                                forwardScheduled = false;
                                forward();
                            },
                            Math.max(wait, 100),
                            TimeUnit.MICROSECONDS);
                }
            }

            void discardQueue() {
                for (Chunk chunk : new ArrayList<>(queue)) {
                    if (chunk.bytes() != null) {
                        chunk.bytes().release();
                    }
                }
                queue.clear();
                queuedBytes = 0;
            }
        }
    }
}
