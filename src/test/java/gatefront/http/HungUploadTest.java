package gatefront.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.budget.StreamWindow;
import gatefront.config.Config;
import gatefront.engine.BodyStream;
import gatefront.engine.PassiveProducer;
import gatefront.engine.Upstream;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer;
import gatefront.rehearsal.net.Network;
import gatefront.rehearsal.net.TamperingTransport;
import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.net.VirtualTime;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Servers that stop reading in the middle of a long request, on virtual time. */
class HungUploadTest {
    private static final int PORT = 80;
    private static final long SERVER = 7;
    private static final int CHUNK_BYTES = 64 << 10;

    private final VirtualTime time = new VirtualTime();
    private final Network network = new Network(time, 0, (from, to, bytes) -> 1);
    private final ResourceBudget budget = new ResourceBudget(1 << 24, Map.of());
    private final BlockableWrites writes = new BlockableWrites();
    private final List<Upstream.Result> results = new ArrayList<>();
    private HttpUpstream upstream;
    private BodyStream body;

    /** A connection that takes what is written to it only while it is not blocked. */
    private static final class BlockableWrites extends ChannelDuplexHandler {
        private final Deque<ChannelPromise> pending = new ArrayDeque<>();
        private boolean blocked;

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (blocked) {
                ReferenceCountUtil.release(message);
                pending.add(promise);
            } else {
                ctx.write(message, promise);
            }
        }

        void takeOne() {
            pending.poll().setSuccess();
        }
    }

    @BeforeEach
    void startUpload() throws Exception {
        VirtualHost agent = host("agent", 1);
        VirtualHost server = host("server", 2);
        new ServerBootstrap()
                .group(server.loop())
                .channelFactory(server.serverChannels())
                .childHandler(new ChannelInboundHandlerAdapter())
                .bind(server.address(PORT));
        upstream = new HttpUpstream(
                new TamperingTransport(agent, ChannelInboundHandlerAdapter::new, () -> writes),
                Config.read(Path.of("src/test/resources/config.json")),
                50,
                budget);
        upstream.updateServer(new Endpoint(
                new Balancer.Server(SERVER, 0, 0, 0, Balancer.Phase.READY, 1, 0), "server", server.address(PORT)));
        body = new BodyStream(
                new PassiveProducer(agent::nanos), new StreamWindow(budget.account(ResourcePurpose.REQUESTS)));
        upstream.send(
                SERVER,
                new HttpUpstream.OutgoingRequest(
                        HttpMethod.POST,
                        "/order",
                        new DefaultHttpHeaders(),
                        HttpUpstream.NO_BODY,
                        body,
                        20 * CHUNK_BYTES),
                1_000_000,
                results::add);
        advanceSeconds(0);
        body.write(Unpooled.wrappedBuffer(new byte[CHUNK_BYTES]));
        advanceSeconds(1);
    }

    private VirtualHost host(String name, int last) throws Exception {
        return network.host(
                name, InetAddress.getByAddress(new byte[] {127, 0, 0, (byte) last}), 0, 1 << 24, line -> {});
    }

    private void advanceSeconds(long seconds) {
        time.run(time.nanoTime() + TimeUnit.SECONDS.toNanos(seconds));
    }

    /** Guards against requests, and their connections, that are held for ever for a server that has stopped reading. */
    @Test
    void requestOfWhichTheServerTakesNothingEndsAsOneThatDidNotRun() {
        writes.blocked = true;
        body.write(Unpooled.wrappedBuffer(new byte[CHUNK_BYTES]));
        advanceSeconds(29);
        assertEquals(List.of(), results);
        assertEquals(1, budget.account(ResourcePurpose.SERVER_CONNECTIONS).entries());
        advanceSeconds(3);
        assertEquals(Balancer.Outcome.CONNECT_FAILED, results.get(0).outcome());
        assertTrue(results.get(0).outcome().neverRan());
        assertEquals(0, budget.account(ResourcePurpose.SERVER_CONNECTIONS).entries());
    }

    /** A server that reads slowly is not one that has stopped. */
    @Test
    void requestOfWhichTheServerTakesALittleNowAndThenGoesOn() {
        writes.blocked = true;
        for (int i = 0; i < 10; i++) {
            body.write(Unpooled.wrappedBuffer(new byte[CHUNK_BYTES]));
            advanceSeconds(25);
            writes.takeOne();
        }
        assertEquals(List.of(), results);
    }

    /** A client that writes nothing for a while leaves nothing for the server to take; the frontend judges it. */
    @Test
    void serverThatHasTakenAllThereIsNeedNotTakeMore() {
        advanceSeconds(100);
        assertEquals(List.of(), results);
    }
}
