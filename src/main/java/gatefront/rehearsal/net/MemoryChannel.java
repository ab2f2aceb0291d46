package gatefront.rehearsal.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One end of an in-memory connection. It behaves as a socket of the NIO transport does: a write is done when the
 * bytes are in the send buffer; an end of file closes the channel; closing with bytes unread resets the other
 * side instead of ending in order; what arrives at a closed end is answered with a reset.
 */
final class MemoryChannel extends AbstractChannel implements DuplexChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);
    /** Reads in a row before others get their turn, as the NIO transport has it. */
    private static final int READS_MOST = 16;

    private enum State {
        NEW,
        CONNECTING,
        OPEN,
        CLOSED
    }

    final VirtualHost host;
    private final Options config = new Options(this);
    /** What has come and when it was sent. */
    private record Segment(byte[] bytes, long sentAt) {}

    /** Read by nobody yet; bounded by the window of the other end. */
    private final Deque<Segment> arrived = new ArrayDeque<>();

    private State state = State.NEW;
    private MemoryChannel peer;
    private InetSocketAddress local;
    private InetSocketAddress remote;
    private ChannelPromise connecting;
    private ScheduledFuture<?> connectTimeout;
    private boolean reading;
    private boolean inputEnded;
    private boolean outputShut;
    /** Bytes sent that the other end has not read. */
    private int unread;

    private boolean stalled;
    /** When what is being read was sent, and when the end of the input was. */
    private long sentAt;

    private long endSentAt;
    /** Ended with a reset: what was not delivered by then is dropped, as the send buffer is. */
    private boolean aborted;
    /** When the last thing sent arrives. */
    private long lastArrival;

    MemoryChannel(Channel parent, VirtualHost host) {
        super(parent, host.network.newId());
        this.host = host;
    }

    // ---- Coming up ----

    /** Makes this the accepting end of a connection. */
    void pair(MemoryChannel dialler, InetSocketAddress at) {
        peer = dialler;
        local = at;
        remote = dialler.local;
        state = State.OPEN;
        host.channels.add(this);
    }

    boolean connecting() {
        return state == State.CONNECTING;
    }

    /** The other end has accepted. */
    void connected(MemoryChannel accepted) {
        if (state != State.CONNECTING) {
            long at = host.network.time.nanoTime();
            host.network.carry(host, accepted.host, 0, 0, () -> accepted.reset(at));
            return;
        }
        peer = accepted;
        state = State.OPEN;
        ChannelPromise promise = connecting;
        settled();
        if (promise.trySuccess()) {
            pipeline().fireChannelActive();
        } else {
            close();
        }
    }

    /** Nobody listens there. */
    void refused() {
        fail(new ConnectException("Connection refused: " + remote));
    }

    private void fail(IOException why) {
        if (state == State.CONNECTING) {
            ChannelPromise promise = connecting;
            settled();
            promise.tryFailure(why);
            close();
        }
    }

    private void settled() {
        connecting = null;
        if (connectTimeout != null) {
            connectTimeout.cancel(false);
            connectTimeout = null;
        }
    }

    // ---- Bytes ----

    private void deliver(byte[] bytes, long at) {
        if (state == State.CLOSED || abandoned()) {
            resetPeer(0);
            return;
        }
        arrived.add(new Segment(bytes, at));
        if (reading) {
            read0();
        }
    }

    private boolean abandoned() {
        return !host.channels.contains(this);
    }

    private void endOfInput(long at) {
        if (state != State.CLOSED) {
            endSentAt = at;
            inputEnded = true;
            if (reading) {
                read0();
            }
        }
    }

    /** The other end has reset the connection: what it sent before is lost with it. */
    void reset(long at) {
        if (state == State.OPEN && host.channels.contains(this)) {
            arrived.clear();
            inputEnded = true;
            outputShut = true;
            sentAt = at;
            if (isRegistered()) {
                pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
            }
            close();
        }
    }

    private void read0() {
        if (!reading || state != State.OPEN) {
            return;
        }
        reading = false;
        int n = 0;
        while (!arrived.isEmpty() && n++ < READS_MOST) {
            Segment segment = arrived.poll();
            host.network.carry(host, peer.host, 0, 0, () -> peer.acknowledged(segment.bytes.length));
            sentAt = segment.sentAt;
            pipeline().fireChannelRead(Unpooled.wrappedBuffer(segment.bytes));
        }
        if (n > 0) {
            pipeline().fireChannelReadComplete();
        }
        if (arrived.isEmpty() && inputEnded && state == State.OPEN) {
            sentAt = endSentAt;
            if (config.halfClosure) {
                pipeline().fireUserEventTriggered(io.netty.channel.socket.ChannelInputShutdownEvent.INSTANCE);
            } else {
                close();
            }
        }
    }

    private void acknowledged(int bytes) {
        unread -= bytes;
        if (stalled && state == State.OPEN && host.channels.contains(this)) {
            stalled = false;
            ((Unsafe0) unsafe()).resume();
        }
    }

    private void resetPeer(long notBefore) {
        long at = host.network.time.nanoTime();
        host.network.carry(host, peer.host, 0, notBefore, () -> peer.reset(at));
    }

    private void endOutput() {
        long at = host.network.time.nanoTime();
        send(0, () -> peer.endOfInput(at));
    }

    /** When what is being read was sent, or the end that closes this; nanoseconds. */
    long sentAt() {
        return sentAt;
    }

    private void send(int bytes, Runnable arrival) {
        lastArrival = host.network.carry(host, peer.host, bytes, lastArrival, arrival);
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) {
        while (out.current() instanceof ByteBuf message) {
            if (unread >= Network.WINDOW) {
                stalled = true;
                return;
            }
            byte[] bytes = ByteBufUtil.getBytes(message);
            if (bytes.length > 0) {
                unread += bytes.length;
                long at = host.network.time.nanoTime();
                send(bytes.length, () -> {
                    if (!aborted) {
                        peer.deliver(bytes, at);
                    }
                });
            }
            out.remove();
        }
    }

    /** Whether it is open and its other end has sent nothing that is unread, nor an end. */
    boolean silent() {
        return state == State.OPEN && arrived.isEmpty() && !inputEnded;
    }

    // ---- Ending ----

    /** The process has died: no handler hears of it, and the other end gets a reset. */
    void abandon() {
        if (state == State.OPEN && peer != null) {
            resetPeer(lastArrival);
        }
        state = State.CLOSED;
    }

    @Override
    protected void doClose() {
        if (state == State.OPEN) {
            if (!arrived.isEmpty() || config.abortive) {
                aborted = config.abortive;
                resetPeer(lastArrival);
            } else if (!outputShut) {
                endOutput();
            }
        }
        state = State.CLOSED;
        ChannelPromise promise = connecting;
        settled();
        if (promise != null) {
            promise.tryFailure(new java.nio.channels.ClosedChannelException());
        }
        arrived.clear();
        host.channels.remove(this);
    }

    @Override
    protected void doShutdownOutput() {
        if (state == State.OPEN && !outputShut) {
            outputShut = true;
            endOutput();
        }
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doBeginRead() {
        if (!reading) {
            reading = true;
            if (!arrived.isEmpty() || inputEnded) {
                eventLoop().execute(this::read0);
            }
        }
    }

    @Override
    protected void doBind(SocketAddress at) {
        local = (InetSocketAddress) at;
    }

    // ---- What a channel must tell ----

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new Unsafe0();
    }

    private final class Unsafe0 extends AbstractUnsafe {
        void resume() {
            flush0();
        }

        @Override
        public void connect(SocketAddress to, SocketAddress from, ChannelPromise promise) {
            if (!promise.setUncancellable() || !ensureOpen(promise)) {
                return;
            }
            state = State.CONNECTING;
            connecting = promise;
            remote = (InetSocketAddress) to;
            local = host.at(host.port());
            host.channels.add(MemoryChannel.this);
            int timeout = config.getConnectTimeoutMillis();
            if (timeout > 0) {
                connectTimeout = eventLoop()
                        .schedule(
                                () -> fail(new ConnectTimeoutException("connection timed out: " + remote)),
                                timeout,
                                TimeUnit.MILLISECONDS);
            }
            host.network.dial(MemoryChannel.this, remote);
        }
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof VirtualTime.Loop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return local;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return remote;
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return state != State.CLOSED;
    }

    @Override
    public boolean isActive() {
        return state == State.OPEN;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }

    @Override
    public boolean isInputShutdown() {
        return inputEnded && arrived.isEmpty();
    }

    @Override
    public ChannelFuture shutdownInput() {
        return shutdownInput(newPromise());
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        inputEnded = true;
        return promise.setSuccess();
    }

    @Override
    public boolean isOutputShutdown() {
        return outputShut;
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        ((AbstractUnsafe) unsafe()).shutdownOutput(promise);
        return promise;
    }

    @Override
    public boolean isShutdown() {
        return isInputShutdown() && outputShut;
    }

    @Override
    public ChannelFuture shutdown() {
        return shutdown(newPromise());
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        inputEnded = true;
        return shutdownOutput(promise);
    }

    /** Takes the options of sockets, and does as they say where that means something here. */
    static final class Options extends DefaultChannelConfig {
        private static final Set<ChannelOption<?>> WITHOUT_MEANING =
                Set.of(ChannelOption.TCP_NODELAY, ChannelOption.SO_BACKLOG, ChannelOption.SO_REUSEADDR);
        private boolean halfClosure;
        /** A linger time of 0: a close is a reset. */
        private boolean abortive;

        Options(Channel channel) {
            super(channel);
        }

        @Override
        public <T> boolean setOption(ChannelOption<T> option, T value) {
            if (option == ChannelOption.ALLOW_HALF_CLOSURE) {
                halfClosure = (Boolean) value;
                return true;
            }
            if (option == ChannelOption.SO_LINGER) {
                abortive = (Integer) value == 0;
                return true;
            }
            return WITHOUT_MEANING.contains(option) || super.setOption(option, value);
        }
    }
}
