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
    private Script script = (ctx, reply) -> send(ctx, reply);
    /** What it does when the first bytes of a connection have come. */
    private Script first = (ctx, reply) -> {};

    private int accepted;
    private int whole;
    private int ended;

    /** What a nodo does; {@code reply} is its whole answer, if there is a whole call to answer. */
    private interface Script {
        void run(ChannelHandlerContext ctx, byte[] reply);
    }

    /** The upstream, whose nodos listen on the port of their endpoints. */
    protected abstract PooledUpstream upstream(Transport transport, int port);

    /** A call. */
    protected abstract Payload call();

    /** What makes one object of each whole call at a nodo; nothing that writes. */
    protected abstract void decode(ChannelPipeline pipeline);

    /** The bytes of the answer to a call, by the object that was made of it. */
    protected abstract byte[] reply(Object call);

    @BeforeEach
    void set() throws Exception {
        agent = host("agent", 1);
        nodo = host("nodo", 2);
        listen();
        use(agent);
    }

    private VirtualHost host(String name, int last) throws Exception {
        return network.host(
                name, InetAddress.getByAddress(new byte[] {127, 0, 0, (byte) last}), 0, 1 << 24, line -> {});
    }

    private void use(Transport transport) {
        upstream = upstream(transport, NODO_PORT);
        list(Balancer.Phase.READY);
    }

    private void list(Balancer.Phase phase) {
        upstream.listed(new Endpoint(new Balancer.Server(SERVER, 0, 0, 0, phase, 1, 0), "nodo", nodo.at(NODO_PORT)));
    }

    private void listen() {
        new ServerBootstrap()
                .group(nodo.loop())
                .channelFactory(nodo.listeners())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accepted++;
                        ch.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                            private boolean begun;

                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                                if (!begun) {
                                    begun = true;
                                    first.run(ctx, null);
                                }
                                ctx.fireChannelRead(bytes);
                            }

                            @Override
                            public void channelInactive(ChannelHandlerContext ctx) {
                                ended++;
                            }
                        });
                        decode(ch.pipeline());
                        ch.pipeline().addLast(new SimpleChannelInboundHandler<>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, Object call) {
                                whole++;
                                script.run(ctx, reply(call));
                            }
                        });
                    }
                })
                .bind(nodo.at(NODO_PORT));
        run(0);
    }

    private static void send(ChannelHandlerContext ctx, byte[] bytes) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    private static void reset(ChannelHandlerContext ctx) {
        ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        ctx.close();
    }

    private void run(long forMs) {
        time.run(time.nanoTime() + forMs * MS);
    }

    private Upstream.Attempt attempt(long timeoutMs) {
        return upstream.send(SERVER, call(), 1000 * timeoutMs, results::add);
    }

    /** The outcome of a call with a second of time. */
    private Result result() {
        int before = results.size();
        attempt(1_000);
        run(2_000);
        assertEquals(before + 1, results.size(), "one result, exactly");
        return results.get(before);
    }

    /** Lets a call's first bytes through, and keeps the rest until the connection ends. */
    private static final class Stalling extends ChannelDuplexHandler {
        private static final int THROUGH = 10;
        private final List<ChannelPromise> kept = new ArrayList<>();

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            ByteBuf bytes = (ByteBuf) message;
            if (kept.isEmpty()) {
                ctx.write(bytes.copy(bytes.readerIndex(), THROUGH));
            }
            bytes.release();
            kept.add(promise);
        }

        private void fail() {
            kept.forEach(each -> each.tryFailure(new ClosedChannelException()));
        }

        @Override
        public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
            fail();
            ctx.close(promise);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail(); // as a channel does: what was not written fails before its end is told
            ctx.fireChannelInactive();
        }
    }

    private void stall() {
        Supplier<ChannelHandler> nothing = ChannelInboundHandlerAdapter::new;
        use(new TamperingTransport(agent, nothing, Stalling::new));
    }

    @Test
    public void callsAreServedOnOneConnectionOneAfterTheOther() {
        for (int i = 0; i < 3; i++) {
            Result result = result();
            assertEquals(Outcome.OK, result.outcome());
            assertNotNull(result.served());
        }
        assertEquals(1, accepted);
        attempt(1_000);
        attempt(1_000);
        run(100);
        assertEquals(2, accepted, "at the same time, each on its own");
        assertEquals(
                5, results.stream().filter(each -> each.outcome() == Outcome.OK).count());
    }

    /** A nodo restarts under half a call: it never ran, for its last byte never left. */
    @Test
    public void aCallCutOffBeforeItsLastByteNeverRan() {
        stall();
        first = (ctx, none) -> reset(ctx);
        assertEquals(Outcome.CONNECT_FAILED, result().outcome());
        assertEquals(0, whole);
        assertTrue(Outcome.CONNECT_FAILED.neverRan());
    }

    /** A nodo restarts over a whole call: it may have run. */
    @Test
    public void aCallCutOffAfterItsLastByteMayHaveRun() {
        script = (ctx, reply) -> reset(ctx);
        assertEquals(Outcome.RESET, result().outcome());
        assertEquals(1, whole);
        script = (ctx, reply) -> nodo.kill();
        assertEquals(Outcome.RESET, result().outcome());
    }

    @Test
    public void aReplyCutOffAnywhereIsNotServed() {
        int[] cut = {0};
        int[] length = {Integer.MAX_VALUE};
        script = (ctx, reply) -> {
            length[0] = reply.length;
            send(ctx, Arrays.copyOf(reply, cut[0]));
            reset(ctx);
        };
        for (cut[0] = 0; cut[0] < length[0]; cut[0]++) {
            Result result = result();
            assertEquals(Outcome.RESET, result.outcome(), "after " + cut[0] + " bytes");
            assertNull(result.served());
        }
    }

    /** What comes before the call has left whole cannot be an answer to it. */
    @Test
    public void aReplyAheadOfTheWholeCallIsNoAnswer() {
        byte[][] reply = new byte[1][];
        script = (ctx, bytes) -> reply[0] = bytes;
        attempt(50);
        run(100);
        assertNotNull(reply[0]);
        stall();
        first = (ctx, none) -> send(ctx, reply[0]);
        Result result = result();
        assertEquals(Outcome.CONNECT_FAILED, result.outcome());
        assertNull(result.served());
    }

    @Test
    public void aReplyThatComesTooLateMeetsNoLaterCall() {
        int[] calls = {0};
        script = (ctx, reply) ->
                ctx.executor().schedule(() -> send(ctx, reply), calls[0]++ == 0 ? 300 : 0, TimeUnit.MILLISECONDS);
        attempt(100);
        run(103);
        assertEquals(Outcome.TIMEOUT, results.get(0).outcome());
        assertEquals(1, ended, "its connection is closed at once");
        assertEquals(Outcome.OK, result().outcome());
        assertEquals(2, accepted);
        assertEquals(2, results.size());
    }

    @Test
    public void aCancelledCallEndsAtOnceAndItsConnectionWithIt() {
        script = (ctx, reply) -> {};
        Upstream.Attempt attempt = attempt(1_000);
        run(10);
        attempt.cancel();
        assertEquals(0, results.size(), "not within the call that cancels");
        run(2);
        assertEquals(Outcome.CANCELLED, results.get(0).outcome());
        assertEquals(1, ended);
        run(2_000);
        assertEquals(1, results.size());
    }

    @Test
    public void whatIsLeftBehindAReplyMeetsNoLaterCall() {
        script = (ctx, reply) -> {
            byte[] more = Arrays.copyOf(reply, 2 * reply.length);
            System.arraycopy(reply, 0, more, reply.length, reply.length);
            send(ctx, more);
        };
        assertEquals(Outcome.OK, result().outcome());
        assertEquals(Outcome.OK, result().outcome());
        assertEquals(2, accepted, "the second call is not answered by the first one's second reply");
    }

    /** The same a moment later, while the connection rests. */
    @Test
    public void aSecondReplyAMomentLaterMeetsNoLaterCall() {
        script = (ctx, reply) -> {
            send(ctx, reply);
            ctx.executor().schedule(() -> send(ctx, reply), 5, TimeUnit.MILLISECONDS);
        };
        assertEquals(Outcome.OK, result().outcome());
        assertEquals(Outcome.OK, result().outcome());
        assertEquals(2, accepted);
    }

    @Test
    public void bytesThatAreNoReplyAreNotServed() {
        script = (ctx, reply) -> send(ctx, new byte[] {(byte) 0xff, 1, 2, 3, 4, 5, 6, 7, 8, 9});
        Result result = result();
        assertEquals(Outcome.RESET, result.outcome());
        assertNull(result.served());
    }

    @Test
    public void aNodoThatRefusesConnectionsOrIsSilentNeverRanAnything() {
        nodo.kill();
        assertEquals(Outcome.CONNECT_FAILED, result().outcome());
        nodo.vanish();
        assertEquals(Outcome.CONNECT_FAILED, result().outcome());
    }

    @Test
    public void nothingNewGoesToANodoThatDrainsThoughItsConnectionIsComingUp() {
        attempt(1_000);
        list(Balancer.Phase.DRAINING);
        run(2_000);
        assertEquals(
                List.of(Outcome.NEVER_SENT),
                results.stream().map(Result::outcome).toList());
        assertEquals(0, whole);
        assertEquals(0, upstream.size());
    }

    /** A server that has another address is reached there, and not over what leads to the old one. */
    @Test
    public void aNodoListedAtAnotherAddressIsReachedThere() throws Exception {
        assertEquals(Outcome.OK, result().outcome());
        VirtualHost before = nodo;
        nodo = host("elsewhere", 3);
        listen();
        list(Balancer.Phase.READY);
        before.kill();
        assertEquals(Outcome.OK, result().outcome());
        assertEquals(2, accepted);
    }

    /** Another server at the address of one that has gone gets connections of its own; the old ones are closed. */
    @Test
    public void anAddressTakenOverByAnotherNodoIsDialledAnew() {
        assertEquals(Outcome.OK, result().outcome());
        assertEquals(0, ended);
        upstream.gone(SERVER);
        run(10);
        assertEquals(1, ended);
        upstream.listed(new Endpoint(
                new Balancer.Server(SERVER + 1, 0, 0, 0, Balancer.Phase.READY, 1, 0), "other", nodo.at(NODO_PORT)));
        upstream.send(SERVER + 1, call(), 1_000_000, results::add);
        run(1_000);
        assertEquals(Outcome.OK, results.get(1).outcome());
        assertEquals(2, accepted);
        attempt(1_000);
        run(10);
        assertEquals(Outcome.NEVER_SENT, results.get(2).outcome(), "nothing goes to the one that has left");
    }

    /** What is out when the drain is told ends as it would, and its connection is not kept. */
    @Test
    public void whatIsOutWhenADrainIsToldIsFinished() {
        script = (ctx, reply) -> ctx.executor().schedule(() -> send(ctx, reply), 100, TimeUnit.MILLISECONDS);
        attempt(1_000);
        run(50);
        list(Balancer.Phase.DRAINING);
        run(100);
        assertEquals(Outcome.OK, results.get(0).outcome());
        assertEquals(1, ended);
    }

    @Test
    public void aProbeAsksForHealth() {
        upstream.probe(SERVER, results::add);
        run(1_000);
        assertEquals(1, results.size());
        assertEquals(1, whole);
        assertEquals(Outcome.OK, results.get(0).outcome());
    }
}
