package gatefront.connection;

import gatefront.budget.ResourceAccount;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.budget.StreamWindow;
import gatefront.engine.BodyStream;
import gatefront.engine.Payload;
import gatefront.engine.Upstream;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer;
import gatefront.policy.Balancer.Outcome;
import gatefront.silence.ResponseSilence;
import gatefront.silence.ServerRecord;
import gatefront.transport.Transport;
import gatefront.transport.UnopenedChannel;
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
 * Manages the connections to the servers: one pool for each server, one attempt at a time on each connection.
 * Subclasses add how a request is written and how a response is read. Runs on the agent's event loop; each result is
 * queued there and never delivered from within a call.
 */
public abstract class PooledUpstream implements Upstream {
    /** The result of an attempt without a load report. */
    protected static final double[] NO_LOAD = new double[0];
    /** Fraction of the servers' idle timeout after which a connection is not used again. */
    private static final double MAX_IDLE_FRACTION = 0.75;

    private static final long SWEEP_SECONDS = 1;
    /**
     * A connection is not used for this long after a response. Guards against a second copy or stray bytes right behind
     * the response, which would be taken for the response to the next request: they arrive within that time.
     */
    private static final long QUIET_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    /** Wait before a socket is opened again after a failure of this machine. */
    private static final long LOCAL_FAILURE_BACKOFF_MS = 10;
    /** Failures of this machine after which an attempt ends unsent: it is answered while the client is waiting. */
    private static final int MAX_LOCAL_FAILURES = 10;

    private static final long PROBE_TIMEOUT_MICROS = 250_000;

    private final Transport transport;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final long maxIdleNanos;
    private final int maxConnections;
    /** Pools by server id, from the first list entry that is ready until the server drains or is removed. */
    private final Map<Long, Pool> pools = new HashMap<>();

    private int connections;
    private int attemptCount;
    private final ResourceAccount connectionAccount;
    private final ResourceAccount responseAccount;
    /** Readers of incomplete responses that are held; the one that has received nothing for longest is first. */
    private final Set<Reader> partialResponses = new LinkedHashSet<>();
    /** Window of the responses that are streamed to clients. */
    private final StreamWindow responseWindow;

    private final StreamedResponses streamedResponses;

    /** The state kept for one server at one address. */
    private static final class Pool {
        final InetSocketAddress address;
        final long quietPeriodNanos;
        /** Idle connections, most recently used first, so that surplus ones expire and are closed. */
        final Deque<Connection> idle = new ArrayDeque<>();

