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

/** How the server list is followed, by what the padrón does wrong. On virtual time; one way takes 10 ms. */
class DiscoveryTest {
    private static final long MS = 1_000_000;
    private static final int PORT = 8500;
    private static final String ENTRY = "{\"name\":\"s-%d\",\"address\":\"127.0.0.1:80\",\"zone\":\"a\","
            + "\"type\":\"small\",\"group\":0,\"status\":\"Ready\",\"weight\":1,\"since_ms\":0}";

    private final VirtualTime time = new VirtualTime();
    private final Network network = new Network(time, 0, (from, to, bytes) -> 10 * MS);
    private VirtualHost padron;
    /** What it does with the next calls, one each; silent when there is none. */
    private final Deque<Script> scripts = new ArrayDeque<>();
    /** What it was asked, and when, in milliseconds. */
    private final List<String> asked = new ArrayList<>();

    private final List<Long> askedAt = new ArrayList<>();
    private final List<String> heard = new ArrayList<>();
    private int connections;
    private int ended;

    private interface Script {
        void run(ChannelHandlerContext ctx);
    }

    @BeforeEach
    void set() throws Exception {
        padron = host("padron", 2);
        listen();
    }

    private VirtualHost host(String name, int last) throws Exception {
        return network.host(
                name, InetAddress.getByAddress(new byte[] {127, 0, 0, (byte) last}), 0, 1 << 24, line -> {});
    }

