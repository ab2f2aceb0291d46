package gatefront.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.budget.StreamWindow;
import gatefront.config.Config;
import gatefront.engine.BodyStream;
import gatefront.engine.ClientRequest;
import gatefront.engine.Exchange;
import gatefront.engine.Frontend;
import gatefront.engine.PassiveProducer;
import gatefront.rehearsal.net.Network;
import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.net.VirtualTime;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Clients of streamed responses that read, or do not, beside servers that send, or do not, on virtual time. */
class StreamingClientTest {
    /** More than a client's system takes while the client reads nothing. */
    private static final int UNREADABLE_BYTES = 1 << 20;

    private static final int PART_BYTES = 64 << 10;

    private final VirtualTime time = new VirtualTime();
    private final Network network = new Network(time, 0, (from, to, bytes) -> 1);
    private final ResourceBudget budget = new ResourceBudget(1 << 24, Map.of());
    private Channel client;
    private BodyStream body;
    private boolean hasLeft;

    @BeforeEach
    void beginResponse() throws Exception {
        VirtualHost agent = host("agent", 1);
        VirtualHost clientHost = host("client", 2);
        InetSocketAddress address = agent.address(80);
        ObjectNode config =
                (ObjectNode) new ObjectMapper().readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
        config.put("listen", address.getAddress().getHostAddress() + ":" + address.getPort());
        Exchange[] exchanges = new Exchange[1];
        new HttpFrontend(agent, Config.fromJson(config), 50, () -> true, budget, new Frontend.Listener() {
                    @Override
                    public void request(ClientRequest request, long sentNanos, Exchange exchange) {
                        exchanges[0] = exchange;
                    }

                    @Override
                    public void clientLeft(Exchange exchange) {
                        hasLeft = true;
                    }
                })
                .listen();
        advanceSeconds(1);
        client = new Bootstrap()
                .group(clientHost.loop())
                .channelFactory(clientHost.clientChannels())
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address)
                .channel();
        advanceSeconds(1);
        client.writeAndFlush(Unpooled.copiedBuffer(
                "GET /lookup HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\nRequest-Class: lookup\r\n"
                        + "Request-Timeout-Ms: 1600\r\n\r\n",
                StandardCharsets.US_ASCII));
        advanceSeconds(1);
        body = new BodyStream(
                new PassiveProducer(agent::nanos), new StreamWindow(budget.account(ResourcePurpose.ANSWERS)));
        exchanges[0].served(new HttpUpstream.ServedResponse(HttpUpstream.NO_BODY, body, 8 << 20, null, null));
        advanceSeconds(1);
    }

    private VirtualHost host(String name, int last) throws Exception {
        return network.host(
                name, InetAddress.getByAddress(new byte[] {127, 0, 0, (byte) last}), 0, 1 << 24, line -> {});
    }

    private void advanceSeconds(long seconds) {
        time.run(time.nanoTime() + TimeUnit.SECONDS.toNanos(seconds));
    }

    private void serverSends(int bytes) {
        for (int sent = 0; sent < bytes; sent += PART_BYTES) {
            body.write(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
        }
        advanceSeconds(0);
    }

    /** Guards against charging a client that has read all there is with the silence of its server. */
    @Test
    void clientThatHasReadAllIsNotClosedForTheSilenceOfItsServer() {
        serverSends(PART_BYTES);
        advanceSeconds(100);
        assertFalse(hasLeft);
    }

    @Test
    void clientThatReadsNothingIsClosedAfterThirtySeconds() {
        client.config().setAutoRead(false);
        serverSends(UNREADABLE_BYTES);
        advanceSeconds(29);
        assertFalse(hasLeft);
        advanceSeconds(2);
        assertTrue(hasLeft);
    }

    /** Guards against a client that has less than its 30 s to read on, as its server was silent before. */
    @Test
    void clientHasItsTimeToReadAfterASilenceOfItsServer() {
        client.config().setAutoRead(false);
        serverSends(PART_BYTES); // its system takes that much
        advanceSeconds(20);
        serverSends(UNREADABLE_BYTES);
        advanceSeconds(29);
        assertFalse(hasLeft);
        advanceSeconds(2);
        assertTrue(hasLeft);
    }
}
