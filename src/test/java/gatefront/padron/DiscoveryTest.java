package gatefront.padron;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.config.Config;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer.ListKind;
import gatefront.rehearsal.net.Network;
import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.net.VirtualTime;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Following the server list with a padrón that misbehaves. Uses virtual time; the one-way network delay is 10 ms. */
class DiscoveryTest {
    private static final long MS = 1_000_000;
    private static final int PORT = 8500;
    private static final String ENTRY = "{\"name\":\"s-%d\",\"address\":\"127.0.0.1:80\",\"zone\":\"a\","
            + "\"type\":\"small\",\"group\":0,\"status\":\"Ready\",\"weight\":1,\"since_ms\":0}";

    private final VirtualTime time = new VirtualTime();
    private final Network network = new Network(time, 0, (from, to, bytes) -> 10 * MS);
    private VirtualHost padron;
    private Channel listener;
    /** The responses to the next requests, one each; without one, the padrón does not respond. */
    private final Deque<Script> scripts = new ArrayDeque<>();
    /** The URIs of the requests, and their times in milliseconds. */
    private final List<String> requestUris = new ArrayList<>();

    private final List<Long> requestTimesMs = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private int connections;
    private int closedConnections;

    private interface Script {
        void run(ChannelHandlerContext ctx);
    }

    @BeforeEach
    void startPadron() throws Exception {
        padron = host("padron", 2);
        listen();
    }

    private VirtualHost host(String name, int lastAddressByte) throws Exception {
        return network.host(
                name, InetAddress.getByAddress(new byte[] {127, 0, 0, (byte) lastAddressByte}), 0, 1 << 24, line -> {});
    }

