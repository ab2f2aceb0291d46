package gatefront.rehearsal.net;

import gatefront.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import java.util.function.Supplier;

/** Puts a handler next to the wire of each connection of one side. */
public record TamperingTransport(Transport right, Supplier<ChannelHandler> accepted, Supplier<ChannelHandler> dialled)
        implements Transport {
    @Override
    public EventLoop loop() {
        return right.loop();
    }

    @Override
    public long wallMicros() {
        return right.wallMicros();
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannels() {
        return () -> {
            ServerChannel server = right.serverChannels().newChannel();
            server.pipeline().addFirst(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object child) {
                    ((Channel) child).pipeline().addFirst(accepted.get());
                    ctx.fireChannelRead(child);
                }
            });
            return server;
        };
    }

    @Override
    public ChannelFactory<? extends Channel> clientChannels() {
        return () -> {
            Channel channel = right.clientChannels().newChannel();
            channel.pipeline().addFirst(dialled.get());
            return channel;
        };
    }

    @Override
    public boolean hasNoUnreadInput(Channel channel) {
        return right.hasNoUnreadInput(channel);
    }

    @Override
    public long maxMemoryBytes() {
        return right.maxMemoryBytes();
    }

    @Override
    public void log(String line) {
        right.log(line);
    }

    @Override
    public void close(Runnable then) {
        right.close(then);
    }
}
