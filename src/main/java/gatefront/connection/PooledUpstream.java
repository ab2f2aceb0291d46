package gatefront.connection;

import gatefront.budget.ResourceAccount;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.engine.BodyStream;
import gatefront.engine.Payload;
import gatefront.engine.Upstream;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer;
import gatefront.policy.Balancer.Outcome;
import gatefront.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The connections to the servers: a pool for each, one attempt a connection at a time. What a protocol adds is how a
 * request is written and what an arrival means. All of it runs on the agent's event loop, and every result is queued
 * there, not handed over in a call.
 */
public abstract class PooledUpstream implements Upstream {
    /** No load report. */
    protected static final double[] NO_LOAD = new double[0];
    /** The part of the servers' idle time after which a connection is not used again. */
    private static final double MAX_IDLE_FRACTION = 0.75;

    private static final long SWEEP_SECONDS = 1;
    /**
     * A connection rests for this long after an answer. Guards against a second copy or noise right behind
     * the answer, which would be taken for the answer of the next request: it shows in that time.
     */
    private static final long QUIET_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    private static final long PROBE_TIMEOUT_MICROS = 250_000;
    /** An answer that is being passed on and of which nothing comes for so long is over. */
    private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final Transport transport;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final long maxIdleNanos;
    private final int maxConnections;
    /** By server, from its first line as ready until it drains or goes. */
    private final Map<Long, Pool> pools = new HashMap<>();

    private int connections;
    private int attemptCount;
    private final ResourceAccount connectionAccount;
    private final ResourceAccount responseAccount;

    /** What is kept for one server at one address. */
    private static final class Pool {
        final InetSocketAddress address;
        final long quietPeriodNanos;
        /** Most recently used first: what is not needed grows old and is closed. */
        final Deque<Connection> idle = new ArrayDeque<>();

        final Set<Attempt> connecting = new LinkedHashSet<>();
        boolean retired;

        Pool(InetSocketAddress address, long quietPeriodNanos) {
            this.address = address;
            this.quietPeriodNanos = quietPeriodNanos;
        }

        void closeIdle() {
            while (!idle.isEmpty()) {
                idle.pollFirst().channel.close();
            }
        }
    }

