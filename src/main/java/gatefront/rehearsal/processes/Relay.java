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
 * One link between two processes: a port of its own, behind which bytes go on to the other side, and what a plan does
 * to each direction. All of it runs on the loop given.
 *
 * <p>As near as loopback comes without privileges: a cut link holds bytes back and brings them when it is healed, as
 * TCP sends again what was lost; a connection to a cut link comes up, since this system's own kernel answers it, and
 * stays silent. Where the other side refuses a connection, this one is made and reset at once.
 */
public final class Relay {
    /** Held back for one direction of a connection before reading stops, so that senders feel it. */
    private static final int MAX_QUEUED_BYTES = 256 << 10;

    private static final int BACKLOG = 1_024;
    private static final int CONNECT_TIMEOUT_MS = 3_000;

    /** The two directions of a link. */
    public enum Flow {
        /** From whoever dials to whoever listens. */
        UPSTREAM,
        /** The other way. */
        DOWNSTREAM
    }

    private final EventLoop loop;
    private final InetSocketAddress destination;
    private final Channel listener;
    private final LinkConditions[] conditions = {LinkConditions.CLEAR, LinkConditions.CLEAR};
    /** Connections through it; each removes itself when both of its ends have closed. */
    private final Set<Connection> connections = new LinkedHashSet<>();

    private volatile boolean clear = true;
    private long connectionCount;

    /**
     * Listens from now on.
     *
     * @param loop on which it runs
     * @param host the address to listen on; the system finds the port
     * @param target where connections go on to
     * @throws IOException if it cannot listen
     */
    public Relay(EventLoop loop, InetAddress host, InetSocketAddress target) throws IOException {
        this.loop = loop;
        this.destination = target;
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
                        Connection pair = new Connection(near);
                        connections.add(pair);
                        near.pipeline().addLast(pair.ends[0]);
                    }
                })
                .bind(new InetSocketAddress(host, 0))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("a relay cannot listen: " + bound.cause().getMessage(), bound.cause());
        }
        listener = bound.channel();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Whether nothing is done to it now, so that what is written arrives; from any thread. */
    public boolean isClear() {
        return clear;
    }

    /** Shapes one direction, from now on; from any thread. */
    public void setConditions(Flow way, LinkConditions shape) {
        if (shape != LinkConditions.CLEAR) {
            clear = false;
        }
        loop.execute(() -> {
            conditions[way.ordinal()] = shape;
            clear = conditions[0] == LinkConditions.CLEAR && conditions[1] == LinkConditions.CLEAR;
            List.copyOf(connections).forEach(Connection::connectAndForward);
        });
    }

    /** Resets all its connections, at both ends; from any thread. */
    public void reset() {
        loop.execute(() -> List.copyOf(connections).forEach(Connection::reset));
    }

    /** Ends the far ends of its connections; the near ones are told nothing, as when a machine loses its state. */
    public void halfOpen() {
        loop.execute(() -> List.copyOf(connections).forEach(Connection::halfOpen));
    }

    /** Ends it; from any thread. */
    public void close() {
        listener.close();
        reset();
    }

    /** How many connections it has carried; to be asked on its loop. */
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

    /** What passes in one direction: bytes, the end of them, or a reset in their place. */
    private record Chunk(long dueMicros, ByteBuf bytes, boolean reset) {}

    /** One connection and the one that goes on from it. */
    private final class Connection {
        final End[] ends = {new End(Flow.UPSTREAM), new End(Flow.DOWNSTREAM)};
        private boolean dialled;
        private boolean halfOpen;

        Connection(Channel near) {
            ends[0].channel = near;
            connectionCount++;
        }

        /** Dials where that has not been, and passes on what may pass. */
        void connectAndForward() {
            if (!dialled && !conditions[0].blocked() && !conditions[1].blocked()) {
                dialled = true;
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
                                return; // the far end has gone while it came up, and the near one is not to know
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
            for (End each : ends) {
                each.discardQueue();
                Relay.reset(each.channel);
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

        /** Both ends are done: nothing waits and nothing more comes. */
        void removeIfClosed() {
            boolean closed = true;
            for (End each : ends) {
                closed &= each.channel == null || !each.channel.isOpen();
            }
            if (closed) {
                ends[0].discardQueue();
                ends[1].discardQueue();
                connections.remove(this);
            }
        }

        /** One of its ends, and what has been read there and not yet been written to the other. */
        private final class End extends ChannelInboundHandlerAdapter {
            private final Flow flow;
            private final TrafficShaper shaper = new TrafficShaper();
            private final Deque<Chunk> queue = new ArrayDeque<>();
            private Channel channel;
            private int queuedBytes;
            private boolean inputEnded;
            private boolean forwardScheduled;

            End(Flow way) {
                this.flow = way;
            }

            private void setReading(boolean on) {
                channel.config().setAutoRead(on);
            }

            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                if (flow == Flow.UPSTREAM) {
                    connectAndForward();
                }
            }

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object read) {
                ByteBuf bytes = (ByteBuf) read;
                if (halfOpen) {
                    bytes.release(); // its peer is gone, and nobody says so
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

            /** Nothing more comes from here. */
            private void endInput(boolean reset) {
                if (!inputEnded && !halfOpen) {
                    inputEnded = true;
                    queue.addLast(
                            new Chunk(shaper.departureTime(nowMicros(), 0, conditions[flow.ordinal()]), null, reset));
                    forward();
                }
            }

            /** Writes to the other end what is due, and wakes up for the next. */
            void forward() {
                Channel to = other(this).channel;
                boolean wrote = false;
                while (!queue.isEmpty()
                        && !conditions[flow.ordinal()].blocked()
                        && to != null
                        && to.isActive()
                        && queue.peekFirst().dueMicros() <= nowMicros()) {
                    Chunk piece = queue.removeFirst();
                    if (piece.bytes() != null) {
                        queuedBytes -= piece.bytes().readableBytes();
                        to.write(piece.bytes());
                        wrote = true;
                    } else if (piece.reset()) {
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
                        && dialled
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
                for (Chunk each : new ArrayList<>(queue)) {
                    if (each.bytes() != null) {
                        each.bytes().release();
                    }
                }
                queue.clear();
                queuedBytes = 0;
            }
        }
    }
}
