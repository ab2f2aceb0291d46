package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.config.Config;
import gatefront.toml.TomlException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Each purpose is driven to its cap on sockets: the stated behaviour, and the account at its base afterwards. */
class MemoryTest {
    @TempDir
    private Path folder;

    private AgentFixture stage;
    private final CountDownLatch release = new CountDownLatch(1);

    @BeforeEach
    void set() throws IOException {
        stage = new AgentFixture();
    }

    @AfterEach
    void end() throws IOException {
        release.countDown();
        stage.close();
    }

    private AgentFixture start(String caps) throws IOException, TomlException {
        return stage.start(Extensions.parse(
                "x.toml", "[memory]\nstatus = \"127.0.0.1:0\"\n" + caps, Config.fromJson(stage.config)));
    }

    private static String cap(ResourcePurpose purpose, String figures) {
        return "[[memory.caps]]\npurpose = \"" + purpose.label() + "\"\n" + figures + "\n";
    }

    private JsonNode held(ResourcePurpose purpose) {
        return page().get("purposes").get(purpose.label());
    }

    private JsonNode page() {
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), stage.agent.statusAddress().getPort())) {
            ScriptedPeer.write(socket, "GET /status.json HTTP/1.1\r\nHost: a\r\n\r\n");
            return new ObjectMapper()
                    .readTree(ScriptedPeer.read(socket.getInputStream()).text());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void empties(ResourcePurpose purpose) {
        AgentFixture.await(() -> held(purpose).get("entries").asLong() == 0
                && held(purpose).get("bytes").asLong() == 0);
    }

    private List<CompletableFuture<ScriptedPeer.Message>> together(int n, String kind, String body) {
        List<CompletableFuture<ScriptedPeer.Message>> answers = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            CompletableFuture<ScriptedPeer.Message> answer = new CompletableFuture<>();
            answers.add(answer);
            String request = stage.request(kind, 8_000, body);
            ScriptedPeer.daemon(() -> answer.complete(AgentFixture.exchange(stage.dial(), request)));
        }
        return answers;
    }

    private ScriptedPeer slow() throws IOException {
        return stage.server((message, socket) -> {
            release.await();
            ScriptedPeer.answer(socket, 200, "", "served");
        });
    }

    @Test
    void callsOverTheirCapAreRefusedAtOnceAndTheRestAreServed() throws Exception {
        slow();
        start(cap(ResourcePurpose.CALLS, "entries = 1"));
        CompletableFuture<ScriptedPeer.Message> first =
                together(1, "lookup", "").get(0);
        AgentFixture.await(() -> held(ResourcePurpose.CALLS).get("entries").asLong() == 1);
        ScriptedPeer.Message refused = stage.call("lookup");
        assertEquals(503, refused.status());
        assertNotNull(refused.header("Retry-After"));
        release.countDown();
        assertEquals(200, first.get().status());
        empties(ResourcePurpose.CALLS);
        assertEquals(1, held(ResourcePurpose.CALLS).get("turned_away").asLong());
        assertEquals(200, stage.call("lookup").status());
    }

    @Test
    void bodiesOverTheirCapAreRefusedAndGivenBack() throws Exception {
        slow();
        start(cap(ResourcePurpose.REQUESTS, "kib = 4"));
        CompletableFuture<ScriptedPeer.Message> first =
                together(1, "pay", "x".repeat(3_000)).get(0);
        AgentFixture.await(() -> held(ResourcePurpose.REQUESTS).get("bytes").asLong() == 3_000);
        ScriptedPeer.Message refused =
                AgentFixture.exchange(stage.dial(), stage.request("pay", 8_000, "x".repeat(2_000)));
        assertEquals(503, refused.status());
        assertNotNull(refused.header("Retry-After"));
        release.countDown();
        assertEquals(200, first.get().status());
        empties(ResourcePurpose.REQUESTS);
        assertEquals(3_000, held(ResourcePurpose.REQUESTS).get("bytes_highest").asLong());
    }

    @Test
    void aCallerThatLeavesInTheMiddleOfItsBodyGivesBackWhatHasCome() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        start("");
        Socket caller = stage.dial();
        String request = stage.request("pay", 8_000, "x".repeat(6_000));
        ScriptedPeer.write(caller, request.substring(0, request.length() - 3_000));
        AgentFixture.await(() -> held(ResourcePurpose.REQUESTS).get("bytes").asLong() == 3_000);
        caller.close();
        empties(ResourcePurpose.REQUESTS);
    }

    @Test
    void anAnswerOverTheCapEndsItsAttemptAndIsGivenBack() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "x".repeat(8_000)));
        start(cap(ResourcePurpose.SERVER_ANSWERS, "kib = 4"));
        assertEquals(
                502,
                AgentFixture.exchange(stage.dial(), stage.request("order", 2_000, ""))
                        .status());
        empties(ResourcePurpose.SERVER_ANSWERS);
        assertTrue(held(ResourcePurpose.SERVER_ANSWERS).get("turned_away").asLong() > 0);
    }

    /** A caller that never reads its answers: what it leaves counts, and new calls are refused while it is too much. */
    @Test
    void answersThatNobodyReadsTurnNewCallsAway() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "x".repeat(60_000)));
        start(cap(ResourcePurpose.ANSWERS, "kib = 200"));
        List<Socket> deaf = new ArrayList<>();
        for (int i = 0; i < 40 && held(ResourcePurpose.ANSWERS).get("bytes").asLong() < 200 << 10; i++) {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(4_096);
            socket.connect(stage.agent.address());
            deaf.add(socket);
            StringBuilder many = new StringBuilder();
            for (int j = 0; j < 60; j++) {
                many.append(stage.request("lookup", 8_000, ""));
            }
            ScriptedPeer.write(socket, many.toString());
            Thread.sleep(20);
        }
        AgentFixture.await(() -> held(ResourcePurpose.ANSWERS).get("bytes").asLong() >= 200 << 10);
        ScriptedPeer.Message refused = stage.call("lookup");
        assertEquals(503, refused.status());
        assertNotNull(refused.header("Retry-After"));
        for (Socket each : deaf) {
            each.close();
        }
        empties(ResourcePurpose.ANSWERS);
        assertEquals(200, stage.call("lookup").status());
    }

    @Test
    void callersOverTheirCapWaitUntilOneGoes() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        start(cap(ResourcePurpose.CALLER_CONNECTIONS, "entries = 3"));
        for (int i = 0; i < 12; i++) {
            assertEquals(200, stage.call("lookup").status(), "those kept without need make room");
        }
        assertTrue(
                held(ResourcePurpose.CALLER_CONNECTIONS).get("entries_highest").asLong() <= 5);
        stage.hangUp();
        AgentFixture.await(
                () -> held(ResourcePurpose.CALLER_CONNECTIONS).get("entries").asLong() == 0);
    }

    /** Those in the middle of a request must not be closed for others: they are not accepted until there is room. */
    @Test
    void callersOverTheirCapAreNotAcceptedWhileNoneCanGo() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        start(cap(ResourcePurpose.CALLER_CONNECTIONS, "entries = 3"));
        List<Socket> begun = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Socket caller = stage.dial();
            ScriptedPeer.write(caller, "GET /lookup");
            begun.add(caller);
            if (i < 3) {
                int all = i + 1;
                AgentFixture.await(() ->
                        held(ResourcePurpose.CALLER_CONNECTIONS).get("entries").asLong() == all);
            }
        }
        Thread.sleep(300);
        assertEquals(3, held(ResourcePurpose.CALLER_CONNECTIONS).get("entries").asLong());
        for (Socket each : begun) {
            each.close();
        }
        AgentFixture.await(
                () -> held(ResourcePurpose.CALLER_CONNECTIONS).get("entries").asLong() == 0);
        assertEquals(200, stage.call("lookup").status());
    }

    /** No purpose is at a cap of its own: together they are tight, then full; and there is room again afterwards. */
    @Test
    void twoPurposesTogetherEndConnectionsAndThenTurnNewCallsAway() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        start("");
        ResourceBudget budget = stage.agent.budget();
        assertEquals(null, stage.call("lookup").header("Connection"));
        budget.account(ResourcePurpose.SERVERS).add(0, (long) (0.45 * budget.totalBytes()));
        budget.account(ResourcePurpose.CALLS).add(0, (long) (0.3 * budget.totalBytes()));
        ScriptedPeer.Message tight = stage.call("lookup");
        assertEquals(200, tight.status());
        assertEquals("close", tight.header("Connection"));
        budget.account(ResourcePurpose.CALLS).add(0, (long) (0.2 * budget.totalBytes()));
        ScriptedPeer.Message refused = stage.call("lookup");
        assertEquals(503, refused.status());
        assertNotNull(refused.header("Retry-After"));
        budget.account(ResourcePurpose.SERVERS).add(0, -(long) (0.45 * budget.totalBytes()));
        ScriptedPeer.Message again = stage.call("lookup");
        assertEquals(200, again.status());
        assertEquals(null, again.header("Connection"));
    }

    @Test
    void connectionsToServersOverTheirCapAreNotMade() throws Exception {
        slow();
        start(cap(ResourcePurpose.SERVER_CONNECTIONS, "entries = 2"));
        List<CompletableFuture<ScriptedPeer.Message>> answers = together(6, "lookup", "");
        AgentFixture.await(
                () -> held(ResourcePurpose.SERVER_CONNECTIONS).get("entries").asLong() == 2);
        release.countDown();
        for (CompletableFuture<ScriptedPeer.Message> each : answers) {
            assertTrue(List.of(200, 502, 503, 504).contains(each.get().status()), "each gets one final answer");
        }
        assertEquals(
                2,
                held(ResourcePurpose.SERVER_CONNECTIONS).get("entries_highest").asLong());
    }

    @Test
    void serversOverTheirCapAreNotTakenAndKnownOnesStayWhatTheyAre() throws Exception {
        ScriptedPeer first = stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        ScriptedPeer second = stage.peer((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        start(cap(ResourcePurpose.SERVERS, "entries = 1"));
        stage.news.add(AgentFixture.delta(1, AgentFixture.endpoint(2, second.address(), "Ready")));
        for (int i = 0; i < 20; i++) {
            assertEquals(200, stage.call("lookup").status());
        }
        assertEquals(0, second.requests.size());
        assertEquals(1, held(ResourcePurpose.SERVERS).get("entries").asLong());
        stage.news.add(AgentFixture.delta(2, AgentFixture.endpoint(1, first.address(), "Gone")));
        empties(ResourcePurpose.SERVERS);
    }

    @Test
    void thePageIsForPeopleTooAndSaysWhatElseThereIs() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        start("");
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), stage.agent.statusAddress().getPort())) {
            ScriptedPeer.write(socket, "GET /status HTTP/1.1\r\nHost: a\r\n\r\n");
            String text = ScriptedPeer.read(socket.getInputStream()).text();
            for (ResourcePurpose each : ResourcePurpose.values()) {
                assertTrue(text.contains(each.label()), text);
            }
        }
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), stage.agent.statusAddress().getPort())) {
            ScriptedPeer.write(socket, "GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
            assertEquals(404, ScriptedPeer.read(socket.getInputStream()).status());
        }
    }

    /**
     * Below what is held: nothing is ended, and nothing new is taken until it is. A file that is wrong changes
     * nothing.
     */
    @Test
    void capsAreReloadedAndWhatTheFileNoLongerNamesHasTheUsualOneAgain() throws Exception {
        slow();
        Path config = Files.writeString(folder.resolve("config.json"), stage.config.toString());
        Path ours = folder.resolve("ours.toml");
        start("");
        List<CompletableFuture<ScriptedPeer.Message>> taken = together(3, "lookup", "");
        AgentFixture.await(() -> held(ResourcePurpose.CALLS).get("entries").asLong() == 3);
        long usual = held(ResourcePurpose.CALLS).get("entries_cap").asLong();
        Files.writeString(ours, "[memory]\n" + cap(ResourcePurpose.CALLS, "entries = 2"));
        stage.agent.reload(config, ours);
        AgentFixture.await(() -> held(ResourcePurpose.CALLS).get("entries_cap").asLong() == 2);
        assertEquals(503, stage.call("lookup").status());
        Files.writeString(ours, "[memory]\n" + cap(ResourcePurpose.CALLS, "entries = 0"));
        stage.agent.reload(config, ours);
        Files.writeString(folder.resolve("next.toml"), "[memory]\n" + cap(ResourcePurpose.ANSWERS, "entries = 77"));
        assertEquals(2, held(ResourcePurpose.CALLS).get("entries_cap").asLong());
        release.countDown();
        for (CompletableFuture<ScriptedPeer.Message> each : taken) {
            assertEquals(200, each.get().status());
        }
        assertEquals(200, stage.call("lookup").status());
        stage.agent.reload(config, folder.resolve("next.toml"));
        AgentFixture.await(
                () -> held(ResourcePurpose.ANSWERS).path("entries_cap").asLong() == 77);
        assertEquals(usual, held(ResourcePurpose.CALLS).get("entries_cap").asLong());
    }

    @Test
    void thePageSaysWhatTheProcessTakes() throws Exception {
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
        start("");
        assertEquals(200, stage.call("lookup").status());
        JsonNode before = page();
        assertTrue(before.get("resident").asLong() > before.get("heap_used").asLong() / 2, before.toString());
        long open = before.get("descriptors").asLong();
        List<Socket> more = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            more.add(stage.dial());
        }
        AgentFixture.await(() -> page().get("descriptors").asLong() >= open + 20);
        for (Socket each : more) {
            each.close();
        }
    }

    @Test
    void whatIsWrongInTheTableIsOneLine() {
        for (List<String> each : List.of(
                List.of("status = \"10.0.0.1:1\"", "x.toml:2: memory.status: is to be a loopback address"),
                List.of("status = \"here\"", "x.toml:2: memory.status: is to be a literal address"),
                List.of(
                        "[[memory.caps]]\npurpose = \"cals\"\nentries = 3",
                        "x.toml:3: memory.caps.0.purpose: \"cals\" is none of"),
                List.of("[[memory.caps]]\npurpose = \"calls\"", "memory.caps.0.entries: is missing"),
                List.of("[[memory.caps]]\npurpose = \"calls\"\nkib = 3", "memory.caps.0.kib: means nothing for calls"),
                List.of(
                        "[[memory.caps]]\npurpose = \"requests\"\nentries = 3",
                        "memory.caps.0.entries: means nothing for requests"),
                List.of(
                        "[[memory.caps]]\npurpose = \"registry\"\nentries = 3",
                        "memory.caps.0.purpose: registry has its cap in keys of [registry]"),
                List.of(
                        "[[memory.caps]]\npurpose = \"calls\"\nentries = 0",
                        "memory.caps.0.entries: 0 is not within 1"))) {
            String message = assertThrows(
                            TomlException.class,
                            () -> Extensions.parse(
                                    "x.toml", "[memory]\n" + each.get(0) + "\n", Config.fromJson(stage.config)))
                    .getMessage();
            assertTrue(message.contains(each.get(1)) && message.lines().count() == 1, message);
        }
    }
}
