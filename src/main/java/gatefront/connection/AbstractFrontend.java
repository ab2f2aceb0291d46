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
        SILENT,
        /** Half a request sent. */
        BEGUN,
        /** Kept after an answer. */
        KEPT,
        /** Owed an answer. */
        OWED,
        /** Its answer is passed on in pieces; since it last took some. */
        PASSING,
        /** Its last answer is being written. */
        FINISHING,
        /** Its last answer is being read. */
        ENDING
    }

    /** How long a connection may say nothing. */
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** How long it may take over a head, and then from one piece of a body to the next. */
    private static final long BEGUN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    /** How long one that has had an answer is kept while there is room, and while there is little. */
    private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long KEPT_LEAST_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** How long a new connection may say nothing at the least: its first request is on the way. */
    private static final long SILENT_LEAST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** How long one that ends may take until its last answer is written, and then over reading it. */
    private static final long FINISH_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** How long one may read nothing of an answer that is passed on in pieces. */
    private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int LINGER_MOST = 16;
    /** From this part of the room on those kept are closed sooner, and each answer is a connection's last. */
    private static final double PRESSED = 0.6;

    private static final long SWEEP_MS = 100;
    private final Transport transport;
    private final InetSocketAddress listen;
    private final int connectionsMost;
    private final ServerBootstrap bootstrap;
    private Channel server;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Of these, by what they are at, the longest at it first. */
    private final Map<State, Set<Connection>> at = new EnumMap<>(State.class);

    private final ResourceBudget budget;
    private final ResourceAccount callers;
    private final ResourceAccount requests;
    private final ResourceAccount answers;
    private boolean leaving;
    /** Whether each answer is to be its connection's last, for the end is near. */
    private boolean closing;

    /**
     * Listens to nobody yet; {@link #listen()} begins.
     *
     * @param transport its loop, clock and network
     * @param listen where it listens
     * @param connectionsMost connections held at the most
     * @param budget of the agent
     */
    protected AbstractFrontend(
            Transport transport, InetSocketAddress listen, int connectionsMost, ResourceBudget budget) {
        this.budget = budget;
        this.callers = budget.account(ResourcePurpose.CALLER_CONNECTIONS);
        this.requests = budget.account(ResourcePurpose.REQUESTS);
        this.answers = budget.account(ResourcePurpose.ANSWERS);
        budget.addRecount(ResourcePurpose.CALLER_CONNECTIONS, () -> new ResourceBudget.Count(connections.size(), 0));
        budget.addRecount(
                ResourcePurpose.REQUESTS,
                () -> new ResourceBudget.Count(
                        0, connections.stream().mapToLong(each -> each.held).sum()));
        this.transport = transport;
        this.listen = listen;
        this.connectionsMost = connectionsMost;
        for (State each : State.values()) {
            at.put(each, new LinkedHashSet<>());
        }
        bootstrap = new ServerBootstrap()
                .group(transport.loop())
                .channelFactory(transport.sharedListeners())
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, BufferLimits.reads())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, BufferLimits.MARKS)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        init((DuplexChannel) ch);
                    }
                });
    }

    /** Sets up a new connection: its decoder, and a {@link Connection} behind it. */
    protected abstract void init(DuplexChannel channel);

    @Override
    public ChannelFuture listen() {
        ChannelFuture bound = bootstrap.bind(listen);
        server = bound.channel();
        bound.addListener(done -> {
            if (done.isSuccess()) {
                transport.loop().scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
            }
        });
        return bound;
    }

    @Override
    public Channel channel() {
        return server;
    }

    @Override
    public void leave() {
        leaving = true;
    }

    @Override
    public void handOver() {
        leaving = true;
        closing = true;
        transport.closeShared(server);
    }

    @Override
    public void drain() {
        closing = true;
        List.copyOf(at.get(State.SILENT)).forEach(Connection::close);
        List.copyOf(at.get(State.KEPT)).forEach(Connection::close);
    }

    @Override
    public void stopListening() {
        server.close();
        drain();
        List.copyOf(at.get(State.BEGUN)).forEach(Connection::close);
    }

    @Override
    public boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Whether the end has been asked for. */
    protected final boolean leaving() {
        return leaving;
    }

    /** Whether each answer is to be its connection's last: at the end, and while room is scarce. */
    protected final boolean closing() {
        return closing || pressed();
    }

    /**
     * Keeps the connections under the limit on sockets. Guards against running out of descriptors, which
     * would end the agent, and against silent or forgotten connections shutting the others out: they make
     * room, the longest silent first. While none can go none is accepted: one in use must not be closed
     * unannounced, for its next request may be on the way.
     */
    private void makeRoom() {
        long now = transport.nanos();
        while (connections.size()
                                - at.get(State.ENDING).size()
                                - at.get(State.FINISHING).size()
                        >= connectionsMost
                || callers.isFull()) {
            Connection first = older(State.SILENT, now - SILENT_LEAST_NANOS);
            first = first == null ? older(State.KEPT, now - KEPT_LEAST_NANOS) : first;
            if (first == null) {
                break;
            }
            first.close();
            if (callers.isFull()) {
                break; // it goes when what it was sent is written, and the next look finds out
            }
        }
        server.config().setAutoRead(connections.size() < connectionsMost && !callers.isFull());
    }

    /** The first of them if it has been there since then. */
    private Connection older(State state, long since) {
        Set<Connection> some = at.get(state);
        Connection first = some.isEmpty() ? null : some.iterator().next();
        return first != null && first.since - since <= 0 ? first : null;
    }

    /** Ends what takes too long. Guards against descriptors and memory held for nobody. */
    private void sweep() {
        expired(State.SILENT, PATIENCE_NANOS).forEach(Connection::close);
        expired(State.KEPT, pressed() ? KEPT_LEAST_NANOS : KEPT_NANOS).forEach(Connection::close);
        for (Connection each : expired(State.BEGUN, BEGUN_NANOS)) {
            each.tooSlow();
            if (each.state == State.BEGUN) {
                each.channel.close(); // it does not read either
            }
        }
        expired(State.PASSING, STALLED_NANOS).stream()
                .filter(each -> !each.channel.isWritable())
                .forEach(each -> each.channel.close());
        expired(State.FINISHING, FINISH_NANOS).forEach(each -> each.channel.close());
        expired(State.ENDING, LINGER_NANOS).forEach(each -> each.channel.close());
        makeRoom();
    }

    /** Whether room gets scarce: clients that keep their connections without need then have to dial again. */
    private boolean pressed() {
        return connections.size() >= PRESSED * connectionsMost || budget.pressure() != ResourceBudget.Pressure.NONE;
    }

    private List<Connection> expired(State state, long nanos) {
        long since = transport.nanos() - nanos;
        return at.get(state).stream().takeWhile(each -> each.since - since <= 0).toList();
    }

    /** One connection of a caller's; it is the last handler of its pipeline. */
    protected abstract class Connection extends SimpleChannelInboundHandler<Object> {
        /** Its channel. */
        protected final DuplexChannel channel;
        /** Nothing more is taken from it: what came was wrong, or it ends. */
        protected boolean deaf;

        private State state;
        private long since;
        /** What its requests' bodies take. */
        private int held;

        /** New, on this channel. */
        protected Connection(DuplexChannel channel) {
            this.channel = channel;
        }

        /** Half a request has come, and then nothing for too long. */
        protected abstract void tooSlow();

        /** The caller has closed it: nothing more can be answered. */
        protected abstract void ended();

        /** What it is at. */
        protected final State state() {
            return state;
        }

        /** It is at something else from now on; null is the end. */
        protected final void move(State to) {
            if (state != null) {
                at.get(state).remove(this);
            }
            state = to;
            since = transport.nanos();
            if (state != null) {
                at.get(state).add(this);
            }
        }

        /** Counts bytes of requests that are held; false, and not counted, if there is no room. */
        protected final boolean hold(int bytes) {
            // Guards against running out of memory.
            if (!requests.tryGrow(bytes)) {
                return false;
            }
            held += bytes;
            return true;
        }

        /** Bytes of requests are no longer held. */
        protected final void release(int bytes) {
            held -= bytes;
            requests.shrink(bytes);
        }

        /** Writes an answer, which counts as held until it has left for the caller. */
        protected final ChannelFuture answer(Object message, int bytes) {
            answers.add(1, bytes);
            return channel.writeAndFlush(message).addListener(done -> answers.release(bytes));
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            callers.add(1, 0);
            move(State.SILENT);
            makeRoom();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            callers.release(0);
            move(null);
            deaf = true;
            ended();
            release(held);
            makeRoom();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // its connection broke; what it was owed is told by channelInactive
        }

        /**
         * Its last answer is being written.
         *
         * @param written tells when that is done
         * @param unread whether more has come from it than was read
         */
        protected final void finish(ChannelFuture written, boolean unread) {
            deaf = true;
            move(State.FINISHING);
            // Guards against a reset for what was not read, which would overtake the answer.
            written.addListener(unread ? done -> linger() : ChannelFutureListener.CLOSE);
        }

        private void linger() {
            if (at.get(State.ENDING).size() >= LINGER_MOST) {
                channel.close();
            } else if (channel.isActive()) {
                move(State.ENDING);
                channel.shutdownOutput();
            }
        }

        /** Closes it once what it was sent is written. */
        protected final void close() {
            finish(channel.writeAndFlush(Unpooled.EMPTY_BUFFER), false);
        }
    }
}
