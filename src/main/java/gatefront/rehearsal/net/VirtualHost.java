package gatefront.rehearsal.net;

import gatefront.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A machine with one process, and the transport of that process. The machine can be isolated, so that nothing leaves
 * or reaches it. The process can be killed, so that its connections are reset and new ones are refused, and started
 * again.
 */
public final class VirtualHost implements Machine, Transport {
    private static final int FIRST_PORT = 30_000;

    final Network network;
    final InetAddress address;
    /** Listeners and channels of the running process; each removes itself when it closes. */
    final Map<Integer, MemoryServerChannel> listeners = new LinkedHashMap<>();

    final Set<MemoryChannel> channels = new LinkedHashSet<>();
    private final String name;
    private final int zone;
    private final long memory;
    private final Consumer<String> log;
    private VirtualTime.Loop loop;
    private boolean isolated;
    private int nextPort = FIRST_PORT;

    VirtualHost(Network network, String name, InetAddress address, int zone, long memory, Consumer<String> log) {
        this.network = network;
        this.name = name;
        this.address = address;
        this.zone = zone;
        this.memory = memory;
        this.log = log;
        this.loop = network.time.loop(name);
    }

    @Override
    public Transport transport() {
        return this;
    }

    @Override
    public String name() {
        return name;
    }

    /** Returns the index of the machine's zone. */
    public int zone() {
        return zone;
    }

    @Override
    public InetSocketAddress address(int port) {
        return new InetSocketAddress(address, port);
    }

    @Override
    public long sentAtNanos(Channel channel) {
        return Network.sentAtNanos(channel);
    }

    int allocatePort() {
        nextPort = nextPort >= 65_000 ? FIRST_PORT : nextPort + 1;
        return nextPort;
    }

    boolean isolated() {
        return isolated;
    }

    @Override
    public boolean running() {
        return !loop.isDead();
    }

    @Override
    public void kill() {
        if (running()) {
            loop.kill();
            network.processDied(this);
        }
    }

    @Override
    public void boot() {
        kill();
        loop = network.time.loop(name);
    }

    @Override
    public void isolate() {
        isolated = true;
    }

    @Override
    public void reconnect() {
        isolated = false;
        network.reconnected(this);
    }

    /** Returns the number of open connections of this process. */
    public int openChannels() {
        return channels.size();
    }

    /** Returns the number of timers that were pending when the last process ended. */
    public int droppedTimers() {
        return loop.droppedTimers();
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public long wallMicros() {
        return network.epochMicros + network.time.nanoTime() / 1000;
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannels() {
        return () -> new MemoryServerChannel(this);
    }

    @Override
    public ChannelFactory<? extends Channel> clientChannels() {
        return () -> new MemoryChannel(null, this);
    }

    @Override
    public boolean hasNoUnreadInput(Channel channel) {
        return ((MemoryChannel) channel).silent();
    }

    @Override
    public long maxMemoryBytes() {
        return memory;
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    @Override
    public void close(Runnable then) {
        loop.execute(() -> {
            then.run();
            kill();
        });
    }
}
