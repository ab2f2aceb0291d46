package gatefront.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.engine.Payload;
import gatefront.engine.Upstream;
import gatefront.engine.Upstream.Result;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer;
import gatefront.policy.Balancer.Outcome;
import gatefront.rehearsal.net.Network;
import gatefront.rehearsal.net.TamperingTransport;
import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.net.VirtualTime;
import gatefront.transport.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetAddress;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What every upstream owes the engine, whatever it speaks: which outcome each fault of a nodo has, and that what comes
 * too late or is left over meets no later call. On virtual time; one way takes a millisecond.
 */
public abstract class UpstreamContract {
    private static final long MS = 1_000_000;
    private static final int NODO_PORT = 80;
    private static final long SERVER = 7;

    private final VirtualTime time = new VirtualTime();
    private final Network network = new Network(time, 0, (from, to, bytes) -> MS);
    private final List<Result> results = new ArrayList<>();
    private VirtualHost agent;
    private VirtualHost nodo;
    private PooledUpstream upstream;
    /** What the nodo does with a call that has come whole. */
    private ServerScript onRequest = (ctx, reply) -> send(ctx, reply);
    /** What it does when the first bytes of a connection have come. */
    private ServerScript onFirstBytes = (ctx, reply) -> {};

    private int acceptedConnections;
    private int completeRequests;
    private int closedConnections;

    /** What a nodo does; {@code reply} is its whole answer, if there is a whole call to answer. */
    private interface ServerScript {
        void run(ChannelHandlerContext ctx, byte[] reply);
    }

    /** The upstream, whose nodos listen on the port of their endpoints. */
    protected abstract PooledUpstream createUpstream(Transport transport, int port);

    /** A call. */
    protected abstract Payload newRequest();

    /** What makes one object of each whole call at a nodo; nothing that writes. */
    protected abstract void addServerDecoder(ChannelPipeline pipeline);

    /** The bytes of the answer to a call, by the object that was made of it. */
    protected abstract byte[] responseBytes(Object request);

    @BeforeEach
    void setUp() throws Exception {
        agent = host("agent", 1);
        nodo = host("nodo", 2);
        listen();
        useTransport(agent);
    }

    private VirtualHost host(String name, int last) throws Exception {
        return network.host(
                name, InetAddress.getByAddress(new byte[] {127, 0, 0, (byte) last}), 0, 1 << 24, line -> {});
    }

    private void useTransport(Transport transport) {
        upstream = createUpstream(transport, NODO_PORT);
        updateServerPhase(Balancer.Phase.READY);
    }

    private void updateServerPhase(Balancer.Phase phase) {
        upstream.updateServer(
                new Endpoint(new Balancer.Server(SERVER, 0, 0, 0, phase, 1, 0), "nodo", nodo.at(NODO_PORT)));
    }

    private void listen() {
        new ServerBootstrap()
                .group(nodo.loop())
                .channelFactory(nodo.listeners())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        acceptedConnections++;
                        ch.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                            private boolean begun;

                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                                if (!begun) {
                                    begun = true;
                                    onFirstBytes.run(ctx, null);
                                }
                                ctx.fireChannelRead(bytes);
                            }

