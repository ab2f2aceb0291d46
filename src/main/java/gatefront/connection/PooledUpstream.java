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
    private static final double IDLE_PART = 0.75;

    private static final long SWEEP_SECONDS = 1;
    /**
     * A connection rests for this long after an answer. Guards against a second copy or noise right behind
     * the answer, which would be taken for the answer of the next request: it shows in that time.
     */
    private static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    private static final long PROBE_TIMEOUT_MICROS = 250_000;
    /** An answer that is being passed on and of which nothing comes for so long is over. */
    private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final Transport transport;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final long idleNanos;
    private final int connectionsMost;
    /** By server, from its first line as ready until it drains or goes. */
    private final Map<Long, Pool> pools = new HashMap<>();

    private int connections;
    private int attempts;
    private final ResourceAccount held;
    private final ResourceAccount answers;

    /** What is kept for one server at one address. */
    private static final class Pool {
        final InetSocketAddress address;
        final long restNanos;
        /** Most recently used first: what is not needed grows old and is closed. */
        final Deque<Connection> idle = new ArrayDeque<>();

        final Set<Attempt> connecting = new LinkedHashSet<>();
        boolean retired;

        Pool(InetSocketAddress address, long restNanos) {
            this.address = address;
            this.restNanos = restNanos;
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
     * @param connectionsMost connections held at the most
     * @param connectTimeoutMicros a connection not up by then has failed
     * @param idleCloseMicros servers close a connection that has been idle for this long
     * @param budget of the agent
     */
    protected PooledUpstream(
            Transport transport,
            int connectionsMost,
            long connectTimeoutMicros,
            long idleCloseMicros,
            ResourceBudget budget) {
        this.held = budget.account(ResourcePurpose.SERVER_CONNECTIONS);
        this.answers = budget.account(ResourcePurpose.SERVER_ANSWERS);
        this.transport = transport;
        this.loop = transport.loop();
        this.connectionsMost = connectionsMost;
        this.idleNanos = (long) (1000 * IDLE_PART * idleCloseMicros);
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(transport.dialers())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (connectTimeoutMicros / 1000))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, BufferLimits.reads())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, BufferLimits.MARKS)
                .disableResolver(); // addresses are literal; the usual resolvers would keep the loop for ever
        loop.scheduleWithFixedDelay(this::closeOld, SWEEP_SECONDS, SWEEP_SECONDS, TimeUnit.SECONDS);
    }

    // ---- What a protocol adds ----

    /** Sets up a new connection: its codec, and a {@link Reader} behind it. */
    protected abstract void init(Connection connection, ChannelPipeline pipeline);

    /**
     * What is written for a request.
     *
     * @param request as it was handed in
     * @param number of the attempt
     * @param millisLeft of its time, at least 1; 0 if it has no limit
     */
    protected abstract Object message(Payload request, int number, long millisLeft);

    /** A piece of a request's body, as it is written; for protocols that have such. */
    protected Object part(ByteBuf piece) {
        return piece;
    }

    /** What is written behind the last piece. */
    protected Object lastPart() {
        return Unpooled.EMPTY_BUFFER;
    }

    /** The request that asks for a server's health. */
    protected abstract Payload probe();

    /** The last byte of an attempt's request has left. */
    protected void left(Attempt attempt) {}

    /** Where a listed server is reached by this protocol, or null if it is not. */
    protected InetSocketAddress address(Endpoint endpoint) {
        return endpoint.address();
    }

    // ---- Servers ----

    @Override
    public void listed(Endpoint endpoint) {
        long id = endpoint.server().id();
        Pool pool = pools.get(id);
        InetSocketAddress address = address(endpoint);
        if (endpoint.server().phase() != Balancer.Phase.READY || address == null) {
            gone(id);
        } else if (pool == null || !pool.address.equals(address)) {
            gone(id); // Guards against using what leads to the address that it had before.
            pools.put(id, new Pool(address, REST_NANOS));
        }
    }

    /** The agent itself as a server: nothing but its answers comes from it, so connections need no rest. */
    public void self(long id, InetSocketAddress address) {
        pools.put(id, new Pool(address, 0));
    }

    /**
     * Nothing new goes to this server, and nothing is kept for it but by the attempts that are out. Guards
     * against a request that is written when its connection comes up only after the drain was told, and
     * against memory and connections kept for servers that will never come back.
     */
    @Override
    public void gone(long server) {
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
    public int size() {
        return pools.size();
    }

    private void closeOld() {
        for (Pool pool : pools.values()) {
            while (!pool.idle.isEmpty() && pool.idle.peekLast().old()) {
                pool.idle.pollLast().channel.close();
            }
        }
    }

    /** Makes room under the limit on sockets by closing the connection that has been idle for longest. */
    private boolean roomForOne() {
        if (connections < connectionsMost && !held.isFull()) {
            return true;
        }
        Connection oldest = null;
        for (Pool pool : pools.values()) {
            Connection last = pool.idle.peekLast();
            if (last != null && (oldest == null || last.idleSince - oldest.idleSince < 0)) {
                oldest = last;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.channel.close();
        return connections < connectionsMost && !held.isFull();
    }

    /** Takes the most recently used connection that has rested and was silent meanwhile, or none. */
    private Connection rested(Pool pool) {
        long now = transport.nanos();
        Connection fit = null;
        List<Connection> unfit = null;
        for (Iterator<Connection> all = pool.idle.iterator(); fit == null && all.hasNext(); ) {
            Connection each = all.next();
            if (now - each.idleSince >= pool.restNanos) {
                all.remove();
                if (!each.old() && transport.silent(each.channel)) {
                    fit = each;
                } else {
                    unfit = unfit == null ? new ArrayList<>() : unfit;
                    unfit.add(each);
                }
            }
        }
        if (unfit != null) {
            unfit.forEach(each -> each.channel.close()); // not while the pool is being looked through
        }
        return fit;
    }

    // ---- Attempts ----

    @Override
    public Upstream.Attempt send(long server, Payload request, long timeoutMicros, Listener then) {
        Attempt attempt = new Attempt(request, timeoutMicros, then);
        attempt.start(server);
        return attempt;
    }

    @Override
    public void probe(long server, Listener then) {
        new Attempt(probe(), PROBE_TIMEOUT_MICROS, then).start(server);
    }

    /** One request on its way to a server, or a probe. */
    protected final class Attempt implements Upstream.Attempt {
        private final Payload request;
        private final int number = ++attempts;
        private final Listener then;
        private final long endAt;
        private final boolean limited;
        private final Future<?> timer;
        private Pool pool;
        private Connection connection;
        private Channel dialled;
        private boolean written;
        private boolean ended;
        /** Its answer, where that is passed on in pieces; and when the server last gave some. */
        private BodyStream flow;

        private long progressAt;

        private Attempt(Payload request, long timeoutMicros, Listener then) {
            this.request = request;
            this.then = then;
            this.limited = timeoutMicros > 0;
            this.endAt = transport.nanos() + 1000 * timeoutMicros;
            this.timer =
                    limited ? loop.schedule(() -> end(Outcome.TIMEOUT), timeoutMicros, TimeUnit.MICROSECONDS) : null;
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
            Connection idle = rested(pool);
            if (idle != null) {
                write(idle);
            } else if (roomForOne()) {
                connect();
            } else {
                end(Outcome.NEVER_SENT); // Guards against running out of descriptors.
            }
        }

        private void connect() {
            Connection fresh = new Connection(pool);
            pool.connecting.add(this);
            connections++;
            held.add(1, 0);
            var connecting = bootstrap.clone().handler(fresh).connect(pool.address);
            dialled = connecting.channel();
            dialled.closeFuture().addListener(closed -> {
                connections--;
                held.release(0);
            });
            connecting.addListener(done -> {
                pool.connecting.remove(this);
                if (ended) {
                    dialled.close();
                } else if (done.isSuccess()) {
                    write(fresh);
                } else {
                    end(Outcome.CONNECT_FAILED);
                }
            });
        }

        /** The head of its answer has come. */
        public void answering() {
            then.answering();
        }

        /** Its answer has begun and is passed on in pieces: from now on it may take as long as the server gives. */
        public void begun(Payload answer, BodyStream pieces) {
            flow = pieces;
            if (timer != null) {
                timer.cancel(false);
            }
            progress();
            watch();
            then.begun(answer);
        }

        /** The server has given something. */
        public void progress() {
            progressAt = transport.nanos();
        }

        /** Guards against an answer that stops in the middle, held open for ever. */
        private void watch() {
            loop.schedule(
                    () -> {
                        if (!ended) {
                            if (flow.isOpen() && !flow.isStopped() && transport.nanos() - progressAt > STALLED_NANOS) {
                                end(Outcome.TIMEOUT);
                            } else {
                                watch();
                            }
                        }
                    },
                    STALLED_NANOS / 4,
                    TimeUnit.NANOSECONDS);
        }

        /** Writes the head at once and the body as it comes. */
        private void pass(BodyStream upload) {
            if (timer != null) {
                timer.cancel(false);
            }
            Channel to = connection.channel;
            connection.upload = upload;
            to.writeAndFlush(message(request, number, 0)); // the caller's time counts from the last byte
            then.spent();
            upload.to(new BodyStream.Taker() {
                @Override
                public boolean piece(ByteBuf piece) {
                    if (ended) {
                        piece.release();
                        return false;
                    }
                    to.writeAndFlush(part(piece));
                    return to.isWritable();
                }

                @Override
                public void ended() {
                    to.writeAndFlush(lastPart()).addListener(done -> written(done.isSuccess()));
                }

                @Override
                public void broken() {
                    end(Outcome.CANCELLED);
                }
            });
        }

        private void written(boolean whole) {
            if (whole) {
                written = true;
                left(this);
                then.written();
            } else {
                end(Outcome.CONNECT_FAILED); // the last byte never left, so it cannot have begun
            }
        }

        private void write(Connection to) {
            connection = to;
            to.attempt = this;
            if (request.flow() != null) {
                pass(request.flow());
                return;
            }
            long millisLeft = limited ? Math.max(1, (endAt - transport.nanos()) / 1_000_000) : 0;
            to.channel
                    .writeAndFlush(message(request, number, millisLeft))
                    .addListener(done -> written(done.isSuccess()));
        }

        /** The connection has ended under the attempt. Before its last byte was written it did not run. */
        private void broken() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
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
            if (flow != null && flow.isOpen()) {
                flow.breakOff();
            }
            if (timer != null) {
                timer.cancel(false);
            }
            if (pool != null) {
                pool.connecting.remove(this);
            }
            if (connection != null) {
                connection.attempt = null;
                connection.upload = null;
                if (reusable && written && !pool.retired) {
                    connection.idleSince = transport.nanos();
                    pool.idle.addFirst(connection);
                } else {
                    connection.channel.close(); // what may still come on it belongs to nobody
                }
            } else if (dialled != null) {
                dialled.close();
            }
            loop.execute(() -> then.ended(result));
        }
    }

    /** One connection to a server. */
    protected final class Connection extends ChannelInitializer<Channel> {
        private final Pool pool;
        private Channel channel;
        private Attempt attempt;
        /** The request that is leaving in pieces, or null. */
        private BodyStream upload;

        private long idleSince;

        private Connection(Pool pool) {
            this.pool = pool;
        }

        private boolean old() {
            return transport.nanos() - idleSince >= idleNanos;
        }

        @Override
        protected void initChannel(Channel ch) {
            channel = ch;
            init(this, ch.pipeline());
        }
    }

    /** Turns what arrives on a connection into the outcome of its attempt. */
    protected abstract class Reader extends SimpleChannelInboundHandler<Object> {
        private final Connection connection;
        /** Bytes of an answer that has come in part. */
        private int part;
        /** Whether the connection was reset: its end is not that of an answer. */
        protected boolean broke;

        /** Of this connection. */
        protected Reader(Connection connection) {
            this.connection = connection;
        }

        /**
         * Something has been read.
         *
         * @return false if it is spoilt: nothing of it is served, and the attempt may have run
         */
        protected abstract boolean read(Attempt attempt, Object part);

        @Override
        protected final void channelRead0(ChannelHandlerContext ctx, Object part) {
            Attempt attempt = connection.attempt;
            if (attempt == null) {
                ctx.close(); // an answer to nothing
            } else if (!attempt.written || !read(attempt, part)) {
                attempt.broken(); // an answer before the request has left whole cannot be an answer to it
            }
        }

        /** Counts bytes of an answer that is not yet whole; false, and not counted, if there is no room. */
        protected final boolean hold(int bytes) {
            if (!answers.tryGrow(bytes)) {
                return false;
            }
            part += bytes;
            return true;
        }

        /** The answer is whole and handed on, or nothing of it is kept. */
        protected final void release() {
            answers.shrink(part);
            part = 0;
        }

        /** Reads on, or leaves what comes to the system until there is room. */
        protected final void reading(boolean on) {
            connection.channel.config().setAutoRead(on);
        }

        /** Does something after a time, if the attempt has not ended by then. */
        protected final void later(Attempt attempt, long millis, Runnable what) {
            loop.schedule(
                    () -> {
                        if (!attempt.ended) {
                            what.run();
                        }
                    },
                    millis,
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
                connection.attempt.broken();
            }
        }

        @Override
        public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            broke = true;
            ctx.close(); // reset; what that means for the attempt is told by channelInactive
        }
    }
}
