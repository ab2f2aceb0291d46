package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.transport.HeldLoop;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against telling a server more time than the client has left: a request's time counts from when it was sent,
 * also while the agent was held up, had not accepted its connection or was processing requests before it.
 */
class RemainingTimeTest {
    private static final long TIMEOUT_MS = 2_000;
    private static final long HOLD_MS = 500;
    /** How much more than what the client has left a server may be told. */
    private static final long SLACK_MS = 150;
    /** More than are accepted in one turn of the event loop. */
    private static final int MANY_CONNECTIONS = 40;

    private AgentFixture fixture;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
        fixture.server((message, socket) -> {
            if (message.target().startsWith("/pay")) {
                TimeUnit.MILLISECONDS.sleep(HOLD_MS);
            }
            ScriptedPeer.respond(socket, 200, "", "served");
        });
        fixture.start();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    private void holdWhile(ScriptedPeer.Task sending) throws Exception {
        HeldLoop held = HeldLoop.hold(fixture.agent.loop(), () -> {});
        sending.run();
        TimeUnit.MILLISECONDS.sleep(HOLD_MS);
        held.release();
    }

    /** Checks what servers were told about the requests of a class that were sent {@code HOLD_MS} before. */
    private void assertTold(String requestClass) {
        for (ScriptedPeer.Message message : fixture.servers.get(0).requests) {
            if (message.target().startsWith("/" + requestClass)) {
                long toldMs = Long.parseLong(message.header("Request-Timeout-Ms"));
                assertTrue(toldMs <= TIMEOUT_MS - HOLD_MS + SLACK_MS, requestClass + " was told " + toldMs + " ms");
            }
        }
    }

    @Test
    void serverIsToldNoMoreThanIsLeftAfterAHold() throws Exception {
        Socket client = fixture.dial();
        AgentFixture.exchange(client, fixture.request("pay", TIMEOUT_MS, ""));
        holdWhile(() -> ScriptedPeer.write(client, fixture.request("lookup", TIMEOUT_MS, "")));
        assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
        assertTold("lookup");
    }

    @Test
    void serverIsToldNoMoreThanIsLeftAfterAWaitInTheAcceptQueue() throws Exception {
        List<Socket> clients = new ArrayList<>();
        holdWhile(() -> {
            for (int i = 0; i < MANY_CONNECTIONS; i++) {
                clients.add(fixture.dial());
                ScriptedPeer.write(clients.get(i), fixture.request("lookup", TIMEOUT_MS, ""));
            }
        });
        for (Socket client : clients) {
            ScriptedPeer.read(client.getInputStream());
        }
        assertTold("lookup");
    }

    @Test
    void serverIsToldNoMoreThanIsLeftOfAPipelinedRequest() throws Exception {
        Socket client = fixture.dial();
        ScriptedPeer.write(client, fixture.request("pay", TIMEOUT_MS, "") + fixture.request("lookup", TIMEOUT_MS, ""));
        assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
        assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
        assertTold("lookup");
    }

    /** A request whose time has passed during a hold is answered, and goes to no server. */
    @Test
    void requestWhoseTimePassedDuringAHoldIsNotForwarded() throws Exception {
        Socket client = fixture.dial();
        AgentFixture.exchange(client, fixture.request("pay", TIMEOUT_MS, ""));
        holdWhile(() -> ScriptedPeer.write(client, fixture.request("lookup", HOLD_MS - 2 * SLACK_MS, "")));
        assertEquals(504, ScriptedPeer.read(client.getInputStream()).status());
        assertEquals(1, fixture.requestsReceived());
    }

    /** A connection that has been open for long is no reason to count the time of its first request from its start. */
    @Test
    void firstRequestOnAConnectionThatWasOpenBeforeKeepsItsTime() throws Exception {
        Socket client = fixture.dial();
        TimeUnit.MILLISECONDS.sleep(HOLD_MS);
        assertEquals(
                200,
                AgentFixture.exchange(client, fixture.request("lookup", TIMEOUT_MS, ""))
                        .status());
        long toldMs = Long.parseLong(fixture.servers.get(0).requests.get(0).header("Request-Timeout-Ms"));
        assertTrue(toldMs > TIMEOUT_MS - SLACK_MS, "told " + toldMs + " ms");
    }
}
