package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that are half sent while another process, with a changed configuration, takes over. */
@Timeout(60)
class ReloadDuringUpgradeTest {
    private static final int SERVERS = 3;
    private static final String BODY = "x".repeat(100);
    private static final long TERMINATION_MS = 15_000;

    @TempDir
    private Path folder;

    private final AtomicInteger orders = new AtomicInteger();

    private void setOrderSemantics(ObjectNode config, String semantics) {
        config.get("settings").get("classes").forEach(type -> {
            if (type.get("name").asText().equals("order")) {
                ((ObjectNode) type).put("semantics", semantics);
            }
        });
    }

    private AgentFixture fixture() throws IOException {
        AgentFixture fixture = new AgentFixture();
        for (int i = 0; i < SERVERS; i++) {
            fixture.server((message, socket) -> {
                if (message.target().startsWith("/order")) {
                    orders.incrementAndGet();
                }
                ScriptedPeer.respond(socket, 500, "", "failed");
            });
        }
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            fixture.config.put("listen", "127.0.0.1:" + free.getLocalPort());
        }
        setOrderSemantics(fixture.config, "unsafe");
        return fixture;
    }

    private AgentProcess startAgent(AgentFixture fixture) throws IOException {
        return new AgentProcess(folder, fixture.config, "", Map.of("RELAY_MANAGEMENT", "127.0.0.1:0"));
    }

    /** Guards against an unsafe request that runs twice because its class became safe while it was being sent. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void halfSentUnsafeRequestRunsOnceThoughAnUpgradeMakesItsClassSafe(boolean oldProcessReloads) throws Exception {
        try (AgentFixture fixture = fixture();
                AgentProcess old = startAgent(fixture)) {
            Socket client = old.dial();
            String request =
                    fixture.request("order", 8_000, BODY).replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n");
            ScriptedPeer.write(client, request.substring(0, request.length() - BODY.length()));
            assertEquals(100, ScriptedPeer.read(client.getInputStream()).status());
            setOrderSemantics(fixture.config, "safe");
            try (AgentProcess successor = startAgent(fixture)) {
                assertTrue(successor.log().contains("listening on"), successor.log());
                if (oldProcessReloads) {
                    old.reload(fixture.config);
                }
                ScriptedPeer.write(client, BODY.substring(1));
                ScriptedPeer.daemon(() -> old.terminate(TERMINATION_MS));
                ScriptedPeer.write(client, BODY.substring(0, 1));
                assertEquals(502, ScriptedPeer.read(client.getInputStream()).status());
                assertEquals(1, orders.get());
            }
        }
    }

    /** Shows that the successor has the new settings, so that the test above means what it says. */
    @Test
    void successorJudgesByTheNewConfiguration() throws Exception {
        try (AgentFixture fixture = fixture();
                AgentProcess old = startAgent(fixture)) {
            setOrderSemantics(fixture.config, "safe");
            try (AgentProcess successor = startAgent(fixture)) {
                assertTrue(old.terminate(TERMINATION_MS), "the old process has ended");
                String request = fixture.request("lookup", 8_000, "").replace("lookup", "order");
                assertNotEquals(
                        200, AgentFixture.exchange(successor.dial(), request).status());
                assertTrue(orders.get() > 1, orders + " attempts, expected several");
            }
        }
    }
}