    /**
     * Nothing is connected yet.
     *
     * @param transport its loop, clock and network
     * @param maxConnections connections held at the most
     * @param connectTimeoutMicros a connection not up by then has failed
     * @param idleCloseMicros servers close a connection that has been idle for this long
     * @param budget of the agent
     */
    protected PooledUpstream(
            Transport transport,
            int maxConnections,
            long connectTimeoutMicros,
            long idleCloseMicros,
            ResourceBudget budget) {
        this.connectionAccount = budget.of(ResourcePurpose.SERVER_CONNECTIONS);
        this.responseAccount = budget.of(ResourcePurpose.SERVER_ANSWERS);
        this.transport = transport;
        this.loop = transport.loop();
        this.maxConnections = maxConnections;
        this.maxIdleNanos = (long) (1000 * MAX_IDLE_FRACTION * idleCloseMicros);
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(transport.dialers())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (connectTimeoutMicros / 1000))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, BufferLimits.receiveBufferAllocator())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, BufferLimits.WRITE_WATER_MARK)
                .disableResolver(); // addresses are literal; the usual resolvers would keep the loop for ever
        loop.scheduleWithFixedDelay(this::closeExpired, SWEEP_SECONDS, SWEEP_SECONDS, TimeUnit.SECONDS);
    }

    // ---- What a protocol adds ----

    /** Sets up a new connection: its codec, and a {@link Reader} behind it. */
    protected abstract void initPipeline(Connection connection, ChannelPipeline pipeline);

    /**
     * What is written for a request.
     *
     * @param request as it was handed in
     * @param attemptNumber of the attempt
     * @param millisLeft of its time, at least 1; 0 if it has no limit
     */
    protected abstract Object requestMessage(Payload request, int attemptNumber, long millisLeft);

    /** A piece of a request's body, as it is written; for protocols that have such. */
    protected Object bodyChunk(ByteBuf chunk) {
        return chunk;
    }

    /** What is written behind the last piece. */
    protected Object bodyEnd() {
        return Unpooled.EMPTY_BUFFER;
    }

    /** The request that asks for a server's health. */
    protected abstract Payload probe();

    /** The last byte of an attempt's request has left. */
    protected void requestSent(Attempt attempt) {}

    /** Where a listed server is reached by this protocol, or null if it is not. */
    protected InetSocketAddress address(Endpoint endpoint) {
        return endpoint.address();
    }

    // ---- Servers ----

    @Override
    public void updateServer(Endpoint endpoint) {
        long id = endpoint.server().id();
        Pool pool = pools.get(id);
        InetSocketAddress address = address(endpoint);
        if (endpoint.server().phase() != Balancer.Phase.READY || address == null) {
            removeServer(id);
        } else if (pool == null || !pool.address.equals(address)) {
            removeServer(id); // Guards against using what leads to the address that it had before.
            pools.put(id, new Pool(address, QUIET_PERIOD_NANOS));
        }
    }

    /** The agent itself as a server: nothing but its answers comes from it, so connections need no rest. */
    public void addSelf(long id, InetSocketAddress address) {
        pools.put(id, new Pool(address, 0));
    }

    /**
     * Nothing new goes to this server, and nothing is kept for it but by the attempts that are out. Guards
     * against a request that is written when its connection comes up only after the drain was told, and
     * against memory and connections kept for servers that will never come back.
     */
    @Override
    public void removeServer(long server) {
        Pool pool = pools.remove(server);
        if (pool != null) {
            pool.retired = true;
            List.copyOf(pool.connecting).forEach(each -> each.end(Outcome.NEVER_SENT));
            pool.closeIdle();
        }
    }

    @Override
    public void closeIdle(long server) {
        Pool pool = pools.get(server);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    @Override
    public int serverCount() {
        return pools.size();
    }

    private void closeExpired() {
        for (Pool pool : pools.values()) {
            while (!pool.idle.isEmpty() && pool.idle.peekLast().isExpired()) {
                pool.idle.pollLast().channel.close();
            }
        }
    }

    /** Makes room under the limit on sockets by closing the connection that has been idle for longest. */
    private boolean ensureCapacity() {
        if (connections < maxConnections && !connectionAccount.full()) {
            return true;
        }
        Connection oldest = null;
        for (Pool pool : pools.values()) {
            Connection last = pool.idle.peekLast();
            if (last != null && (oldest == null || last.idleSinceNanos - oldest.idleSinceNanos < 0)) {
                oldest = last;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.channel.close();
        return connections < maxConnections && !connectionAccount.full();
    }

    /** Takes the most recently used connection that has rested and was silent meanwhile, or none. */
    private Connection takeIdle(Pool pool) {
        long now = transport.nanos();
        Connection usable = null;
        List<Connection> unusable = null;
        for (Iterator<Connection> iterator = pool.idle.iterator(); usable == null && iterator.hasNext(); ) {
            Connection connection = iterator.next();
            if (now - connection.idleSinceNanos >= pool.quietPeriodNanos) {
                iterator.remove();
                if (!connection.isExpired() && transport.silent(connection.channel)) {
                    usable = connection;
                } else {
                    unusable = unusable == null ? new ArrayList<>() : unusable;
                    unusable.add(connection);
                }
            }
        }
        if (unusable != null) {
            unusable.forEach(connection -> connection.channel.close()); // not while the pool is being looked through
        }
        return usable;
    }

    // ---- Attempts ----

    @Override
    public Upstream.Attempt send(long server, Payload request, long timeoutMicros, Listener listener) {
        Attempt attempt = new Attempt(request, timeoutMicros, listener);
        attempt.start(server);
        return attempt;
    }

    @Override
    public void probe(long server, Listener listener) {
        new Attempt(probe(), PROBE_TIMEOUT_MICROS, listener).start(server);
    }

    /** One request on its way to a server, or a probe. */
    protected final class Attempt implements Upstream.Attempt {
        private final Payload request;
        private final int number = ++attemptCount;
        private final Listener listener;
        private final long deadlineNanos;
        private final boolean hasDeadline;
        private final Future<?> timeoutTimer;
        private Pool pool;
        private Connection connection;
        private Channel connectingChannel;
        private boolean requestSent;
        private boolean ended;
        /** Its answer, where that is passed on in pieces; and when the server last gave some. */
        private BodyStream responseStream;

        private long lastProgressNanos;

        private Attempt(Payload request, long timeoutMicros, Listener listener) {
            this.request = request;
            this.listener = listener;
            this.hasDeadline = timeoutMicros > 0;
            this.deadlineNanos = transport.nanos() + 1000 * timeoutMicros;
            this.timeoutTimer = hasDeadline
                    ? loop.schedule(() -> end(Outcome.TIMEOUT), timeoutMicros, TimeUnit.MICROSECONDS)
                    : null;
        }

        /** What was handed in. */
        public Payload request() {
            return request;
        }

        /** Its number among those of the upstream, in the order in which they were made; it wraps around. */
        public int number() {
            return number;
        }

        private void start(long server) {
            pool = pools.get(server);
            if (pool == null) {
                end(Outcome.NEVER_SENT);
                return;
            }
            Connection idle = takeIdle(pool);
            if (idle != null) {
                write(idle);
            } else if (ensureCapacity()) {
                connect();
            } else {
                end(Outcome.NEVER_SENT); // Guards against running out of descriptors.
            }
        }

        private void connect() {
            Connection newConnection = new Connection(pool);
            pool.connecting.add(this);
            connections++;
            connectionAccount.add(1, 0);
            var connecting = bootstrap.clone().handler(newConnection).connect(pool.address);
            connectingChannel = connecting.channel();
            connectingChannel.closeFuture().addListener(closed -> {
                connections--;
                connectionAccount.give(0);
            });
            connecting.addListener(done -> {
                pool.connecting.remove(this);
                if (ended) {
                    connectingChannel.close();
                } else if (done.isSuccess()) {
                    write(newConnection);
                } else {
                    end(Outcome.CONNECT_FAILED);
                }
            });
        }

        /** The head of its answer has come. */
        public void responseStarted() {
            listener.onResponseStarted();
        }

        /** Its answer has begun and is passed on in pieces: from now on it may take as long as the server gives. */
        public void startStreaming(Payload response, BodyStream stream) {
            responseStream = stream;
            if (timeoutTimer != null) {
                timeoutTimer.cancel(false);
            }
            recordProgress();
            scheduleStallCheck();
            listener.onResponseStreaming(response);
        }

        /** The server has given something. */
        public void recordProgress() {
            lastProgressNanos = transport.nanos();
        }

        /** Guards against an answer that stops in the middle, held open for ever. */
        private void scheduleStallCheck() {
            loop.schedule(
                    () -> {
                        if (!ended) {
                            if (responseStream.isOpen()
                                    && !responseStream.isPaused()
                                    && transport.nanos() - lastProgressNanos > STALL_TIMEOUT_NANOS) {
                                end(Outcome.TIMEOUT);
                            } else {
                                scheduleStallCheck();
                            }
                        }
                    },
                    STALL_TIMEOUT_NANOS / 4,
                    TimeUnit.NANOSECONDS);
        }

        /** Writes the head at once and the body as it comes. */
        private void streamRequest(BodyStream upload) {
            if (timeoutTimer != null) {
                timeoutTimer.cancel(false);
            }
            Channel channel = connection.channel;
            connection.upload = upload;
            channel.writeAndFlush(requestMessage(request, number, 0)); // the caller's time counts from the last byte
            listener.onRequestStreaming();
            upload.attach(new BodyStream.Consumer() {
                @Override
                public boolean onChunk(ByteBuf chunk) {
                    if (ended) {
                        chunk.release();
                        return false;
                    }
                    channel.writeAndFlush(bodyChunk(chunk));
                    return channel.isWritable();
                }

                @Override
                public void onComplete() {
                    channel.writeAndFlush(bodyEnd()).addListener(done -> requestWritten(done.isSuccess()));
                }

                @Override
                public void onAbort() {
                    end(Outcome.CANCELLED);
                }
            });
        }

        private void requestWritten(boolean complete) {
            if (complete) {
                requestSent = true;
                requestSent(this);
                listener.onRequestSent();
            } else {
                end(Outcome.CONNECT_FAILED); // the last byte never left, so it cannot have begun
            }
        }

        private void write(Connection idleOrNew) {
            connection = idleOrNew;
            idleOrNew.attempt = this;
            if (request.bodyStream() != null) {
                streamRequest(request.bodyStream());
                return;
            }
            long millisLeft = hasDeadline ? Math.max(1, (deadlineNanos - transport.nanos()) / 1_000_000) : 0;
            idleOrNew
                    .channel
                    .writeAndFlush(requestMessage(request, number, millisLeft))
                    .addListener(done -> requestWritten(done.isSuccess()));
        }

        /** The connection has ended under the attempt. Before its last byte was written it did not run. */
        private void connectionLost() {
            end(requestSent ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }

        @Override
        public void cancel() {
            end(Outcome.CANCELLED);
        }

        private void end(Outcome outcome) {
            end(new Result(outcome, NO_LOAD, null, null), false);
        }

        /**
         * It has ended; what comes after its first end is disregarded.
         *
         * @param result how
         * @param reusable whether another attempt may follow on the connection
         */
        public void end(Result result, boolean reusable) {
            if (ended) {
                return;
            }
            ended = true;
            if (responseStream != null && responseStream.isOpen()) {
                responseStream.abort();
            }
            if (timeoutTimer != null) {
                timeoutTimer.cancel(false);
            }
            if (pool != null) {
                pool.connecting.remove(this);
            }
            if (connection != null) {
                connection.attempt = null;
                connection.upload = null;
                if (reusable && requestSent && !pool.retired) {
                    connection.idleSinceNanos = transport.nanos();
                    pool.idle.addFirst(connection);
                } else {
                    connection.channel.close(); // what may still come on it belongs to nobody
                }
            } else if (connectingChannel != null) {
                connectingChannel.close();
            }
            loop.execute(() -> listener.onResult(result));
        }
    }

    /** One connection to a server. */
    protected final class Connection extends ChannelInitializer<Channel> {
        private final Pool pool;
        private Channel channel;
        private Attempt attempt;
        /** The request that is leaving in pieces, or null. */
        private BodyStream upload;

        private long idleSinceNanos;

        private Connection(Pool pool) {
            this.pool = pool;
        }

        private boolean isExpired() {
            return transport.nanos() - idleSinceNanos >= maxIdleNanos;
        }

        @Override
        protected void initChannel(Channel ch) {
            channel = ch;
            initPipeline(this, ch.pipeline());
        }
    }

    /** Turns what arrives on a connection into the outcome of its attempt. */
    protected abstract class Reader extends SimpleChannelInboundHandler<Object> {
        private final Connection connection;
        /** Bytes of an answer that has come in part. */
        private int partialBytes;
        /** Whether the connection was reset: its end is not that of an answer. */
        protected boolean connectionReset;

        /** Of this connection. */
        protected Reader(Connection connection) {
            this.connection = connection;
        }

        /**
         * Something has been read.
         *
         * @return false if it is spoilt: nothing of it is served, and the attempt may have run
         */
        protected abstract boolean read(Attempt attempt, Object message);

        @Override
        protected final void channelRead0(ChannelHandlerContext ctx, Object message) {
            Attempt attempt = connection.attempt;
            if (attempt == null) {
                ctx.close(); // an answer to nothing
            } else if (!attempt.requestSent || !read(attempt, message)) {
                attempt.connectionLost(); // an answer before the request has left whole cannot be an answer to it
            }
        }

        /** Counts bytes of an answer that is not yet whole; false, and not counted, if there is no room. */
        protected final boolean reserve(int bytes) {
            if (!responseAccount.grow(bytes)) {
                return false;
            }
            partialBytes += bytes;
            return true;
        }

        /** The answer is whole and handed on, or nothing of it is kept. */
        protected final void release() {
            responseAccount.shrink(partialBytes);
            partialBytes = 0;
        }

        /** Reads on, or leaves what comes to the system until there is room. */
        protected final void setReading(boolean on) {
            connection.channel.config().setAutoRead(on);
        }

        /** Does something after a time, if the attempt has not ended by then. */
        protected final void runAfter(Attempt attempt, long delayMillis, Runnable action) {
            loop.schedule(
                    () -> {
                        if (!attempt.ended) {
                            action.run();
                        }
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public final void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (connection.upload != null && ctx.channel().isWritable()) {
                connection.upload.resume();
            }
        }

        @Override
        public final void channelInactive(ChannelHandlerContext ctx) {
            release();
            connection.pool.idle.remove(connection);
            if (connection.attempt != null) {
                connection.attempt.connectionLost();
            }
        }

        @Override
        public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            connectionReset = true;
            ctx.close(); // reset; what that means for the attempt is told by channelInactive
        }
    }
}
