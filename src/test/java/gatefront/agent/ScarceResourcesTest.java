package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Responses whose servers are silent give way where connections, requests or memory are scarce, the longest first. */
@Timeout(60)
class ScarceResourcesTest {
    private static final long CLIENT_TIMEOUT_MS = 1_600;
    /** When a response of which nothing arrives is known to be stalled, with some slack. */
    private static final long STALLED_MS = 5_000;
    /** In what time stalled responses give way to what is scarce. */
    private static final long GIVE_WAY_MS = 500;

    private static final long ORDER_WORK_MS = 200;

    private AgentFixture fixture;
    /** Clients of responses that never end, in the order of their requests. */
    private final List<Socket> waiting = new ArrayList<>();

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
        fixture.server((message, socket) -> {
            if (message.target().startsWith("/lookup")) {
                ScriptedPeer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n");
            } else {
                TimeUnit.MILLISECONDS.sleep(message.target().startsWith("/order") ? ORDER_WORK_MS : 0);
                ScriptedPeer.respond(socket, 200, "", "served");
            }
        });
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    private void stallResponses(int count) throws Exception {
        fixture.start();
        for (int i = 0; i < count; i++) {
            Socket socket = fixture.dial();
            ScriptedPeer.write(socket, fixture.request("lookup", CLIENT_TIMEOUT_MS, ""));
            assertEquals('H', socket.getInputStream().read());
            waiting.add(socket);
        }
        TimeUnit.MILLISECONDS.sleep(STALLED_MS);
    }

    private static boolean isOpen(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    /** Checks that of the clients so many are waiting still, those whose requests came last. */
    private void assertLastAreWaiting(int expected) throws IOException {
        for (int i = 0; i < waiting.size(); i++) {
            assertEquals(i >= waiting.size() - expected, isOpen(waiting.get(i)), "response " + i);
        }
    }

    private void setCap(ResourcePurpose purpose, long entries) throws Exception {
        fixture.agent
                .loop()
                .submit(() -> fixture.agent.budget().setCaps(Map.of(purpose, new ResourceBudget.Cap(entries, -1))))
                .sync();
    }

    private long held(ResourcePurpose purpose) {
        return fixture.agent.budget().account(purpose).entries();
    }

    /** Guards against clients that are not admitted because others wait for servers that may never go on. */
    @Test
    void clientsAreAdmittedAndServedBesideStalledResponses() throws Exception {
        ((ObjectNode) fixture.config.get("limits")).put("sockets", 100); // 30 connections of clients
        stallResponses(28);
        assertLastAreWaiting(17); // less than 0.6 of the connections
        List<Socket> others = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            others.add(fixture.dial());
        }
        for (Socket client : others) {
            long startNanos = System.nanoTime();
            assertEquals(
                    200,
                    AgentFixture.exchange(client, fixture.request("pay", CLIENT_TIMEOUT_MS, "body"))
                            .status());
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(elapsedMs < 1_000, elapsedMs + " ms");
        }
    }

    /** Guards against the same where operators have set a cap on connections of clients. */
    @Test
    void stalledResponsesGiveWayToTheCapOfClientConnections() throws Exception {
        stallResponses(10);
        assertLastAreWaiting(10);
        setCap(ResourcePurpose.CALLER_CONNECTIONS, 10);
        TimeUnit.MILLISECONDS.sleep(GIVE_WAY_MS);
        assertLastAreWaiting(5);
    }

    /** Guards against requests that are refused because others wait for servers that may never go on. */
    @Test
    void stalledResponsesGiveWayToTheCapOfRequests() throws Exception {
        stallResponses(10);
        setCap(ResourcePurpose.CALLS, 10);
        TimeUnit.MILLISECONDS.sleep(GIVE_WAY_MS);
        assertLastAreWaiting(5);
    }

    /** Guards against requests that cannot be sent because the connections to servers wait for silent ones. */
    @Test
    void stalledResponseGivesWayToARequestThatNeedsAConnection() throws Exception {
        stallResponses(5);
        setCap(ResourcePurpose.SERVER_CONNECTIONS, held(ResourcePurpose.SERVER_CONNECTIONS));
        List<Socket> others = new ArrayList<>();
        for (int i = 0; i < 4; i++) { // at once, so that each needs a connection
            Socket client = fixture.dial();
            ScriptedPeer.write(client, fixture.request("order", CLIENT_TIMEOUT_MS, "body"));
            others.add(client);
        }
        for (Socket client : others) {
            assertEquals(200, ScriptedPeer.read(client.getInputStream()).status());
        }
        assertFalse(isOpen(waiting.get(0)), "the longest stalled has given way");
        assertTrue(isOpen(waiting.get(4)), "no more than needed");
    }

    /** Guards against idle clients that are closed, and requests refused, because others wait for silent servers. */
    @Test
    void allStalledResponsesGiveWayToMemory() throws Exception {
        stallResponses(5);
        assertLastAreWaiting(5);
        ResourceBudget budget = fixture.agent.budget();
        long bytes = 1 + (long) (ResourceBudget.TIGHT_FRACTION * budget.totalBytes());
        fixture.agent
                .loop()
                .submit(() -> budget.account(ResourcePurpose.CALLS).add(0, bytes))
                .sync();
        TimeUnit.MILLISECONDS.sleep(GIVE_WAY_MS);
        assertLastAreWaiting(0);
    }

    /** A client sees that a response has ended before it was whole, also when that was chunked. */
    @Test
    void responseThatGivesWayIsVisiblyIncomplete() throws Exception {
        stallResponses(1);
        assertTrue(fixture.agent
                .loop()
                .submit(() -> fixture.agent.budget().reclaim())
                .get());
        assertThrows(EOFException.class, () -> ScriptedPeer.read(waiting.get(0).getInputStream()));
        assertFalse(fixture.agent
                .loop()
                .submit(() -> fixture.agent.budget().reclaim())
                .get());
    }
}
