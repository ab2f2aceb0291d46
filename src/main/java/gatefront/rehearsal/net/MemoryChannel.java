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
 * One end of an in-memory connection. It behaves like a socket of the NIO transport: a write completes when the bytes
 * are in the send buffer, an end of file closes the channel, closing with unread bytes resets the peer instead of
 * shutting down in order, and data that arrives at a closed end is answered with a reset.
 */
final class MemoryChannel extends AbstractChannel implements DuplexChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);
    /** Maximum number of reads in a row before other channels get their turn, as in the NIO transport. */
    private static final int MAX_READS = 16;

    private enum State {
        NEW,
        CONNECTING,
        OPEN,
        CLOSED
    }

    final VirtualHost host;
    private final Options config = new Options(this);
    /** Received bytes and the time at which they were sent, in nanoseconds. */
    private record Segment(byte[] bytes, long sentAtNanos) {}

    /** Received but not read yet; bounded by the window of the peer. */
    private final Deque<Segment> receiveQueue = new ArrayDeque<>();

    private State state = State.NEW;
    private MemoryChannel peer;
    private InetSocketAddress local;
    private InetSocketAddress remote;
    private ChannelPromise connectPromise;
    private ScheduledFuture<?> connectTimeout;
    private boolean readPending;
    private boolean inputEnded;
    private boolean outputShutdown;
    /** Bytes sent that the peer has not read. */
    private int bytesInFlight;

    private boolean writeBlocked;
    /** When the data being read was sent, and when the end of the input was sent; in nanoseconds. */
    private long sentAtNanos;

    private long endSentAtNanos;
    /** Whether the connection was closed with a reset. Undelivered data is then dropped, as a send buffer is. */
    private boolean aborted;
    /** When the last transmission arrives at the peer, in nanoseconds. */
    private long lastArrivalNanos;

    MemoryChannel(Channel parent, VirtualHost host) {
        super(parent, host.network.newId());
        this.host = host;
    }

    // ---- Connecting ----

    /** Makes this channel the accepting end of a connection. */
    void acceptFrom(MemoryChannel client, InetSocketAddress localAddress) {
        peer = client;
        local = localAddress;
        remote = client.local;
        state = State.OPEN;
        host.channels.add(this);
    }

    boolean isConnecting() {
        return state == State.CONNECTING;
    }

    /** The peer has accepted the connection. */
    void connected(MemoryChannel accepted) {
        if (state != State.CONNECTING) {
            long now = host.network.time.nanoTime();
            host.network.transmit(host, accepted.host, 0, 0, () -> accepted.reset(now));
            return;
        }
        peer = accepted;
        state = State.OPEN;
        ChannelPromise promise = connectPromise;
        clearConnectState();
        if (promise.trySuccess()) {
            pipeline().fireChannelActive();
        } else {
            close();
        }
    }

    /** Nothing listens at the remote address. */
    void connectionRefused() {
        failConnect(new ConnectException("Connection refused: " + remote));
    }

    private void failConnect(IOException cause) {
        if (state == State.CONNECTING) {
            ChannelPromise promise = connectPromise;
            clearConnectState();
            promise.tryFailure(cause);
            close();
        }
    }

    private void clearConnectState() {
        connectPromise = null;
        if (connectTimeout != null) {
            connectTimeout.cancel(false);
            connectTimeout = null;
        }
    }

    // ---- Data ----

    private void deliver(byte[] bytes, long sentNanos) {
        if (state == State.CLOSED || isAbandoned()) {
            resetPeer(0);
            return;
        }
        receiveQueue.add(new Segment(bytes, sentNanos));
        if (readPending) {
            read0();
        }
    }

    private boolean isAbandoned() {
        return !host.channels.contains(this);
    }

    private void endOfInput(long sentNanos) {
        if (state != State.CLOSED) {
            endSentAtNanos = sentNanos;
            inputEnded = true;
            if (readPending) {
                read0();
            }
        }
    }

    /** The peer has reset the connection; data that it sent before is lost. */
    void reset(long sentNanos) {
        if (state == State.OPEN && host.channels.contains(this)) {
            receiveQueue.clear();
            inputEnded = true;
            outputShutdown = true;
            sentAtNanos = sentNanos;
            if (isRegistered()) {
                pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
            }
            close();
        }
    }

    private void read0() {
        if (!readPending || state != State.OPEN) {
            return;
        }
        readPending = false;
        int n = 0;
        while (!receiveQueue.isEmpty() && n++ < MAX_READS) {
            Segment segment = receiveQueue.poll();
            host.network.transmit(host, peer.host, 0, 0, () -> peer.acknowledged(segment.bytes.length));
            sentAtNanos = segment.sentAtNanos;
            pipeline().fireChannelRead(Unpooled.wrappedBuffer(segment.bytes));
        }
        if (n > 0) {
            pipeline().fireChannelReadComplete();
        }
        if (receiveQueue.isEmpty() && inputEnded && state == State.OPEN) {
            sentAtNanos = endSentAtNanos;
            if (config.halfClosure) {
                pipeline().fireUserEventTriggered(io.netty.channel.socket.ChannelInputShutdownEvent.INSTANCE);
            } else {
                close();
            }
        }
    }

    private void acknowledged(int bytes) {
        bytesInFlight -= bytes;
        if (writeBlocked && state == State.OPEN && host.channels.contains(this)) {
            writeBlocked = false;
            ((MemoryUnsafe) unsafe()).resume();
        }
    }

    private void resetPeer(long notBefore) {
        long now = host.network.time.nanoTime();
        host.network.transmit(host, peer.host, 0, notBefore, () -> peer.reset(now));
    }

    private void endOutput() {
        long now = host.network.time.nanoTime();
        send(0, () -> peer.endOfInput(now));
    }

    /** Returns when the data being read, or the end that closes this channel, was sent; in nanoseconds. */
    long sentAtNanos() {
        return sentAtNanos;
    }

    private void send(int bytes, Runnable arrival) {
        lastArrivalNanos = host.network.transmit(host, peer.host, bytes, lastArrivalNanos, arrival);
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) {
        while (out.current() instanceof ByteBuf message) {
            if (bytesInFlight >= Network.WINDOW_BYTES) {
                writeBlocked = true;
                return;
            }
            byte[] bytes = ByteBufUtil.getBytes(message);
            if (bytes.length > 0) {
                bytesInFlight += bytes.length;
                long now = host.network.time.nanoTime();
                send(bytes.length, () -> {
                    if (!aborted) {
                        peer.deliver(bytes, now);
                    }
                });
            }
            out.remove();
        }
    }

    /** Whether the channel is open and the peer has sent neither unread data nor an end of file. */
    boolean silent() {
        return state == State.OPEN && receiveQueue.isEmpty() && !inputEnded;
    }

    // ---- Closing ----

    /** The process was killed: no handler is notified, and the peer gets a reset. */
    void abandon() {
        if (state == State.OPEN && peer != null) {
            resetPeer(lastArrivalNanos);
        }
        state = State.CLOSED;
    }

    @Override
    protected void doClose() {
        if (state == State.OPEN) {
            if (!receiveQueue.isEmpty() || config.abortive) {
                aborted = config.abortive;
                resetPeer(lastArrivalNanos);
            } else if (!outputShutdown) {
                endOutput();
            }
        }
        state = State.CLOSED;
        ChannelPromise promise = connectPromise;
        clearConnectState();
        if (promise != null) {
            promise.tryFailure(new java.nio.channels.ClosedChannelException());
        }
        receiveQueue.clear();
        host.channels.remove(this);
    }

    @Override
    protected void doShutdownOutput() {
        if (state == State.OPEN && !outputShutdown) {
            outputShutdown = true;
            endOutput();
        }
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doBeginRead() {
        if (!readPending) {
            readPending = true;
            if (!receiveQueue.isEmpty() || inputEnded) {
                eventLoop().execute(this::read0);
            }
        }
    }

    @Override
    protected void doBind(SocketAddress at) {
        local = (InetSocketAddress) at;
    }

    // ---- Channel implementation ----

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new MemoryUnsafe();
    }

    private final class MemoryUnsafe extends AbstractUnsafe {
        void resume() {
            flush0();
        }

        @Override
        public void connect(SocketAddress to, SocketAddress from, ChannelPromise promise) {
            if (!promise.setUncancellable() || !ensureOpen(promise)) {
                return;
            }
            state = State.CONNECTING;
            connectPromise = promise;
            remote = (InetSocketAddress) to;
            local = host.address(host.allocatePort());
            host.channels.add(MemoryChannel.this);
            int timeout = config.getConnectTimeoutMillis();
            if (timeout > 0) {
                connectTimeout = eventLoop()
                        .schedule(
                                () -> failConnect(new ConnectTimeoutException("connection timed out: " + remote)),
                                timeout,
                                TimeUnit.MILLISECONDS);
            }
            host.network.connect(MemoryChannel.this, remote);
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
        return inputEnded && receiveQueue.isEmpty();
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
        return outputShutdown;
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
        return isInputShutdown() && outputShutdown;
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

    /** Accepts the socket options in use, and applies those that matter to an in-memory connection. */
    static final class Options extends DefaultChannelConfig {
        private static final Set<ChannelOption<?>> IGNORED_OPTIONS =
                Set.of(ChannelOption.TCP_NODELAY, ChannelOption.SO_BACKLOG, ChannelOption.SO_REUSEADDR);
        private boolean halfClosure;
        /** Whether the linger time is 0, so that a close sends a reset. */
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
            return IGNORED_OPTIONS.contains(option) || super.setOption(option, value);
        }
    }
}
