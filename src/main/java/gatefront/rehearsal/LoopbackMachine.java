package gatefront.rehearsal;

import gatefront.rehearsal.net.Machine;
import gatefront.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A machine of a stand-in on loopback sockets, on an event loop that all stand-ins share. A machine that has vanished
 * reads nothing. Since all machines share one kernel, connections to it are still established, and bytes that it wrote
 * before are still delivered. That is as close as loopback comes without privileges.
 */
final class LoopbackMachine implements Machine, Transport {
    /** Time after a machine reappears by which everything that was held back has been read, in nanoseconds. */
    private static final long CATCH_UP_NANOS = 500_000_000;

    private final String name;
    private final InetAddress address;
    private final EventLoop loop;
    /** Open channels of the running process; each removes itself when it closes. */
    private final Set<Channel> channels = new LinkedHashSet<>();

    private boolean running = true;
    private boolean vanished;
    private long vanishedAt;
    private long appearedAt;

    LoopbackMachine(String name, InetAddress address, EventLoop loop) {
        this.name = name;
        this.address = address;
        this.loop = loop;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public Transport transport() {
        return this;
    }

    @Override
    public InetSocketAddress address(int port) {
        return new InetSocketAddress(address, port);
    }

    /**
     * Returns the earliest time at which a message that is read now can have been sent, so that an agent is not blamed
     * for what it sent while this machine read nothing.
     */
    @Override
    public long sentAtNanos(Channel channel) {
        boolean heldBack = vanishedAt != 0 && (vanished || nanos() - appearedAt < CATCH_UP_NANOS);
        return heldBack ? vanishedAt : nanos();
    }

    @Override
    public boolean running() {
        return running;
    }

    @Override
    public void kill() {
        running = false;
        if (!vanished) {
            reset();
        }
    }

    private void reset() {
        for (Channel channel : List.copyOf(channels)) {
            if (!(channel instanceof ServerChannel)) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
        }
        channels.clear();
    }

    @Override
    public void boot() {
        reset();
        running = true;
    }

    @Override
    public void isolate() {
        vanished = true;
        vanishedAt = nanos();
        channels.forEach(channel -> channel.config().setAutoRead(false));
    }

    @Override
    public void reconnect() {
        vanished = false;
        appearedAt = nanos();
        if (running) {
            channels.forEach(channel -> channel.config().setAutoRead(true));
        } else {
            reset();
        }
    }

    private <T extends Channel> T track(T channel) {
        channels.add(channel);
        channel.closeFuture().addListener(closed -> channels.remove(channel));
        return channel;
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public long wallMicros() {
        return 1000 * System.currentTimeMillis();
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannels() {
        return () -> track(new NioServerSocketChannel() {
            @Override
            protected int doReadMessages(List<Object> accepted) throws Exception {
                int count = super.doReadMessages(accepted);
                accepted.forEach(channel -> track((Channel) channel));
                return count;
            }
        });
    }

    @Override
    public ChannelFactory<? extends Channel> clientChannels() {
        return () -> track(new NioSocketChannel());
    }

    @Override
    public boolean hasNoUnreadInput(Channel channel) {
        throw new UnsupportedOperationException("stand-ins do not check for silent channels");
    }

    @Override
    public long maxMemoryBytes() {
        return Runtime.getRuntime().maxMemory();
    }

    @Override
    public void log(String line) {}

    @Override
    public void close(Runnable then) {
        kill();
        then.run();
    }
}
