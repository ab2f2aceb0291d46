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

/** A listening channel of the in-memory network. */
final class MemoryServerChannel extends AbstractServerChannel {
    private static final int BACKLOG = 1024;

    private final VirtualHost host;
    private final ChannelConfig config = new MemoryChannel.Options(this);
    /** Established connections that have not been accepted. */
    private final Deque<MemoryChannel> pending = new ArrayDeque<>();

    private InetSocketAddress local;
    private boolean open = true;
    private boolean readPending;

    MemoryServerChannel(VirtualHost host) {
        this.host = host;
    }

    /** Offers a connection from a client; returns false if the backlog is full. */
    boolean offer(MemoryChannel from) {
        if (pending.size() >= BACKLOG) {
            return false;
        }
        MemoryChannel child = new MemoryChannel(this, host);
        child.acceptFrom(from, local);
        pending.add(child);
        host.network.transmit(host, from.host, 0, 0, () -> from.connected(child));
        accept();
        return true;
    }

    private void accept() {
        if (readPending && !pending.isEmpty()) {
            readPending = false;
            while (!pending.isEmpty()) {
                pipeline().fireChannelRead(pending.poll());
            }
            pipeline().fireChannelReadComplete();
        }
    }

    @Override
    protected void doBeginRead() {
        readPending = true;
        if (!pending.isEmpty()) {
            eventLoop().execute(this::accept);
        }
    }

    @Override
    protected void doBind(SocketAddress at) throws IOException {
        InetSocketAddress requested = (InetSocketAddress) at;
        if (!requested.getAddress().equals(host.address) || host.listeners.containsKey(requested.getPort())) {
            throw new BindException("cannot listen on " + requested);
        }
        local = requested.getPort() == 0 ? host.address(host.allocatePort()) : requested;
        host.listeners.put(local.getPort(), this);
    }

    @Override
    protected void doClose() {
        open = false;
        if (local != null) {
            host.listeners.remove(local.getPort(), this);
        }
        pending.forEach(MemoryChannel::abandon);
        pending.clear();
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
