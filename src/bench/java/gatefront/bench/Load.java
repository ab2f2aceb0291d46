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

/** A closed loop: each connection has one request out, and sends the next when it has the answer. */
final class Load implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong();

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Bootstrap bootstrap;
    private final boolean anew;
    private final Histogram micros = new ConcurrentHistogram(60_000_000, 3);
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong broken = new AtomicLong();
    private volatile boolean over;

    /**
     * A load that has not begun.
     *
     * @param port of what is measured
     * @param anew whether each request comes by a connection of its own
     */
    Load(int port, boolean anew) {
        this.anew = anew;
        this.bootstrap = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_LINGER, anew ? 0 : -1)
                .remoteAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new Asking());
                    }
                });
    }

    /** Opens connections that ask. */
    void open(int connections) {
        for (int i = 0; i < connections; i++) {
            bootstrap.connect();
        }
    }

    /** Opens connections that ask nothing. */
    void idle(int connections) throws InterruptedException {
        Bootstrap quiet = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {}
        });
        for (int i = 0; i < connections; i++) {
            quiet.connect().sync();
        }
    }

    /** Forgets what was measured. */
    void begin() {
        micros.reset();
        refused.set(0);
        broken.set(0);
    }

    Histogram micros() {
        return micros;
    }

    long refused() {
        return refused.get();
    }

    /** Connections that ended before an answer. */
    long broken() {
        return broken.get();
    }

    @Override
    public void close() throws InterruptedException {
        over = true;
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).sync();
    }

    private final class Asking extends SimpleChannelInboundHandler<ByteBuf> {
        private final StringBuilder head = new StringBuilder();
        private long body = -1;
        private long sentAt;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            if (sentAt == 0 || !anew) {
                sentAt = System.nanoTime();
            }
            ctx.writeAndFlush(Unpooled.copiedBuffer(
                    "GET /lookup?q=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: b"
                            + IDS.incrementAndGet() + "\r\nRequest-Class: lookup\r\nRequest-Timeout-Ms: 8000\r\n"
                            + (anew ? "Connection: close\r\n" : "") + "\r\n",
                    StandardCharsets.US_ASCII));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            while (bytes.isReadable()) {
                if (body < 0) {
                    head.append((char) bytes.readByte());
                    int end = head.length() - 4;
                    if (end >= 0 && head.indexOf("\r\n\r\n", end) == end) {
                        String text = head.toString().toLowerCase();
                        int at = text.indexOf("content-length:");
                        body = at < 0
                                ? 0
                                : Long.parseLong(text.substring(at + 15, text.indexOf('\r', at))
                                        .trim());
                        if (!text.startsWith("http/1.1 200")) {
                            refused.incrementAndGet();
                        }
                    }
                } else {
                    int part = (int) Math.min(body, bytes.readableBytes());
                    bytes.skipBytes(part);
                    body -= part;
                }
                if (body == 0) {
                    answered(ctx);
                }
            }
        }

        private void answered(ChannelHandlerContext ctx) {
            head.setLength(0);
            body = -1;
            micros.recordValue(Math.min(60_000_000, (System.nanoTime() - sentAt) / 1_000));
            if (over) {
                ctx.close();
            } else if (anew) {
                sentAt = -1;
                ctx.close();
            } else {
                ask(ctx);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (sentAt != -1) {
                broken.incrementAndGet();
            }
            if (!over) {
                bootstrap.connect();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
