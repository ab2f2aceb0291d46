package gatefront.rehearsal.processes;

import gatefront.rehearsal.world.RandomStream;
import gatefront.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keeps a number of connections to one agent open, and opens another for each that ends: idle ones, ones with half a
 * request, and ones that send a request after a short silence. A response is due to such a request. Confined to one
 * event loop.
 */
public final class ConnectionCrowd {
    private enum Behavior {
        IDLE,
        HALF_REQUEST,
        LATE_REQUEST
    }

    private static final String REQUEST = "GET /healthz HTTP/1.1\r\nHost: crowd\r\nConnection: close\r\n\r\n";
    private static final int HALF_REQUEST_BYTES = 20;
    private static final long MIN_SILENCE_MICROS = 20_000;
    private static final long MAX_SILENCE_MICROS = 90_000;
    /** An agent at its limit may close a new connection that has been silent for longer. */
    private static final long ALLOWED_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /**
     * A close within this time after a request was sent may have crossed it: no answer is due then, and the client
     * would send the request again.
     */
    private static final long CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final long REOPEN_DELAY_MS = 30;
    /** Share of idle connections, of those with half a request, and of those with a late request. */
    private static final double[] SHARES = {0.3, 0.2, 0.5};

    private final Transport transport;
    private final EventLoop loop;
    private final RandomStream draw;
    private final LoopLateness lateness;
    private final Consumer<String> onLost;
    private final Bootstrap bootstrap;
    private final Set<Channel> channels = new HashSet<>();
    private boolean closed;
    private long answered;

    /**
     * Creates a crowd without connections.
     *
     * @param transport provides the event loop, clock and network
     * @param agent the address of the agent
     * @param lateness the lateness of the rig's loops, which is not blamed on the agent
     * @param onLost called on the loop, with what was seen, when a due response did not come
     */
    public ConnectionCrowd(
            Transport transport,
            InetSocketAddress agent,
            RandomStream draw,
            LoopLateness lateness,
            Consumer<String> onLost) {
        this.transport = transport;
        this.loop = transport.loop();
        this.draw = draw;
        this.lateness = lateness;
        this.onLost = onLost;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(transport.clientChannels())
                .option(ChannelOption.TCP_NODELAY, true)
                .remoteAddress(agent)
                .disableResolver();
    }

    /** Opens connections and keeps their number until {@link #close}. */
    public void open(int connections) {
        for (int i = 0; i < connections; i++) {
            connect();
        }
    }

    /** Closes all connections; returns how many requests were answered. */
    public long close() {
        closed = true;
        List.copyOf(channels).forEach(Channel::close);
        return answered;
    }

    private void connect() {
        if (closed) {
            return;
        }
        Member member = new Member(Behavior.values()[draw.weightedIndex(SHARES)]);
        Channel channel = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(member);
                    }
                })
                .connect()
                .channel();
        channels.add(channel);
        channel.closeFuture().addListener(done -> {
            channels.remove(channel);
            loop.schedule(this::connect, REOPEN_DELAY_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** One connection. */
    private final class Member extends SimpleChannelInboundHandler<ByteBuf> {
        private final Behavior behavior;
        private long connectedNanos;
        /** When the whole request was sent after an allowed silence; 0 before, and if no response is due. */
        private long sentNanos;

        Member(Behavior behavior) {
            this.behavior = behavior;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connectedNanos = transport.nanos();
            if (behavior == Behavior.HALF_REQUEST) {
                write(ctx, REQUEST.substring(0, HALF_REQUEST_BYTES));
            } else if (behavior == Behavior.LATE_REQUEST) {
                long silenceMicros = (long) draw.uniform(MIN_SILENCE_MICROS, MAX_SILENCE_MICROS);
                loop.schedule(() -> sendRequest(ctx), silenceMicros, TimeUnit.MICROSECONDS);
            }
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            if (ctx.channel().isActive()) {
                write(ctx, REQUEST);
                long now = transport.nanos();
                sentNanos = now - connectedNanos <= ALLOWED_SILENCE_NANOS ? now : 0;
            }
        }

        private void write(ChannelHandlerContext ctx, String text) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf read) {
            if (sentNanos != 0) {
                answered++;
                sentNanos = 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            long sinceSentNanos = transport.nanos() - sentNanos;
            if (sentNanos != 0 && !closed && sinceSentNanos - latenessSinceSentNanos() > CROSSING_NANOS) {
                onLost.accept("a request sent " + TimeUnit.NANOSECONDS.toMillis(sentNanos - connectedNanos)
                        + " ms after connecting was closed without a response "
                        + TimeUnit.NANOSECONDS.toMillis(sinceSentNanos) + " ms later");
            }
        }

        private long latenessSinceSentNanos() {
            return 1_000 * lateness.maxBetween(sentNanos / 1_000, transport.nanos() / 1_000);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
