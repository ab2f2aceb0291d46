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
 * Tests that every upstream has to pass, whatever its protocol: the outcome reported for each fault of a server, and
 * that late or surplus response bytes never reach a later attempt. Runs on virtual time; the network latency is one
 * millisecond each way.
 */
public abstract class UpstreamContract {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int NODO_PORT = 80;
    private static final long SERVER = 7;

    private final VirtualTime time = new VirtualTime();
    private final Network network = new Network(time, 0, (from, to, bytes) -> NANOS_PER_MS);
    private final List<Result> results = new ArrayList<>();
    private VirtualHost agent;
    private VirtualHost nodo;
    private PooledUpstream upstream;
    /** What the server does when a complete request has arrived. */
    private ServerScript onRequest = (ctx, reply) -> sendBytes(ctx, reply);
    /** What the server does when the first bytes of a connection have arrived. */
    private ServerScript onFirstBytes = (ctx, reply) -> {};

    private int acceptedConnections;
    private int completeRequests;
    private int closedConnections;

    /**
     * An action of the server; {@code reply} is the response to the request, or null if no complete one has arrived.
     */
    private interface ServerScript {
        void run(ChannelHandlerContext ctx, byte[] reply);
    }

    /** Creates the upstream under test, whose servers listen on the port of their endpoints. */
    protected abstract PooledUpstream createUpstream(Transport transport, int port);

    /** Creates a request. */
    protected abstract Payload newRequest();

    /** Adds a decoder to the server's pipeline that emits one object for each complete request and writes nothing. */
    protected abstract void addServerDecoder(ChannelPipeline pipeline);

