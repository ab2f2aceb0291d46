package gatefront.connection;

import gatefront.budget.ResourceAccount;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.budget.StreamWindow;
import gatefront.engine.ClientPresence;
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
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Manages the connections of clients: their number, their timeouts and how they are closed. Subclasses add the
 * protocol. Runs on the agent's event loop.
 */
public abstract class AbstractFrontend implements Frontend {
    /** The state of a connection. */
    protected enum State {
        /** Accepted; no byte has been received. */
        NEW,
        /** Part of a request has been received. */
        READING_REQUEST,
        /** Kept open after a response. */
        KEEP_ALIVE,
        /** A request waits for its response. */
        AWAITING_RESPONSE,
        /** A response is being streamed; re-entered whenever the client has read some of it. */
        STREAMING_RESPONSE,
        /** The last response of the connection is being written. */
        WRITING_LAST_RESPONSE,
        /** Output is shut down; the client is reading the last response. */
        LINGERING
    }

    /** Longest time from accepting a connection to its first byte. */
    private static final long FIRST_BYTE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Longest time for the head of a request, and then between two chunks of its body. */
    private static final long READ_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    /** Keep-alive timeout. */
    private static final long KEEP_ALIVE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Keep-alive timeout under pressure, and the idle time before a connection may be closed to admit another. */
    private static final long MIN_KEEP_ALIVE_NANOS = TimeUnit.SECONDS.toNanos(2);
    /**
     * Active time before a silent new connection may be closed to admit another: its first request may be on its way.
     */
    private static final long MIN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Longest time for writing the last response of a connection. */
    private static final long LAST_WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Longest time for which a client may read nothing of a streamed response. */
    private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Longest time for which a connection lingers so that the client can read the last response. */
    private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Largest number of connections that linger at the same time. */
    private static final int MAX_LINGERING = 16;
    /**
     * Fraction of the connection limit from which on idle connections are closed sooner and every connection is closed
     * after its next response.
     */
    private static final double PRESSURE_FRACTION = 0.6;

    /** Slow readers are closed at once from this multiple of the cap on unread responses. */
    private static final int MAX_RESPONSE_OVERCOMMIT = 2;
    /** Time without reading after which a client is closed if the cap on unread responses is reached. */
    private static final long MIN_STALL_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** What a response holds besides its body: its head and the buffers' own objects. */
    private static final int RESPONSE_OVERHEAD_BYTES = 256;

    /** While there is no memory for others, a request in part is discarded once it has been arriving for so long. */
    public static final long MIN_DISCARD_MS = 100;

    /** Bounds the input that is read at once from a client that keeps sending what is not wanted yet. */
    private static final int MAX_READS_AHEAD = 16;
    /** What is read ahead on one connection may take this multiple of the window of a streamed body. */
    private static final int MAX_READ_AHEAD_WINDOWS = 8;

    /**
     * How much later than it was sent a client's request may be counted. An idle loop polls its sockets at intervals of
     * {@link #SWEEP_MS}, so that this much is not known.
     */
    private static final long MAX_UNCOUNTED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Pause after a failure to accept. */
    private static final long ACCEPT_RETRY_MS = 10;

    private static final long ACCEPT_FAILURE_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long SWEEP_MS = 100;
    /** Interval at which active time is counted while connections or resources are getting scarce. */
    private static final long ACTIVE_TIME_TICK_MS = 20;

