package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Responses that take long, to requests that arrive while the agent shuts down: none may be cut off by the end of the
 * process, and those that are complete in time are served.
 */
@Timeout(60)
class LongResponseShutdownTest {
    /** When an agent may be killed after it was told to end; the longest deadline counts as 3 s. */
    private static final long KILL_MS = 3_700;

    private static final long CLIENT_TIMEOUT_MS = 1_600;

    private AgentFixture fixture;
    private ExecutorService clients;

    /** A response in pieces at intervals, after a first part that is sent at once. */
    private record ResponseShape(ResponseFraming framing, int firstBytes, int pieces, int pieceBytes, long intervalMs) {
        int bytes() {
            return firstBytes + pieces * pieceBytes;
        }

        void write(Socket socket) throws Exception {
            framing.writeHead(socket, bytes());
            framing.writePart(socket, firstBytes);
            for (int i = 0; i < pieces; i++) {
                TimeUnit.MILLISECONDS.sleep(intervalMs);
                framing.writePart(socket, pieceBytes);
            }
            framing.writeEnd(socket);
        }
    }

    /** What a client got, and when, in milliseconds after the agent was told to end. */
    private record Outcome(String description, int status, int bytes, long endMs) {}

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
        clients = Executors.newCachedThreadPool();
    }

    @AfterEach
    void tearDown() throws IOException {
        clients.shutdownNow();
        fixture.close();
    }

    /**
     * Plays one request of each class for each shape, all at the same moment after the agent was told to end, each on a
     * connection that was there before.
     */
    private List<Outcome> play(List<ResponseShape> shapes, List<String> classes, long sentAfterMs) throws Exception {
        for (int i = 0; i < 3; i++) {
            fixture.server((message, socket) -> {
                String key = message.header("Affinity-Key");
                if (key == null) {
                    ScriptedPeer.respond(socket, 200, "", "warm");
                } else {
                    shapes.get(Integer.parseInt(key, 16)).write(socket);
                }
            });
        }
        fixture.start();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < shapes.size() * classes.size(); i++) {
            Socket socket = fixture.dial();
            AgentFixture.exchange(socket, fixture.request("lookup", CLIENT_TIMEOUT_MS, ""));
            sockets.add(socket);
        }
        long stopNanos = System.nanoTime();
        fixture.agent.startShutdown();
        TimeUnit.MILLISECONDS.sleep(sentAfterMs);
        List<Future<Outcome>> outcomes = new ArrayList<>();
        for (int shape = 0; shape < shapes.size(); shape++) {
            for (String requestClass : classes) {
                Socket socket = sockets.get(outcomes.size());
                String request = fixture.request(requestClass, CLIENT_TIMEOUT_MS, "body")
                        .replaceFirst("\r\n", "\r\nAffinity-Key: " + String.format("%016x", shape) + "\r\n");
                String description = requestClass + " " + shapes.get(shape) + " sent after " + sentAfterMs + " ms";
                outcomes.add(clients.submit(() -> {
                    ScriptedPeer.write(socket, request);
                    ScriptedPeer.Message response = ScriptedPeer.read(socket.getInputStream());
                    return new Outcome(
                            description,
                            response.status(),
                            response.body().length,
                            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopNanos));
                }));
            }
        }
        List<Outcome> results = new ArrayList<>();
        for (Future<Outcome> outcome : outcomes) {
            results.add(outcome.get());
        }
        return results;
    }

    /** Guards against responses that SIGKILL cuts off: a response that has begun has no deadline. */
    @ParameterizedTest
    @ValueSource(longs = {750, 1_300, 1_900})
    void responseThatWouldOutlastTheAgentIsRefusedOrFailsInTime(long sentAfterMs) throws Exception {
        List<ResponseShape> shapes = List.of(
                new ResponseShape(ResponseFraming.LENGTH, 16_000, 79, 16_000, 50),
                new ResponseShape(ResponseFraming.LENGTH, 100_000, 39, 100_000, 100),
                new ResponseShape(ResponseFraming.LENGTH, 300_000, 400, 1_000, 10),
                new ResponseShape(ResponseFraming.LENGTH, 10_000, 40, 2_000, 100),
                new ResponseShape(ResponseFraming.CHUNKED, 16_000, 79, 16_000, 50),
                new ResponseShape(ResponseFraming.UNTIL_CLOSE, 16_000, 79, 16_000, 50));
        for (Outcome outcome : play(shapes, List.of("lookup", "pay"), sentAfterMs)) {
            assertTrue(outcome.status != 200 && outcome.endMs <= KILL_MS, outcome.toString());
            if (outcome.description.startsWith("pay")) {
                assertTrue(outcome.status != 503, "a refusal promises that nothing has run: " + outcome);
            }
        }
    }

    /** Guards against refusing long responses that are complete before the kill. */
    @ParameterizedTest
    @ValueSource(longs = {300, 750, 1_300, 1_900})
    void responseThatIsCompleteBeforeTheAgentEndsIsServed(long sentAfterMs) throws Exception {
        List<ResponseShape> shapes = List.of(
                new ResponseShape(ResponseFraming.LENGTH, 10, 0, 0, 0),
                new ResponseShape(ResponseFraming.LENGTH, 70_000, 0, 0, 0),
                new ResponseShape(ResponseFraming.LENGTH, 5_000_000, 0, 0, 0),
                new ResponseShape(ResponseFraming.LENGTH, 16_000, 9, 16_000, 50),
                new ResponseShape(ResponseFraming.LENGTH, 16_000, 39, 16_000, 25),
                new ResponseShape(ResponseFraming.LENGTH, 200_000, 6, 200_000, 150),
                new ResponseShape(ResponseFraming.CHUNKED, 300_000, 0, 0, 0),
                new ResponseShape(ResponseFraming.CHUNKED, 16_000, 20, 16_000, 20),
                new ResponseShape(ResponseFraming.UNTIL_CLOSE, 16_000, 20, 16_000, 20));
        for (Outcome outcome : play(shapes, List.of("lookup", "order"), sentAfterMs)) {
            assertEquals(200, outcome.status, outcome.toString());
            assertTrue(outcome.endMs <= KILL_MS, outcome.toString());
        }
        assertEquals(0, heldBytes(), "nothing is held any more");
    }

    /** Guards against long responses of which some are passed on, many at once, and short ones refused beside. */
    @Test
    void manyLongResponsesAreRefusedAndShortOnesServedBesideThem() throws Exception {
        List<ResponseShape> shapes = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            shapes.add(new ResponseShape(ResponseFraming.LENGTH, 60_000, 60, 60_000, 60));
        }
        shapes.add(new ResponseShape(ResponseFraming.LENGTH, 100_000, 0, 0, 0));
        shapes.add(new ResponseShape(ResponseFraming.LENGTH, 1_000, 0, 0, 0));
        List<Outcome> outcomes = play(shapes, List.of("lookup"), 1_000);
        for (Outcome outcome : outcomes.subList(0, 40)) {
            assertTrue(outcome.status != 200 && outcome.endMs <= KILL_MS, outcome.toString());
        }
        assertEquals(200, outcomes.get(40).status, outcomes.get(40).toString());
        assertEquals(200, outcomes.get(41).status, outcomes.get(41).toString());
        assertEquals(0, heldBytes(), "nothing is held any more");
    }

    private long heldBytes() throws Exception {
        return fixture.agent
                .loop()
                .submit(() -> fixture.agent
                        .budget()
                        .account(gatefront.budget.ResourcePurpose.SERVER_ANSWERS)
                        .bytes())
                .get();
    }
}
