package gatefront.connection;

import gatefront.budget.ResourceAccount;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.engine.Frontend;
import gatefront.transport.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The callers' connections: how many there may be, how long each may say nothing, how each ends. What a protocol adds
 * is what the bytes mean. All of it runs on the agent's event loop.
 */
public abstract class AbstractFrontend implements Frontend {
    /** What a connection is at. */
    protected enum State {
        /** New, and nothing said yet. */
        NEW,
        /** Half a request sent. */
        READING_REQUEST,
        /** Kept after an answer. */
        KEEP_ALIVE,
        /** Owed an answer. */
        AWAITING_RESPONSE,
        /** Its answer is passed on in pieces; since it last took some. */
        STREAMING_RESPONSE,
        /** Its last answer is being written. */
        WRITING_LAST_RESPONSE,
        /** Its last answer is being read. */
        LINGERING
    }

    /** How long a connection may say nothing. */
    private static final long NEW_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** How long it may take over a head, and then from one piece of a body to the next. */
    private static final long READ_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    /** How long one that has had an answer is kept while there is room, and while there is little. */
    private static final long KEEP_ALIVE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long MIN_KEEP_ALIVE_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** How long a new connection may say nothing at the least: its first request is on the way. */
    private static final long MIN_NEW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** How long one that ends may take until its last answer is written, and then over reading it. */
    private static final long LAST_WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** How long one may read nothing of an answer that is passed on in pieces. */
    private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MAX_LINGERING = 16;
    /** From this part of the room on those kept are closed sooner, and each answer is a connection's last. */
    private static final double PRESSURE_FRACTION = 0.6;

    private static final long SWEEP_MS = 100;
    private final Transport transport;
    private final InetSocketAddress listenAddress;
    private final int maxConnections;
    private final ServerBootstrap bootstrap;
    private Channel serverChannel;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Of these, by what they are at, the longest at it first. */
    private final Map<State, Set<Connection>> connectionsByState = new EnumMap<>(State.class);

    private final ResourceBudget budget;
    private final ResourceAccount connectionAccount;
    private final ResourceAccount requestAccount;
    private final ResourceAccount responseAccount;
    private boolean notReady;
    /** Whether each answer is to be its connection's last, for the end is near. */
    private boolean closeAfterResponse;

