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

/** What clients may not send: it ends in an error or a close, reaches no server and harms no other client. */
class BadClientsTest {
    private static final String GET = "GET /lookup HTTP/1.1\r\nHost: a\r\nRequest-Class: lookup\r\n";
    private static final ScriptedPeer.Script SERVES =
            (message, socket) -> ScriptedPeer.answer(socket, 200, "", "served");

    private AgentFixture stage;

    @BeforeEach
    void set() throws IOException {
        stage = new AgentFixture();
    }

    @AfterEach
    void strike() throws IOException {
        stage.close();
    }

    private void assertTurnedAway(int status, String bytes) throws IOException {
        Socket client = stage.dial();
        ScriptedPeer.Message answer = AgentFixture.exchange(client, bytes);
        assertEquals(status, answer.status());
        assertEquals("close", answer.header("Connection"));
        assertEquals(-1, client.getInputStream().read());
        assertEquals(200, stage.call("lookup").status(), "the agent lives on");
        assertEquals(1, stage.arrived(), "and the server has only that one");
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
    void whatIsNoRequestIsAnswered400(String head) throws IOException {
        stage.server(SERVES);
        stage.start();
        assertTurnedAway(400, head + "\r\n");
    }

    /** Guards against a request hidden in what another reader takes for the body of the one before. */
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
    void aBodyWhoseEndIsUnclearIsAnswered400(String framing) throws IOException {
        stage.server(SERVES);
        stage.start();
        assertTurnedAway(
                400,
                "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Class: order\r\nRequest-Id: 1\r\n"
                        + "Request-Timeout-Ms: 8000\r\n" + framing + "\r\n\r\n0\r\n\r\n"
                        + stage.request("order", 8000, "b"));
    }

    @Test
    void aBodyThatIsTooLongIsNotReadOn() throws Exception {
        stage.server(SERVES);
        stage.start();
        assertTurnedAway(
                413, stage.request("order", 500, "x").replace("Content-Length: 1", "Content-Length: 33554433"));
        Socket client = stage.dial(); // one that goes on sending for ever, in chunks
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

    /** Guards against an error being taken for the answer to what was asked before on the connection. */
    @Test
    void anErrorWaitsItsTurn() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        stage.server((message, socket) -> {
            go.await();
            ScriptedPeer.answer(socket, 200, "", "served");
        });
        stage.start();
        Socket client = stage.dial();
        ScriptedPeer.write(
                client,
                stage.request("order", 8000, "b")
                        + stage.request("order", 8000, "x").replace("Content-Length: 1", "Content-Length: 60000000"));
        AgentFixture.await(() -> stage.arrived() == 1);
        Thread.sleep(100);
        go.countDown();
        assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
        assertEquals(413, ScriptedPeer.read(client.getInputStream()).status());
        assertEquals(-1, client.getInputStream().read());
    }

    /** Guards against an effect twice, and against one client getting another's answer. */
    @Test
    void theIdOfAnOpenRequestIsRefusedAndThatRequestUnharmed() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        stage.server((message, socket) -> {
            go.await();
            ScriptedPeer.answer(socket, 200, "", "served");
        });
        stage.start();
        Socket first = stage.dial();
        String request = stage.request("pay", 8000, "body");
        ScriptedPeer.write(first, request);
        AgentFixture.await(() -> stage.arrived() == 1);
        assertEquals(409, AgentFixture.exchange(stage.dial(), request).status());
        go.countDown();
        assertEquals(200, ScriptedPeer.read(first.getInputStream()).status());
        assertEquals(1, stage.arrived());
        assertEquals(
                200,
                AgentFixture.exchange(first, stage.request("pay", 8000, "body")).status());
    }

    /** Guards against descriptors held for those who say nothing, or never come to the end. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /loo",
                "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Class: order\r\n"
                        + "Request-Id: 1\r\nRequest-Timeout-Ms: 8000\r\nContent-Length: 100\r\n\r\nhalf"
            })
    void halfARequestIsNotWaitedForForEver(String half) throws IOException {
        stage.start();
        Socket client = stage.dial();
        ScriptedPeer.write(client, half);
        if (half.isEmpty()) {
            assertEquals(-1, client.getInputStream().read());
        } else {
            assertEquals(408, ScriptedPeer.read(client.getInputStream()).status());
        }
    }

    /** Guards against silent connections by the hundred shutting out those who have something to ask. */
    @Test
    void silentConnectionsMakeRoom() throws Exception {
        ((ObjectNode) stage.config.get("limits")).put("sockets", 40 + 2 * 12);
        stage.server(SERVES);
        stage.start();
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(stage.dial());
        }
        long begun = System.nanoTime();
        assertEquals(200, stage.call("lookup").status());
        assertTrue(System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(8), "60 of them by twelve, each for 2 s");
        for (Socket each : silent) {
            assertEquals(-1, each.getInputStream().read());
        }
    }

    /** Guards against the end being delayed by those who say nothing or stop half-way. */
    @Test
    void theEndDoesNotWaitForSilentOrHalfSentRequests() throws Exception {
        stage.start();
        Socket half = stage.dial();
        ScriptedPeer.write(half, "POST /order HTTP/1.1\r\nHost: a\r\n");
        Socket silent = stage.dial();
        Thread.sleep(100);
        CompletableFuture<Void> ended = CompletableFuture.runAsync(stage.agent::stop);
        ended.get(AgentFixture.GENEROUS_MS, TimeUnit.MILLISECONDS);
        assertEquals(-1, silent.getInputStream().read());
        half.getInputStream().readAllBytes(); // an error perhaps, and the end
    }

    @Test
    void aClientThatAsksFirstWhetherToSendItsBodyIsToldToGoOn() throws IOException {
        stage.server(SERVES);
        stage.start();
        Socket client = stage.dial();
        String[] parts = stage.request("order", 8000, "body").split("\r\n\r\n");
        assertEquals(
                100,
                AgentFixture.exchange(client, parts[0] + "\r\nExpect: 100-continue\r\n\r\n")
                        .status());
        assertEquals(200, AgentFixture.exchange(client, parts[1]).status());
    }
}