    private static final long MAX_ACTIVE_TIME_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * ACTIVE_TIME_TICK_MS);

    private final Transport transport;
    private final InetSocketAddress listenAddress;
    private final int maxConnections;
    private final ServerBootstrap bootstrap;
    private Channel serverChannel;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** The connections by state; in each set, the one that entered the state first comes first. */
    private final Map<State, Set<Connection>> connectionsByState = new EnumMap<>(State.class);

    private final ResourceBudget budget;
    private final ResourceAccount connectionAccount;
    private final ResourceAccount requestAccount;
    private final ResourceAccount responseAccount;
    /** Window of the request bodies that are streamed to servers. */
    private final StreamWindow requestWindow;
    /** Connections with responses that are not written yet; the one that has read nothing for longest is first. */
    private final Set<Connection> slowReaders = new LinkedHashSet<>();
    /** Knows since when connections may have waited to be accepted. */
    private final AcceptQueue acceptQueue;
    /** Counts while connections or resources are scarce; the silence of new connections is measured by it. */
    private final ActiveTime activeTime = new ActiveTime(MAX_ACTIVE_TIME_GAP_NANOS);

    private boolean evictionScheduled;
    /** Whether slow readers are about to be closed. */
    private boolean slowReaderCheckScheduled;
    /** Whether accepting has failed and is about to be tried again. */
    private boolean acceptRetryPending;

    private boolean hasLoggedAcceptFailure;
    private long acceptFailureLoggedNanos;
    private boolean markedNotReady;
    /** Whether each connection is closed after its next response, because the agent is shutting down. */
    private boolean closeAfterResponse;

    /**
     * Creates a frontend that does not listen before {@link #listen()} is called.
     *
     * @param transport provides the event loop, clock and network
     * @param listenAddress address to listen on
     * @param maxConnections largest number of open connections
     * @param budget resource budget of the agent
     */
    protected AbstractFrontend(
            Transport transport, InetSocketAddress listenAddress, int maxConnections, ResourceBudget budget) {
        this.budget = budget;
        this.connectionAccount = budget.account(ResourcePurpose.CALLER_CONNECTIONS);
        this.requestAccount = budget.account(ResourcePurpose.REQUESTS);
        this.responseAccount = budget.account(ResourcePurpose.ANSWERS);
        this.requestWindow = new StreamWindow(requestAccount);
        budget.addRecount(ResourcePurpose.CALLER_CONNECTIONS, () -> new ResourceBudget.Count(connections.size(), 0));
        budget.addRecount(
                ResourcePurpose.REQUESTS,
                () -> new ResourceBudget.Count(
                        0,
                        connections.stream()
                                .mapToLong(connection -> connection.heldBytes)
                                .sum()));
        this.transport = transport;
        this.listenAddress = listenAddress;
        this.maxConnections = maxConnections;
        for (State state : State.values()) {
            connectionsByState.put(state, new LinkedHashSet<>());
        }
        acceptQueue = new AcceptQueue(transport, this::acceptFailed);
        bootstrap = new ServerBootstrap()
                .group(transport.loop())
                .channelFactory(transport.sharedServerChannels())
                .handler(acceptQueue)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, BufferLimits.receiveBufferAllocator(requestWindow::bytes))
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, BufferLimits.WRITE_WATER_MARK)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        initPipeline((DuplexChannel) ch);
                    }
                });
    }

    /** Sets up the pipeline of a new connection: its codec, followed by a {@link Connection}. */
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
        markedNotReady = true;
    }

    @Override
    public void handOver() {
        markedNotReady = true;
        closeAfterResponse = true;
        transport.closeSharedListener(serverChannel);
    }

    @Override
    public void drain() {
        closeAfterResponse = true;
        closeSilent(List.copyOf(connectionsByState.get(State.NEW)), "draining");
        closeSilent(List.copyOf(connectionsByState.get(State.KEEP_ALIVE)), "draining");
    }

    @Override
    public void stopListening() {
        transport.closeSharedListener(serverChannel);
        drain();
        closeSilent(List.copyOf(connectionsByState.get(State.READING_REQUEST)), "the listener is closed");
    }

    private void closeSilent(List<Connection> candidates, String reason) {
        candidates.forEach(connection -> connection.closeIfSilent(reason));
    }

    @Override
    public boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Returns whether health checks get the response "not ready". */
    protected final boolean isMarkedNotReady() {
        return markedNotReady;
    }

    /** Returns whether a connection is closed after its next response: at shutdown, and under pressure. */
    protected final boolean closesAfterResponse() {
        return closeAfterResponse || isUnderPressure();
    }

    /**
     * Keeps the number of connections under the limit. Guards against running out of file descriptors, which would end
     * the agent, and against silent or forgotten connections shutting out others: those are closed, the longest silent
     * first. While none can be closed, no connection is accepted: one in use must not be closed unannounced, as its
     * next request may be on its way.
     */
    private void enforceConnectionLimit() {
        if (isAtConnectionLimit() && !evictionScheduled) {
            // As a task, and not while a channel is being read: closing reads from other channels.
            evictionScheduled = true;
            transport.loop().execute(this::evictSilentConnections);
        }
        if (isUnderPressure() && !activeTime.isRunning()) {
            activeTime.start(transport.nanos());
            scheduleActiveTimeTick();
        }
        updateAccepting();
    }

    private void scheduleActiveTimeTick() {
        transport.loop().schedule(this::advanceActiveTime, ACTIVE_TIME_TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void advanceActiveTime() {
        activeTime.advance(transport.nanos());
        if (isUnderPressure()) {
            scheduleActiveTimeTick();
        } else {
            activeTime.stop();
        }
    }

    private void evictSilentConnections() {
        evictionScheduled = false;
        endStalledResponses();
        while (isAtConnectionLimit()) {
            Connection oldest = oldestEvictable();
            if (oldest == null) {
                break;
            }
            if (oldest.closeIfSilent("evicted to admit another") && connectionAccount.isFull()) {
                break; // it leaves the account once its output is flushed; the next sweep sees that
            }
        }
        updateAccepting();
    }

    /** Returns whether a connection has to be closed before another is accepted; those being closed do not count. */
    private boolean isAtConnectionLimit() {
        int closing = connectionsByState.get(State.LINGERING).size()
                + connectionsByState.get(State.WRITING_LAST_RESPONSE).size();
        return connections.size() - closing >= maxConnections || connectionAccount.isFull();
    }

    private Connection oldestEvictable() {
        Connection oldest = oldestInState(State.NEW);
        if (oldest != null && activeTime.elapsedNanos() - oldest.stateSinceActiveNanos >= MIN_SILENCE_NANOS) {
            return oldest;
        }
        oldest = oldestInState(State.KEEP_ALIVE);
        return oldest != null && transport.nanos() - oldest.stateSinceNanos >= MIN_KEEP_ALIVE_NANOS ? oldest : null;
    }

    /**
     * Pauses accepting for a moment. Guards against a loop that does nothing but fail to accept, for want of
     * descriptors or memory in the whole system; the pause is short, as clients are waiting in the accept queue.
     */
    private void acceptFailed(Throwable cause) {
        long nowNanos = transport.nanos();
        if (!hasLoggedAcceptFailure || nowNanos - acceptFailureLoggedNanos >= ACCEPT_FAILURE_LOG_INTERVAL_NANOS) {
            hasLoggedAcceptFailure = true;
            acceptFailureLoggedNanos = nowNanos;
            transport.log("accepting connections failed, tried again each " + ACCEPT_RETRY_MS + " ms: " + cause);
        }
        acceptRetryPending = true;
        updateAccepting();
        transport
                .loop()
                .schedule(
                        () -> {
                            acceptRetryPending = false;
                            updateAccepting();
                        },
                        ACCEPT_RETRY_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void updateAccepting() {
        boolean accepting = !acceptRetryPending && connections.size() < maxConnections && !connectionAccount.isFull();
        if (!accepting) {
            acceptQueue.paused();
        }
        serverChannel.config().setAutoRead(accepting);
    }

    /** Returns the connection that has been in a state for longest, or null. */
    private Connection oldestInState(State state) {
        Set<Connection> candidates = connectionsByState.get(state);
        return candidates.isEmpty() ? null : candidates.iterator().next();
    }

    /**
     * Closes connections whose timeout has passed. Guards against descriptors and memory held for unresponsive clients.
     */
    private void sweep() {
        closeSilent(expired(State.NEW, FIRST_BYTE_TIMEOUT_NANOS), "first-byte timeout");
        closeSilent(
                expired(State.KEEP_ALIVE, isUnderPressure() ? MIN_KEEP_ALIVE_NANOS : KEEP_ALIVE_NANOS),
                "keep-alive timeout");
        expired(State.READING_REQUEST, READ_TIMEOUT_NANOS).forEach(Connection::timeOutIfSilent);
        expired(State.STREAMING_RESPONSE, STALL_TIMEOUT_NANOS).stream()
                .filter(connection -> connection.hasReadNothingFor(STALL_TIMEOUT_NANOS))
                .forEach(connection -> connection.close("the client reads nothing of a streamed response"));
        expired(State.WRITING_LAST_RESPONSE, LAST_WRITE_TIMEOUT_NANOS)
                .forEach(connection -> connection.close("timeout of writing the last response"));
        expired(State.LINGERING, LINGER_NANOS).forEach(connection -> connection.close("the client has lingered"));
        closeSlowReaders();
        endStalledResponses();
        enforceConnectionLimit();
    }

    /**
     * Ends responses whose servers are silent, as many as resources are short of. Guards against clients that are
     * refused, or have to reconnect, because others wait for servers that may never go on.
     */
    private void endStalledResponses() {
        int streaming = connectionsByState.get(State.STREAMING_RESPONSE).size();
        long excess = Math.max(excessOf(connections.size(), maxConnections), excessOf(connectionAccount));
        if (budget.pressure() != ResourceBudget.Pressure.NONE) {
            excess = streaming;
        }
        excess = Math.min(streaming, Math.max(excess, excessOf(budget.account(ResourcePurpose.CALLS))));
        while (excess > 0 && budget.reclaim()) {
            excess--;
        }
    }

    private static long excessOf(ResourceAccount account) {
        return excessOf(account.entries(), account.entriesCap());
    }

    /** Returns how many entries have to go for the others not to be under pressure. */
    private static long excessOf(long entries, long cap) {
        return entries - (long) Math.ceil(PRESSURE_FRACTION * cap) + 1;
    }

    /** Returns whether connections or resources are getting scarce; idle clients then have to reconnect. */
    private boolean isUnderPressure() {
        return connections.size() >= PRESSURE_FRACTION * maxConnections
                || budget.pressure() != ResourceBudget.Pressure.NONE;
    }

    /**
     * Closes the connections of the slowest readers while too many responses are unread. At the cap, all other clients
     * are refused, so connections are closed that have read nothing for {@link #MIN_STALL_NANOS}. Requests in progress
     * still add their responses, so far above the cap the slowest are closed at once.
     */
    private void closeSlowReaders() {
        slowReaderCheckScheduled = false;
        Iterator<Connection> slowest = List.copyOf(slowReaders).iterator();
        while (responseAccount.isFull() && slowest.hasNext()) {
            Connection connection = slowest.next();
            long stalledNanos = transport.nanos() - connection.readNothingSinceNanos;
            if (!exceedsResponseLimit() && stalledNanos < MIN_STALL_NANOS) {
                break;
            }
            connection.close("the slowest reader, it has read nothing for "
                    + TimeUnit.NANOSECONDS.toMillis(stalledNanos) + " ms, and " + responseAccount.bytes()
                    + " bytes of responses are unread, of at most " + responseAccount.bytesCap());
        }
    }

    private boolean exceedsResponseLimit() {
        return responseAccount.bytes() / MAX_RESPONSE_OVERCOMMIT > responseAccount.bytesCap();
    }

    /** Returns the connection, other than the given one, whose request has been arriving for longest, or null. */
    private Connection slowestSenderBeside(Connection excluded) {
        long nowNanos = transport.nanos();
        return connectionsByState.get(State.READING_REQUEST).stream()
                .filter(connection -> connection != excluded && connection.isDiscardable(nowNanos))
                .max(Comparator.comparingLong(connection -> nowNanos - connection.requestSinceNanos))
                .orElse(null);
    }

    private List<Connection> expired(State state, long timeoutNanos) {
        long sinceNanos = transport.nanos() - timeoutNanos;
        return connectionsByState.get(state).stream()
                .takeWhile(connection -> connection.stateSinceNanos - sinceNanos <= 0)
                .toList();
    }

    /** One connection of a client; it is the last handler of its pipeline. */
    protected abstract class Connection extends SimpleChannelInboundHandler<Object> {
        protected final DuplexChannel channel;
        /** Whether further input is ignored, because invalid input was received or the connection is being closed. */
        protected boolean ignoresInput;

        private State state;
        private long stateSinceNanos;
        /** Active time of the frontend when the state was entered. */
        private long stateSinceActiveNanos;
        /** When the request that is being received began to arrive. */
        private long requestSinceNanos;
        /** Bytes that the bodies of its requests hold in memory. */
        private int heldBytes;
        /** Bytes of responses that have not been written yet. */
        private long unwrittenBytes;
        /** Since when none of them has been written. */
        private long readNothingSinceNanos;
        /** When the frontend began to read from the connection. */
        private long readFromNanos;
        /** Whether a task is to run after the next poll. */
        private boolean taskScheduled;
        /** Why the agent closes the connection, or null if it does not. */
        private String closeReason;

        /** Creates a connection on {@code channel}. */
        protected Connection(DuplexChannel channel) {
            this.channel = channel;
        }

        /** Called when the rest of a partly received request has not arrived in time. */
        protected abstract void onReadTimeout();

        /**
         * Called when the request that is being received was discarded to make room for others; the client is told so,
         * and the connection closed.
         */
        protected abstract void onRequestDiscarded();

        /** Called when the connection has been closed; no more responses can be sent. */
        protected abstract void onClosed();

        /** Returns the state of the connection. */
        protected final State state() {
            return state;
        }

        /** Returns whether more may be read ahead, while reading is paused, to detect that the client has left. */
        protected abstract boolean canReadAhead();

        /** Reads what has arrived, within bounds, and returns whether the client has closed the connection. */
        protected final ClientPresence readClientPresence() {
            boolean mayHaveMore = true;
            for (int reads = 0; mayHaveMore && reads < MAX_READS_AHEAD && mayReadAhead(); reads++) {
                mayHaveMore = transport.readAhead(channel);
            }
            if (!channel.isActive()) {
                return ClientPresence.LEFT;
            }
            return mayHaveMore ? ClientPresence.UNKNOWN : ClientPresence.PRESENT;
        }

        private boolean mayReadAhead() {
            return channel.config().isAutoRead()
                    || ignoresInput
                    || canReadAhead() && heldBytes < MAX_READ_AHEAD_WINDOWS * requestWindow.bytes();
        }

        private boolean hasReadNothingFor(long nanos) {
            return unwrittenBytes > 0 && transport.nanos() - readNothingSinceNanos >= nanos;
        }

        /** Enters a state and restarts its clock; null means that the connection is closed. */
        protected final void transitionTo(State newState) {
            if (state != null) {
                connectionsByState.get(state).remove(this);
            }
            long nowNanos = transport.nanos();
            if (newState == State.READING_REQUEST && state != State.READING_REQUEST) {
                requestSinceNanos = nowNanos;
            }
            state = newState;
            stateSinceNanos = nowNanos;
            stateSinceActiveNanos = activeTime.elapsedNanos();
            if (state != null) {
                connectionsByState.get(state).add(this);
            }
        }

        /**
         * Reserves bytes for request bodies. If the budget is exhausted, the requests in part are discarded that have
         * been arriving for longest; returns false, and reserves nothing, if there are none but this one.
         */
        protected final boolean reserve(int bytes) {
            // Guards against running out of memory, and against slow senders that have others refused.
            while (!requestAccount.tryGrow(bytes)) {
                Connection slowest = slowestSenderBeside(this);
                if (slowest == null) {
                    return false;
                }
                slowest.discardRequest();
            }
            heldBytes += bytes;
            return true;
        }

        /** Releases reserved bytes; all of them are released when the connection is closed. */
        protected final void release(int bytes) {
            int released = Math.min(bytes, heldBytes);
            heldBytes -= released;
            requestAccount.shrink(released);
        }

        /** Returns the window of a request body that is streamed to a server. */
        protected final StreamWindow requestWindow() {
            return requestWindow;
        }

        /**
         * Writes a response or a part of one, whose bytes count as held until they have been written.
         *
         * @param message the message to write
         * @param bodyBytes number of bytes of its body
         */
        protected final ChannelFuture writeResponse(Object message, int bodyBytes) {
            long bytes = bodyBytes + RESPONSE_OVERHEAD_BYTES;
            responseAccount.add(1, bytes);
            ChannelFuture written = channel.writeAndFlush(message);
            if (written.isDone()) {
                responseAccount.release(bytes);
                return written;
            }
            if (unwrittenBytes == 0) {
                readNothingSinceNanos = transport.nanos();
            }
            unwrittenBytes += bytes;
            slowReaders.add(this);
            if (exceedsResponseLimit() && !slowReaderCheckScheduled) {
                slowReaderCheckScheduled = true;
                // As a task, and not while a channel is being read: closing reads from other channels.
                transport.loop().execute(AbstractFrontend.this::closeSlowReaders);
            }
            return written.addListener(done -> responseWritten(bytes));
        }

        private void responseWritten(long bytes) {
            responseAccount.release(bytes);
            unwrittenBytes -= bytes;
            slowReaders.remove(this);
            if (unwrittenBytes > 0) {
                readNothingSinceNanos = transport.nanos();
                slowReaders.add(this); // behind those that have read nothing meanwhile
            }
        }

        /**
         * Returns when the input that is being read was sent, as far as is known. It is now, unless the process was
         * held up, or the connection waited to be accepted, for longer than a client's time may be counted late.
         */
        protected final long sentNanos() {
            long polledNanos = transport.arrivedAfterNanos();
            long arrivedAfterNanos =
                    polledNanos - readFromNanos >= 0 ? polledNanos : AcceptQueue.connectedAfterNanos(channel);
            long nowNanos = transport.nanos();
            return nowNanos - Math.max(0, nowNanos - arrivedAfterNanos - MAX_UNCOUNTED_NANOS);
        }

        /**
         * Runs a task once the loop has polled its sockets again. Guards against a loop that does nothing but process
         * the input of one client: tasks that are only queued run before the next poll, however many they are.
         */
        protected final void runAfterNextPoll(Runnable task) {
            if (!taskScheduled) {
                taskScheduled = true;
                transport
                        .loop()
                        .schedule(
                                () -> {
                                    taskScheduled = false;
                                    task.run();
                                },
                                0,
                                TimeUnit.NANOSECONDS);
            }
        }

        /** Closes the connection at once, for a reason that is traced. */
        protected final void close(String reason) {
            closeReason = reason;
            channel.close();
        }

        private void traceEvent(String event) {
            if (transport.trace().isEnabled()) {
                transport.trace().connection("client", channel, event);
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            traceEvent("accepted");
            readFromNanos = transport.nanos();
            connections.add(this);
            connectionAccount.add(1, 0);
            transitionTo(State.NEW);
            enforceConnectionLimit();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            traceEvent("closed in state " + state + ": " + (closeReason == null ? "by the client" : closeReason));
            connections.remove(this);
            connectionAccount.release(0);
            transitionTo(null);
            ignoresInput = true;
            onClosed();
            release(heldBytes);
            enforceConnectionLimit();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            close("broken, " + cause); // channelInactive cancels its request
        }

        /**
         * Closes the connection after its last response.
         *
         * @param written completes when the response has been written
         * @param hasUnreadInput whether received bytes are left unread
         */
        protected final void closeAfterWrite(ChannelFuture written, boolean hasUnreadInput) {
            ignoresInput = true;
            closeReason = closeReason == null ? "after the last response" : closeReason;
            transitionTo(State.WRITING_LAST_RESPONSE);
            // Guards against a reset because of unread input, which would overtake the response.
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

        /**
         * Closes the connection unless input has arrived that changes its state, as a request sent while the loop was
         * held up does: closing would lose it.
         *
         * @param reason why it is closed, for the trace
         * @return whether the connection was closed
         */
        private boolean closeIfSilent(String reason) {
            boolean silent = isSilent();
            if (silent) {
                closeReason = reason;
                closeAfterWrite(channel.writeAndFlush(Unpooled.EMPTY_BUFFER), false);
            }
            return silent;
        }

        /** Ends a partly received request unless input has arrived that changes the connection's state. */
        private void timeOutIfSilent() {
            if (!isSilent()) {
                return;
            }
            onReadTimeout();
            if (state == State.READING_REQUEST) {
                close("read timeout"); // no error could be sent, as the client does not read either
            }
        }

        private boolean isDiscardable(long nowNanos) {
            return heldBytes > 0
                    && !ignoresInput
                    && nowNanos - requestSinceNanos >= TimeUnit.MILLISECONDS.toNanos(MIN_DISCARD_MS);
        }

        /** Gives up the request that is being received; what it holds may be used at once. */
        private void discardRequest() {
            traceEvent("its request in part is discarded after " + heldBytes + " bytes, " + requestAccount.bytes()
                    + " bytes are held of at most " + requestAccount.bytesCap());
            ignoresInput = true;
            channel.config().setAutoRead(false);
            release(heldBytes);
            // As a task, and not while a channel is being read: closing reads from other channels.
            transport.loop().execute(() -> {
                if (state == State.READING_REQUEST) {
                    onRequestDiscarded();
                }
                if (state == State.READING_REQUEST) {
                    close("its request was discarded"); // no error could be sent, as the client does not read either
                }
            });
        }

        /** Reads what has arrived; returns whether the state of the connection is still the same. */
        private boolean isSilent() {
            State stateBefore = state;
            long sinceBeforeNanos = stateSinceNanos;
            transport.readArrivedInput(channel);
            return state == stateBefore && stateSinceNanos == sinceBeforeNanos;
        }
    }
}
