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

/** The floor: takes connections, makes one to a server for each, and writes on what it reads. Nothing else. */
final class Relay {
    private Relay() {}

    /** Writes on to another channel, and ends it with its own. */
    private static final class Onward extends ChannelInboundHandlerAdapter {
        private final Channel to;

        Onward(Channel to) {
            this.to = to;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            to.write(bytes, to.voidPromise());
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            to.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            to.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** One argument: the server's port on loopback. Prints the port that it listens on. */
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
                                .handler(new Onward(client))
                                .connect(server)
                                .addListener((ChannelFutureListener) done -> {
                                    if (done.isSuccess()) {
                                        client.pipeline().addLast(new Onward(done.channel()));
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