    /**
     * Listens to nobody yet; {@link #listen()} begins.
     *
     * @param transport its loop, clock and network
     * @param listenAddress where it listens
     * @param maxConnections connections held at the most
     * @param budget of the agent
     */
    protected AbstractFrontend(
            Transport transport, InetSocketAddress listenAddress, int maxConnections, ResourceBudget budget) {
        this.budget = budget;
        this.connectionAccount = budget.of(ResourcePurpose.CALLER_CONNECTIONS);
        this.requestAccount = budget.of(ResourcePurpose.REQUESTS);
        this.responseAccount = budget.of(ResourcePurpose.ANSWERS);
        budget.recounted(ResourcePurpose.CALLER_CONNECTIONS, () -> new ResourceBudget.Count(connections.size(), 0));
        budget.recounted(
                ResourcePurpose.REQUESTS,
                () -> new ResourceBudget.Count(
                        0,
                        connections.stream().mapToLong(each -> each.heldBytes).sum()));
        this.transport = transport;
        this.listenAddress = listenAddress;
        this.maxConnections = maxConnections;
        for (State each : State.values()) {
            connectionsByState.put(each, new LinkedHashSet<>());
        }
        bootstrap = new ServerBootstrap()
                .group(transport.loop())
                .channelFactory(transport.sharedListeners())
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, BufferLimits.receiveBufferAllocator())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, BufferLimits.WRITE_WATER_MARK)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        initPipeline((DuplexChannel) ch);
                    }
                });
    }

    /** Sets up a new connection: its decoder, and a {@link Connection} behind it. */
    protected abstract void initPipeline(DuplexChannel channel);

    @Override
    public ChannelFuture listen() {
        ChannelFuture bound = bootstrap.bind(listenAddress);
        serverChannel = bound.channel();
        bound.addListener(done -> {
            if (done.isSuccess()) {
                transport.loop().scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
            }
        });
        return bound;
    }

    @Override
    public Channel channel() {
        return serverChannel;
    }

    @Override
    public void markNotReady() {
        notReady = true;
    }

    @Override
    public void handOver() {
        notReady = true;
        closeAfterResponse = true;
        transport.closeShared(serverChannel);
    }

    @Override
    public void drain() {
        closeAfterResponse = true;
        List.copyOf(connectionsByState.get(State.NEW)).forEach(Connection::closeAfterFlush);
        List.copyOf(connectionsByState.get(State.KEEP_ALIVE)).forEach(Connection::closeAfterFlush);
    }

    @Override
    public void stopListening() {
        serverChannel.close();
        drain();
        List.copyOf(connectionsByState.get(State.READING_REQUEST)).forEach(Connection::closeAfterFlush);
    }

    @Override
    public boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Whether the end has been asked for. */
    protected final boolean isNotReady() {
        return notReady;
    }

    /** Whether each answer is to be its connection's last: at the end, and while room is scarce. */
    protected final boolean closesAfterResponse() {
        return closeAfterResponse || isUnderPressure();
    }

    /**
     * Keeps the connections under the limit on sockets. Guards against running out of descriptors, which
     * would end the agent, and against silent or forgotten connections shutting the others out: they make
     * room, the longest silent first. While none can go none is accepted: one in use must not be closed
     * unannounced, for its next request may be on the way.
     */
    private void enforceConnectionLimit() {
        long now = transport.nanos();
        while (connections.size()
                                - connectionsByState.get(State.LINGERING).size()
                                - connectionsByState
                                        .get(State.WRITING_LAST_RESPONSE)
                                        .size()
                        >= maxConnections
                || connectionAccount.full()) {
            Connection first = oldestIfSince(State.NEW, now - MIN_NEW_NANOS);
            first = first == null ? oldestIfSince(State.KEEP_ALIVE, now - MIN_KEEP_ALIVE_NANOS) : first;
            if (first == null) {
                break;
            }
            first.closeAfterFlush();
            if (connectionAccount.full()) {
                break; // it goes when what it was sent is written, and the next look finds out
            }
        }
        serverChannel.config().setAutoRead(connections.size() < maxConnections && !connectionAccount.full());
    }

    /** The first of them if it has been there since then. */
    private Connection oldestIfSince(State state, long sinceNanos) {
        Set<Connection> candidates = connectionsByState.get(state);
        Connection first = candidates.isEmpty() ? null : candidates.iterator().next();
        return first != null && first.stateSinceNanos - sinceNanos <= 0 ? first : null;
    }

    /** Ends what takes too long. Guards against descriptors and memory held for nobody. */
    private void sweep() {
        expired(State.NEW, NEW_TIMEOUT_NANOS).forEach(Connection::closeAfterFlush);
        expired(State.KEEP_ALIVE, isUnderPressure() ? MIN_KEEP_ALIVE_NANOS : KEEP_ALIVE_NANOS)
                .forEach(Connection::closeAfterFlush);
        for (Connection each : expired(State.READING_REQUEST, READ_TIMEOUT_NANOS)) {
            each.onReadTimeout();
            if (each.state == State.READING_REQUEST) {
                each.channel.close(); // it does not read either
            }
        }
        expired(State.STREAMING_RESPONSE, STALL_TIMEOUT_NANOS).stream()
                .filter(each -> !each.channel.isWritable())
                .forEach(each -> each.channel.close());
        expired(State.WRITING_LAST_RESPONSE, LAST_WRITE_TIMEOUT_NANOS).forEach(each -> each.channel.close());
        expired(State.LINGERING, LINGER_NANOS).forEach(each -> each.channel.close());
        enforceConnectionLimit();
    }

    /** Whether room gets scarce: clients that keep their connections without need then have to dial again. */
    private boolean isUnderPressure() {
        return connections.size() >= PRESSURE_FRACTION * maxConnections
                || budget.pressure() != ResourceBudget.Pressure.NONE;
    }

    private List<Connection> expired(State state, long timeoutNanos) {
        long sinceNanos = transport.nanos() - timeoutNanos;
        return connectionsByState.get(state).stream()
                .takeWhile(each -> each.stateSinceNanos - sinceNanos <= 0)
                .toList();
    }

    /** One connection of a caller's; it is the last handler of its pipeline. */
    protected abstract class Connection extends SimpleChannelInboundHandler<Object> {
        /** Its channel. */
        protected final DuplexChannel channel;
        /** Nothing more is taken from it: what came was wrong, or it ends. */
        protected boolean ignoresInput;

        private State state;
        private long stateSinceNanos;
        /** What its requests' bodies take. */
        private int heldBytes;

        /** New, on this channel. */
        protected Connection(DuplexChannel channel) {
            this.channel = channel;
        }

        /** Half a request has come, and then nothing for too long. */
        protected abstract void onReadTimeout();

        /** The caller has closed it: nothing more can be answered. */
        protected abstract void onClosed();

        /** What it is at. */
        protected final State state() {
            return state;
        }

        /** It is at something else from now on; null is the end. */
        protected final void transitionTo(State newState) {
            if (state != null) {
                connectionsByState.get(state).remove(this);
            }
            state = newState;
            stateSinceNanos = transport.nanos();
            if (state != null) {
                connectionsByState.get(state).add(this);
            }
        }

        /** Counts bytes of requests that are held; false, and not counted, if there is no room. */
        protected final boolean reserve(int bytes) {
            // Guards against running out of memory.
            if (!requestAccount.grow(bytes)) {
                return false;
            }
            heldBytes += bytes;
            return true;
        }

        /** Bytes of requests are no longer held. */
        protected final void release(int bytes) {
            heldBytes -= bytes;
            requestAccount.shrink(bytes);
        }

        /** Writes an answer, which counts as held until it has left for the caller. */
        protected final ChannelFuture writeResponse(Object message, int bytes) {
            responseAccount.add(1, bytes);
            return channel.writeAndFlush(message).addListener(done -> responseAccount.give(bytes));
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            connectionAccount.add(1, 0);
            transitionTo(State.NEW);
            enforceConnectionLimit();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            connectionAccount.give(0);
            transitionTo(null);
            ignoresInput = true;
            onClosed();
            release(heldBytes);
            enforceConnectionLimit();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // its connection broke; what it was owed is told by channelInactive
        }

        /**
         * Its last answer is being written.
         *
         * @param written tells when that is done
         * @param hasUnreadInput whether more has come from it than was read
         */
        protected final void closeAfterWrite(ChannelFuture written, boolean hasUnreadInput) {
            ignoresInput = true;
            transitionTo(State.WRITING_LAST_RESPONSE);
            // Guards against a reset for what was not read, which would overtake the answer.
            written.addListener(hasUnreadInput ? done -> linger() : ChannelFutureListener.CLOSE);
        }

        private void linger() {
            if (connectionsByState.get(State.LINGERING).size() >= MAX_LINGERING) {
                channel.close();
            } else if (channel.isActive()) {
                transitionTo(State.LINGERING);
                channel.shutdownOutput();
            }
        }

        /** Closes it once what it was sent is written. */
        protected final void closeAfterFlush() {
            closeAfterWrite(channel.writeAndFlush(Unpooled.EMPTY_BUFFER), false);
        }
    }
}
