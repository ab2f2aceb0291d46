package gatefront.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/** Real sockets and the system's clocks, on one event loop thread of its own. */
public final class SocketTransport implements Transport {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final long clockOff;

    /** With the system's time of day. */
    public SocketTransport() {
        this(0);
    }

    /** With a time of day that is off by so many microseconds, for rehearsals. */
    public SocketTransport(long clockOff) {
        this.clockOff = clockOff;
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public long wallMicros() {
        return 1000 * System.currentTimeMillis() + clockOff;
    }

    @Override
    public ChannelFactory<? extends ServerChannel> listeners() {
        return NioServerSocketChannel::new;
    }

    @Override
    public ChannelFactory<? extends ServerChannel> sharedListeners() {
        return Shared::new;
    }

    @Override
    public void closeShared(Channel listener) {
        if (listener instanceof Shared shared && shared.isActive()) {
            shared.takeAll();
        }
        listener.close();
    }

    @Override
    public ChannelFactory<? extends Channel> dialers() {
        return Inspectable::new;
    }

    @Override
    public boolean silent(Channel channel) {
        return ((Inspectable) channel).silent();
    }

    @Override
    public long memory() {
        return Runtime.getRuntime().maxMemory();
    }

    @Override
    public void log(String line) {
        System.err.println(line);
    }

    @Override
    public void close(Runnable then) {
        group.shutdownGracefully(50, 500, TimeUnit.MILLISECONDS).addListener(done -> then.run());
    }

    /** Listens on an address that another process may share. */
    private static final class Shared extends NioServerSocketChannel {
        Shared() {
            config().setOption(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }

        void takeAll() {
            try {
                for (SocketChannel each = javaChannel().accept();
                        each != null;
                        each = javaChannel().accept()) {
                    pipeline().fireChannelRead(new NioSocketChannel(this, each));
                }
                pipeline().fireChannelReadComplete();
            } catch (IOException e) {
                pipeline().fireExceptionCaught(e);
            }
        }
    }

    /** A socket that can be asked whether its peer has been silent. */
    private static final class Inspectable extends NioSocketChannel {
        boolean silent() {
            try {
                return isActive() && javaChannel().read(ByteBuffer.allocate(1)) == 0;
            } catch (IOException e) {
                return false;
            }
        }
    }
}
