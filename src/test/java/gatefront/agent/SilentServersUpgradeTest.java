package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** An upgrade of an agent, two processes on one address, while a server is silent in the middle of responses. */
@Timeout(60)
class SilentServersUpgradeTest {
    private static final int PART_BYTES = 100_000;
    /** The longest deadline, 3 s at the most, and 0.7 s. */
    private static final long KILL_MS = 3_700;

    @TempDir
    private Path folder;

    /** Guards against cutting off a response that is silent when its agent is replaced, and against a late end. */
    @Test
    void silentResponseIsPassedOnByTheProcessThatGoesAndDoesNotHoldIt() throws Exception {
        try (AgentFixture fixture = new AgentFixture()) {
            fixture.server((message, socket) -> {
                ResponseFraming.LENGTH.writeHead(socket, 2 * PART_BYTES);
                ResponseFraming.LENGTH.writePart(socket, PART_BYTES);
                if (message.target().startsWith("/lookup")) {
                    TimeUnit.MILLISECONDS.sleep(6_000);
                    ResponseFraming.LENGTH.writePart(socket, PART_BYTES);
                }
            });
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                fixture.config.put("listen", "127.0.0.1:" + free.getLocalPort());
            }
            try (AgentProcess old = startAgent(fixture)) {
                Socket resumed = old.dial();
                ScriptedPeer.write(resumed, fixture.request("lookup", 1_600, ""));
                Socket hung = old.dial();
                ScriptedPeer.write(hung, fixture.request("pay", 1_600, ""));
                long beginNanos = System.nanoTime();
                try (AgentProcess successor = startAgent(fixture)) {
                    TimeUnit.NANOSECONDS.sleep(beginNanos + TimeUnit.MILLISECONDS.toNanos(4_500) - System.nanoTime());
                    CompletableFuture<Boolean> ended = new CompletableFuture<>();
                    ScriptedPeer.daemon(() -> ended.complete(old.terminate(KILL_MS)));
                    assertEquals(
                            2 * PART_BYTES,
                            ScriptedPeer.read(resumed.getInputStream()).body().length);
                    assertTrue(ended.get(), "it has ended before it may be killed");
                    assertEquals(
                            200,
                            AgentFixture.exchange(successor.dial(), "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
                                    .status());
                }
            }
        }
    }

    private AgentProcess startAgent(AgentFixture fixture) throws Exception {
        return new AgentProcess(folder, fixture.config, "", Map.of("RELAY_MANAGEMENT", "127.0.0.1:0"));
    }
}