    private void listen() {
        new ServerBootstrap()
                .group(padron.loop())
                .channelFactory(padron.listeners())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        connections++;
                        ch.closeFuture().addListener(closed -> ended++);
                        ch.pipeline()
                                .addLast(
                                        new HttpRequestDecoder(),
                                        new HttpObjectAggregator(1 << 16),
                                        new SimpleChannelInboundHandler<FullHttpRequest>() {
                                            @Override
                                            protected void channelRead0(
                                                    ChannelHandlerContext ctx, FullHttpRequest request) {
                                                asked.add(request.uri());
                                                askedAt.add(time.nanoTime() / MS);
                                                if (!scripts.isEmpty()) {
                                                    scripts.pollFirst().run(ctx);
                                                }
                                            }
                                        });
                    }
                })
                .bind(padron.address(PORT));
        run(0);
    }

    private Discovery follow(String name, int last, String seed) throws Exception {
        VirtualHost agent = host(name, last);
        ObjectNode root =
                (ObjectNode) new ObjectMapper().readTree(Files.readAllBytes(Path.of("src/test/resources/config.json")));
        root.put("discovery", "127.0.0.2:" + PORT).put("seed", seed);
        Discovery discovery = new Discovery(agent, Config.of(root), new Discovery.Listener() {
            @Override
            public void list(ListKind kind, List<Endpoint> endpoints) {
                heard.add(kind + " " + endpoints.stream().map(Endpoint::name).toList());
            }

            @Override
            public void failed(String why) {
                heard.add("failed: " + why);
            }
        });
        discovery.watch();
        return discovery;
    }

    private void run(long forMs) {
        time.run(time.nanoTime() + forMs * MS);
    }

    private static Script says(int status, String body) {
        return ctx -> write(ctx, status, body, body.length());
    }

    private static void write(ChannelHandlerContext ctx, int status, String body, int length) {
        ctx.writeAndFlush(Unpooled.copiedBuffer(
                "HTTP/1.1 " + status + " x\r\nContent-Length: " + length + "\r\n\r\n" + body,
                StandardCharsets.US_ASCII));
    }

    private static Script list(long index, boolean whole, int... servers) {
        List<String> entries = new ArrayList<>();
        for (int each : servers) {
            entries.add(String.format(ENTRY, each));
        }
        return says(
                200,
                "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":[" + String.join(",", entries)
                        + "]}");
    }

    private String lastAsked() {
        return asked.get(asked.size() - 1);
    }

    @Test
    void aListCutInItsMiddleIsNotAppliedAndIsAskedForAgainAtOnce() throws Exception {
        scripts.add(list(4, true, 1));
        scripts.add(ctx -> {
            write(ctx, 200, "{\"index\":9,\"snapshot\":true,\"endpoints\":[" + String.format(ENTRY, 2), 4_000);
            ctx.close();
        });
        scripts.add(list(5, false, 3));
        follow("agent", 1, "1");
        run(1_000); // far less than the time after which an answer is given up
        assertEquals(List.of("FULL [s-1]", "failed: connection closed", "DELTA [s-3]"), heard);
        assertTrue(asked.get(2).contains("since=4&"), "from where it was: " + asked);
    }

    /** Failed before: changes of another history were applied to the list. */
    @Test
    void whenTheVersionGoesBackTheWholeListIsAskedFor() throws Exception {
        scripts.add(list(40, true, 1, 2));
        scripts.add(list(3, false, 3));
        scripts.add(list(4, true, 2, 4));
        follow("agent", 1, "1");
        run(1_000);
        assertEquals(List.of("FULL [s-1, s-2]", "failed: the list's version went back to 3", "FULL [s-2, s-4]"), heard);
        assertEquals("/v1/servers", asked.get(2));
        assertTrue(asked.get(3).contains("since=4&"));
    }

    /** Danger: a call that was given up for another would be made on the connection that comes up for it. */
    @Test
    void aWatchThatEndsWhileItsConnectionComesUpIsNotMade() throws Exception {
        scripts.add(list(4, true, 1));
        Discovery discovery = follow("agent", 1, "1");
        run(5); // on the way
        discovery.fetch();
        run(500);
        assertEquals("/v1/servers", asked.get(0));
        assertEquals(1, asked.stream().filter("/v1/servers"::equals).count(), "asked once: " + asked);
        assertEquals(List.of("FULL [s-1]"), heard);
        assertEquals(1, connections - ended, "nothing is left of the first");
    }

    @Test
    void anAnswerThatComesAfterItsCallWasGivenUpIsDisregarded() throws Exception {
        List<ChannelHandlerContext> first = new ArrayList<>();
        scripts.add(first::add);
        Discovery discovery = follow("agent", 1, "1");
        run(50);
        scripts.add(list(8, true, 2));
        discovery.fetch();
        list(7, true, 1).run(first.get(0));
        run(500);
        assertEquals(List.of("FULL [s-2]"), heard);
    }

    /** Two answers in one segment: the second belongs to no call, and what comes behind it to none of ours. */
    @Test
    void anAnswerToNothingIsNotTakenForThatToTheNextCall() throws Exception {
        scripts.add(ctx -> {
            list(4, true, 1).run(ctx);
            list(9, true, 2).run(ctx);
        });
        scripts.add(list(5, false, 3));
        follow("agent", 1, "1");
        run(500);
        assertEquals(List.of("FULL [s-1]", "failed: connection closed", "DELTA [s-3]"), heard);
        assertTrue(asked.get(1).contains("since=4&"), "from where it was: " + asked);
    }

    @Test
    void nothingIsHeardOfAConnectionThatWasGivenUp() throws Exception {
        scripts.add(ctx -> ctx.writeAndFlush(Unpooled.copiedBuffer(
                "HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: 42\r\n\r\n"
                        + "{\"index\":4,\"snapshot\":true,\"endpoints\":[]}"
                        + "HTTP/1.1 200 x\r\nContent-Length: 42\r\n\r\n{\"index\":9,\"snapshot\":true,\"endpoints\":[]}",
                StandardCharsets.US_ASCII)));
        follow("agent", 1, "1");
        run(300);
        assertEquals(List.of("FULL []"), heard);
        assertTrue(asked.get(1).contains("since=4&"), "from where it was: " + asked);
    }

    /** So many agents begin together and get this answer to every call. */
    private static DiscoveryTest crowd(int agents, int status, long forMs) throws Exception {
        DiscoveryTest day = new DiscoveryTest();
        day.set();
        for (int i = 0; i < 5_000; i++) {
            day.scripts.add(says(status, ""));
        }
        for (int i = 0; i < agents; i++) {
            day.follow("agent-" + i, 10 + i, Integer.toHexString(i + 1));
        }
        day.run(forMs);
        return day;
    }

    /** Failed before: the steps doubled without jitter, and all came back in the same moments. */
    @Test
    void agentsThatAreTurnedAwayTogetherDoNotComeBackTogether() throws Exception {
        DiscoveryTest day = crowd(20, 503, 4_000);
        List<Long> later = day.askedAt.stream().filter(at -> at > 1_000).toList();
        long busiest = later.stream()
                .mapToLong(at -> later.stream()
                        .filter(other -> other >= at && other < at + 20)
                        .count())
                .max()
                .orElse(0);
        assertTrue(later.size() > 20 && busiest <= 8, busiest + " of 20 agents within 20 ms");
    }

    /** Failed before: each came back within a second however often it was told that there was too much to do. */
    @Test
    void whereItIsOverbookedAgentsComeBackLessOftenThanWhereItIsDown() throws Exception {
        int overbooked = crowd(10, 503, 20_000).asked.size();
        int down = crowd(10, 500, 20_000).asked.size();
        assertTrue(overbooked < 0.7 * down, overbooked + " and " + down);
    }

    /** Failed before: one answer ended the back-off, and the next refusal was met at full speed again. */
    @Test
    void oneAnswerAmongRefusalsDoesNotEndTheBackOff() throws Exception {
        for (int i = 0; i < 6; i++) {
            scripts.add(says(503, ""));
        }
        scripts.add(list(4, true, 1));
        for (int i = 0; i < 200; i++) {
            scripts.add(says(503, ""));
        }
        follow("agent", 1, "1");
        while (heard.isEmpty() || !heard.contains("FULL [s-1]")) {
            run(100);
        }
        int before = asked.size();
        run(1_000);
        assertTrue(asked.size() - before <= 5, "calls in the second after: " + (asked.size() - before));
    }

    /** Failed before: each of many changes in a row brought a call of its own from every agent. */
    @Test
    void changesInARowAreFetchedTogether() throws Exception {
        for (int i = 1; i <= 200; i++) {
            scripts.add(list(i, i == 1, i));
        }
        follow("agent", 1, "1");
        run(2_000);
        assertTrue(asked.size() >= 12 && asked.size() <= 25, "calls in 2 s: " + asked.size());
        for (int i = 1; i < askedAt.size(); i++) {
            assertTrue(askedAt.get(i) - askedAt.get(i - 1) < 200, "a watch goes on within 200 ms of its last answer");
        }
    }
}
