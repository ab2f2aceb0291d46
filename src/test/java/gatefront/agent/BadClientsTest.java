package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Invalid input of clients: it ends in an error or a closed connection, reaches no server and affects no other
 * client.
 */
class BadClientsTest {
    private static final String GET = "GET /lookup HTTP/1.1\r\nHost: a\r\nRequest-Class: lookup\r\n";
    private static final ScriptedPeer.Script SERVE =
            (message, socket) -> ScriptedPeer.respond(socket, 200, "", "served");

    private AgentFixture fixture;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    private void assertRejected(int status, String bytes) throws IOException {
        Socket client = fixture.dial();
        ScriptedPeer.Message response = AgentFixture.exchange(client, bytes);
        assertEquals(status, response.status());
        assertEquals("close", response.header("Connection"));
        assertEquals(-1, client.getInputStream().read());
        assertEquals(200, fixture.call("lookup").status(), "the agent still serves");
        assertEquals(1, fixture.requestsReceived(), "the server gets only the valid request");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /nothing HTTP/1.1\r\nHost: a\r\nRequest-Class: nothing\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 5\r\n",
                "GET /lookup HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 500\r\n",
                "GET /order HTTP/1.1\r\nHost: a\r\nRequest-Class: lookup\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 500\r\n",
                "GET /lookup\u00e9 HTTP/1.1\r\nHost: a\r\nRequest-Class: lookup\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 5\r\n",
                "POST /lookup HTTP/1.1\r\nHost: a\r\nRequest-Class: lookup\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 500\r\n"
                        + "Content-Length: 0\r\n",
                "GET /lookup HTTP/1.1\r\nRequest-Class: lookup\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 500\r\n",
                GET + "Request-Timeout-Ms: 500\r\n",
                GET + "Request-Id: \r\nRequest-Timeout-Ms: 500\r\n",
                GET + "Request-Id: a b\r\nRequest-Timeout-Ms: 500\r\n",
                GET + "Request-Id: 1\r\nRequest-Id: 2\r\nRequest-Timeout-Ms: 500\r\n",
                GET + "Request-Id: 1\r\n",
                GET + "Request-Id: 1\r\nRequest-Timeout-Ms: soon\r\n",
                GET + "Request-Id: 1\r\nRequest-Timeout-Ms: -5\r\n",
                GET + "Request-Id: 1\r\nRequest-Timeout-Ms: +5\r\n",
                GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 0\r\n",
                GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 99999999999999999999\r\n",
                GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 500\r\nWork-Hint: much\r\n",
                GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 500\r\nIdempotency-Key: k\r\n",
                GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 500\r\nNote: \u00e9\r\n",
                GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 500\r\nContent-Length: 4\r\n",
                GET + "Request-Id: 1\r\nRequest-Timeout-Ms: 500\r\nno colon\r\n",
                "POST /pay HTTP/1.1\r\nHost: a\r\nRequest-Class: pay\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 500\r\n"
                        + "Content-Length: 0\r\n",
                "\u0016\u0003\u0001\r\n",
                "{\"not\": \"http\"}\r\n"
            })
    void invalidRequestIsAnswered400(String head) throws IOException {
        fixture.server(SERVE);
        fixture.start();
        assertRejected(400, head + "\r\n");
    }

    /**
     * Guards against request smuggling: a request hidden in what another parser takes for the body of the previous
     * one.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: identity",
                "Content-Length: 4\r\nContent-Length: 40",
                "Content-Length: 4, 4",
                "Content-Length: -4",
                "Content-Length: +4",
                "Content-Length: 0x4",
                "Content-Length: ten",
                "Content-Length: 4\nX: y"
            })
    void bodyWithAmbiguousLengthIsAnswered400(String framing) throws IOException {
        fixture.server(SERVE);
        fixture.start();
        assertRejected(
                400,
                "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Class: order\r\nRequest-Id: 1\r\n"
                        + "Request-Timeout-Ms: 8000\r\n" + framing + "\r\n\r\n0\r\n\r\n"
                        + fixture.request("order", 8000, "b"));
    }

    @Test
    void bodyThatIsTooLongIsNotReadFurther() throws Exception {
        fixture.server(SERVE);
        fixture.start();
        assertRejected(
                413, fixture.request("order", 500, "x").replace("Content-Length: 1", "Content-Length: 33554433"));
        Socket client = fixture.dial(); // sends chunks without end
        ScriptedPeer.write(
                client,
                "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Class: order\r\nRequest-Id: 1\r\n"
                        + "Request-Timeout-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n");
        ScriptedPeer.daemon(() -> {
            while (true) {
                ScriptedPeer.write(client, "8000\r\n" + "y".repeat(0x8000) + "\r\n");
            }
        });
        assertEquals(413, ScriptedPeer.read(client.getInputStream()).status());
        AgentFixture.await(() -> {
            try {
                client.getOutputStream().write('y');
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    /** Guards against an error being taken for the response to an earlier request on the connection. */
    @Test
    void errorIsSentAfterTheResponsesBeforeIt() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        fixture.server((message, socket) -> {
            release.await();
            ScriptedPeer.respond(socket, 200, "", "served");
        });
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(
                client,
                fixture.request("order", 8000, "b")
                        + fixture.request("order", 8000, "x").replace("Content-Length: 1", "Content-Length: 60000000"));
        AgentFixture.await(() -> fixture.requestsReceived() == 1);
        Thread.sleep(100);
        release.countDown();
        assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
        assertEquals(413, ScriptedPeer.read(client.getInputStream()).status());
        assertEquals(-1, client.getInputStream().read());
    }

    /** Guards against executing a request twice, and against a client receiving another client's response. */
    @Test
    void duplicateIdOfAnOpenRequestIsRefusedAndThatRequestServed() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        fixture.server((message, socket) -> {
            release.await();
            ScriptedPeer.respond(socket, 200, "", "served");
        });
        fixture.start();
        Socket first = fixture.dial();
        String request = fixture.request("pay", 8000, "body");
        ScriptedPeer.write(first, request);
        AgentFixture.await(() -> fixture.requestsReceived() == 1);
        assertEquals(409, AgentFixture.exchange(fixture.dial(), request).status());
        release.countDown();
        assertEquals(200, ScriptedPeer.read(first.getInputStream()).status());
        assertEquals(1, fixture.requestsReceived());
        assertEquals(
                200,
                AgentFixture.exchange(first, fixture.request("pay", 8000, "body"))
                        .status());
    }

    /** Guards against descriptors being held by clients that send nothing or never complete a request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /loo",
                "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Class: order\r\n"
                        + "Request-Id: 1\r\nRequest-Timeout-Ms: 8000\r\nContent-Length: 100\r\n\r\nhalf"
            })
    void incompleteRequestTimesOut(String incomplete) throws IOException {
        fixture.start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, incomplete);
        if (incomplete.isEmpty()) {
            assertEquals(-1, client.getInputStream().read());
        } else {
            assertEquals(408, ScriptedPeer.read(client.getInputStream()).status());
        }
    }

    /** Guards against hundreds of silent connections shutting out clients that send requests. */
    @Test
    void silentConnectionsAreClosedToAdmitNewOnes() throws Exception {
        ((ObjectNode) fixture.config.get("limits")).put("sockets", 40 + 2 * 12);
        fixture.server(SERVE);
        fixture.start();
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(fixture.dial());
        }
        long startNanos = System.nanoTime();
        assertEquals(200, fixture.call("lookup").status());
        assertTrue(
                System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(8),
                "60 connections, twelve at a time, 2 s each");
        for (Socket client : silent) {
            assertEquals(-1, client.getInputStream().read());
        }
    }

    /** Guards against a shutdown being delayed by clients that send nothing or stop in the middle of a request. */
    @Test
    void shutdownDoesNotWaitForSilentOrIncompleteRequests() throws Exception {
        fixture.start();
        Socket incomplete = fixture.dial();
        ScriptedPeer.write(incomplete, "POST /order HTTP/1.1\r\nHost: a\r\n");
        Socket silent = fixture.dial();
        Thread.sleep(100);
        CompletableFuture<Void> ended = CompletableFuture.runAsync(fixture.agent::stop);
        ended.get(AgentFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertEquals(-1, silent.getInputStream().read());
        incomplete.getInputStream().readAllBytes(); // possibly an error, then the end of the stream
    }

    @Test
    void expectContinueIsAnsweredWith100() throws IOException {
        fixture.server(SERVE);
        fixture.start();
        Socket client = fixture.dial();
        String[] parts = fixture.request("order", 8000, "body").split("\r\n\r\n");
        assertEquals(
                100,
                AgentFixture.exchange(client, parts[0] + "\r\nExpect: 100-continue\r\n\r\n")
                        .status());
        assertEquals(200, AgentFixture.exchange(client, parts[1]).status());
    }
}
