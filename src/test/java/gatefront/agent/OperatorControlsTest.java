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

/** Daily operation over loopback sockets: the door, its figures, servers out by hand, one process after the other. */
@Timeout(60)
class OperatorControlsTest {
    @TempDir
    private Path shared;

    private AgentFixture stage;
    private final List<Agent> agents = new ArrayList<>();
    private final List<Socket> waiting = new ArrayList<>();

    @BeforeEach
    void set() throws IOException {
        stage = new AgentFixture();
        stage.config.put("management", "127.0.0.1:0");
    }

    @AfterEach
    void strike() throws IOException {
        stage.close();
        agents.forEach(each -> ScriptedPeer.daemon(each::stop));
    }

    private void start() throws IOException {
        stage.agent = Agent.start(Config.fromJson(stage.config), shared);
        agents.add(stage.agent);
        AgentFixture.await(() -> door("GET", "/healthcheck").status() == 200);
    }

    private ScriptedPeer.Message door(String method, String path) {
        return door(stage.agent, method, path);
    }

    private static ScriptedPeer.Message door(Agent agent, String method, String path) {
        return raw(agent, method + " " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    }

    private static ScriptedPeer.Message raw(Agent agent, String text) {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), agent.management().getPort())) {
            socket.setSoTimeout((int) AgentFixture.GENEROUS_MS);
            ScriptedPeer.write(socket, text);
            return ScriptedPeer.read(socket.getInputStream());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private Map<String, Long> stats() {
        Map<String, Long> figures = new HashMap<>();
        door("GET", "/stats")
                .text()
                .lines()
                .forEach(line -> figures.put(
                        line.substring(0, line.indexOf('=')), Long.valueOf(line.substring(line.indexOf('=') + 1))));
        return figures;
    }

    private static ScriptedPeer.Script answers(String text) {
        return (message, socket) -> ScriptedPeer.answer(socket, 200, "", text);
    }

    @Test
    void whatIsNoCallOfTheDoorsIsTurnedAwayAndChangesNothing() throws Exception {
        stage.server(answers("a"));
        start();
        assertEquals(404, door("GET", "/").status());
        assertEquals(404, door("POST", "/backends/s-1/away").status());
        assertEquals(404, door("POST", "/backends/maint").status());
        assertEquals(404, door("POST", "/backends/nobody/maint").status());
        assertEquals(405, door("GET", "/backends/s-1/maint").status());
        assertEquals(405, door("POST", "/stats").status());
        assertEquals(400, raw(stage.agent, "nonsense\r\n\r\n").status());
        assertEquals(400, door("POST", "/backends/%zz/maint").status());
        assertEquals(
                431,
                raw(stage.agent, "GET /" + "a".repeat(9000) + " HTTP/1.1\r\n\r\n")
                        .status());
        assertEquals(0, stats().get("pool_ejected"));
        assertEquals("a", stage.call("lookup").text());
    }

    /** Callers that say nothing, more than there is room for, never keep out one that has a call to make. */
    @Test
    void silentCallersKeepNobodyOut() throws Exception {
        start();
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Socket each = new Socket(
                    InetAddress.getLoopbackAddress(), stage.agent.management().getPort());
            ScriptedPeer.write(each, "GET /st");
            silent.add(each);
        }
        long begin = System.nanoTime();
        assertEquals(200, door("GET", "/healthcheck").status());
        assertTrue(System.nanoTime() - begin < 1_000_000_000L);
        Socket inTime = silent.get(99);
        ScriptedPeer.write(inTime, "ats HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals(200, ScriptedPeer.read(inTime.getInputStream()).status());
        for (Socket each : silent) {
            each.close();
        }
    }

    @Test
    void theFiguresAreWhatThePeersSaw() throws Exception {
        stage.server((message, socket) -> {
            String path = message.target();
            if (path.startsWith("/order")) {
                ScriptedPeer.answer(socket, 500, "", "");
            } else {
                ScriptedPeer.answer(socket, 200, "", "a");
            }
        });
        start();
        int tried = stage.arrived();
        for (int i = 0; i < 7; i++) {
            assertEquals(200, stage.call("lookup").status());
        }
        assertEquals(502, stage.call("order").status());
        Map<String, Long> figures = stats();
        assertEquals(7, figures.get("ok.lookup"));
        assertEquals(0, figures.get("shed.lookup"));
        assertEquals(1, figures.get("errors.order"));
        assertEquals(0, figures.get("ok.pay"));
        assertEquals(0, figures.get("active"));
        assertEquals(1, figures.get("pool_size"));
        assertEquals(
                stage.servers.get(0).requests.stream()
                                .filter(each -> !each.target().equals("/healthz"))
                                .count()
                        - tried,
                figures.get("tries"));
    }

    @Test
    void aServerOutByHandGetsNothingUntilItIsPutBack() throws Exception {
        ScriptedPeer first = stage.server(answers("a"));
        ScriptedPeer second = stage.server(answers("b"));
        start();
        assertEquals(200, door("POST", "/backends/s-1/maint").status());
        assertEquals(200, door("POST", "/backends/s-1/maint").status());
        long before = calls(first);
        stage.news.add(AgentFixture.delta(1, AgentFixture.endpoint(1, first.address(), "Ready")));
        for (int i = 0; i < 10; i++) {
            assertEquals("b", stage.call("lookup").text());
        }
        assertEquals(before, calls(first));
        assertEquals(1, stats().get("pool_ejected"));
        assertEquals(200, door("POST", "/backends/s-1/ready").status());
        AgentFixture.await(() -> stats().get("pool_ejected") == 0);
        assertEquals(200, door("POST", "/backends/s-2/maint").status());
        AgentFixture.await(() -> {
            try {
                return "a".equals(stage.call("lookup").text());
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        assertTrue(calls(second) > 0);
    }

    /** The system takes on two connections for a server that accepts none; those after them wait to come up. */
    private ServerSocket takesNone() throws IOException {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        for (int i = 0; i < 2; i++) {
            waiting.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
        return server;
    }

    @Test
    void anAttemptThatWaitsForItsConnectionIsNotSentAfterABan() throws Exception {
        stage.settings("caps", caps -> caps.put("dial-timeout-us", 5_000_000));
        ServerSocket first = takesNone();
        ((ArrayNode) stage.config.get("known").get("endpoints"))
                .add(AgentFixture.endpoint(1, "127.0.0.1:" + first.getLocalPort(), "Ready"));
        ScriptedPeer second = stage.peer(answers("b"));
        start();
        Socket caller = stage.dial();
        long begin = System.nanoTime();
        ScriptedPeer.write(caller, stage.request("order", 8000, "body"));
        AgentFixture.await(() -> stats().get("active") == 1);
        stage.news.add(AgentFixture.delta(1, AgentFixture.endpoint(2, second.address(), "Ready")));
        AgentFixture.await(() -> stats().get("pool_size") == 2);
        assertEquals(200, door("POST", "/backends/s-1/maint").status());
        assertEquals("b", ScriptedPeer.read(caller.getInputStream()).text());
        assertTrue(System.nanoTime() - begin < 4_000_000_000L, "it did not wait for its time to connect");
        for (Socket each : waiting) {
            each.close();
        }
        first.setSoTimeout(1500); // a connection attempt that was left would come up when there is room
        try {
            for (int i = 0; i < 3; i++) {
                Socket came = first.accept();
                came.setSoTimeout(300);
                assertEquals(-1, came.getInputStream().read(), "nothing is written there");
            }
        } catch (SocketTimeoutException e) {
            assertTrue(true);
        }
        first.close();
    }

    @Test
    void aRepeatThatFallsDueAfterABanDoesNotGoThere() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer.Script fails = (message, socket) -> {
            go.await();
            ScriptedPeer.answer(socket, 500, "", "");
        };
        stage.server(fails);
        stage.server(fails);
        start();
        Socket caller = stage.dial();
        ScriptedPeer.write(caller, stage.request("lookup", 3000, ""));
        AgentFixture.await(() -> calls(stage.servers.get(0)) + calls(stage.servers.get(1)) == 1);
        int other = calls(stage.servers.get(0)) == 1 ? 1 : 0;
        assertEquals(200, door("POST", "/backends/s-" + (other + 1) + "/maint").status());
        go.countDown();
        assertTrue(ScriptedPeer.read(caller.getInputStream()).status() >= 500);
        assertEquals(0, calls(stage.servers.get(other)), "the repeat");
    }

    /** A ban, and a file that is not whole, while two processes are there. */
    @Test
    void aBanAndABrokenFileDuringAnUpgradeBindBothProcesses(@TempDir Path files) throws Exception {
        stage.server(answers("a"));
        stage.server(answers("b"));
        stage.config.put("listen", "127.0.0.1:" + freePort());
        start();
        Agent old = stage.agent;
        start();
        door(old, "POST", "/backends/s-2/maint");
        Path file = files.resolve("config.json");
        String whole = stage.config.toString();
        Files.writeString(file, whole.substring(0, whole.length() / 2));
        for (Agent each : agents) {
            each.reload(file, null);
            AgentFixture.await(() -> door(each, "GET", "/stats").text().contains("config_rejected=1\n"));
            AgentFixture.await(() -> door(each, "GET", "/stats").text().contains("pool_ejected=1\n"));
            assertTrue(door(each, "GET", "/stats").text().contains("config_applied=0\n"));
        }
        ScriptedPeer.daemon(old::stop);
        old.awaitEnd();
        for (int i = 0; i < 10; i++) {
            assertEquals("a", stage.call("lookup").text());
        }
        assertEquals(1, stats().get("pool_ejected"));
    }

    /** It was told to end, and is killed before it has answered what it holds. */
    @Test
    void theNewProcessServesOnWhenTheOldOneIsKilledInMidHandover(@TempDir Path files) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        stage.server((message, socket) -> {
            if (message.target().startsWith("/order")) {
                go.await();
            }
            ScriptedPeer.answer(socket, 200, "", "a");
        });
        stage.server(answers("b"));
        int port = freePort();
        int management = freePort();
        stage.config.put("listen", "127.0.0.1:" + port);
        Path file = files.resolve("config.json");
        Files.writeString(file, stage.config.toString());
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
        Process old = program.start();
        try {
            AgentFixture.await(() -> health(management) == 200);
            try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), management)) {
                ScriptedPeer.write(caller, "POST /backends/s-2/maint HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
                assertEquals(200, ScriptedPeer.read(caller.getInputStream()).status());
            }
            start();
            assertEquals(1, stats().get("pool_ejected"));
            old.destroy();
            AgentFixture.await(() -> health(management) != 200);
            old.destroyForcibly().waitFor();
            for (int i = 0; i < 10; i++) {
                assertEquals("a", stage.call("lookup").text());
            }
            // And it is the one to be taken over from now.
            Agent second = stage.agent;
            start();
            ScriptedPeer.daemon(second::stop);
            second.awaitEnd();
            assertEquals("a", stage.call("lookup").text());
            assertEquals(1, stats().get("pool_ejected"));
        } finally {
            go.countDown();
            old.destroyForcibly();
        }
    }

    private static int health(int management) {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), management)) {
            ScriptedPeer.write(caller, "GET /healthcheck HTTP/1.1\r\nHost: a\r\n\r\n");
            return ScriptedPeer.read(caller.getInputStream()).status();
        } catch (IOException e) {
            return -1;
        }
    }

    /** The address is held by something that does not share it. */
    @Test
    void aNewProcessThatCannotTakeOverEndsAndLeavesTheOldOneAlone() throws Exception {
        stage.server(answers("a"));
        try (ServerSocket held = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ProcessHandover old = new ProcessHandover(shared, "old", line -> {});
            stage.config.put("listen", "127.0.0.1:" + held.getLocalPort());
            Agent fresh = Agent.start(Config.fromJson(stage.config), shared);
            fresh.awaitEnd();
            assertTrue(fresh.failed());
            fresh.stop(); // as the program's end does
            assertFalse(old.hasSuccessor());
            old.close();
        }
    }

    /** Callers at full speed on many connections, old and new ones; staff wait a second at the most. */
    @Test
    void theDoorAnswersWhileTheLoopIsFlooded() throws Exception {
        stage.server(answers("a"));
        start();
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < 24; i++) {
            boolean keeps = i % 2 == 0;
            ScriptedPeer.daemon(() -> {
                Socket socket = null;
                for (int n = 0; !over.get(); n++) {
                    if (socket == null || !keeps) {
                        socket = new Socket(
                                InetAddress.getLoopbackAddress(),
                                stage.agent.address().getPort());
                    }
                    ScriptedPeer.write(
                            socket,
                            "GET /lookup HTTP/1.1\r\nHost: a\r\nRequest-Id: f"
                                    + Thread.currentThread().getId() + "x" + n
                                    + "\r\nRequest-Class: lookup\r\nRequest-Timeout-Ms: 3000\r\n\r\n");
                    String connection =
                            ScriptedPeer.read(socket.getInputStream()).header("Connection");
                    served.incrementAndGet();
                    if (!keeps || "close".equals(connection)) {
                        socket.close();
                        socket = null;
                    }
                }
            });
        }
        AgentFixture.await(() -> served.get() > 1000);
        long worst = 0;
        for (int i = 0; i < 60; i++) {
            long begin = System.nanoTime();
            assertEquals(
                    200, door("GET", i % 2 == 0 ? "/stats" : "/healthcheck").status());
            worst = Math.max(worst, System.nanoTime() - begin);
        }
        over.set(true);
        assertTrue(worst < 1_000_000_000L, worst / 1_000_000 + " ms");
    }

    private static long calls(ScriptedPeer server) {
        return server.requests.stream()
                .filter(each -> each.target().startsWith("/lookup"))
                .count();
    }

    /** A port that both processes are told, with something else on neither. */
    private static int freePort() throws IOException {
        try (ServerSocket some = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return some.getLocalPort();
        }
    }

    @Test
    void aSecondProcessTakesOverWithItsBansAndEveryRequestIsAnswered() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer.Script holds = (message, socket) -> {
            if (message.target().startsWith("/order")) {
                go.await();
            }
            ScriptedPeer.answer(socket, 200, "", "a");
        };
        stage.server(holds);
        stage.server(answers("b"));
        stage.server(holds);
        stage.config.put("listen", "127.0.0.1:" + freePort());
        start();
        Agent old = stage.agent;
        assertEquals(200, door("POST", "/backends/s-2/maint").status());
        Socket held = stage.dial();
        ScriptedPeer.write(held, stage.request("order", 8000, "body"));
        AgentFixture.await(() -> stage.servers.stream().anyMatch(each -> each.requests.stream()
                .anyMatch(m -> m.target().startsWith("/order"))));
        Socket kept = stage.dial();
        assertEquals(
                "a",
                AgentFixture.exchange(kept, stage.request("lookup", 8000, "")).text());
        start();
        assertEquals(1, stats().get("pool_ejected"), "the ban holds in the new process");
        // A ban at either door binds both.
        door(old, "POST", "/backends/s-3/maint");
        AgentFixture.await(() -> stats().get("pool_ejected") == 2);
        door("POST", "/backends/s-3/ready");
        AgentFixture.await(() -> door(old, "GET", "/stats").text().contains("pool_ejected=1\n"));
        ScriptedPeer.daemon(old::stop);
        AgentFixture.await(() -> door(old, "GET", "/healthcheck").status() == 503);
        ScriptedPeer.Message last = AgentFixture.exchange(kept, stage.request("lookup", 8000, ""));
        assertEquals("a", last.text());
        assertEquals("close", last.header("Connection"), "a kept connection ends with its next answer");
        for (int i = 0; i < 20; i++) {
            assertEquals("a", stage.call("lookup").text());
        }
        go.countDown();
        assertEquals("a", ScriptedPeer.read(held.getInputStream()).text());
        old.awaitEnd();
        assertEquals("a", stage.call("lookup").text());
        assertEquals(1, stats().get("pool_ejected"), "and after the old process has ended");
    }

    /** A large answer goes on through the handover, and the process that took over is itself taken over from. */
    @Test
    void twoUpgradesInARowDuringALargeSlowAnswer() throws Exception {
        byte[] piece = new byte[30_000];
        stage.server((message, socket) -> {
            if (message.target().startsWith("/order")) {
                ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1500000\r\n\r\n");
                for (int i = 0; i < 50; i++) {
                    socket.getOutputStream().write(piece);
                    Thread.sleep(100);
                }
            } else {
                ScriptedPeer.answer(socket, 200, "", "a");
            }
        });
        stage.config.put("listen", "127.0.0.1:" + freePort());
        start();
        Agent first = stage.agent;
        assertEquals(200, door("POST", "/backends/s-1/maint").status());
        assertEquals(200, door("POST", "/backends/s-1/ready").status());
        AgentFixture.await(() -> stats().get("pool_ejected") == 0);
        Socket slow = stage.dial();
        ScriptedPeer.write(slow, stage.request("order", 8000, "body"));
        AgentFixture.await(() -> stage.arrived() > 0
                && first.budget()
                                .account(gatefront.budget.ResourcePurpose.CALLS)
                                .entries()
                        > 0);
        start();
        Agent second = stage.agent;
        ScriptedPeer.daemon(first::stop);
        assertEquals("a", stage.call("lookup").text());
        start();
        ScriptedPeer.daemon(second::stop);
        assertEquals("a", stage.call("lookup").text());
        assertEquals(1_500_000, ScriptedPeer.read(slow.getInputStream()).body().length);
        long begin = System.nanoTime();
        first.awaitEnd();
        second.awaitEnd();
        assertTrue(System.nanoTime() - begin < 5_000_000_000L, "both end once their last answer has been read");
        assertEquals("a", stage.call("lookup").text());
    }

    /** The new process that fails before its yes leaves the old one as it was. */
    @Test
    void theOldProcessServesOnWhenTheNewOneCannotStart() throws Exception {
        stage.server(answers("a"));
        stage.config.put("listen", "127.0.0.1:" + freePort());
        start();
        int taken = stage.agent.management().getPort();
        stage.config.put("management", "127.0.0.1:" + taken);
        try {
            Agent.start(Config.fromJson(stage.config), shared);
            throw new AssertionError("two doors at one address");
        } catch (IOException e) {
            assertTrue(e.getMessage().startsWith("cannot listen on"), e.getMessage());
        }
        assertEquals("a", stage.call("lookup").text());
        assertEquals(200, door("GET", "/healthcheck").status());
        // Nor does it think that somebody takes over: told to end it serves on, as before a restart.
        Socket kept = stage.dial();
        assertEquals(
                "a",
                AgentFixture.exchange(kept, stage.request("lookup", 8000, "")).text());
        ScriptedPeer.daemon(stage.agent::stop);
        AgentFixture.await(() -> door("GET", "/healthcheck").status() == 503);
        assertEquals(
                null,
                AgentFixture.exchange(kept, stage.request("lookup", 8000, "")).header("Connection"));
    }
}
