package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import gatefront.config.Config;
import gatefront.upgrade.ProcessHandover;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Operation over loopback sockets: the management endpoint, its statistics, manual drains and handover.
 */
@Timeout(60)
class OperatorControlsTest {
    @TempDir
    private Path shared;

    private AgentFixture fixture;
    private final List<Agent> agents = new ArrayList<>();
    private final List<Socket> waiting = new ArrayList<>();

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
        fixture.config.put("management", "127.0.0.1:0");
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
        agents.forEach(agent -> ScriptedPeer.daemon(agent::stop));
    }

    private void start() throws IOException {
        fixture.agent = Agent.start(Config.fromJson(fixture.config), shared);
        agents.add(fixture.agent);
        AgentFixture.await(() -> request("GET", "/healthcheck").status() == 200);
    }

    private ScriptedPeer.Message request(String method, String path) {
        return request(fixture.agent, method, path);
    }

    private static ScriptedPeer.Message request(Agent agent, String method, String path) {
        return exchange(agent, method + " " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    }

    private static ScriptedPeer.Message exchange(Agent agent, String text) {
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), agent.managementAddress().getPort())) {
            socket.setSoTimeout((int) AgentFixture.TIMEOUT_MS);
            ScriptedPeer.write(socket, text);
            return ScriptedPeer.read(socket.getInputStream());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private Map<String, Long> stats() {
        Map<String, Long> statistics = new HashMap<>();
        request("GET", "/stats")
                .text()
                .lines()
                .forEach(line -> statistics.put(
                        line.substring(0, line.indexOf('=')), Long.valueOf(line.substring(line.indexOf('=') + 1))));
        return statistics;
    }

    private static ScriptedPeer.Script respondWith(String text) {
        return (message, socket) -> ScriptedPeer.respond(socket, 200, "", text);
    }

    @Test
    void unknownRequestsAreRejectedAndChangeNothing() throws Exception {
        fixture.server(respondWith("a"));
        start();
        assertEquals(404, request("GET", "/").status());
        assertEquals(404, request("POST", "/backends/s-1/away").status());
        assertEquals(404, request("POST", "/backends/maint").status());
        assertEquals(404, request("POST", "/backends/nobody/maint").status());
        assertEquals(405, request("GET", "/backends/s-1/maint").status());
        assertEquals(405, request("POST", "/stats").status());
        assertEquals(400, exchange(fixture.agent, "nonsense\r\n\r\n").status());
        assertEquals(400, request("POST", "/backends/%zz/maint").status());
        assertEquals(
                431,
                exchange(fixture.agent, "GET /" + "a".repeat(9000) + " HTTP/1.1\r\n\r\n")
                        .status());
        assertEquals(0, stats().get("pool_ejected"));
        assertEquals("a", fixture.call("lookup").text());
    }

    /** Silent connections, more than the endpoint admits, must not shut out a client that sends a request. */
    @Test
    void silentClientsDoNotBlockOthers() throws Exception {
        start();
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Socket client = new Socket(
                    InetAddress.getLoopbackAddress(),
                    fixture.agent.managementAddress().getPort());
            ScriptedPeer.write(client, "GET /st");
            silent.add(client);
        }
        long startNanos = System.nanoTime();
        assertEquals(200, request("GET", "/healthcheck").status());
        assertTrue(System.nanoTime() - startNanos < 1_000_000_000L);
        Socket inTime = silent.get(99);
        ScriptedPeer.write(inTime, "ats HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals(200, ScriptedPeer.read(inTime.getInputStream()).status());
        for (Socket client : silent) {
            client.close();
        }
    }

    @Test
    void statisticsMatchWhatThePeersSaw() throws Exception {
        fixture.server((message, socket) -> {
            String path = message.target();
            if (path.startsWith("/order")) {
                ScriptedPeer.respond(socket, 500, "", "");
            } else {
                ScriptedPeer.respond(socket, 200, "", "a");
            }
        });
        start();
        int requestsBefore = fixture.requestsReceived();
        for (int i = 0; i < 7; i++) {
            assertEquals(200, fixture.call("lookup").status());
        }
        assertEquals(502, fixture.call("order").status());
        Map<String, Long> statistics = stats();
        assertEquals(7, statistics.get("ok.lookup"));
        assertEquals(0, statistics.get("shed.lookup"));
        assertEquals(1, statistics.get("errors.order"));
        assertEquals(0, statistics.get("ok.pay"));
        assertEquals(0, statistics.get("active"));
        assertEquals(1, statistics.get("pool_size"));
        assertEquals(
                fixture.servers.get(0).requests.stream()
                                .filter(message -> !message.target().equals("/healthz"))
                                .count()
                        - requestsBefore,
                statistics.get("tries"));
    }

    @Test
    void bannedServerGetsNoRequestsUntilItIsPutBack() throws Exception {
        ScriptedPeer first = fixture.server(respondWith("a"));
        ScriptedPeer second = fixture.server(respondWith("b"));
        start();
        assertEquals(200, request("POST", "/backends/s-1/maint").status());
        assertEquals(200, request("POST", "/backends/s-1/maint").status());
        long before = countCalls(first);
        fixture.discoveryUpdates.add(AgentFixture.delta(1, AgentFixture.endpoint(1, first.address(), "Ready")));
        for (int i = 0; i < 10; i++) {
            assertEquals("b", fixture.call("lookup").text());
        }
        assertEquals(before, countCalls(first));
        assertEquals(1, stats().get("pool_ejected"));
        assertEquals(200, request("POST", "/backends/s-1/ready").status());
        AgentFixture.await(() -> stats().get("pool_ejected") == 0);
        assertEquals(200, request("POST", "/backends/s-2/maint").status());
        AgentFixture.await(() -> {
            try {
                return "a".equals(fixture.call("lookup").text());
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        assertTrue(countCalls(second) > 0);
    }

    /** Returns a listener with a full backlog: the kernel completes two connections, and later ones stay pending. */
    private ServerSocket listenerThatNeverAccepts() throws IOException {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        for (int i = 0; i < 2; i++) {
            waiting.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
        return server;
    }

    @Test
    void attemptWaitingForItsConnectionIsNotSentAfterABan() throws Exception {
        fixture.settings("caps", caps -> caps.put("dial-timeout-us", 5_000_000));
        ServerSocket first = listenerThatNeverAccepts();
        ((ArrayNode) fixture.config.get("known").get("endpoints"))
                .add(AgentFixture.endpoint(1, "127.0.0.1:" + first.getLocalPort(), "Ready"));
        ScriptedPeer second = fixture.peer(respondWith("b"));
        start();
        Socket client = fixture.dial();
        long startNanos = System.nanoTime();
        ScriptedPeer.write(client, fixture.request("order", 8000, "body"));
        AgentFixture.await(() -> stats().get("active") == 1);
        fixture.discoveryUpdates.add(AgentFixture.delta(1, AgentFixture.endpoint(2, second.address(), "Ready")));
        AgentFixture.await(() -> stats().get("pool_size") == 2);
        assertEquals(200, request("POST", "/backends/s-1/maint").status());
        assertEquals("b", ScriptedPeer.read(client.getInputStream()).text());
        assertTrue(System.nanoTime() - startNanos < 4_000_000_000L, "must not wait for the connect timeout");
        for (Socket connection : waiting) {
            connection.close();
        }
        first.setSoTimeout(1500); // an abandoned attempt would connect now that there is room
        try {
            for (int i = 0; i < 3; i++) {
                Socket accepted = first.accept();
                accepted.setSoTimeout(300);
                assertEquals(-1, accepted.getInputStream().read(), "no request is written to it");
            }
        } catch (SocketTimeoutException e) {
            assertTrue(true);
        }
        first.close();
    }

    @Test
    void retryDueAfterABanAvoidsTheBannedServer() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedPeer.Script failWhenReleased = (message, socket) -> {
            release.await();
            ScriptedPeer.respond(socket, 500, "", "");
        };
        fixture.server(failWhenReleased);
        fixture.server(failWhenReleased);
        start();
        Socket client = fixture.dial();
        ScriptedPeer.write(client, fixture.request("lookup", 3000, ""));
        AgentFixture.await(() -> countCalls(fixture.servers.get(0)) + countCalls(fixture.servers.get(1)) == 1);
        int otherIndex = countCalls(fixture.servers.get(0)) == 1 ? 1 : 0;
        assertEquals(
                200,
                request("POST", "/backends/s-" + (otherIndex + 1) + "/maint").status());
        release.countDown();
        assertTrue(ScriptedPeer.read(client.getInputStream()).status() >= 500);
        assertEquals(0, countCalls(fixture.servers.get(otherIndex)), "the retry must not go to the banned server");
    }

    /** A manual drain and a truncated configuration file while two processes run. */
    @Test
    void banAndBrokenFileDuringAnUpgradeApplyToBothProcesses(@TempDir Path files) throws Exception {
        fixture.server(respondWith("a"));
        fixture.server(respondWith("b"));
        fixture.config.put("listen", "127.0.0.1:" + freePort());
        start();
        Agent oldAgent = fixture.agent;
        start();
        request(oldAgent, "POST", "/backends/s-2/maint");
        Path file = files.resolve("config.json");
        String whole = fixture.config.toString();
        Files.writeString(file, whole.substring(0, whole.length() / 2));
        for (Agent agent : agents) {
            agent.reload(file, null);
            AgentFixture.await(() -> request(agent, "GET", "/stats").text().contains("config_rejected=1\n"));
            AgentFixture.await(() -> request(agent, "GET", "/stats").text().contains("pool_ejected=1\n"));
            assertTrue(request(agent, "GET", "/stats").text().contains("config_applied=0\n"));
        }
        ScriptedPeer.daemon(oldAgent::stop);
        oldAgent.awaitTermination();
        for (int i = 0; i < 10; i++) {
            assertEquals("a", fixture.call("lookup").text());
        }
        assertEquals(1, stats().get("pool_ejected"));
    }

    /** The old process is stopping, and is killed before it has answered its open requests. */
    @Test
    void newProcessKeepsServingWhenTheOldOneIsKilledDuringHandover(@TempDir Path files) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        fixture.server((message, socket) -> {
            if (message.target().startsWith("/order")) {
                release.await();
            }
            ScriptedPeer.respond(socket, 200, "", "a");
        });
        fixture.server(respondWith("b"));
        int port = freePort();
        int management = freePort();
        fixture.config.put("listen", "127.0.0.1:" + port);
        Path file = files.resolve("config.json");
        Files.writeString(file, fixture.config.toString());
        ProcessBuilder program = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx48m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "gatefront.cli.Main",
                        "serve")
                .redirectErrorStream(true)
                .redirectOutput(files.resolve("log").toFile());
        program.environment().put("RELAY_CONFIG", file.toString());
        program.environment().put("RELAY_MANAGEMENT", "127.0.0.1:" + management);
        program.environment().put("TMPDIR", shared.toString());
        Process oldAgent = program.start();
        try {
            AgentFixture.await(() -> healthStatus(management) == 200);
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), management)) {
                ScriptedPeer.write(client, "POST /backends/s-2/maint HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
                assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
            }
            start();
            assertEquals(1, stats().get("pool_ejected"));
            oldAgent.destroy();
            AgentFixture.await(() -> healthStatus(management) != 200);
            oldAgent.destroyForcibly().waitFor();
            for (int i = 0; i < 10; i++) {
                assertEquals("a", fixture.call("lookup").text());
            }
            // A further process takes over from this one.
            Agent second = fixture.agent;
            start();
            ScriptedPeer.daemon(second::stop);
            second.awaitTermination();
            assertEquals("a", fixture.call("lookup").text());
            assertEquals(1, stats().get("pool_ejected"));
        } finally {
            release.countDown();
            oldAgent.destroyForcibly();
        }
    }

    private static int healthStatus(int management) {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), management)) {
            ScriptedPeer.write(client, "GET /healthcheck HTTP/1.1\r\nHost: a\r\n\r\n");
            return ScriptedPeer.read(client.getInputStream()).status();
        } catch (IOException e) {
            return -1;
        }
    }

    /** The listen address is occupied by a socket that does not share it. */
    @Test
    void newProcessThatCannotTakeOverEndsWithoutAffectingTheOldOne() throws Exception {
        fixture.server(respondWith("a"));
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ProcessHandover oldAgent = new ProcessHandover(shared, "old", line -> {});
            fixture.config.put("listen", "127.0.0.1:" + occupied.getLocalPort());
            Agent newAgent = Agent.start(Config.fromJson(fixture.config), shared);
            newAgent.awaitTermination();
            assertTrue(newAgent.failed());
            newAgent.stop(); // as the program does on exit
            assertFalse(oldAgent.hasSuccessor());
            oldAgent.close();
        }
    }

    /** While clients send at full speed over many old and new connections, operators wait for at most a second. */
    @Test
    void managementEndpointAnswersUnderFullLoad() throws Exception {
        fixture.server(respondWith("a"));
        start();
        AtomicBoolean finished = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < 24; i++) {
            boolean keepAlive = i % 2 == 0;
            ScriptedPeer.daemon(() -> {
                Socket socket = null;
                for (int n = 0; !finished.get(); n++) {
                    if (socket == null || !keepAlive) {
                        socket = new Socket(
                                InetAddress.getLoopbackAddress(),
                                fixture.agent.address().getPort());
                    }
                    ScriptedPeer.write(
                            socket,
                            "GET /lookup HTTP/1.1\r\nHost: a\r\nRequest-Id: f"
                                    + Thread.currentThread().getId() + "x" + n
                                    + "\r\nRequest-Class: lookup\r\nRequest-Timeout-Ms: 3000\r\n\r\n");
                    String connection =
                            ScriptedPeer.read(socket.getInputStream()).header("Connection");
                    served.incrementAndGet();
                    if (!keepAlive || "close".equals(connection)) {
                        socket.close();
                        socket = null;
                    }
                }
            });
        }
        AgentFixture.await(() -> served.get() > 1000);
        long maxNanos = 0;
        for (int i = 0; i < 60; i++) {
            long startNanos = System.nanoTime();
            assertEquals(
                    200, request("GET", i % 2 == 0 ? "/stats" : "/healthcheck").status());
            maxNanos = Math.max(maxNanos, System.nanoTime() - startNanos);
        }
        finished.set(true);
        assertTrue(maxNanos < 1_000_000_000L, maxNanos / 1_000_000 + " ms");
    }

    private static long countCalls(ScriptedPeer server) {
        return server.requests.stream()
                .filter(message -> message.target().startsWith("/lookup"))
                .count();
    }

    /** Returns a port that is free for both processes. */
    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @Test
    void secondProcessTakesOverWithTheBansAndEveryRequestIsAnswered() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedPeer.Script serveWhenReleased = (message, socket) -> {
            if (message.target().startsWith("/order")) {
                release.await();
            }
            ScriptedPeer.respond(socket, 200, "", "a");
        };
        fixture.server(serveWhenReleased);
        fixture.server(respondWith("b"));
        fixture.server(serveWhenReleased);
        fixture.config.put("listen", "127.0.0.1:" + freePort());
        start();
        Agent oldAgent = fixture.agent;
        assertEquals(200, request("POST", "/backends/s-2/maint").status());
        Socket pending = fixture.dial();
        ScriptedPeer.write(pending, fixture.request("order", 8000, "body"));
        AgentFixture.await(() -> fixture.servers.stream().anyMatch(server -> server.requests.stream()
                .anyMatch(m -> m.target().startsWith("/order"))));
        Socket idleClient = fixture.dial();
        assertEquals(
                "a",
                AgentFixture.exchange(idleClient, fixture.request("lookup", 8000, ""))
                        .text());
        start();
        assertEquals(1, stats().get("pool_ejected"), "the ban applies in the new process");
        // A manual drain received by either endpoint applies to both processes.
        request(oldAgent, "POST", "/backends/s-3/maint");
        AgentFixture.await(() -> stats().get("pool_ejected") == 2);
        request("POST", "/backends/s-3/ready");
        AgentFixture.await(() -> request(oldAgent, "GET", "/stats").text().contains("pool_ejected=1\n"));
        ScriptedPeer.daemon(oldAgent::stop);
        AgentFixture.await(() -> request(oldAgent, "GET", "/healthcheck").status() == 503);
        ScriptedPeer.Message lastResponse = AgentFixture.exchange(idleClient, fixture.request("lookup", 8000, ""));
        assertEquals("a", lastResponse.text());
        assertEquals("close", lastResponse.header("Connection"), "a kept connection is closed with its next response");
        for (int i = 0; i < 20; i++) {
            assertEquals("a", fixture.call("lookup").text());
        }
        release.countDown();
        assertEquals("a", ScriptedPeer.read(pending.getInputStream()).text());
        oldAgent.awaitTermination();
        assertEquals("a", fixture.call("lookup").text());
        assertEquals(1, stats().get("pool_ejected"), "the ban still applies after the old process has ended");
    }

    /** A large response continues through a handover, and a third process takes over from the second. */
    @Test
    void twoUpgradesInARowDuringALargeSlowResponse() throws Exception {
        byte[] chunk = new byte[30_000];
        fixture.server((message, socket) -> {
            if (message.target().startsWith("/order")) {
                ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1500000\r\n\r\n");
                for (int i = 0; i < 50; i++) {
                    socket.getOutputStream().write(chunk);
                    Thread.sleep(100);
                }
            } else {
                ScriptedPeer.respond(socket, 200, "", "a");
            }
        });
        fixture.config.put("listen", "127.0.0.1:" + freePort());
        start();
        Agent first = fixture.agent;
        assertEquals(200, request("POST", "/backends/s-1/maint").status());
        assertEquals(200, request("POST", "/backends/s-1/ready").status());
        AgentFixture.await(() -> stats().get("pool_ejected") == 0);
        Socket slow = fixture.dial();
        ScriptedPeer.write(slow, fixture.request("order", 8000, "body"));
        AgentFixture.await(() -> fixture.requestsReceived() > 0
                && first.budget()
                                .account(gatefront.budget.ResourcePurpose.CALLS)
                                .entries()
                        > 0);
        start();
        Agent second = fixture.agent;
        ScriptedPeer.daemon(first::stop);
        assertEquals("a", fixture.call("lookup").text());
        start();
        ScriptedPeer.daemon(second::stop);
        assertEquals("a", fixture.call("lookup").text());
        assertEquals(1_500_000, ScriptedPeer.read(slow.getInputStream()).body().length);
        long startNanos = System.nanoTime();
        first.awaitTermination();
        second.awaitTermination();
        assertTrue(System.nanoTime() - startNanos < 5_000_000_000L, "both end once their last response has been read");
        assertEquals("a", fixture.call("lookup").text());
    }

    /** A new process that fails during its start does not affect the old one. */
    @Test
    void oldProcessKeepsServingWhenTheNewOneCannotStart() throws Exception {
        fixture.server(respondWith("a"));
        fixture.config.put("listen", "127.0.0.1:" + freePort());
        start();
        int occupiedPort = fixture.agent.managementAddress().getPort();
        fixture.config.put("management", "127.0.0.1:" + occupiedPort);
        try {
            Agent.start(Config.fromJson(fixture.config), shared);
            throw new AssertionError("two management endpoints at one address");
        } catch (IOException e) {
            assertTrue(e.getMessage().startsWith("cannot listen on"), e.getMessage());
        }
        assertEquals("a", fixture.call("lookup").text());
        assertEquals(200, request("GET", "/healthcheck").status());
        // The old process must not assume a successor: when stopped, it keeps serving as before a restart.
        Socket idleClient = fixture.dial();
        assertEquals(
                "a",
                AgentFixture.exchange(idleClient, fixture.request("lookup", 8000, ""))
                        .text());
        ScriptedPeer.daemon(fixture.agent::stop);
        AgentFixture.await(() -> request("GET", "/healthcheck").status() == 503);
        assertEquals(
                null,
                AgentFixture.exchange(idleClient, fixture.request("lookup", 8000, ""))
                        .header("Connection"));
    }
}
