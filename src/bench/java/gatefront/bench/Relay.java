package gatefront.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The baseline of {@link Costs}: opens one connection to a server for each connection that it accepts, and forwards the
 * bytes in both directions without parsing them.
 */
final class Relay {
    private Relay() {}

    /** Forwards all bytes to another channel and closes that channel when its own closes. */
    private static final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel destination;

        Forwarder(Channel destination) {
            this.destination = destination;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            destination.write(bytes, destination.voidPromise());
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            destination.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            destination.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Runs the relay. The argument is the port of the server on loopback; prints the port that it listens on. */
    public static void main(String[] args) throws Exception {
        InetSocketAddress server = new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(args[0]));
        MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Channel listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1_024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        new Bootstrap()
                                .group(loop)
                                .channel(NioSocketChannel.class)
                                .option(ChannelOption.TCP_NODELAY, true)
                                .handler(new Forwarder(client))
                                .connect(server)
                                .addListener((ChannelFutureListener) done -> {
                                    if (done.isSuccess()) {
                                        client.pipeline().addLast(new Forwarder(done.channel()));
                                        client.config().setAutoRead(true);
                                    } else {
                                        client.close();
                                    }
                                });
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        System.err.println("listening on 127.0.0.1:" + ((InetSocketAddress) listening.localAddress()).getPort());
    }
}
