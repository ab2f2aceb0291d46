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
    private static final int QUEUE_MOST = 256 << 10;

    private static final int BACKLOG = 1_024;
    private static final int DIAL_MS = 3_000;

    /** The two directions of a link. */
    public enum Way {
        /** From whoever dials to whoever listens. */
        FORTH,
        /** The other way. */
        BACK
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Channel server;
    private final LinkConditions[] shapes = {LinkConditions.CLEAR, LinkConditions.CLEAR};
    /** Connections through it; each removes itself when both of its ends have closed. */
    private final Set<Pair> pairs = new LinkedHashSet<>();

    private volatile boolean clear = true;
    private long made;

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
        this.target = target;
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
                        Pair pair = new Pair(near);
                        pairs.add(pair);
                        near.pipeline().addLast(pair.ends[0]);
                    }
                })
                .bind(new InetSocketAddress(host, 0))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("a relay cannot listen: " + bound.cause().getMessage(), bound.cause());
        }
        server = bound.channel();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Whether nothing is done to it now, so that what is written arrives; from any thread. */
    public boolean clear() {
        return clear;
    }

    /** Shapes one direction, from now on; from any thread. */
    public void shape(Way way, LinkConditions shape) {
        if (shape != LinkConditions.CLEAR) {
            clear = false;
        }
        loop.execute(() -> {
            shapes[way.ordinal()] = shape;
            clear = shapes[0] == LinkConditions.CLEAR && shapes[1] == LinkConditions.CLEAR;
            List.copyOf(pairs).forEach(Pair::go);
        });
    }

    /** Resets all its connections, at both ends; from any thread. */
    public void reset() {
        loop.execute(() -> List.copyOf(pairs).forEach(Pair::reset));
    }

    /** Ends the far ends of its connections; the near ones are told nothing, as when a machine loses its state. */
    public void halfOpen() {
        loop.execute(() -> List.copyOf(pairs).forEach(Pair::halfOpen));
    }

    /** Ends it; from any thread. */
    public void close() {
        server.close();
        reset();
    }

    /** How many connections it has carried; to be asked on its loop. */
    long made() {
        return made;
    }

    private long now() {
        return TimeUnit.NANOSECONDS.toMicros(loop.ticker().nanoTime());
    }

    private static void reset(Channel channel) {
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** What passes in one direction: bytes, the end of them, or a reset in their place. */
    private record Piece(long due, ByteBuf bytes, boolean reset) {}

    /** One connection and the one that goes on from it. */
    private final class Pair {
        final End[] ends = {new End(Way.FORTH), new End(Way.BACK)};
        private boolean dialled;
        private boolean halfOpen;

        Pair(Channel near) {
            ends[0].channel = near;
            made++;
        }

        /** Dials where that has not been, and passes on what may pass. */
        void go() {
            if (!dialled && !shapes[0].held() && !shapes[1].held()) {
                dialled = true;
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .disableResolver()
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DIAL_MS)
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
                        .connect(target)
                        .addListener(done -> {
                            if (halfOpen) {
                                return; // the far end has gone while it came up, and the near one is not to know
                            }
                            if (!done.isSuccess() || !ends[0].channel.isOpen()) {
                                reset();
                            } else {
                                ends[0].reads(true);
                                ends[1].reads(true);
                            }
                        });
            }
            ends[0].pass();
            ends[1].pass();
        }

        void reset() {
            for (End each : ends) {
                each.drop();
                Relay.reset(each.channel);
            }
            pairs.remove(this);
        }

        void halfOpen() {
            halfOpen = true;
            ends[0].drop();
            Relay.reset(ends[1].channel);
        }

        End other(End end) {
            return end == ends[0] ? ends[1] : ends[0];
        }

        /** Both ends are done: nothing waits and nothing more comes. */
        void over() {
            boolean closed = true;
            for (End each : ends) {
                closed &= each.channel == null || !each.channel.isOpen();
            }
            if (closed) {
                ends[0].drop();
                ends[1].drop();
                pairs.remove(this);
            }
        }

        /** One of its ends, and what has been read there and not yet been written to the other. */
        private final class End extends ChannelInboundHandlerAdapter {
            private final Way way;
            private final TrafficShaper conduit = new TrafficShaper();
            private final Deque<Piece> queue = new ArrayDeque<>();
            private Channel channel;
            private int queued;
            private boolean ended;
            private boolean waking;

            End(Way way) {
                this.way = way;
            }

            private void reads(boolean on) {
                channel.config().setAutoRead(on);
            }

            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                if (way == Way.FORTH) {
                    go();
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
                queued += size;
                queue.addLast(new Piece(conduit.due(now(), size, shapes[way.ordinal()]), bytes, false));
                if (queued > QUEUE_MOST) {
                    reads(false);
                }
                pass();
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                if (event instanceof ChannelInputShutdownEvent) {
                    ends(false);
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ends(true);
                ctx.close();
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                ends(true);
                over();
            }

            /** Nothing more comes from here. */
            private void ends(boolean reset) {
                if (!ended && !halfOpen) {
                    ended = true;
                    queue.addLast(new Piece(conduit.due(now(), 0, shapes[way.ordinal()]), null, reset));
                    pass();
                }
            }

            /** Writes to the other end what is due, and wakes up for the next. */
            void pass() {
                Channel to = other(this).channel;
                boolean wrote = false;
                while (!queue.isEmpty()
                        && !shapes[way.ordinal()].held()
                        && to != null
                        && to.isActive()
                        && queue.peekFirst().due() <= now()) {
                    Piece piece = queue.removeFirst();
                    if (piece.bytes() != null) {
                        queued -= piece.bytes().readableBytes();
                        to.write(piece.bytes());
                        wrote = true;
                    } else if (piece.reset()) {
                        to.flush();
                        Relay.reset(to);
                    } else {
                        to.flush();
                        ((DuplexChannel) to).shutdownOutput().addListener(done -> over());
                    }
                }
                if (wrote) {
                    to.flush();
                }
                if (queued <= QUEUE_MOST / 2
                        && !ended
                        && dialled
                        && channel.isOpen()
                        && to != null
                        && to.isActive()
                        && !channel.config().isAutoRead()) {
                    reads(true);
                }
                if (to != null && !to.isOpen()) {
                    drop();
                } else if (!queue.isEmpty() && !shapes[way.ordinal()].held() && !waking) {
                    waking = true;
                    long wait = Math.max(0, queue.peekFirst().due() - now());
                    loop.schedule(
                            () -> {
                                waking = false;
                                pass();
                            },
                            Math.max(wait, 100),
                            TimeUnit.MICROSECONDS);
                }
            }

            void drop() {
                for (Piece each : new ArrayList<>(queue)) {
                    if (each.bytes() != null) {
                        each.bytes().release();
                    }
                }
                queue.clear();
                queued = 0;
            }
        }
    }
}