                            @Override
                            public void channelInactive(ChannelHandlerContext ctx) {
                                closedConnections++;
                            }
                        });
                        addServerDecoder(ch.pipeline());
                        ch.pipeline().addLast(new SimpleChannelInboundHandler<>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, Object call) {
                                completeRequests++;
                                onRequest.run(ctx, responseBytes(call));
                            }
                        });
                    }
                })
                .bind(nodo.at(NODO_PORT));
        advanceMillis(0);
    }

    private static void send(ChannelHandlerContext ctx, byte[] bytes) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    private static void reset(ChannelHandlerContext ctx) {
        ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        ctx.close();
    }

    private void advanceMillis(long forMs) {
        time.run(time.nanoTime() + forMs * MS);
    }

    private Upstream.Attempt startAttempt(long timeoutMs) {
        return upstream.send(SERVER, newRequest(), 1000 * timeoutMs, results::add);
    }

    /** The outcome of a call with a second of time. */
    private Result runAttempt() {
        int before = results.size();
        startAttempt(1_000);
        advanceMillis(2_000);
        assertEquals(before + 1, results.size(), "one result, exactly");
        return results.get(before);
    }

    /** Lets a call's first bytes through, and keeps the rest until the connection ends. */
    private static final class StallingHandler extends ChannelDuplexHandler {
        private static final int FORWARDED_BYTES = 10;
        private final List<ChannelPromise> pendingWrites = new ArrayList<>();

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            ByteBuf bytes = (ByteBuf) message;
            if (pendingWrites.isEmpty()) {
                ctx.write(bytes.copy(bytes.readerIndex(), FORWARDED_BYTES));
            }
            bytes.release();
            pendingWrites.add(promise);
        }

        private void failPendingWrites() {
            pendingWrites.forEach(each -> each.tryFailure(new ClosedChannelException()));
        }

        @Override
        public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
            failPendingWrites();
            ctx.close(promise);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            failPendingWrites(); // as a channel does: what was not written fails before its end is told
            ctx.fireChannelInactive();
        }
    }

    private void useStallingTransport() {
        Supplier<ChannelHandler> nothing = ChannelInboundHandlerAdapter::new;
        useTransport(new TamperingTransport(agent, nothing, StallingHandler::new));
    }

    @Test
    public void sequentialAttemptsShareOneConnection() {
        for (int i = 0; i < 3; i++) {
            Result result = runAttempt();
            assertEquals(Outcome.OK, result.outcome());
            assertNotNull(result.response());
        }
        assertEquals(1, acceptedConnections);
        startAttempt(1_000);
        startAttempt(1_000);
        advanceMillis(100);
        assertEquals(2, acceptedConnections, "at the same time, each on its own");
        assertEquals(
                5, results.stream().filter(each -> each.outcome() == Outcome.OK).count());
    }

    /** A nodo restarts under half a call: it never ran, for its last byte never left. */
    @Test
    public void resetBeforeTheLastRequestByteCountsAsNeverRun() {
        useStallingTransport();
        onFirstBytes = (ctx, none) -> reset(ctx);
        assertEquals(Outcome.CONNECT_FAILED, runAttempt().outcome());
        assertEquals(0, completeRequests);
        assertTrue(Outcome.CONNECT_FAILED.neverRan());
    }

    /** A nodo restarts over a whole call: it may have run. */
    @Test
    public void resetAfterTheLastRequestByteMayHaveRun() {
        onRequest = (ctx, reply) -> reset(ctx);
        assertEquals(Outcome.RESET, runAttempt().outcome());
        assertEquals(1, completeRequests);
        onRequest = (ctx, reply) -> nodo.kill();
        assertEquals(Outcome.RESET, runAttempt().outcome());
    }

    @Test
    public void truncatedResponseIsNotServed() {
        int[] cut = {0};
        int[] length = {Integer.MAX_VALUE};
        onRequest = (ctx, reply) -> {
            length[0] = reply.length;
            send(ctx, Arrays.copyOf(reply, cut[0]));
            reset(ctx);
        };
        for (cut[0] = 0; cut[0] < length[0]; cut[0]++) {
            Result result = runAttempt();
            assertEquals(Outcome.RESET, result.outcome(), "after " + cut[0] + " bytes");
            assertNull(result.response());
        }
    }

    /** What comes before the call has left whole cannot be an answer to it. */
    @Test
    public void responseBeforeTheWholeRequestWasSentIsIgnored() {
        byte[][] reply = new byte[1][];
        onRequest = (ctx, bytes) -> reply[0] = bytes;
        startAttempt(50);
        advanceMillis(100);
        assertNotNull(reply[0]);
        useStallingTransport();
        onFirstBytes = (ctx, none) -> send(ctx, reply[0]);
        Result result = runAttempt();
        assertEquals(Outcome.CONNECT_FAILED, result.outcome());
        assertNull(result.response());
    }

    @Test
    public void lateResponseIsNotGivenToALaterAttempt() {
        int[] calls = {0};
        onRequest = (ctx, reply) ->
                ctx.executor().schedule(() -> send(ctx, reply), calls[0]++ == 0 ? 300 : 0, TimeUnit.MILLISECONDS);
        startAttempt(100);
        advanceMillis(103);
        assertEquals(Outcome.TIMEOUT, results.get(0).outcome());
        assertEquals(1, closedConnections, "its connection is closed at once");
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(2, acceptedConnections);
        assertEquals(2, results.size());
    }

    @Test
    public void cancelledAttemptEndsAtOnceAndClosesItsConnection() {
        onRequest = (ctx, reply) -> {};
        Upstream.Attempt attempt = startAttempt(1_000);
        advanceMillis(10);
        attempt.cancel();
        assertEquals(0, results.size(), "not within the call that cancels");
        advanceMillis(2);
        assertEquals(Outcome.CANCELLED, results.get(0).outcome());
        assertEquals(1, closedConnections);
        advanceMillis(2_000);
        assertEquals(1, results.size());
    }

    @Test
    public void surplusResponseBytesAreNotGivenToALaterAttempt() {
        onRequest = (ctx, reply) -> {
            byte[] more = Arrays.copyOf(reply, 2 * reply.length);
            System.arraycopy(reply, 0, more, reply.length, reply.length);
            send(ctx, more);
        };
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(2, acceptedConnections, "the second call is not answered by the first one's second reply");
    }

    /** The same a moment later, while the connection rests. */
    @Test
    public void delayedDuplicateResponseIsNotGivenToALaterAttempt() {
        onRequest = (ctx, reply) -> {
            send(ctx, reply);
            ctx.executor().schedule(() -> send(ctx, reply), 5, TimeUnit.MILLISECONDS);
        };
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(2, acceptedConnections);
    }

    @Test
    public void malformedResponseIsNotServed() {
        onRequest = (ctx, reply) -> send(ctx, new byte[] {(byte) 0xff, 1, 2, 3, 4, 5, 6, 7, 8, 9});
        Result result = runAttempt();
        assertEquals(Outcome.RESET, result.outcome());
        assertNull(result.response());
    }

    @Test
    public void failedConnectionCountsAsNeverRun() {
        nodo.kill();
        assertEquals(Outcome.CONNECT_FAILED, runAttempt().outcome());
        nodo.vanish();
        assertEquals(Outcome.CONNECT_FAILED, runAttempt().outcome());
    }

    @Test
    public void pendingConnectionIsNotUsedOnceTheServerDrains() {
        startAttempt(1_000);
        updateServerPhase(Balancer.Phase.DRAINING);
        advanceMillis(2_000);
        assertEquals(
                List.of(Outcome.NEVER_SENT),
                results.stream().map(Result::outcome).toList());
        assertEquals(0, completeRequests);
        assertEquals(0, upstream.serverCount());
    }

    /** A server that has another address is reached there, and not over what leads to the old one. */
    @Test
    public void movedServerIsReachedAtItsNewAddress() throws Exception {
        assertEquals(Outcome.OK, runAttempt().outcome());
        VirtualHost before = nodo;
        nodo = host("elsewhere", 3);
        listen();
        updateServerPhase(Balancer.Phase.READY);
        before.kill();
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(2, acceptedConnections);
    }

    /** Another server at the address of one that has gone gets connections of its own; the old ones are closed. */
    @Test
    public void newServerAtAReusedAddressGetsNewConnections() {
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(0, closedConnections);
        upstream.removeServer(SERVER);
        advanceMillis(10);
        assertEquals(1, closedConnections);
        upstream.updateServer(new Endpoint(
                new Balancer.Server(SERVER + 1, 0, 0, 0, Balancer.Phase.READY, 1, 0), "other", nodo.at(NODO_PORT)));
        upstream.send(SERVER + 1, newRequest(), 1_000_000, results::add);
        advanceMillis(1_000);
        assertEquals(Outcome.OK, results.get(1).outcome());
        assertEquals(2, acceptedConnections);
        startAttempt(1_000);
        advanceMillis(10);
        assertEquals(Outcome.NEVER_SENT, results.get(2).outcome(), "nothing goes to the one that has left");
    }

    /** What is out when the drain is told ends as it would, and its connection is not kept. */
    @Test
    public void outstandingAttemptFinishesWhenTheServerDrains() {
        onRequest = (ctx, reply) -> ctx.executor().schedule(() -> send(ctx, reply), 100, TimeUnit.MILLISECONDS);
        startAttempt(1_000);
        advanceMillis(50);
        updateServerPhase(Balancer.Phase.DRAINING);
        advanceMillis(100);
        assertEquals(Outcome.OK, results.get(0).outcome());
        assertEquals(1, closedConnections);
    }

    @Test
    public void probeIsAnsweredByTheServer() {
        upstream.probe(SERVER, results::add);
        advanceMillis(1_000);
        assertEquals(1, results.size());
        assertEquals(1, completeRequests);
        assertEquals(Outcome.OK, results.get(0).outcome());
    }
}
