package gatefront.rehearsal.net;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** Listens on the in-memory network. */
final class MemoryServerChannel extends AbstractServerChannel {
    private static final int BACKLOG = 1024;

    private final VirtualHost host;
    private final ChannelConfig config = new MemoryChannel.Options(this);
    /** Connections that have come up and are not accepted. */
    private final Deque<MemoryChannel> waiting = new ArrayDeque<>();

    private InetSocketAddress local;
    private boolean open = true;
    private boolean reading;

    MemoryServerChannel(VirtualHost host) {
        this.host = host;
    }

    /** A connection comes up; false if there is no room for it. */
    boolean offer(MemoryChannel from) {
        if (waiting.size() >= BACKLOG) {
            return false;
        }
        MemoryChannel child = new MemoryChannel(this, host);
        child.pair(from, local);
        waiting.add(child);
        host.network.carry(host, from.host, 0, 0, () -> from.connected(child));
        accept();
        return true;
    }

    private void accept() {
        if (reading && !waiting.isEmpty()) {
            reading = false;
            while (!waiting.isEmpty()) {
                pipeline().fireChannelRead(waiting.poll());
            }
            pipeline().fireChannelReadComplete();
        }
    }

    @Override
    protected void doBeginRead() {
        reading = true;
        if (!waiting.isEmpty()) {
            eventLoop().execute(this::accept);
        }
    }

    @Override
    protected void doBind(SocketAddress at) throws IOException {
        InetSocketAddress wanted = (InetSocketAddress) at;
        if (!wanted.getAddress().equals(host.address) || host.listening.containsKey(wanted.getPort())) {
            throw new BindException("cannot listen on " + wanted);
        }
        local = wanted.getPort() == 0 ? host.at(host.port()) : wanted;
        host.listening.put(local.getPort(), this);
    }

    @Override
    protected void doClose() {
        open = false;
        if (local != null) {
            host.listening.remove(local.getPort(), this);
        }
        waiting.forEach(MemoryChannel::abandon);
        waiting.clear();
    }

    @Override
    protected SocketAddress localAddress0() {
        return local;
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof VirtualTime.Loop;
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
        return open && local != null;
    }
}
