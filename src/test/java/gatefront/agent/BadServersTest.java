package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Invalid output of servers: only a complete response is served, and a request with a malformed response counts as
 * started.
 */
class BadServersTest {
    private AgentFixture fixture;
    private final AtomicInteger requestCount = new AtomicInteger();

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
        fixture.settings("caps", caps -> caps.put("probes", false));
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    /**
     * Starts two servers; the first request gets these bytes and its connection stays open, all others are served.
     */
    private void serveFirstResponse(String bytes) throws IOException {
        for (int i = 0; i < 2; i++) {
            fixture.server((message, socket) -> {
                if (requestCount.getAndIncrement() == 0) {
                    ScriptedPeer.write(socket, bytes);
                } else {
                    ScriptedPeer.respond(socket, 200, "", "served");
                }
            });
        }
        fixture.start();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "noise\r\n\r\n",
                "\u0000\u0001HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
                "HTTP/1.1 999999 X\r\nContent-Length: 3\r\n\r\nbad",
                "HTTP/1.1 +200 OK\r\nContent-Length: 3\r\n\r\nbad",
                "HTTP/3.0 200 OK\r\nContent-Length: 3\r\n\r\nbad",
                "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 3\r\n\r\nbad",
                "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nbad",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 30\r\n\r\nbad",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbad",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nbad\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbad",
                "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
            })
    void malformedResponseIsNotServedAndCountsAsStarted(String bytes) throws IOException {
        serveFirstResponse(bytes);
        assertEquals(502, fixture.call("order").status());
        assertEquals(1, requestCount.get(), "it may have run");
        assertEquals("served", fixture.call("order").text());
    }

    @Test
    void safeRequestIsRetriedAfterAMalformedResponse() throws IOException {
        serveFirstResponse("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbad");
        assertEquals("served", fixture.call("lookup").text());
        assertEquals(2, requestCount.get());
    }

    @Test
    void endlessChunkedResponseIsAborted() throws IOException {
        serveFirstResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n" + "x".repeat(0x8000)
                + "\r\n8001\r\n" + "x".repeat(0x8001));
        // Too long to be buffered, so forwarding has begun; the client can tell that the response is truncated.
        assertThrows(IOException.class, () -> fixture.call("order"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 102 Processing\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
            })
    void interimResponsesAreSkipped(String interim) throws IOException {
        serveFirstResponse(interim + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
        assertEquals("good", fixture.call("order").text());
        assertEquals(1, requestCount.get());
    }

    /** Guards against bytes that follow a response being served as the next response. */
    @Test
    void bytesAfterAResponseAreNotServedAsTheNextOne() throws Exception {
        fixture.server((message, socket) -> {
            String id = message.header("Request-Id");
            ScriptedPeer.write(
                    socket, ("HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id).repeat(2));
        });
        fixture.start();
        Socket client = fixture.dial();
        for (int i = 1; i <= 20; i++) {
            assertEquals(
                    "id" + i,
                    AgentFixture.exchange(client, fixture.request("order", 8000, "b"))
                            .text());
        }
    }

    /** Guards against sending a request to every server because one has rejected it as bad. */
    @Test
    void requestRejectedAsBadIsNotRetried() throws IOException {
        serveFirstResponse("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        assertEquals(404, fixture.call("lookup").status());
        assertEquals(1, requestCount.get());
    }

    /** Guards against an invalid number entering the averages of the balancer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "inflight=NaN,queue=1",
                "inflight=Infinity,queue=1",
                "inflight=-1,queue=1",
                "inflight=1e999,queue=1",
                "inflight=,queue=1",
                "inflight",
                "=,=",
                "\"",
                "queue=1"
            })
    void invalidLoadReportIsIgnoredAndItsResponseServed(String report) throws Exception {
        fixture.server(
                (message, socket) -> ScriptedPeer.respond(socket, 200, "Server-Load: " + report + "\r\n", "good"));
        CompletableFuture<double[]> load = new CompletableFuture<>();
        fixture.start(fixture.interceptedBalancer((event, details) -> {
            if (event.equals("outcome")) {
                load.complete((double[]) details[7]);
            }
        }));
        assertEquals("good", fixture.call("order").text());
        assertEquals(0, load.get(20, TimeUnit.SECONDS).length);
    }

    /** Guards against memory and connections being kept for servers that are gone while new ones keep arriving. */
    @Test
    void noStateIsKeptForServersThatAreGone() throws Exception {
        ScriptedPeer first = fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        fixture.start();
        assertEquals(200, fixture.call("order").status());
        for (int i = 2; i <= 40; i++) { // all at the same address, each under a new id
            fixture.discoveryUpdates.add(AgentFixture.delta(
                    i,
                    AgentFixture.endpoint(i - 1, first.address(), "Gone"),
                    AgentFixture.endpoint(1000 + i, first.address(), "Gone"),
                    AgentFixture.endpoint(i, first.address(), "Ready")));
        }
        AgentFixture.await(() -> fixture.discovery.requests.stream()
                .anyMatch(message -> message.target().contains("since=40&")));
        assertEquals(200, fixture.call("order").status());
        assertEquals(1, fixture.agent.trackedServers(), "only the last server");
        AgentFixture.await(() -> first.closedByPeer.size() >= 1);
    }

    /**
     * Guards against treating occasional connection breaks as restarts of the server, each of which reduces its
     * limit.
     */
    @Test
    void occasionalConnectionBreaksDoNotReduceTheLimit() throws Exception {
        AtomicInteger resets = new AtomicInteger();
        fixture.server((message, socket) -> {
            if (resets.getAndDecrement() > 0) {
                ScriptedPeer.reset(socket);
            } else {
                ScriptedPeer.respond(socket, 200, "", "served");
            }
        });
        fixture.start();
        for (int i = 0; i < 20; i++) {
            long startNanos = System.nanoTime();
            resets.set(2);
            assertEquals(502, fixture.call("order").status());
            assertEquals(502, fixture.call("order").status());
            assertEquals(200, fixture.call("order").status());
            if (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(300)) {
                break; // otherwise the delay may look like a restart of the server: repeat
            }
            Thread.sleep(6_000);
        }
        List<CompletableFuture<Integer>> responses = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            Socket client = fixture.dial();
            String request = fixture.request("order", 8000, "body");
            CompletableFuture<Integer> response = new CompletableFuture<>();
            responses.add(response);
            ScriptedPeer.daemon(() ->
                    response.complete(AgentFixture.exchange(client, request).status()));
        }
        for (CompletableFuture<Integer> response : responses) {
            assertEquals(200, response.get(20, TimeUnit.SECONDS));
        }
    }
}
