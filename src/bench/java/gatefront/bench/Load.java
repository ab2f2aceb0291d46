package gatefront.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** A closed-loop load generator: each connection has one request outstanding and sends the next after its response. */
final class Load implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong();

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Bootstrap bootstrap;
    private final boolean connectionPerRequest;
    private final Histogram micros = new ConcurrentHistogram(60_000_000, 3);
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong disconnected = new AtomicLong();
    private volatile boolean closed;

    /**
     * Creates a load generator without connections.
     *
     * @param port the port on loopback of the process under test
     * @param connectionPerRequest whether each request uses a new connection
     */
    Load(int port, boolean connectionPerRequest) {
        this.connectionPerRequest = connectionPerRequest;
        this.bootstrap = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_LINGER, connectionPerRequest ? 0 : -1)
                .remoteAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new RequestLoop());
                    }
                });
    }

    /** Opens connections that send requests. */
    void open(int connections) {
        for (int i = 0; i < connections; i++) {
            bootstrap.connect();
        }
    }

    /** Opens connections that send nothing. */
    void openIdle(int connections) throws InterruptedException {
        Bootstrap idleBootstrap = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {}
        });
        for (int i = 0; i < connections; i++) {
            idleBootstrap.connect().sync();
        }
    }

    /** Discards all measurements so far. */
    void reset() {
        micros.reset();
        refused.set(0);
        disconnected.set(0);
    }

    Histogram micros() {
        return micros;
    }

    long refused() {
        return refused.get();
    }

    /** Returns the number of connections that were closed before a response arrived. */
    long disconnected() {
        return disconnected.get();
    }

    @Override
    public void close() {
        closed = true;
        try {
            loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).sync();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final class RequestLoop extends SimpleChannelInboundHandler<ByteBuf> {
        private final StringBuilder responseHead = new StringBuilder();
        private long bodyBytesLeft = -1;
        /** The time of the current request by {@link System#nanoTime}: 0 before the first, -1 between two connections. */
        private long sentNanos;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendRequest(ctx);
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            if (sentNanos == 0 || !connectionPerRequest) {
                sentNanos = System.nanoTime();
            }
            ctx.writeAndFlush(Unpooled.copiedBuffer(
                    "GET /lookup?q=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: b"
                            + IDS.incrementAndGet() + "\r\nRequest-Class: lookup\r\nRequest-Timeout-Ms: 8000\r\n"
                            + (connectionPerRequest ? "Connection: close\r\n" : "") + "\r\n",
                    StandardCharsets.US_ASCII));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            while (bytes.isReadable()) {
                if (bodyBytesLeft < 0) {
                    responseHead.append((char) bytes.readByte());
                    int end = responseHead.length() - 4;
                    if (end >= 0 && responseHead.indexOf("\r\n\r\n", end) == end) {
                        String text = responseHead.toString().toLowerCase();
                        int at = text.indexOf("content-length:");
                        bodyBytesLeft = at < 0
                                ? 0
                                : Long.parseLong(text.substring(at + 15, text.indexOf('\r', at))
                                        .trim());
                        if (!text.startsWith("http/1.1 200")) {
                            refused.incrementAndGet();
                        }
                    }
                } else {
                    int length = (int) Math.min(bodyBytesLeft, bytes.readableBytes());
                    bytes.skipBytes(length);
                    bodyBytesLeft -= length;
                }
                if (bodyBytesLeft == 0) {
                    responseReceived(ctx);
                }
            }
        }

        private void responseReceived(ChannelHandlerContext ctx) {
            responseHead.setLength(0);
            bodyBytesLeft = -1;
            micros.recordValue(Math.min(60_000_000, (System.nanoTime() - sentNanos) / 1_000));
            if (closed) {
                ctx.close();
            } else if (connectionPerRequest) {
                sentNanos = -1;
                ctx.close();
            } else {
                sendRequest(ctx);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (sentNanos != -1) {
                disconnected.incrementAndGet();
            }
            if (!closed) {
                bootstrap.connect();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
