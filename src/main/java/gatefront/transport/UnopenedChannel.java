package gatefront.transport;

import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;

/**
 * Stands for a channel whose socket could not be opened: connecting fails with the reason. Unlike the channel that a
 * bootstrap makes up for a factory that throws, it belongs to the event loop, so that its listeners run there, and it
 * can be closed.
 */
public final class UnopenedChannel extends AbstractChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false);

    private final ChannelException reason;
    private final ChannelConfig config = new UnopenedConfig(this);
    private boolean open = true;

    private UnopenedChannel(ChannelException reason) {
        super(null);
        this.reason = reason;
    }

    /** Returns a factory of the channels of {@code factory}, and of unopened channels when that fails. */
    public static ChannelFactory<Channel> insteadOfFailureOf(ChannelFactory<? extends Channel> factory) {
        return () -> {
            try {
                return factory.newChannel();
            } catch (ChannelException e) {
                return new UnopenedChannel(e);
            }
        };
    }

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new AbstractUnsafe() {
            @Override
            public void connect(SocketAddress remote, SocketAddress local, ChannelPromise promise) {
                promise.tryFailure(reason);
            }
        };
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return true;
    }

    @Override
    protected void doRegister(ChannelPromise promise) {
        promise.setSuccess(); // there is no socket to poll
    }

    @Override
    protected SocketAddress localAddress0() {
        return null;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return null;
    }

    @Override
    protected void doBind(SocketAddress localAddress) {
        throw reason;
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doClose() {
        open = false;
    }

    @Override
    protected void doBeginRead() {}

    @Override
    protected void doWrite(ChannelOutboundBuffer out) {
        throw reason;
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return false;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }

    /** Accepts the options of sockets, which have no effect here. */
    private static final class UnopenedConfig extends DefaultChannelConfig {
        UnopenedConfig(Channel channel) {
            super(channel);
        }

        @Override
        public <T> boolean setOption(ChannelOption<T> option, T value) {
            return true;
        }
    }
}
