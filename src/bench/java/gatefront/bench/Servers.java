package gatefront.bench;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Servers that answer each request immediately. Requests must have no body: the empty line ends each of them. */
final class Servers implements AutoCloseable {
    private static final byte[] RESPONSE = ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 64\r\n\r\n"
                    + "x".repeat(64))
            .getBytes(StandardCharsets.US_ASCII);

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<Integer> ports = new ArrayList<>();

    /**
     * Starts servers on loopback.
     *
     * @param count the number of servers
     * @param responding whether they answer requests; otherwise they accept connections and stay silent
     */
    Servers(int count, boolean responding) throws InterruptedException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1_024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        if (responding) {
                            ch.pipeline().addLast(new ResponseHandler());
                        }
                    }
                });
        for (int i = 0; i < count; i++) {
            Channel bound = bootstrap
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel();
            ports.add(((InetSocketAddress) bound.localAddress()).getPort());
        }
    }

    List<Integer> ports() {
        return ports;
    }

    @Override
    public void close() {
        loops.shutdownGracefully();
    }

    private static final class ResponseHandler extends SimpleChannelInboundHandler<ByteBuf> {
        /** The number of bytes of the terminating CR LF CR LF that have been read. */
        private int matchedTerminatorBytes;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            while (bytes.isReadable()) {
                matchedTerminatorBytes =
                        bytes.readByte() == "\r\n\r\n".charAt(matchedTerminatorBytes) ? matchedTerminatorBytes + 1 : 0;
                if (matchedTerminatorBytes == 4) {
                    matchedTerminatorBytes = 0;
                    ctx.write(Unpooled.wrappedBuffer(RESPONSE));
                }
            }
            ctx.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
