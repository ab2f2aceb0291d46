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
 * A machine with one process on it, and that process's outside. The machine may vanish (nothing comes from it or
 * reaches it) and the process may die (its connections are reset, new ones refused) and start again.
 */
public final class VirtualHost implements Machine, Transport {
    private static final int FIRST_PORT = 30_000;

    final Network network;
    final InetAddress address;
    /** Of the process that runs; each removes itself when it closes. */
    final Map<Integer, MemoryServerChannel> listening = new LinkedHashMap<>();

    final Set<MemoryChannel> channels = new LinkedHashSet<>();
    private final String name;
    private final int zone;
    private final long memory;
    private final Consumer<String> log;
    private VirtualTime.Loop loop;
    private boolean vanished;
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

    /** The zone that it stands in. */
    public int zone() {
        return zone;
    }

    @Override
    public InetSocketAddress at(int port) {
        return new InetSocketAddress(address, port);
    }

    @Override
    public long sentAt(Channel channel) {
        return Network.sentAt(channel);
    }

    int port() {
        nextPort = nextPort >= 65_000 ? FIRST_PORT : nextPort + 1;
        return nextPort;
    }

    boolean vanished() {
        return vanished;
    }

    @Override
    public boolean running() {
        return !loop.isDead();
    }

    @Override
    public void kill() {
        if (running()) {
            loop.kill();
            network.died(this);
        }
    }

    @Override
    public void boot() {
        kill();
        loop = network.time.loop(name);
    }

    @Override
    public void vanish() {
        vanished = true;
    }

    @Override
    public void appear() {
        vanished = false;
        network.appeared(this);
    }

    /** Connections of this process that are open. */
    public int openChannels() {
        return channels.size();
    }

    /** Timers that the latest process to end still had. */
    public int timersDropped() {
        return loop.dropped();
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