        final Set<Attempt> connecting = new LinkedHashSet<>();
        final ServerRecord record = new ServerRecord();
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
     * Creates an upstream without connections.
     *
     * @param transport provides the event loop, clock and network
     * @param maxConnections largest number of open connections
     * @param connectTimeoutMicros time after which an attempt to connect has failed
     * @param idleCloseMicros time after which servers close an idle connection
     * @param budget resource budget of the agent
     */
    protected PooledUpstream(
            Transport transport,
            int maxConnections,
            long connectTimeoutMicros,
            long idleCloseMicros,
            ResourceBudget budget) {
        this.connectionAccount = budget.account(ResourcePurpose.SERVER_CONNECTIONS);
        this.responseAccount = budget.account(ResourcePurpose.SERVER_ANSWERS);
        this.responseWindow = new StreamWindow(budget.account(ResourcePurpose.ANSWERS));
        this.streamedResponses = new StreamedResponses(transport);
        budget.addReclaimer(() -> streamedResponses.endLongestStalled("connections or memory are scarce"));
        this.transport = transport;
        this.loop = transport.loop();
        this.maxConnections = maxConnections;
        this.maxIdleNanos = (long) (1000 * MAX_IDLE_FRACTION * idleCloseMicros);
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(UnopenedChannel.insteadOfFailureOf(transport.clientChannels()))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (connectTimeoutMicros / 1000))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, BufferLimits.receiveBufferAllocator(responseWindow::bytes))
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, BufferLimits.WRITE_WATER_MARK)
                // Addresses are literal; Netty's default resolvers would hold on to the loop for ever.
                .disableResolver();
        loop.scheduleWithFixedDelay(this::closeExpired, SWEEP_SECONDS, SWEEP_SECONDS, TimeUnit.SECONDS);
    }

    // ---- Protocol ----

    /** Sets up the pipeline of a new connection: its codec, followed by a {@link Reader}. */
    protected abstract void initPipeline(Connection connection, ChannelPipeline pipeline);

    /**
     * Returns the message to write for a request.
     *
     * @param request the payload passed to {@link #send}
     * @param attemptNumber number of the attempt
     * @param millisLeft time until the attempt times out, in milliseconds, at least 1; 0 if it has no timeout
     */
    protected abstract Object requestMessage(Payload request, int attemptNumber, long millisLeft);

    /** Returns the message to write for a chunk of a streamed request body, in protocols that have them. */
    protected Object bodyChunk(ByteBuf chunk) {
        return chunk;
    }

    /** Returns the message to write after the last chunk. */
    protected Object bodyEnd() {
        return Unpooled.EMPTY_BUFFER;
    }

    /** Returns the request that probes a server's health. */
    protected abstract Payload probe();

    /** Called when the last byte of an attempt's request has been sent. */
    protected void onRequestSent(Attempt attempt) {}

    /** Returns the address of a listed server for this protocol, or null if it has none. */
    protected InetSocketAddress address(Endpoint endpoint) {
        return endpoint.address();
    }

    // ---- Servers ----

    @Override
    public void updateServer(Endpoint endpoint) {
        long id = endpoint.server().id();
        streamedResponses.serverListed(id, endpoint.server().startedAt());
        Pool pool = pools.get(id);
        InetSocketAddress address = address(endpoint);
        if (endpoint.server().phase() != Balancer.Phase.READY || address == null) {
            removeServer(id);
        } else if (pool == null || !pool.address.equals(address)) {
            removeServer(id); // Guards against using connections to the server's former address.
            pools.put(id, new Pool(address, QUIET_PERIOD_NANOS));
        }
    }

    /** Adds the agent itself as a server. It sends nothing but its responses, so connections need no quiet period. */
    public void addSelf(long id, InetSocketAddress address) {
        pools.put(id, new Pool(address, 0));
    }

    /**
     * Stops sending to a server, and drops all state but that of outstanding attempts. Guards against a request written
     * on a connection that is established only after the server started to drain, and against memory and connections
     * kept for servers that never come back.
     */
    @Override
    public void removeServer(long server) {
        Pool pool = pools.remove(server);
        if (pool != null) {
            pool.retired = true;
            List.copyOf(pool.connecting).forEach(attempt -> attempt.end(Outcome.NEVER_SENT));
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

    @Override
    public void stopWaitingForSilentServers() {
        streamedResponses.stopWaiting();
    }

    /**
     * Returns whether another connection may be opened; at the limit, closes the connection that has been idle for
     * longest, or ends the response that is stalled for longest.
     */
    private boolean ensureCapacity() {
        if (hasCapacity()) {
            return true;
        }
        Connection oldest = null;
        for (Pool pool : pools.values()) {
            Connection last = pool.idle.peekLast();
            if (last != null && (oldest == null || last.idleSinceNanos - oldest.idleSinceNanos < 0)) {
                oldest = last;
            }
        }
        if (oldest != null) {
            oldest.channel.close();
        } else {
            streamedResponses.endLongestStalled("connections to servers are scarce");
        }
        return hasCapacity();
    }

    private boolean hasCapacity() {
        return connections < maxConnections && !connectionAccount.isFull();
    }

    /** Takes the most recently used connection that stayed silent for its quiet period, or returns null. */
    private Connection takeIdle(Pool pool) {
        long now = transport.nanos();
        Connection usable = null;
        List<Connection> unusable = null;
        for (Iterator<Connection> iterator = pool.idle.iterator(); usable == null && iterator.hasNext(); ) {
            Connection connection = iterator.next();
            if (now - connection.idleSinceNanos >= pool.quietPeriodNanos) {
                iterator.remove();
                if (!connection.isExpired() && transport.hasNoUnreadInput(connection.channel)) {
                    usable = connection;
                } else {
                    unusable = unusable == null ? new ArrayList<>() : unusable;
                    unusable.add(connection);
                }
            }
        }
        if (unusable != null) {
            // Closing a channel modifies the pool, so this must not happen during the iteration.
            unusable.forEach(connection -> connection.channel.close());
        }
        return usable;
    }

    private void traceConnection(Channel channel, String event) {
        if (transport.trace().isEnabled()) {
            transport.trace().connection("server", channel, event);
        }
    }

    // ---- Attempts ----

    @Override
    public Upstream.Attempt send(long server, Payload request, long timeoutMicros, Listener listener) {
        Attempt attempt = new Attempt(request, timeoutMicros, listener, false);
        attempt.start(server);
        return attempt;
    }

    @Override
    public void probe(long server, Listener listener) {
        new Attempt(probe(), PROBE_TIMEOUT_MICROS, listener, true).start(server);
    }

    /** One sending of a request to a server, or a probe. */
    protected final class Attempt implements Upstream.Attempt, StreamedResponses.Response {
        private final Payload request;
        private final int number = ++attemptCount;
        private final Listener listener;
        private final long deadlineNanos;
        private final boolean hasDeadline;
        private final Future<?> timeoutTimer;
        private final boolean isProbe;
        private final long startWallMicros = transport.wallMicros();
        private long server;
        private Pool pool;
        private Connection connection;
        private Channel connectingChannel;
        /** How often this machine could not open or connect a socket for the attempt. */
        private int localFailures;

        private boolean requestStarted;
        private boolean requestSent;
        private boolean ended;
        /** The response if it is being streamed, else null. */
        private BodyStream responseStream;
        /** Sends the request if it is streamed; null otherwise. */
        private UploadWriter uploadWriter;

        /** The silence of the server in the streamed response; null before that begins. */
        private ResponseSilence silence;

        private Attempt(Payload request, long timeoutMicros, Listener listener, boolean isProbe) {
            this.request = request;
            this.isProbe = isProbe;
            this.listener = listener;
            this.hasDeadline = timeoutMicros > 0;
            this.deadlineNanos = transport.nanos() + 1000 * timeoutMicros;
            this.timeoutTimer =
                    hasDeadline ? loop.schedule(this::timedOut, timeoutMicros, TimeUnit.MICROSECONDS) : null;
        }

        /** Returns the payload passed to {@link #send}. */
        public Payload request() {
            return request;
        }

        /** Returns the number of the attempt, counted up by the upstream; it wraps around. */
        public int number() {
            return number;
        }

        private void start(long chosenServer) {
            server = chosenServer;
            pool = pools.get(chosenServer);
            if (pool == null) {
                end(Outcome.NEVER_SENT);
                return;
            }
            Connection idle = takeIdle(pool);
            if (idle != null) {
                write(idle);
            } else if (!listener.isStillWanted()) {
                end(Outcome.NEVER_SENT);
            } else if (ensureCapacity()) {
                connect();
            } else {
                end(Outcome.NEVER_SENT); // Guards against running out of file descriptors.
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
                connectionAccount.release(0);
            });
            connecting.addListener(done -> {
                if (ended) {
                    connecting.channel().close();
                } else if (done.isSuccess()) {
                    pool.connecting.remove(this);
                    write(newConnection);
                } else {
                    connectFailed(done.cause());
                }
            });
        }

        private void connectFailed(Throwable cause) {
            traceConnection(connectingChannel, "connect failed, " + cause);
            if (!LocalFailure.isLocal(cause)) {
                end(Outcome.CONNECT_FAILED);
            } else if (localFailures++ < MAX_LOCAL_FAILURES) {
                loop.schedule(this::connectAgain, LOCAL_FAILURE_BACKOFF_MS, TimeUnit.MILLISECONDS);
            } else {
                end(Outcome.NEVER_SENT);
            }
        }

        /** Connects again after a failure of this machine; meanwhile the attempt still counts as connecting. */
        private void connectAgain() {
            if (ended) {
                return;
            }
            if (!listener.isStillWanted()) {
                end(Outcome.NEVER_SENT);
            } else if (ensureCapacity()) {
                connect();
            } else {
                end(Outcome.NEVER_SENT);
            }
        }

        /** Reports that the head of the response has arrived. */
        public void responseStarted() {
            listener.onResponseStarted();
        }

        /** Streams the response from now on: the timeout ends, and only the server's silence ends the attempt. */
        public void startStreaming(Payload response, BodyStream stream) {
            responseStream = stream;
            if (timeoutTimer != null) {
                timeoutTimer.cancel(false);
            }
            silence = new ResponseSilence(pool.record, streamedResponses.nowNanos());
            streamedResponses.add(this);
            listener.onResponseStreaming(response);
        }

        /** Records that the server has sent some of the response. */
        public void recordProgress() {
            silence.received(streamedResponses.nowNanos());
        }

        @Override
        public long server() {
            return server;
        }

        @Override
        public ResponseSilence silence() {
            return silence;
        }

        @Override
        public boolean isOlderThan(long serverStartedAtMicros) {
            return serverStartedAtMicros > startWallMicros;
        }

        @Override
        public boolean isPaused() {
            return responseStream.isPaused();
        }

        @Override
        public boolean reportStall() {
            return listener.onResponseStalled();
        }

        @Override
        public void abort(String reason) {
            traceConnection(
                    connection.channel,
                    "the streamed response is ended, " + reason + ", after "
                            + TimeUnit.NANOSECONDS.toMillis(streamedResponses.nowNanos() - silence.sinceNanos())
                            + " ms without input");
            end(Outcome.TIMEOUT);
        }

        /** Writes the head at once, and the body as it arrives. */
        private void streamRequest(BodyStream upload) {
            if (timeoutTimer != null) {
                timeoutTimer.cancel(false);
            }
            Channel channel = connection.channel;
            channel.writeAndFlush(requestMessage(request, number, 0)); // the timeout counts from the last byte
            listener.onRequestStreaming();
            uploadWriter = new UploadWriter(loop, channel, upload, new UploadWriter.Owner() {
                @Override
                public boolean isStillWanted() {
                    return listener.isStillWanted();
                }

                @Override
                public Object chunkMessage(ByteBuf chunk) {
                    return bodyChunk(chunk);
                }

                @Override
                public Object endMessage() {
                    return bodyEnd();
                }

                @Override
                public void written(boolean complete) {
                    requestWritten(complete);
                }

                @Override
                public void cancelled() {
                    end(Outcome.CANCELLED);
                }

                @Override
                public void serverStoppedReading(long takenBytes) {
                    traceConnection(
                            channel, "the server has stopped reading the request after " + takenBytes + " bytes");
                    end(Outcome.CONNECT_FAILED); // the last byte was not sent, so the request cannot have run
                }
            });
            uploadWriter.start();
        }

        private void requestWritten(boolean complete) {
            if (complete) {
                requestSent = true;
                onRequestSent(this);
                listener.onRequestSent();
            } else {
                end(Outcome.CONNECT_FAILED); // the last byte was not sent, so the request cannot have run
            }
        }

        private void write(Connection idleOrNew) {
            connection = idleOrNew;
            idleOrNew.attempt = this;
            if (!listener.isStillWanted()) {
                end(Outcome.NEVER_SENT);
                return;
            }
            if (hasDeadline && transport.nanos() - deadlineNanos >= 0) {
                end(Outcome.NEVER_SENT); // the loop was held up; the timeout's timer is about to run
                return;
            }
            requestStarted = true;
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

        /** The connection was closed during the attempt. If the last byte was not sent, the request did not run. */
        private void connectionLost() {
            end(requestSent ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }

        private void timedOut() {
            if (!streamBegunResponse()) {
                end(connection == null && localFailures > 0 ? Outcome.NEVER_SENT : Outcome.TIMEOUT);
            }
        }

        /** A streamed response has no timeout. What has just been read may begin one, too. */
        @Override
        public boolean streamBegunResponse() {
            readArrived();
            if (!ended && responseStream == null && connection != null) {
                connection.reader.streamBegunResponse(this);
            }
            return !ended && responseStream != null;
        }

        /** Guards against blaming the server for a response that arrived while the loop was held up. */
        @Override
        public void readArrived() {
            if (!ended && connection != null) {
                transport.readArrivedInput(connection.channel);
            }
        }

        @Override
        public void cancel() {
            end(Outcome.CANCELLED);
        }

        private void end(Outcome outcome) {
            end(new Result(outcome, NO_LOAD, null, null), false);
        }

        /**
         * Ends the attempt; calls after the first are ignored.
         *
         * @param result the result to report
         * @param reusable whether the connection may be used for another attempt
         */
        public void end(Result result, boolean reusable) {
            if (ended) {
                return;
            }
            ended = true;
            if (uploadWriter != null) {
                uploadWriter.stop();
            }
            streamedResponses.remove(this);
            recordServerActivity(result.outcome());
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
                boolean clean = !requestStarted || reusable && requestSent;
                if (clean && !pool.retired && connection.channel.isActive()) {
                    connection.idleSinceNanos = transport.nanos();
                    pool.idle.addFirst(connection);
                } else {
                    connection.channel.close(); // whatever still arrives belongs to no attempt
                }
            } else if (connectingChannel != null) {
                connectingChannel.close();
            }
            loop.execute(() -> listener.onResult(result));
        }

        private void recordServerActivity(Outcome outcome) {
            boolean responded = outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.FULL;
            if (responded && !isProbe) { // a server may answer probes, and nothing else
                pool.record.heard(streamedResponses.nowNanos());
            }
            if (outcome == Outcome.FULL) {
                // As a task, and not while a channel is being read: a response of another one may be ended.
                loop.execute(() -> streamedResponses.serverTurnedAway(server));
            }
        }
    }

    /** One connection to a server. */
    protected final class Connection extends ChannelInitializer<Channel> {
        private final Pool pool;
        private Channel channel;
        private Reader reader;
        private Attempt attempt;
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

    /** Turns what arrives on a connection into the result of its attempt. */
    protected abstract class Reader extends SimpleChannelInboundHandler<Object> {
        private final Connection connection;
        /** Reserved bytes of a response that is not yet complete. */
        private int partialBytes;
        /** Whether the connection was reset, so that its end does not complete a response. */
        protected boolean connectionReset;

        /** Creates a reader for {@code connection}. */
        protected Reader(Connection connection) {
            this.connection = connection;
            connection.reader = this;
        }

        /**
         * Begins to stream the attempt's response, in protocols that can, if its head has arrived and its length is not
         * known.
         */
        protected void streamBegunResponse(Attempt attempt) {}

        /**
         * Handles a decoded message.
         *
         * @return false if the response is invalid: nothing of it is served, and the request may have run
         */
        protected abstract boolean read(Attempt attempt, Object message);

        @Override
        protected final void channelRead0(ChannelHandlerContext ctx, Object message) {
            Attempt attempt = connection.attempt;
            if (attempt == null) {
                traceConnection(ctx.channel(), "input without an attempt");
                ctx.close();
            } else if (!attempt.requestSent || !read(attempt, message)) {
                // A response that arrives before the whole request was sent cannot belong to it.
                attempt.connectionLost();
            }
        }

        /**
         * Reserves bytes for an incomplete response. If the budget is exhausted, the attempts end whose responses have
         * been silent for longest; returns false, and reserves nothing, if there are none but this one.
         */
        protected final boolean reserve(int bytes) {
            while (!responseAccount.tryGrow(bytes)) {
                Reader slowest = slowestOther();
                if (slowest == null) {
                    return false;
                }
                slowest.discard();
            }
            partialBytes += bytes;
            partialResponses.remove(this);
            partialResponses.add(this); // behind those that have received nothing meanwhile
            return true;
        }

        private Reader slowestOther() {
            for (Reader reader : partialResponses) {
                if (reader != this) {
                    return reader;
                }
            }
            return null;
        }

        private void discard() {
            traceConnection(
                    connection.channel,
                    "its response is discarded after " + partialBytes + " bytes, " + responseAccount.bytes()
                            + " bytes are held of at most " + responseAccount.bytesCap());
            release();
            if (connection.attempt != null) {
                connection.attempt.connectionLost();
            }
        }

        /** Releases the reserved bytes: the response was handed over or discarded. */
        protected final void release() {
            responseAccount.shrink(partialBytes);
            partialBytes = 0;
            partialResponses.remove(this);
        }

        /** Returns the window of a response that is streamed to its client. */
        protected final StreamWindow responseWindow() {
            return responseWindow;
        }

        /** Turns reading from the connection on or off. */
        protected final void setReading(boolean on) {
            connection.channel.config().setAutoRead(on);
        }

        /** Runs {@code action} after a delay unless the attempt has ended by then. */
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
        public final void channelInactive(ChannelHandlerContext ctx) {
            traceConnection(ctx.channel(), connection.attempt == null ? "closed" : "closed during an attempt");
            release();
            connection.pool.idle.remove(connection);
            if (connection.attempt != null) {
                connection.attempt.connectionLost();
            }
        }

        @Override
        public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            connectionReset = true;
            traceConnection(ctx.channel(), "broken, " + cause);
            ctx.close(); // channelInactive decides what the reset means for the attempt
        }
    }
}
