package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.config.Config;
import gatefront.policy.Balancer;
import java.io.EOFException;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The agent over loopback sockets, against scripted peers. */
class AgentTest {
    private static final ScriptedPeer.Script SERVES =
            (message, socket) -> ScriptedPeer.answer(socket, 200, "", "served");
    private static final ScriptedPeer.Script SILENT = (message, socket) -> {};
    private static final ScriptedPeer.Script RESETS = (message, socket) -> ScriptedPeer.reset(socket);
    private static final ScriptedPeer.Script CUTS_OFF = (message, socket) -> {
        ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        socket.close();
    };

    private AgentFixture stage;

    @BeforeEach
    void set() throws IOException {
        stage = new AgentFixture();
    }

    @AfterEach
    void strike() throws IOException {
        stage.close();
    }

    /** A server that does the one thing with its first request and serves the others; two of them alike. */
    private void twoServersThatFirst(ScriptedPeer.Script script) throws IOException {
        AtomicBoolean first = new AtomicBoolean(true);
        for (int i = 0; i < 2; i++) {
            stage.server((message, socket) -> (first.getAndSet(false) ? script : SERVES).handle(message, socket));
        }
        stage.start();
    }

    // ---- Passing on ----

    @Test
    void aRequestGoesOnUnchangedAndItsAnswerComesBackUnchanged() throws IOException {
        String body = "b\u0000\u00ff".repeat(20_000);
        ScriptedPeer server =
                stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "Content-Type: x/y\r\n", body));
        stage.start();
        ScriptedPeer.Message answer = AgentFixture.exchange(stage.dial(), stage.request("pay", 5000, body));
        assertEquals(200, answer.status());
        assertEquals(body, answer.text());
        assertEquals("x/y", answer.header("Content-Type"));
        ScriptedPeer.Message sent = server.requests.get(0);
        assertEquals("POST /pay?q=1 HTTP/1.1", sent.first());
        assertEquals(body, sent.text());
        assertEquals("id1", sent.header("Request-Id"));
        assertEquals("k1", sent.header("Idempotency-Key"));
        int told = Integer.parseInt(sent.header("Request-Timeout-Ms"));
        assertTrue(told > 0 && told <= 3000, "it waits no longer than the aim: " + told);
    }

    @Test
    void splitAndChunkedMessagesAndBodiesOf64KiBPass() throws Exception {
        String chunk = "c".repeat(32 << 10);
        ScriptedPeer server = stage.server((message, socket) -> {
            for (String part : List.of(
                    "HTTP/1.1 200 O",
                    "K\r\nTransfer-Enco",
                    "ding: chunked\r\n\r\n8000\r\n",
                    chunk,
                    "\r\n8000\r\n",
                    chunk,
                    "\r\n0\r\n",
                    "\r\n")) {
                ScriptedPeer.write(socket, part);
                Thread.sleep(2);
            }
        });
        stage.start();
        Socket client = stage.dial();
        String head = "POST /order HTTP/1.1\r\nHost: a\r\nRequest-Id: x\r\nRequest-Class: order\r\n"
                + "Request-Timeout-Ms: 8000\r\n";
        for (String part : List.of(
                head,
                "Transfer-Encoding: chunked\r\n\r\n8000\r\n" + chunk + "\r\n8000\r\n",
                chunk + "\r\n0",
                "\r\n\r\n")) {
            ScriptedPeer.write(client, part);
            Thread.sleep(2);
        }
        assertEquals(chunk + chunk, ScriptedPeer.read(client.getInputStream()).text());
        assertEquals(chunk + chunk, server.requests.get(0).text());
    }

    @Test
    void connectionsAreKeptOnBothSides() throws Exception {
        ScriptedPeer server = stage.server(SERVES);
        stage.start();
        Socket client = stage.dial();
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    200,
                    AgentFixture.exchange(client, stage.request("lookup", 8000, ""))
                            .status());
            Thread.sleep(100); // a connection rests a moment before it is used again
        }
        assertEquals(5, server.requests.size());
        assertTrue(server.sockets.size() <= 2, "one for requests, and perhaps one for probes");
    }

    @Test
    void requestsSentInAdvanceAreAnsweredInTheirOrder() throws IOException {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", message.header("Request-Id")));
        stage.start();
        Socket client = stage.dial();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 12; i++) {
            all.append(stage.request("lookup", 8000, ""));
        }
        ScriptedPeer.write(client, all.toString());
        for (int i = 1; i <= 12; i++) {
            assertEquals("id" + i, ScriptedPeer.read(client.getInputStream()).text());
        }
    }

    /** Guards against the first requests meeting code that is not even loaded. */
    @Test
    void thePathIsRunOverSocketsBeforeTheAgentIsReadyAndLeavesNothingBehind() throws Exception {
        stage.start();
        assertTrue(stage.agent.warmedBy() > 0);
        assertEquals(0, stage.agent.kept());
        assertEquals(503, stage.call("lookup").status(), "it is no server of its own");
    }

    // ---- Outcomes ----

    @ParameterizedTest
    @ValueSource(strings = {"lookup", "pay", "order"})
    void whatWasTurnedAwayUnseenIsSentAgain(String type) throws IOException {
        twoServersThatFirst((message, socket) -> ScriptedPeer.answer(socket, 503, "Not-Started: 1\r\n", ""));
        assertEquals(200, stage.call(type).status());
        assertEquals(2, stage.arrived());
    }

    /** Guards against an effect twice: only Not-Started proves that a 503 has not run. */
    @Test
    void aBare503MayHaveRun() throws IOException {
        twoServersThatFirst((message, socket) -> ScriptedPeer.answer(socket, 503, "", ""));
        assertEquals(502, stage.call("order").status());
        assertEquals(1, stage.arrived());
    }

    /** Guards against an effect twice: a request written whole may have run, however its connection ends. */
    @Test
    void anUnsafeRequestIsNotSentAgainAfterAReset() throws IOException {
        twoServersThatFirst(RESETS);
        assertEquals(502, stage.call("order").status());
        assertEquals(1, stage.arrived());
    }

    @ParameterizedTest
    @ValueSource(strings = {"lookup", "pay"})
    void aSafeOrKeyedRequestIsSentAgainAfterAReset(String type) throws IOException {
        twoServersThatFirst(RESETS);
        assertEquals(200, stage.call(type).status());
        assertEquals(2, stage.arrived());
    }

    /** Guards against half an answer being served as a whole one. */
    @Test
    void anAnswerCutOffIsNotServed() throws IOException {
        twoServersThatFirst(CUTS_OFF);
        ScriptedPeer.Message answer = stage.call("lookup");
        assertEquals(200, answer.status());
        assertEquals("served", answer.text());
    }

    @ParameterizedTest
    @ValueSource(strings = {"ff\r\nhalf", "4\r\nhalf\r\nno size\r\n"})
    void anAnswerCutOffOrSpoiltInsideItsChunksIsNotServed(String chunks) throws IOException {
        twoServersThatFirst((message, socket) -> {
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
            socket.close();
        });
        assertEquals(502, stage.call("order").status());
        assertEquals(1, stage.arrived());
    }

    @Test
    void anAnswerThatIsNotHttpOrTooLargeFailsItsAttemptOnly() throws IOException {
        AtomicInteger turn = new AtomicInteger();
        for (int i = 0; i < 3; i++) {
            stage.server((message, socket) -> {
                switch (turn.getAndIncrement()) {
                    case 0 -> ScriptedPeer.write(socket, "I am not HTTP\r\n\r\n");
                    case 1 -> ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\nx");
                    default -> ScriptedPeer.answer(socket, 200, "", "served");
                }
            });
        }
        stage.start();
        assertEquals("served", stage.call("lookup").text());
        assertEquals(3, turn.get());
    }

    @Test
    void aServerThatRefusesConnectionsCostsAnUnsafeRequestNothing() throws IOException {
        stage.server(SERVES).listener.close();
        stage.server(SERVES);
        stage.start();
        for (int i = 0; i < 6; i++) {
            assertEquals(200, stage.call("order").status());
        }
        assertEquals(6, stage.arrived());
    }

    @Test
    void aRequestWithNowhereToGoIsRefusedWithAdvice() throws IOException {
        stage.start();
        ScriptedPeer.Message answer = stage.call("order");
        assertEquals(503, answer.status());
        assertEquals("1.0", answer.header("Retry-After"));
    }

    @Test
    void aSilentServerIsGivenUpInTimeAndItsConnectionClosed() throws IOException {
        stage.settings("caps", caps -> caps.put("probes", false));
        ScriptedPeer server = stage.server(SILENT);
        stage.start();
        assertEquals(
                502,
                AgentFixture.exchange(stage.dial(), stage.request("order", 1000, "body"))
                        .status());
        AgentFixture.await(() -> server.ended.size() == server.sockets.size());
        assertEquals(1, server.requests.size());
    }

    /** Guards against work and sockets spent on a client that has gone. */
    @Test
    void theAttemptOfAClientThatLeavesIsGivenUp() throws Exception {
        stage.settings("caps", caps -> caps.put("probes", false).put("cancel", false));
        ScriptedPeer server = stage.server(SILENT);
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        stage.start(stage.overheard((event, details) -> {
            if (event.equals("outcome")) {
                outcome.complete(details[4]);
            }
        }));
        Socket client = stage.dial();
        ScriptedPeer.write(client, stage.request("lookup", 8000, ""));
        AgentFixture.await(() -> server.requests.size() == 1);
        client.close();
        assertEquals(Balancer.Outcome.CANCELLED, outcome.get(20, TimeUnit.SECONDS), "and not its time-out");
        AgentFixture.await(() -> server.ended.size() == 1);
    }

    /** Guards against writing to a connection that the server is about to close as idle. */
    @Test
    void connectionsAreClosedBeforeTheServerWouldCloseThem() throws IOException {
        stage.settings("caps", caps -> caps.put("idle-close-us", 400_000).put("probes", false));
        ScriptedPeer server = stage.server(SERVES);
        stage.start();
        assertEquals(200, stage.call("lookup").status());
        AgentFixture.await(() -> server.ended.size() == 1);
        assertEquals(200, stage.call("lookup").status());
    }

    // ---- Discovery and drains ----

    @Test
    void changesAreAppliedAndADrainedServerGetsNothingNew() throws Exception {
        ScriptedPeer first = stage.server(SERVES);
        ScriptedPeer second = new ScriptedPeer(SERVES);
        stage.servers.add(second);
        stage.start();
        assertEquals(200, stage.call("lookup").status());
        stage.news.add(AgentFixture.delta(
                1,
                AgentFixture.endpoint(2, second.address(), "Ready"),
                AgentFixture.endpoint(1, first.address(), "Terminating")));
        AgentFixture.await(() ->
                stage.discovery.requests.stream().anyMatch(each -> each.target().contains("since=1&")));
        int before = first.requests.size();
        for (int i = 0; i < 5; i++) {
            assertEquals(200, stage.call("lookup").status());
        }
        assertEquals(before, first.requests.size());
        assertEquals(5, second.requests.size());
    }

    /** Guards against a request written, after a drain was told, to a connection that was still being made. */
    @Test
    void aDrainToldWhileConnectingStopsTheRequest() throws Exception {
        stage.settings("caps", caps -> caps.put("dial-timeout-us", 6_000_000).put("probes", false));
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + full.getLocalPort();
            ((ObjectNode) stage.config.get("known"))
                    .putArray("endpoints")
                    .add(AgentFixture.endpoint(1, address, "Ready"));
            stage.start();
            List<Socket> filling = new ArrayList<>();
            for (int i = 0; i < 4; i++) { // the kernel holds back further connections until some are accepted
                Socket socket = new Socket();
                filling.add(socket);
                ScriptedPeer.daemon(() -> socket.connect(full.getLocalSocketAddress()));
            }
            Thread.sleep(200);
            Socket client = stage.dial();
            ScriptedPeer.write(client, stage.request("order", 8000, "body"));
            Thread.sleep(100);
            stage.news.add(AgentFixture.delta(1, AgentFixture.endpoint(1, address, "Terminating")));
            AgentFixture.await(() -> stage.discovery.requests.stream()
                    .anyMatch(each -> each.target().contains("since=1&")));
            AtomicInteger written = new AtomicInteger();
            ScriptedPeer.daemon(() -> {
                while (true) {
                    Socket accepted = full.accept();
                    ScriptedPeer.daemon(
                            () -> written.addAndGet(accepted.getInputStream().readNBytes(1).length));
                }
            });
            assertEquals(503, ScriptedPeer.read(client.getInputStream()).status());
            assertEquals(0, written.get());
            for (Socket socket : filling) {
                socket.close();
            }
        }
    }

    /** Guards against a list that cannot be read taking the servers away, or ending the agent. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "not json",
                "{}",
                "{\"index\":9,\"snapshot\":true,\"endpoints\":[{\"name\":\"s\"}]}",
                "{\"index\":9,\"snapshot\":true,\"endpoints\":[7]}"
            })
    void anUnusableListLeavesTheOldOneAndTheWholeIsAskedForAgain(String body) throws Exception {
        stage.server(SERVES);
        stage.start();
        int before = stage.discovery.requests.size();
        stage.news.add((message, socket) -> ScriptedPeer.answer(socket, 200, "", body));
        AgentFixture.await(() -> stage.discovery.requests.stream().skip(before).anyMatch(each -> each.target()
                .equals("/v1/servers")));
        assertEquals(200, stage.call("lookup").status());
    }

    /** The known list is older than the last replacement: what the padrón's own list has no more leaves nothing. */
    @Test
    void whatOnlyTheKnownListHasIsForgottenWithTheFirstWholeList() throws Exception {
        ScriptedPeer replaced = stage.server(SERVES);
        ScriptedPeer server = new ScriptedPeer(SERVES);
        stage.servers.add(server);
        ScriptedPeer padron = stage.peer((message, socket) -> {
            if (!message.target().contains("since")) {
                ScriptedPeer.answer(
                        socket,
                        200,
                        "",
                        "{\"index\":7,\"snapshot\":true,\"endpoints\":["
                                + AgentFixture.endpoint(2, server.address(), "Ready") + "]}");
            }
        });
        stage.config.put("discovery", padron.address());
        stage.start();
        AgentFixture.await(
                () -> padron.requests.stream().anyMatch(each -> each.target().contains("since=7&")));
        assertEquals(200, stage.call("order").status());
        assertEquals(List.of(0, 1), List.of(replaced.requests.size(), server.requests.size()));
        assertEquals(1, stage.agent.kept());
    }

    @Test
    void afterAFailedOrBrokenCallTheListIsFollowedOn() throws Exception {
        ScriptedPeer server = new ScriptedPeer(SERVES);
        stage.servers.add(server);
        stage.start();
        stage.news.add((message, socket) -> ScriptedPeer.answer(socket, 503, "", ""));
        stage.news.add(RESETS);
        stage.news.add((message, socket) -> socket.close());
        stage.news.add((message, socket) -> ScriptedPeer.answer(
                socket, 200, "Connection: close\r\n", "{\"index\":3,\"snapshot\":false,\"endpoints\":[]}"));
        stage.news.add(AgentFixture.delta(4, AgentFixture.endpoint(1, server.address(), "Ready")));
        assertEquals(200, stage.call("lookup").status());
    }

    @Test
    void whereDiscoveryIsAskedTheModuleSaysWhenAfterAFailure() throws Exception {
        ((ObjectNode) stage.config.get("settings")).put("discovery", "subscribe");
        ScriptedPeer server = new ScriptedPeer(SERVES);
        stage.servers.add(server);
        stage.start();
        stage.news.add((message, socket) -> ScriptedPeer.answer(socket, 503, "", ""));
        stage.news.add(AgentFixture.delta(4, AgentFixture.endpoint(1, server.address(), "Ready")));
        AgentFixture.await(() ->
                stage.discovery.requests.stream().anyMatch(each -> each.target().contains("since=4&")));
        assertEquals(200, stage.call("lookup").status());
    }

    @Test
    void whileDiscoveryIsDownTheKnownListHasToDo() throws Exception {
        stage.server(SERVES);
        stage.discovery.close();
        stage.start();
        assertEquals(200, stage.call("order").status());
    }

    @Test
    void theListGivesTimesAndNamesAsTheModuleNeedsThem() throws Exception {
        ObjectNode entry = AgentFixture.endpoint(1, "127.0.0.1:9", "Ready");
        ((ObjectNode) stage.config.get("known"))
                .putArray("endpoints")
                .add(entry)
                .add(AgentFixture.endpoint(2, "127.0.0.1:9", "Gone"));
        entry.put("since_ms", 1_700_000_000_123L);
        List<gatefront.membership.Endpoint> list = gatefront.padron.Discovery.decode(
                        stage.config.get("known"), Config.fromJson(stage.config))
                .endpoints();
        assertEquals(1_700_000_000_123_000L, list.get(0).server().startedAt());
        assertEquals(0, list.get(1).server().startedAt());
        assertEquals(Balancer.Phase.GONE, list.get(1).server().phase());
        assertEquals(Config.id("s-1"), list.get(0).server().id());
    }

    /** Guards against a request that is answered for another's fault, or never. */
    @ParameterizedTest
    @ValueSource(strings = {"request", "outcome"})
    void aFaultOfTheModuleStillGivesOneFinalAnswer(String where) throws IOException {
        stage.server(SERVES);
        AtomicBoolean faulty = new AtomicBoolean(true);
        stage.start(stage.overheard((event, details) -> {
            if (event.equals(where) && faulty.getAndSet(false)) {
                throw new IllegalStateException("a test's fault");
            }
        }));
        assertEquals(where.equals("request") ? 500 : 200, stage.call("lookup").status());
        assertEquals(200, stage.call("lookup").status());
    }

    // ---- Limits and the end ----

    /** Guards against running out of descriptors, on either side. */
    @Test
    void atTheLimitOnSocketsNothingIsLost() throws Exception {
        ((ObjectNode) stage.config.get("limits")).put("sockets", 40 + 2 * 12);
        CountDownLatch open = new CountDownLatch(1);
        stage.server((message, socket) -> {
            open.await();
            ScriptedPeer.answer(socket, 200, "", "served");
        });
        stage.start();
        List<CompletableFuture<Integer>> answers = new ArrayList<>();
        for (int i = 0; i < 36; i++) {
            Socket client = stage.dial();
            String request = stage.request("order", 8000, "body");
            CompletableFuture<Integer> answer = new CompletableFuture<>();
            answers.add(answer);
            ScriptedPeer.daemon(
                    () -> answer.complete(AgentFixture.exchange(client, request).status()));
        }
        AgentFixture.await(() -> stage.arrived() > 0);
        open.countDown();
        for (CompletableFuture<Integer> answer : answers) {
            assertTrue(List.of(200, 503).contains(answer.get(20, TimeUnit.SECONDS)));
        }
        assertEquals(200, stage.call("order").status());
    }

    /**
     * Guards against a request lost on a kept connection that is closed for room while it is on its way; one
     * that has to go is told so with its answer.
     */
    @Test
    void atTheLimitOnSocketsKeptConnectionsAreNotClosedUnannounced() throws Exception {
        ((ObjectNode) stage.config.get("limits")).put("sockets", 40 + 2 * 12);
        stage.server(SERVES);
        stage.start();
        Map<Socket, Long> kept = new LinkedHashMap<>(); // and when each had its answer
        for (int i = 0; i < 11; i++) {
            Socket client = stage.dial();
            if (AgentFixture.exchange(client, stage.request("lookup", 8000, "")).header("Connection") == null) {
                kept.put(client, System.nanoTime());
            }
        }
        List<CompletableFuture<Integer>> more = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            Socket client = stage.dial();
            String request = stage.request("lookup", 8000, "");
            CompletableFuture<Integer> answer = new CompletableFuture<>();
            more.add(answer);
            ScriptedPeer.daemon(
                    () -> answer.complete(AgentFixture.exchange(client, request).status()));
        }
        int told = 0;
        for (Socket client : kept.keySet()) {
            ScriptedPeer.Message answer;
            try {
                answer = AgentFixture.exchange(client, stage.request("lookup", 8000, ""));
            } catch (EOFException e) {
                // While room is scarce what has asked nothing for 2 s may go, and on a slow machine some get there.
                assertTrue(System.nanoTime() - kept.get(client) > TimeUnit.MILLISECONDS.toNanos(1_500), "unannounced");
                told++;
                continue;
            }
            assertTrue(List.of(200, 503).contains(answer.status()));
            told += "close".equals(answer.header("Connection")) ? 1 : 0;
        }
        assertTrue(told > 0, "some made room");
        for (CompletableFuture<Integer> answer : more) {
            assertTrue(List.of(200, 503).contains(answer.get(20, TimeUnit.SECONDS)));
        }
    }

    @Test
    void anAgentToldToEndServesOnForAMomentAndFinishesWhatItHolds() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        stage.server((message, socket) -> {
            if (message.target().startsWith("/order")) {
                go.await();
            }
            ScriptedPeer.answer(socket, 200, "", "served");
        });
        stage.start();
        Socket held = stage.dial();
        Socket idle = stage.dial();
        assertEquals(
                200,
                AgentFixture.exchange(idle, stage.request("lookup", 8000, "")).status());
        ScriptedPeer.write(held, stage.request("order", 8000, "body"));
        AgentFixture.await(() -> stage.arrived() == 2);
        Thread ending = ScriptedPeer.daemon(stage.agent::stop);
        // It says so, and serves on, on connections old and new, without ending them.
        AgentFixture.await(() -> health() == 503);
        for (Socket each : List.of(idle, stage.dial())) {
            ScriptedPeer.Message answer = AgentFixture.exchange(each, stage.request("lookup", 8000, ""));
            assertEquals(200, answer.status());
            assertNull(answer.header("Connection"));
        }
        assertThrows(EOFException.class, () -> ScriptedPeer.read(idle.getInputStream()));
        AgentFixture.await(
                () -> { // it no longer listens, but still owes an answer
                    try {
                        return !stage.dial().isBound();
                    } catch (IOException e) {
                        return true;
                    }
                });
        assertTrue(ending.isAlive());
        go.countDown();
        ScriptedPeer.Message answer = ScriptedPeer.read(held.getInputStream());
        assertEquals(200, answer.status());
        assertEquals("close", answer.header("Connection"));
        ending.join(AgentFixture.GENEROUS_MS);
        assertFalse(ending.isAlive());
    }

    @Test
    void anAgentToldToEndThatNobodyUsesEndsBeforeOneInUse() throws Exception {
        try (AgentFixture used = new AgentFixture()) {
            used.start();
            stage.start();
            stage.hangUp();
            used.dial();
            Thread unusedEnds = ScriptedPeer.daemon(stage.agent::stop);
            Thread usedEnds = ScriptedPeer.daemon(used.agent::stop);
            unusedEnds.join(AgentFixture.GENEROUS_MS);
            assertFalse(unusedEnds.isAlive());
            assertTrue(usedEnds.isAlive());
        }
    }

    /** Guards against what is still open when the agent is killed, 0.7 s after the longest deadline. */
    @Test
    void anAgentToldToEndGivesItsLastAnswersBeforeItIsKilled() throws Exception {
        for (JsonNode each : stage.config.get("settings").get("classes")) {
            ((ObjectNode) each).put("aim-us", 300_000).put("give-up-us", 300_000);
        }
        // A module that leaves its requests open, and a client that waits for longer than the test.
        stage.start(agent -> (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, details) -> null));
        Socket client = stage.dial();
        ScriptedPeer.write(client, stage.request("order", 2 * AgentFixture.GENEROUS_MS, "body"));
        Thread.sleep(100);
        ScriptedPeer.daemon(stage.agent::stop);
        assertEquals(504, ScriptedPeer.read(client.getInputStream()).status());
        assertThrows(EOFException.class, () -> ScriptedPeer.read(client.getInputStream()));
    }

    private int health() {
        try (Socket socket = stage.dial()) {
            return AgentFixture.exchange(socket, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    @Test
    void reportsAreReadInTheSettingsOrder() throws Exception {
        stage.server((message, socket) ->
                ScriptedPeer.answer(socket, 200, "Server-Load: inflight=7,queue=2,util=0.61\r\n", "served"));
        CompletableFuture<double[]> load = new CompletableFuture<>();
        stage.start(stage.overheard((event, details) -> {
            if (event.equals("outcome")) {
                load.complete((double[]) details[7]);
            }
        }));
        stage.call("lookup");
        assertEquals(List.of(2.0, 7.0), Arrays.stream(load.get()).boxed().toList());
    }

    @Test
    void anUnusableConfigurationIsSaidInOneLine() {
        stage.config.put("seed", "not hex");
        assertEquals(
                "config: seed has an unusable value: not hex",
                assertThrows(IllegalArgumentException.class, () -> Config.fromJson(stage.config))
                        .getMessage());
        stage.config.put("seed", "1").put("listen", "somewhere");
        assertEquals(
                "unusable address: somewhere",
                assertThrows(IllegalArgumentException.class, () -> Config.fromJson(stage.config))
                        .getMessage());
        stage.config.remove("settings");
        assertThrows(IllegalArgumentException.class, () -> Config.fromJson(stage.config));
    }

    /** What the list at the start had and the first one has not gets nothing: this process counts as told of that. */
    @Test
    void nothingIsSentByTheListOfBeforeWhileTheFirstOneIsOnItsWay() throws Exception {
        CountDownLatch called = new CountDownLatch(1);
        ScriptedPeer gone = stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "old"));
        ScriptedPeer stays = stage.peer((message, socket) -> ScriptedPeer.answer(socket, 200, "", "new"));
        ObjectNode list = stage.config.get("known").deepCopy();
        ((ArrayNode) list.get("endpoints")).removeAll().add(AgentFixture.endpoint(2, stays.address(), "Ready"));
        ScriptedPeer slow = stage.peer((message, socket) -> {
            called.await();
            ScriptedPeer.answer(socket, 200, "", list.toString());
        });
        stage.config.put("discovery", slow.address());
        stage.settings("obligations", o -> o.put("stop-sending-within-us", 900_000));
        stage.agent = Agent.start(Config.fromJson(stage.config));
        Socket socket = stage.dial();
        ScriptedPeer.write(socket, stage.request("lookup", 8_000, ""));
        called.countDown();
        assertEquals(
                "new", new String(ScriptedPeer.read(socket.getInputStream()).body()));
        assertEquals(0, gone.requests.size());
    }

    /** With nobody to tell, the list of before has to do. */
    @Test
    void whereNobodyTellsTheListOfBeforeServesAfterTheGrace() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "old"));
        ScriptedPeer silent = stage.peer((message, socket) -> new CountDownLatch(1).await());
        stage.config.put("discovery", silent.address());
        stage.agent = Agent.start(Config.fromJson(stage.config));
        long at = System.nanoTime();
        Socket socket = stage.dial();
        assertEquals(
                "old",
                new String(AgentFixture.exchange(socket, stage.request("lookup", 8_000, ""))
                        .body()));
        assertTrue(System.nanoTime() - at < 3_000_000_000L);
    }
}