    /** Returns the bytes of the response to a request, given the object that the decoder emitted for it. */
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
                new Endpoint(new Balancer.Server(SERVER, 0, 0, 0, phase, 1, 0), "nodo", nodo.address(NODO_PORT)));
    }

    private void listen() {
        new ServerBootstrap()
                .group(nodo.loop())
                .channelFactory(nodo.serverChannels())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        acceptedConnections++;
                        ch.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                            private boolean started;

                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                                if (!started) {
                                    started = true;
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
                            protected void channelRead0(ChannelHandlerContext ctx, Object request) {
                                completeRequests++;
                                onRequest.run(ctx, responseBytes(request));
                            }
                        });
                    }
                })
                .bind(nodo.address(NODO_PORT));
        advanceMillis(0);
    }

    private static void sendBytes(ChannelHandlerContext ctx, byte[] bytes) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    private static void reset(ChannelHandlerContext ctx) {
        ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        ctx.close();
    }

    private void advanceMillis(long millis) {
        time.run(time.nanoTime() + millis * NANOS_PER_MS);
    }

    private Upstream.Attempt startAttempt(long timeoutMs) {
        return upstream.send(SERVER, newRequest(), 1000 * timeoutMs, results::add);
    }

    /** Returns the result of an attempt with a timeout of one second. */
    private Result runAttempt() {
        int before = results.size();
        startAttempt(1_000);
        advanceMillis(2_000);
        assertEquals(before + 1, results.size(), "exactly one result");
        return results.get(before);
    }

    /** Forwards the first bytes of a request, and holds back the rest until the connection is closed. */
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
            pendingWrites.forEach(write -> write.tryFailure(new ClosedChannelException()));
        }

        @Override
        public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
            failPendingWrites();
            ctx.close(promise);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            failPendingWrites(); // as a real channel does: pending writes fail before channelInactive
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
        assertEquals(2, acceptedConnections, "concurrent attempts use separate connections");
        assertEquals(
                5,
                results.stream()
                        .filter(result -> result.outcome() == Outcome.OK)
                        .count());
    }

    /** The server restarts while the request is being sent. The request cannot have run: its last byte was not sent. */
    @Test
    public void resetBeforeTheLastRequestByteCountsAsNeverRun() {
        useStallingTransport();
        onFirstBytes = (ctx, none) -> reset(ctx);
        assertEquals(Outcome.CONNECT_FAILED, runAttempt().outcome());
        assertEquals(0, completeRequests);
        assertTrue(Outcome.CONNECT_FAILED.neverRan());
    }

    /** The server restarts after it has received the whole request, which may have run. */
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
        int[] partLength = {0};
        int[] length = {Integer.MAX_VALUE};
        onRequest = (ctx, reply) -> {
            length[0] = reply.length;
            sendBytes(ctx, Arrays.copyOf(reply, partLength[0]));
            reset(ctx);
        };
        for (partLength[0] = 0; partLength[0] < length[0]; partLength[0]++) {
            Result result = runAttempt();
            assertEquals(Outcome.RESET, result.outcome(), "after " + partLength[0] + " bytes");
            assertNull(result.response());
        }
    }

    /** A response that arrives before the whole request was sent cannot belong to that request. */
    @Test
    public void responseBeforeTheWholeRequestWasSentIsIgnored() {
        byte[][] reply = new byte[1][];
        onRequest = (ctx, bytes) -> reply[0] = bytes;
        startAttempt(50);
        advanceMillis(100);
        assertNotNull(reply[0]);
        useStallingTransport();
        onFirstBytes = (ctx, none) -> sendBytes(ctx, reply[0]);
        Result result = runAttempt();
        assertEquals(Outcome.CONNECT_FAILED, result.outcome());
        assertNull(result.response());
    }

    @Test
    public void lateResponseIsNotGivenToALaterAttempt() {
        int[] requests = {0};
        onRequest = (ctx, reply) -> ctx.executor()
                .schedule(() -> sendBytes(ctx, reply), requests[0]++ == 0 ? 300 : 0, TimeUnit.MILLISECONDS);
        startAttempt(100);
        advanceMillis(103);
        assertEquals(Outcome.TIMEOUT, results.get(0).outcome());
        assertEquals(1, closedConnections, "the connection is closed at once");
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
        assertEquals(0, results.size(), "no result from within cancel()");
        advanceMillis(2);
        assertEquals(Outcome.CANCELLED, results.get(0).outcome());
        assertEquals(1, closedConnections);
        advanceMillis(2_000);
        assertEquals(1, results.size());
    }

    @Test
    public void surplusResponseBytesAreNotGivenToALaterAttempt() {
        onRequest = (ctx, reply) -> {
            byte[] twice = Arrays.copyOf(reply, 2 * reply.length);
            System.arraycopy(reply, 0, twice, reply.length, reply.length);
            sendBytes(ctx, twice);
        };
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(2, acceptedConnections, "the second request is not answered by the surplus response to the first");
    }

    /** The duplicate arrives during the connection's quiet period. */
    @Test
    public void delayedDuplicateResponseIsNotGivenToALaterAttempt() {
        onRequest = (ctx, reply) -> {
            sendBytes(ctx, reply);
            ctx.executor().schedule(() -> sendBytes(ctx, reply), 5, TimeUnit.MILLISECONDS);
        };
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(2, acceptedConnections);
    }

    @Test
    public void malformedResponseIsNotServed() {
        onRequest = (ctx, reply) -> sendBytes(ctx, new byte[] {(byte) 0xff, 1, 2, 3, 4, 5, 6, 7, 8, 9});
        Result result = runAttempt();
        assertEquals(Outcome.RESET, result.outcome());
        assertNull(result.response());
    }

    @Test
    public void failedConnectionCountsAsNeverRun() {
        nodo.kill();
        assertEquals(Outcome.CONNECT_FAILED, runAttempt().outcome());
        nodo.isolate();
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

    /** A server whose address changed is reached at the new one, not over connections to the old one. */
    @Test
    public void movedServerIsReachedAtItsNewAddress() throws Exception {
        assertEquals(Outcome.OK, runAttempt().outcome());
        VirtualHost formerHost = nodo;
        nodo = host("elsewhere", 3);
        listen();
        updateServerPhase(Balancer.Phase.READY);
        formerHost.kill();
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(2, acceptedConnections);
    }

    /** A new server at the address of a removed one gets its own connections; those of the removed one are closed. */
    @Test
    public void newServerAtAReusedAddressGetsNewConnections() {
        assertEquals(Outcome.OK, runAttempt().outcome());
        assertEquals(0, closedConnections);
        upstream.removeServer(SERVER);
        advanceMillis(10);
        assertEquals(1, closedConnections);
        upstream.updateServer(new Endpoint(
                new Balancer.Server(SERVER + 1, 0, 0, 0, Balancer.Phase.READY, 1, 0),
                "other",
                nodo.address(NODO_PORT)));
        upstream.send(SERVER + 1, newRequest(), 1_000_000, results::add);
        advanceMillis(1_000);
        assertEquals(Outcome.OK, results.get(1).outcome());
        assertEquals(2, acceptedConnections);
        startAttempt(1_000);
        advanceMillis(10);
        assertEquals(Outcome.NEVER_SENT, results.get(2).outcome(), "nothing is sent to the removed server");
    }

    /** An attempt that is outstanding when its server starts to drain finishes; its connection is then closed. */
    @Test
    public void outstandingAttemptFinishesWhenTheServerDrains() {
        onRequest = (ctx, reply) -> ctx.executor().schedule(() -> sendBytes(ctx, reply), 100, TimeUnit.MILLISECONDS);
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
