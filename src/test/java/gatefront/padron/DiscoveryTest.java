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
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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
        return follow(name, lastAddressByte, seed, "automatic");
    }

    /** Starts an agent with a mode of discovery: "automatic", or "subscribe" if the policy decides when to ask. */
    private Discovery follow(String name, int lastAddressByte, String seed, String mode) throws Exception {
        VirtualHost agent = host(name, lastAddressByte);
        ObjectNode root =
                (ObjectNode) new ObjectMapper().readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
        root.put("discovery", "127.0.0.2:" + PORT).put("seed", seed);
        ((ObjectNode) root.get("settings")).put("discovery", mode);
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

    private static Script after(long delayMs, Script script) {
        return ctx -> ctx.executor().schedule(() -> script.run(ctx), delayMs, TimeUnit.MILLISECONDS);
    }

    private static Script silence() {
        return ctx -> {};
    }

    private int openConnections() {
        return connections - closedConnections;
    }

    private long fullListRequests() {
        return requestUris.stream().filter("/v1/servers"::equals).count();
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
        assertEquals(1, fullListRequests(), "requested once: " + requestUris);
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

    /**
     * Guards against an agent that never gets a list: each call was given up after 2 s, and the next one as well, so a
     * service that takes longer for every call was never heard.
     */
    @ParameterizedTest
    @ValueSource(longs = {1_900, 2_100, 2_500, 2_950, 4_300, 6_000, 7_500})
    void listOfASlowServiceIsReceivedByTheFirstCall(long callMs) throws Exception {
        for (int i = 0; i < 10; i++) {
            scripts.add(after(callMs, list(4 + i, true, 1 + i)));
        }
        follow("agent", 1, "1");
        advance(callMs + 50);
        assertEquals("FULL [s-1]", events.get(events.size() - 1), events.toString());
        assertEquals(1, openConnections(), "the repeated calls are closed");
        advance(200);
        assertTrue(lastRequestUri().contains("since=4&"), "continues from that list: " + requestUris);
    }

    /** Guards against a slow service whose changes are given up, as its watches take longer than the timeout. */
    @ParameterizedTest
    @ValueSource(longs = {2_100, 2_500, 4_300})
    void changeOfASlowServiceIsReceivedByTheWatchThatWaitsForIt(long callMs) throws Exception {
        scripts.add(list(4, true, 1));
        scripts.add(after(5_000 + callMs, list(5, false, 2)));
        for (int i = 0; i < 5; i++) {
            scripts.add(after(5_000 + callMs, list(6 + i, false, 3)));
        }
        follow("agent", 1, "1");
        advance(5_250 + callMs);
        assertEquals("DELTA [s-2]", events.get(events.size() - 1), events.toString());
        assertEquals(1, openConnections(), "the repeated calls are closed");
    }

    /** Guards against waiting longer than 2 s for a connection that has fallen silent. */
    @Test
    void listIsReceivedOnASecondConnectionWhileTheFirstIsSilent() throws Exception {
        scripts.add(silence());
        scripts.add(list(4, true, 1));
        follow("agent", 1, "1");
        advance(2_200);
        assertEquals(List.of("failed: no answer", "FULL [s-1]"), events);
        assertEquals(2, fullListRequests());
        assertEquals(1, openConnections(), "the silent connection is closed");
    }

    /** A silent connection must not cost the slow responses on the connections after it. */
    @Test
    void slowListIsReceivedBesideASilentConnection() throws Exception {
        scripts.add(silence());
        scripts.add(after(2_500, list(4, true, 1)));
        scripts.add(after(2_500, list(5, true, 2)));
        follow("agent", 1, "1");
        advance(4_700);
        assertEquals("FULL [s-1]", events.get(events.size() - 1), events.toString());
    }

    /** Guards against connections that pile up while discovery is silent for long. */
    @Test
    void silentServiceHoldsFewConnections() throws Exception {
        follow("agent", 1, "1");
        for (int second = 0; second < 120; second++) {
            advance(1_000);
            assertTrue(openConnections() <= 4, openConnections() + " connections after " + second + " s");
        }
        scripts.add(list(4, true, 1));
        advance(3_100);
        assertEquals("FULL [s-1]", events.get(events.size() - 1));
        assertEquals(1, openConnections());
    }

    /** Where the policy asks again after a failure, a list that came late meanwhile must not be asked for once more. */
    @Test
    void lateListIsFollowedWithoutTheRepeatedCallOfThePolicy() throws Exception {
        scripts.add(after(2_500, list(4, true, 1)));
        Discovery discovery = follow("agent", 1, "1", "subscribe");
        advance(2_700);
        assertEquals(List.of("failed: no answer", "FULL [s-1]"), events);
        discovery.watch(); // as the policy does after its backoff
        advance(1_000);
        assertEquals(2, requestUris.size(), requestUris.toString());
        assertTrue(lastRequestUri().contains("since=4&"));
        assertEquals(1, connections);
    }

    /** A late refusal or unusable list must neither end the repeated call nor be reported a second time. */
    @ParameterizedTest
    @ValueSource(strings = {"503", "unusable", "closed"})
    void lateFailureDoesNotEndTheRepeatedCall(String failure) throws Exception {
        scripts.add(after(
                3_000,
                switch (failure) {
                    case "503" -> respondWith(503, "");
                    case "unusable" -> respondWith(200, "{\"index\":9}");
                    default -> ChannelHandlerContext::close;
                }));
        scripts.add(after(1_500, list(4, true, 1)));
        follow("agent", 1, "1");
        advance(3_800);
        assertEquals(List.of("failed: no answer", "FULL [s-1]"), events);
        assertEquals(2, fullListRequests());
        assertEquals(1, openConnections());
    }

    /** Guards against the list of an address that is no longer followed. */
    @Test
    void lateListOfAFormerAddressIsNotUsed() throws Exception {
        VirtualHost other = host("other padron", 3);
        scripts.add(after(2_500, list(9, true, 9)));
        Discovery discovery = follow("agent", 1, "1");
        advance(2_000);
        discovery.changeAddress(other.address(PORT));
        advance(1_000);
        assertTrue(events.stream().noneMatch(event -> event.startsWith("FULL")), events.toString());
        assertEquals(0, openConnections());
    }

    /** Guards against late changes of a process at the address that has ended since. */
    @Test
    void lateChangesAreNotUsedOnceTheAddressHasRefusedConnections() throws Exception {
        scripts.add(list(40, true, 1, 2));
        scripts.add(ctx -> {
            listener.close();
            after(7_600, list(41, false, 3)).run(ctx);
        });
        follow("agent", 1, "1");
        advance(8_000);
        assertTrue(events.contains("failed: no connection"), events.toString());
        assertTrue(events.stream().noneMatch(event -> event.startsWith("DELTA")), events.toString());
        scripts.add(list(3, true, 2, 4));
        listen();
        advance(3_000);
        assertTrue(events.contains("FULL [s-2, s-4]"), events.toString());
    }

    /** Many agents start together at a service that works through calls in turn, whether or not they still wait. */
    @Test
    void agentsThatAskTogetherAllGetTheListOfABusyService() throws Exception {
        int agents = 20;
        long[] freeAtMs = {0};
        for (int i = 0; i < 10 * agents; i++) {
            scripts.add(ctx -> {
                long nowMs = time.nanoTime() / MS;
                freeAtMs[0] = Math.max(nowMs, freeAtMs[0]) + 200;
                after(freeAtMs[0] - nowMs, list(4, true, 1)).run(ctx);
            });
        }
        for (int i = 0; i < agents; i++) {
            follow("agent-" + i, 10 + i, Integer.toHexString(i + 1));
        }
        advance(agents * 200 + 200);
        assertEquals(agents, events.stream().filter("FULL [s-1]"::equals).count(), events.toString());
    }
}
