package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against taking a process that has come up at an address for the one that was there before. */
@Timeout(60)
class ReusedAddressTest {
    private static final int POLLS = 20;
    private static final long POLL_MS = 20;
    /** Longer than it takes until the agent has heard of a change. */
    private static final long LIST_MS = 500;

    private AgentFixture fixture;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    /** The list names the new server before it says that the former one has gone. */
    @Test
    void newServerIsNotSentToAsTheFormerOneOfItsAddress() throws Exception {
        ScriptedPeer server = fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
        fixture.start();
        assertEquals(200, fixture.call("lookup").status());
        ObjectNode successor =
                AgentFixture.endpoint(2, server.address(), "Ready").put("zone", "b");
        fixture.discoveryUpdates.add(AgentFixture.delta(1, successor.put("since_ms", System.currentTimeMillis())));
        AgentFixture.await(fixture.discoveryUpdates::isEmpty);
        // Of the two names that the address has had, one is left.
        for (int poll = 0; poll < POLLS; poll++) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
            assertEquals(1, fixture.agent.trackedServers());
        }
    }

    /**
     * A keyed request may be repeated in one zone only. Its server has failed it and gone, and one of another zone has
     * come up at the address.
     */
    @Test
    void keyedRequestIsNotRepeatedAtTheSuccessorInAnotherZone() throws Exception {
        fixture.config.get("settings").get("classes").forEach(requestClass -> {
            if (requestClass.get("name").asText().equals("pay")) {
                ((ObjectNode) requestClass).put("key-scope", "zone");
            }
        });
        AtomicInteger payments = new AtomicInteger();
        fixture.server((message, socket) -> {
            if (message.target().startsWith("/pay") && payments.incrementAndGet() == 1) {
                ObjectNode former =
                        AgentFixture.endpoint(1, fixture.servers.get(0).address(), "Ready");
                ObjectNode successor = AgentFixture.endpoint(
                                2, fixture.servers.get(0).address(), "Ready")
                        .put("zone", "b");
                fixture.discoveryUpdates.add(
                        AgentFixture.delta(1, former, successor.put("since_ms", System.currentTimeMillis())));
                TimeUnit.MILLISECONDS.sleep(LIST_MS);
                ScriptedPeer.reset(socket);
                return;
            }
            ScriptedPeer.respond(socket, 200, "", "served");
        });
        fixture.start();
        int status = fixture.call("pay").status();
        assertTrue(status != 200 && status != 503, "status " + status);
        assertEquals(1, payments.get());
    }
}
