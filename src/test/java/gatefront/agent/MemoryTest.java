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
import gatefront.connection.AbstractFrontend;
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
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Drives each purpose to its cap, over sockets: the documented behaviour applies, and the account is empty
 * afterwards.
 */
class MemoryTest {
    @TempDir
    private Path folder;

    private AgentFixture fixture;
    private final CountDownLatch release = new CountDownLatch(1);

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
    }

    @AfterEach
    void tearDown() throws IOException {
        release.countDown();
        fixture.close();
    }

    private AgentFixture start(String caps) throws IOException, TomlException {
        return fixture.start(Extensions.parse(
                "x.toml", "[memory]\nstatus = \"127.0.0.1:0\"\n" + caps, Config.fromJson(fixture.config)));
    }

    private static String capTable(ResourcePurpose purpose, String limits) {
        return "[[memory.caps]]\npurpose = \"" + purpose.label() + "\"\n" + limits + "\n";
    }

    private JsonNode account(ResourcePurpose purpose) {
        return statusPage().get("purposes").get(purpose.label());
    }

    private JsonNode statusPage() {
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), fixture.agent.statusAddress().getPort())) {
            ScriptedPeer.write(socket, "GET /status.json HTTP/1.1\r\nHost: a\r\n\r\n");
            return new ObjectMapper()
                    .readTree(ScriptedPeer.read(socket.getInputStream()).text());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void awaitEmpty(ResourcePurpose purpose) {
        AgentFixture.await(() -> account(purpose).get("entries").asLong() == 0
                && account(purpose).get("bytes").asLong() == 0);
    }

    private List<CompletableFuture<ScriptedPeer.Message>> callConcurrently(
            int count, String requestClass, String body) {
        List<CompletableFuture<ScriptedPeer.Message>> responses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            CompletableFuture<ScriptedPeer.Message> response = new CompletableFuture<>();
            responses.add(response);
            String request = fixture.request(requestClass, 8_000, body);
            ScriptedPeer.daemon(() -> response.complete(AgentFixture.exchange(fixture.dial(), request)));
        }
        return responses;
    }

    private ScriptedPeer serverWaitingForRelease() throws IOException {
        return fixture.server((message, socket) -> {
            release.await();
            ScriptedPeer.respond(socket, 200, "", "served");
        });
    }

    @Test
    void callsOverTheirCapAreRefusedAtOnceAndTheRestAreServed() throws Exception {
        serverWaitingForRelease();
        start(capTable(ResourcePurpose.CALLS, "entries = 1"));
        CompletableFuture<ScriptedPeer.Message> first =
                callConcurrently(1, "lookup", "").get(0);
        AgentFixture.await(() -> account(ResourcePurpose.CALLS).get("entries").asLong() == 1);
        ScriptedPeer.Message refused = fixture.call("lookup");
        assertEquals(503, refused.status());
        assertNotNull(refused.header("Retry-After"));
        release.countDown();
        assertEquals(200, first.get().status());
        awaitEmpty(ResourcePurpose.CALLS);
        assertEquals(1, account(ResourcePurpose.CALLS).get("turned_away").asLong());
        assertEquals(200, fixture.call("lookup").status());
    }

    @Test
    void bodiesOverTheirCapAreRefusedAndReleased() throws Exception {
        serverWaitingForRelease();
        start(capTable(ResourcePurpose.REQUESTS, "kib = 4"));
        CompletableFuture<ScriptedPeer.Message> first =
                callConcurrently(1, "pay", "x".repeat(3_000)).get(0);
        AgentFixture.await(() -> account(ResourcePurpose.REQUESTS).get("bytes").asLong() == 3_000);
        ScriptedPeer.Message refused =
                AgentFixture.exchange(fixture.dial(), fixture.request("pay", 8_000, "x".repeat(2_000)));
        assertEquals(503, refused.status());
        assertNotNull(refused.header("Retry-After"));
        release.countDown();
        assertEquals(200, first.get().status());
        awaitEmpty(ResourcePurpose.REQUESTS);
        assertEquals(
                3_000, account(ResourcePurpose.REQUESTS).get("bytes_highest").asLong());
    }

    /** Guards against slow senders that hold all memory for requests, so that others are refused. */
    @Test
    void slowestSenderIsRefusedForARequestThatArrivesWhole() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        start(capTable(ResourcePurpose.REQUESTS, "kib = 4"));
        Socket slow = fixture.dial();
        String half = fixture.request("pay", 8_000, "x".repeat(3_000));
        ScriptedPeer.write(slow, half.substring(0, half.length() - 100));
        AgentFixture.await(() -> account(ResourcePurpose.REQUESTS).get("bytes").asLong() == 2_900);
        TimeUnit.MILLISECONDS.sleep(AbstractFrontend.MIN_DISCARD_MS);
        ScriptedPeer.Message whole =
                AgentFixture.exchange(fixture.dial(), fixture.request("pay", 8_000, "x".repeat(2_000)));
        assertEquals(200, whole.status());
        ScriptedPeer.Message refused = ScriptedPeer.read(slow.getInputStream());
        assertEquals(503, refused.status());
        assertNotNull(refused.header("Retry-After"));
        assertEquals("close", refused.header("Connection"));
        awaitEmpty(ResourcePurpose.REQUESTS);
    }

    /** Guards against a quick sender whose request is discarded while a slower one, begun before it, keeps its own. */
    @Test
    void requestThatBeganFirstIsDiscardedThoughItMadeProgressLast() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        start(capTable(ResourcePurpose.REQUESTS, "kib = 4"));
        Socket first = fixture.dial();
        Socket second = fixture.dial();
        String firstRequest = fixture.request("pay", 8_000, "x".repeat(2_000));
        String secondRequest = fixture.request("pay", 8_000, "x".repeat(2_000));
        int half = firstRequest.length() - 1_000;
        ScriptedPeer.write(first, firstRequest.substring(0, half));
        AgentFixture.await(() -> account(ResourcePurpose.REQUESTS).get("bytes").asLong() == 1_000);
        ScriptedPeer.write(second, secondRequest.substring(0, half));
        AgentFixture.await(() -> account(ResourcePurpose.REQUESTS).get("bytes").asLong() == 2_000);
        ScriptedPeer.write(first, firstRequest.substring(half, half + 1));
        AgentFixture.await(() -> account(ResourcePurpose.REQUESTS).get("bytes").asLong() == 2_001);
        TimeUnit.MILLISECONDS.sleep(AbstractFrontend.MIN_DISCARD_MS);
        String whole = fixture.request("pay", 8_000, "x".repeat(2_500));
        assertEquals(200, AgentFixture.exchange(fixture.dial(), whole).status());
        assertEquals(503, ScriptedPeer.read(first.getInputStream()).status());
        assertEquals(
                200,
                AgentFixture.exchange(second, secondRequest.substring(half)).status());
    }

    /** Guards against responses without bodies that fill the memory, as no byte of them would be counted. */
    @Test
    void unreadResponsesWithoutBodiesAreCounted() throws Exception {
        start("");
        Socket client = fixture.dial();
        ScriptedPeer.daemon(() -> {
            while (true) {
                ScriptedPeer.write(client, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".repeat(1_000));
            }
        });
        AgentFixture.await(() -> account(ResourcePurpose.ANSWERS).get("entries").asLong() > 10
                && account(ResourcePurpose.ANSWERS).get("bytes").asLong() > 0);
    }

    /** Guards against the heads of one connection that take the memory of all others' requests. */
    @Test
    void headsThatWaitOnOneConnectionAreLimited() throws Exception {
        for (int i = 0; i < 3; i++) {
            fixture.server((message, socket) -> ScriptedPeer.respond(socket, 500, "", "failed")); // so it is repeated
        }
        start("");
        String request = fixture.request("lookup", 8_000, "");
        String longHead = request.substring(0, request.length() - 2) + "x:\r\n".repeat(90) + "\r\n";
        Socket client = fixture.dial();
        ScriptedPeer.write(client, longHead.repeat(64));
        ScriptedPeer.read(client.getInputStream());
        long most = account(ResourcePurpose.REQUESTS).get("bytes_highest").asLong();
        assertTrue(most > 0 && most <= 128 << 10, most + " bytes of heads waited, expected at most 131072");
    }

    @Test
    void clientDisconnectMidBodyReleasesWhatWasReceived() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        start("");
        Socket client = fixture.dial();
        String request = fixture.request("pay", 8_000, "x".repeat(6_000));
        ScriptedPeer.write(client, request.substring(0, request.length() - 3_000));
        AgentFixture.await(() -> account(ResourcePurpose.REQUESTS).get("bytes").asLong() == 3_000);
        client.close();
        awaitEmpty(ResourcePurpose.REQUESTS);
    }

    @Test
    void responseOverTheCapEndsItsAttemptAndIsReleased() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "x".repeat(8_000)));
        start(capTable(ResourcePurpose.SERVER_ANSWERS, "kib = 4"));
        assertEquals(
                502,
                AgentFixture.exchange(fixture.dial(), fixture.request("order", 2_000, ""))
                        .status());
        awaitEmpty(ResourcePurpose.SERVER_ANSWERS);
        assertTrue(account(ResourcePurpose.SERVER_ANSWERS).get("turned_away").asLong() > 0);
    }

    /** Guards against a server that stops in the middle of a response making those of other servers fail. */
    @Test
    void responseOfASilentServerIsGivenUpForOneThatArrives() throws Exception {
        fixture.server((message, socket) -> {
            boolean stops = message.text().equals("stop");
            ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(50_000));
            if (!stops) {
                ScriptedPeer.write(socket, "x".repeat(10_000));
            }
        });
        start(capTable(ResourcePurpose.SERVER_ANSWERS, "kib = 100"));
        CompletableFuture<ScriptedPeer.Message> stopped =
                callConcurrently(1, "order", "stop").get(0);
        AgentFixture.await(
                () -> account(ResourcePurpose.SERVER_ANSWERS).get("bytes").asLong() == 50_000);
        assertEquals(200, fixture.call("order").status());
        assertEquals(502, stopped.get().status());
        awaitEmpty(ResourcePurpose.SERVER_ANSWERS);
    }

    /** Guards against memory exhausted by the responses of requests that were taken before the cap was reached. */
    @Test
    void slowestReaderIsClosedAtOnceWhileUnreadResponsesExceedTwiceTheirCap() throws Exception {
        startWithClientThatDoesNotRead();
        long startNanos = System.nanoTime();
        awaitClosedBesideOtherResponses(2_100_000);
        long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(elapsedMs < 1_500, "closed after " + elapsedMs + " ms, expected less than 1500 ms");
    }

    /** Guards against clients that read nothing having all others refused for as long as they like. */
    @Test
    void clientThatReadsNothingIsClosedWhileUnreadResponsesAreAtTheirCap() throws Exception {
        startWithClientThatDoesNotRead();
        awaitClosedBesideOtherResponses(1_000_000);
    }

    /** Counts this many further bytes as unread, and waits until the client that does not read is closed. */
    private void awaitClosedBesideOtherResponses(long bytes) {
        ResourceBudget budget = fixture.agent.budget();
        budget.account(ResourcePurpose.ANSWERS).add(0, bytes);
        awaitEmpty(ResourcePurpose.CALLER_CONNECTIONS);
        budget.account(ResourcePurpose.ANSWERS).add(0, -bytes);
        awaitEmpty(ResourcePurpose.ANSWERS);
    }

    private void startWithClientThatDoesNotRead() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "x".repeat(60_000)));
        start(capTable(ResourcePurpose.ANSWERS, "kib = 1000"));
        Socket client = fixture.dial();
        // One after another: the read timeout would end a connection with part of a request.
        while (account(ResourcePurpose.ANSWERS).get("bytes").asLong() == 0) {
            int received = fixture.requestsReceived();
            ScriptedPeer.write(client, fixture.request("lookup", 8_000, ""));
            AgentFixture.await(() -> fixture.requestsReceived() > received
                    && account(ResourcePurpose.CALLS).get("entries").asLong() == 0);
        }
    }

    /** Responses that a client never reads are counted, and new calls are refused while they exceed the cap. */
    @Test
    void unreadResponsesCauseNewCallsToBeRefused() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "x".repeat(60_000)));
        start(capTable(ResourcePurpose.ANSWERS, "kib = 200"));
        List<Socket> nonReadingClients = new ArrayList<>();
        for (int i = 0; i < 40 && account(ResourcePurpose.ANSWERS).get("bytes").asLong() < 200 << 10; i++) {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(4_096);
            socket.connect(fixture.agent.address());
            nonReadingClients.add(socket);
            StringBuilder requests = new StringBuilder();
            for (int j = 0; j < 60; j++) {
                requests.append(fixture.request("lookup", 8_000, ""));
            }
            ScriptedPeer.write(socket, requests.toString());
            Thread.sleep(20);
        }
        AgentFixture.await(() -> account(ResourcePurpose.ANSWERS).get("bytes").asLong() >= 200 << 10);
        ScriptedPeer.Message refused = fixture.call("lookup");
        assertEquals(503, refused.status());
        assertNotNull(refused.header("Retry-After"));
        for (Socket client : nonReadingClients) {
            client.close();
        }
        awaitEmpty(ResourcePurpose.ANSWERS);
        assertEquals(200, fixture.call("lookup").status());
    }

    @Test
    void clientsOverTheirCapWaitUntilOneDisconnects() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        start(capTable(ResourcePurpose.CALLER_CONNECTIONS, "entries = 3"));
        for (int i = 0; i < 12; i++) {
            assertEquals(200, fixture.call("lookup").status(), "idle connections are closed to make room");
        }
        assertTrue(account(ResourcePurpose.CALLER_CONNECTIONS)
                        .get("entries_highest")
                        .asLong()
                <= 5);
        fixture.closeClients();
        AgentFixture.await(
                () -> account(ResourcePurpose.CALLER_CONNECTIONS).get("entries").asLong() == 0);
    }

    /**
     * Connections in the middle of a request must not be closed for new ones, which are not accepted until there is
     * room.
     */
    @Test
    void clientsOverTheirCapAreNotAcceptedWhileNoneCanBeClosed() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        start(capTable(ResourcePurpose.CALLER_CONNECTIONS, "entries = 3"));
        List<Socket> incompleteRequests = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Socket client = fixture.dial();
            ScriptedPeer.write(client, "GET /lookup");
            incompleteRequests.add(client);
            if (i < 3) {
                int all = i + 1;
                AgentFixture.await(() -> account(ResourcePurpose.CALLER_CONNECTIONS)
                                .get("entries")
                                .asLong()
                        == all);
            }
        }
        Thread.sleep(300);
        assertEquals(
                3, account(ResourcePurpose.CALLER_CONNECTIONS).get("entries").asLong());
        for (Socket connection : incompleteRequests) {
            connection.close();
        }
        AgentFixture.await(
                () -> account(ResourcePurpose.CALLER_CONNECTIONS).get("entries").asLong() == 0);
        assertEquals(200, fixture.call("lookup").status());
    }

    /** No purpose is at its own cap: their sum first nears the budget, then exhausts it, and is released again. */
    @Test
    void twoPurposesTogetherCloseConnectionsAndThenRefuseNewCalls() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        start("");
        ResourceBudget budget = fixture.agent.budget();
        assertEquals(null, fixture.call("lookup").header("Connection"));
        budget.account(ResourcePurpose.SERVERS).add(0, (long) (0.45 * budget.totalBytes()));
        budget.account(ResourcePurpose.CALLS).add(0, (long) (0.3 * budget.totalBytes()));
        ScriptedPeer.Message nearLimit = fixture.call("lookup");
        assertEquals(200, nearLimit.status());
        assertEquals("close", nearLimit.header("Connection"));
        budget.account(ResourcePurpose.CALLS).add(0, (long) (0.2 * budget.totalBytes()));
        ScriptedPeer.Message refused = fixture.call("lookup");
        assertEquals(503, refused.status());
        assertNotNull(refused.header("Retry-After"));
        budget.account(ResourcePurpose.SERVERS).add(0, -(long) (0.45 * budget.totalBytes()));
        ScriptedPeer.Message released = fixture.call("lookup");
        assertEquals(200, released.status());
        assertEquals(null, released.header("Connection"));
    }

    @Test
    void serverConnectionsOverTheirCapAreNotOpened() throws Exception {
        serverWaitingForRelease();
        start(capTable(ResourcePurpose.SERVER_CONNECTIONS, "entries = 2"));
        List<CompletableFuture<ScriptedPeer.Message>> responses = callConcurrently(6, "lookup", "");
        AgentFixture.await(
                () -> account(ResourcePurpose.SERVER_CONNECTIONS).get("entries").asLong() == 2);
        release.countDown();
        for (CompletableFuture<ScriptedPeer.Message> response : responses) {
            assertTrue(
                    List.of(200, 502, 503, 504).contains(response.get().status()),
                    "each gets exactly one final response");
        }
        assertEquals(
                2,
                account(ResourcePurpose.SERVER_CONNECTIONS)
                        .get("entries_highest")
                        .asLong());
    }

    @Test
    void serversOverTheirCapAreNotAddedAndKnownOnesAreUnchanged() throws Exception {
        ScriptedPeer first = fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        ScriptedPeer second = fixture.peer((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        start(capTable(ResourcePurpose.SERVERS, "entries = 1"));
        fixture.discoveryUpdates.add(AgentFixture.delta(1, AgentFixture.endpoint(2, second.address(), "Ready")));
        for (int i = 0; i < 20; i++) {
            assertEquals(200, fixture.call("lookup").status());
        }
        assertEquals(0, second.requests.size());
        assertEquals(1, account(ResourcePurpose.SERVERS).get("entries").asLong());
        fixture.discoveryUpdates.add(AgentFixture.delta(2, AgentFixture.endpoint(1, first.address(), "Gone")));
        awaitEmpty(ResourcePurpose.SERVERS);
    }

    @Test
    void statusPageIsReadableAndListsTheRest() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        start("");
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), fixture.agent.statusAddress().getPort())) {
            ScriptedPeer.write(socket, "GET /status HTTP/1.1\r\nHost: a\r\n\r\n");
            String text = ScriptedPeer.read(socket.getInputStream()).text();
            for (ResourcePurpose purpose : ResourcePurpose.values()) {
                assertTrue(text.contains(purpose.label()), text);
            }
        }
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), fixture.agent.statusAddress().getPort())) {
            ScriptedPeer.write(socket, "GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
            assertEquals(404, ScriptedPeer.read(socket.getInputStream()).status());
        }
    }

    /**
     * A cap below what is held ends nothing, but nothing new is accepted until enough is released. An invalid file
     * changes nothing.
     */
    @Test
    void capsAreReloadedAndRemovedOnesReturnToTheDefault() throws Exception {
        serverWaitingForRelease();
        Path config = Files.writeString(folder.resolve("config.json"), fixture.config.toString());
        Path extensionsFile = folder.resolve("ours.toml");
        start("");
        List<CompletableFuture<ScriptedPeer.Message>> pendingCalls = callConcurrently(3, "lookup", "");
        AgentFixture.await(() -> account(ResourcePurpose.CALLS).get("entries").asLong() == 3);
        long defaultCap = account(ResourcePurpose.CALLS).get("entries_cap").asLong();
        Files.writeString(extensionsFile, "[memory]\n" + capTable(ResourcePurpose.CALLS, "entries = 2"));
        fixture.agent.reload(config, extensionsFile);
        AgentFixture.await(
                () -> account(ResourcePurpose.CALLS).get("entries_cap").asLong() == 2);
        assertEquals(503, fixture.call("lookup").status());
        Files.writeString(extensionsFile, "[memory]\n" + capTable(ResourcePurpose.CALLS, "entries = 0"));
        fixture.agent.reload(config, extensionsFile);
        Files.writeString(
                folder.resolve("next.toml"), "[memory]\n" + capTable(ResourcePurpose.ANSWERS, "entries = 77"));
        assertEquals(2, account(ResourcePurpose.CALLS).get("entries_cap").asLong());
        release.countDown();
        for (CompletableFuture<ScriptedPeer.Message> call : pendingCalls) {
            assertEquals(200, call.get().status());
        }
        assertEquals(200, fixture.call("lookup").status());
        fixture.agent.reload(config, folder.resolve("next.toml"));
        AgentFixture.await(
                () -> account(ResourcePurpose.ANSWERS).path("entries_cap").asLong() == 77);
        assertEquals(
                defaultCap, account(ResourcePurpose.CALLS).get("entries_cap").asLong());
    }

    @Test
    void statusPageShowsTheProcessSize() throws Exception {
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        start("");
        assertEquals(200, fixture.call("lookup").status());
        JsonNode before = statusPage();
        assertTrue(before.get("resident").asLong() > before.get("heap_used").asLong() / 2, before.toString());
        long open = before.get("descriptors").asLong();
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            connections.add(fixture.dial());
        }
        AgentFixture.await(() -> statusPage().get("descriptors").asLong() >= open + 20);
        for (Socket connection : connections) {
            connection.close();
        }
    }

    @Test
    void errorsInTheTableAreOneLine() {
        for (List<String> testCase : List.of(
                List.of("status = \"10.0.0.1:1\"", "x.toml:2: memory.status: must be a loopback address"),
                List.of("status = \"here\"", "x.toml:2: memory.status: must be a literal address"),
                List.of(
                        "[[memory.caps]]\npurpose = \"cals\"\nentries = 3",
                        "x.toml:3: memory.caps.0.purpose: \"cals\" is none of"),
                List.of("[[memory.caps]]\npurpose = \"calls\"", "memory.caps.0.entries: is missing"),
                List.of("[[memory.caps]]\npurpose = \"calls\"\nkib = 3", "memory.caps.0.kib: does not apply to calls"),
                List.of(
                        "[[memory.caps]]\npurpose = \"requests\"\nentries = 3",
                        "memory.caps.0.entries: does not apply to requests"),
                List.of(
                        "[[memory.caps]]\npurpose = \"registry\"\nentries = 3",
                        "memory.caps.0.purpose: the cap of registry is set by keys in [registry]"),
                List.of(
                        "[[memory.caps]]\npurpose = \"calls\"\nentries = 0",
                        "memory.caps.0.entries: 0 is not within 1"))) {
            String message = assertThrows(
                            TomlException.class,
                            () -> Extensions.parse(
                                    "x.toml", "[memory]\n" + testCase.get(0) + "\n", Config.fromJson(fixture.config)))
                    .getMessage();
            assertTrue(message.contains(testCase.get(1)) && message.lines().count() == 1, message);
        }
    }
}