    private void listen() {
        listener = new ServerBootstrap()
                .group(padron.loop())
                .channelFactory(padron.serverChannels())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        connections++;
                        ch.closeFuture().addListener(closed -> closedConnections++);
                        ch.pipeline()
                                .addLast(
                                        new HttpRequestDecoder(),
                                        new HttpObjectAggregator(1 << 16),
                                        new SimpleChannelInboundHandler<FullHttpRequest>() {
                                            @Override
                                            protected void channelRead0(
                                                    ChannelHandlerContext ctx, FullHttpRequest request) {
                                                requestUris.add(request.uri());
                                                requestTimesMs.add(time.nanoTime() / MS);
                                                if (!scripts.isEmpty()) {
                                                    scripts.pollFirst().run(ctx);
                                                }
                                            }
                                        });
                    }
                })
                .bind(padron.address(PORT))
                .channel();
        advance(0);
    }

    private Discovery follow(String name, int lastAddressByte, String seed) throws Exception {
        VirtualHost agent = host(name, lastAddressByte);
        ObjectNode root =
                (ObjectNode) new ObjectMapper().readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
        root.put("discovery", "127.0.0.2:" + PORT).put("seed", seed);
        Discovery discovery = new Discovery(agent, Config.fromJson(root), new Discovery.Listener() {
            @Override
            public void listReceived(ListKind kind, List<Endpoint> endpoints) {
                events.add(kind + " " + endpoints.stream().map(Endpoint::name).toList());
            }

            @Override
            public void requestFailed(String reason) {
                events.add("failed: " + reason);
            }
        });
        discovery.watch();
        return discovery;
    }

    private void advance(long durationMs) {
        time.run(time.nanoTime() + durationMs * MS);
    }

    private static Script respondWith(int status, String body) {
        return ctx -> write(ctx, status, body, body.length());
    }

    private static void write(ChannelHandlerContext ctx, int status, String body, int length) {
        ctx.writeAndFlush(Unpooled.copiedBuffer(
                "HTTP/1.1 " + status + " x\r\nContent-Length: " + length + "\r\n\r\n" + body,
                StandardCharsets.US_ASCII));
    }

    private static Script list(long index, boolean snapshot, int... servers) {
        List<String> entries = new ArrayList<>();
        for (int server : servers) {
            entries.add(String.format(ENTRY, server));
        }
        return respondWith(
                200,
                "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + String.join(",", entries)
                        + "]}");
    }

    private String lastRequestUri() {
        return requestUris.get(requestUris.size() - 1);
    }

    @Test
    void truncatedListIsNotAppliedAndRequestedAgainWithoutDelay() throws Exception {
        scripts.add(list(4, true, 1));
        scripts.add(ctx -> {
            write(ctx, 200, "{\"index\":9,\"snapshot\":true,\"endpoints\":[" + String.format(ENTRY, 2), 4_000);
            ctx.close();
        });
        scripts.add(list(5, false, 3));
        follow("agent", 1, "1");
        // Much less than the time after which a request is abandoned.
        advance(1_000);
        assertEquals(List.of("FULL [s-1]", "failed: connection closed", "DELTA [s-3]"), events);
        assertTrue(requestUris.get(2).contains("since=4&"), "continues from the last version: " + requestUris);
    }

    /** Guards against applying changes of another history to the list. */
    @Test
    void fullListIsRequestedWhenTheVersionGoesBack() throws Exception {
        scripts.add(list(40, true, 1, 2));
        scripts.add(list(3, false, 3));
        scripts.add(list(4, true, 2, 4));
        follow("agent", 1, "1");
        advance(1_000);
        assertEquals(
                List.of("FULL [s-1, s-2]", "failed: the list's version went back to 3", "FULL [s-2, s-4]"), events);
        assertEquals("/v1/servers", requestUris.get(2));
        assertTrue(requestUris.get(3).contains("since=4&"));
    }

    /** Guards against asking a new process at the address for what has changed since a version of the former one. */
    @Test
    void fullListIsRequestedOnceTheAddressHasRefusedConnections() throws Exception {
        scripts.add(list(40, true, 1, 2));
        scripts.add(ctx -> {
            listener.close();
            ctx.close();
        });
        follow("agent", 1, "1");
        advance(1_000);
        int requestsBefore = requestUris.size();
        scripts.add(list(41, true, 2, 4)); // its own count, which happens to be ahead
        listen();
        advance(3_000);
        assertEquals("/v1/servers", requestUris.get(requestsBefore), () -> requestUris + " " + events);
        assertTrue(events.contains("FULL [s-2, s-4]"), events.toString());
    }

    /** Danger: an abandoned request could be sent on the connection that is established for it. */
    @Test
    void watchCancelledDuringConnectIsNotSent() throws Exception {
        scripts.add(list(4, true, 1));
        Discovery discovery = follow("agent", 1, "1");
        // The connection is being established.
        advance(5);
        discovery.fetchFullList();
        advance(500);
        assertEquals("/v1/servers", requestUris.get(0));
        assertEquals(1, requestUris.stream().filter("/v1/servers"::equals).count(), "requested once: " + requestUris);
        assertEquals(List.of("FULL [s-1]"), events);
        assertEquals(1, connections - closedConnections, "the first connection is closed");
    }

    @Test
    void responseToACancelledRequestIsIgnored() throws Exception {
        List<ChannelHandlerContext> pending = new ArrayList<>();
        scripts.add(pending::add);
        Discovery discovery = follow("agent", 1, "1");
        advance(50);
        scripts.add(list(8, true, 2));
        discovery.fetchFullList();
        list(7, true, 1).run(pending.get(0));
        advance(500);
        assertEquals(List.of("FULL [s-2]"), events);
    }

    /** Two responses in one segment: the second belongs to no request, and nothing after it belongs to one either. */
    @Test
    void unsolicitedResponseIsNotUsedForTheNextRequest() throws Exception {
        scripts.add(ctx -> {
            list(4, true, 1).run(ctx);
            list(9, true, 2).run(ctx);
        });
        scripts.add(list(5, false, 3));
        follow("agent", 1, "1");
        advance(500);
        assertEquals(List.of("FULL [s-1]", "failed: connection closed", "DELTA [s-3]"), events);
        assertTrue(requestUris.get(1).contains("since=4&"), "continues from the last version: " + requestUris);
    }

    @Test
    void responseAfterConnectionCloseIsIgnored() throws Exception {
        scripts.add(ctx -> ctx.writeAndFlush(Unpooled.copiedBuffer(
                "HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: 42\r\n\r\n"
                        + "{\"index\":4,\"snapshot\":true,\"endpoints\":[]}"
                        + "HTTP/1.1 200 x\r\nContent-Length: 42\r\n\r\n{\"index\":9,\"snapshot\":true,\"endpoints\":[]}",
                StandardCharsets.US_ASCII)));
        follow("agent", 1, "1");
        advance(300);
        assertEquals(List.of("FULL []"), events);
        assertTrue(requestUris.get(1).contains("since=4&"), "continues from the last version: " + requestUris);
    }

    /** Starts a number of agents at the same time, all of whose requests get the same response. */
    private static DiscoveryTest startAgents(int agents, int status, long forMs) throws Exception {
        DiscoveryTest test = new DiscoveryTest();
        test.startPadron();
        for (int i = 0; i < 5_000; i++) {
            test.scripts.add(respondWith(status, ""));
        }
        for (int i = 0; i < agents; i++) {
            test.follow("agent-" + i, 10 + i, Integer.toHexString(i + 1));
        }
        test.advance(forMs);
        return test;
    }

    /** Guards against doubled delays without jitter, with which all agents retried at the same moments. */
    @Test
    void agentsRefusedTogetherRetryAtDifferentTimes() throws Exception {
        DiscoveryTest agents = startAgents(20, 503, 4_000);
        List<Long> later =
                agents.requestTimesMs.stream().filter(at -> at > 1_000).toList();
        long busiest = later.stream()
                .mapToLong(at -> later.stream()
                        .filter(other -> other >= at && other < at + 20)
                        .count())
                .max()
                .orElse(0);
        assertTrue(later.size() > 20 && busiest <= 8, busiest + " of 20 agents within 20 ms");
    }

    /** Guards against agents that retry every second however often the padrón reports overload. */
    @Test
    void agentsRetryLessOftenWhenOverloadedThanWhenFailing() throws Exception {
        int overloaded = startAgents(10, 503, 20_000).requestUris.size();
        int failing = startAgents(10, 500, 20_000).requestUris.size();
        assertTrue(overloaded < 0.7 * failing, overloaded + " and " + failing);
    }

    /** Guards against one success that resets the backoff, so that the next refusal is met at the full rate. */
    @Test
    void oneSuccessAmongRefusalsDoesNotResetTheBackoff() throws Exception {
        for (int i = 0; i < 6; i++) {
            scripts.add(respondWith(503, ""));
        }
        scripts.add(list(4, true, 1));
        for (int i = 0; i < 200; i++) {
            scripts.add(respondWith(503, ""));
        }
        follow("agent", 1, "1");
        while (events.isEmpty() || !events.contains("FULL [s-1]")) {
            advance(100);
        }
        int before = requestUris.size();
        advance(1_000);
        assertTrue(requestUris.size() - before <= 5, "calls in the second after: " + (requestUris.size() - before));
    }

    /** Guards against a request of every agent for each of many consecutive changes. */
    @Test
    void consecutiveChangesAreFetchedTogether() throws Exception {
        for (int i = 1; i <= 200; i++) {
            scripts.add(list(i, i == 1, i));
        }
        follow("agent", 1, "1");
        advance(2_000);
        assertTrue(requestUris.size() >= 12 && requestUris.size() <= 25, "calls in 2 s: " + requestUris.size());
        for (int i = 1; i < requestTimesMs.size(); i++) {
            assertTrue(
                    requestTimesMs.get(i) - requestTimesMs.get(i - 1) < 200,
                    "a watch continues within 200 ms of its last response");
        }
    }
}
