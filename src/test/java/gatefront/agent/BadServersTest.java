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

/** What servers may answer: nothing but the whole answer to a request is served, and what is spoilt has run. */
class BadServersTest {
    private AgentFixture stage;
    private final AtomicInteger turn = new AtomicInteger();

    @BeforeEach
    void set() throws IOException {
        stage = new AgentFixture();
        stage.settings("caps", caps -> caps.put("probes", false));
    }

    @AfterEach
    void strike() throws IOException {
        stage.close();
    }

    /** Two servers; the first request gets this, with its connection left open, the others are served. */
    private void firstAnswer(String bytes) throws IOException {
        for (int i = 0; i < 2; i++) {
            stage.server((message, socket) -> {
                if (turn.getAndIncrement() == 0) {
                    ScriptedPeer.write(socket, bytes);
                } else {
                    ScriptedPeer.answer(socket, 200, "", "served");
                }
            });
        }
        stage.start();
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
    void aSpoiltAnswerIsNotServedAndMayHaveRun(String bytes) throws IOException {
        firstAnswer(bytes);
        assertEquals(502, stage.call("order").status());
        assertEquals(1, turn.get(), "it may have run");
        assertEquals("served", stage.call("order").text());
    }

    @Test
    void aSafeRequestIsSentAgainAfterASpoiltAnswer() throws IOException {
        firstAnswer("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbad");
        assertEquals("served", stage.call("lookup").text());
        assertEquals(2, turn.get());
    }

    @Test
    void anAnswerInChunksThatNeverEndIsGivenUp() throws IOException {
        firstAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n" + "x".repeat(0x8000)
                + "\r\n8001\r\n" + "x".repeat(0x8001));
        // What is longer than any answer held has begun to pass on; the caller can tell that it is not whole.
        assertThrows(IOException.class, () -> stage.call("order"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 102 Processing\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
            })
    void whatGoesAheadOfAnAnswerIsPassedOver(String ahead) throws IOException {
        firstAnswer(ahead + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
        assertEquals("good", stage.call("order").text());
        assertEquals(1, turn.get());
    }

    /** Guards against what comes right behind an answer being served as the next answer. */
    @Test
    void whatComesBehindAnAnswerIsNotTheNextOne() throws Exception {
        stage.server((message, socket) -> {
            String id = message.header("Request-Id");
            ScriptedPeer.write(
                    socket, ("HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id).repeat(2));
        });
        stage.start();
        Socket client = stage.dial();
        for (int i = 1; i <= 20; i++) {
            assertEquals(
                    "id" + i,
                    AgentFixture.exchange(client, stage.request("order", 8000, "b"))
                            .text());
        }
    }

    /** Guards against a request that every server is asked because one has found it no good. */
    @Test
    void aRequestThatAServerFindsBadIsNotSentAgain() throws IOException {
        firstAnswer("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        assertEquals(404, stage.call("lookup").status());
        assertEquals(1, turn.get());
    }

    /** Guards against one figure that is none getting into the module's means. */
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
    void aReportThatMakesNoSenseIsPassedOverAndItsAnswerServed(String report) throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "Server-Load: " + report + "\r\n", "good"));
        CompletableFuture<double[]> load = new CompletableFuture<>();
        stage.start(stage.overheard((event, details) -> {
            if (event.equals("outcome")) {
                load.complete((double[]) details[7]);
            }
        }));
        assertEquals("good", stage.call("order").text());
        assertEquals(0, load.get(20, TimeUnit.SECONDS).length);
    }

    /** Guards against memory and connections kept for servers that are gone, as new ones come for ever. */
    @Test
    void nothingIsKeptForServersThatAreGone() throws Exception {
        ScriptedPeer first = stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        stage.start();
        assertEquals(200, stage.call("order").status());
        for (int i = 2; i <= 40; i++) { // each at the same address, under a new id
            stage.news.add(AgentFixture.delta(
                    i,
                    AgentFixture.endpoint(i - 1, first.address(), "Gone"),
                    AgentFixture.endpoint(1000 + i, first.address(), "Gone"),
                    AgentFixture.endpoint(i, first.address(), "Ready")));
        }
        AgentFixture.await(() ->
                stage.discovery.requests.stream().anyMatch(each -> each.target().contains("since=40&")));
        assertEquals(200, stage.call("order").status());
        assertEquals(1, stage.agent.kept(), "of the last one alone");
        AgentFixture.await(() -> first.ended.size() >= 1);
    }

    /** Guards against connections that break now and then passing for restarts, each of which costs room. */
    @Test
    void connectionsThatBreakNowAndThenCostNoRoom() throws Exception {
        AtomicInteger resets = new AtomicInteger();
        stage.server((message, socket) -> {
            if (resets.getAndDecrement() > 0) {
                ScriptedPeer.reset(socket);
            } else {
                ScriptedPeer.answer(socket, 200, "", "served");
            }
        });
        stage.start();
        for (int i = 0; i < 20; i++) {
            long begun = System.nanoTime();
            resets.set(2);
            assertEquals(502, stage.call("order").status());
            assertEquals(502, stage.call("order").status());
            assertEquals(200, stage.call("order").status());
            if (System.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(300)) {
                break; // else this machine was held up for so long that it may have been a restart: once more
            }
            Thread.sleep(6_000);
        }
        List<CompletableFuture<Integer>> answers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            Socket client = stage.dial();
            String request = stage.request("order", 8000, "body");
            CompletableFuture<Integer> answer = new CompletableFuture<>();
            answers.add(answer);
            ScriptedPeer.daemon(
                    () -> answer.complete(AgentFixture.exchange(client, request).status()));
        }
        for (CompletableFuture<Integer> answer : answers) {
            assertEquals(200, answer.get(20, TimeUnit.SECONDS));
        }
    }
}
