package gatefront.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Transport over NIO sockets and the system clocks, with its own event loop thread. */
public final class SocketTransport implements Transport {
    /** Environment variable that turns the trace of requests and connections on. */
    private static final String TRACE_VARIABLE = "GATEFRONT_TRACE";

    private static final double NANOS_PER_SECOND = 1e9;
    /** Bounds the time spent on one channel while its peer keeps sending. */
    private static final int MAX_READS_OF_ARRIVED_INPUT = 16;

    private final PollTimes pollTimes = new PollTimes(this::reportLatePoll);
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, pollTimes.recording(NioIoHandler.newFactory()));
    private final EventLoop loop = group.next();
    private final EventTrace trace =
            System.getenv(TRACE_VARIABLE) == null ? EventTrace.OFF : EventTrace.to(this::nanos, this::log);
    private final long clockOffsetMicros;
    private final boolean readsArrivedInput;

    /** Creates a transport that uses the system's wall clock. */
    public SocketTransport() {
        this(0, true);
    }

    /**
     * Creates a transport for rehearsals.
     *
     * @param clockOffsetMicros offset of the wall clock, in microseconds
     * @param readsArrivedInput whether {@link #readArrivedInput} has an effect
     */
    public SocketTransport(long clockOffsetMicros, boolean readsArrivedInput) {
        this.clockOffsetMicros = clockOffsetMicros;
        this.readsArrivedInput = readsArrivedInput;
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public long arrivedAfterNanos() {
        return pollTimes.previousPollNanos();
    }

    @Override
    public long machineNanos() {
        return System.nanoTime();
    }

    @Override
    public long wallMicros() {
        return 1000 * System.currentTimeMillis() + clockOffsetMicros;
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannels() {
        return ListeningChannel::new;
    }

    @Override
    public ChannelFactory<? extends ServerChannel> sharedServerChannels() {
        return SharedServerChannel::new;
    }

    @Override
    public void closeSharedListener(Channel listener) {
        if (listener instanceof SharedServerChannel shared && shared.isActive()) {
            shared.acceptAll();
        }
        listener.close();
    }

    @Override
    public ChannelFactory<? extends Channel> clientChannels() {
        return ClientChannel::new;
    }

    @Override
    public boolean hasNoUnreadInput(Channel channel) {
        return ((ClientChannel) channel).hasNoUnreadInput();
    }

    @Override
    public void readArrivedInput(Channel channel) {
        int reads = 0;
        while (channel.config().isAutoRead() && reads < MAX_READS_OF_ARRIVED_INPUT && readAhead(channel)) {
            reads++;
        }
    }

    @Override
    public boolean readAhead(Channel channel) {
        if (!readsArrivedInput
                || !channel.isActive()
                || !(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket)) {
            return false;
        }
        socket.read();
        return socket.recvBufAllocHandle().lastBytesRead() > 0;
    }

    @Override
    public int unreadInputBytes(Channel channel) {
        return channel instanceof AcceptedChannel accepted ? accepted.unreadInputBytes() : UNKNOWN_BYTES;
    }

    @Override
    public long maxMemoryBytes() {
        return Runtime.getRuntime().maxMemory();
    }

    @Override
    public void log(String line) {
        System.err.println(line);
    }

    @Override
    public EventTrace trace() {
        return trace;
    }

    private void reportLatePoll(long latenessNanos) {
        log(String.format(
                Locale.ROOT, "event loop: sockets were polled %.3f s late", latenessNanos / NANOS_PER_SECOND));
    }

    @Override
    public void close(Runnable onClosed) {
        group.shutdownGracefully(50, 500, TimeUnit.MILLISECONDS).addListener(done -> onClosed.run());
    }

    private static void useHeapBuffers(Channel connection) {
        connection.config().setAllocator(HeapBufferAllocator.INSTANCE);
    }

    /** A listening channel that accepts {@link AcceptedChannel}s. */
    private static class ListeningChannel extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            SocketChannel socket = javaChannel().accept();
            if (socket == null) {
                return 0;
            }
            accepted.add(new AcceptedChannel(this, socket));
            return 1;
        }
    }

    /** A connection of a client. It uses {@link HeapBufferAllocator}, and can tell how much input is unread. */
    private static final class AcceptedChannel extends NioSocketChannel {
        AcceptedChannel(Channel listener, SocketChannel socket) {
            super(listener, socket);
            useHeapBuffers(this);
        }

        int unreadInputBytes() {
            try {
                return javaChannel().socket().getInputStream().available();
            } catch (IOException e) {
                return UNKNOWN_BYTES;
            }
        }
    }

    /** A listening channel with {@code SO_REUSEPORT}. */
    private static final class SharedServerChannel extends ListeningChannel {
        SharedServerChannel() {
            config().setOption(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }

        void acceptAll() {
            try {
                for (SocketChannel accepted = javaChannel().accept();
                        accepted != null;
                        accepted = javaChannel().accept()) {
                    pipeline().fireChannelRead(new AcceptedChannel(this, accepted));
                }
                pipeline().fireChannelReadComplete();
            } catch (IOException e) {
                pipeline().fireExceptionCaught(e);
            }
        }
    }

    /** A channel for outgoing connections that can be checked for unread input. */
    private static final class ClientChannel extends NioSocketChannel {
        ClientChannel() {
            useHeapBuffers(this);
        }

        boolean hasNoUnreadInput() {
            try {
                return isActive() && javaChannel().read(ByteBuffer.allocate(1)) == 0;
            } catch (IOException e) {
                return false;
            }
        }
    }
}
