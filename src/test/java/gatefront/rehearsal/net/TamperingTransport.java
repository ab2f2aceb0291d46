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

/** A transport that adds a handler at the head of the pipeline of each accepted or each dialed connection. */
public record TamperingTransport(
        Transport delegate, Supplier<ChannelHandler> acceptedHandler, Supplier<ChannelHandler> dialedHandler)
        implements Transport {
    @Override
    public EventLoop loop() {
        return delegate.loop();
    }

    @Override
    public long wallMicros() {
        return delegate.wallMicros();
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannels() {
        return () -> {
            ServerChannel server = delegate.serverChannels().newChannel();
            server.pipeline().addFirst(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object child) {
                    ((Channel) child).pipeline().addFirst(acceptedHandler.get());
                    ctx.fireChannelRead(child);
                }
            });
            return server;
        };
    }

    @Override
    public ChannelFactory<? extends Channel> clientChannels() {
        return () -> {
            Channel channel = delegate.clientChannels().newChannel();
            channel.pipeline().addFirst(dialedHandler.get());
            return channel;
        };
    }

    @Override
    public boolean hasNoUnreadInput(Channel channel) {
        return delegate.hasNoUnreadInput(channel);
    }

    @Override
    public long maxMemoryBytes() {
        return delegate.maxMemoryBytes();
    }

    @Override
    public void log(String line) {
        delegate.log(line);
    }

    @Override
    public void close(Runnable then) {
        delegate.close(then);
    }
}
